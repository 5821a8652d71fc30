//! The owner record of a cell in the store, under the key `cell/<name>/owner`.

use std::time::Duration;

use bytes::Bytes;
use peridotfold_core::cell::{CellState, Event};
use peridotfold_core::id::{EntryId, Epoch, Incarnation};
use peridotfold_core::message::announce::CellOwner;
use peridotfold_store::{Replay, Versioned};
use serde::{Deserialize, Serialize};

/// The owner of a cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    pub entry: EntryId,
    pub incarnation: Incarnation,
    /// Address for messages between processes, as IP and port.
    pub address: String,
    pub epoch: Epoch,
    /// The owner has released the cell.
    pub released: bool,
}

impl OwnerRecord {
    /// Returns the owner for agents and other entries.
    pub fn owner(&self) -> CellOwner {
        let OwnerRecord { entry, address, epoch, .. } = self.clone();
        CellOwner { entry, address, epoch }
    }

    /// Encodes the record as JSON.
    pub fn encode(&self) -> Bytes {
        // Encoding of strings, numbers and booleans cannot fail.
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// Decodes a record; `None` when it is malformed.
    pub fn decode(found: &Versioned) -> Option<Self> {
        serde_json::from_slice(&found.value).ok()
    }
}

/// An owner record as last read or written.
#[derive(Debug, Clone)]
pub struct CachedRecord {
    pub record: OwnerRecord,
    /// Time of the read or write, since the start of the process.
    pub read_at: Duration,
}

/// Returns the key of a cell's owner record.
pub fn owner_key(cell: &str) -> String {
    format!("cell/{cell}/owner")
}

/// Returns the name of a cell's journal.
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
