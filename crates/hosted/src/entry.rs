//! Entry process: stores submitted jobs and cancellations, answers requests about all jobs, and may
//! be elected as the owner.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use parking_lot::Mutex;
use peridotfold_core::flow::evacuation::Evacuations;
use peridotfold_core::flow::message::{EntryRequest, OwnerReply, Stored};
use peridotfold_core::flow::model::{JobNumber, JobSpec};
use peridotfold_core::flow::owner::OwnerSettings;
use peridotfold_core::flow::progress::{Phase, Progress};
use peridotfold_core::flow::routes::view::{Lookup, RoutesView};
use peridotfold_core::flow::routes::Routes;
use peridotfold_core::hash;
use peridotfold_core::time::Time;
use peridotfold_wire::limits::{Limiter, Limits};
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::Shutdown;
use smol::net::TcpListener;

use crate::admission::UnclearJobs;
use crate::causes::LineLimit;
use crate::directory::Directory;
use crate::follower::Follower;
use crate::owner_service::OwnerService;
use crate::ownership::Identity;
use crate::ports::{Store, StoreError};
use crate::records;
use crate::{election, sessions};

/// Delay before a failed call to the store is retried.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(120);
/// Timeout of a request to the owner, after which the state is read from the store.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after a failed call to the store during which this entry sends it no new jobs.
const STORE_BACKOFF: Duration = Duration::from_millis(700);
/// `Retry-After` for callers while the store answers, for example after it refused a call because
/// of its rate.
const RETRY_AFTER_REFUSAL: Duration = Duration::from_secs(1);
/// `Retry-After` for callers while the store does not answer. Outages last several seconds.
const RETRY_AFTER_OUTAGE: Duration = Duration::from_secs(2);
/// Number of whole seconds, from the first, over which jobs are spread during an outage; the mean is
/// that of other requests.
const RETRY_SPREAD_SECONDS: u64 = 3;

/// Maximum time that a caller waits for a write whose answers are lost: one attempt and one retry.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Name of the node on which the entry runs.
    pub node: String,
    /// Address for agents and other entries.
    pub internal: SocketAddr,
    /// Limits on the connections of agents and other entries, and on the memory of those that have sent no
    /// greeting.
    pub limits: Limits,
    /// CPU share of the process, in cores.
    pub cores: f64,
    /// Time within which a stored configuration must be in force.
    pub config_bound: Duration,
    /// Time within which an evacuation of a zone must be in force; `None` if zones are not evacuated.
    pub evacuation: Option<Duration>,
    /// Settings of the owner's state machine, used if this entry is elected.
    pub owner: OwnerSettings,
}

/// Role of this entry in the election.
#[derive(Debug, Clone)]
pub(crate) enum Role {
    /// No connection to an owner.
    None,
    /// This entry is the owner.
    Owner(Arc<OwnerService>),
    /// This entry is connected to the owner.
    Follower(Arc<Follower>),
}

impl Role {
    /// Returns the name of the role for logs.
    fn name(&self) -> &'static str {
        match self {
            Role::None => "none",
            Role::Owner(_) => "owner",
            Role::Follower(_) => "follower",
        }
    }
}

/// Answer to a request for the phase of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateAnswer {
    /// Current phase of the job.
    Known(Phase),
    /// No such job is stored.
    Unknown,
    /// Neither the owner nor the store has answered.
    NoAnswer,
}

/// An entry process, which accepts jobs from callers and may be elected as the owner.
#[derive(Debug)]
pub struct Entry<S> {
    pub(crate) store: S,
    /// Identity that the lock names while this entry is the owner.
    pub(crate) identity: Identity,
    pub(crate) owner_settings: OwnerSettings,
    /// CPU share of the process, in cores.
    pub(crate) cores: f64,
    /// Routes in force at this entry, and their age.
    pub(crate) view: Mutex<RoutesView>,
    /// Time within which an evacuation of a zone must be in force; `None` if zones are not evacuated.
    pub(crate) evacuation: Option<Duration>,
    /// Zones that the operator has evacuated.
    pub(crate) evacuations: Mutex<Evacuations>,
    /// Entries that this one has heard of.
    pub(crate) directory: Mutex<Directory>,
    /// Role of this entry, and the address of the owner if it is known.
    role: Mutex<(Role, Option<SocketAddr>)>,
    /// When the last call to the store failed; `None` if a later call succeeded.
    store_failed_at: Mutex<Option<Time>>,
    /// Jobs whose submission had no clear outcome here.
    pub(crate) unclear: UnclearJobs,
    /// Limits the connections of agents and other entries.
    limiter: Limiter,
    /// Bounds the lines on connections without a greeting.
    pub(crate) refused: LineLimit,
}

impl<S: Store> Entry<S> {
    /// Creates an entry with a random boot number.
    pub fn new(settings: EntrySettings, store: S) -> Self {
        let identity =
            Identity { node: settings.node, boot: fastrand::u64(1..), address: settings.internal };
        Entry {
            store,
            identity,
            owner_settings: settings.owner,
            cores: settings.cores,
            view: Mutex::new(RoutesView::new(settings.config_bound)),
            evacuation: settings.evacuation,
            evacuations: Mutex::default(),
            directory: Mutex::default(),
            role: Mutex::new((Role::None, None)),
            store_failed_at: Mutex::new(None),
            unclear: UnclearJobs::default(),
            limiter: Limiter::new("internal", settings.limits),
            refused: LineLimit::default(),
        }
    }

    /// Returns the limiter of the connections of agents and other entries.
    pub fn limiter(&self) -> &Limiter {
        &self.limiter
    }

    /// Serves agents and other entries, and takes part in the election of the owner until the shutdown.
    /// After `retiring` is set, this entry is no longer the owner. The routes are followed apart from
    /// that, by [`Entry::follow_routes`].
    ///
    /// # Errors
    ///
    /// Fails if the internal address cannot be bound.
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
                        let slot = self.limiter.admit().await;
                        let session = sessions::serve(stream, peer, slot, self.clone());
                        runtime::spawn(session).detach();
                    }
                    Err(error) => {
                        tracing::warn!(event = "accept_failed", %error);
                        runtime::sleep(RETRY_DELAY).await;
                    }
                }
            }
        };
        let electing = election::run(self.clone(), retiring, shutdown);
        future::or(electing, accepting).await;
        tracing::info!(event = "entry_stopped", node = self.identity.node);
        Ok(())
    }

    /// Returns the role of this entry, and the address of the owner if it is known.
    pub(crate) fn role(&self) -> (Role, Option<SocketAddr>) {
        self.role.lock().clone()
    }

    /// Sets the role of this entry, and the address of the owner if it is known.
    pub(crate) fn set_role(&self, role: Role, owner: Option<SocketAddr>) {
        *self.role.lock() = (role, owner);
    }

    /// Tells whether this entry is connected to the owner.
    pub fn is_following(&self) -> bool {
        matches!(self.role.lock().0, Role::Follower(_))
    }

    /// Returns the addresses of the other entries that this one has heard of.
    pub(crate) fn peers(&self) -> Vec<SocketAddr> {
        let connected = match self.role().0 {
            Role::Owner(service) => service.known_entries(),
            _ => Vec::new(),
        };
        let mut directory = self.directory.lock();
        directory.add(connected);
        directory.entries().filter(|peer| *peer != self.identity.address).collect()
    }

    /// Returns the current routes; `None` until a configuration has been read.
    pub fn routes(&self) -> Option<Arc<Routes>> {
        self.view.lock().current().map(|stored| stored.routes.clone())
    }

    /// Searches for the route of a request to `host` and `path`.
    pub fn find_route<'a>(&self, host: &str, path: &'a str) -> Lookup<'a> {
        self.view.lock().find(runtime::now(), host, path)
    }

    /// Returns the time since the current routes were last known to be the newest ones; `None` until
    /// a configuration has been read.
    pub fn routes_age(&self) -> Option<Duration> {
        self.view.lock().age(runtime::now())
    }

    /// Records whether the last call to the store succeeded.
    pub(crate) fn set_store_up(&self, is_up: bool) {
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

    /// Returns the time since the last call to the store failed; `None` if a later one succeeded.
    pub fn store_failure_age(&self) -> Option<Duration> {
        self.store_failed_at.lock().map(|at| runtime::now().saturating_sub(at))
    }

    /// Tells whether a call to the store failed so recently that new jobs are not sent to it.
    pub(crate) fn is_store_down(&self) -> bool {
        self.store_failed_at.lock().is_some_and(|at| runtime::now() < at + STORE_BACKOFF)
    }

    /// Returns the time after which a caller should retry a request that was not accepted.
    pub fn retry_after(&self) -> Duration {
        match *self.store_failed_at.lock() {
            Some(_) => RETRY_AFTER_OUTAGE,
            None => RETRY_AFTER_REFUSAL,
        }
    }

    /// Returns the time after which the caller of a job should retry a request that was not accepted.
    /// While the store does not answer, it is spread by job, so that callers do not return together.
    pub fn retry_after_for(&self, job: JobNumber) -> Duration {
        match *self.store_failed_at.lock() {
            Some(_) => {
                let spread = hash::hash64(&job.to_le_bytes()) % RETRY_SPREAD_SECONDS;
                RETRY_AFTER_REFUSAL + Duration::from_secs(spread)
            }
            None => RETRY_AFTER_REFUSAL,
        }
    }

    /// Stores a job, through the owner if this entry cannot write to the store. Takes at most
    /// `timeout`.
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
        let store_age = self.store_failure_age();
        if !self.is_store_down() {
            let storing = self.store_job(job, record.clone());
            outcome = with_timeout(remaining(), Stored::Unclear, storing).await;
        }
        let (role, owner) = self.role();
        // The owner may reach the store even if this entry does not.
        if let (Stored::No, Role::Follower(follower)) = (outcome, &role) {
            let request = |query| EntryRequest::Submit { query, job, record };
            outcome = match follower.request(remaining(), request).await {
                Some(OwnerReply::Stored { outcome, .. }) => outcome,
                _ => Stored::Unclear,
            };
        }
        if outcome == Stored::Unclear {
            self.unclear.add(job);
        }
        let took_ms = (runtime::now() - started_at).as_millis() as u64;
        tracing::info!(
            event = "submit",
            id = format!("{job:016x}"),
            queue = spec.queue.name,
            ?outcome,
            took_ms,
            role = role.name(),
            ?owner,
            store_failed_ms = store_age.map(|age| age.as_millis() as u64),
        );
        metrics::histogram!("submit_seconds").record((runtime::now() - started_at).as_secs_f64());
        outcome
    }

    /// Stores the cancellation of a job, through the owner if this entry cannot write to the store.
    /// Takes at most `timeout`.
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
                .request(remaining(), |query| EntryRequest::Cancel { query, job })
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

    /// Returns the phase of a job, from the owner or else from the store.
    pub async fn state(&self, job: JobNumber) -> StateAnswer {
        let reported = match self.role().0 {
            Role::Owner(service) => {
                service.read(|owner, now| owner.is_valid(now).then(|| owner.phase(job)).flatten())
            }
            Role::Follower(follower) => {
                match follower
                    .request(QUERY_TIMEOUT, |query| EntryRequest::State { query, job })
                    .await
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

    /// Reads the phase of a job from the store and logs the result.
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

    /// Reads the phase of a job from the store.
    async fn read_state(&self, job: JobNumber) -> Result<StateAnswer, StoreError> {
        // The job key must be read before the progress key: one write removes the former and sets
        // the latter when a job ends, so this order finds every stored job under one of them.
        let is_open = self.store.get(&records::job_key(job)).await?.is_some();
        let stored = self.store.get(&records::progress_key(job)).await?;
        let progress = stored.map(|item| records::decode::<Progress>(&item.value)).transpose();
        Ok(match progress.map_err(StoreError::Refused)? {
            Some(progress) => StateAnswer::Known(progress.phase),
            None if is_open => StateAnswer::Known(Phase::Queued),
            None if self.is_cancelled_early(job).await? => StateAnswer::Known(Phase::Cancelled),
            None => StateAnswer::Unknown,
        })
    }

    /// Returns the number of jobs in a queue that have not started; `None` if the owner does not
    /// answer.
    pub async fn waiting(&self, queue: &str) -> Option<u64> {
        match self.role().0 {
            Role::Owner(service) => Some(service.read(|owner, _| owner.waiting(queue))),
            Role::Follower(follower) => {
                let request = |query| EntryRequest::Waiting { query, queue: queue.to_owned() };
                match follower.request(QUERY_TIMEOUT, request).await {
                    Some(OwnerReply::Waiting { count, .. }) => count,
                    _ => None,
                }
            }
            Role::None => None,
        }
    }
}

/// Runs `work` for at most `timeout`; returns `on_timeout` if it takes longer.
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
