//! Routes of an entry: follows the stored configuration, and asks the store and other entries for it
//! when the watch is silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use peridotfold_core::flow::message::{Greeting, RoutesReply};
use peridotfold_core::flow::routes::view::StoredRoutes;
use peridotfold_core::time::Time;
use peridotfold_wire::error::WireError;
use peridotfold_wire::runtime;

use crate::connection::{self, MessageReader};
use crate::entry::{Entry, RETRY_DELAY};
use crate::owner_service;
use crate::ports::{Item, Store, StoreError};
use crate::subscription::{Source, Subscription, Update};

/// Time after which a check reads the store, if no other entry has confirmed the routes. The store
/// sends the whole configuration, an entry only its version.
const READ_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of entries asked at once.
const MAX_PEERS_ASKED: usize = 3;
/// Time without a part of an answer after which another entry is given up.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

impl<S: Store> Entry<S> {
    /// Follows the configuration, which contains the routes, and applies its changes. Never returns:
    /// dropping the future ends it.
    pub async fn follow_routes(self: Arc<Self>) {
        future::or(self.watch_routes(), self.check_routes()).await;
    }

    /// Watches the configuration and applies its changes.
    async fn watch_routes(&self) {
        let key = self.store.routes_key();
        let (prefix, wait) = self.watched_keys();
        let mut subscription = Subscription::new(prefix, wait, None);
        loop {
            match subscription.next(&self.store).await {
                Ok(update) => {
                    self.set_store_up(true);
                    if self.apply_evacuations(&update, subscription.read_age()) {
                        subscription.read_next();
                    }
                    let Update { items, source, as_of, .. } = update;
                    if source == Source::Read && self.routes().is_some() {
                        tracing::info!(event = "routes_read_again");
                    }
                    let stored = items.iter().filter(|item| item.key == key);
                    stored.for_each(|item| self.apply(item, source));
                    match self.routes() {
                        Some(_) => self.confirm_routes(as_of),
                        None => runtime::sleep(RETRY_DELAY).await,
                    }
                }
                Err(error) => {
                    self.log_not_read(&error);
                    runtime::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Asks the store and other entries for the newest configuration when no watch has confirmed the
    /// routes for a while. Logs when they become stale and when they are confirmed again.
    async fn check_routes(self: &Arc<Self>) {
        loop {
            self.log_staleness();
            let now = runtime::now();
            let delay = self.view.lock().check_in(now);
            if !delay.is_zero() {
                runtime::sleep(delay).await;
                continue;
            }
            let is_confirmed = self.confirm_by_any().await;
            self.view.lock().checked(now, is_confirmed);
            let outcome = if is_confirmed { "confirmed" } else { "failed" };
            metrics::counter!("routes_checks", "outcome" => outcome).increment(1);
        }
    }

    /// Logs if the routes have become stale, or are no longer, since the last call.
    fn log_staleness(&self) {
        let now = runtime::now();
        let (change, version, age) = {
            let mut view = self.view.lock();
            (view.poll(now), view.version(), view.age(now))
        };
        let age_ms = age.map(|age| age.as_millis() as u64);
        match change {
            Some(true) => tracing::warn!(event = "routes_stale", version, age_ms),
            Some(false) => tracing::info!(event = "routes_fresh", version, age_ms),
            None => {}
        }
    }

    /// Asks other entries, and a little later the store. Tells whether any of them confirmed the routes.
    async fn confirm_by_any(self: &Arc<Self>) -> bool {
        let (sender, outcomes) = async_channel::bounded(2);
        let (entry, outcome) = (self.clone(), sender.clone());
        let asking = runtime::spawn(async move { outcome.send(entry.ask_peers().await).await });
        let entry = self.clone();
        let reading = runtime::spawn(async move {
            runtime::sleep(READ_DELAY).await;
            sender.send(entry.read_routes().await).await
        });
        let mut is_confirmed = false;
        while !is_confirmed {
            let Ok(outcome) = outcomes.recv().await else { break };
            is_confirmed = outcome;
        }
        // A source that is slower than the other one is not waited for.
        drop((reading, asking));
        is_confirmed
    }

    /// Asks some other entries at once for their versions, gets the routes from the first one with a
    /// newer version, and applies them. Tells whether the routes are confirmed as of a recent time.
    async fn ask_peers(&self) -> bool {
        let mut peers = self.peers();
        fastrand::shuffle(&mut peers);
        // The owner is known to live; others may be gone.
        let owner = self.role().1;
        peers.sort_by_key(|peer| Some(*peer) != owner);
        peers.truncate(MAX_PEERS_ASKED);
        let asked_at = runtime::now();
        let (sender, replies) = async_channel::bounded(MAX_PEERS_ASKED);
        let ask = |peer| {
            let sender = sender.clone();
            // No version is newer, so that the answer is without a configuration.
            let asking = query_routes(peer, u64::MAX);
            runtime::spawn(async move { sender.send((peer, asking.await)).await })
        };
        let asking: Vec<_> = peers.into_iter().map(ask).collect();
        drop(sender);
        let mut is_confirmed = false;
        while !is_confirmed {
            match replies.recv().await {
                Ok((peer, Ok(reply))) if reply.version > self.view.lock().version() => {
                    is_confirmed = self.fetch_routes(peer).await;
                }
                Ok((_, Ok(reply))) => is_confirmed = self.hear(asked_at, &reply),
                Ok((peer, Err(error))) => {
                    tracing::info!(event = "peer_not_asked", %peer, %error);
                }
                Err(_) => break,
            }
        }
        drop(asking);
        is_confirmed
    }

    /// Gets newer routes from the entry at `peer`. Tells whether the routes are confirmed as of a recent
    /// time.
    async fn fetch_routes(&self, peer: SocketAddr) -> bool {
        let version = self.view.lock().version();
        let asked_at = runtime::now();
        match query_routes(peer, version).await {
            Ok(reply) => self.hear(asked_at, &reply),
            Err(error) => {
                tracing::info!(event = "peer_not_asked", %peer, %error);
                false
            }
        }
    }

    /// Applies the routes in a peer's reply, if any. Tells whether the routes are confirmed as of a
    /// recent time.
    fn hear(&self, asked_at: Time, reply: &RoutesReply) -> bool {
        if let Some((revision, value)) = &reply.newer {
            let key = self.store.routes_key().to_owned();
            self.apply(&Item { key, value: value.clone(), revision: *revision }, Source::Peer);
        }
        let is_recent = self.view.lock().hear(asked_at, runtime::now(), reply);
        self.show_confirmation();
        is_recent
    }

    /// Reads the configuration from the store and applies it. Tells whether that confirmed the routes.
    async fn read_routes(&self) -> bool {
        let sent_at = runtime::now();
        match self.store.get(self.store.routes_key()).await {
            Ok(Some(item)) => {
                self.set_store_up(true);
                self.apply(&item, Source::Read);
                self.confirm_routes(sent_at);
                self.view.lock().confirmed_at().is_some_and(|at| at >= sent_at)
            }
            Ok(None) => {
                tracing::warn!(event = "routes_not_read", error = "no configuration is stored");
                false
            }
            Err(error) => {
                self.log_not_read(&error);
                false
            }
        }
    }

    /// Notes a call for the configuration that the store did not answer.
    fn log_not_read(&self, error: &StoreError) {
        let age_ms = self.routes_age().map(|age| age.as_millis() as u64);
        tracing::warn!(event = "routes_not_read", age_ms, %error);
        self.set_store_up(false);
    }

    /// Applies a stored configuration unless its version is at most the current one.
    fn apply(&self, item: &Item, source: Source) {
        match self.store.routes(&item.value) {
            Ok(routes) => {
                let version = routes.version;
                let stored = StoredRoutes {
                    routes: Arc::new(routes),
                    revision: item.revision,
                    value: item.value.clone(),
                };
                let mut view = self.view.lock();
                let age_ms = view.age(runtime::now()).map(|age| age.as_millis() as u64);
                if view.apply(stored) {
                    drop(view);
                    metrics::gauge!("routes_version").set(version as f64);
                    tracing::info!(
                        event = "routes_applied",
                        version,
                        revision = item.revision,
                        %source,
                        age_ms
                    );
                }
            }
            Err(error) => {
                self.view.lock().note_unreadable(item.revision);
                tracing::error!(event = "routes_unreadable", key = item.key, %error);
            }
        }
    }

    /// Notes that the current routes were the newest ones at `as_of`.
    fn confirm_routes(&self, as_of: Time) {
        self.view.lock().confirm(as_of);
        self.show_confirmation();
    }

    /// Sets the metric of the last confirmation.
    fn show_confirmation(&self) {
        if let Some(at) = self.view.lock().confirmed_at() {
            let confirmed = owner_service::unix_seconds_at(at);
            metrics::gauge!("routes_confirmed_timestamp_seconds").set(confirmed);
        }
    }
}

/// Asks the entry at `peer` for newer routes than those of `version`.
async fn query_routes(peer: SocketAddr, version: u64) -> Result<RoutesReply, WireError> {
    let greet = async {
        let stream = connection::connect(peer).await?;
        connection::send_greeting(&stream, &Greeting::Routes { version }, peer).await?;
        Ok(stream)
    };
    let stream = runtime::timeout(PEER_TIMEOUT, &peer.to_string(), greet).await?;
    MessageReader::new(stream, peer.to_string()).receive_one::<RoutesReply>(PEER_TIMEOUT).await
}
