//! State machine of an agent, which carries out the owner's orders on one worker and renews the
//! worker's permission to run tasks.
//!
//! An agent has one session with the owner at a time. It begins a session by sending the worker a
//! higher fencing token, so that the worker refuses delayed orders of older sessions, and then
//! lists the worker's runs.

mod exit;
mod listing;
mod lost;
mod pacing;
mod reports;
mod worker;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::incarnation;
use super::message::{
    AgentMessage, EndNumber, LostRun, OwnerMessage, Sample, Start, TaskTraits, Token, WorkerInfo,
    NO_PERMISSION,
};
use super::model::{Run, TaskId};
use super::owner::Decision;
use super::pace::Pacer;
use super::sampler::Sampler;
use crate::time::Time;
pub(in crate::flow) use lost::describe_ages;
use worker::{Exit, Worker};

/// Lower bound on the rate of a worker's clock relative to the agent's.
const CLOCK_RATE_PERCENT: u32 = 98;
/// Interval between the pings that ask the owner to renew the worker's permission to run tasks.
const PING_INTERVAL: Duration = Duration::from_millis(1_000);
/// Delay before the next listing while the owner has not acknowledged all ends of the worker.
const UNACKED_DELAY: Duration = Duration::from_millis(60);
/// Delay before a failed listing is requested again; stops are sent again after three times as
/// long.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Long-poll timeout of a listing; bounds the age of the worker's permission and of checkpoints,
/// both of which listings transfer.
const MAX_LIST_WAIT: Duration = Duration::from_millis(1_000);
/// Long-poll timeout of a listing while best-effort tasks run beside serving tasks.
const PACING_LIST_WAIT: Duration = Duration::from_millis(450);
/// Interval between reports of checkpoints to the owner.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(1);
/// Number of consecutive refused connections after which the worker process is taken as dead.
const MAX_REFUSALS: u32 = 2;
/// Maximum time between two calls of [`AgentState::poll`].
const MAX_POLL_DELAY: Duration = Duration::from_millis(500);

/// A request to the worker.
#[derive(Debug, Clone, PartialEq)]
pub enum Call {
    /// Requests a listing of the runs in progress and the unacknowledged ends. Acknowledges the
    /// ends up to sequence number `acknowledged`, and permits the worker to run tasks until
    /// `deadline` by its own clock in milliseconds. The worker answers after `wait` at the latest.
    List {
        worker: String,
        token: Token,
        acknowledged: EndNumber,
        deadline: Option<u64>,
        wait: Duration,
    },
    /// Starts a task, unless the call arrives after `deadline` by the worker's clock in
    /// milliseconds.
    Start { worker: String, token: Token, deadline: u64, start: Box<Start> },
    /// Stops a run.
    Stop { worker: String, token: Token, task: TaskId, run: Run },
    /// Limits the CPU of a best-effort task to `percent` of its request.
    Pace { worker: String, token: Token, task: TaskId, run: Run, percent: u32 },
}

impl Call {
    /// Returns the ID of the worker that the call is meant for.
    pub fn worker(&self) -> &str {
        let (Call::List { worker, .. }
        | Call::Start { worker, .. }
        | Call::Stop { worker, .. }
        | Call::Pace { worker, .. }) = self;
        worker
    }
}

/// Outcome of a call to the worker, except a successful listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The worker has carried out the call.
    Done,
    /// The worker refused the call and will not carry it out later.
    Refused(String),
    /// The worker refused the call because it has received a higher fencing token.
    OldToken,
    /// Another incarnation of the worker answers at the address.
    OtherLife,
    /// The worker has answered, but not told which incarnation it is, though the call names one.
    Unnamed,
    /// The connection was refused.
    NotThere,
    /// The call may have been carried out, or may be carried out later.
    Unclear,
}

/// Side effect that the agent's state machine requests from the code that drives it.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Calls the worker.
    Call(Call),
    /// Sends a message to the owner.
    Send(AgentMessage),
    Log(Decision),
    /// Ends the session with the owner, because the worker obeys orders of a newer session.
    Reconnect,
}

/// State of a run as far as the agent knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunState {
    /// The worker has not answered the start call yet.
    Starting,
    /// The worker has accepted the start or listed the run.
    Running,
    /// The answer to the start call was lost. A listing with at least this token shows whether the
    /// run exists.
    Doubtful(Token),
}

/// A run on the agent's worker, as the agent tracks it. It becomes known when the owner orders the
/// start, or when the worker lists it at the beginning of a session.
#[derive(Debug, Clone)]
struct LocalRun {
    run: Run,
    state: RunState,
    /// Whether the worker has listed the run.
    is_listed: bool,
    traits: TaskTraits,
    /// When the worker accepted the start, or listed the run at the beginning of the session.
    started_at: Time,
    /// When this agent ordered the start; `None` if an earlier agent did.
    ordered_at: Option<Time>,
    /// Whether the owner ordered a stop.
    must_stop: bool,
    /// When the last stop was sent to the worker.
    stop_sent: Option<Time>,
    /// Progress of the run in the last listing, in percent.
    percent: u32,
    /// When the run last made progress, or was not expected to.
    progress_at: Time,
    /// Newest checkpoint; empty if there is none.
    checkpoint: String,
    /// Whether the owner has been sent the newest checkpoint.
    checkpoint_sent: bool,
    /// CPU limit in force, in percent of the request; `u32::MAX` if it is not known.
    pace: u32,
    /// Whether the owner has been told that the run makes no progress.
    stall_reported: bool,
    /// Whether the owner has been told that the worker has begun the run.
    start_reported: bool,
}

/// The agent's session with the owner.
#[derive(Debug)]
struct Session {
    /// Fencing token of the agent's next call to the worker.
    token: Token,
    /// Whether the worker's whole state has been sent to the owner in this session.
    is_attached: bool,
    /// Number of the newest end that a report before that has sent.
    reported: EndNumber,
    /// When the state of a worker that replaced another one in this session was sent to the owner,
    /// until the answer to a later ping shows that the owner has received it. Orders that arrive
    /// before are for the worker that was replaced.
    unconfirmed_since: Option<Time>,
}

/// State of the agent.
#[derive(Debug, Default)]
pub struct AgentState {
    /// The current worker; `None` if none has answered a listing since the last one exited.
    worker: Option<Worker>,
    /// A worker that has sent a heartbeat but has not answered a listing yet, and the sequence
    /// number of the heartbeat.
    candidate: Option<(WorkerInfo, u64)>,
    /// Whether the last worker process is known to have exited and no other has answered a listing
    /// since.
    worker_exited: bool,
    /// Session with the owner; `None` while the agent is not connected.
    session: Option<Session>,
    /// Runs on the worker.
    runs: BTreeMap<TaskId, LocalRun>,
    /// IDs whose heartbeats were ignored and logged since the last worker was adopted, with the reasons.
    ignored: Vec<String>,
    /// Workers that have crashed, with the runs lost, until the owner acknowledges the report.
    crashes: VecDeque<(String, Vec<LostRun>)>,
    /// When the worker's permission to run tasks expires, as last granted by the owner.
    permission_until: Time,
    /// For how long the owner last granted a permission; `None` before the first.
    permission: Option<Duration>,
    /// Token of the listing request in flight, and when the request was sent.
    listing: Option<(Token, Time)>,
    /// When the next listing is requested from the worker.
    next_list: Time,
    /// When the next ping is sent to the owner.
    next_ping: Time,
    /// When new checkpoints are next reported to the owner.
    next_checkpoint_report: Time,
    pacer: Pacer,
    sampler: Sampler,
    /// Changes of usage observed since the last ping, which the next ping reports.
    samples: Vec<Sample>,
    /// Side effects that have not been taken yet.
    actions: Vec<Action>,
}

impl AgentState {
    /// Takes the side effects that the caller has to perform.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    fn log(&mut self, event: &'static str, detail: String) {
        self.actions.push(Action::Log(Decision { event, job: None, detail }));
    }

    /// Tells whether the worker's state has been sent to the owner in this session.
    pub fn is_attached(&self) -> bool {
        self.session.as_ref().is_some_and(|session| session.is_attached)
    }

    /// Handles the loss of the connection to the owner, which ends the session.
    pub fn disconnected(&mut self) {
        self.session = None;
        self.listing = None;
    }

    /// Handles a message from the owner.
    pub fn receive(&mut self, now: Time, message: OwnerMessage) {
        match message {
            OwnerMessage::Welcome { token, .. } => {
                self.session = Some(Session {
                    token,
                    is_attached: false,
                    reported: 0,
                    unconfirmed_since: None,
                });
                self.listing = None;
                self.next_list = now;
                self.next_ping = now;
                if let Some(worker) = &mut self.worker {
                    worker.unanswered_since = None;
                }
                // From now on the worker either lists a start of the older session or refuses it.
                for run in self.runs.values_mut() {
                    if run.state != RunState::Running {
                        run.state = RunState::Doubtful(token);
                    }
                }
            }
            OwnerMessage::Pong { sent, permission, weights, .. } => {
                self.permission_until = self.permission_until.max(sent + permission);
                if permission > NO_PERMISSION {
                    self.permission = Some(permission);
                }
                if let Some(session) = &mut self.session {
                    session.unconfirmed_since = session.unconfirmed_since.filter(|at| sent < *at);
                }
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
            OwnerMessage::CrashSeen { worker } => {
                self.crashes.retain(|(crashed, _)| *crashed != worker)
            }
            OwnerMessage::Redirect { .. } => {}
        }
        self.poll(now);
    }

    /// Converts `until`, a time on the agent's clock, to milliseconds on the worker's clock. The
    /// result is early enough for a worker whose clock runs slow. Returns `None` before the first
    /// listing.
    fn worker_deadline(&self, until: Time) -> Option<u64> {
        let (clock, at) = self.worker.as_ref()?.clock?;
        let left = until.checked_sub(at)? * CLOCK_RATE_PERCENT / 100;
        Some(clock.saturating_add(left.as_millis() as u64))
    }

    /// Converts the end of the permission to run tasks to the worker's clock, to be sent to the
    /// worker. Returns `None` if the permission may not be sent: it has expired, the worker's clock
    /// is not known, or the worker is silent, so that its runs are given up soon.
    fn grant(&mut self, now: Time) -> Option<u64> {
        let until = self.permission_until;
        let deadline = self.worker_deadline(until).filter(|_| now < until)?;
        let can_renew = |worker: &&mut Worker| !worker.is_held() && !worker.is_silent(now);
        let worker = self.worker.as_mut().filter(can_renew)?;
        worker.granted_until = worker.granted_until.max(until);
        Some(deadline)
    }

    /// Handles the owner's order to start a task.
    fn start_task(&mut self, now: Time, start: Box<Start>) {
        let (task, run) = (start.task, start.run);
        let token = self.session.as_ref().map(|session| session.token);
        let worker = self.worker.as_ref().map(|worker| worker.info.id.clone());
        let (Some(token), Some(worker)) = (token, worker) else {
            return self.not_started(task, run, "no worker");
        };
        if self.session.as_ref().is_some_and(|session| session.unconfirmed_since.is_some()) {
            return self.not_started(task, run, "worker replaced");
        }
        if self.worker.as_ref().is_some_and(|worker| worker.info.draining) {
            return self.not_started(task, run, "worker drains");
        }
        if self.is_restarting() {
            return self.not_started(task, run, "worker restarts");
        }
        let Some(deadline) = self.grant(now) else {
            return self.not_started(task, run, "no permission");
        };
        let local = LocalRun {
            run,
            state: RunState::Starting,
            is_listed: false,
            traits: start.traits,
            started_at: now,
            ordered_at: Some(now),
            must_stop: false,
            stop_sent: None,
            percent: 0,
            progress_at: now,
            checkpoint: start.checkpoint.clone(),
            checkpoint_sent: true,
            pace: 100,
            stall_reported: false,
            start_reported: false,
        };
        self.runs.insert(task, local);
        for (serving, weight) in &start.weights {
            self.pacer.set_weight(*serving, start.traits.image, *weight);
        }
        self.actions.push(Action::Call(Call::Start { worker, token, deadline, start }));
    }

    /// Forgets a run and tells the owner that it was not started.
    fn not_started(&mut self, task: TaskId, run: Run, reason: &str) {
        if self.runs.get(&task).is_some_and(|known| known.run == run) {
            self.runs.remove(&task);
        }
        if self.session.is_some() {
            let reason = reason.to_owned();
            self.actions.push(Action::Send(AgentMessage::NotStarted { task, run, reason }));
        }
    }

    /// Handles the owner's order to stop a run. Before the report in this session, the worker may have
    /// runs that the agent does not know: the owner repeats the order when the report lists the run.
    fn stop(&mut self, now: Time, task: TaskId, run: Run) {
        let is_attached = self.is_attached();
        match self.runs.get_mut(&task).filter(|known| known.run == run) {
            Some(known) => known.must_stop = true,
            None if !is_attached => {}
            None => self.not_started(task, run, "not here"),
        }
        self.send_stops(now);
    }

    /// Sends the worker a stop call for each run that must stop, or repeats it if the run goes on.
    fn send_stops(&mut self, now: Time) {
        let Some(token) = self.session.as_ref().map(|session| session.token) else { return };
        let worker = self.worker.as_ref().filter(|worker| !worker.is_held());
        let Some(worker) = worker.map(|worker| worker.info.id.clone()) else { return };
        for (task, run) in &mut self.runs {
            let is_due = run.stop_sent.is_none_or(|at| now >= at + RETRY_DELAY * 3);
            if run.must_stop && run.state == RunState::Running && is_due {
                run.stop_sent = Some(now);
                let (worker, task, run) = (worker.clone(), *task, run.run);
                self.actions.push(Action::Call(Call::Stop { worker, token, task, run }));
            }
        }
    }

    /// Handles the outcome of a start call to the worker.
    pub fn started(&mut self, now: Time, worker: &str, task: TaskId, run: Run, outcome: Outcome) {
        let Some(worker) = self.worker.as_mut().filter(|known| known.info.id == worker) else {
            return;
        };
        let Some(known) = self.runs.get_mut(&task).filter(|known| known.run == run) else { return };
        worker.note_failure(now, known.started_at, &outcome);
        match outcome {
            // Either incarnation may have answered.
            Outcome::Done if worker.is_held() => {}
            Outcome::Done => {
                worker.prove_alive(now);
                known.state = RunState::Running;
                known.started_at = now;
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
            Outcome::OtherLife => self.end_worker(now, Exit::OtherLife),
            Outcome::NotThere => self.not_started(task, run, "connection refused"),
            Outcome::Unclear | Outcome::Unnamed => {
                // A higher token makes the worker refuse the start if it arrives later.
                let Some(token) = self.raise_token() else { return };
                if let Some(known) = self.runs.get_mut(&task) {
                    known.state = RunState::Doubtful(token);
                }
                self.next_list = now;
                self.log("start_unclear", format!("task={task} run={run}"));
            }
        }
        self.send_stops(now);
        self.poll(now);
    }

    /// Handles the failure of a stop or pace call to the worker for a task. A stop is sent again
    /// after a delay.
    pub fn order_failed(&mut self, task: TaskId) {
        if let Some(run) = self.runs.get_mut(&task) {
            // An out-of-range value makes the next listing send the pace again.
            run.pace = u32::MAX;
        }
    }

    /// Handles the failure of a request for a listing.
    pub fn list_failed(&mut self, now: Time, worker: &str, token: Token, outcome: &Outcome) {
        let sent_at = self.listing.map_or(now, |(_, sent_at)| sent_at);
        self.listing = self.listing.filter(|(listing, _)| *listing != token);
        self.next_list = now + RETRY_DELAY;
        if self.candidate.as_ref().is_some_and(|(info, _)| info.id == worker) {
            // A worker that has started tells so again with its next heartbeat.
            let is_other =
                matches!(outcome, Outcome::OtherLife | Outcome::Unnamed | Outcome::NotThere);
            if is_other {
                self.candidate = None;
            }
            return self.poll(now);
        }
        let is_its = |known: &&mut Worker| known.info.id == worker && !known.is_held();
        let Some(known) = self.worker.as_mut().filter(is_its) else { return };
        known.note_failure(now, sent_at, outcome);
        match outcome {
            Outcome::OtherLife => self.end_worker(now, Exit::OtherLife),
            Outcome::NotThere => {
                known.refusals += 1;
                if known.refusals >= MAX_REFUSALS {
                    self.end_worker(now, Exit::Refused);
                }
            }
            _ => self.log("look_failed", format!("worker={worker} outcome={outcome:?}")),
        }
        // An older listing of this session, or of an earlier one, may be overtaken by a newer one.
        let is_newest = self.session.as_ref().is_some_and(|session| session.token == token);
        if *outcome == Outcome::OldToken && is_newest {
            self.actions.push(Action::Reconnect);
        }
        self.poll(now);
    }

    /// Requests all side effects that are due.
    pub fn poll(&mut self, now: Time) {
        let Some(session) = &self.session else { return };
        let is_attached = session.is_attached;
        if now >= self.next_ping {
            self.next_ping = now + PING_INTERVAL;
            self.report_starts();
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
        self.end_hold(now);
        match (&self.worker, self.permission) {
            (Some(worker), Some(permission)) if worker.has_stopped_all(now, permission) => {
                self.end_worker(now, Exit::Silent);
            }
            _ => {}
        }
        if self.worker_exited && self.worker.is_none() && !is_attached && self.candidate.is_none() {
            // The last worker has exited, so none of its tasks still run.
            if let Some(session) = &mut self.session {
                session.is_attached = true;
            }
            self.send_crashes(|_| true);
            let report =
                AgentMessage::Attach { worker: None, running: Vec::new(), ends: Vec::new() };
            self.actions.push(Action::Send(report));
        }
        if is_attached && now >= self.next_checkpoint_report {
            self.next_checkpoint_report = now + CHECKPOINT_INTERVAL;
            let mut rows = Vec::new();
            for (task, run) in self.runs.iter_mut().filter(|(_, run)| !run.checkpoint_sent) {
                run.checkpoint_sent = true;
                rows.push((*task, run.run, run.checkpoint.clone()));
            }
            if !rows.is_empty() {
                self.actions.push(Action::Send(AgentMessage::Checkpoints { rows }));
            }
        }
        self.send_stops(now);
        let token = self.session.as_ref().map(|session| session.token);
        if let Some(token) = token.filter(|_| self.listing.is_none() && now >= self.next_list) {
            self.list(now, token);
        }
    }

    /// Tells the owner which runs the worker has begun since the last report. Sent with a ping, so that
    /// it takes no write to the connection of its own.
    fn report_starts(&mut self) {
        if !self.is_attached() {
            return;
        }
        let is_due = |run: &LocalRun| run.state == RunState::Running && !run.start_reported;
        let mut rows = Vec::new();
        for (task, run) in self.runs.iter_mut().filter(|(_, run)| is_due(run)) {
            run.start_reported = true;
            rows.push((*task, run.run));
        }
        if !rows.is_empty() {
            self.actions.push(Action::Send(AgentMessage::Started { rows }));
        }
    }

    /// Requests a listing from the candidate or the current worker.
    fn list(&mut self, now: Time, token: Token) {
        let (worker, acknowledged) = match (&self.candidate, &self.worker) {
            (Some((info, _)), _) => (info.id.clone(), 0),
            (None, Some(worker)) if !worker.is_held() => {
                (worker.info.id.clone(), worker.acknowledged)
            }
            (None, _) => return,
        };
        let is_current = self.worker.as_ref().is_some_and(|known| known.info.id == worker);
        let is_repeated =
            self.worker.as_ref().is_some_and(|worker| worker.unanswered_since.is_some());
        // The next incarnation may get this request: it must keep ends that have the same numbers, and no
        // permission for runs that the owner does not know there.
        let is_sure = !is_repeated || !incarnation::is_named(&worker);
        let acknowledged = if is_sure { acknowledged } else { 0 };
        let deadline = if is_current && is_sure { self.grant(now) } else { None };
        if let Some(worker) = &mut self.worker {
            // A new worker takes the address of this one, so that either both answer or none.
            worker.unanswered_since.get_or_insert(now);
        }
        let has = |pick: fn(&TaskTraits) -> bool| self.runs.values().any(|run| pick(&run.traits));
        let needs_pacing = has(|traits| traits.target_ms > 0) && has(|traits| traits.best_effort);
        let has_unacked =
            self.worker.as_ref().is_some_and(|known| known.forwarded > known.acknowledged);
        let wait = match self.is_attached() && is_current {
            false => Duration::ZERO,
            // Soon known whether the worker is silent, which ends its permission.
            true if has_unacked || is_repeated => Duration::ZERO,
            true if needs_pacing => PACING_LIST_WAIT,
            true => MAX_LIST_WAIT,
        };
        self.listing = Some((token, now));
        self.actions.push(Action::Call(Call::List { worker, token, acknowledged, deadline, wait }));
    }

    /// Returns the time until the next call of [`AgentState::poll`], if no event comes first.
    pub fn next_poll(&self, now: Time) -> Duration {
        if self.session.is_none() {
            return MAX_POLL_DELAY;
        }
        let has_worker = self.worker.as_ref().is_some_and(|worker| !worker.is_held());
        let list = match (&self.listing, has_worker || self.candidate.is_some()) {
            (None, true) => self.next_list.saturating_sub(now),
            _ => MAX_POLL_DELAY,
        };
        list.min(self.next_ping.saturating_sub(now)).min(MAX_POLL_DELAY)
    }
}
