//! The agent process: admission of requests to the upstream beside it, and batch tasks of its VM.

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

/// Time allowed to hand back batch tasks.
const BATCH_DRAIN_TIMEOUT: Duration = Duration::from_secs(20);
/// Time allowed to close connections after all requests have ended.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time allowed for the home entries to confirm that the agent leaves.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the confirmations in which requests that were already on their way are refused
/// properly. A request that meets a closed connection instead might have an unknown outcome.
const LEAVE_LINGER: Duration = Duration::from_millis(250);
/// Time between two looks at whether the requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

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
    leaving: Trigger,
    close_streams: Trigger,
    stop: Trigger,
    tasks: Vec<Task<()>>,
}

impl Agent {
    /// Binds the addresses and starts to serve and to announce.
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
            runtime::spawn(pages.serve(status, stopped.clone())),
            runtime::spawn(announcer.clone().run(stopped.clone())),
            runtime::spawn(run_batch(batch.clone(), shared.clone(), stopped)),
        ];
        Ok(Agent { shared, batch, announcer, http, internal, leaving, close_streams, stop, tasks })
    }

    /// Address for health and metrics.
    pub fn http(&self) -> SocketAddr {
        self.http
    }

    /// Address for messages.
    pub fn internal(&self) -> SocketAddr {
        self.internal
    }

    /// State of the agent.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Takes nothing new, finishes what runs, hands back batch tasks and stops.
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

    /// Waits until no entry sends requests any more.
    async fn wait_left(&self) {
        let limit = runtime::now() + LEAVE_TIMEOUT;
        while !self.announcer.has_left() && runtime::now() < limit {
            runtime::sleep(DRAIN_POLL_INTERVAL).await;
        }
        runtime::sleep(LEAVE_LINGER).await;
    }

    async fn wait_idle(&self) {
        while !self.shared.gate.is_idle() {
            runtime::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

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
