//! Seeded random schedules of a cell under faults, judged by the history checker.

#[path = "support/history.rs"]
mod history;
#[path = "support/vm.rs"]
mod vm;
#[path = "support/world.rs"]
mod world;

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use peridotfold_core::cell::state::Phase;

const SCHEDULES: u64 = 2_000;
const THREADS: usize = 4;

fn check(seed: u64) {
    let outcome = world::World::run(seed);
    if let Err((violation, detail)) = history::check(&outcome.history, &outcome.end) {
        panic!("seed {seed}: {violation:?} at {:?}: {detail}", outcome.ended_at);
    }
    let ended = |id: &String| outcome.end.jobs.get(id).map(|job| job.phase);
    for id in outcome.sound.iter().filter(|_| outcome.faulty_vms <= 1) {
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
    if let Ok(seed) = std::env::var("CELL_SEED") {
        return check(seed.parse().expect("CELL_SEED is a number"));
    }
    let next = AtomicU64::new(0);
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| loop {
                match next.fetch_add(1, Ordering::Relaxed) {
                    seed if seed < SCHEDULES => check(seed),
                    _ => return,
                }
            });
        }
    });
}
