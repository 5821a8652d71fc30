//! Messages that entries send to each other, and their requests for an agent's key table.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{AgentId, CellId, ConfigVersion, EntryId, Incarnation, ServiceId};
use crate::keys::Generation;
use crate::message::announce::ConfigUpdate;

/// Asks another entry whether it dispatched requests with an idempotency key.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Probe {
    pub service: ServiceId,
    pub key: Bytes,
}

/// Reply to a [`Probe`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeReply {
    /// Not dispatched since `incarnation` started, or within [`crate::keys::RETENTION`] if that is
    /// shorter.
    NotDispatched { entry: EntryId, incarnation: Incarnation },
    /// Dispatched to this agent; the request may have run.
    Dispatched { agent: AgentId, incarnation: Incarnation },
}

/// Asks for a page of the keys that one witness dispatched before a move of buckets. A witness is
/// an entry that may have dispatched keys to the old holder, see [`crate::keys::Witness`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyListRequest {
    pub service: ServiceId,
    pub generation: Generation,
    /// The witness. The receiver may be another entry that holds a copy of its list.
    pub entry: EntryId,
    pub incarnation: Incarnation,
    /// Bit mask of the moved buckets; bit `n` stands for bucket `n`.
    pub buckets: u64,
    /// Last hash of the page before.
    pub after: Option<u128>,
}

/// Reply to a [`KeyListRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyListReply {
    /// 128-bit hashes of keys, in ascending order. `more` tells whether another page follows.
    Page { keys: Vec<u128>, more: bool },
    /// The receiver does not have the whole list, or has not applied the move yet.
    NotHeld,
}

/// Asks an agent for a page of its table of idempotency keys. Sent by a restarted entry: from then
/// on the agent refuses requests of the entry's ended incarnation, so that the pages list all keys
/// that ran for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyTableRequest {
    /// Incarnation of the agent whose table is requested; a restarted agent has a new table.
    pub agent_incarnation: Incarnation,
    pub entry: EntryId,
    /// Incarnation of the entry that has ended.
    pub ended: Incarnation,
    /// Last hash of the page before.
    pub after: Option<u128>,
}

/// An idempotency key in the table of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TableKey {
    /// 128-bit hash of the key.
    pub hash: u128,
    pub bucket: u8,
    pub running: bool,
}

/// Reply to a [`KeyTableRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyTableReply {
    /// Keys in ascending order of their hashes. `more` tells whether another page follows.
    Page { keys: Vec<TableKey>, more: bool },
    /// The agent has restarted since the requested incarnation.
    Restarted,
}

/// Asks another entry for the changes of the configuration since `version`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConfigRequest {
    pub version: ConfigVersion,
}

/// Reply to a [`ConfigRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConfigReply {
    pub update: ConfigUpdate,
}

/// A job operation received over HTTP and forwarded to the owner of its cell.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Forward {
    pub cell: CellId,
    pub method: String,
    pub path: String,
    pub team: Option<String>,
    pub operator: bool,
    pub body: Bytes,
}

/// Reply to a [`Forward`], returned to the client as the HTTP response.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ForwardReply {
    pub status: u16,
    pub body: Bytes,
}
