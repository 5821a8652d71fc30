//! Tests of evacuated zones: no task starts there, and nothing is started by an old set of zones.

use std::collections::BTreeSet;
use std::time::Duration;

use peridotfold_core::flow::evacuation::Evacuations;
use peridotfold_core::flow::message::{AgentMessage, EndKind, Pressure};
use peridotfold_core::flow::model::Step;
use peridotfold_core::flow::owner::{Owner, OwnerSettings};
use peridotfold_core::time::Time;

use crate::support::{job, ms, settings, step, World};

/// Time within which an evacuation must be in force.
const BOUND: Duration = Duration::from_secs(5);

fn with_evacuation(epoch: u32) -> OwnerSettings {
    OwnerSettings { evacuation: Some(BOUND), ..settings(epoch) }
}

/// Returns a set in which the last change of each zone is of the given revision.
fn zones(as_of: Time, changes: &[(&str, u64, bool)]) -> Evacuations {
    let mut known = Evacuations::default();
    for (zone, revision, is_evacuated) in changes {
        known.note(zone, *revision, *is_evacuated);
    }
    known.confirm(as_of);
    known
}

/// Returns a world of six workers, two in each of the zones a, b and c, whose owner knows no zones yet.
fn world() -> World {
    let mut world = World::new(0, 0);
    world.owner = Owner::new(with_evacuation(1), Time::ZERO);
    world.owner.set_valid_until(Time::MAX);
    for index in 0..6 {
        world.add_worker(index, 4_000);
        world.workers[index].info.zone = ["a", "b", "c"][index / 2].to_owned();
        let report = AgentMessage::Changed { worker: world.workers[index].info.clone() };
        let (slot, session) = (world.workers[index].slot, world.workers[index].session);
        world.owner.receive(world.now, slot, session, report);
    }
    world.settle();
    world
}

/// Tells the owner about zones, as of now.
fn tell(world: &mut World, changes: &[(&str, u64, bool)]) {
    world.owner.know_evacuations(world.now, &zones(world.now, changes));
    world.settle();
}

/// Returns the workers on which tasks have been started since a time.
fn used(world: &World, since: Time) -> BTreeSet<usize> {
    world.started.iter().filter(|row| row.0 >= since).map(|row| row.1).collect()
}

/// Guards against starts in an evacuated zone: 3,474 on one day of a large deployment.
#[test]
fn evacuated_zones_get_no_starts_until_they_return() {
    let mut world = world();
    tell(&mut world, &[("a", 1, true), ("b", 2, true)]);
    world.submit(1, job(2, vec![step(12, 2_000, 60_000)]));
    assert_eq!(used(&world, Time::ZERO), [4, 5].into());
    tell(&mut world, &[("a", 3, false)]);
    assert_eq!(used(&world, Time::ZERO), [0, 1, 4, 5].into());
}

/// Guards against work that is lost when all zones are evacuated: runs go on, jobs wait.
#[test]
fn with_all_zones_evacuated_jobs_wait_and_runs_go_on() {
    let mut world = world();
    tell(&mut world, &[]);
    world.submit(1, job(2, vec![step(6, 2_000, 60_000)]));
    tell(&mut world, &[("a", 1, true), ("b", 2, true), ("c", 3, true)]);
    let closed_at = world.now + ms(1);
    world.now = closed_at;
    world.submit(2, job(2, vec![step(6, 2_000, 60_000)]));
    for _ in 0..30 {
        tell(&mut world, &[]);
        world.advance(ms(100));
    }
    assert_eq!((used(&world, closed_at), world.running().len()), (BTreeSet::new(), 6));
    let waits = world.logs.iter().rfind(|(event, _)| *event == "step_waits").unwrap();
    assert!(waits.1.contains("closed=Evacuated:6"), "{waits:?}");
    tell(&mut world, &[("b", 4, false)]);
    assert_eq!(used(&world, closed_at), [2, 3].into());
}

/// Guards against a successor that starts tasks in an evacuated zone before it has read the zones.
#[test]
fn an_owner_starts_nothing_before_it_knows_the_zones() {
    let mut world = world();
    world.submit(1, job(2, vec![step(2, 2_000, 60_000)]));
    world.advance(ms(3_000));
    assert_eq!(used(&world, Time::ZERO), BTreeSet::new());
    let waits = world.logs.iter().rfind(|(event, _)| *event == "step_waits").unwrap();
    assert!(waits.1.contains("closed=Unconfirmed:6"), "{waits:?}");
    tell(&mut world, &[("a", 1, true), ("b", 1, true)]);
    assert_eq!(used(&world, Time::ZERO), [4, 5].into());
}

/// Guards against starts by an old set while the store is unavailable: its newest changes are unknown.
#[test]
fn starts_stop_when_the_set_is_too_old_and_go_on_when_it_is_confirmed() {
    let mut world = world();
    tell(&mut world, &[]);
    world.advance(ms(3_500));
    world.submit(1, job(2, vec![step(1, 1_000, 60_000)]));
    assert_eq!(world.started.len(), 1, "the set is 3.5 s old");
    world.advance(ms(100));
    world.submit(2, job(2, vec![Step { best_effort: true, ..step(3, 1_000, 60_000) }]));
    world.advance(ms(3_000));
    assert_eq!(world.started.len(), 1, "the set is older");
    tell(&mut world, &[]);
    assert_eq!(world.started.len(), 4);
}

/// Guards against a zone that an event opens or closes which is late or repeated: the revision decides.
#[test]
fn the_newest_revision_decides_whether_a_zone_is_evacuated() {
    let mut known = Evacuations::default();
    known.replace(&[("a".to_owned(), 5), ("b".to_owned(), 6)], 10);
    known.note("a", 4, false);
    known.note("b", 11, false);
    known.note("b", 6, true);
    assert!(known.contains("a") && !known.contains("b"));
    known.replace(&[], 10);
    assert!(!known.contains("a"), "a read replaces the whole set");
    known.note("b", 12, true);
    known.replace(&[], 11);
    assert!(known.contains("b"), "the read is older than the change");
}

/// Guards against a zone whose cold workers get the whole load when it returns.
#[test]
fn a_returned_zone_ranks_behind_others_for_two_seconds() {
    let mut world = world();
    tell(&mut world, &[("a", 1, true)]);
    world.submit(1, job(2, vec![step(4, 1_000, 60_000)]));
    tell(&mut world, &[("a", 2, false)]);
    world.submit(2, job(2, vec![step(4, 1_000, 60_000)]));
    assert_eq!(used(&world, Time::ZERO), [2, 3, 4, 5].into());
    world.advance(ms(1_900));
    tell(&mut world, &[]);
    let overflow_at = world.now;
    world.submit(3, job(2, vec![step(10, 1_000, 60_000)]));
    assert!(used(&world, overflow_at).contains(&0), "what fits nowhere else starts there");
    world.advance(ms(200));
    world.end_all(EndKind::Done, |task| task.job != 1);
    let later = world.now + ms(1);
    world.now = later;
    world.submit(4, job(2, vec![step(2, 1_000, 60_000)]));
    assert_eq!(used(&world, later), [0, 1].into(), "the emptiest nodes");
}

/// Guards against gangs, shared racks, suspects of crashes, relief and resting workers that ignore the
/// closure, or that wait for a rack in the zone.
#[test]
fn no_kind_of_start_ignores_the_closure() {
    let mut world = world();
    tell(&mut world, &[]);
    let shared = Step { same_rack: true, ..step(2, 1_000, 60_000) };
    let near = Step { preferred_rack: Some("r0".to_owned()), ..step(2, 1_000, 60_000) };
    let filling = Step { best_effort: true, ..step(2, 1_000, 60_000) };
    let lasting = Step { long_running: true, ..step(2, 1_000, 60_000) };
    let gang = Step { gang: true, ..step(2, 300, 60_000) };
    world.submit(1, job(9, vec![step(1, 1_000, 60_000)]));
    let crashed = world.running()[0].0;
    tell(&mut world, &[("a", 1, true), ("b", 2, true)]);
    world.advance(ms(100));
    let closed_at = world.now;
    // The suspect must not wait for a quarantine in the closed zones.
    world.crash(crashed);
    world.attach(crashed);
    // Best-effort tasks start by relief only.
    world.pressure = Pressure { level: 0, ..Pressure::default() };
    for (number, step) in (2..).zip([shared, near, filling, lasting, gang]) {
        world.submit(number, job(2, vec![step]));
    }
    for _ in 0..60 {
        tell(&mut world, &[]);
        world.advance(ms(100));
    }
    assert_eq!(used(&world, closed_at), [4, 5].into());
    let jobs: BTreeSet<u64> = world.running().iter().map(|(_, task)| task.job).collect();
    assert_eq!(jobs, (1..=6).collect(), "each has started");
}

/// Guards against a long-running task that starts again in the zone where its run has ended.
#[test]
fn a_long_running_task_whose_run_ends_moves_out_of_the_zone() {
    let mut world = world();
    tell(&mut world, &[("b", 1, true), ("c", 1, true)]);
    world.submit(1, job(9, vec![Step { long_running: true, ..step(1, 1_000, 60_000) }]));
    tell(&mut world, &[("a", 2, true), ("c", 2, false)]);
    assert!(world.stopped.is_empty() && used(&world, Time::ZERO).is_subset(&[0, 1].into()));
    let ended_at = world.now + ms(1);
    world.now = ended_at;
    world.end_all(EndKind::Failed, |_| true);
    assert!(used(&world, ended_at).is_subset(&[4, 5].into()) && world.running().len() == 1);
}

/// Guards against runs that are stopped to start elsewhere while there is no elsewhere.
#[test]
fn stragglers_go_on_while_all_zones_are_evacuated() {
    let mut world = world();
    tell(&mut world, &[]);
    let step = Step { best_effort: true, has_checkpoints: true, ..step(1, 1_000, 60_000) };
    world.submit(1, job(2, vec![step]));
    tell(&mut world, &[("a", 1, true), ("b", 1, true), ("c", 1, true)]);
    world.pressure = Pressure { level: 10, ..Pressure::default() };
    world.advance(ms(3_000));
    assert_eq!((world.stopped.len(), world.running().len()), (0, 1));
}

/// Guards against a takeover in the middle of an evacuation, an owner that resumes after its lease, and a
/// zone that is logged with no workers because they have not reported to the successor yet.
#[test]
fn a_successor_obeys_and_logs_the_zones_it_inherits() {
    let mut world = world();
    tell(&mut world, &[("a", 1, true), ("b", 1, true), ("unknown", 1, true)]);
    let spec = job(2, vec![step(4, 1_000, 60_000)]);
    world.take_over(&[(1, spec)]);
    let known = zones(world.now, &[("a", 1, true), ("b", 1, true), ("unknown", 1, true)]);
    world.owner = {
        let mut owner = Owner::new(with_evacuation(2), world.now);
        owner.set_predecessor(world.now, (0..6).map(|index| format!("node-{index}")).collect());
        owner.know_evacuations(world.now, &known);
        owner.inherit(world.now, 1, job(2, vec![step(4, 1_000, 60_000)]), Default::default());
        owner
    };
    world.logs.clear();
    world.now += ms(100);
    world.settle();
    for index in 0..6 {
        world.connect(index);
        world.attach(index);
    }
    world.advance(ms(300));
    assert!(world.started.is_empty(), "without a valid lease");
    world.owner.set_valid_until(Time::MAX);
    world.advance(ms(300));
    assert_eq!(used(&world, Time::ZERO), [4, 5].into());
    let zone_logs: Vec<&str> =
        world.logs.iter().filter(|row| row.0 == "zone_evacuated").map(|row| &*row.1).collect();
    assert_eq!(zone_logs.len(), 3, "{zone_logs:?}");
    assert!(zone_logs[0].starts_with("zone=a workers=2 running=0 age_ms="), "{zone_logs:?}");
    assert!(zone_logs[2].starts_with("zone=unknown workers=0 "), "{zone_logs:?}");
    world.advance(ms(4_000));
    tell(&mut world, &[]);
    world.advance(ms(100));
    let ages = |event| world.logs.iter().filter(|row| row.0 == event).count();
    assert_eq!((ages("evacuations_stale"), ages("evacuations_fresh")), (1, 1));
}
