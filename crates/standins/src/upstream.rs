//! Stand-in for an upstream service: guide lookups, bids and feeds.
//!
//! - `GET /slot/<n>`: a body derived from the path and query, see [`answers::slot_body`].
//! - `POST /bid`: records one execution with its key and body; `?answer_bytes=N` pads the answer.
//! - `GET /executions`: the recorded executions.
//! - `GET /feed`: numbered lines; `?count=N` ends after N lines, `?cut=N` breaks the connection
//!   after N lines, `?period_ms=N` sets the time between lines.
//! - `GET` or `PATCH /control`: reads or changes the [`Behaviour`].

pub mod answers;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr;
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use lexopt::ValueExt;
use parking_lot::Mutex;
use peridotfold_wire::body::Body;
use peridotfold_wire::http_server::{HttpServer, HttpService};
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::{self, Trigger};
use serde::{Deserialize, Serialize};
use smol::Task;

use answers::{number, parameter};

const DEFAULT_FEED_PERIOD: Duration = Duration::from_millis(200);
const THREADS: usize = 2;

/// How the upstream answers. Can be changed while it runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Mean service time, in milliseconds.
    pub base_ms: f64,
    /// Largest deviation from the mean, as a part of it.
    pub jitter: f64,
    /// Multiplies each service time.
    pub slow_factor: f64,
    /// Part of the requests that fail with status 500.
    pub fail_fraction: f64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Behaviour { base_ms: 5.0, jitter: 0.5, slow_factor: 1.0, fail_fraction: 0.0 }
    }
}

/// Options of the stand-in.
#[derive(Debug, Clone)]
pub struct Options {
    pub address: SocketAddr,
    /// Seed of the jitter and the failures.
    pub seed: u64,
    pub behaviour: Behaviour,
}

impl Default for Options {
    fn default() -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        Options { address, seed: 1, behaviour: Behaviour::default() }
    }
}

/// One run of a `POST /bid`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    pub key: Option<String>,
    pub body: String,
    /// Header with the trace of the request, as received.
    pub traceparent: Option<String>,
}

#[derive(Debug)]
struct State {
    behaviour: Mutex<Behaviour>,
    rng: Mutex<fastrand::Rng>,
    executions: Mutex<Vec<Execution>>,
    running: AtomicU64,
    most_running: AtomicU64,
}

/// A running stand-in.
#[derive(Debug)]
pub struct Upstream {
    address: SocketAddr,
    state: Arc<State>,
    stop: Trigger,
    _server: Task<()>,
}

impl Upstream {
    /// Starts a stand-in.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(options: Options) -> std::io::Result<Self> {
        let server = HttpServer::bind(options.address).await?;
        let address = server.address();
        let state = Arc::new(State {
            behaviour: Mutex::new(options.behaviour),
            rng: Mutex::new(fastrand::Rng::with_seed(options.seed)),
            executions: Mutex::default(),
            running: AtomicU64::new(0),
            most_running: AtomicU64::new(0),
        });
        let (stop, stopped) = shutdown::channel();
        let _server =
            runtime::spawn(server.serve(Arc::new(Pages { state: state.clone() }), stopped));
        Ok(Upstream { address, state, stop, _server })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Recorded executions of `POST /bid`.
    pub fn executions(&self) -> Vec<Execution> {
        self.state.executions.lock().clone()
    }

    /// Changes how requests are answered from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.state.behaviour.lock() = behaviour;
    }

    /// Slot lookups and bids that run now.
    pub fn running(&self) -> u64 {
        self.state.running.load(Ordering::Relaxed)
    }

    /// Largest number of slot lookups and bids that ran at once.
    pub fn most_running(&self) -> u64 {
        self.state.most_running.load(Ordering::Relaxed)
    }

    /// Accepts nothing new and lets open requests end.
    pub fn stop(&self) {
        self.stop.fire();
    }
}

/// Runs the stand-in from the command line until SIGTERM.
///
/// # Errors
///
/// Fails on unknown or malformed options, or when the address cannot be bound.
pub fn run(parser: lexopt::Parser) -> eyre::Result<()> {
    let options = parse(parser)?;
    runtime::run(THREADS, async {
        let address = options.address;
        let upstream = Upstream::start(options)
            .await
            .wrap_err_with(|| format!("step=bind field=listen address={address}"))?;
        println!("listening http={}", upstream.address());
        runtime::terminated().await.wrap_err("step=signals")
    })
}

fn parse(mut parser: lexopt::Parser) -> eyre::Result<Options> {
    use lexopt::Arg::Long;
    let mut options = Options::default();
    let behaviour = &mut options.behaviour;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("listen") => options.address = parser.value()?.parse()?,
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("base-ms") => behaviour.base_ms = parser.value()?.parse()?,
            Long("jitter") => behaviour.jitter = parser.value()?.parse()?,
            Long("slow-factor") => behaviour.slow_factor = parser.value()?.parse()?,
            Long("fail-fraction") => behaviour.fail_fraction = parser.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(options)
}

struct Pages {
    state: Arc<State>,
}

impl HttpService for Pages {
    async fn call(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/feed") => feed(request.uri().query().unwrap_or_default()),
            (&Method::GET, "/executions") => answers::json(&*self.state.executions.lock()),
            (&Method::GET, "/control") => answers::json(&*self.state.behaviour.lock()),
            (&Method::PATCH, "/control") => self.control(request).await,
            (&Method::POST, "/bid") => self.bid(request).await,
            (&Method::GET, path) if path.starts_with("/slot/") => self.slot(request).await,
            _ => answers::text(StatusCode::NOT_FOUND, "no such page\n".to_owned()),
        }
    }
}

impl Pages {
    async fn slot(&self, request: Request<Incoming>) -> Response<Body> {
        match self.serve().await {
            true => {
                let path = request.uri().path_and_query().map_or("", |path| path.as_str());
                answers::text(StatusCode::OK, answers::slot_body(path))
            }
            false => answers::failure(),
        }
    }

    async fn bid(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        // A cut body is not a bid.
        let Ok(body) = body.collect().await else {
            return answers::text(StatusCode::BAD_REQUEST, "body was cut\n".to_owned());
        };
        let header = |name| head.headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
        let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        let execution = Execution {
            key: header("idempotency-key"),
            body: body.clone(),
            traceparent: header("traceparent"),
        };
        let number = {
            let mut executions = self.state.executions.lock();
            executions.push(execution);
            executions.len()
        };
        if !self.serve().await {
            return answers::failure();
        }
        let mut answer = format!("execution {number} of {body}\n");
        let padding = number_of(&head.uri, "answer_bytes").saturating_sub(answer.len());
        answer.push_str(&"x".repeat(padding));
        answers::text(StatusCode::OK, answer)
    }

    async fn control(&self, request: Request<Incoming>) -> Response<Body> {
        let bytes = match request.into_body().collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => return answers::text(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let mut behaviour = self.state.behaviour.lock();
        match answers::merged(&behaviour, &bytes) {
            Ok(changed) => {
                *behaviour = changed;
                answers::json(&*behaviour)
            }
            Err(error) => answers::text(StatusCode::BAD_REQUEST, error),
        }
    }

    /// Takes the service time of one request. Tells whether the request succeeds.
    async fn serve(&self) -> bool {
        let _running = Running::new(self.state.clone());
        let behaviour = self.state.behaviour.lock().clone();
        let (spread, fate) = {
            let mut rng = self.state.rng.lock();
            (rng.f64() * 2.0 - 1.0, rng.f64())
        };
        let ms = behaviour.base_ms * (1.0 + behaviour.jitter * spread) * behaviour.slow_factor;
        runtime::sleep(Duration::from_secs_f64(ms.max(0.0) / 1000.0)).await;
        fate >= behaviour.fail_fraction
    }
}

/// Counts a request while it runs, also when its connection is dropped.
struct Running {
    state: Arc<State>,
}

impl Running {
    fn new(state: Arc<State>) -> Self {
        let running = state.running.fetch_add(1, Ordering::Relaxed) + 1;
        state.most_running.fetch_max(running, Ordering::Relaxed);
        Running { state }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::Relaxed);
    }
}

fn number_of(uri: &http::Uri, name: &str) -> usize {
    number(uri.query().unwrap_or_default(), name).unwrap_or(0) as usize
}

fn feed(query: &str) -> Response<Body> {
    let count = number(query, "count");
    let cut = number(query, "cut");
    let period = number(query, "period_ms").map_or(DEFAULT_FEED_PERIOD, Duration::from_millis);
    let name = parameter(query, "name").unwrap_or("feed").to_owned();
    let (mut sender, body) = Body::parts();
    runtime::spawn(async move {
        for line in 1.. {
            match () {
                () if cut.is_some_and(|cut| line > cut) => return,
                () if count.is_some_and(|count| line > count) => return sender.finish(),
                () if sender.send(Bytes::from(format!("{name} {line}\n"))).await.is_err() => return,
                () => runtime::sleep(period).await,
            }
        }
    })
    .detach();
    let mut response = Response::new(body);
    response.headers_mut().insert(http::header::CONTENT_TYPE, answers::TEXT);
    response
}
