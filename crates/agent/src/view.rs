//! The agent's view of the cluster, as received from entries: configuration, live entries and the
//! owner of its cell, which is the entry that schedules the cell's batch tasks.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use peridotfold_core::admission::Limits;
use peridotfold_core::config::{ConfigState, Document, Service};
use peridotfold_core::homes::{self, HOME_ENTRIES};
use peridotfold_core::id::{ConfigVersion, EntryId};
use peridotfold_core::message::announce::{AnnounceReply, CellOwner, ConfigUpdate, EntryAddress};
use peridotfold_core::message::entry::{ConfigReply, ConfigRequest};
use peridotfold_core::message::request::RefuseReason;
use peridotfold_wire::error::WireError;
use peridotfold_wire::peer::Peers;

use crate::gate::Gate;
use crate::settings::Settings;

/// Timeout for fetching the configuration that a request requires.
const CONFIG_FETCH_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
struct State {
    /// Configuration in effect.
    config: ConfigState,
    /// Live entries from the last reply that listed them.
    entries: Vec<EntryAddress>,
    /// Owner of the cell with the highest known epoch.
    owner: Option<CellOwner>,
}

/// Configuration, live entries and cell owner that the agent has received from entries.
#[derive(Debug)]
pub struct ClusterView {
    settings: Settings,
    /// Admission gate whose limits follow the configuration.
    gate: Gate,
    state: Mutex<State>,
    /// Held while a request fetches the configuration, so that only one fetch runs at a time.
    fetch_lock: smol::lock::Mutex<()>,
}

impl ClusterView {
    /// Creates a view without configuration.
    pub fn new(settings: Settings, gate: Gate) -> Self {
        ClusterView {
            settings,
            gate,
            state: Mutex::default(),
            fetch_lock: smol::lock::Mutex::new(()),
        }
    }

    /// Returns the version of the configuration in effect, or 0 if there is none.
    pub fn version(&self) -> ConfigVersion {
        self.state.lock().config.version
    }

    /// Returns the update that brings a process at `version` to the current configuration.
    pub fn update_since(&self, version: ConfigVersion) -> ConfigUpdate {
        self.state.lock().config.update_since(version)
    }

    /// Returns the configuration in effect.
    pub fn document(&self) -> Option<Arc<Document>> {
        let state = self.state.lock();
        (state.config.version > 0).then(|| state.config.document.clone())
    }

    /// Returns the configuration of this agent's service.
    pub fn service(&self) -> Option<Service> {
        self.document()?.services.get(&self.settings.service).cloned()
    }

    /// Returns the owner of the agent's cell with the highest known epoch.
    pub fn owner(&self) -> Option<CellOwner> {
        self.state.lock().owner.clone()
    }

    /// Returns the live entries from the last reply that listed them.
    pub fn entries(&self) -> Vec<EntryAddress> {
        self.state.lock().entries.clone()
    }

    /// Returns the addresses of the home entries, or of the entries in the settings while no entry
    /// is known.
    pub fn homes(&self) -> Vec<String> {
        let entries = self.entries();
        if entries.is_empty() {
            return self.bootstrap_addresses();
        }
        let homes = homes::homes(&self.settings.id, &self.settings.data_centre, &entries);
        homes.into_iter().map(|entry| entry.address.clone()).collect()
    }

    /// Returns the addresses of up to [`HOME_ENTRIES`] entries in the settings.
    pub fn bootstrap_addresses(&self) -> Vec<String> {
        self.settings.entries.iter().take(HOME_ENTRIES).map(ToString::to_string).collect()
    }

    /// Applies the reply to an announcement. Ignores an owner with an older epoch.
    pub fn apply_reply(&self, reply: AnnounceReply) {
        self.apply_config(&reply.config, &reply.entry);
        let mut state = self.state.lock();
        match reply.entries {
            Some(entries) if !entries.is_empty() => state.entries = entries,
            _ => {}
        }
        let known = state.owner.as_ref().map(|owner| owner.epoch);
        match reply.owner {
            Some(owner) if known.is_none_or(|epoch| owner.epoch >= epoch) => {
                state.owner = Some(owner);
            }
            _ => {}
        }
    }

    /// Checks that the agent can serve a request that was routed with configuration `version`.
    /// Fetches the configuration from the entry if the agent's version is older.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request cannot be served.
    pub async fn require_config(
        &self,
        version: ConfigVersion,
        entry: &EntryId,
        peers: &Peers,
    ) -> Result<(), RefuseReason> {
        if self.version() < version {
            let _guard = self.fetch_lock.lock().await;
            if self.version() < version {
                self.fetch_config(entry, peers).await;
            }
        }
        match self.version() {
            current if current == 0 || current < version => Err(RefuseReason::NoConfig),
            _ if self.service().is_none() => Err(RefuseReason::UnknownService),
            _ => Ok(()),
        }
    }

    /// Fetches the configuration from an entry and applies it. Does nothing if the entry's address
    /// is not known.
    async fn fetch_config(&self, entry: &EntryId, peers: &Peers) {
        let known = self.entries().into_iter().find(|address| address.entry == *entry);
        let Some(EntryAddress { address, .. }) = known else {
            return;
        };
        let request = ConfigRequest { version: self.version() };
        let reply: Result<ConfigReply, _> =
            peers.call(&address, "config", &request, CONFIG_FETCH_TIMEOUT).await;
        match reply {
            Ok(reply) => self.apply_config(&reply.update, entry),
            Err(error) => {
                let WireError { step, peer, detail } = error;
                tracing::warn!(event = "config_fetch_failed", %step, peer, detail);
            }
        }
    }

    /// Applies a configuration update and sets the limits of the gate.
    fn apply_config(&self, update: &ConfigUpdate, entry: &EntryId) {
        let mut state = self.state.lock();
        match state.config.apply_update(update) {
            Ok(false) => {}
            Ok(true) => {
                tracing::info!(event = "config_applied", version = state.config.version, entry);
                let service = state.config.document.services.get(&self.settings.service);
                self.gate.set_limits(service_limits(service));
            }
            Err(error) => tracing::warn!(event = "config_rejected", entry, detail = %error),
        }
    }
}

/// Returns the admission limits of a service, which are zero if it is not configured.
fn service_limits(service: Option<&Service>) -> Limits {
    match service {
        Some(service) => {
            Limits { slots: service.slots, connections: service.connections, queue: service.queue }
        }
        None => Limits { slots: 0, connections: 0, queue: 0 },
    }
}
