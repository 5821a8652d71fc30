//! Messages between the owner, the agents and the other entry processes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::model::{JobNumber, Run, TaskId};
use super::progress::Phase;
use crate::resources::Resources;

/// Sequence number of an end within one incarnation of a worker.
pub type EndNumber = u64;
/// Factor by which interference weights are multiplied to send them as integers.
pub const WEIGHT_SCALE: f64 = 1_000.0;
/// Hash of the name of the program that a task runs.
pub type Image = u32;
/// Fencing token of an order: the owner's epoch, the session, and a counter within the session. A
/// worker refuses orders with a lower token than the highest it has received.
pub type Token = u64;

const SESSION_SHIFT: u32 = 12;
const EPOCH_SHIFT: u32 = 32;

/// Returns the lowest token of a session.
pub fn session_token(epoch: u32, session: u32) -> Token {
    (u64::from(epoch) << EPOCH_SHIFT) | (u64::from(session) << SESSION_SHIFT)
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    Done,
    /// The task or the worker failed.
    Failed,
    Stopped,
    /// The worker's permission expired.
    Lapsed,
    /// Another task of the same gang ended.
    Broken,
    /// The other tasks of the gang did not start in time.
    Alone,
}

/// The end of a run. A worker lists each end until it is acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    pub number: EndNumber,
    pub task: TaskId,
    pub run: Run,
    pub kind: EndKind,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// A run that is in progress on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    pub task: TaskId,
    pub run: Run,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Progress in percent; 100 for a long-running task that is ready.
    pub percent: u32,
    /// Tail latency in ms for a serving task, otherwise CPU usage in thousandths of a core.
    pub load: u64,
}

/// Description of one incarnation of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Unique for each incarnation.
    pub id: String,
    pub service: String,
    pub zone: String,
    pub capacity: Resources,
    /// Machine kind, then rack.
    pub labels: Vec<String>,
    pub draining: bool,
    /// Minimum time until a draining worker exits.
    pub remaining: Option<Duration>,
}

/// Properties of a task that its agent uses to set its pace and to detect stalls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskTraits {
    pub long_running: bool,
    pub best_effort: bool,
    /// Target for the tail latency; 0 if there is none.
    pub target_ms: u32,
    /// Requested CPU in thousandths of a core.
    pub cpu_milli: u64,
    pub image: Image,
}

/// Changes on a worker between two successive listings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Mean change of the natural logarithm of the tail latency by serving image, in thousandths.
    pub rises: Vec<(Image, i32)>,
    /// Change of CPU usage by best-effort image, in thousandths of a core.
    pub changes: Vec<(Image, i32)>,
}

/// An order to start a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    pub task: TaskId,
    pub run: Run,
    pub command: String,
    pub checkpoint: String,
    pub ticket: String,
    pub traits: TaskTraits,
    /// Interference weights of the task's image on each serving image of the worker.
    pub weights: Vec<(Image, u32)>,
}

/// Load on a worker: throttling of best-effort tasks and tail latency of serving tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pressure {
    /// CPU that best-effort tasks may use, in percent of what they request.
    pub level: u32,
    /// Highest tail latency of a serving task, in percent of its target.
    pub tail_percent: u32,
}

impl Default for Pressure {
    fn default() -> Self {
        Pressure { level: 100, tail_percent: 0 }
    }
}

/// Message from an agent to the owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// The worker's state, listed after it began to refuse the orders of older sessions. `worker`
    /// is `None` if no worker runs on the node.
    Attach {
        worker: Option<WorkerInfo>,
        running: Vec<Running>,
        ends: Vec<End>,
    },
    Ends {
        worker: String,
        ends: Vec<End>,
    },
    /// The start was not carried out and will not be carried out later.
    NotStarted {
        task: TaskId,
        run: Run,
        reason: String,
    },
    /// The worker is shutting down; `remaining` is the minimum time until it exits.
    Draining {
        worker: String,
        remaining: Option<Duration>,
    },
    /// The worker process has exited, and all its runs with it.
    Gone {
        worker: String,
    },
    /// Newest checkpoints of runs in progress.
    Checkpoints {
        rows: Vec<(TaskId, Run, String)>,
    },
    /// The run makes no progress.
    Stalled {
        task: TaskId,
        run: Run,
    },
    /// Asks to renew the permission; `sent` is the agent's clock and is echoed in the answer.
    Ping {
        sent: Duration,
        pressure: Pressure,
        samples: Vec<Sample>,
        /// Estimated tail latency without best-effort tasks by serving image, in percent of the
        /// target.
        baselines: Vec<(Image, u32)>,
    },
}

/// Message from the owner to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerMessage {
    /// Opens a session.
    Welcome {
        token: Token,
        /// Other entries to connect to when this one fails.
        entries: Vec<SocketAddr>,
    },
    /// This process is not the owner; `owner` is `None` if the owner is not known.
    Redirect {
        owner: Option<SocketAddr>,
    },
    Start(Box<Start>),
    Stop {
        task: TaskId,
        run: Run,
    },
    /// Acknowledges that ends up to `number` are durable.
    Seen {
        worker: String,
        number: EndNumber,
    },
    /// Properties of tasks that already ran when the session began.
    Traits {
        rows: Vec<(TaskId, TaskTraits)>,
    },
    /// Extends the permission to `sent` plus `permission`. `permission` is zero while the owner
    /// cannot renew its lease: the agent then checks for another owner and stays connected if there
    /// is none.
    Pong {
        sent: Duration,
        permission: Duration,
        entries: Vec<SocketAddr>,
        /// Interference weights by serving and best-effort image.
        weights: Vec<(Image, Image, u32)>,
    },
}

/// Request from an entry process to the owner. `query` is echoed in the reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryRequest {
    State {
        query: u64,
        job: JobNumber,
    },
    Waiting {
        query: u64,
        queue: String,
    },
    /// Stores a job on behalf of an entry that cannot write to the store. `record` is the encoded
    /// job.
    Submit {
        query: u64,
        job: JobNumber,
        record: Bytes,
    },
    Cancel {
        query: u64,
        job: JobNumber,
    },
    Ping,
}

/// Reply from the owner to an entry process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerReply {
    /// This process is not the owner; `owner` is `None` if the owner is not known.
    Redirect {
        owner: Option<SocketAddr>,
    },
    State {
        query: u64,
        state: Option<Phase>,
    },
    Waiting {
        query: u64,
        count: Option<u64>,
    },
    Stored {
        query: u64,
        outcome: Stored,
    },
    /// `is_valid` tells whether the owner holds a valid lease.
    Pong {
        entries: Vec<SocketAddr>,
        is_valid: bool,
    },
}

/// Outcome of storing a job or a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stored {
    /// The record is durable, from this request or an earlier one.
    Yes,
    /// Nothing was stored and nothing will be stored later.
    No,
    /// The job does not exist.
    Unknown,
    /// The record may or may not be stored.
    Unclear,
}

/// First message on an internal connection; identifies the client.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Greeting {
    Agent { node: String },
    Entry { node: String, address: SocketAddr },
}
