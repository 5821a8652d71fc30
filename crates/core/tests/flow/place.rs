//! Tests of placement: gangs, draining workers, labels and limits.

use std::collections::BTreeSet;

use peridotfold_core::flow::message::{AgentMessage, EndKind};
use peridotfold_core::flow::model::Step;
use peridotfold_core::resources::Resources;

use crate::support::{job, ms, step, World, PERMISSION};

/// Guards against starting some tasks of a gang, which must run together, while there is no
/// capacity for the others.
#[test]
fn a_gang_starts_as_a_whole_or_not_at_all() {
    let mut world = World::new(2, 1_000);
    let gang = |count| Step { gang: true, ..step(count, 900, 500) };
    world.submit(1, job(2, vec![gang(3)]));
    assert!(world.started.is_empty(), "there is capacity for two of three");
    world.submit(2, job(2, vec![gang(2)]));
    let runs: BTreeSet<u32> = world.started.iter().map(|(_, _, _, run)| *run).collect();
    assert_eq!((world.started.len(), runs.len()), (2, 1), "all members share a run");
}

/// Guards against a gang that continues after one of its tasks has ended.
#[test]
fn a_gang_that_lost_a_member_is_stopped_and_starts_again_as_a_whole() {
    let mut world = World::new(2, 1_000);
    world.submit(1, job(3, vec![Step { gang: true, ..step(2, 900, 500) }]));
    let first = world.started[0].3;
    world.end_all(EndKind::Failed, |task| task.index == 0);
    world.advance(ms(500));
    let again: Vec<u32> = world.started[2..].iter().map(|(_, _, _, run)| *run).collect();
    assert_eq!(again.len(), 2);
    assert!(again.iter().all(|run| *run == again[0] && *run > first), "{again:?}");
}

/// Guards against a start on a draining worker, and against long-running tasks that stay on it.
#[test]
fn a_draining_worker_gets_no_starts_and_long_running_tasks_leave_it() {
    let mut world = World::new(2, 1_000);
    world.submit(1, job(2, vec![Step { long_running: true, ..step(1, 500, 0) }]));
    let (home, _) = world.running()[0];
    let (slot, session) = (world.workers[home].slot, world.workers[home].session);
    let worker = world.workers[home].info.id.clone();
    let remaining = Some(ms(2_000));
    world.owner.receive(world.now, slot, session, AgentMessage::Draining { worker, remaining });
    world.settle();
    world.submit(2, job(2, vec![step(2, 200, 500)]));
    let places: BTreeSet<usize> = world.running().iter().map(|(worker, _)| *worker).collect();
    assert_eq!(places, BTreeSet::from([1 - home]));
    assert_eq!(world.running().len(), 3);
}

/// Guards against starts that exceed a step's limit per worker, ignore its required label, or use a
/// worker of another service.
#[test]
fn labels_services_and_limits_for_each_worker_bind() {
    let mut world = World::new(4, 10_000);
    world.submit(1, job(2, vec![Step { per_worker: 1, ..step(6, 100, 500) }]));
    assert_eq!(world.running().len(), 4, "one on each worker");
    let labelled = Step { required_label: Some("r1".to_owned()), ..step(3, 100, 500) };
    world.submit(2, job(2, vec![labelled]));
    let places: BTreeSet<usize> =
        world.running().iter().filter(|(_, task)| task.job == 2).map(|(w, _)| *w).collect();
    assert_eq!(places, BTreeSet::from([3]), "only the fourth worker is in the second rack");
    let mut foreign = job(2, vec![step(1, 100, 500)]);
    foreign.queue.service = "other".to_owned();
    world.submit(3, foreign);
    assert!(world.running().iter().all(|(_, task)| task.job != 3));
}

/// Guards against a worker that gets no starts because its capacity is held for a long-running task
/// that never fits there: other long-running tasks leave too little memory.
#[test]
fn capacity_is_not_held_for_a_long_running_task_that_never_fits() {
    let mut world = World::new(1, 4_000);
    let long_running =
        |memory| Step { long_running: true, need: Resources::new(500, memory, 0), ..step(1, 0, 0) };
    world.submit(1, job(2, vec![long_running(900_000)]));
    world.submit(2, job(2, vec![long_running(200_000)]));
    world.submit(3, job(2, vec![step(2, 1_000, 500)]));
    let begun: Vec<_> = world.running().iter().map(|(_, task)| task.job).collect();
    assert_eq!(begun, [1, 3, 3]);
}

/// Guards against jobs that wait for the rack of their data while other racks are idle. Pattern: many
/// jobs want the same rack.
#[test]
fn jobs_that_want_one_rack_start_on_others_when_it_is_full() {
    // Three workers a rack.
    let mut world = World::new(9, 4_000);
    let near = Step { preferred_rack: Some("r0".to_owned()), ..step(1, 1_000, 60_000) };
    for number in 0..36 {
        world.submit(number, job(1, vec![near.clone()]));
    }
    let running = world.running();
    assert_eq!(running.len(), 36, "some jobs wait");
    let on_rack = running.iter().filter(|(index, _)| *index < 3).count();
    assert_eq!(on_rack, 12, "the rack of the data is full");
    let first: Vec<_> =
        running.iter().filter(|(index, _)| *index < 3).map(|(_, t)| t.job).collect();
    assert!(first.iter().all(|job| *job < 12), "the first jobs are near their data: {first:?}");
}

/// Guards against tasks of a machine that is removed for good, which wait although the machine that
/// replaces it has reported.
#[test]
fn the_tasks_of_a_removed_machine_start_on_the_one_that_replaces_it() {
    let mut world = World::new(2, 1_000);
    world.submit(1, job(1, vec![Step { long_running: true, ..step(2, 800, 1_000) }]));
    let (_, task) = world.running().into_iter().find(|(index, _)| *index == 1).expect("a run");
    let removed = &mut world.workers[1];
    let (slot, session) = (removed.slot, std::mem::replace(&mut removed.session, u32::MAX));
    removed.running.clear();
    world.owner.disconnect(slot, session);
    // Another name, as the replacement has another address.
    world.add_worker(2, 1_000);
    world.advance(PERMISSION);
    assert!(!world.running().contains(&(2, task)), "the removed machine may still run the task");
    world.advance(ms(1_000));
    assert!(world.running().contains(&(2, task)), "{:?}", world.running());
}
