//! Takes over the keys that the process before a restart of this entry dispatched.

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

/// Time between two looks at which holders are left.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time allowed for one page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two pages of one holder, whose node has 4 KB/s for control.
const PAGE_PAUSE: Duration = Duration::from_secs(1);

/// Reads the tables of the holders until all is taken over, or until the keys of the predecessor
/// no longer matter.
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
            // Moves that begin from now on rely on the record to say so.
            context.request_round();
            return;
        }
    }
}

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

/// Reads the whole table of a holder. `None` when it cannot be reached or has restarted.
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
                    // A page has to bring the table forward.
                    true if last <= request.after => return None,
                    true => request.after = last,
                }
            }
            Ok(KeyTableReply::Restarted) => return None,
            Err(error) => {
                tracing::info!(event = "key_table_failed", agent = holder.agent, %error);
                // A holder that does not answer is not asked at the rate of the first looks.
                runtime::sleep(PAGE_PAUSE).await;
                return None;
            }
        }
        runtime::sleep(PAGE_PAUSE).await;
    }
}
