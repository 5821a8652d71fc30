//! Lists of the keys that the witnesses of a move dispatched before it.
//!
//! A witness that has adopted a move dispatches nothing more to the old holders of the moved
//! buckets, so its list is final from then on. The other entries fetch and keep the list: if the
//! witness dies, only the keys that it had dispatched end as `unknown`, and new keys can run.

use std::collections::{BTreeMap, BTreeSet};

use crate::hash;
use crate::id::{EntryId, Incarnation, ServiceId};
use crate::keys::{Bucket, Generation};
use crate::message::entry::{KeyListReply, KeyListRequest};

/// Maximum number of key hashes in one page: 512 KB, in a frame of at most 1 MB.
pub const PAGE_LIMIT: usize = 32 * 1024;

/// Hash that stands for a key in a list. A collision would make a new key end as `unknown`; at
/// 128 bits its probability is negligible.
pub type KeyHash = u128;

/// Returns the hash that stands for a key in lists.
pub fn hash_of(key: &[u8]) -> KeyHash {
    hash::hash128(key)
}

/// Returns the bit mask of the buckets that moved last in `generation`; bit `n` stands for bucket
/// `n`.
pub fn move_mask(buckets: &[Bucket], generation: Generation) -> u64 {
    let moved = buckets.iter().enumerate().filter(|(_, bucket)| bucket.generation == generation);
    moved.fold(0, |mask, (index, _)| mask | (1 << index))
}

/// Returns the first [`PAGE_LIMIT`] of the sorted `hashes` as a page, and whether more follow.
pub fn page(hashes: impl Iterator<Item = KeyHash>) -> KeyListReply {
    let mut keys: Vec<_> = hashes.take(PAGE_LIMIT + 1).collect();
    let more = keys.len() > PAGE_LIMIT;
    keys.truncate(PAGE_LIMIT);
    KeyListReply::Page { keys, more }
}

/// The keys that one witness dispatched before one move.
#[derive(Debug, Default)]
struct List {
    /// Bit mask of the buckets that the list covers.
    mask: u64,
    keys: BTreeSet<KeyHash>,
}

/// Service, move and witness of a list.
type ListId = (ServiceId, Generation, EntryId, Incarnation);

/// The complete lists of other entries' keys that an entry holds.
#[derive(Debug, Default)]
pub struct Lists {
    lists: BTreeMap<ListId, List>,
}

impl Lists {
    /// Stores the complete list that `request` names.
    pub fn insert(&mut self, request: &KeyListRequest, keys: BTreeSet<KeyHash>) {
        self.lists.insert(list_id(request), List { mask: request.buckets, keys });
    }

    /// Tells whether the list that `request` names is held for all requested buckets.
    pub fn holds(&self, request: &KeyListRequest) -> bool {
        let wanted = request.buckets;
        self.lists.get(&list_id(request)).is_some_and(|list| list.mask & wanted == wanted)
    }

    /// Answers a request for a page of another entry's list.
    pub fn page(&self, request: &KeyListRequest) -> KeyListReply {
        match self.lists.get(&list_id(request)) {
            Some(list) if self.holds(request) => match request.after {
                Some(after) => page(list.keys.range(after..).copied().filter(|k| *k > after)),
                None => page(list.keys.iter().copied()),
            },
            _ => KeyListReply::NotHeld,
        }
    }

    /// Tells whether a witness dispatched a key before a move. Returns `None` if the witness's list
    /// is not held or does not cover the key's bucket.
    pub fn dispatched(
        &self,
        service: &str,
        generation: Generation,
        (entry, incarnation): (&str, Incarnation),
        key: &[u8],
    ) -> Option<bool> {
        let list_id = (service.to_owned(), generation, entry.to_owned(), incarnation);
        let list = self.lists.get(&list_id)?;
        let covered = list.mask & (1 << super::bucket_of(key)) != 0;
        covered.then(|| list.keys.contains(&hash_of(key)))
    }

    /// Tells whether any held list of a service contains the key.
    pub fn contains(&self, service: &str, key: &[u8]) -> bool {
        let hash = hash_of(key);
        self.lists.iter().any(|((name, ..), list)| name == service && list.keys.contains(&hash))
    }

    /// Returns the hashes in all held lists of one entry's keys, over all its incarnations.
    pub fn hashes(&self, service: &str, entry: &str) -> Vec<KeyHash> {
        let own = self.lists.iter().filter(|((name, _, e, _), _)| name == service && e == entry);
        own.flat_map(|(_, list)| list.keys.iter().copied()).collect()
    }

    /// Drops the lists of a service's moves for which `is_current` returns false.
    pub fn retain(&mut self, service: &str, is_current: impl Fn(Generation) -> bool) {
        self.lists.retain(|(name, generation, ..), _| name != service || is_current(*generation));
    }

    /// Drops all held lists.
    pub fn clear(&mut self) {
        self.lists.clear();
    }
}

fn list_id(request: &KeyListRequest) -> ListId {
    let KeyListRequest { service, generation, entry, incarnation, .. } = request;
    (service.clone(), *generation, entry.clone(), *incarnation)
}
