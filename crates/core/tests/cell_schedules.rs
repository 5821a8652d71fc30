//! Seeded random schedules of a cell under faults, judged by the history checker.

#[path = "support/cell_world.rs"]
mod cell_world;
#[path = "support/history.rs"]
mod history;
#[path = "support/owners.rs"]
mod owners;
#[path = "support/schedules.rs"]
mod schedules;
#[path = "support/vm.rs"]
mod vm;
#[path = "support/world.rs"]
mod world;

use peridotfold_core::cell::state::Phase;

const SCHEDULES: u64 = 10_000;

fn check(seed: u64) {
    let world::RunOutcome { outcome, valid_jobs, faulty_vms } = world::World::run(seed);
    outcome.check(seed);
    let ended = |id: &String| outcome.end.jobs.get(id).map(|job| job.phase);
    for id in valid_jobs.iter().filter(|_| faulty_vms <= 1) {
        let end = ended(id);
        assert!(
            matches!(end, Some(Phase::Completed | Phase::Cancelled)),
            "seed {seed}: job {id} without a flaw ended as {end:?}"
        );
    }
}

/// Guards against two live attempts of a task, lost or doubled completions, resumption from a
/// wrong checkpoint, starts after a cancellation, and jobs that never end.
#[test]
fn random_schedules_keep_the_lifecycle_rules() {
    schedules::run(SCHEDULES, |seed| {
        check(seed);
        1
    });
}
