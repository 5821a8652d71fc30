//! Faults of the network between processes that go on running: one direction of a connection is
//! silent, or its bytes arrive late, after those of a newer connection.

#[path = "support/common.rs"]
mod support;

#[path = "support/checks.rs"]
mod checks;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use http::{Method, Request};
use parking_lot::Mutex;
use peridotfold_standins::forwarder::{Flow, Flows};
use peridotfold_standins::load::Load;
use peridotfold_standins::upstream::Execution;
use peridotfold_wire::body::Body;
use peridotfold_wire::http_client::HttpClient;
use peridotfold_wire::runtime;
use serde_json::{json, Value};
use support::{run, within, Cluster, Plan, IN_EFFECT, PATIENCE, SERVICE, TEAM_TOKEN};

use checks::{processes, Sampler, PROBE};

/// Time after which an upstream that is silent receives no new work, and within which one that is
/// heard again receives some (design, sections 1.2 and 3.4).
const NO_NEW_WORK: Duration = Duration::from_secs(4);
const SILENCE: Duration = Duration::from_secs(8);
const LOOKUPS_PER_SECOND: u32 = 20;
const BIDS_PER_SECOND: u32 = 10;
const PROBE_PERIOD: Duration = Duration::from_millis(50);
/// Deadline of a probe. A final answer is due at the deadline.
const PROBE_DEADLINE: Duration = Duration::from_secs(1);
const PROBE_LIMIT: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Outcome {
    Answered,
    NotRun,
    Unknown,
    /// No answer, or one that names no outcome.
    Missing,
}

#[derive(Debug, Clone)]
struct Probe {
    body: String,
    sent: Duration,
    outcome: Outcome,
}

/// Sends bids through one entry at a constant rate, each once.
struct Prober {
    probes: Arc<Mutex<Vec<Probe>>>,
    begun: Arc<AtomicUsize>,
    task: smol::Task<()>,
}

impl Prober {
    fn start(entry: SocketAddr, is_keyed: bool) -> Self {
        let probes = Arc::new(Mutex::new(Vec::new()));
        let begun = Arc::new(AtomicUsize::new(0));
        let (done, counter) = (probes.clone(), begun.clone());
        let task = runtime::spawn(async move {
            let client = HttpClient::default();
            for number in 0.. {
                let (client, done) = (client.clone(), done.clone());
                counter.fetch_add(1, Ordering::Relaxed);
                runtime::spawn(async move {
                    let (body, sent) = (format!("{PROBE}{number}"), runtime::now());
                    let outcome = probe(&client, entry, &body, is_keyed).await;
                    done.lock().push(Probe { body, sent, outcome });
                })
                .detach();
                runtime::sleep(PROBE_PERIOD).await;
            }
        });
        Prober { probes, begun, task }
    }

    /// Probes that were sent since a time and have ended.
    fn since(&self, begin: Duration) -> Vec<Probe> {
        self.probes.lock().iter().filter(|probe| probe.sent >= begin).cloned().collect()
    }

    /// Sends no more, and returns all probes once they have ended.
    async fn stop(self) -> Vec<Probe> {
        self.task.cancel().await;
        within(PROBE_LIMIT * 2, "probes end", || async {
            self.probes.lock().len() == self.begun.load(Ordering::Relaxed)
        })
        .await;
        self.probes.lock().clone()
    }
}

async fn probe(client: &HttpClient, entry: SocketAddr, body: &str, is_keyed: bool) -> Outcome {
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(format!("/s/{SERVICE}/bid"))
        .header(http::header::HOST, entry.to_string())
        .header(http::header::AUTHORIZATION, format!("Bearer {TEAM_TOKEN}"))
        .header("request-timeout-ms", PROBE_DEADLINE.as_millis().to_string());
    if is_keyed {
        request = request.header("idempotency-key", body);
    }
    let request = request.body(Body::full(body.to_owned())).expect("request");
    let Ok(response) = client.exchange(entry, request, PROBE_LIMIT).await else {
        return Outcome::Missing;
    };
    match response.headers().get("peridotfold-outcome").map(|outcome| outcome.as_bytes()) {
        Some(b"not-run") => Outcome::NotRun,
        Some(b"unknown") => Outcome::Unknown,
        None if response.status().is_success() => Outcome::Answered,
        _ => Outcome::Missing,
    }
}

fn forwarded(entries: usize, vms: usize) -> Plan {
    Plan { forwarded: true, ..Plan::new(entries, vms) }
}

/// Guards against work for upstreams that an entry no longer hears, against a false outcome, bids
/// that run twice, and upstreams that stay unused after they are heard again. Nothing from the
/// agents reaches the first entry, but it can send to them.
#[test]
fn a_silent_agent_gets_no_new_work() {
    run(async {
        let cluster = Cluster::start_plan(forwarded(2, 2)).await;
        let (load, tasks) = start_load(&cluster).await;
        let prober = Prober::start(cluster.http(0), false);
        let way = &cluster.ways[0].entry;
        let begin = runtime::now();
        way.set_flows(Flows { to_target: Flow::Drop, ..Flows::default() });
        runtime::sleep((begin + SILENCE).saturating_sub(runtime::now())).await;
        let end = runtime::now();
        way.set_flows(Flows::default());
        assert!(way.dropped() > 0, "nothing was lost");
        check_silence(&prober.since(begin), begin, end);
        within(NO_NEW_WORK, "both upstreams are used again", || async {
            [0, 1].iter().all(|vm| is_answered_by(&cluster, &prober.since(end), *vm))
        })
        .await;
        load.stop();
        for task in tasks {
            task.await;
        }
        let probes = prober.stop().await;
        check_silence(&probes, begin, end);
        check_outcomes(&cluster, &probes);
        checks::requests(&cluster, &load, "silent agent");
    });
}

/// Guards against a false outcome, and bids that run twice, while an agent goes on to announce
/// itself and to run requests, but its answers do not arrive, and against a holder of keys that
/// stays unused after the connections to it died silently.
#[test]
fn requests_keep_their_outcomes_while_the_answers_of_an_agent_are_lost() {
    run(async {
        let cluster = Cluster::start_plan(forwarded(2, 2)).await;
        let (load, tasks) = start_load(&cluster).await;
        let prober = Prober::start(cluster.http(0), true);
        let way = cluster.vms[0].way.as_ref().expect("a way");
        let begin = runtime::now();
        way.set_flows(Flows { to_client: Flow::Drop, ..Flows::default() });
        runtime::sleep((begin + SILENCE).saturating_sub(runtime::now())).await;
        let end = runtime::now();
        way.set_flows(Flows::default());
        assert!(way.dropped() > 0, "nothing was lost");
        within(NO_NEW_WORK, "the holder is used again", || async {
            is_answered_by(&cluster, &prober.since(end), 0)
        })
        .await;
        load.stop();
        for task in tasks {
            task.await;
        }
        let probes = prober.stop().await;
        check_outcomes(&cluster, &probes);
        let is_unknown = |probe: &Probe| probe.outcome == Outcome::Unknown;
        assert!(probes.iter().any(is_unknown), "no outcome was unknown");
        checks::requests(&cluster, &load, "lost answers");
    });
}

/// Starts a load, and waits until both VMs hold keys.
async fn start_load(cluster: &Cluster) -> (Load, Vec<smol::Task<()>>) {
    let load = Load::new(&cluster.https(), SERVICE, TEAM_TOKEN);
    let tasks = load.start(LOOKUPS_PER_SECOND, BIDS_PER_SECOND);
    let is_keyed = |run: &Execution| run.key.is_some();
    within(PATIENCE, "bids with a key run on both VMs", || async {
        cluster.vms.iter().all(|vm| vm.upstream.executions().iter().any(is_keyed))
            && load.totals(|totals| totals.answered) > 200
    })
    .await;
    (load, tasks)
}

/// Tells whether one of the probes ran on a VM and was answered.
fn is_answered_by(cluster: &Cluster, probes: &[Probe], vm: usize) -> bool {
    let runs = cluster.vms[vm].upstream.executions();
    let mut answered = probes.iter().filter(|probe| probe.outcome == Outcome::Answered);
    answered.any(|probe| runs.iter().any(|run| run.body == probe.body))
}

/// Checks that the outcome of each probe is true.
fn check_outcomes(cluster: &Cluster, probes: &[Probe]) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for run in cluster.vms.iter().flat_map(|vm| vm.upstream.executions()) {
        *runs.entry(run.body).or_default() += 1;
    }
    for Probe { body, outcome, .. } in probes {
        let runs = runs.get(body).copied().unwrap_or_default();
        let is_true = match outcome {
            Outcome::Answered => runs == 1,
            Outcome::NotRun => runs == 0,
            Outcome::Unknown => runs <= 1,
            Outcome::Missing => false,
        };
        assert!(is_true, "{body} is reported as {outcome:?} and ran {runs} times");
    }
}

/// Checks that no probe was sent to an upstream when all had been silent for long enough.
fn check_silence(probes: &[Probe], begin: Duration, end: Duration) {
    // A probe that is sent within its deadline of the end may be routed after it.
    let silent = begin + NO_NEW_WORK..end - PROBE_DEADLINE;
    let probes: Vec<_> = probes.iter().filter(|probe| silent.contains(&probe.sent)).collect();
    assert!(probes.len() > 10, "too few probes: {}", probes.len());
    let wrong: Vec<_> = probes.iter().filter(|probe| probe.outcome != Outcome::NotRun).collect();
    assert!(wrong.is_empty(), "new work for silent upstreams: {wrong:?}");
}

/// State of the only upstream at an entry, and the time since it was heard.
async fn upstream(cluster: &Cluster) -> (String, u64) {
    let (_, status) = cluster.operate(cluster.http(0), Method::GET, "/v1/status", "").await;
    let upstream = &status["upstreams"][0];
    let state = upstream["state"].as_str().unwrap_or_default();
    (state.to_owned(), upstream["heard_ms"].as_u64().unwrap_or(u64::MAX))
}

/// Guards against an upstream that left and is taken for ready again, because an announcement from
/// an older connection arrives after that of a newer one.
#[test]
fn a_late_announcement_does_not_bring_an_upstream_back() {
    const LATE: Duration = Duration::from_secs(10);
    run(async {
        let mut cluster = Cluster::start_plan(forwarded(1, 1)).await;
        let way = |cluster: &Cluster| {
            let way = &cluster.ways[0].entry;
            (way.connections(), way.late(), way.open())
        };
        let (connections, ..) = way(&cluster);
        let delay = Flows { to_target: Flow::Delay(LATE), ..Flows::default() };
        cluster.ways[0].entry.set_flows(delay);
        // Announcements are sent each second, so that at least one of them is delayed by then.
        within(PATIENCE, "announcements are delayed and the agent connects again", || async {
            upstream(&cluster).await.1 >= 2_000 && way(&cluster).0 > connections
        })
        .await;
        cluster.ways[0].entry.set_flows(Flows::default());
        within(NO_NEW_WORK, "announcements arrive on a newer connection", || async {
            let (state, heard_ms) = upstream(&cluster).await;
            state == "ready" && heard_ms < 100
        })
        .await;
        assert_eq!(way(&cluster).1, 0, "the delayed bytes arrived before the newer ones");
        cluster.agent(0).signal("TERM").expect("signal");
        within(NO_NEW_WORK, "the upstream leaves", || async {
            upstream(&cluster).await.0 == "leaving"
        })
        .await;
        assert_eq!(way(&cluster).1, 0, "the delayed bytes arrived before the agent left");
        // The entry closes a connection only after it has read all that arrived on it.
        within(LATE + PATIENCE, "the delayed connections end", || async {
            let state = upstream(&cluster).await.0;
            assert_eq!(state, "leaving", "after the agent has left");
            way(&cluster).1 > 0 && way(&cluster).2 == 0
        })
        .await;
        assert_eq!(upstream(&cluster).await.0, "leaving", "after all announcements");
    });
}

fn timeout_patch(timeout_ms: u64) -> String {
    json!({"services": {SERVICE: {"timeout_ms": timeout_ms}}}).to_string()
}

async fn timeout_of(cluster: &Cluster, entry: usize, version: u64) -> Value {
    let path = format!("/v1/config/{version}");
    let (_, shown) = cluster.operate(cluster.http(entry), Method::GET, &path, "").await;
    shown["document"]["services"][SERVICE]["timeout_ms"].clone()
}

/// Guards against a patch that is reported as applied or refused while that is not known, versions
/// that revert, and tasks that run in two places, when the answers of the store do not arrive at
/// the owner of the cell, and an agent is killed at the same time.
#[test]
fn a_patch_is_reported_truthfully_while_answers_of_the_store_are_lost() {
    /// Below the entry's time limit of a call of the store, 1.5 s.
    const SLOW: Duration = Duration::from_secs(1);
    /// Tasks still run when the cell is taken over.
    const WORK_MS: u32 = 16_000;
    /// The lease of the killed agent's tasks with its margin, 20.9 s; 10 s for everything that
    /// happens within seconds; and the work at the 85% of full speed that colocation has to leave.
    const JOB_END: Duration = Duration::from_millis(49_700);
    run(async {
        let mut cluster = Cluster::start_plan(forwarded(2, 2)).await;
        let sampler = Sampler::start(processes(&cluster));
        sampler.wait_seen().await;
        cluster.submit(0, "long", 4, WORK_MS).await;
        within(PATIENCE, "tasks run on both VMs", || async {
            cluster.vms.iter().all(|vm| !vm.worker.history().is_empty())
        })
        .await;
        let (hit, other) = owner_and_other(&cluster).await;
        let log = || cluster.store.peek("config/log").map(|(version, _)| version);
        let log_before = log();
        cluster.ways[hit]
            .store
            .set_flows(Flows { to_client: Flow::Delay(SLOW), ..Flows::default() });
        let mut agent = cluster.vms[0].agent.take().expect("the agent runs");
        let patch = timeout_patch(2_000);
        let (lost, begin) = smol::future::zip(cluster.patch(hit, 1, &patch), async {
            within(PATIENCE, "the store applies the patch", || async { log() != log_before }).await;
            let silent = Flows { to_client: Flow::Drop, ..Flows::default() };
            cluster.ways[hit].store.set_flows(silent);
            agent.kill().expect("kill");
            runtime::now()
        })
        .await;
        assert_eq!(lost.0, 504, "the answer of the write was lost: {}", lost.1);
        let (status, answer) = cluster.patch(hit, 2, &timeout_patch(2_001)).await;
        assert_eq!(status, 503, "nothing was sent: {answer}");
        cluster.wait_version(2, IN_EFFECT).await;
        let (status, answer) = cluster.patch(other, 2, &timeout_patch(2_002)).await;
        assert_eq!((status, answer["version"].as_u64()), (200, Some(3)), "{answer}");
        cluster.wait_version(3, IN_EFFECT).await;
        within(PATIENCE, "the other entry owns the cell", || async {
            owner_and_other(&cluster).await.0 == other
        })
        .await;
        runtime::sleep((begin + SILENCE).saturating_sub(runtime::now())).await;
        assert!(cluster.ways[hit].store.dropped() > 0, "nothing was lost");
        cluster.ways[hit].store.set_flows(Flows::default());
        within(PATIENCE, "patches are accepted again", || async {
            cluster.patch(hit, 3, &timeout_patch(2_003)).await.0 == 200
        })
        .await;
        // Until here the tasks of the killed agent run on under their lease.
        cluster.start_agent(0);
        cluster.wait_version(4, IN_EFFECT).await;
        let left = (begin + JOB_END).saturating_sub(runtime::now());
        within(left, "the job ends", || async {
            cluster.job(other, "long").await["state"] == "completed"
        })
        .await;
        for (version, timeout) in [(2, 2_000), (3, 2_002), (4, 2_003)] {
            for entry in [hit, other] {
                assert_eq!(timeout_of(&cluster, entry, version).await, timeout, "{version}");
            }
        }
        sampler.check();
        let ran = checks::one_place_each(&cluster, "silent store");
        assert_eq!(ran.len(), 4, "tasks that ran: {ran:?}");
    });
}

/// Indices of the entry that owns the cell, as an agent knows it, and of the other entry.
async fn owner_and_other(cluster: &Cluster) -> (usize, usize) {
    let agent = cluster.vms[1].agent.as_ref().expect("the agent runs").http;
    let (_, status) = cluster.operate(agent, Method::GET, "/v1/status", "").await;
    match status["owner"]["entry"] == "entry-2" {
        true => (1, 0),
        false => (0, 1),
    }
}
