//! Reconciliation of the attempts with the worker's task list.

use std::collections::BTreeSet;

use bytes::Bytes;

use crate::ledger::TaskDemand;
use crate::message::report::{AttemptId, Outcome};
use crate::resources::Resources;
use crate::tasks::worker::{WorkerList, WorkerOutcome, WorkerTask};
use crate::time::Time;

use super::{Attempt, Phase, StopCause, Tasks, WorkerClock, HISTORY_RETENTION};

impl Tasks {
    /// Reconciles the attempts with a task list that was requested at `asked_at` and arrived at `now`.
    /// Ignores a list without a valid claim, because a start that a previous agent process sent could
    /// still arrive after it.
    pub fn apply_list(&mut self, asked_at: Time, now: Time, list: &WorkerList) {
        let Some(claim) = self.claim else {
            return self.event("list_ignored", None, "the agent has not claimed the worker".into());
        };
        if (claim.instance, claim.controller) != (list.instance, list.controller) {
            self.event("claim_lost", None, format!("controller={}", list.controller));
            self.claim = None;
            return;
        }
        let restarted = self.clock.is_some_and(|clock| clock.instance != list.instance);
        if restarted {
            self.event("worker_restarted", None, format!("instance={}", list.instance));
        }
        self.clock =
            Some(WorkerClock { instance: list.instance, now_ms: list.now_ms, received_at: now });
        self.ledger.set_capacity(list.capacity);
        for task in &list.tasks {
            self.epoch = self.epoch.max(task.attempt.token.epoch);
            self.record_history(now, &task.attempt, task.usage);
            match &task.outcome {
                Some(outcome) => self.apply_result(now, &task.attempt, outcome),
                None => self.apply_running(asked_at, now, list.now_ms, task),
            }
        }
        let present: BTreeSet<&AttemptId> = list.tasks.iter().map(|task| &task.attempt).collect();
        self.end_absent(asked_at, now, restarted, &present);
        self.acknowledged.retain(|id| present.contains(id));
        self.removable = list
            .tasks
            .iter()
            .filter(|task| task.outcome.is_some() && self.acknowledged.contains(&task.attempt))
            .map(|task| task.attempt.clone())
            .collect();
        self.stop_superseded();
        self.prune_history(now);
    }

    fn apply_result(&mut self, now: Time, id: &AttemptId, outcome: &WorkerOutcome) {
        let known = self.acknowledged.contains(id) || self.results.contains_key(id);
        match self.attempts.get(id) {
            Some(attempt) => {
                let outcome = convert_outcome(outcome, attempt);
                self.finish(now, id, outcome);
            }
            None if known => {}
            None => {
                let outcome = convert_adopted(outcome);
                self.event("result_adopted", Some(id), String::new());
                self.results.insert(id.clone(), outcome);
            }
        }
    }

    fn apply_running(&mut self, asked_at: Time, now: Time, worker_ms: u64, task: &WorkerTask) {
        let id = &task.attempt;
        if !self.attempts.contains_key(id) {
            self.adopt(asked_at, now, worker_ms, task);
        }
        self.ledger.record_usage(now, id, task.usage);
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        attempt.worker_speed = task.speed_percent;
        attempt.confirmed_at.get_or_insert(now);
        if !task.usage.is_zero() {
            attempt.measured = task.usage;
        }
        if let Phase::Starting { .. } = attempt.phase {
            attempt.phase = Phase::Running;
            self.event("attempt_started", Some(id), "listed".into());
        }
    }

    /// Adopts a running task that this agent process did not start.
    fn adopt(&mut self, asked_at: Time, now: Time, worker_ms: u64, task: &WorkerTask) {
        let id = &task.attempt;
        let left = task.valid_until_ms.saturating_sub(worker_ms);
        // The worker read its clock after `asked_at`, so this is not later than its end of the lease.
        let lease_until = asked_at + Time::from_millis(left);
        let reservation = TaskDemand {
            class: task.class.clone(),
            need: task.need,
            urgent: task.urgent,
            measured: task.usage,
        };
        self.ledger.adopt(id.clone(), reservation);
        let attempt = Attempt {
            order: None,
            class: task.class.clone(),
            phase: Phase::Running,
            lease_until,
            renewed_until: lease_until,
            confirmed_at: Some(now),
            start_unconfirmed: false,
            checkpoint: task.checkpoint.clone().map(Bytes::from),
            measured: Resources::default(),
            worker_speed: task.speed_percent,
        };
        self.attempts.insert(id.clone(), attempt);
        self.event("attempt_adopted", Some(id), format!("lease_left_ms={left}"));
        if self.draining {
            self.stop_attempt(id, StopCause::Evicted, true, "drain");
        }
        if self.results.contains_key(id) || self.acknowledged.contains(id) {
            self.stop_attempt(id, StopCause::Ordered, false, "result already reported");
        }
    }

    /// Ends attempts that are missing from the list and whose start can no longer reach the worker.
    fn end_absent(
        &mut self,
        asked_at: Time,
        now: Time,
        restarted: bool,
        present: &BTreeSet<&AttemptId>,
    ) {
        let gone: Vec<(AttemptId, Outcome)> = self
            .attempts
            .iter()
            .filter(|(id, _)| !present.contains(id))
            .filter_map(|(id, attempt)| {
                absent_outcome(asked_at, restarted, attempt).map(|outcome| (id.clone(), outcome))
            })
            .collect();
        for (id, outcome) in gone {
            self.finish(now, &id, outcome);
        }
    }

    /// Stops all but the newest attempt of each task.
    fn stop_superseded(&mut self) {
        let ids: Vec<AttemptId> = self.attempts.keys().cloned().collect();
        for pair in ids.windows(2) {
            if (&pair[0].job, pair[0].task) == (&pair[1].job, pair[1].task) {
                self.stop_attempt(&pair[0], StopCause::Ordered, false, "superseded");
            }
        }
    }

    /// Drops the history of tasks that are no longer in use and past the retention time.
    fn prune_history(&mut self, now: Time) {
        let in_use: BTreeSet<_> = self
            .attempts
            .keys()
            .chain(self.results.keys())
            .chain(&self.acknowledged)
            .map(|id| (id.job.clone(), id.task))
            .chain(self.waiting.keys().cloned())
            .collect();
        self.history.retain(|key, history| {
            in_use.contains(key) || now < history.updated_at + HISTORY_RETENTION
        });
    }
}

/// Returns the outcome of an attempt that is missing from a list requested at `asked_at`, or `None`
/// if the attempt may still run or start.
fn absent_outcome(asked_at: Time, restarted: bool, attempt: &Attempt) -> Option<Outcome> {
    let checkpoint = attempt.checkpoint.clone();
    let lost = attempt.confirmed_at.is_some_and(|at| at <= asked_at);
    match attempt.phase {
        Phase::Stopping { cause: StopCause::Ordered, accepted_at, .. } => {
            let gone = lost || restarted || accepted_at.is_some_and(|at| at <= asked_at);
            gone.then_some(Outcome::Stopped { checkpoint })
        }
        Phase::Stopping { accepted_at, .. } => {
            let gone = lost || restarted || accepted_at.is_some_and(|at| at <= asked_at);
            gone.then_some(Outcome::Evicted { checkpoint })
        }
        Phase::Running => (lost || restarted).then_some(Outcome::Evicted { checkpoint }),
        // The worker refuses a start request that arrives after the end of its lease.
        Phase::Starting { sent: true } if asked_at > attempt.lease_until => {
            Some(Outcome::Refused { reason: "the worker did not confirm the start".into() })
        }
        // A start request names the worker's instance, and the restarted worker has a new one.
        Phase::Starting { sent: true } if restarted => Some(Outcome::Evicted { checkpoint }),
        Phase::Starting { .. } => None,
    }
}

/// Converts the worker's outcome of a known attempt to the outcome reported to the owner.
fn convert_outcome(outcome: &WorkerOutcome, attempt: &Attempt) -> Outcome {
    let ordered = matches!(attempt.phase, Phase::Stopping { cause: StopCause::Ordered, .. });
    match outcome {
        WorkerOutcome::Stopped { checkpoint } | WorkerOutcome::Expired { checkpoint } => {
            let reported = checkpoint.clone().map(Bytes::from);
            let checkpoint = reported.or_else(|| attempt.checkpoint.clone());
            match ordered {
                true => Outcome::Stopped { checkpoint },
                false => Outcome::Evicted { checkpoint },
            }
        }
        other => convert_adopted(other),
    }
}

/// Converts the worker's outcome of an attempt that this agent process did not start.
fn convert_adopted(outcome: &WorkerOutcome) -> Outcome {
    match outcome {
        WorkerOutcome::Completed => Outcome::Completed,
        WorkerOutcome::Failed { reason } => Outcome::Failed { reason: reason.clone() },
        WorkerOutcome::Stopped { checkpoint } | WorkerOutcome::Expired { checkpoint } => {
            Outcome::Evicted { checkpoint: checkpoint.clone().map(Bytes::from) }
        }
    }
}
