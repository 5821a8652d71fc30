//! Handling of ends, failures and stalls of runs: completes tasks, counts failures and requeues.

use std::time::Duration;

use super::{Owner, RoundCause, Slot};
use crate::flow::crashes::MAX_SUSPECT_AGE;
use crate::flow::message::{End, EndKind, OwnerMessage};
use crate::flow::model::{JobNumber, Run, Step, TaskId};
use crate::flow::progress::Phase;
use crate::flow::step::{Attempt, StopReason};
use crate::time::Time;

/// Time without starts on a node after failures of two different jobs in a row; doubles with each
/// further failure.
const MIN_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum time without starts on a node after failures.
const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// Time without starts on a node after it has rejected starts twice in a row; doubles with each
/// further rejection.
const MIN_REFUSAL_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum time without starts on a node after rejected starts.
const MAX_REFUSAL_BACKOFF: Duration = Duration::from_secs(4);
/// Time without starts on a node after a run stalled there.
const STALL_BACKOFF: Duration = Duration::from_secs(3);

impl Owner {
    /// Handles the ends of runs that an agent reports, except those received before.
    pub(in crate::flow) fn ends(&mut self, now: Time, slot: Slot, worker: &str, ends: Vec<End>) {
        if self.nodes[slot].worker.as_ref().is_none_or(|known| known.id != worker) {
            return;
        }
        for end in ends {
            if end.number <= self.nodes[slot].last_end {
                continue;
            }
            self.nodes[slot].last_end = end.number;
            self.finish_run(now, slot, &end);
            let version = self.jobs.get(&end.task.job).map_or(0, |job| job.version);
            self.nodes[slot].pending_acks.push_back((end.number, end.task.job, version));
        }
        if !self.dirty.is_empty() {
            self.dirty_since.get_or_insert(now);
        }
        self.acknowledge(slot);
    }

    /// Handles the report that a worker has begun a run of a task.
    pub(super) fn begun(&mut self, task: &TaskId, run: Run) {
        if self.attempt(task, run).is_some() {
            self.mark_running(task.job);
        }
    }

    /// Marks a queued job as running, because a worker has begun a task of it. The order to start a task
    /// does not tell that: the worker may reject it, or never get it.
    pub(in crate::flow) fn mark_running(&mut self, number: JobNumber) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        job.has_begun = true;
        if job.phase == Phase::Queued {
            job.phase = Phase::Running;
        }
    }

    /// Handles the end of one run: completes or requeues its task, or counts a failure.
    pub(super) fn finish_run(&mut self, now: Time, slot: Slot, end: &End) {
        let task = end.task;
        self.save_checkpoint(now, task, end.run, end.checkpoint.clone());
        self.end_stale_run(slot, task, end.run);
        let known = self.attempt(&task, end.run).cloned();
        let was_current = self.drop_run(&task, end.run).is_some();
        if let Some(attempt) = known.as_ref().filter(|_| end.kind == EndKind::Done) {
            self.learn_run_time(now, slot, &task, now.saturating_sub(attempt.since));
        }
        if matches!(end.kind, EndKind::Done | EndKind::Failed) {
            self.nodes[slot].refusals = 0;
        }
        let ran =
            known.as_ref().map_or(Duration::ZERO, |attempt| now.saturating_sub(attempt.since));
        match end.kind {
            EndKind::Done => self.clear_suspect(&task),
            // A run that fails at once may not have come to what would have crashed the worker.
            EndKind::Failed if ran > MAX_SUSPECT_AGE => self.clear_suspect(&task),
            _ => {}
        }
        // A run that has ended has begun.
        if self.step_mut(&task).is_some() {
            self.mark_running(task.job);
        }
        let Some((spec, state)) = self.step_mut(&task) else { return };
        let spec = spec.clone();
        let step = &spec.steps[usize::from(task.step)];
        match end.kind {
            EndKind::Done if !step.long_running => {
                self.nodes[slot].failure_streak = 0;
                self.learn_speed(now, &task, step, known.as_ref());
                if let Some(attempt) = known.as_ref().filter(|_| was_current) {
                    self.learn_rate(now, &task, attempt);
                }
                self.complete(now, &task, step);
            }
            EndKind::Failed if !step.long_running && !state.done.contains(task.index) => {
                self.failed(now, slot, end);
            }
            EndKind::Failed => {
                state.avoided_nodes.insert(task.index, slot);
                self.record_failure(now, slot, task.job);
            }
            _ => {
                if step.gang {
                    self.stop_gang(&task);
                }
            }
        }
        if was_current && end.kind != EndKind::Done {
            let name = &self.nodes[slot].name;
            let reason = known.as_ref().and_then(|attempt| attempt.stop_reason);
            let detail = format!(
                "task={task} run={} kind={:?} node={name} reason={} ran_ms={} cpu={}",
                end.run,
                end.kind,
                reason.map_or("none".to_owned(), |reason| format!("{reason:?}")),
                ran.as_millis(),
                step.need.cpu_milli
            );
            self.log("run_ended", Some(task.job), detail);
        }
    }

    /// Returns the run of a task with this number, if it is in progress.
    pub(super) fn attempt(&mut self, task: &TaskId, run: Run) -> Option<&Attempt> {
        let (_, state) = self.step_mut(task)?;
        state.running.get(&task.index).filter(|attempt| attempt.run == run)
    }

    /// Notes the end of a run that the owner no longer tracked; the node may then accept starts.
    fn end_stale_run(&mut self, slot: Slot, task: TaskId, run: Run) {
        if self.nodes[slot].stale_runs.remove(&(task, run)) {
            self.request_round(RoundCause::Room);
        }
    }

    /// Marks a task as done, or all tasks of a gang, and completes the job if it was the last.
    pub(super) fn complete(&mut self, now: Time, task: &TaskId, step: &Step) {
        let Some((_, state)) = self.step_mut(task) else { return };
        let members = if step.gang { 0..step.count } else { task.index..task.index + 1 };
        let mut stops = Vec::new();
        for index in members {
            state.complete(index);
            if let Some(attempt) = state.running.get_mut(&index) {
                attempt.stop_reason = Some(StopReason::TaskDone);
                stops.push((attempt.slot, TaskId { index, ..*task }, attempt.run));
            }
        }
        for (slot, other, run) in stops {
            self.send(slot, OwnerMessage::Stop { task: other, run });
        }
        self.forecast.touch(task.job);
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        job.remaining_work =
            job.remaining_work.saturating_sub(step.need.cpu_milli * step.estimate_ms);
        if job.phase.is_final() {
            return;
        }
        let is_complete = job.is_complete();
        if is_complete {
            job.phase = Phase::Completed;
            job.ended = Some(now);
        }
        self.mark_dirty(task.job, is_complete);
        if is_complete {
            let took = now.saturating_sub(self.jobs[&task.job].released_at).as_millis();
            let objective = self.jobs[&task.job].objective;
            let detail = format!("took_ms={took} in_time={}", now <= objective);
            self.log("job_completed", Some(task.job), detail);
        }
        // The last task of a step lets others begin.
        self.request_round(RoundCause::Room);
    }

    /// Counts the failure of a run against its task, and fails the job once a task has used up its
    /// attempts.
    pub(super) fn failed(&mut self, now: Time, slot: Slot, end: &End) {
        let task = end.task;
        let Some((spec, state)) = self.step_mut(&task) else { return };
        let limit = spec.queue.attempts.max(1);
        let is_gang = spec.steps[usize::from(task.step)].gang;
        let key = if is_gang { 0 } else { task.index };
        let failures = state.failures.entry(key).or_default();
        if !failures.insert(end.run) {
            return;
        }
        let count = failures.len() as u32;
        let is_last = count >= limit;
        let detail = format!("task={task} run={} failures={count} limit={limit}", end.run);
        state.avoided_nodes.insert(task.index, slot);
        self.log("task_failed", Some(task.job), format!("{detail} node={}", self.nodes[slot].name));
        self.record_failure(now, slot, task.job);
        if is_gang {
            self.stop_gang(&task);
        }
        match self.jobs.get(&task.job).map(|job| job.phase.is_final()) {
            Some(false) if is_last => {
                self.log("job_failed", Some(task.job), detail);
                self.finish_job(task.job, Phase::Failed);
            }
            _ => self.mark_dirty(task.job, false),
        }
    }

    /// Counts a failure of a job against a node, and backs the node off after two in a row. Only a
    /// job's first failure counts: a job that fails on several nodes is itself faulty.
    pub(super) fn record_failure(&mut self, now: Time, slot: Slot, number: JobNumber) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        let is_new = job.failed_on.insert(slot);
        if job.failed_on.len() > 1 || !is_new {
            return;
        }
        let node = &mut self.nodes[slot];
        node.failure_streak += 1;
        if node.failure_streak >= 2 {
            let backoff =
                (MIN_BACKOFF * 2u32.pow((node.failure_streak - 2).min(3))).min(MAX_BACKOFF);
            node.backoff_until = now + backoff;
            let detail = format!(
                "node={} streak={} rest_ms={}",
                node.name,
                node.failure_streak,
                backoff.as_millis()
            );
            self.log("worker_rests", Some(number), detail);
        }
    }

    /// Stops the remaining runs of a gang after one of them has ended.
    pub(super) fn stop_gang(&mut self, task: &TaskId) {
        let Some((_, state)) = self.step_mut(task) else { return };
        let mut stops = Vec::new();
        for (index, attempt) in &mut state.running {
            if !attempt.is_stopping() {
                attempt.stop_reason = Some(StopReason::GangBroken);
                stops.push((attempt.slot, TaskId { index: *index, ..*task }, attempt.run));
            }
        }
        for (slot, other, run) in stops {
            self.send(slot, OwnerMessage::Stop { task: other, run });
        }
    }

    /// Keeps the checkpoint of a run in memory, unless a newer run of the task is known.
    pub(super) fn save_checkpoint(
        &mut self,
        now: Time,
        task: TaskId,
        run: Run,
        checkpoint: String,
    ) {
        if checkpoint.is_empty() {
            return;
        }
        let Some((spec, state)) = self.step_mut(&task) else { return };
        let is_gang = spec.steps[usize::from(task.step)].gang;
        let is_old = state.last_runs.get(&task.index).is_some_and(|last| run < *last);
        if !is_old && !state.done.contains(task.index) {
            state.checkpoints.insert(if is_gang { 0 } else { task.index }, checkpoint);
            self.note_work_done(now, &task, run);
        }
    }

    /// Stops the other runs of a task's gang after its own run was lost without an end: they would
    /// wait for it in vain. Does nothing if the task belongs to no gang.
    pub(in crate::flow) fn stop_gang_of_lost(&mut self, task: &TaskId) {
        let Some((spec, _)) = self.step_mut(task) else { return };
        if spec.steps[usize::from(task.step)].gang {
            self.stop_gang(task);
        }
    }

    /// Requeues a task whose start the agent or the worker has rejected.
    pub(super) fn not_started(
        &mut self,
        now: Time,
        slot: Slot,
        task: TaskId,
        run: Run,
        reason: &str,
    ) {
        let detail =
            format!("task={task} run={run} node={} reason={reason}", self.nodes[slot].name);
        self.log("start_rejected", Some(task.job), detail);
        self.end_stale_run(slot, task, run);
        let attempt = self.step_mut(&task).and_then(|(_, state)| state.running.get(&task.index));
        let refused = attempt.filter(|attempt| !attempt.is_stopping()).cloned();
        if self.drop_run(&task, run).is_some() {
            if let Some((_, state)) = self.step_mut(&task) {
                state.avoided_nodes.insert(task.index, slot);
            }
            if let Some(attempt) = refused {
                if let Some((_, state)) = self.step_mut(&task) {
                    state.resume_wait(&attempt);
                }
                self.record_refusal(now, slot, attempt.since);
            }
            self.stop_gang_of_lost(&task);
        }
    }

    /// Counts a rejected start that was ordered at `ordered_at` against the node, and backs the node
    /// off after two in a row. Of the starts that were ordered together, only the first counts.
    fn record_refusal(&mut self, now: Time, slot: Slot, ordered_at: Time) {
        let node = &mut self.nodes[slot];
        if node.refused_at.is_some_and(|at| ordered_at <= at) {
            return;
        }
        node.refused_at = Some(now);
        node.refusals += 1;
        if node.refusals < 2 {
            return;
        }
        let backoff = MIN_REFUSAL_BACKOFF * 2u32.pow((node.refusals - 2).min(8));
        let backoff = backoff.min(MAX_REFUSAL_BACKOFF);
        node.backoff_until = node.backoff_until.max(now + backoff);
        let (name, refusals) = (&node.name, node.refusals);
        let detail = format!("node={name} refusals={refusals} rest_ms={}", backoff.as_millis());
        self.log("worker_rests", None, detail);
    }

    /// Stops a run that makes no progress, and backs its node off.
    pub(super) fn stalled(&mut self, now: Time, slot: Slot, task: TaskId, run: Run) {
        let Some((_, state)) = self.step_mut(&task) else { return };
        let Some(attempt) = state.running.get_mut(&task.index) else { return };
        if attempt.run != run || attempt.is_stopping() {
            return;
        }
        attempt.stop_reason = Some(StopReason::Stalled);
        state.avoided_nodes.insert(task.index, slot);
        self.nodes[slot].backoff_until = self.nodes[slot].backoff_until.max(now + STALL_BACKOFF);
        let detail = format!("task={task} run={run} node={}", self.nodes[slot].name);
        self.log("task_stalled", Some(task.job), detail);
        self.send(slot, OwnerMessage::Stop { task, run });
    }
}
