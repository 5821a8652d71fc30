//! Takeover from a previous owner, and adoption of runs that are already in progress on workers.

use std::time::Duration;

use super::crashes::{Crash, CrashLedger};
use super::incarnation;
use super::interference::InterferenceRow;
use super::message::{End, OwnerMessage, Running, WorkerInfo, MAX_LISTED_ENDS};
use super::model::{JobNumber, JobSpec};
use super::owner::{is_listed, traits, Owner, RoundCause, Slot, UNKNOWN_NODE};
use super::progress::Progress;
use super::step::Attempt;
use crate::time::Time;

/// Margin added to the time that a new owner waits for agents that do not report; covers rounding
/// of lease times.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(300);

impl Owner {
    /// Takes over a stored job that has not ended. Its tasks are not started until every agent in
    /// the predecessor's roster has reported, or the permissions of its workers have expired.
    pub fn inherit(&mut self, now: Time, number: JobNumber, spec: JobSpec, progress: Progress) {
        self.insert(now, number, spec, progress, true);
    }

    /// Takes over the record of an ended job.
    pub fn inherit_ended(&mut self, now: Time, number: JobNumber, progress: Progress) {
        let queue = super::model::Queue {
            name: String::new(),
            service: String::new(),
            priority: 0,
            attempts: 1,
            stretch: 1.0,
            slack_ms: 0,
            advice: None,
        };
        let spec = JobSpec {
            queue,
            command: String::new(),
            steps: Vec::new(),
            timetable: None,
            submitted: 0,
        };
        self.insert(now, number, spec, progress, true);
    }

    /// Sets the nodes whose workers may still run tasks under a permission from the predecessor.
    pub fn set_predecessor(&mut self, now: Time, roster: Vec<String>) {
        self.unreported = roster.into_iter().collect();
        self.takeover_deadline = Some(now + self.settings.permission + TAKEOVER_MARGIN);
        self.mark_roster_changed();
    }

    /// Notes that any node's worker may still run tasks under a permission from the predecessor, as its
    /// roster cannot be read. The takeover lasts until all permissions have expired. The roster says so
    /// until then, for the case that another owner takes over meanwhile.
    pub fn set_unknown_predecessor(&mut self, now: Time) {
        self.set_predecessor(now, vec![UNKNOWN_NODE.to_owned()]);
    }

    /// Takes over the interference weights that the predecessor learned.
    pub fn inherit_interference(&mut self, rows: &[InterferenceRow]) {
        self.interference.restore(rows);
    }

    /// Takes over the crashes of workers that the predecessor has recorded.
    pub fn inherit_crashes(&mut self, crashes: Vec<Crash>) {
        self.crashes = CrashLedger::restore(crashes);
    }

    /// Finishes the takeover once all agents in the predecessor's roster have reported, or the
    /// permissions of their workers to run tasks have expired.
    pub(super) fn finish_takeover(&mut self, now: Time) {
        let Some(at) = self.takeover_deadline else { return };
        if now >= at || self.unreported.is_empty() {
            let detail = format!("unheard={}", self.unreported.len());
            self.log("takeover_settled", None, detail);
            self.takeover_deadline = None;
            self.unreported.clear();
            self.presume_starved(now);
            self.request_round(RoundCause::Agent);
            self.mark_roster_changed();
        }
    }

    /// Handles a report of an agent at the beginning of a session, which contains the state of the
    /// worker: applies the `ends` of runs, requeues the tasks that the worker does not run, and adopts
    /// or stops the runs in `running`. The worker already refuses delayed orders of older sessions. If
    /// it has more ends than it lists at once, only `ends` are applied, and another report follows
    /// once they are acknowledged.
    pub(super) fn attach(
        &mut self,
        now: Time,
        slot: Slot,
        worker: Option<WorkerInfo>,
        running: Vec<Running>,
        ends: Vec<End>,
    ) {
        let known = self.nodes[slot].worker.as_ref().map(|worker| worker.id.clone());
        match (known, worker.as_ref().map(|worker| &worker.id)) {
            (Some(known), Some(id)) if incarnation::is_sibling(&known, id) => {
                self.restarted(now, slot, id, &running)
            }
            (Some(known), id) if id != Some(&known) => self.replaced(now, slot),
            _ => {}
        }
        let is_complete = ends.len() < MAX_LISTED_ENDS;
        let name = self.nodes[slot].name.clone();
        let node = &mut self.nodes[slot];
        if is_complete {
            self.unreported.remove(&name);
            node.stale_runs.clear();
            node.is_attached = true;
            node.last_pong = now;
        }
        if !node.in_roster {
            self.mark_roster_changed();
        }
        let detail = format!(
            "node={name} worker={} running={} ends={} complete={is_complete}",
            worker.as_ref().map_or("none", |worker| worker.id.as_str()),
            running.len(),
            ends.len()
        );
        self.log("agent_attached", None, detail);
        let Some(worker) = worker else { return };
        let id = worker.id.clone();
        let (is_draining, remaining) = (worker.draining, worker.remaining);
        self.nodes[slot].last_service = worker.service.clone();
        self.nodes[slot].worker = Some(worker);
        self.check_zone(slot);
        // The acknowledgement of these ends was lost with an earlier session.
        if ends.iter().any(|end| end.number <= self.nodes[slot].acknowledged) {
            self.send_acknowledgement(slot);
        }
        self.ends(now, slot, &id, ends);
        if !is_complete {
            return;
        }
        self.forget_unlisted(slot, &running);
        let mut rows = Vec::new();
        for run in &running {
            if self.adopt(now, slot, run) {
                if let Some((spec, _)) = self.step_mut(&run.task) {
                    rows.push((run.task, traits(&spec.steps[usize::from(run.task.step)])));
                }
            } else {
                self.send(slot, OwnerMessage::Stop { task: run.task, run: run.run });
            }
        }
        if !rows.is_empty() {
            self.send(slot, OwnerMessage::Traits { rows });
        }
        if is_draining {
            if let Some(worker) = self.nodes[slot].worker.as_mut() {
                worker.draining = false;
            }
            self.nodes[slot].drain_deadline = None;
            self.draining(now, slot, &id, remaining);
        }
        self.request_round(RoundCause::Agent);
    }

    /// Requeues the tasks that the owner started on a node in an older session and that the worker
    /// does not list as running.
    fn forget_unlisted(&mut self, slot: Slot, running: &[Running]) {
        let lost: Vec<_> = self.nodes[slot]
            .tasks
            .iter()
            .filter(|(task, run)| !is_listed(running, task, **run))
            .map(|(task, run)| (*task, *run))
            .collect();
        for (task, run) in lost {
            self.log("run_lost", Some(task.job), format!("task={task} run={run}"));
            if self.drop_run(&task, run).is_some() {
                self.stop_gang_of_lost(&task);
            }
        }
    }

    /// Adopts a run that a worker lists, unless the owner does not need it. Returns whether the run
    /// may continue.
    fn adopt(&mut self, now: Time, slot: Slot, listed: &Running) -> bool {
        let task = listed.task;
        let is_over = self.jobs.get(&task.job).is_none_or(|job| job.phase.is_final());
        if is_over {
            return self.hold_for_stale_run(slot, listed);
        }
        let is_open = self.open_occurrence(task.job, task.occurrence);
        let Some((spec, state)) = self.step_mut(&task).filter(|_| is_open) else { return false };
        let step = spec.steps[usize::from(task.step)].clone();
        match state.running.get(&task.index) {
            Some(attempt) if attempt.run == listed.run && attempt.slot == slot => {
                let may_continue = !attempt.is_stopping();
                self.mark_running(task.job);
                return may_continue;
            }
            Some(_) => return self.hold_for_stale_run(slot, listed),
            None if state.done.contains(task.index) => {
                return self.hold_for_stale_run(slot, listed)
            }
            None => {}
        }
        if !listed.checkpoint.is_empty() {
            state
                .checkpoints
                .insert(if step.gang { 0 } else { task.index }, listed.checkpoint.clone());
        }
        let attempt = Attempt::new(listed.run, slot, now);
        state.begin(task.index, attempt);
        self.reserve(slot, task, listed.run, &step);
        self.mark_running(task.job);
        self.forecast.touch(task.job);
        true
    }

    /// Opens the occurrences of a periodic job up to `occurrence`, which a predecessor has begun.
    /// Returns whether the job has such an occurrence.
    fn open_occurrence(&mut self, number: JobNumber, occurrence: u32) -> bool {
        let Some(job) = self.jobs.get_mut(&number) else { return false };
        while job.next_occurrence <= occurrence && job.spec.timetable.is_some() {
            job.open(job.next_occurrence, &Progress::default());
            job.next_occurrence += 1;
        }
        let is_open = job.occurrences.contains_key(&occurrence);
        self.unplaced.insert(number);
        self.forecast.touch(number);
        self.await_occurrence(number);
        is_open
    }

    /// Blocks starts on a node until a run that will be stopped has ended, because the run's
    /// resources may be unknown. Returns `false`: the run may not continue.
    fn hold_for_stale_run(&mut self, slot: Slot, listed: &Running) -> bool {
        self.nodes[slot].stale_runs.insert((listed.task, listed.run));
        false
    }
}
