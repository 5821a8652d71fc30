//! Runs seeded schedules on a few threads.

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

const THREADS: usize = 4;

/// Number of schedules: `PERIDOTFOLD_SCHEDULES`, or the default of the test.
pub fn count(default: u64) -> u64 {
    match std::env::var("PERIDOTFOLD_SCHEDULES") {
        Ok(text) => text.parse().expect("PERIDOTFOLD_SCHEDULES is a number"),
        Err(_) => default,
    }
}

/// The only seed to run, with details: `PERIDOTFOLD_SEED`.
pub fn only_seed() -> Option<u64> {
    let text = std::env::var("PERIDOTFOLD_SEED").ok()?;
    Some(text.parse().expect("PERIDOTFOLD_SEED is a number"))
}

/// Runs `check` with each seed, and returns the sum of its results.
///
/// # Panics
///
/// Panics with the seed when a check panics.
pub fn run(default: u64, check: impl Fn(u64) -> u64 + Sync) -> u64 {
    if let Some(seed) = only_seed() {
        return check(seed);
    }
    let count = count(default);
    let (next, sum) = (AtomicU64::new(0), AtomicU64::new(0));
    thread::scope(|scope| {
        let work = || loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= count {
                return;
            }
            match catch_unwind(AssertUnwindSafe(|| check(seed))) {
                Ok(result) => sum.fetch_add(result, Ordering::Relaxed),
                Err(_) => {
                    next.store(count, Ordering::Relaxed);
                    panic!("failed with PERIDOTFOLD_SEED={seed}");
                }
            };
        };
        for thread in (0..THREADS).map(|_| scope.spawn(work)).collect::<Vec<_>>() {
            if let Err(panic) = thread.join() {
                std::panic::resume_unwind(panic);
            }
        }
    });
    sum.into_inner()
}
