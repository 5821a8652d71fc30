//! An entry's part in the admission of jobs by load: asks the owner, and reads the store before it
//! refuses.

use std::collections::VecDeque;
use std::time::Duration;

use futures_lite::future;
use parking_lot::Mutex;
use peridotfold_core::flow::intake::gate::Admission;
use peridotfold_core::flow::intake::Demand;
use peridotfold_core::flow::message::{EntryRequest, OwnerReply};
use peridotfold_core::flow::model::{JobNumber, JobSpec};
use peridotfold_wire::runtime;

use crate::entry::{Entry, Role};
use crate::ports::{Store, StoreError};
use crate::records;

/// Time to wait for the owner's decision, after which a job is accepted: as much as a submission may
/// wait in addition to the store.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of jobs with an unclear outcome that an entry remembers.
const MAX_UNCLEAR_JOBS: usize = 256;

/// Jobs that this entry may have stored without an answer. Such a write may still be carried out after
/// a read that does not show it.
#[derive(Debug, Default)]
pub(crate) struct UnclearJobs(Mutex<VecDeque<JobNumber>>);

impl UnclearJobs {
    /// Adds a job; drops the oldest if there are too many.
    pub(crate) fn add(&self, job: JobNumber) {
        let mut jobs = self.0.lock();
        if jobs.len() == MAX_UNCLEAR_JOBS {
            jobs.pop_front();
        }
        jobs.push_back(job);
    }

    fn contains(&self, job: JobNumber) -> bool {
        self.0.lock().contains(&job)
    }
}

impl<S: Store> Entry<S> {
    /// Decides, within `timeout`, whether a job may be stored. Nothing is asked unless the owner has
    /// reported that the job's service is short of capacity. A job that may be stored already is not
    /// refused.
    pub async fn admit(&self, job: JobNumber, spec: &JobSpec, timeout: Duration) -> Admission {
        let started_at = runtime::now();
        let answer = self.ask_owner(job, spec, timeout.min(ADMISSION_TIMEOUT)).await;
        let Some(retry_after) = answer.filter(|_| !self.unclear.contains(job)) else {
            return Admission::Accepted;
        };
        let left = (started_at + timeout).saturating_sub(runtime::now());
        let is_stored = future::or(self.is_stored(job), async {
            runtime::sleep(left).await;
            Err(StoreError::Refused("no answer in time".to_owned()))
        });
        let is_stored = is_stored.await.inspect_err(|error| {
            let id = format!("{job:016x}");
            tracing::info!(event = "admission_unclear", id, %error);
        });
        let admission = Admission::of_refused(retry_after, is_stored.ok());
        if let Admission::Refused(_) = admission {
            metrics::counter!("admission_refusals", "queue" => spec.queue.name.clone())
                .increment(1);
        }
        admission
    }

    /// Asks the owner for a decision if it is needed. Returns the time after which the caller of a
    /// refused job is to return; `None` if the job is admitted or the owner does not answer.
    async fn ask_owner(
        &self,
        job: JobNumber,
        spec: &JobSpec,
        timeout: Duration,
    ) -> Option<Duration> {
        // Without the store, a refusal could not be told from a job that is stored.
        if self.is_store_down() {
            return None;
        }
        let service = &spec.queue.service;
        match self.role().0 {
            Role::Owner(owner)
                if owner.read(|it, now| it.short_services(now).contains(service)) =>
            {
                let demand = Demand::new(spec)?;
                owner.update(|it, now| it.admit(now, job, &demand))
            }
            Role::Follower(follower) if follower.is_short(service) => {
                let demand = Demand::new(spec)?;
                let request = |query| EntryRequest::Admit { query, job, demand };
                match follower.request(timeout, request).await {
                    Some(OwnerReply::Admission { retry_after, .. }) => retry_after,
                    _ => None,
                }
            }
            _ => None,
        }
    }

    /// Tells whether the store has a record of a job.
    async fn is_stored(&self, job: JobNumber) -> Result<bool, StoreError> {
        // In this order, as a job that ends between the reads moves from the first key to the second.
        let is_open = self.store.get(&records::job_key(job)).await?.is_some();
        Ok(is_open || self.store.get(&records::progress_key(job)).await?.is_some())
    }
}
