//! Learns the actual speed of workers from ends of runs, and decides which workers are slow.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Owner, Slot};
use crate::flow::model::{Run, Step, TaskId};
use crate::flow::speed::{review, RunTime, Speed};
use crate::flow::step::Attempt;
use crate::time::Time;

/// Interval between two reviews of which nodes are slow; that of the searches for stragglers.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of changes that are logged in one review.
const MAX_LOGGED_CHANGES: usize = 8;

impl Owner {
    /// Learns the speed of a node from the end of a run there, unless something other than the node's
    /// speed decided how long the run took.
    pub(super) fn learn_speed(
        &mut self,
        now: Time,
        task: &TaskId,
        step: &Step,
        attempt: Option<&Attempt>,
    ) {
        let Some(attempt) = attempt.filter(|attempt| self.is_typical(step, attempt)) else {
            return;
        };
        let slot = attempt.slot;
        let run = RunTime { slot, ended: now, took: now.saturating_sub(attempt.since) };
        let steps =
            self.jobs.get_mut(&task.job).and_then(|j| j.occurrences.get_mut(&task.occurrence));
        let Some(state) = steps.and_then(|steps| steps.get_mut(usize::from(task.step))) else {
            return;
        };
        let nodes = &self.nodes;
        let is_comparable =
            |other: Slot| !step.same_rack || nodes[other].rack() == nodes[slot].rack();
        let ratio = state.run_times.ratio(&run, is_comparable);
        state.run_times.add(run);
        if let Some(ratio) = ratio {
            self.nodes[slot].speed.learn(now, ratio);
        }
    }

    /// Tells whether the time of a run that ends now shows the speed of its node.
    fn is_typical(&self, step: &Step, attempt: &Attempt) -> bool {
        let node = &self.nodes[attempt.slot];
        let is_near = step.preferred_rack.as_ref().is_none_or(|r| node.rack() == Some(r.as_str()));
        let is_paced = step.best_effort && !node.full_pace.covers(attempt.since);
        // The ends of runs that are older than the session may have waited for it.
        let is_prompt = attempt.since >= node.connected_at;
        attempt.is_whole && !step.long_running && !step.gang && is_near && !is_paced && is_prompt
    }

    /// Decides from time to time which nodes are slow against the others of their service, and logs
    /// changes.
    pub(super) fn review_speeds(&mut self, now: Time) {
        if now < self.next_speed_review {
            return;
        }
        self.next_speed_review = now + REVIEW_INTERVAL;
        let mut services: BTreeMap<&str, (Vec<Slot>, Vec<&mut Speed>)> = BTreeMap::new();
        for (slot, node) in self.nodes.iter_mut().enumerate() {
            let Some(worker) = &node.worker else { continue };
            let (slots, speeds) = services.entry(&worker.service).or_default();
            slots.push(slot);
            speeds.push(&mut node.speed);
        }
        let changed: Vec<Slot> = services
            .into_values()
            .flat_map(|(slots, mut speeds)| {
                review(now, &mut speeds).into_iter().map(move |index| slots[index])
            })
            .collect();
        for slot in changed.into_iter().take(MAX_LOGGED_CHANGES) {
            let node = &self.nodes[slot];
            let (factor, runs) = (node.speed.factor(now), node.speed.runs());
            let detail = format!("node={} factor={factor:.1} runs={runs}", node.name);
            let event = if node.speed.is_slow { "worker_slow" } else { "worker_normal" };
            self.log(event, None, detail);
        }
    }

    /// Tells whether a node is too slow for a step to prefer it. Long-running tasks have no end that
    /// could be late.
    pub(in crate::flow) fn is_too_slow(&self, slot: Slot, step: &Step) -> bool {
        !step.long_running && self.nodes[slot].speed.is_slow
    }

    /// Tells whether a run on a slow node holds up its step and loses little work if it is stopped.
    /// A task is moved away from a node once, so that it stays if no other node has capacity.
    pub(super) fn is_overdue(&self, now: Time, slot: Slot, task: &TaskId, run: Run) -> bool {
        let Some(job) = self.jobs.get(&task.job).filter(|job| !job.phase.is_final()) else {
            return false;
        };
        let step = &job.spec.steps[usize::from(task.step)];
        let steps = job.occurrences.get(&task.occurrence);
        let Some(state) = steps.and_then(|steps| steps.get(usize::from(task.step))) else {
            return false;
        };
        let is_movable = step.has_checkpoints && !step.long_running && !step.gang;
        let has_moved = state.avoided_nodes.get(&task.index) == Some(&slot);
        let factor = self.nodes[slot].speed.last_factor();
        is_movable
            && !has_moved
            && state.running.get(&task.index).is_some_and(|attempt| {
                let age = now.saturating_sub(attempt.since);
                attempt.run == run
                    && !attempt.is_stopping()
                    && state.run_times.is_overdue(age, factor)
            })
    }

    /// Returns the number of nodes whose workers are slow against the others of their service.
    pub fn slow_workers(&self) -> usize {
        self.nodes.iter().filter(|node| node.speed.is_slow).count()
    }
}
