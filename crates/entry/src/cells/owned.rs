//! One cell that this entry owns: commits to its journal, checks of its owner record, and reports
//! that wait for orders.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::future;
use parking_lot::Mutex;
use peridotfold_core::cell::{Cell, Effect, Event, Limits, ReportStatus, Ticket};
use peridotfold_core::config::Document;
use peridotfold_core::id::{AgentId, CellId, Epoch};
use peridotfold_core::message::announce::CellOwner;
use peridotfold_core::message::report::{AttemptId, Orders, Report};
use peridotfold_store::{Journal, JournalError, PutOutcome, Store, MAX_VALUE_BYTES};
use peridotfold_wire::runtime;

use crate::cells::record::{owner_key, OwnerRecord, Replayed};
use crate::cells::{Shared, WorkerView};

/// Longest time for which the answer to a report waits for orders. Also the longest time between
/// two checks for uncommitted events.
const REPORT_HOLD: Duration = Duration::from_secs(1);
/// Time between two polls of the cell's state machine, which places tasks and checks leases. Also
/// the time between two checks for pending events at a release.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Shortest time between two commits of a cell's events to the store.
const COMMIT_INTERVAL: Duration = Duration::from_millis(250);
/// Sustained rate of a cell's commits to the store, in commits per second.
const COMMIT_RATE: f64 = 2.0;
/// Pause before a failed commit of events to the store is repeated.
const COMMIT_RETRY: Duration = Duration::from_millis(500);
/// Time between two checks whether the owner record in the store still names this entry.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Longest wait for the last commits of a cell that is being released.
const RELEASE_LIMIT: Duration = Duration::from_secs(5);

/// State of an owned cell that its tasks and callers share.
#[derive(Debug)]
pub(super) struct OwnedState {
    /// State machine of the cell.
    pub cell: Cell,
    /// Signals of calls that wait until their change of the cell is committed. A ticket numbers a
    /// change.
    pub tickets: HashMap<Ticket, Sender<()>>,
    /// The most recently issued ticket.
    pub last_ticket: Ticket,
    /// Signals of the reports that wait for orders, by agent.
    held_reports: HashMap<AgentId, Sender<()>>,
    /// Configuration document that was last applied to the cell.
    document: Option<Arc<Document>>,
}

/// A cell that this entry owns, until `ended` is set.
#[derive(Debug)]
pub(super) struct OwnedCell<S: Store> {
    pub id: CellId,
    shared: Arc<Shared<S>>,
    /// Epoch of this entry's ownership of the cell.
    epoch: Epoch,
    state: Mutex<OwnedState>,
    /// The ownership was lost or released.
    ended: AtomicBool,
    /// Wakes the task that commits the cell's events to the store.
    commit_signal: Sender<()>,
}

impl<S: Store> OwnedCell<S> {
    /// Creates a cell that was taken over and starts its tasks.
    pub fn start(
        shared: &Arc<Shared<S>>,
        id: CellId,
        epoch: Epoch,
        cell: Cell,
        journal: Journal<S, Replayed>,
    ) -> Arc<Self> {
        let (commit_signal, commit_wanted) = async_channel::bounded(1);
        let state = OwnedState {
            cell,
            tickets: HashMap::new(),
            last_ticket: 0,
            held_reports: HashMap::new(),
            document: None,
        };
        let shared = shared.clone();
        let ended = AtomicBool::new(false);
        let owned = Arc::new(OwnedCell {
            id,
            shared,
            epoch,
            state: Mutex::new(state),
            ended,
            commit_signal,
        });
        runtime::spawn(owned.clone().commit_loop(journal, commit_wanted)).detach();
        runtime::spawn(owned.clone().poll_loop()).detach();
        runtime::spawn(owned.clone().check_owner()).detach();
        owned
    }

    /// Tells whether the ownership was lost or released.
    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Acquire)
    }

    /// Returns this entry as the owner of the cell.
    pub fn owner(&self) -> CellOwner {
        CellOwner {
            entry: self.shared.entry.clone(),
            address: self.shared.address.clone(),
            epoch: self.epoch,
        }
    }

    /// Returns the cell's workers for operators.
    pub fn workers(&self) -> Vec<WorkerView> {
        let views = self.state.lock().cell.worker_views(runtime::now());
        views.into_iter().map(|worker| WorkerView { cell: self.id.clone(), worker }).collect()
    }

    /// Applies the limits of a configuration document to the cell, if the document is a new one.
    pub fn set_document(&self, document: &Arc<Document>) {
        let mut state = self.state.lock();
        if state.document.as_ref().is_some_and(|known| Arc::ptr_eq(known, document)) {
            return;
        }
        state.cell.set_limits(Limits::from(&**document));
        state.document = Some(document.clone());
    }

    /// Runs `change` on the state, delivers the resulting effects, and wakes the commit task if
    /// there are uncommitted events.
    pub fn with_state<T>(&self, change: impl FnOnce(&mut OwnedState) -> T) -> T {
        let mut state = self.state.lock();
        let result = change(&mut state);
        state.deliver_effects();
        if state.cell.has_uncommitted() {
            let _ = self.commit_signal.try_send(());
        }
        result
    }

    /// Processes a report and returns the answer, or `None` when this entry no longer owns the
    /// cell.
    pub async fn report(self: &Arc<Self>, report: Report) -> Option<Orders> {
        let now = runtime::now();
        let received = self.with_state(|state| state.cell.report(now, &report));
        match received {
            ReportStatus::Accepted => {}
            ReportStatus::Stale => {
                let (epoch, sequence) = (self.epoch, report.sequence);
                return Some(Orders { epoch, sequence, ..Orders::default() });
            }
            ReportStatus::NotOwner => {
                if report.epoch > self.epoch {
                    self.lose_ownership("a report names a higher epoch");
                }
                return None;
            }
        }
        let deadline = now + REPORT_HOLD;
        while let Some(woken) = self.register_wait(&report.agent) {
            let left = deadline.saturating_sub(runtime::now());
            let waited = async { woken.recv().await.is_ok() };
            let timed_out = async {
                runtime::sleep(left).await;
                false
            };
            // Not woken: a newer report has replaced this one, or the time is up.
            if !future::or(waited, timed_out).await {
                break;
            }
        }
        let Report { agent, incarnation, sequence, .. } = report;
        let answer = |state: &mut OwnedState| {
            state.cell.answer(runtime::now(), &agent, incarnation, sequence)
        };
        self.with_state(answer)
    }

    /// Registers a report's wait for orders. Returns `None` when there are orders already.
    fn register_wait(&self, agent: &AgentId) -> Option<Receiver<()>> {
        let mut state = self.state.lock();
        if state.cell.has_orders(runtime::now(), agent) {
            return None;
        }
        let (sender, receiver) = async_channel::bounded(1);
        state.held_reports.insert(agent.clone(), sender);
        Some(receiver)
    }

    /// Polls the cell, which places tasks and checks leases, until the ownership ends.
    async fn poll_loop(self: Arc<Self>) {
        while !self.has_ended() {
            let now = runtime::now();
            self.with_state(|state| state.cell.poll(now));
            runtime::sleep(POLL_INTERVAL).await;
        }
    }

    /// Commits proposed events until the ownership ends: at once when idle, otherwise in batches at
    /// [`COMMIT_RATE`].
    async fn commit_loop(
        self: Arc<Self>,
        mut journal: Journal<S, Replayed>,
        commit_wanted: Receiver<()>,
    ) {
        let mut commit_tokens = COMMIT_RATE;
        let mut last = runtime::now();
        while !self.has_ended() {
            let waited = async {
                let _ = commit_wanted.recv().await;
            };
            future::or(waited, runtime::sleep(REPORT_HOLD)).await;
            let now = runtime::now();
            let refilled = commit_tokens + (now - last).as_secs_f64() * COMMIT_RATE;
            commit_tokens = refilled.min(COMMIT_RATE);
            last = now;
            let events = self.state.lock().cell.take_batch();
            if events.is_empty() {
                continue;
            }
            commit_tokens -= 1.0;
            if !self.commit(&mut journal, events).await {
                let _ = self.commit_signal.try_send(());
                runtime::sleep(COMMIT_RETRY).await;
                continue;
            }
            let owed = Duration::from_secs_f64((1.0 - commit_tokens).max(0.0) / COMMIT_RATE);
            let pause = owed.max(COMMIT_INTERVAL);
            runtime::sleep(pause.saturating_sub(runtime::now() - now)).await;
        }
    }

    /// Appends one batch to the journal. Tells whether the batch is durable.
    async fn commit(&self, journal: &mut Journal<S, Replayed>, events: Vec<Event>) -> bool {
        let start = runtime::now();
        let result = journal.append(events.clone()).await;
        let elapsed = runtime::now().saturating_sub(start);
        let cell = self.id.clone();
        metrics::histogram!("cell_commit_seconds", "cell" => cell).record(elapsed.as_secs_f64());
        match result {
            Ok(()) => {
                self.log_events(&events);
                self.with_state(|state| {
                    state.cell.record_store_contact(start);
                    state.cell.confirm_commit();
                });
                true
            }
            Err(error @ (JournalError::Unavailable(_) | JournalError::TooLarge)) => {
                let limit = MAX_VALUE_BYTES;
                tracing::warn!(event = "commit_failed", cell = self.id, limit, %error);
                false
            }
            Err(error) => {
                self.lose_ownership(&error.to_string());
                false
            }
        }
    }

    /// Checks the owner record until the ownership ends. This bounds the time for which an owner
    /// without commits can continue after a successor has taken over.
    async fn check_owner(self: Arc<Self>) {
        while !self.has_ended() {
            let start = runtime::now();
            match self.shared.store.get(&owner_key(&self.id)).await {
                Ok(Some(found)) => match OwnerRecord::decode(&found) {
                    Some(record) if self.is_own(&record) => {
                        self.state.lock().cell.record_store_contact(start);
                    }
                    _ => self.lose_ownership("another owner is recorded"),
                },
                Ok(None) => self.lose_ownership("the owner record is gone"),
                Err(error) => {
                    tracing::debug!(event = "owner_check_failed", cell = self.id, %error);
                }
            }
            self.update_gauges();
            runtime::sleep(OWNER_CHECK_INTERVAL).await;
        }
    }

    /// Tells whether a record names this ownership period.
    fn is_own(&self, record: &OwnerRecord) -> bool {
        record.entry == self.shared.entry
            && record.incarnation == self.shared.incarnation
            && record.epoch == self.epoch
    }

    /// Updates the metrics of queued and running tasks.
    fn update_gauges(&self) {
        let (mut queued, mut running) = (0, 0);
        for job in self.state.lock().cell.state().jobs.values() {
            queued += u64::from(job.waiting());
            running += job.attempts.len();
        }
        metrics::gauge!("cell_tasks_queued", "cell" => self.id.clone()).set(queued as f64);
        metrics::gauge!("cell_tasks_running", "cell" => self.id.clone()).set(running as f64);
    }

    /// Ends the ownership without a release, since another entry may own the cell.
    fn lose_ownership(&self, reason: &str) {
        if self.ended.swap(true, Ordering::AcqRel) {
            return;
        }
        let mut state = self.state.lock();
        state.cell.stop();
        state.tickets.clear();
        state.held_reports.clear();
        tracing::warn!(event = "cell_lost", cell = self.id, epoch = self.epoch, reason);
    }

    /// Releases the cell: stops leases and starts, commits the pending events, then marks the owner
    /// record as released.
    pub async fn release(self: Arc<Self>) {
        let deadline = runtime::now() + RELEASE_LIMIT;
        self.with_state(|state| {
            state.cell.release();
            state.held_reports.clear();
        });
        while self.state.lock().cell.has_pending_events() && runtime::now() < deadline {
            runtime::sleep(POLL_INTERVAL).await;
            if self.has_ended() {
                return;
            }
        }
        let is_done = !self.state.lock().cell.has_pending_events();
        if is_done && self.mark_released().await {
            tracing::info!(event = "cell_released", cell = self.id, epoch = self.epoch);
        } else {
            tracing::warn!(event = "cell_release_failed", cell = self.id, epoch = self.epoch);
        }
        self.ended.store(true, Ordering::Release);
        self.state.lock().tickets.clear();
    }

    /// Sets `released` in the owner record. Tells whether that succeeded.
    async fn mark_released(&self) -> bool {
        let key = owner_key(&self.id);
        let Ok(Some(found)) = self.shared.store.get(&key).await else { return false };
        let Some(record) = OwnerRecord::decode(&found).filter(|record| self.is_own(record)) else {
            return false;
        };
        let record = OwnerRecord { released: true, ..record };
        let written = self.shared.store.put(&key, found.version, record.encode()).await;
        matches!(written, Ok(PutOutcome::Written(_)))
    }

    /// Logs and counts committed events.
    pub fn log_events(&self, events: &[Event]) {
        for event in events {
            let name = event.name();
            metrics::counter!("cell_events_total", "cell" => self.id.clone(), "event" => name)
                .increment(1);
            log_event(&self.id, self.epoch, name, event);
        }
    }
}

impl OwnedState {
    /// Issues a ticket for a change, with the receiver of its signal after the commit.
    pub fn issue_ticket(&mut self) -> (Ticket, Receiver<()>) {
        let (sender, receiver) = async_channel::bounded(1);
        self.last_ticket += 1;
        self.tickets.insert(self.last_ticket, sender);
        (self.last_ticket, receiver)
    }

    /// Signals the calls whose commit is durable and the reports that have orders.
    fn deliver_effects(&mut self) {
        for effect in self.cell.take_effects() {
            match effect {
                Effect::Durable(ticket) => {
                    if let Some(sender) = self.tickets.remove(&ticket) {
                        let _ = sender.try_send(());
                    }
                }
                Effect::Wake(agent) => {
                    if let Some(sender) = self.held_reports.get(&agent) {
                        let _ = sender.try_send(());
                    }
                }
            }
        }
    }
}

/// Logs one committed event under its name.
fn log_event(cell: &str, epoch: Epoch, event: &'static str, record: &Event) {
    let log_attempt = |attempt: &AttemptId, detail: &str| {
        let AttemptId { job, task, token } = attempt;
        let number = token.number;
        tracing::info!(event, cell, epoch, job, task, token_epoch = token.epoch, number, detail);
    };
    match record {
        Event::Started { attempt, agent } => log_attempt(attempt, agent),
        Event::Failed { attempt, reason, .. } => log_attempt(attempt, reason),
        Event::Completed { attempt }
        | Event::Evicted { attempt, .. }
        | Event::Requeued { attempt, .. } => log_attempt(attempt, ""),
        Event::Submitted { spec, .. } => {
            tracing::info!(event, cell, epoch, job = spec.id, team = spec.team, tasks = spec.tasks);
        }
        Event::CancelRequested { job } => tracing::info!(event, cell, epoch, job),
        Event::Unrunnable { job, reason } => tracing::info!(event, cell, epoch, job, reason),
        Event::Blamed { agent } => tracing::warn!(event, cell, epoch, agent),
        Event::TakenOver { .. } => tracing::info!(event, cell, epoch),
        Event::Released { clean, .. } => tracing::info!(event, cell, epoch, clean),
    }
}
