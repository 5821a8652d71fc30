//! One owned cell: commits, lease checks and held reports.

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

/// Longest time for which a report without orders is held.
const HOLD_REPORT: Duration = Duration::from_secs(1);
/// Time between two placements, and between two looks at an idle cell.
const POLL: Duration = Duration::from_millis(25);
/// Shortest time between two commits.
const COMMIT_GAP: Duration = Duration::from_millis(250);
/// Sustained commits in a second.
const COMMIT_RATE: f64 = 2.0;
/// Pause after a commit that the store did not answer.
const COMMIT_RETRY: Duration = Duration::from_millis(500);
/// Time between two checks of the owner record.
const CHECK_OWNER: Duration = Duration::from_secs(2);
/// Longest time for the last commits and the release at shutdown.
const RELEASE_LIMIT: Duration = Duration::from_secs(5);

/// What the tasks and calls of an owned share.
#[derive(Debug)]
pub(super) struct State {
    pub cell: Cell,
    pub tickets: HashMap<Ticket, Sender<()>>,
    pub next_ticket: Ticket,
    held: HashMap<AgentId, Sender<()>>,
    document: Option<Arc<Document>>,
}

/// An owned cell.
#[derive(Debug)]
pub(super) struct OwnedCell<S: Store> {
    pub id: CellId,
    shared: Arc<Shared<S>>,
    epoch: Epoch,
    state: Mutex<State>,
    ended: AtomicBool,
    /// Wakes the committing task.
    work: Sender<()>,
}

impl<S: Store> OwnedCell<S> {
    /// Starts the tasks of a cell that was taken over.
    pub fn open(
        shared: &Arc<Shared<S>>,
        id: CellId,
        epoch: Epoch,
        cell: Cell,
        journal: Journal<S, Replayed>,
    ) -> Arc<Self> {
        let (work, worked) = async_channel::bounded(1);
        let state = State {
            cell,
            tickets: HashMap::new(),
            next_ticket: 0,
            held: HashMap::new(),
            document: None,
        };
        let shared = shared.clone();
        let ended = AtomicBool::new(false);
        let owned =
            Arc::new(OwnedCell { id, shared, epoch, state: Mutex::new(state), ended, work });
        runtime::spawn(owned.clone().commit_all(journal, worked)).detach();
        runtime::spawn(owned.clone().poll_all()).detach();
        runtime::spawn(owned.clone().check_owner()).detach();
        owned
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Acquire)
    }

    pub fn owner(&self) -> CellOwner {
        CellOwner {
            entry: self.shared.entry.clone(),
            address: self.shared.address.clone(),
            epoch: self.epoch,
        }
    }

    pub fn workers(&self) -> Vec<WorkerView> {
        let views = self.state.lock().cell.worker_views(runtime::now());
        views.into_iter().map(|worker| WorkerView { cell: self.id.clone(), worker }).collect()
    }

    pub fn set_document(&self, document: &Arc<Document>) {
        let mut state = self.state.lock();
        if state.document.as_ref().is_some_and(|known| Arc::ptr_eq(known, document)) {
            return;
        }
        state.cell.set_limits(Limits::from(&**document));
        state.document = Some(document.clone());
    }

    /// Runs `change` on the state and wakes the commit for what it proposed.
    pub fn with_state<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.lock();
        let result = change(&mut state);
        state.release_effects();
        if state.cell.has_uncommitted() {
            let _ = self.work.try_send(());
        }
        result
    }

    /// Takes in a report and answers it; `None` when the cell is no longer owned here.
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
                    self.end("a report names a higher epoch");
                }
                return None;
            }
        }
        let deadline = now + HOLD_REPORT;
        while let Some(woken) = self.hold(&report.agent) {
            let left = deadline.saturating_sub(runtime::now());
            let waited = async { woken.recv().await.is_ok() };
            let timed_out = async {
                runtime::sleep(left).await;
                false
            };
            // Not woken: overtaken by a newer report, or the time is up.
            if !future::or(waited, timed_out).await {
                break;
            }
        }
        let Report { agent, incarnation, sequence, .. } = report;
        let answer =
            |state: &mut State| state.cell.answer(runtime::now(), &agent, incarnation, sequence);
        self.with_state(answer)
    }

    /// Registers a wait for orders; `None` when there are some.
    fn hold(&self, agent: &AgentId) -> Option<Receiver<()>> {
        let mut state = self.state.lock();
        if state.cell.has_orders(runtime::now(), agent) {
            return None;
        }
        let (sender, receiver) = async_channel::bounded(1);
        state.held.insert(agent.clone(), sender);
        Some(receiver)
    }

    /// Places and checks leases until the owned ends.
    async fn poll_all(self: Arc<Self>) {
        while !self.has_ended() {
            let now = runtime::now();
            self.with_state(|state| state.cell.poll(now));
            runtime::sleep(POLL).await;
        }
    }

    /// Commits until the owned ends: at once when idle, otherwise in groups.
    async fn commit_all(self: Arc<Self>, mut journal: Journal<S, Replayed>, work: Receiver<()>) {
        let mut allowance = COMMIT_RATE;
        let mut last = runtime::now();
        while !self.has_ended() {
            let waited = async {
                let _ = work.recv().await;
            };
            future::or(waited, runtime::sleep(HOLD_REPORT)).await;
            let now = runtime::now();
            let refilled = allowance + (now - last).as_secs_f64() * COMMIT_RATE;
            allowance = refilled.min(COMMIT_RATE);
            last = now;
            let events = self.state.lock().cell.take_batch();
            if events.is_empty() {
                continue;
            }
            allowance -= 1.0;
            if !self.commit(&mut journal, events).await {
                let _ = self.work.try_send(());
                runtime::sleep(COMMIT_RETRY).await;
                continue;
            }
            let owed = Duration::from_secs_f64((1.0 - allowance).max(0.0) / COMMIT_RATE);
            let pause = owed.max(COMMIT_GAP);
            runtime::sleep(pause.saturating_sub(runtime::now() - now)).await;
        }
    }

    /// Writes one batch. Tells whether it is durable.
    async fn commit(&self, journal: &mut Journal<S, Replayed>, events: Vec<Event>) -> bool {
        let start = runtime::now();
        let result = journal.append(events.clone()).await;
        let elapsed = runtime::now().saturating_sub(start);
        let cell = self.id.clone();
        metrics::histogram!("cell_commit_seconds", "cell" => cell).record(elapsed.as_secs_f64());
        match result {
            Ok(()) => {
                self.log(&events);
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
                self.end(&error.to_string());
                false
            }
        }
    }

    /// Checks the owner record until the owned ends. This also bounds the time for which an owner
    /// without commits can go on after a successor has taken over.
    async fn check_owner(self: Arc<Self>) {
        while !self.has_ended() {
            let start = runtime::now();
            match self.shared.store.get(&owner_key(&self.id)).await {
                Ok(Some(found)) => match OwnerRecord::decode(&found) {
                    Some(record) if self.is_own(&record) => {
                        self.state.lock().cell.record_store_contact(start);
                    }
                    _ => self.end("another owner is recorded"),
                },
                Ok(None) => self.end("the owner record is gone"),
                Err(error) => {
                    tracing::debug!(event = "owner_check_failed", cell = self.id, %error);
                }
            }
            self.measure();
            runtime::sleep(CHECK_OWNER).await;
        }
    }

    fn is_own(&self, record: &OwnerRecord) -> bool {
        record.entry == self.shared.entry
            && record.incarnation == self.shared.incarnation
            && record.epoch == self.epoch
    }

    fn measure(&self) {
        let (mut queued, mut running) = (0, 0);
        for job in self.state.lock().cell.state().jobs.values() {
            queued += u64::from(job.waiting());
            running += job.attempts.len();
        }
        metrics::gauge!("cell_tasks_queued", "cell" => self.id.clone()).set(queued as f64);
        metrics::gauge!("cell_tasks_running", "cell" => self.id.clone()).set(running as f64);
    }

    /// Leaves owned: another owner may be in it.
    fn end(&self, reason: &str) {
        if self.ended.swap(true, Ordering::AcqRel) {
            return;
        }
        let mut state = self.state.lock();
        state.cell.stop();
        state.tickets.clear();
        state.held.clear();
        tracing::warn!(event = "cell_lost", cell = self.id, epoch = self.epoch, reason);
    }

    /// Hands the cell back: stops granting, commits what is left, then marks the record.
    pub async fn release(self: Arc<Self>) {
        let deadline = runtime::now() + RELEASE_LIMIT;
        self.with_state(|state| {
            state.cell.release();
            state.held.clear();
        });
        while self.state.lock().cell.has_pending_events() && runtime::now() < deadline {
            runtime::sleep(POLL).await;
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
    pub fn log(&self, events: &[Event]) {
        for event in events {
            let name = event.name();
            metrics::counter!("cell_events_total", "cell" => self.id.clone(), "event" => name)
                .increment(1);
            log_event(&self.id, self.epoch, name, event);
        }
    }
}

impl State {
    /// Returns a ticket, and the signal that it has become durable.
    pub fn ticket(&mut self) -> (Ticket, Receiver<()>) {
        let (sender, receiver) = async_channel::bounded(1);
        self.next_ticket += 1;
        self.tickets.insert(self.next_ticket, sender);
        (self.next_ticket, receiver)
    }

    fn release_effects(&mut self) {
        for effect in self.cell.take_effects() {
            match effect {
                Effect::Durable(ticket) => {
                    if let Some(sender) = self.tickets.remove(&ticket) {
                        let _ = sender.try_send(());
                    }
                }
                Effect::Wake(agent) => {
                    if let Some(sender) = self.held.get(&agent) {
                        let _ = sender.try_send(());
                    }
                }
            }
        }
    }
}

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
