//! Fetches the key lists of moves.
//!
//! A move reassigns buckets of idempotency keys to new holders. Its witnesses are the entries that
//! may have dispatched keys to the old holder; a key list names the keys that one witness did.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use peridotfold_core::message::entry::{KeyListReply, KeyListRequest};
use peridotfold_core::time::Time;
use peridotfold_store::Store;
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::Shutdown;

use crate::context::Context;

/// Shortest time between two fetches of missing key lists. Bounds how long a witness must stay
/// alive after it has adopted a move.
const RETRY_MIN: Duration = Duration::from_millis(100);
/// Longest time between two fetches of missing key lists. A list that no entry holds stays
/// missing for the retention period of keys.
const RETRY_MAX: Duration = Duration::from_secs(2);
/// Timeout of the request for one page of a key list.
const PAGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Reason for the end of a pause between fetches.
enum Wake {
    /// The pause is over.
    Due,
    /// An early fetch was requested, since another entry has adopted a move.
    Early,
    /// The entry is shutting down.
    Shutdown,
}

/// Fetches missing key lists until the shutdown signal.
pub async fn run<S: Store>(context: Arc<Context<S>>, shutdown: Shutdown) {
    let (mut pause, mut before) = (RETRY_MIN, Vec::new());
    loop {
        let early = async {
            runtime::sleep(RETRY_MIN).await;
            let _ = context.early_fetch.1.recv().await;
            Wake::Early
        };
        let due = async {
            match runtime::sleep_or_shutdown(pause, &shutdown).await {
                true => Wake::Shutdown,
                false => Wake::Due,
            }
        };
        match future::or(due, early).await {
            Wake::Shutdown => return,
            Wake::Early => before.clear(),
            Wake::Due => {}
        }
        let missing = context.keys.lock().missing(runtime::now());
        if !missing.is_empty() {
            future::or(fetch_missing(&context), shutdown.wait()).await;
        }
        // Retries soon after the missing lists have changed, since a witness may not have adopted
        // the move yet.
        pause = match missing.is_empty() || missing != before {
            true => RETRY_MIN,
            false => (pause * 2).min(RETRY_MAX),
        };
        before = missing;
    }
}

/// Fetches the missing key lists. Concurrent calls run one after the other; a call less than
/// [`RETRY_MIN`] after the end of another fetches nothing.
pub async fn fetch_missing<S: Store>(context: &Arc<Context<S>>) {
    let mut last: smol::lock::MutexGuard<'_, Option<Time>> = context.lists_fetched.lock().await;
    let now = runtime::now();
    if last.is_some_and(|at| now.saturating_sub(at) < RETRY_MIN) {
        return;
    }
    let missing = context.keys.lock().missing(now);
    let tasks: Vec<_> = missing
        .into_iter()
        .map(|request| {
            let context = context.clone();
            runtime::spawn(async move { fetch_one(&context, request).await })
        })
        .collect();
    for task in tasks {
        task.await;
    }
    *last = Some(runtime::now());
}

/// Fetches the whole key list of `request` from its witness, or from another entry with a copy.
async fn fetch_one<S: Store>(context: &Arc<Context<S>>, request: KeyListRequest) {
    for address in sources(context, &request) {
        let Some(keys) = fetch_from(context, &address, request.clone()).await else { continue };
        let KeyListRequest { service, generation, entry, .. } = &request;
        let count = keys.len();
        tracing::info!(event = "key_list_fetched", service, generation, entry, count, address);
        context.keys.lock().store_list(&request, keys);
        return;
    }
}

/// Returns the addresses of the entries that may hold a key list, the witness first.
fn sources<S: Store>(context: &Arc<Context<S>>, request: &KeyListRequest) -> Vec<String> {
    let members = context.members.lock();
    let witness = members.record(&request.entry);
    let witness = witness.filter(|record| record.incarnation == request.incarnation);
    let others = members.alive().into_iter().filter(|view| {
        view.entry != context.settings.id && view.incarnation != request.incarnation
    });
    let witness = witness.map(|record| record.internal.clone());
    witness.into_iter().chain(others.map(|view| view.address)).collect()
}

/// Fetches all pages of a key list from one entry. Returns `None` if the entry does not hold the
/// list or fails.
async fn fetch_from<S: Store>(
    context: &Arc<Context<S>>,
    address: &str,
    mut request: KeyListRequest,
) -> Option<BTreeSet<u128>> {
    let mut whole = BTreeSet::new();
    loop {
        let reply = context.peers.call(address, "keylist", &request, PAGE_TIMEOUT).await;
        match reply {
            Ok(KeyListReply::Page { keys, more }) => {
                whole.extend(keys);
                let last = whole.last().copied();
                match more {
                    false => return Some(whole),
                    // A page without new keys would be requested forever.
                    true if last == request.after => return None,
                    true => request.after = last,
                }
            }
            Ok(KeyListReply::NotHeld) => return None,
            Err(error) => {
                tracing::debug!(event = "key_list_failed", %error);
                return None;
            }
        }
    }
}
