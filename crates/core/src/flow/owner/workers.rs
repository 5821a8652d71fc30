//! Workers that leave, or that are lost.

use std::time::Duration;

use super::{Job, Node, Owner, Slot, COMMIT_KEYS};
use crate::flow::message::{Down, Pressure};
use crate::flow::model::{JobNumber, Run, Step, TaskId};
use crate::resources::Resources;
use crate::time::Time;

/// Addition to the end of a permission before its worker is taken to have stopped everything:
/// covers rounding of lease times on the way to the worker.
const LAPSE_MARGIN: Duration = Duration::from_millis(200);
/// Time before a draining worker leaves at which tasks that save are moved.
const MOVE_LEAD: Duration = Duration::from_millis(500);
/// Time that a draining worker is taken to have when it does not say.
const DRAIN_DEFAULT: Duration = Duration::from_secs(2);

impl Owner {
    pub(in crate::flow) fn draining(
        &mut self,
        now: Time,
        slot: Slot,
        worker: &str,
        remaining: Option<Duration>,
    ) {
        let node = &mut self.nodes[slot];
        let Some(known) = node.worker.as_mut().filter(|known| known.id == worker) else { return };
        if known.draining && node.leaves_at.is_some() {
            return;
        }
        known.draining = true;
        node.leaves_at = Some(now + remaining.unwrap_or(DRAIN_DEFAULT));
        let detail = format!("node={} worker={worker} running={}", node.name, node.tasks.len());
        self.log("worker_drains", None, detail);
        self.move_tasks(slot, |step| step.lasting);
    }

    /// Stops those tasks of a leaving worker that `pick` names, so that they go on elsewhere.
    pub(super) fn move_tasks(&mut self, slot: Slot, pick: impl Fn(&Step) -> bool) {
        for (task, run) in self.nodes[slot].tasks.clone() {
            let Some((spec, state)) = self.step_mut(&task) else { continue };
            let is_picked = pick(&spec.steps[usize::from(task.step)]);
            match state.running.get_mut(&task.index) {
                Some(attempt) if is_picked && attempt.run == run && !attempt.is_stopping => {
                    attempt.is_stopping = true;
                    self.send(slot, Down::Stop { task, run });
                }
                _ => {}
            }
        }
    }

    /// Requeues everything on a worker that has certainly ended.
    pub(in crate::flow) fn lose_worker(&mut self, slot: Slot, reason: &str) {
        let tasks: Vec<(TaskId, Run)> =
            self.nodes[slot].tasks.iter().map(|(task, run)| (*task, *run)).collect();
        let detail =
            format!("node={} reason={reason} tasks={}", self.nodes[slot].name, tasks.len());
        self.log("worker_lost", None, detail);
        for (task, run) in tasks {
            self.drop_run(&task, run);
        }
        let node = &mut self.nodes[slot];
        node.worker = None;
        node.tasks.clear();
        node.used = Resources::default();
        node.lasting = Resources::default();
        node.pressure = Pressure::default();
        node.filled.clear();
        node.serving.clear();
        node.last_end = 0;
        node.unseen.clear();
        node.leaves_at = None;
        node.foreign.clear();
        node.streak = 0;
        node.rests_until = Time::ZERO;
        self.must_place = true;
        self.change_roster();
    }

    pub(super) fn sweep(&mut self, now: Time) {
        let permission = self.settings.permission + LAPSE_MARGIN;
        for slot in 0..self.nodes.len() {
            let node = &self.nodes[slot];
            let is_lapsed = !node.is_attached && now >= node.last_pong + permission;
            let leads = node.leaves_at.is_some_and(|at| now + MOVE_LEAD >= at);
            match &node.worker {
                Some(_) if is_lapsed => self.lose_worker(slot, "permission ran out"),
                Some(worker) if worker.draining && leads => {
                    self.nodes[slot].leaves_at = Some(Time::MAX);
                    self.move_tasks(slot, |step| step.saves || step.lasting);
                }
                _ => {}
            }
        }
        self.settle_inherited(now);
        if now >= self.next_expiry {
            self.next_expiry = now + Duration::from_secs(1);
            // Steps become starved by the passing of time alone.
            self.must_place = true;
            let line = self.load_line();
            self.log("load", None, line);
            let keep = self.settings.keep_ended;
            for job in self.jobs.values_mut().filter(|job| job.phase.is_final()) {
                job.ended.get_or_insert(now);
            }
            let is_old = |job: &Job| {
                job.ended.is_some_and(|at| now > at + keep) && job.durable == job.version
            };
            let old: Vec<JobNumber> =
                self.jobs.iter().filter(|(_, job)| is_old(job)).map(|(n, _)| *n).collect();
            for number in old.into_iter().take(COMMIT_KEYS) {
                self.jobs.remove(&number);
                self.expired.push(number);
            }
        }
        let since = std::mem::replace(&mut self.last_sweep, now);
        let has_rested = |node: &Node| node.rests_until > since && node.rests_until <= now;
        self.must_place |= self.nodes.iter().any(has_rested);
    }
}
