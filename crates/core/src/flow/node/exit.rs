//! Which incarnation of the worker the agent manages, and how it gives one up.
//!
//! An order to start that was sent to one incarnation may be carried out by the next one under the same raw
//! ID. Such a worker is held after its exit: its runs are not given up before the next incarnation has been
//! listed under a higher token, and its runs are reported together with it.

use std::time::Duration;

use super::reports::ReportOrder;
use super::worker::{Exit, Worker};
use super::{describe_ages, Action, AgentState, LocalRun, RunState};
use crate::flow::incarnation;
use crate::flow::message::{next_token, AgentMessage, Token, WorkerInfo};
use crate::flow::pace::Pacer;
use crate::flow::sampler::Sampler;
use crate::time::Time;

/// Maximum time for which a worker is held. A run that the next incarnation has started ends within the
/// platform's longest permission, which is 10 s; the rest covers the delay of the start.
const RESTART_HOLD: Duration = Duration::from_millis(11_000);
/// Maximum number of IDs whose ignored heartbeats are logged for one worker.
const MAX_IGNORED: usize = 16;

impl AgentState {
    /// Handles a heartbeat of a worker. `sequence` increases with each heartbeat of an incarnation.
    pub fn heartbeat(&mut self, now: Time, info: WorkerInfo, sequence: u64) {
        if self.is_outdated(&info.id) {
            self.log_ignored(&info.id, "older incarnation");
            return self.poll(now);
        }
        match &mut self.worker {
            Some(worker) if worker.info.id == info.id && !worker.is_held() => {
                if !worker.reports.admit(now, sequence) {
                    return self.log_ignored(&info.id, "sequence number");
                }
                worker.is_signed_off = false;
                let begins_drain = info.draining && !worker.info.draining;
                let ends_drain = !info.draining && worker.info.draining;
                let changes = ends_drain || info.is_changed(&worker.info);
                let (id, remaining) = (info.id.clone(), info.remaining);
                worker.info = info.clone();
                if changes && self.is_attached() {
                    self.actions.push(Action::Send(AgentMessage::Changed { worker: info }));
                }
                if begins_drain {
                    self.log("worker_drains", format!("worker={id} remaining={remaining:?}"));
                    if self.is_attached() {
                        self.actions
                            .push(Action::Send(AgentMessage::Draining { worker: id, remaining }));
                    }
                }
            }
            _ => {
                let is_known =
                    self.candidate.as_ref().is_some_and(|(known, _)| known.id == info.id);
                if !is_known {
                    self.log("worker_reported", format!("worker={}", info.id));
                    self.next_list = now;
                }
                self.candidate = Some((info, sequence));
                if !is_known && self.is_restarting() {
                    // The candidate refuses late copies of the orders that were sent before.
                    self.raise_token();
                }
            }
        }
        self.poll(now);
    }

    /// Tells whether a heartbeat comes from an earlier incarnation of a known worker, or from another writer
    /// that does not know which incarnation it names.
    fn is_outdated(&self, id: &str) -> bool {
        let known = self.worker.iter().map(|worker| &worker.info);
        let mut known = known.chain(self.candidate.iter().map(|(info, _)| info));
        known.any(|info| incarnation::is_older(id, &info.id))
    }

    /// Logs that heartbeats of a worker are ignored, once for each reason until the next worker.
    fn log_ignored(&mut self, id: &str, reason: &str) {
        let detail = format!("worker={id} reason={reason}");
        if self.ignored.len() < MAX_IGNORED && !self.ignored.contains(&detail) {
            self.ignored.push(detail.clone());
            self.log("heartbeat_ignored", detail);
        }
    }

    /// Handles the deregistration of a worker that exits. If `id` does not tell which incarnation it is, the
    /// worker is listed, which shows whether its process has exited.
    pub fn deregister(&mut self, now: Time, id: &str) {
        match &mut self.worker {
            Some(worker) if worker.info.id == id => self.end_worker(now, Exit::SignedOff),
            Some(worker)
                if !incarnation::is_named(id) && incarnation::is_older(id, &worker.info.id) =>
            {
                worker.is_signed_off = true;
                self.log("worker_asked", format!("worker={id} reason=signed off"));
                self.listing = None;
                self.next_list = now;
            }
            _ => {}
        }
        if self.candidate.as_ref().is_some_and(|(info, _)| info.id == id) {
            self.candidate = None;
        }
        self.poll(now);
    }

    /// Tells whether the current worker has been, or may have been, replaced by another incarnation that has
    /// not been listed. Orders could reach that one.
    pub(super) fn is_restarting(&self) -> bool {
        let Some(worker) = &self.worker else { return false };
        let mut candidate = self.candidate.iter().map(|(info, _)| &info.id);
        worker.is_held() || candidate.any(|id| incarnation::is_sibling(id, &worker.info.id))
    }

    /// Makes the worker refuse all orders that were sent before. Returns the new token. Without a session,
    /// or if the session has no higher token, returns `None`: the next session has a higher one.
    pub(super) fn raise_token(&mut self) -> Option<Token> {
        let session = self.session.as_mut()?;
        self.listing = None;
        match next_token(session.token) {
            Some(token) => session.token = token,
            None => {
                self.disconnected();
                self.actions.push(Action::Reconnect);
                return None;
            }
        }
        Some(session.token)
    }

    /// Handles the exit of the current worker's process: holds the worker if a run may go on in the next
    /// incarnation, otherwise forgets it.
    pub(super) fn end_worker(&mut self, now: Time, exit: Exit) {
        let Some(worker) = &mut self.worker else { return };
        let exit = if worker.is_signed_off { Exit::SignedOff } else { exit };
        let id = worker.info.id.clone();
        if worker.is_held() {
            return;
        }
        worker.held = Some((exit, now));
        if !self.may_go_on() {
            return self.lose_worker(exit);
        }
        let runs = self.runs.len();
        self.log("worker_held", format!("worker={id} reason={} runs={runs}", exit.reason()));
        self.raise_token();
    }

    /// Tells whether a run of the held worker may go on in the next incarnation: any after the answer of that
    /// one, those whose start was not answered if nothing listens any more, otherwise all that this one has
    /// not listed, because the next one may have answered their starts.
    fn may_go_on(&self) -> bool {
        let Some(worker) = &self.worker else { return false };
        let may_go_on = |run: &LocalRun| match worker.held {
            Some((Exit::OtherLife, _)) => true,
            Some((Exit::Refused, _)) => run.state != RunState::Running,
            _ => !run.is_listed,
        };
        incarnation::is_named(&worker.info.id) && self.runs.values().any(may_go_on)
    }

    /// Gives up a held worker if no run of it can go on any more.
    pub(super) fn end_hold(&mut self, now: Time) {
        match self.worker.as_ref().and_then(|worker| worker.held) {
            Some((exit, at)) if now >= at + RESTART_HOLD || !self.may_go_on() => {
                self.lose_worker(exit)
            }
            _ => {}
        }
    }

    /// Forgets the current worker after its process has exited, and reports the exit to the owner.
    fn lose_worker(&mut self, exit: Exit) {
        let Some(worker) = self.worker.take() else { return };
        let runs = self.lost_runs(&worker);
        let detail = format!(
            "worker={} reason={} runs={} ages_ms={}",
            worker.info.id,
            exit.reason(),
            self.runs.len(),
            describe_ages(&runs, usize::MAX)
        );
        self.log("worker_lost", detail);
        self.runs.clear();
        self.pacer = Pacer::default();
        self.sampler = Sampler::default();
        self.worker_exited = true;
        self.listing = None;
        let id = worker.info.id;
        let report = match exit.is_crash() && !worker.info.draining {
            true => {
                self.keep_crash(id.clone(), runs.clone());
                AgentMessage::Crashed { worker: id, runs }
            }
            false => AgentMessage::Gone { worker: id },
        };
        if self.is_attached() {
            self.actions.push(Action::Send(report));
        }
    }

    /// Makes the candidate the current worker if its ID is `id`, the worker that sent the listing.
    pub(super) fn adopt_worker(&mut self, now: Time, id: &str) {
        let is_candidate = self.candidate.as_ref().is_some_and(|(info, _)| info.id == id);
        match self.candidate.take() {
            Some((info, sequence)) if is_candidate => {
                let reports = ReportOrder::new(now, sequence);
                self.detach(id);
                match self.worker.as_mut() {
                    Some(known) if known.info.id == id => {
                        known.held = None;
                        known.info = info;
                        known.reports = reports;
                        self.log("worker_released", format!("worker={id}"));
                    }
                    known => {
                        let exit = match known.map(|known| (known.held, known.is_signed_off)) {
                            Some((Some((exit, _)), _)) => exit,
                            Some((None, true)) => Exit::SignedOff,
                            _ => Exit::Replaced,
                        };
                        self.lose_worker(exit);
                        self.worker = Some(Worker::new(info, reports));
                    }
                }
                self.worker_exited = false;
                self.ignored.clear();
                self.next_list = Time::ZERO;
                if let Some(session) = &mut self.session {
                    session.is_attached = false;
                    session.reported = 0;
                }
            }
            other => self.candidate = other,
        }
    }

    /// Prepares the report of the worker `id` in place of the current one. The exit of another incarnation
    /// of the same worker is reported with it and not before.
    fn detach(&mut self, id: &str) {
        let known = self.worker.as_ref().map(|worker| worker.info.id.as_str());
        let is_restart =
            known.is_some_and(|known| known == id || incarnation::is_sibling(known, id));
        if let Some(session) = &mut self.session {
            let is_second = session.is_attached || session.unconfirmed_since.is_some();
            session.unconfirmed_since = is_second.then_some(Time::MAX);
            session.is_attached &= !is_restart;
        }
    }
}
