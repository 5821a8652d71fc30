//! Tests of the log lines that tell why a ready step has no run.

use std::time::Duration;

use peridotfold_core::flow::message::AgentMessage;
use peridotfold_core::flow::model::Step;

use crate::support::{job, step, World};

/// Returns the details of the logged waits of steps.
fn waits(world: &World) -> Vec<&str> {
    let is_wait = |(event, _): &&(&str, String)| *event == "step_waits";
    world.logs.iter().filter(is_wait).map(|(_, detail)| detail.as_str()).collect()
}

/// Guards against a job that waits although workers have room, and whose logs do not tell why: no
/// worker had room, a worker was closed, or placement did not get to the job.
#[test]
fn a_step_that_waits_is_logged_with_the_reasons_of_all_nodes() {
    let mut world = World::new(3, 4_000);
    world.submit(1, job(2, vec![step(3, 4_000, 60_000)]));
    let report = AgentMessage::Draining {
        worker: "life-2".to_owned(),
        remaining: Some(Duration::from_secs(600)),
    };
    let (slot, session) = (world.workers[2].slot, world.workers[2].session);
    world.owner.receive(world.now, slot, session, report);
    world.submit(2, job(2, vec![step(5, 3_000, 1_000)]));
    world.advance(Duration::from_millis(1_900));
    assert_eq!(waits(&world), Vec::<&str>::new(), "a short wait is not reported");
    world.advance(Duration::from_millis(1_500));
    let waits = waits(&world);
    let detail = waits.first().expect("the wait is reported");
    for part in
        ["step=0 ", "tasks=5 ", "open=2 ", "fits=0 ", "misfits=Room:2 ", "closed=Draining:1"]
    {
        assert!(format!("{detail} ").contains(part), "no {part:?} in {detail:?}");
    }
    assert!(waits.len() <= 2, "at most one line a second: {waits:?}");
}

/// Guards against logs that grow with the queue.
#[test]
fn a_long_queue_is_reported_in_few_lines() {
    let mut world = World::new(1, 4_000);
    for number in 1..=100 {
        world.submit(number, job(2, vec![step(1, 4_000, 60_000)]));
    }
    world.advance(Duration::from_secs(5));
    let waits = waits(&world);
    assert!(!waits.is_empty() && waits.len() <= 24, "{} lines in 5 s", waits.len());
    assert!(waits.iter().all(|detail| detail.contains("steps=99 ")), "{waits:?}");
}

/// Guards against logs that do not tell when a step began that had waited, and how.
#[test]
fn the_late_start_of_a_step_is_logged() {
    let mut world = World::new(1, 8_000);
    let best_effort = |count| job(2, vec![Step { best_effort: true, ..step(count, 1_000, 9_000) }]);
    world.submit(1, best_effort(8));
    world.submit(2, best_effort(3));
    world.advance(Duration::from_secs(3));
    let is_start = |(event, _): &&(&str, String)| *event == "step_started";
    let starts: Vec<&str> =
        world.logs.iter().filter(is_start).map(|(_, detail)| detail.as_str()).collect();
    let [detail] = starts[..] else { panic!("one line for the step that waited: {starts:?}") };
    for part in ["step=0 waited_ms=", "relief=true runs=1 node=node-0"] {
        assert!(detail.contains(part), "no {part:?} in {detail:?}");
    }
}
