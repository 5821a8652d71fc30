//! Announcements of agents to entries.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{
    AgentId, CellId, ConfigVersion, DataCentreId, EntryId, Epoch, Incarnation, ServiceId,
};

/// Whether an agent takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentState {
    /// Takes new work.
    Ready,
    /// Finishes what it has and takes nothing new.
    Leaving,
}

/// Load of one service on one agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    pub service: ServiceId,
    pub slots: u32,
    pub running: u32,
    pub queued: u32,
    /// Smoothed service time of recent requests.
    pub latency: Duration,
}

/// What an agent tells each of its home entries every second.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Announce {
    pub agent: AgentId,
    pub incarnation: Incarnation,
    /// Rises with each announcement of this incarnation; older ones are ignored.
    pub sequence: u64,
    pub rack: String,
    pub data_centre: DataCentreId,
    pub cell: CellId,
    /// Address at which the agent accepts `request` and `cancel`, as IP and port.
    pub address: String,
    pub state: AgentState,
    pub services: Vec<ServiceLoad>,
    pub config_version: ConfigVersion,
    /// Digest of the entries that the agent knows, see [`crate::homes::digest`].
    pub entries_digest: u64,
}

/// Announcements that an entry received first-hand, with the time since then, for other entries.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Relay {
    pub announcements: Vec<(Announce, Duration)>,
}

/// Address of a live entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    pub entry: EntryId,
    pub data_centre: DataCentreId,
    /// Address for messages between processes, as IP and port.
    pub address: String,
}

/// The entry that owns a cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellOwner {
    pub entry: EntryId,
    pub address: String,
    pub epoch: Epoch,
}

/// Part of the configuration that the receiver lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// The receiver is up to date.
    Current,
    /// Merge patches (JSON) for the versions that follow the receiver's, in order.
    Patches { first: ConfigVersion, patches: Vec<Bytes> },
    /// A whole document (JSON).
    Document { version: ConfigVersion, document: Bytes },
}

/// Answer to an [`Announce`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AnnounceReply {
    pub entry: EntryId,
    /// Live entries, unless the agent knows them already. With 36 entries the list has 1.2 KB,
    /// too much to be repeated every second.
    pub entries: Option<Vec<EntryAddress>>,
    pub config: ConfigUpdate,
    pub owner: Option<CellOwner>,
}
