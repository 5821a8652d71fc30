//! Reports that agents send to the owner of their cell, and the orders that it returns.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{AgentId, CellId, Epoch, Incarnation, JobId, TaskIndex, TeamId};
use crate::message::announce::AgentState;
use crate::resources::Resources;

/// Fencing token of one attempt to run a task. Each attempt of a task has a higher token than the
/// attempts before it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Token {
    pub epoch: Epoch,
    pub number: u64,
}

/// Identity of one attempt to run a task.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    pub job: JobId,
    pub task: TaskIndex,
    pub token: Token,
}

/// An attempt that an agent is running, starting or stopping.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunningTask {
    pub attempt: AttemptId,
    /// Latest usage measured by the worker; zero before the first measurement.
    pub measured: Resources,
    /// Throttle: the share of full speed at which the task may run, in percent.
    pub speed_percent: u8,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    Completed,
    /// Stopped before completion without an order of the owner, for example because the lease
    /// expired; resumes from the checkpoint, if any.
    Evicted {
        checkpoint: Option<Bytes>,
    },
    Failed {
        reason: String,
    },
    /// Stopped by an order of the owner, or stopped before it started.
    Stopped {
        checkpoint: Option<Bytes>,
    },
    /// The agent refused to start the attempt.
    Refused {
        reason: String,
    },
}

/// Outcome of an ended attempt, repeated in each report until the owner acknowledges it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskResult {
    pub attempt: AttemptId,
    pub outcome: Outcome,
}

/// Periodic status report of an agent to the owner of its cell.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    pub agent: AgentId,
    pub incarnation: Incarnation,
    /// Last [`Orders::challenge`] that this incarnation received; zero if there was none.
    pub echo: u64,
    pub cell: CellId,
    pub rack: String,
    pub sequence: u64,
    pub state: AgentState,
    /// Highest epoch of an owner whose orders the agent has accepted.
    pub epoch: Epoch,
    /// Capacity of the VM minus the resources reserved for its services.
    pub batch_capacity: Resources,
    /// Part of `batch_capacity` that is not reserved.
    pub free: Resources,
    /// Resources that urgent tasks may take. Exceeds `free` early in the lead time of a closing, when
    /// the closing's lower limit does not apply to urgent tasks yet.
    pub urgent_free: Resources,
    /// All attempts on the VM, including those that are starting or stopping.
    pub running: Vec<RunningTask>,
    pub results: Vec<TaskResult>,
    /// Slowdown of the VM's services caused by batch work, in percent. The estimate lags behind
    /// the current load.
    pub pressure_percent: u32,
}

/// Order to an agent to start an attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StartOrder {
    pub attempt: AttemptId,
    pub team: TeamId,
    pub class: String,
    pub need: Resources,
    pub urgent: bool,
    /// Opaque command for the worker.
    pub command: Bytes,
    pub checkpoint: Option<Bytes>,
}

/// Order to an agent to stop an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopOrder {
    pub attempt: AttemptId,
    /// Whether to take a checkpoint first.
    pub checkpoint: bool,
}

/// The owner's reply to a [`Report`].
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Orders {
    pub epoch: Epoch,
    /// Sequence number of the answered report. The lease begins when that report was sent.
    pub sequence: u64,
    /// Random number that the agent returns as [`Report::echo`], to prove that the reporting
    /// incarnation is live. Zero if there is none.
    pub challenge: u64,
    /// Length of the lease on all attempts of the agent. Zero extends no lease and starts nothing.
    pub lease: Duration,
    pub starts: Vec<StartOrder>,
    pub stops: Vec<StopOrder>,
    /// Attempts whose results are committed and need not be reported again.
    pub acknowledged: Vec<AttemptId>,
}
