//! Stand-in for the worker API of the platform.
//!
//! A task is a timer. Its command is text of `name=value` words: `work_ms` (work at full speed),
//! `fail` (1: fails when the work is done) and `usage_percent` (usage relative to the declared
//! need, instead of the worker's `usage_factor`). Besides the worker API of `docs/design.md`,
//! `GET /history` lists the intervals of all attempts and `PUT /switches` sets faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use eyre::WrapErr;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use parking_lot::Mutex;
use peridotfold_core::resources::Resources;
use peridotfold_core::tasks::worker::{
    Checkpoint, CheckpointTask, RenewTasks, StartTask, StopTask, ThrottleTask,
};
use peridotfold_wire::body::Body;
use peridotfold_wire::http_server::{HttpServer, HttpService};
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::{self, Trigger};
use serde::de::DeserializeOwned;
use serde::Serialize;

pub mod simulation;

use simulation::{Interval, Refusal, Simulation, Switches};

const BODY_LIMIT: usize = 1024 * 1024;
const THREADS: usize = 2;

/// Properties of the stand-in worker.
#[derive(Debug, Clone)]
pub struct Options {
    pub listen: SocketAddr,
    pub capacity: Resources,
    /// Age of the usage that is reported.
    pub usage_lag: Duration,
    /// Usage relative to the declared need.
    pub usage_factor: f64,
    /// Time from a stop until the task is gone.
    pub stop_time: Duration,
    pub switches: Switches,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            capacity: Resources::new(16_000, 60_000, 1),
            usage_lag: Duration::from_secs(1),
            usage_factor: 1.0,
            stop_time: Duration::ZERO,
            switches: Switches::default(),
        }
    }
}

/// A running stand-in worker. It ends when dropped.
#[derive(Debug)]
pub struct Worker {
    address: SocketAddr,
    service: Arc<Service>,
    _trigger: Trigger,
}

impl Worker {
    /// Starts a worker in this process.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(options: Options) -> std::io::Result<Worker> {
        let server = HttpServer::bind(options.listen).await?;
        let address = server.address();
        let start = runtime::now();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let simulation = Simulation::new(options, fastrand::u64(..), unix.as_micros() as u64);
        let service = Arc::new(Service { start, simulation: Mutex::new(simulation) });
        let (trigger, shutdown) = shutdown::channel();
        runtime::spawn(server.serve(service.clone(), shutdown)).detach();
        Ok(Worker { address, service, _trigger: trigger })
    }

    /// Address of the API.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the switches.
    pub fn set_switches(&self, switches: Switches) {
        self.service.simulation.lock().set_switches(self.service.now(), switches);
    }

    /// Returns the intervals of all attempts so far.
    pub fn history(&self) -> Vec<Interval> {
        self.service.simulation.lock().history(self.service.now())
    }
}

/// Runs the subcommand `worker` until a signal ends it.
///
/// # Errors
///
/// Fails on a malformed command line or when the address cannot be bound.
pub fn run(parser: lexopt::Parser) -> eyre::Result<()> {
    let options = parse(parser)?;
    runtime::run(THREADS, async {
        let address = options.listen;
        let worker = Worker::start(options)
            .await
            .wrap_err_with(|| format!("step=bind peer={address}: cannot listen"))?;
        println!("listening http={}", worker.address());
        runtime::terminated().await.wrap_err("step=signals: cannot wait for signals")
    })
}

fn parse(mut parser: lexopt::Parser) -> eyre::Result<Options> {
    use lexopt::prelude::*;
    let mut options = Options::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("listen") => options.listen = parser.value()?.parse()?,
            Long("cpu-milli") => options.capacity.cpu_milli = parser.value()?.parse()?,
            Long("memory-mib") => options.capacity.memory_mib = parser.value()?.parse()?,
            Long("accelerators") => options.capacity.accelerators = parser.value()?.parse()?,
            Long("usage-lag-ms") => {
                options.usage_lag = Duration::from_millis(parser.value()?.parse()?);
            }
            Long("usage-factor") => options.usage_factor = parser.value()?.parse()?,
            Long("stop-ms") => options.stop_time = Duration::from_millis(parser.value()?.parse()?),
            Long("fail-all") => options.switches.fail_all = true,
            Long("task-percent") => options.switches.task_percent = parser.value()?.parse()?,
            Long("delay-ms") => options.switches.delay_ms = parser.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(options)
}

#[derive(Debug)]
struct Service {
    start: Duration,
    simulation: Mutex<Simulation>,
}

impl Service {
    fn now(&self) -> Duration {
        runtime::now().saturating_sub(self.start)
    }

    fn answer(&self, method: &Method, path: &str, body: &[u8]) -> Result<Reply, Refusal> {
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let mut simulation = self.simulation.lock();
        // The clock is read under the lock, so that the simulation never sees it go back.
        let now = self.now();
        match (method, parts.as_slice()) {
            (&Method::GET, ["v1", "tasks"]) => reply(StatusCode::OK, &simulation.list(now)),
            (&Method::POST, ["v1", "claim"]) => {
                reply(StatusCode::OK, &simulation.claim(read(body)?)?)
            }
            (&Method::POST, ["v1", "tasks"]) => {
                let start: StartTask = read(body)?;
                let status = match simulation.start(now, start)? {
                    true => StatusCode::CREATED,
                    false => StatusCode::OK,
                };
                reply(status, &serde_json::json!({}))
            }
            (&Method::POST, ["v1", "renew"]) => {
                let renew: RenewTasks = read(body)?;
                let renewed = simulation.renew(now, renew)?;
                reply(StatusCode::OK, &serde_json::json!({ "renewed": renewed }))
            }
            (&Method::POST, ["v1", "tasks", id, "checkpoint"]) => {
                let request: CheckpointTask = read(body)?;
                let checkpoint = simulation.checkpoint(now, id, request.stop)?;
                reply(StatusCode::OK, &Checkpoint { checkpoint })
            }
            (&Method::POST, ["v1", "tasks", id, "throttle"]) => {
                let request: ThrottleTask = read(body)?;
                simulation.throttle(now, id, request.speed_percent)?;
                reply(StatusCode::OK, &serde_json::json!({}))
            }
            (&Method::POST, ["v1", "tasks", _, "stop"]) => {
                let request: StopTask = read(body)?;
                simulation.stop(now, &request.attempt);
                reply(StatusCode::OK, &serde_json::json!({}))
            }
            (&Method::DELETE, ["v1", "tasks", id]) => {
                simulation.remove(now, id)?;
                reply(StatusCode::OK, &serde_json::json!({}))
            }
            (&Method::GET, ["history"]) => reply(StatusCode::OK, &simulation.history(now)),
            (&Method::GET, ["switches"]) => reply(StatusCode::OK, simulation.switches()),
            (&Method::PUT, ["switches"]) => {
                simulation.set_switches(now, read(body)?);
                reply(StatusCode::OK, simulation.switches())
            }
            _ => Err(Refusal { status: 404, reason: format!("no such path: {method} {path}") }),
        }
    }
}

struct Reply {
    status: StatusCode,
    body: Vec<u8>,
}

fn reply<T: Serialize>(status: StatusCode, value: &T) -> Result<Reply, Refusal> {
    match serde_json::to_vec(value) {
        Ok(body) => Ok(Reply { status, body }),
        Err(error) => Err(Refusal { status: 500, reason: error.to_string() }),
    }
}

fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body)
        .map_err(|error| Refusal { status: 400, reason: format!("malformed body: {error}") })
}

impl HttpService for Service {
    async fn call(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let body = match Limited::new(body, BODY_LIMIT).collect().await {
            Ok(body) => body.to_bytes(),
            Err(_) => Bytes::new(),
        };
        let delay = Duration::from_millis(self.simulation.lock().switches().delay_ms);
        let switched = head.uri.path() == "/switches";
        if !delay.is_zero() && !switched {
            runtime::sleep(delay).await;
        }
        let reply = self.answer(&head.method, head.uri.path(), &body);
        let Reply { status, body } = reply.unwrap_or_else(|refusal| Reply {
            status: StatusCode::from_u16(refusal.status)
                .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            body: serde_json::json!({ "error": refusal.reason }).to_string().into_bytes(),
        });
        let mut response = Response::new(Body::full(body));
        *response.status_mut() = status;
        response
    }
}
