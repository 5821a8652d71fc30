//! Bookkeeping of the resources that tasks reserve on nodes.

use super::{image_number, Node, Owner, RoundCause, Slot};
use crate::flow::model::{Run, Step, TaskId};

impl Owner {
    /// Releases the resources reserved for a task on a node.
    pub(in crate::flow) fn release(&mut self, slot: Slot, task: &TaskId, step: &Step) {
        let node = &mut self.nodes[slot];
        if node.tasks.remove(task).is_some() {
            node.used = node.used.minus(&step.reserved());
            if step.long_running {
                node.long_running = node.long_running.minus(&step.need);
            }
            node.update_totals(step, |known, change| known - change);
        }
        if self.nodes[slot].is_drained() {
            self.mark_roster_changed();
        }
        self.request_round(RoundCause::Room);
    }

    /// Reserves resources for a task on a node.
    pub(in crate::flow) fn reserve(&mut self, slot: Slot, task: TaskId, run: Run, step: &Step) {
        let node = &mut self.nodes[slot];
        if node.tasks.insert(task, run).is_none() {
            node.used = node.used.plus(&step.reserved());
            if step.long_running {
                node.long_running = node.long_running.plus(&step.need);
            }
            node.update_totals(step, |known, change| known + change);
        }
    }

    /// Removes a run and releases its resources; returns its node. The task is requeued unless it
    /// is done or its job has ended.
    pub(in crate::flow) fn drop_run(&mut self, task: &TaskId, run: Run) -> Option<Slot> {
        let is_final = self.jobs.get(&task.job)?.phase.is_final();
        let (spec, state) = self.step_mut(task)?;
        if state.running.get(&task.index)?.run != run {
            return None;
        }
        let step = spec.steps[usize::from(task.step)].clone();
        let attempt = state.end(task.index)?;
        state.was_relieved = attempt.is_relief;
        if attempt.is_relief {
            state.resume_wait(&attempt);
        }
        if !is_final && !state.done.contains(task.index) {
            state.waiting.insert(task.index);
            self.unplaced.insert(task.job);
        }
        self.forecast.touch(task.job);
        self.release(attempt.slot, task, &step);
        Some(attempt.slot)
    }
}

impl Node {
    /// Tells whether the node's worker is leaving, has nothing left to run, and all its ends are
    /// durable. A successor that does not know of an end would start the task again.
    pub(super) fn is_drained(&self) -> bool {
        let is_draining = self.worker.as_ref().is_some_and(|worker| worker.draining);
        is_draining
            && self.tasks.is_empty()
            && self.stale_runs.is_empty()
            && self.pending_acks.is_empty()
    }

    /// Updates the node's totals by image for one task of `step`. `change` adds the task's part to
    /// a total, or subtracts it.
    fn update_totals(&mut self, step: &Step, change: impl Fn(u64, u64) -> u64) {
        if step.best_effort {
            let cpu = self.best_effort_cpu.entry(image_number(step)).or_default();
            *cpu = change(*cpu, step.need.cpu_milli);
            self.best_effort_cpu.retain(|_, cpu| *cpu > 0);
            self.total_best_effort_cpu = self.best_effort_cpu.values().sum();
        }
        if step.target_ms > 0 {
            let (count, _) = self.serving.entry(image_number(step)).or_default();
            *count = change(u64::from(*count), 1) as u32;
            self.serving.retain(|_, (count, _)| *count > 0);
        }
    }
}
