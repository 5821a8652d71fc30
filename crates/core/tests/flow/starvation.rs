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

/// Guards against a task that waits for the only worker with its label, which rests after failures of jobs
/// that can never be done, while the other workers are open. Seen as LOST in review case 4, where a
/// long-running task waited for 12.5 s.
#[test]
fn a_starved_step_starts_on_the_only_worker_with_its_label_though_it_rests() {
    for long_running in [false, true] {
        let mut world = World::new(3, 8_000);
        world.workers[2].info.labels.push("only".to_owned());
        world.resize(2, 8_000);
        world.settle();
        let labelled = Step { required_label: Some("only".to_owned()), ..step(1, 1_000, 1_000) };
        for number in 1..=5 {
            world.submit(number, job(1, vec![labelled.clone()]));
        }
        for number in 1..=5 {
            world.end_all(EndKind::Failed, |task| task.job == number);
            world.advance(ms(50));
        }
        let is_rest = |(event, _): &(&str, String)| *event == "worker_rests";
        assert!(world.logs.iter().any(is_rest), "the worker does not rest");
        world.submit(100, job(2, vec![Step { long_running, ..labelled }]));
        assert_eq!(runs_of(&world, 100), 0, "the worker rests");
        world.advance(MAX_WAIT);
        assert_eq!(runs_of(&world, 100), 1, "long-running: {long_running}");
    }
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

/// Guards against relief that waits for the next event or timer: then up to a second of the wait that
/// users accept is lost.
#[test]
fn a_starved_step_is_relieved_as_soon_as_it_counts_as_starved() {
    let mut world = World::new(1, 8_000);
    world.submit(1, best_effort(8));
    // Not at the same time as the timer that runs a round each second.
    world.advance(ms(1_200));
    world.submit(2, best_effort(1));
    world.advance(ms(2_200));
    assert_eq!(runs_of(&world, 2), 1);
}

/// Guards against relief that stops at a fixed number of starved steps, all of which fit nowhere.
#[test]
fn relief_reaches_a_step_behind_many_that_fit_nowhere() {
    let mut world = World::new(2, 8_000);
    world.submit(1, best_effort(16));
    let away = Step {
        best_effort: true,
        per_worker: 1,
        required_label: Some("away".to_owned()),
        ..step(1, 1_000, 60_000)
    };
    for number in 2..=450 {
        world.submit(number, job(2, vec![away.clone()]));
    }
    world.advance(ms(200));
    world.submit(1_000, best_effort(4));
    world.advance(MAX_WAIT);
    assert_eq!(runs_of(&world, 1_000), 1);
}

/// Guards against a short task that takes the node held for a long-running one, because a round got
/// to it first.
#[test]
fn a_long_queue_does_not_undo_the_hold_for_a_long_running_task() {
    let mut world = World::new(1, 8_000);
    world.submit(1, job(2, vec![step(1, 1_000, 60_000)]));
    world.submit(2, job(2, vec![Step { long_running: true, ..step(1, 8_000, 0) }]));
    let away =
        Step { per_worker: 1, required_label: Some("away".to_owned()), ..step(1, 100, 1_000) };
    for number in 3..=450 {
        world.submit(number, job(2, vec![away.clone()]));
    }
    world.submit(1_000, job(2, vec![step(1, 1_000, 60_000)]));
    world.advance(MAX_WAIT);
    assert_eq!(runs_of(&world, 1_000), 0);
}

/// Guards against rounds without end while nothing changes, because some steps are left out of each.
#[test]
fn a_long_queue_of_steps_that_fit_nowhere_asks_for_few_rounds() {
    let mut world = World::new(50, 4_000);
    for number in 1..=900 {
        let too_large = Step { per_worker: 1, ..step(1, 5_000, 1_000) };
        world.submit(number, job(2, vec![too_large]));
    }
    world.advance(Duration::from_secs(3));
    let count = |world: &World| world.owner.rounds().iter().map(|(_, count)| count).sum::<u64>();
    let before = count(&world);
    world.advance(Duration::from_secs(5));
    let rounds = count(&world) - before;
    assert!(rounds <= 10, "{rounds} rounds in 5 s");
}

/// Guards against long-running tasks that wait on all workers and keep short tasks from all of them.
#[test]
fn short_tasks_start_although_many_long_running_ones_wait_for_room() {
    let mut world = World::new(4, 8_000);
    world.submit(1, job(2, vec![Step { per_worker: 1, ..step(4, 1_000, 60_000) }]));
    let whole = Step { long_running: true, per_worker: 1, ..step(1, 8_000, 0) };
    for number in 2..=5 {
        world.submit(number, job(2, vec![whole.clone()]));
    }
    world.submit(9, job(2, vec![step(1, 1_000, 60_000)]));
    world.advance(MAX_WAIT);
    assert_eq!(runs_of(&world, 9), 1);
}

/// Guards against a faulty worker that uses up the attempts of all jobs, because it is the only one.
#[test]
fn a_resting_worker_gets_few_tasks_at_a_time() {
    let mut world = World::new(1, 8_000);
    for number in 1..=20 {
        world.submit(number, job(3, vec![step(1, 1_000, 1_000)]));
    }
    for _ in 0..100 {
        world.end_all(EndKind::Failed, |_| true);
        world.advance(ms(100));
    }
    let is_failed = |(event, _): &&(&str, String)| *event == "job_failed";
    let failed = world.logs.iter().filter(is_failed).count();
    assert!(failed <= 10, "{failed} of 20 jobs have failed in 10 s");
}

/// Guards against a job that stands still for most of the time: each task that its step got for relief
/// ended soon, and the step then waited as long as before.
#[test]
fn a_relieved_step_goes_on_with_its_next_task_at_once() {
    let mut world = World::new(2, 8_000);
    world.submit(1, best_effort(16));
    world.submit(2, best_effort(4));
    world.advance(MAX_WAIT);
    assert_eq!(runs_of(&world, 2), 1);
    for _ in 0..3 {
        world.end_all(EndKind::Done, |task| task.job == 2);
        world.advance(ms(100));
        assert_eq!(runs_of(&world, 2), 1, "the job stands still");
    }
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
