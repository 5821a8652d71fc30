//! Announcements (heartbeats) that agents send to entries, and the replies.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{
    AgentId, CellId, ConfigVersion, DataCentreId, EntryId, Epoch, Incarnation, ServiceId,
};

/// Whether an agent accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentState {
    /// Accepts new work.
    Ready,
    /// Drains: finishes its running work and accepts nothing new.
    Leaving,
}

/// Load of one service on one agent, in requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    pub service: ServiceId,
    pub slots: u32,
    pub running: u32,
    pub queued: u32,
    /// Moving average of the service time of recent requests.
    pub latency: Duration,
}

/// Heartbeat of an agent, sent every second to its home entries (see [`crate::homes`]).
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Announce {
    pub agent: AgentId,
    pub incarnation: Incarnation,
    /// Increases with each announcement of this incarnation; entries ignore lower ones.
    pub sequence: u64,
    pub rack: String,
    pub data_centre: DataCentreId,
    pub cell: CellId,
    /// Address at which the agent accepts `request` and `cancel` messages, as IP and port.
    pub address: String,
    pub state: AgentState,
    pub services: Vec<ServiceLoad>,
    pub config_version: ConfigVersion,
    /// Digest of the list of entries that the agent knows, see [`crate::homes::digest`].
    pub entries_digest: u64,
}

/// Announcements that an entry received from agents and forwards to other entries, each with the
/// time since its arrival.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Relay {
    pub announcements: Vec<(Announce, Duration)>,
}

/// A live entry and its address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    pub entry: EntryId,
    pub data_centre: DataCentreId,
    /// Address for messages from agents and other entries, as IP and port.
    pub address: String,
}

/// The entry that owns a cell, and its ownership term.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellOwner {
    pub entry: EntryId,
    pub address: String,
    pub epoch: Epoch,
}

/// The part of the configuration that the receiver does not have yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// The receiver is up to date.
    Current,
    /// JSON merge patches of consecutive versions, of which `first` is the lowest.
    Patches { first: ConfigVersion, patches: Vec<Bytes> },
    /// The whole document, as JSON.
    Document { version: ConfigVersion, document: Bytes },
}

/// Reply to an [`Announce`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AnnounceReply {
    pub entry: EntryId,
    /// Live entries; `None` if the digest shows that the agent has the current list. With 36
    /// entries the list takes 1.2 KB, too much to send every second.
    pub entries: Option<Vec<EntryAddress>>,
    pub config: ConfigUpdate,
    pub owner: Option<CellOwner>,
}
