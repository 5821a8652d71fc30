//! Relay of agents' announcements between entries.
//!
//! An agent announces itself only to its home entries. Some of these relay the announcement to the
//! other entries.

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

/// Time between two relay messages to an entry. Added to the interval at which agents announce
/// themselves and to the expiry of announcements, it keeps the time until all entries know of a
/// leaving upstream within 4 s.
const RELAY_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of one relay message, after which its announcements are outdated.
const RELAY_TIMEOUT: Duration = Duration::from_millis(900);
/// Most announcements in one message. At about 105 bytes each, well below the frame limit.
const MAX_PAGE_LEN: usize = 2_000;

/// An agent's announcement that is to be relayed to other entries.
#[derive(Debug)]
struct PendingAnnounce {
    /// When this entry received the announcement.
    received: Time,
    announce: Announce,
    /// Home entries of the agent, which receive the announcement directly.
    homes: BTreeSet<EntryId>,
}

/// Announcements to relay, the newest of each agent.
#[derive(Debug, Default)]
pub struct RelayQueue {
    queued: HashMap<AgentId, PendingAnnounce>,
}

impl RelayQueue {
    /// Adds an announcement received from the agent itself, if the entry `own` relays the agent's
    /// announcements.
    pub fn add(
        &mut self,
        own: &EntryId,
        received: Time,
        announce: Announce,
        entries: &[EntryAddress],
    ) {
        if entries.len() <= HOME_ENTRIES {
            return;
        }
        let homes = homes::homes(&announce.agent, &announce.data_centre, entries);
        if homes::is_relaying(own, &homes) {
            let homes = homes.into_iter().map(|home| home.entry.clone()).collect();
            self.queued
                .insert(announce.agent.clone(), PendingAnnounce { received, announce, homes });
        }
    }

    /// Removes and returns the queued announcements.
    fn take(&mut self) -> Vec<PendingAnnounce> {
        self.queued.drain().map(|(_, pending)| pending).collect()
    }
}

/// Relays announcements until the shutdown signal.
pub async fn run<S: Store>(context: Arc<Context<S>>, shutdown: Shutdown) {
    while !runtime::sleep_or_shutdown(RELAY_INTERVAL, &shutdown).await {
        let pending = Arc::new(context.relays.lock().take());
        if pending.is_empty() {
            continue;
        }
        for entry in context.entry_addresses() {
            if entry.entry != context.settings.id {
                let send = send(context.clone(), entry, pending.clone());
                runtime::spawn(send).detach();
            }
        }
    }
}

/// Sends one entry the announcements that it did not receive from the agents.
async fn send<S: Store>(
    context: Arc<Context<S>>,
    entry: EntryAddress,
    pending: Arc<Vec<PendingAnnounce>>,
) {
    let missing: Vec<&PendingAnnounce> =
        pending.iter().filter(|pending| !pending.homes.contains(&entry.entry)).collect();
    for page in missing.chunks(MAX_PAGE_LEN) {
        let now = runtime::now();
        let pair = |pending: &&PendingAnnounce| {
            (pending.announce.clone(), now.saturating_sub(pending.received))
        };
        let relay = Relay { announcements: page.iter().map(pair).collect() };
        let sent: Result<(), _> =
            context.peers.call(&entry.address, "relay", &relay, RELAY_TIMEOUT).await;
        if let Err(error) = sent {
            tracing::debug!(event = "relay_failed", entry = entry.entry, %error);
            return;
        }
    }
}
