//! Keys that an entry dispatched before a restart, recovered by its next incarnation.
//!
//! The table of dispatched keys is lost with a process. It is replaced by two sources: the key
//! tables of the current holders, which know the keys that they ran and refuse requests of the
//! ended process that arrive later, and the lists of keys that the ended process had dispatched
//! to older holders before moves.

use std::collections::{BTreeMap, HashMap};

use crate::id::{Incarnation, ServiceId};
use crate::keys::lists::{self, KeyHash, Lists};
use crate::keys::{BucketIndex, DispatchRecord, Generation, Holder, KeyMap, BUCKETS, RETENTION};
use crate::message::entry::{KeyListRequest, TableKey};
use crate::time::{self, Time};

/// An earlier dispatch of a key by this or the previous incarnation of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PriorDispatch {
    /// Holder that received the key, or `None` if it is only known to be an older one.
    pub holder: Option<Holder>,
    /// Generation of the key's bucket at the dispatch, or 0 if it is not known.
    pub generation: Generation,
    /// Bucket of the key, or `None` if it is not known.
    bucket: Option<u8>,
    /// The key was still running when it was recovered, so its retention had not begun.
    running: bool,
}

impl PriorDispatch {
    /// Builds a prior dispatch from this incarnation's own record.
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

/// Keys that an entry has recovered from its previous incarnation.
#[derive(Debug, Default)]
pub struct RecoveredKeys {
    /// Previous incarnation, if its table of dispatched keys was complete.
    predecessor: Option<Incarnation>,
    /// Bit mask of the recovered buckets of each service; bit `n` stands for bucket `n`.
    buckets_done: BTreeMap<ServiceId, u64>,
    /// All buckets of all services are recovered.
    complete: bool,
    keys: HashMap<ServiceId, HashMap<KeyHash, PriorDispatch>>,
    /// Time at which keys were last added from a holder's table.
    last_added: Time,
}

impl RecoveredKeys {
    /// Sets the previous incarnation, whose keys are to be recovered.
    pub fn set_predecessor(&mut self, predecessor: Incarnation) {
        self.predecessor = Some(predecessor);
    }

    /// Returns the previous incarnation until all its keys are recovered.
    pub fn pending(&self) -> Option<Incarnation> {
        self.predecessor.filter(|_| !self.complete)
    }

    /// Tells whether all buckets of all services are recovered.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns the recovered dispatch of a key.
    pub fn get(&self, service: &str, key: &[u8]) -> Option<&PriorDispatch> {
        self.keys.get(service)?.get(&lists::hash_of(key))
    }

    /// Iterates over the hashes of a service's recovered keys that are in the buckets of `mask`, or
    /// in an unknown bucket, and were not dispatched in `generation`.
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

    /// Tells whether the keys of a bucket are recovered.
    pub fn has_bucket(&self, service: &str, index: BucketIndex) -> bool {
        self.buckets_done.get(service).is_some_and(|mask| mask & (1 << index) != 0)
    }

    /// Adds the keys of `buckets`, all assigned to `holder`, from the holder's complete key table.
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

    /// Adds key hashes that the previous incarnation dispatched to older holders.
    pub fn add_list(&mut self, service: &str, hashes: Vec<KeyHash>) {
        let keys = self.keys.entry(service.to_owned()).or_default();
        for hash in hashes {
            let prior = PriorDispatch { holder: None, generation: 0, bucket: None, running: false };
            keys.entry(hash).or_insert(prior);
        }
    }

    /// Records that all buckets of all services are recovered.
    pub fn set_complete(&mut self) {
        self.complete = true;
    }

    /// Removes the keys that had ended before the recovery, once the retention has passed since.
    pub fn prune(&mut self, now: Time) {
        if now.saturating_sub(self.last_added) >= time::lease_wait(RETENTION) {
            for keys in self.keys.values_mut() {
                keys.retain(|_, prior| prior.running);
            }
        }
    }
}

/// Whether the keys that a restarted entry had dispatched to older holders of a bucket are known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListState {
    /// This entry holds the complete lists of these keys.
    Held,
    /// A list of these keys exists but is not fetched yet.
    Missing,
    /// The bucket moved after the previous incarnation had ended, so the keys are lost.
    Lost,
}

/// Returns whether the keys that earlier incarnations of `entry` dispatched to older holders of a
/// bucket are known from the `held` lists.
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

/// Returns the buckets that `map` assigns to `holder`.
pub fn held_by(map: &KeyMap, holder: &Holder) -> Vec<BucketIndex> {
    (0..BUCKETS)
        .filter(|index| map.buckets.get(*index).is_some_and(|b| b.holder == *holder))
        .collect()
}
