//! Tests of when a job counts as begun: once a worker has begun one of its tasks, and not before.

use peridotfold_core::flow::message::{AgentMessage, EndKind};
use peridotfold_core::flow::model::{JobNumber, JobSpec, Step};
use peridotfold_core::flow::progress::{Phase, Progress};

use crate::support::{job, ms, step, World};

/// Number of the job under test.
const JOB: JobNumber = 7;

/// Checks whether the job counts as begun, for its callers and in the count of its queue.
fn assert_begun(world: &World, spec: &JobSpec, has_begun: bool, when: &str) {
    let phase = if has_begun { Phase::Running } else { Phase::Queued };
    assert_eq!(world.owner.phase(JOB), Some(phase), "{when}");
    assert_eq!(world.owner.waiting(&spec.queue.name), u64::from(!has_begun), "{when}");
}

/// Guards against jobs that are not counted as waiting although the workers have rejected all their
/// starts, or have not answered them. Seen as MIXED in review case 5.
#[test]
fn a_job_has_not_begun_while_all_its_starts_are_rejected() {
    let spec = job(2, vec![step(2, 1_000, 500)]);
    let mut world = World::new(1, 10_000);
    world.reports_starts = false;
    world.submit(JOB, spec.clone());
    assert_eq!(world.started.len(), 2);
    assert_begun(&world, &spec, false, "both starts are ordered and not answered");
    world.reject_all(0, "status 503");
    assert_begun(&world, &spec, false, "both starts are rejected");
}

/// Guards against a gang that counts as begun because the starts of its tasks were ordered, and
/// against one that does not although a worker has begun one of them.
#[test]
fn a_gang_has_begun_with_the_first_of_its_tasks() {
    let spec = job(2, vec![Step { gang: true, ..step(2, 6_000, 60_000) }]);
    let mut world = World::new(2, 10_000);
    world.reports_starts = false;
    world.submit(JOB, spec.clone());
    assert_eq!(world.running().len(), 2, "on both workers");
    world.reject_all(0, "status 503");
    assert_begun(&world, &spec, false, "one start is rejected, the other one not answered");
    let (index, task) = world.running()[0];
    // The worker lists the end of the run that the owner has stopped, so that it had begun.
    world.end(index, task, EndKind::Stopped);
    assert_begun(&world, &spec, true, "one task had begun");
}

/// Guards against a successor that takes a job for begun, or for waiting, because of what its
/// predecessor ordered and not because of what the workers list.
#[test]
fn a_successor_takes_a_job_for_begun_if_a_worker_lists_a_run_or_an_end() {
    let spec = job(2, vec![step(1, 1_000, 500)]);
    for (is_there, is_ended) in [(false, false), (true, false), (true, true)] {
        let mut world = World::new(1, 10_000);
        world.reports_starts = false;
        world.submit(JOB, spec.clone());
        assert_eq!(world.started.len(), 1);
        if !is_there {
            world.workers[0].running.clear();
        }
        if is_ended {
            let (index, task) = world.running()[0];
            world.store_is_up = false;
            world.end(index, task, EndKind::Lapsed);
        }
        world.take_over(&[(JOB, spec.clone())]);
        assert_begun(&world, &spec, false, "nothing is listed yet");
        world.attach(0);
        let when = format!("run listed: {is_there}, ended: {is_ended}");
        assert_begun(&world, &spec, is_there, &when);
        world.advance(ms(1_000));
    }
}

/// Guards against a job that is never shown as running because its agent keeps the answer to the
/// start to itself, or reports a run of an earlier owner's numbering.
#[test]
fn a_job_has_begun_once_its_agent_reports_the_start() {
    let spec = job(2, vec![step(1, 1_000, 500)]);
    let mut world = World::new(1, 10_000);
    world.reports_starts = false;
    world.submit(JOB, spec.clone());
    let (_, _, task, run) = world.started[0];
    let (slot, session) = (world.workers[0].slot, world.workers[0].session);
    for (reported, has_begun) in [(run + 1, false), (run, true)] {
        let report = AgentMessage::Started { rows: vec![(task, reported)] };
        world.owner.receive(world.now, slot, session, report);
        assert_begun(&world, &spec, has_begun, &format!("run {reported} of {run} is reported"));
    }
    world.reject_all(0, "status 503");
    assert_begun(&world, &spec, true, "a later run is rejected");
}

/// Guards against a job that is shown as running because its cancellation is not durable yet.
#[test]
fn a_cancelled_job_that_has_not_begun_is_not_shown_as_running() {
    let spec = job(2, vec![step(1, 20_000, 500)]);
    let mut world = World::new(1, 10_000);
    world.submit(JOB, spec);
    world.store_is_up = false;
    world.owner.cancel(world.now, JOB);
    world.settle();
    assert_eq!(world.owner.phase(JOB), Some(Phase::Queued));
    world.store_is_up = true;
    world.settle();
    assert_eq!(world.owner.phase(JOB), Some(Phase::Cancelled));
}

/// Guards against an ended job that is shown as running again while a successor removes a
/// cancellation that its predecessor left behind.
#[test]
fn an_ended_job_is_not_shown_as_running_while_its_cancel_is_removed() {
    let mut world = World::new(1, 10_000);
    let ended = Progress { phase: Phase::Cancelled, ..Progress::default() };
    world.take_over(&[]);
    world.owner.inherit_ended(world.now, JOB, ended);
    world.owner.cancel(world.now, JOB);
    assert_eq!(world.owner.phase(JOB), Some(Phase::Cancelled));
    world.settle();
    let record = world.commits.iter().flat_map(|commit| &commit.records).find(|r| r.job == JOB);
    assert!(record.is_some_and(|record| record.drops_cancel));
}
