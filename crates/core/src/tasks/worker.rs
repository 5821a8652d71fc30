//! Messages of the platform's worker API (HTTP with JSON).
//!
//! Leases are stated as times on the worker's own clock, which each list carries. A request that
//! is delayed on its way, or by a pause of either side, can therefore never extend a lease. Only
//! the last agent that claimed the worker can start tasks, so that a start that an agent sent just
//! before it was killed cannot arrive after its successor has listed the tasks.

use serde::{Deserialize, Serialize};

use crate::id::{Epoch, TeamId};
use crate::message::report::AttemptId;
use crate::resources::Resources;

/// Reply to `GET /v1/tasks`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerList {
    /// Changes when the worker restarts and its clock with it.
    pub instance: u64,
    /// Worker's monotonic clock when the list was made.
    pub now_ms: u64,
    /// Number of the last claim.
    pub controller: u64,
    pub capacity: Resources,
    pub tasks: Vec<WorkerTask>,
}

/// One task that the worker runs, or whose result it keeps.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerTask {
    pub attempt: AttemptId,
    pub team: TeamId,
    pub class: String,
    pub need: Resources,
    pub urgent: bool,
    pub speed_percent: u8,
    /// Last measured usage; zero while none is known.
    pub usage: Resources,
    pub valid_until_ms: u64,
    /// Checkpoint that the task was started from.
    pub checkpoint: Option<String>,
    /// Set once the task has ended and holds no resources.
    pub outcome: Option<WorkerOutcome>,
}

/// How a task ended on the worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerOutcome {
    Completed,
    Failed {
        reason: String,
    },
    Stopped {
        checkpoint: Option<String>,
    },
    /// The worker stopped the task because its lease ran out.
    Expired {
        checkpoint: Option<String>,
    },
}

/// Body of `POST /v1/claim`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The claim to keep; refused if it is not the last one. `None` makes a new one.
    pub keep: Option<Claim>,
    /// Highest epoch of the cell that the agent has seen.
    pub epoch: Epoch,
}

/// Reply to `POST /v1/claim`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimReply {
    pub claim: Claim,
    /// Highest epoch that any claim of this instance named. Outlives the agent, so that a restarted
    /// one obeys no owner that its predecessor had refused.
    pub epoch: Epoch,
}

/// Right to start tasks. Each new claim gets a higher number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    pub instance: u64,
    pub controller: u64,
}

/// Body of `POST /v1/tasks`. Repeating it for a task that exists has no effect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StartTask {
    pub claim: Claim,
    pub valid_until_ms: u64,
    pub attempt: AttemptId,
    pub team: TeamId,
    pub class: String,
    pub need: Resources,
    pub urgent: bool,
    pub command: String,
    pub checkpoint: Option<String>,
    pub speed_percent: u8,
}

/// Body of `POST /v1/renew`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RenewTasks {
    pub instance: u64,
    pub leases: Vec<TaskLease>,
}

/// New end of the lease on one task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskLease {
    pub attempt: AttemptId,
    pub valid_until_ms: u64,
}

/// Body of `POST /v1/tasks/<id>/stop`. Also bars a later start of the same or an older token.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StopTask {
    pub attempt: AttemptId,
}

/// Body of `POST /v1/tasks/<id>/checkpoint`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CheckpointTask {
    /// Ends the task at the checkpoint.
    pub stop: bool,
}

/// Reply to `POST /v1/tasks/<id>/checkpoint`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Checkpoint {
    pub checkpoint: String,
}

/// Body of `POST /v1/tasks/<id>/throttle`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ThrottleTask {
    pub speed_percent: u8,
}

/// Returns the name of an attempt in paths of the worker API. Different attempts have different
/// names, whatever characters a job id contains.
pub fn task_path_id(attempt: &AttemptId) -> String {
    let mut id = String::with_capacity(attempt.job.len() + 24);
    for byte in attempt.job.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' => id.push(char::from(byte)),
            _ => id.push_str(&format!("_{byte:02x}")),
        }
    }
    let token = attempt.token;
    id.push_str(&format!(".{}.{}.{}", attempt.task, token.epoch, token.number));
    id
}
