//! Attempts on one VM.
//!
//! The caller claims the worker when [`Tasks::claim_request`] says so, and hands the reply to
//! [`Tasks::claimed`]. It performs the actions that [`Tasks::actions`] returns, asks
//! [`Tasks::begin`] just before each effect, and hands back what came of it with
//! [`Tasks::performed`]. It lists the worker's tasks with [`Tasks::listed`], and sends
//! [`Tasks::report`] to the cell's owner, whose reply goes to [`Tasks::obey`].

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;

use crate::id::{AgentId, CellId, Epoch, Incarnation, JobId, TaskIndex};
use crate::ledger::{Ledger, Limits};
use crate::message::announce::AgentState;
use crate::message::report::{
    AttemptId, Outcome, Report, RunningTask, StartOrder, TaskResult, Token,
};
use crate::resources::Resources;
use crate::tasks::worker::{Claim, ClaimReply, ClaimRequest, StartTask, TaskLease};
use crate::time::Time;

mod actions;
mod listing;
mod orders;
pub mod worker;

/// Age of the worker's last list above which nothing is admitted.
const MAX_LIST_AGE: Duration = Duration::from_secs(5);
/// Time for which tokens and usage of ended tasks are remembered.
const HISTORY_RETENTION: Duration = Duration::from_secs(15 * 60);
/// Time after which an unconfirmed stop is repeated.
const STOP_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Results, and bytes of their checkpoints, in one report. The rest follows in later reports.
const MAX_RESULTS: usize = 512;
const MAX_RESULT_BYTES: usize = 512 * 1024;

/// A task, whichever attempt runs it.
pub type TaskKey = (JobId, TaskIndex);

/// Who reports.
#[derive(Debug, Clone)]
pub struct Identity {
    pub agent: AgentId,
    pub incarnation: Incarnation,
    pub cell: CellId,
    pub rack: String,
}

/// An effect on the worker.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    Start(StartTask),
    Renew {
        instance: u64,
        leases: Vec<TaskLease>,
        /// Ends of the leases on the agent's clock.
        until: Vec<Time>,
    },
    /// Takes a checkpoint and ends the task there.
    Checkpoint(AttemptId),
    Stop(AttemptId),
    Throttle(AttemptId, u8),
    /// Removes an acknowledged result.
    Remove(AttemptId),
}

/// What came of an action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ActionResult {
    Done,
    /// The worker refused it; it had no effect.
    Refused(String),
    /// It certainly did not reach the worker.
    NotSent,
    /// It may or may not have had an effect, now or later.
    Unknown,
}

/// A transition, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    pub name: &'static str,
    pub attempt: Option<AttemptId>,
    pub detail: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopCause {
    /// The owner ordered it, or a newer attempt waits.
    Ordered,
    /// The agent decided it.
    Evicted,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Admitted; `sent` once a start may have reached the worker.
    Starting {
        sent: bool,
    },
    Running,
    Stopping {
        cause: StopCause,
        checkpoint: bool,
        /// Last try, and whether the worker accepted a stop.
        tried_at: Option<Time>,
        accepted_at: Option<Time>,
    },
}

#[derive(Debug, Clone)]
struct Attempt {
    order: Option<StartOrder>,
    class: String,
    phase: Phase,
    lease_until: Time,
    /// End of the lease that the worker has confirmed.
    renewed_until: Time,
    /// Set once the worker has confirmed that the task exists.
    confirmed_at: Option<Time>,
    /// An earlier start may still reach the worker.
    start_unconfirmed: bool,
    checkpoint: Option<Bytes>,
    measured: Resources,
    worker_speed: u8,
}

#[derive(Debug, Clone)]
struct WaitingStart {
    order: StartOrder,
    lease_until: Time,
}

#[derive(Debug, Clone)]
struct TaskHistory {
    token: Token,
    measured: Resources,
    updated_at: Time,
}

/// The report whose reply is awaited.
#[derive(Debug, Clone)]
struct PendingReport {
    sequence: u64,
    sent_at: Time,
    attempts: BTreeSet<AttemptId>,
}

#[derive(Debug, Clone, Copy)]
struct WorkerClock {
    instance: u64,
    now_ms: u64,
    received_at: Time,
}

impl WorkerClock {
    /// Translates a time to the worker's clock, never to a later moment.
    fn to_worker_ms(&self, at: Time) -> u64 {
        let ahead = at.saturating_sub(self.received_at).as_millis() as u64;
        let behind = self.received_at.saturating_sub(at).as_millis() as u64;
        (self.now_ms + ahead).saturating_sub(behind)
    }
}

/// All attempts on one VM.
#[derive(Debug)]
pub struct Tasks {
    identity: Identity,
    ledger: Ledger,
    /// Highest epoch of the cell that was seen.
    epoch: Epoch,
    /// Epoch that the worker keeps for a successor of this process. Grants of a higher one are not
    /// obeyed yet.
    worker_epoch: Epoch,
    sequence: u64,
    /// Last challenge of an owner.
    challenge: u64,
    pending_report: Option<PendingReport>,
    claim: Option<Claim>,
    clock: Option<WorkerClock>,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// Newer attempts that wait until an older one is gone.
    waiting: BTreeMap<TaskKey, WaitingStart>,
    results: BTreeMap<AttemptId, Outcome>,
    /// Committed by the owner, but still kept by the worker.
    acknowledged: BTreeSet<AttemptId>,
    removable: BTreeSet<AttemptId>,
    history: BTreeMap<TaskKey, TaskHistory>,
    /// Speed and admission of classes, as decided by colocation.
    class_speeds: BTreeMap<String, u8>,
    blocked_classes: BTreeSet<String>,
    draining: bool,
    events: Vec<Event>,
}

impl Tasks {
    /// Builds the state of an agent that knows nothing of its worker yet. `lag` is the lag of
    /// usage measurements.
    pub fn new(identity: Identity, lag: Duration) -> Self {
        Tasks {
            identity,
            ledger: Ledger::new(Resources::default(), lag),
            epoch: 0,
            worker_epoch: 0,
            sequence: 0,
            challenge: 0,
            pending_report: None,
            claim: None,
            clock: None,
            attempts: BTreeMap::new(),
            waiting: BTreeMap::new(),
            results: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            removable: BTreeSet::new(),
            history: BTreeMap::new(),
            class_speeds: BTreeMap::new(),
            blocked_classes: BTreeSet::new(),
            draining: false,
            events: Vec::new(),
        }
    }

    /// Highest epoch of the cell that was seen.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The capacity ledger.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the claim to make before the worker's tasks are listed: when there is none, and when
    /// the worker does not keep the epoch that was seen.
    pub fn claim_request(&self) -> Option<ClaimRequest> {
        let due = self.claim.is_none() || self.worker_epoch < self.epoch;
        due.then_some(ClaimRequest { keep: self.claim, epoch: self.epoch })
    }

    /// Records the reply to a claim.
    pub fn claimed(&mut self, claimed: ClaimReply) {
        self.claim = Some(claimed.claim);
        self.worker_epoch = claimed.epoch;
        self.epoch = self.epoch.max(claimed.epoch);
    }

    /// Records that the worker refused to keep the claim: another agent or instance has it.
    pub fn claim_refused(&mut self) {
        self.event("claim_lost", None, "refused".into());
        self.claim = None;
    }

    /// Tells whether the worker's tasks are known, so that reports and starts are allowed.
    pub fn is_adopted(&self) -> bool {
        self.clock.is_some()
    }

    /// Tells whether all attempts have ended and all results are acknowledged.
    pub fn is_drained(&self) -> bool {
        self.attempts.is_empty() && self.waiting.is_empty() && self.results.is_empty()
    }

    /// Number of attempts that run or are being started or stopped.
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Number of results that are not acknowledged yet.
    pub fn result_count(&self) -> usize {
        self.results.len()
    }

    /// Running attempts with class, urgency and measured usage.
    pub fn running(&self) -> impl Iterator<Item = (&AttemptId, &str, &Resources)> {
        self.attempts
            .iter()
            .filter(|(_, attempt)| attempt.phase == Phase::Running)
            .map(|(id, attempt)| (id, attempt.class.as_str(), &attempt.measured))
    }

    /// Takes the transitions since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Sets the limits in effect.
    pub fn set_limits(&mut self, limits: Limits) {
        self.ledger.set_limits(limits);
    }

    /// Sets the speed of classes (100 if absent) and the classes that are not admitted.
    pub fn set_colocation(&mut self, speeds: BTreeMap<String, u8>, blocked: BTreeSet<String>) {
        self.class_speeds = speeds;
        self.blocked_classes = blocked;
    }

    /// Evicts the newest running task of a class; tells whether there was one.
    pub fn evict_newest(&mut self, class: &str) -> bool {
        let newest = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.phase == Phase::Running && attempt.class == class)
            .max_by_key(|(_, attempt)| attempt.confirmed_at)
            .map(|(id, _)| id.clone());
        match newest {
            Some(id) => {
                self.stop_attempt(&id, StopCause::Evicted, true, "interference");
                true
            }
            None => false,
        }
    }

    /// Refuses new starts and hands all attempts back with a checkpoint.
    pub fn drain(&mut self) {
        if !self.draining {
            self.draining = true;
            self.event("drain_started", None, format!("attempts={}", self.attempts.len()));
        }
        for (_, waiting) in std::mem::take(&mut self.waiting) {
            self.refuse(waiting.order.attempt, "the agent is leaving".into());
        }
        let ids: Vec<AttemptId> = self.attempts.keys().cloned().collect();
        for id in ids {
            self.stop_attempt(&id, StopCause::Evicted, true, "drain");
        }
    }

    /// Builds the next report, to be sent at once; the lease in its reply counts from `now`.
    /// `None` while the worker's tasks are not known: a report without them would tell the owner
    /// that they are gone.
    pub fn report(&mut self, now: Time, pressure_percent: u32) -> Option<Report> {
        self.clock?;
        self.sequence += 1;
        let (results, delayed) = self.reported_results();
        let mut running: Vec<RunningTask> =
            self.attempts.iter().map(|(id, attempt)| self.running_task(id, attempt)).collect();
        let waiting = self.waiting.values().map(|waiting| &waiting.order.attempt);
        // A result that does not fit yet is reported as running, so that it is not taken as lost.
        running.extend(waiting.chain(&delayed).map(|id| RunningTask {
            attempt: id.clone(),
            measured: Resources::default(),
            speed_percent: 0,
        }));
        self.pending_report = Some(PendingReport {
            sequence: self.sequence,
            sent_at: now,
            attempts: running.iter().map(|task| task.attempt.clone()).collect(),
        });
        Some(Report {
            agent: self.identity.agent.clone(),
            incarnation: self.identity.incarnation,
            echo: self.challenge,
            cell: self.identity.cell.clone(),
            rack: self.identity.rack.clone(),
            sequence: self.sequence,
            state: if self.draining { AgentState::Leaving } else { AgentState::Ready },
            // The owner takes this as a promise that also outlives this process.
            epoch: self.worker_epoch,
            batch_capacity: self.ledger.batch_capacity(),
            free: self.ledger.free(),
            urgent_free: self.ledger.urgent_free(),
            running,
            results,
            pressure_percent,
        })
    }

    fn running_task(&self, id: &AttemptId, attempt: &Attempt) -> RunningTask {
        RunningTask {
            attempt: id.clone(),
            measured: attempt.measured,
            speed_percent: attempt.worker_speed,
        }
    }

    fn reported_results(&self) -> (Vec<TaskResult>, Vec<AttemptId>) {
        let mut bytes = 0;
        let mut results = Vec::new();
        let mut delayed = Vec::new();
        for (id, outcome) in &self.results {
            bytes += outcome_bytes(outcome);
            let first = results.is_empty();
            match results.len() < MAX_RESULTS && (first || bytes <= MAX_RESULT_BYTES) {
                true => results.push(TaskResult { attempt: id.clone(), outcome: outcome.clone() }),
                false => delayed.push(id.clone()),
            }
        }
        (results, delayed)
    }

    fn event(&mut self, name: &'static str, attempt: Option<&AttemptId>, detail: String) {
        self.events.push(Event { name, attempt: attempt.cloned(), detail });
    }

    fn refuse(&mut self, id: AttemptId, reason: String) {
        self.event("start_refused", Some(&id), reason.clone());
        self.results.entry(id).or_insert(Outcome::Refused { reason });
    }

    /// Ends an attempt that certainly does not run and will not run.
    fn finish(&mut self, now: Time, id: &AttemptId, outcome: Outcome) {
        self.ledger.release(id);
        if let Some(attempt) = self.attempts.remove(id) {
            self.record_history(now, id, attempt.measured);
        }
        self.event("attempt_ended", Some(id), outcome_name(&outcome).into());
        if !self.acknowledged.contains(id) {
            self.results.entry(id.clone()).or_insert(outcome);
        }
    }

    fn record_history(&mut self, now: Time, id: &AttemptId, measured: Resources) {
        let new_history =
            TaskHistory { token: id.token, measured: Resources::default(), updated_at: now };
        let history = self.history.entry((id.job.clone(), id.task)).or_insert(new_history);
        history.token = history.token.max(id.token);
        history.updated_at = now;
        if !measured.is_zero() {
            history.measured = measured;
        }
    }

    /// Begins to stop an attempt; a start that was not sent yet ends at once.
    fn stop_attempt(&mut self, id: &AttemptId, cause: StopCause, checkpoint: bool, reason: &str) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        match &mut attempt.phase {
            Phase::Starting { sent: false } => {
                let checkpoint = attempt.checkpoint.clone();
                self.attempts.remove(id);
                self.ledger.release(id);
                self.event("attempt_ended", Some(id), format!("not started: {reason}"));
                self.results.entry(id.clone()).or_insert(Outcome::Stopped { checkpoint });
            }
            Phase::Stopping { cause: current_cause, .. } if cause == StopCause::Ordered => {
                *current_cause = cause
            }
            Phase::Stopping { .. } => {}
            phase => {
                *phase = Phase::Stopping { cause, checkpoint, tried_at: None, accepted_at: None };
                self.ledger.mark_stopping(id);
                self.event("attempt_stopping", Some(id), reason.into());
            }
        }
    }

    /// Attempts of the same task with an older token.
    fn older_attempts(&self, id: &AttemptId) -> Vec<AttemptId> {
        let first = AttemptId { job: id.job.clone(), task: id.task, token: Token::default() };
        self.attempts.range(first..id.clone()).map(|(older, _)| older.clone()).collect()
    }
}

fn outcome_name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Completed => "completed",
        Outcome::Evicted { .. } => "evicted",
        Outcome::Failed { .. } => "failed",
        Outcome::Stopped { .. } => "stopped",
        Outcome::Refused { .. } => "refused",
    }
}

fn outcome_bytes(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Evicted { checkpoint } | Outcome::Stopped { checkpoint } => {
            checkpoint.as_ref().map_or(0, Bytes::len)
        }
        Outcome::Failed { reason } | Outcome::Refused { reason } => reason.len(),
        Outcome::Completed => 0,
    }
}
