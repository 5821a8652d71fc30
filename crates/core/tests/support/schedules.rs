//! Runs randomised tests (schedules) with many seeds on several threads, and shrinks a failing
//! schedule to the steps that matter.

// Each test binary includes this module and uses only a part of it.
#![allow(dead_code)]

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::panic::{self, catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Once;
use std::thread;

const THREADS: usize = 4;
/// Maximum number of runs for shrinking one schedule: enough to try each of 200 steps several
/// times.
const MAX_TRIALS: usize = 2_000;

/// Steps of the schedule that is running on this thread.
#[derive(Default)]
struct Steps {
    /// Number of steps reached so far.
    count: usize,
    /// Numbers of the steps to perform; `None` for all.
    selected: Option<BTreeSet<usize>>,
    /// Descriptions of the steps performed while shrinking.
    performed: Vec<String>,
}

thread_local! {
    static STEPS: RefCell<Steps> = RefCell::default();
    /// Whether this thread runs a trial of a shrunk schedule, whose panics are not printed.
    static IS_TRIAL: Cell<bool> = const { Cell::new(false) };
}

/// Returns the number of schedules to run: `PERIDOTFOLD_SCHEDULES`, or the default of the test.
pub fn count(default: u64) -> u64 {
    match std::env::var("PERIDOTFOLD_SCHEDULES") {
        Ok(text) => text.parse().expect("PERIDOTFOLD_SCHEDULES is a number"),
        Err(_) => default,
    }
}

/// Returns the only seed to run, `PERIDOTFOLD_SEED`, if it is set.
pub fn only_seed() -> Option<u64> {
    let text = std::env::var("PERIDOTFOLD_SEED").ok()?;
    Some(text.parse().expect("PERIDOTFOLD_SEED is a number"))
}

/// Tells whether to perform the next step of the schedule. Steps are skipped only while a failing
/// schedule is being shrunk.
pub fn step(describe: impl FnOnce() -> String) -> bool {
    STEPS.with_borrow_mut(|steps| {
        let number = steps.count;
        steps.count += 1;
        let Some(selected) = &steps.selected else { return true };
        let is_selected = selected.contains(&number);
        if is_selected {
            steps.performed.push(format!("step {number}: {}", describe()));
        }
        is_selected
    })
}

/// Runs `check` with `PERIDOTFOLD_SEED`, or with the seeds below [`count`], and returns the sum of
/// its results.
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

/// Runs `check` with the seeds below `count`, regardless of environment variables, and returns the
/// sum of its results.
///
/// # Panics
///
/// Panics as [`run`] does.
pub fn run_all(count: u64, check: impl Fn(u64) -> u64 + Sync) -> u64 {
    let (next, sum) = (AtomicU64::new(0), AtomicU64::new(0));
    thread::scope(|scope| {
        let run_seeds = || loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= count {
                return;
            }
            STEPS.take();
            match catch_unwind(AssertUnwindSafe(|| check(seed))) {
                Ok(result) => sum.fetch_add(result, Ordering::Relaxed),
                Err(_) => {
                    next.store(count, Ordering::Relaxed);
                    let shortest = shrink(STEPS.take().count, || check(seed));
                    panic!("failed with PERIDOTFOLD_SEED={seed}{shortest}");
                }
            };
        };
        for thread in (0..THREADS).map(|_| scope.spawn(run_seeds)).collect::<Vec<_>>() {
            if let Err(panic) = thread.join() {
                std::panic::resume_unwind(panic);
            }
        }
    });
    sum.into_inner()
}

/// Searches the shortest failing schedule, and returns its description. Finds the shortest prefix
/// of the steps that fails, then removes each step without which it still fails.
fn shrink(count: usize, check: impl Fn() -> u64) -> String {
    let mut trials = 0;
    let mut fails = |selected: &BTreeSet<usize>| {
        trials += 1;
        (trials <= MAX_TRIALS).then(|| run_subset(selected, &check)).flatten()
    };
    let prefixes = (0..=count).map(|length| (0..length).collect::<BTreeSet<usize>>());
    let found = prefixes.into_iter().find_map(|selected| Some((fails(&selected)?, selected)));
    let Some((mut shortest, mut selected)) = found.filter(|_| count > 0) else {
        return String::new();
    };
    loop {
        let before = selected.len();
        for number in selected.clone() {
            let subset = selected.iter().copied().filter(|other| *other != number).collect();
            if let Some(shorter) = fails(&subset) {
                (shortest, selected) = (shorter, subset);
            }
        }
        if selected.len() == before {
            let summary = format!("shortest failing schedule found: {before} of {count} steps");
            return format!("\n{summary}\n{shortest}");
        }
    }
}

/// Runs a schedule with only the selected steps. If it fails, returns the descriptions of the steps
/// and the panic message.
fn run_subset(selected: &BTreeSet<usize>, check: impl Fn() -> u64) -> Option<String> {
    static INSTALL_HOOK: Once = Once::new();
    INSTALL_HOOK.call_once(|| {
        let default_hook = panic::take_hook();
        panic::set_hook(Box::new(move |info| {
            if !IS_TRIAL.get() {
                default_hook(info)
            }
        }));
    });
    STEPS.set(Steps { selected: Some(selected.clone()), ..Steps::default() });
    IS_TRIAL.set(true);
    let result = catch_unwind(AssertUnwindSafe(check));
    IS_TRIAL.set(false);
    let steps = STEPS.take();
    let panic = result.err()?;
    let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
    let message = panic.downcast::<String>().ok().map(|text| *text).or(text).unwrap_or_default();
    Some([steps.performed, vec![message]].concat().join("\n"))
}
