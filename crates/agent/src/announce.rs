//! Announcements to the home entries.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use peridotfold_core::homes;
use peridotfold_core::message::announce::{AgentState, Announce, AnnounceReply, ServiceLoad};
use peridotfold_wire::error::WireError;
use peridotfold_wire::peer::Peers;
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::Shutdown;

use crate::shared::Shared;

/// Time between announcements.
pub const ANNOUNCE_PERIOD: Duration = Duration::from_secs(1);
/// Time allowed for one announcement. Shorter than the period, so that a silent entry does not
/// pile up announcements.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(900);
/// Rounds without any answer after which the entries of the settings are asked again.
const SILENT_ROUNDS_LIMIT: u32 = 3;

/// Sends announcements.
#[derive(Debug)]
pub struct Announcer {
    shared: Arc<Shared>,
    /// Used for announcements only, so that these have their own connection to each entry.
    peers: Peers,
    sequence: AtomicU64,
    /// Announcements in flight for each address.
    in_flight: Mutex<HashMap<String, u32>>,
    /// Rounds since the last answer.
    silent_rounds: Mutex<u32>,
    /// Addresses that have confirmed that the agent leaves.
    confirmed: Mutex<HashSet<String>>,
}

impl Announcer {
    /// Builds an announcer that has sent nothing.
    pub fn new(shared: Arc<Shared>) -> Self {
        Announcer {
            shared,
            peers: Peers::default(),
            sequence: AtomicU64::new(0),
            in_flight: Mutex::default(),
            silent_rounds: Mutex::default(),
            confirmed: Mutex::default(),
        }
    }

    /// Announces each second, and at once when the agent begins to leave, until `shutdown`.
    pub async fn run(self: Arc<Self>, shutdown: Shutdown) {
        let mut leave_sent = false;
        while !shutdown.is_set() {
            let leaving = self.shared.leaving.is_set();
            self.clone().announce_all(leaving && !leave_sent);
            leave_sent = leaving;
            match leave_sent {
                true => runtime::sleep_or_shutdown(ANNOUNCE_PERIOD, &shutdown).await,
                false => runtime::sleep_or_shutdown(ANNOUNCE_PERIOD, &self.shared.leaving).await,
            };
        }
    }

    /// Tells whether all home entries have confirmed that the agent leaves.
    pub fn has_left(&self) -> bool {
        let confirmed = self.confirmed.lock();
        self.shared.view.homes().iter().all(|address| confirmed.contains(address))
    }

    /// Starts one announcement to each home entry. Skips entries that have not answered the last
    /// one, unless `urgent`.
    fn announce_all(self: Arc<Self>, urgent: bool) {
        for address in self.targets() {
            let busy = self.in_flight.lock().get(&address).copied().unwrap_or_default() > 0;
            if !busy || urgent {
                *self.in_flight.lock().entry(address.clone()).or_default() += 1;
                let announcer = self.clone();
                runtime::spawn(async move { announcer.announce(address).await }).detach();
            }
        }
    }

    fn targets(&self) -> Vec<String> {
        let mut targets = self.shared.view.homes();
        let mut silent_rounds = self.silent_rounds.lock();
        *silent_rounds = silent_rounds.saturating_add(1);
        if *silent_rounds > SILENT_ROUNDS_LIMIT {
            let known = targets.clone();
            let others =
                self.shared.view.bootstrap_addresses().into_iter().filter(|a| !known.contains(a));
            targets.extend(others);
        }
        targets
    }

    async fn announce(self: Arc<Self>, address: String) {
        let message = self.message();
        let reply: Result<AnnounceReply, _> =
            self.peers.call(&address, "announce", &message, ANNOUNCE_TIMEOUT).await;
        {
            let mut in_flight = self.in_flight.lock();
            match in_flight.get_mut(&address) {
                Some(count) if *count > 1 => *count -= 1,
                _ => drop(in_flight.remove(&address)),
            }
        }
        match reply {
            Ok(reply) => {
                *self.silent_rounds.lock() = 0;
                if message.state == AgentState::Leaving {
                    self.confirmed.lock().insert(address);
                }
                self.shared.apply_reply(reply);
            }
            Err(error) => {
                metrics::counter!("peridotfold_announce_failures_total").increment(1);
                let WireError { step, peer, detail } = error;
                tracing::debug!(event = "announce_failed", %step, peer, detail);
            }
        }
    }

    fn message(&self) -> Announce {
        let shared = &self.shared;
        let settings = &shared.settings;
        let load = shared.gate.load();
        let services = match shared.view.service() {
            None => Vec::new(),
            Some(_) => vec![ServiceLoad {
                service: settings.service.clone(),
                slots: load.slots,
                running: load.running,
                queued: load.queued,
                latency: load.latency,
            }],
        };
        Announce {
            agent: settings.id.clone(),
            incarnation: shared.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            rack: settings.rack.clone(),
            data_centre: settings.data_centre.clone(),
            cell: settings.cell.clone(),
            address: shared.address.to_string(),
            state: if shared.leaving.is_set() { AgentState::Leaving } else { AgentState::Ready },
            services,
            config_version: shared.view.version(),
            entries_digest: homes::digest(&shared.view.entries()),
        }
    }
}
