//! Routes of an entry: follows the stored configuration, and keeps account of how old they are.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures_lite::future;
use peridotfold_core::flow::routes::view::{Source, StoredRoutes};
use peridotfold_core::time::Time;
use peridotfold_wire::runtime;

use crate::cursor::Cursor;
use crate::entry::{Entry, RETRY_DELAY};
use crate::ports::{Change, Item, Store, WatchResult};

/// Long-poll timeout of a watch. Together with the timeout of the call, it bounds the age of the
/// configuration at an entry with a dead connection.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Shortest interval between two checks whether the routes have become stale.
const MIN_AGE_CHECK: Duration = Duration::from_millis(100);

impl<S: Store> Entry<S> {
    /// Follows the configuration, which contains the routes, and applies its changes. Never returns.
    pub(crate) async fn follow_routes(&self) {
        future::or(self.watch_routes(), self.watch_age()).await;
    }

    /// Watches the configuration and applies its changes.
    async fn watch_routes(&self) {
        let mut cursor: Option<Cursor> = None;
        let key = self.store.routes_key();
        loop {
            let sent_at = runtime::now();
            let read = match &mut cursor {
                None => match self.store.range(key).await {
                    Ok((items, as_of)) => {
                        cursor = Some(Cursor::new(as_of));
                        Ok(Some((Source::Read, items)))
                    }
                    Err(error) => Err(error),
                },
                Some(cursor) => match cursor.watch(&self.store, key, WATCH_TIMEOUT).await {
                    Ok(WatchResult::Changes { changes, .. }) => {
                        Ok(Some((Source::Watch, written_items(changes))))
                    }
                    Ok(WatchResult::Compacted) => Ok(None),
                    Err(error) => Err(error),
                },
            };
            match read {
                Ok(Some((source, items))) => {
                    self.set_store_up(true);
                    let proven_at = match source {
                        Source::Watch if items.is_empty() => waited_until(sent_at),
                        _ => sent_at,
                    };
                    items
                        .iter()
                        .filter(|item| item.key == key)
                        .for_each(|item| self.apply(item, source));
                    match self.routes() {
                        Some(_) => self.confirm_routes(proven_at),
                        None => runtime::sleep(RETRY_DELAY).await,
                    }
                }
                Ok(None) => {
                    tracing::info!(event = "routes_read_again");
                    cursor = None;
                }
                Err(error) => {
                    let age_ms = self.routes_age().map(|age| age.as_millis() as u64);
                    tracing::warn!(event = "routes_not_read", age_ms, %error);
                    self.set_store_up(false);
                    runtime::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Logs when the routes become stale, and when they are confirmed again.
    async fn watch_age(&self) {
        loop {
            let (delay, is_stale) = {
                let mut view = self.view.lock();
                let now = runtime::now();
                (view.stale_in(now), view.poll(now))
            };
            let age_ms = self.routes_age().map(|age| age.as_millis() as u64);
            let version = self.view.lock().version();
            match is_stale {
                Some(true) => tracing::warn!(event = "routes_stale", version, age_ms),
                Some(false) => tracing::info!(event = "routes_fresh", version, age_ms),
                None => {}
            }
            runtime::sleep(delay.max(MIN_AGE_CHECK)).await;
        }
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
            Err(error) => tracing::error!(event = "routes_unreadable", key = item.key, %error),
        }
    }

    /// Notes that the current routes were the newest ones at `as_of`.
    fn confirm_routes(&self, as_of: Time) {
        self.view.lock().confirm(as_of);
        let age = runtime::now().saturating_sub(as_of);
        // A clock before 1970 counts as 0, which shows as an age of decades.
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let confirmed = unix.saturating_sub(age).as_secs_f64();
        metrics::gauge!("routes_confirmed_timestamp_seconds").set(confirmed);
    }
}

/// Returns a time before the store gave the empty answer to a watch that was sent at `sent_at`. The
/// store answers without changes only at the end of the wait.
fn waited_until(sent_at: Time) -> Time {
    match sent_at + WATCH_TIMEOUT {
        waited if waited <= runtime::now() => waited,
        _ => sent_at,
    }
}

/// Returns the items that were written, without removals.
fn written_items(changes: Vec<Change>) -> Vec<Item> {
    let items = changes.into_iter().filter_map(|change| match change {
        Change::Written(item) => Some(item),
        Change::Removed(_) => None,
    });
    items.collect()
}
