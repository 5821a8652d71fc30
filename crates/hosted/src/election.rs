//! Election of the owner: an entry follows the current owner and claims the ownership if there is
//! none.

use std::sync::Arc;
use std::time::Duration;

use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::Shutdown;

use crate::directory;
use crate::entry::{Entry, Role};
use crate::follower::{self, DisconnectReason};
use crate::ownership::{Ownership, ReplacedLock};
use crate::ports::Store;

/// Delay before a claim by an entry with one core, in milliseconds. The delay is inversely
/// proportional to the cores, so that entries with more CPU claim first.
const ONE_CORE_DELAY_MS: f64 = 20.0;
/// Upper bound on the delay before a claim, without jitter.
const MAX_CLAIM_DELAY: Duration = Duration::from_millis(500);
/// Upper bound of the random addition to the delay before a claim, in milliseconds.
const CLAIM_JITTER_MS: u64 = 40;

/// Takes part in the election of the owner until the shutdown. After `retiring` is set, this entry
/// process gives up the ownership and does not claim it again.
pub(crate) async fn run<S: Store>(entry: Arc<Entry<S>>, retiring: Shutdown, shutdown: Shutdown) {
    while !shutdown.is_set() {
        let (node, boot) = (entry.identity.node.clone(), entry.identity.boot);
        match directory::read_lock(&entry.store).await {
            Ok(Some((lock, revision))) if lock.node == node => {
                tracing::info!(event = "lock_of_own_node", is_current = lock.boot == boot);
                let replaced = ReplacedLock { revision, epoch: None };
                claim(&entry, replaced, &retiring).await;
                if retiring.is_set() {
                    runtime::sleep_or_shutdown(directory::owner_search_delay(), &shutdown).await;
                }
            }
            Ok(Some((lock, _))) => {
                let reason = follow(&entry, lock.address, &shutdown).await;
                tracing::info!(event = "owner_lost", owner = lock.node, reason = %reason);
                match reason {
                    DisconnectReason::Offered { epoch } => {
                        accept(&entry, epoch, &retiring).await;
                    }
                    _ => {
                        let delay = directory::owner_search_delay();
                        runtime::sleep_or_shutdown(delay, &shutdown).await;
                    }
                }
            }
            Ok(None) => {
                let delay =
                    Duration::from_millis((ONE_CORE_DELAY_MS / entry.cores.max(0.01)) as u64);
                let jitter = Duration::from_millis(fastrand::u64(0..CLAIM_JITTER_MS));
                runtime::sleep_or_shutdown(delay.min(MAX_CLAIM_DELAY) + jitter, &shutdown).await;
                claim(&entry, ReplacedLock::default(), &retiring).await;
            }
            Err(error) => {
                tracing::warn!(event = "lock_not_read", %error);
                let next = entry.directory.lock().next_entry();
                if let Some(address) = next.filter(|address| *address != entry.identity.address) {
                    let reason = follow(&entry, address, &shutdown).await;
                    if let DisconnectReason::Redirected(Some(owner)) = reason {
                        follow(&entry, owner, &shutdown).await;
                    }
                }
                runtime::sleep_or_shutdown(directory::owner_search_delay(), &shutdown).await;
            }
        }
    }
}

/// Follows the owner until the connection ends, and adds the entries that it reports to the
/// directory.
async fn follow<S: Store>(
    entry: &Arc<Entry<S>>,
    owner: std::net::SocketAddr,
    shutdown: &Shutdown,
) -> DisconnectReason {
    let identity = &entry.identity;
    let reason = follower::run(
        &entry.store,
        owner,
        &identity.node,
        identity.address,
        shutdown,
        |follower, entries| {
            entry.set_role(Role::Follower(follower.clone()), Some(owner));
            entry.directory.lock().add(entries);
        },
    )
    .await;
    entry.set_role(Role::None, None);
    reason
}

/// Accepts the ownership from the owner of `epoch`, which has ended it and cannot reach the store.
async fn accept<S: Store>(entry: &Arc<Entry<S>>, epoch: u32, retiring: &Shutdown) {
    match directory::read_lock(&entry.store).await {
        Ok(lock) => {
            let revision = lock.map_or(0, |(_, revision)| revision);
            let replaced = ReplacedLock { revision, epoch: Some(epoch) };
            claim(entry, replaced, retiring).await;
        }
        Err(error) => tracing::warn!(event = "lock_not_read", %error),
    }
}

/// Claims the ownership and acts as the owner until it loses or gives up the ownership. `replaced`
/// is the lock that the claim replaces.
async fn claim<S: Store>(entry: &Arc<Entry<S>>, replaced: ReplacedLock, retiring: &Shutdown) {
    if retiring.is_set() {
        return;
    }
    let claimed = Ownership::claim(entry.store.clone(), entry.identity.clone(), replaced).await;
    let ownership = match claimed {
        Ok(Some(ownership)) => ownership,
        Ok(None) => return,
        Err(error) => {
            tracing::warn!(event = "claim_failed", %error);
            runtime::sleep(directory::owner_search_delay()).await;
            return;
        }
    };
    let (service, as_of) = match ownership.start_service(entry.owner_settings.clone()).await {
        Ok(started) => started,
        Err(error) => {
            tracing::warn!(event = "takeover_failed", %error);
            return;
        }
    };
    entry.set_role(Role::Owner(service.clone()), Some(entry.identity.address));
    // Before the owner's lease counts as valid, so that it knows the zones before its first start.
    entry.hand_evacuations();
    let is_stopped = futures_lite::future::or(
        async {
            ownership.run(&service, as_of).await;
            false
        },
        async {
            retiring.wait().await;
            true
        },
    )
    .await;
    entry.set_role(Role::None, None);
    if is_stopped {
        ownership.release(&service).await;
    }
    service.shut_down();
    entry.directory.lock().add(service.known_entries());
    tracing::info!(event = "ownership_ended", is_stopped);
}
