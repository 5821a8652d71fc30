//! Messages of the platform's worker API, sent as JSON over HTTP.
//!
//! The worker is the platform process that runs batch tasks on a VM. Leases end at times on the
//! worker's own clock, which each task list contains. A request that is delayed in the network or by
//! a paused process can therefore never extend a lease. Only the agent with the latest claim can
//! start tasks. Otherwise a start that an agent sent just before it was killed could arrive after
//! its successor has listed the tasks.

use serde::{Deserialize, Serialize};

use crate::id::{Epoch, TeamId};
use crate::message::report::AttemptId;
use crate::resources::Resources;

/// Reply to `GET /v1/tasks`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerList {
    /// Instance of the worker process; changes when the worker, and with it its clock, restarts.
    pub instance: u64,
    /// Worker's monotonic clock at the time of the list, in milliseconds.
    pub now_ms: u64,
    /// Number of the latest claim.
    pub controller: u64,
    pub capacity: Resources,
    pub tasks: Vec<WorkerTask>,
}

/// Task that the worker runs, or whose result it keeps until its removal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerTask {
    pub attempt: AttemptId,
    pub team: TeamId,
    pub class: String,
    pub need: Resources,
    pub urgent: bool,
    pub speed_percent: u8,
    /// Last measured usage; zero before the first measurement.
    pub usage: Resources,
    /// End of the lease on the worker's clock.
    pub valid_until_ms: u64,
    /// Checkpoint from which the task was started.
    pub checkpoint: Option<String>,
    /// Set once the task has ended and released its resources.
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
    /// The worker stopped the task because its lease expired.
    Expired {
        checkpoint: Option<String>,
    },
}

/// Body of `POST /v1/claim`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Claim to confirm; refused unless it is the latest one. `None` requests a new claim.
    pub keep: Option<Claim>,
    /// Highest epoch of the cell that the agent has seen.
    pub epoch: Epoch,
}

/// Reply to `POST /v1/claim`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimReply {
    pub claim: Claim,
    /// Highest epoch in any claim of this worker instance. The worker keeps it across restarts of
    /// the agent, so that a restarted agent rejects a former owner just as its predecessor did.
    pub epoch: Epoch,
}

/// Exclusive right of an agent to start tasks on a worker. Acts as a fencing token: a new claim has
/// a higher `controller` number, and the worker rejects starts with an older one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    pub instance: u64,
    pub controller: u64,
}

/// Body of `POST /v1/tasks`. Idempotent: has no effect if the task exists.
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

/// New end of the lease on a task, on the worker's clock.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskLease {
    pub attempt: AttemptId,
    pub valid_until_ms: u64,
}

/// Body of `POST /v1/tasks/<id>/stop`. The worker also rejects later starts with the same or an older
/// token.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StopTask {
    pub attempt: AttemptId,
}

/// Body of `POST /v1/tasks/<id>/checkpoint`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CheckpointTask {
    /// Tells whether the task ends after the checkpoint.
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

/// Returns the id of an attempt in paths of the worker API. Bytes of the job id other than letters,
/// digits and `-` are escaped, so that different attempts have different ids.
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
