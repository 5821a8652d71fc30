//! Tests of the agent's state machine.

use std::time::Duration;

use peridotfold_core::flow::message::{
    AgentMessage, End, EndKind, OwnerMessage, Running, Start, TaskTraits, WorkerInfo,
};
use peridotfold_core::flow::model::TaskId;
use peridotfold_core::flow::node::{Action, AgentState, Call, Outcome};
use peridotfold_core::resources::Resources;

use crate::support::ms;

const TASK: TaskId = TaskId { job: 7, occurrence: 0, step: 0, index: 0 };

fn worker() -> WorkerInfo {
    WorkerInfo {
        id: "life-1".to_owned(),
        service: "svc".to_owned(),
        zone: "zone".to_owned(),
        capacity: Resources::new(1_000, 1_000, 0),
        labels: Vec::new(),
        draining: false,
        remaining: None,
    }
}

fn start(run: u32) -> OwnerMessage {
    OwnerMessage::Start(Box::new(Start {
        task: TASK,
        run,
        command: "run".to_owned(),
        checkpoint: String::new(),
        ticket: String::new(),
        traits: TaskTraits::default(),
        weights: Vec::new(),
    }))
}

/// Returns an agent that has attached its worker in a session with this token.
fn attached(token: u64) -> AgentState {
    let mut node = AgentState::default();
    node.heartbeat(ms(1), worker(), 1);
    node.receive(ms(1), OwnerMessage::Welcome { token, entries: Vec::new() });
    node.listed(ms(2), "life-1", token, 1_000, Vec::new(), Vec::new());
    node.listed(ms(3), "life-1", token, 1_000, Vec::new(), Vec::new());
    let permission = Duration::from_secs(6);
    node.receive(
        ms(4),
        OwnerMessage::Pong { sent: ms(4), permission, entries: Vec::new(), weights: Vec::new() },
    );
    node
}

/// Takes the agent's actions and returns its calls to the worker.
fn calls(node: &mut AgentState) -> Vec<Call> {
    let actions = node.take_actions().into_iter();
    actions.filter_map(|a| if let Action::Call(call) = a { Some(call) } else { None }).collect()
}

/// Guards against a start that is carried out late, after its answer was lost and the task was
/// moved to another worker. The agent gives the start up only after the worker has received a
/// higher token.
#[test]
fn an_unanswered_start_is_given_up_only_after_a_listing_under_a_higher_token() {
    let mut node = attached(100);
    node.receive(ms(5), start(1));
    node.take_actions();
    node.started(ms(1_005), "life-1", TASK, 1, Outcome::Unclear);
    let listings = calls(&mut node);
    assert!(matches!(listings[..], [Call::List { token: 101, .. }]), "{listings:?}");
    // A listing with the old token does not show that the start will be refused.
    node.listed(ms(1_006), "life-1", 100, 2_000, Vec::new(), Vec::new());
    let is_given_up = |node: &mut AgentState| {
        node.take_actions()
            .iter()
            .any(|a| matches!(a, Action::Send(AgentMessage::NotStarted { .. })))
    };
    assert!(!is_given_up(&mut node));
    node.listed(ms(1_010), "life-1", 101, 2_005, Vec::new(), Vec::new());
    assert!(is_given_up(&mut node));
}

/// Guards against a start after the permission has expired, for example because the owner is lost.
#[test]
fn nothing_starts_after_the_permission_has_run_out() {
    let mut node = attached(100);
    node.take_actions();
    node.receive(ms(6_100), start(1));
    let is_start = |call: &Call| matches!(call, Call::Start { .. });
    assert!(!calls(&mut node).iter().any(is_start));
}

/// Guards against a worker with a slow clock that continues to run tasks after the owner may have
/// moved them: the deadline sent to the worker must pass before the permission expires.
#[test]
fn a_start_deadline_passes_before_the_permission_on_a_slow_clock() {
    let mut node = attached(100);
    node.receive(ms(10), start(1));
    let start_deadline = calls(&mut node).into_iter().find_map(|call| match call {
        Call::Start { deadline, .. } => Some(deadline),
        _ => None,
    });
    // The worker's clock showed 1,000 ms at 3 ms, and the permission expires at 6,004 ms.
    let slow_clock_at_end = 1_000 + (6_004 - 3) * 98 / 100;
    assert!(
        start_deadline.is_some_and(|deadline| deadline <= slow_clock_at_end),
        "{start_deadline:?}"
    );
}

/// Guards against a job that counts as begun because of an order, and against one that never does: the
/// owner is told once that a worker has begun a run, after the answer to the order or else a listing.
#[test]
fn a_start_is_reported_once_the_worker_has_confirmed_it() {
    let reports = |node: &mut AgentState, at: u64| -> Vec<AgentMessage> {
        node.poll(ms(at));
        let is_report = |action: Action| match action {
            Action::Send(message @ AgentMessage::Started { .. }) => Some(message),
            _ => None,
        };
        node.take_actions().into_iter().filter_map(is_report).collect()
    };
    let report = vec![AgentMessage::Started { rows: vec![(TASK, 1)] }];
    let mut node = attached(100);
    node.receive(ms(5), start(1));
    assert_eq!(reports(&mut node, 1_100), vec![], "the order is not answered");
    let mut answered = attached(100);
    answered.receive(ms(5), start(1));
    answered.started(ms(10), "life-1", TASK, 1, Outcome::Done);
    assert_eq!(reports(&mut answered, 1_100), report);
    assert_eq!(reports(&mut answered, 2_200), vec![], "the owner knows");
    let mut rejected = attached(100);
    rejected.receive(ms(5), start(1));
    rejected.started(ms(10), "life-1", TASK, 1, Outcome::Refused("status 503".to_owned()));
    assert_eq!(reports(&mut rejected, 1_100), vec![]);
    node.started(ms(1_105), "life-1", TASK, 1, Outcome::Unclear);
    assert_eq!(reports(&mut node, 2_200), vec![], "the answer is lost");
    let listed = Running { task: TASK, run: 1, checkpoint: String::new(), percent: 0, load: 0 };
    node.listed(ms(2_300), "life-1", 101, 3_000, vec![listed], Vec::new());
    assert_eq!(reports(&mut node, 3_300), report);
}

/// Guards against ends that are reported to the owner twice or not at all.
#[test]
fn ends_are_passed_on_once_and_acknowledged_after_the_owner() {
    let mut node = attached(100);
    node.take_actions();
    let end = End { number: 1, task: TASK, run: 1, kind: EndKind::Done, checkpoint: String::new() };
    let mut passed = 0;
    for at in [20, 120] {
        node.listed(ms(at), "life-1", 100, 1_100, Vec::new(), vec![end.clone()]);
        let is_end = |a: &Action| matches!(a, Action::Send(AgentMessage::Ends { .. }));
        passed += node.take_actions().iter().filter(|action| is_end(action)).count();
    }
    assert_eq!(passed, 1);
    node.receive(ms(130), OwnerMessage::Seen { worker: "life-1".to_owned(), number: 1 });
    node.poll(ms(300));
    let acknowledged = calls(&mut node).into_iter().find_map(|call| match call {
        Call::List { acknowledged, .. } => Some(acknowledged),
        _ => None,
    });
    assert_eq!(acknowledged, Some(1));
}

/// Guards against a stalled task on a worker that is otherwise healthy.
#[test]
fn a_task_without_progress_is_reported_once() {
    let mut node = attached(100);
    node.receive(ms(5), start(1));
    node.started(ms(6), "life-1", TASK, 1, Outcome::Done);
    let mut reports = 0;
    for at in 1..8 {
        let row = Running { task: TASK, run: 1, checkpoint: String::new(), percent: 10, load: 0 };
        node.listed(ms(at * 1_000), "life-1", 100, 1_000 + at * 1_000, vec![row], Vec::new());
        let is_report = |a: &Action| matches!(a, Action::Send(AgentMessage::Stalled { .. }));
        reports += node.take_actions().iter().filter(|action| is_report(action)).count();
    }
    assert_eq!(reports, 1);
}
