//! Keys that the process before a restart of an entry dispatched.
//!
//! The holders of the buckets know which of its requests they ran, and refuse those that arrive
//! later; the lists of moves name what it had dispatched to older holders. Together they replace
//! the table that was lost with the process.

use std::collections::{BTreeMap, HashMap};

use crate::id::{Incarnation, ServiceId};
use crate::keys::lists::{self, KeyHash, Lists};
use crate::keys::{BucketIndex, DispatchRecord, Generation, Holder, KeyMap, BUCKETS, RETENTION};
use crate::message::entry::{KeyListRequest, TableKey};
use crate::time::{self, Time};

/// A dispatch by an earlier incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PriorDispatch {
    /// `None` for a holder before the current one.
    pub holder: Option<Holder>,
    pub generation: Generation,
    /// `None` when it is not known.
    bucket: Option<u8>,
    /// Still running when it was taken over: its retention has not begun.
    running: bool,
}

impl PriorDispatch {
    /// Builds the dispatch by this incarnation.
    pub fn new(own: &DispatchRecord) -> Self {
        let DispatchRecord { holder, generation, .. } = own;
        PriorDispatch {
            holder: Some(holder.clone()),
            generation: *generation,
            bucket: None,
            running: false,
        }
    }
}

/// What an entry has taken over from its predecessor.
#[derive(Debug, Default)]
pub struct RecoveredKeys {
    /// The incarnation before, if its own table was complete.
    predecessor: Option<Incarnation>,
    /// Buckets of each service that are taken over; bit `n` stands for bucket `n`.
    buckets_done: BTreeMap<ServiceId, u64>,
    complete: bool,
    keys: HashMap<ServiceId, HashMap<KeyHash, PriorDispatch>>,
    /// When the last keys were taken over.
    last_added: Time,
}

impl RecoveredKeys {
    /// Sets the incarnation before this one.
    pub fn set_predecessor(&mut self, predecessor: Incarnation) {
        self.predecessor = Some(predecessor);
    }

    /// Returns the incarnation whose keys are to be taken over, if that is not done yet.
    pub fn pending(&self) -> Option<Incarnation> {
        self.predecessor.filter(|_| !self.complete)
    }

    /// Tells whether everything is taken over.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns a key's dispatch.
    pub fn get(&self, service: &str, key: &[u8]) -> Option<&PriorDispatch> {
        self.keys.get(service)?.get(&lists::hash_of(key))
    }

    /// Iterates over the hashes of a service, but those of other buckets than `mask` and those of
    /// `generation`.
    pub fn hashes_before<'a>(
        &'a self,
        service: &str,
        mask: u64,
        generation: Generation,
    ) -> impl Iterator<Item = KeyHash> + 'a {
        let keys = self.keys.get(service).into_iter().flatten();
        let listed = move |prior: &PriorDispatch| {
            prior.generation != generation
                && prior.bucket.is_none_or(|bucket| mask & (1 << bucket) != 0)
        };
        keys.filter(move |(_, prior)| listed(prior)).map(|(hash, _)| *hash)
    }

    /// Tells whether a bucket is taken over.
    pub fn has_bucket(&self, service: &str, index: BucketIndex) -> bool {
        self.buckets_done.get(service).is_some_and(|mask| mask & (1 << index) != 0)
    }

    /// Takes over `buckets`, which `holder` holds, with the holder's whole table.
    pub fn add_table(
        &mut self,
        now: Time,
        service: &str,
        map: &KeyMap,
        (holder, buckets): (&Holder, &[BucketIndex]),
        table: &[TableKey],
    ) {
        self.last_added = now;
        let keys = self.keys.entry(service.to_owned()).or_default();
        for key in table.iter().filter(|key| buckets.contains(&usize::from(key.bucket))) {
            let generation = map.buckets[usize::from(key.bucket)].generation;
            let prior = PriorDispatch {
                holder: Some(holder.clone()),
                generation,
                bucket: Some(key.bucket),
                running: key.running,
            };
            keys.insert(key.hash, prior);
        }
        let mask = self.buckets_done.entry(service.to_owned()).or_default();
        *mask |= buckets.iter().fold(0, |mask, index| mask | (1 << index));
    }

    /// Takes over the keys of a list of the predecessor.
    pub fn add_list(&mut self, service: &str, hashes: Vec<KeyHash>) {
        let keys = self.keys.entry(service.to_owned()).or_default();
        for hash in hashes {
            let prior = PriorDispatch { holder: None, generation: 0, bucket: None, running: false };
            keys.entry(hash).or_insert(prior);
        }
    }

    /// Notes that all buckets of all services are taken over.
    pub fn set_complete(&mut self) {
        self.complete = true;
    }

    /// Forgets keys after the retention.
    pub fn prune(&mut self, now: Time) {
        if now.saturating_sub(self.last_added) >= time::lease_wait(RETENTION) {
            for keys in self.keys.values_mut() {
                keys.retain(|_, prior| prior.running);
            }
        }
    }
}

/// How the older holders of a bucket matter to an entry that takes over its predecessor's keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListState {
    /// All that the predecessor dispatched to them is in lists that are held.
    Held,
    /// A list is lacking.
    Missing,
    /// The bucket moved after the predecessor had ended, and its keys cannot be known.
    Lost,
}

/// Tells how the holders before the current one of a bucket matter to an incarnation of `entry`.
pub fn list_state(
    service: &str,
    map: &KeyMap,
    index: BucketIndex,
    (entry, incarnation): (&str, Incarnation),
    held: &Lists,
) -> ListState {
    let Some((bucket, witnesses)) = map.bucket(index) else { return ListState::Held };
    let own = witnesses.iter().filter(|w| w.entry == entry);
    let state = |w: &crate::keys::Witness| {
        let request = KeyListRequest {
            service: service.to_owned(),
            generation: bucket.generation,
            entry: entry.to_owned(),
            incarnation: w.incarnation,
            buckets: 1 << index,
            after: None,
        };
        match () {
            () if !w.complete => ListState::Lost,
            () if w.incarnation == incarnation || held.holds(&request) => ListState::Held,
            () => ListState::Missing,
        }
    };
    let states: Vec<_> = own.map(state).collect();
    match () {
        () if states.contains(&ListState::Lost) => ListState::Lost,
        () if states.contains(&ListState::Missing) => ListState::Missing,
        () => ListState::Held,
    }
}

/// Returns the buckets of a map that `holder` holds.
pub fn held_by(map: &KeyMap, holder: &Holder) -> Vec<BucketIndex> {
    (0..BUCKETS)
        .filter(|index| map.buckets.get(*index).is_some_and(|b| b.holder == *holder))
        .collect()
}
