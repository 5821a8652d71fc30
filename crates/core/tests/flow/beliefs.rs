//! Tests that the owner and the agents do not believe in runs that no worker has, and do not give up
//! runs that a worker still has.

use peridotfold_core::flow::message::{
    AgentMessage, End, EndKind, OwnerMessage, Pressure, Running, Start, TaskTraits, WorkerInfo,
    MAX_LISTED_ENDS,
};
use peridotfold_core::flow::model::{Step, TaskId};
use peridotfold_core::flow::node::{Action, AgentState, Call, Outcome};
use peridotfold_core::flow::owner::{Effect, UNKNOWN_NODE};
use peridotfold_core::resources::Resources;

use crate::support::{job, ms, step, World, PERMISSION};

const TASK: TaskId = TaskId { job: 7, occurrence: 0, step: 0, index: 0 };

fn life(id: &str) -> WorkerInfo {
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

fn listed_run(run: u32) -> Running {
    Running { task: TASK, run, checkpoint: String::new(), percent: 0, load: 0 }
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

/// Returns the answer to a ping that the agent sent at `sent` milliseconds.
fn pong(sent: u64) -> OwnerMessage {
    let (entries, weights) = (Vec::new(), Vec::new());
    OwnerMessage::Pong { sent: ms(sent), permission: PERMISSION, entries, weights }
}

/// Takes the agent's actions and returns the messages to the owner that `pick` selects.
fn sent(agent: &mut AgentState, pick: impl Fn(&AgentMessage) -> bool) -> Vec<AgentMessage> {
    let messages = agent.take_actions().into_iter().filter_map(|action| match action {
        Action::Send(message) => Some(message),
        _ => None,
    });
    messages.filter(pick).collect()
}

/// Guards against a run that counts as running for ever, after the machine of its worker has
/// restarted without the worker: the new agent pings the owner but has nothing to report.
#[test]
fn a_run_is_given_up_if_its_agent_returns_without_the_worker() {
    let mut world = World::new(2, 1_000);
    world.submit(7, job(1, vec![step(1, 500, 60_000)]));
    let (index, task) = world.running()[0];
    world.workers[index].running.clear();
    world.connect(index);
    world.advance(PERMISSION + ms(1_000));
    let running = world.running();
    assert_eq!(running, [(1 - index, task)], "the task has no run on the other worker");
}

/// Guards against a run that outlives the takeover in which its worker was given up: a pong extends
/// the permission of a worker whose runs the owner does not know yet.
#[test]
fn an_agent_gets_no_permission_before_it_has_reported() {
    let mut world = World::new(1, 1_000);
    world.submit(7, job(1, vec![step(1, 500, 60_000)]));
    world.take_over(&[(7, job(1, vec![step(1, 500, 60_000)]))]);
    world.owner.take_effects();
    let (slot, session) = (world.workers[0].slot, world.workers[0].session);
    let ping = AgentMessage::Ping {
        sent: world.now,
        pressure: Pressure::default(),
        samples: Vec::new(),
        baselines: Vec::new(),
    };
    let grants = |world: &mut World| -> Vec<_> {
        let effects = world.owner.take_effects().into_iter();
        let permission = |effect| match effect {
            Effect::Send { message: OwnerMessage::Pong { permission, .. }, .. } => Some(permission),
            _ => None,
        };
        effects.filter_map(permission).collect()
    };
    world.owner.receive(world.now, slot, session, ping);
    let before = grants(&mut world);
    // Zero would make the agent look for another owner.
    assert!(
        before.iter().all(|granted| !granted.is_zero() && *granted <= ms(1)),
        "granted {before:?} before the report"
    );
    world.attach(0);
    assert_eq!(grants(&mut world), [PERMISSION], "granted with the report");
}

/// Guards against a task that runs twice: an agent that has started again does not know the runs of
/// its worker yet, and must not say that one is not there.
#[test]
fn an_agent_that_has_not_listed_its_worker_does_not_deny_a_run() {
    let mut agent = AgentState::default();
    agent.receive(ms(1), OwnerMessage::Welcome { token: 100, entries: Vec::new() });
    agent.receive(ms(2), OwnerMessage::Stop { task: TASK, run: 1 });
    let denials = sent(&mut agent, |m| matches!(m, AgentMessage::NotStarted { .. }));
    assert!(denials.is_empty(), "the worker may have the run: {denials:?}");
    agent.heartbeat(ms(3), life("life-1"), 1);
    agent.listed(ms(4), "life-1", 100, 1_000, vec![listed_run(1)], Vec::new());
    let reports = sent(&mut agent, |m| matches!(m, AgentMessage::Attach { .. }));
    assert_eq!(reports.len(), 1);
    agent.receive(ms(5), OwnerMessage::Stop { task: TASK, run: 1 });
    agent.receive(ms(5), OwnerMessage::Stop { task: TASK, run: 2 });
    let denials = sent(&mut agent, |m| matches!(m, AgentMessage::NotStarted { run: 2, .. }));
    assert_eq!(denials.len(), 1, "a run that is not there is denied after the listing");
}

/// Guards against a run that nobody stops, because the agent had not reported when the owner ordered
/// the stop.
#[test]
fn a_stop_before_the_report_is_repeated_when_the_report_lists_the_run() {
    let mut world = World::new(2, 1_000);
    world.submit(7, job(3, vec![Step { gang: true, ..step(2, 900, 500) }]));
    world.connect(0);
    // The agent ignores what it receives before its report.
    let session = std::mem::replace(&mut world.workers[0].session, u32::MAX);
    world.end_all(EndKind::Failed, |task| task.index == 1);
    assert!(world.stopped.is_empty());
    world.workers[0].session = session;
    world.attach(0);
    world.settle();
    let stopped: Vec<_> = world.stopped.iter().map(|(task, run)| (task.index, *run)).collect();
    assert_eq!(stopped, [(0, 1)]);
    assert_eq!(world.running().len(), 2, "the gang starts again");
}

/// Guards against a task that runs on a worker for which it was not ordered, beside the run that
/// replaces it: the order was on its way when a new worker took the place of the lost one.
#[test]
fn a_start_for_a_lost_worker_is_not_carried_out_by_the_next_one() {
    let mut agent = AgentState::default();
    agent.heartbeat(ms(1), life("life-1"), 1);
    agent.receive(ms(1), OwnerMessage::Welcome { token: 100, entries: Vec::new() });
    agent.listed(ms(2), "life-1", 100, 1_000, Vec::new(), Vec::new());
    agent.receive(ms(3), pong(3));
    agent.heartbeat(ms(10), life("life-2"), 1);
    agent.take_actions();
    agent.listed(ms(11), "life-2", 100, 50, Vec::new(), Vec::new());
    let pings = sent(&mut agent, |m| matches!(m, AgentMessage::Ping { .. }));
    assert_eq!(pings.len(), 1, "a ping follows the report");
    // The owner sent this before it received the report of the new worker.
    agent.receive(ms(20), start(1));
    let actions = agent.take_actions();
    let is_start = |a: &Action| matches!(a, Action::Call(Call::Start { .. }));
    assert!(!actions.iter().any(is_start), "started on the wrong worker: {actions:?}");
    // The answer to the ping that followed the report shows that the owner knows the new worker.
    agent.receive(ms(30), pong(11));
    agent.receive(ms(31), start(2));
    assert!(agent.take_actions().iter().any(is_start), "an order for the new worker");
}

/// Answers the listings that an agent requests with this outcome for `duration` milliseconds.
/// Returns the time at which the agent reported the loss of the worker, and the latest deadline that
/// it gave the worker before.
fn fail_listings(
    agent: &mut AgentState,
    (from, duration): (u64, u64),
    outcome: &Outcome,
) -> (Option<u64>, u64) {
    let mut last_deadline = 0;
    for at in (from..from + duration).step_by(50) {
        agent.poll(ms(at));
        for action in agent.take_actions() {
            match action {
                Action::Send(AgentMessage::Gone { .. }) => return (Some(at), last_deadline),
                Action::Send(AgentMessage::Ping { sent, .. }) => {
                    agent.receive(ms(at), pong(sent.as_millis() as u64));
                }
                Action::Call(Call::List { worker, token, deadline, .. }) => {
                    last_deadline = last_deadline.max(deadline.unwrap_or(0));
                    agent.list_failed(ms(at), &worker, token, outcome);
                }
                _ => {}
            }
        }
    }
    (None, last_deadline)
}

/// Returns an agent whose worker has one run and the same clock.
fn agent_with_run() -> AgentState {
    let mut agent = AgentState::default();
    agent.heartbeat(ms(1), life("life-1"), 1);
    agent.receive(ms(1), OwnerMessage::Welcome { token: 100, entries: Vec::new() });
    agent.listed(ms(2), "life-1", 100, 2, vec![listed_run(1)], Vec::new());
    agent.receive(ms(3), pong(3));
    agent.take_actions();
    agent
}

/// Guards against a run that counts as running for ever on a worker that answers no listing, for
/// example because it is unhealthy and refuses all calls, although its permission has expired.
#[test]
fn the_runs_of_a_worker_that_does_not_answer_are_given_up_after_its_permission() {
    for outcome in [Outcome::Refused("status 503".to_owned()), Outcome::Unclear] {
        let mut agent = agent_with_run();
        let (gone_at, last_deadline) = fail_listings(&mut agent, (100, 12_000), &outcome);
        let gone_at = gone_at.unwrap_or_else(|| panic!("{outcome:?}: the loss is not reported"));
        // A slow clock reaches the deadline later.
        assert!(last_deadline * 100 / 98 <= gone_at, "{last_deadline} against {gone_at}");
        assert!(gone_at <= 100 + 9_200, "given up after {} ms", gone_at - 100);
    }
}

/// Guards against a run that counts as running for ever on a lost worker, because the next worker
/// has sent a heartbeat but answers no listing.
#[test]
fn the_runs_of_a_lost_worker_are_given_up_although_the_next_one_does_not_answer() {
    let mut agent = agent_with_run();
    agent.heartbeat(ms(50), life("life-2"), 1);
    let outcome = Outcome::Refused("status 503".to_owned());
    let (gone_at, _) = fail_listings(&mut agent, (100, 12_000), &outcome);
    assert!(gone_at.is_some(), "the loss of life-1 is not reported");
}

/// Guards against a worker that loses its runs although it only pauses.
#[test]
fn the_runs_of_a_worker_that_answers_again_are_kept() {
    let mut agent = agent_with_run();
    let (gone_at, _) = fail_listings(&mut agent, (100, 5_000), &Outcome::Unclear);
    assert_eq!(gone_at, None);
    agent.listed(ms(5_100), "life-1", 100, 5_100, vec![listed_run(1)], Vec::new());
    let deadlines = agent.take_actions().into_iter().filter_map(|action| match action {
        Action::Call(Call::List { deadline, .. }) => deadline,
        _ => None,
    });
    assert!(deadlines.max() > Some(9_000), "the permission is renewed");
    agent.receive(ms(5_101), start(1));
    let is_start = |a: &Action| matches!(a, Action::Call(Call::Start { .. }));
    assert!(agent.take_actions().iter().any(is_start));
}

/// Guards against ends that are listed for ever, because their acknowledgement was lost with the
/// session of the agent.
#[test]
fn ends_whose_acknowledgement_was_lost_are_acknowledged_again() {
    let mut world = World::new(1, 1_000);
    world.submit(1, job(3, vec![step(1, 600, 1_000)]));
    world.store_is_up = false;
    world.end_all(EndKind::Done, |_| true);
    // The record becomes durable while the agent is not connected.
    let (slot, session) = (world.workers[0].slot, world.workers[0].session);
    world.owner.disconnect(slot, session);
    world.store_is_up = true;
    world.settle();
    world.connect(0);
    world.attach(0);
    world.advance(ms(2_000));
    assert_eq!(world.workers[0].acknowledged, 1);
}

/// Guards against the members of a gang that wait in vain for one that did not start or is lost.
#[test]
fn a_gang_is_stopped_if_a_member_does_not_start_or_is_lost() {
    let lose = |world: &mut World, task, run| {
        let worker = &world.workers[0];
        let (slot, session, id) = (worker.slot, worker.session, worker.info.id.clone());
        let reason = "room".to_owned();
        [
            AgentMessage::NotStarted { task, run, reason },
            AgentMessage::Gone { worker: id.clone() },
            AgentMessage::Attach { worker: Some(life(&id)), running: Vec::new(), ends: Vec::new() },
        ]
        .map(|message| (slot, session, message))
    };
    for case in 0..3 {
        let mut world = World::new(2, 1_000);
        world.submit(7, job(3, vec![Step { gang: true, ..step(2, 900, 500) }]));
        let (_, _, member, run) = world.started.iter().copied().find(|s| s.1 == 0).unwrap();
        let (slot, session, message) = lose(&mut world, member, run)[case].clone();
        world.workers[0].running.clear();
        world.owner.receive(world.now, slot, session, message.clone());
        world.settle();
        let stopped: Vec<_> = world.stopped.iter().map(|(task, run)| (task.index, *run)).collect();
        assert_eq!(stopped, [(1 - member.index, 1)], "after {message:?}");
    }
}

/// Guards against a successor that waits for a node on which nothing runs: a late heartbeat of an
/// exited worker keeps the agent from its report.
#[test]
fn an_agent_reports_although_a_late_heartbeat_names_an_exited_worker() {
    let mut agent = agent_with_run();
    agent.deregister(ms(10), "life-1");
    agent.heartbeat(ms(20), life("life-1"), 7);
    agent.take_actions();
    agent.list_failed(ms(30), "life-1", 100, &Outcome::NotThere);
    agent.receive(ms(40), OwnerMessage::Welcome { token: 200, entries: Vec::new() });
    agent.list_failed(ms(45), "life-1", 200, &Outcome::NotThere);
    agent.poll(ms(50));
    let reports = sent(&mut agent, |m| matches!(m, AgentMessage::Attach { worker: None, .. }));
    assert_eq!(reports.len(), 1, "the agent does not report");
}

/// Guards against an agent that gives its session up because an older listing was overtaken by a
/// newer one.
#[test]
fn a_listing_that_a_newer_one_has_overtaken_does_not_end_the_session() {
    let mut agent = agent_with_run();
    agent.receive(ms(5), start(2));
    agent.started(ms(1_005), "life-1", TASK, 2, Outcome::Unclear);
    agent.take_actions();
    // The answer to the listing that was sent before the token was raised.
    agent.list_failed(ms(1_010), "life-1", 100, &Outcome::OldToken);
    let actions = agent.take_actions();
    assert!(!actions.contains(&Action::Reconnect), "{actions:?}");
    agent.list_failed(ms(1_020), "life-1", 101, &Outcome::OldToken);
    assert!(agent.take_actions().contains(&Action::Reconnect));
}

/// Guards against a task that is sent to and fro between two workers that refuse every start, while
/// a third one is idle. Such workers stay the emptiest ones.
#[test]
fn a_task_reaches_a_worker_beside_two_that_refuse_all_starts() {
    let mut world = World::new(3, 1_000);
    world.submit(7, job(3, vec![step(1, 500, 60_000)]));
    for _ in 0..100 {
        for index in 0..2 {
            world.reject_all(index, "status 503");
        }
        world.advance(ms(100));
    }
    let workers: Vec<_> = world.running().into_iter().map(|(index, _)| index).collect();
    let starts: Vec<_> = world.started.iter().map(|(_, index, ..)| *index).collect();
    assert_eq!(workers, [2], "{} starts, the first on {:?}", starts.len(), &starts[..8]);
}

/// Guards against starts that a worker refuses as old: a task whose starts were refused very often
/// has used up the run numbers of its owner's epoch, and those of the next epochs too.
#[test]
fn a_successor_uses_higher_run_numbers_after_many_refused_starts() {
    let mut world = World::new(1, 1_000);
    let spec = job(3, vec![step(1, 500, 60_000)]);
    world.submit(7, spec.clone());
    for _ in 0..1_100 {
        world.reject_all(0, "room");
        world.advance(ms(100));
    }
    let last = world.started.last().map(|(.., run)| *run);
    // The worker ends the last run; the successor has to start the task again.
    world.workers[0].running.clear();
    world.take_over(&[(7, spec)]);
    world.attach(0);
    world.settle();
    let next = world.started.last().map(|(.., run)| *run);
    assert!(next > last, "the predecessor's last run is {last:?}, the successor's first {next:?}");
}

/// Guards against a wait that counts anew with each rejected start, so that nothing tells of it and
/// the step never counts as starved.
#[test]
fn a_step_whose_starts_are_rejected_counts_as_waiting_all_the_while() {
    let mut world = World::new(1, 1_000);
    world.submit(7, job(3, vec![step(1, 500, 60_000)]));
    for _ in 0..40 {
        world.reject_all(0, "status 503");
        world.advance(ms(100));
    }
    let is_wait = |(event, _): &(&str, String)| matches!(*event, "step_waits" | "step_started");
    assert!(world.logs.iter().any(is_wait), "nothing tells of the wait");
}

/// Guards against a task that runs twice: its end stands behind those that the worker lists at once,
/// and the agent takes the run, which is not listed either, for lost.
#[test]
fn a_run_whose_end_may_not_be_listed_yet_is_not_given_up() {
    let mut agent = agent_with_run();
    let ends = |count: u64| -> Vec<End> {
        let end = |number| End {
            number,
            task: TaskId { job: 8, index: number as u32, ..TASK },
            run: 1,
            kind: EndKind::Done,
            checkpoint: String::new(),
        };
        (1..=count).map(end).collect()
    };
    agent.take_actions();
    let is_denied = |m: &AgentMessage| matches!(m, AgentMessage::NotStarted { task: TASK, .. });
    agent.listed(ms(9_000), "life-1", 100, 10_000, Vec::new(), ends(MAX_LISTED_ENDS as u64));
    assert_eq!(sent(&mut agent, is_denied), [], "the end may come with the next listing");
    agent.listed(ms(9_100), "life-1", 100, 10_100, Vec::new(), ends(3));
    assert_eq!(sent(&mut agent, is_denied).len(), 1, "all ends are listed");
}

/// Guards against a sound worker that gets no starts, because the listing after one without an answer
/// waits for an end as long as any other.
#[test]
fn the_listing_after_one_without_an_answer_does_not_wait() {
    let mut agent = agent_with_run();
    agent.poll(ms(1_000));
    agent.list_failed(ms(3_000), "life-1", 100, &Outcome::Unclear);
    agent.take_actions();
    agent.poll(ms(3_200));
    let waits: Vec<_> = agent
        .take_actions()
        .into_iter()
        .filter_map(|action| match action {
            Action::Call(Call::List { wait, .. }) => Some(wait),
            _ => None,
        })
        .collect();
    assert_eq!(waits, [ms(0)]);
}

/// Returns this many ends of tasks of another job.
fn other_ends(count: usize) -> Vec<End> {
    let end = |number: usize| End {
        number: number as u64,
        task: TaskId { job: 8, index: number as u32, ..TASK },
        run: 1,
        kind: EndKind::Done,
        checkpoint: String::new(),
    };
    (1..=count).map(end).collect()
}

/// Guards against tasks that run twice: a worker lists only some of its ends at once, and a successor
/// that takes them for all starts the tasks of the others again.
#[test]
fn a_successor_starts_nothing_again_whose_end_is_not_listed_yet() {
    let count = MAX_LISTED_ENDS as u32 + 2;
    let spec = job(3, vec![step(count, 1, 1_000)]);
    let mut world = World::new(2, 1_000);
    world.submit(7, spec.clone());
    let started = world.started.len();
    assert_eq!(started, count as usize, "all tasks run at once");
    // All of them end on one worker while no owner is connected.
    let moved = std::mem::take(&mut world.workers[1].running);
    world.workers[0].running.extend(moved);
    world.take_over(&[(7, spec)]);
    let (slot, session) = (world.workers[0].slot, world.workers[0].session);
    world.workers[0].session = u32::MAX;
    world.end_all(EndKind::Done, |_| true);
    world.workers[0].session = session;
    let all = world.workers[0].ends.clone();
    let info = world.workers[0].info.clone();
    let report = |ends: &[End]| AgentMessage::Attach {
        worker: Some(info.clone()),
        running: Vec::new(),
        ends: ends.to_vec(),
    };
    world.attach(1);
    world.owner.receive(world.now, slot, session, report(&all[..MAX_LISTED_ENDS]));
    world.advance(ms(500));
    let again = |world: &World| world.started.len() - started;
    assert_eq!(again(&world), 0, "started again before all ends were listed");
    assert_eq!(world.workers[0].acknowledged, MAX_LISTED_ENDS as u64, "the worker lists no more");
    world.owner.receive(world.now, slot, session, report(&all[MAX_LISTED_ENDS..]));
    world.advance(ms(500));
    assert_eq!(again(&world), 0);
    assert!(world.logs.iter().any(|(event, _)| *event == "job_completed"));
}

/// Guards against a report that an owner takes for complete although the worker lists more ends once
/// these are acknowledged.
#[test]
fn an_agent_is_attached_only_once_its_worker_has_listed_all_ends() {
    let mut agent = AgentState::default();
    agent.heartbeat(ms(1), life("life-1"), 1);
    agent.receive(ms(1), OwnerMessage::Welcome { token: 100, entries: Vec::new() });
    let ends = other_ends(MAX_LISTED_ENDS + 3);
    let (first, rest) = ends.split_at(MAX_LISTED_ENDS);
    let reports = |agent: &mut AgentState| -> Vec<usize> {
        let reports = sent(agent, |m| matches!(m, AgentMessage::Attach { .. }));
        let count = |message| match message {
            AgentMessage::Attach { ends, .. } => ends.len(),
            other => panic!("{other:?}"),
        };
        reports.into_iter().map(count).collect()
    };
    agent.listed(ms(2), "life-1", 100, 1_000, vec![listed_run(1)], first.to_vec());
    assert_eq!(reports(&mut agent), [MAX_LISTED_ENDS]);
    agent.listed(ms(60), "life-1", 100, 1_060, vec![listed_run(1)], first.to_vec());
    assert_eq!(reports(&mut agent), [0; 0], "the same ends are not sent twice");
    let number = MAX_LISTED_ENDS as u64;
    agent.receive(ms(70), OwnerMessage::Seen { worker: "life-1".to_owned(), number });
    agent.receive(ms(71), OwnerMessage::Stop { task: TASK, run: 9 });
    let denials = sent(&mut agent, |m| matches!(m, AgentMessage::NotStarted { .. }));
    assert!(denials.is_empty(), "denied before the report was complete: {denials:?}");
    agent.listed(ms(80), "life-1", 100, 1_080, vec![listed_run(1)], rest.to_vec());
    assert_eq!(reports(&mut agent), [3]);
    agent.receive(ms(81), OwnerMessage::Stop { task: TASK, run: 9 });
    let denials = sent(&mut agent, |m| matches!(m, AgentMessage::NotStarted { .. }));
    assert_eq!(denials.len(), 1);
}

/// Guards against an owner that does not hear of a capacity that has shrunk or grown, or of other labels,
/// since the agent connected.
#[test]
fn an_agent_passes_on_what_a_worker_says_of_itself() {
    let mut agent = AgentState::default();
    let token = 1 << 32;
    agent.heartbeat(ms(0), life("a"), 1);
    agent.receive(ms(0), OwnerMessage::Welcome { token, entries: Vec::new() });
    agent.listed(ms(1), "a", token, 1_000, Vec::new(), Vec::new());
    let is_change = |message: &AgentMessage| matches!(message, AgentMessage::Changed { .. });
    sent(&mut agent, is_change);
    agent.heartbeat(ms(1_000), life("a"), 2);
    assert_eq!(sent(&mut agent, is_change), [], "nothing has changed");
    let small = WorkerInfo { capacity: Resources::new(400, 1_000, 0), ..life("a") };
    let labelled = WorkerInfo { labels: vec!["b".to_owned()], ..small.clone() };
    for (sequence, info) in [(3, small), (4, labelled)] {
        agent.heartbeat(ms(1_000 * sequence), info.clone(), sequence);
        assert_eq!(sent(&mut agent, is_change), [AgentMessage::Changed { worker: info }]);
    }
    agent.heartbeat(ms(5_000), life("a"), 2);
    assert_eq!(sent(&mut agent, is_change), [], "a delayed heartbeat");
}

/// Guards against starts on a worker whose capacity has shrunk, and against one that stays small for ever.
#[test]
fn a_worker_gets_what_its_changed_capacity_has_room_for() {
    let mut world = World::new(1, 1_000);
    world.submit(7, job(1, vec![step(3, 300, 60_000)]));
    assert_eq!(world.running().len(), 3);
    world.resize(0, 700);
    world.submit(8, job(1, vec![step(2, 300, 60_000)]));
    world.end(0, TASK, EndKind::Done);
    world.settle();
    assert_eq!(world.running().len(), 2, "600 of 700 are in use");
    world.resize(0, 1_200);
    world.settle();
    assert_eq!(world.running().len(), 4);
}

/// Guards against a successor that starts tasks which may still run on nodes that it does not know of,
/// because its predecessor's list of nodes cannot be read, and against one that never starts any.
#[test]
fn a_successor_without_a_list_of_nodes_waits_for_all_permissions_to_expire() {
    let spec = job(2, vec![step(1, 9_000, 500)]);
    let mut world = World::new(2, 10_000);
    world.submit(7, spec.clone());
    assert_eq!(world.running().len(), 1);
    // The node that runs the task is cut off, and the other one does not know of it.
    let (lost, _) = world.running()[0];
    world.workers[lost].running.clear();
    world.take_over(&[(7, spec)]);
    world.owner.set_unknown_predecessor(world.now);
    world.started.clear();
    world.attach(1 - lost);
    world.advance(PERMISSION);
    assert!(world.started.is_empty(), "a permission may still last");
    let roster = world.commits.iter().rev().find_map(|commit| commit.roster.clone());
    let names = roster.expect("the list is written anew");
    assert!(names.contains(&UNKNOWN_NODE.to_owned()), "a second successor would not wait");
    world.advance(ms(1_000));
    assert_eq!(world.started.len(), 1);
    world.advance(ms(1_000));
    let roster = world.commits.iter().rev().find_map(|commit| commit.roster.clone());
    assert!(!roster.expect("written").contains(&UNKNOWN_NODE.to_owned()));
}
