//! Messages between the owner, the agents and the other entry processes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::intake::Demand;
use super::model::{JobNumber, Run, TaskId};
use super::progress::Phase;
use crate::resources::Resources;

/// Sequence number of an end within one incarnation of a worker.
pub type EndNumber = u64;
/// Factor by which the interference weights of image pairs are multiplied to send them as integers.
pub const WEIGHT_SCALE: f64 = 1_000.0;
/// Maximum number of ends in one listing of a worker. It lists the others once these are
/// acknowledged.
pub const MAX_LISTED_ENDS: usize = 500;
/// Permission in a pong to an agent that has not reported its worker's state yet. The worker may run
/// tasks that the owner has given up or is about to give up, so that its permission must not be
/// renewed. Too short to have an effect, but not zero, which says that the owner's lease has ended.
pub const NO_PERMISSION: Duration = Duration::from_millis(1);
/// Hash of the name of the program that a task runs.
pub type Image = u32;
/// Fencing token of an order to a worker: the owner's epoch, the number of the agent's session, and
/// a counter within the session. A worker refuses orders with a lower token than the highest that
/// it has received.
pub type Token = u64;

/// Position of the session number in a token; the bits below hold the counter.
const SESSION_SHIFT: u32 = 12;
/// Position of the owner's epoch in a token.
const EPOCH_SHIFT: u32 = 32;

/// Returns the lowest token of an agent's session with the owner of an epoch.
pub fn session_token(epoch: u32, session: u32) -> Token {
    (u64::from(epoch) << EPOCH_SHIFT) | (u64::from(session) << SESSION_SHIFT)
}

/// Returns the next token of the same session; `None` if the session has no higher one.
pub fn next_token(token: Token) -> Option<Token> {
    let next = token.checked_add(1)?;
    (next >> SESSION_SHIFT == token >> SESSION_SHIFT).then_some(next)
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// The task has finished successfully.
    Done,
    /// The task or the worker failed.
    Failed,
    /// The owner ordered to stop the run.
    Stopped,
    /// The worker's permission to run tasks expired.
    Lapsed,
    /// Another task of the same gang ended.
    Broken,
    /// The other tasks of the gang did not start in time.
    Alone,
}

/// The end of a run. A worker includes each end in its listings until the owner acknowledges it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Sequence number, by which the end is acknowledged.
    pub number: EndNumber,
    pub task: TaskId,
    pub run: Run,
    pub kind: EndKind,
    /// Newest checkpoint of the run; empty if there is none.
    pub checkpoint: String,
}

/// A run that is in progress on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    pub task: TaskId,
    pub run: Run,
    /// Newest checkpoint of the run; empty if there is none.
    pub checkpoint: String,
    /// Progress in percent; 100 for a long-running task that is ready.
    pub percent: u32,
    /// Tail latency in ms for a serving task, otherwise CPU usage in thousandths of a core.
    pub load: u64,
}

/// A run that was lost when the worker's process exited.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostRun {
    pub task: TaskId,
    pub run: Run,
    /// Time from the order to start the run to the exit.
    pub age: Duration,
}

/// Description of one incarnation of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Worker ID; unique for each incarnation.
    pub id: String,
    /// Service whose jobs the worker runs.
    pub service: String,
    /// Zone in which the worker runs.
    pub zone: String,
    /// Resources that the worker offers to tasks.
    pub capacity: Resources,
    /// Labels that a step may require; by convention the machine kind comes first and the rack
    /// second.
    pub labels: Vec<String>,
    /// Whether the worker is shutting down and accepts no more tasks.
    pub draining: bool,
    /// Minimum time until a draining worker exits.
    pub remaining: Option<Duration>,
}

impl WorkerInfo {
    /// Tells whether two descriptions of an incarnation differ in what placement goes by, apart from
    /// draining.
    pub fn is_changed(&self, other: &WorkerInfo) -> bool {
        (self.capacity, &self.labels, &self.service, &self.zone)
            != (other.capacity, &other.labels, &other.service, &other.zone)
    }
}

/// Properties of a task that its agent uses to set its pace and to detect stalls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskTraits {
    pub long_running: bool,
    pub best_effort: bool,
    /// Target for the tail latency, in milliseconds; 0 if there is none.
    pub target_ms: u32,
    /// Requested CPU in thousandths of a core.
    pub cpu_milli: u64,
    pub image: Image,
}

/// Changes of tail latency and CPU usage on a worker between two successive listings of its tasks.
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
    /// Command that the worker executes; passed on unchanged.
    pub command: String,
    /// Checkpoint from which the task continues; empty to start from the beginning.
    pub checkpoint: String,
    pub ticket: String,
    pub traits: TaskTraits,
    /// Interference weight of a best-effort task's image on each serving image of the worker, in
    /// units of 1 / [`WEIGHT_SCALE`]; empty for other tasks.
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
    /// First report in a session: the runs and ends that the worker listed after it began to refuse
    /// orders of older sessions. `worker` is `None` if no worker runs on the node.
    Attach { worker: Option<WorkerInfo>, running: Vec<Running>, ends: Vec<End> },
    /// Ends that the agent has not sent before in this session.
    Ends { worker: String, ends: Vec<End> },
    /// The start of the run was not carried out and will not be carried out later.
    NotStarted { task: TaskId, run: Run, reason: String },
    /// The worker is shutting down; `remaining` is the minimum time until it exits.
    Draining { worker: String, remaining: Option<Duration> },
    /// The worker process has exited, and all its runs with it.
    Gone { worker: String },
    /// Newest checkpoints of runs in progress.
    Checkpoints { rows: Vec<(TaskId, Run, String)> },
    /// The run makes no progress.
    Stalled { task: TaskId, run: Run },
    /// Asks to renew the worker's permission to run tasks, and reports the load on the worker.
    /// `sent` is the time on the agent's clock and is echoed in the answer.
    Ping {
        sent: Duration,
        pressure: Pressure,
        samples: Vec<Sample>,
        /// Estimated tail latency without best-effort tasks by serving image, in percent of the
        /// target.
        baselines: Vec<(Image, u32)>,
    },
    /// The worker process has crashed, and all its runs with it. `runs` are those whose age the agent
    /// knows. Sent again in each session until the owner has acknowledged it.
    Crashed { worker: String, runs: Vec<LostRun> },
    /// The worker describes itself in another way than before: its capacity, labels, service or zone has
    /// changed.
    Changed { worker: WorkerInfo },
    /// Runs in progress that the worker has begun since the last such message. Runs that have ended
    /// meanwhile are left out, as their ends tell the same.
    Started { rows: Vec<(TaskId, Run)> },
}

/// Message from the owner to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerMessage {
    /// Opens a session of the agent with the owner. `token` is the lowest token of the session.
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
    /// Acknowledges the ends of runs on the worker up to sequence number `number`: their effects
    /// are durable, so the worker no longer lists them.
    Seen {
        worker: String,
        number: EndNumber,
    },
    /// Properties of tasks that already ran when the session began.
    Traits {
        rows: Vec<(TaskId, TaskTraits)>,
    },
    /// Extends the worker's permission to run tasks until `sent` plus `permission`. `permission` is
    /// zero while the owner cannot renew its lease: the agent then checks for another owner and
    /// stays connected if there is none.
    Pong {
        sent: Duration,
        permission: Duration,
        entries: Vec<SocketAddr>,
        /// Interference weight of each pair of a serving and a best-effort image on the worker, in
        /// units of 1 / [`WEIGHT_SCALE`].
        weights: Vec<(Image, Image, u32)>,
    },
    /// Acknowledges the report of a worker's crash: its effect is durable.
    CrashSeen {
        worker: String,
    },
}

/// Request from an entry process to the owner. `query` is echoed in the reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryRequest {
    /// Asks for the phase of a job.
    State { query: u64, job: JobNumber },
    /// Asks for the number of jobs of a queue of which no task has started yet.
    Waiting { query: u64, queue: String },
    /// Stores a job on behalf of an entry that cannot write to the store. `record` is the encoded
    /// job.
    Submit { query: u64, job: JobNumber, record: Bytes },
    /// Stores a cancellation of a job.
    Cancel { query: u64, job: JobNumber },
    /// Asks whether the owner holds a valid lease.
    Ping,
    /// Answers a probe: the store answers this entry.
    StoreReached,
    /// Asks whether a job of a service that is short of capacity is admitted.
    Admit { query: u64, job: JobNumber, demand: Demand },
}

/// Reply from the owner to an entry process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerReply {
    /// This process is not the owner; `owner` is `None` if the owner is not known.
    Redirect {
        owner: Option<SocketAddr>,
    },
    /// Phase of the job; `None` if the job is not known.
    State {
        query: u64,
        state: Option<Phase>,
    },
    Waiting {
        query: u64,
        count: Option<u64>,
    },
    /// Answers a submission or a cancellation.
    Stored {
        query: u64,
        outcome: Stored,
    },
    /// Answers a ping. `entries` are the addresses of other entry processes; `is_valid` tells
    /// whether the owner holds a valid lease.
    Pong {
        entries: Vec<SocketAddr>,
        is_valid: bool,
        /// Services that are short of capacity, for whose jobs the owner is to be asked.
        short: Vec<String>,
    },
    /// Asks whether the store answers the entry, because it does not answer the owner.
    Probe,
    /// The owner has given up the ownership of this epoch. The entry may replace the owner's lock
    /// before its lease ends.
    HandOver {
        epoch: u32,
    },
    /// Decision on the admission of a job: the time after which a refused caller is to return; `None` if
    /// the job is admitted.
    Admission {
        query: u64,
        retry_after: Option<Duration>,
    },
}

/// Answer to a request to store a job or a cancellation: whether its record is in the store.
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
    /// The agent on a node.
    Agent { node: String },
    /// The entry process on a node, and the address at which it accepts connections.
    Entry { node: String, address: SocketAddr },
    /// An entry that asks another one for newer routes than those of `version`. The answer is one
    /// [`RoutesReply`].
    Routes { version: u64 },
    /// An operator who asks where the tasks of a job would go now. `job` is an encoded
    /// [`ExplainJob`](super::explain::ExplainJob). The answer is one
    /// [`ExplainReply`](super::explain::ExplainReply).
    Explain { job: Bytes },
}

/// What an entry knows of the newest routes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutesReply {
    /// Version of the entry's routes; 0 if it has none.
    pub version: u64,
    /// Time since these routes were last known to be the newest ones; `None` if they never were.
    pub age: Option<Duration>,
    /// The stored configuration with its revision, if it is newer than that of the asking entry.
    pub newer: Option<(u64, Bytes)>,
}
