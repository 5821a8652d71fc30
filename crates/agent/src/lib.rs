//! The agent process, which runs on each VM. It admits requests from entries, the front-end
//! processes, to the upstream on the VM, and runs the VM's batch tasks.

pub mod announce;
pub mod batch;
pub mod gate;
pub mod http;
pub mod idempotency;
pub mod messages;
pub mod relay;
pub mod request;
pub mod request_body;
pub mod settings;
pub mod shared;
pub mod upstream;
pub mod view;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use futures_lite::future;
use peridotfold_wire::http_server::HttpServer;
use peridotfold_wire::limits::{Limiter, Limits};
use peridotfold_wire::runtime;
use peridotfold_wire::server::MessageServer;
use peridotfold_wire::shutdown::{self, Shutdown, Trigger};
use smol::Task;

use crate::announce::Announcer;
use crate::batch::Batch;
use crate::http::StatusPages;
use crate::messages::MessageHandler;
use crate::settings::Settings;
use crate::shared::Shared;

/// Maximum duration of the drain of batch tasks.
const BATCH_DRAIN_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum time to close connections after all requests have ended.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum wait for the home entries to acknowledge that the agent leaves.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the acknowledgements during which requests still in transit are refused. If they met
/// a closed connection instead, their outcome might be unknown.
const LEAVE_LINGER: Duration = Duration::from_millis(250);
/// Interval between checks whether the requests have ended and the entries have acknowledged.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Limits of the pages for health, metrics and status, which only the platform and operators read.
const PAGE_LIMITS: Limits = Limits { connections: 64, requests: 64, memory: 8 * 1024 * 1024 };

/// Runs an agent until SIGTERM, then drains it.
///
/// # Errors
///
/// Fails when an address cannot be bound or signals cannot be received.
pub async fn run(settings: Settings) -> eyre::Result<()> {
    let agent = Agent::start(settings).await?;
    println!("listening http={} internal={}", agent.http(), agent.internal());
    runtime::terminated().await.wrap_err("step=signals")?;
    agent.drain().await;
    Ok(())
}

/// A running agent.
#[derive(Debug)]
pub struct Agent {
    shared: Arc<Shared>,
    batch: Batch,
    announcer: Arc<Announcer>,
    http: SocketAddr,
    internal: SocketAddr,
    /// Starts the announcement that the agent leaves.
    leaving: Trigger,
    /// Closes streaming responses.
    close_streams: Trigger,
    /// Stops the servers and background tasks.
    stop: Trigger,
    tasks: Vec<Task<()>>,
}

impl Agent {
    /// Binds the addresses, and starts the servers, announcements and batch tasks.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub async fn start(settings: Settings) -> eyre::Result<Self> {
        let (leaving, leaving_signal) = shutdown::channel();
        let (close_streams, streams_closed) = shutdown::channel();
        let (stop, stopped) = shutdown::channel();
        let messages = MessageServer::bind(settings.internal)
            .await
            .wrap_err_with(|| format!("step=bind field=internal address={}", settings.internal))?;
        let pages = HttpServer::bind(settings.http)
            .await
            .wrap_err_with(|| format!("step=bind field=http address={}", settings.http))?;
        let http = pages.address();
        let internal = messages.address();
        let advertised = settings.advertise.unwrap_or(internal);
        let shared = Arc::new(Shared::new(settings, advertised, leaving_signal, streams_closed));
        tracing::info!(
            event = "agent_started",
            agent = shared.settings.id,
            incarnation = shared.incarnation,
            %internal,
            %http,
        );
        let batch = Batch::new(&shared.settings, shared.incarnation, shared.peers.clone());
        let handler = Arc::new(MessageHandler::new(shared.clone()));
        let status = Arc::new(StatusPages::new(shared.clone()));
        let announcer = Arc::new(Announcer::new(shared.clone()));
        let tasks = vec![
            runtime::spawn(messages.serve(handler, stopped.clone())),
            runtime::spawn(pages.serve_within(
                Limiter::new("pages", PAGE_LIMITS),
                status,
                stopped.clone(),
            )),
            runtime::spawn(announcer.clone().run(stopped.clone())),
            runtime::spawn(run_batch(batch.clone(), shared.clone(), stopped)),
        ];
        Ok(Agent { shared, batch, announcer, http, internal, leaving, close_streams, stop, tasks })
    }

    /// Returns the bound address for health, metrics and status.
    pub fn http(&self) -> SocketAddr {
        self.http
    }

    /// Returns the bound address for messages from entries.
    pub fn internal(&self) -> SocketAddr {
        self.internal
    }

    /// Returns the shared state of the agent.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Refuses new requests, finishes admitted ones, returns batch tasks to the owner of the cell
    /// and stops the agent.
    pub async fn drain(self) {
        tracing::info!(event = "drain_started", agent = self.shared.settings.id);
        self.shared.gate.leave();
        self.leaving.fire();
        let grace = runtime::sleep(self.shared.settings.drain_grace);
        let close_after_grace = async {
            grace.await;
            self.close_streams.fire();
            future::pending().await
        };
        let requests = future::or(self.wait_idle(), close_after_grace);
        future::zip(requests, self.wait_left()).await;
        tracing::info!(event = "requests_drained", agent = self.shared.settings.id);
        self.batch.drain(BATCH_DRAIN_TIMEOUT).await;
        self.stop.fire();
        let close = async {
            for task in self.tasks {
                task.await;
            }
        };
        future::or(close, runtime::sleep(CLOSE_TIMEOUT)).await;
        tracing::info!(event = "drain_ended", agent = self.shared.settings.id);
    }

    /// Waits until entries send no more requests: the home entries have acknowledged that the agent
    /// leaves, or [`LEAVE_TIMEOUT`] has passed, and then [`LEAVE_LINGER`].
    async fn wait_left(&self) {
        let limit = runtime::now() + LEAVE_TIMEOUT;
        while !self.announcer.has_left() && runtime::now() < limit {
            runtime::sleep(DRAIN_POLL_INTERVAL).await;
        }
        runtime::sleep(LEAVE_LINGER).await;
    }

    /// Waits until no request is queued or running.
    async fn wait_idle(&self) {
        while !self.shared.gate.is_idle() {
            runtime::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

/// Runs batch tasks with the configuration, owner and latency of the shared state.
async fn run_batch(batch: Batch, shared: Arc<Shared>, shutdown: Shutdown) {
    let (document, owner, latency) = (shared.clone(), shared.clone(), shared);
    batch
        .run(
            move || document.view.document(),
            move || owner.view.owner(),
            move || latency.gate.load().latency,
            shutdown,
        )
        .await;
}
