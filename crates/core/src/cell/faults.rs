//! Attribution of task failures to a faulty worker or to a faulty job.

use std::time::Duration;

use crate::cell::owner::Cell;
use crate::cell::state::Event;
use crate::id::JobId;
use crate::time::Time;

/// Number of different jobs that have to fail on a worker, with no completed task in between,
/// before the worker counts as faulty and is quarantined, which means that it gets no tasks for
/// some time.
const QUARANTINE_THRESHOLD: usize = 3;
/// Length of the first quarantine of a worker; doubles with each further one.
const BASE_QUARANTINE: Duration = Duration::from_secs(60);
/// Upper limit of the length of a quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(15 * 60);
/// Time without new tasks for a worker after it refused a start. The agent's next reports show the
/// reason for the refusal, such as less free capacity.
const REFUSAL_BACKOFF: Duration = Duration::from_secs(1);

impl Cell {
    /// Tells whether the worker in this slot was found faulty and gets no tasks for now.
    pub(super) fn is_quarantined(&self, now: Time, slot: usize) -> bool {
        self.workers.get(slot).is_some_and(|worker| worker.is_quarantined(now))
    }

    /// Clears the failures counted against the worker in this slot after a task of `job` completed
    /// there.
    pub(super) fn record_success(&mut self, slot: usize, job: &JobId) {
        if let Some(worker) = self.workers.get_mut(slot) {
            worker.record_success(job);
        }
    }

    /// Places no new tasks on the worker in this slot for a short time, because its agent refused
    /// to start one.
    pub(super) fn record_refusal(&mut self, now: Time, slot: usize) {
        if let Some(worker) = self.workers.get_mut(slot) {
            worker.backoff_until = now + REFUSAL_BACKOFF;
        }
    }

    /// Counts a failure of `job` against the worker in this slot, and quarantines the worker at
    /// [`QUARANTINE_THRESHOLD`]. Callers pass only the first failure of a job since one of its
    /// tasks last completed. Otherwise three jobs that fail everywhere would quarantine every
    /// worker of an idle cell, and their own failures would no longer count against them.
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
