//! What the owner keeps of waits for near nodes: those in progress, counts, and learned run times.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::plan::Plan;
use super::{Costs, LearnedRatio, NearRule};
use crate::flow::model::TaskId;
use crate::flow::owner::{Owner, Slot};
use crate::flow::place::Candidate;
use crate::time::Time;

/// Maximum number of log lines about waits in a second.
const MAX_LINES: u32 = 8;
/// Interval in which the log lines are counted.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// How a wait for a near node ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum NearOutcome {
    /// The task started on the rack.
    Near,
    /// The wait did not pay any more, or the task started elsewhere.
    Far,
    /// The rack had no capacity long after the forecast time.
    Failed,
}

impl NearOutcome {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            NearOutcome::Near => "near",
            NearOutcome::Far => "far",
            NearOutcome::Failed => "failed",
        }
    }
}

/// End of a wait for a near node, to be counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NearWaitEnd {
    pub outcome: NearOutcome,
    pub waited: Duration,
}

/// A wait in progress of a task, or of a gang under the index of its first waiting task.
#[derive(Debug, Clone)]
pub(super) struct Wait {
    pub(super) rack: String,
    pub(super) since: Time,
    pub(super) until: Time,
    /// Number of times that a far node was offered.
    pub(super) offers: u32,
}

/// Rack of the workers of one service.
pub(super) type RackKey = (String, String);

/// State of waits for near nodes.
#[derive(Debug, Clone, Default)]
pub(in crate::flow) struct NearState {
    pub(super) rule: NearRule,
    pub(super) waits: BTreeMap<TaskId, Wait>,
    /// Ratio of run times to estimates by rack.
    pub(super) learned: HashMap<RackKey, LearnedRatio>,
    /// Forecasts of the racks that tasks asked for in this round.
    pub(super) plans: HashMap<RackKey, Plan>,
    /// First steps of this round that prefer a rack, in order of rank.
    pub(super) contenders: Vec<Candidate>,
    /// Number of tasks that this round may still assign to places.
    pub(super) budget: usize,
    /// When the next wait reaches its limit.
    pub(super) next_limit: Option<Time>,
    /// Number of waits that began, and that ended by outcome, since the owner began.
    begun: u64,
    ended: BTreeMap<NearOutcome, u64>,
    /// Ends of waits that have not been taken yet.
    ends: Vec<NearWaitEnd>,
    /// Begin of the interval in which log lines are counted, and their number.
    lines: (Time, u32),
}

impl NearState {
    /// Returns when time alone ends a wait.
    pub(in crate::flow) fn next_limit(&self) -> Option<Time> {
        self.next_limit
    }

    /// Forgets the limit that has been reached; the round that follows finds the next one.
    pub(in crate::flow) fn clear_limit(&mut self) {
        self.next_limit = None;
    }

    /// Returns the counts for the load line; empty until a task has waited.
    pub(in crate::flow) fn summary(&self) -> String {
        if self.begun == 0 {
            return String::new();
        }
        let ended = |outcome| self.ended.get(&outcome).copied().unwrap_or(0);
        format!(
            " near_waiting={} near_waits={} near_ended=near:{},far:{},failed:{}",
            self.waits.len(),
            self.begun,
            ended(NearOutcome::Near),
            ended(NearOutcome::Far),
            ended(NearOutcome::Failed),
        )
    }

    /// Tells whether one more line may be logged now.
    fn may_log(&mut self, now: Time) -> bool {
        if now >= self.lines.0 + LINE_INTERVAL {
            self.lines = (now, 0);
        }
        self.lines.1 += 1;
        self.lines.1 <= MAX_LINES
    }
}

impl Owner {
    /// Sets the rule by which tasks wait for a near node. Rules other than the default are for
    /// measurements.
    pub fn set_near_rule(&mut self, rule: NearRule) {
        self.near.rule = rule;
    }

    /// Takes the ends of waits for near nodes, to be counted.
    pub fn take_near_ends(&mut self) -> Vec<NearWaitEnd> {
        std::mem::take(&mut self.near.ends)
    }

    /// Notes that a task begins to wait for its rack.
    pub(super) fn begin_near_wait(&mut self, now: Time, task: TaskId, rack: &str, costs: Costs) {
        let until = now + self.near.rule.limit(&costs);
        let wait = Wait { rack: rack.to_owned(), since: now, until, offers: 1 };
        self.near.waits.insert(task, wait);
        self.near.begun += 1;
        if self.near.may_log(now) {
            let Costs { wait, near, far, .. } = costs;
            let detail = format!(
                "task={task} rack={rack} wait_ms={} near_ms={} far_ms={}",
                wait.as_millis(),
                near.as_millis(),
                far.as_millis()
            );
            self.log("near_wait", Some(task.job), detail);
        }
    }

    /// Notes the end of a task's wait, which does not begin again unless the task has started near.
    pub(super) fn end_near_wait(&mut self, now: Time, task: &TaskId, outcome: NearOutcome) {
        let Some(wait) = self.near.waits.remove(task) else { return };
        if let Some((_, state)) = self.step_mut(task).filter(|_| outcome != NearOutcome::Near) {
            state.near_waited.insert(task.index);
        }
        let waited = now.saturating_sub(wait.since);
        *self.near.ended.entry(outcome).or_default() += 1;
        self.near.ends.push(NearWaitEnd { outcome, waited });
        if self.near.may_log(now) {
            let detail = format!(
                "task={task} rack={} outcome={} waited_ms={}",
                wait.rack,
                outcome.name(),
                waited.as_millis()
            );
            self.log("near_wait_over", Some(task.job), detail);
        }
    }

    /// Ends the waits of tasks that have started or were cancelled, and those past their limit.
    pub(in crate::flow) fn settle_near_waits(&mut self, now: Time) {
        let tasks: Vec<TaskId> = self.near.waits.keys().copied().collect();
        for task in tasks {
            let until = self.near.waits[&task].until;
            let is_open = self.jobs.get(&task.job).is_some_and(|job| !job.phase.is_final());
            let place = self.step_mut(&task).filter(|_| is_open).map(|(_, state)| {
                let slot = state.running.get(&task.index).map(|attempt| attempt.slot);
                (state.waiting.contains(&task.index), slot)
            });
            match place {
                Some((true, _)) if now < until => {}
                Some((true, _)) => self.end_near_wait(now, &task, NearOutcome::Failed),
                Some((false, Some(slot))) => {
                    let outcome = self.outcome_at(&task, slot);
                    self.end_near_wait(now, &task, outcome);
                }
                _ => {
                    self.near.waits.remove(&task);
                }
            }
        }
        self.near.next_limit = self.near.waits.values().map(|wait| wait.until).min();
        self.near.plans.clear();
        self.near.contenders.clear();
    }

    /// Returns the outcome of a wait whose task has started on a node.
    fn outcome_at(&self, task: &TaskId, slot: Slot) -> NearOutcome {
        match self.nodes[slot].rack() == Some(self.near.waits[task].rack.as_str()) {
            true => NearOutcome::Near,
            false => NearOutcome::Far,
        }
    }

    /// Tells whether a task of a step waits for its rack, so that the step is not starved.
    pub(in crate::flow) fn waits_near(&self, candidate: &Candidate) -> bool {
        self.near_wait_of(candidate).is_some()
    }

    /// Returns the waits of a step's tasks: index, rack and limit.
    pub(in crate::flow) fn near_waits_of(
        &self,
        candidate: &Candidate,
    ) -> impl Iterator<Item = (u32, &str, Time)> {
        let Candidate { job, occurrence, step, .. } = *candidate;
        let task = |index| TaskId { job, occurrence, step, index };
        let waits = self.near.waits.range(task(0)..=task(u32::MAX));
        waits.map(|(task, wait)| (task.index, wait.rack.as_str(), wait.until))
    }

    /// Returns the wait of the first task of a step that waits for its rack.
    pub(super) fn near_wait_of(&self, candidate: &Candidate) -> Option<&Wait> {
        let Candidate { job, occurrence, step, .. } = *candidate;
        let task = |index| TaskId { job, occurrence, step, index };
        self.near.waits.range(task(0)..=task(u32::MAX)).next().map(|(_, wait)| wait)
    }
}
