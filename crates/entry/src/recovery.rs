//! Recovery of idempotency keys after a restart of this entry.
//!
//! A restarted entry does not know the keys that its previous incarnation dispatched. It reads them
//! from the key tables of the holders, the agents that may have run these keys.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use peridotfold_core::id::Incarnation;
use peridotfold_core::keys::Holder;
use peridotfold_core::message::entry::{KeyTableReply, KeyTableRequest, TableKey};
use peridotfold_core::time;
use peridotfold_store::Store;
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::Shutdown;

use crate::context::Context;

/// Time between two checks for holders whose key table was not read yet.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of the request for one page of a key table.
const PAGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two pages from one holder, whose node has 4 KB/s for control traffic.
const PAGE_PAUSE: Duration = Duration::from_secs(1);

/// Reads the key tables of the holders until all keys of the previous incarnation are recovered, or
/// until their retention period is over.
pub async fn run<S: Store>(context: Arc<Context<S>>, shutdown: Shutdown) {
    let end = time::lease_wait(peridotfold_core::keys::RETENTION);
    while !runtime::sleep_or_shutdown(POLL_INTERVAL, &shutdown).await && runtime::now() < end {
        let Some((ended, holders)) = context.keys.lock().recovery_sources() else { continue };
        let tasks: Vec<_> = holders
            .into_iter()
            .map(|(service, holder)| {
                let context = context.clone();
                runtime::spawn(
                    async move { take_over_keys(&context, service, holder, ended).await },
                )
            })
            .collect();
        let reading = async {
            for task in tasks {
                task.await;
            }
        };
        future::or(reading, shutdown.wait()).await;
        if context.keys.lock().is_recovered() {
            tracing::info!(event = "keys_recovered", entry = context.settings.id, ended);
            // Later moves rely on this entry's record, which now has to show the recovery.
            context.request_round();
            return;
        }
    }
}

/// Recovers the keys of the incarnation `ended` from one holder.
async fn take_over_keys<S: Store>(
    context: &Arc<Context<S>>,
    service: String,
    holder: Holder,
    ended: Incarnation,
) {
    let Some(table) = read_table(context, &service, &holder, ended).await else { return };
    let count = table.len();
    let Holder { agent, .. } = &holder;
    tracing::info!(event = "key_table_read", service, agent, ended, count);
    context.keys.lock().recover_from(runtime::now(), &service, &holder, &table);
}

/// Reads the whole key table of a holder. Returns `None` when the holder is unreachable or has
/// restarted.
async fn read_table<S: Store>(
    context: &Arc<Context<S>>,
    service: &str,
    holder: &Holder,
    ended: Incarnation,
) -> Option<Vec<TableKey>> {
    let target = {
        let upstreams = context.upstreams.lock();
        upstreams.holder(runtime::now(), &holder.agent, holder.incarnation, service)?
    };
    let mut table = Vec::new();
    let mut request = KeyTableRequest {
        agent_incarnation: holder.incarnation,
        entry: context.settings.id.clone(),
        ended,
        after: None,
    };
    loop {
        match context.peers.call(&target.address, "keytable", &request, PAGE_TIMEOUT).await {
            Ok(KeyTableReply::Page { keys, more }) => {
                let last = keys.last().map(|key| key.hash);
                table.extend(keys);
                match more {
                    false => return Some(table),
                    // A page without new keys would be requested forever.
                    true if last <= request.after => return None,
                    true => request.after = last,
                }
            }
            Ok(KeyTableReply::Restarted) => return None,
            Err(error) => {
                tracing::info!(event = "key_table_failed", agent = holder.agent, %error);
                // A failing holder is asked less often than at every check.
                runtime::sleep(PAGE_PAUSE).await;
                return None;
            }
        }
        runtime::sleep(PAGE_PAUSE).await;
    }
}
