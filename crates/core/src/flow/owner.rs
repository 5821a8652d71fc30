//! State machine of the owner: handles requests of callers and messages of agents, and decides
//! which tasks run on which worker.
//!
//! The end of a run takes effect on scheduling at once. The owner acknowledges it to the worker,
//! and shows a final phase to callers, only after the job's record is durable.

mod cancels;
mod commit;
mod dry_run;
mod ends;
mod evacuations;
mod job;
mod node;
mod reservations;
mod rounds;
mod speed;
mod stragglers;
mod suspects;
mod workers;

pub use node::Node;
pub(in crate::flow) use rounds::RoundCause;
pub(in crate::flow) use workers::is_listed;

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use super::crashes::{Crash, CrashLedger};
use super::evacuation::Evacuations;
use super::explain::ExplainLimit;
use super::forecast::Forecast;
use super::intake::Intake;
use super::interference::{Interference, InterferenceRow};
use super::message::{
    session_token, AgentMessage, Image, OwnerMessage, Start, TaskTraits, Token, NO_PERMISSION,
};
use super::model::{JobNumber, JobSpec, Run, Step, TaskId, WallMs};
use super::place::near::NearState;
use super::place::Candidate;
use super::progress::{Phase, Progress};
use super::step::{Attempt, StepState, StopReason};
use crate::hash;
use crate::time::Time;

/// Index of a node in the owner's table of nodes.
pub type Slot = usize;
/// Number of a session of an agent with the owner; unique within one owner.
pub type Session = u32;

/// Stands in the roster for nodes whose names are not known; no node has this name.
pub const UNKNOWN_NODE: &str = "";
/// Number of run numbers in one epoch. Each epoch uses a range above that of the epoch before, so
/// that a new owner never reuses a run number.
const RUNS_PER_EPOCH: Run = 1_000;
/// Maximum time that a changed job record waits to share a write to the store with others.
const COMMIT_DELAY: Duration = Duration::from_millis(25);
/// Maximum number of keys in one write to the store. The store's limit is 32; two are used for the
/// fencing check.
const MAX_COMMIT_KEYS: usize = 30;
/// Time between two pings of an agent beyond which placement may have passed over its node, because
/// the permission was not renewed; placement then runs again.
const MAX_PING_GAP: Duration = Duration::from_millis(1_500);
/// Minimum interval between writes of the learned interference weights, which share a write with
/// other records.
const INTERFERENCE_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum time between two calls of [`Owner::poll`].
const MAX_POLL_DELAY: Duration = Duration::from_millis(500);

/// Settings of an owner.
#[derive(Debug, Clone)]
pub struct OwnerSettings {
    /// Fencing epoch: number of this owner's term. It is part of the fencing tokens and higher for
    /// each new owner.
    pub epoch: u32,
    /// For how long a pong permits a worker to run tasks.
    pub permission: Duration,
    /// How long the record of an ended job is kept.
    pub keep_ended: Duration,
    /// Factor by which a task takes longer on another rack than on that of its data. At 1 or less,
    /// tasks never wait for a near node.
    pub remote_slowdown: f64,
    /// Minimum time between two placement rounds. What happens in between is placed together.
    pub round_interval: Duration,
    /// Time within which an evacuation of a zone must be in force; `None` if zones are not evacuated.
    pub evacuation: Option<Duration>,
}

/// Side effect that the owner's state machine requests from the code that drives it.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Sends a message to the agent of a node, unless its session is over.
    Send {
        slot: Slot,
        session: Session,
        message: OwnerMessage,
    },
    Log(Decision),
}

/// A decision of the owner or an agent, to be logged.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    pub event: &'static str,
    /// The job that the decision concerns, if it is a single one.
    pub job: Option<JobNumber>,
    /// Further facts, as `key=value` pairs.
    pub detail: String,
}

/// Progress record of one job, as part of a write to the store.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    pub job: JobNumber,
    pub progress: Progress,
    /// Whether the write also removes the stored cancellation of the job.
    pub drops_cancel: bool,
}

impl Record {
    /// Returns the number of keys that writing the record changes.
    fn keys(&self) -> usize {
        1 + usize::from(self.progress.phase.is_final()) + usize::from(self.drops_cancel)
    }
}

/// Contents of one atomic write to the store.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Commit {
    /// Changed progress records of jobs.
    pub records: Vec<Record>,
    /// New roster: names of the nodes whose workers may run tasks under a permission from this
    /// owner. A successor waits until these have reported. `None` if the roster has not changed.
    pub roster: Option<Vec<String>>,
    /// Ended jobs whose retention time is over; their records are removed.
    pub expired: Vec<JobNumber>,
    /// Jobs that were cancelled before they were stored and never were; their cancellations are removed.
    pub expired_cancels: Vec<JobNumber>,
    /// Learned interference weights of pairs of images; `None` if they are not written this time.
    pub interference: Option<Vec<InterferenceRow>>,
    /// Crashes of workers and the tasks suspected of them; `None` if they have not changed.
    pub crashes: Option<Vec<Crash>>,
}

/// State of a job in memory.
#[derive(Debug, Clone)]
pub struct Job {
    pub spec: Arc<JobSpec>,
    /// State of each step by occurrence, as far as the occurrences are due; a job without a
    /// timetable has one occurrence, 0.
    pub(super) occurrences: BTreeMap<u32, Vec<StepState>>,
    /// First occurrence that is not due yet.
    pub(super) next_occurrence: u32,
    /// When the job was submitted or taken over, or its newest occurrence became due.
    pub(super) released_at: Time,
    pub(super) phase: Phase,
    /// Whether a worker has begun a task of the job, as far as this owner or its record knows.
    pub(super) has_begun: bool,
    /// Whether the record of the job's end is durable, so that callers may be told of it.
    pub(super) has_durable_end: bool,
    /// Whether the store holds a cancellation of the job.
    pub(super) has_cancel: bool,
    /// Whether the job comes from a predecessor, so that its tasks may already run on a worker
    /// whose agent has not reported yet.
    pub(super) is_inherited: bool,
    /// Version of the job's progress record in memory.
    pub(super) version: u64,
    /// Newest version of the job's progress record that is durable.
    pub(super) durable: u64,
    /// Nodes on which tasks of the job have failed.
    pub(super) failed_on: HashSet<Slot>,
    /// When the job ended; `None` if it has not, or until the next cleanup has noticed.
    pub(super) ended: Option<Time>,
    /// Completion objective: time by which the job should complete.
    pub(super) objective: Time,
    /// Estimated CPU time of tasks that are not done, in thousandths of a core times milliseconds.
    pub(super) remaining_work: u64,
}

/// Contents of the write to the store in flight.
#[derive(Debug)]
struct InFlight {
    /// Versions of job records.
    versions: Vec<(JobNumber, u64)>,
    /// Nodes in the roster.
    slots: Vec<Slot>,
    /// Crashes to be acknowledged: node of the agent that reported, and worker.
    crash_acks: Vec<(Slot, String)>,
}

/// State of the owner.
#[derive(Debug)]
pub struct Owner {
    pub(super) settings: OwnerSettings,
    pub(super) jobs: BTreeMap<JobNumber, Job>,
    pub(super) nodes: Vec<Node>,
    /// Index of each node by its name.
    pub(super) by_name: HashMap<String, Slot>,
    /// Number of the newest session with an agent.
    next_session: Session,
    /// When the owner's lease expires.
    valid_until: Time,
    /// When the last permission to run tasks that the predecessor granted has expired; `None` if
    /// there was no predecessor or the takeover is finished.
    pub(super) takeover_deadline: Option<Time>,
    /// Nodes in the predecessor's roster whose agents have not reported yet.
    pub(super) unreported: BTreeSet<String>,
    /// Side effects that have not been taken yet.
    effects: Vec<Effect>,
    /// Jobs whose records have changed since they were last written to the store.
    dirty: BTreeSet<JobNumber>,
    /// Since when a changed record has waited to be written.
    dirty_since: Option<Time>,
    /// Whether the next write must not wait for more changes.
    is_urgent: bool,
    /// Whether the roster has to be written.
    roster_changed: bool,
    /// The write whose completion has not been reported yet.
    in_flight: Option<InFlight>,
    /// Ended jobs whose records have to be removed from the store.
    expired: Vec<JobNumber>,
    /// Stored cancellations of jobs that are not stored, and when each was last read.
    early_cancels: BTreeMap<JobNumber, Time>,
    /// Early cancellations that have to be removed from the store.
    expired_cancels: Vec<JobNumber>,
    /// Whether something changed that may let waiting tasks start.
    placement_due: bool,
    /// When the next placement round may begin.
    next_round: Time,
    /// Number of placement rounds, by what first asked for each, since the owner began.
    rounds: [u64; RoundCause::COUNT],
    /// Step to which the last placement round did not get in its pass by rank.
    pub(super) rank_resume: Option<Candidate>,
    /// Step to which the last round did not get in its pass for starved steps, and since when it is
    /// idle.
    pub(super) relief_resume: Option<(Time, Candidate)>,
    /// When the next waiting step counts as starved; `None` if none does later.
    pub(super) next_relief: Option<Time>,
    /// Time that placement rounds have taken, since the owner began.
    pub(super) round_time: Duration,
    /// Jobs that may have waiting tasks, for a node or for another step.
    pub(super) unplaced: BTreeSet<JobNumber>,
    /// When the next occurrences of periodic jobs are due.
    pub(super) occurrences_due: BTreeSet<(WallMs, JobNumber)>,
    /// When the records of ended jobs are next checked for their retention time.
    next_cleanup: Time,
    /// When the timers of nodes and jobs were last checked.
    last_timer_check: Time,
    /// Interference between images, learned from all workers.
    pub(super) interference: Interference,
    /// When the learned interference weights are next written to the store.
    next_interference: Time,
    /// Crashes of workers, and the tasks suspected of them.
    pub(super) crashes: CrashLedger,
    /// Suspects that wait to start apart, and since when.
    pub(super) waiting_apart: BTreeMap<TaskId, Time>,
    /// The workers that have crashed within the last seconds: when, and their services and IDs.
    recent_crashes: Vec<(Time, String, String)>,
    /// Whether `crashes` has to be written.
    crashes_changed: bool,
    /// Reported crashes to be acknowledged after the next write: node of the agent, and worker.
    crash_acks: Vec<(Slot, String)>,
    /// When a node in quarantine is next ready for a suspect, or a probation ends.
    pub(super) next_probation: Option<Time>,
    /// When stragglers are next searched for.
    next_straggler_search: Time,
    /// When the speeds of nodes are next reviewed.
    next_speed_review: Time,
    /// When steps that have been without runs for long are next reported.
    pub(super) next_wait_report: Time,
    /// Zones in which no tasks may start.
    pub(super) evacuations: Evacuations,
    /// Zones whose newest change has not been logged, and whether they are evacuated.
    unlogged_zones: BTreeMap<String, bool>,
    /// Whether the set of evacuated zones was too old when its age was last logged.
    was_unconfirmed: bool,
    /// Backlog, and the rate at which work gets done.
    pub(super) forecast: Forecast,
    /// Jobs that were refused because of load.
    pub(super) intake: Intake,
    pub(super) explain_limit: ExplainLimit,
    /// Waits of tasks for a node near their data.
    pub(super) near: NearState,
    /// Number of times that placement has examined a node for a step, since the owner began.
    pub(super) examined: Cell<u64>,
}

impl Owner {
    /// Returns an owner without jobs.
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
            early_cancels: BTreeMap::new(),
            expired_cancels: Vec::new(),
            placement_due: false,
            next_round: now,
            rounds: [0; RoundCause::COUNT],
            rank_resume: None,
            relief_resume: None,
            next_relief: None,
            round_time: Duration::ZERO,
            unplaced: BTreeSet::new(),
            occurrences_due: BTreeSet::new(),
            next_cleanup: now,
            last_timer_check: now,
            interference: Interference::default(),
            next_interference: now + INTERFERENCE_INTERVAL,
            crashes: CrashLedger::default(),
            waiting_apart: BTreeMap::new(),
            recent_crashes: Vec::new(),
            crashes_changed: false,
            crash_acks: Vec::new(),
            next_probation: None,
            next_straggler_search: now,
            next_speed_review: now,
            next_wait_report: now,
            evacuations: Evacuations::default(),
            unlogged_zones: BTreeMap::new(),
            was_unconfirmed: false,
            forecast: Forecast::new(now),
            intake: Intake::default(),
            explain_limit: ExplainLimit::default(),
            near: NearState::default(),
            examined: Cell::new(0),
        }
    }

    /// Sets the time at which this process's lease expires, by its own clock.
    pub fn set_valid_until(&mut self, until: Time) {
        self.valid_until = until;
        self.request_round(RoundCause::Timer);
    }

    /// Tells whether the lease is valid, so that starts may be sent and permissions granted.
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.valid_until
    }

    /// Returns the number of this owner's term.
    pub fn epoch(&self) -> u32 {
        self.settings.epoch
    }

    /// Sets a higher epoch after the lease expired and no other process acquired it.
    pub fn set_epoch(&mut self, epoch: u32) {
        self.settings.epoch = epoch;
    }

    /// Takes the side effects that the caller has to perform.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    pub(super) fn log(&mut self, event: &'static str, job: Option<JobNumber>, detail: String) {
        self.effects.push(Effect::Log(Decision { event, job, detail }));
    }

    /// Sends a message to the agent of a node if it is connected.
    pub(super) fn send(&mut self, slot: Slot, message: OwnerMessage) {
        if let Some(session) = self.nodes[slot].session {
            self.effects.push(Effect::Send { slot, session, message });
        }
    }

    /// Adds an accepted job; does nothing if the job is already known.
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
        if self.early_cancels.remove(&number).is_some() {
            self.cancel(now, number);
        }
    }

    /// Adds a job with its stored progress. `is_inherited` tells whether the job comes from a
    /// predecessor.
    pub(super) fn insert(
        &mut self,
        now: Time,
        number: JobNumber,
        spec: JobSpec,
        progress: Progress,
        is_inherited: bool,
    ) {
        let objective_ms = spec.queue.stretch * spec.chain_ms() as f64 + spec.queue.slack_ms as f64;
        let remaining_work =
            spec.steps.iter().map(|s| s.need.cpu_milli * s.estimate_ms * u64::from(s.count));
        let mut job = Job {
            remaining_work: remaining_work.sum(),
            objective: now + Duration::from_millis(objective_ms as u64),
            spec: Arc::new(spec),
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            released_at: now,
            phase: progress.phase,
            has_begun: progress.phase != Phase::Queued,
            has_durable_end: progress.phase.is_final(),
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
        let is_open = !job.phase.is_final();
        self.jobs.insert(number, job);
        self.forecast.touch(number);
        self.note_arrival(number);
        if is_open {
            self.unplaced.insert(number);
            self.await_occurrence(number);
            self.request_round(RoundCause::Job);
        }
    }

    /// Ends a job: clears its waiting tasks and stops its runs.
    pub(super) fn finish_job(&mut self, number: JobNumber, phase: Phase) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        job.phase = phase;
        let reason = match phase {
            Phase::Cancelled => StopReason::Cancelled,
            _ => StopReason::JobFailed,
        };
        let mut stops = Vec::new();
        for (occurrence, steps) in &mut job.occurrences {
            for (index, state) in steps.iter_mut().enumerate() {
                state.waiting.clear();
                for (task, attempt) in &mut state.running {
                    if !attempt.is_stopping() {
                        attempt.stop_reason = Some(reason);
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
        self.forecast.touch(number);
        self.mark_dirty(number, true);
    }

    /// Marks a job's record as changed, so that the next write includes it.
    pub(super) fn mark_dirty(&mut self, number: JobNumber, is_urgent: bool) {
        if let Some(job) = self.jobs.get_mut(&number) {
            job.version += 1;
            self.dirty.insert(number);
            self.is_urgent |= is_urgent;
        }
    }

    /// Returns the session of the agent on the node `name`, if it is connected.
    pub fn session(&self, name: &str) -> Option<Session> {
        self.nodes[*self.by_name.get(name)?].session
    }

    /// Opens a session for the agent on the node `name` and ends any older one.
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
        node.connected_at = now;
        node.is_attached = false;
        node.early_ping = None;
        (slot, self.next_session, session_token(self.settings.epoch, self.next_session))
    }

    /// Handles the end of a session with the agent of a node.
    pub fn disconnect(&mut self, slot: Slot, session: Session) {
        let node = &mut self.nodes[slot];
        if node.session == Some(session) {
            node.session = None;
            node.is_attached = false;
            let detail = format!("node={} running={}", node.name, node.tasks.len());
            self.log("agent_lost", None, detail);
        }
    }

    /// Handles a message from an agent. Messages of older sessions are ignored.
    pub fn receive(&mut self, now: Time, slot: Slot, session: Session, message: AgentMessage) {
        if self.nodes[slot].session != Some(session) {
            return;
        }
        match message {
            AgentMessage::Attach { worker, running, ends } => {
                self.attach(now, slot, worker, running, ends);
                match self.nodes[slot].early_ping {
                    Some(sent) if self.nodes[slot].is_attached && self.is_valid(now) => {
                        self.nodes[slot].early_ping = None;
                        self.renew_permission(now, slot, sent);
                    }
                    _ => {}
                }
            }
            AgentMessage::Ends { worker, ends } => self.ends(now, slot, &worker, ends),
            AgentMessage::NotStarted { task, run, reason } => {
                self.not_started(now, slot, task, run, &reason)
            }
            AgentMessage::Draining { worker, remaining } => {
                self.draining(now, slot, &worker, remaining)
            }
            AgentMessage::Gone { worker } => {
                if self.nodes[slot].worker.as_ref().is_some_and(|known| known.id == worker) {
                    self.lose_worker(now, slot, "gone");
                }
            }
            AgentMessage::Changed { worker } => self.changed(slot, worker),
            AgentMessage::Crashed { worker, runs } => self.crashed(now, slot, worker, runs),
            AgentMessage::Checkpoints { rows } => {
                for (task, run, checkpoint) in rows {
                    self.save_checkpoint(now, task, run, checkpoint);
                }
            }
            AgentMessage::Stalled { task, run } => self.stalled(now, slot, task, run),
            AgentMessage::Started { rows } => {
                rows.iter().for_each(|(task, run)| self.begun(task, *run));
            }
            AgentMessage::Ping { sent, pressure, samples, baselines } => {
                if std::mem::replace(&mut self.nodes[slot].pressure, pressure) != pressure {
                    self.request_round(RoundCause::Pressure);
                }
                self.nodes[slot].full_pace.note(now, pressure.level);
                self.learn_interference(slot, &samples, &baselines);
                match (self.is_valid(now), self.nodes[slot].is_attached) {
                    (false, _) => self.send_pong(slot, sent, Duration::ZERO),
                    (true, true) => self.renew_permission(now, slot, sent),
                    (true, false) => {
                        self.nodes[slot].early_ping = Some(sent);
                        self.send_pong(slot, sent, NO_PERMISSION);
                    }
                }
            }
        }
    }

    /// Renews the permission of a node's worker to run tasks, in answer to a ping that its agent
    /// sent at `sent` by its own clock.
    fn renew_permission(&mut self, now: Time, slot: Slot, sent: Duration) {
        let last = std::mem::replace(&mut self.nodes[slot].last_pong, now);
        if now > last + MAX_PING_GAP {
            self.request_round(RoundCause::Agent);
        }
        self.send_pong(slot, sent, self.settings.permission);
    }

    fn send_pong(&mut self, slot: Slot, sent: Duration, permission: Duration) {
        let weights = self.weights(slot);
        self.send(slot, OwnerMessage::Pong { sent, permission, entries: Vec::new(), weights });
    }

    /// Returns the job specification and the state of a task's step, if the task exists.
    pub(super) fn step_mut(&mut self, task: &TaskId) -> Option<(&Arc<JobSpec>, &mut StepState)> {
        let job = self.jobs.get_mut(&task.job)?;
        let state = job.occurrences.get_mut(&task.occurrence)?.get_mut(usize::from(task.step))?;
        (task.index < job.spec.steps[usize::from(task.step)].count).then_some((&job.spec, state))
    }

    /// Checks all timers, and places waiting tasks if something has changed and the last placement
    /// round is long enough ago. Returns whether a round ran; [`Owner::round_took`] must then be
    /// called. `wall` is the wall-clock time.
    pub fn poll(&mut self, now: Time, wall: WallMs) -> bool {
        self.check_timers(now);
        self.review_speeds(now);
        self.move_stragglers(now);
        self.release_due(now, wall);
        if self.next_timed_round().is_some_and(|at| now >= at) {
            self.next_relief = None;
            self.next_probation = None;
            self.near.clear_limit();
            self.request_round(RoundCause::Timer);
        }
        let runs = self.placement_due && now >= self.next_round && self.is_valid(now);
        if runs {
            self.placement_due = false;
            self.place(now);
        }
        self.update_forecast(now, runs);
        if !self.dirty.is_empty() {
            self.dirty_since.get_or_insert(now);
        }
        runs
    }

    /// Returns the time until the next call of [`Owner::poll`], if no event comes first.
    pub fn next_poll(&self, now: Time) -> Duration {
        let commit = self.commit_due().map(|at| at.saturating_sub(now));
        let timed = self.next_timed_round().map(|at| at.saturating_sub(now));
        let waits = [commit, timed, self.next_round(now), Some(MAX_POLL_DELAY)];
        waits.into_iter().flatten().min().unwrap_or(MAX_POLL_DELAY)
    }

    /// Returns when time alone lets a waiting task start.
    fn next_timed_round(&self) -> Option<Time> {
        let relief = self.next_relief.into_iter();
        relief.chain(self.next_probation).chain(self.near.next_limit()).min()
    }

    /// Returns the first run number of this owner's epoch.
    pub(super) fn run_base(&self) -> Run {
        self.settings.epoch.saturating_sub(1) * RUNS_PER_EPOCH + 1
    }

    /// Starts a task on a node: reserves resources and sends the order.
    pub(super) fn start(&mut self, now: Time, slot: Slot, task: TaskId, run: Run) {
        let Some((spec, state)) = self.step_mut(&task) else { return };
        let spec = spec.clone();
        let step = &spec.steps[usize::from(task.step)];
        let key = if step.gang { 0 } else { task.index };
        let checkpoint = state.checkpoints.get(&key).cloned().unwrap_or_default();
        let mut attempt = Attempt::new(run, slot, now);
        attempt.is_whole = checkpoint.is_empty();
        state.begin(task.index, attempt);
        self.reserve(slot, task, run, step);
        self.forecast.touch(task.job);
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

/// Returns the hash of a step's image name.
pub(super) fn image_number(step: &Step) -> Image {
    hash::hash64(step.image.as_bytes()) as u32
}

/// Returns the properties of a step's tasks that are sent to agents.
pub(super) fn traits(step: &Step) -> TaskTraits {
    TaskTraits {
        long_running: step.long_running,
        best_effort: step.best_effort,
        target_ms: step.target_ms,
        cpu_milli: step.need.cpu_milli,
        image: image_number(step),
    }
}
