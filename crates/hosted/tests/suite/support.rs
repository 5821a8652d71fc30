//! In-memory store that can lose answers, refuse calls, and apply a write of another process
//! between two reads.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use peridotfold_core::flow::model::{JobSpec, Queue, Step};
use peridotfold_core::flow::owner::OwnerSettings;
use peridotfold_core::flow::routes::Routes;
use peridotfold_hosted::entry::EntrySettings;
use peridotfold_hosted::ports::{
    Change, Item, LeaseId, Revision, Store, StoreError, WatchResult, Write, WriteResult,
};
use peridotfold_hosted::records;
use peridotfold_wire::runtime;

/// Key of the configuration, of which this store holds the version only.
const ROUTES_KEY: &str = "operator/routes";
/// Prefix of the operator's keys.
const OPERATOR_PREFIX: &str = "operator/";
/// Prefix of the keys that name evacuated zones.
pub const ZONE_PREFIX: &str = "operator/zones/";
/// Time within which a stored configuration must be in force.
pub const CONFIG_BOUND: Duration = Duration::from_secs(2);

/// Time after the end of its wait for which a watch without an answer is waited for.
const CALL_MARGIN: Duration = Duration::from_secs(1);
/// Interval at which a watch looks for changes.
const WATCH_POLL: Duration = Duration::from_millis(10);

/// Contents of the store and the faults to inject.
#[derive(Debug, Default)]
struct Table {
    items: BTreeMap<String, Item>,
    revision: Revision,
    /// Number of writes so far, including refused ones.
    writes: u32,
    /// Number of renewals of leases so far.
    renewals: u32,
    /// Number of coming writes whose answers are lost.
    lost_answers: u32,
    /// Whether writes with lost answers are applied.
    lost_applied: bool,
    /// A write to apply after a number of reads.
    delayed_write: Option<(u32, Write)>,
    /// Number of coming writes that get no answer and wait in `late_writes`.
    held_writes: u32,
    /// Writes without an answer that have not been carried out yet.
    late_writes: Vec<Write>,
    /// Delay of the answers of writes.
    delay: Duration,
    /// All changes, with their revisions.
    history: Vec<(Revision, Change)>,
    /// How watches are answered.
    watches: Watches,
}

/// How the store answers watches.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Watches {
    /// As soon as there is a change.
    #[default]
    Prompt,
    /// Without changes at the end of the wait, whatever has changed meanwhile.
    Deaf,
    /// Not at all, so that the caller gives up.
    Silent,
    /// With more than the caller reads.
    Unreadable,
}

impl Table {
    fn apply(&mut self, write: &Write) -> WriteResult {
        let holds = |(key, revision): &(String, Revision)| {
            self.items.get(key).map_or(0, |item| item.revision) == *revision
        };
        if !write.expect.iter().all(holds) {
            let named = write.expect.iter().filter_map(|(key, _)| self.items.get(key).cloned());
            return WriteResult::Conflict(named.collect());
        }
        self.revision += 1;
        for (key, value, _) in &write.puts {
            let item = Item { key: key.clone(), value: value.clone(), revision: self.revision };
            self.items.insert(key.clone(), item.clone());
            self.history.push((self.revision, Change::Written(item)));
        }
        for key in &write.removes {
            self.items.remove(key);
            let (key, revision) = (key.clone(), self.revision);
            self.history.push((revision, Change::Removed { key, revision }));
        }
        WriteResult::Done(self.revision)
    }

    /// Returns the changes after a revision to keys with a prefix.
    fn changes(&self, prefix: &str, after: Revision) -> Vec<Change> {
        let is_watched = |(revision, change): &&(Revision, Change)| {
            let (Change::Written(Item { key, .. }) | Change::Removed { key, .. }) = change;
            *revision > after && key.starts_with(prefix)
        };
        self.history.iter().filter(is_watched).map(|(_, change)| change.clone()).collect()
    }
}

/// Handle of the store for one process. Clones share the table and whether calls are refused.
#[derive(Debug, Clone, Default)]
pub struct MemoryStore(Arc<Mutex<Table>>, Arc<AtomicBool>);

impl MemoryStore {
    /// Applies a write after the given number of reads.
    pub fn write_after_reads(&self, reads: u32, write: Write) {
        self.0.lock().delayed_write = Some((reads, write));
    }

    /// Loses the answers of the next `count` writes; `is_applied` tells whether they are applied.
    pub fn lose_answers(&self, count: u32, is_applied: bool) {
        let mut table = self.0.lock();
        table.lost_answers = count;
        table.lost_applied = is_applied;
    }

    /// Leaves the next `count` writes without an answer, until [`MemoryStore::carry_out_late_writes`].
    pub fn hold_writes(&self, count: u32) {
        self.0.lock().held_writes = count;
    }

    /// Carries out the writes that were held, if their conditions still hold.
    pub fn carry_out_late_writes(&self) {
        let mut table = self.0.lock();
        table.held_writes = 0;
        for write in std::mem::take(&mut table.late_writes) {
            table.apply(&write);
        }
    }

    /// Delays the answers of writes, which are applied at once.
    pub fn delay_answers(&self, delay: Duration) {
        self.0.lock().delay = delay;
    }

    /// Sets how watches are answered, through all handles.
    pub fn set_watches(&self, watches: Watches) {
        self.0.lock().watches = watches;
    }

    /// Returns a handle of the same table for another process.
    pub fn second_handle(&self) -> Self {
        MemoryStore(self.0.clone(), Arc::default())
    }

    /// Sets whether all calls through this handle are refused.
    pub fn refuse(&self, refuses: bool) {
        self.1.store(refuses, Ordering::Relaxed);
    }

    /// Writes a key without conditions, as another process would.
    pub fn put(&self, key: &str, value: Bytes) {
        let puts = vec![(key.to_owned(), value, None)];
        self.0.lock().apply(&Write { puts, ..Write::default() });
    }

    /// Removes a key without conditions, as another process would.
    pub fn remove(&self, key: &str) {
        let removes = vec![key.to_owned()];
        self.0.lock().apply(&Write { removes, ..Write::default() });
    }

    /// Writes a configuration, as an operator would.
    pub fn put_routes(&self, version: u64) {
        self.put(ROUTES_KEY, version.to_string().into());
    }

    /// Removes a key, as the end of its lease would.
    pub fn expire(&self, key: &str) {
        self.0.lock().items.remove(key);
    }

    /// Removes the lock if it names `node`, as the end of the node's lease would.
    pub fn expire_lock_of(&self, node: &str) {
        let lock = self.peek(records::LOCK);
        let lock = lock.and_then(|value| records::decode::<records::Lock>(&value).ok());
        if lock.is_some_and(|lock| lock.node == node) {
            self.expire(records::LOCK);
        }
    }

    /// Returns the value of a key, even while calls are refused.
    pub fn peek(&self, key: &str) -> Option<Bytes> {
        self.0.lock().items.get(key).map(|item| item.value.clone())
    }

    /// Fails if calls through this handle are refused.
    fn check(&self) -> Result<(), StoreError> {
        match self.1.load(Ordering::Relaxed) {
            true => Err(StoreError::Refused("away".to_owned())),
            false => Ok(()),
        }
    }

    /// Returns the number of renewals of leases so far.
    pub fn renewals(&self) -> u32 {
        self.0.lock().renewals
    }

    /// Returns the number of writes so far, including refused ones.
    pub fn writes(&self) -> u32 {
        self.0.lock().writes
    }
}

impl Store for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Item>, StoreError> {
        self.check()?;
        let mut table = self.0.lock();
        match table.delayed_write.take() {
            Some((0, write)) => {
                table.apply(&write);
            }
            Some((reads, write)) => table.delayed_write = Some((reads - 1, write)),
            None => {}
        }
        Ok(table.items.get(key).cloned())
    }

    async fn range(&self, prefix: &str) -> Result<(Vec<Item>, Revision), StoreError> {
        self.check()?;
        let table = self.0.lock();
        let items = table.items.values().filter(|item| item.key.starts_with(prefix)).cloned();
        Ok((items.collect(), table.revision))
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchResult, StoreError> {
        let started_at = runtime::now();
        loop {
            self.check()?;
            let watches = self.0.lock().watches;
            let is_over = runtime::now() >= started_at + wait;
            match watches {
                Watches::Silent => {
                    runtime::sleep(wait + CALL_MARGIN).await;
                    return Err(StoreError::Unclear("no answer".to_owned()));
                }
                Watches::Unreadable => {
                    return Err(StoreError::Unclear("length limit exceeded".to_owned()));
                }
                Watches::Prompt | Watches::Deaf => {}
            }
            let (changes, as_of) = {
                let table = self.0.lock();
                let changes = match watches {
                    Watches::Prompt => table.changes(prefix, after),
                    _ => Vec::new(),
                };
                (changes, table.revision)
            };
            if is_over || !changes.is_empty() {
                return Ok(WatchResult::Changes { changes, as_of });
            }
            runtime::sleep(WATCH_POLL).await;
        }
    }

    async fn write(&self, write: &Write) -> Result<WriteResult, StoreError> {
        let (written, delay) = {
            let mut table = self.0.lock();
            table.writes += 1;
            self.check()?;
            if table.held_writes > 0 {
                table.held_writes -= 1;
                table.late_writes.push(write.clone());
                return Err(StoreError::Unclear("no answer yet".to_owned()));
            }
            if table.lost_answers > 0 {
                table.lost_answers -= 1;
                if table.lost_applied {
                    table.apply(write);
                }
                return Err(StoreError::Unclear("lost".to_owned()));
            }
            (table.apply(write), table.delay)
        };
        if !delay.is_zero() {
            runtime::sleep(delay).await;
        }
        Ok(written)
    }

    async fn open_lease(&self, ttl: Duration) -> Result<(LeaseId, Duration), StoreError> {
        self.check()?;
        Ok((1, ttl))
    }

    async fn renew_lease(&self, _: LeaseId) -> Result<bool, StoreError> {
        self.check()?;
        self.0.lock().renewals += 1;
        Ok(true)
    }

    fn routes(&self, value: &[u8]) -> Result<Routes, String> {
        let version = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
        version.map(|version| Routes::new(version, [])).ok_or_else(|| "no version".to_owned())
    }

    fn routes_key(&self) -> &'static str {
        ROUTES_KEY
    }

    fn operator_prefix(&self) -> &'static str {
        OPERATOR_PREFIX
    }

    fn evacuated_zone<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(ZONE_PREFIX)
    }
}

/// Returns the settings of an entry.
pub fn settings(node: &str, internal: SocketAddr) -> EntrySettings {
    EntrySettings {
        node: node.to_owned(),
        internal,
        limits: peridotfold_wire::limits::Limits::NONE,
        cores: 1.0,
        config_bound: CONFIG_BOUND,
        evacuation: None,
        owner: OwnerSettings {
            epoch: 0,
            permission: Duration::from_secs(6),
            keep_ended: Duration::from_secs(60),
            remote_slowdown: 1.5,
            round_interval: Duration::from_millis(20),
            evacuation: None,
        },
    }
}

/// Returns a job with one task.
pub fn spec() -> JobSpec {
    let queue = Queue {
        name: "q".to_owned(),
        service: "svc".to_owned(),
        priority: 0,
        attempts: 1,
        stretch: 1.0,
        slack_ms: 0,
        advice: None,
    };
    let steps = vec![Step { count: 1, ..Step::default() }];
    JobSpec { queue, command: String::new(), steps, timetable: None, submitted: 0 }
}
