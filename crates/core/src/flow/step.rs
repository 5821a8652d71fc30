//! State of the tasks of one step in one occurrence of a job.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::model::{Run, Step};
use super::owner::Slot;
use super::progress::{IndexSet, StepProgress};
use crate::time::Time;

/// A run in progress, ordered by this owner or adopted from a worker's listing.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub run: Run,
    pub slot: Slot,
    /// Whether a stop was sent.
    pub is_stopping: bool,
}

/// State of the tasks of a step. Maps and sets are keyed by the task's index, unless stated
/// otherwise.
#[derive(Debug, Clone, Default)]
pub struct StepState {
    pub waiting: BTreeSet<u32>,
    pub running: BTreeMap<u32, Attempt>,
    pub done: IndexSet,
    pub done_count: u32,
    pub failures: BTreeMap<u32, BTreeSet<Run>>,
    /// Newest checkpoint of each task; of a gang, under index 0.
    pub checkpoints: HashMap<u32, String>,
    /// Highest run number of each task.
    pub last_runs: HashMap<u32, Run>,
    /// Node on which a task last failed, stalled or could not start.
    pub avoided_nodes: HashMap<u32, Slot>,
    /// Number of tasks in progress by node.
    pub per_worker: HashMap<Slot, u32>,
    /// When all steps that this step depends on were done.
    pub ready_since: Option<Time>,
}

impl StepState {
    /// Restores a step from its record; unfinished tasks are waiting.
    pub fn restore(step: &Step, progress: Option<&StepProgress>) -> Self {
        let progress = progress.cloned().unwrap_or_default();
        let waiting = (0..step.count).filter(|index| !progress.done.contains(*index)).collect();
        StepState {
            waiting,
            done_count: progress.done.len(),
            done: progress.done,
            failures: progress.failures,
            ..StepState::default()
        }
    }

    /// Tells whether all tasks are done. A long-running step never is.
    pub fn is_done(&self, step: &Step) -> bool {
        !step.long_running && self.done_count >= step.count
    }

    /// Returns the number for the next run of a task; `base` is the first of the epoch.
    pub fn next_run(&self, index: u32, base: Run) -> Run {
        self.last_runs.get(&index).map_or(base, |last| (last + 1).max(base))
    }

    /// Records the start of a run.
    pub fn begin(&mut self, index: u32, attempt: Attempt) {
        self.waiting.remove(&index);
        self.last_runs.insert(index, attempt.run);
        *self.per_worker.entry(attempt.slot).or_default() += 1;
        self.running.insert(index, attempt);
    }

    /// Removes the run in progress of a task.
    pub fn end(&mut self, index: u32) -> Option<Attempt> {
        let attempt = self.running.remove(&index)?;
        if let Some(count) = self.per_worker.get_mut(&attempt.slot) {
            *count -= 1;
        }
        Some(attempt)
    }

    /// Marks a task as done.
    pub fn complete(&mut self, index: u32) {
        if self.done.insert(index) {
            self.done_count += 1;
        }
        self.waiting.remove(&index);
        self.failures.remove(&index);
        self.checkpoints.remove(&index);
        self.avoided_nodes.remove(&index);
    }

    /// Returns the durable part of the state.
    pub fn record(&self) -> StepProgress {
        StepProgress { done: self.done.clone(), failures: self.failures.clone() }
    }
}
