//! Cost of a placement, a heartbeat and of state, by fleet size.

mod agent;
mod cell;
mod entry;

use std::time::{Duration, Instant};

/// Fleet sizes of the tables: a cell, and three sizes of the fleet in one table.
pub const SIZES: [usize; 4] = [450, 1_000, 9_000, 27_000];
/// Batch tasks on a VM at the plan's size: 630,000 on 27,000 workers.
pub const TASKS_PER_VM: usize = 24;

/// Runs the measurement and prints its tables.
///
/// # Errors
///
/// Fails when the measurement cannot be taken.
pub fn run() -> eyre::Result<()> {
    cell::run()?;
    entry::run()?;
    agent::run()
}

/// Returns the mean time of one of `count` calls.
pub fn mean(count: usize, mut call: impl FnMut(usize)) -> Duration {
    let begin = Instant::now();
    (0..count).for_each(&mut call);
    begin.elapsed() / count.max(1) as u32
}

/// Builds a value and returns it with the growth of allocated memory for each of `count` items.
pub fn grown<T>(count: usize, build: impl FnOnce() -> T) -> (T, usize) {
    let before = crate::ALLOCATOR.allocated();
    let value = build();
    (value, crate::ALLOCATOR.allocated().saturating_sub(before) / count.max(1))
}

/// Returns the encoded size of a message with its frame.
///
/// # Errors
///
/// Fails when the message exceeds the frame limit.
pub fn encoded<T: serde::Serialize>(message: &T) -> eyre::Result<usize> {
    let frame = peridotfold_wire::frame::encode(message).map_err(|error| eyre::eyre!(error))?;
    Ok(frame.len())
}
