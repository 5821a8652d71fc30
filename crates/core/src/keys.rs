//! At-most-once execution of requests with an idempotency key, on the entry's side.
//!
//! See section 3.6 of `docs/design.md`. An entry is a proxy process that receives requests and
//! dispatches them to agents. The idempotency keys of a service are hashed into a fixed number of
//! buckets, and the key map in the store assigns each bucket to one holder: one incarnation, that
//! is one process lifetime, of an agent. Only the holder of a bucket runs its keys.
//!
//! A move reassigns buckets to new holders and has a generation. It has two phases, so that no
//! entry dispatches to the old holder once the new one may run a key: first each entry
//! acknowledges that it has stopped dispatching to the old holder, then the buckets open for the
//! new one. The witnesses of a move are the entries that may have dispatched keys to the old
//! holder; a new key runs only if they did not dispatch it. A request for a key that may have run
//! at an old holder ends as `unknown`.

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

/// Number of buckets of each service.
pub const BUCKETS: usize = 64;
/// Time for which an entry remembers a dispatched key, and for which the witnesses of a move are
/// asked about new keys.
pub const RETENTION: Duration = Duration::from_secs(10 * 60);

/// Maximum age of the list of entries from which a key may be reported as not run.
pub const LIST_AGE_LIMIT: Duration = Duration::from_secs(6);
/// Time for which an entry with a new name dispatches no keys, so that it is in each list of
/// entries from which a key may be reported as not run. Longer than [`LIST_AGE_LIMIT`] by the
/// timeouts of store calls and of probes, and by the allowance for clock drift.
pub const JOIN_DELAY: Duration = Duration::from_secs(8);

/// Time for which an entry delays the acknowledgement of a move until another entry has fetched
/// its list of dispatched keys. Bounds the delay of a move when no other entry can fetch the list.
pub const LIST_COPY_LIMIT: Duration = Duration::from_secs(1);

/// Index of a bucket, below [`BUCKETS`].
pub type BucketIndex = usize;
/// Version of a key map, which rises with each move.
pub type Generation = u64;

/// Returns the bucket that a key hashes to.
pub fn bucket_of(key: &[u8]) -> BucketIndex {
    (hash::hash64(key) % BUCKETS as u64) as usize
}

/// The agent incarnation that may run the keys of a bucket.
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
    /// The entry's table of dispatched keys covered the whole retention at the time of the move,
    /// or its previous incarnation is a witness as well.
    pub complete: bool,
    /// Previous incarnation of the entry, whose record in the store this one replaced.
    #[serde(default)]
    pub predecessor: Option<Incarnation>,
}

/// Phase of a bucket, which decides whether its keys may be dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Some entry has not yet acknowledged that it stopped dispatching to the old holder.
    Moving,
    /// Keys may be dispatched to the holder.
    Open,
}

/// Assignment of one bucket of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bucket {
    pub holder: Holder,
    pub phase: Phase,
    /// Generation of the last move of this bucket.
    pub generation: Generation,
}

/// Assignment of a service's buckets to holders, stored as `keymap/<service>`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyMap {
    /// Generation of the latest move of any bucket.
    pub generation: Generation,
    /// All [`BUCKETS`] buckets by index, or empty before the first assignment.
    pub buckets: Vec<Bucket>,
    /// Witnesses to ask about the keys of each move, by generation. Keys of a move that is not
    /// listed need no probe: the move was the first assignment, or opened a retention ago.
    pub moves: BTreeMap<Generation, Vec<Witness>>,
}

impl KeyMap {
    /// Returns a bucket and the witnesses of its last move.
    pub fn bucket(&self, index: BucketIndex) -> Option<(&Bucket, &[Witness])> {
        let bucket = self.buckets.get(index)?;
        let witnesses = self.moves.get(&bucket.generation).map_or(&[][..], Vec::as_slice);
        Some((bucket, witnesses))
    }

    /// Tells whether any bucket is still in [`Phase::Moving`].
    pub fn is_moving(&self) -> bool {
        self.buckets.iter().any(|bucket| bucket.phase == Phase::Moving)
    }

    /// Drops the witnesses of moves that are not the last move of any bucket.
    pub fn drop_unused(&mut self) {
        let buckets = &self.buckets;
        self.moves.retain(|generation, _| buckets.iter().any(|b| b.generation == *generation));
    }
}
