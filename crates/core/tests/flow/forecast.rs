//! Tests of the backlog and of the rate at which work gets done.

use std::time::Duration;

use peridotfold_core::flow::forecast::{Backlog, Place, Rate, Room};
use peridotfold_core::flow::message::EndKind;
use peridotfold_core::flow::model::{JobSpec, Step};

use crate::support::{job, ms, step, World};

/// Returns a job of tasks that take one second on one core.
fn seconds(count: u32) -> JobSpec {
    job(3, vec![step(count, 1_000, 1_000)])
}

fn idle(count: u32) -> Step {
    Step { best_effort: true, ..step(count, 1_000, 1_000) }
}

/// Advances by `seconds`; each task ends successfully `takes` steps of 100 ms after its start.
fn run(world: &mut World, time: Duration, takes: u64) {
    let until = world.now + time;
    while world.now < until {
        world.advance(ms(100));
        let now = world.now;
        let due: Vec<_> = world
            .started
            .iter()
            .filter(|(at, ..)| now >= *at + ms(100 * takes))
            .map(|(_, _, task, _)| *task)
            .collect();
        world.started.retain(|(at, ..)| now < *at + ms(100 * takes));
        world.end_all(EndKind::Done, |task| due.contains(task));
    }
}

/// Returns the backlog and the rate of one kind of capacity.
fn shortage(world: &World, room: Room) -> Option<(u64, u64)> {
    let shortages = world.owner.forecast().shortages(world.now);
    shortages.iter().find(|it| it.room == room).map(|it| (it.backlog, it.rate))
}

/// Guards against a sum that does not follow the order, or keeps work that was taken out.
#[test]
fn backlog_sums_work_up_to_a_place() {
    let mut backlog = Backlog::default();
    let place = |class, work| Place::new(class, 1, work);
    backlog.add(place(0, 1_000), 1_000);
    backlog.add(place(0, 9_000), 9_000);
    backlog.add(place(1, 10), 10);
    assert_eq!(backlog.up_to(place(0, 1_000)), 1_000);
    assert_eq!(backlog.up_to(place(0, 20_000)), 10_000);
    assert_eq!(backlog.up_to(Place::new(0, 0, 20_000)), 0);
    backlog.remove(place(0, 1_000), 1_000);
    assert_eq!((backlog.up_to(place(2, 0)), backlog.total()), (9_010, 9_010));
}

/// Guards against a rate that stays high after the fleet has shrunk to a third, and against one without
/// ends that is not the capacity.
#[test]
fn the_rate_follows_the_capacity_and_falls_back_to_it() {
    let mut rate = Rate::default();
    assert_eq!(rate.current(ms(0), 9_000), 9_000);
    for second in 1..=5 {
        let now = ms(1_000 * second);
        rate.add_offer(now, 9_000, ms(1_000));
        // Half of the capacity gets work done.
        rate.add_end(now, 4_500, ms(1_000), 1_000);
    }
    let full = rate.current(ms(5_000), 9_000);
    assert!((4_500..5_500).contains(&full), "{full}");
    // The prior is one second of the present capacity, so the rate is not exactly a third.
    let third = rate.current(ms(5_000), 3_000);
    assert!((1_500..=full / 3).contains(&third), "{third} of {full}");
    assert_eq!(rate.age(ms(6_000)), Some(ms(1_000)));
    assert_eq!((rate.current(ms(20_000), 9_000), rate.age(ms(20_000))), (9_000, None));
}

/// Guards against runs that were held up and count as work done for their whole time, and against
/// estimates that are too low and make the backlog look short.
#[test]
fn the_rate_limits_run_times_and_learns_the_ratio_to_estimates() {
    let mut rate = Rate::default();
    for second in 1..=5 {
        rate.add_offer(ms(1_000 * second), 1_000, ms(1_000));
        rate.add_end(ms(1_000 * second), 1_000, ms(9_000), 500);
    }
    assert_eq!(rate.current(ms(5_000), 1_000), 1_000);
    let slip = rate.slip_percent(ms(5_000), 1_000);
    assert!((160..=200).contains(&slip), "{slip}");
}

/// Guards against a forecast, and log lines, while nothing waits for capacity.
#[test]
fn light_load_has_no_forecast() {
    let mut world = World::new(2, 4_000);
    for number in 0..40 {
        world.submit(number, seconds(4));
        run(&mut world, ms(1_000), 8);
    }
    assert_eq!(shortage(&world, Room::Reserved), None);
    assert!(world.logs.iter().all(|(event, _)| *event != "forecast"));
}

/// Guards against a step that no node can run making the whole service count as short of capacity.
#[test]
fn a_step_that_fits_nowhere_is_no_shortage() {
    let mut world = World::new(2, 4_000);
    world.submit(1, job(3, vec![step(1, 9_000, 1_000)]));
    world.submit(2, seconds(1));
    world.advance(ms(6_000));
    assert_eq!(shortage(&world, Room::Reserved), None);
}

/// Guards against a forecast before the rate is known, and against a backlog that does not follow
/// ends, cancellations and requeued tasks.
#[test]
fn the_backlog_follows_submissions_ends_and_cancellations() {
    let mut world = World::new(2, 4_000);
    world.submit(1, seconds(100));
    world.submit(2, seconds(50));
    run(&mut world, ms(2_500), 10);
    assert_eq!(shortage(&world, Room::Reserved), None);
    run(&mut world, ms(1_500), 10);
    let (backlog, rate) = shortage(&world, Room::Reserved).expect("a forecast");
    let done: usize = 150 - backlog as usize / 1_000_000;
    assert!((24..=44).contains(&done), "{backlog}");
    assert!((6_000..=8_500).contains(&rate), "{rate}");
    world.owner.cancel(world.now, 1);
    world.settle();
    let (left, _) = shortage(&world, Room::Reserved).expect("a forecast");
    assert!(left < 50_000_000 && left < backlog, "{left} of {backlog}");
    let waiting = left;
    world.reject_all(0, "full");
    world.settle();
    let (requeued, _) = shortage(&world, Room::Reserved).expect("a forecast");
    assert!(requeued >= waiting, "{requeued} after {waiting}");
    world.owner.cancel(world.now, 2);
    world.settle();
    assert_eq!(shortage(&world, Room::Reserved), None);
}

/// Guards against one rate for tasks that reserve CPU and those that use what is idle.
#[test]
fn each_kind_of_capacity_has_its_own_forecast() {
    let mut world = World::new(2, 4_000);
    world.submit(1, job(3, vec![idle(100)]));
    run(&mut world, ms(5_000), 10);
    assert!(shortage(&world, Room::Idle).is_some());
    assert_eq!(shortage(&world, Room::Reserved), None);
    let lines = world.logs.iter().filter(|(event, _)| *event == "forecast").count();
    assert!((3..=6).contains(&lines), "{lines}");
}

/// Guards against a forecast right after a takeover, from a rate that is not known.
#[test]
fn a_successor_has_no_forecast_at_first() {
    let mut world = World::new(2, 4_000);
    world.submit(1, seconds(100));
    run(&mut world, ms(5_000), 10);
    assert!(shortage(&world, Room::Reserved).is_some());
    world.take_over(&[(1, seconds(100))]);
    (0..2).for_each(|index| world.attach(index));
    run(&mut world, ms(2_500), 10);
    assert_eq!(shortage(&world, Room::Reserved), None);
    run(&mut world, ms(1_500), 10);
    assert!(shortage(&world, Room::Reserved).is_some());
}
