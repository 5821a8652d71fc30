//! Reports of other writers under a worker's ID.

use peridotfold_core::flow::message::{AgentMessage, OwnerMessage, Start, TaskTraits, WorkerInfo};
use peridotfold_core::flow::model::TaskId;
use peridotfold_core::flow::node::{Action, AgentState, Call, Outcome};
use peridotfold_core::resources::Resources;

use crate::support::{job, ms, step, World};

const TOKEN: u64 = 100;
const TASK: TaskId = TaskId { job: 7, occurrence: 0, step: 0, index: 0 };
/// Interval of a worker's own reports.
const INTERVAL: u64 = 1_500;
/// Time after the report of another writer within which the worker's own reports count again.
const RECOVERY: u64 = 3 * INTERVAL;

fn worker() -> WorkerInfo {
    WorkerInfo {
        id: "w".to_owned(),
        service: "svc".to_owned(),
        zone: "zone".to_owned(),
        capacity: Resources::new(1_000, 1_000, 0),
        labels: Vec::new(),
        draining: false,
        remaining: None,
    }
}

fn draining() -> WorkerInfo {
    WorkerInfo { draining: true, ..worker() }
}

fn small() -> WorkerInfo {
    WorkerInfo { capacity: Resources::new(1, 1, 0), ..worker() }
}

/// Returns an agent whose worker has been listed; its first report has this description and sequence
/// number.
fn attached(info: WorkerInfo, sequence: u64) -> AgentState {
    let mut agent = AgentState::default();
    agent.heartbeat(ms(1), info, sequence);
    agent.receive(ms(1), OwnerMessage::Welcome { token: TOKEN, entries: Vec::new() });
    let list = |agent: &mut AgentState, at| {
        agent.listed(ms(at), "w", TOKEN, 1_000, Vec::new(), Vec::new());
    };
    list(&mut agent, 2);
    list(&mut agent, 3);
    agent.take_actions();
    agent
}

/// Takes the messages about the worker that the agent sends to the owner.
fn told(agent: &mut AgentState) -> Vec<AgentMessage> {
    let is_about = |action: Action| match action {
        Action::Send(message) => match message {
            AgentMessage::Changed { .. } | AgentMessage::Draining { .. } => Some(message),
            _ => None,
        },
        _ => None,
    };
    agent.take_actions().into_iter().filter_map(is_about).collect()
}

/// Tells whether the agent passes an order to start a task on to the worker at this time.
fn starts(agent: &mut AgentState, at: u64) -> bool {
    agent.listed(ms(at), "w", TOKEN, at, Vec::new(), Vec::new());
    let (sent, entries, weights) = (ms(at), Vec::new(), Vec::new());
    agent.receive(ms(at), OwnerMessage::Pong { sent, permission: ms(6_000), entries, weights });
    agent.take_actions();
    let start = Start {
        task: TASK,
        run: 1,
        command: "run".to_owned(),
        checkpoint: String::new(),
        ticket: String::new(),
        traits: TaskTraits::default(),
        weights: Vec::new(),
    };
    agent.receive(ms(at), OwnerMessage::Start(Box::new(start)));
    agent.take_actions().iter().any(|action| matches!(action, Action::Call(Call::Start { .. })))
}

/// Guards against a sound worker that gets no tasks for good after one report under its ID with a
/// sequence number far above its own. Seen as LOST in review case 3.
#[test]
fn a_report_far_ahead_of_the_workers_own_changes_nothing() {
    for other in [draining(), small()] {
        let mut agent = attached(worker(), 4);
        agent.heartbeat(ms(100), other, 1_000_000);
        assert_eq!(told(&mut agent), vec![]);
        agent.heartbeat(ms(1_500), small(), 5);
        assert_eq!(told(&mut agent), vec![AgentMessage::Changed { worker: small() }]);
        assert!(starts(&mut agent, 1_600));
    }
}

/// Guards against a worker whose own reports are ignored for good, because one of another writer has
/// a sequence number that could be the worker's, or came before the worker's first.
#[test]
fn the_workers_own_reports_count_again_soon() {
    for (is_first, ahead) in [(false, 1), (false, 50), (true, 50), (true, 1_000_000)] {
        for other in [draining(), small()] {
            let mut agent = match is_first {
                true => attached(other.clone(), 4 + ahead),
                false => attached(worker(), 4),
            };
            if !is_first {
                agent.heartbeat(ms(100), other, 4 + ahead);
            }
            agent.take_actions();
            let mut at = 200;
            for sequence in 5..8 {
                agent.heartbeat(ms(at), worker(), sequence);
                at += INTERVAL;
            }
            let case = format!("first: {is_first}, ahead: {ahead}");
            assert!(at <= 200 + RECOVERY);
            assert_eq!(
                told(&mut agent),
                vec![AgentMessage::Changed { worker: worker() }],
                "{case}"
            );
            assert!(starts(&mut agent, at), "{case}");
        }
    }
}

/// Guards against a worker that is leaving and gets tasks again because of its own earlier reports that
/// arrive late.
#[test]
fn late_reports_of_a_leaving_worker_change_nothing() {
    let mut agent = attached(worker(), 4);
    agent.heartbeat(ms(100), draining(), 10);
    assert!(matches!(told(&mut agent)[..], [AgentMessage::Draining { .. }]));
    for (at, sequence) in [(200, 7), (300, 8), (2_000, 9)] {
        agent.heartbeat(ms(at), worker(), sequence);
    }
    agent.heartbeat(ms(3_000), draining(), 11);
    agent.heartbeat(ms(4_000), worker(), 9);
    assert_eq!(told(&mut agent), vec![]);
    assert!(!starts(&mut agent, 4_100));
}

/// Guards against a worker that gets no orders for good because a report under its ID says that it has
/// restarted, while its own listings do not tell of restarts.
#[test]
fn a_restart_that_the_worker_does_not_list_is_not_believed() {
    let mut agent = attached(worker(), 4);
    agent.heartbeat(ms(100), WorkerInfo { id: "w#7".to_owned(), ..worker() }, 1);
    let listing = agent.take_actions().into_iter().find_map(|action| match action {
        Action::Call(Call::List { worker, token, .. }) if worker == "w#7" => Some(token),
        _ => None,
    });
    let token = listing.expect("the reported incarnation is listed");
    agent.list_failed(ms(110), "w#7", token, &Outcome::Unnamed);
    agent.heartbeat(ms(1_500), small(), 5);
    assert_eq!(told(&mut agent), vec![AgentMessage::Changed { worker: small() }]);
    let (_, call) = (agent.poll(ms(1_600)), agent.take_actions());
    drop(call);
    agent.listed(ms(1_610), "w", token, 1_610, Vec::new(), Vec::new());
    let (sent, entries, weights) = (ms(1_620), Vec::new(), Vec::new());
    agent.receive(ms(1_620), OwnerMessage::Pong { sent, permission: ms(6_000), entries, weights });
    assert!(starts(&mut agent, 1_700));
}

/// Guards against a worker that the owner takes for leaving for good, because of a report of another
/// writer, although the worker goes on reporting that it is ready.
#[test]
fn a_worker_that_is_ready_again_gets_tasks() {
    let mut world = World::new(1, 10_000);
    let info = world.workers[0].info.clone();
    let (slot, session) = (world.workers[0].slot, world.workers[0].session);
    let leaving = AgentMessage::Draining { worker: info.id.clone(), remaining: None };
    world.owner.receive(world.now, slot, session, leaving);
    world.settle();
    world.submit(7, job(2, vec![step(1, 1_000, 500)]));
    world.advance(ms(3_000));
    assert!(world.running().is_empty(), "the worker is leaving");
    world.owner.receive(world.now, slot, session, AgentMessage::Changed { worker: info });
    world.advance(ms(500));
    assert_eq!(world.running().len(), 1);
    let roster = world.commits.iter().rev().find_map(|commit| commit.roster.clone());
    assert_eq!(roster, Some(vec!["node-0".to_owned()]), "a successor has to wait for it");
}
