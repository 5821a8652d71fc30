//! Simulated owner processes of a cell, and the journal that they share.

use std::collections::BTreeMap;

use fastrand::Rng;
use peridotfold_core::cell::{Cell, CellSettings, CellState, Event, Limits, ReportStatus};
use peridotfold_core::id::{Epoch, Incarnation};
use peridotfold_core::message::report::{Orders, Report};
use peridotfold_core::resources::Resources;
use peridotfold_core::time::Time;

use crate::history::Observation;

/// Journal of the committed events of a cell, fenced by the epoch.
#[derive(Default)]
pub struct Journal {
    /// Committed events, oldest first.
    log: Vec<Event>,
    /// Epoch of the current owner.
    pub epoch: Epoch,
    /// Epoch and number of the last batch written.
    last_batch: (Epoch, u64),
}

impl Journal {
    /// Returns the state after all events of the journal.
    pub fn replay(&self) -> CellState {
        let mut state = CellState::default();
        self.log.iter().for_each(|event| state.apply(event));
        state
    }

    /// Begins the next epoch and returns its owner. `now` is the time by the owner's clock.
    pub fn take_over(
        &mut self,
        now: Time,
        settings: CellSettings,
        rng: Rng,
        history: &mut Vec<Observation>,
    ) -> Cell {
        self.epoch += 1;
        let mut cell = Cell::take_over(self.replay(), self.epoch, settings, now, rng);
        let all = Resources::new(9_000_000, 9_000_000, 0);
        cell.set_limits(Limits {
            teams: [("team".to_owned(), all)].into(),
            classes: [("urgent".to_owned(), (all, true)), ("normal".to_owned(), (all, false))]
                .into(),
        });
        let events = cell.take_batch();
        self.append(events, history);
        cell.confirm_commit();
        cell
    }

    /// Appends a batch of events from the owner of `epoch`. Tells whether that owner is fenced;
    /// `None` for a delayed copy of an earlier batch, which fails the compare-and-swap. Repeating
    /// the last batch has no effect.
    pub fn write(
        &mut self,
        epoch: Epoch,
        batch_number: u64,
        events: Vec<Event>,
        history: &mut Vec<Observation>,
    ) -> Option<bool> {
        match (epoch == self.epoch, self.last_batch) {
            (false, _) => return Some(true),
            (true, (last_epoch, last_number))
                if last_epoch == epoch && last_number > batch_number =>
            {
                return None
            }
            (true, last_batch) if last_batch == (epoch, batch_number) => {}
            (true, _) => {
                self.last_batch = (epoch, batch_number);
                self.append(events, history);
            }
        }
        Some(false)
    }

    /// Appends events to the journal and to the history.
    fn append(&mut self, events: Vec<Event>, history: &mut Vec<Observation>) {
        history.extend(events.iter().cloned().map(Observation::Committed));
        self.log.extend(events);
    }
}

/// Simulated owner process of a cell.
pub struct Owner {
    /// State machine of the owner; `None` after the process was killed.
    pub cell: Option<Cell>,
    /// Speed of the owner's clock relative to true time.
    pub clock_rate: f64,
    /// Number of the last batch of events sent to the journal.
    pub batch_number: u64,
    /// Whether a batch was sent to the journal and not confirmed yet.
    pub is_committing: bool,
    /// Incarnation and sequence number of each agent's report that waits for an answer.
    pending_reports: BTreeMap<String, (Incarnation, u64)>,
    /// End of the last pause of the process.
    pub paused_until: Time,
    /// End of the last network partition between the owner and the store.
    pub store_cut_until: Time,
}

impl Owner {
    pub fn new(cell: Cell, clock_rate: f64) -> Self {
        Owner {
            cell: Some(cell),
            clock_rate,
            batch_number: 0,
            is_committing: false,
            pending_reports: BTreeMap::new(),
            paused_until: Time::ZERO,
            store_cut_until: Time::ZERO,
        }
    }

    /// Polls the cell. Tells whether the cell is to be polled again.
    pub fn poll(&mut self, now: Time, reaches_store: bool, is_current: bool) -> bool {
        let Some(cell) = &mut self.cell else { return false };
        match reaches_store {
            true if is_current => cell.record_store_contact(now),
            true => cell.stop(),
            false => {}
        }
        cell.poll(now);
        !cell.is_stopped() || is_current
    }

    /// Returns the batch of events to write: a new one, or the one whose commit is not confirmed
    /// yet. Returns `None` if there is none.
    pub fn take_batch(&mut self) -> Option<Vec<Event>> {
        let events = self.cell.as_mut()?.take_batch();
        self.is_committing = !events.is_empty();
        self.is_committing.then_some(events)
    }

    /// Processes the journal's reply to a batch. Tells whether the batch is now committed.
    pub fn handle_commit(&mut self, batch_number: u64, sent: Time, fenced: bool) -> bool {
        let is_open = self.is_committing && self.batch_number == batch_number;
        let Some(cell) = self.cell.as_mut().filter(|_| is_open) else { return false };
        if fenced {
            cell.stop();
            return false;
        }
        cell.record_store_contact(sent);
        cell.confirm_commit();
        self.is_committing = false;
        true
    }

    /// Processes an agent's report, and records that it waits for an answer. Tells whether the
    /// report was accepted.
    pub fn accept_report(&mut self, now: Time, report: &Report) -> bool {
        let Some(cell) = &mut self.cell else { return false };
        if cell.report(now, report) != ReportStatus::Accepted {
            return false;
        }
        self.pending_reports.insert(report.agent.clone(), (report.incarnation, report.sequence));
        true
    }

    /// Tells whether this report of the agent still waits for an answer.
    pub fn is_pending(&self, agent: &str, incarnation: Incarnation, sequence: u64) -> bool {
        self.pending_reports.get(agent) == Some(&(incarnation, sequence))
    }

    /// Answers the agent's report that waits for an answer. Returns the agent's incarnation and the
    /// orders; `None` if no report waits or the owner has stopped.
    pub fn answer(
        &mut self,
        now: Time,
        agent: &str,
        history: &mut Vec<Observation>,
    ) -> Option<(Incarnation, Orders)> {
        let (incarnation, sequence) = self.pending_reports.remove(agent)?;
        let orders = self.cell.as_mut()?.answer(now, agent, incarnation, sequence)?;
        history.extend(orders.acknowledged.iter().cloned().map(Observation::Acknowledged));
        Some((incarnation, orders))
    }

    /// Tells whether the agent's report that waits for an answer has to be answered at once.
    pub fn has_orders(&self, now: Time, agent: &str) -> bool {
        self.cell.as_ref().is_some_and(|cell| cell.has_orders(now, agent))
    }
}
