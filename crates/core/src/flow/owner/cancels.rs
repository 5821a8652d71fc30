//! Cancellations of jobs, also of those that are not stored.

use super::Owner;
use crate::flow::model::JobNumber;
use crate::flow::progress::Phase;
use crate::time::Time;

impl Owner {
    /// Handles a cancellation that is in the store. One whose job is not stored is kept there for as
    /// long as the record of an ended job: until then, no submission of the job may be stored.
    pub fn cancel(&mut self, now: Time, number: JobNumber) {
        let Some(job) = self.jobs.get_mut(&number) else {
            self.early_cancels.insert(number, now);
            return;
        };
        job.has_cancel = true;
        if job.phase.is_final() {
            self.mark_dirty(number, true);
            return;
        }
        self.log("job_cancelled", Some(number), String::new());
        self.finish_job(number, Phase::Cancelled);
    }

    /// Returns the number of stored cancellations of jobs that are not stored.
    pub fn early_cancels(&self) -> usize {
        self.early_cancels.len()
    }

    /// Marks early cancellations whose retention time is over for removal from the store.
    pub(super) fn expire_early_cancels(&mut self, now: Time) {
        let keep = self.settings.keep_ended;
        let old: Vec<JobNumber> = self
            .early_cancels
            .iter()
            .filter(|(_, at)| now > **at + keep)
            .map(|(n, _)| *n)
            .collect();
        if old.is_empty() {
            return;
        }
        self.log("early_cancels_expired", None, format!("jobs={}", old.len()));
        for number in old {
            self.early_cancels.remove(&number);
            self.expired_cancels.push(number);
        }
    }
}
