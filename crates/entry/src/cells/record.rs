//! The record `cell/<name>/owner` in the store.

use std::time::Duration;

use bytes::Bytes;
use peridotfold_core::cell::{CellState, Event};
use peridotfold_core::id::{EntryId, Epoch, Incarnation};
use peridotfold_core::message::announce::CellOwner;
use peridotfold_store::{Replay, Versioned};
use serde::{Deserialize, Serialize};

/// Who owns a cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    pub entry: EntryId,
    pub incarnation: Incarnation,
    /// Address for messages between processes, as IP and port.
    pub address: String,
    pub epoch: Epoch,
    /// The owner has handed the cell back.
    pub released: bool,
}

impl OwnerRecord {
    pub fn owner(&self) -> CellOwner {
        let OwnerRecord { entry, address, epoch, .. } = self.clone();
        CellOwner { entry, address, epoch }
    }

    pub fn encode(&self) -> Bytes {
        // A struct of strings and numbers always encodes.
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// Decodes a record; `None` when it is malformed.
    pub fn decode(found: &Versioned) -> Option<Self> {
        serde_json::from_slice(&found.value).ok()
    }
}

/// An owner record as last read.
#[derive(Debug, Clone)]
pub struct CachedRecord {
    pub record: OwnerRecord,
    pub read_at: Duration,
}

/// Key of the owner record.
pub fn owner_key(cell: &str) -> String {
    format!("cell/{cell}/owner")
}

/// Name of the journal.
pub fn journal_name(cell: &str) -> String {
    format!("cell/{cell}")
}

/// The durable state of a cell as the journal replays it.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Replayed(pub CellState);

impl Replay for Replayed {
    type Record = Event;

    fn apply(&mut self, event: &Event) {
        self.0.apply(event);
    }
}
