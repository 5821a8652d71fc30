//! Finds the owner, follows it, and claims the ownership when there is none.

use std::sync::Arc;
use std::time::Duration;

use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::Shutdown;

use crate::directory::{self, Directory};
use crate::entry::{Entry, Role};
use crate::follower::{self, Ended};
use crate::keeper::Keeper;
use crate::ports::{Revision, Store};

/// Delay before a claim for each whole core less than a machine has: larger machines come first.
const CLAIM_DELAY_MS: f64 = 20.0;
const CLAIM_DELAY_MAX: Duration = Duration::from_millis(500);
const CLAIM_SPREAD_MS: u64 = 40;

/// Runs until the shutdown.
pub(crate) async fn run<S: Store>(entry: Arc<Entry<S>>, retiring: Shutdown, shutdown: Shutdown) {
    let mut directory = Directory::default();
    while !shutdown.is_set() {
        let (own, boot) = (entry.identity.node.clone(), entry.identity.boot);
        match directory::lock(&entry.store).await {
            Ok(Some((lock, revision))) if lock.node == own => {
                tracing::info!(event = "lock_of_own_node", is_current = lock.boot == boot);
                claim(&entry, revision, &mut directory, &retiring).await;
                if retiring.is_set() {
                    runtime::sleep_or_shutdown(directory::pause(), &shutdown).await;
                }
            }
            Ok(Some((lock, _))) => {
                let ended = follow(&entry, lock.address, &mut directory, &shutdown).await;
                tracing::info!(event = "owner_lost", owner = lock.node, reason = %ended);
                runtime::sleep_or_shutdown(directory::pause(), &shutdown).await;
            }
            Ok(None) => {
                let delay = Duration::from_millis((CLAIM_DELAY_MS / entry.cores.max(0.01)) as u64);
                let spread = Duration::from_millis(fastrand::u64(0..CLAIM_SPREAD_MS));
                runtime::sleep_or_shutdown(delay.min(CLAIM_DELAY_MAX) + spread, &shutdown).await;
                claim(&entry, 0, &mut directory, &retiring).await;
            }
            Err(error) => {
                tracing::warn!(event = "lock_not_read", %error);
                let next = directory.next();
                if let Some(address) = next.filter(|address| *address != entry.identity.address) {
                    let ended = follow(&entry, address, &mut directory, &shutdown).await;
                    if let Ended::Redirected(Some(owner)) = ended {
                        follow(&entry, owner, &mut directory, &shutdown).await;
                    }
                }
                runtime::sleep_or_shutdown(directory::pause(), &shutdown).await;
            }
        }
    }
}

async fn follow<S: Store>(
    entry: &Arc<Entry<S>>,
    owner: std::net::SocketAddr,
    directory: &mut Directory,
    shutdown: &Shutdown,
) -> Ended {
    let known = parking_lot::Mutex::new(Vec::new());
    let identity = &entry.identity;
    let ended = follower::run(
        &entry.store,
        owner,
        &identity.node,
        identity.address,
        shutdown,
        |follower, entries| {
            entry.set_role(Role::Follower(follower.clone()), Some(owner));
            known.lock().extend(entries);
        },
    )
    .await;
    entry.set_role(Role::None, None);
    directory.learn(known.into_inner());
    ended
}

/// Claims the ownership and works until it ends.
async fn claim<S: Store>(
    entry: &Arc<Entry<S>>,
    replaces: Revision,
    directory: &mut Directory,
    retiring: &Shutdown,
) {
    if retiring.is_set() {
        return;
    }
    let claimed = Keeper::claim(entry.store.clone(), entry.identity.clone(), replaces).await;
    let keeper = match claimed {
        Ok(Some(keeper)) => keeper,
        Ok(None) => return,
        Err(error) => {
            tracing::warn!(event = "claim_failed", %error);
            runtime::sleep(directory::pause()).await;
            return;
        }
    };
    let (office, as_of) = match keeper.open_office(entry.owner_settings.clone()).await {
        Ok(opened) => opened,
        Err(error) => {
            tracing::warn!(event = "takeover_failed", %error);
            return;
        }
    };
    entry.set_role(Role::Owner(office.clone()), Some(entry.identity.address));
    let is_stopped = futures_lite::future::or(
        async {
            keeper.run(&office, as_of).await;
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
        keeper.release(&office).await;
    }
    office.finish();
    directory.learn(office.known_entries());
    tracing::info!(event = "ownership_ended", is_stopped);
}
