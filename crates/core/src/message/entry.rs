//! Messages between entries.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{AgentId, CellId, ConfigVersion, EntryId, Incarnation, ServiceId};
use crate::keys::Generation;
use crate::message::announce::ConfigUpdate;

/// Asks whether the receiver dispatched a key to an upstream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Probe {
    pub service: ServiceId,
    pub key: Bytes,
}

/// Answer to [`Probe`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeReply {
    /// Not dispatched within the retention of this process, which covers the time since `incarnation` started.
    NotDispatched { entry: EntryId, incarnation: Incarnation },
    /// Dispatched to this holder; the outcome may be anything but a certain `not run`.
    Dispatched { agent: AgentId, incarnation: Incarnation },
}

/// Asks for a page of the keys that one witness of a move dispatched before it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyListRequest {
    pub service: ServiceId,
    pub generation: Generation,
    /// The witness; another entry may hold its list.
    pub entry: EntryId,
    pub incarnation: Incarnation,
    /// Buckets of the move; bit `n` stands for bucket `n`.
    pub buckets: u64,
    /// Last hash of the page before.
    pub after: Option<u128>,
}

/// Answer to [`KeyListRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyListReply {
    /// 128-bit hashes of keys, in ascending order.
    Page { keys: Vec<u128>, more: bool },
    /// The receiver does not hold the whole list, or has not adopted the move yet.
    NotHeld,
}

/// Asks an agent for a page of its key table, on behalf of a restarted entry. The agent refuses
/// requests of the ended process from then on, so that the pages name all that it ran for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyTableRequest {
    /// The agent incarnation that the entry means; another one has another table.
    pub agent_incarnation: Incarnation,
    pub entry: EntryId,
    /// The incarnation of the entry that has ended.
    pub ended: Incarnation,
    /// Last hash of the page before.
    pub after: Option<u128>,
}

/// A key in the table of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TableKey {
    /// 128-bit hash of the key.
    pub hash: u128,
    pub bucket: u8,
    pub running: bool,
}

/// Answer to [`KeyTableRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyTableReply {
    /// In ascending order of hashes.
    Page { keys: Vec<TableKey>, more: bool },
    /// The agent is another incarnation.
    Restarted,
}

/// Asks a peer entry for a newer configuration.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConfigRequest {
    pub version: ConfigVersion,
}

/// Answer to [`ConfigRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConfigReply {
    pub update: ConfigUpdate,
}

/// A job operation for the owner of a cell, as received over HTTP.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Forward {
    pub cell: CellId,
    pub method: String,
    pub path: String,
    pub team: Option<String>,
    pub operator: bool,
    pub body: Bytes,
}

/// Answer to [`Forward`], to be passed on as an HTTP response.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ForwardReply {
    pub status: u16,
    pub body: Bytes,
}
