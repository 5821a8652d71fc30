//! Tests of the owner and the agent with tasks that crash the workers that start them.

use std::collections::BTreeSet;

use peridotfold_core::flow::crashes::{Crash, MAX_SUSPECT_AGE};
use peridotfold_core::flow::message::{
    AgentMessage, EndKind, LostRun, OwnerMessage, Start, TaskTraits, WorkerInfo,
};
use peridotfold_core::flow::model::{JobNumber, JobSpec, Step, TaskId};
use peridotfold_core::flow::node::{Action, AgentState, Call, Outcome};
use peridotfold_core::flow::progress::Phase;
use peridotfold_core::resources::Resources;
use peridotfold_core::time::Time;

use crate::support::{job, ms, step, World, PERMISSION};

/// The job whose first task crashes each worker that starts it.
const DEADLY: JobNumber = 1;
const CULPRIT: TaskId = TaskId { job: DEADLY, occurrence: 0, step: 0, index: 0 };

fn jobs() -> Vec<(JobNumber, JobSpec)> {
    let job = |number| (number, job(4, vec![step(3, 500, 60_000)]));
    (1..=6).map(job).collect()
}

/// Advances the clock by `time` in steps of 10 ms; workers crash under the culprit, and are back 2 s
/// later. Returns the number of runs that were lost with each crash.
fn play(world: &mut World, time: u64) -> Vec<usize> {
    let mut lost = Vec::new();
    let mut back: Vec<(Time, usize)> = Vec::new();
    for tick in 0..time / 10 {
        world.now += ms(10);
        if tick.is_multiple_of(10) {
            world.ping();
        }
        world.settle();
        let place = world.running().into_iter().find(|(_, task)| *task == CULPRIT);
        if let Some((index, _)) = place {
            world.now += ms(10);
            lost.push(world.workers[index].running.len());
            world.crash(index);
            back.push((world.now + ms(2_000), index));
        }
        let now = world.now;
        back.iter().filter(|(at, _)| *at <= now).for_each(|(_, index)| world.attach(*index));
        back.retain(|(at, _)| *at > now);
    }
    lost
}

/// Guards against a task that takes down one worker after the other, each with all its other runs.
#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    let mut world = World::new(4, 8_000);
    for (number, spec) in jobs() {
        world.submit(number, spec);
    }
    let lost = play(&mut world, 12_000);
    assert_eq!(lost.len(), 3, "crashes, with the runs lost in each: {lost:?}");
    assert_eq!(world.owner.phase(DEADLY), Some(Phase::Failed));
    for number in 2..=6 {
        assert_eq!(world.owner.phase(number), Some(Phase::Running), "job {number}");
    }
    assert_eq!(world.running().len(), 15, "all tasks of the other jobs run");
}

/// Guards against crashes of one task on empty workers, quickly one after the other, that pass for ones
/// with a common cause.
#[test]
fn crashes_under_a_suspect_that_runs_apart_have_no_common_cause() {
    let mut world = World::new(5, 8_000);
    world.submit(DEADLY, job(4, vec![step(1, 500, 60_000)]));
    let lost = play(&mut world, 3_000);
    assert_eq!(lost, [1, 1, 1], "crashes");
    assert_eq!(world.owner.phase(DEADLY), Some(Phase::Failed));
}

/// Guards against a worker that fails all tasks at once, and so clears a task that would have crashed it.
#[test]
fn a_suspect_that_fails_at_once_is_not_cleared() {
    let mut world = World::new(5, 8_000);
    world.submit(DEADLY, job(9, vec![step(1, 500, 60_000)]));
    assert_eq!(play(&mut world, 10).len(), 1);
    assert_eq!(world.running().len(), 1, "a suspect starts on an empty worker at once");
    let (index, task) = world.running()[0];
    world.now += ms(5);
    world.end(index, task, EndKind::Failed);
    world.settle();
    let later = play(&mut world, 9_000);
    assert_eq!(later.len(), 2, "crashes after the failure");
    assert_eq!(world.owner.phase(DEADLY), Some(Phase::Failed));
}

/// Guards against a successor that starts to count from zero.
#[test]
fn crashes_count_on_after_a_takeover() {
    let mut world = World::new(4, 8_000);
    for (number, spec) in jobs() {
        world.submit(number, spec);
    }
    let first = play(&mut world, 100);
    assert_eq!(first.len(), 1);
    world.take_over(&jobs());
    (0..4).for_each(|index| world.attach(index));
    let later = play(&mut world, 12_000);
    assert_eq!(later.len(), 2, "crashes after the takeover");
    assert_eq!(world.owner.phase(DEADLY), Some(Phase::Failed));
}

/// Guards against a crash that is counted twice because its report was repeated, and against a report
/// that is acknowledged before it is durable.
#[test]
fn a_repeated_report_of_a_crash_counts_once() {
    let mut world = World::new(2, 8_000);
    world.submit(DEADLY, job(4, vec![step(1, 500, 60_000)]));
    let (index, _) = world.running()[0];
    world.now += ms(10);
    let report = world.crash_report(index);
    world.store_is_up = false;
    world.crash(index);
    assert!(world.crash_acks.is_empty(), "acknowledged before the store has it");
    world.store_is_up = true;
    world.settle();
    assert_eq!(world.crash_acks.len(), 1);
    let (slot, session) = (world.workers[index].slot, world.workers[index].session);
    for _ in 0..3 {
        world.owner.receive(world.now, slot, session, report.clone());
        world.settle();
    }
    assert_eq!(world.owner.phase(DEADLY), Some(Phase::Running));
    assert_eq!(world.crash_acks.len(), 4, "each report is acknowledged");
}

/// Guards against a suspect that takes other work down with it, and against suspects that start together,
/// so that the next crash does not tell which one it was.
#[test]
fn suspects_start_one_at_a_time_and_apart_from_others() {
    let mut world = World::new(4, 8_000);
    for (number, spec) in jobs() {
        world.submit(number, spec);
    }
    let (index, _) = world.running()[0];
    world.now += ms(20);
    let suspects: BTreeSet<TaskId> = world.workers[index].running.keys().copied().collect();
    assert!(suspects.len() > 2, "{suspects:?}");
    world.crash(index);
    world.started.clear();
    world.submit(9, job(4, vec![step(12, 500, 60_000)]));
    for _ in 0..1_000 {
        world.now += ms(10);
        world.ping();
        world.settle();
    }
    let restarts: Vec<_> =
        world.started.iter().filter(|(_, _, task, _)| suspects.contains(task)).collect();
    assert_eq!(restarts.len(), suspects.len(), "each suspect runs again once: {restarts:?}");
    for (at, place, task, _) in &restarts {
        let near = world.started.iter().find(|(other, index, id, _)| {
            index == place && id != task && other.abs_diff(*at) <= MAX_SUSPECT_AGE
        });
        assert_eq!(near, None, "beside the start of {task} at {at:?}");
    }
}

/// Guards against an owner that panics on a stored or reported crash with tasks that no job has.
#[test]
fn a_crash_under_tasks_that_do_not_exist_is_ignored() {
    let mut world = World::new(2, 8_000);
    world.submit(DEADLY, job(4, vec![step(1, 500, 60_000)]));
    let strange = [
        TaskId { step: 7, ..CULPRIT },
        TaskId { index: 7, ..CULPRIT },
        TaskId { occurrence: 7, ..CULPRIT },
        TaskId { job: 7, ..CULPRIT },
    ];
    let suspects: Vec<LostRun> =
        strange.iter().map(|task| LostRun { task: *task, run: 1, age: ms(1) }).collect();
    let worker = "strange".to_owned();
    let crash = Crash { worker, suspects: suspects.clone(), is_common: false, has_culprit: false };
    world.owner.inherit_crashes(vec![crash]);
    let (slot, session) = (world.workers[0].slot, world.workers[0].session);
    let report = AgentMessage::Crashed { worker: "other".to_owned(), runs: suspects };
    world.owner.receive(world.now, slot, session, report);
    world.submit(2, job(4, vec![step(1, 500, 60_000)]));
    world.advance(ms(1_000));
    assert_eq!(world.running().len(), 2);
}

/// Guards against innocent jobs that are given up, or wait, on a day on which many workers crash.
#[test]
fn rounds_of_crashes_fail_no_job_and_delay_none_for_long() {
    for seed in 0..40 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut world = World::new(9, 8_000);
        let mut back: Vec<(Time, usize)> = Vec::new();
        let mut next_round = ms(500);
        let mut number = 0;
        for _ in 0..3_000 {
            world.now += ms(10);
            world.ping();
            if world.now < ms(27_000) && random.u8(0..20) == 0 {
                number += 1;
                let long_running = random.u8(0..8) == 0;
                let step = Step { long_running, ..step(random.u32(1..=6), 300, 1_000) };
                world.submit(number, job(4, vec![step]));
            }
            let is_over = |at: Time| world.now >= at + ms(1_000);
            let over: Vec<TaskId> = world
                .started
                .iter()
                .filter(|(at, ..)| is_over(*at))
                .map(|(_, _, task, _)| *task)
                .collect();
            let over: BTreeSet<TaskId> = over.into_iter().collect();
            let lasting = |task: &TaskId| {
                let rows = world.workers.iter().filter_map(|worker| worker.running.get(task));
                rows.into_iter().any(|start| start.traits.long_running)
            };
            let ends: Vec<(usize, TaskId)> = world
                .running()
                .into_iter()
                .filter(|(_, task)| over.contains(task) && !lasting(task))
                .collect();
            ends.into_iter().for_each(|(index, task)| world.end(index, task, EndKind::Done));
            if world.now >= next_round && world.now < ms(25_000) {
                next_round += ms(random.u64(1_000..4_000));
                let up: Vec<usize> =
                    (0..9).filter(|index| !back.iter().any(|(_, i)| i == index)).collect();
                for index in up.into_iter().filter(|_| random.u8(0..3) == 0) {
                    world.crash(index);
                    back.push((world.now + ms(2_000), index));
                }
            }
            let due: Vec<usize> =
                back.iter().filter(|(at, _)| *at <= world.now).map(|(_, i)| *i).collect();
            due.into_iter().for_each(|index| world.attach(index));
            back.retain(|(at, _)| *at > world.now);
            world.settle();
        }
        for job in 1..=number {
            let phase = world.owner.phase(job);
            assert_ne!(phase, Some(Phase::Failed), "seed {seed}: job {job}");
            let is_running = world.running().iter().any(|(_, task)| task.job == job);
            assert!(
                phase == Some(Phase::Completed) || is_running,
                "seed {seed}: job {job} is {phase:?} and has no run"
            );
        }
    }
}

/// Guards against nodes that take no starts for suspects of a large crash: most of its workers have no
/// young runs, and must count all the same.
#[test]
fn workers_without_suspects_count_for_a_common_cause() {
    let mut world = World::new(8, 8_000);
    world.submit(1, job(4, vec![step(16, 500, 60_000)]));
    world.advance(ms(2_000));
    world.submit(2, job(4, vec![step(1, 500, 60_000)]));
    let (first, task) = world.running().into_iter().find(|(_, task)| task.job == 2).unwrap();
    world.now += ms(10);
    world.crash(first);
    for _ in 0..2 {
        let has_old = |index: &usize| {
            let is_new = |row: &&(Time, usize, TaskId, u32)| row.0 == world.now && row.1 == *index;
            let running = &world.workers[*index].running;
            !running.is_empty() && world.started.iter().find(is_new).is_none()
        };
        let index = (0..8).find(has_old).expect("a worker with old runs only");
        world.crash(index);
    }
    world.now += ms(20);
    world.settle();
    assert!(world.running().iter().any(|(_, other)| *other == task), "{task} waits");
}

/// Guards against a gang that is given up after one crash, because it crashed all its workers at once, and
/// against one that is never given up.
#[test]
fn a_gang_that_crashes_several_workers_at_once_counts_once() {
    let mut world = World::new(3, 1_000);
    world.submit(DEADLY, job(4, vec![Step { gang: true, ..step(3, 900, 60_000) }]));
    for crashes in 1..=4 {
        assert_eq!(world.running().len(), 3, "before crash {crashes}");
        world.now += ms(10);
        (0..3).for_each(|index| world.crash(index));
        assert_eq!(world.owner.phase(DEADLY) == Some(Phase::Failed), crashes == 4, "{crashes}");
        world.now += ms(2_000);
        (0..3).for_each(|index| world.attach(index));
        world.settle();
    }
}

fn life(id: &str, draining: bool) -> WorkerInfo {
    WorkerInfo {
        id: id.to_owned(),
        service: "svc".to_owned(),
        zone: "zone".to_owned(),
        capacity: Resources::new(1_000, 1_000, 0),
        labels: Vec::new(),
        draining,
        remaining: None,
    }
}

/// Lets an agent attach a worker at 1 ms.
fn attached(agent: &mut AgentState) {
    let token = 1 << 32;
    agent.heartbeat(ms(0), life("a", false), 1);
    agent.receive(ms(0), OwnerMessage::Welcome { token, entries: Vec::new() });
    agent.listed(ms(1), "a", token, 1_000, Vec::new(), Vec::new());
    let (sent, permission, weights) = (ms(0), PERMISSION, Vec::new());
    agent.receive(ms(1), OwnerMessage::Pong { sent, permission, entries: Vec::new(), weights });
}

fn start(index: u32) -> OwnerMessage {
    OwnerMessage::Start(Box::new(Start {
        task: TaskId { index, ..CULPRIT },
        run: 1,
        command: "run".to_owned(),
        checkpoint: String::new(),
        ticket: String::new(),
        traits: TaskTraits::default(),
        weights: Vec::new(),
    }))
}

/// Answers the agent's requests for listings with `outcome` for a second, from `from` on. Returns the
/// agent's reports that its worker is gone.
fn drive(agent: &mut AgentState, from: u64, outcome: &Outcome) -> Vec<AgentMessage> {
    let mut reports = Vec::new();
    for at in (from..from + 1_000).step_by(10) {
        agent.poll(ms(at));
        for action in agent.take_actions() {
            match action {
                Action::Call(Call::List { worker, token, .. }) => {
                    agent.list_failed(ms(at), &worker, token, outcome)
                }
                Action::Send(
                    report @ (AgentMessage::Crashed { .. } | AgentMessage::Gone { .. }),
                ) => reports.push(report),
                _ => {}
            }
        }
    }
    reports
}

/// Guards against crashes that nobody can attribute: the owner must learn how old each run was, also if it
/// was away when the worker crashed or its acknowledgement was lost.
#[test]
fn an_agent_reports_a_crash_with_the_age_of_the_runs_until_it_is_acknowledged() {
    let mut agent = AgentState::default();
    attached(&mut agent);
    for (index, at) in [(0, 100), (1, 980)] {
        agent.receive(ms(at), start(index));
        let task = TaskId { index, ..CULPRIT };
        agent.started(ms(at + 5), "a", task, 1, Outcome::Done);
    }
    let lost = |index, age| LostRun { task: TaskId { index, ..CULPRIT }, run: 1, age };
    let runs = vec![lost(1, ms(20)), lost(0, ms(900))];
    let crash = AgentMessage::Crashed { worker: "a".to_owned(), runs };
    agent.take_actions();
    agent.list_failed(ms(1_000), "a", 1 << 32, &Outcome::Unclear);
    let sent = drive(&mut agent, 1_010, &Outcome::NotThere);
    assert_eq!(sent, std::slice::from_ref(&crash));
    for epoch in 2..4 {
        agent.disconnected();
        let token = epoch << 32;
        let now = ms(epoch * 1_500);
        agent.receive(now, OwnerMessage::Welcome { token, entries: Vec::new() });
        let sent = drive(&mut agent, epoch * 1_500, &Outcome::NotThere);
        assert_eq!(sent, std::slice::from_ref(&crash), "in the session of epoch {epoch}");
    }
    agent.receive(ms(6_000), OwnerMessage::CrashSeen { worker: "a".to_owned() });
    agent.disconnected();
    agent.receive(ms(6_010), OwnerMessage::Welcome { token: 5 << 32, entries: Vec::new() });
    assert_eq!(drive(&mut agent, 6_010, &Outcome::NotThere), []);
}

/// Guards against a worker that is taken for crashed because it drains, is only silent, or answers late:
/// its tasks would be suspected.
#[test]
fn a_worker_that_leaves_or_is_silent_has_not_crashed() {
    for outcome in [Outcome::Unclear, Outcome::NotThere] {
        let drains = outcome == Outcome::NotThere;
        let mut agent = AgentState::default();
        attached(&mut agent);
        agent.receive(ms(100), start(0));
        agent.heartbeat(ms(110), life("a", drains), 2);
        agent.list_failed(ms(1_200), "a", 1 << 32, &outcome);
        let mut reports = Vec::new();
        for second in 0..12 {
            reports.extend(drive(&mut agent, 1_200 + second * 1_000, &outcome));
        }
        assert_eq!(reports, [AgentMessage::Gone { worker: "a".to_owned() }], "{outcome:?}");
    }
}
