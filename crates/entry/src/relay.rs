//! Passes announcements on to entries that the agent does not announce itself to.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use peridotfold_core::homes::{self, HOME_ENTRIES};
use peridotfold_core::id::{AgentId, EntryId};
use peridotfold_core::message::announce::{Announce, EntryAddress, Relay};
use peridotfold_core::time::Time;
use peridotfold_store::Store;
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::Shutdown;

use crate::context::Context;

/// Time between two messages to an entry. Together with the announcement period and the expiry, a
/// leaving upstream is known everywhere within 4 s.
const PERIOD: Duration = Duration::from_millis(500);
/// Time allowed for one message; the announcements in it are of no use afterwards.
const LIMIT: Duration = Duration::from_millis(900);
/// Announcements in one message: at about 105 bytes each, well below the frame limit.
const PAGE: usize = 2_000;

#[derive(Debug)]
struct Heard {
    at: Time,
    announce: Announce,
    homes: BTreeSet<EntryId>,
}

/// Announcements that wait to be passed on, the newest of each agent.
#[derive(Debug, Default)]
pub struct Relays {
    waiting: HashMap<AgentId, Heard>,
}

impl Relays {
    /// Adds an announcement that arrived first-hand, if `own` is one of those that pass it on.
    pub fn add(&mut self, own: &EntryId, at: Time, announce: Announce, entries: &[EntryAddress]) {
        if entries.len() <= HOME_ENTRIES {
            return;
        }
        let homes = homes::homes(&announce.agent, &announce.data_centre, entries);
        if homes::is_relaying(own, &homes) {
            let homes = homes.into_iter().map(|home| home.entry.clone()).collect();
            self.waiting.insert(announce.agent.clone(), Heard { at, announce, homes });
        }
    }

    fn take(&mut self) -> Vec<Heard> {
        self.waiting.drain().map(|(_, heard)| heard).collect()
    }
}

/// Passes announcements on until the signal.
pub async fn run<S: Store>(context: Arc<Context<S>>, shutdown: Shutdown) {
    while !runtime::sleep_or_shutdown(PERIOD, &shutdown).await {
        let heard = Arc::new(context.relays.lock().take());
        if heard.is_empty() {
            continue;
        }
        for entry in context.entry_addresses() {
            if entry.entry != context.settings.id {
                let send = send(context.clone(), entry, heard.clone());
                runtime::spawn(send).detach();
            }
        }
    }
}

async fn send<S: Store>(context: Arc<Context<S>>, entry: EntryAddress, heard: Arc<Vec<Heard>>) {
    let missing: Vec<&Heard> =
        heard.iter().filter(|heard| !heard.homes.contains(&entry.entry)).collect();
    for page in missing.chunks(PAGE) {
        let now = runtime::now();
        let pair = |heard: &&Heard| (heard.announce.clone(), now.saturating_sub(heard.at));
        let relay = Relay { announcements: page.iter().map(pair).collect() };
        let sent: Result<(), _> = context.peers.call(&entry.address, "relay", &relay, LIMIT).await;
        if let Err(error) = sent {
            tracing::debug!(event = "relay_failed", entry = entry.entry, %error);
            return;
        }
    }
}
