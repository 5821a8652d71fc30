//! Keys, versions and leases of the stand-in, without I/O.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

const SECOND: Duration = Duration::from_secs(1);

/// Largest value accepted, in bytes.
pub const VALUE_LIMIT: usize = 1024 * 1024;

/// A value with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    pub version: u64,
    pub value: Bytes,
    lease: Option<u64>,
}

/// Result of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Put {
    Written(u64),
    Conflict(u64),
    TooLarge,
    UnknownLease,
}

/// Keys with their values. Versions come from one counter over all keys, so that a key that is
/// deleted and created again never gets an earlier version.
#[derive(Debug, Default)]
pub struct Table {
    revision: u64,
    entries: BTreeMap<String, Entry>,
    leases: HashMap<u64, (Duration, Duration)>,
    next_lease: u64,
}

impl Table {
    /// Returns a key's value.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Returns the keys that start with `prefix`.
    pub fn list(&self, prefix: &str) -> Vec<(String, Entry)> {
        self.entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, entry)| (key.clone(), entry.clone()))
            .collect()
    }

    /// Writes a key if its version is `expect` (0: absent; `None`: any).
    pub fn put(&mut self, key: &str, expect: Option<u64>, value: Bytes, lease: Option<u64>) -> Put {
        let found = self.entries.get(key).map_or(0, |entry| entry.version);
        match expect {
            _ if value.len() > VALUE_LIMIT => Put::TooLarge,
            _ if lease.is_some_and(|id| !self.leases.contains_key(&id)) => Put::UnknownLease,
            Some(expect) if expect != found => Put::Conflict(found),
            _ => {
                self.revision += 1;
                let entry = Entry { version: self.revision, value, lease };
                self.entries.insert(key.to_owned(), entry);
                Put::Written(self.revision)
            }
        }
    }

    /// Removes a key; tells whether it was present.
    pub fn delete(&mut self, key: &str) -> bool {
        self.entries.remove(key).is_some()
    }

    /// Creates a lease that runs until `now + ttl`.
    pub fn grant(&mut self, now: Duration, ttl: Duration) -> u64 {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, (now + ttl, ttl));
        self.next_lease
    }

    /// Extends a lease by its TTL from `now`; tells whether it still existed.
    pub fn renew(&mut self, now: Duration, id: u64) -> bool {
        match self.leases.get_mut(&id) {
            Some((end, ttl)) => {
                *end = now + *ttl;
                true
            }
            None => false,
        }
    }

    /// Ends a lease and removes its keys.
    pub fn revoke(&mut self, id: u64) -> bool {
        let known = self.leases.remove(&id).is_some();
        if known {
            self.entries.retain(|_, entry| entry.lease != Some(id));
        }
        known
    }

    /// Ends the leases that have run out.
    pub fn expire(&mut self, now: Duration) {
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        for id in over {
            self.revoke(id);
        }
    }
}

/// Calls received, by kind.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Stats {
    pub reads: u64,
    pub writes: u64,
    pub watches: u64,
    /// Watches that wait now.
    pub watches_waiting: u64,
    /// Most reads, including watches and lists, within one second.
    pub peak_reads_per_second: u64,
    /// Most writes, including deletions and lease calls, within one second.
    pub peak_writes_per_second: u64,
    #[serde(skip)]
    window: (Duration, u64, u64),
}

impl Stats {
    /// Counts a call that is not a watch.
    pub fn count(&mut self, now: Duration, is_write: bool) {
        if now.saturating_sub(self.window.0) >= SECOND {
            self.window = (now, 0, 0);
        }
        if is_write {
            self.writes += 1;
            self.window.2 += 1;
        } else {
            self.reads += 1;
            self.window.1 += 1;
        }
        self.peak_reads_per_second = self.peak_reads_per_second.max(self.window.1);
        self.peak_writes_per_second = self.peak_writes_per_second.max(self.window.2);
    }
}
