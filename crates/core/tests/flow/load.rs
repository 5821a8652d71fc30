//! Patterns of heavy load.

use std::collections::BTreeMap;
use std::time::Duration;

use peridotfold_core::flow::message::EndKind;
use peridotfold_core::flow::model::TaskId;

use crate::support::{job, ms, step, World};

/// Plays jobs of four tasks of two seconds, one job each `gap`, on a worker that holds four tasks,
/// and returns how many were completed within their objective of five seconds.
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

/// Guards against the pattern of the grown guide's calm day: twice as much batch work as fits, each
/// job begun just when it can no longer be in time, so that nearly all are done and nearly all late.
#[test]
fn under_twice_the_load_half_of_the_jobs_are_in_time() {
    assert!(in_time(30, Duration::from_secs(2)) >= 28, "all fit");
    let half = in_time(30, Duration::from_secs(1));
    assert!(half >= 13, "{half} of 30 in time; room for 15");
}
