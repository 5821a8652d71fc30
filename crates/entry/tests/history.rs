//! Requests with idempotency keys through two entries and real agents under faults. The recorded
//! history of the requests is checked for violations.

#[path = "support/history.rs"]
mod history;
#[path = "support/real_agent.rs"]
mod real_agent;
#[path = "support/common.rs"]
mod support;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use history::{check, End, HistoryEvent, Violation};
use http::{Method, Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use peridotfold_core::keys::KeyMap;
use peridotfold_standins::store::{Faults, Mode};
use peridotfold_wire::body::Body;
use peridotfold_wire::http_client::HttpClient;
use peridotfold_wire::http_server::{HttpServer, HttpService};
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::{self, Shutdown};
use support::{run, store, until, Entry};

const CLIENTS: u64 = 8;
const LIMIT: Duration = Duration::from_secs(5);

type Log = Arc<Mutex<Vec<HistoryEvent>>>;

/// An upstream that records its executions.
struct Upstream {
    log: Log,
    runs: AtomicU64,
}

impl HttpService for Upstream {
    async fn call(&self, request: Request<Incoming>) -> Response<Body> {
        let key = request.headers()["idempotency-key"].to_str().expect("text").to_owned();
        let _ = request.into_body().collect().await;
        let text = format!("{key} run {}", self.runs.fetch_add(1, Ordering::Relaxed));
        self.log.lock().push(HistoryEvent::Executed { key, text: text.clone() });
        runtime::sleep(Duration::from_millis(fastrand::u64(1..40))).await;
        Response::new(Body::full(text))
    }
}

async fn upstream(log: &Log) -> SocketAddr {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = HttpServer::bind(any).await.expect("the upstream listens");
    let address = server.address();
    let upstream = Upstream { log: log.clone(), runs: AtomicU64::new(0) };
    runtime::spawn(async move {
        let (_stop, stopped) = shutdown::channel();
        server.serve(Arc::new(upstream), stopped).await;
    })
    .detach();
    address
}

/// State shared by the concurrent clients.
struct Clients {
    log: Log,
    numbers: AtomicU64,
    keys: AtomicU64,
    /// Addresses of the two entries. A restarted entry has a new address.
    entries: Mutex<[SocketAddr; 2]>,
    /// Entry, timeout and error of each request that was not answered, by request number. Printed
    /// when the test fails.
    details: Mutex<HashMap<u64, String>>,
}

impl Clients {
    /// Sends one request and records its start and end in the history.
    async fn send(&self, client: &HttpClient, entry: usize, key: &str, timeout: u64) -> End {
        let request = self.numbers.fetch_add(1, Ordering::Relaxed);
        let address = self.entries.lock()[entry];
        self.log.lock().push(HistoryEvent::Invoked { request, key: key.into() });
        let sent = Request::builder()
            .method(Method::POST)
            .uri("/s/open/bid")
            .header("host", "entry")
            .header("idempotency-key", key)
            .header("request-timeout-ms", timeout.to_string())
            .body(Body::full("bid"))
            .expect("the request is valid");
        let result = client.exchange(address, sent, LIMIT).await;
        if !result.as_ref().is_ok_and(|response| response.status() == 200) {
            let detail = match &result {
                Ok(response) => String::from_utf8_lossy(response.body()).into_owned(),
                Err(error) => error.to_string(),
            };
            self.details.lock().insert(request, format!("entry {entry}, {timeout} ms: {detail}"));
        }
        let end = match result {
            Ok(response) if response.status() == 200 => {
                End::Answered(String::from_utf8_lossy(response.body()).into_owned())
            }
            Ok(response) if support::outcome(&response) == "not-run" => End::NotRun,
            Ok(_) | Err(_) => End::Unknown,
        };
        self.log.lock().push(HistoryEvent::Ended { request, end: end.clone() });
        end
    }

    /// Sends requests until `stop` fires. Some keys are shared with other clients, and each key is
    /// repeated through random entries.
    async fn run(self: Arc<Self>, stop: Shutdown) {
        let client = HttpClient::default();
        loop {
            let newest = self.keys.fetch_add(u64::from(fastrand::bool()), Ordering::Relaxed);
            let key = format!("bid-{}", newest.saturating_sub(fastrand::u64(0..3)));
            for _ in 0..fastrand::u32(1..5) {
                let timeout = [15, 60, 1_000][fastrand::usize(0..3)];
                self.send(&client, fastrand::usize(0..2), &key, timeout).await;
                let pause = Duration::from_millis(fastrand::u64(1..30));
                if runtime::sleep_or_shutdown(pause, &stop).await {
                    return;
                }
            }
        }
    }
}

async fn pause(seconds: u64) {
    runtime::sleep(Duration::from_secs(seconds)).await;
}

/// Guards against answers of other requests, keys that run twice, and keys that have run or run
/// later although their caller got `not-run`. Meanwhile agents and an entry restart, and the store
/// is down or loses responses. Also guards against buckets whose new keys stay `unknown`
/// afterwards.
#[test]
fn histories_of_keys_are_sound_under_faults() {
    run(async {
        let store = store().await;
        let one = Entry::configured("entry-1", &store).await;
        let two = Entry::start("entry-2", store.address(), Vec::new()).await;
        two.wait_ready().await;
        let log = Log::default();
        let entries = vec![one.internal, two.internal];
        let mut upstreams = Vec::new();
        let mut agents = Vec::new();
        for name in ["agent-1", "agent-2", "agent-3"] {
            let address = upstream(&log).await;
            agents.push(real_agent::start(name, address, entries.clone()).await);
            upstreams.push(address);
        }
        let clients = Arc::new(Clients {
            log: log.clone(),
            numbers: AtomicU64::new(0),
            keys: AtomicU64::new(0),
            entries: Mutex::new([one.http, two.http]),
            details: Mutex::default(),
        });
        let client = HttpClient::default();
        for entry in 0..2 {
            until("a key is answered", || async {
                let key = format!("first-{entry}-{}", fastrand::u64(..));
                matches!(clients.send(&client, entry, &key, 1_000).await, End::Answered(_))
            })
            .await;
        }
        let (stop, stopped) = shutdown::channel();
        let running: Vec<_> =
            (0..CLIENTS).map(|_| runtime::spawn(clients.clone().run(stopped.clone()))).collect();
        let lossy = Faults { lose_probability: 0.2, ..Faults::default() };
        store.set_faults(lossy.clone());
        pause(1).await;
        // An agent, and then an entry, are killed and restarted.
        agents.remove(0);
        agents.insert(0, real_agent::start("agent-1", upstreams[0], entries.clone()).await);
        until("the buckets have moved", || async {
            let stored = store.peek("keymap/open").expect("a key map");
            let map: KeyMap = serde_json::from_slice(&stored.1).expect("the key map is JSON");
            map.generation > 1 && !map.is_moving()
        })
        .await;
        // Waits, since no other entry may have fetched the key list of the entry killed next.
        pause(1).await;
        drop(two);
        let two = Entry::start("entry-2", store.address(), vec![one.internal]).await;
        clients.entries.lock()[1] = two.http;
        // The moved buckets have to be open for new keys, although a witness of the move has
        // failed.
        for (entry, number) in (0..2).flat_map(|entry| (0..100).map(move |n| (entry, n))) {
            let key = format!("new-{entry}-{number}");
            until("a new key is answered", || async {
                matches!(clients.send(&client, entry, &key, 1_000).await, End::Answered(_))
            })
            .await;
        }
        // Another agent restarts while the store is down.
        store.set_faults(Faults { mode: Mode::Refuse, ..lossy.clone() });
        agents.remove(1);
        let entries = vec![one.internal, two.internal];
        agents.insert(1, real_agent::start("agent-2", upstreams[1], entries).await);
        pause(4).await;
        store.set_faults(lossy);
        pause(4).await;
        store.set_faults(Faults::default());
        stop.fire();
        for task in running {
            task.await;
        }
        let history = log.lock().clone();
        let count = |wanted: fn(&End) -> bool| {
            let ends = history.iter().filter_map(|event| match event {
                HistoryEvent::Ended { end, .. } => Some(end),
                HistoryEvent::Invoked { .. } | HistoryEvent::Executed { .. } => None,
            });
            ends.filter(|end| wanted(end)).count()
        };
        let counts = (
            count(|end| matches!(end, End::Answered(_))),
            count(|end| *end == End::NotRun),
            count(|end| *end == End::Unknown),
        );
        println!("answered, not run, unknown: {counts:?}");
        if let Err((violation, index)) = check(&history) {
            let key = history::key_of(&history, index);
            for (index, event) in history.iter().enumerate() {
                let detail = match event {
                    HistoryEvent::Ended { request, .. } => {
                        clients.details.lock().get(request).cloned()
                    }
                    HistoryEvent::Invoked { .. } | HistoryEvent::Executed { .. } => None,
                };
                if history::key_of(&history, index) == key {
                    println!("{index} {event:?} {}", detail.unwrap_or_default());
                }
            }
            panic!("{violation:?} at {index}: {:?}", history[index]);
        }
        assert!(counts.0 > 100 && counts.1 > 0 && counts.2 > 0, "too little happened: {counts:?}");
        drop(agents);
        one.stop().await;
        two.stop().await;
    });
}

/// Guards against a history check that accepts every history.
#[test]
fn bad_histories_are_rejected() {
    let invoked = |request, key: &str| HistoryEvent::Invoked { request, key: key.into() };
    let executed =
        |key: &str, text: &str| HistoryEvent::Executed { key: key.into(), text: text.to_owned() };
    let answered =
        |request, text: &str| HistoryEvent::Ended { request, end: End::Answered(text.to_owned()) };
    let not_run = |request| HistoryEvent::Ended { request, end: End::NotRun };
    let good = vec![
        invoked(1, "a"),
        not_run(1),
        invoked(2, "a"),
        invoked(3, "b"),
        executed("a", "a1"),
        executed("b", "b1"),
        answered(2, "a1"),
        answered(3, "b1"),
        invoked(4, "a"),
        answered(4, "a1"),
    ];
    assert_eq!(check(&good), Ok(()));
    let bad = [
        (
            Violation::WrongAnswer,
            vec![
                invoked(1, "a"),
                invoked(2, "b"),
                executed("a", "a1"),
                executed("b", "b1"),
                answered(1, "b1"),
            ],
        ),
        (Violation::WrongAnswer, vec![invoked(1, "a"), answered(1, "a1")]),
        (Violation::ExecutedTwice, vec![invoked(1, "a"), executed("a", "a1"), executed("a", "a2")]),
        (Violation::ExecutedAfterNotRun, vec![invoked(1, "a"), not_run(1), executed("a", "a1")]),
        (
            Violation::NotRunAfterExecution,
            vec![
                invoked(1, "a"),
                executed("a", "a1"),
                answered(1, "a1"),
                invoked(2, "a"),
                not_run(2),
            ],
        ),
    ];
    for (violation, history) in bad {
        let index = history.len() - 1;
        assert_eq!(check(&history), Err((violation, index)), "{history:?}");
    }
}
