//! Keeps the configuration in effect up to date, from the store or from other entries.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use peridotfold_core::id::ConfigVersion;
use peridotfold_core::message::entry::{ConfigReply, ConfigRequest};
use peridotfold_store::{ConfigRepository, JournalError, Store};
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::Shutdown;

use crate::context::Context;

/// Duration of one watch call. Each call counts against the store's limit on reads. A watch on a
/// connection that failed silently ends after this time plus the timeout of a call; the sum must be
/// within the 7 s in which a version has to be in effect.
const WATCH_WAIT: Duration = Duration::from_secs(4);
/// Pause after a failed store call, and between two checks of announced versions. Together with the
/// watch and the agents' announcements, it stays within the 7 s in which a version has to be in
/// effect.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Timeout of a configuration request to an agent or another entry.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Keeps the configuration up to date until the shutdown signal.
pub async fn run<S: Store>(context: Arc<Context<S>>, shutdown: Shutdown) {
    let followed = future::or(follow_store(&context), follow_agents(&context));
    future::or(followed, shutdown.wait()).await;
}

/// Opens the repository, then installs each new version from the store.
async fn follow_store<S: Store>(context: &Arc<Context<S>>) {
    let repository = loop {
        match ConfigRepository::open(context.store.clone(), context.incarnation).await {
            Ok(repository) => break repository,
            Err(error) => handle_store_failure(context, &error).await,
        }
    };
    *context.repository.write() = Some(Arc::new(repository.clone()));
    loop {
        install_current(context, &repository);
        let version = repository.current().0;
        if let Err(error) = repository.wait_for_change(version, WATCH_WAIT).await {
            handle_store_failure(context, &error).await;
        }
    }
}

/// Puts the repository's current version into effect.
pub fn install_current<S: Store>(context: &Context<S>, repository: &ConfigRepository<S>) {
    let version = context.current().map_or(0, |current| current.version);
    context.install("store", &repository.update_since(version));
}

/// Checks every [`RETRY_PAUSE`] whether an agent has announced a higher configuration version, and
/// requests the configuration from this agent and from the other entries. Only this entry may have
/// lost contact with the store, and it may know no other entries.
async fn follow_agents<S: Store>(context: &Arc<Context<S>>) {
    loop {
        runtime::sleep(RETRY_PAUSE).await;
        let version = context.current().map_or(0, |current| current.version);
        if let Some(agent) = context.agent_with_newer(version) {
            request_config(context.clone(), agent, version).await;
            request_from_entries(context).await;
        }
    }
}

/// Logs a store failure, asks the other entries for the configuration, and pauses.
async fn handle_store_failure<S: Store>(context: &Arc<Context<S>>, error: &JournalError) {
    tracing::warn!(event = "config_store_failed", %error);
    request_from_entries(context).await;
    runtime::sleep(RETRY_PAUSE).await;
}

/// Requests the configuration from all other entries concurrently; the highest version takes
/// effect.
async fn request_from_entries<S: Store>(context: &Arc<Context<S>>) {
    let version = context.current().map_or(0, |current| current.version);
    let known = context.alive().into_iter().map(|view| view.address);
    let configured = context.settings.peers.iter().map(|address| address.to_string());
    let mut addresses: BTreeSet<String> = known.chain(configured).collect();
    addresses.remove(&context.internal.to_string());
    let tasks: Vec<_> = addresses
        .into_iter()
        .map(|address| runtime::spawn(request_config(context.clone(), address, version)))
        .collect();
    for task in tasks {
        task.await;
    }
}

/// Requests a configuration newer than `version` from one process and installs it.
async fn request_config<S: Store>(
    context: Arc<Context<S>>,
    address: String,
    version: ConfigVersion,
) {
    let request = ConfigRequest { version };
    let result = context.peers.call(&address, "config", &request, PEER_TIMEOUT).await;
    match result {
        Ok(ConfigReply { update }) => context.install(&address, &update),
        Err(error) => tracing::info!(event = "config_request_failed", %error),
    }
}
