//! State shared by the tasks of an entry.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use peridotfold_core::config::{ConfigState, Document};
use peridotfold_core::id::{ConfigVersion, Incarnation, RequestNumber};
use peridotfold_core::keys::KeyGate;
use peridotfold_core::membership::{EntryView, Members};
use peridotfold_core::message::announce::{ConfigUpdate, EntryAddress};
use peridotfold_core::message::request::RequestId;
use peridotfold_core::routing::{RetryBudget, UpstreamTable};
use peridotfold_core::time::Time;
use peridotfold_store::{ConfigRepository, Store};
use peridotfold_wire::peer::Peers;
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::Shutdown;

use crate::cells::Cells;
use crate::relay::RelayQueue;
use crate::settings::Settings;

/// The configuration in effect and its version.
#[derive(Debug, Clone)]
pub struct CurrentConfig {
    pub version: ConfigVersion,
    pub document: Arc<Document>,
}

/// Shared state of an entry.
///
/// Lock order is the order of the fields: `config`, `repository`, `upstreams`, `budget`, `keys`,
/// `members`, `relays`, `announced`. No lock is held across an await except `lists_fetched`, which
/// is taken before the others.
pub struct Context<S: Store> {
    pub settings: Settings,
    /// Random number that identifies this process among those that run under the same entry ID.
    pub incarnation: Incarnation,
    /// Listen address for callers and operators.
    pub http: SocketAddr,
    /// Address at which agents and other entries reach this one.
    pub internal: SocketAddr,
    pub store: S,
    pub peers: Arc<Peers>,
    pub cells: Cells<S>,
    /// `None` until a version was received from the store, an agent or another entry.
    config: RwLock<Option<ConfigState>>,
    /// Repository of the configuration versions in the store.
    pub repository: RwLock<Option<Arc<ConfigRepository<S>>>>,
    /// Upstreams that agents have announced.
    pub upstreams: Mutex<UpstreamTable>,
    /// Limits the retries of requests.
    pub budget: Mutex<RetryBudget>,
    /// Decides by idempotency key whether a request may run.
    pub keys: Mutex<KeyGate>,
    /// Entries known from their heartbeat records.
    pub members: Mutex<Members>,
    /// Announcements to relay to other entries.
    pub relays: Mutex<RelayQueue>,
    /// Highest configuration version that an agent has announced, and the agent's address.
    announced: Mutex<(ConfigVersion, String)>,
    /// Time of the last heartbeat that the store accepted, in milliseconds since the process start.
    last_contact: AtomicU64,
    /// Time of the last fetch of the key lists of moves. Locked during a fetch.
    pub lists_fetched: smol::lock::Mutex<Option<Time>>,
    /// Requests a heartbeat round before the next one is due.
    pub early_round: (async_channel::Sender<()>, async_channel::Receiver<()>),
    /// Requests a fetch of missing key lists before the next try is due.
    pub early_fetch: (async_channel::Sender<()>, async_channel::Receiver<()>),
    request_counter: AtomicU64,
    stopping: AtomicBool,
    /// Fires when the grace period after the start of a shutdown is over and responses of unknown
    /// length must end.
    pub drained: Shutdown,
}

impl<S: Store> Context<S> {
    /// Creates the state of an entry before its first contact with the store and other processes.
    pub fn new(
        settings: Settings,
        http: SocketAddr,
        internal: SocketAddr,
        store: S,
        drained: Shutdown,
    ) -> Self {
        let incarnation = fastrand::u64(1..);
        let gate = KeyGate::new(settings.id.clone(), incarnation, settings.outage_hold);
        Context {
            incarnation,
            http,
            internal,
            peers: Arc::new(Peers::default()),
            cells: Cells::new(store.clone(), &settings, incarnation, internal),
            config: RwLock::new(None),
            repository: RwLock::new(None),
            upstreams: Mutex::new(UpstreamTable::default()),
            budget: Mutex::new(RetryBudget::default()),
            keys: Mutex::new(gate),
            members: Mutex::new(Members::new(settings.dead_after)),
            relays: Mutex::default(),
            announced: Mutex::default(),
            last_contact: AtomicU64::new(0),
            lists_fetched: smol::lock::Mutex::new(None),
            early_round: async_channel::bounded(1),
            early_fetch: async_channel::bounded(1),
            request_counter: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            drained,
            settings,
            store,
        }
    }

    /// Returns the configuration in effect, if any is known.
    pub fn current(&self) -> Option<CurrentConfig> {
        let config = self.config.read();
        let state = config.as_ref()?;
        Some(CurrentConfig { version: state.version, document: state.document.clone() })
    }

    /// Returns the configuration document in effect, or the empty one.
    pub fn document(&self) -> Arc<Document> {
        self.current().map(|current| current.document).unwrap_or_default()
    }

    /// Returns the update for a process that has `version`, or `None` while this entry has no
    /// configuration.
    pub fn update_since(&self, version: ConfigVersion) -> Option<ConfigUpdate> {
        self.config.read().as_ref().map(|state| state.update_since(version))
    }

    /// Records a configuration version that the agent at `address` has announced.
    pub fn record_version(&self, version: ConfigVersion, address: &str) {
        let mut announced = self.announced.lock();
        if version > announced.0 {
            *announced = (version, address.to_owned());
        }
    }

    /// Returns the address of an agent that has announced a configuration version above `version`.
    pub fn agent_with_newer(&self, version: ConfigVersion) -> Option<String> {
        let announced = self.announced.lock();
        (announced.0 > version).then(|| announced.1.clone())
    }

    /// Puts a configuration update into effect. `peer` is its source, for the log. Versions that
    /// are not higher than the one in effect are ignored.
    pub fn install(&self, peer: &str, update: &ConfigUpdate) {
        let mut config = self.config.write();
        let state = config.get_or_insert_with(ConfigState::default);
        match state.apply_update(update) {
            Ok(true) => {
                let version = state.version;
                metrics::gauge!("config_version").set(version as f64);
                tracing::info!(event = "config_in_effect", version, peer);
            }
            Ok(false) => {}
            Err(error) => tracing::error!(event = "config_not_applied", peer, %error),
        }
    }

    /// Returns the live entries including this one, or none before the first successful list. An
    /// empty list is safe: agents keep the entries that they know, and no cell is taken over from
    /// an owner that merely was not listed yet.
    pub fn alive(&self) -> Vec<EntryView> {
        self.members.lock().alive()
    }

    /// Returns the addresses of the live entries, including this one.
    pub fn entry_addresses(&self) -> Vec<EntryAddress> {
        let address = |view: EntryView| EntryAddress {
            entry: view.entry,
            data_centre: view.data_centre,
            address: view.address,
        };
        self.alive().into_iter().map(address).collect()
    }

    /// Returns the time since the store last accepted a heartbeat.
    pub fn store_silence(&self) -> Duration {
        let last_contact = Duration::from_millis(self.last_contact.load(Ordering::Relaxed));
        runtime::now().saturating_sub(last_contact)
    }

    /// Records that the store accepted a heartbeat sent at `at`.
    pub fn record_store_contact(&self, at: Duration) {
        self.last_contact.store(at.as_millis() as u64, Ordering::Relaxed);
    }

    /// Requests an early heartbeat round. Has no effect if one is requested already.
    pub fn request_round(&self) {
        let _ = self.early_round.0.try_send(());
    }

    /// Returns a new request ID for a dispatch.
    pub fn next_request(&self) -> RequestId {
        let number: RequestNumber = self.request_counter.fetch_add(1, Ordering::Relaxed);
        RequestId { entry: self.settings.id.clone(), incarnation: self.incarnation, number }
    }

    /// Tells whether the entry is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Marks the entry as shutting down.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }
}
