//! What lasts of a job: its phase, the tasks that are done and their failures.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::model::Run;

/// Where a job stands.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    #[default]
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
}

impl Phase {
    /// Tells whether nothing about the job can change any more.
    pub fn is_final(self) -> bool {
        matches!(self, Phase::Completed | Phase::Failed | Phase::Cancelled)
    }

    /// Name for logs.
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

/// A set of task indices.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndexSet(Vec<u8>);

impl IndexSet {
    /// Adds an index; tells whether it was new.
    pub fn insert(&mut self, index: u32) -> bool {
        let (byte, bit) = (index as usize / 8, 1 << (index % 8));
        if self.0.len() <= byte {
            self.0.resize(byte + 1, 0);
        }
        let is_new = self.0[byte] & bit == 0;
        self.0[byte] |= bit;
        is_new
    }

    /// Tells whether the index is in the set.
    pub fn contains(&self, index: u32) -> bool {
        self.0.get(index as usize / 8).is_some_and(|byte| byte & (1 << (index % 8)) != 0)
    }

    /// Number of indices.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|byte| byte.count_ones()).sum()
    }

    /// Tells whether the set has no index.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Ends of the tasks of one step.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    pub done: IndexSet,
    /// Runs that failed, of tasks that are not done. Run numbers tell an end that a worker lists
    /// again after a takeover from a new one.
    pub failures: BTreeMap<u32, BTreeSet<Run>>,
}

/// The record of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    pub phase: Phase,
    /// By occurrence and step; a missing entry has no end yet.
    pub steps: BTreeMap<(u32, u16), StepProgress>,
    /// Epoch of the owner at its end, and when it ended by the owner's time of day.
    pub ended_at: u64,
}
