//! Moves the last tasks of a step away from workers that throttle them, because the whole step
//! waits for them, and overdue runs away from slow workers.

use std::time::Duration;

use super::{Owner, Slot};
use crate::flow::message::OwnerMessage;
use crate::flow::model::{Run, TaskId};
use crate::flow::step::StopReason;
use crate::time::Time;

/// Interval between two searches for stragglers.
const SEARCH_INTERVAL: Duration = Duration::from_millis(500);
/// CPU that best-effort tasks may use, in percent of their request, below which a worker's tasks
/// are moved. A task then needs over three times as long as it would elsewhere.
const MAX_PRESSURE_LEVEL: u32 = 30;
/// Part of a step's tasks, as a divisor, that may still run for them to count as its last ones.
const LAST_TASKS_DIVISOR: u32 = 4;
/// Minimum time that a task runs on a worker before it is moved. Shorter runs would be stopped
/// before the worker's agent has adjusted the pace to them.
const MIN_RUN_TIME: Duration = Duration::from_secs(1);
/// Number of nodes, as a divisor, that gives the number of moves in one search beyond the first.
const NODES_PER_MOVE: usize = 16;

impl Owner {
    /// Stops best-effort tasks that are the last ones of their step and run on a worker that
    /// throttles them, and overdue runs on slow workers. Their checkpoints are kept, and they start again on other workers, where
    /// their job ranks high because little of it is left.
    pub(super) fn move_stragglers(&mut self, now: Time) {
        if now < self.next_straggler_search || !self.is_valid(now) {
            return;
        }
        self.next_straggler_search = now + SEARCH_INTERVAL;
        // A run that is stopped now could start nowhere else.
        if self.is_closed_by_evacuation(now) {
            return;
        }
        let most = 1 + self.nodes.len() / NODES_PER_MOVE;
        let throttles = |slot: &Slot| self.nodes[*slot].pressure.level < MAX_PRESSURE_LEVEL;
        let slots: Vec<Slot> = (0..self.nodes.len()).filter(throttles).collect();
        let runs = |slot: Slot| self.nodes[slot].tasks.iter().map(move |(t, run)| (slot, *t, *run));
        let slow_slots = (0..self.nodes.len()).filter(|slot| self.nodes[*slot].speed.is_slow);
        let overdue = slow_slots
            .flat_map(runs)
            .filter(|(slot, task, run)| self.is_overdue(now, *slot, task, *run));
        let mut stragglers: Vec<(Slot, TaskId, Run)> = slots
            .into_iter()
            .flat_map(runs)
            .filter(|(_, task, run)| self.is_straggler(now, task, *run))
            .chain(overdue)
            .take(most)
            .collect();
        // A run may be found for both reasons.
        stragglers.sort_unstable();
        stragglers.dedup();
        for (slot, task, run) in stragglers {
            let Some((_, state)) = self.step_mut(&task) else { continue };
            if let Some(attempt) = state.running.get_mut(&task.index) {
                attempt.stop_reason = Some(StopReason::Straggler);
            }
            state.avoided_nodes.insert(task.index, slot);
            let node = &self.nodes[slot];
            let mut detail =
                format!("task={task} run={run} node={} level={}", node.name, node.pressure.level);
            if node.speed.is_slow {
                detail += &format!(" factor={:.1}", node.speed.factor(now));
            }
            self.log("straggler_moved", Some(task.job), detail);
            self.send(slot, OwnerMessage::Stop { task, run });
        }
    }

    /// Tells whether a run on a worker that throttles it holds up its step, and loses no work if it
    /// is stopped.
    fn is_straggler(&self, now: Time, task: &TaskId, run: Run) -> bool {
        let Some(job) = self.jobs.get(&task.job).filter(|job| !job.phase.is_final()) else {
            return false;
        };
        let step = &job.spec.steps[usize::from(task.step)];
        let steps = job.occurrences.get(&task.occurrence);
        let Some(state) = steps.and_then(|steps| steps.get(usize::from(task.step))) else {
            return false;
        };
        let is_last = state.waiting.is_empty()
            && state.running.len() as u32 <= (step.count / LAST_TASKS_DIVISOR).max(1);
        let is_movable = state.running.get(&task.index).is_some_and(|attempt| {
            attempt.run == run && !attempt.is_stopping() && now >= attempt.since + MIN_RUN_TIME
        });
        step.best_effort && step.has_checkpoints && !step.gang && is_last && is_movable
    }
}
