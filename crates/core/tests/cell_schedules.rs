//! Runs a cell under seeded random faults, and checks each run with the history checker.

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

/// Number of random schedules, each with its own seed.
const SCHEDULES: u64 = 10_000;

/// Runs the schedule of a seed. Beside the lifecycle rules that the history checker knows, jobs
/// that are not built to fail must complete or be cancelled, unless several workers are faulty.
fn check(seed: u64) {
    let world::RunOutcome { outcome, valid_jobs, faulty_vms } = world::World::run(seed);
    outcome.check(seed);
    let phase_of = |id: &String| outcome.final_state.jobs.get(id).map(|job| job.phase);
    for id in valid_jobs.iter().filter(|_| faulty_vms <= 1) {
        let phase = phase_of(id);
        assert!(
            matches!(phase, Some(Phase::Completed | Phase::Cancelled)),
            "seed {seed}: job {id}, not built to fail, ended as {phase:?}"
        );
    }
}

/// Guards against two running attempts of a task, lost or duplicate completions, resumption from a
/// wrong checkpoint, starts after a cancellation, and jobs that never end.
#[test]
fn random_schedules_keep_the_lifecycle_rules() {
    schedules::run(SCHEDULES, |seed| {
        check(seed);
        1
    });
}
