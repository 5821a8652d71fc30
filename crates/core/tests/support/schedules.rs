//! Runs seeded schedules on several threads.

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

const THREADS: usize = 4;

/// Runs `schedule` for each seed below `count`, or below the environment variable
/// `PERIDOTFOLD_SCHEDULES`, and returns the sum of the results.
///
/// # Panics
///
/// Panics with the seed when a schedule panics, and when the variable is not a number.
pub fn run(count: u64, schedule: impl Fn(u64) -> u64 + Sync) -> u64 {
    let count = match std::env::var("PERIDOTFOLD_SCHEDULES") {
        Ok(text) => text.parse().expect("PERIDOTFOLD_SCHEDULES is a number"),
        Err(_) => count,
    };
    let (next, sum) = (AtomicU64::new(0), AtomicU64::new(0));
    let work = || loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= count {
            return;
        }
        match catch_unwind(AssertUnwindSafe(|| schedule(seed))) {
            Ok(result) => sum.fetch_add(result, Ordering::Relaxed),
            Err(_) => panic!("seed {seed} failed"),
        };
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        let failed = threads.into_iter().filter_map(|thread| thread.join().err()).next();
        if let Some(payload) = failed {
            std::panic::resume_unwind(payload);
        }
    });
    sum.into_inner()
}
