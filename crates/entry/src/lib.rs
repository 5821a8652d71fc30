//! The entry process: routes callers' requests to agents, owns cells of batch workers, and serves
//! the configuration.

pub mod auth;
pub mod cells;
pub mod config;
pub mod context;
pub mod headers;
pub mod heartbeats;
pub mod http;
pub mod internal;
pub mod jobs;
pub mod key_lists;
pub mod operator;
pub mod proxy;
pub mod recovery;
pub mod relay;
pub mod reply;
pub mod settings;
pub mod trace;

use std::io::Write;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use eyre::WrapErr;
use futures_lite::future;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use peridotfold_store::{HttpStore, Store};
use peridotfold_wire::http_server::HttpServer;
use peridotfold_wire::runtime;
use peridotfold_wire::server::MessageServer;
use peridotfold_wire::shutdown::{self, Shutdown};

use crate::context::Context;
use crate::heartbeats::Heartbeats;
use crate::http::HttpHandler;
use crate::internal::InternalHandler;
use crate::settings::Settings;

/// Timeout of one store call. Below the heartbeat interval, so that a slow store delays a heartbeat
/// round by at most one interval.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after the start of a shutdown at which responses of unknown length are ended at a chunk
/// boundary. Without this limit, an endless response would block the shutdown forever.
const DRAIN_GRACE: Duration = Duration::from_secs(30);
/// Longest wait at the end of a shutdown for the connections of agents and other entries.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two maintenance runs of the metrics recorder.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Runs an entry until SIGTERM or SIGINT, then shuts it down without interrupting a request.
///
/// # Errors
///
/// Fails when an address cannot be bound or the signals cannot be handled.
pub async fn run(settings: Settings) -> eyre::Result<()> {
    let store = HttpStore::new(settings.store, STORE_TIMEOUT);
    let (trigger, shutdown) = shutdown::channel();
    let serving = runtime::spawn(serve(settings, store, shutdown, print_addresses));
    let stopped = future::or(async { Some(runtime::terminated().await) }, async {
        wait_finished(&serving).await;
        None
    });
    if let Some(result) = stopped.await {
        result.wrap_err("step=signals")?;
    }
    trigger.fire();
    serving.await
}

async fn wait_finished<T>(task: &smol::Task<T>) {
    while !task.is_finished() {
        runtime::sleep(Duration::from_millis(50)).await;
    }
}

/// Prints the bound addresses to standard output.
fn print_addresses(http: std::net::SocketAddr, internal: std::net::SocketAddr) {
    let mut out = std::io::stdout();
    let _ = writeln!(out, "listening http={http} internal={internal}");
    let _ = out.flush();
}

/// Runs an entry until the shutdown signal. Calls `ready` with the bound HTTP and internal
/// addresses.
///
/// # Errors
///
/// Fails when an address cannot be bound.
pub async fn serve<S: Store>(
    settings: Settings,
    store: S,
    shutdown: Shutdown,
    ready: impl FnOnce(std::net::SocketAddr, std::net::SocketAddr),
) -> eyre::Result<()> {
    let http = HttpServer::bind(settings.http)
        .await
        .wrap_err_with(|| format!("step=bind peer={}", settings.http))?;
    let internal = MessageServer::bind(settings.internal)
        .await
        .wrap_err_with(|| format!("step=bind peer={}", settings.internal))?;
    ready(http.address(), internal.address());
    let (drain, drained) = shutdown::channel();
    let reached_at = settings.advertise.unwrap_or(internal.address());
    let context = Arc::new(Context::new(settings, http.address(), reached_at, store, drained));
    // The stages of the shutdown end one after the other, since requests need the cells,
    // announcements and heartbeats until their end.
    let (requests, requests_end) = shutdown::channel();
    let (cells, cells_end) = shutdown::channel();
    let (rest, rest_end) = shutdown::channel();
    let service = HttpHandler { context: context.clone(), metrics: metrics_handle() };
    let serving = runtime::spawn(http.serve(Arc::new(service), requests_end));
    let owning = runtime::spawn(own_cells(context.clone(), cells_end));
    let handler = Arc::new(InternalHandler { context: context.clone() });
    let handling = runtime::spawn(internal.serve(handler, rest_end.clone()));
    let heartbeat_task = runtime::spawn(Heartbeats::new(context.clone()).run(rest_end.clone()));
    let following = runtime::spawn(config::run(context.clone(), rest_end.clone()));
    let relaying = runtime::spawn(relay::run(context.clone(), rest_end.clone()));
    let fetching = runtime::spawn(key_lists::run(context.clone(), rest_end.clone()));
    let recovering = runtime::spawn(recovery::run(context.clone(), rest_end.clone()));
    let maintain_metrics = runtime::spawn(maintain_metrics(rest_end));
    tracing::info!(event = "entry_started", entry = context.settings.id, id = context.incarnation);

    shutdown.wait().await;
    tracing::info!(event = "entry_stopping", entry = context.settings.id);
    context.set_stopping();
    requests.fire();
    let draining = runtime::spawn(async move {
        runtime::sleep(DRAIN_GRACE).await;
        drain.fire();
    });
    serving.await;
    drop(draining);
    cells.fire();
    owning.await;
    rest.fire();
    heartbeat_task.await.write_last_heartbeat().await;
    // Connections to failed hosts never end.
    future::or(handling, runtime::sleep(CLOSE_TIMEOUT)).await;
    following.await;
    relaying.await;
    fetching.await;
    recovering.await;
    maintain_metrics.await;
    tracing::info!(event = "entry_stopped", entry = context.settings.id);
    Ok(())
}

/// Takes over and owns cells until the shutdown signal.
async fn own_cells<S: Store>(context: Arc<Context<S>>, shutdown: Shutdown) {
    let (documents, alive, silence) = (context.clone(), context.clone(), context.clone());
    let run = context.cells.run(
        move || documents.document(),
        move || alive.alive(),
        move || silence.store_silence(),
        shutdown,
    );
    run.await;
}

/// Returns the metrics of the process. Several entries in one process, as in tests, share them.
fn metrics_handle() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    let install = || {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        if let Err(error) = metrics::set_global_recorder(recorder) {
            tracing::warn!(event = "metrics_not_installed", %error);
        }
        handle
    };
    HANDLE.get_or_init(install).clone()
}

/// Maintains the metrics recorder until the shutdown signal.
async fn maintain_metrics(shutdown: Shutdown) {
    while !runtime::sleep_or_shutdown(METRICS_UPKEEP_INTERVAL, &shutdown).await {
        metrics_handle().run_upkeep();
    }
}
