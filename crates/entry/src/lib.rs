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
use peridotfold_wire::limits::Limiter;
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
    let http_task = runtime::spawn(serve(settings, store, shutdown, print_addresses));
    let stopped = future::or(async { Some(runtime::terminated().await) }, async {
        wait_finished(&http_task).await;
        None
    });
    if let Some(result) = stopped.await {
        result.wrap_err("step=signals")?;
    }
    trigger.fire();
    http_task.await
}

/// Waits until a task has finished, without taking its result.
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
    let reachable_at = settings.advertise.unwrap_or(internal.address());
    let context = Arc::new(Context::new(settings, http.address(), reachable_at, store, drained));
    // The stages of the shutdown end one after the other, since requests need the cells,
    // announcements and heartbeats until their end.
    let (stop_requests, requests_end) = shutdown::channel();
    let (stop_cells, cells_end) = shutdown::channel();
    let (stop_rest, rest_end) = shutdown::channel();
    let limiter = Limiter::new("callers", context.settings.limits);
    let service = HttpHandler {
        context: context.clone(),
        metrics: metrics_handle(),
        limiter: limiter.clone(),
    };
    let http_task = runtime::spawn(http.serve_within(limiter, Arc::new(service), requests_end));
    let cells_task = runtime::spawn(own_cells(context.clone(), cells_end));
    let handler = Arc::new(InternalHandler { context: context.clone() });
    let internal_task = runtime::spawn(internal.serve(handler, rest_end.clone()));
    let heartbeat_task = runtime::spawn(Heartbeats::new(context.clone()).run(rest_end.clone()));
    let config_task = runtime::spawn(config::run(context.clone(), rest_end.clone()));
    let relay_task = runtime::spawn(relay::run(context.clone(), rest_end.clone()));
    let key_list_task = runtime::spawn(key_lists::run(context.clone(), rest_end.clone()));
    let recovery_task = runtime::spawn(recovery::run(context.clone(), rest_end.clone()));
    let metrics_task = runtime::spawn(maintain_metrics(rest_end));
    tracing::info!(event = "entry_started", entry = context.settings.id, id = context.incarnation);

    shutdown.wait().await;
    tracing::info!(event = "entry_stopping", entry = context.settings.id);
    context.set_stopping();
    stop_requests.fire();
    let drain_task = runtime::spawn(async move {
        runtime::sleep(DRAIN_GRACE).await;
        drain.fire();
    });
    http_task.await;
    drop(drain_task);
    stop_cells.fire();
    cells_task.await;
    stop_rest.fire();
    heartbeat_task.await.write_last_heartbeat().await;
    // Connections to failed hosts never end.
    future::or(internal_task, runtime::sleep(CLOSE_TIMEOUT)).await;
    config_task.await;
    relay_task.await;
    key_list_task.await;
    recovery_task.await;
    metrics_task.await;
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
