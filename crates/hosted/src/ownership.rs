//! Ownership of the scheduling of jobs: the claim, the renewal of its lease, and durable writes of
//! the owner's records.

mod hand_over;
mod inbox;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use parking_lot::Mutex as SyncMutex;
use peridotfold_core::flow::crashes::Crash;
use peridotfold_core::flow::interference::InterferenceRow;
use peridotfold_core::flow::model::{JobNumber, JobSpec};
use peridotfold_core::flow::owner::{Commit, Owner, OwnerSettings, Record};
use peridotfold_core::flow::progress::Progress;
use peridotfold_core::time::Time;
use peridotfold_wire::runtime;
use smol::lock::Mutex;

use crate::causes::CauseLog;
use crate::directory;
use crate::follower;
use crate::owner_service::OwnerService;
use crate::ports::{Item, LeaseId, Revision, Store, StoreError, Write, WriteResult};
use crate::records::{self, Fence, InboxKey, Lock};

/// Time to live of the owner's lease. Bounds the time without an owner after its machine is lost,
/// and the longest outage of the store during which the owner still starts tasks.
const LOCK_TTL: Duration = Duration::from_secs(3);
/// Percentage of the lease's time to live for which the owner relies on the lease after a renewal;
/// the rest covers differences of clock rates and delays.
const VALIDITY_PERCENT: u32 = 90;
/// Interval between renewals of the lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(700);
/// Maximum number of attempts to delete the lock. At most one write is in progress when the process
/// is told to stop.
const MAX_RELEASE_ATTEMPTS: u32 = 3;
/// Delay before a failed call to the store is retried. For a write of the owner's records, each
/// further delay doubles, up to [`MAX_RETRY_DELAY`].
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay between two attempts of a write while the store does not answer.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Identity of this process in the lock.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    /// Name of the node on which the process runs.
    pub(crate) node: String,
    /// Random number that tells processes on one node apart.
    pub(crate) boot: u64,
    /// Address for agents and other entries.
    pub(crate) address: SocketAddr,
}

/// The fence as of its last known write.
#[derive(Debug)]
struct FenceState {
    /// Value of the fence.
    fence: Fence,
    /// Revision of the fence in the store.
    revision: Revision,
}

/// The lock that a claim replaces; by default none.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ReplacedLock {
    /// Revision of the lock; 0 if there is none.
    pub(crate) revision: Revision,
    /// Epoch of the owner that gave the lock up. The claim fails if the fence is of another one.
    /// `None` if no owner is left that could use the lock.
    pub(crate) epoch: Option<u32>,
}

/// The ownership held by this process.
#[derive(Debug)]
pub(crate) struct Ownership<S> {
    store: S,
    identity: Identity,
    /// Locked during each write that changes the fence, so that at most one is in progress.
    state: Mutex<FenceState>,
    /// Lease of the lock. Apart from `state`, so that renewals do not wait for a write. Lock order:
    /// `state`, then `lease`.
    lease: SyncMutex<LeaseId>,
    /// When the validity of the first lease ends.
    valid_until: Time,
    /// Since when no call to the store has been answered; `None` if the last one was.
    unanswered_since: SyncMutex<Option<Time>>,
    /// Causes for which records were skipped.
    unreadable: CauseLog,
}

/// Returns the time until which the owner relies on a lease that was requested at `sent_at`.
fn validity_end(sent_at: Time, ttl: Duration) -> Time {
    sent_at + ttl * VALIDITY_PERCENT / 100
}

impl FenceState {
    /// Adopts the stored fence if `items` contain one that this process wrote in the same epoch.
    /// Tells whether they do.
    fn adopt(&mut self, items: &[Item]) -> bool {
        let stored = items.iter().find(|item| item.key == records::FENCE);
        let fence = stored.and_then(|item| records::decode::<Fence>(&item.value).ok());
        match (stored, fence) {
            (Some(item), Some(fence))
                if (fence.epoch, fence.boot) == (self.fence.epoch, self.fence.boot) =>
            {
                self.fence = fence;
                self.revision = item.revision;
                true
            }
            _ => false,
        }
    }
}

/// Encodes a record; a failure counts as a write that was not carried out.
fn encode_record<T: serde::Serialize>(value: &T) -> Result<bytes::Bytes, StoreError> {
    records::encode(value).map_err(StoreError::Refused)
}

impl<S: Store> Ownership<S> {
    /// Claims the ownership, in place of a lock that an earlier process of this node left behind or
    /// that its owner gave up. Returns `None` if another entry claimed first.
    pub(crate) async fn claim(
        store: S,
        identity: Identity,
        replaced: ReplacedLock,
    ) -> Result<Option<Self>, StoreError> {
        let fence_item = store.get(records::FENCE).await?;
        let (last, revision) = match &fence_item {
            None => (Fence::default(), 0),
            Some(item) => match records::decode::<Fence>(&item.value) {
                Ok(fence) => (fence, item.revision),
                Err(error) => {
                    return Err(StoreError::Refused(format!("unreadable fence: {error}")))
                }
            },
        };
        if replaced.epoch.is_some_and(|epoch| epoch != last.epoch) {
            return Ok(None);
        }
        let sent_at = runtime::now();
        let (lease, ttl) = store.open_lease(LOCK_TTL).await?;
        let fence = Fence { epoch: last.epoch + 1, boot: identity.boot, sequence: 0 };
        let write = claim_write(&identity, fence, (replaced.revision, revision), lease)?;
        match store.write(&write).await? {
            WriteResult::Done(revision) => {
                tracing::info!(event = "ownership_claimed", epoch = fence.epoch, lease);
                Ok(Some(Ownership {
                    store,
                    identity,
                    state: Mutex::new(FenceState { fence, revision }),
                    lease: SyncMutex::new(lease),
                    valid_until: validity_end(sent_at, ttl),
                    unanswered_since: SyncMutex::new(None),
                    unreadable: CauseLog::default(),
                }))
            }
            WriteResult::Conflict(_) | WriteResult::NoLease => Ok(None),
        }
    }

    /// Restores the owner's state from the store. Returns the owner's service and the revision from
    /// which the inbox must be watched.
    pub(crate) async fn start_service(
        &self,
        settings: OwnerSettings,
    ) -> Result<(Arc<OwnerService>, Revision), StoreError> {
        let epoch = self.state.lock().await.fence.epoch;
        let (inbox, as_of) = self.store.range(records::INBOX_PREFIX).await?;
        let (progress, _) = self.store.range(records::PROGRESS_PREFIX).await?;
        let roster = self.store.get(records::ROSTER).await?;
        let interference = self.store.get(records::INTERFERENCE).await?;
        let crashes = self.store.get(records::CRASHES).await?;
        let now = runtime::now();
        let mut owner = Owner::new(OwnerSettings { epoch, ..settings }, now);
        let roster = roster.map(|item| records::decode::<Vec<String>>(&item.value)).transpose();
        let agents = roster.as_ref().ok().map(|names| names.as_ref().map_or(0, Vec::len));
        tracing::info!(
            event = "takeover",
            epoch,
            jobs = inbox.len(),
            records = progress.len(),
            agents
        );
        match roster {
            Ok(names) => owner.set_predecessor(now, names.unwrap_or_default()),
            Err(error) => {
                self.skip(records::ROSTER, &error);
                owner.set_unknown_predecessor(now);
            }
        }
        match interference.map(|item| records::decode::<Vec<InterferenceRow>>(&item.value)) {
            Some(Ok(rows)) => owner.inherit_interference(&rows),
            // The weights are optional: the owner learns them again.
            Some(Err(error)) => tracing::warn!(event = "press_unreadable", %error),
            None => {}
        }
        match crashes.map(|item| records::decode::<Vec<Crash>>(&item.value)) {
            Some(Ok(rows)) => owner.inherit_crashes(rows),
            // The jobs go on: the crashes that follow count anew.
            Some(Err(error)) => tracing::error!(event = "crashes_unreadable", %error),
            None => {}
        }
        self.restore_jobs(&mut owner, now, &inbox, &progress);
        let service = Arc::new(OwnerService::new(owner, self.identity.address));
        Ok((service, as_of))
    }

    /// Renews the lease, writes records and watches the inbox until the ownership is lost or the
    /// service is shut down.
    pub(crate) async fn run(&self, service: &OwnerService, as_of: Revision) {
        service.update(|owner, _| owner.set_valid_until(self.valid_until));
        let ended = async {
            service.ended.wait().await;
        };
        let work = future::or(self.renew(service), self.commit(service));
        let work = future::or(work, service.run_rounds());
        let work = future::or(work, self.hand_over_if_cut_off(service));
        future::or(ended, future::or(work, self.watch(service, as_of))).await;
    }

    /// Writes the records that are not durable yet, then gives up the ownership by deleting the
    /// lock.
    pub(crate) async fn release(&self, service: &OwnerService) {
        while let Some(commit) = service.update(|owner, now| owner.take_commit(now)) {
            if !self.write(service, &commit).await {
                return;
            }
        }
        let mut state = self.state.lock().await;
        for _ in 0..MAX_RELEASE_ATTEMPTS {
            let mut write = match self.fenced_write(&state) {
                Ok((write, _)) => write,
                Err(error) => {
                    tracing::error!(event = "release_failed", %error);
                    return;
                }
            };
            write.removes.push(records::LOCK.to_owned());
            match self.store.write(&write).await {
                Ok(WriteResult::Done(revision)) => {
                    state.revision = revision;
                    tracing::info!(event = "ownership_released");
                    return;
                }
                // An interrupted write of this process was applied: retry with its fence.
                Ok(WriteResult::Conflict(items)) if state.adopt(&items) => {}
                other => {
                    tracing::warn!(event = "release_failed", outcome = ?other);
                    return;
                }
            }
        }
        tracing::warn!(event = "release_failed", reason = "other writes came first");
    }

    /// Renews the lease until the ownership is lost.
    async fn renew(&self, service: &OwnerService) {
        loop {
            runtime::sleep(RENEW_INTERVAL).await;
            let sent_at = runtime::now();
            let lease = *self.lease.lock();
            let renewed = self.store.renew_lease(lease).await;
            self.note_call(&renewed);
            match renewed {
                Ok(true) => {
                    service
                        .update(|owner, _| owner.set_valid_until(validity_end(sent_at, LOCK_TTL)));
                }
                Ok(false) => {
                    tracing::warn!(event = "lease_ended", lease);
                    if !self.reclaim(service).await {
                        return;
                    }
                }
                Err(error) => {
                    let is_valid = service.read(|owner, now| owner.is_valid(now));
                    tracing::warn!(event = "lease_not_renewed", lease, is_valid, %error);
                    if !is_valid && self.is_replaced(service).await {
                        tracing::warn!(event = "ownership_lost", reason = "another owner");
                        return;
                    }
                }
            }
        }
    }

    /// Tells whether another entry is the owner. Asks the other entries if the store does not
    /// answer this one.
    async fn is_replaced(&self, service: &OwnerService) -> bool {
        match directory::read_lock(&self.store).await {
            Ok(Some((lock, _))) => return lock.boot != self.identity.boot,
            Ok(None) => return false,
            Err(error) => tracing::info!(event = "lock_not_read", %error),
        }
        let Identity { node, address, .. } = &self.identity;
        for peer in service.known_entries() {
            let owner = follower::query_owner(peer, node, *address).await;
            if owner.is_some_and(|owner| owner != *address) {
                return true;
            }
        }
        false
    }

    /// Claims the ownership again after the lease has ended, unless another entry has claimed it
    /// since. Tells whether this process may continue.
    async fn reclaim(&self, service: &OwnerService) -> bool {
        let mut state = self.state.lock().await;
        let attempt = async {
            let sent_at = runtime::now();
            let (lease, ttl) = self.store.open_lease(LOCK_TTL).await?;
            let lock = directory::read_lock(&self.store).await?;
            let lock_revision = match lock {
                None => 0,
                Some((lock, revision)) if lock.boot == self.identity.boot => revision,
                Some(_) => return Ok(None),
            };
            let last = state.fence;
            let fence = Fence { epoch: last.epoch + 1, sequence: 0, ..last };
            let write = claim_write(&self.identity, fence, (lock_revision, state.revision), lease)?;
            Ok(match self.store.write(&write).await? {
                WriteResult::Done(revision) => {
                    Some((fence, revision, lease, validity_end(sent_at, ttl)))
                }
                WriteResult::Conflict(_) | WriteResult::NoLease => None,
            })
        };
        match attempt.await {
            Ok(Some((fence, revision, lease, until))) => {
                *state = FenceState { fence, revision };
                *self.lease.lock() = lease;
                tracing::info!(event = "ownership_claimed_again", epoch = fence.epoch);
                service.update(|owner, _| {
                    owner.set_epoch(fence.epoch);
                    owner.set_valid_until(until);
                });
                true
            }
            Ok(None) => {
                tracing::warn!(event = "ownership_lost", reason = "claimed by another entry");
                false
            }
            Err(StoreError::Unclear(error)) => {
                // The claim may have changed the stored fence, which only a new takeover reads.
                tracing::warn!(event = "ownership_lost", reason = "unclear claim", error);
                false
            }
            Err(StoreError::Refused(error)) => {
                tracing::warn!(event = "claim_refused", error);
                true
            }
        }
    }

    /// Writes the owner's records whenever there are any, until the ownership is lost.
    async fn commit(&self, service: &OwnerService) {
        loop {
            service.wait_for_commit().await;
            let commit = service.update(|owner, now| owner.take_commit(now));
            match commit {
                Some(commit) if !self.write(service, &commit).await => return,
                _ => {}
            }
        }
    }

    /// Returns a write that is conditional on the current fence and increments it, and the new
    /// fence.
    fn fenced_write(&self, state: &FenceState) -> Result<(Write, Fence), StoreError> {
        let fence = Fence { sequence: state.fence.sequence + 1, ..state.fence };
        let mut write = Write::default();
        write.expect.push((records::FENCE.to_owned(), state.revision));
        write.puts.push((records::FENCE.to_owned(), encode_record(&fence)?, None));
        Ok((write, fence))
    }

    /// Writes records, with retries until the outcome is known. Tells whether this process is still
    /// the owner.
    async fn write(&self, service: &OwnerService, commit: &Commit) -> bool {
        let mut state = self.state.lock().await;
        let (write, fence) = match self.fenced_write(&state).and_then(|(mut write, fence)| {
            add_records(&mut write, commit)?;
            Ok((write, fence))
        }) {
            Ok(write) => write,
            Err(error) => {
                tracing::error!(event = "record_not_encoded", %error);
                return false;
            }
        };
        let started_at = runtime::now();
        let mut backoff = RETRY_DELAY;
        loop {
            let written = self.store.write(&write).await;
            self.note_call(&written);
            match written {
                Ok(WriteResult::Done(revision)) => {
                    state.fence = fence;
                    state.revision = revision;
                    break;
                }
                Ok(WriteResult::Conflict(items)) => {
                    let stored = items.iter().find(|item| item.key == records::FENCE);
                    let stored_fence =
                        stored.and_then(|item| records::decode::<Fence>(&item.value).ok());
                    match stored {
                        // An earlier attempt was applied, but its answer was lost.
                        Some(item) if stored_fence == Some(fence) => {
                            state.fence = fence;
                            state.revision = item.revision;
                            break;
                        }
                        _ => {
                            tracing::warn!(
                                event = "ownership_lost",
                                reason = "fence",
                                ?stored_fence
                            );
                            return false;
                        }
                    }
                }
                Ok(WriteResult::NoLease) => {
                    tracing::error!(
                        event = "write_refused",
                        reason = "lease not found for a write without a lease"
                    );
                    return false;
                }
                Err(error) => {
                    tracing::warn!(event = "write_repeated", sequence = fence.sequence, %error);
                    runtime::sleep(backoff).await;
                    backoff = (backoff * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
        metrics::histogram!("commit_seconds").record((runtime::now() - started_at).as_secs_f64());
        metrics::counter!("commits").increment(1);
        drop(state);
        service.update(|owner, _| owner.committed());
        true
    }

    /// Restores the jobs of the previous owner from the inbox and the progress records. Skips what
    /// cannot be read.
    fn restore_jobs(&self, owner: &mut Owner, now: Time, inbox: &[Item], progress: &[Item]) {
        let mut records = std::collections::BTreeMap::new();
        for item in progress {
            match (records::progress_job(&item.key), records::decode::<Progress>(&item.value)) {
                (Some(job), Ok(record)) => {
                    records.insert(job, record);
                }
                (_, Err(error)) => self.skip(&item.key, &error),
                (None, _) => self.skip_key(&item.key),
            }
        }
        let mut cancels = Vec::new();
        for item in inbox {
            match records::inbox_key(&item.key) {
                Some(InboxKey::Job(job)) => match records::decode_job(&item.value) {
                    Ok(spec) => {
                        let record = self.checked(job, &spec, records.remove(&job));
                        owner.inherit(now, job, spec, record);
                    }
                    Err(error) => self.skip(&item.key, &error),
                },
                Some(InboxKey::Cancel(job)) => cancels.push(job),
                Some(InboxKey::Lock) => {}
                None => self.skip_key(&item.key),
            }
        }
        for (job, record) in records {
            owner.inherit_ended(now, job, record);
        }
        for job in cancels {
            owner.cancel(now, job);
        }
    }

    /// Returns the progress record of a job, or an empty one if there is none that fits the job.
    fn checked(&self, job: JobNumber, spec: &JobSpec, record: Option<Progress>) -> Progress {
        let record = record.unwrap_or_default();
        match record.check(spec) {
            Ok(()) => record,
            Err(error) => {
                self.skip(&records::progress_key(job), &error);
                Progress::default()
            }
        }
    }

    /// Notes that a record is skipped because its key is unknown.
    fn skip_key(&self, key: &str) {
        if self.unreadable.note("key", key) {
            tracing::error!(event = "key_unknown", key);
        }
    }

    /// Notes that a record is skipped because its value cannot be read.
    fn skip(&self, key: &str, error: &str) {
        if self.unreadable.note("record", &format!("{key}: {error}")) {
            tracing::error!(event = "record_unreadable", key, error);
        }
    }
}

/// Returns the write that sets the lock and the fence, conditional on their revisions.
fn claim_write(
    identity: &Identity,
    fence: Fence,
    (lock_revision, fence_revision): (Revision, Revision),
    lease: LeaseId,
) -> Result<Write, StoreError> {
    let lock = Lock { node: identity.node.clone(), boot: identity.boot, address: identity.address };
    Ok(Write {
        expect: vec![
            (records::LOCK.to_owned(), lock_revision),
            (records::FENCE.to_owned(), fence_revision),
        ],
        puts: vec![
            (records::LOCK.to_owned(), encode_record(&lock)?, Some(lease)),
            (records::FENCE.to_owned(), encode_record(&fence)?, None),
        ],
        removes: Vec::new(),
    })
}

/// Adds the records of a commit to a write.
fn add_records(write: &mut Write, commit: &Commit) -> Result<(), StoreError> {
    for Record { job, progress, drops_cancel } in &commit.records {
        write.puts.push((records::progress_key(*job), encode_record(progress)?, None));
        if progress.phase.is_final() {
            write.removes.push(records::job_key(*job));
        }
        if *drops_cancel {
            write.removes.push(records::cancel_key(*job));
        }
    }
    if let Some(interference) = &commit.interference {
        write.puts.push((records::INTERFERENCE.to_owned(), encode_record(interference)?, None));
    }
    if let Some(crashes) = &commit.crashes {
        write.puts.push((records::CRASHES.to_owned(), encode_record(crashes)?, None));
    }
    if let Some(roster) = &commit.roster {
        write.puts.push((records::ROSTER.to_owned(), encode_record(roster)?, None));
    }
    write.removes.extend(commit.expired.iter().map(|job| records::progress_key(*job)));
    write.removes.extend(commit.expired_cancels.iter().map(|job| records::cancel_key(*job)));
    Ok(())
}
