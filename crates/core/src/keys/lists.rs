//! Lists of the keys that witnesses of a move dispatched before it.
//!
//! A witness that has adopted a move dispatches nothing more to older holders of its buckets, so
//! its list is final from then on. Entries fetch and keep the lists: the death of a witness then
//! leaves only the keys unknown that it had dispatched.

use std::collections::{BTreeMap, BTreeSet};

use crate::hash;
use crate::id::{EntryId, Incarnation, ServiceId};
use crate::keys::{Bucket, Generation};
use crate::message::entry::{KeyListReply, KeyListRequest};

/// Hashes in one page: 512 KB of a frame of at most 1 MB.
pub const PAGE_LIMIT: usize = 32 * 1024;

/// Hash of a key in a list. At 128 bits, a collision, which would make a key `unknown`, is
/// negligible.
pub type KeyHash = u128;

/// Returns the hash of a key.
pub fn hash_of(key: &[u8]) -> KeyHash {
    hash::wide(key)
}

/// Returns the buckets of a move as a mask.
pub fn move_mask(buckets: &[Bucket], generation: Generation) -> u64 {
    let moved = buckets.iter().enumerate().filter(|(_, bucket)| bucket.generation == generation);
    moved.fold(0, |mask, (index, _)| mask | (1 << index))
}

/// Cuts a page from the sorted hashes after `after`.
pub fn page(hashes: impl Iterator<Item = KeyHash>) -> KeyListReply {
    let mut keys: Vec<_> = hashes.take(PAGE_LIMIT + 1).collect();
    let more = keys.len() > PAGE_LIMIT;
    keys.truncate(PAGE_LIMIT);
    KeyListReply::Page { keys, more }
}

#[derive(Debug, Default)]
struct List {
    /// Buckets that the list covers.
    mask: u64,
    keys: BTreeSet<KeyHash>,
}

type ListId = (ServiceId, Generation, EntryId, Incarnation);

/// The complete lists that an entry holds.
#[derive(Debug, Default)]
pub struct Lists {
    lists: BTreeMap<ListId, List>,
}

impl Lists {
    /// Keeps a complete list.
    pub fn insert(&mut self, request: &KeyListRequest, keys: BTreeSet<KeyHash>) {
        self.lists.insert(list_id(request), List { mask: request.buckets, keys });
    }

    /// Tells whether the list that `request` names is held.
    pub fn holds(&self, request: &KeyListRequest) -> bool {
        let wanted = request.buckets;
        self.lists.get(&list_id(request)).is_some_and(|list| list.mask & wanted == wanted)
    }

    /// Answers a request for a list of another entry.
    pub fn page(&self, request: &KeyListRequest) -> KeyListReply {
        match self.lists.get(&list_id(request)) {
            Some(list) if self.holds(request) => match request.after {
                Some(after) => page(list.keys.range(after..).copied().filter(|k| *k > after)),
                None => page(list.keys.iter().copied()),
            },
            _ => KeyListReply::NotHeld,
        }
    }

    /// Tells whether a witness dispatched a key before a move; `None` without its list.
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

    /// Tells whether any list of a service has the key.
    pub fn contains(&self, service: &str, key: &[u8]) -> bool {
        let hash = hash_of(key);
        self.lists.iter().any(|((name, ..), list)| name == service && list.keys.contains(&hash))
    }

    /// Returns the hashes in all lists of an entry.
    pub fn hashes(&self, service: &str, entry: &str) -> Vec<KeyHash> {
        let own = self.lists.iter().filter(|((name, _, e, _), _)| name == service && e == entry);
        own.flat_map(|(_, list)| list.keys.iter().copied()).collect()
    }

    /// Drops the lists of moves for which `is_current` does not hold.
    pub fn retain(&mut self, service: &str, is_current: impl Fn(Generation) -> bool) {
        self.lists.retain(|(name, generation, ..), _| name != service || is_current(*generation));
    }

    /// Drops all lists.
    pub fn clear(&mut self) {
        self.lists.clear();
    }
}

fn list_id(request: &KeyListRequest) -> ListId {
    let KeyListRequest { service, generation, entry, incarnation, .. } = request;
    (service.clone(), *generation, entry.clone(), *incarnation)
}
