//! Placement: the order in which waiting tasks start, and the node on which each one starts.

mod best_effort;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::model::{JobNumber, JobSpec, Step, TaskId, WallMs};
use super::owner::{Job, Node, Owner, Slot};
use super::progress::{Phase, Progress};
use crate::resources::Resources;
use crate::time::Time;

/// Multiple of the time from a job's release to its completion objective up to which completing the
/// job late still has some value.
const MAX_LATE_FACTOR: u32 = 3;
/// Time that a job is taken to need at least, in percent of its estimated remaining time, because
/// estimates are rough.
const MIN_TIME_LEFT_PERCENT: u64 = 60;
/// Maximum time since the last renewal of a worker's permission to run tasks for the owner to start
/// tasks on the worker. Agents renew the permission each second, and it lasts several times as
/// long.
const MAX_PERMISSION_AGE: Duration = Duration::from_secs(3);
/// Time after which a ready step without runs may start one task on any node with capacity, even if
/// the task would be throttled there. Callers give up on jobs that make no progress.
const STARVATION_DELAY: Duration = Duration::from_secs(2);
/// Maximum number of steps considered in one placement round, so that a long queue does not block
/// the process.
const MAX_STEPS_PER_ROUND: usize = 400;

impl Job {
    /// Returns the estimated duration of the critical path through the unfinished steps, in
    /// milliseconds. A step whose tasks are all running counts half.
    fn chain_left_ms(&self) -> u64 {
        let left = |steps: &Vec<super::step::StepState>| {
            let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
            for (state, step) in steps.iter().zip(&self.spec.steps) {
                let ready = step.after.iter().map(|after| ends[usize::from(*after)]).max();
                let own = match state.waiting.is_empty() {
                    _ if state.is_done(step) || step.long_running => 0,
                    true => step.estimate_ms / 2,
                    false => step.estimate_ms,
                };
                ends.push(ready.unwrap_or(0) + own);
            }
            ends.into_iter().max().unwrap_or(0)
        };
        self.occurrences.values().map(left).max().unwrap_or(0)
    }
}

/// Sort key of waiting steps; smaller keys are placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// 0 if the job can still meet its objective, 1 if it will be late, 2 if it is too late to
    /// matter.
    lateness: u8,
    /// Priority of the job's queue; 0 is the highest.
    priority: u8,
    /// Remaining CPU time of the job, in thousandths of a core times milliseconds, so that small
    /// jobs do not wait for a large one.
    remaining_work: u64,
    /// When the job was submitted or taken over, or its newest occurrence became due.
    released_at: Time,
}

/// A step whose waiting tasks are ready to be placed on nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    rank: Rank,
    job: JobNumber,
    occurrence: u32,
    step: u16,
}

/// Sort key of the nodes that can run a task; the node with the smallest key is chosen. In order:
/// - whether the task last failed, stalled or could not start on the node;
/// - whether tasks have failed there since one last finished;
/// - whether the node is outside the rack that is preferred for the task;
/// - for a serving task, the number of serving images on the node other than its own;
/// - for a long-running task, the CPU reserved there by long-running tasks, most first;
/// - the free CPU, least first for a long-running task and most first for others; for a best-effort
///   task, the cost of its interference instead.
type Score = (bool, bool, bool, usize, Reverse<u64>, u64);

impl Owner {
    /// Opens the occurrences of periodic jobs that are due, so that their tasks wait to be placed.
    pub(super) fn release_due(&mut self, now: Time, wall: WallMs) {
        for job in self.jobs.values_mut().filter(|job| !job.phase.is_final()) {
            let Some(table) = job.spec.timetable else { continue };
            let due = |k: u32| table.first + u64::from(k) * table.interval_ms;
            while job.next_occurrence < table.times && wall >= due(job.next_occurrence) {
                job.open(job.next_occurrence, &Progress::default());
                job.next_occurrence += 1;
                let objective = job.objective.saturating_sub(job.released_at);
                job.released_at = now;
                job.objective = now + objective;
                self.placement_due = true;
            }
        }
    }

    /// Runs one placement round: starts all waiting tasks that fit, in order of rank.
    pub(super) fn place(&mut self, now: Time) {
        let mut candidates = self.candidates(now);
        candidates.sort_unstable();
        // A step that requests the same resources as one that found no node will find none either.
        let mut blocked: Vec<(Resources, bool)> = Vec::new();
        self.held_nodes.clear();
        for candidate in candidates.into_iter().take(MAX_STEPS_PER_ROUND) {
            let spec = self.jobs[&candidate.job].spec.clone();
            let step = &spec.steps[usize::from(candidate.step)];
            let is_plain = step.required_label.is_none() && step.per_worker == 0;
            if is_plain && blocked.contains(&(step.need, step.best_effort)) {
                continue;
            }
            let is_placed = match step.gang {
                true => self.place_gang(now, &candidate, &spec, step),
                false => self.place_tasks(now, &candidate, &spec, step),
            };
            if !is_placed && step.long_running {
                self.held_nodes.extend(self.roomiest_node(now, &candidate, &spec, step));
            }
            if !is_placed && is_plain {
                blocked.push((step.need, step.best_effort));
            }
        }
    }

    /// Returns the steps that have waiting tasks and whose dependencies are done.
    fn candidates(&mut self, now: Time) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        let is_settled = self.takeover_deadline.is_none();
        for (number, job) in &mut self.jobs {
            if job.phase.is_final() || (job.is_inherited && !is_settled) {
                continue;
            }
            let rank = rank(job, now);
            for (occurrence, steps) in &mut job.occurrences {
                for index in 0..steps.len() {
                    let step = &job.spec.steps[index];
                    let is_done = |after: &u16| {
                        steps[usize::from(*after)].is_done(&job.spec.steps[usize::from(*after)])
                    };
                    let is_ready = !steps[index].waiting.is_empty()
                        && (steps[index].ready_since.is_some() || step.after.iter().all(is_done));
                    if is_ready {
                        steps[index].ready_since.get_or_insert(now);
                        candidates.push(Candidate {
                            // Users notice each second that a long-running task is down.
                            rank: match step.long_running {
                                true => Rank { lateness: 0, remaining_work: 0, ..rank },
                                false => rank,
                            },
                            job: *number,
                            occurrence: *occurrence,
                            step: index as u16,
                        });
                    }
                }
            }
        }
        candidates
    }

    /// Returns the node with the most free CPU that will fit a long-running task once other tasks
    /// have ended there.
    fn roomiest_node(
        &self,
        now: Time,
        candidate: &Candidate,
        spec: &JobSpec,
        step: &Step,
    ) -> Option<Slot> {
        let state = self.state(candidate);
        let suits = |(slot, node): &(Slot, &Node)| {
            let on_node = state.per_worker.get(slot).copied().unwrap_or(0);
            node.accepts_starts(now, spec, step)
                && node.fits_beside_long_running(&step.need)
                && (step.per_worker == 0 || on_node < step.per_worker)
                && !self.held_nodes.contains(slot)
        };
        let nodes = self.nodes.iter().enumerate().filter(suits);
        nodes.max_by_key(|(_, node)| node.free_cpu()).map(|(slot, _)| slot)
    }

    /// Starts waiting tasks of a step until one does not fit; returns whether all were started.
    fn place_tasks(
        &mut self,
        now: Time,
        candidate: &Candidate,
        spec: &Arc<JobSpec>,
        step: &Step,
    ) -> bool {
        let (job, occurrence) = (candidate.job, candidate.occurrence);
        let base = self.run_base();
        let waiting: Vec<u32> = self.state(candidate).waiting.iter().copied().collect();
        let rack = if step.same_rack { self.shared_rack(now, candidate, spec, step) } else { None };
        for index in waiting {
            let task = TaskId { job, occurrence, step: candidate.step, index };
            let avoid = self.state(candidate).avoided_nodes.get(&index).copied();
            let rack = rack.as_deref().or(step.preferred_rack.as_deref());
            let planned = BTreeMap::new();
            match self.choose_node(now, candidate, spec, step, avoid, rack, &planned) {
                Some(slot) => {
                    let run = self.state(candidate).next_run(index, base);
                    self.start(slot, task, run);
                }
                None => return false,
            }
        }
        true
    }

    /// Starts all tasks of a gang if all fit, otherwise none; returns whether they run.
    fn place_gang(
        &mut self,
        now: Time,
        candidate: &Candidate,
        spec: &Arc<JobSpec>,
        step: &Step,
    ) -> bool {
        if !self.state(candidate).running.is_empty() {
            return true;
        }
        let rack = self.shared_rack(now, candidate, spec, step);
        let rack = rack.as_deref().or(step.preferred_rack.as_deref());
        let waiting: Vec<u32> = self.state(candidate).waiting.iter().copied().collect();
        let mut planned: BTreeMap<Slot, u32> = BTreeMap::new();
        let mut slots = Vec::with_capacity(waiting.len());
        for index in &waiting {
            let avoid = self.state(candidate).avoided_nodes.get(index).copied();
            let Some(slot) = self.choose_node(now, candidate, spec, step, avoid, rack, &planned)
            else {
                return false;
            };
            *planned.entry(slot).or_default() += 1;
            slots.push(slot);
        }
        let base = self.run_base();
        let state = self.state(candidate);
        let run = waiting.iter().map(|index| state.next_run(*index, base)).max().unwrap_or(base);
        for (index, slot) in waiting.into_iter().zip(slots) {
            let (job, occurrence, step) = (candidate.job, candidate.occurrence, candidate.step);
            self.start(slot, TaskId { job, occurrence, step, index }, run);
        }
        true
    }

    /// Returns the rack for a step whose tasks should share one: that of its runs in progress,
    /// otherwise the rack on which most of its tasks fit.
    fn shared_rack(
        &self,
        now: Time,
        candidate: &Candidate,
        spec: &Arc<JobSpec>,
        step: &Step,
    ) -> Option<String> {
        if !step.same_rack {
            return None;
        }
        let mut fits: BTreeMap<&str, u64> = BTreeMap::new();
        for node in self.nodes.iter().filter(|node| node.accepts_starts(now, spec, step)) {
            let rack = node.rack()?;
            let count = (node.free_cpu() / step.need.cpu_milli.max(1)).min(u64::from(step.count));
            *fits.entry(rack).or_default() += count;
        }
        let used = self.state(candidate).running.values().next();
        match used.and_then(|attempt| self.nodes[attempt.slot].rack()) {
            Some(rack) => Some(rack.to_owned()),
            None => fits.into_iter().max_by_key(|(_, count)| *count).map(|(r, _)| r.to_owned()),
        }
    }

    /// Returns the best node for a task of a step, or `None` if no node can run it now, given the
    /// number of tasks already planned on each node.
    #[allow(clippy::too_many_arguments)]
    fn choose_node(
        &self,
        now: Time,
        candidate: &Candidate,
        spec: &Arc<JobSpec>,
        step: &Step,
        avoid: Option<Slot>,
        rack: Option<&str>,
        planned: &BTreeMap<Slot, u32>,
    ) -> Option<Slot> {
        let state = self.state(candidate);
        let is_starved = state.running.is_empty()
            && state.ready_since.is_some_and(|since| now >= since + STARVATION_DELAY);
        let mut best: Option<(Score, Slot)> = None;
        for (slot, node) in self.nodes.iter().enumerate() {
            let planned_here = planned.get(&slot).copied().unwrap_or(0);
            let on_node = state.per_worker.get(&slot).copied().unwrap_or(0) + planned_here;
            if !node.accepts_starts(now, spec, step)
                || !node.has_capacity(step, u64::from(planned_here))
                || (self.held_nodes.contains(&slot) && !step.long_running && !step.best_effort)
                || (step.best_effort
                    && !is_starved
                    && self.would_interfere(node, step, u64::from(planned_here)))
                || (step.per_worker > 0 && on_node >= step.per_worker)
            {
                continue;
            }
            let planned_cpu = u64::from(planned_here) * step.need.cpu_milli;
            let free = node.free_cpu().saturating_sub(planned_cpu);
            let score = (
                avoid == Some(slot),
                node.failure_streak > 0,
                rack.is_some_and(|rack| node.rack() != Some(rack)),
                node.other_serving_images(step),
                Reverse(if step.long_running { node.long_running.cpu_milli } else { 0 }),
                match (step.long_running, step.best_effort) {
                    (true, _) => free,
                    (false, true) => self.best_effort_cost(node, step, planned_cpu),
                    (false, false) => u64::MAX / 4 - free,
                },
            );
            if best.is_none_or(|(known, _)| score < known) {
                best = Some((score, slot));
            }
        }
        best.map(|(_, slot)| slot)
    }

    /// Returns the state of a candidate's tasks.
    fn state(&self, candidate: &Candidate) -> &super::step::StepState {
        &self.jobs[&candidate.job].occurrences[&candidate.occurrence][usize::from(candidate.step)]
    }
}

/// Returns the rank of a job's steps for placement.
fn rank(job: &Job, now: Time) -> Rank {
    let objective = job.objective.saturating_sub(job.released_at);
    let left = Duration::from_millis(job.chain_left_ms() * MIN_TIME_LEFT_PERCENT / 100);
    let lateness = match now {
        _ if now + left <= job.objective => 0,
        _ if now <= job.released_at + objective * MAX_LATE_FACTOR => 1,
        _ => 2,
    };
    Rank {
        lateness,
        priority: job.spec.queue.priority,
        remaining_work: job.remaining_work,
        released_at: job.released_at,
    }
}

impl Node {
    /// Returns the rack of the worker, which is its second label, if the node has a worker with
    /// one.
    pub(super) fn rack(&self) -> Option<&str> {
        self.worker.as_ref()?.labels.get(1).map(String::as_str)
    }

    /// Returns the CPU used neither by reservations nor by best-effort tasks, in thousandths of a
    /// core.
    pub(super) fn free_cpu(&self) -> u64 {
        self.cpu_capacity().saturating_sub(self.used.cpu_milli + self.total_best_effort_cpu())
    }

    /// Returns the CPU of the worker, in thousandths of a core.
    fn cpu_capacity(&self) -> u64 {
        self.worker.as_ref().map_or(0, |worker| worker.capacity.cpu_milli)
    }

    /// Tells whether `need` would fit on the node if only its long-running tasks were there.
    fn fits_beside_long_running(&self, need: &Resources) -> bool {
        let capacity = self.worker.as_ref().map(|worker| worker.capacity);
        capacity.is_some_and(|capacity| self.long_running.plus(need).fits_in(&capacity))
    }

    /// Tells whether tasks of a step may be started on the node, regardless of its free capacity.
    pub(super) fn accepts_starts(&self, now: Time, spec: &JobSpec, step: &Step) -> bool {
        let Some(worker) = &self.worker else { return false };
        self.is_attached
            && now < self.last_pong + MAX_PERMISSION_AGE
            && self.in_roster
            && !worker.draining
            && self.stale_runs.is_empty()
            && now >= self.backoff_until
            && worker.service == spec.queue.service
            && step.required_label.as_ref().is_none_or(|label| worker.labels.contains(label))
    }

    /// Tells whether one more task of a step fits on the node in addition to `planned` tasks of the
    /// step that have not been started yet.
    fn has_capacity(&self, step: &Step, planned: u64) -> bool {
        let Some(worker) = &self.worker else { return false };
        let reserved = step.reserved();
        let mut used = self.used.plus(&reserved);
        for _ in 0..planned {
            used = used.plus(&reserved);
        }
        used.fits_in(&worker.capacity)
            && (!step.best_effort || self.best_effort_fits(step, planned))
    }
}

impl Owner {
    /// Marks a queued job as running.
    pub(super) fn mark_running(&mut self, number: JobNumber) {
        if let Some(job) = self.jobs.get_mut(&number).filter(|job| job.phase == Phase::Queued) {
            job.phase = Phase::Running;
        }
    }
}
