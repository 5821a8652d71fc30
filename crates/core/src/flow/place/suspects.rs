//! Placement of tasks under which a worker may have crashed: one at a time on nodes that take no other
//! starts, so that the next crash tells which one it was and costs little work.

use std::collections::BTreeSet;
use std::time::Duration;

use super::round::{Closure, Mode};
use crate::flow::model::{Run, Step, TaskId};
use crate::flow::owner::{Node, Owner, RoundCause, Slot};
use crate::time::Time;

/// Time without starts on a node before a suspect starts there. Short tasks end meanwhile, and the runs
/// that are left are too old to be suspected.
const SETTLE_TIME: Duration = Duration::from_millis(750);
/// The same for a suspect of several crashes, which is likely to crash the node: longer tasks end too, or
/// a node comes that is empty, since its worker has just been replaced.
const LONG_SETTLE_TIME: Duration = Duration::from_millis(2_250);
/// Time without other starts on a node after the start of a suspect there, in addition to twice its age
/// at the former crash. At least the age up to which a run is suspected, and the time in which the agent
/// reports a crash.
const MIN_PROBATION: Duration = Duration::from_millis(500);
/// Time for which a suspect of a single crash waits to start apart; it then starts like others.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Number of nodes of a service, as a divisor, that may be quarantined; at least one may.
const NODES_PER_QUARANTINE: usize = 8;
/// Work at risk in a long-running task, in milliseconds: the time until another run of it works.
const LONG_RUNNING_RISK_MS: u64 = 2_000;
/// Work at risk in a task with checkpoints, in milliseconds.
const CHECKPOINT_RISK_MS: u64 = 250;

/// State of a node that takes no starts but those of suspects.
#[derive(Debug, Clone)]
pub(in crate::flow) struct Quarantine {
    since: Time,
    /// The suspect on probation, and until when.
    probation: Option<(TaskId, Run, Time)>,
}

impl Node {
    /// Tells whether a suspect may start on the node, apart from its capacity, if it needs `settle` without
    /// starts there. `is_confirmed` tells whether the set of evacuated zones is recent enough.
    fn is_settled(&self, now: Time, settle: Duration, is_confirmed: bool) -> bool {
        let quarantine = self.quarantine.as_ref();
        quarantine.is_some_and(|known| {
            let is_calm = self.tasks.is_empty() || now >= known.since + settle;
            is_calm && known.probation.is_none()
        }) && self.closed_by(now, is_confirmed) == Some(Closure::Quarantine)
    }

    /// Tells whether a suspect is on probation on the node.
    pub(in crate::flow) fn is_on_probation(&self) -> bool {
        self.quarantine.as_ref().is_some_and(|known| known.probation.is_some())
    }

    /// Ends a probation that is over or whose run is not on the node any more.
    fn end_probation(&mut self, now: Time) {
        let Some(quarantine) = &mut self.quarantine else { return };
        let tasks = &self.tasks;
        quarantine.probation = quarantine
            .probation
            .filter(|(task, run, until)| now < *until && tasks.get(task) == Some(run));
    }
}

impl Owner {
    /// Starts suspected tasks on quarantined nodes, quarantines as many nodes as they need and may have,
    /// and opens the others.
    pub(super) fn place_suspects(&mut self, now: Time) {
        let waiting = self.waiting_suspects(now);
        let wanted: BTreeSet<Slot> = waiting.iter().flat_map(|task| self.slots_for(task)).collect();
        for (slot, node) in self.nodes.iter_mut().enumerate() {
            node.end_probation(now);
            let is_wanted =
                |known: &Quarantine| known.probation.is_some() || wanted.contains(&slot);
            node.quarantine = node.quarantine.take().filter(is_wanted);
        }
        for task in waiting {
            self.place_suspect(now, task);
        }
        let next = |known: &Quarantine| match known.probation {
            Some((_, _, until)) => until,
            None if now < known.since + SETTLE_TIME => known.since + SETTLE_TIME,
            None => known.since + LONG_SETTLE_TIME,
        };
        let due = self.nodes.iter().filter_map(|node| node.quarantine.as_ref()).map(next);
        self.next_probation = due.filter(|at| *at > now).min();
    }

    /// Returns the suspected tasks that are ready to start, youngest at their crash first. Gangs are not
    /// among them: their tasks need several nodes at once, so that they start like others.
    fn waiting_suspects(&mut self, now: Time) -> Vec<TaskId> {
        let is_settled = self.takeover_deadline.is_none();
        let is_ready = |task: &TaskId| {
            let Some(job) = self.jobs.get(&task.job).filter(|job| !job.phase.is_final()) else {
                return false;
            };
            let state = job.occurrences.get(&task.occurrence);
            let state = state.and_then(|steps| steps.get(usize::from(task.step)));
            job.spec.steps.get(usize::from(task.step)).is_some_and(|step| !step.gang)
                && (is_settled || !job.is_inherited)
                && state.is_some_and(|s| s.is_ready && s.waiting.contains(&task.index))
        };
        let apart = |task: &TaskId| self.crashes.starts_apart(task) && is_ready(task);
        let mut waiting: Vec<TaskId> = self.crashes.suspects().into_iter().filter(apart).collect();
        let since = |task: &TaskId| (*task, self.waiting_apart.get(task).copied().unwrap_or(now));
        self.waiting_apart = waiting.iter().map(since).collect();
        waiting.retain(|task| !self.has_waited(now, task));
        waiting
    }

    /// Tells whether a task has to start apart from others.
    pub(super) fn starts_apart(&self, now: Time, task: &TaskId) -> bool {
        self.crashes.starts_apart(task) && !self.has_waited(now, task)
    }

    /// Tells whether a suspect of a single crash has waited for long enough to start apart.
    fn has_waited(&self, now: Time, task: &TaskId) -> bool {
        self.waiting_apart.get(task).is_some_and(|since| now >= *since + MAX_WAIT)
            && self.crashes.crashed_runs(task).len() == 1
    }

    /// Starts a suspect on a quarantined node that is ready for it, or quarantines another node.
    fn place_suspect(&mut self, now: Time, task: TaskId) {
        let spec = self.jobs[&task.job].spec.clone();
        let step = &spec.steps[usize::from(task.step)];
        let service = spec.queue.service.as_str();
        let is_repeated = self.crashes.crashed_runs(&task).len() > 1;
        let settle = if is_repeated { LONG_SETTLE_TIME } else { SETTLE_TIME };
        let is_confirmed = self.is_confirmed(now);
        let is_ready = |slot: &Slot| self.nodes[*slot].is_settled(now, settle, is_confirmed);
        let slots = self.slots_for(&task);
        let ready = slots.iter().copied().filter(is_ready).find(|slot| self.fits(*slot, step));
        if let Some(slot) = ready {
            return self.start_suspect(now, slot, task);
        }
        let is_empty = |slot: &Slot| {
            self.nodes[*slot].tasks.is_empty()
                && self.nodes[*slot].accepts_starts(now, is_confirmed)
        };
        let empty = slots.iter().copied().filter(is_empty).find(|slot| self.fits(*slot, step));
        if let Some(slot) = empty.filter(|_| is_repeated) {
            self.nodes[slot].quarantine = Some(Quarantine { since: now, probation: None });
            return self.start_suspect(now, slot, task);
        }
        // A node that suits other suspects only does not count.
        let suits = |slot: &Slot| {
            let node = &self.nodes[*slot];
            node.quarantine.as_ref().is_some_and(|known| {
                known.probation.is_some() || now < known.since + settle || self.fits(*slot, step)
            })
        };
        let quarantined = slots.iter().filter(|slot| suits(slot)).count();
        let nodes = self.nodes.iter().filter(|node| node.serves(service) && node.is_attached);
        if quarantined >= nodes.count().div_ceil(NODES_PER_QUARANTINE) {
            return;
        }
        let key = |slot: &Slot| {
            let is_resting = match self.nodes[*slot].closed_by(now, is_confirmed) {
                None => false,
                Some(Closure::Backoff) => true,
                Some(_) => return None,
            };
            let will_fit = self.nodes[*slot].fits_beside_long_running(&step.reserved());
            let risk = self.work_at_risk(now, *slot);
            will_fit.then(|| (is_resting, !self.fits(*slot, step), risk, *slot))
        };
        let Some((.., slot)) = slots.iter().filter_map(key).min() else { return };
        let detail =
            format!("node={} runs={}", self.nodes[slot].name, self.nodes[slot].tasks.len());
        self.log("worker_quarantined", None, detail);
        self.nodes[slot].quarantine = Some(Quarantine { since: now, probation: None });
        if self.nodes[slot].is_settled(now, settle, is_confirmed) && self.fits(slot, step) {
            self.start_suspect(now, slot, task);
        }
    }

    /// Returns the nodes with the service and the label that a task requires and with quota for it. A node
    /// in an evacuated zone would only use up the number of nodes that may be quarantined.
    fn slots_for(&self, task: &TaskId) -> Vec<Slot> {
        let job = &self.jobs[&task.job];
        let (step, service) = (&job.spec.steps[usize::from(task.step)], &job.spec.queue.service);
        let state = &job.occurrences[&task.occurrence][usize::from(task.step)];
        let suits = |slot: &Slot| {
            let node = &self.nodes[*slot];
            let has_label = step.required_label.as_ref().is_none_or(|label| node.has_label(label));
            node.serves(service)
                && !node.is_evacuated
                && has_label
                && state.has_quota(step, *slot, 0)
        };
        (0..self.nodes.len()).filter(suits).collect()
    }

    fn fits(&self, slot: Slot, step: &Step) -> bool {
        self.nodes[slot].has_capacity(step, 0, Mode::Relief).is_ok()
    }

    /// Returns the work that would be lost if a node crashed, in thousandths of a core times milliseconds.
    fn work_at_risk(&self, now: Time, slot: Slot) -> u64 {
        let risk = |task: &TaskId| {
            let job = self.jobs.get(&task.job)?;
            let step = job.spec.steps.get(usize::from(task.step))?;
            let steps = job.occurrences.get(&task.occurrence)?;
            let attempt = steps.get(usize::from(task.step))?.running.get(&task.index)?;
            let time = match step {
                step if step.long_running => LONG_RUNNING_RISK_MS,
                step if step.has_checkpoints => CHECKPOINT_RISK_MS,
                _ => now.saturating_sub(attempt.since).as_millis() as u64,
            };
            Some(step.need.cpu_milli * time)
        };
        self.nodes[slot].tasks.keys().filter_map(risk).sum()
    }

    fn start_suspect(&mut self, now: Time, slot: Slot, task: TaskId) {
        let base = self.run_base();
        let Some((_, state)) = self.step_mut(&task) else { return };
        let run = state.next_run(task.index, base);
        let probation = MIN_PROBATION + self.crashes.age(&task) * 2;
        let detail = format!(
            "task={task} run={run} crashes={} node={}",
            self.crashes.crashed_runs(&task).len(),
            self.nodes[slot].name
        );
        self.log("suspect_started", Some(task.job), detail);
        self.start(now, slot, task, run);
        if let Some(quarantine) = &mut self.nodes[slot].quarantine {
            quarantine.probation = Some((task, run, now + probation));
        }
        self.request_round(RoundCause::Timer);
    }
}
