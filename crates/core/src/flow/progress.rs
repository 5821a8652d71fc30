//! Durable state of a job: its phase, finished tasks and failures.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::model::{JobSpec, Run};

/// Lifecycle phase of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// No worker has begun a task yet, as far as is known.
    #[default]
    Queued,
    /// A worker has begun a task.
    Running,
    /// All tasks of all occurrences are done.
    Completed,
    /// A task has failed as often as its queue allows.
    Failed,
    Cancelled,
}

impl Phase {
    /// Tells whether the job has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Phase::Completed | Phase::Failed | Phase::Cancelled)
    }

    /// Returns the lower-case name of the phase for logs.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Queued => "queued",
            Phase::Running => "running",
            Phase::Completed => "completed",
            Phase::Failed => "failed",
            Phase::Cancelled => "cancelled",
        }
    }
}

/// A set of task indices, stored as a bitmap.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndexSet(Vec<u8>);

impl IndexSet {
    /// Adds an index; returns whether the set did not contain it before.
    pub fn insert(&mut self, index: u32) -> bool {
        let (byte, bit) = (index as usize / 8, 1 << (index % 8));
        if self.0.len() <= byte {
            self.0.resize(byte + 1, 0);
        }
        let is_new = self.0[byte] & bit == 0;
        self.0[byte] |= bit;
        is_new
    }

    /// Tells whether the set contains an index.
    pub fn contains(&self, index: u32) -> bool {
        self.0.get(index as usize / 8).is_some_and(|byte| byte & (1 << (index % 8)) != 0)
    }

    /// Returns the number of indices in the set.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|byte| byte.count_ones()).sum()
    }

    /// Tells whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Finished tasks and failures of one step.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Indices of the tasks that have finished successfully.
    pub done: IndexSet,
    /// Failed runs of tasks that are not done, by index of the task; of a gang, under index 0. The
    /// run numbers prevent a failure from being counted twice when a worker lists the end of the
    /// run again after a takeover.
    pub failures: BTreeMap<u32, BTreeSet<Run>>,
}

/// The stored progress record of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    pub phase: Phase,
    /// Progress of each step by occurrence and index of the step; empty once the job has ended.
    pub steps: BTreeMap<(u32, u16), StepProgress>,
    /// Owner's epoch and wall-clock time at the end of the job; no code sets or reads the field.
    pub ended_at: u64,
}

impl Progress {
    /// Checks that the record is one of a job: it has only steps of the job, and no occurrence is
    /// missing before its last one.
    ///
    /// # Errors
    ///
    /// Returns a description of the first fault.
    pub fn check(&self, spec: &JobSpec) -> Result<(), String> {
        let occurrences: BTreeSet<u32> = self.steps.keys().map(|(number, _)| *number).collect();
        let last = occurrences.last().copied();
        if last.is_some_and(|last| last as usize >= occurrences.len()) {
            return Err(format!("occurrence {last:?}, but {} in all", occurrences.len()));
        }
        match self.steps.keys().find(|(_, step)| usize::from(*step) >= spec.steps.len()) {
            Some((_, step)) => Err(format!("step {step} does not exist")),
            None => Ok(()),
        }
    }
}
