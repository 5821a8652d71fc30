//! Attribution of failures to workers or to jobs.

use std::time::Duration;

use crate::cell::owner::Cell;
use crate::cell::state::Event;
use crate::id::JobId;
use crate::time::Time;

/// A worker is at fault after failures of this many different jobs with no success in between.
const QUARANTINE_THRESHOLD: usize = 3;
const BASE_QUARANTINE: Duration = Duration::from_secs(60);
const MAX_QUARANTINE: Duration = Duration::from_secs(15 * 60);
/// Time without orders after a refusal: the agent's next reports show the reason.
const REFUSAL_BACKOFF: Duration = Duration::from_secs(1);

impl Cell {
    pub(super) fn is_quarantined(&self, now: Time, slot: usize) -> bool {
        self.workers.get(slot).is_some_and(|worker| worker.is_quarantined(now))
    }

    pub(super) fn record_success(&mut self, slot: usize, job: &JobId) {
        if let Some(worker) = self.workers.get_mut(slot) {
            worker.record_success(job);
        }
    }

    pub(super) fn record_refusal(&mut self, now: Time, slot: usize) {
        if let Some(worker) = self.workers.get_mut(slot) {
            worker.backoff_until = now + REFUSAL_BACKOFF;
        }
    }

    /// Counts a failure against the worker, and quarantines it when it is at fault. Only the first
    /// failure of a job since its last success counts: otherwise three jobs that fail everywhere
    /// would put each worker of an idle cell into quarantine and be cleared themselves.
    pub(super) fn record_failure(&mut self, now: Time, slot: usize, job: &JobId) {
        let Some(worker) = self.workers.get_mut(slot) else { return };
        worker.failed_jobs.insert(job.clone());
        if worker.failed_jobs.len() < QUARANTINE_THRESHOLD || worker.is_quarantined(now) {
            return;
        }
        let backoff = BASE_QUARANTINE * 2u32.saturating_pow(worker.quarantines.min(8));
        worker.quarantined_until = now + backoff.min(MAX_QUARANTINE);
        worker.quarantines += 1;
        worker.failed_jobs.clear();
        let agent = worker.agent.clone();
        self.propose(Event::Blamed { agent });
    }
}
