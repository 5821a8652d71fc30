//! Pace of fill tasks beside serving tasks.

use peridotfold_core::flow::pace::Pacer;

use crate::support::ms;

const TARGET: u32 = 50;

/// Plays `seconds` with a tail that fill tasks raise from `alone` by `press` at full pace.
fn play(pacer: &mut Pacer, from_ms: u64, seconds: u64, alone: f64, press: f64) -> Vec<(u32, f64)> {
    let looks = (0..seconds * 2).map(|n| from_ms + n * 500);
    looks
        .map(|at| {
            let tail = alone * (1.0 + press * f64::from(pacer.level()) / 100.0);
            pacer.observe(ms(at), [(tail as u64, TARGET)].into_iter());
            (pacer.level(), tail)
        })
        .collect()
}

/// Guards against fill tasks that stand still for ever beside a task whose tail is high by its own
/// load: seen on trouble-1 of the guide, where jobs were paced to nothing until the end of the day.
#[test]
fn fill_tasks_work_beside_a_task_that_is_under_its_target_by_itself() {
    let mut pacer = Pacer::default();
    play(&mut pacer, 0, 6, 60.0, 0.0);
    assert_eq!(pacer.level(), 0, "over its target whatever they do");
    let rows = play(&mut pacer, 6_000, 12, 38.0, 0.1);
    assert_eq!(rows.last().map(|row| row.0), Some(100), "{rows:?}");
}

/// Guards against a task that is over its target for longer than users bear because of fill tasks.
#[test]
fn a_task_pressed_over_its_target_is_under_it_again_within_two_seconds() {
    let mut pacer = Pacer::default();
    let rows = play(&mut pacer, 0, 30, 25.0, 4.0);
    let longest = rows.split(|(_, tail)| *tail < f64::from(TARGET)).map(<[_]>::len).max();
    assert!(longest <= Some(4), "{longest:?} half seconds over the target: {rows:?}");
}

/// Guards against a pace that swings between stop and full while the load is constant.
#[test]
fn the_pace_settles_under_constant_pressure() {
    let mut pacer = Pacer::default();
    let rows = play(&mut pacer, 0, 40, 20.0, 4.0);
    let late: Vec<u32> = rows[40..].iter().map(|row| row.0).collect();
    let (least, most) = (late.iter().min().unwrap(), late.iter().max().unwrap());
    assert!(most - least <= 20 && *least >= 10, "{late:?}");
}
