//! The agent beside one worker: carries out the owner's orders, and keeps the worker's permission.
//!
//! One session is obeyed at a time. It begins by raising the token that the worker has seen, so
//! that orders of older sessions which are still on their way are refused, and then lists what runs.

mod listing;
mod pacing;

use std::collections::BTreeMap;
use std::time::Duration;

use super::message::{
    AgentMessage, EndNumber, OwnerMessage, Sample, Start, TaskTraits, Token, WorkerInfo,
};
use super::model::{Run, TaskId};
use super::owner::Decision;
use super::pace::Pacer;
use super::sampler::Sampler;
use crate::time::Time;

/// Slowest rate of a worker's clock.
const CLOCK_RATE_PERCENT: u32 = 98;
/// Time between two requests for permission.
const PING_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after a listing with unacknowledged ends at which the worker is looked at again.
const UNACKED_DELAY: Duration = Duration::from_millis(60);
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest wait of a look, so that permission is renewed and checkpoints are read.
const MAX_LIST_WAIT: Duration = Duration::from_millis(1_000);
/// Wait of a look while tails have to be followed.
const PACING_LIST_WAIT: Duration = Duration::from_millis(450);
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(1);
/// Refused connections in a row that prove that the worker's process has ended.
const MAX_REFUSALS: u32 = 2;
const MAX_POLL_DELAY: Duration = Duration::from_millis(500);

/// A call to the worker.
#[derive(Debug, Clone, PartialEq)]
pub enum Call {
    /// Renews the permission and lists runs and ends.
    List {
        worker: String,
        token: Token,
        acknowledged: EndNumber,
        deadline: Option<u64>,
        wait: Duration,
    },
    Start {
        worker: String,
        token: Token,
        deadline: u64,
        start: Box<Start>,
    },
    Stop {
        worker: String,
        token: Token,
        task: TaskId,
        run: Run,
    },
    Pace {
        worker: String,
        token: Token,
        task: TaskId,
        run: Run,
        percent: u32,
    },
}

/// Outcome of a call that is not a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    Done,
    /// The worker refused, and will not do it later.
    Refused(String),
    /// The worker has seen a higher token.
    OldToken,
    /// Another life answers at the address.
    OtherLife,
    /// Nothing listens at the address.
    NotThere,
    /// It may be done, now or later.
    Unclear,
}

/// What the shell does for the agent.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    Call(Call),
    Send(AgentMessage),
    Log(Decision),
    /// Ends the session: the worker obeys a later one.
    Reconnect,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunState {
    Starting,
    Running,
    /// The answer was lost; a listing under a token of at least this value tells.
    Doubtful(Token),
}

#[derive(Debug, Clone)]
struct LocalRun {
    run: Run,
    state: RunState,
    traits: TaskTraits,
    /// When the start was answered.
    since: Time,
    must_stop: bool,
    stop_sent: Option<Time>,
    percent: u32,
    progress_at: Time,
    saved: String,
    checkpoint_sent: bool,
    pace: u32,
    stall_reported: bool,
}

#[derive(Debug)]
struct Worker {
    info: WorkerInfo,
    heartbeat: u64,
    /// Its clock at the end of the last exchange, and when that was.
    clock: Option<(u64, Time)>,
    acknowledged: EndNumber,
    forwarded: EndNumber,
    refusals: u32,
}

#[derive(Debug)]
struct Session {
    token: Token,
    is_attached: bool,
}

/// The agent.
#[derive(Debug, Default)]
pub struct AgentState {
    worker: Option<Worker>,
    /// A worker that has reported but not answered yet.
    candidate: Option<(WorkerInfo, u64)>,
    /// The last known worker has certainly ended.
    worker_ended: bool,
    session: Option<Session>,
    runs: BTreeMap<TaskId, LocalRun>,
    permission_until: Time,
    listing: Option<(Token, Time)>,
    next_list: Time,
    next_ping: Time,
    next_checkpoint_report: Time,
    pacer: Pacer,
    sampler: Sampler,
    /// What the gauge has told since the last request for permission.
    samples: Vec<Sample>,
    actions: Vec<Action>,
}

impl AgentState {
    /// Returns what the shell has to do.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    fn log(&mut self, event: &'static str, detail: String) {
        self.actions.push(Action::Log(Decision { event, job: None, detail }));
    }

    /// Takes a report of a worker about itself; `sequence` rises with each report of one life.
    pub fn heartbeat(&mut self, now: Time, info: WorkerInfo, sequence: u64) {
        match &mut self.worker {
            Some(worker) if worker.info.id == info.id => {
                if sequence <= worker.heartbeat {
                    return;
                }
                worker.heartbeat = sequence;
                let begins_drain = info.draining && !worker.info.draining;
                let (id, remaining) = (info.id.clone(), info.remaining);
                worker.info = info;
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
            }
        }
        self.poll(now);
    }

    /// Takes the sign-off of a worker.
    pub fn deregister(&mut self, now: Time, id: &str) {
        if self.worker.as_ref().is_some_and(|worker| worker.info.id == id) {
            self.lose_worker("signed off");
        }
        if self.candidate.as_ref().is_some_and(|(info, _)| info.id == id) {
            self.candidate = None;
        }
        self.poll(now);
    }

    /// Tells whether the worker can be given a report's acknowledgement: the owner knows of it, or
    /// nobody owns the work.
    pub fn is_attached(&self) -> bool {
        self.session.as_ref().is_some_and(|session| session.is_attached)
    }

    fn lose_worker(&mut self, reason: &str) {
        let Some(worker) = self.worker.take() else { return };
        let detail = format!("worker={} reason={reason} runs={}", worker.info.id, self.runs.len());
        self.log("worker_lost", detail);
        self.runs.clear();
        self.pacer = Pacer::default();
        self.sampler = Sampler::default();
        self.worker_ended = true;
        self.listing = None;
        if self.is_attached() {
            self.actions.push(Action::Send(AgentMessage::Gone { worker: worker.info.id }));
        }
    }

    /// The connection to the owner has ended.
    pub fn disconnected(&mut self) {
        self.session = None;
        self.listing = None;
    }

    /// Takes a message of the owner.
    pub fn receive(&mut self, now: Time, message: OwnerMessage) {
        match message {
            OwnerMessage::Welcome { token, .. } => {
                self.session = Some(Session { token, is_attached: false });
                self.listing = None;
                self.next_list = now;
                self.next_ping = now;
                // Starts of the older session are refused from now on or listed.
                for run in self.runs.values_mut() {
                    if run.state != RunState::Running {
                        run.state = RunState::Doubtful(token);
                    }
                }
            }
            OwnerMessage::Pong { sent, permission, weights, .. } => {
                self.permission_until = self.permission_until.max(sent + permission);
                for (serving, best_effort, weight) in weights {
                    self.pacer.set_weight(serving, best_effort, weight);
                }
            }
            OwnerMessage::Start(start) => self.start_task(now, start),
            OwnerMessage::Stop { task, run } => self.stop(now, task, run),
            OwnerMessage::Seen { worker, number } => {
                if let Some(known) = self.worker.as_mut().filter(|known| known.info.id == worker) {
                    known.acknowledged = known.acknowledged.max(number);
                    if known.acknowledged >= known.forwarded {
                        self.next_list = self.next_list.min(now);
                    }
                }
            }
            OwnerMessage::Traits { rows } => {
                for (task, traits) in rows {
                    if let Some(run) = self.runs.get_mut(&task) {
                        run.traits = traits;
                    }
                }
            }
            OwnerMessage::Redirect { .. } => {}
        }
        self.poll(now);
    }

    /// Worker's clock value by which a permission that ends at `until` has surely run out.
    fn worker_deadline(&self, until: Time) -> Option<u64> {
        let (clock, at) = self.worker.as_ref()?.clock?;
        let left = until.checked_sub(at)? * CLOCK_RATE_PERCENT / 100;
        Some(clock + left.as_millis() as u64)
    }

    fn start_task(&mut self, now: Time, start: Box<Start>) {
        let (task, run) = (start.task, start.run);
        let deadline = self.worker_deadline(self.permission_until);
        let token = self.session.as_ref().map(|session| session.token);
        let worker = self.worker.as_ref().map(|worker| worker.info.id.clone());
        let (Some(deadline), Some(token), Some(worker)) = (deadline, token, worker) else {
            return self.not_started(task, run, "no worker or clock");
        };
        if now >= self.permission_until {
            return self.not_started(task, run, "no permission");
        }
        if self.worker.as_ref().is_some_and(|worker| worker.info.draining) {
            return self.not_started(task, run, "worker drains");
        }
        let local = LocalRun {
            run,
            state: RunState::Starting,
            traits: start.traits,
            since: now,
            must_stop: false,
            stop_sent: None,
            percent: 0,
            progress_at: now,
            saved: start.checkpoint.clone(),
            checkpoint_sent: true,
            pace: 100,
            stall_reported: false,
        };
        self.runs.insert(task, local);
        for (serving, weight) in &start.weights {
            self.pacer.set_weight(*serving, start.traits.image, *weight);
        }
        self.actions.push(Action::Call(Call::Start { worker, token, deadline, start }));
    }

    fn not_started(&mut self, task: TaskId, run: Run, reason: &str) {
        if self.runs.get(&task).is_some_and(|known| known.run == run) {
            self.runs.remove(&task);
        }
        if self.session.is_some() {
            let reason = reason.to_owned();
            self.actions.push(Action::Send(AgentMessage::NotStarted { task, run, reason }));
        }
    }

    fn stop(&mut self, now: Time, task: TaskId, run: Run) {
        match self.runs.get_mut(&task).filter(|known| known.run == run) {
            Some(known) => known.must_stop = true,
            None => self.not_started(task, run, "not here"),
        }
        self.send_stops(now);
    }

    fn send_stops(&mut self, now: Time) {
        let Some(token) = self.session.as_ref().map(|session| session.token) else { return };
        let Some(worker) = self.worker.as_ref().map(|worker| worker.info.id.clone()) else {
            return;
        };
        for (task, run) in &mut self.runs {
            let is_due = run.stop_sent.is_none_or(|at| now >= at + RETRY_DELAY * 3);
            if run.must_stop && run.state == RunState::Running && is_due {
                run.stop_sent = Some(now);
                let (worker, task, run) = (worker.clone(), *task, run.run);
                self.actions.push(Action::Call(Call::Stop { worker, token, task, run }));
            }
        }
    }

    /// Takes the outcome of a start.
    pub fn started(&mut self, now: Time, worker: &str, task: TaskId, run: Run, outcome: Outcome) {
        if self.worker.as_ref().is_none_or(|known| known.info.id != worker) {
            return;
        }
        let Some(known) = self.runs.get_mut(&task).filter(|known| known.run == run) else { return };
        match outcome {
            Outcome::Done => {
                known.state = RunState::Running;
                known.since = now;
                known.progress_at = now;
                if known.traits.best_effort {
                    let traits = known.traits;
                    let percent =
                        self.pacer.pace_new_task(self.capacity(), traits.image, traits.cpu_milli);
                    self.send_paces(&[(task, percent)]);
                }
            }
            Outcome::Refused(reason) => self.not_started(task, run, &reason),
            Outcome::OldToken => self.not_started(task, run, "old token"),
            Outcome::OtherLife => self.lose_worker("another life answers"),
            Outcome::NotThere => self.not_started(task, run, "connection refused"),
            Outcome::Unclear => {
                let Some(session) = &mut self.session else { return };
                // A higher token makes the worker refuse the start if it comes later.
                session.token += 1;
                known.state = RunState::Doubtful(session.token);
                self.listing = None;
                self.next_list = now;
                self.log("start_unclear", format!("task={task} run={run}"));
            }
        }
        self.send_stops(now);
        self.poll(now);
    }

    /// Takes the outcome of a stop or a pace that was not carried out.
    pub fn order_failed(&mut self, task: TaskId) {
        if let Some(run) = self.runs.get_mut(&task) {
            // Any value makes the level of the next look differ.
            run.pace = u32::MAX;
        }
    }

    /// Takes the outcome of a look that brought no listing.
    pub fn list_failed(&mut self, now: Time, worker: &str, token: Token, outcome: &Outcome) {
        self.listing = self.listing.filter(|(listing, _)| *listing != token);
        self.next_list = now + RETRY_DELAY;
        if self.candidate.as_ref().is_some_and(|(info, _)| info.id == worker) {
            if *outcome == Outcome::OtherLife {
                self.candidate = None;
            }
            return self.poll(now);
        }
        let Some(known) = self.worker.as_mut().filter(|known| known.info.id == worker) else {
            return;
        };
        match outcome {
            Outcome::OtherLife => self.lose_worker("another life answers"),
            Outcome::NotThere => {
                known.refusals += 1;
                if known.refusals >= MAX_REFUSALS {
                    self.lose_worker("connection refused");
                }
            }
            _ => self.log("look_failed", format!("worker={worker} outcome={outcome:?}")),
        }
        if *outcome == Outcome::OldToken {
            self.actions.push(Action::Reconnect);
        }
        self.poll(now);
    }

    /// Performs what is due.
    pub fn poll(&mut self, now: Time) {
        let Some(session) = &self.session else { return };
        let (token, is_attached) = (session.token, session.is_attached);
        if now >= self.next_ping {
            self.next_ping = now + PING_INTERVAL;
            let pressure = self.pacer.pressure();
            let samples = std::mem::take(&mut self.samples);
            let baselines = self.pacer.baselines();
            self.actions.push(Action::Send(AgentMessage::Ping {
                sent: now,
                pressure,
                samples,
                baselines,
            }));
        }
        if self.worker_ended && self.worker.is_none() && !is_attached && self.candidate.is_none() {
            // Nothing of the last worker can run any more.
            if let Some(session) = &mut self.session {
                session.is_attached = true;
            }
            let nothing =
                AgentMessage::Attach { worker: None, running: Vec::new(), ends: Vec::new() };
            self.actions.push(Action::Send(nothing));
        }
        if is_attached && now >= self.next_checkpoint_report {
            self.next_checkpoint_report = now + CHECKPOINT_INTERVAL;
            let mut rows = Vec::new();
            for (task, run) in self.runs.iter_mut().filter(|(_, run)| !run.checkpoint_sent) {
                run.checkpoint_sent = true;
                rows.push((*task, run.run, run.saved.clone()));
            }
            if !rows.is_empty() {
                self.actions.push(Action::Send(AgentMessage::Saved { rows }));
            }
        }
        self.send_stops(now);
        if self.listing.is_none() && now >= self.next_list {
            self.list(now, token);
        }
    }

    fn list(&mut self, now: Time, token: Token) {
        let (worker, acknowledged) = match (&self.candidate, &self.worker) {
            (Some((info, _)), _) => (info.id.clone(), 0),
            (None, Some(worker)) => (worker.info.id.clone(), worker.acknowledged),
            (None, None) => return,
        };
        let is_current = self.worker.as_ref().is_some_and(|known| known.info.id == worker);
        let deadline = self
            .worker_deadline(self.permission_until)
            .filter(|_| is_current && now < self.permission_until);
        let has = |pick: fn(&TaskTraits) -> bool| self.runs.values().any(|run| pick(&run.traits));
        let needs_pacing = has(|traits| traits.target_ms > 0) && has(|traits| traits.best_effort);
        let has_unacked =
            self.worker.as_ref().is_some_and(|known| known.forwarded > known.acknowledged);
        let wait = match self.is_attached() && is_current {
            false => Duration::ZERO,
            true if has_unacked => Duration::ZERO,
            true if needs_pacing => PACING_LIST_WAIT,
            true => MAX_LIST_WAIT,
        };
        self.listing = Some((token, now));
        self.actions.push(Action::Call(Call::List { worker, token, acknowledged, deadline, wait }));
    }

    /// Time until the next call of [`Node::poll`] is due, without further input.
    pub fn next_poll(&self, now: Time) -> Duration {
        if self.session.is_none() {
            return MAX_POLL_DELAY;
        }
        let list = match (&self.listing, self.worker.is_some() || self.candidate.is_some()) {
            (None, true) => self.next_list.saturating_sub(now),
            _ => MAX_POLL_DELAY,
        };
        list.min(self.next_ping.saturating_sub(now)).min(MAX_POLL_DELAY)
    }
}
