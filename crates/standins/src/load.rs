//! Load generator that checks each response against its own request.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Method, Request, Response};
use parking_lot::Mutex;
use peridotfold_wire::body::Body;
use peridotfold_wire::error::WireError;
use peridotfold_wire::http_client::HttpClient;
use peridotfold_wire::runtime;

/// Longest time that a caller goes on trying one request.
const GIVE_UP: Duration = Duration::from_secs(15);
/// Deadline that is sent with each try.
const TRY_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What the callers have seen.
#[derive(Debug)]
pub struct Totals {
    /// Requests begun; a request may take several tries.
    pub requests: u64,
    /// Requests that ended with the whole, right response.
    pub answered: u64,
    /// Tries that were answered `not run`.
    pub not_run: u64,
    /// Tries whose outcome is unknown: said so, or cut.
    pub unknown: u64,
    /// Tries that found no connection, so that nothing was sent.
    pub unsent: u64,
    /// Bids that ended as unknown for good, as the key's holder and its record are gone.
    pub unresolved: u64,
    /// Responses that do not belong to the request or are not whole.
    pub wrong: u64,
    /// Requests that were given up.
    pub lost: u64,
    /// Tries of bids that were answered `not run`: key and try number.
    pub not_run_bids: Vec<(String, u32)>,
    /// Latency of answered tries in microseconds.
    pub latency: Histogram<u64>,
}

impl Totals {
    fn new() -> Self {
        let latency = Histogram::new_with_bounds(1, 60_000_000, 3)
            .unwrap_or_else(|error| unreachable!("bounds are constant and valid: {error}"));
        Totals {
            requests: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
            unsent: 0,
            unresolved: 0,
            wrong: 0,
            lost: 0,
            not_run_bids: Vec::new(),
            latency,
        }
    }
}

/// A running load.
#[derive(Debug, Clone)]
pub struct Load {
    http: HttpClient,
    entries: Arc<Vec<Mutex<SocketAddr>>>,
    service: Arc<str>,
    token: Arc<str>,
    totals: Arc<Mutex<Totals>>,
    stop: Arc<AtomicBool>,
}

/// Result of one try.
#[derive(Debug)]
enum Try {
    Answered(Bytes),
    NotRun(Duration),
    Unsent,
    Unknown(String),
}

impl Load {
    /// Builds a load for a service behind some entries.
    pub fn new(entries: &[SocketAddr], service: &str, token: &str) -> Self {
        Load {
            http: HttpClient::default(),
            entries: Arc::new(entries.iter().map(|entry| Mutex::new(*entry)).collect()),
            service: service.into(),
            token: token.into(),
            totals: Arc::new(Mutex::new(Totals::new())),
            stop: Arc::new(AtomicBool::new(false)),
        }
    }

    /// Replaces the address of an entry that was restarted.
    pub fn set_entry(&self, index: usize, address: SocketAddr) {
        *self.entries[index].lock() = address;
    }

    /// Starts lookups at `rate` a second and bids at `bid_rate` a second until [`Load::stop`].
    pub fn start(&self, rate: u32, bid_rate: u32) -> Vec<smol::Task<()>> {
        let lookups = self.clone();
        let bids = self.clone();
        vec![
            runtime::spawn(async move { lookups.arrivals(rate, Kind::Lookup).await }),
            runtime::spawn(async move { bids.arrivals(bid_rate, Kind::Bid).await }),
        ]
    }

    /// Ends the arrivals; requests under way go on.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Reads the totals.
    pub fn totals<T>(&self, read: impl FnOnce(&Totals) -> T) -> T {
        read(&self.totals.lock())
    }

    async fn arrivals(&self, rate: u32, kind: Kind) {
        let period = Duration::from_secs(1) / rate.max(1);
        let start = Instant::now();
        let mut tasks = Vec::new();
        let mut number = 0;
        while !self.stop.load(Ordering::Relaxed) {
            // Arrivals keep to the clock even when responses are slow (open loop).
            let due = period * number;
            runtime::sleep(due.saturating_sub(start.elapsed())).await;
            let load = self.clone();
            tasks.push(runtime::spawn(async move { load.request(kind, number).await }));
            tasks.retain(|task: &smol::Task<()>| !task.is_finished());
            number += 1;
        }
        for task in tasks {
            task.await;
        }
    }

    async fn request(&self, kind: Kind, number: u32) {
        self.totals.lock().requests += 1;
        let start = Instant::now();
        let mut attempt = 0;
        let mut is_unknown = false;
        while start.elapsed() < GIVE_UP {
            let entry = (number + attempt) as usize % self.entries.len();
            let begin = Instant::now();
            let result = self.try_once(kind, number, attempt, entry).await;
            match result {
                Try::Answered(body) if kind.is_answer(number, &body) => {
                    let mut totals = self.totals.lock();
                    totals.answered += 1;
                    totals.latency.saturating_record(begin.elapsed().as_micros() as u64);
                    return;
                }
                Try::Answered(body) => {
                    self.totals.lock().wrong += 1;
                    tracing::error!(event = "wrong_answer", ?kind, number, ?body);
                    return;
                }
                Try::NotRun(after) => {
                    self.record_not_run(kind, number, attempt);
                    runtime::sleep(after.min(Duration::from_secs(1))).await;
                }
                Try::Unsent => {
                    self.totals.lock().unsent += 1;
                    runtime::sleep(RETRY_PAUSE).await;
                }
                Try::Unknown(detail) => {
                    self.totals.lock().unknown += 1;
                    is_unknown = kind == Kind::Bid;
                    tracing::info!(event = "outcome_unknown", ?kind, number, attempt, detail);
                    runtime::sleep(RETRY_PAUSE).await;
                }
            }
            attempt += 1;
        }
        match is_unknown {
            true => self.totals.lock().unresolved += 1,
            false => self.totals.lock().lost += 1,
        }
        tracing::error!(event = "request_given_up", ?kind, number, is_unknown);
    }

    fn record_not_run(&self, kind: Kind, number: u32, attempt: u32) {
        let mut totals = self.totals.lock();
        totals.not_run += 1;
        if kind == Kind::Bid {
            totals.not_run_bids.push((kind.key(number), attempt));
        }
    }

    async fn try_once(&self, kind: Kind, number: u32, attempt: u32, entry: usize) -> Try {
        let address = *self.entries[entry].lock();
        let service = &self.service;
        let request = match kind {
            Kind::Lookup => {
                Request::builder().method(Method::GET).uri(format!("/s/{service}/slot/{number}"))
            }
            Kind::Bid => Request::builder()
                .method(Method::POST)
                .uri(format!("/s/{service}/bid"))
                .header("idempotency-key", kind.key(number)),
        };
        let body = match kind {
            Kind::Lookup => Body::empty(),
            Kind::Bid => Body::full(format!("{} try {attempt}", kind.key(number))),
        };
        let request = request
            .header(http::header::HOST, address.to_string())
            .header(http::header::AUTHORIZATION, format!("Bearer {}", self.token))
            .header("request-timeout-ms", TRY_TIMEOUT.as_millis().to_string())
            .body(body);
        let Ok(request) = request else { return Try::Unknown("request not built".into()) };
        classify(self.http.exchange(address, request, TRY_TIMEOUT * 2).await)
    }
}

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Lookup,
    Bid,
}

impl Kind {
    fn key(self, number: u32) -> String {
        format!("bid-{number}")
    }

    fn is_answer(self, number: u32, body: &[u8]) -> bool {
        match self {
            Kind::Lookup => {
                body == crate::upstream::answers::slot_body(&format!("/slot/{number}")).as_bytes()
            }
            Kind::Bid => {
                let text = String::from_utf8_lossy(body);
                text.contains(&format!(" of {} try ", self.key(number)))
            }
        }
    }
}

fn classify(result: Result<Response<Bytes>, WireError>) -> Try {
    let response = match result {
        Ok(response) => response,
        Err(error) if error.is_not_sent() => return Try::Unsent,
        Err(error) => return Try::Unknown(error.to_string()),
    };
    let header = |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok());
    match header("peridotfold-outcome") {
        Some("not-run") => {
            let seconds = header("retry-after").and_then(|v| v.parse().ok()).unwrap_or(1);
            Try::NotRun(Duration::from_secs(seconds))
        }
        Some("unknown") => Try::Unknown(format!("status {}", response.status())),
        _ if response.status().is_success() => Try::Answered(response.into_body()),
        _ => Try::Unknown(format!("status {}", response.status())),
    }
}
