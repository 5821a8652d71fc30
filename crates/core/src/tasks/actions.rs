//! Actions on the worker, and the processing of their results.

use bytes::Bytes;

use crate::ledger::LimitAction;
use crate::message::report::{AttemptId, Outcome};
use crate::tasks::worker::{Claim, StartTask, TaskLease};
use crate::time::Time;

use super::{
    Action, ActionResult, Attempt, Phase, StopCause, Tasks, WorkerClock, STOP_RETRY_INTERVAL,
};

impl Tasks {
    /// Returns the actions that are due. A later call returns an action again if it failed.
    pub fn actions(&mut self, now: Time) -> Vec<Action> {
        let Some(clock) = self.clock else { return Vec::new() };
        self.admit_waiting(now);
        self.expire_leases(now);
        for relief in self.ledger.enforce_limits(now) {
            self.apply_relief(relief);
        }
        // Renewals come first, so that leases do not expire while a slow worker handles the rest.
        let mut actions: Vec<Action> = self.renew_action(now, &clock).into_iter().collect();
        for (id, attempt) in &self.attempts {
            actions.extend(self.stop_action(now, id, attempt));
        }
        for (id, attempt) in &self.attempts {
            actions.extend(self.throttle_action(id, attempt));
            actions.extend(
                self.claim.and_then(|claim| self.start_action(now, &clock, claim, id, attempt)),
            );
        }
        actions.extend(self.removable.iter().cloned().map(Action::Remove));
        actions
    }

    /// Tells whether an action is still allowed, and if so records that it is about to be sent.
    /// Has to be called just before the request, because a lease may have expired while the process
    /// was paused.
    pub fn begin(&mut self, now: Time, action: &Action) -> bool {
        match action {
            Action::Start(start) => match self.attempts.get_mut(&start.attempt) {
                Some(attempt) if now < attempt.lease_until => match &mut attempt.phase {
                    Phase::Starting { sent } => {
                        *sent = true;
                        true
                    }
                    _ => false,
                },
                _ => false,
            },
            Action::Renew { leases, .. } => leases.iter().any(|lease| {
                self.attempts.get(&lease.attempt).is_some_and(|attempt| now < attempt.lease_until)
            }),
            Action::Checkpoint(id) | Action::Stop(id) => match self.attempts.get_mut(id) {
                Some(attempt) => {
                    if let Phase::Stopping { tried_at, .. } = &mut attempt.phase {
                        *tried_at = Some(now);
                    }
                    true
                }
                None => false,
            },
            Action::Throttle(id, _) => self.attempts.contains_key(id),
            Action::Remove(id) => self.acknowledged.contains(id),
        }
    }

    /// Records the result of an action. A checkpoint that was taken is recorded with
    /// [`Tasks::record_checkpoint`].
    pub fn record_result(&mut self, now: Time, action: &Action, effect: ActionResult) {
        match (action, effect) {
            (Action::Start(start), ActionResult::Done) => self.mark_running(now, &start.attempt),
            (Action::Start(start), ActionResult::Refused(reason)) => {
                self.refuse_start(now, &start.attempt, reason);
            }
            (Action::Start(start), ActionResult::Unknown) => {
                if let Some(attempt) = self.attempts.get_mut(&start.attempt) {
                    attempt.start_unconfirmed = true;
                }
            }
            (Action::Renew { leases, until, .. }, ActionResult::Done) => {
                self.record_renewal(leases, until)
            }
            (Action::Stop(id), ActionResult::Done) => self.record_stop(now, id),
            // Stops the task without a checkpoint. The stop also makes the worker reject a start that
            // arrives late.
            (Action::Checkpoint(id), ActionResult::Refused(_)) => self.skip_checkpoint(id),
            (Action::Throttle(id, percent), ActionResult::Done) => {
                if let Some(attempt) = self.attempts.get_mut(id) {
                    attempt.worker_speed = *percent;
                }
                self.event("attempt_throttled", Some(id), format!("speed_percent={percent}"));
            }
            (Action::Remove(id), ActionResult::Done) => {
                self.removable.remove(id);
            }
            _ => {}
        }
    }

    /// Records the checkpoint that the worker took to end a task.
    pub fn record_checkpoint(&mut self, id: &AttemptId, checkpoint: Bytes) {
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.checkpoint = Some(checkpoint);
        }
    }

    fn mark_running(&mut self, now: Time, id: &AttemptId) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        attempt.confirmed_at.get_or_insert(now);
        if let Phase::Starting { .. } = attempt.phase {
            attempt.phase = Phase::Running;
            self.event("attempt_started", Some(id), String::new());
        }
    }

    fn refuse_start(&mut self, now: Time, id: &AttemptId, reason: String) {
        let Some(attempt) = self.attempts.get(id) else { return };
        // An earlier request may have started the task, which may have ended since.
        if attempt.confirmed_at.is_some() {
            return;
        }
        // An earlier start request may still arrive, and its lease may end later on the worker's clock,
        // because each list yields a different lower bound of that clock. Only a stop makes the
        // worker reject that request.
        if attempt.start_unconfirmed {
            return self.stop_attempt(id, StopCause::Ordered, false, &reason);
        }
        let checkpoint = attempt.checkpoint.clone();
        let outcome = match attempt.phase {
            Phase::Stopping { .. } => Outcome::Stopped { checkpoint },
            _ => Outcome::Refused { reason: format!("worker: {reason}") },
        };
        self.finish(now, id, outcome);
    }

    /// Records the lease ends of a renewal that the worker confirmed.
    fn record_renewal(&mut self, leases: &[TaskLease], until: &[Time]) {
        for (lease, until) in leases.iter().zip(until) {
            if let Some(attempt) = self.attempts.get_mut(&lease.attempt) {
                attempt.renewed_until = attempt.renewed_until.max(*until);
            }
        }
    }

    fn record_stop(&mut self, now: Time, id: &AttemptId) {
        let phase = self.attempts.get_mut(id).map(|attempt| &mut attempt.phase);
        if let Some(Phase::Stopping { accepted_at, .. }) = phase {
            accepted_at.get_or_insert(now);
        }
    }

    /// Continues a stop without the checkpoint that the worker refused to take.
    fn skip_checkpoint(&mut self, id: &AttemptId) {
        let phase = self.attempts.get_mut(id).map(|attempt| &mut attempt.phase);
        if let Some(Phase::Stopping { checkpoint, tried_at, .. }) = phase {
            *checkpoint = false;
            *tried_at = None;
        }
    }

    /// Refuses starts whose lease expired before they were sent, and evicts running attempts whose lease
    /// has expired. The worker should have stopped those already.
    fn expire_leases(&mut self, now: Time) {
        let expired: Vec<(AttemptId, Phase)> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.lease_until <= now)
            .map(|(id, attempt)| (id.clone(), attempt.phase))
            .collect();
        for (id, phase) in expired {
            match phase {
                Phase::Starting { sent: false } => {
                    let reason = "the lease expired before the start".to_owned();
                    self.finish(now, &id, Outcome::Refused { reason });
                }
                Phase::Running => self.stop_attempt(&id, StopCause::Evicted, true, "lease expired"),
                _ => {}
            }
        }
    }

    fn apply_relief(&mut self, relief: LimitAction) {
        match relief {
            LimitAction::Evict(id) => {
                self.stop_attempt(&id, StopCause::Evicted, true, "usage exceeds the VM's capacity");
            }
            LimitAction::Throttle(id) => self.event("growth_throttled", Some(&id), String::new()),
            LimitAction::Restore(id) => self.event("growth_restored", Some(&id), String::new()),
        }
    }

    /// Returns the CPU speed that an attempt should have, in percent.
    fn speed(&self, id: &AttemptId, attempt: &Attempt) -> u8 {
        let class = self.class_speeds.get(&attempt.class).copied().unwrap_or(100);
        class.min(self.ledger.speed(id))
    }

    fn stop_action(&self, now: Time, id: &AttemptId, attempt: &Attempt) -> Option<Action> {
        match attempt.phase {
            Phase::Stopping { tried_at: Some(at), .. } if now < at + STOP_RETRY_INTERVAL => None,
            Phase::Stopping { checkpoint: true, .. } => Some(Action::Checkpoint(id.clone())),
            Phase::Stopping { .. } => Some(Action::Stop(id.clone())),
            _ => None,
        }
    }

    fn renew_action(&self, now: Time, clock: &WorkerClock) -> Option<Action> {
        let due = |attempt: &Attempt| {
            attempt.phase == Phase::Running
                && attempt.lease_until > attempt.renewed_until
                && attempt.lease_until > now
        };
        let due = self.attempts.iter().filter(|(_, attempt)| due(attempt));
        let (leases, until): (Vec<TaskLease>, Vec<Time>) = due
            .map(|(id, attempt)| {
                let valid_until_ms = clock.worker_ms_at(attempt.lease_until);
                (TaskLease { attempt: id.clone(), valid_until_ms }, attempt.lease_until)
            })
            .unzip();
        let instance = clock.instance;
        (!leases.is_empty()).then_some(Action::Renew { instance, leases, until })
    }

    fn throttle_action(&self, id: &AttemptId, attempt: &Attempt) -> Option<Action> {
        let speed = self.speed(id, attempt);
        (attempt.phase == Phase::Running && attempt.worker_speed != speed)
            .then(|| Action::Throttle(id.clone(), speed))
    }

    fn start_action(
        &self,
        now: Time,
        clock: &WorkerClock,
        claim: Claim,
        id: &AttemptId,
        attempt: &Attempt,
    ) -> Option<Action> {
        let starting = matches!(attempt.phase, Phase::Starting { .. });
        let order = attempt.order.as_ref().filter(|_| starting && now < attempt.lease_until)?;
        Some(Action::Start(StartTask {
            claim,
            valid_until_ms: clock.worker_ms_at(attempt.lease_until),
            attempt: id.clone(),
            team: order.team.clone(),
            class: order.class.clone(),
            need: order.need,
            urgent: order.urgent,
            command: String::from_utf8_lossy(&order.command).into_owned(),
            checkpoint: order
                .checkpoint
                .as_ref()
                .map(|checkpoint| String::from_utf8_lossy(checkpoint).into_owned()),
            speed_percent: self.speed(id, attempt),
        }))
    }
}
