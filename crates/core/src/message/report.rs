//! Reports of agents to the owner of their cell, and the owner's orders.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{AgentId, CellId, Epoch, Incarnation, JobId, TaskIndex, TeamId};
use crate::message::announce::AgentState;
use crate::resources::Resources;

/// Fencing token of one attempt to run a task. Only rises for a task.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Token {
    pub epoch: Epoch,
    pub number: u64,
}

/// Identity of one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    pub job: JobId,
    pub task: TaskIndex,
    pub token: Token,
}

/// An attempt that an agent holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunningTask {
    pub attempt: AttemptId,
    /// Last usage measured by the worker; zero while none is known.
    pub measured: Resources,
    /// Share of full speed that the task is allowed, in percent.
    pub speed_percent: u8,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    Completed,
    /// Stopped before the end; resumes from the checkpoint, if any.
    Evicted {
        checkpoint: Option<Bytes>,
    },
    Failed {
        reason: String,
    },
    /// Stopped by order, or never started.
    Stopped {
        checkpoint: Option<Bytes>,
    },
    /// The agent refused to start it.
    Refused {
        reason: String,
    },
}

/// An ended attempt, repeated in each report until the owner acknowledges it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskResult {
    pub attempt: AttemptId,
    pub outcome: Outcome,
}

/// What an agent tells the owner of its cell.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    pub agent: AgentId,
    pub incarnation: Incarnation,
    /// Last challenge that this incarnation received; zero before any.
    pub echo: u64,
    pub cell: CellId,
    pub rack: String,
    pub sequence: u64,
    pub state: AgentState,
    /// Highest epoch of the cell that the agent has accepted.
    pub epoch: Epoch,
    /// Capacity of the VM after the limits of its services.
    pub batch_capacity: Resources,
    /// Part of `batch_capacity` that is not reserved.
    pub free: Resources,
    /// What urgent work may take; more than `free` while a closing is being prepared.
    pub urgent_free: Resources,
    /// All attempts on the VM, also those that are starting or stopping.
    pub running: Vec<RunningTask>,
    pub results: Vec<TaskResult>,
    /// Slow-down of the VM's services caused by batch work, in percent; lags.
    pub pressure_percent: u32,
}

/// Order to start an attempt.
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

/// Order to stop an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopOrder {
    pub attempt: AttemptId,
    /// Takes a checkpoint first.
    pub checkpoint: bool,
}

/// The owner's answer to a [`Report`].
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Orders {
    pub epoch: Epoch,
    /// Sequence of the report that is answered. The lease counts from when that report was sent.
    pub sequence: u64,
    /// To be returned in the next reports; zero if there is none.
    pub challenge: u64,
    /// Lease on all attempts of the agent; zero grants nothing and starts nothing.
    pub lease: Duration,
    pub starts: Vec<StartOrder>,
    pub stops: Vec<StopOrder>,
    /// Results that are committed and need not be repeated.
    pub acknowledged: Vec<AttemptId>,
}
