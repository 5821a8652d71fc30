//! What one placement round works with: its nodes, the requests that it has rejected, and the reasons.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

use super::Candidate;
use crate::flow::message::Image;
use crate::flow::model::Step;
use crate::flow::owner::Slot;
use crate::resources::Resources;
use crate::time::Time;

/// Sort key of the nodes that can run a task; the node with the smallest key is chosen. In order:
/// - whether the node's zone has just returned to service after an evacuation;
/// - whether tasks have failed or been rejected there since one last finished, or the worker is slow
///   and the task ends; on a resting node, how often tasks have failed;
/// - whether the node is outside the rack that is preferred for the task;
/// - for a serving task, the number of serving images on the node other than its own;
/// - for a long-running task, the CPU reserved there by long-running tasks, most first;
/// - the free CPU, least first for a long-running task and most first for others; for a best-effort
///   task, the cost of its interference instead.
pub(super) type Score = (bool, u32, bool, usize, Reverse<u64>, u64);

/// Nodes by the service of their workers.
pub(super) type NodesByService = HashMap<String, Vec<Slot>>;

/// By which rules a search chooses nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Mode {
    /// Tasks start on open nodes where they fit and interfere little.
    Ranked,
    /// One task of a starved best-effort step starts on any open node where its reservation fits.
    Relief,
    /// One task of a starved step starts on a node that rests after failures.
    Resting,
}

/// State of one placement round.
#[derive(Debug)]
pub(super) struct Round {
    pub(super) now: Time,
    /// Nodes that accept starts, by the service of their workers.
    pub(super) open_nodes: NodesByService,
    /// Nodes that rest after failures, by the service of their workers.
    pub(super) resting_nodes: NodesByService,
    /// Requests that found no node.
    pub(super) rejected: Vec<Request>,
    /// Nodes whose free capacity is held for waiting long-running tasks.
    pub(super) held_nodes: HashSet<Slot>,
    /// CPU request, in thousandths of a core, above which a best-effort task is large on some node.
    pub(super) large: u64,
}

impl Round {
    /// Tells whether another node of a service may be held: at most half of them, or one, so that
    /// long-running tasks that wait do not keep all others from starting.
    pub(super) fn may_hold(&self, service: &str) -> bool {
        let open = self.open_nodes.get(service).map_or(&[][..], Vec::as_slice);
        let held = open.iter().filter(|slot| self.held_nodes.contains(slot)).count();
        held < (open.len() / 2).max(1)
    }
}

/// What a task requests of a node, to tell whether another one can still find a node.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) service: String,
    /// Label that the worker must have.
    pub(super) label: Option<String>,
    pub(super) need: Resources,
    /// The part of `need` that a task reserves.
    pub(super) reserved: Resources,
    pub(super) long_running: bool,
    /// Image of a best-effort task, whose interference decides too; `None` for other tasks.
    pub(super) best_effort: Option<Image>,
    pub(super) mode: Mode,
}

impl Request {
    /// Tells whether `self` finds no node if `other` found none. Starts only take room away during a
    /// round, and a larger task of the same image interferes more. The exception are best-effort
    /// tasks that are `large` on some node: the first one there needs less room than it requests.
    /// For relief, only what a task reserves counts.
    pub(super) fn is_at_least(&self, other: &Request, large: u64) -> bool {
        self.mode == other.mode
            && self.long_running == other.long_running
            && self.service == other.service
            && (other.label.is_none() || self.label == other.label)
            && match (self.best_effort, other.best_effort) {
                (Some(_), Some(_)) if self.mode != Mode::Ranked => {
                    other.reserved.fits_in(&self.reserved)
                }
                (image, known) if image != known => false,
                (Some(_), _) if self.need.cpu_milli > large => self.need == other.need,
                _ => other.need.fits_in(&self.need),
            }
    }
}

/// Why no tasks may be started on a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Closure {
    /// No worker runs there as far as the owner knows.
    NoWorker,
    /// The agent is not connected, or has not reported its worker's state yet.
    Detached,
    /// The agent has not asked for a renewal of its permission for too long.
    Silent,
    /// A successor would not wait for the node yet.
    OffRoster,
    /// The operator has evacuated the worker's zone.
    Evacuated,
    /// The set of evacuated zones is not known, or too old.
    Unconfirmed,
    Draining,
    /// A run that the owner does not track has not ended yet.
    StaleRun,
    /// The node takes no starts but those of tasks suspected of a crash.
    Quarantine,
    /// Runs failed or stalled there, or it rejected starts.
    Backoff,
}

/// Why a node that accepts starts cannot run a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Misfit {
    /// The resources that the task reserves are not free.
    Room,
    /// Other tasks leave too little CPU idle for a best-effort task.
    Idle,
    /// The task would interfere too much with serving tasks.
    Interference,
    /// The node's free capacity is held for a long-running task.
    Held,
    /// The step has as many tasks there as it allows.
    Quota,
    /// The node rests, and another task has just been started there.
    Rest,
}

/// A step whose tasks look for nodes.
#[derive(Debug, Clone, Copy)]
pub(super) struct Search<'a> {
    pub(super) candidate: Candidate,
    pub(super) step: &'a Step,
    pub(super) image: Image,
    /// Preferred rack.
    pub(super) rack: Option<&'a str>,
    pub(super) mode: Mode,
}
