//! What callers and operators see.

use super::model::JobNumber;
use super::owner::{Job, Owner};
use super::progress::Phase;

impl Owner {
    /// Returns the phase of a job; an end only once it is durable.
    pub fn phase(&self, number: JobNumber) -> Option<Phase> {
        self.jobs.get(&number).map(|job| match job.phase {
            phase if phase.is_final() && job.durable < job.version => Phase::Running,
            phase => phase,
        })
    }

    /// Counts the jobs of a queue that have not begun.
    pub fn waiting(&self, queue: &str) -> u64 {
        let waits = |job: &&Job| job.phase == Phase::Queued && job.spec.queue.name == queue;
        self.jobs.values().filter(waits).count() as u64
    }

    /// Number of jobs that have not ended.
    pub fn open_jobs(&self) -> usize {
        self.jobs.values().filter(|job| !job.phase.is_final()).count()
    }
}
