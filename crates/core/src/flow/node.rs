//! The agent beside one worker: carries out the owner's orders, and keeps the worker's permission.
//!
//! One session is obeyed at a time. It begins by raising the token that the worker has seen, so
//! that orders of older sessions which are still on their way are refused, and then lists what runs.

use std::collections::BTreeMap;
use std::time::Duration;

use super::gauge::{Figure, Gauge};
use super::message::{
    Down, End, EndNumber, Pressure, Running, Sample, Start, TaskTraits, Token, Up, WorkerInfo,
};
use super::model::{Run, TaskId};
use super::owner::Decision;
use super::pace::{Fill, Pacer, Serving};
use crate::time::Time;

/// Slowest rate of a worker's clock.
const CLOCK_RATE_PERCENT: u32 = 98;
/// Time between two requests for permission.
const PING_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after a listing with unacknowledged ends at which the worker is looked at again.
const UNSEEN_PAUSE: Duration = Duration::from_millis(60);
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Longest wait of a look, so that permission is renewed and checkpoints are read.
const LONG_WAIT: Duration = Duration::from_millis(1_000);
/// Wait of a look while tails have to be followed.
const SHORT_WAIT: Duration = Duration::from_millis(450);
/// Time without progress after which a task is reported as stalled.
const STALL_AFTER: Duration = Duration::from_millis(2_500);
/// Pace in percent below which a task is not expected to show progress.
const STALL_PACE: u32 = 50;
/// Change of a pace, in percent, that is worth a call.
const LEAST_CHANGE: u32 = 5;
/// Change of the level, in percent, that is worth a log line.
const TELLING_LEVEL: u32 = 20;
const SAVED_INTERVAL: Duration = Duration::from_secs(1);
/// Refused connections in a row that prove that the worker's process has ended.
const REFUSALS: u32 = 2;
const IDLE_POLL: Duration = Duration::from_millis(500);

/// A call to the worker.
#[derive(Debug, Clone, PartialEq)]
pub enum Call {
    /// Renews the permission and lists runs and ends.
    Look {
        worker: String,
        token: Token,
        seen: EndNumber,
        lapse: Option<u64>,
        wait: Duration,
    },
    Start {
        worker: String,
        token: Token,
        lapse: u64,
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
    Send(Up),
    Log(Decision),
    /// Ends the session: the worker obeys a later one.
    Relink,
}

/// Why a worker refuses orders of an older token.
pub const OLD_TOKEN: &str = "fence";

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
    moved: Time,
    saved: String,
    saved_sent: bool,
    paced: u32,
    stall_sent: bool,
}

#[derive(Debug)]
struct Worker {
    info: WorkerInfo,
    beat: u64,
    /// Its clock at the end of the last exchange, and when that was.
    clock: Option<(u64, Time)>,
    seen: EndNumber,
    forwarded: EndNumber,
    refusals: u32,
}

#[derive(Debug)]
struct Link {
    token: Token,
    is_attached: bool,
}

/// The agent.
#[derive(Debug, Default)]
pub struct Node {
    worker: Option<Worker>,
    /// A worker that has reported but not answered yet.
    candidate: Option<(WorkerInfo, u64)>,
    /// The last known worker has certainly ended.
    is_empty: bool,
    link: Option<Link>,
    runs: BTreeMap<TaskId, LocalRun>,
    permit_until: Time,
    looking: Option<(Token, Time)>,
    next_look: Time,
    next_ping: Time,
    next_saved: Time,
    pacer: Pacer,
    gauge: Gauge,
    /// What the gauge has told since the last request for permission.
    samples: Vec<Sample>,
    actions: Vec<Action>,
}

impl Node {
    /// Returns what the shell has to do.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    fn log(&mut self, event: &'static str, detail: String) {
        self.actions.push(Action::Log(Decision { event, job: None, detail }));
    }

    /// Takes a report of a worker about itself; `sequence` rises with each report of one life.
    pub fn beat(&mut self, now: Time, info: WorkerInfo, sequence: u64) {
        match &mut self.worker {
            Some(worker) if worker.info.id == info.id => {
                if sequence <= worker.beat {
                    return;
                }
                worker.beat = sequence;
                let begins_drain = info.draining && !worker.info.draining;
                let (id, remaining) = (info.id.clone(), info.remaining);
                worker.info = info;
                if begins_drain {
                    self.log("worker_drains", format!("worker={id} remaining={remaining:?}"));
                    if self.is_attached() {
                        self.actions.push(Action::Send(Up::Draining { worker: id, remaining }));
                    }
                }
            }
            _ => {
                let is_known =
                    self.candidate.as_ref().is_some_and(|(known, _)| known.id == info.id);
                if !is_known {
                    self.log("worker_reported", format!("worker={}", info.id));
                    self.next_look = now;
                }
                self.candidate = Some((info, sequence));
            }
        }
        self.poll(now);
    }

    /// Takes the sign-off of a worker.
    pub fn leave(&mut self, now: Time, id: &str) {
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
        self.link.as_ref().is_some_and(|link| link.is_attached)
    }

    fn lose_worker(&mut self, reason: &str) {
        let Some(worker) = self.worker.take() else { return };
        let detail = format!("worker={} reason={reason} runs={}", worker.info.id, self.runs.len());
        self.log("worker_lost", detail);
        self.runs.clear();
        self.pacer = Pacer::default();
        self.gauge = Gauge::default();
        self.is_empty = true;
        self.looking = None;
        if self.is_attached() {
            self.actions.push(Action::Send(Up::Gone { worker: worker.info.id }));
        }
    }

    /// The connection to the owner has ended.
    pub fn disconnected(&mut self) {
        self.link = None;
        self.looking = None;
    }

    /// Takes a message of the owner.
    pub fn receive(&mut self, now: Time, message: Down) {
        match message {
            Down::Welcome { token, .. } => {
                self.link = Some(Link { token, is_attached: false });
                self.looking = None;
                self.next_look = now;
                self.next_ping = now;
                // Starts of the older session are refused from now on or listed.
                for run in self.runs.values_mut() {
                    if run.state != RunState::Running {
                        run.state = RunState::Doubtful(token);
                    }
                }
            }
            Down::Pong { sent, permission, weights, .. } => {
                self.permit_until = self.permit_until.max(sent + permission);
                for (serving, fill, weight) in weights {
                    self.pacer.know(serving, fill, weight);
                }
            }
            Down::Start(start) => self.order(now, start),
            Down::Stop { task, run } => self.stop(now, task, run),
            Down::Seen { worker, number } => {
                if let Some(known) = self.worker.as_mut().filter(|known| known.info.id == worker) {
                    known.seen = known.seen.max(number);
                    if known.seen >= known.forwarded {
                        self.next_look = self.next_look.min(now);
                    }
                }
            }
            Down::Traits { rows } => {
                for (task, traits) in rows {
                    if let Some(run) = self.runs.get_mut(&task) {
                        run.traits = traits;
                    }
                }
            }
            Down::Redirect { .. } => {}
        }
        self.poll(now);
    }

    /// Worker's clock value by which a permission that ends at `until` has surely run out.
    fn lapse(&self, until: Time) -> Option<u64> {
        let (clock, at) = self.worker.as_ref()?.clock?;
        let left = until.checked_sub(at)? * CLOCK_RATE_PERCENT / 100;
        Some(clock + left.as_millis() as u64)
    }

    fn order(&mut self, now: Time, start: Box<Start>) {
        let (task, run) = (start.task, start.run);
        let lapse = self.lapse(self.permit_until);
        let token = self.link.as_ref().map(|link| link.token);
        let worker = self.worker.as_ref().map(|worker| worker.info.id.clone());
        let (Some(lapse), Some(token), Some(worker)) = (lapse, token, worker) else {
            return self.not_started(task, run, "no worker or clock");
        };
        if now >= self.permit_until {
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
            moved: now,
            saved: start.checkpoint.clone(),
            saved_sent: true,
            paced: 100,
            stall_sent: false,
        };
        self.runs.insert(task, local);
        for (serving, weight) in &start.weights {
            self.pacer.know(*serving, start.traits.image, *weight);
        }
        self.actions.push(Action::Call(Call::Start { worker, token, lapse, start }));
    }

    fn not_started(&mut self, task: TaskId, run: Run, reason: &str) {
        if self.runs.get(&task).is_some_and(|known| known.run == run) {
            self.runs.remove(&task);
        }
        if self.link.is_some() {
            let reason = reason.to_owned();
            self.actions.push(Action::Send(Up::NotStarted { task, run, reason }));
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
        let Some(token) = self.link.as_ref().map(|link| link.token) else { return };
        let Some(worker) = self.worker.as_ref().map(|worker| worker.info.id.clone()) else {
            return;
        };
        for (task, run) in &mut self.runs {
            let is_due = run.stop_sent.is_none_or(|at| now >= at + RETRY_PAUSE * 3);
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
                known.moved = now;
                if known.traits.fills {
                    let traits = known.traits;
                    let percent = self.pacer.admit(self.room(), traits.image, traits.cpu_milli);
                    self.send_paces(&[(task, percent)]);
                }
            }
            Outcome::Refused(reason) => self.not_started(task, run, &reason),
            Outcome::OtherLife => self.lose_worker("another life answers"),
            Outcome::NotThere => self.not_started(task, run, "connection refused"),
            Outcome::Unclear => {
                let Some(link) = &mut self.link else { return };
                // A higher token makes the worker refuse the start if it comes later.
                link.token += 1;
                known.state = RunState::Doubtful(link.token);
                self.looking = None;
                self.next_look = now;
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
            run.paced = u32::MAX;
        }
    }

    /// Takes a listing, with the worker's clock.
    pub fn listed(
        &mut self,
        now: Time,
        worker: &str,
        token: Token,
        clock: u64,
        running: Vec<Running>,
        ends: Vec<End>,
    ) {
        self.looking = self.looking.filter(|(looking, _)| *looking != token);
        self.adopt_candidate(worker);
        let Some(link) = &self.link else { return };
        let (is_attached, session) = (link.is_attached, link.token);
        let Some(known) = self.worker.as_mut().filter(|known| known.info.id == worker) else {
            return;
        };
        known.clock = Some((clock, now));
        known.refusals = 0;
        if !is_attached {
            if token == session {
                self.attach(now, running, ends);
            }
            return self.poll(now);
        }
        let fresh: Vec<End> = ends.into_iter().filter(|end| end.number > known.forwarded).collect();
        known.forwarded = fresh.iter().map(|end| end.number).max().unwrap_or(known.forwarded);
        let is_unseen = known.forwarded > known.seen;
        for end in &fresh {
            if self.runs.get(&end.task).is_some_and(|run| run.run <= end.run) {
                self.runs.remove(&end.task);
            }
        }
        if !fresh.is_empty() {
            let worker = worker.to_owned();
            self.actions.push(Action::Send(Up::Ends { worker, ends: fresh }));
        }
        self.compare(now, token, &running);
        self.pace(now, &running);
        self.next_look = if is_unseen { now + UNSEEN_PAUSE } else { now };
        self.poll(now);
    }

    fn adopt_candidate(&mut self, id: &str) {
        let is_candidate = self.candidate.as_ref().is_some_and(|(info, _)| info.id == id);
        match self.candidate.take() {
            Some((info, beat)) if is_candidate => {
                self.lose_worker("replaced");
                self.is_empty = false;
                let worker = Worker { info, beat, clock: None, seen: 0, forwarded: 0, refusals: 0 };
                self.worker = Some(worker);
                self.next_look = Time::ZERO;
                if let Some(link) = &mut self.link {
                    link.is_attached = false;
                }
            }
            other => self.candidate = other,
        }
    }

    /// Reports everything to the owner.
    fn attach(&mut self, now: Time, running: Vec<Running>, ends: Vec<End>) {
        let Some(worker) = &mut self.worker else { return };
        worker.forwarded = ends.iter().map(|end| end.number).max().unwrap_or(0).max(worker.seen);
        let mut runs = BTreeMap::new();
        for row in &running {
            let old = self.runs.remove(&row.task).filter(|run| run.run == row.run);
            let run = LocalRun {
                run: row.run,
                state: RunState::Running,
                traits: old.as_ref().map(|run| run.traits).unwrap_or_default(),
                since: now,
                must_stop: false,
                stop_sent: None,
                percent: row.percent,
                moved: now,
                saved: row.saved.clone(),
                saved_sent: true,
                paced: old.map_or(u32::MAX, |run| run.paced),
                stall_sent: false,
            };
            runs.insert(row.task, run);
        }
        self.runs = runs;
        let info = worker.info.clone();
        if let Some(link) = &mut self.link {
            link.is_attached = true;
        }
        self.log("attached", format!("worker={} running={}", info.id, running.len()));
        self.actions.push(Action::Send(Up::Attach { worker: Some(info), running, ends }));
        self.next_look = now + UNSEEN_PAUSE;
    }

    /// Brings the local table in line with a listing.
    fn compare(&mut self, now: Time, token: Token, running: &[Running]) {
        let issued = now.saturating_sub(LONG_WAIT * 2);
        let mut missing = Vec::new();
        let rows: BTreeMap<TaskId, &Running> = running.iter().map(|row| (row.task, row)).collect();
        let mut stalled = Vec::new();
        for (task, run) in &mut self.runs {
            match rows.get(task).filter(|row| row.run == run.run) {
                Some(row) => {
                    if let RunState::Doubtful(_) = run.state {
                        run.state = RunState::Running;
                    }
                    if row.percent != run.percent {
                        run.percent = row.percent;
                        run.moved = now;
                    }
                    if row.saved != run.saved {
                        run.saved = row.saved.clone();
                        run.saved_sent = false;
                    }
                    let is_working = if run.traits.lasting {
                        row.percent >= 100
                    } else {
                        run.traits.fills && run.paced < STALL_PACE
                    };
                    if is_working || run.state != RunState::Running {
                        run.moved = now;
                    }
                    let is_stalled = now >= run.moved + STALL_AFTER && !run.must_stop;
                    if is_stalled && !run.stall_sent {
                        run.stall_sent = true;
                        stalled.push((*task, run.run));
                    }
                }
                None => match run.state {
                    RunState::Doubtful(needed) if token >= needed => {
                        missing.push((*task, run.run, "lost order"));
                    }
                    RunState::Running if run.since < issued => {
                        missing.push((*task, run.run, "not listed"));
                    }
                    _ => {}
                },
            }
        }
        for (task, run) in stalled {
            self.actions.push(Action::Send(Up::Stalled { task, run }));
        }
        for (task, run, reason) in missing {
            self.not_started(task, run, reason);
        }
    }

    /// Follows the figures of a listing.
    fn pace(&mut self, now: Time, running: &[Running]) {
        let known = |row: &Running| Some((row.task, self.runs.get(&row.task)?.traits));
        let mut serving = Vec::new();
        let mut fills = Vec::new();
        let mut figures = Vec::new();
        for row in running {
            match known(row) {
                Some((task, traits)) if traits.target_ms > 0 && row.percent >= 100 => {
                    let TaskTraits { image, target_ms, .. } = traits;
                    serving.push(Serving { image, tail_ms: row.load, target_ms });
                    figures.push((task, image, Figure::Serves(row.load)));
                }
                Some((task, traits)) if traits.fills => {
                    let TaskTraits { image, cpu_milli: cpu, .. } = traits;
                    fills.push(Fill { task, image, cpu, used: row.load });
                    figures.push((task, image, Figure::Fills(row.load)));
                }
                _ => {}
            }
        }
        self.samples.extend(self.gauge.observe(now, figures.into_iter()));
        let before = self.pacer.pressure().level;
        let paces = self.pacer.observe(now, self.room(), &serving, &fills);
        let Pressure { level, tail_percent } = self.pacer.pressure();
        if level.abs_diff(before) >= TELLING_LEVEL {
            let detail = format!("level={level} before={before} tail_percent={tail_percent}");
            self.log("pace", detail);
        }
        self.send_paces(&paces);
    }

    /// Processors of the worker, in thousandths of a core.
    fn room(&self) -> u64 {
        self.worker.as_ref().map_or(0, |worker| worker.info.room.cpu_milli)
    }

    /// Orders paces that differ enough from those in force. A task starts at full pace.
    fn send_paces(&mut self, paces: &[(TaskId, u32)]) {
        let Some(token) = self.link.as_ref().map(|link| link.token) else { return };
        let Some(worker) = self.worker.as_ref().map(|worker| worker.info.id.clone()) else {
            return;
        };
        for (task, percent) in paces {
            let Some(run) = self.runs.get_mut(task) else { continue };
            let is_end = *percent == 0 || *percent == 100;
            let is_due = match run.paced.abs_diff(*percent) {
                0 => false,
                change => is_end || change >= LEAST_CHANGE,
            };
            if run.state == RunState::Running && is_due {
                run.paced = *percent;
                let (worker, task, run, percent) = (worker.clone(), *task, run.run, *percent);
                self.actions.push(Action::Call(Call::Pace { worker, token, task, run, percent }));
            }
        }
    }

    /// Takes the outcome of a look that brought no listing.
    pub fn look_failed(&mut self, now: Time, worker: &str, token: Token, outcome: &Outcome) {
        self.looking = self.looking.filter(|(looking, _)| *looking != token);
        self.next_look = now + RETRY_PAUSE;
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
                if known.refusals >= REFUSALS {
                    self.lose_worker("connection refused");
                }
            }
            _ => self.log("look_failed", format!("worker={worker} outcome={outcome:?}")),
        }
        if matches!(outcome, Outcome::Refused(reason) if reason == OLD_TOKEN) {
            self.actions.push(Action::Relink);
        }
        self.poll(now);
    }

    /// Performs what is due.
    pub fn poll(&mut self, now: Time) {
        let Some(link) = &self.link else { return };
        let (token, is_attached) = (link.token, link.is_attached);
        if now >= self.next_ping {
            self.next_ping = now + PING_INTERVAL;
            let pressure = self.pacer.pressure();
            let samples = std::mem::take(&mut self.samples);
            let alone = self.pacer.alone();
            self.actions.push(Action::Send(Up::Ping { sent: now, pressure, samples, alone }));
        }
        if self.is_empty && self.worker.is_none() && !is_attached && self.candidate.is_none() {
            // Nothing of the last worker can run any more.
            if let Some(link) = &mut self.link {
                link.is_attached = true;
            }
            let nothing = Up::Attach { worker: None, running: Vec::new(), ends: Vec::new() };
            self.actions.push(Action::Send(nothing));
        }
        if is_attached && now >= self.next_saved {
            self.next_saved = now + SAVED_INTERVAL;
            let mut rows = Vec::new();
            for (task, run) in self.runs.iter_mut().filter(|(_, run)| !run.saved_sent) {
                run.saved_sent = true;
                rows.push((*task, run.run, run.saved.clone()));
            }
            if !rows.is_empty() {
                self.actions.push(Action::Send(Up::Saved { rows }));
            }
        }
        self.send_stops(now);
        if self.looking.is_none() && now >= self.next_look {
            self.look(now, token);
        }
    }

    fn look(&mut self, now: Time, token: Token) {
        let (worker, seen) = match (&self.candidate, &self.worker) {
            (Some((info, _)), _) => (info.id.clone(), 0),
            (None, Some(worker)) => (worker.info.id.clone(), worker.seen),
            (None, None) => return,
        };
        let is_current = self.worker.as_ref().is_some_and(|known| known.info.id == worker);
        let lapse = self.lapse(self.permit_until).filter(|_| is_current && now < self.permit_until);
        let has = |pick: fn(&TaskTraits) -> bool| self.runs.values().any(|run| pick(&run.traits));
        let follows = has(|traits| traits.target_ms > 0) && has(|traits| traits.fills);
        let is_unseen = self.worker.as_ref().is_some_and(|known| known.forwarded > known.seen);
        let wait = match self.is_attached() && is_current {
            false => Duration::ZERO,
            true if is_unseen => Duration::ZERO,
            true if follows => SHORT_WAIT,
            true => LONG_WAIT,
        };
        self.looking = Some((token, now));
        self.actions.push(Action::Call(Call::Look { worker, token, seen, lapse, wait }));
    }

    /// Time until the next call of [`Node::poll`] is due, without further input.
    pub fn next_poll(&self, now: Time) -> Duration {
        if self.link.is_none() {
            return IDLE_POLL;
        }
        let look = match (&self.looking, self.worker.is_some() || self.candidate.is_some()) {
            (None, true) => self.next_look.saturating_sub(now),
            _ => IDLE_POLL,
        };
        look.min(self.next_ping.saturating_sub(now)).min(IDLE_POLL)
    }
}
