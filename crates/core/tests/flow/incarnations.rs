//! Tests of workers that restart under the ID that they had.

use peridotfold_core::flow::message::{
    AgentMessage, LostRun, OwnerMessage, Running, Start, TaskTraits, Token, WorkerInfo,
};
use peridotfold_core::flow::model::{Step, TaskId};
use peridotfold_core::flow::node::{Action, AgentState, Call, Outcome};
use peridotfold_core::resources::Resources;

use crate::support::{job, ms, step, World};

const TASK: TaskId = TaskId { job: 7, occurrence: 0, step: 0, index: 0 };
const OTHER: TaskId = TaskId { index: 1, ..TASK };
const TOKEN: Token = 1 << 32;

fn info(id: &str) -> WorkerInfo {
    WorkerInfo {
        id: id.to_owned(),
        service: "svc".to_owned(),
        zone: "zone".to_owned(),
        capacity: Resources::new(1_000, 1_000, 0),
        labels: Vec::new(),
        draining: false,
        remaining: None,
    }
}

fn row(task: TaskId) -> Running {
    Running { task, run: 1, checkpoint: String::new(), percent: 0, load: 0 }
}

/// Starts a task on an agent's worker. The start is answered if `is_answered`.
fn start(agent: &mut AgentState, at: u64, task: TaskId, is_answered: bool) {
    let (command, checkpoint, ticket) = ("run".to_owned(), String::new(), String::new());
    let (traits, weights) = (TaskTraits::default(), Vec::new());
    let order = Start { task, run: 1, command, checkpoint, ticket, traits, weights };
    agent.receive(ms(at), OwnerMessage::Start(Box::new(order)));
    if is_answered {
        agent.started(ms(at), "w#1", task, 1, Outcome::Done);
    }
}

/// Returns an agent that has attached the worker `w#1` at 2 ms.
fn attached() -> AgentState {
    let mut agent = AgentState::default();
    agent.heartbeat(ms(1), info("w#1"), 9);
    agent.receive(ms(1), OwnerMessage::Welcome { token: TOKEN, entries: Vec::new() });
    agent.listed(ms(2), "w#1", TOKEN, 1_000, Vec::new(), Vec::new());
    let (sent, permission, weights) = (ms(1), ms(6_000), Vec::new());
    agent.receive(ms(2), OwnerMessage::Pong { sent, permission, entries: Vec::new(), weights });
    agent.take_actions();
    agent
}

/// Takes the agent's actions. Returns its reports on workers and the worker and token of its last request for
/// a listing.
fn take(agent: &mut AgentState) -> (Vec<AgentMessage>, Option<(String, Token)>) {
    let (mut reports, mut listing) = (Vec::new(), None);
    for action in agent.take_actions() {
        match action {
            Action::Send(
                AgentMessage::Ping { .. }
                | AgentMessage::Checkpoints { .. }
                | AgentMessage::Started { .. },
            ) => {}
            Action::Send(report) => reports.push(report),
            Action::Call(Call::List { worker, token, .. }) => listing = Some((worker, token)),
            _ => {}
        }
    }
    (reports, listing)
}

fn crash(runs: Vec<LostRun>) -> AgentMessage {
    AgentMessage::Crashed { worker: "w#1".to_owned(), runs }
}

fn attach(id: &str, running: Vec<Running>) -> AgentMessage {
    AgentMessage::Attach { worker: Some(info(id)), running, ends: Vec::new() }
}

/// Guards against a task that is started elsewhere while its run, whose start was answered or not, goes on in
/// the next incarnation: that one is listed under a higher token first, and reported with its runs at once.
#[test]
fn a_restart_is_reported_with_the_runs_of_the_next_incarnation() {
    for is_answered in [true, false] {
        let mut agent = attached();
        start(&mut agent, 90, TASK, is_answered);
        start(&mut agent, 95, OTHER, true);
        take(&mut agent);
        agent.list_failed(ms(100), "w#1", TOKEN, &Outcome::OtherLife);
        agent.poll(ms(900));
        assert_eq!(take(&mut agent), (vec![], None));
        agent.heartbeat(ms(1_000), info("w#2"), 1);
        let (reports, listing) = take(&mut agent);
        let Some((worker, token)) = listing else { panic!("no listing") };
        assert_eq!((reports, worker.as_str()), (vec![], "w#2"));
        assert!(token > TOKEN, "a late copy of the order is not refused");
        start(&mut agent, 1_005, TaskId { index: 2, ..TASK }, false);
        let (reports, _) = take(&mut agent);
        assert!(matches!(reports[..], [AgentMessage::NotStarted { .. }]), "{reports:?}");
        agent.listed(ms(1_010), "w#2", token, 1_000, vec![row(TASK)], Vec::new());
        let lost = LostRun { task: OTHER, run: 1, age: ms(0) };
        let (reports, _) = take(&mut agent);
        let [first, AgentMessage::Crashed { worker, runs }] = &reports[..] else {
            panic!("{reports:?}")
        };
        assert_eq!((first, worker.as_str()), (&attach("w#2", vec![row(TASK)]), "w#1"));
        assert_eq!((runs.len(), runs[0].task), (1, lost.task));
        agent.started(ms(1_020), "w#1", TASK, 1, Outcome::Unclear);
        assert_eq!(take(&mut agent).0, []);
    }
}

/// Guards against a recovery that waits for the restart although every start was answered, and against runs
/// that are given up at once although a start was not.
#[test]
fn an_exit_is_held_only_while_a_start_is_unanswered() {
    for (is_answered, held_until) in [(true, 0), (false, 11_000)] {
        let mut agent = attached();
        start(&mut agent, 90, TASK, is_answered);
        take(&mut agent);
        agent.list_failed(ms(100), "w#1", TOKEN, &Outcome::NotThere);
        agent.list_failed(ms(300), "w#1", TOKEN, &Outcome::NotThere);
        let mut at = 300;
        while at < 20_000 && !matches!(take(&mut agent).0[..], [AgentMessage::Crashed { .. }]) {
            at += 10;
            agent.poll(ms(at));
        }
        assert_eq!(at, 300 + held_until, "is_answered={is_answered}");
    }
}

/// Guards against a report that is lost with the session, after which the owner would learn of the crash
/// before it knows which runs go on.
#[test]
fn a_lost_report_is_repeated_in_the_same_order() {
    let mut agent = attached();
    start(&mut agent, 90, TASK, false);
    agent.list_failed(ms(100), "w#1", TOKEN, &Outcome::OtherLife);
    agent.disconnected();
    agent.heartbeat(ms(200), info("w#2"), 1);
    for epoch in 2..4 {
        agent.disconnected();
        take(&mut agent);
        let token = epoch << 32;
        agent.receive(ms(epoch * 500), OwnerMessage::Welcome { token, entries: Vec::new() });
        assert_eq!(take(&mut agent), (vec![], Some(("w#2".to_owned(), token))));
        agent.listed(ms(epoch * 500 + 5), "w#2", token, 1_000, vec![row(TASK)], Vec::new());
        assert_eq!(take(&mut agent).0, [attach("w#2", vec![row(TASK)]), crash(vec![])]);
    }
}

/// Guards against a worker that is replaced or described by a delayed heartbeat of its former incarnation, or
/// by one of another writer, and against one that an invented incarnation blocks.
#[test]
fn stale_and_foreign_heartbeats_are_ignored() {
    let mut agent = attached();
    agent.heartbeat(ms(10), info("w#2"), 1);
    agent.listed(ms(11), "w#2", TOKEN + 1, 1_000, Vec::new(), Vec::new());
    take(&mut agent);
    for round in 0..50 {
        for id in ["w#1", "w"] {
            agent.heartbeat(ms(20), WorkerInfo { draining: true, ..info(id) }, 100 + round);
        }
    }
    let actions = agent.take_actions();
    let is_log =
        |action: &&Action| matches!(action, Action::Log(d) if d.event == "heartbeat_ignored");
    assert_eq!(actions.iter().filter(is_log).count(), 2, "{actions:?}");
    assert!(!actions.iter().any(|action| matches!(action, Action::Send(_))), "{actions:?}");
    agent.heartbeat(ms(30), info("w#18446744073709551615"), 1);
    let (_, listing) = take(&mut agent);
    let (worker, token) = listing.expect("the candidate is listed");
    agent.list_failed(ms(31), &worker, token, &Outcome::OtherLife);
    agent.poll(ms(300));
    let (reports, listing) = take(&mut agent);
    assert_eq!((reports, listing.map(|listing| listing.0)), (vec![], Some("w#2".to_owned())));
}

/// Guards against a worker that is given up, or taken for crashed, because a deregistration without an
/// incarnation, or of the former one, arrives.
#[test]
fn a_deregistration_without_incarnation_asks_the_worker() {
    let mut agent = attached();
    start(&mut agent, 5, TASK, true);
    agent.listed(ms(10), "w#1", TOKEN, 1_010, vec![row(TASK)], Vec::new());
    take(&mut agent);
    agent.deregister(ms(20), "w#0");
    assert_eq!(take(&mut agent), (vec![], None));
    agent.deregister(ms(30), "w");
    assert_eq!(take(&mut agent), (vec![], Some(("w#1".to_owned(), TOKEN))));
    agent.listed(ms(31), "w#1", TOKEN, 1_031, vec![row(TASK)], Vec::new());
    assert_eq!(take(&mut agent).0, []);
    agent.deregister(ms(40), "w");
    agent.list_failed(ms(41), "w#1", TOKEN, &Outcome::NotThere);
    agent.list_failed(ms(250), "w#1", TOKEN, &Outcome::NotThere);
    assert_eq!(take(&mut agent).0, [AgentMessage::Gone { worker: "w#1".to_owned() }]);
    let mut agent = attached();
    agent.deregister(ms(20), "w#1");
    assert_eq!(take(&mut agent).0, [AgentMessage::Gone { worker: "w#1".to_owned() }]);
}

/// Guards against a request that the next incarnation gets in place of the former one, and that acknowledges
/// ends of its own or permits runs there that the owner does not know.
#[test]
fn a_repeated_listing_acknowledges_and_permits_nothing() {
    let mut agent = attached();
    agent.receive(ms(10), OwnerMessage::Seen { worker: "w#1".to_owned(), number: 5 });
    agent.poll(ms(100));
    agent.list_failed(ms(110), "w#1", TOKEN, &Outcome::Unclear);
    agent.take_actions();
    agent.poll(ms(400));
    let actions = agent.take_actions();
    let is_empty = |action: &Action| {
        matches!(action, Action::Call(Call::List { acknowledged: 0, deadline: None, .. }))
    };
    assert!(actions.iter().any(is_empty), "{actions:?}");
}

/// Guards against a token that runs into the range of the next session, whose orders the worker would refuse.
#[test]
fn a_session_without_higher_tokens_is_replaced() {
    let mut agent = AgentState::default();
    let token = TOKEN + (1 << 12) - 1;
    agent.receive(ms(1), OwnerMessage::Welcome { token, entries: Vec::new() });
    agent.heartbeat(ms(1), info("w#1"), 1);
    agent.listed(ms(2), "w#1", token, 1_000, Vec::new(), Vec::new());
    agent.heartbeat(ms(3), info("w#2"), 1);
    assert!(agent.take_actions().contains(&Action::Reconnect));
}

/// Returns a world with two workers that name their incarnations and two tasks on the first, the workers'
/// index, and the lost run.
fn restarted() -> (World, usize, LostRun) {
    let mut world = World::new(2, 2_000);
    for index in 0..2 {
        world.workers[index].info.id = format!("w-{index}#1");
        world.connect(index);
        world.attach(index);
    }
    world.submit(1, job(5, vec![step(4, 1_000, 60_000)]));
    world.settle();
    let index = world.running()[0].0;
    let lost = *world.workers[index].running.keys().next().expect("a run");
    let lost = world.workers[index].running.remove(&lost).expect("a run");
    world.workers[index].info.id = format!("w-{index}#2");
    let lost = LostRun { task: lost.task, run: lost.run, age: ms(20) };
    (world, index, lost)
}

fn report(world: &mut World, index: usize, runs: Vec<LostRun>) {
    let (slot, session) = (world.workers[index].slot, world.workers[index].session);
    let crashed = AgentMessage::Crashed { worker: format!("w-{index}#1"), runs };
    world.owner.receive(world.now, slot, session, crashed);
    world.settle();
}

/// Returns the suspects of each recorded crash of a worker, from the store.
fn suspects(world: &World) -> Vec<Vec<TaskId>> {
    let crashes = world.commits.iter().rev().find_map(|commit| commit.crashes.clone());
    let tasks = |crash: peridotfold_core::flow::crashes::Crash| {
        crash.suspects.into_iter().map(|lost| lost.task).collect()
    };
    crashes.unwrap_or_default().into_iter().map(tasks).collect()
}

/// Guards against a run that is started again, or suspected, although it goes on in the next incarnation, and
/// against a lost one that is neither requeued nor suspected, or suspected twice. The agent may have reported
/// in the same session, in a new one, or to a successor of the owner.
#[test]
fn the_owner_adopts_what_the_next_incarnation_lists_and_requeues_the_rest() {
    for sessions in 0..3 {
        let (mut world, index, lost) = restarted();
        let before = world.started.len();
        match sessions {
            0 => {}
            1 => world.connect(index),
            _ => {
                world.take_over(&[(1, job(5, vec![step(4, 1_000, 60_000)]))]);
                world.attach(1 - index);
            }
        }
        world.attach(index);
        world.settle();
        if sessions == 0 {
            assert!(suspects(&world).is_empty(), "recorded before the agent's report");
        }
        report(&mut world, index, vec![lost.clone()]);
        world.advance(ms(100));
        report(&mut world, index, vec![lost.clone()]);
        world.advance(ms(4_000));
        let started: Vec<TaskId> = world.started[before..].iter().map(|start| start.2).collect();
        assert_eq!(started, [lost.task], "case {sessions}");
        assert_eq!(suspects(&world), [vec![lost.task]], "case {sessions}");
        assert!(world.stopped.is_empty(), "{:?}", world.stopped);
        assert_eq!(world.running().len(), 4, "case {sessions}");
    }
}

/// Guards against a gang that is stopped although its runs go on in the next incarnation.
#[test]
fn a_gang_that_goes_on_in_the_next_incarnation_is_not_stopped() {
    let mut world = World::new(2, 1_000);
    for index in 0..2 {
        world.workers[index].info.id = format!("w-{index}#1");
        world.connect(index);
        world.attach(index);
    }
    world.submit(1, job(5, vec![Step { gang: true, ..step(2, 1_000, 60_000) }]));
    world.settle();
    assert_eq!(world.running().len(), 2);
    world.workers[0].info.id = "w-0#2".to_owned();
    world.attach(0);
    world.advance(ms(1_000));
    assert!(world.stopped.is_empty(), "{:?}", world.stopped);
    assert_eq!(world.started.len(), 2);
}
