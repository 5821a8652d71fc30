//! Tests the runner of seeded schedules: a failure must print its seed and steps, and must be shrunk.

#[path = "support/schedules.rs"]
mod schedules;

use std::panic::catch_unwind;

/// Fails with seed 3 if steps 4 and 7 are both performed.
fn check(seed: u64) -> u64 {
    let performed: Vec<u64> =
        (0..20).filter(|number| schedules::step(|| format!("fault {number}"))).collect();
    let fails = seed == 3 && performed.contains(&4) && performed.contains(&7);
    assert!(!fails, "two faults met");
    seed
}

#[test]
fn failing_schedule_is_shortened_to_the_steps_that_matter() {
    let panic = catch_unwind(|| schedules::run_all(10, check)).expect_err("seed 3 fails");
    let expected = "failed with PERIDOTFOLD_SEED=3\n\
        shortest failing schedule found: 2 of 20 steps\n\
        step 4: fault 4\nstep 7: fault 7\ntwo faults met";
    assert_eq!(panic.downcast_ref::<String>().map(String::as_str), Some(expected));
}

#[test]
fn failing_schedule_without_steps_names_its_seed() {
    let check = |seed| if seed == 5 { panic!("wrong") } else { seed };
    let panic = catch_unwind(|| schedules::run_all(10, check)).expect_err("seed 5 fails");
    let message = panic.downcast_ref::<String>().map(String::as_str);
    assert_eq!(message, Some("failed with PERIDOTFOLD_SEED=5"));
}
