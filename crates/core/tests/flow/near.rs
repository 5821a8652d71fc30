//! Tests of waits for a near node. Three workers share a rack, as in [`World::add_worker`].

use std::time::Duration;

use peridotfold_core::flow::message::{AgentMessage, EndKind};
use peridotfold_core::flow::model::{JobNumber, Run, Step, TaskId};
use peridotfold_core::flow::near::{Amount, Costs, LearnedRatio, Need, NodeForecast, RackForecast};
use peridotfold_core::resources::Resources;

use crate::support::{job, ms, step, World};

/// Factor by which a task takes longer away from its data.
const SLOWDOWN: f64 = 3.0;

/// Returns a step of `count` tasks of a whole worker that prefers the first rack.
fn near(count: u32, estimate_ms: u64) -> Step {
    Step { preferred_rack: Some("r0".to_owned()), ..step(count, 4_000, estimate_ms) }
}

/// Returns a world of six workers on two racks, in which job 100 fills the first rack for `busy_ms`.
fn busy_rack(busy_ms: u64) -> World {
    let mut world = World::with_slowdown(6, 4_000, SLOWDOWN);
    let fill = Step { required_label: Some("r0".to_owned()), ..step(3, 4_000, busy_ms) };
    world.submit(100, job(1, vec![fill]));
    assert_eq!(on_rack(&world, 100, 0), 3);
    world
}

/// Returns the number of runs of a job on a rack.
fn on_rack(world: &World, job: JobNumber, rack: usize) -> usize {
    let running = world.running();
    running.iter().filter(|(worker, task)| task.job == job && worker / 3 == rack).count()
}

/// Returns the details of the logged decisions of an event.
fn lines<'a>(world: &'a World, event: &str) -> Vec<&'a str> {
    let logs = world.logs.iter().filter(|(name, _)| *name == event);
    logs.map(|(_, detail)| detail.as_str()).collect()
}

fn assert_over(world: &World, outcome: &str) {
    let over = lines(world, "near_wait_over");
    let is_one = over.len() == 1 && over[0].contains(&format!("outcome={outcome} "));
    assert!(is_one, "{over:?} instead of one {outcome}");
}

fn checkpoint(world: &mut World, index: usize, task: TaskId, run: Run) {
    let rows = vec![(task, run, "half".to_owned())];
    let (slot, session) = (world.workers[index].slot, world.workers[index].session);
    world.owner.receive(world.now, slot, session, AgentMessage::Checkpoints { rows });
}

/// Guards against a task that runs far for three times its time although a near node is free soon.
#[test]
fn a_task_waits_for_a_near_node_when_that_pays() {
    let mut world = busy_rack(1_000);
    world.submit(1, job(1, vec![near(1, 4_000)]));
    assert_eq!(on_rack(&world, 1, 1), 0, "it takes a far node at once");
    let wait = lines(&world, "near_wait")[0];
    assert!(wait.contains("rack=r0 wait_ms=1000 near_ms=4000 far_ms=12000"), "{wait}");
    world.advance(ms(900));
    world.end_all(EndKind::Done, |task| task.job == 100);
    assert_eq!(on_rack(&world, 1, 0), 1);
    assert_over(&world, "near");
    world.advance(ms(1_100));
    let load = lines(&world, "load").pop().expect("a load line");
    assert!(
        load.contains("near_waiting=0 near_waits=1 near_ended=near:1,far:0,failed:0"),
        "{load}"
    );
    let ends = world.owner.take_near_ends();
    assert_eq!(ends.iter().map(|end| end.waited).collect::<Vec<_>>(), [ms(900)]);
}

/// Guards against a wait that lasts longer than the run elsewhere.
#[test]
fn a_task_does_not_wait_when_that_does_not_pay() {
    let mut world = busy_rack(20_000);
    world.submit(1, job(1, vec![near(1, 4_000)]));
    assert_eq!(on_rack(&world, 1, 1), 1);
    assert!(lines(&world, "near_wait").is_empty());
}

/// Guards against a wait that holds up what is behind it in the queue, or that holds capacity.
#[test]
fn a_waiting_task_does_not_block_the_queue_behind_it() {
    let mut world = busy_rack(1_000);
    world.submit(1, job(1, vec![near(1, 4_000)]));
    // The same request, and more work, so that it ranks behind.
    world.submit(2, job(1, vec![step(3, 4_000, 9_000)]));
    assert_eq!(on_rack(&world, 2, 1), 3, "the capacity that the waiting task leaves is used");
    assert_eq!(on_rack(&world, 1, 1), 0);
    world.end_all(EndKind::Done, |task| task.job == 100);
    assert_eq!(on_rack(&world, 1, 0), 1);
}

/// Guards against a wait without end, and against one that begins again.
#[test]
fn a_wait_ends_when_its_forecast_fails_and_does_not_begin_again() {
    let mut world = busy_rack(1_000);
    world.submit(1, job(1, vec![near(1, 4_000)]));
    world.advance(ms(1_200));
    assert!(world.running().iter().all(|(_, task)| task.job != 1));
    world.advance(ms(100));
    assert_eq!(on_rack(&world, 1, 1), 1, "a quarter after the forecast it runs far");
    assert_over(&world, "failed");
    world.end_all(EndKind::Stopped, |task| task.job == 1);
    assert_eq!(on_rack(&world, 1, 1), 1, "no second wait");
    assert_eq!(lines(&world, "near_wait").len(), 1);
}

/// Guards against waits on a guess: of a task of unknown run time, or for one.
#[test]
fn an_unknown_estimate_causes_no_wait() {
    let mut world = busy_rack(1_000);
    world.submit(1, job(1, vec![near(1, 0)]));
    assert_eq!(on_rack(&world, 1, 1), 1);
    let mut world = busy_rack(0);
    world.submit(1, job(1, vec![near(1, 4_000)]));
    assert_eq!(on_rack(&world, 1, 1), 1);
}

/// Guards against forecasts that stay wrong while all run times show the estimates to be wrong.
#[test]
fn wrong_estimates_are_corrected_by_the_ends_on_the_rack() {
    let mut world = busy_rack(1_000);
    world.advance(ms(2_000));
    world.end_all(EndKind::Done, |task| task.job == 100);
    let fill = Step { required_label: Some("r0".to_owned()), ..step(3, 4_000, 1_000) };
    world.submit(101, job(1, vec![fill]));
    world.submit(1, job(1, vec![near(1, 4_000)]));
    let wait = lines(&world, "near_wait")[0];
    assert!(wait.contains("wait_ms=2000 "), "{wait}");
}

/// Guards against a wait for workers that are gone.
#[test]
fn a_rack_that_vanishes_is_not_waited_for() {
    let mut world = busy_rack(1_000);
    world.submit(1, job(1, vec![near(1, 4_000)]));
    for index in 0..3 {
        let worker = world.workers[index].info.id.clone();
        let (slot, session) = (world.workers[index].slot, world.workers[index].session);
        world.owner.receive(world.now, slot, session, AgentMessage::Gone { worker });
    }
    world.settle();
    assert_eq!(on_rack(&world, 1, 1), 1);
    assert_over(&world, "far");
}

/// Guards against a wait for workers that take no starts or reject them.
#[test]
fn closed_and_suspected_workers_are_not_waited_for() {
    let mut world = busy_rack(1_000);
    for index in 0..3 {
        let worker = world.workers[index].info.id.clone();
        let report = match index {
            0 => AgentMessage::Draining { worker, remaining: Some(Duration::from_secs(60)) },
            _ => {
                let (task, start) =
                    world.workers[index].running.pop_first().expect("a run of job 100");
                let reason = "full".to_owned();
                AgentMessage::NotStarted { task, run: start.run, reason }
            }
        };
        let (slot, session) = (world.workers[index].slot, world.workers[index].session);
        world.owner.receive(world.now, slot, session, report);
    }
    world.settle();
    assert_eq!(on_rack(&world, 100, 0), 3, "the rejected runs start again on the rack");
    world.submit(1, job(1, vec![near(1, 4_000)]));
    assert_eq!(on_rack(&world, 1, 1), 1);
    assert!(lines(&world, "near_wait").is_empty());
}

/// Guards against a gang that is spread over racks, where all its tasks are slow, although one rack
/// holds it soon; and against a step that shares a rack and takes one that is full for long.
#[test]
fn gangs_and_steps_that_share_a_rack_wait_for_the_one_that_holds_them_soonest() {
    for gang in [true, false] {
        let mut world = World::with_slowdown(6, 4_000, SLOWDOWN);
        let fill = |rack: &str, count, estimate| {
            let label = Some(rack.to_owned());
            job(1, vec![Step { required_label: label, ..step(count, 4_000, estimate) }])
        };
        world.submit(100, fill("r0", 1, 30_000));
        world.submit(101, fill("r1", 2, 1_000));
        let shared = Step { same_rack: true, gang, ..step(3, 4_000, 4_000) };
        world.submit(1, job(1, vec![shared]));
        assert_eq!(on_rack(&world, 1, 0), 0, "gang={gang}");
        world.end_all(EndKind::Done, |task| task.job == 101);
        assert_eq!(on_rack(&world, 1, 1), 3, "gang={gang}");
    }
}

/// Guards against a wait that counts work as lost that a checkpoint holds.
#[test]
fn a_restart_from_a_checkpoint_waits_for_the_remaining_work_only() {
    let mut world = World::with_slowdown(6, 4_000, SLOWDOWN);
    world.submit(1, job(1, vec![Step { has_checkpoints: true, ..near(1, 4_000) }]));
    let (index, task) = world.running()[0];
    world.advance(ms(3_000));
    let run = world.started[0].3;
    checkpoint(&mut world, index, task, run);
    let fill = Step { required_label: Some("r0".to_owned()), ..step(2, 4_000, 2_500) };
    world.submit(100, job(1, vec![fill]));
    // A long-running task takes the place of the run.
    let fixed =
        Step { required_label: Some("r0".to_owned()), long_running: true, ..step(1, 4_000, 0) };
    world.submit(101, job(1, vec![fixed]));
    world.end_all(EndKind::Stopped, |other| *other == task);
    world.settle();
    // 1 s is left: 3 s far, 2.5 s and 1 s near. Of the whole task, a wait would pay.
    assert_eq!(on_rack(&world, 1, 1), 1, "{:?} {:?}", world.running(), lines(&world, "near_wait"));
}

/// Guards against a successor that keeps tasks waiting, or never lets them wait.
#[test]
fn a_successor_begins_waits_anew() {
    let mut world = busy_rack(1_000);
    let spec = job(1, vec![near(1, 4_000)]);
    world.submit(1, spec.clone());
    let fill = Step { required_label: Some("r0".to_owned()), ..step(3, 4_000, 1_000) };
    world.take_over(&[(1, spec), (100, job(1, vec![fill]))]);
    for index in 0..6 {
        world.attach(index);
    }
    world.settle();
    world.advance(ms(8_000));
    assert_eq!(on_rack(&world, 1, 1), 1, "the wait ended");
    assert!(lines(&world, "near_wait").len() <= 2, "{:?}", lines(&world, "near_wait"));
}

/// Guards against a hot rack on which all jobs wait while others are idle, and against the wrong ones
/// leaving it.
#[test]
fn many_jobs_that_want_one_rack_are_spread_and_those_with_the_least_cost_move() {
    let mut world = World::with_slowdown(12, 4_000, SLOWDOWN);
    let fill = Step { required_label: Some("r0".to_owned()), ..step(3, 4_000, 1_000) };
    world.submit(100, job(1, vec![fill]));
    let times = [1_000, 1_200, 5_000, 1_100, 4_000, 6_000, 1_300, 900];
    for (number, time) in (1..).zip(times) {
        // Together in one round, as the long ones would otherwise come first.
        world.owner.submit(world.now, number, job(1, vec![near(1, time)]));
    }
    world.settle();
    let far: Vec<JobNumber> =
        world.running().iter().map(|(_, task)| task.job).filter(|job| *job < 100).collect();
    assert!(!far.is_empty(), "all wait for the hot rack");
    assert!([3, 5, 6].iter().all(|job| !far.contains(job)), "{far:?} moved");
    assert!(lines(&world, "near_wait").len() <= 8);
    world.end_all(EndKind::Done, |task| task.job == 100);
    assert_eq!([3, 5, 6].map(|job| on_rack(&world, job, 0)), [1; 3]);
}

/// Guards against a change of placement where no wait can pay: without a rack, and with a slowdown of 1.
#[test]
fn without_a_rack_or_a_slowdown_placement_is_as_before() {
    let starts = |slowdown, has_rack, seed: u64| {
        let mut world = World::with_slowdown(9, 4_000, slowdown);
        let mut random = fastrand::Rng::with_seed(seed);
        for number in 0..60 {
            let mut task =
                step(1 + random.u32(0..4), random.u64(1..9) * 500, random.u64(0..9) * 400);
            let rack = format!("r{}", random.u32(0..2));
            task.preferred_rack = Some(rack).filter(|_| has_rack);
            task.gang = random.u8(0..5) == 0;
            task.best_effort = random.u8(0..3) == 0;
            world.submit(number, job(3, vec![task]));
            world.advance(ms(100 * random.u64(0..4)));
            let done = random.u64(0..60);
            world.end_all(EndKind::Done, |task| task.job <= done);
        }
        world.started.iter().map(|row| (row.0, row.1, row.2)).collect::<Vec<_>>()
    };
    for seed in 0..20 {
        assert_eq!(starts(1.0, false, seed), starts(3.0, false, seed), "seed {seed}");
        // A slowdown below 1 cannot let a task wait.
        assert_eq!(starts(1.0, true, seed), starts(0.0, true, seed), "seed {seed}");
    }
}

fn takes(cpu: u64) -> Need {
    Need { takes: Amount::new(Resources::new(cpu, 0, 0), cpu), needs_idle: false }
}

/// Guards against forecasts that give one place to two tasks, or a place to one that does not fit.
#[test]
fn a_forecast_assigns_each_place_once() {
    let release = |at, cpu| (ms(at), takes(cpu).takes);
    let room = Amount::new(Resources::new(500, 0, 0), 500);
    let node = |slot, releases| NodeForecast::new(slot, room, releases);
    let mut rack = RackForecast::new(vec![
        node(0, vec![release(300, 500), release(900, 1_000)]),
        node(7, vec![release(700, 500)]),
    ]);
    let at = |rack: &RackForecast, cpu| rack.earliest(&takes(cpu), |_| true).map(|(at, _)| at);
    assert_eq!(at(&rack, 500), Some(ms(0)));
    assert_eq!(at(&rack, 1_000), Some(ms(300)));
    assert_eq!(at(&rack, 2_500), None);
    assert_eq!(rack.earliest(&takes(1_000), |slot| slot == 7).map(|(at, _)| at), Some(ms(700)));
    assert_eq!(rack.assign(&takes(1_000), 2, ms(2_000), |_| true), Some(ms(700)));
    assert_eq!(at(&rack, 1_000), Some(ms(900)));
    assert_eq!(rack.assign(&takes(1_000), 2, ms(2_000), |_| true), Some(ms(2_300)));
}

/// Guards against waits that only pay if the forecast holds, and cost the objective if it does not.
#[test]
fn a_wait_pays_if_its_latest_end_costs_neither_time_nor_the_objective() {
    let costs = |wait, objective| Costs {
        wait: ms(wait),
        near: ms(1_000),
        far: ms(3_000),
        objective: ms(objective),
    };
    assert!(costs(1_600, 0).pays());
    assert!(!costs(1_700, 0).pays(), "the latest end is later than the far end");
    assert!(costs(1_700, 5_000).pays(), "but within the objective");
    assert!(!costs(2_000, 5_000).pays());
}

/// Guards against a ratio that is learned from a single end, or never forgotten.
#[test]
fn the_learned_ratio_needs_several_recent_ends() {
    let mut learned = LearnedRatio::default();
    learned.learn(ms(0), ms(2_000), ms(1_000));
    assert_eq!(learned.ratio(ms(0)), 1.0);
    (0..3).for_each(|_| learned.learn(ms(0), ms(9_000), ms(1_000)));
    assert!((learned.ratio(ms(1_000)) - 2.0).abs() < 0.01, "{}", learned.ratio(ms(1_000)));
    assert_eq!(learned.ratio(ms(60_000)), 1.0);
}
