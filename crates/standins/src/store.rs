//! Stand-in for the platform's key-value store, with faults that tests switch on.

pub mod table;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use parking_lot::Mutex;
use peridotfold_wire::body::Body;
use peridotfold_wire::http_server::{HttpServer, HttpService};
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::{self, Shutdown, Trigger};
use serde::{Deserialize, Serialize};
use serde_json::json;

use table::{Entry, Put, Stats, Table, VALUE_LIMIT};

/// Header that carries a value's version.
pub const VERSION_HEADER: &str = "x-version";
const WATCH_LIMIT: Duration = Duration::from_secs(60);
const LEASE_TICK: Duration = Duration::from_millis(20);

/// How the store answers calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    #[default]
    Up,
    /// Answers 503 without effect.
    Refuse,
    /// Leaves calls unanswered and without effect until the mode changes.
    Hang,
}

/// Faults, as set by `POST /control`. Fields that are absent there keep their value.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    pub mode: Mode,
    /// Delay before each call takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Number of further writes that take effect but whose responses are lost.
    pub lose_next: u64,
    /// Probability that the response of a write is lost after it took effect.
    pub lose_probability: f64,
}

/// Settings of the stand-in.
#[derive(Debug, Clone)]
pub struct Options {
    pub listen: SocketAddr,
    /// Seed for `lose_probability`.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options { listen: SocketAddr::from(([127, 0, 0, 1], 0)), seed: 1 }
    }
}

/// A running stand-in. It stops when dropped.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    shared: Arc<Shared>,
    _stop: Trigger,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    stop: Shutdown,
}

#[derive(Debug)]
struct State {
    table: Table,
    faults: Faults,
    stats: Stats,
    random: fastrand::Rng,
    /// Replaced at each change; firing it wakes the calls that wait for one.
    changed: (Trigger, Shutdown),
}

impl State {
    fn notify(&mut self) {
        let (trigger, _) = std::mem::replace(&mut self.changed, shutdown::channel());
        trigger.fire();
    }

    fn is_response_lost(&mut self) -> bool {
        if self.faults.lose_next > 0 {
            self.faults.lose_next -= 1;
            return true;
        }
        self.faults.lose_probability > 0.0 && self.random.f64() < self.faults.lose_probability
    }
}

impl Store {
    /// Starts the stand-in on the runtime's threads.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(options: Options) -> std::io::Result<Self> {
        let server = HttpServer::bind(options.listen).await?;
        let address = server.address();
        let (trigger, stop) = shutdown::channel();
        let state = State {
            table: Table::default(),
            faults: Faults::default(),
            stats: Stats::default(),
            random: fastrand::Rng::with_seed(options.seed),
            changed: shutdown::channel(),
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), stop: stop.clone() });
        runtime::spawn(expire_leases(shared.clone())).detach();
        runtime::spawn(server.serve(Arc::new(Service(shared.clone())), stop)).detach();
        Ok(Store { address, shared, _stop: trigger })
    }

    /// Address with the port that is in use.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls received so far.
    pub fn stats(&self) -> Stats {
        self.shared.state.lock().stats
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.shared.state.lock();
        state.faults = faults;
        state.notify();
    }

    /// Returns a key's version and value, without counting a call.
    pub fn peek(&self, key: &str) -> Option<(u64, Bytes)> {
        let state = self.shared.state.lock();
        state.table.get(key).map(|entry| (entry.version, entry.value.clone()))
    }
}

async fn expire_leases(shared: Arc<Shared>) {
    while !runtime::sleep_or_shutdown(LEASE_TICK, &shared.stop).await {
        shared.state.lock().table.expire(runtime::now());
    }
}

#[derive(Debug)]
struct Service(Arc<Shared>);

impl HttpService for Service {
    async fn call(&self, request: Request<Incoming>) -> Response<Body> {
        match self.0.answer(request).await {
            Ok(response) => response,
            Err((status, detail)) => json_response(status, &json!({ "error": detail })),
        }
    }
}

type Failure = (StatusCode, String);

fn bad(detail: impl Into<String>) -> Failure {
    (StatusCode::BAD_REQUEST, detail.into())
}

impl Shared {
    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>, Failure> {
        let (head, body) = request.into_parts();
        let limited = Limited::new(body, VALUE_LIMIT + 1);
        let body = limited
            .collect()
            .await
            .map_err(|error| (StatusCode::PAYLOAD_TOO_LARGE, error.to_string()))?
            .to_bytes();
        let path = head.uri.path().to_owned();
        let query = head.uri.query().unwrap_or_default().to_owned();
        match (&head.method, path.as_str()) {
            (&Method::GET, "/stats") => {
                let stats = self.state.lock().stats;
                return Ok(json_response(StatusCode::OK, &stats));
            }
            (&Method::POST, "/control") => return self.control(&body),
            _ => {}
        }
        self.admit().await?;
        let now = runtime::now();
        let (root, key) = path[1..].split_once('/').unwrap_or((&path[1..], ""));
        match (&head.method, root) {
            (&Method::GET, "watch") => self.watch(key, &query).await,
            (&Method::GET, "kv") => {
                let mut state = self.state.lock();
                state.stats.count(now, false);
                Ok(entry_response(state.table.get(key), StatusCode::NOT_FOUND))
            }
            (&Method::GET, "list") => {
                let mut state = self.state.lock();
                state.stats.count(now, false);
                Ok(list_response(&state.table.list(key)))
            }
            _ => {
                let mut state = self.state.lock();
                state.stats.count(now, true);
                let (status, content) =
                    write(&mut state.table, now, &head.method, root, key, &query, body)?;
                if !status.is_success() {
                    return Ok(json_response(status, &content));
                }
                state.notify();
                match state.is_response_lost() {
                    // The head is followed by a cut body, so the client gets no usable response.
                    true => Ok(Response::new(Body::parts().1)),
                    false => Ok(json_response(status, &content)),
                }
            }
        }
    }

    /// Applies the delay and the mode to a call.
    async fn admit(&self) -> Result<(), Failure> {
        let slow = Duration::from_millis(self.state.lock().faults.slow_ms);
        if !slow.is_zero() {
            runtime::sleep(slow).await;
        }
        loop {
            let changed = {
                let state = self.state.lock();
                match state.faults.mode {
                    Mode::Up => return Ok(()),
                    Mode::Refuse => {
                        return Err((StatusCode::SERVICE_UNAVAILABLE, "the store is down".into()))
                    }
                    Mode::Hang => state.changed.1.clone(),
                }
            };
            future::or(changed.wait(), self.stop.wait()).await;
            if self.stop.is_set() {
                return Err((StatusCode::SERVICE_UNAVAILABLE, "the store stops".into()));
            }
        }
    }

    fn control(&self, body: &[u8]) -> Result<Response<Body>, Failure> {
        let change: serde_json::Value =
            serde_json::from_slice(body).map_err(|error| bad(error.to_string()))?;
        let mut state = self.state.lock();
        let mut merged = json!(state.faults);
        match (merged.as_object_mut(), change) {
            (Some(fields), serde_json::Value::Object(change)) => fields.extend(change),
            _ => return Err(bad("expected a JSON object")),
        }
        let faults: Faults =
            serde_json::from_value(merged).map_err(|error| bad(error.to_string()))?;
        state.faults = faults;
        state.notify();
        Ok(json_response(StatusCode::OK, &state.faults))
    }

    async fn watch(&self, key: &str, query: &str) -> Result<Response<Body>, Failure> {
        let after = parameter(query, "after")?.unwrap_or(0);
        let wait = Duration::from_millis(parameter(query, "wait_ms")?.unwrap_or(0));
        let end = runtime::now() + wait.min(WATCH_LIMIT);
        self.state.lock().stats.watches += 1;
        let _waiting = Waiting::new(self);
        loop {
            let changed = {
                let state = self.state.lock();
                if state.faults.mode != Mode::Up {
                    return Err((StatusCode::SERVICE_UNAVAILABLE, "the store is down".into()));
                }
                match state.table.get(key) {
                    Some(entry) if entry.version > after => {
                        return Ok(entry_response(Some(entry), StatusCode::NO_CONTENT))
                    }
                    _ => state.changed.1.clone(),
                }
            };
            let left = end.saturating_sub(runtime::now());
            if left.is_zero() || self.stop.is_set() {
                return Ok(entry_response(None, StatusCode::NO_CONTENT));
            }
            let woken = future::or(changed.wait(), self.stop.wait());
            future::or(woken, runtime::sleep(left)).await;
        }
    }
}

/// Counts a watch as waiting until it is dropped, also when its caller is gone.
struct Waiting<'a>(&'a Shared);

impl<'a> Waiting<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.state.lock().stats.watches_waiting += 1;
        Waiting(shared)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.state.lock().stats.watches_waiting -= 1;
    }
}

fn write(
    table: &mut Table,
    now: Duration,
    method: &Method,
    root: &str,
    key: &str,
    query: &str,
    body: Bytes,
) -> Result<(StatusCode, serde_json::Value), Failure> {
    let found = |known: bool| match known {
        true => (StatusCode::OK, json!({})),
        false => (StatusCode::NOT_FOUND, json!({})),
    };
    let lease = |text: &str| text.parse::<u64>().map_err(|_| bad("malformed lease id"));
    match (method, root, key.split_once('/')) {
        (&Method::PUT, "kv", _) => {
            let (expect, lease) = (parameter(query, "expect")?, parameter(query, "lease")?);
            Ok(match table.put(key, expect, body, lease) {
                Put::Written(version) => (StatusCode::OK, json!({ "version": version })),
                Put::Conflict(version) => (StatusCode::CONFLICT, json!({ "version": version })),
                Put::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, json!({})),
                Put::UnknownLease => (StatusCode::NOT_FOUND, json!({ "error": "unknown lease" })),
            })
        }
        (&Method::DELETE, "kv", _) => {
            table.delete(key);
            Ok((StatusCode::OK, json!({})))
        }
        (&Method::POST, "lease", None) if key.is_empty() => {
            let ttl = parameter(query, "ttl_ms")?.ok_or_else(|| bad("ttl_ms is missing"))?;
            let id = table.grant(now, Duration::from_millis(ttl));
            Ok((StatusCode::OK, json!({ "lease": id })))
        }
        (&Method::POST, "lease", Some((id, "renew"))) => Ok(found(table.renew(now, lease(id)?))),
        (&Method::DELETE, "lease", None) => Ok(found(table.revoke(lease(key)?))),
        _ => Err((StatusCode::NOT_FOUND, format!("no such call: {method} /{root}/{key}"))),
    }
}

fn parameter(query: &str, name: &str) -> Result<Option<u64>, Failure> {
    let value = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.parse().map_err(|_| bad(format!("malformed {name}: {value}"))));
    value.transpose()
}

fn json_response(status: StatusCode, content: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(content).unwrap_or_default();
    let mut response = Response::new(Body::full(body));
    *response.status_mut() = status;
    response
}

fn entry_response(entry: Option<&Entry>, absent: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    match entry {
        Some(entry) => {
            response.headers_mut().insert(VERSION_HEADER, entry.version.into());
            *response.body_mut() = Body::full(entry.value.clone());
        }
        None => *response.status_mut() = absent,
    }
    response
}

/// Answers with one line of JSON that names each key, version and length, then all values.
fn list_response(entries: &[(String, Entry)]) -> Response<Body> {
    let index: Vec<_> = entries
        .iter()
        .map(|(key, e)| json!({ "key": key, "version": e.version, "length": e.value.len() }))
        .collect();
    let mut body = serde_json::to_vec(&index).unwrap_or_default();
    body.push(b'\n');
    entries.iter().for_each(|(_, entry)| body.extend_from_slice(&entry.value));
    Response::new(Body::full(body))
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails on malformed arguments and when the address cannot be bound.
pub fn run(mut parser: lexopt::Parser) -> eyre::Result<()> {
    use lexopt::ValueExt;
    let mut options = Options::default();
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("listen") => options.listen = parser.value()?.parse()?,
            lexopt::Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    runtime::run(2, async {
        let store = Store::start(options).await?;
        println!("listening http={}", store.address());
        runtime::terminated().await?;
        Ok(())
    })
}
