//! State machine of the agent on one VM: the task attempts on its worker, their leases and results.
//!
//! The owner of a cell schedules the tasks of its jobs on the agents' VMs. The worker is the platform
//! process that runs tasks on a VM. An attempt is one execution of a task, identified by a fencing
//! token that consists of the owner's epoch and a number. The module does no I/O; its caller:
//!
//! 1. claims the worker when [`Tasks::claim_request`] returns a request, and passes the reply to
//!    [`Tasks::claimed`];
//! 2. lists the worker's tasks and passes the list to [`Tasks::apply_list`];
//! 3. performs the actions from [`Tasks::actions`], asks [`Tasks::begin`] just before each, and
//!    passes each result to [`Tasks::record_result`];
//! 4. sends [`Tasks::report`] to the cell's owner and passes the reply to [`Tasks::apply_orders`].

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

/// Age of the worker's last task list above which no start is admitted.
const MAX_LIST_AGE: Duration = Duration::from_secs(5);
/// Time for which the token and usage of a task are kept after its last attempt ended.
const HISTORY_RETENTION: Duration = Duration::from_secs(15 * 60);
/// Interval at which a stop or checkpoint is repeated until the attempt has ended.
const STOP_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum results in one report. The rest follows in later reports.
const MAX_RESULTS: usize = 512;
/// Maximum total size of the checkpoints and reasons in the results of one report, in bytes.
const MAX_RESULT_BYTES: usize = 512 * 1024;

/// Identifies a task independently of its attempts.
pub type TaskKey = (JobId, TaskIndex);

/// Identity of the agent in its reports.
#[derive(Debug, Clone)]
pub struct Identity {
    pub agent: AgentId,
    pub incarnation: Incarnation,
    pub cell: CellId,
    pub rack: String,
}

/// Request to the worker that the caller has to send.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    Start(StartTask),
    Renew {
        instance: u64,
        leases: Vec<TaskLease>,
        /// Ends of the leases on the agent's clock, in the order of `leases`.
        until: Vec<Time>,
    },
    /// Takes a checkpoint and ends the task at it.
    Checkpoint(AttemptId),
    Stop(AttemptId),
    /// Sets the CPU speed of a task, in percent.
    Throttle(AttemptId, u8),
    /// Deletes a result that the owner has acknowledged.
    Remove(AttemptId),
}

/// Result of an action on the worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ActionResult {
    Done,
    /// The worker refused the request; it had no effect.
    Refused(String),
    /// The request was not sent, so it had no effect.
    NotSent,
    /// The request may have had an effect, or may still have one later.
    Unknown,
}

/// State transition to be logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    pub name: &'static str,
    pub attempt: Option<AttemptId>,
    pub detail: String,
}

/// Reason for stopping an attempt. Decides whether its result is a stop or an eviction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopCause {
    /// The owner ordered the stop, or a newer attempt supersedes this one.
    Ordered,
    /// The agent decided to stop the attempt.
    Evicted,
}

/// Phase of an attempt on the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Admitted, but not confirmed by the worker.
    Starting {
        /// Set before the start is first sent to the worker.
        sent: bool,
    },
    Running,
    Stopping {
        cause: StopCause,
        /// Take a checkpoint before the attempt ends.
        checkpoint: bool,
        /// Time at which a stop or checkpoint was last sent.
        tried_at: Option<Time>,
        /// Time at which the worker first accepted a stop.
        accepted_at: Option<Time>,
    },
}

/// State of an attempt that has not ended.
#[derive(Debug, Clone)]
struct Attempt {
    /// Start order of the owner; `None` for an attempt adopted from the worker's list.
    order: Option<StartOrder>,
    class: String,
    phase: Phase,
    /// End of the lease that the owner has granted.
    lease_until: Time,
    /// End of the lease in the last renewal that the worker confirmed.
    renewed_until: Time,
    /// Time at which the worker first confirmed that the task exists.
    confirmed_at: Option<Time>,
    /// The result of a start request is unknown, so the request may still reach the worker.
    start_unconfirmed: bool,
    /// Latest checkpoint: the one the attempt started from, or a later one.
    checkpoint: Option<Bytes>,
    /// Last measured usage; zero before the first measurement.
    measured: Resources,
    /// CPU speed that is in effect on the worker, in percent.
    worker_speed: u8,
}

/// Start order that waits until an older attempt of the same task has ended.
#[derive(Debug, Clone)]
struct WaitingStart {
    order: StartOrder,
    lease_until: Time,
}

/// Highest token and last usage of a task. Rejects duplicate and old starts, and gives a later
/// attempt the measured usage.
#[derive(Debug, Clone)]
struct TaskHistory {
    token: Token,
    measured: Resources,
    updated_at: Time,
}

/// Report that the owner has not answered yet.
#[derive(Debug, Clone)]
struct PendingReport {
    sequence: u64,
    sent_at: Time,
    /// Attempts in the report, whose leases the reply extends.
    attempts: BTreeSet<AttemptId>,
}

/// Reading of the worker's clock in its last task list.
#[derive(Debug, Clone, Copy)]
struct WorkerClock {
    instance: u64,
    now_ms: u64,
    /// Time on the agent's clock at which the list arrived.
    received_at: Time,
}

impl WorkerClock {
    /// Converts a time of the agent's clock to milliseconds of the worker's clock. The result is never
    /// later than the given time.
    fn worker_ms_at(&self, at: Time) -> u64 {
        let ahead = at.saturating_sub(self.received_at).as_millis() as u64;
        let behind = self.received_at.saturating_sub(at).as_millis() as u64;
        (self.now_ms + ahead).saturating_sub(behind)
    }
}

/// State of all attempts on one VM.
#[derive(Debug)]
pub struct Tasks {
    identity: Identity,
    ledger: Ledger,
    /// Highest epoch of the cell in orders, claim replies and task tokens. Owners with a lower epoch
    /// are rejected.
    epoch: Epoch,
    /// Epoch that the worker stores for the next process of this agent. Starts and leases of a higher
    /// epoch are not accepted until the worker stores it.
    worker_epoch: Epoch,
    /// Number of the last report.
    sequence: u64,
    /// Last challenge of an owner. The next report echoes it to prove that it is recent.
    challenge: u64,
    pending_report: Option<PendingReport>,
    claim: Option<Claim>,
    /// `None` until the worker's tasks have been listed.
    clock: Option<WorkerClock>,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// Start orders that wait until an older attempt of their task has ended.
    waiting: BTreeMap<TaskKey, WaitingStart>,
    /// Results that the owner has not acknowledged.
    results: BTreeMap<AttemptId, Outcome>,
    /// Attempts whose result the owner has committed but the worker may still keep.
    acknowledged: BTreeSet<AttemptId>,
    /// Acknowledged attempts whose result the worker keeps according to its last list.
    removable: BTreeSet<AttemptId>,
    history: BTreeMap<TaskKey, TaskHistory>,
    /// CPU speed of each throttled class in percent, set by the colocation controller.
    class_speeds: BTreeMap<String, u8>,
    /// Classes that the colocation controller does not admit.
    blocked_classes: BTreeSet<String>,
    draining: bool,
    events: Vec<Event>,
}

impl Tasks {
    /// Creates the state of an agent that has not listed its worker's tasks. `lag` is the delay with
    /// which measurements show a change of usage.
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

    /// Returns the highest known epoch of the cell.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the ledger of the VM's reserved capacity.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the claim request that has to precede the next list: while there is no claim, or while
    /// the worker stores a lower epoch than the highest known one.
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

    /// Records that the worker refused to confirm the claim, because another agent has claimed the
    /// worker or the worker has restarted.
    pub fn claim_refused(&mut self) {
        self.event("claim_lost", None, "refused".into());
        self.claim = None;
    }

    /// Tells whether the worker's tasks have been listed. Reports and starts are allowed only then.
    pub fn is_adopted(&self) -> bool {
        self.clock.is_some()
    }

    /// Tells whether all attempts have ended and all results are acknowledged.
    pub fn is_drained(&self) -> bool {
        self.attempts.is_empty() && self.waiting.is_empty() && self.results.is_empty()
    }

    /// Returns the number of attempts that are starting, running or stopping.
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the number of results that the owner has not acknowledged.
    pub fn result_count(&self) -> usize {
        self.results.len()
    }

    /// Returns the running attempts with their class and measured usage.
    pub fn running(&self) -> impl Iterator<Item = (&AttemptId, &str, &Resources)> {
        self.attempts
            .iter()
            .filter(|(_, attempt)| attempt.phase == Phase::Running)
            .map(|(id, attempt)| (id, attempt.class.as_str(), &attempt.measured))
    }

    /// Returns and clears the transitions since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Sets the capacity limits in effect.
    pub fn set_limits(&mut self, limits: Limits) {
        self.ledger.set_limits(limits);
    }

    /// Sets the CPU speeds of classes in percent (100 if absent) and the classes not to admit.
    pub fn set_colocation(&mut self, speeds: BTreeMap<String, u8>, blocked: BTreeSet<String>) {
        self.class_speeds = speeds;
        self.blocked_classes = blocked;
    }

    /// Evicts the most recently started running task of a class; tells whether there was one.
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

    /// Starts draining: refuses new starts and evicts all attempts with a checkpoint.
    pub fn drain(&mut self) {
        if !self.draining {
            self.draining = true;
            self.event("drain_started", None, format!("attempts={}", self.attempts.len()));
        }
        for (_, waiting) in std::mem::take(&mut self.waiting) {
            self.refuse(waiting.order.attempt, "the agent is draining".into());
        }
        let ids: Vec<AttemptId> = self.attempts.keys().cloned().collect();
        for id in ids {
            self.stop_attempt(&id, StopCause::Evicted, true, "drain");
        }
    }

    /// Returns the next report, which has to be sent at once: the lease in its reply starts at `now`.
    /// Returns `None` until the worker's tasks are listed, because the owner would conclude from a
    /// report without them that they have ended.
    pub fn report(&mut self, now: Time, pressure_percent: u32) -> Option<Report> {
        self.clock?;
        self.sequence += 1;
        let (results, delayed) = self.reported_results();
        let mut running: Vec<RunningTask> =
            self.attempts.iter().map(|(id, attempt)| self.running_task(id, attempt)).collect();
        let waiting = self.waiting.values().map(|waiting| &waiting.order.attempt);
        // An attempt whose result does not fit is reported as running. The owner would consider an
        // attempt that is missing from the report as lost.
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
            // The owner relies on this epoch even after a restart of the agent, so it is the one
            // that the worker stores.
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

    /// Returns the results that fit into one report, and the attempts whose results have to wait.
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

    /// Records that a start order was refused.
    fn refuse(&mut self, id: AttemptId, reason: String) {
        self.event("start_refused", Some(&id), reason.clone());
        self.results.entry(id).or_insert(Outcome::Refused { reason });
    }

    /// Records the outcome of an attempt that is known neither to run nor to start later, and releases
    /// its reservation.
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

    /// Updates the highest token and, unless zero, the usage of a task.
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

    /// Starts to stop an attempt. An attempt whose start was never sent ends immediately.
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

    /// Returns the attempts of the same task with an older token.
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

/// Returns the size of the checkpoint or reason in an outcome, in bytes.
fn outcome_bytes(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Evicted { checkpoint } | Outcome::Stopped { checkpoint } => {
            checkpoint.as_ref().map_or(0, Bytes::len)
        }
        Outcome::Failed { reason } | Outcome::Refused { reason } => reason.len(),
        Outcome::Completed => 0,
    }
}
