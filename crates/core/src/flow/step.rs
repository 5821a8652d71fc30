//! State of the tasks of one step in one occurrence of a job.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::model::{Run, Step};
use super::owner::Slot;
use super::progress::{IndexSet, StepProgress};
use super::speed::RunTimes;
use crate::time::Time;

/// A run in progress of one task, ordered by this owner or adopted from a worker's listing.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub run: Run,
    /// Node on which the run is in progress.
    pub slot: Slot,
    /// When this owner ordered or adopted the run.
    pub since: Time,
    /// Why the owner has ordered to stop the run; `None` if it has not.
    pub stop_reason: Option<StopReason>,
    /// Since when the step had been idle at the start of the run; counts on if the start is rejected,
    /// or if the run was for the relief of the step.
    idle_since: Option<Time>,
    /// Whether the run was started because the step was starved.
    pub is_relief: bool,
    /// Whether this owner has ordered the run and it does all of the task's work: it was not adopted
    /// and did not resume from a checkpoint.
    pub is_whole: bool,
}

impl Attempt {
    /// Returns a run that is ordered or adopted at `since`.
    pub fn new(run: Run, slot: Slot, since: Time) -> Self {
        Attempt {
            run,
            slot,
            since,
            stop_reason: None,
            idle_since: None,
            is_relief: false,
            is_whole: false,
        }
    }

    /// Tells whether the owner has ordered to stop the run.
    pub fn is_stopping(&self) -> bool {
        self.stop_reason.is_some()
    }
}

/// Reason for which the owner stops a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// The job was cancelled.
    Cancelled,
    /// A task of the job has used up its attempts.
    JobFailed,
    /// The task is done by another run, or its gang is.
    TaskDone,
    /// Another task of the gang has ended or is lost.
    GangBroken,
    /// The worker drains.
    WorkerDrains,
    /// The run made no progress.
    Stalled,
    /// The last task of a step moves to a worker that throttles it less, or an overdue run leaves a
    /// slow worker.
    Straggler,
}

/// State of the tasks of a step. Maps and sets are keyed by the task's index, unless stated
/// otherwise.
#[derive(Debug, Clone, Default)]
pub struct StepState {
    /// Tasks that are neither done nor in progress.
    pub waiting: BTreeSet<u32>,
    /// Run in progress of each task that has one.
    pub running: BTreeMap<u32, Attempt>,
    /// Tasks that have finished successfully.
    pub done: IndexSet,
    /// Number of tasks in `done`.
    pub done_count: u32,
    /// Failed runs of each task that is not done; of a gang, under index 0.
    pub failures: BTreeMap<u32, BTreeSet<Run>>,
    /// Newest checkpoint of each task; of a gang, under index 0.
    pub checkpoints: HashMap<u32, String>,
    /// Highest run number that each task has had under this owner.
    pub last_runs: HashMap<u32, Run>,
    /// For each task, the last node on which it failed, stalled or could not start. Placement
    /// prefers other nodes for the task.
    pub avoided_nodes: HashMap<u32, Slot>,
    /// Tasks whose wait for a near node has ended without one; they do not wait again.
    pub near_waited: BTreeSet<u32>,
    /// Work that the newest checkpoint of each task holds, in run time near its data: the run that
    /// wrote it, the work before this run, and all of it. Of a gang, under index 0.
    pub work_done: HashMap<u32, (Run, Duration, Duration)>,
    /// Number of tasks of the step in progress on each node.
    pub per_worker: HashMap<Slot, u32>,
    /// Times of the last runs that ended by themselves.
    pub run_times: RunTimes,
    /// Whether placement has seen that all steps that this step depends on are done.
    pub is_ready: bool,
    /// Whether the last run that ended had been started because the step was starved.
    pub was_relieved: bool,
    /// Since when placement has seen the step ready and without runs; `None` while runs are in
    /// progress. For a long-running step, since when some of its tasks wait and none was started.
    pub idle_since: Option<Time>,
}

impl StepState {
    /// Restores a step from the stored progress; unfinished tasks are waiting.
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

    /// Tells whether a node may run one more task of the step in addition to `planned` ones that have
    /// not been started yet.
    pub fn has_quota(&self, step: &Step, slot: Slot, planned: u32) -> bool {
        step.per_worker == 0
            || self.per_worker.get(&slot).copied().unwrap_or(0) + planned < step.per_worker
    }

    /// Returns the number for the next run of a task; `base` is the first run number of the owner's
    /// epoch.
    pub fn next_run(&self, index: u32, base: Run) -> Run {
        self.last_runs.get(&index).map_or(base, |last| (last + 1).max(base))
    }

    /// Records the start of a run.
    pub fn begin(&mut self, index: u32, mut attempt: Attempt) {
        attempt.idle_since = self.idle_since.take();
        self.waiting.remove(&index);
        self.last_runs.insert(index, attempt.run);
        *self.per_worker.entry(attempt.slot).or_default() += 1;
        self.running.insert(index, attempt);
    }

    /// Counts the wait on that the start of a run ended, unless the step has other runs.
    pub fn resume_wait(&mut self, ended: &Attempt) {
        if self.running.is_empty() {
            self.idle_since = ended.idle_since.or(self.idle_since);
        }
    }

    /// Removes the run in progress of a task, and returns it.
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
        self.near_waited.remove(&index);
        self.work_done.remove(&index);
    }

    /// Returns the part of the state that is stored and survives a takeover.
    pub fn record(&self) -> StepProgress {
        StepProgress { done: self.done.clone(), failures: self.failures.clone() }
    }
}
