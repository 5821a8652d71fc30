//! Messages between the owner, the agents and the other entries.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::model::{JobNumber, Run, TaskId};
use super::progress::Phase;
use crate::resources::Resources;

/// Number of an end in one life of a worker.
pub type EndNumber = u64;
/// Learned weights are sent as whole multiples of one over this.
pub const WEIGHT_SCALE: f64 = 1_000.0;
/// Number that stands for what a task runs.
pub type Image = u32;
/// Order authority at a worker: owner's epoch, session, and step within the session.
pub type Token = u64;

const SESSION_SHIFT: u32 = 12;
const EPOCH_SHIFT: u32 = 32;

/// Builds the first token of a session.
pub fn session_token(epoch: u32, session: u32) -> Token {
    (u64::from(epoch) << EPOCH_SHIFT) | (u64::from(session) << SESSION_SHIFT)
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    Done,
    /// By its own or the worker's fault.
    Failed,
    Stopped,
    /// Its permission had run out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// Its gang was not complete in time.
    Alone,
}

/// An end that a worker lists until it is acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    pub number: EndNumber,
    pub task: TaskId,
    pub run: Run,
    pub kind: EndKind,
    /// Newest checkpoint; empty: none.
    pub saved: String,
}

/// A run that a worker lists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    pub task: TaskId,
    pub run: Run,
    pub saved: String,
    pub percent: u32,
    /// Tail latency in ms of a serving task, otherwise thousandths of a core.
    pub load: u64,
}

/// A worker in one life.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// New in each life.
    pub id: String,
    pub service: String,
    pub zone: String,
    pub capacity: Resources,
    /// Kind and rack.
    pub labels: Vec<String>,
    pub draining: bool,
    /// Shortest time that a draining worker has left.
    pub remaining: Option<Duration>,
}

/// What an agent needs to know of a task to pace it and to judge its progress.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskTraits {
    pub long_running: bool,
    pub best_effort: bool,
    pub target_ms: u32,
    pub cpu_milli: u64,
    pub image: Image,
}

/// What changed on a worker between two looks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Mean rise of the logarithm of the tail by serving image, in thousandths.
    pub rises: Vec<(Image, i32)>,
    /// Change of the processors in use by fill image, in thousandths of a core.
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
    /// Learned weights of the task's image beside the serving images of the worker.
    pub weights: Vec<(Image, u32)>,
}

/// How the tasks that serve on a worker fare beside those that fill.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pressure {
    /// Processors that fill tasks may use, in percent of what they ask for.
    pub level: u32,
    /// Highest tail latency, in percent of its target.
    pub tail_percent: u32,
}

impl Default for Pressure {
    fn default() -> Self {
        Pressure { level: 100, tail_percent: 0 }
    }
}

/// From an agent to the owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// The worker's state after it has refused all older orders. `None`: no worker runs here.
    Attach {
        worker: Option<WorkerInfo>,
        running: Vec<Running>,
        ends: Vec<End>,
    },
    Ends {
        worker: String,
        ends: Vec<End>,
    },
    /// The start was not carried out and never will be.
    NotStarted {
        task: TaskId,
        run: Run,
        reason: String,
    },
    /// The worker is leaving.
    Draining {
        worker: String,
        remaining: Option<Duration>,
    },
    /// The worker has ended, with all that ran on it.
    Gone {
        worker: String,
    },
    /// Newest checkpoints of what runs.
    Saved {
        rows: Vec<(TaskId, Run, String)>,
    },
    /// The task makes no progress.
    Stalled {
        task: TaskId,
        run: Run,
    },
    /// Asks for permission to go on; `sent` is the agent's clock and comes back unchanged.
    Ping {
        sent: Duration,
        pressure: Pressure,
        samples: Vec<Sample>,
        /// Expected tails without fill tasks by serving image, in percent of the target.
        baselines: Vec<(Image, u32)>,
    },
}

/// From the owner to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerMessage {
    Welcome {
        token: Token,
        /// Other entries to ask when this one is lost.
        entries: Vec<SocketAddr>,
    },
    /// Another process owns the work, or nobody that is known here.
    Redirect {
        owner: Option<SocketAddr>,
    },
    Start(Box<Start>),
    Stop {
        task: TaskId,
        run: Run,
    },
    /// Ends up to this number are durable.
    Seen {
        worker: String,
        number: EndNumber,
    },
    Traits {
        rows: Vec<(TaskId, TaskTraits)>,
    },
    /// Permission until `sent` plus `permission`. None while the owner cannot renew its lease: the
    /// agent looks whether there is another owner, and stays if not.
    Pong {
        sent: Duration,
        permission: Duration,
        entries: Vec<SocketAddr>,
        /// Learned weights by serving and fill image.
        weights: Vec<(Image, Image, u32)>,
    },
}

/// From an entry to the owner.
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
    /// Stores a job for an entry that the store turns away. `record` is its stored form.
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

/// From the owner to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerReply {
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
    /// `is_valid`: whether the owner's lease is renewed.
    Pong {
        entries: Vec<SocketAddr>,
        is_valid: bool,
    },
}

/// Outcome of storing a job or a cancel.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stored {
    /// It lasts, or did before.
    Yes,
    /// Nothing was stored and nothing will be.
    No,
    /// There is no such job.
    Unknown,
    /// It may or may not be stored.
    Unclear,
}

/// First bytes on an internal connection: who connects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Greeting {
    Agent { node: String },
    Entry { node: String, address: SocketAddr },
}
