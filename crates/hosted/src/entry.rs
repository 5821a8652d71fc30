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
use crate::keeper::Identity;
use crate::office::Office;
use crate::ports::{Change, Item, Revision, Store, StoreError, Watched, Write, Written};
use crate::records;
use crate::{election, sessions};

/// Longest wait of one watch; with the time limit of the call it bounds how old the configuration
/// of an entry with a silent connection becomes.
const WATCH_WAIT: Duration = Duration::from_millis(1_200);
const RETRY_PAUSE: Duration = Duration::from_millis(120);
/// Time for the owner's answer before the store is asked.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after a failed call in which new jobs are not sent to the store.
const DARK_TIME: Duration = Duration::from_millis(700);
/// When a caller should come back after the store has refused a call for its rate.
const RETRY_SOON: Duration = Duration::from_secs(1);
/// When a caller should come back while the store is away. Outages last several seconds.
const RETRY_LATER: Duration = Duration::from_secs(2);

/// Longest that a caller waits for a write whose answers are lost: one try and its repetition.
const STORE_LIMIT: Duration = Duration::from_millis(1_500);

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
    Owner(Arc<Office>),
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
    dark_since: Mutex<Option<Time>>,
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
            dark_since: Mutex::new(None),
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
                        runtime::sleep(RETRY_PAUSE).await;
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
                Some(revision) => match self.store.watch(key, revision, WATCH_WAIT).await {
                    Ok(Watched::Changes { changes, as_of }) => Ok((written(changes), as_of)),
                    Ok(Watched::Forgotten) => {
                        tracing::info!(event = "routes_read_again");
                        after = None;
                        continue;
                    }
                    Err(error) => Err(error),
                },
            };
            match changed {
                Ok((items, as_of)) => {
                    self.note_store(true);
                    after = Some(as_of);
                    items.iter().filter(|item| item.key == key).for_each(|item| self.apply(item));
                    if self.routes().is_none() {
                        runtime::sleep(RETRY_PAUSE).await;
                    }
                }
                Err(error) => {
                    tracing::warn!(event = "routes_not_read", %error);
                    self.note_store(false);
                    runtime::sleep(RETRY_PAUSE).await;
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

    fn note_store(&self, is_up: bool) {
        let mut dark = self.dark_since.lock();
        match (is_up, *dark) {
            (true, Some(_)) => {
                tracing::info!(event = "store_regained");
                *dark = None;
            }
            (false, None) => {
                tracing::warn!(event = "store_lost");
                *dark = Some(runtime::now());
            }
            (false, Some(_)) => *dark = Some(runtime::now()),
            (true, None) => {}
        }
    }

    pub(crate) fn is_dark(&self) -> bool {
        self.dark_since.lock().is_some_and(|at| runtime::now() < at + DARK_TIME)
    }

    /// Time after which a caller whose request was not accepted should come back.
    pub fn retry_after(&self) -> Duration {
        match *self.dark_since.lock() {
            Some(_) => RETRY_LATER,
            None => RETRY_SOON,
        }
    }

    /// Stores a job.
    pub async fn submit(&self, job: JobNumber, spec: &JobSpec, limit: Duration) -> Stored {
        let record = match records::encode(spec) {
            Ok(record) => record,
            Err(error) => {
                tracing::error!(event = "record_not_encoded", %error);
                return Stored::No;
            }
        };
        let begun = runtime::now();
        let limit = limit.min(STORE_LIMIT);
        let left = || (begun + limit).saturating_sub(runtime::now());
        let mut outcome = Stored::No;
        if !self.is_dark() {
            let storing = self.store_job(job, record.clone());
            outcome = within(left(), Stored::Unclear, storing).await;
        }
        // The owner may reach the store when this entry does not.
        if let (Stored::No, (Role::Follower(follower), _)) = (outcome, self.role()) {
            let ask = |query| EntryRequest::Submit { query, job, record };
            outcome = match follower.ask(left(), ask).await {
                Some(OwnerReply::Stored { outcome, .. }) => outcome,
                _ => Stored::Unclear,
            };
        }
        let took_ms = (runtime::now() - begun).as_millis() as u64;
        let id = format!("{job:016x}");
        tracing::info!(event = "submit", id, queue = spec.queue.name, ?outcome, took_ms);
        metrics::histogram!("submit_seconds").record((runtime::now() - begun).as_secs_f64());
        outcome
    }

    /// Writes a job to the store, trying again while the outcome is unclear.
    pub(crate) async fn store_job(&self, job: JobNumber, record: Bytes) -> Stored {
        let write = Write {
            expect: vec![(records::job_key(job), 0), (records::progress_key(job), 0)],
            puts: vec![(records::job_key(job), record, None)],
            removes: Vec::new(),
        };
        self.store_once(&write).await
    }

    /// Repeats a write whose repetition changes nothing until its outcome is known.
    async fn store_once(&self, write: &Write) -> Stored {
        let mut is_unclear = false;
        loop {
            match self.store.write(write).await {
                Ok(Written::Done(_) | Written::Conflict(_)) => {
                    self.note_store(true);
                    return Stored::Yes;
                }
                Ok(Written::NoLease) => return Stored::No,
                Err(StoreError::Refused(error)) if !is_unclear => {
                    tracing::info!(event = "store_refused", error);
                    self.note_store(false);
                    return Stored::No;
                }
                Err(error) => {
                    is_unclear = true;
                    tracing::info!(event = "store_unclear", %error);
                    self.note_store(false);
                    runtime::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Stores the cancel of a job.
    pub async fn cancel(&self, job: JobNumber, limit: Duration) -> Stored {
        let begun = runtime::now();
        let limit = limit.min(STORE_LIMIT);
        let left = || (begun + limit).saturating_sub(runtime::now());
        let mut outcome = Stored::No;
        if !self.is_dark() {
            outcome = within(left(), Stored::Unclear, self.store_cancel(job)).await;
        }
        if let (Stored::No, (Role::Follower(follower), _)) = (outcome, self.role()) {
            outcome = match follower.ask(left(), |query| EntryRequest::Cancel { query, job }).await
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
                self.store_once(&write).await
            }
            Err(error) => {
                let error: StoreError = error;
                tracing::info!(event = "store_refused", %error);
                self.note_store(false);
                Stored::No
            }
        }
    }

    /// Returns the phase of a job.
    pub async fn state(&self, job: JobNumber) -> StateAnswer {
        let told = match self.role().0 {
            Role::Owner(office) => {
                office.read(|owner, now| owner.is_valid(now).then(|| owner.phase(job)).flatten())
            }
            Role::Follower(follower) => {
                match follower.ask(ASK_TIMEOUT, |query| EntryRequest::State { query, job }).await {
                    Some(OwnerReply::State { state, .. }) => state,
                    _ => None,
                }
            }
            Role::None => None,
        };
        match told {
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
            Role::Owner(office) => Some(office.read(|owner, _| owner.waiting(queue))),
            Role::Follower(follower) => {
                let ask = |query| EntryRequest::Waiting { query, queue: queue.to_owned() };
                match follower.ask(ASK_TIMEOUT, ask).await {
                    Some(OwnerReply::Waiting { count, .. }) => count,
                    _ => None,
                }
            }
            Role::None => None,
        }
    }
}

fn written(changes: Vec<Change>) -> Vec<Item> {
    let items = changes.into_iter().filter_map(|change| match change {
        Change::Written(item) => Some(item),
        Change::Removed(_) => None,
    });
    items.collect()
}

async fn within<T>(limit: Duration, late: T, work: impl std::future::Future<Output = T>) -> T {
    future::or(work, async {
        runtime::sleep(limit).await;
        late
    })
    .await
}
