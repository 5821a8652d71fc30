//! Runs seeded schedules on a few threads, and shortens one that fails.

// Not every test names its steps.
#![allow(dead_code)]

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::panic::{self, catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Once;
use std::thread;

const THREADS: usize = 4;
/// Most runs for shortening one schedule: enough to try each of 200 steps several times.
const TRIALS: usize = 2_000;

/// Steps of the schedule that runs on this thread.
#[derive(Default)]
struct Steps {
    count: usize,
    /// Numbers of the steps to perform; `None`: all.
    kept: Option<BTreeSet<usize>>,
    performed: Vec<String>,
}

thread_local! {
    static STEPS: RefCell<Steps> = RefCell::default();
    /// Whether panics are expected on this thread.
    static IS_TRIAL: Cell<bool> = const { Cell::new(false) };
}

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

/// Tells whether to perform the next step of the schedule: always, unless a failing schedule is
/// being shortened.
pub fn step(describe: impl FnOnce() -> String) -> bool {
    STEPS.with_borrow_mut(|steps| {
        let number = steps.count;
        steps.count += 1;
        let Some(kept) = &steps.kept else { return true };
        let is_kept = kept.contains(&number);
        if is_kept {
            steps.performed.push(format!("step {number}: {}", describe()));
        }
        is_kept
    })
}

/// Runs `check` with each seed, and returns the sum of its results.
///
/// # Panics
///
/// Panics when a check panics, with the seed and the shortest failing schedule that was found.
pub fn run(default: u64, check: impl Fn(u64) -> u64 + Sync) -> u64 {
    match only_seed() {
        Some(seed) => check(seed),
        None => run_all(count(default), check),
    }
}

/// Does the same with the seeds below `count`, whatever the environment says.
///
/// # Panics
///
/// As [`run`].
pub fn run_all(count: u64, check: impl Fn(u64) -> u64 + Sync) -> u64 {
    let (next, sum) = (AtomicU64::new(0), AtomicU64::new(0));
    thread::scope(|scope| {
        let work = || loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= count {
                return;
            }
            STEPS.take();
            match catch_unwind(AssertUnwindSafe(|| check(seed))) {
                Ok(result) => sum.fetch_add(result, Ordering::Relaxed),
                Err(_) => {
                    next.store(count, Ordering::Relaxed);
                    let shortest = shorten(STEPS.take().count, || check(seed));
                    panic!("failed with PERIDOTFOLD_SEED={seed}{shortest}");
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

/// Describes the shortest failing schedule that is found: the shortest prefix of its steps that
/// fails, without each step that it does not need.
fn shorten(count: usize, check: impl Fn() -> u64) -> String {
    let mut trials = 0;
    let mut fails = |kept: &BTreeSet<usize>| {
        trials += 1;
        (trials <= TRIALS).then(|| failure(kept, &check)).flatten()
    };
    let prefixes = (0..=count).map(|length| (0..length).collect::<BTreeSet<usize>>());
    let found = prefixes.into_iter().find_map(|kept| Some((fails(&kept)?, kept)));
    let Some((mut shortest, mut kept)) = found.filter(|_| count > 0) else {
        return String::new();
    };
    loop {
        let before = kept.len();
        for number in kept.clone() {
            let fewer = kept.iter().copied().filter(|other| *other != number).collect();
            if let Some(shorter) = fails(&fewer) {
                (shortest, kept) = (shorter, fewer);
            }
        }
        if kept.len() == before {
            let head = format!("shortest failing schedule found: {before} of {count} steps");
            return format!("\n{head}\n{shortest}");
        }
    }
}

/// Runs a schedule with some of its steps; returns these and the message if it fails.
fn failure(kept: &BTreeSet<usize>, check: impl Fn() -> u64) -> Option<String> {
    static HOOK: Once = Once::new();
    HOOK.call_once(|| {
        let usual = panic::take_hook();
        panic::set_hook(Box::new(move |info| {
            if !IS_TRIAL.get() {
                usual(info)
            }
        }));
    });
    STEPS.set(Steps { kept: Some(kept.clone()), ..Steps::default() });
    IS_TRIAL.set(true);
    let result = catch_unwind(AssertUnwindSafe(check));
    IS_TRIAL.set(false);
    let steps = STEPS.take();
    let panic = result.err()?;
    let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
    let message = panic.downcast::<String>().ok().map(|text| *text).or(text).unwrap_or_default();
    Some([steps.performed, vec![message]].concat().join("\n"))
}
