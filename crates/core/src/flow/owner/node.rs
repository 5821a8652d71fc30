//! A node as the owner knows it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::Session;
use crate::flow::interference::Baseline;
use crate::flow::message::{EndNumber, Image, Pressure, WorkerInfo};
use crate::flow::model::{JobNumber, Run, TaskId};
use crate::flow::place::Quarantine;
use crate::flow::speed::{FullPace, Speed};
use crate::resources::Resources;
use crate::time::Time;

/// State of a node, its agent and its worker, as the owner knows it.
#[derive(Debug, Clone)]
pub struct Node {
    pub name: String,
    /// Session of the node's agent; `None` while the agent is not connected.
    pub session: Option<Session>,
    /// When that session was opened.
    pub(in crate::flow) connected_at: Time,
    /// Whether the agent has reported its worker's state in this session.
    pub is_attached: bool,
    /// When the worker's permission to run tasks was last renewed.
    pub last_pong: Time,
    /// When the agent sent its newest ping of this session that came before its report, by its own
    /// clock. The report renews the permission in answer to it.
    pub(in crate::flow) early_ping: Option<Duration>,
    /// The node's worker; `None` if none is running as far as the owner knows.
    pub worker: Option<WorkerInfo>,
    /// Service of the node's worker, or of its last one; empty before the first.
    pub(in crate::flow) last_service: String,
    /// Resources reserved by all tasks on the node.
    pub used: Resources,
    /// Resources reserved by long-running tasks on the node.
    pub long_running: Resources,
    /// Load on the worker, as its agent last reported.
    pub pressure: Pressure,
    /// Since when the worker's best-effort tasks have run at full pace.
    pub(in crate::flow) full_pace: FullPace,
    /// Estimated speed of the worker.
    pub(in crate::flow) speed: Speed,
    /// CPU requested by best-effort tasks, by image, in thousandths of a core.
    pub(in crate::flow) best_effort_cpu: BTreeMap<Image, u64>,
    /// Sum of `best_effort_cpu`.
    pub(in crate::flow) total_best_effort_cpu: u64,
    /// Number of serving tasks by image, and their estimated tail latency without best-effort
    /// tasks.
    pub(in crate::flow) serving: BTreeMap<Image, (u32, Baseline)>,
    /// Runs in progress on the node, by task.
    pub tasks: BTreeMap<TaskId, Run>,
    /// Sequence number of the last end of a run received from the worker; 0 if none.
    pub last_end: EndNumber,
    /// Sequence number of the last end of a run that was acknowledged to the worker; 0 if none.
    pub(in crate::flow) acknowledged: EndNumber,
    /// Ends of runs that have not been acknowledged to the worker, each with the job and the
    /// version of the job's record that must become durable first.
    pub(in crate::flow) pending_acks: VecDeque<(EndNumber, JobNumber, u64)>,
    /// Number of failures on the node since a task last finished there. Only the first failure of
    /// each job counts, because a job that fails repeatedly is itself faulty.
    pub(in crate::flow) failure_streak: u32,
    /// Number of times that the node has rejected starts since a run last ended there by itself.
    pub(in crate::flow) refusals: u32,
    /// When a rejected start was last counted in `refusals`.
    pub(in crate::flow) refused_at: Option<Time>,
    /// When a task was last started on the node while it rested.
    pub(in crate::flow) tried_at: Option<Time>,
    /// Until when no tasks are started on the node, because runs failed or stalled there, or it
    /// rejected starts.
    pub(in crate::flow) backoff_until: Time,
    /// Whether the worker's zone is evacuated.
    pub(in crate::flow) is_evacuated: bool,
    /// Until when the node ranks behind others, because its zone has just returned to service.
    pub(in crate::flow) ranks_behind_until: Time,
    /// State of a node that takes no starts but those of tasks suspected of a crash; `None` if it takes
    /// all.
    pub(in crate::flow) quarantine: Option<Quarantine>,
    /// When the draining worker exits; `Time::MAX` once its tasks are being moved.
    pub(in crate::flow) drain_deadline: Option<Time>,
    /// Runs on the worker that are being stopped and are no longer tracked in the state of a step.
    /// No tasks are started on the node while there are any.
    pub(in crate::flow) stale_runs: BTreeSet<(TaskId, Run)>,
    /// Whether the durable roster contains the node, so that a successor would wait for it.
    pub(in crate::flow) in_roster: bool,
}

impl Node {
    pub(super) fn new(name: &str, now: Time) -> Self {
        Node {
            name: name.to_owned(),
            session: None,
            connected_at: now,
            is_attached: false,
            last_pong: now,
            early_ping: None,
            worker: None,
            last_service: String::new(),
            used: Resources::default(),
            long_running: Resources::default(),
            pressure: Pressure::default(),
            full_pace: FullPace::default(),
            speed: Speed::default(),
            best_effort_cpu: BTreeMap::new(),
            total_best_effort_cpu: 0,
            serving: BTreeMap::new(),
            tasks: BTreeMap::new(),
            last_end: 0,
            acknowledged: 0,
            pending_acks: VecDeque::new(),
            failure_streak: 0,
            refusals: 0,
            refused_at: None,
            tried_at: None,
            backoff_until: Time::ZERO,
            is_evacuated: false,
            ranks_behind_until: Time::ZERO,
            quarantine: None,
            drain_deadline: None,
            stale_runs: BTreeSet::new(),
            in_roster: false,
        }
    }
}
