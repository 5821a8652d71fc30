//! Cell ownership and batch jobs with a stand-in for the store, and with agents simulated by their
//! reports.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use peridotfold_core::config::{Cell, Document, JobClass, Team};
use peridotfold_core::hash;
use peridotfold_core::membership::EntryView;
use peridotfold_core::message::announce::AgentState;
use peridotfold_core::message::entry::{Forward, ForwardReply};
use peridotfold_core::message::report::{Orders, Outcome, Report, TaskResult};
use peridotfold_core::resources::Resources;
use peridotfold_entry::cells::Cells;
use peridotfold_entry::settings::Settings;
use peridotfold_standins::store::{Faults, Mode, Options, Store};
use peridotfold_store::HttpStore;
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::{self, Trigger};
use serde_json::{json, Value};

const LIMIT: Duration = Duration::from_secs(30);
const CELLS: [&str; 5] = ["cell", "cell-1", "cell-2", "cell-3", "cell-4"];
const CAPACITY: Resources = Resources::new(16_000, 64_000, 0);

fn document() -> Arc<Document> {
    let team = |digit: &str| Team { token_sha256: digit.repeat(64), quota: CAPACITY };
    let class = |urgent| JobClass { limit: CAPACITY, urgent };
    let cells = CELLS.map(|cell| (cell.to_owned(), Cell { data_centre: "dc".to_owned() }));
    let document = Document {
        cells: cells.into(),
        teams: [("red".to_owned(), team("1")), ("blue".to_owned(), team("2"))].into(),
        classes: [("urgent".to_owned(), class(true)), ("normal".to_owned(), class(false))].into(),
        ..Document::default()
    };
    Arc::new(document)
}

type Alive = Arc<Mutex<Vec<EntryView>>>;

struct Entry {
    cells: Cells<HttpStore>,
    view: EntryView,
    stop: Trigger,
    task: smol::Task<()>,
}

fn entry(id: &str, incarnation: u64, store: &Store, alive: &Alive) -> Entry {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = Settings {
        id: id.to_owned(),
        data_centre: "dc".to_owned(),
        http: any,
        internal: any,
        advertise: None,
        store: store.address(),
        peers: Vec::new(),
        operator_digest: String::new(),
        limits: peridotfold_wire::limits::Limits::NONE,
        outage_hold: Duration::from_secs(600),
        dead_after: Duration::from_secs(6),
    };
    let client = HttpStore::new(store.address(), Duration::from_millis(500));
    let internal = SocketAddr::from(([127, 0, 0, 1], 1_000 + incarnation as u16));
    let cells = Cells::new(client, &settings, incarnation, internal);
    let view = EntryView {
        entry: id.to_owned(),
        incarnation,
        address: internal.to_string(),
        data_centre: "dc".to_owned(),
    };
    alive.lock().push(view.clone());
    let (stop, stopped) = shutdown::channel();
    let document = document();
    let (seen, run) = (alive.clone(), cells.clone());
    let task = runtime::spawn(async move {
        let documents = move || document.clone();
        let alive = move || seen.lock().clone();
        run.run(documents, alive, || Duration::ZERO, stopped).await;
    });
    Entry { cells, view, stop, task }
}

async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = runtime::now() + LIMIT;
    while !holds() {
        assert!(runtime::now() < deadline, "no {what} within {LIMIT:?}");
        runtime::sleep(Duration::from_millis(20)).await;
    }
}

async fn until_owned(entry: &Entry) {
    let owns = || entry.cells.owner("cell").is_some_and(|owner| owner.entry == entry.view.entry);
    until("owner", owns).await;
}

async fn call(
    entry: &Entry,
    method: &str,
    job: &str,
    team: Option<&str>,
    body: Value,
) -> ForwardReply {
    let forward = Forward {
        cell: "cell".to_owned(),
        method: method.to_owned(),
        path: format!("/v1/jobs{job}"),
        team: team.map(str::to_owned),
        operator: team.is_none(),
        body: Bytes::from(body.to_string()),
    };
    entry.cells.forward(forward).await.expect("the entry owns the cell")
}

fn job(id: &str) -> Value {
    json!({
        "id": id, "class": "normal", "tasks": 1, "command": "run",
        "need": {"cpu_milli": 100, "memory_mib": 10, "accelerators": 0},
    })
}

async fn state(entry: &Entry, id: &str) -> String {
    let reply = call(entry, "GET", &format!("/{id}"), None, Value::Null).await;
    let view: Value = serde_json::from_slice(&reply.body).expect("JSON");
    view["state"].as_str().unwrap_or_default().to_owned()
}

/// A simulated agent that reports each attempt as completed in its next report.
#[derive(Default)]
struct Agent {
    sequence: u64,
    epoch: u64,
    results: BTreeMap<String, TaskResult>,
    /// Number of attempts started, by job.
    starts: BTreeMap<String, usize>,
}

impl Agent {
    async fn report(&mut self, entry: &Entry) -> bool {
        self.sequence += 1;
        let report = Report {
            agent: "vm".to_owned(),
            incarnation: 1,
            echo: 0,
            cell: "cell".to_owned(),
            rack: "rack".to_owned(),
            sequence: self.sequence,
            state: AgentState::Ready,
            epoch: self.epoch,
            batch_capacity: CAPACITY,
            free: CAPACITY,
            urgent_free: CAPACITY,
            running: Vec::new(),
            results: self.results.values().cloned().collect(),
            pressure_percent: 0,
        };
        let Ok(orders) = entry.cells.report(report).await else { return false };
        self.apply_orders(orders);
        true
    }

    fn apply_orders(&mut self, orders: Orders) {
        self.epoch = self.epoch.max(orders.epoch);
        for id in orders.acknowledged {
            self.results.remove(&format!("{id:?}"));
        }
        for start in orders.starts {
            let id = start.attempt;
            let key = format!("{id:?}");
            if self.results.contains_key(&key) {
                continue;
            }
            *self.starts.entry(id.job.clone()).or_default() += 1;
            self.results.insert(key, TaskResult { attempt: id, outcome: Outcome::Completed });
        }
    }
}

fn run(test: impl std::future::Future<Output = ()>) {
    runtime::run(4, test);
}

async fn store() -> Store {
    Store::start(Options::default()).await.expect("loopback is available")
}

/// Guards against jobs that do not get from submission to completion, and against teams that see or
/// cancel each other's jobs.
#[test]
fn jobs_run_and_are_shown_to_their_team_only() {
    run(async {
        let (store, alive) = (store().await, Alive::default());
        let entry = entry("a", 1, &store, &alive);
        until_owned(&entry).await;
        let submitted = call(&entry, "POST", "", Some("red"), job("one")).await;
        assert_eq!(submitted.status, 201, "{:?}", submitted.body);
        assert_eq!(call(&entry, "POST", "", Some("red"), job("one")).await.status, 200);
        assert_eq!(call(&entry, "POST", "", Some("blue"), job("one")).await.status, 409);
        let mut invalid = job("two");
        invalid["class"] = json!("none");
        assert_eq!(call(&entry, "POST", "", Some("red"), invalid).await.status, 422);
        assert_eq!(call(&entry, "GET", "/one", Some("blue"), Value::Null).await.status, 404);
        assert_eq!(call(&entry, "DELETE", "/one", Some("blue"), Value::Null).await.status, 404);
        let mut agent = Agent::default();
        while state(&entry, "one").await != "completed" {
            assert!(agent.report(&entry).await);
        }
        assert_eq!(agent.starts["one"], 1);
        assert_eq!(call(&entry, "DELETE", "/one", Some("red"), Value::Null).await.status, 409);
        let list = call(&entry, "GET", "", Some("blue"), Value::Null).await;
        assert_eq!(list.body, Bytes::from(r#"{"jobs":[]}"#));
    });
}

/// Guards against jobs that are lost or duplicated when a cell is released and taken over, and
/// against an entry that does not release its cells at shutdown.
#[test]
fn a_released_cell_is_taken_over_at_once() {
    run(async {
        let (store, alive) = (store().await, Alive::default());
        let first = entry("a", 1, &store, &alive);
        until_owned(&first).await;
        assert_eq!(call(&first, "POST", "", Some("red"), job("one")).await.status, 201);
        first.stop.fire();
        first.task.await;
        alive.lock().clear();
        let second = entry("b", 2, &store, &alive);
        until_owned(&second).await;
        assert_eq!(second.cells.owner("cell").map(|owner| owner.epoch), Some(2));
        let mut agent = Agent::default();
        while state(&second, "one").await != "completed" {
            assert!(agent.report(&second).await);
        }
    });
}

/// Guards against a former owner that continues to act after its successor has taken over.
#[test]
fn a_replaced_owner_steps_down() {
    run(async {
        let (store, alive) = (store().await, Alive::default());
        let first = entry("a", 1, &store, &alive);
        until_owned(&first).await;
        // The first entry counts as dead but is still running.
        alive.lock().clear();
        let second = entry("b", 2, &store, &alive);
        until_owned(&second).await;
        until("step down", || first.cells.owner("cell").is_none_or(|owner| owner.entry == "b"))
            .await;
        let mut agent = Agent::default();
        assert!(!agent.report(&first).await, "the former owner still answers reports");
        assert!(agent.report(&second).await);
    });
}

/// Guards against jobs that are lost or run twice when 30% of the store's responses are lost.
#[test]
fn lost_store_responses_neither_lose_nor_double_work() {
    run(async {
        let (store, alive) = (store().await, Alive::default());
        let entry = entry("a", 1, &store, &alive);
        until_owned(&entry).await;
        store.set_faults(Faults { lose_probability: 0.3, ..Faults::default() });
        let mut agent = Agent::default();
        let mut accepted = BTreeSet::new();
        let deadline = runtime::now() + LIMIT;
        for number in 0..20 {
            let id = format!("job-{number}");
            let reply = call(&entry, "POST", "", Some("red"), job(&id)).await;
            assert!(matches!(reply.status, 200 | 201 | 503), "{:?}", reply.body);
            if reply.status != 503 {
                accepted.insert(id);
            }
            if number % 4 == 0 {
                agent.report(&entry).await;
            }
        }
        store.set_faults(Faults::default());
        for id in &accepted {
            while state(&entry, id).await != "completed" {
                assert!(runtime::now() < deadline, "{id} did not complete");
                assert!(agent.report(&entry).await);
            }
        }
        assert!(!accepted.is_empty());
        assert!(agent.starts.values().all(|starts| *starts == 1), "{:?}", agent.starts);
    });
}

/// Guards against attempts that start and submissions that are accepted without a commit while the
/// store is down.
#[test]
fn a_store_outage_stops_starts_and_promises_only() {
    run(async {
        let (store, alive) = (store().await, Alive::default());
        let entry = entry("a", 1, &store, &alive);
        until_owned(&entry).await;
        let mut agent = Agent::default();
        agent.report(&entry).await;
        store.set_faults(Faults { mode: Mode::Refuse, ..Faults::default() });
        let refused = call(&entry, "POST", "", Some("red"), job("one")).await;
        assert_eq!(refused.status, 503);
        assert!(agent.report(&entry).await, "reports are still answered");
        assert!(agent.starts.is_empty(), "started without a commit");
        store.set_faults(Faults::default());
        while state(&entry, "one").await != "completed" {
            assert!(agent.report(&entry).await);
        }
        assert_eq!(agent.starts["one"], 1);
    });
}

/// Submits (`POST`) or cancels (`DELETE`) 10,000 jobs concurrently, repeating each call until it is
/// answered with another status than 503.
async fn call_for_all(entry: &Arc<Entry>, method: &'static str) {
    let mut left: Vec<usize> = (0..10_000).collect();
    let deadline = runtime::now() + 2 * LIMIT;
    while !left.is_empty() {
        assert!(runtime::now() < deadline, "{} of {method} left", left.len());
        let calls = left.iter().map(|number| {
            let (entry, number) = (entry.clone(), *number);
            runtime::spawn(async move {
                let id = format!("job-{number}");
                let reply = match method {
                    "POST" => call(&entry, method, "", Some("red"), job(&id)).await,
                    _ => call(&entry, method, &format!("/{id}"), Some("red"), Value::Null).await,
                };
                // A part of the burst is committed later than a call waits, and is called again. By
                // then, an ended job may have been deleted.
                (reply.status == 503).then_some(number)
            })
        });
        let calls: Vec<_> = calls.collect();
        left.clear();
        for call in calls {
            left.extend(call.await);
        }
    }
}

/// Guards against a state of 10,000 jobs that exceeds the store's limits, and against a burst of
/// cancellations that delays other jobs. An urgent job has to start within 4.5 s.
#[test]
fn ten_thousand_jobs_fit_and_their_cancellation_delays_nothing() {
    run(async {
        let (store, alive) = (store().await, Alive::default());
        let first = Arc::new(entry("a", 1, &store, &alive));
        until_owned(&first).await;
        call_for_all(&first, "POST").await;
        alive.lock().clear();
        let second = Arc::new(entry("b", 2, &store, &alive));
        until_owned(&second).await;
        assert_eq!(state(&second, "job-9999").await, "queued");
        let mut agent = Agent::default();
        agent.report(&second).await;
        let cancelling = {
            let second = second.clone();
            runtime::spawn(async move { call_for_all(&second, "DELETE").await })
        };
        let list = || call(&second, "GET", "", Some("red"), Value::Null);
        while !list().await.body.windows(10).any(|text| text == b"cancelling") {
            runtime::sleep(Duration::from_millis(1)).await;
        }
        let begin = runtime::now();
        let mut urgent = job("urgent");
        urgent["class"] = json!("urgent");
        assert_eq!(call(&second, "POST", "", Some("red"), urgent).await.status, 201);
        while !agent.starts.contains_key("urgent") {
            assert!(agent.report(&second).await);
        }
        let waited = runtime::now() - begin;
        assert!(waited < Duration::from_millis(4_500), "started after {waited:?}");
        cancelling.await;
    });
}

/// Guards against an entry that keeps all cells because it started first.
#[test]
fn cells_are_spread_over_entries_that_join() {
    run(async {
        let (store, alive) = (store().await, Alive::default());
        let first = entry("a", 1, &store, &alive);
        until_owned(&first).await;
        let second = entry("b", 2, &store, &alive);
        let owned = |entry: &Entry| {
            let owns = |cell: &&&str| {
                entry.cells.owner(cell).is_some_and(|owner| owner.entry == entry.view.entry)
            };
            CELLS.iter().filter(owns).count()
        };
        let expected = CELLS.iter().filter(|cell| {
            hash::rendezvous(cell.as_bytes(), b"b") > hash::rendezvous(cell.as_bytes(), b"a")
        });
        let expected = expected.count();
        assert!(expected > 0 && expected < CELLS.len(), "choose other names");
        until("spread", || owned(&second) == expected && owned(&first) == CELLS.len() - expected)
            .await;
    });
}
