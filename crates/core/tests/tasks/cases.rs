//! Tests of single cases that the random schedules rarely cover.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use peridotfold_core::ledger::Limits;
use peridotfold_core::message::report::{
    AttemptId, Orders, Outcome, Report, StartOrder, StopOrder, Token,
};
use peridotfold_core::resources::Resources;
use peridotfold_core::tasks::worker::{
    Claim, ClaimReply, ClaimRequest, WorkerList, WorkerOutcome, WorkerTask,
};
use peridotfold_core::tasks::{Action, ActionResult, Identity, Tasks};

const LEASE: Duration = Duration::from_secs(20);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn id(task: u32, epoch: u64, number: u64) -> AttemptId {
    AttemptId { job: "j".into(), task, token: Token { epoch, number } }
}

fn start(attempt: AttemptId) -> StartOrder {
    StartOrder {
        attempt,
        team: "t".into(),
        class: "rebuild".into(),
        need: Resources::new(1_000, 1_000, 0),
        urgent: false,
        command: Bytes::from_static(b"work_ms=1"),
        checkpoint: None,
    }
}

fn listed_task(attempt: AttemptId, outcome: Option<WorkerOutcome>) -> WorkerTask {
    WorkerTask {
        attempt,
        team: "t".into(),
        class: "rebuild".into(),
        need: Resources::new(1_000, 1_000, 0),
        urgent: false,
        speed_percent: 100,
        usage: Resources::default(),
        valid_until_ms: 60_000,
        checkpoint: None,
        outcome,
    }
}

fn list(at: Duration, tasks: Vec<WorkerTask>) -> WorkerList {
    WorkerList {
        instance: 1,
        now_ms: at.as_millis() as u64,
        controller: 1,
        capacity: Resources::new(4_000, 10_000, 0),
        tasks,
    }
}

fn claimed(epoch: u64) -> ClaimReply {
    ClaimReply { claim: Claim { instance: 1, controller: 1 }, epoch }
}

fn unclaimed() -> Tasks {
    let identity =
        Identity { agent: "a".into(), incarnation: 1, cell: "c".into(), rack: "r".into() };
    let mut tasks = Tasks::new(identity, seconds(1));
    tasks.set_limits(Limits {
        service: Resources::new(1_000, 1_000, 0),
        classes: BTreeMap::from([("rebuild".to_owned(), Resources::new(4_000, 10_000, 0))]),
        closing: None,
    });
    tasks
}

fn adopted(now: Duration, worker: Vec<WorkerTask>) -> Tasks {
    adopted_at(1, now, worker)
}

fn adopted_at(epoch: u64, now: Duration, worker: Vec<WorkerTask>) -> Tasks {
    let mut tasks = unclaimed();
    tasks.claimed(claimed(epoch));
    tasks.apply_list(now, now, &list(now, worker));
    tasks
}

fn orders(report: &Report, epoch: u64, starts: Vec<StartOrder>) -> Orders {
    Orders { epoch, sequence: report.sequence, lease: LEASE, starts, ..Orders::default() }
}

fn starts(actions: &[Action]) -> Vec<AttemptId> {
    let started = actions.iter().filter_map(|action| match action {
        Action::Start(start) => Some(start.attempt.clone()),
        _ => None,
    });
    started.collect()
}

fn refused(report: &Report, attempt: &AttemptId) -> bool {
    report.results.iter().any(|result| {
        result.attempt == *attempt && matches!(result.outcome, Outcome::Refused { .. })
    })
}

/// Guards against a report that omits running tasks, so that the owner considers them lost.
#[test]
fn nothing_is_reported_before_the_worker_is_claimed_and_listed() {
    let mut tasks = unclaimed();
    assert_eq!(tasks.claim_request(), Some(ClaimRequest::default()));
    tasks.apply_list(seconds(1), seconds(1), &list(seconds(1), Vec::new()));
    assert!(tasks.report(seconds(1), 0).is_none(), "listed without a claim");
    tasks.claimed(claimed(3));
    assert!(tasks.report(seconds(1), 0).is_none(), "claimed without a list");
    tasks.apply_list(
        seconds(1),
        seconds(1),
        &list(seconds(1), vec![listed_task(id(0, 3, 7), None)]),
    );
    let report = tasks.report(seconds(1), 0).unwrap();
    assert_eq!((report.epoch, report.running.len()), (3, 1));
    assert_eq!(report.free, Resources::new(2_000, 8_000, 0));
}

/// Guards against starts from a duplicated reply or a reply to an earlier report.
#[test]
fn late_and_duplicated_orders_start_nothing() {
    let mut tasks = adopted(seconds(1), Vec::new());
    let first = tasks.report(seconds(1), 0).unwrap();
    let second = tasks.report(seconds(2), 0).unwrap();
    tasks.apply_orders(seconds(3), orders(&first, 1, vec![start(id(0, 1, 1))]));
    assert!(starts(&tasks.actions(seconds(3))).is_empty(), "answers an earlier report");
    tasks.apply_orders(seconds(3), orders(&second, 1, vec![start(id(1, 1, 2))]));
    tasks.apply_orders(seconds(3), orders(&second, 1, vec![start(id(2, 1, 3))]));
    assert_eq!(starts(&tasks.actions(seconds(3))), [id(1, 1, 2)]);
}

/// Guards against a start whose lease, counted from the sending of the report, has expired.
#[test]
fn lease_counts_from_when_the_report_was_sent() {
    let mut tasks = adopted(seconds(1), Vec::new());
    let report = tasks.report(seconds(1), 0).unwrap();
    tasks.apply_orders(seconds(21), orders(&report, 1, vec![start(id(0, 1, 1))]));
    assert!(starts(&tasks.actions(seconds(21))).is_empty(), "started after the lease");
    tasks.apply_list(seconds(21), seconds(21), &list(seconds(21), Vec::new()));
    let report = tasks.report(seconds(21), 0).unwrap();
    tasks.apply_orders(seconds(22), orders(&report, 1, vec![start(id(0, 1, 2))]));
    let actions = tasks.actions(seconds(22));
    assert_eq!(starts(&actions), [id(0, 1, 2)]);
    assert!(
        matches!(&actions[0], Action::Start(start) if start.valid_until_ms == 41_000),
        "{actions:?}"
    );
    assert!(!tasks.begin(seconds(41), &actions[0]), "paused past the lease, and still started");
    assert!(tasks.begin(seconds(40), &actions[0]));
}

/// Guards against applying orders of a replaced owner, including right after the agent's restart.
#[test]
fn orders_of_an_old_epoch_are_refused() {
    let mut tasks = adopted_at(5, seconds(1), vec![listed_task(id(0, 5, 9), None)]);
    let report = tasks.report(seconds(1), 0).unwrap();
    let mut old = orders(&report, 4, vec![start(id(1, 4, 1))]);
    old.stops.push(StopOrder { attempt: id(0, 5, 9), checkpoint: false });
    tasks.apply_orders(seconds(1), old);
    assert!(tasks.actions(seconds(1)).is_empty());
    tasks.apply_orders(seconds(1), orders(&report, 6, Vec::new()));
    tasks.claimed(claimed(6));
    let report = tasks.report(seconds(1), 0).unwrap();
    tasks.apply_orders(seconds(1), orders(&report, 6, vec![start(id(1, 6, 1))]));
    assert_eq!(tasks.epoch(), 6);
    assert_eq!(starts(&tasks.actions(seconds(1))), [id(1, 6, 1)]);
}

fn renewals(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Renew { .. })).count()
}

/// Guards against two running attempts of a task after an agent restarts. A restarted agent that knows
/// only the epoch of its adopted task could accept a renewal from the former owner, while the new
/// owner considers the attempt expired.
#[test]
fn restarted_agent_refuses_the_owner_that_its_predecessor_had_replaced() {
    let task = || vec![listed_task(id(0, 1, 1), None)];
    let mut first = adopted(seconds(1), task());
    let report = first.report(seconds(50), 0).unwrap();
    first.apply_orders(seconds(50), orders(&report, 2, Vec::new()));
    let request = first.claim_request().expect("the epoch is not kept yet");
    assert_eq!((request.keep, request.epoch), (Some(claimed(0).claim), 2));
    first.claimed(claimed(2));
    assert_eq!(first.report(seconds(50), 0).unwrap().epoch, 2);

    let mut second = adopted_at(2, seconds(51), task());
    let report = second.report(seconds(51), 0).unwrap();
    assert_eq!(report.epoch, 2, "the new owner is not told that its epoch is accepted");
    second.apply_orders(seconds(51), orders(&report, 1, vec![start(id(1, 1, 2))]));
    let actions = second.actions(seconds(51));
    assert!(actions.is_empty(), "obeys the former owner: {actions:?}");
}

/// Guards against leases and starts that are accepted, or an epoch that is reported, before the worker
/// stores the new epoch. A restarted agent would not know that epoch.
#[test]
fn grants_of_a_new_epoch_wait_until_the_worker_keeps_it() {
    let mut tasks = adopted(seconds(50), vec![listed_task(id(0, 1, 1), None)]);
    for second in 50..52 {
        let report = tasks.report(seconds(second), 0).unwrap();
        assert_eq!(report.epoch, 1, "reported as accepted before the worker keeps it");
        tasks.apply_orders(seconds(second), orders(&report, 2, vec![start(id(1, 2, 2))]));
        let actions = tasks.actions(seconds(second));
        assert_eq!((starts(&actions).len(), renewals(&actions)), (0, 0));
    }
    tasks.claimed(claimed(2));
    let report = tasks.report(seconds(52), 0).unwrap();
    assert_eq!(report.epoch, 2);
    tasks.apply_orders(seconds(52), orders(&report, 2, vec![start(id(1, 2, 2))]));
    let actions = tasks.actions(seconds(52));
    assert_eq!((starts(&actions).len(), renewals(&actions)), (1, 1));
}

/// Guards against a newer attempt that starts while an older one of its task is still running.
#[test]
fn newer_attempt_waits_until_the_older_is_gone() {
    let older = id(0, 1, 1);
    let newer = id(0, 1, 2);
    let mut tasks = adopted(seconds(1), vec![listed_task(older.clone(), None)]);
    let report = tasks.report(seconds(1), 0).unwrap();
    tasks.apply_orders(
        seconds(1),
        orders(&report, 1, vec![start(newer.clone()), start(id(0, 0, 9))]),
    );
    let actions = tasks.actions(seconds(1));
    assert!(starts(&actions).is_empty());
    assert!(actions.contains(&Action::Stop(older.clone())));
    let report = tasks.report(seconds(1), 0).unwrap();
    assert!(report.running.iter().any(|task| task.attempt == newer), "a waiting start is hidden");
    assert!(refused(&report, &id(0, 0, 9)), "an older token is not refused");
    assert!(tasks.begin(seconds(1), &Action::Stop(older.clone())));
    tasks.record_result(seconds(1), &Action::Stop(older.clone()), ActionResult::Done);
    tasks.apply_list(
        seconds(2),
        seconds(2),
        &list(seconds(2), vec![listed_task(older.clone(), None)]),
    );
    assert!(starts(&tasks.actions(seconds(2))).is_empty(), "started before the confirmation");
    let gone = listed_task(older, Some(WorkerOutcome::Stopped { checkpoint: None }));
    tasks.apply_list(seconds(3), seconds(3), &list(seconds(3), vec![gone]));
    assert_eq!(starts(&tasks.actions(seconds(3))), [newer]);
}

/// Guards against results that are dropped before the owner commits them, or never removed from the
/// worker.
#[test]
fn result_is_repeated_until_acknowledged_and_then_removed() {
    let done = listed_task(id(0, 1, 1), Some(WorkerOutcome::Completed));
    let mut tasks = adopted(seconds(1), vec![done.clone()]);
    for second in 1..4 {
        let report = tasks.report(seconds(second), 0).unwrap();
        assert_eq!(report.results.len(), 1);
        tasks.apply_orders(seconds(second), orders(&report, 1, Vec::new()));
        assert!(tasks.actions(seconds(second)).is_empty(), "removed before the commit");
    }
    let report = tasks.report(seconds(4), 0).unwrap();
    let mut reply = orders(&report, 1, Vec::new());
    reply.acknowledged.push(id(0, 1, 1));
    tasks.apply_orders(seconds(4), reply);
    tasks.apply_list(seconds(5), seconds(5), &list(seconds(5), vec![done]));
    assert!(tasks.report(seconds(5), 0).unwrap().results.is_empty(), "reported again");
    assert_eq!(tasks.actions(seconds(5)), [Action::Remove(id(0, 1, 1))]);
}

/// Guards against reports that exceed the frame limit, and against delayed results that the owner
/// considers lost.
#[test]
fn results_that_do_not_fit_are_reported_as_running() {
    let checkpoint = Some("x".repeat(100 * 1024));
    let ended = |task| {
        let outcome = WorkerOutcome::Stopped { checkpoint: checkpoint.clone() };
        listed_task(id(task, 1, 1), Some(outcome))
    };
    let mut tasks = adopted(seconds(1), (0..20).map(ended).collect());
    let report = tasks.report(seconds(1), 0).unwrap();
    assert_eq!((report.results.len(), report.running.len()), (5, 15));
}

/// Guards against a draining agent that accepts starts or fails to hand tasks back.
#[test]
fn drain_refuses_starts_and_hands_tasks_back() {
    let mut tasks = adopted(seconds(1), vec![listed_task(id(0, 1, 1), None)]);
    tasks.drain();
    assert!(!tasks.is_drained());
    let report = tasks.report(seconds(1), 0).unwrap();
    tasks.apply_orders(seconds(1), orders(&report, 1, vec![start(id(1, 1, 2))]));
    assert_eq!(tasks.actions(seconds(1)), [Action::Checkpoint(id(0, 1, 1))]);
    let checkpoint = Some("c".to_owned());
    let gone = listed_task(id(0, 1, 1), Some(WorkerOutcome::Stopped { checkpoint }));
    tasks.apply_list(seconds(2), seconds(2), &list(seconds(2), vec![gone]));
    let report = tasks.report(seconds(2), 0).unwrap();
    assert!(refused(&report, &id(1, 1, 2)));
    let evicted = Outcome::Evicted { checkpoint: Some(Bytes::from_static(b"c")) };
    assert!(report.results.iter().any(|result| result.outcome == evicted));
    let mut reply = orders(&report, 1, Vec::new());
    reply.acknowledged = report.results.iter().map(|result| result.attempt.clone()).collect();
    tasks.apply_orders(seconds(2), reply);
    assert!(tasks.is_drained());
}
