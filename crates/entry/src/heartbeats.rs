//! Heartbeats of this entry, the list of entries, and the key maps.
//!
//! The key map of a service assigns each bucket of idempotency keys to a holder. A move reassigns
//! buckets and has a generation; entries acknowledge a move in their heartbeat records.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future;
use peridotfold_core::id::{Incarnation, ServiceId};
use peridotfold_core::keys::plan::{self, ServiceView};
use peridotfold_core::keys::{Holder, KeyMap, Planner, RETENTION};
use peridotfold_core::membership::{EntryRecord, HEARTBEAT_INTERVAL, HEARTBEAT_RETRY};
use peridotfold_core::time;
use peridotfold_store::{PutOutcome, Store, StoreError, Versioned};
use peridotfold_wire::error::Step;
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::Shutdown;

use crate::context::Context;

/// Prefix of the store keys of entry records.
const ENTRIES: &str = "entries/";
/// Prefix of the store keys of key maps.
const KEY_MAPS: &str = "keymap/";
/// Number of attempts to write the last heartbeat at shutdown.
const LAST_ATTEMPTS: usize = 3;
/// Time between two checks of whether another entry has fetched this entry's key list. The wait
/// ends after `keys::LIST_COPY_LIMIT`.
const COPY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A service, the version of its key map in the store, and the key map.
type StoredMap = (ServiceId, u64, KeyMap);

/// State of the heartbeat loop, which also reads and writes the key maps.
pub struct Heartbeats<S: Store> {
    context: Arc<Context<S>>,
    /// Version of this entry's record in the store.
    version: u64,
    /// Number of heartbeats, including failed ones.
    counter: u64,
    /// The store holds, or has held, a record of this incarnation.
    has_record: bool,
    /// Incarnation of the earlier process whose record was found in the store.
    predecessor: Option<Incarnation>,
    /// Another process has written its record under this entry's ID.
    replaced: bool,
    /// Plans the moves of key maps.
    planner: Planner,
}

impl<S: Store> Heartbeats<S> {
    /// Creates the state before the first heartbeat.
    pub fn new(context: Arc<Context<S>>) -> Self {
        let planner = Planner::new(context.settings.outage_hold);
        Heartbeats {
            context,
            version: 0,
            counter: 0,
            has_record: false,
            predecessor: None,
            replaced: false,
            planner,
        }
    }

    /// Runs heartbeat rounds until the shutdown signal.
    pub async fn run(mut self, shutdown: Shutdown) -> Self {
        loop {
            let start = runtime::now();
            let period = match self.round().await {
                Ok(true) => {
                    self.wait_list_copied().await;
                    Duration::ZERO
                }
                Ok(false) => HEARTBEAT_INTERVAL,
                Err(error) => {
                    tracing::warn!(event = "heartbeat_failed", %error);
                    HEARTBEAT_RETRY
                }
            };
            let now = runtime::now();
            self.context.keys.lock().prune(now);
            self.context.upstreams.lock().prune(now);
            let pause = period.saturating_sub(now.saturating_sub(start));
            if self.replaced || self.pause(pause, &shutdown).await {
                return self;
            }
        }
    }

    /// Waits for `pause`, or until an early round is requested but then for at least
    /// [`HEARTBEAT_RETRY`]. Tells whether the shutdown signal arrived.
    async fn pause(&self, pause: Duration, shutdown: &Shutdown) -> bool {
        let early = async {
            runtime::sleep(HEARTBEAT_RETRY).await;
            let _ = self.context.early_round.1.recv().await;
            false
        };
        future::or(runtime::sleep_or_shutdown(pause, shutdown), early).await
    }

    /// Waits until this entry may acknowledge the moves that it has adopted, so that the next
    /// heartbeat acknowledges them.
    async fn wait_list_copied(&self) {
        loop {
            let now = runtime::now();
            let is_copied = {
                let keys = self.context.keys.lock();
                keys.acknowledged(now) == keys.generations()
            };
            if is_copied {
                return;
            }
            runtime::sleep(COPY_POLL_INTERVAL).await;
        }
    }

    /// Writes the last heartbeat, which tells the other entries that this one has stopped and
    /// dispatches no more requests.
    pub async fn write_last_heartbeat(&mut self) {
        for _ in 0..LAST_ATTEMPTS {
            match self.write_heartbeat(true).await {
                Ok(()) => return,
                Err(error) => tracing::warn!(event = "last_heartbeat_failed", %error),
            }
        }
    }

    /// Runs one heartbeat round. The order matters: the heartbeat is written before the key maps
    /// are read (see `KeyGate::adopt`), and the key maps are read before the entries are listed
    /// (see `plan::ServiceView`). Tells whether another round should follow at once, to acknowledge
    /// or to finish a move.
    async fn round(&mut self) -> Result<bool, StoreError> {
        let start = runtime::now();
        self.write_heartbeat(false).await?;
        if self.replaced {
            return Ok(false);
        }
        let maps = self.list_maps().await?;
        self.context.record_store_contact(start);
        let moved = self.adopt(start, &maps);
        let records = self.list_records().await?;
        self.context.members.lock().observe(runtime::now(), records);
        let written = self.plan(maps).await;
        Ok(moved || written)
    }

    /// Writes this entry's record, unless the entry was replaced.
    async fn write_heartbeat(&mut self, stopped: bool) -> Result<(), StoreError> {
        if self.replaced {
            return Ok(());
        }
        self.counter += 1;
        let key = format!("{ENTRIES}{}", self.context.settings.id);
        let record = self.record(stopped);
        let value = encode(&record)?;
        // The second attempt uses the version that was read after a conflict of the first.
        for _ in 0..2 {
            match self.context.store.put(&key, self.version, value.clone()).await? {
                PutOutcome::Written(version) => {
                    self.version = version;
                    self.has_record = true;
                    return Ok(());
                }
                PutOutcome::Conflict(_) => self.read_own_record(&key).await?,
            }
            if self.replaced {
                return Ok(());
            }
        }
        Err(StoreError::new(Step::Send, key, "the record changes too often"))
    }

    /// Reads this entry's record after a conflict. The record is from a write whose response was
    /// lost, from an earlier incarnation, or from another process that runs under the same ID.
    async fn read_own_record(&mut self, key: &str) -> Result<(), StoreError> {
        let found = self.context.store.get(key).await?;
        self.version = found.as_ref().map_or(0, |found| found.version);
        let Some(found) = found else { return Ok(()) };
        let record = decode::<EntryRecord>(key, &found);
        if record.as_ref().is_some_and(|record| record.joined) {
            self.context.keys.lock().set_rejoined();
        }
        let is_complete = record.as_ref().is_some_and(|record| record.complete);
        let incarnation = record.map(|record| record.incarnation);
        if incarnation == Some(self.context.incarnation) {
            self.has_record = true;
            return Ok(());
        }
        if self.has_record {
            tracing::error!(event = "entry_replaced", entry = self.context.settings.id);
            self.replaced = true;
            self.context.keys.lock().close();
        }
        if let Some(predecessor) = incarnation.filter(|_| is_complete) {
            self.context.keys.lock().set_predecessor(predecessor);
        }
        // A malformed record counts as one of incarnation 0, which no entry uses.
        self.predecessor = Some(incarnation.unwrap_or_default());
        Ok(())
    }

    /// Builds this entry's record for a heartbeat.
    fn record(&self, stopped: bool) -> EntryRecord {
        let context = &self.context;
        // Until the retention period is over, keys of an earlier incarnation may matter, unless
        // they were recovered. Only the first write shows, by a conflict, whether there was an
        // earlier incarnation.
        let complete = match self.predecessor.is_some() || !self.has_record {
            true => {
                runtime::now() >= time::lease_wait(RETENTION) || context.keys.lock().is_recovered()
            }
            false => true,
        };
        let (adopted, joined) = {
            let keys = context.keys.lock();
            let now = runtime::now();
            (keys.acknowledged(now), keys.is_joined(now))
        };
        EntryRecord {
            entry: context.settings.id.clone(),
            incarnation: context.incarnation,
            counter: self.counter,
            http: context.http.to_string(),
            internal: context.internal.to_string(),
            data_centre: context.settings.data_centre.clone(),
            adopted,
            complete,
            predecessor: self.predecessor,
            joined,
            stopped,
        }
    }

    /// Reads the key maps of all services.
    async fn list_maps(&self) -> Result<Vec<StoredMap>, StoreError> {
        let listed = self.context.store.list(KEY_MAPS).await?;
        Ok(listed
            .into_iter()
            .filter_map(|(key, found)| {
                let map = decode::<KeyMap>(&key, &found)?;
                Some((key.strip_prefix(KEY_MAPS)?.to_owned(), found.version, map))
            })
            .collect())
    }

    /// Reads the records of all entries.
    async fn list_records(&self) -> Result<Vec<EntryRecord>, StoreError> {
        let listed = self.context.store.list(ENTRIES).await?;
        Ok(listed.iter().filter_map(|(key, found)| decode(key, found)).collect())
    }

    /// Adopts the key maps read in a round that began at `start`. Tells whether a generation
    /// changed.
    fn adopt(&self, start: Duration, maps: &[StoredMap]) -> bool {
        let maps = maps.iter().map(|(service, _, map)| (service.clone(), map.clone())).collect();
        let mut keys = self.context.keys.lock();
        let before = keys.generations();
        keys.adopt(start, runtime::now(), maps);
        keys.generations() != before
    }

    /// Plans and writes the moves of the services that this entry coordinates. Tells whether a key
    /// map was written.
    async fn plan(&mut self, maps: Vec<StoredMap>) -> bool {
        let mut written = false;
        let now = runtime::now();
        let alive = self.context.alive();
        let (live, leaving) = {
            let upstreams = self.context.upstreams.lock();
            (upstreams.live_agents(now), upstreams.leaving())
        };
        let leaving: Vec<_> = leaving.iter().map(holder).collect();
        let known = maps.iter().map(|(service, ..)| service);
        let services: BTreeSet<ServiceId> = known.chain(live.keys()).cloned().collect();
        let records: Vec<_> = {
            let members = self.context.members.lock();
            members.records(now).map(|(record, silent)| (record.clone(), silent)).collect()
        };
        for service in services {
            let stored = maps.iter().find(|(name, ..)| *name == service);
            let (version, map) =
                stored.map(|(_, version, map)| (*version, map.clone())).unwrap_or_default();
            let mut holders: Vec<_> =
                live.get(&service).into_iter().flatten().map(holder).collect();
            holders.sort_by(|a, b| a.agent.cmp(&b.agent));
            let expired_moves = self.context.keys.lock().expired_moves(now, &service);
            let view = ServiceView {
                service: &service,
                map: &map,
                live: &holders,
                leaving: &leaving,
                records: &records,
                expired_moves: &expired_moves,
            };
            self.planner.track_holders(now, &view);
            let coordinator = plan::coordinator(&service, &alive);
            if coordinator.is_none_or(|view| view.entry != self.context.settings.id) {
                continue;
            }
            if let Some(next) = self.planner.plan(now, &view) {
                written |= self.write_map(&service, version, next).await;
            }
        }
        written
    }

    /// Writes a key map if its version in the store is still `version`. Tells whether that
    /// succeeded.
    async fn write_map(&self, service: &str, version: u64, map: KeyMap) -> bool {
        let generation = map.generation;
        let moving = map.is_moving();
        let key = format!("{KEY_MAPS}{service}");
        let result = match encode(&map) {
            Ok(value) => self.context.store.put(&key, version, value).await,
            Err(error) => Err(error),
        };
        match result {
            Ok(PutOutcome::Written(_)) => {
                tracing::info!(event = "key_map_written", service, generation, moving);
                self.context.keys.lock().adopt_one(runtime::now(), service, map);
                return true;
            }
            Ok(PutOutcome::Conflict(_)) => {
                tracing::info!(event = "key_map_conflict", service, generation);
            }
            // The next round reads the key map again.
            Err(error) => tracing::warn!(event = "key_map_failed", service, %error),
        }
        false
    }
}

/// Creates a holder from an agent and its incarnation.
fn holder((agent, incarnation): &(String, u64)) -> Holder {
    Holder { agent: agent.clone(), incarnation: *incarnation }
}

/// Encodes a value as JSON for the store.
fn encode(value: &impl serde::Serialize) -> Result<Bytes, StoreError> {
    serde_json::to_vec(value)
        .map(Bytes::from)
        .map_err(|error| StoreError::new(Step::Send, "store", error))
}

/// Decodes a stored JSON value. Logs a malformed value and returns `None`.
fn decode<T: serde::de::DeserializeOwned>(key: &str, found: &Versioned) -> Option<T> {
    match serde_json::from_slice(&found.value) {
        Ok(value) => Some(value),
        Err(error) => {
            tracing::error!(event = "record_malformed", key, %error);
            None
        }
    }
}
