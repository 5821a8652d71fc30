//! Handling of workers that crash: counts the crash against the runs under which it may have happened,
//! and gives up the tasks that crash their workers.

use std::time::Duration;

use super::{is_listed, Owner, Slot};
use crate::flow::crashes::MAX_SUSPECT_AGE;
use crate::flow::message::{LostRun, OwnerMessage, Running};
use crate::flow::model::TaskId;
use crate::flow::node::describe_ages;
use crate::flow::progress::Phase;
use crate::time::Time;

/// Time for which a run of a suspected task must go on to clear the task, in addition to the permission
/// of its worker: an agent gives up a silent worker, which may have crashed, when it has got no answer
/// for 3 s and its permission has run out.
const CLEARING_MARGIN: Duration = Duration::from_secs(4);
/// Time within which crashes may have a common cause: agents report them up to about half a second
/// after.
const COMMON_CAUSE_TIME: Duration = Duration::from_secs(1);
/// Part of a service's workers, as a divisor, and minimum number of them that crash within this time if
/// there is a common cause.
const COMMON_CAUSE_DIVISOR: usize = 4;
const MIN_COMMON: usize = 3;
/// Time for which a crash counts among those that tell how often workers crash for other reasons.
const FREQUENT_TIME: Duration = Duration::from_secs(10);
/// Part of a service's workers, as a divisor, and minimum number of them whose unexplained crashes within
/// this time are many.
const FREQUENT_DIVISOR: usize = 2;
const MIN_FREQUENT: usize = 4;
/// Maximum number of suspects in one log line.
const MAX_LOGGED_SUSPECTS: usize = 8;

impl Owner {
    /// Handles the crash of a worker with `runs`: records it against those that are young enough to have
    /// caused it, requeues all, and gives up a task that has crashed enough workers. The agent repeats the
    /// report until it is acknowledged.
    pub(super) fn crashed(&mut self, now: Time, slot: Slot, worker: String, runs: Vec<LostRun>) {
        let suspects: Vec<LostRun> = runs
            .into_iter()
            .filter(|lost| lost.age <= MAX_SUSPECT_AGE)
            .filter_map(|lost| Some(LostRun { task: self.suspect_key(&lost.task)?, ..lost }))
            .collect();
        let tasks: Vec<TaskId> = suspects.iter().map(|lost| lost.task).collect();
        let detail = format!(
            "node={} worker={worker} suspects={} ages_ms={}",
            self.nodes[slot].name,
            suspects.len(),
            describe_ages(&suspects, MAX_LOGGED_SUSPECTS)
        );
        self.note_crash(now, slot, &worker);
        let service = self.service_of(slot);
        match suspects.is_empty() {
            true => self.send(slot, OwnerMessage::CrashSeen { worker: worker.clone() }),
            false => {
                if self.crashes.record(&worker, suspects) {
                    self.log("worker_crashed", None, detail);
                    self.mark_crashes_changed();
                }
                self.crash_acks.push((slot, worker.clone()));
            }
        }
        if self.crashes.narrow(&worker, &tasks) {
            self.mark_crashes_changed();
        }
        self.mark_common(now, &service);
        if self.nodes[slot].worker.as_ref().is_some_and(|known| known.id == worker) {
            self.lose_worker(now, slot, "crashed");
        }
        let is_frequent = self.crashes_are_frequent(&service);
        tasks.iter().for_each(|task| self.judge(task, is_frequent));
    }

    /// Adds the crash of a node's worker to those of the last seconds, unless the worker was lost before or
    /// a suspect was on probation there, which explains it.
    fn note_crash(&mut self, now: Time, slot: Slot, id: &str) {
        self.recent_crashes.retain(|(at, ..)| now < *at + FREQUENT_TIME);
        let known = self.nodes[slot].worker.as_ref().filter(|known| known.id == id);
        if let Some(worker) = known.filter(|_| !self.nodes[slot].is_on_probation()) {
            self.recent_crashes.push((now, worker.service.clone(), worker.id.clone()));
        }
    }

    /// Takes the crashes of the last moment for ones with a common cause if a large part of the service's
    /// workers have crashed.
    fn mark_common(&mut self, now: Time, service: &str) {
        let recent = self.crashed_since(now.saturating_sub(COMMON_CAUSE_TIME), service);
        if recent.len() >= (self.worker_count(service) / COMMON_CAUSE_DIVISOR).max(MIN_COMMON) {
            let recent: Vec<String> = recent.into_iter().map(str::to_owned).collect();
            if self.crashes.mark_common(&recent) {
                self.mark_crashes_changed();
            }
        }
    }

    /// Tells whether many workers of a service crash for reasons that no task explains.
    fn crashes_are_frequent(&self, service: &str) -> bool {
        let recent = self.crashed_since(Time::ZERO, service);
        let unexplained = recent.into_iter().filter(|id| !self.crashes.has_culprit(id)).count();
        unexplained >= (self.worker_count(service) / FREQUENT_DIVISOR).max(MIN_FREQUENT)
    }

    /// Returns the workers of a service that have crashed since a time within the last seconds.
    fn crashed_since(&self, since: Time, service: &str) -> Vec<&str> {
        let is_its = |(at, other, _): &&(Time, String, String)| *at >= since && other == service;
        self.recent_crashes.iter().filter(is_its).map(|(.., id)| id.as_str()).collect()
    }

    /// Returns the number of nodes that have, or had last, a worker of a service.
    fn worker_count(&self, service: &str) -> usize {
        self.nodes.iter().filter(|node| node.last_service == service).count()
    }

    /// Returns the service of a node's worker, or of its last one.
    fn service_of(&self, slot: Slot) -> String {
        self.nodes[slot].last_service.clone()
    }

    /// Handles a worker that another one has replaced without a report of its exit, because the agent
    /// was restarted too. It may have crashed right after the agent was last heard.
    pub(in crate::flow) fn replaced(&mut self, now: Time, slot: Slot) {
        let heard = self.nodes[slot].last_pong;
        let runs = self.runs_on(heard, slot);
        match &self.nodes[slot].worker {
            Some(worker) if !worker.draining => {
                let id = worker.id.clone();
                self.crashed(now, slot, id, runs);
            }
            _ => self.lose_worker(now, slot, "replaced"),
        }
    }

    /// Handles a worker that has restarted under its ID: requeues its runs except those in `listed`, which go
    /// on in the new incarnation `id`. If the agent reported the former one in this session, it knows how that
    /// exited, and reports a crash after this. Otherwise it may have been restarted too, and what the owner
    /// knows is recorded; a later report of the agent is more exact.
    pub(in crate::flow) fn restarted(
        &mut self,
        now: Time,
        slot: Slot,
        id: &str,
        listed: &[Running],
    ) {
        let node = &self.nodes[slot];
        let Some(former) = node.worker.clone() else { return };
        let (heard, is_reported) = (node.last_pong, node.is_attached);
        let mut runs = self.runs_on(heard, slot);
        let before = runs.len();
        runs.retain(|lost| !is_listed(listed, &lost.task, lost.run));
        let name = &self.nodes[slot].name;
        let detail =
            format!("node={name} worker={id} lost={} kept={}", runs.len(), before - runs.len());
        self.log("worker_restarted", None, detail);
        if !former.draining {
            self.note_crash(now, slot, &former.id);
        }
        self.lose_worker_but(now, slot, "restarted", listed);
        // Without runs there is nothing to record, and no acknowledgement that the agent could take for its own.
        if !former.draining && !is_reported && !runs.is_empty() {
            self.crashed(now, slot, former.id, runs);
        }
    }

    /// Returns the task under which the ledger of crashes keeps a task: the first one of a gang. `None` if
    /// the task is over.
    fn suspect_key(&mut self, task: &TaskId) -> Option<TaskId> {
        if self.jobs.get(&task.job)?.phase.is_final() {
            return None;
        }
        let (spec, state) = self.step_mut(task)?;
        match spec.steps[usize::from(task.step)].gang {
            _ if state.done.contains(task.index) => None,
            true => Some(TaskId { index: 0, ..*task }),
            false => Some(*task),
        }
    }

    /// Gives up a task, and its job, if the crashes show that it crashes its workers.
    fn judge(&mut self, task: &TaskId, is_frequent: bool) {
        let is_open = self.jobs.get(&task.job).is_some_and(|job| !job.phase.is_final());
        if !is_open || !self.crashes.is_culprit(task, is_frequent) {
            return;
        }
        let runs = self.crashes.crashed_runs(task);
        let detail = format!("task={task} reason=crashes crashes={} runs={runs:?}", runs.len());
        self.log("job_failed", Some(task.job), detail);
        self.crashes.convict(task);
        self.mark_crashes_changed();
        self.finish_job(task.job, Phase::Failed);
    }

    /// Clears a task of all crashes after one of its runs has ended without one.
    pub(super) fn clear_suspect(&mut self, task: &TaskId) {
        if let Some(key) = self.suspect_key(task) {
            self.clear(&key, "ended");
        }
    }

    /// Clears the suspected tasks whose runs have gone on for long, and forgets those that are over.
    pub(super) fn clear_survivors(&mut self) {
        let time = self.settings.permission + CLEARING_MARGIN;
        for task in self.crashes.suspects() {
            match self.suspect_key(&task) {
                None => self.clear(&task, "over"),
                Some(_) => {
                    let Some((_, state)) = self.step_mut(&task) else { continue };
                    let Some(attempt) = state.running.get(&task.index).cloned() else { continue };
                    // Without a message from the agent since then, the worker may have crashed.
                    let node = &self.nodes[attempt.slot];
                    if node.is_attached && node.last_pong >= attempt.since + time {
                        self.clear(&task, "goes on");
                    }
                }
            }
        }
    }

    fn clear(&mut self, task: &TaskId, reason: &str) {
        let crashes = self.crashes.crashed_runs(task).len();
        if self.crashes.clear(task) {
            self.mark_crashes_changed();
            let detail = format!("task={task} crashes={crashes} reason={reason}");
            self.log("suspect_cleared", Some(task.job), detail);
        }
    }

    /// Schedules a write of the ledger of crashes to the store.
    fn mark_crashes_changed(&mut self) {
        self.crashes_changed = true;
    }
}
