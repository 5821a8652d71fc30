//! Processing of agents' reports, and the end of attempts.

use std::collections::BTreeMap;

use crate::cell::owner::{Cell, Effect};
use crate::cell::state::{Event, Phase};
use crate::cell::worker::{LiveAttempt, Stage};
use crate::id::{AgentId, JobId, TaskIndex};
use crate::message::report::{AttemptId, Outcome, Report, RunningTask, TaskResult};
use crate::resources::Resources;
use crate::time::{lease_wait, Time};

/// Largest stored length of the reason for a task's failure, in characters; a longer reason is cut.
const MAX_REASON_CHARS: usize = 256;

/// Result of processing an agent's report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportStatus {
    /// The report has to be answered.
    Accepted,
    /// A newer report of the agent was processed before; this one is ignored.
    Stale,
    /// The cell has another owner, or this owner has stopped.
    NotOwner,
}

impl Cell {
    /// Processes an agent's report. A report with a higher epoch stops this owner, because it shows
    /// that the cell has a newer one.
    pub fn report(&mut self, now: Time, report: &Report) -> ReportStatus {
        if report.epoch > self.state.epoch {
            self.stop();
        }
        if self.is_stopped() {
            return ReportStatus::NotOwner;
        }
        let slot = self.workers.insert(&report.agent, now);
        let Some(worker) = self.workers.get_mut(slot) else { return ReportStatus::Stale };
        if worker.is_unverified(report.incarnation, report.echo) {
            worker.challenge(report.incarnation, self.rng.u64(1..));
            return ReportStatus::Accepted;
        }
        if worker.is_stale(report.incarnation, report.sequence) {
            return ReportStatus::Stale;
        }
        worker.set_incarnation(report.incarnation, report.sequence);
        self.update_worker(now, slot, report);
        for result in &report.results {
            self.process_result(now, slot, result);
        }
        self.reconcile_attempts(slot, report);
        if let Some(worker) = self.workers.get_mut(slot) {
            worker.update_available();
        }
        self.reindex(slot, now);
        ReportStatus::Accepted
    }

    /// Updates the record of a worker from its report.
    fn update_worker(&mut self, now: Time, slot: usize, report: &Report) {
        let epoch_accepted = report.epoch == self.state.epoch;
        let wait = lease_wait(self.settings.lease);
        self.workers.set_rack(slot, &report.rack);
        let Some(worker) = self.workers.get_mut(slot) else { return };
        worker.epoch = report.epoch;
        worker.set_state(report.state);
        worker.capacity = report.batch_capacity;
        worker.free = report.free;
        worker.urgent_free = report.urgent_free;
        worker.pressure = report.pressure_percent;
        worker.last_report = Some(now);
        worker.results = report.results.iter().map(|result| result.attempt.clone()).collect();
        let max_capacity = worker.max_capacity.max(&report.batch_capacity);
        let has_grown = max_capacity != worker.max_capacity;
        worker.max_capacity = max_capacity;
        if worker.unfenced && epoch_accepted {
            // The agent now rejects earlier owners, so the leases that they granted expire.
            worker.unfenced = false;
            worker.lease_expiry = now + wait;
        }
        if has_grown {
            self.fit_cache.clear();
        }
    }

    /// Ends the attempt of a reported result, unless the attempt is no longer current.
    fn process_result(&mut self, now: Time, slot: usize, result: &TaskResult) {
        let id = &result.attempt;
        let agent = self.workers.get(slot).map(|worker| worker.agent.clone());
        let attempt = self.state.jobs.get(&id.job).and_then(|job| job.attempt(id));
        if attempt.map(|attempt| &attempt.agent) != agent.as_ref() {
            return;
        }
        match &result.outcome {
            Outcome::Completed => {
                self.end_attempt(slot, Event::Completed { attempt: id.clone() }, id);
                self.record_success(slot, &id.job);
            }
            Outcome::Evicted { checkpoint } => {
                let checkpoint = self.admit_checkpoint(checkpoint);
                self.end_attempt(slot, Event::Evicted { attempt: id.clone(), checkpoint }, id);
            }
            Outcome::Stopped { checkpoint } => {
                let checkpoint = self.admit_checkpoint(checkpoint);
                self.end_attempt(slot, Event::Requeued { attempt: id.clone(), checkpoint }, id);
            }
            Outcome::Refused { .. } => {
                self.end_attempt(
                    slot,
                    Event::Requeued { attempt: id.clone(), checkpoint: None },
                    id,
                );
                self.record_refusal(now, slot);
            }
            Outcome::Failed { reason } => {
                let reason: String = reason.chars().take(MAX_REASON_CHARS).collect();
                let counted = !self.is_quarantined(now, slot);
                self.last_failure.insert(id.job.clone(), now);
                let failed_before =
                    self.state.jobs.get(&id.job).is_some_and(|job| job.failed_recently);
                self.end_attempt(slot, Event::Failed { attempt: id.clone(), reason, counted }, id);
                if !failed_before {
                    self.record_failure(now, slot, &id.job);
                }
            }
        }
    }

    /// Records the largest resource usage among the tasks of each job, as measured in a report.
    /// Throttled tasks are left out, because they use less than at full speed.
    fn record_usage(&mut self, report: &Report) {
        let at_full_speed =
            |task: &&RunningTask| task.speed_percent == 100 && !task.measured.is_zero();
        for task in report.running.iter().filter(at_full_speed) {
            let id = &task.attempt.job;
            match self.job_usage.get_mut(id) {
                Some(job_usage) => *job_usage = job_usage.max(&task.measured),
                None if self.state.jobs.get(id).is_some_and(|job| !job.phase.is_final()) => {
                    self.job_usage.insert(id.clone(), task.measured);
                }
                None => {}
            }
        }
    }

    /// Compares the attempts that a report lists with those that should run on the worker. Requeues
    /// attempts that have ended without a result, and records orphans: listed attempts that are not
    /// current and have to be stopped.
    fn reconcile_attempts(&mut self, slot: usize, report: &Report) {
        let epoch_accepted = report.epoch == self.state.epoch;
        let listed: BTreeMap<&AttemptId, &Resources> =
            report.running.iter().map(|task| (&task.attempt, &task.measured)).collect();
        self.record_usage(report);
        let Some(worker) = self.workers.get_mut(slot) else { return };
        let mut ended = Vec::new();
        for ((job, task), live) in &mut worker.attempts {
            let id = AttemptId { job: job.clone(), task: *task, token: live.token };
            live.reported = listed.contains_key(&id);
            live.measured = listed.get(&id).map_or(Resources::default(), |measured| **measured);
            live.expected_usage = self.job_usage.get(job).copied().unwrap_or_default();
            if live.reported {
                live.stage = Stage::Running;
            } else if has_ended(live, report, epoch_accepted) {
                ended.push(id);
            }
        }
        let attempts = &worker.attempts;
        let is_orphan = |id: &AttemptId| {
            let live = attempts.get(&(id.job.clone(), id.task));
            live.is_none_or(|live| live.token != id.token)
        };
        let orphans: Vec<AttemptId> =
            listed.keys().filter(|id| is_orphan(id)).map(|&id| id.clone()).collect();
        worker.orphans.retain(|id, _| listed.contains_key(id) && orphans.contains(id));
        for id in orphans {
            worker.orphans.entry(id).or_insert(None);
        }
        for id in ended {
            self.end_attempt(slot, Event::Requeued { attempt: id.clone(), checkpoint: None }, &id);
        }
    }

    /// Proposes the event that ends an attempt, and removes the attempt from its worker.
    pub(super) fn end_attempt(&mut self, slot: usize, event: Event, id: &AttemptId) {
        let Some(job) = self.state.jobs.get(&id.job) else { return };
        let (team, need) = (job.spec.team.clone(), job.spec.need);
        let previous_phase = job.phase;
        self.propose(event);
        if let Some(used) = self.team_reserved.get_mut(&team) {
            *used = used.minus(&need);
        }
        let proposed = self.proposed;
        if let Some(worker) = self.workers.get_mut(slot) {
            worker.attempts.remove(&(id.job.clone(), id.task));
            worker.uncommitted_ends.insert(id.clone(), proposed);
            worker.update_available();
            let wake = Effect::Wake(worker.agent.clone());
            let rack = worker.rack_number;
            self.decrement_rack_tasks(&id.job, rack);
            self.after_commit(wake);
        }
        self.reindex_available(slot);
        self.sync_job(&id.job);
        self.stop_attempts(&id.job, previous_phase);
    }

    /// Decrements the number of the job's running tasks in a rack.
    fn decrement_rack_tasks(&mut self, job: &JobId, rack: usize) {
        if let Some(count) =
            self.rack_tasks.get_mut(job).and_then(|rack_tasks| rack_tasks.get_mut(&rack))
        {
            *count = count.saturating_sub(1);
        }
    }

    /// Orders the remaining attempts of a job to stop if the job has just left the active phase.
    /// `previous_phase` is the job's phase before the last event.
    pub(super) fn stop_attempts(&mut self, id: &JobId, previous_phase: Phase) {
        let Some(job) = self.state.jobs.get(id) else { return };
        if previous_phase != Phase::Active
            || !matches!(job.phase, Phase::Cancelling | Phase::Failing)
        {
            return;
        }
        let attempts: Vec<(TaskIndex, AgentId)> =
            job.attempts.iter().map(|(task, attempt)| (*task, attempt.agent.clone())).collect();
        let mut unsent = Vec::new();
        for (task, agent) in attempts {
            let Some(slot) = self.workers.find(&agent) else { continue };
            let proposed = self.proposed;
            let Some(worker) = self.workers.get_mut(slot) else { continue };
            let Some(live) = worker.attempts.get_mut(&(id.clone(), task)) else { continue };
            match live {
                LiveAttempt { stage: Stage::Ordered, start_sent: None, token, .. } => {
                    unsent.push((slot, AttemptId { job: id.clone(), task, token: *token }));
                }
                live => {
                    live.stop_event = Some(proposed);
                    self.after_commit(Effect::Wake(agent));
                }
            }
        }
        // A start order that was never sent needs no confirmation of its stop.
        for (slot, id) in unsent {
            self.end_attempt(slot, Event::Requeued { attempt: id.clone(), checkpoint: None }, &id);
        }
    }

    /// Requeues all attempts of the worker in this slot if every lease granted to it has expired.
    pub(super) fn requeue_expired(&mut self, slot: usize, now: Time) {
        let Some(worker) = self.workers.get(slot).filter(|worker| now >= worker.lease_expiry)
        else {
            return;
        };
        let lost: Vec<AttemptId> = worker
            .attempts
            .iter()
            .map(|((job, task), live)| AttemptId {
                job: job.clone(),
                task: *task,
                token: live.token,
            })
            .collect();
        for id in lost {
            self.end_attempt(slot, Event::Requeued { attempt: id.clone(), checkpoint: None }, &id);
        }
    }
}

/// Tells whether an attempt that its agent's report does not list has ended or will never start.
/// `epoch_accepted` tells whether the agent has accepted this owner's epoch.
fn has_ended(live: &LiveAttempt, report: &Report, epoch_accepted: bool) -> bool {
    // Until the agent accepts this epoch, a delayed order from an earlier owner may start the
    // attempt.
    match live.stage {
        _ if !epoch_accepted => false,
        Stage::Running | Stage::Inherited => true,
        // An agent obeys only the answer to its newest report, so it ignores an order that it has
        // not carried out by then. The order is sent again unless the attempt is to be stopped.
        // Another incarnation never gets the order, and lists the attempts that its predecessor
        // started.
        Stage::Ordered => {
            let is_order_lost = live
                .start_sent
                .is_some_and(|sent| sent.sequence < report.sequence && live.stop_event.is_some());
            live.target != Some(report.incarnation) || is_order_lost
        }
    }
}
