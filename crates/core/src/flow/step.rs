//! Tasks of one step in one occurrence, as the owner knows them.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::model::{Run, Step};
use super::owner::Slot;
use super::progress::{IndexSet, StepProgress};
use crate::time::Time;

/// A run that was ordered, or that a worker listed.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub run: Run,
    pub slot: Slot,
    pub is_stopping: bool,
}

/// What is known of the tasks of a step.
#[derive(Debug, Clone, Default)]
pub struct StepState {
    pub waiting: BTreeSet<u32>,
    pub running: BTreeMap<u32, Attempt>,
    pub done: IndexSet,
    pub done_count: u32,
    pub failures: BTreeMap<u32, BTreeSet<Run>>,
    /// Newest checkpoints.
    pub checkpoints: HashMap<u32, String>,
    /// Last run numbers in use.
    pub last_runs: HashMap<u32, Run>,
    /// Workers on which a task failed or stood still last.
    pub avoid: HashMap<u32, Slot>,
    pub per_worker: HashMap<Slot, u32>,
    pub ready_since: Option<Time>,
}

impl StepState {
    /// Restores a step from its record; all tasks that are not done wait.
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

    /// Tells whether all tasks are done.
    pub fn is_done(&self, step: &Step) -> bool {
        !step.long_running && self.done_count >= step.count
    }

    /// Number of the next run of a task.
    pub fn next_run(&self, index: u32, base: Run) -> Run {
        self.last_runs.get(&index).map_or(base, |last| (last + 1).max(base))
    }

    /// Notes a run on a worker.
    pub fn begin(&mut self, index: u32, attempt: Attempt) {
        self.waiting.remove(&index);
        self.last_runs.insert(index, attempt.run);
        *self.per_worker.entry(attempt.slot).or_default() += 1;
        self.running.insert(index, attempt);
    }

    /// Forgets the current run of a task.
    pub fn end(&mut self, index: u32) -> Option<Attempt> {
        let attempt = self.running.remove(&index)?;
        if let Some(count) = self.per_worker.get_mut(&attempt.slot) {
            *count -= 1;
        }
        Some(attempt)
    }

    /// Notes that a task is done.
    pub fn complete(&mut self, index: u32) {
        if self.done.insert(index) {
            self.done_count += 1;
        }
        self.waiting.remove(&index);
        self.failures.remove(&index);
        self.checkpoints.remove(&index);
        self.avoid.remove(&index);
    }

    /// What lasts of the step.
    pub fn record(&self) -> StepProgress {
        StepProgress { done: self.done.clone(), failures: self.failures.clone() }
    }
}
