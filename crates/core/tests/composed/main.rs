//! Randomised tests of the real owner, agent and ledger together, under injected faults. The
//! history checker verifies each run.

#[path = "../support/cell_world.rs"]
mod cell_world;
#[path = "../support/history.rs"]
mod history;
#[path = "../support/machine.rs"]
mod machine;
#[path = "../tasks/model_worker.rs"]
mod model_worker;
#[path = "../support/owners.rs"]
mod owners;
#[path = "../support/schedules.rs"]
mod schedules;
mod vm;
mod world;

use peridotfold_core::cell::state::Phase;

const SCHEDULES: u64 = 10_000;

fn check(seed: u64) -> u64 {
    let outcome = world::World::run(seed);
    outcome.check(seed);
    for (id, job) in &outcome.final_state.jobs {
        let ended = matches!(job.phase, Phase::Completed | Phase::Cancelled);
        assert!(ended, "seed {seed}: job {id} ended as {:?}: {:?}", job.phase, job.reason);
    }
    outcome.final_state.jobs.values().map(|job| job.evictions).sum()
}

/// Guards invariants 1, 2 and 3 across owner, agent, ledger and worker. Fails on two live attempts
/// of a task, two completions, a wrong checkpoint, tasks beyond a VM's capacity, or a job that never
/// ends.
#[test]
fn owner_and_agents_keep_the_invariants_under_faults() {
    let evictions = schedules::run(SCHEDULES, check);
    let evicts_enough =
        schedules::only_seed().is_some() || evictions > schedules::count(SCHEDULES) / 2;
    assert!(evicts_enough, "the schedules evict too few tasks: {evictions}");
}
