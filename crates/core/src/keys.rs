//! At-most-once execution of requests with an idempotency key, on the entry's side.
//!
//! See section 3.6 of `docs/design.md`. Each service has a fixed number of buckets; the key map in
//! the store gives each bucket to one holder (an incarnation of an agent). A bucket moves in two
//! steps, so that no entry dispatches to the old holder once the new one may run a key.

pub mod dispatch;
pub mod gate;
pub mod lists;
pub mod plan;
pub mod recovered;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::hash;
use crate::id::{AgentId, EntryId, Incarnation};

pub use dispatch::{DispatchRecord, DispatchTable};
pub use gate::{Decision, KeyGate, ProbeResult};
pub use plan::Planner;

/// Buckets of each service.
pub const BUCKETS: usize = 64;
/// Time for which an entry remembers a dispatched key, and for which a move is probed.
pub const RETENTION: Duration = Duration::from_secs(10 * 60);

/// Age of the list of entries up to which a key may be reported as not run.
pub const LIST_AGE_LIMIT: Duration = Duration::from_secs(6);
/// Time for which an entry with a new name dispatches no keys, so that each list that is recent
/// enough for a `not run` names it. Longer than [`LIST_LIMIT`] by the time limits of the store's
/// calls and of probes, and by clock rates.
pub const JOIN_DELAY: Duration = Duration::from_secs(8);

/// Time for which an entry holds back the acknowledgement of a move until another entry has its
/// list. Bounds the delay of a move when no other entry can fetch it.
pub const LIST_COPY_LIMIT: Duration = Duration::from_secs(1);

/// Index of a bucket.
pub type BucketIndex = usize;
/// Number of a change of a key map; rises with each move.
pub type Generation = u64;

/// Returns the bucket of a key.
pub fn bucket_of(key: &[u8]) -> BucketIndex {
    (hash::stable(key) % BUCKETS as u64) as usize
}

/// The incarnation of an agent that may run the keys of a bucket.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holder {
    pub agent: AgentId,
    pub incarnation: Incarnation,
}

/// An entry that may have dispatched keys to the old holder of a bucket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Witness {
    pub entry: EntryId,
    pub incarnation: Incarnation,
    /// Its table of dispatched keys covered the whole retention at the time of the move, or the
    /// incarnation before it is a witness as well.
    pub complete: bool,
    /// Incarnation whose record this one replaced.
    #[serde(default)]
    pub predecessor: Option<Incarnation>,
}

/// Whether keys of a bucket may be dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Not every entry has acknowledged that it stopped dispatching to the old holder.
    Moving,
    Open,
}

/// One bucket of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bucket {
    pub holder: Holder,
    pub phase: Phase,
    /// Generation of the last move.
    pub generation: Generation,
}

/// The record `keymap/<service>` in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyMap {
    /// Generation of the latest move.
    pub generation: Generation,
    /// One for each bucket, or none before the first assignment.
    pub buckets: Vec<Bucket>,
    /// Entries to ask about the keys of a move, by generation. A move without a list needs no
    /// probes: it is the first assignment, or the retention has passed since it was opened.
    pub moves: BTreeMap<Generation, Vec<Witness>>,
}

impl KeyMap {
    /// Returns the bucket with its witnesses.
    pub fn bucket(&self, index: BucketIndex) -> Option<(&Bucket, &[Witness])> {
        let bucket = self.buckets.get(index)?;
        let witnesses = self.moves.get(&bucket.generation).map_or(&[][..], Vec::as_slice);
        Some((bucket, witnesses))
    }

    /// Tells whether a move is not finished.
    pub fn is_moving(&self) -> bool {
        self.buckets.iter().any(|bucket| bucket.phase == Phase::Moving)
    }

    /// Drops the lists of moves that no bucket refers to.
    pub fn drop_unused(&mut self) {
        let buckets = &self.buckets;
        self.moves.retain(|generation, _| buckets.iter().any(|b| b.generation == *generation));
    }
}
