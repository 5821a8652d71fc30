//! Tests of placement under heavy load and with learned interference.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use peridotfold_core::flow::message::{AgentMessage, EndKind, Pressure, Sample};
use peridotfold_core::flow::model::{JobSpec, Step, TaskId};

use crate::support::{job, ms, step, Worker, World};

/// Simulates one job each `gap` on a worker with capacity for four tasks. Each job has four tasks
/// of two seconds. Returns the number of jobs completed within their objective of five seconds.
fn in_time(jobs: u64, gap: Duration) -> u64 {
    let mut world = World::new(1, 4_000);
    let task_time = Duration::from_secs(2);
    let mut due: BTreeMap<TaskId, Duration> = BTreeMap::new();
    let mut next = 1;
    while world.now < gap * jobs as u32 + Duration::from_secs(10) {
        if next <= jobs && world.now >= gap * next as u32 {
            world.submit(next, job(2, vec![step(4, 1_000, 2_000)]));
            next += 1;
        }
        world.advance(ms(100));
        for (at, _, task, _) in world.started.drain(..) {
            due.insert(task, at + task_time);
        }
        let now = world.now;
        world.end_all(EndKind::Done, |task| due.get(task).is_some_and(|at| now >= *at));
    }
    let is_in_time = |(event, detail): &&(&str, String)| {
        *event == "job_completed" && detail.contains("in_time=true")
    };
    world.logs.iter().filter(is_in_time).count() as u64
}

/// Guards against starting each job just when it can no longer meet its objective. With twice the
/// load that fits, as in the calm scenario of the enlarged guide workload, nearly all jobs then
/// complete late.
#[test]
fn under_twice_the_load_half_of_the_jobs_are_in_time() {
    assert!(in_time(30, Duration::from_secs(2)) >= 28, "all fit");
    let half = in_time(30, Duration::from_secs(1));
    assert!(half >= 13, "{half} of 30 in time; capacity for 15");
}

/// Guards against a best-effort job that never starts because its tasks would be throttled on every
/// worker. In a run of the guide workload's scale-2 scenario with seed 216579984745, found by seed
/// search, the largest job that missed its objective waited for 48 s while workers were half empty
/// but under pressure from serving tasks.
#[test]
fn a_job_without_runs_starts_even_on_workers_under_pressure() {
    let mut world = World::new(1, 40_000);
    let mut serving = step(1, 5_000, 0);
    serving.long_running = true;
    serving.target_ms = 50;
    world.submit(1, job(2, vec![serving]));
    let best_effort = || {
        let mut step = step(4, 1_000, 2_000);
        step.best_effort = true;
        job(2, vec![step])
    };
    world.submit(2, best_effort());
    assert_eq!(world.running().len(), 5);
    world.pressure = Pressure { level: 30, tail_percent: 97 };
    world.ping();
    world.submit(3, best_effort());
    let begun = |world: &World| world.running().iter().filter(|(_, task)| task.job == 3).count();
    world.advance(Duration::from_secs(1));
    assert_eq!(begun(&world), 0, "workers under pressure get no more best-effort tasks at once");
    world.advance(Duration::from_secs(3));
    assert_eq!(begun(&world), 1, "but the job has to make progress");
}

/// Guards against a retried task that is taken for a starved one, because its step became ready long
/// ago, and starts where it interferes. Pattern: the last task of a step fails, or is moved, while
/// all workers are under pressure.
#[test]
fn a_retried_task_waits_for_a_worker_without_pressure() {
    let mut world = World::new(1, 40_000);
    let serving = Step { long_running: true, target_ms: 50, ..step(1, 5_000, 0) };
    world.submit(1, job(2, vec![serving]));
    let filler = Step { best_effort: true, ..step(4, 1_000, 2_000) };
    world.submit(2, job(2, vec![filler.clone()]));
    world.submit(3, job(9, vec![Step { count: 1, ..filler }]));
    world.advance(Duration::from_secs(3));
    world.pressure = Pressure { level: 30, tail_percent: 97 };
    world.ping();
    world.end_all(EndKind::Failed, |task| task.job == 3);
    let begun = |world: &World| world.running().iter().any(|(_, task)| task.job == 3);
    world.advance(Duration::from_secs(1));
    assert!(!begun(&world), "the worker is under pressure");
    world.advance(Duration::from_secs(3));
    assert!(begun(&world), "but the job has to make progress");
}

/// Returns a step of six best-effort tasks.
fn best_effort() -> Step {
    Step { best_effort: true, image: "filler".to_owned(), ..step(6, 1_000, 60_000) }
}

/// Returns a world of six workers, the three of them that serve the image with which the
/// best-effort tasks of job 3 have been observed to interfere, and all jobs.
fn trained() -> (World, Vec<usize>, Vec<(u64, JobSpec)>) {
    let mut world = World::new(6, 16_000);
    let serving = |image: &str| Step {
        long_running: true,
        target_ms: 50,
        image: image.to_owned(),
        per_worker: 1,
        ..step(3, 12_000, 0)
    };
    let jobs = vec![
        (1, job(2, vec![serving("sensitive")])),
        (2, job(2, vec![serving("robust")])),
        (3, job(2, vec![best_effort()])),
    ];
    world.submit(1, jobs[0].1.clone());
    world.submit(2, jobs[1].1.clone());
    let sensitive: Vec<usize> =
        world.running().iter().filter(|(_, task)| task.job == 1).map(|(w, _)| *w).collect();
    world.submit(3, jobs[2].1.clone());
    for round in 0..20 {
        let by = if round % 2 == 0 { 1_000 } else { -1_000 };
        for worker in &world.workers {
            let image = |task: &TaskId| worker.running[task].traits.image;
            let tasks = || worker.running.keys();
            let Some(best_effort) = tasks().find(|task| task.job == 3).map(image) else { continue };
            let serving = tasks().find(|task| task.job < 3).expect("each worker serves");
            let rise = if serving.job == 1 { by / 2 } else { 0 };
            let sample =
                Sample { rises: vec![(image(serving), rise)], changes: vec![(best_effort, by)] };
            let (sent, pressure) = (world.now, Pressure { level: 100, tail_percent: 60 });
            let up =
                AgentMessage::Ping { sent, pressure, samples: vec![sample], baselines: Vec::new() };
            world.owner.receive(world.now, worker.slot, worker.session, up);
        }
    }
    (world, sensitive, jobs)
}

/// Submits six more best-effort tasks. Returns how many start, and how many of them on the workers
/// in `sensitive`.
fn start_best_effort(world: &mut World, sensitive: &[usize]) -> (usize, usize) {
    world.submit(4, job(2, vec![best_effort()]));
    let begun: Vec<usize> =
        world.running().iter().filter(|(_, task)| task.job == 4).map(|(w, _)| *w).collect();
    (begun.len(), begun.iter().filter(|worker| sensitive.contains(worker)).count())
}

/// Guards against spreading best-effort tasks evenly over all workers. In the calm scenario of the
/// enlarged guide workload this raised all tail latencies and throttled the tasks to half, although
/// each image interferes with only a few serving images.
#[test]
fn best_effort_tasks_go_where_they_do_not_interfere() {
    let (mut world, sensitive, _) = trained();
    assert_eq!(start_best_effort(&mut world, &sensitive), (6, 0));
}

/// Guards against tail latencies above their targets after each takeover. In the trouble-1 scenario
/// of the enlarged guide workload the mean worst tail latency was 172 % of its target ten seconds
/// after all machines had lost power.
#[test]
fn a_successor_takes_over_the_learned_interference() {
    let (mut world, sensitive, jobs) = trained();
    world.advance(Duration::from_secs(6));
    world.end_all(EndKind::Done, |task| task.job == 3 && task.index == 0);
    world.advance(Duration::from_secs(1));
    world.take_over(&jobs);
    (0..6).for_each(|index| world.attach(index));
    world.advance(Duration::from_secs(1));
    assert_eq!(start_best_effort(&mut world, &sensitive), (6, 0));
}

/// Guards against forgetting interference at each takeover. Agents ping a successor before they
/// report their worker; related to no capacity, one change of usage outweighed all that was learned.
#[test]
fn samples_from_workers_that_are_not_known_yet_teach_nothing() {
    let (mut world, sensitive, jobs) = trained();
    world.advance(Duration::from_secs(6));
    world.end_all(EndKind::Done, |task| task.job == 3 && task.index == 0);
    let running = world.running();
    let image_of = |task: &TaskId| {
        let found = |worker: &Worker| worker.running.get(task).map(|run| run.traits.image);
        world.workers.iter().find_map(found).expect("the task runs")
    };
    let images: BTreeSet<(bool, u32)> =
        running.iter().map(|(_, task)| (task.job == 3, image_of(task))).collect();
    let serving = images.iter().filter(|(is_best_effort, _)| !is_best_effort);
    let rises: Vec<(u32, i32)> = serving.map(|(_, image)| (*image, 0)).collect();
    let best_effort = images.iter().filter(|(is_best_effort, _)| *is_best_effort);
    let changes: Vec<(u32, i32)> = best_effort.map(|(_, image)| (*image, 1_000)).collect();
    world.advance(Duration::from_secs(1));
    world.take_over(&jobs);
    for worker in &world.workers {
        let samples = vec![Sample { rises: rises.clone(), changes: changes.clone() }];
        let (sent, pressure) = (world.now, Pressure { level: 100, tail_percent: 60 });
        let up = AgentMessage::Ping { sent, pressure, samples, baselines: Vec::new() };
        world.owner.receive(world.now, worker.slot, worker.session, up);
    }
    (0..6).for_each(|index| world.attach(index));
    world.advance(Duration::from_secs(1));
    assert_eq!(start_best_effort(&mut world, &sensitive), (6, 0));
}

/// Guards against a long-running task that is not restarted because small tasks take all CPU that
/// becomes free. In the enlarged auction workload's lost-answers-in-burst scenario with seed
/// 723468889980, found by seed search, four tasks stayed down while a long queue was served.
#[test]
fn a_long_running_task_regains_its_capacity_from_a_queue_of_small_tasks() {
    let mut world = World::new(2, 4_000);
    let long_running = Step { long_running: true, ..step(1, 3_000, 100) };
    world.submit(1, job(2, vec![long_running]));
    world.advance(Duration::from_secs(10));
    for number in 2..60 {
        world.submit(number, job(2, vec![step(1, 1_000, 4_000)]));
    }
    world.end_all(EndKind::Failed, |task| task.job == 1);
    // Small tasks end one at a time, so that three cores are never free at once by chance.
    for _ in 0..8 {
        world.advance(ms(500));
        let small = world.running().into_iter().find(|(_, task)| task.job > 1).map(|(_, t)| t);
        world.end_all(EndKind::Done, |task| Some(*task) == small);
    }
    assert!(world.running().iter().any(|(_, task)| task.job == 1), "{:?}", world.running());
}

/// Returns the number of tasks that start at once, of two, on a worker under pressure with a serving
/// task with which they interfere by `weight`.
fn starts_under_pressure(weight: f64) -> usize {
    let mut world = World::new(1, 40_000);
    let serving = Step { long_running: true, target_ms: 50, ..step(1, 25_000, 0) };
    let best_effort =
        Step { best_effort: true, image: "batch".to_owned(), ..step(2, 4_000, 60_000) };
    world.submit(1, job(2, vec![serving]));
    world.submit(2, job(2, vec![best_effort.clone()]));
    let image_of = |number| {
        let mut runs = world.workers[0].running.iter();
        runs.find(|(task, _)| task.job == number).map(|(_, start)| start.traits.image)
    };
    let (serving, image) = (image_of(1).expect("serves"), image_of(2).expect("runs"));
    for round in 0..40 {
        let change = if round % 2 == 0 { 8_000 } else { -8_000 };
        let rise = (weight * f64::from(change) / 40.0) as i32;
        let samples = vec![Sample { rises: vec![(serving, rise)], changes: vec![(image, change)] }];
        let (sent, pressure) = (world.now, Pressure { level: 30, tail_percent: 97 });
        let baselines = vec![(serving, 80)];
        let ping = AgentMessage::Ping { sent, pressure, samples, baselines };
        let worker = &world.workers[0];
        world.owner.receive(world.now, worker.slot, worker.session, ping);
    }
    world.submit(3, job(2, vec![best_effort]));
    world.running().iter().filter(|(_, task)| task.job == 3).count()
}

/// Guards against jobs that wait for a calm worker although they hardly interfere with what serves
/// there. On the matching workload most pairs of images do not, and most workers are under pressure.
#[test]
fn light_pairs_do_not_wait_for_a_worker_without_pressure() {
    assert_eq!(starts_under_pressure(0.5), 2);
    assert_eq!(starts_under_pressure(3.0), 0, "the worker would throttle them");
}

/// Returns a world of two workers with a job of four best-effort tasks on each, all but one of which
/// are done, and the worker that throttles the last one.
fn world_with_straggler(has_checkpoints: bool) -> (World, usize, TaskId) {
    let mut world = World::new(2, 4_000);
    let best_effort = Step { best_effort: true, has_checkpoints, ..step(8, 500, 2_000) };
    world.submit(1, job(2, vec![best_effort]));
    let (worker, last) = world.running()[0];
    world.end_all(EndKind::Done, |task| *task != last);
    world.workers[worker].pressure = Some(Pressure { level: 10, tail_percent: 120 });
    (world, worker, last)
}

/// Guards against a wide job that waits for its last task on a worker that gives the task a tenth of
/// its CPU, while other workers have room. Pattern: wide steps of best-effort tasks beside serving
/// tasks whose load differs from worker to worker.
#[test]
fn the_last_task_of_a_step_leaves_a_worker_that_throttles_it() {
    let (mut world, worker, last) = world_with_straggler(true);
    world.advance(Duration::from_secs(3));
    let running = world.running();
    assert_eq!(running.len(), 1);
    assert_eq!(running[0].1, last);
    assert_ne!(running[0].0, worker, "the task is still where it is throttled");
}

/// Guards against work that is thrown away by a move.
#[test]
fn a_task_without_checkpoints_stays_where_it_is() {
    let (mut world, worker, last) = world_with_straggler(false);
    world.advance(Duration::from_secs(3));
    assert_eq!(world.running(), vec![(worker, last)]);
}

/// Guards against moving all tasks of a worker under pressure at once, although their steps wait
/// for other tasks too.
#[test]
fn tasks_whose_step_has_far_to_go_stay_where_they_are() {
    let mut world = World::new(2, 4_000);
    let best_effort = Step { best_effort: true, has_checkpoints: true, ..step(8, 500, 2_000) };
    world.submit(1, job(2, vec![best_effort]));
    let before = world.running();
    world.workers[0].pressure = Some(Pressure { level: 10, tail_percent: 120 });
    world.advance(Duration::from_secs(3));
    assert_eq!(world.running(), before);
}
