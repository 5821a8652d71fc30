//! The owner of all jobs: applies what callers and agents report, and decides what runs where.
//!
//! An end counts at once for what may start next. It is acknowledged to the worker, and a final
//! phase is shown to callers, only after the job's record is durable.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::message::{
    session_token, Down, End, EndKind, EndNumber, Pressure, Start, TaskTraits, Token, Up,
    WorkerInfo,
};
use super::model::{JobNumber, JobSpec, Run, Step, TaskId, WallMs};
use super::progress::{Phase, Progress};
use super::step::{Attempt, StepState};
use crate::resources::Resources;
use crate::time::Time;

/// Index of a node in the owner's table.
pub type Slot = usize;
/// Number of a connection of an agent.
pub type Session = u32;

/// Runs that one epoch may number; the next epoch begins above them.
const RUNS_PER_EPOCH: Run = 1_000;
/// Addition to the end of a permission before its worker is taken to have stopped everything:
/// covers rounding of lease times on the way to the worker.
const LAPSE_MARGIN: Duration = Duration::from_millis(200);
/// Time that changed records may wait for others, so that they share a write.
const COMMIT_LINGER: Duration = Duration::from_millis(25);
/// Keys that one write may name; the store's limit is 32, two are the fence's.
const COMMIT_KEYS: usize = 30;
/// First rest of a worker on which two jobs failed in a row; doubles with each further failure.
const FIRST_REST: Duration = Duration::from_secs(1);
const LONGEST_REST: Duration = Duration::from_secs(8);
/// Rest of a worker on which a task stood still.
const STALL_REST: Duration = Duration::from_secs(3);
/// Time before a draining worker leaves at which tasks that save are moved.
const MOVE_LEAD: Duration = Duration::from_millis(500);
/// Time that a draining worker is taken to have when it does not say.
const DRAIN_DEFAULT: Duration = Duration::from_secs(2);
/// Longest pause between two looks at timers.
const IDLE_POLL: Duration = Duration::from_millis(500);

/// What the owner is told at its start.
#[derive(Debug, Clone)]
pub struct OwnerSettings {
    pub epoch: u32,
    /// How long an agent may go on after a pong.
    pub permission: Duration,
    /// Time that an ended job stays known.
    pub keep_ended: Duration,
    /// How much longer a task takes away from its data.
    pub remote_slowdown: f64,
}

/// What the shell does for the owner.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    Send { slot: Slot, session: Session, message: Down },
    Log(Decision),
}

/// A decision worth a log line.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    pub event: &'static str,
    pub job: Option<JobNumber>,
    pub detail: String,
}

/// One job's record in a write.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    pub job: JobNumber,
    pub progress: Progress,
    /// Whether a stored cancel goes with it.
    pub drops_cancel: bool,
}

impl Record {
    fn keys(&self) -> usize {
        1 + usize::from(self.progress.phase.is_final()) + usize::from(self.drops_cancel)
    }
}

/// What one write makes durable.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Commit {
    pub records: Vec<Record>,
    pub roster: Option<Vec<String>>,
    /// Records of jobs that ended long ago.
    pub expired: Vec<JobNumber>,
}

/// A job in memory.
#[derive(Debug)]
pub struct Job {
    pub spec: Arc<JobSpec>,
    pub(super) occurrences: BTreeMap<u32, Vec<StepState>>,
    /// First occurrence that has not become due.
    pub(super) next_occurrence: u32,
    pub(super) since: Time,
    pub(super) phase: Phase,
    pub(super) has_cancel: bool,
    /// Tasks may run on a worker that has not been heard yet.
    pub(super) is_inherited: bool,
    pub(super) version: u64,
    pub(super) durable: u64,
    pub(super) failed_on: HashSet<Slot>,
    pub(super) ended: Option<Time>,
    pub(super) objective: Time,
    /// Reserved work that is not done yet, in thousandths of a core times milliseconds.
    pub(super) work: u64,
}

/// A node with an agent.
#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub session: Option<Session>,
    /// Whether the agent has reported its worker in this session.
    pub is_attached: bool,
    pub last_pong: Time,
    pub worker: Option<WorkerInfo>,
    pub used: Resources,
    /// Processors of fill tasks, which reserve none.
    pub filled_cpu: u64,
    /// Processors of lasting tasks.
    pub lasting_cpu: u64,
    pub pressure: Pressure,
    pub tasks: BTreeMap<TaskId, Run>,
    pub last_end: EndNumber,
    pub(super) unseen: VecDeque<(EndNumber, JobNumber, u64)>,
    pub(super) streak: u32,
    pub(super) rests_until: Time,
    pub(super) leaves_at: Option<Time>,
    /// Runs that are to be stopped and belong to no open task.
    pub(super) foreign: BTreeSet<(TaskId, Run)>,
    /// In the stored roster, so that a successor will wait for this node.
    pub(super) is_listed: bool,
}

/// What the write under way will make durable: versions of jobs, and nodes of the roster.
type InFlight = (Vec<(JobNumber, u64)>, Vec<Slot>);

/// The owner.
#[derive(Debug)]
pub struct Owner {
    pub(super) settings: OwnerSettings,
    pub(super) jobs: BTreeMap<JobNumber, Job>,
    pub(super) nodes: Vec<Node>,
    pub(super) by_name: HashMap<String, Slot>,
    next_session: Session,
    valid_until: Time,
    /// Until when unheard agents of a predecessor may go on.
    pub(super) quiet_at: Option<Time>,
    /// Nodes of the predecessor that have not been heard.
    pub(super) unheard: BTreeSet<String>,
    effects: Vec<Effect>,
    dirty: BTreeSet<JobNumber>,
    dirty_since: Option<Time>,
    is_urgent: bool,
    roster_changed: bool,
    in_flight: Option<InFlight>,
    expired: Vec<JobNumber>,
    pub(super) must_place: bool,
    next_expiry: Time,
    last_sweep: Time,
}

impl Owner {
    /// Builds an owner without jobs.
    pub fn new(settings: OwnerSettings, now: Time) -> Self {
        Owner {
            settings,
            jobs: BTreeMap::new(),
            nodes: Vec::new(),
            by_name: HashMap::new(),
            next_session: 0,
            valid_until: now,
            quiet_at: None,
            unheard: BTreeSet::new(),
            effects: Vec::new(),
            dirty: BTreeSet::new(),
            dirty_since: None,
            is_urgent: false,
            roster_changed: false,
            in_flight: None,
            expired: Vec::new(),
            must_place: false,
            next_expiry: now,
            last_sweep: now,
        }
    }

    /// Until when this process owns the work, by its own clock.
    pub fn set_valid(&mut self, until: Time) {
        self.valid_until = until;
        self.must_place = true;
    }

    /// Tells whether starts and permissions may be given.
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.valid_until
    }

    /// Goes on under a later epoch after a lapse in which nobody else owned the work.
    pub fn set_epoch(&mut self, epoch: u32) {
        self.settings.epoch = epoch;
    }

    /// Returns what the shell has to do.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    pub(super) fn log(&mut self, event: &'static str, job: Option<JobNumber>, detail: String) {
        self.effects.push(Effect::Log(Decision { event, job, detail }));
    }

    pub(super) fn send(&mut self, slot: Slot, message: Down) {
        if let Some(session) = self.nodes[slot].session {
            self.effects.push(Effect::Send { slot, session, message });
        }
    }

    /// Adds a job that was accepted, unless it is known.
    pub fn submit(&mut self, now: Time, number: JobNumber, spec: JobSpec) {
        if self.jobs.contains_key(&number) {
            return;
        }
        let detail = format!(
            "queue={} steps={} tasks={}",
            spec.queue.name,
            spec.steps.len(),
            spec.steps.iter().map(|step| step.count).sum::<u32>()
        );
        self.insert(now, number, spec, Progress::default(), false);
        self.log("job_known", Some(number), detail);
    }

    pub(super) fn insert(
        &mut self,
        now: Time,
        number: JobNumber,
        spec: JobSpec,
        progress: Progress,
        is_inherited: bool,
    ) {
        let objective_ms = spec.queue.stretch * spec.chain_ms() as f64 + spec.queue.slack_ms as f64;
        let work = spec.steps.iter().map(|s| s.need.cpu_milli * s.estimate_ms * u64::from(s.count));
        let mut job = Job {
            work: work.sum(),
            objective: now + Duration::from_millis(objective_ms as u64),
            spec: Arc::new(spec),
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            since: now,
            phase: progress.phase,
            has_cancel: false,
            is_inherited,
            version: 0,
            durable: 0,
            failed_on: HashSet::new(),
            ended: progress.phase.is_final().then_some(now),
        };
        if !job.phase.is_final() {
            job.restore(&progress);
        }
        self.jobs.insert(number, job);
        self.must_place = true;
    }

    /// Notes a stored cancel.
    pub fn cancel(&mut self, number: JobNumber) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        job.has_cancel = true;
        if job.phase.is_final() {
            self.touch(number, true);
            return;
        }
        self.log("job_cancelled", Some(number), String::new());
        self.finish(number, Phase::Cancelled);
    }

    /// Ends a job: nothing more starts, and what runs is stopped.
    pub(super) fn finish(&mut self, number: JobNumber, phase: Phase) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        job.phase = phase;
        let mut stops = Vec::new();
        for (occurrence, steps) in &mut job.occurrences {
            for (index, state) in steps.iter_mut().enumerate() {
                state.waiting.clear();
                for (task, attempt) in &mut state.running {
                    if !attempt.is_stopping {
                        attempt.is_stopping = true;
                        let id = TaskId {
                            job: number,
                            occurrence: *occurrence,
                            step: index as u16,
                            index: *task,
                        };
                        stops.push((attempt.slot, id, attempt.run));
                    }
                }
            }
        }
        for (slot, task, run) in stops {
            self.send(slot, Down::Stop { task, run });
        }
        self.touch(number, true);
    }

    /// Marks a job's record as changed.
    pub(super) fn touch(&mut self, number: JobNumber, is_urgent: bool) {
        if let Some(job) = self.jobs.get_mut(&number) {
            job.version += 1;
            self.dirty.insert(number);
            self.is_urgent |= is_urgent;
        }
    }

    /// Opens a session for the agent on `name`; an older one ends.
    pub fn connect(&mut self, now: Time, name: &str) -> (Slot, Session, Token) {
        let slot = match self.by_name.get(name) {
            Some(slot) => *slot,
            None => {
                self.nodes.push(Node::new(name, now));
                self.by_name.insert(name.to_owned(), self.nodes.len() - 1);
                self.nodes.len() - 1
            }
        };
        self.next_session += 1;
        let node = &mut self.nodes[slot];
        node.session = Some(self.next_session);
        node.is_attached = false;
        (slot, self.next_session, session_token(self.settings.epoch, self.next_session))
    }

    /// Notes that a session has ended.
    pub fn disconnect(&mut self, slot: Slot, session: Session) {
        let node = &mut self.nodes[slot];
        if node.session == Some(session) {
            node.session = None;
            node.is_attached = false;
            let detail = format!("node={} running={}", node.name, node.tasks.len());
            self.log("agent_lost", None, detail);
        }
    }

    /// Applies a message of an agent.
    pub fn receive(&mut self, now: Time, slot: Slot, session: Session, message: Up) {
        if self.nodes[slot].session != Some(session) {
            return;
        }
        match message {
            Up::Attach { worker, running, ends } => self.attach(now, slot, worker, running, ends),
            Up::Ends { worker, ends } => self.ends(now, slot, &worker, ends),
            Up::NotStarted { task, run, reason } => self.not_started(slot, task, run, &reason),
            Up::Draining { worker, remaining } => self.draining(now, slot, &worker, remaining),
            Up::Gone { worker } => {
                if self.nodes[slot].worker.as_ref().is_some_and(|known| known.id == worker) {
                    self.lose_worker(slot, "gone");
                }
            }
            Up::Saved { rows } => {
                for (task, run, saved) in rows {
                    self.save(task, run, saved);
                }
            }
            Up::Stalled { task, run } => self.stalled(now, slot, task, run),
            Up::Ping { sent, pressure } => {
                self.must_place |= pressure != self.nodes[slot].pressure;
                self.nodes[slot].pressure = pressure;
                let permission = match self.is_valid(now) {
                    true => {
                        self.nodes[slot].last_pong = now;
                        self.settings.permission
                    }
                    false => Duration::ZERO,
                };
                self.send(slot, Down::Pong { sent, permission, entries: Vec::new() });
            }
        }
    }

    pub(super) fn step_mut(&mut self, task: &TaskId) -> Option<(&Arc<JobSpec>, &mut StepState)> {
        let job = self.jobs.get_mut(&task.job)?;
        let state = job.occurrences.get_mut(&task.occurrence)?.get_mut(usize::from(task.step))?;
        (task.index < job.spec.steps[usize::from(task.step)].count).then_some((&job.spec, state))
    }

    /// Gives the reservation of a task back.
    pub(super) fn release(&mut self, slot: Slot, task: &TaskId, step: &Step) {
        let node = &mut self.nodes[slot];
        if node.tasks.remove(task).is_some() {
            node.used = node.used.minus(&step.reserved());
            node.filled_cpu -= if step.fills { step.need.cpu_milli } else { 0 };
            node.lasting_cpu -= if step.lasting { step.need.cpu_milli } else { 0 };
        }
        self.must_place = true;
    }

    /// Takes a reservation for a task.
    pub(super) fn reserve(&mut self, slot: Slot, task: TaskId, run: Run, step: &Step) {
        let node = &mut self.nodes[slot];
        if node.tasks.insert(task, run).is_none() {
            node.used = node.used.plus(&step.reserved());
            node.filled_cpu += if step.fills { step.need.cpu_milli } else { 0 };
            node.lasting_cpu += if step.lasting { step.need.cpu_milli } else { 0 };
        }
    }

    /// Forgets the run of a task on a worker. The task waits again unless its job has ended.
    pub(super) fn drop_run(&mut self, task: &TaskId, run: Run) -> Option<Slot> {
        let is_final = self.jobs.get(&task.job)?.phase.is_final();
        let (spec, state) = self.step_mut(task)?;
        if state.running.get(&task.index)?.run != run {
            return None;
        }
        let step = spec.steps[usize::from(task.step)].clone();
        let attempt = state.end(task.index)?;
        if !is_final && !state.done.contains(task.index) {
            state.waiting.insert(task.index);
        }
        self.release(attempt.slot, task, &step);
        Some(attempt.slot)
    }

    pub(super) fn ends(&mut self, now: Time, slot: Slot, worker: &str, ends: Vec<End>) {
        if self.nodes[slot].worker.as_ref().is_none_or(|known| known.id != worker) {
            return;
        }
        for end in ends {
            if end.number <= self.nodes[slot].last_end {
                continue;
            }
            self.nodes[slot].last_end = end.number;
            self.end(now, slot, &end);
            let version = self.jobs.get(&end.task.job).map_or(0, |job| job.version);
            self.nodes[slot].unseen.push_back((end.number, end.task.job, version));
        }
        if !self.dirty.is_empty() {
            self.dirty_since.get_or_insert(now);
        }
        self.acknowledge(slot);
    }

    fn end(&mut self, now: Time, slot: Slot, end: &End) {
        let task = end.task;
        self.save(task, end.run, end.saved.clone());
        self.must_place |= self.nodes[slot].foreign.remove(&(task, end.run));
        let was_current = self.drop_run(&task, end.run).is_some();
        let Some((spec, state)) = self.step_mut(&task) else { return };
        let spec = spec.clone();
        let step = &spec.steps[usize::from(task.step)];
        match end.kind {
            EndKind::Done if !step.lasting => {
                self.nodes[slot].streak = 0;
                self.complete(now, &task, step);
            }
            EndKind::Failed if !step.lasting && !state.done.contains(task.index) => {
                self.failed(now, slot, end);
            }
            EndKind::Failed => {
                state.avoid.insert(task.index, slot);
                self.note_failure(now, slot, task.job);
            }
            _ => {
                if step.gang {
                    self.stop_gang(&task);
                }
            }
        }
        if was_current && end.kind != EndKind::Done {
            let name = &self.nodes[slot].name;
            let detail = format!("task={task} run={} kind={:?} node={name}", end.run, end.kind);
            self.log("run_ended", Some(task.job), detail);
        }
    }

    /// A task is done; of a gang, all are.
    fn complete(&mut self, now: Time, task: &TaskId, step: &Step) {
        let Some((_, state)) = self.step_mut(task) else { return };
        let members = if step.gang { 0..step.count } else { task.index..task.index + 1 };
        let mut stops = Vec::new();
        for index in members {
            state.complete(index);
            if let Some(attempt) = state.running.get_mut(&index) {
                attempt.is_stopping = true;
                stops.push((attempt.slot, TaskId { index, ..*task }, attempt.run));
            }
        }
        for (slot, other, run) in stops {
            self.send(slot, Down::Stop { task: other, run });
        }
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        job.work = job.work.saturating_sub(step.need.cpu_milli * step.estimate_ms);
        if job.phase.is_final() {
            return;
        }
        let is_complete = job.is_complete();
        if is_complete {
            job.phase = Phase::Completed;
            job.ended = Some(now);
        }
        self.touch(task.job, is_complete);
        if is_complete {
            let took = now.saturating_sub(self.jobs[&task.job].since).as_millis();
            let objective = self.jobs[&task.job].objective;
            let detail = format!("took_ms={took} in_time={}", now <= objective);
            self.log("job_completed", Some(task.job), detail);
        }
        self.must_place = true;
    }

    fn failed(&mut self, now: Time, slot: Slot, end: &End) {
        let task = end.task;
        let Some((spec, state)) = self.step_mut(&task) else { return };
        let limit = spec.queue.attempts.max(1);
        let is_gang = spec.steps[usize::from(task.step)].gang;
        let key = if is_gang { 0 } else { task.index };
        let failures = state.failures.entry(key).or_default();
        if !failures.insert(end.run) {
            return;
        }
        let count = failures.len() as u32;
        let is_last = count >= limit;
        let detail = format!("task={task} run={} failures={count} limit={limit}", end.run);
        state.avoid.insert(task.index, slot);
        self.log("task_failed", Some(task.job), format!("{detail} node={}", self.nodes[slot].name));
        self.note_failure(now, slot, task.job);
        if is_gang {
            self.stop_gang(&task);
        }
        match self.jobs.get(&task.job).map(|job| job.phase.is_final()) {
            Some(false) if is_last => {
                self.log("job_failed", Some(task.job), detail);
                self.finish(task.job, Phase::Failed);
            }
            _ => self.touch(task.job, false),
        }
    }

    /// Judges a worker by failures of different jobs: one that fails everywhere is not its fault.
    fn note_failure(&mut self, now: Time, slot: Slot, number: JobNumber) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        let is_new = job.failed_on.insert(slot);
        if job.failed_on.len() > 1 || !is_new {
            return;
        }
        let node = &mut self.nodes[slot];
        node.streak += 1;
        if node.streak >= 2 {
            let rest = (FIRST_REST * 2u32.pow((node.streak - 2).min(3))).min(LONGEST_REST);
            node.rests_until = now + rest;
            let detail =
                format!("node={} streak={} rest_ms={}", node.name, node.streak, rest.as_millis());
            self.log("worker_rests", Some(number), detail);
        }
    }

    /// Stops the other members of a gang after one has ended.
    fn stop_gang(&mut self, task: &TaskId) {
        let Some((_, state)) = self.step_mut(task) else { return };
        let mut stops = Vec::new();
        for (index, attempt) in &mut state.running {
            if !attempt.is_stopping {
                attempt.is_stopping = true;
                stops.push((attempt.slot, TaskId { index: *index, ..*task }, attempt.run));
            }
        }
        for (slot, other, run) in stops {
            self.send(slot, Down::Stop { task: other, run });
        }
    }

    fn save(&mut self, task: TaskId, run: Run, saved: String) {
        if saved.is_empty() {
            return;
        }
        let Some((spec, state)) = self.step_mut(&task) else { return };
        let is_gang = spec.steps[usize::from(task.step)].gang;
        let is_old = state.runs.get(&task.index).is_some_and(|last| run < *last);
        if !is_old && !state.done.contains(task.index) {
            state.saved.insert(if is_gang { 0 } else { task.index }, saved);
        }
    }

    fn not_started(&mut self, slot: Slot, task: TaskId, run: Run, reason: &str) {
        let detail =
            format!("task={task} run={run} node={} reason={reason}", self.nodes[slot].name);
        self.log("start_rejected", Some(task.job), detail);
        self.must_place |= self.nodes[slot].foreign.remove(&(task, run));
        if self.drop_run(&task, run).is_some() {
            if let Some((_, state)) = self.step_mut(&task) {
                state.avoid.insert(task.index, slot);
            }
        }
    }

    fn stalled(&mut self, now: Time, slot: Slot, task: TaskId, run: Run) {
        let Some((_, state)) = self.step_mut(&task) else { return };
        let Some(attempt) = state.running.get_mut(&task.index) else { return };
        if attempt.run != run || attempt.is_stopping {
            return;
        }
        attempt.is_stopping = true;
        state.avoid.insert(task.index, slot);
        self.nodes[slot].rests_until = self.nodes[slot].rests_until.max(now + STALL_REST);
        let detail = format!("task={task} run={run} node={}", self.nodes[slot].name);
        self.log("task_stalled", Some(task.job), detail);
        self.send(slot, Down::Stop { task, run });
    }

    pub(super) fn draining(
        &mut self,
        now: Time,
        slot: Slot,
        worker: &str,
        remaining: Option<Duration>,
    ) {
        let node = &mut self.nodes[slot];
        let Some(known) = node.worker.as_mut().filter(|known| known.id == worker) else { return };
        if known.draining && node.leaves_at.is_some() {
            return;
        }
        known.draining = true;
        node.leaves_at = Some(now + remaining.unwrap_or(DRAIN_DEFAULT));
        let detail = format!("node={} worker={worker} running={}", node.name, node.tasks.len());
        self.log("worker_drains", None, detail);
        self.move_tasks(slot, |step| step.lasting);
    }

    /// Stops those tasks of a leaving worker that `pick` names, so that they go on elsewhere.
    fn move_tasks(&mut self, slot: Slot, pick: impl Fn(&Step) -> bool) {
        for (task, run) in self.nodes[slot].tasks.clone() {
            let Some((spec, state)) = self.step_mut(&task) else { continue };
            let is_picked = pick(&spec.steps[usize::from(task.step)]);
            match state.running.get_mut(&task.index) {
                Some(attempt) if is_picked && attempt.run == run && !attempt.is_stopping => {
                    attempt.is_stopping = true;
                    self.send(slot, Down::Stop { task, run });
                }
                _ => {}
            }
        }
    }

    /// Requeues everything on a worker that has certainly ended.
    pub(super) fn lose_worker(&mut self, slot: Slot, reason: &str) {
        let tasks: Vec<(TaskId, Run)> =
            self.nodes[slot].tasks.iter().map(|(task, run)| (*task, *run)).collect();
        let detail =
            format!("node={} reason={reason} tasks={}", self.nodes[slot].name, tasks.len());
        self.log("worker_lost", None, detail);
        for (task, run) in tasks {
            self.drop_run(&task, run);
        }
        let node = &mut self.nodes[slot];
        node.worker = None;
        node.tasks.clear();
        node.used = Resources::default();
        node.filled_cpu = 0;
        node.lasting_cpu = 0;
        node.pressure = Pressure::default();
        node.last_end = 0;
        node.unseen.clear();
        node.leaves_at = None;
        node.foreign.clear();
        node.streak = 0;
        node.rests_until = Time::ZERO;
        self.must_place = true;
    }

    /// Performs what is due. `wall` is the time of day.
    pub fn poll(&mut self, now: Time, wall: WallMs) {
        self.sweep(now);
        self.release_due(now, wall);
        if self.must_place && self.is_valid(now) {
            self.must_place = false;
            self.place(now);
        }
        if !self.dirty.is_empty() {
            self.dirty_since.get_or_insert(now);
        }
    }

    fn sweep(&mut self, now: Time) {
        let permission = self.settings.permission + LAPSE_MARGIN;
        for slot in 0..self.nodes.len() {
            let node = &self.nodes[slot];
            let is_lapsed = !node.is_attached && now >= node.last_pong + permission;
            let leads = node.leaves_at.is_some_and(|at| now + MOVE_LEAD >= at);
            match &node.worker {
                Some(_) if is_lapsed => self.lose_worker(slot, "permission ran out"),
                Some(worker) if worker.draining && leads => {
                    self.nodes[slot].leaves_at = Some(Time::MAX);
                    self.move_tasks(slot, |step| step.saves || step.lasting);
                }
                _ => {}
            }
        }
        self.settle_inherited(now);
        if now >= self.next_expiry {
            self.next_expiry = now + Duration::from_secs(1);
            let keep = self.settings.keep_ended;
            for job in self.jobs.values_mut().filter(|job| job.phase.is_final()) {
                job.ended.get_or_insert(now);
            }
            let is_old = |job: &Job| {
                job.ended.is_some_and(|at| now > at + keep) && job.durable == job.version
            };
            let old: Vec<JobNumber> =
                self.jobs.iter().filter(|(_, job)| is_old(job)).map(|(n, _)| *n).collect();
            for number in old.into_iter().take(COMMIT_KEYS) {
                self.jobs.remove(&number);
                self.expired.push(number);
            }
        }
        let since = std::mem::replace(&mut self.last_sweep, now);
        let has_rested = |node: &Node| node.rests_until > since && node.rests_until <= now;
        self.must_place |= self.nodes.iter().any(has_rested);
    }

    /// Time until the next call of [`Owner::poll`] is due, without further input.
    pub fn next_poll(&self, now: Time) -> Duration {
        match self.dirty_since {
            Some(since) if self.in_flight.is_none() => {
                (since + COMMIT_LINGER).saturating_sub(now).min(IDLE_POLL)
            }
            _ => IDLE_POLL,
        }
    }

    /// Returns what the next write has to hold, if one is due and none is under way.
    pub fn take_commit(&mut self, now: Time) -> Option<Commit> {
        let is_due = self.is_urgent
            || self.roster_changed
            || self.dirty_since.is_some_and(|since| now >= since + COMMIT_LINGER)
            || self.dirty.len() >= COMMIT_KEYS;
        if self.in_flight.is_some() || !is_due {
            return None;
        }
        let mut commit = Commit::default();
        let mut slots = Vec::new();
        let mut room = COMMIT_KEYS;
        if self.roster_changed {
            self.roster_changed = false;
            room -= 1;
            let is_member = |node: &Node| node.session.is_some() || node.worker.is_some();
            slots = (0..self.nodes.len()).filter(|s| is_member(&self.nodes[*s])).collect();
            let mut names: BTreeSet<String> = self.unheard.clone();
            names.extend(slots.iter().map(|slot| self.nodes[*slot].name.clone()));
            commit.roster = Some(names.into_iter().collect());
        }
        let mut versions = Vec::new();
        while let Some(number) = self.dirty.first().copied() {
            let Some(job) = self.jobs.get(&number) else {
                self.dirty.remove(&number);
                continue;
            };
            let record = job.record(number);
            if record.keys() > room {
                break;
            }
            room -= record.keys();
            versions.push((number, job.version));
            commit.records.push(record);
            self.dirty.remove(&number);
        }
        while room > 0 {
            let Some(number) = self.expired.pop() else { break };
            commit.expired.push(number);
            room -= 1;
        }
        self.is_urgent = !self.dirty.is_empty();
        self.dirty_since = None;
        self.in_flight = Some((versions, slots));
        Some(commit)
    }

    /// Notes that the write under way is durable.
    pub fn committed(&mut self) {
        let Some((versions, slots)) = self.in_flight.take() else { return };
        for (number, version) in versions {
            if let Some(job) = self.jobs.get_mut(&number) {
                job.durable = job.durable.max(version);
                if job.phase.is_final() && job.version == version {
                    job.has_cancel = false;
                }
            }
        }
        for slot in slots {
            self.nodes[slot].is_listed = true;
            self.must_place = true;
        }
        for slot in 0..self.nodes.len() {
            self.acknowledge(slot);
        }
    }

    /// Tells whether records wait for a write or one is under way.
    pub fn has_unwritten(&self) -> bool {
        !self.dirty.is_empty() || self.in_flight.is_some()
    }

    pub(super) fn change_roster(&mut self) {
        self.roster_changed = true;
    }

    /// Acknowledges the ends whose records are durable.
    pub(super) fn acknowledge(&mut self, slot: Slot) {
        let mut last = None;
        while let Some((number, job, version)) = self.nodes[slot].unseen.front().copied() {
            if self.jobs.get(&job).is_some_and(|job| job.durable < version) {
                break;
            }
            self.nodes[slot].unseen.pop_front();
            last = Some(number);
        }
        let worker = self.nodes[slot].worker.as_ref().map(|worker| worker.id.clone());
        if let (Some(number), Some(worker)) = (last, worker) {
            self.send(slot, Down::Seen { worker, number });
        }
    }

    /// First run number of this epoch.
    pub(super) fn run_base(&self) -> Run {
        self.settings.epoch.saturating_sub(1) * RUNS_PER_EPOCH + 1
    }

    /// Orders one start.
    pub(super) fn start(&mut self, slot: Slot, task: TaskId, run: Run) {
        let Some((spec, state)) = self.step_mut(&task) else { return };
        let spec = spec.clone();
        let step = &spec.steps[usize::from(task.step)];
        let key = if step.gang { 0 } else { task.index };
        let checkpoint = state.saved.get(&key).cloned().unwrap_or_default();
        state.begin(task.index, Attempt { run, slot, is_stopping: false });
        self.reserve(slot, task, run, step);
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.phase = Phase::Running;
        }
        let start = Start {
            task,
            run,
            command: spec.command.clone(),
            checkpoint,
            ticket: String::new(),
            traits: traits(step),
        };
        self.send(slot, Down::Start(Box::new(start)));
    }
}

/// Returns what an agent needs to know of a step's tasks.
pub(super) fn traits(step: &Step) -> TaskTraits {
    TaskTraits {
        lasting: step.lasting,
        fills: step.fills,
        target_ms: step.target_ms,
        cpu_milli: step.need.cpu_milli,
    }
}

impl Node {
    fn new(name: &str, now: Time) -> Self {
        Node {
            name: name.to_owned(),
            session: None,
            is_attached: false,
            last_pong: now,
            worker: None,
            used: Resources::default(),
            filled_cpu: 0,
            lasting_cpu: 0,
            pressure: Pressure::default(),
            tasks: BTreeMap::new(),
            last_end: 0,
            unseen: VecDeque::new(),
            streak: 0,
            rests_until: Time::ZERO,
            leaves_at: None,
            foreign: BTreeSet::new(),
            is_listed: false,
        }
    }
}

impl Job {
    /// Opens the occurrences that the record names; an untimed job has one.
    fn restore(&mut self, progress: &Progress) {
        let recorded = progress.steps.keys().map(|(occurrence, _)| occurrence + 1).max();
        let open = match self.spec.timetable {
            None => 1,
            Some(_) => recorded.unwrap_or(0),
        };
        for occurrence in 0..open {
            self.open(occurrence, progress);
        }
        self.next_occurrence = open;
    }

    /// Makes the tasks of an occurrence wait.
    pub(super) fn open(&mut self, occurrence: u32, progress: &Progress) {
        let steps = self.spec.steps.iter().enumerate().map(|(number, step)| {
            StepState::restore(step, progress.steps.get(&(occurrence, number as u16)))
        });
        self.occurrences.insert(occurrence, steps.collect());
    }

    /// Tells whether all tasks of all occurrences are done.
    fn is_complete(&self) -> bool {
        let times = self.spec.timetable.map_or(1, |table| table.times);
        self.next_occurrence >= times
            && self
                .occurrences
                .values()
                .all(|steps| steps.iter().zip(&self.spec.steps).all(|(s, step)| s.is_done(step)))
    }

    fn record(&self, number: JobNumber) -> Record {
        let mut progress = Progress { phase: self.phase, ..Progress::default() };
        if !self.phase.is_final() {
            for (occurrence, steps) in &self.occurrences {
                for (step, state) in steps.iter().enumerate() {
                    progress.steps.insert((*occurrence, step as u16), state.record());
                }
            }
        }
        Record { job: number, progress, drops_cancel: self.has_cancel && self.phase.is_final() }
    }
}
