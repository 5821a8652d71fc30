//! Answers to agents' reports: leases, start and stop orders, and acknowledgements of results.

use std::time::Duration;

use crate::cell::owner::Cell;
use crate::cell::state::Attempt;
use crate::cell::worker::{LiveAttempt, Stage, StartSent, Worker};
use crate::id::{Incarnation, JobId, TaskIndex};
use crate::message::report::{AttemptId, Orders, StartOrder, StopOrder};
use crate::time::{lease_wait, Time};

/// Time after a stop order until it is sent again if the agent's reports still list the attempt.
const STOP_RESEND_INTERVAL: Duration = Duration::from_secs(1);
/// Time after a start order until it is sent again if a report newer than the answered one does not
/// list the attempt, which means that the answer with the order was lost.
const START_RESEND_INTERVAL: Duration = Duration::from_millis(200);
/// Most start orders in one answer to an agent's report. With commands of 4 KB, the answer stays
/// far below the frame limit of 1 MB.
const MAX_STARTS_PER_ANSWER: usize = 64;
/// Most stop orders in one answer to an agent's report.
const MAX_STOPS_PER_ANSWER: usize = 512;

impl Cell {
    /// Tells whether the agent's report that waits for an answer has to be answered at once,
    /// because orders, acknowledgements, a challenge or a new epoch are ready for the agent.
    pub fn has_orders(&self, now: Time, agent: &str) -> bool {
        let Some(worker) = self.workers.by_agent(agent) else { return false };
        let is_granting = self.may_grant(now);
        self.is_stopped()
            || worker.epoch < self.state.epoch
            || worker.candidate.is_some_and(|candidate| !candidate.sent)
            || worker.results.iter().any(|id| self.is_acknowledged(worker, id))
            || worker.orphans.values().any(|sent| is_resend_due(*sent, now))
            || worker.attempts.values().any(|live| {
                self.is_stop_due(live, now) || (is_granting && self.is_start_due(worker, live, now))
            })
    }

    /// Builds the answer to a report; `None` if this owner has stopped. Only the answer to the
    /// agent's newest report carries a lease, orders and acknowledgements.
    pub fn answer(
        &mut self,
        now: Time,
        agent: &str,
        incarnation: Incarnation,
        sequence: u64,
    ) -> Option<Orders> {
        if self.is_stopped() {
            return None;
        }
        let mut orders = Orders { epoch: self.state.epoch, sequence, ..Orders::default() };
        if let Some(worker) = self.workers.by_agent_mut(agent) {
            let candidate = worker.candidate.as_mut();
            if let Some(candidate) =
                candidate.filter(|candidate| candidate.incarnation == incarnation)
            {
                candidate.sent = true;
                orders.challenge = candidate.challenge;
                return Some(orders);
            }
        }
        let is_newest = self.workers.by_agent(agent).is_some_and(|worker| {
            worker.incarnation == Some(incarnation) && worker.sequence == Some(sequence)
        });
        if !is_newest {
            return Some(orders);
        }
        if self.may_grant(now) {
            orders.lease = self.settings.lease;
            orders.starts = self.take_starts(now, agent, sequence);
            let lease_expiry = now + lease_wait(self.settings.lease);
            let worker = self.workers.by_agent_mut(agent)?;
            worker.lease_expiry = worker.lease_expiry.max(lease_expiry);
        }
        orders.stops = self.take_stops(now, agent);
        let worker = self.workers.by_agent(agent)?;
        let done = |id: &&AttemptId| self.is_acknowledged(worker, id);
        orders.acknowledged = worker.results.iter().filter(done).cloned().collect();
        let committed = self.committed;
        let worker = self.workers.by_agent_mut(agent)?;
        worker.results.retain(|id| !orders.acknowledged.contains(id));
        worker.uncommitted_ends.retain(|_, sequence| *sequence > committed);
        Some(orders)
    }

    /// Returns the start orders to send to an agent now, and records them as sent in the answer to
    /// report `sequence`.
    fn take_starts(&mut self, now: Time, agent: &str, sequence: u64) -> Vec<StartOrder> {
        let Some(worker) = self.workers.by_agent(agent) else { return Vec::new() };
        let due = worker.attempts.iter().filter(|(_, live)| self.is_start_due(worker, live, now));
        let orders: Vec<StartOrder> = due
            .filter_map(|((job, task), _)| self.start_order(job, *task))
            .take(MAX_STARTS_PER_ANSWER)
            .collect();
        if let Some(worker) = self.workers.by_agent_mut(agent) {
            for order in &orders {
                let key = (order.attempt.job.clone(), order.attempt.task);
                if let Some(live) = worker.attempts.get_mut(&key) {
                    live.start_sent = Some(StartSent { sequence, at: now });
                }
            }
        }
        orders
    }

    /// Builds the start order for the current attempt of a task.
    fn start_order(&self, job: &JobId, task: TaskIndex) -> Option<StartOrder> {
        let record = self.state.jobs.get(job)?;
        let Attempt { token, resume, .. } = record.attempts.get(&task)?;
        Some(StartOrder {
            attempt: AttemptId { job: job.clone(), task, token: *token },
            team: record.spec.team.clone(),
            class: record.spec.class.clone(),
            need: record.spec.need,
            urgent: record.urgent,
            command: record.spec.command.clone(),
            checkpoint: resume.checkpoint.clone(),
        })
    }

    /// Returns the stop orders to send to an agent now, and records them as sent.
    fn take_stops(&mut self, now: Time, agent: &str) -> Vec<StopOrder> {
        let Some(worker) = self.workers.by_agent(agent) else { return Vec::new() };
        let due = worker.attempts.iter().filter(|(_, live)| self.is_stop_due(live, now));
        let mut stops: Vec<AttemptId> = due
            .map(|((job, task), live)| AttemptId {
                job: job.clone(),
                task: *task,
                token: live.token,
            })
            .collect();
        let orphans = worker.orphans.iter().filter(|(_, sent)| is_resend_due(**sent, now));
        stops.extend(orphans.map(|(id, _)| id.clone()));
        stops.truncate(MAX_STOPS_PER_ANSWER);
        if let Some(worker) = self.workers.by_agent_mut(agent) {
            for id in &stops {
                record_stop_sent(worker, id, now);
            }
        }
        stops.into_iter().map(|attempt| StopOrder { attempt, checkpoint: false }).collect()
    }

    /// Tells whether the start order of an attempt belongs in an answer to the worker's newest
    /// report.
    fn is_start_due(&self, worker: &Worker, live: &LiveAttempt, now: Time) -> bool {
        let is_send_due = match live.start_sent {
            None => true,
            Some(sent) => {
                worker.sequence > Some(sent.sequence) && now >= sent.at + START_RESEND_INTERVAL
            }
        };
        // A start order goes only to the incarnation for which it was placed. Otherwise a replaced
        // owner could send an order that it had committed earlier to a new VM, whose agent has not
        // heard of the next owner yet.
        live.target == worker.incarnation
            && live.stage == Stage::Ordered
            && live.stop_event.is_none()
            && live.start_event <= self.committed
            && is_send_due
    }

    /// Tells whether to send a stop order for an attempt now: the event that allows the order is
    /// committed, and no stop order was sent shortly before.
    fn is_stop_due(&self, live: &LiveAttempt, now: Time) -> bool {
        live.stop_event.is_some_and(|after| after <= self.committed)
            && is_resend_due(live.stop_sent, now)
    }

    /// Tells whether the event for a reported result is committed, so that the agent may drop the
    /// result.
    fn is_acknowledged(&self, worker: &Worker, id: &AttemptId) -> bool {
        worker.uncommitted_ends.get(id).is_none_or(|sequence| *sequence <= self.committed)
    }
}

/// Records the time of a stop order for an attempt or an orphan, which is an attempt that a report
/// lists but that is not current.
fn record_stop_sent(worker: &mut Worker, id: &AttemptId, now: Time) {
    if let Some(sent) = worker.orphans.get_mut(id) {
        *sent = Some(now);
    } else if let Some(live) = worker.attempts.get_mut(&(id.job.clone(), id.task)) {
        live.stop_sent = Some(now);
    }
}

/// Tells whether a stop order last sent at `sent` has to be sent now; an order that was never sent
/// always has.
fn is_resend_due(sent: Option<Time>, now: Time) -> bool {
    sent.is_none_or(|sent| now >= sent + STOP_RESEND_INTERVAL)
}
