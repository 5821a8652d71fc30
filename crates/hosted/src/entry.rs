//! The entry: stores accepted jobs and cancels, answers for all jobs, and may own the work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future;
use parking_lot::{Mutex, RwLock};
use peridotfold_core::flow::message::{EntryRequest, OwnerReply, Stored};
use peridotfold_core::flow::model::{JobNumber, JobSpec};
use peridotfold_core::flow::owner::OwnerSettings;
use peridotfold_core::flow::progress::{Phase, Progress};
use peridotfold_core::flow::routes::Routes;
use peridotfold_core::time::Time;
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::Shutdown;
use smol::net::TcpListener;

use crate::follower::Follower;
use crate::owner_service::OwnerService;
use crate::ownership::Identity;
use crate::ports::{Change, Item, Revision, Store, StoreError, WatchResult, Write, WriteResult};
use crate::records;
use crate::{election, sessions};

/// Longest wait of one watch; with the time limit of the call it bounds how old the configuration
/// of an entry with a silent connection becomes.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_200);
const RETRY_DELAY: Duration = Duration::from_millis(120);
/// Time for the owner's answer before the store is asked.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after a failed call in which new jobs are not sent to the store.
const STORE_BACKOFF: Duration = Duration::from_millis(700);
/// When a caller should come back after the store has refused a call for its rate.
const RETRY_AFTER_REFUSAL: Duration = Duration::from_secs(1);
/// When a caller should come back while the store is away. Outages last several seconds.
const RETRY_AFTER_OUTAGE: Duration = Duration::from_secs(2);

/// Longest that a caller waits for a write whose answers are lost: one try and its repetition.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    pub node: String,
    /// Address for agents and other entries.
    pub internal: SocketAddr,
    /// Share of a core that the process has.
    pub cores: f64,
    pub owner: OwnerSettings,
}

/// What this entry is to the owner.
#[derive(Debug, Clone)]
pub(crate) enum Role {
    None,
    Owner(Arc<OwnerService>),
    Follower(Arc<Follower>),
}

/// Answer to a question about a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateAnswer {
    Known(Phase),
    Unknown,
    /// Neither the owner nor the store has answered.
    NoAnswer,
}

/// An entry.
#[derive(Debug)]
pub struct Entry<S> {
    pub(crate) store: S,
    pub(crate) identity: Identity,
    pub(crate) owner_settings: OwnerSettings,
    pub(crate) cores: f64,
    routes: RwLock<Option<Arc<Routes>>>,
    role: Mutex<(Role, Option<SocketAddr>)>,
    /// Last failed call of the store, unless one has succeeded since.
    store_failed_at: Mutex<Option<Time>>,
}

impl<S: Store> Entry<S> {
    /// Builds an entry.
    pub fn new(settings: EntrySettings, store: S) -> Self {
        let identity =
            Identity { node: settings.node, boot: fastrand::u64(1..), address: settings.internal };
        Entry {
            store,
            identity,
            owner_settings: settings.owner,
            cores: settings.cores,
            routes: RwLock::new(None),
            role: Mutex::new((Role::None, None)),
            store_failed_at: Mutex::new(None),
        }
    }

    /// Serves agents and other entries, follows the configuration, and takes part in the election
    /// of the owner until the shutdown. After `retiring` it no longer owns the work.
    ///
    /// # Errors
    ///
    /// Fails when the internal address cannot be bound.
    pub async fn run(self: Arc<Self>, retiring: Shutdown, shutdown: Shutdown) -> eyre::Result<()> {
        let listener = TcpListener::bind(self.identity.address).await?;
        tracing::info!(
            event = "entry_started",
            node = self.identity.node,
            boot = self.identity.boot
        );
        let accepting = async {
            loop {
                match listener.accept().await {
                    Ok((stream, peer)) => {
                        runtime::spawn(sessions::serve(stream, peer, self.clone())).detach();
                    }
                    Err(error) => {
                        tracing::warn!(event = "accept_failed", %error);
                        runtime::sleep(RETRY_DELAY).await;
                    }
                }
            }
        };
        let configuring = self.follow_routes();
        let electing = election::run(self.clone(), retiring, shutdown);
        future::or(electing, future::or(accepting, configuring)).await;
        tracing::info!(event = "entry_stopped", node = self.identity.node);
        Ok(())
    }

    pub(crate) fn role(&self) -> (Role, Option<SocketAddr>) {
        self.role.lock().clone()
    }

    pub(crate) fn set_role(&self, role: Role, owner: Option<SocketAddr>) {
        *self.role.lock() = (role, owner);
    }

    /// Routes in force; `None` before the first configuration was read.
    pub fn routes(&self) -> Option<Arc<Routes>> {
        self.routes.read().clone()
    }

    async fn follow_routes(&self) {
        let mut after: Option<Revision> = None;
        let key = self.store.routes_key();
        loop {
            let changed = match after {
                None => match self.store.range(key).await {
                    Ok((items, as_of)) => Ok((items.into_iter().collect(), as_of)),
                    Err(error) => Err(error),
                },
                Some(revision) => match self.store.watch(key, revision, WATCH_TIMEOUT).await {
                    Ok(WatchResult::Changes { changes, as_of }) => {
                        Ok((written_items(changes), as_of))
                    }
                    Ok(WatchResult::Compacted) => {
                        tracing::info!(event = "routes_read_again");
                        after = None;
                        continue;
                    }
                    Err(error) => Err(error),
                },
            };
            match changed {
                Ok((items, as_of)) => {
                    self.set_store_up(true);
                    after = Some(as_of);
                    items.iter().filter(|item| item.key == key).for_each(|item| self.apply(item));
                    if self.routes().is_none() {
                        runtime::sleep(RETRY_DELAY).await;
                    }
                }
                Err(error) => {
                    tracing::warn!(event = "routes_not_read", %error);
                    self.set_store_up(false);
                    runtime::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Applies a configuration unless a later one is in force.
    fn apply(&self, item: &Item) {
        match self.store.routes(&item.value) {
            Ok(routes) => {
                let mut current = self.routes.write();
                if current.as_ref().is_none_or(|known| known.version < routes.version) {
                    tracing::info!(
                        event = "routes_applied",
                        version = routes.version,
                        revision = item.revision
                    );
                    *current = Some(Arc::new(routes));
                }
            }
            Err(error) => tracing::error!(event = "routes_unreadable", key = item.key, %error),
        }
    }

    fn set_store_up(&self, is_up: bool) {
        let mut failed_at = self.store_failed_at.lock();
        match (is_up, *failed_at) {
            (true, Some(_)) => {
                tracing::info!(event = "store_regained");
                *failed_at = None;
            }
            (false, None) => {
                tracing::warn!(event = "store_lost");
                *failed_at = Some(runtime::now());
            }
            (false, Some(_)) => *failed_at = Some(runtime::now()),
            (true, None) => {}
        }
    }

    pub(crate) fn is_store_down(&self) -> bool {
        self.store_failed_at.lock().is_some_and(|at| runtime::now() < at + STORE_BACKOFF)
    }

    /// Time after which a caller whose request was not accepted should come back.
    pub fn retry_after(&self) -> Duration {
        match *self.store_failed_at.lock() {
            Some(_) => RETRY_AFTER_OUTAGE,
            None => RETRY_AFTER_REFUSAL,
        }
    }

    /// Stores a job.
    pub async fn submit(&self, job: JobNumber, spec: &JobSpec, timeout: Duration) -> Stored {
        let record = match records::encode(spec) {
            Ok(record) => record,
            Err(error) => {
                tracing::error!(event = "record_not_encoded", %error);
                return Stored::No;
            }
        };
        let started_at = runtime::now();
        let timeout = timeout.min(STORE_TIMEOUT);
        let remaining = || (started_at + timeout).saturating_sub(runtime::now());
        let mut outcome = Stored::No;
        if !self.is_store_down() {
            let storing = self.store_job(job, record.clone());
            outcome = with_timeout(remaining(), Stored::Unclear, storing).await;
        }
        // The owner may reach the store when this entry does not.
        if let (Stored::No, (Role::Follower(follower), _)) = (outcome, self.role()) {
            let ask = |query| EntryRequest::Submit { query, job, record };
            outcome = match follower.ask(remaining(), ask).await {
                Some(OwnerReply::Stored { outcome, .. }) => outcome,
                _ => Stored::Unclear,
            };
        }
        let took_ms = (runtime::now() - started_at).as_millis() as u64;
        let id = format!("{job:016x}");
        tracing::info!(event = "submit", id, queue = spec.queue.name, ?outcome, took_ms);
        metrics::histogram!("submit_seconds").record((runtime::now() - started_at).as_secs_f64());
        outcome
    }

    /// Writes a job to the store, trying again while the outcome is unclear.
    pub(crate) async fn store_job(&self, job: JobNumber, record: Bytes) -> Stored {
        let write = Write {
            expect: vec![(records::job_key(job), 0), (records::progress_key(job), 0)],
            puts: vec![(records::job_key(job), record, None)],
            removes: Vec::new(),
        };
        self.write_until_known(&write).await
    }

    /// Repeats a write whose repetition changes nothing until its outcome is known.
    async fn write_until_known(&self, write: &Write) -> Stored {
        let mut is_unclear = false;
        loop {
            match self.store.write(write).await {
                Ok(WriteResult::Done(_) | WriteResult::Conflict(_)) => {
                    self.set_store_up(true);
                    return Stored::Yes;
                }
                Ok(WriteResult::NoLease) => return Stored::No,
                Err(StoreError::Refused(error)) if !is_unclear => {
                    tracing::info!(event = "store_refused", error);
                    self.set_store_up(false);
                    return Stored::No;
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

    /// Stores the cancel of a job.
    pub async fn cancel(&self, job: JobNumber, timeout: Duration) -> Stored {
        let started_at = runtime::now();
        let timeout = timeout.min(STORE_TIMEOUT);
        let remaining = || (started_at + timeout).saturating_sub(runtime::now());
        let mut outcome = Stored::No;
        if !self.is_store_down() {
            outcome = with_timeout(remaining(), Stored::Unclear, self.store_cancel(job)).await;
        }
        if let (Stored::No, (Role::Follower(follower), _)) = (outcome, self.role()) {
            outcome = match follower
                .ask(remaining(), |query| EntryRequest::Cancel { query, job })
                .await
            {
                Some(OwnerReply::Stored { outcome, .. }) => outcome,
                _ => Stored::Unclear,
            };
        }
        let id = format!("{job:016x}");
        tracing::info!(event = "cancel", id, ?outcome);
        outcome
    }

    /// Writes the cancel of a job that is known to the store.
    pub(crate) async fn store_cancel(&self, job: JobNumber) -> Stored {
        let known = async {
            match self.store.get(&records::job_key(job)).await? {
                Some(item) => Ok(Some(item.revision)),
                None => Ok(self.store.get(&records::progress_key(job)).await?.map(|_| 0)),
            }
        };
        match known.await {
            Ok(None) => Stored::Unknown,
            // It has ended.
            Ok(Some(0)) => Stored::Yes,
            Ok(Some(revision)) => {
                let write = Write {
                    expect: vec![(records::job_key(job), revision)],
                    puts: vec![(records::cancel_key(job), Bytes::new(), None)],
                    removes: Vec::new(),
                };
                self.write_until_known(&write).await
            }
            Err(error) => {
                let error: StoreError = error;
                tracing::info!(event = "store_refused", %error);
                self.set_store_up(false);
                Stored::No
            }
        }
    }

    /// Returns the phase of a job.
    pub async fn state(&self, job: JobNumber) -> StateAnswer {
        let reported = match self.role().0 {
            Role::Owner(service) => {
                service.read(|owner, now| owner.is_valid(now).then(|| owner.phase(job)).flatten())
            }
            Role::Follower(follower) => {
                match follower.ask(QUERY_TIMEOUT, |query| EntryRequest::State { query, job }).await
                {
                    Some(OwnerReply::State { state, .. }) => state,
                    _ => None,
                }
            }
            Role::None => None,
        };
        match reported {
            Some(phase) => StateAnswer::Known(phase),
            None => self.stored_state(job).await,
        }
    }

    /// Reads the phase of a job that the owner does not know or tell.
    async fn stored_state(&self, job: JobNumber) -> StateAnswer {
        let id = format!("{job:016x}");
        match self.read_state(job).await {
            Ok(answer) => {
                tracing::info!(event = "state_from_store", id, ?answer);
                answer
            }
            Err(error) => {
                tracing::warn!(event = "state_not_read", id, %error);
                StateAnswer::NoAnswer
            }
        }
    }

    async fn read_state(&self, job: JobNumber) -> Result<StateAnswer, StoreError> {
        // In this order: the end of a job removes its first key in the write that sets the second,
        // so a job that is known is in one of them.
        let is_open = self.store.get(&records::job_key(job)).await?.is_some();
        let stored = self.store.get(&records::progress_key(job)).await?;
        let progress = stored.map(|item| records::decode::<Progress>(&item.value)).transpose();
        Ok(match progress.map_err(StoreError::Refused)? {
            Some(progress) if progress.phase.is_final() => StateAnswer::Known(progress.phase),
            Some(_) => StateAnswer::Known(Phase::Running),
            None if is_open => StateAnswer::Known(Phase::Queued),
            None => StateAnswer::Unknown,
        })
    }

    /// Counts the jobs of a queue that have not begun; `None` when the owner does not answer.
    pub async fn waiting(&self, queue: &str) -> Option<u64> {
        match self.role().0 {
            Role::Owner(service) => Some(service.read(|owner, _| owner.waiting(queue))),
            Role::Follower(follower) => {
                let ask = |query| EntryRequest::Waiting { query, queue: queue.to_owned() };
                match follower.ask(QUERY_TIMEOUT, ask).await {
                    Some(OwnerReply::Waiting { count, .. }) => count,
                    _ => None,
                }
            }
            Role::None => None,
        }
    }
}

fn written_items(changes: Vec<Change>) -> Vec<Item> {
    let items = changes.into_iter().filter_map(|change| match change {
        Change::Written(item) => Some(item),
        Change::Removed(_) => None,
    });
    items.collect()
}

async fn with_timeout<T>(
    timeout: Duration,
    on_timeout: T,
    work: impl std::future::Future<Output = T>,
) -> T {
    future::or(work, async {
        runtime::sleep(timeout).await;
        on_timeout
    })
    .await
}
