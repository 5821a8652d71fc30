//! Tests that a ready step without runs starts a task while a worker has room for it.

use std::time::Duration;

use peridotfold_core::flow::message::{EndKind, Pressure};
use peridotfold_core::flow::model::{JobNumber, JobSpec, Step};

use crate::support::{job, ms, step, World};

/// Time after which a ready step without runs counts as lost for users.
const MAX_WAIT: Duration = Duration::from_secs(3);

/// Returns a job of one step of `count` best-effort tasks of one core each.
fn best_effort(count: u32) -> JobSpec {
    job(2, vec![Step { best_effort: true, ..step(count, 1_000, 60_000) }])
}

/// Returns the number of running tasks of a job.
fn runs_of(world: &World, number: JobNumber) -> usize {
    world.running().iter().filter(|(_, task)| task.job == number).count()
}

/// Guards against a job that never begins because throttled best-effort tasks of other jobs hold all
/// idle CPU by their requests, although they use little of it.
#[test]
fn a_starved_step_starts_beside_best_effort_tasks_that_request_all_idle_cpu() {
    let mut world = World::new(2, 8_000);
    world.submit(1, best_effort(16));
    assert_eq!(runs_of(&world, 1), 16);
    world.submit(2, best_effort(4));
    world.advance(MAX_WAIT);
    assert_eq!(runs_of(&world, 2), 1, "one task, so that the job makes progress");
}

/// Guards against a relief of starved steps that reaches one step for each image and round. A long
/// queue of them then waits for as many rounds.
#[test]
fn all_starved_steps_of_one_image_start_together() {
    let mut world = World::new(1, 40_000);
    let serving = Step { long_running: true, target_ms: 50, ..step(1, 5_000, 0) };
    world.submit(1, job(2, vec![serving]));
    world.submit(2, best_effort(2));
    world.pressure = Pressure { level: 30, tail_percent: 97 };
    world.ping();
    for number in 3..=12 {
        world.submit(number, best_effort(2));
    }
    world.advance(MAX_WAIT);
    let idle: Vec<u64> = (3..=12).filter(|number| runs_of(&world, *number) == 0).collect();
    assert_eq!(idle, Vec::<u64>::new(), "jobs without runs");
}

/// Returns whether a job starts in time on a worker of four cores behind 500 of `elsewhere`.
fn starts_behind(elsewhere: &Step) -> bool {
    let mut world = World::new(1, 4_000);
    for number in 1..=500 {
        world.submit(number, job(2, vec![elsewhere.clone()]));
    }
    world.submit(1_000, job(2, vec![step(1, 1_000, 60_000)]));
    world.advance(MAX_WAIT);
    runs_of(&world, 1_000) == 1
}

/// Guards against a job that never begins because a round ends after a fixed number of steps, all of
/// which wait for workers that are away or larger.
#[test]
fn a_step_behind_many_that_fit_nowhere_starts() {
    let away = Step { required_label: Some("away".to_owned()), ..step(1, 100, 10_000) };
    assert!(starts_behind(&away));
    let too_large = Step { per_worker: 1, ..step(1, 5_000, 1_000) };
    assert!(starts_behind(&too_large));
}

/// Guards against a job that waits while all workers rest after failures of jobs that can never be
/// done.
#[test]
fn a_starved_step_starts_although_all_workers_rest_after_failures() {
    let mut world = World::new(2, 8_000);
    for number in 1..=12 {
        world.submit(number, job(1, vec![step(1, 1_000, 1_000)]));
        world.end_all(EndKind::Failed, |task| task.job == number);
        // Each second job fails while the worker of the one before rests.
        let pause = if number % 2 == 0 && number < 12 { ms(10_000) } else { ms(100) };
        world.advance(pause);
    }
    world.submit(100, job(2, vec![step(1, 1_000, 1_000)]));
    world.advance(MAX_WAIT);
    assert_eq!(runs_of(&world, 100), 1);
}

/// Guards against a job that never begins because each successor counts its wait anew, when owners
/// are lost at short intervals.
#[test]
fn a_successor_relieves_the_steps_that_waited_under_its_predecessor() {
    let mut world = World::new(1, 8_000);
    let jobs: Vec<(JobNumber, JobSpec)> = [8, 4, 4]
        .into_iter()
        .zip(1..)
        .map(|(count, number)| (number, best_effort(count)))
        .collect();
    world.advance(Duration::from_secs(10));
    for (number, spec) in &jobs {
        world.submit(*number, spec.clone());
    }
    world.advance(ms(1_500));
    assert_eq!(runs_of(&world, 2), 0, "the first job has taken all idle CPU");
    world.take_over(&jobs);
    world.attach(0);
    world.advance(ms(500));
    assert_eq!((runs_of(&world, 2), runs_of(&world, 3)), (1, 1));
}

/// Guards against relief that comes a second late, because a step became starved just after the
/// owner's last look. Callers give up after [`MAX_WAIT`], and the start has to reach the worker before.
#[test]
fn relief_comes_in_time_whenever_the_wait_began() {
    let waits_too_long = |offset: &u64| {
        let mut world = World::new(2, 8_000);
        world.submit(1, best_effort(16));
        world.advance(ms(*offset));
        world.submit(2, best_effort(4));
        world.advance(ms(2_500));
        runs_of(&world, 2) == 0
    };
    let late: Vec<u64> = (0..1_000).step_by(100).filter(waits_too_long).collect();
    assert_eq!(late, Vec::<u64>::new(), "offsets in ms with no run after 2.5 s");
}
