//! Ownership: claiming it, keeping its lease, and making the owner's records durable.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use peridotfold_core::flow::interference::InterferenceRow;
use peridotfold_core::flow::owner::{Commit, Owner, OwnerSettings, Record};
use peridotfold_core::time::Time;
use peridotfold_wire::runtime;
use smol::lock::Mutex;

use crate::directory;
use crate::follower;
use crate::office::Office;
use crate::ports::{Change, Item, LeaseId, Revision, Store, StoreError, Watched, Write, Written};
use crate::records::{self, Fence, InboxKey, Lock};

/// Life of the owner's lock after its last renewal: the time without an owner after a loss of its
/// machine, and the longest outage of the store in which starts go on.
const LOCK_TTL: Duration = Duration::from_secs(3);
/// Part of it that the owner uses; the rest covers clock rates and delays.
const VALID_PERCENT: u32 = 90;
const RENEW_INTERVAL: Duration = Duration::from_millis(700);
/// Tries to give the lock up: at most one write is under way when the process is told to stop.
const RELEASE_TRIES: u32 = 3;
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between two tries of a write while the store is away.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);
/// Longest wait of one watch; bounds the time for which a silent connection goes unnoticed.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// This process, as the store knows it.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    pub(crate) node: String,
    pub(crate) boot: u64,
    pub(crate) address: SocketAddr,
}

/// The last known write of the fence.
#[derive(Debug)]
struct Held {
    fence: Fence,
    revision: Revision,
    lease: LeaseId,
}

/// An ownership.
#[derive(Debug)]
pub(crate) struct Keeper<S> {
    store: S,
    identity: Identity,
    /// Held during each write under the fence, so that there is one at a time.
    held: Mutex<Held>,
    valid_until: Time,
}

fn valid_from(sent: Time, ttl: Duration) -> Time {
    sent + ttl * VALID_PERCENT / 100
}

impl Held {
    /// Takes over the fence of a later write of this process, if `items` show one.
    fn follow(&mut self, items: &[Item]) -> bool {
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

fn encoded<T: serde::Serialize>(value: &T) -> Result<bytes::Bytes, StoreError> {
    records::encode(value).map_err(StoreError::Refused)
}

impl<S: Store> Keeper<S> {
    /// Claims the ownership. `replaces`: revision of a lock of an earlier process of this node,
    /// 0: there is no lock. Returns `None` when another entry was faster.
    pub(crate) async fn claim(
        store: S,
        identity: Identity,
        replaces: Revision,
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
        let sent = runtime::now();
        let (lease, ttl) = store.open_lease(LOCK_TTL).await?;
        let fence = Fence { epoch: last.epoch + 1, boot: identity.boot, sequence: 0 };
        let write = claim_write(&identity, fence, (replaces, revision), lease)?;
        match store.write(&write).await? {
            Written::Done(revision) => {
                tracing::info!(event = "ownership_claimed", epoch = fence.epoch, lease);
                Ok(Some(Keeper {
                    store,
                    identity,
                    held: Mutex::new(Held { fence, revision, lease }),
                    valid_until: valid_from(sent, ttl),
                }))
            }
            Written::Conflict(_) | Written::NoLease => Ok(None),
        }
    }

    /// Reads everything that lasts, and returns the office and where its watch begins.
    pub(crate) async fn open_office(
        &self,
        settings: OwnerSettings,
    ) -> Result<(Arc<Office>, Revision), StoreError> {
        let epoch = self.held.lock().await.fence.epoch;
        let (inbox, as_of) = self.store.range(records::INBOX).await?;
        let (progress, _) = self.store.range(records::PROGRESS).await?;
        let roster = self.store.get(records::ROSTER).await?;
        let interference = self.store.get(records::PRESS).await?;
        let now = runtime::now();
        let mut owner = Owner::new(OwnerSettings { epoch, ..settings }, now);
        let roster: Vec<String> = match roster.map(|item| records::decode(&item.value)) {
            None => Vec::new(),
            Some(Ok(roster)) => roster,
            Some(Err(error)) => {
                return Err(StoreError::Refused(format!("unreadable roster: {error}")))
            }
        };
        tracing::info!(
            event = "takeover",
            epoch,
            jobs = inbox.len(),
            records = progress.len(),
            agents = roster.len()
        );
        owner.set_predecessor(now, roster);
        match interference.map(|item| records::decode::<Vec<InterferenceRow>>(&item.value)) {
            Some(Ok(rows)) => owner.inherit_interference(&rows),
            // It is learned again.
            Some(Err(error)) => tracing::warn!(event = "press_unreadable", %error),
            None => {}
        }
        load(&mut owner, now, &inbox, &progress);
        let office = Arc::new(Office::new(owner, self.identity.address));
        Ok((office, as_of))
    }

    /// Keeps the ownership until it is lost or the office is ended.
    pub(crate) async fn run(&self, office: &Office, as_of: Revision) {
        office.update(|owner, _| owner.set_valid_until(self.valid_until));
        let ended = async {
            office.ended.wait().await;
        };
        let work = future::or(self.renew(office), self.commit(office));
        future::or(ended, future::or(work, self.watch(office, as_of))).await;
    }

    /// Gives the ownership up, after a last write of what is not durable yet.
    pub(crate) async fn release(&self, office: &Office) {
        while let Some(commit) = office.update(|owner, now| owner.take_commit(now)) {
            if !self.write(office, &commit).await {
                return;
            }
        }
        let mut held = self.held.lock().await;
        for _ in 0..RELEASE_TRIES {
            let mut write = match self.fenced(&held) {
                Ok((write, _)) => write,
                Err(error) => {
                    tracing::error!(event = "release_failed", %error);
                    return;
                }
            };
            write.removes.push(records::LOCK.to_owned());
            match self.store.write(&write).await {
                Ok(Written::Done(revision)) => {
                    held.revision = revision;
                    tracing::info!(event = "ownership_released");
                    return;
                }
                // A write of this process was under way when it was told to stop.
                Ok(Written::Conflict(items)) if held.follow(&items) => {}
                other => {
                    tracing::warn!(event = "release_failed", outcome = ?other);
                    return;
                }
            }
        }
        tracing::warn!(event = "release_failed", reason = "other writes came first");
    }

    async fn renew(&self, office: &Office) {
        loop {
            runtime::sleep(RENEW_INTERVAL).await;
            let sent = runtime::now();
            let lease = self.held.lock().await.lease;
            match self.store.renew_lease(lease).await {
                Ok(true) => {
                    office.update(|owner, _| owner.set_valid_until(valid_from(sent, LOCK_TTL)));
                }
                Ok(false) => {
                    tracing::warn!(event = "lease_ended", lease);
                    if !self.reclaim(office).await {
                        return;
                    }
                }
                Err(error) => {
                    let is_valid = office.read(|owner, now| owner.is_valid(now));
                    tracing::warn!(event = "lease_not_renewed", lease, is_valid, %error);
                    if !is_valid && self.is_replaced(office).await {
                        tracing::warn!(event = "ownership_lost", reason = "another owner");
                        return;
                    }
                }
            }
        }
    }

    /// Tells whether another entry owns the work, by the store or, where that turns this machine
    /// away, by the other entries.
    async fn is_replaced(&self, office: &Office) -> bool {
        match directory::lock(&self.store).await {
            Ok(Some((lock, _))) => return lock.boot != self.identity.boot,
            Ok(None) => return false,
            Err(error) => tracing::info!(event = "lock_not_read", %error),
        }
        let Identity { node, address, .. } = &self.identity;
        for peer in office.known_entries() {
            let owner = follower::ask_owner(peer, node, *address).await;
            if owner.is_some_and(|owner| owner != *address) {
                return true;
            }
        }
        false
    }

    /// Takes the lock again after its lease has ended, if nobody has owned the work since. Tells
    /// whether this process may go on.
    async fn reclaim(&self, office: &Office) -> bool {
        let mut held = self.held.lock().await;
        let attempt = async {
            let sent = runtime::now();
            let (lease, ttl) = self.store.open_lease(LOCK_TTL).await?;
            let lock = directory::lock(&self.store).await?;
            let replaces = match lock {
                None => 0,
                Some((lock, revision)) if lock.boot == self.identity.boot => revision,
                Some(_) => return Ok(None),
            };
            let last = held.fence;
            let fence = Fence { epoch: last.epoch + 1, sequence: 0, ..last };
            let write = claim_write(&self.identity, fence, (replaces, held.revision), lease)?;
            Ok(match self.store.write(&write).await? {
                Written::Done(revision) => Some((fence, revision, lease, valid_from(sent, ttl))),
                Written::Conflict(_) | Written::NoLease => None,
            })
        };
        match attempt.await {
            Ok(Some((fence, revision, lease, until))) => {
                *held = Held { fence, revision, lease };
                tracing::info!(event = "ownership_claimed_again", epoch = fence.epoch);
                office.update(|owner, _| {
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
                // The fence may have moved on: only a fresh takeover tells.
                tracing::warn!(event = "ownership_lost", reason = "unclear claim", error);
                false
            }
            Err(StoreError::Refused(error)) => {
                tracing::warn!(event = "claim_refused", error);
                true
            }
        }
    }

    async fn commit(&self, office: &Office) {
        loop {
            let pause = office.pause();
            future::or(
                async {
                    if office.changes.recv().await.is_err() {
                        future::pending::<()>().await;
                    }
                },
                runtime::sleep(pause),
            )
            .await;
            let commit = office.update(|owner, now| owner.take_commit(now));
            match commit {
                Some(commit) if !self.write(office, &commit).await => return,
                _ => {}
            }
        }
    }

    fn fenced(&self, held: &Held) -> Result<(Write, Fence), StoreError> {
        let fence = Fence { sequence: held.fence.sequence + 1, ..held.fence };
        let mut write = Write::default();
        write.expect.push((records::FENCE.to_owned(), held.revision));
        write.puts.push((records::FENCE.to_owned(), encoded(&fence)?, None));
        Ok((write, fence))
    }

    /// Writes until the outcome is known. Tells whether this process still owns the work.
    async fn write(&self, office: &Office, commit: &Commit) -> bool {
        let mut held = self.held.lock().await;
        let (write, fence) = match self.fenced(&held).and_then(|(mut write, fence)| {
            add(&mut write, commit)?;
            Ok((write, fence))
        }) {
            Ok(write) => write,
            Err(error) => {
                tracing::error!(event = "record_not_encoded", %error);
                return false;
            }
        };
        let begun = runtime::now();
        let mut pause = RETRY_PAUSE;
        loop {
            match self.store.write(&write).await {
                Ok(Written::Done(revision)) => {
                    held.fence = fence;
                    held.revision = revision;
                    break;
                }
                Ok(Written::Conflict(items)) => {
                    let stored = items.iter().find(|item| item.key == records::FENCE);
                    let stored_fence =
                        stored.and_then(|item| records::decode::<Fence>(&item.value).ok());
                    match stored {
                        // An earlier try whose answer was lost.
                        Some(item) if stored_fence == Some(fence) => {
                            held.fence = fence;
                            held.revision = item.revision;
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
                Ok(Written::NoLease) => {
                    tracing::error!(
                        event = "write_refused",
                        reason = "lease in a write without one"
                    );
                    return false;
                }
                Err(error) => {
                    tracing::warn!(event = "write_repeated", sequence = fence.sequence, %error);
                    runtime::sleep(pause).await;
                    pause = (pause * 2).min(LONGEST_PAUSE);
                }
            }
        }
        metrics::histogram!("commit_seconds").record((runtime::now() - begun).as_secs_f64());
        metrics::counter!("commits").increment(1);
        drop(held);
        office.update(|owner, _| owner.committed());
        true
    }

    /// Tells whether another process has claimed the ownership, by items of the inbox.
    fn is_succeeded(&self, items: &[Item]) -> bool {
        let lock = items.iter().rfind(|item| item.key == records::LOCK);
        match lock.map(|item| records::decode::<Lock>(&item.value)) {
            Some(Ok(lock)) if lock.boot != self.identity.boot => {
                tracing::warn!(event = "ownership_lost", reason = "another lock", node = lock.node);
                true
            }
            Some(Err(error)) => {
                tracing::error!(event = "lock_unreadable", %error);
                false
            }
            _ => false,
        }
    }

    async fn watch(&self, office: &Office, as_of: Revision) {
        let mut after = as_of;
        loop {
            match self.store.watch(records::INBOX, after, WATCH_WAIT).await {
                Ok(Watched::Changes { changes, as_of }) => {
                    after = as_of;
                    let written = |change| match change {
                        Change::Written(item) => Some(item),
                        Change::Removed(_) => None,
                    };
                    let items: Vec<Item> = changes.into_iter().filter_map(written).collect();
                    if self.is_succeeded(&items) {
                        return;
                    }
                    if !items.is_empty() {
                        office.update(|owner, now| items.iter().for_each(|i| note(owner, now, i)));
                    }
                }
                Ok(Watched::Forgotten) => match self.store.range(records::INBOX).await {
                    Ok((items, as_of)) => {
                        tracing::info!(event = "inbox_read_again", items = items.len());
                        after = as_of;
                        if self.is_succeeded(&items) {
                            return;
                        }
                        office.update(|owner, now| items.iter().for_each(|i| note(owner, now, i)));
                    }
                    Err(error) => {
                        tracing::warn!(event = "inbox_not_read", %error);
                        runtime::sleep(RETRY_PAUSE).await;
                    }
                },
                Err(error) => {
                    tracing::warn!(event = "watch_failed", prefix = records::INBOX, %error);
                    runtime::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }
}

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
            (records::LOCK.to_owned(), encoded(&lock)?, Some(lease)),
            (records::FENCE.to_owned(), encoded(&fence)?, None),
        ],
        removes: Vec::new(),
    })
}

fn add(write: &mut Write, commit: &Commit) -> Result<(), StoreError> {
    for Record { job, progress, drops_cancel } in &commit.records {
        write.puts.push((records::progress_key(*job), encoded(progress)?, None));
        if progress.phase.is_final() {
            write.removes.push(records::job_key(*job));
        }
        if *drops_cancel {
            write.removes.push(records::cancel_key(*job));
        }
    }
    if let Some(interference) = &commit.interference {
        write.puts.push((records::PRESS.to_owned(), encoded(interference)?, None));
    }
    if let Some(roster) = &commit.roster {
        write.puts.push((records::ROSTER.to_owned(), encoded(roster)?, None));
    }
    write.removes.extend(commit.expired.iter().map(|job| records::progress_key(*job)));
    Ok(())
}

/// Applies an item of the inbox.
fn note(owner: &mut Owner, now: Time, item: &Item) {
    match records::inbox_key(&item.key) {
        Some(InboxKey::Job(job)) => match records::decode(&item.value) {
            Ok(spec) => owner.submit(now, job, spec),
            Err(error) => tracing::error!(event = "record_unreadable", key = item.key, %error),
        },
        Some(InboxKey::Cancel(job)) => owner.cancel(job),
        Some(InboxKey::Lock) => {}
        None => tracing::error!(event = "key_unknown", key = item.key),
    }
}

/// Restores the jobs of a predecessor.
fn load(owner: &mut Owner, now: Time, inbox: &[Item], progress: &[Item]) {
    let mut records = std::collections::BTreeMap::new();
    for item in progress {
        match (records::progress_job(&item.key), records::decode(&item.value)) {
            (Some(job), Ok(record)) => {
                records.insert(job, record);
            }
            (_, Err(error)) => tracing::error!(event = "record_unreadable", key = item.key, %error),
            (None, _) => tracing::error!(event = "key_unknown", key = item.key),
        }
    }
    let mut cancels = Vec::new();
    for item in inbox {
        match records::inbox_key(&item.key) {
            Some(InboxKey::Job(job)) => match records::decode(&item.value) {
                Ok(spec) => owner.inherit(now, job, spec, records.remove(&job).unwrap_or_default()),
                Err(error) => {
                    tracing::error!(event = "record_unreadable", key = item.key, %error);
                }
            },
            Some(InboxKey::Cancel(job)) => cancels.push(job),
            Some(InboxKey::Lock) => {}
            None => tracing::error!(event = "key_unknown", key = item.key),
        }
    }
    for (job, record) in records {
        owner.inherit_ended(now, job, record);
    }
    for job in cancels {
        owner.cancel(job);
    }
}
