//! Processing of the orders that the cell's owner returns in its reply to a report.

use crate::ledger::TaskDemand;
use crate::message::report::{AttemptId, Orders, Outcome, StartOrder, StopOrder};
use crate::resources::Resources;
use crate::time::Time;

use super::{Attempt, Phase, StopCause, Tasks, WaitingStart, MAX_LIST_AGE};

impl Tasks {
    /// Applies the owner's reply to the last report. Each report accepts one reply: duplicates, replies
    /// to earlier reports and replies with an old epoch are ignored.
    pub fn apply_orders(&mut self, now: Time, orders: Orders) {
        if orders.epoch < self.epoch {
            let detail = format!("epoch={} seen={}", orders.epoch, self.epoch);
            self.event("old_epoch_refused", None, detail);
            return;
        }
        let pending = self
            .pending_report
            .take_if(|pending_report| pending_report.sequence == orders.sequence);
        let Some(pending) = pending else {
            let detail = format!("sequence={} last={}", orders.sequence, self.sequence);
            self.event("late_orders_refused", None, detail);
            return;
        };
        if orders.epoch > self.epoch {
            self.event("epoch_raised", None, format!("epoch={}", orders.epoch));
            self.epoch = orders.epoch;
        }
        if orders.challenge != 0 {
            self.challenge = orders.challenge;
        }
        for id in &orders.acknowledged {
            self.acknowledge(id);
        }
        for stop in &orders.stops {
            self.apply_stop(now, stop);
        }
        let lease_until = pending.sent_at + orders.lease;
        // The worker has to store the new epoch first. Otherwise the agent could accept orders of the
        // former owner after a restart.
        if lease_until <= now || self.worker_epoch < self.epoch {
            return;
        }
        for id in &pending.attempts {
            self.extend_lease(id, lease_until);
        }
        for start in orders.starts {
            self.apply_start(now, start, lease_until);
        }
    }

    fn acknowledge(&mut self, id: &AttemptId) {
        if self.results.remove(id).is_some() {
            // Kept until a list shows that the worker no longer keeps the result.
            self.acknowledged.insert(id.clone());
        }
    }

    fn apply_stop(&mut self, now: Time, stop: &StopOrder) {
        let key = (stop.attempt.job.clone(), stop.attempt.task);
        match self.waiting.get(&key) {
            Some(waiting) if waiting.order.attempt == stop.attempt => {
                let checkpoint = waiting.order.checkpoint.clone();
                self.waiting.remove(&key);
                self.finish(now, &stop.attempt, Outcome::Stopped { checkpoint });
            }
            _ => self.stop_attempt(&stop.attempt, StopCause::Ordered, stop.checkpoint, "ordered"),
        }
    }

    fn extend_lease(&mut self, id: &AttemptId, until: Time) {
        match self.attempts.get_mut(id) {
            Some(attempt) if !matches!(attempt.phase, Phase::Stopping { .. }) => {
                attempt.lease_until = attempt.lease_until.max(until);
            }
            _ => {}
        }
        match self.waiting.get_mut(&(id.job.clone(), id.task)) {
            Some(waiting) if waiting.order.attempt == *id => {
                waiting.lease_until = waiting.lease_until.max(until);
            }
            _ => {}
        }
    }

    fn apply_start(&mut self, now: Time, order: StartOrder, lease_until: Time) {
        let id = order.attempt.clone();
        let key = (id.job.clone(), id.task);
        let latest_token = self.history.get(&key).map(|history| history.token);
        let exists = self.attempts.contains_key(&id)
            || self.results.contains_key(&id)
            || self.acknowledged.contains(&id);
        match latest_token {
            _ if exists => return self.event("duplicate_start_ignored", Some(&id), String::new()),
            Some(token) if token == id.token => {
                return self.event("duplicate_start_ignored", Some(&id), String::new());
            }
            Some(token) if token > id.token => {
                let reason = format!(
                    "token is older than the latest: epoch={} number={}",
                    token.epoch, token.number
                );
                return self.refuse(id, reason);
            }
            _ => {}
        }
        self.record_history(now, &id, Resources::default());
        if self.draining {
            return self.refuse(id, "the agent is draining".into());
        }
        for older in self.older_attempts(&id) {
            self.stop_attempt(&older, StopCause::Ordered, false, "superseded by a newer attempt");
        }
        match self.older_attempts(&id).is_empty() {
            true => self.admit(now, order, lease_until),
            false => {
                self.event("start_waiting", Some(&id), String::new());
                let replaced = self.waiting.insert(key, WaitingStart { order, lease_until });
                if let Some(replaced) = replaced {
                    self.refuse(replaced.order.attempt, "replaced by a newer attempt".into());
                }
            }
        }
    }

    /// Admits waiting starts whose older attempts have ended; refuses those whose lease has expired.
    pub(super) fn admit_waiting(&mut self, now: Time) {
        for (key, waiting) in std::mem::take(&mut self.waiting) {
            let id = &waiting.order.attempt;
            match (waiting.lease_until > now, self.older_attempts(id).is_empty()) {
                (false, _) => self.refuse(id.clone(), "the lease expired before the start".into()),
                (true, true) => self.admit(now, waiting.order, waiting.lease_until),
                (true, false) => {
                    self.waiting.insert(key, waiting);
                }
            }
        }
    }

    fn admit(&mut self, now: Time, order: StartOrder, lease_until: Time) {
        let id = order.attempt.clone();
        let age = self.clock.map(|clock| now.saturating_sub(clock.received_at));
        if age.is_none_or(|age| age > MAX_LIST_AGE) {
            return self.refuse(id, "the worker does not respond".into());
        }
        if self.blocked_classes.contains(&order.class) {
            return self.refuse(id, "class slows the VM's service".into());
        }
        let key = (id.job.clone(), id.task);
        // The measured usage of an earlier attempt corrects a declared need that is too low.
        let measured = self.history.get(&key).map(|history| history.measured).unwrap_or_default();
        let reservation = TaskDemand {
            class: order.class.clone(),
            need: order.need,
            urgent: order.urgent,
            measured,
        };
        if let Err(refusal) = self.ledger.admit(id.clone(), reservation) {
            return self.refuse(id, refusal.to_string());
        }
        self.event("start_admitted", Some(&id), format!("class={}", order.class));
        let attempt = Attempt {
            class: order.class.clone(),
            phase: Phase::Starting { sent: false },
            lease_until,
            renewed_until: lease_until,
            confirmed_at: None,
            start_unconfirmed: false,
            checkpoint: order.checkpoint.clone(),
            measured: Resources::default(),
            worker_speed: 100,
            order: Some(order),
        };
        self.attempts.insert(id, attempt);
    }
}
