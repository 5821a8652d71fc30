//! Placement: the order in which waiting tasks start, and the node on which each one starts.

mod best_effort;
mod bounded;
mod capacity;
mod explain;
pub mod near;
mod round;
mod suspects;
mod waits;

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use super::model::{JobNumber, JobSpec, Step, TaskId, WallMs};
use super::owner::{image_number, Job, Node, Owner, RoundCause, Slot};
use super::progress::Progress;
use super::ranking::Ranking;
use super::step::StepState;
use crate::time::Time;
pub(super) use suspects::Quarantine;

use round::{Closure, Misfit, Mode, NodesByService, Request, Round, Score, Search};

/// Multiple of the time from a job's release to its completion objective up to which completing the
/// job late still has some value.
pub(super) const MAX_LATE_FACTOR: u32 = 3;
/// Time that a job is taken to need at least, in percent of its estimated remaining time, because
/// estimates are rough.
pub(super) const MIN_TIME_LEFT_PERCENT: u64 = 60;
/// Time after which a ready step without runs is starved and may start one task on any node with
/// capacity, even if the task would be throttled there. Callers give up on jobs that make no progress.
const STARVATION_DELAY: Duration = Duration::from_secs(2);
/// Minimum time between two starts on a node that rests after failures.
const RESTING_INTERVAL: Duration = Duration::from_secs(1);

impl Job {
    /// Returns the estimated duration of the critical path through the unfinished steps, in
    /// milliseconds. A step whose tasks are all running counts half.
    pub(super) fn chain_left_ms(&self) -> u64 {
        let left = |steps: &Vec<StepState>| {
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

    /// Returns when the next occurrence of a periodic job is due; `None` if there is none.
    fn next_due(&self) -> Option<WallMs> {
        let table = self.spec.timetable.filter(|table| self.next_occurrence < table.times)?;
        Some(table.first + u64::from(self.next_occurrence) * table.interval_ms)
    }

    /// Notes which steps have waiting tasks and dependencies that are done, and since when they have
    /// no runs, or a long-running step some task without a run. Steps that get their first note count
    /// as idle since `since`.
    fn note_idle_steps(&mut self, since: Time) {
        for steps in self.occurrences.values_mut() {
            for index in 0..steps.len() {
                let step = &self.spec.steps[index];
                let is_done = |after: &u16| {
                    steps[usize::from(*after)].is_done(&self.spec.steps[usize::from(*after)])
                };
                let is_ready = steps[index].is_ready || step.after.iter().all(is_done);
                let state = &mut steps[index];
                state.is_ready = is_ready;
                // Users notice each long-running task that is down.
                let is_idle = state.running.is_empty() || step.long_running;
                if is_ready && !state.waiting.is_empty() && is_idle {
                    state.idle_since.get_or_insert(since);
                }
            }
        }
    }

    /// Adds the steps that have waiting tasks and whose dependencies are done to `candidates`.
    /// Returns whether any task of the job waits, for a node or for another step.
    fn add_candidates(
        &mut self,
        number: JobNumber,
        now: Time,
        candidates: &mut Vec<Candidate>,
    ) -> bool {
        self.note_idle_steps(now);
        self.ready_steps(number, now, candidates)
    }

    /// Adds the steps that have waiting tasks and were last seen ready to `candidates`. Returns whether any
    /// task of the job waits.
    fn ready_steps(&self, number: JobNumber, now: Time, candidates: &mut Vec<Candidate>) -> bool {
        let rank = rank(self, now);
        let mut has_waiting = false;
        for (occurrence, steps) in &self.occurrences {
            for (index, (state, step)) in steps.iter().zip(&self.spec.steps).enumerate() {
                if state.waiting.is_empty() {
                    continue;
                }
                has_waiting = true;
                if !state.is_ready {
                    continue;
                }
                candidates.push(Candidate {
                    rank: match step.long_running {
                        true => Rank { lateness: 0, remaining_work: 0, ..rank },
                        false => rank,
                    },
                    job: number,
                    occurrence: *occurrence,
                    step: index as u16,
                });
            }
        }
        has_waiting
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
pub(super) struct Candidate {
    rank: Rank,
    job: JobNumber,
    occurrence: u32,
    step: u16,
}

impl Owner {
    /// Opens the occurrences of periodic jobs that are due, so that their tasks wait to be placed.
    pub(super) fn release_due(&mut self, now: Time, wall: WallMs) {
        let Some(first) = self.occurrences_due.first() else { return };
        if wall < first.0 {
            return;
        }
        while let Some((due, number)) = self.occurrences_due.first().copied() {
            if wall < due {
                break;
            }
            self.occurrences_due.pop_first();
            let Some(job) = self.jobs.get_mut(&number) else { continue };
            if job.phase.is_final() || job.next_due() != Some(due) {
                continue;
            }
            job.open(job.next_occurrence, &Progress::default());
            job.next_occurrence += 1;
            let objective = job.objective.saturating_sub(job.released_at);
            job.released_at = now;
            job.objective = now + objective;
            self.await_occurrence(number);
            self.unplaced.insert(number);
            self.forecast.touch(number);
            self.request_round(RoundCause::Job);
        }
    }

    /// Takes the ready steps without runs for starved at the end of a takeover: they may have waited
    /// long under the predecessor, and nothing has started since.
    pub(super) fn presume_starved(&mut self, now: Time) {
        let since = now.saturating_sub(STARVATION_DELAY);
        for job in self.jobs.values_mut().filter(|job| job.is_inherited && !job.phase.is_final()) {
            job.note_idle_steps(since);
        }
    }

    /// Notes when the next occurrence of a periodic job is due.
    pub(super) fn await_occurrence(&mut self, number: JobNumber) {
        if let Some(due) = self.jobs.get(&number).and_then(Job::next_due) {
            self.occurrences_due.insert((due, number));
        }
    }

    /// Runs one placement round: starts all waiting tasks that fit, in order of rank, and then one
    /// task of each starved step.
    pub(super) fn place(&mut self, now: Time) {
        let mut candidates = self.candidates(now);
        candidates.sort_unstable();
        self.place_suspects(now);
        self.begin_near_round(&candidates);
        self.next_relief = candidates
            .iter()
            .filter_map(|candidate| self.state(candidate).idle_since)
            .map(|since| since + STARVATION_DELAY)
            .filter(|at| *at > now)
            .min();
        let mut round = self.begin_round(now);
        let mut resume_at = self.rank_resume.take();
        bounded::visit(&candidates, &mut resume_at, |candidate| {
            self.place_step(&mut round, candidate, Mode::Ranked)
        });
        self.rank_resume = resume_at;
        self.relieve_starved(&mut round, &candidates);
        self.report_waits(&round, &candidates);
        self.settle_near_waits(now);
    }

    /// Returns the state of a placement round that begins now.
    fn begin_round(&self, now: Time) -> Round {
        let smallest = self.nodes.iter().map(Node::cpu_capacity).filter(|cpu| *cpu > 0).min();
        let (open_nodes, resting_nodes) = self.usable_nodes(now);
        Round {
            now,
            open_nodes,
            resting_nodes,
            rejected: Vec::new(),
            held_nodes: HashSet::new(),
            large: smallest.unwrap_or(0) / 2,
        }
    }

    /// Starts one task of each step that has been ready without runs for too long: of a best-effort
    /// step even where the task interferes or would be throttled, and of any step on a resting worker
    /// if most workers that suit the step rest. The steps that have waited longest come first.
    fn relieve_starved(&mut self, round: &mut Round, candidates: &[Candidate]) {
        let mut starved: Vec<(Time, Candidate)> = candidates
            .iter()
            .filter_map(|candidate| Some((self.state(candidate).idle_since?, *candidate)))
            .filter(|(since, candidate)| {
                round.now >= *since + STARVATION_DELAY && !self.waits_near(candidate)
            })
            .collect();
        starved.sort_unstable();
        let mut resume_at = self.relief_resume.take();
        bounded::visit(&starved, &mut resume_at, |(_, candidate)| {
            let spec = &self.jobs[&candidate.job].spec;
            let step = &spec.steps[usize::from(candidate.step)];
            let is_best_effort = step.best_effort;
            let may_rest = self.mostly_rests(round, spec, step);
            let has_searched = is_best_effort && self.place_step(round, candidate, Mode::Relief);
            let is_idle = self.state(&candidate).idle_since.is_some();
            let has_tried = may_rest && is_idle && self.place_step(round, candidate, Mode::Resting);
            has_searched || has_tried
        });
        self.relief_resume = resume_at;
    }

    /// Starts the waiting tasks of a step that fit; in a mode for starved steps, one task. Returns
    /// whether the nodes were searched: they are not if another step has shown in this round that none
    /// fits.
    fn place_step(&mut self, round: &mut Round, candidate: Candidate, mode: Mode) -> bool {
        let spec = self.jobs[&candidate.job].spec.clone();
        let step = &spec.steps[usize::from(candidate.step)];
        let image = image_number(step);
        let request = Request {
            service: spec.queue.service.clone(),
            label: step.required_label.clone(),
            need: step.need,
            reserved: step.reserved(),
            long_running: step.long_running,
            best_effort: step.best_effort.then_some(image),
            mode,
        };
        if round.rejected.iter().any(|other| request.is_at_least(other, round.large)) {
            return false;
        }
        let shared_rack = self
            .shared_rack(round, &candidate, &spec, step)
            .map(|rack| self.soonest_rack(round, &candidate, &spec, rack));
        let search = Search {
            candidate,
            step,
            image,
            rack: shared_rack.as_deref().or(step.preferred_rack.as_deref()),
            mode,
        };
        let idle_since = self.state(&candidate).idle_since;
        let is_placed = match step.gang {
            true => self.place_gang(round, &spec, search),
            false => self.place_tasks(round, &spec, search),
        };
        self.log_late_start(round, &search, idle_since);
        if is_placed {
            return true;
        }
        if step.long_running && round.may_hold(&spec.queue.service) {
            let held = self.roomiest_node(round, &spec, &search);
            round.held_nodes.extend(held);
        }
        // A gang or a limit per worker rejects nodes that suit other steps.
        if !step.gang && step.per_worker == 0 {
            round.rejected.push(request);
        }
        true
    }

    /// Tells whether most nodes that suit a step rest after failures: then the jobs are more likely at
    /// fault than the workers, or the step has no other worker to wait for.
    fn mostly_rests(&self, round: &Round, spec: &JobSpec, step: &Step) -> bool {
        let count = |nodes| self.suitable(nodes, spec, step).count();
        round.resting_nodes.contains_key(&spec.queue.service)
            && count(&round.resting_nodes) > count(&round.open_nodes)
    }

    /// Returns the nodes that accept starts, and the nodes that rest after failures.
    fn usable_nodes(&self, now: Time) -> (NodesByService, NodesByService) {
        let (mut open, mut resting) = (NodesByService::new(), NodesByService::new());
        let is_confirmed = self.is_confirmed(now);
        for (slot, node) in self.nodes.iter().enumerate() {
            let Some(worker) = &node.worker else { continue };
            let nodes = match node.closed_by(now, is_confirmed) {
                None => &mut open,
                Some(Closure::Backoff) => &mut resting,
                Some(_) => continue,
            };
            match nodes.get_mut(&worker.service) {
                Some(slots) => slots.push(slot),
                None => {
                    nodes.insert(worker.service.clone(), vec![slot]);
                }
            }
        }
        (open, resting)
    }

    /// Returns the number of nodes that accept starts at all.
    pub(super) fn open_node_count(&self, now: Time) -> usize {
        let is_confirmed = self.is_confirmed(now);
        self.nodes.iter().filter(|node| node.accepts_starts(now, is_confirmed)).count()
    }

    /// Returns the nodes that accept starts of a step, regardless of their free capacity.
    fn open_to<'a>(
        &'a self,
        round: &'a Round,
        spec: &JobSpec,
        step: &'a Step,
    ) -> impl Iterator<Item = (Slot, &'a Node)> {
        self.suitable(&round.open_nodes, spec, step)
    }

    /// Returns those of `nodes` that have the service and the label that a step requires.
    fn suitable<'a>(
        &'a self,
        nodes: &'a NodesByService,
        spec: &JobSpec,
        step: &'a Step,
    ) -> impl Iterator<Item = (Slot, &'a Node)> {
        let slots = nodes.get(&spec.queue.service).map_or(&[][..], Vec::as_slice);
        let has_label =
            |node: &&Node| step.required_label.as_ref().is_none_or(|label| node.has_label(label));
        slots
            .iter()
            .map(|slot| (*slot, &self.nodes[*slot]))
            .filter(move |(_, node)| has_label(node))
    }

    /// Returns the steps that have waiting tasks and whose dependencies are done.
    fn candidates(&mut self, now: Time) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        let is_settled = self.takeover_deadline.is_none();
        let jobs = &mut self.jobs;
        self.unplaced.retain(|number| {
            let Some(job) = jobs.get_mut(number).filter(|job| !job.phase.is_final()) else {
                return false;
            };
            if job.is_inherited && !is_settled {
                return true;
            }
            job.add_candidates(*number, now, &mut candidates)
        });
        candidates
    }

    /// Returns the node with the most free CPU that will fit a long-running task once other tasks
    /// have ended there.
    fn roomiest_node(&self, round: &Round, spec: &JobSpec, search: &Search<'_>) -> Option<Slot> {
        let (state, step) = (self.state(&search.candidate), search.step);
        let suits = |(slot, node): &(Slot, &Node)| {
            node.fits_beside_long_running(&step.need)
                && state.has_quota(step, *slot, 0)
                && !round.held_nodes.contains(slot)
        };
        let nodes = self.open_to(round, spec, step).filter(suits);
        nodes.max_by_key(|(_, node)| node.free_cpu()).map(|(slot, _)| slot)
    }

    /// Starts waiting tasks of a step until one does not fit; in a mode for starved steps, one task.
    /// Returns whether all of them were started, or wait for a near node of their own accord.
    fn place_tasks(&mut self, round: &Round, spec: &Arc<JobSpec>, search: Search<'_>) -> bool {
        let Candidate { job, occurrence, step, .. } = search.candidate;
        let base = self.run_base();
        let most = if search.mode == Mode::Ranked { usize::MAX } else { 1 };
        let state = self.state(&search.candidate);
        let starts_here = |index: &u32| {
            !self.starts_apart(round.now, &TaskId { job, occurrence, step, index: *index })
        };
        let waiting: Vec<u32> =
            state.waiting.iter().copied().filter(starts_here).take(most).collect();
        if waiting.is_empty() {
            return true;
        }
        let mut ranking = self.rank_nodes(round, spec, &search);
        for index in waiting {
            let state = self.state(&search.candidate);
            let avoid = state.avoided_nodes.get(&index).copied();
            let run = state.next_run(index, base);
            let Some(slot) = ranking.take(avoid) else { return false };
            if self.prefers_wait(round, spec, &search, index, slot) {
                if let Ok(score) = self.score(round, &search, slot, 0) {
                    ranking.put(score, slot);
                }
                continue;
            }
            self.start(round.now, slot, TaskId { job, occurrence, step, index }, run);
            if search.mode == Mode::Resting {
                self.nodes[slot].tried_at = Some(round.now);
            }
            let attempt = self.state_mut(&search.candidate).and_then(|s| s.running.get_mut(&index));
            if let Some(attempt) = attempt {
                attempt.is_relief = search.mode == Mode::Relief;
            }
            if let Ok(score) = self.score(round, &search, slot, 0) {
                ranking.put(score, slot);
            }
        }
        true
    }

    /// Starts all tasks of a gang if all fit, otherwise none; returns whether they run, or wait for a
    /// near rack of their own accord.
    fn place_gang(&mut self, round: &Round, spec: &Arc<JobSpec>, search: Search<'_>) -> bool {
        let Candidate { job, occurrence, step, .. } = search.candidate;
        if !self.state(&search.candidate).running.is_empty() {
            return true;
        }
        let base = self.run_base();
        let state = self.state(&search.candidate);
        let waiting: Vec<u32> = state.waiting.iter().copied().collect();
        let run = waiting.iter().map(|index| state.next_run(*index, base)).max().unwrap_or(base);
        let mut ranking = self.rank_nodes(round, spec, &search);
        let mut planned: BTreeMap<Slot, u32> = BTreeMap::new();
        let mut slots = Vec::with_capacity(waiting.len());
        for index in &waiting {
            let Some(slot) = ranking.take(state.avoided_nodes.get(index).copied()) else {
                return false;
            };
            slots.push(slot);
            let count = planned.entry(slot).or_default();
            *count += 1;
            if let Ok(score) = self.score(round, &search, slot, *count) {
                ranking.put(score, slot);
            }
        }
        let is_far =
            |slot: &&Slot| search.rack.is_some() && self.nodes[**slot].rack() != search.rack;
        if let (Some(first), Some(slot)) = (waiting.first(), slots.iter().find(is_far).copied()) {
            if self.prefers_wait(round, spec, &search, *first, slot) {
                return true;
            }
        }
        for (index, slot) in waiting.into_iter().zip(slots) {
            self.start(round.now, slot, TaskId { job, occurrence, step, index }, run);
        }
        true
    }

    /// Returns the rack for a step whose tasks should share one: that of its runs in progress,
    /// otherwise the rack on which most of its tasks fit.
    fn shared_rack(
        &self,
        round: &Round,
        candidate: &Candidate,
        spec: &JobSpec,
        step: &Step,
    ) -> Option<String> {
        if !step.same_rack {
            return None;
        }
        let mut used = self.state(candidate).running.values().map(|run| &self.nodes[run.slot]);
        // A rack in an evacuated zone takes no more tasks.
        let node = used.find(|node| !node.is_evacuated);
        if let Some(rack) = node.and_then(Node::rack) {
            return Some(rack.to_owned());
        }
        let mut fits: BTreeMap<&str, u64> = BTreeMap::new();
        for (_, node) in self.open_to(round, spec, step) {
            let Some(rack) = node.rack() else { continue };
            let count = (node.free_cpu() / step.need.cpu_milli.max(1)).min(u64::from(step.count));
            *fits.entry(rack).or_default() += count;
        }
        fits.into_iter().max_by_key(|(_, count)| *count).map(|(rack, _)| rack.to_owned())
    }

    /// Orders the nodes that can run a task of a step.
    fn rank_nodes(&self, round: &Round, spec: &JobSpec, search: &Search<'_>) -> Ranking<Score> {
        let nodes = match search.mode {
            Mode::Ranked | Mode::Relief => &round.open_nodes,
            Mode::Resting => &round.resting_nodes,
        };
        Ranking::new(
            self.suitable(nodes, spec, search.step)
                .filter_map(|(slot, _)| Some((self.score(round, search, slot, 0).ok()?, slot))),
        )
    }

    /// Returns the score of a node for one more task of a step, in addition to `planned` tasks that
    /// have not been started yet.
    ///
    /// # Errors
    ///
    /// Returns the reason if the node cannot run the task.
    fn score(
        &self,
        round: &Round,
        search: &Search<'_>,
        slot: Slot,
        planned: u32,
    ) -> Result<Score, Misfit> {
        self.examined.set(self.examined.get() + 1);
        let (node, step) = (&self.nodes[slot], search.step);
        let is_held = !step.long_running && !step.best_effort && round.held_nodes.contains(&slot);
        if is_held {
            return Err(Misfit::Held);
        }
        let has_tried = node.tried_at.is_some_and(|at| round.now < at + RESTING_INTERVAL);
        if search.mode == Mode::Resting && has_tried {
            return Err(Misfit::Rest);
        }
        node.has_capacity(step, u64::from(planned), search.mode)?;
        if !self.state(&search.candidate).has_quota(step, slot, planned) {
            return Err(Misfit::Quota);
        }
        let planned_cpu = u64::from(planned) * step.need.cpu_milli;
        let free = node.free_cpu().saturating_sub(planned_cpu);
        Ok((
            round.now < node.ranks_behind_until,
            match search.mode {
                Mode::Ranked | Mode::Relief => {
                    u32::from(node.troubles() > 0 || self.is_too_slow(slot, step))
                }
                Mode::Resting => node.troubles(),
            },
            search.rack.is_some_and(|rack| node.rack() != Some(rack)),
            match step.target_ms {
                0 => 0,
                _ => node.other_serving_images(search.image),
            },
            Reverse(if step.long_running { node.long_running.cpu_milli } else { 0 }),
            match (step.long_running, step.best_effort) {
                (true, _) => free,
                (false, true) => {
                    let task = (search.image, step.need.cpu_milli);
                    let may_interfere = search.mode != Mode::Ranked;
                    self.best_effort_cost(node, task, u64::from(planned), may_interfere)
                        .ok_or(Misfit::Interference)?
                }
                (false, false) => u64::MAX / 4 - free,
            },
        ))
    }

    /// Returns the state of a candidate's tasks, to be changed.
    fn state_mut(&mut self, candidate: &Candidate) -> Option<&mut StepState> {
        let job = self.jobs.get_mut(&candidate.job)?;
        job.occurrences.get_mut(&candidate.occurrence)?.get_mut(usize::from(candidate.step))
    }

    /// Returns the state of a candidate's tasks.
    fn state(&self, candidate: &Candidate) -> &StepState {
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
