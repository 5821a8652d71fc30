//! Periodic announcements of the agent's state and load to its home entries, the entries that relay
//! them to all others.

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

/// Interval between rounds of announcements.
pub const ANNOUNCE_PERIOD: Duration = Duration::from_secs(1);
/// Timeout of one announcement. Shorter than the period, so that announcements to an entry that
/// does not answer do not accumulate.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(900);
/// Consecutive rounds without a reply after which announcements also go to the entries in the
/// settings.
const SILENT_ROUNDS_LIMIT: u32 = 3;

/// Sends the announcements of one agent.
#[derive(Debug)]
pub struct Announcer {
    shared: Arc<Shared>,
    /// Connections for announcements only, separate from those of other calls.
    peers: Peers,
    /// Number of the last announcement.
    sequence: AtomicU64,
    /// Number of unanswered announcements by entry address.
    in_flight: Mutex<HashMap<String, u32>>,
    /// Rounds since the last reply from any entry.
    silent_rounds: Mutex<u32>,
    /// Addresses of entries that have acknowledged that the agent leaves.
    confirmed: Mutex<HashSet<String>>,
}

impl Announcer {
    /// Creates an announcer that has sent nothing.
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

    /// Announces every [`ANNOUNCE_PERIOD`], and immediately when the agent starts to leave, until
    /// `shutdown`.
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

    /// Tells whether all home entries have acknowledged that the agent leaves.
    pub fn has_left(&self) -> bool {
        let confirmed = self.confirmed.lock();
        self.shared.view.homes().iter().all(|address| confirmed.contains(address))
    }

    /// Starts one announcement to each target entry. Skips entries with an unanswered announcement,
    /// unless `urgent`.
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

    /// Starts a new round and returns the addresses to announce to.
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

    /// Sends one announcement and applies the reply.
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

    /// Builds an announcement from the current state.
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
