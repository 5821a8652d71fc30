//! Handling of workers that drain or are lost, and the owner's periodic checks.

use std::time::Duration;

use super::{Job, Node, Owner, RoundCause, Slot, MAX_COMMIT_KEYS};
use crate::flow::message::{LostRun, OwnerMessage, Pressure, Running, WorkerInfo};
use crate::flow::model::{JobNumber, Run, Step, TaskId};
use crate::flow::node::describe_ages;
use crate::flow::speed::{FullPace, Speed};
use crate::flow::step::StopReason;
use crate::resources::Resources;
use crate::time::Time;

/// Time after the expiry of a worker's permission to run tasks before the worker is taken to have
/// stopped all of them; covers rounding of lease times on the way to the worker.
const PERMISSION_MARGIN: Duration = Duration::from_millis(200);
/// How long before the exit of a draining worker its tasks with checkpoints are moved elsewhere.
const CHECKPOINT_LEAD: Duration = Duration::from_millis(500);
/// Minimum time between two checks of the timers of all nodes.
const TIMER_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of runs of a lost worker in one log line; the youngest come first.
const MAX_LOGGED_RUNS: usize = 8;
/// Assumed time until a draining worker exits, if it does not report one.
const DEFAULT_DRAIN_TIME: Duration = Duration::from_secs(2);

impl Owner {
    /// Handles a worker that begins to drain: moves its long-running tasks to other nodes at once.
    /// `remaining` is the minimum time until it exits.
    pub(in crate::flow) fn draining(
        &mut self,
        now: Time,
        slot: Slot,
        worker: &str,
        remaining: Option<Duration>,
    ) {
        let node = &mut self.nodes[slot];
        let Some(known) = node.worker.as_mut().filter(|known| known.id == worker) else { return };
        if known.draining && node.drain_deadline.is_some() {
            return;
        }
        known.draining = true;
        node.drain_deadline = Some(now + remaining.unwrap_or(DEFAULT_DRAIN_TIME));
        let detail = format!("node={} worker={worker} running={}", node.name, node.tasks.len());
        self.log("worker_drains", None, detail);
        self.move_tasks(slot, |step| step.long_running);
        if self.nodes[slot].is_drained() {
            self.mark_roster_changed();
        }
    }

    /// Handles a worker that describes itself anew. Its tasks go on, also if they exceed its capacity now:
    /// it gets no others until they fit.
    pub(super) fn changed(&mut self, slot: Slot, info: WorkerInfo) {
        let node = &mut self.nodes[slot];
        let Some(known) = node.worker.as_mut().filter(|known| known.id == info.id) else { return };
        // The beginning of a drain is reported apart. Only a worker that another writer has reported as
        // draining ends one.
        let (draining, remaining) = match info.draining {
            true => (known.draining, known.remaining),
            false => (false, None),
        };
        let ends_drain = known.draining && !draining;
        let detail = format!(
            "node={} worker={} capacity={} before={} used={} labels={}",
            node.name,
            info.id,
            info.capacity,
            known.capacity,
            node.used,
            info.labels.join(",")
        );
        node.last_service = info.service.clone();
        *known = WorkerInfo { draining, remaining, ..info };
        if ends_drain {
            node.drain_deadline = None;
            self.mark_roster_changed();
        }
        self.check_zone(slot);
        self.log("worker_changed", None, detail);
        self.request_round(RoundCause::Room);
    }

    /// Stops the selected tasks of a draining worker, so that they continue on other nodes.
    pub(super) fn move_tasks(&mut self, slot: Slot, selects: impl Fn(&Step) -> bool) {
        for (task, run) in self.nodes[slot].tasks.clone() {
            let Some((spec, state)) = self.step_mut(&task) else { continue };
            let is_picked = selects(&spec.steps[usize::from(task.step)]);
            match state.running.get_mut(&task.index) {
                Some(attempt) if is_picked && attempt.run == run && !attempt.is_stopping() => {
                    attempt.stop_reason = Some(StopReason::WorkerDrains);
                    self.send(slot, OwnerMessage::Stop { task, run });
                }
                _ => {}
            }
        }
    }

    /// Returns the runs on a node, youngest first, with the time since they were ordered or adopted.
    pub(super) fn runs_on(&mut self, now: Time, slot: Slot) -> Vec<LostRun> {
        let mut runs = Vec::with_capacity(self.nodes[slot].tasks.len());
        for (task, run) in self.nodes[slot].tasks.clone() {
            let since = self.attempt(&task, run).map_or(now, |attempt| attempt.since);
            runs.push(LostRun { task, run, age: now.saturating_sub(since) });
        }
        runs.sort_by_key(|lost| lost.age);
        runs
    }

    /// Requeues all tasks of a worker that is known to have exited or to have stopped all its
    /// tasks.
    pub(in crate::flow) fn lose_worker(&mut self, now: Time, slot: Slot, reason: &str) {
        self.lose_worker_but(now, slot, reason, &[]);
    }

    /// Requeues all tasks of a worker that has exited. The runs in `kept` go on in its next incarnation: the
    /// caller adopts them, and their gangs are not broken.
    pub(in crate::flow) fn lose_worker_but(
        &mut self,
        now: Time,
        slot: Slot,
        reason: &str,
        kept: &[Running],
    ) {
        let runs = self.runs_on(now, slot);
        let detail = format!(
            "node={} reason={reason} tasks={} ages_ms={}",
            self.nodes[slot].name,
            self.nodes[slot].tasks.len(),
            describe_ages(&runs, MAX_LOGGED_RUNS)
        );
        self.log("worker_lost", None, detail);
        let is_dropped = |lost: &LostRun| self.drop_run(&lost.task, lost.run).is_some();
        let lost: Vec<LostRun> = runs.into_iter().filter(is_dropped).collect();
        for LostRun { task, run, .. } in lost {
            if !is_listed(kept, &task, run) {
                self.stop_gang_of_lost(&task);
            }
        }
        let node = &mut self.nodes[slot];
        node.worker = None;
        node.tasks.clear();
        node.used = Resources::default();
        node.long_running = Resources::default();
        node.pressure = Pressure::default();
        node.full_pace = FullPace::default();
        node.speed = Speed::default();
        node.best_effort_cpu.clear();
        node.total_best_effort_cpu = 0;
        node.serving.clear();
        node.last_end = 0;
        node.acknowledged = 0;
        node.pending_acks.clear();
        node.drain_deadline = None;
        node.stale_runs.clear();
        node.failure_streak = 0;
        node.refusals = 0;
        node.refused_at = None;
        node.tried_at = None;
        node.backoff_until = Time::ZERO;
        node.quarantine = None;
        node.is_evacuated = false;
        node.ranks_behind_until = Time::ZERO;
        self.request_round(RoundCause::Room);
        self.mark_roster_changed();
    }

    /// Handles expired permissions of workers, workers that are about to exit, the end of a
    /// takeover, ended jobs whose retention time is over, and nodes whose backoff has expired.
    pub(super) fn check_timers(&mut self, now: Time) {
        self.finish_takeover(now);
        if now < self.last_timer_check + TIMER_INTERVAL {
            return;
        }
        let permission = self.settings.permission + PERMISSION_MARGIN;
        for slot in 0..self.nodes.len() {
            let node = &self.nodes[slot];
            let is_expired = !node.is_attached && now >= node.last_pong + permission;
            let must_move = node.drain_deadline.is_some_and(|at| now + CHECKPOINT_LEAD >= at);
            match &node.worker {
                Some(_) if is_expired => self.lose_worker(now, slot, "permission ran out"),
                Some(worker) if worker.draining && must_move => {
                    self.nodes[slot].drain_deadline = Some(Time::MAX);
                    self.move_tasks(slot, |step| step.has_checkpoints || step.long_running);
                }
                _ => {}
            }
        }
        self.clear_survivors();
        self.log_evacuations(now);
        if now >= self.next_cleanup {
            self.next_cleanup = now + Duration::from_secs(1);
            // Steps become starved without any event, so placement runs at least once per second.
            self.request_round(RoundCause::Timer);
            let line = self.load_line(now);
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
            for number in old.into_iter().take(MAX_COMMIT_KEYS) {
                self.jobs.remove(&number);
                self.expired.push(number);
            }
            self.expire_early_cancels(now);
        }
        let since = std::mem::replace(&mut self.last_timer_check, now);
        let backoff_expired = |node: &Node| node.backoff_until > since && node.backoff_until <= now;
        if self.nodes.iter().any(backoff_expired) {
            self.request_round(RoundCause::Room);
        }
    }
}

/// Tells whether a listing contains a run.
pub(in crate::flow) fn is_listed(running: &[Running], task: &TaskId, run: Run) -> bool {
    running.iter().any(|listed| listed.task == *task && listed.run == run)
}
