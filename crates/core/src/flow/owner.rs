//! The owner of all jobs: applies what callers and agents report, and decides what runs where.
//!
//! An end counts at once for what may start next. It is acknowledged to the worker, and a final
//! phase is shown to callers, only after the job's record is durable.

mod commit;
mod ends;
mod reservations;
mod workers;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::interference::{Baseline, Interference, InterferenceRow};
use super::message::{
    session_token, AgentMessage, EndNumber, Image, OwnerMessage, Pressure, Start, TaskTraits,
    Token, WorkerInfo,
};
use super::model::{JobNumber, JobSpec, Run, Step, TaskId, WallMs};
use super::progress::{Phase, Progress};
use super::step::{Attempt, StepState};
use crate::hash;
use crate::resources::Resources;
use crate::time::Time;

/// Index of a node in the owner's table.
pub type Slot = usize;
/// Number of a connection of an agent.
pub type Session = u32;

/// Runs that one epoch may number; the next epoch begins above them.
const RUNS_PER_EPOCH: Run = 1_000;
/// Time that changed records may wait for others, so that they share a write.
const COMMIT_DELAY: Duration = Duration::from_millis(25);
/// Keys that one write may name; the store's limit is 32, two are the fence's.
const MAX_COMMIT_KEYS: usize = 30;
/// Time between two requests of an agent for permission beyond which it may have missed starts.
const MAX_PING_GAP: Duration = Duration::from_millis(1_500);
/// Time between two stored copies of the learned press; they go with other records.
const INTERFERENCE_INTERVAL: Duration = Duration::from_secs(5);
/// Longest pause between two looks at timers.
const MAX_POLL_DELAY: Duration = Duration::from_millis(500);

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
    Send { slot: Slot, session: Session, message: OwnerMessage },
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
    /// What was learned of the images' press.
    pub interference: Option<Vec<InterferenceRow>>,
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
    /// Reserved for lasting tasks.
    pub long_running: Resources,
    pub pressure: Pressure,
    /// Processors of fill tasks, which reserve none, by image, in thousandths of a core.
    pub(super) best_effort_cpu: BTreeMap<Image, u64>,
    /// Serving tasks by image, and their tail without fill tasks.
    pub(super) serving: BTreeMap<Image, (u32, Baseline)>,
    pub tasks: BTreeMap<TaskId, Run>,
    pub last_end: EndNumber,
    pub(super) pending_acks: VecDeque<(EndNumber, JobNumber, u64)>,
    pub(super) failure_streak: u32,
    pub(super) backoff_until: Time,
    pub(super) drain_deadline: Option<Time>,
    /// Runs that are to be stopped and belong to no open task.
    pub(super) stale_runs: BTreeSet<(TaskId, Run)>,
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
    pub(super) takeover_deadline: Option<Time>,
    /// Nodes of the predecessor that have not been heard.
    pub(super) unreported: BTreeSet<String>,
    effects: Vec<Effect>,
    dirty: BTreeSet<JobNumber>,
    dirty_since: Option<Time>,
    is_urgent: bool,
    roster_changed: bool,
    in_flight: Option<InFlight>,
    expired: Vec<JobNumber>,
    pub(super) placement_due: bool,
    next_cleanup: Time,
    last_timer_check: Time,
    pub(super) interference: Interference,
    /// Workers whose free room is kept for lasting tasks, during one round of placement.
    pub(super) held_nodes: BTreeSet<Slot>,
    /// When the learned press is stored again.
    next_interference: Time,
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
            takeover_deadline: None,
            unreported: BTreeSet::new(),
            effects: Vec::new(),
            dirty: BTreeSet::new(),
            dirty_since: None,
            is_urgent: false,
            roster_changed: false,
            in_flight: None,
            expired: Vec::new(),
            placement_due: false,
            next_cleanup: now,
            last_timer_check: now,
            interference: Interference::default(),
            held_nodes: BTreeSet::new(),
            next_interference: now + INTERFERENCE_INTERVAL,
        }
    }

    /// Until when this process owns the work, by its own clock.
    pub fn set_valid_until(&mut self, until: Time) {
        self.valid_until = until;
        self.placement_due = true;
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

    pub(super) fn send(&mut self, slot: Slot, message: OwnerMessage) {
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
        self.placement_due = true;
    }

    /// Notes a stored cancel.
    pub fn cancel(&mut self, number: JobNumber) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        job.has_cancel = true;
        if job.phase.is_final() {
            self.mark_dirty(number, true);
            return;
        }
        self.log("job_cancelled", Some(number), String::new());
        self.finish_job(number, Phase::Cancelled);
    }

    /// Ends a job: nothing more starts, and what runs is stopped.
    pub(super) fn finish_job(&mut self, number: JobNumber, phase: Phase) {
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
            self.send(slot, OwnerMessage::Stop { task, run });
        }
        self.mark_dirty(number, true);
    }

    /// Marks a job's record as changed.
    pub(super) fn mark_dirty(&mut self, number: JobNumber, is_urgent: bool) {
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
    pub fn receive(&mut self, now: Time, slot: Slot, session: Session, message: AgentMessage) {
        if self.nodes[slot].session != Some(session) {
            return;
        }
        match message {
            AgentMessage::Attach { worker, running, ends } => {
                self.attach(now, slot, worker, running, ends)
            }
            AgentMessage::Ends { worker, ends } => self.ends(now, slot, &worker, ends),
            AgentMessage::NotStarted { task, run, reason } => {
                self.not_started(slot, task, run, &reason)
            }
            AgentMessage::Draining { worker, remaining } => {
                self.draining(now, slot, &worker, remaining)
            }
            AgentMessage::Gone { worker } => {
                if self.nodes[slot].worker.as_ref().is_some_and(|known| known.id == worker) {
                    self.lose_worker(slot, "gone");
                }
            }
            AgentMessage::Checkpoints { rows } => {
                for (task, run, checkpoint) in rows {
                    self.save_checkpoint(task, run, checkpoint);
                }
            }
            AgentMessage::Stalled { task, run } => self.stalled(now, slot, task, run),
            AgentMessage::Ping { sent, pressure, samples, baselines } => {
                self.placement_due |= pressure != self.nodes[slot].pressure;
                self.nodes[slot].pressure = pressure;
                self.learn_interference(slot, &samples, &baselines);
                let permission = match self.is_valid(now) {
                    true => {
                        self.placement_due |= now > self.nodes[slot].last_pong + MAX_PING_GAP;
                        self.nodes[slot].last_pong = now;
                        self.settings.permission
                    }
                    false => Duration::ZERO,
                };
                let weights = self.weights(slot);
                self.send(
                    slot,
                    OwnerMessage::Pong { sent, permission, entries: Vec::new(), weights },
                );
            }
        }
    }

    pub(super) fn step_mut(&mut self, task: &TaskId) -> Option<(&Arc<JobSpec>, &mut StepState)> {
        let job = self.jobs.get_mut(&task.job)?;
        let state = job.occurrences.get_mut(&task.occurrence)?.get_mut(usize::from(task.step))?;
        (task.index < job.spec.steps[usize::from(task.step)].count).then_some((&job.spec, state))
    }

    /// Performs what is due. `wall` is the time of day.
    pub fn poll(&mut self, now: Time, wall: WallMs) {
        self.check_timers(now);
        self.release_due(now, wall);
        if self.placement_due && self.is_valid(now) {
            self.placement_due = false;
            self.place(now);
        }
        if !self.dirty.is_empty() {
            self.dirty_since.get_or_insert(now);
        }
    }

    /// Time until the next call of [`Owner::poll`] is due, without further input.
    pub fn next_poll(&self, now: Time) -> Duration {
        match self.dirty_since {
            Some(since) if self.in_flight.is_none() => {
                (since + COMMIT_DELAY).saturating_sub(now).min(MAX_POLL_DELAY)
            }
            _ => MAX_POLL_DELAY,
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
        let checkpoint = state.checkpoints.get(&key).cloned().unwrap_or_default();
        state.begin(task.index, Attempt { run, slot, is_stopping: false });
        self.reserve(slot, task, run, step);
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.phase = Phase::Running;
        }
        let weights = self.step_weights(slot, step);
        let start = Start {
            task,
            run,
            command: spec.command.clone(),
            checkpoint,
            ticket: String::new(),
            traits: traits(step),
            weights,
        };
        self.send(slot, OwnerMessage::Start(Box::new(start)));
    }
}

/// Number that stands for a step's image.
pub(super) fn image_number(step: &Step) -> Image {
    hash::stable(step.image.as_bytes()) as u32
}

/// Returns what an agent needs to know of a step's tasks.
pub(super) fn traits(step: &Step) -> TaskTraits {
    TaskTraits {
        long_running: step.long_running,
        best_effort: step.best_effort,
        target_ms: step.target_ms,
        cpu_milli: step.need.cpu_milli,
        image: image_number(step),
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
            long_running: Resources::default(),
            pressure: Pressure::default(),
            best_effort_cpu: BTreeMap::new(),
            serving: BTreeMap::new(),
            tasks: BTreeMap::new(),
            last_end: 0,
            pending_acks: VecDeque::new(),
            failure_streak: 0,
            backoff_until: Time::ZERO,
            drain_deadline: None,
            stale_runs: BTreeSet::new(),
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
