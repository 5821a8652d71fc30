//! Submissions and cancellations in the store.
//!
//! A submission is stored only while the store has no cancellation of the job. A cancellation is
//! therefore stored also if its job is not: a submission that got no answer may still be carried
//! out, up to some seconds later and after this entry has ended. The owner removes such an early
//! cancellation once it has been kept as long as the record of an ended job.

use bytes::Bytes;
use peridotfold_core::flow::message::Stored;
use peridotfold_core::flow::model::JobNumber;
use peridotfold_wire::runtime;

use crate::entry::{Entry, RETRY_DELAY};
use crate::ports::{Item, Revision, Store, StoreError, Write, WriteResult};
use crate::records;

/// Outcome of a write that was repeated until it was known.
#[derive(Debug)]
enum Settled {
    /// The write was applied.
    Done,
    /// A condition did not hold, or an earlier attempt of the same write was applied. Lists the items
    /// that exist of those in conditions.
    Conflict(Vec<Item>),
    /// The write was not applied and will not be applied later.
    Refused,
}

/// What the store has of a job.
#[derive(Debug)]
enum StoredJob {
    /// The job, written at this revision, which has not ended.
    Open(Revision),
    /// The record of a job that has ended.
    Ended,
    /// Nothing.
    None,
}

/// Tells whether `items` contain the key `key`.
fn contains(items: &[Item], key: &str) -> bool {
    items.iter().any(|item| item.key == key)
}

impl<S: Store> Entry<S> {
    /// Writes a job to the store. Retries while it is unknown whether the write was applied.
    pub(crate) async fn store_job(&self, job: JobNumber, record: Bytes) -> Stored {
        let (job_key, progress_key) = (records::job_key(job), records::progress_key(job));
        let cancel_key = records::cancel_key(job);
        let write = Write {
            expect: vec![(job_key.clone(), 0), (progress_key.clone(), 0), (cancel_key.clone(), 0)],
            puts: vec![(job_key.clone(), record, None)],
            removes: Vec::new(),
        };
        // Runs again only if the early cancellation is removed between two writes.
        loop {
            let items = match self.write_until_known(&write).await {
                Settled::Done => return Stored::Yes,
                Settled::Refused => return Stored::No,
                Settled::Conflict(items) => items,
            };
            if contains(&items, &job_key) || contains(&items, &progress_key) {
                return Stored::Yes;
            }
            let Some(cancel) = items.into_iter().find(|item| item.key == cancel_key) else {
                return Stored::Yes;
            };
            if let Some(outcome) = self.note_submission(job, cancel).await {
                return outcome;
            }
        }
    }

    /// Notes in an early cancellation that its job was submitted, so that the job is shown as
    /// cancelled. Returns `None` if the cancellation has changed or is gone.
    async fn note_submission(&self, job: JobNumber, cancel: Item) -> Option<Stored> {
        if records::is_submitted(&cancel.value) {
            return Some(Stored::Yes);
        }
        let write = Write {
            expect: vec![(cancel.key.clone(), cancel.revision)],
            puts: vec![(cancel.key, records::submitted_cancel(), None)],
            removes: Vec::new(),
        };
        match self.write_until_known(&write).await {
            Settled::Done => {
                tracing::info!(event = "submitted_after_cancel", id = format!("{job:016x}"));
                Some(Stored::Yes)
            }
            Settled::Refused => Some(Stored::No),
            Settled::Conflict(_) => None,
        }
    }

    /// Writes the cancellation of a job to the store. Returns [`Stored::Unknown`] if the store does not
    /// have the job: no submission that was sent before will store it.
    pub(crate) async fn store_cancel(&self, job: JobNumber) -> Stored {
        let (job_key, progress_key) = (records::job_key(job), records::progress_key(job));
        let cancel_key = records::cancel_key(job);
        let put = (cancel_key.clone(), Bytes::new(), None);
        // Runs again only if the job is stored or ends between the reads and the write.
        loop {
            let stored = match self.find_job(job).await {
                Ok(stored) => stored,
                Err(error) => {
                    tracing::info!(event = "store_refused", %error);
                    self.set_store_up(false);
                    return Stored::No;
                }
            };
            let expect = match stored {
                StoredJob::Open(revision) => vec![(job_key.clone(), revision)],
                // There is nothing to cancel.
                StoredJob::Ended => return Stored::Yes,
                StoredJob::None => {
                    vec![(job_key.clone(), 0), (progress_key.clone(), 0), (cancel_key.clone(), 0)]
                }
            };
            let write = Write { expect, puts: vec![put.clone()], removes: Vec::new() };
            match (self.write_until_known(&write).await, stored) {
                (Settled::Refused, _) => return Stored::No,
                (Settled::Done | Settled::Conflict(_), StoredJob::Open(_)) => return Stored::Yes,
                (Settled::Done, _) => {
                    metrics::counter!("early_cancels").increment(1);
                    return Stored::Unknown;
                }
                (Settled::Conflict(items), _) => {
                    let is_stored = contains(&items, &job_key) || contains(&items, &progress_key);
                    match items.iter().find(|item| item.key == cancel_key) {
                        Some(cancel) if !is_stored => match records::is_submitted(&cancel.value) {
                            true => return Stored::Yes,
                            false => return Stored::Unknown,
                        },
                        _ => {}
                    }
                }
            }
        }
    }

    /// Reads what the store has of a job.
    async fn find_job(&self, job: JobNumber) -> Result<StoredJob, StoreError> {
        // In this order, as a job that ends between the reads moves from the first key to the second.
        if let Some(item) = self.store.get(&records::job_key(job)).await? {
            return Ok(StoredJob::Open(item.revision));
        }
        Ok(match self.store.get(&records::progress_key(job)).await? {
            Some(_) => StoredJob::Ended,
            None => StoredJob::None,
        })
    }

    /// Tells whether the store has an early cancellation of a job that was submitted later.
    pub(crate) async fn is_cancelled_early(&self, job: JobNumber) -> Result<bool, StoreError> {
        let cancel = self.store.get(&records::cancel_key(job)).await?;
        Ok(cancel.is_some_and(|item| records::is_submitted(&item.value)))
    }

    /// Retries an idempotent write until its outcome is known.
    async fn write_until_known(&self, write: &Write) -> Settled {
        let mut is_unclear = false;
        loop {
            match self.store.write(write).await {
                Ok(WriteResult::Done(_)) => {
                    self.set_store_up(true);
                    return Settled::Done;
                }
                Ok(WriteResult::Conflict(items)) => {
                    self.set_store_up(true);
                    return Settled::Conflict(items);
                }
                Ok(WriteResult::NoLease) => return Settled::Refused,
                Err(StoreError::Refused(error)) if !is_unclear => {
                    tracing::info!(event = "store_refused", error);
                    self.set_store_up(false);
                    return Settled::Refused;
                }
                Err(error) => {
                    is_unclear = true;
                    tracing::info!(event = "store_unclear", %error);
                    self.set_store_up(false);
                    runtime::sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}
