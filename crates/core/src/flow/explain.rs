//! Explains where the tasks of a job would go now, and why, by a dry run of placement.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::model::{JobNumber, JobSpec};
use super::owner::Owner;
use crate::time::Time;

/// Maximum number of explanations in [`LIMIT_INTERVAL`]: each copies the state of all nodes.
const MAX_EXPLANATIONS: u32 = 2;
/// Interval in which explanations are counted.
const LIMIT_INTERVAL: Duration = Duration::from_secs(1);

/// The job that an explanation is about.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ExplainJob {
    /// A job that the owner knows.
    Known(JobNumber),
    /// A job that is not submitted, on the queue that its queue's name selects.
    New(Box<JobSpec>),
}

/// Answer to a request to explain the placement of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExplainReply {
    /// This process is not the owner; `owner` is `None` if the owner is not known.
    Redirect {
        owner: Option<SocketAddr>,
    },
    /// Too many explanations were asked for; ask again after a second.
    Busy,
    /// The owner's lease is not valid, or the takeover of its predecessor's jobs is not finished.
    Unsettled,
    /// The job is not known, or has ended.
    UnknownJob,
    /// No queue has this name.
    UnknownQueue(String),
    Steps(Vec<ExplainedStep>),
}

/// Explanation of one step with tasks that wait.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedStep {
    pub occurrence: u32,
    pub step: u16,
    /// Whether the steps that this one depends on are done. If not, the rest is empty.
    pub is_ready: bool,
    /// Number of tasks that wait, before the dry run.
    pub waiting: usize,
    /// Rank among the steps that wait, and their number.
    pub place: usize,
    pub queue: usize,
    /// Number of nodes, and of those that accept starts of the step.
    pub nodes: usize,
    pub open: u32,
    /// Number of nodes on which a task fits, and the names of the best of them, best first.
    pub fits: u32,
    pub kept: Vec<String>,
    /// Number of open nodes that cannot run a task, and of closed nodes, by the reason.
    pub misfits: Vec<(String, u32)>,
    pub closed: Vec<(String, u32)>,
    /// Tasks that would start now.
    pub starts: Vec<ExplainedStart>,
    /// Tasks that would wait for a near node of their own accord.
    pub near_waits: Vec<ExplainedWait>,
    /// Forecast time until a node has room for one more task, regardless of the queue, in milliseconds;
    /// `None` if it is not known or no task is left waiting.
    pub wait_ms: Option<u64>,
    /// Expected time until the last of the tasks that are placed ends, in milliseconds; `None` if its run
    /// time is not known or some tasks have no place.
    pub end_ms: Option<u64>,
}

/// A task that would start now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedStart {
    pub index: u32,
    pub node: String,
    /// Whether the task would run away from its rack.
    pub is_far: bool,
}

/// A task or gang that would wait for a near node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedWait {
    pub index: u32,
    pub rack: String,
    /// Time until the wait is given up, in milliseconds.
    pub limit_ms: u64,
}

/// Limit of the number of explanations.
#[derive(Debug, Default)]
pub(super) struct ExplainLimit {
    since: Time,
    count: u32,
}

impl ExplainLimit {
    /// Counts an explanation; tells whether it is within the limit.
    fn admit(&mut self, now: Time) -> bool {
        if now >= self.since + LIMIT_INTERVAL {
            *self = ExplainLimit { since: now, count: 0 };
        }
        self.count += 1;
        self.count <= MAX_EXPLANATIONS
    }
}

impl Owner {
    /// Explains where the waiting tasks of a job would go now. Changes nothing.
    pub fn explain(&mut self, now: Time, job: ExplainJob) -> ExplainReply {
        if !self.is_valid(now) || self.takeover_deadline.is_some() {
            return ExplainReply::Unsettled;
        }
        if !self.explain_limit.admit(now) {
            return ExplainReply::Busy;
        }
        let (number, spec) = match job {
            ExplainJob::Known(number) => (number, None),
            ExplainJob::New(spec) => (self.unused_job(), Some(*spec)),
        };
        let is_open = |number| self.jobs.get(number).is_some_and(|job| !job.phase.is_final());
        if spec.is_none() && !is_open(&number) {
            return ExplainReply::UnknownJob;
        }
        ExplainReply::Steps(self.dry_run(now, number, spec, |owner| owner.explain_job(now, number)))
    }

    /// Returns a job number that is above all known ones, or unused.
    fn unused_job(&self) -> JobNumber {
        let mut number = JobNumber::MAX;
        while self.jobs.contains_key(&number) {
            number -= 1;
        }
        number
    }
}
