//! Pairs of failures at the same time: kills, pauses past the lease, and an outage of the store.

#[path = "support/common.rs"]
mod support;

#[path = "support/checks.rs"]
mod checks;

use std::time::Duration;

use http::Method;
use peridotfold_standins::load::Load;
use peridotfold_standins::process::Process;
use peridotfold_standins::worker;
use peridotfold_wire::runtime;
use serde_json::json;
use support::{run, within, Cluster, Plan, VmKind, SERVICE, TEAM_TOKEN};

const LOOKUPS_PER_SECOND: u32 = 20;
const BIDS_PER_SECOND: u32 = 10;
/// Longer than the lease of tasks, 20 s.
const PAST_LEASE: Duration = Duration::from_secs(22);
const SHORT: Duration = Duration::from_secs(4);
/// Service without callers. Colocation throttles batch work beside a service that becomes slow, as
/// any service does on a loaded machine, down to 10% of full speed: the end of the long tasks would
/// depend on what else the machine runs.
const IDLE_SERVICE: &str = "archive";
/// VMs with the idle service. Only they have the accelerators that the long tasks need.
const BATCH_VMS: [usize; 2] = [0, 1];
/// VMs with the service that is called, and with short tasks.
const SERVICE_VMS: [usize; 2] = [2, 3];
/// VMs whose agent is hit.
const HIT_VMS: [usize; 2] = [BATCH_VMS[0], SERVICE_VMS[0]];
/// Work of a task that the lease of a paused agent ends.
const LONG_WORK_MS: u32 = 24_000;
/// The end of the longest fault, 22 s; 10 s for everything that happens within seconds; and the work
/// once more, at the 85% of full speed that colocation has to leave, 28.2 s. The work is done again
/// from its start when the owner declares an attempt lost before the paused agent reports it.
const JOBS_END: Duration = Duration::from_millis(60_200);

/// What happens to a process, and after which time it goes on.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    Kill(Duration),
    Freeze(Duration),
    /// Killed, and not started again.
    Lost,
}

#[derive(Debug, Clone, Copy)]
struct Case {
    /// Hits the agents of one VM of each kind.
    agent: Fault,
    /// Hits the owner of the cell.
    owner: Fault,
    store_down: Option<Duration>,
}

use Fault::{Freeze, Kill, Lost, None as Fine};

const CASES: [Case; 8] = [
    Case { agent: Kill(SHORT), owner: Kill(SHORT), store_down: None },
    Case { agent: Freeze(PAST_LEASE), owner: Kill(SHORT), store_down: None },
    Case { agent: Kill(SHORT), owner: Freeze(PAST_LEASE), store_down: None },
    Case { agent: Freeze(PAST_LEASE), owner: Freeze(PAST_LEASE), store_down: None },
    Case { agent: Kill(SHORT), owner: Fine, store_down: Some(SHORT) },
    Case { agent: Lost, owner: Fine, store_down: Some(SHORT) },
    Case { agent: Fine, owner: Kill(SHORT), store_down: Some(SHORT) },
    Case { agent: Freeze(PAST_LEASE), owner: Kill(SHORT), store_down: Some(SHORT) },
];

/// A process that goes on, or the store that serves again.
#[derive(Debug, Clone, Copy)]
enum Restore {
    Agent,
    Owner,
    Store,
}

/// Guards against tasks that run in two places, bids that run twice or after `not run`, answers to
/// the wrong caller, and jobs that never end, when two failures come together.
#[test]
fn two_failures_at_once() {
    // The lease is a constant, so the cases run at the same time.
    let threads: Vec<_> =
        CASES.into_iter().map(|case| (case, std::thread::spawn(move || run(play(case))))).collect();
    let failed: Vec<_> = threads
        .into_iter()
        .filter_map(|(case, thread)| thread.join().is_err().then_some(case))
        .collect();
    assert!(failed.is_empty(), "failed: {failed:#?}");
}

/// As [`two_failures_at_once`], for an agent that is paused past its lease through an outage of the
/// store.
#[test]
fn an_agent_paused_through_an_outage() {
    let agent = Freeze(PAST_LEASE);
    run(play(Case { agent, owner: Fine, store_down: Some(PAST_LEASE) }));
}

fn plan() -> Plan {
    let batch = VmKind { service: IDLE_SERVICE, accelerators: 4 };
    let service = VmKind { service: SERVICE, accelerators: 0 };
    let mut plan = Plan::new(2, 0);
    plan.vms = vec![batch, batch, service, service];
    let document = &mut plan.document;
    document["services"][IDLE_SERVICE] = document["services"][SERVICE].clone();
    document["vm_sizes"]["standard"]["accelerators"] = json!(4);
    document["classes"]["rebuild"]["limit"]["accelerators"] = json!(4);
    document["teams"][support::TEAM]["quota"]["accelerators"] = json!(8);
    plan
}

async fn play(case: Case) {
    let mut cluster = Cluster::start_plan(plan()).await;
    let load = Load::new(&cluster.https(), SERVICE, TEAM_TOKEN);
    let tasks = load.start(LOOKUPS_PER_SECOND, BIDS_PER_SECOND);
    within(support::PATIENCE, "bids run on both VMs", || async {
        SERVICE_VMS.iter().all(|vm| cluster.vms[*vm].upstream.executions().len() > 3)
    })
    .await;
    // Submitted last: a task that has less work left than a lease lasts ends before the lease does.
    cluster.submit_to(0, "long", 4, LONG_WORK_MS, 1).await;
    cluster.submit(1, "short", 10, 1_500).await;
    within(support::PATIENCE, "long tasks run on both VMs", || async {
        let is_long =
            |run: &worker::simulation::Interval| run.job == "long" && run.end == "running";
        BATCH_VMS.iter().all(|vm| cluster.vms[*vm].worker.history().iter().any(is_long))
    })
    .await;
    let owner = owner(&cluster).await;
    let begin = runtime::now();
    for (end, restore) in break_all(&mut cluster, case, owner) {
        runtime::sleep((begin + end).saturating_sub(runtime::now())).await;
        match restore {
            Restore::Store => cluster.set_store_down(false),
            Restore::Agent if matches!(case.agent, Freeze(_)) => {
                HIT_VMS.iter().for_each(|vm| cluster.agent(*vm).signal("CONT").expect("signal"));
            }
            Restore::Agent => HIT_VMS.into_iter().for_each(|vm| cluster.start_agent(vm)),
            Restore::Owner if matches!(case.owner, Freeze(_)) => {
                cluster.entry(owner).signal("CONT").expect("signal");
            }
            Restore::Owner => cluster.start_entry(owner),
        }
    }
    for job in ["long", "short"] {
        let left = (begin + JOBS_END).saturating_sub(runtime::now());
        within(left, &format!("{case:?}: {job} ends"), || async {
            cluster.job(1 - owner, job).await["state"] == "completed"
        })
        .await;
    }
    println!("{case:?}: jobs ended after {:?}", runtime::now() - begin);
    load.stop();
    for task in tasks {
        task.await;
    }
    check_tasks(&cluster, case);
    checks::requests(&cluster, &load, &format!("{case:?}"));
}

/// Begins the faults; returns their ends in order of time.
fn break_all(cluster: &mut Cluster, case: Case, owner: usize) -> Vec<(Duration, Restore)> {
    let mut ends = Vec::new();
    if let Some(end) = case.store_down {
        cluster.set_store_down(true);
        ends.push((end, Restore::Store));
    }
    for vm in HIT_VMS {
        hit(case.agent, cluster.agent(vm));
    }
    hit(case.owner, cluster.entry(owner));
    for (fault, restore) in [(case.agent, Restore::Agent), (case.owner, Restore::Owner)] {
        if let Kill(end) | Freeze(end) = fault {
            ends.push((end, restore));
        }
    }
    ends.sort_by_key(|(end, _)| *end);
    ends
}

fn hit(fault: Fault, process: &mut Process) {
    match fault {
        Fine => {}
        Lost | Kill(_) => process.kill().expect("kill"),
        Freeze(_) => process.signal("STOP").expect("signal"),
    }
}

/// Index of the entry that owns the cell, as an agent knows it.
async fn owner(cluster: &Cluster) -> usize {
    let agent = cluster.vms[1].agent.as_ref().expect("the agent runs").http;
    let (_, status) = cluster.operate(agent, Method::GET, "/v1/status", "").await;
    usize::from(status["owner"]["entry"] == "entry-2")
}

/// Checks that no task ran in two places, that each ran, and that the lease of an agent that was
/// away for longer has ended.
fn check_tasks(cluster: &Cluster, case: Case) {
    let is_expired = |run: &worker::simulation::Interval| run.end == "expired";
    let expired = cluster.vms[BATCH_VMS[0]].worker.history().iter().any(is_expired);
    let has_to_expire = matches!(case.agent, Freeze(_) | Lost);
    assert!(expired || !has_to_expire, "{case:?}: no lease ended during the fault");
    let ran = checks::one_place_each(cluster, &format!("{case:?}"));
    assert_eq!(ran.len(), 14, "{case:?}: tasks that ran: {ran:?}");
}
