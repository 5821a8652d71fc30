//! Which waiting task starts next, and on which worker.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::message::{Image, Sample, WEIGHT_SCALE};
use super::model::{JobNumber, JobSpec, Step, TaskId, WallMs};
use super::owner::{image_number, Job, Node, Owner, Slot};
use super::press::Share;
use super::progress::{Phase, Progress};
use crate::resources::Resources;
use crate::time::Time;

/// Late jobs still earn up to this many times their objective.
const LATE_FACTOR: u32 = 3;
/// A fill task may start on a worker that leaves it this part of what it asks for, if no other
/// fill task is there.
const LEAST_FILL_PERCENT: u64 = 50;
/// Part of their declared processors that lasting tasks are taken to use: their load is about half
/// of it and swings by half of that.
const LASTING_USE_PERCENT: u64 = 40;
/// Expected tail, in percent of its target, up to which a worker gets more fill tasks: those that
/// it has finish sooner at full pace.
const MOST_TAIL: f64 = 75.0;
/// Share of the estimated time left, in percent, that a job needs in any case: estimates are rough.
const SURE_PERCENT: u64 = 60;
/// Rise of the logarithm of a tail that is not worth avoiding: smaller than what the serving tasks'
/// own load does within a second.
const SMALL_RISE: f64 = 0.02;
/// Part of the processors that fill tasks ask for, in percent, below which a worker gets no more
/// that disturb it.
const STOP_LEVEL: u32 = 50;
/// Factor on the expected rise by a new fill task: tails near their target rose by twice to three
/// times what the weights say, which are learned at lower tails.
const PESSIMISM: f64 = 2.0;
/// Weight of a rise of the expected tail, against the tail itself and the share of a worker's
/// processors that fill tasks take.
const RISE_WEIGHT: f64 = 2.0;
/// Age of an agent's permission up to which it gets starts: agents ask each second, and permissions
/// last several times as long.
const FRESH_PERMISSION: Duration = Duration::from_secs(3);
/// Time after which a step with nothing running begins with one task wherever there is room, paced
/// or not. Callers take a job without any progress for lost.
const STARVED: Duration = Duration::from_secs(2);
/// Steps looked at in one round, so that a long queue does not hold up the process.
const STEPS_PER_ROUND: usize = 400;

impl Job {
    /// Estimated duration of the longest chain of steps that are not done, in milliseconds. A step
    /// whose tasks all run counts half.
    fn chain_left_ms(&self) -> u64 {
        let left = |steps: &Vec<super::step::StepState>| {
            let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
            for (state, step) in steps.iter().zip(&self.spec.steps) {
                let ready = step.after.iter().map(|after| ends[usize::from(*after)]).max();
                let own = match state.waiting.is_empty() {
                    _ if state.is_done(step) || step.lasting => 0,
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

/// Order of waiting steps: smaller goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// 0: can still be in time; 1: will be late; 2: too late to matter.
    lateness: u8,
    priority: u8,
    /// Work left in the job, so that many small jobs do not wait for a large one.
    work: u64,
    since: Time,
}

/// A step with waiting tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    rank: Rank,
    job: JobNumber,
    occurrence: u32,
    step: u16,
}

/// Preference among workers: smaller is better.
type Score = (bool, bool, bool, usize, Reverse<u64>, u64);

impl Owner {
    /// Opens the occurrences whose time has come.
    pub(super) fn release_due(&mut self, now: Time, wall: WallMs) {
        for job in self.jobs.values_mut().filter(|job| !job.phase.is_final()) {
            let Some(table) = job.spec.timetable else { continue };
            let due = |k: u32| table.first + u64::from(k) * table.interval_ms;
            while job.next_occurrence < table.times && wall >= due(job.next_occurrence) {
                job.open(job.next_occurrence, &Progress::default());
                job.next_occurrence += 1;
                let objective = job.objective.saturating_sub(job.since);
                job.since = now;
                job.objective = now + objective;
                self.must_place = true;
            }
        }
    }

    /// Starts what fits.
    pub(super) fn place(&mut self, now: Time) {
        let mut candidates = self.candidates(now);
        candidates.sort_unstable();
        // Steps with the same demands as one that found no worker will not find one either.
        let mut blocked: Vec<(Resources, bool)> = Vec::new();
        self.held.clear();
        for candidate in candidates.into_iter().take(STEPS_PER_ROUND) {
            let spec = self.jobs[&candidate.job].spec.clone();
            let step = &spec.steps[usize::from(candidate.step)];
            let is_plain = step.requires.is_none() && step.per_worker == 0;
            if is_plain && blocked.contains(&(step.need, step.fills)) {
                continue;
            }
            let is_placed = match step.gang {
                true => self.place_gang(now, &candidate, &spec, step),
                false => self.place_tasks(now, &candidate, &spec, step),
            };
            if !is_placed && step.lasting {
                self.held.extend(self.most_free(now, &candidate, &spec, step));
            }
            if !is_placed && is_plain {
                blocked.push((step.need, step.fills));
            }
        }
    }

    fn candidates(&mut self, now: Time) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        let is_quiet = self.quiet_at.is_none();
        for (number, job) in &mut self.jobs {
            if job.phase.is_final() || (job.is_inherited && !is_quiet) {
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
                            // Each second away costs the users of a lasting task.
                            rank: match step.lasting {
                                true => Rank { lateness: 0, work: 0, ..rank },
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

    /// Returns the worker on which a lasting step will have room first, as shorter tasks end there.
    fn most_free(
        &self,
        now: Time,
        candidate: &Candidate,
        spec: &JobSpec,
        step: &Step,
    ) -> Option<Slot> {
        let state = self.state(candidate);
        let suits = |(slot, node): &(Slot, &Node)| {
            let same = state.per_worker.get(slot).copied().unwrap_or(0);
            node.may_start(now, spec, step)
                && node.holds_beside_lasting(&step.need)
                && (step.per_worker == 0 || same < step.per_worker)
                && !self.held.contains(slot)
        };
        let nodes = self.nodes.iter().enumerate().filter(suits);
        nodes.max_by_key(|(_, node)| node.free_cpu()).map(|(slot, _)| slot)
    }

    /// Starts waiting tasks of a step while they fit; tells whether all fit.
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
        let rack = if step.tight { self.tight_rack(now, candidate, spec, step) } else { None };
        for index in waiting {
            let task = TaskId { job, occurrence, step: candidate.step, index };
            let avoid = self.state(candidate).avoid.get(&index).copied();
            let rack = rack.as_deref().or(step.near.as_deref());
            let extra = BTreeMap::new();
            match self.choose(now, candidate, spec, step, avoid, rack, &extra) {
                Some(slot) => {
                    let run = self.state(candidate).next_run(index, base);
                    self.start(slot, task, run);
                }
                None => return false,
            }
        }
        true
    }

    /// Starts all members of a gang at once, or none.
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
        let rack = self.tight_rack(now, candidate, spec, step);
        let rack = rack.as_deref().or(step.near.as_deref());
        let waiting: Vec<u32> = self.state(candidate).waiting.iter().copied().collect();
        let mut extra: BTreeMap<Slot, u32> = BTreeMap::new();
        let mut slots = Vec::with_capacity(waiting.len());
        for index in &waiting {
            let avoid = self.state(candidate).avoid.get(index).copied();
            let Some(slot) = self.choose(now, candidate, spec, step, avoid, rack, &extra) else {
                return false;
            };
            *extra.entry(slot).or_default() += 1;
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

    /// Returns the rack on which a step whose tasks must be close has most room.
    fn tight_rack(
        &self,
        now: Time,
        candidate: &Candidate,
        spec: &Arc<JobSpec>,
        step: &Step,
    ) -> Option<String> {
        if !step.tight {
            return None;
        }
        let mut fits: BTreeMap<&str, u64> = BTreeMap::new();
        for node in self.nodes.iter().filter(|node| node.may_start(now, spec, step)) {
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

    #[allow(clippy::too_many_arguments)]
    fn choose(
        &self,
        now: Time,
        candidate: &Candidate,
        spec: &Arc<JobSpec>,
        step: &Step,
        avoid: Option<Slot>,
        rack: Option<&str>,
        extra: &BTreeMap<Slot, u32>,
    ) -> Option<Slot> {
        let state = self.state(candidate);
        let is_starved = state.running.is_empty()
            && state.ready_since.is_some_and(|since| now >= since + STARVED);
        let mut best: Option<(Score, Slot)> = None;
        for (slot, node) in self.nodes.iter().enumerate() {
            let here = extra.get(&slot).copied().unwrap_or(0);
            let same = state.per_worker.get(&slot).copied().unwrap_or(0) + here;
            if !node.may_start(now, spec, step)
                || !node.has_room(step, u64::from(here))
                || (self.held.contains(&slot) && !step.lasting && !step.fills)
                || (step.fills && !is_starved && self.is_pressed(node, step, u64::from(here)))
                || (step.per_worker > 0 && same >= step.per_worker)
            {
                continue;
            }
            let taken = u64::from(here) * step.need.cpu_milli;
            let free = node.free_cpu().saturating_sub(taken);
            let score = (
                avoid == Some(slot),
                node.streak > 0,
                rack.is_some_and(|rack| node.rack() != Some(rack)),
                node.mixture(step),
                Reverse(if step.lasting { node.lasting.cpu_milli } else { 0 }),
                match (step.lasting, step.fills) {
                    (true, _) => free,
                    (false, true) => self.fill_cost(node, step, taken),
                    (false, false) => u64::MAX / 4 - free,
                },
            );
            if best.is_none_or(|(known, _)| score < known) {
                best = Some((score, slot));
            }
        }
        best.map(|(_, slot)| slot)
    }

    fn state(&self, candidate: &Candidate) -> &super::step::StepState {
        &self.jobs[&candidate.job].occurrences[&candidate.occurrence][usize::from(candidate.step)]
    }
}

fn rank(job: &Job, now: Time) -> Rank {
    let objective = job.objective.saturating_sub(job.since);
    let left = Duration::from_millis(job.chain_left_ms() * SURE_PERCENT / 100);
    let lateness = match now {
        _ if now + left <= job.objective => 0,
        _ if now <= job.since + objective * LATE_FACTOR => 1,
        _ => 2,
    };
    Rank { lateness, priority: job.spec.queue.priority, work: job.work, since: job.since }
}

impl Node {
    /// Rack of the worker: its second label.
    pub(super) fn rack(&self) -> Option<&str> {
        self.worker.as_ref()?.labels.get(1).map(String::as_str)
    }

    /// Processors that neither reservations nor fill tasks take.
    pub(super) fn free_cpu(&self) -> u64 {
        self.room_cpu().saturating_sub(self.used.cpu_milli + self.filled_cpu)
    }

    fn room_cpu(&self) -> u64 {
        self.worker.as_ref().map_or(0, |worker| worker.room.cpu_milli)
    }

    /// Tells whether `need` fits once all shorter tasks have ended.
    fn holds_beside_lasting(&self, need: &Resources) -> bool {
        let room = self.worker.as_ref().map(|worker| worker.room);
        room.is_some_and(|room| self.lasting.plus(need).fits_in(&room))
    }

    /// Processors that fill tasks are expected to get, beyond those that are there.
    fn unused_cpu(&self) -> u64 {
        let idle = self.lasting.cpu_milli * (100 - LASTING_USE_PERCENT) / 100;
        (self.room_cpu() + idle).saturating_sub(self.used.cpu_milli + self.filled_cpu)
    }

    /// Serving images on the worker beside that of a serving step. Fill tasks find more workers on
    /// which they disturb nobody if each serves few images.
    fn mixture(&self, step: &Step) -> usize {
        let own = image_number(step);
        match step.target_ms {
            0 => 0,
            _ => self.serving.keys().filter(|image| **image != own).count(),
        }
    }

    /// Shares of the worker's processors that fill tasks take at full pace.
    fn shares(&self) -> Vec<Share> {
        self.filled.iter().map(|(image, cpu)| (*image, self.share(*cpu))).collect()
    }

    fn share(&self, cpu: u64) -> f64 {
        cpu as f64 / self.room_cpu().max(1) as f64
    }

    /// Tells whether tasks of the step may start here at all.
    pub(super) fn may_start(&self, now: Time, spec: &JobSpec, step: &Step) -> bool {
        let Some(worker) = &self.worker else { return false };
        self.is_attached
            && now < self.last_pong + FRESH_PERMISSION
            && self.is_listed
            && !worker.draining
            && self.foreign.is_empty()
            && now >= self.rests_until
            && worker.service == spec.queue.service
            && step.requires.as_ref().is_none_or(|label| worker.labels.contains(label))
    }

    fn has_room(&self, step: &Step, taken: u64) -> bool {
        let Some(worker) = &self.worker else { return false };
        let reserved = step.reserved();
        let mut used = self.used.plus(&reserved);
        for _ in 0..taken {
            used = used.plus(&reserved);
        }
        let free = self.unused_cpu().saturating_sub(taken * step.need.cpu_milli);
        let fill_fits = !step.fills
            || free >= step.need.cpu_milli
            || (self.filled_cpu == 0
                && free * 100 >= step.need.cpu_milli * LEAST_FILL_PERCENT
                && step.need.cpu_milli > worker.room.cpu_milli / 2);
        fill_fits && used.fits_in(&worker.room)
    }
}

impl Owner {
    /// Learns from the last report of a worker.
    pub(super) fn learn_press(&mut self, slot: Slot, samples: &[Sample], alone: &[(Image, u32)]) {
        let node = &mut self.nodes[slot];
        for sample in samples {
            self.press.learn(sample, node.room_cpu());
        }
        for (image, percent) in alone {
            if let Some((_, base)) = node.serving.get_mut(image) {
                base.learn(*percent);
            }
        }
    }

    /// Weights of a step's image beside the serving images of a worker.
    pub(super) fn weights_of(&self, slot: Slot, step: &Step) -> Vec<(Image, u32)> {
        let fill = image_number(step);
        let weight =
            |image: &Image| (*image, (self.press.weight(*image, fill) * WEIGHT_SCALE) as u32);
        match step.fills {
            true => self.nodes[slot].serving.keys().map(weight).collect(),
            false => Vec::new(),
        }
    }

    /// Weights of all fill images of a worker beside its serving images.
    pub(super) fn weights(&self, slot: Slot) -> Vec<(Image, Image, u32)> {
        let node = &self.nodes[slot];
        let pairs = node.filled.keys().flat_map(|f| node.serving.keys().map(move |s| (*s, *f)));
        pairs.map(|(s, f)| (s, f, (self.press.weight(s, f) * WEIGHT_SCALE) as u32)).collect()
    }

    /// Highest expected tail beside all fill tasks of a worker at full pace and `count` more tasks of
    /// a step, in percent of its target, and how much of it these cause. Only serving images that
    /// the step disturbs count.
    fn expected_tail(&self, node: &Node, step: &Step, count: u64) -> (f64, f64) {
        let shares = node.shares();
        let own = [(image_number(step), node.share(step.need.cpu_milli * count))];
        let mut worst = (0.0, 0.0);
        for (image, (_, base)) in &node.serving {
            let more = self.press.rise(*image, &own);
            let before = self.press.rise(*image, &shares);
            let (tail, rise) = (base.tail(before + PESSIMISM * more), base.tail(before));
            if more > SMALL_RISE && tail > worst.0 {
                worst = (tail, tail - rise);
            }
        }
        worst
    }

    /// Tells whether one more fill task, beside `here` in the same decision, would press the tasks
    /// that serve too much. A worker may always have one.
    fn is_pressed(&self, node: &Node, step: &Step, here: u64) -> bool {
        let (tail, rise) = self.expected_tail(node, step, here + 1);
        node.filled_cpu > 0 && rise > 0.0 && (node.pressure.level < STOP_LEVEL || tail > MOST_TAIL)
    }

    /// Preference among workers for a fill task, beside `taken` processors given away in the same
    /// decision: little fill work, and a tail that is low and rises little.
    fn fill_cost(&self, node: &Node, step: &Step, taken: u64) -> u64 {
        let share = ((node.filled_cpu + taken) * 100 / node.room_cpu().max(1)) as f64;
        let (tail, rise) = self.expected_tail(node, step, 1);
        (share + tail + RISE_WEIGHT * rise) as u64
    }

    /// Tells whether a job has begun.
    pub(super) fn note_running(&mut self, number: JobNumber) {
        if let Some(job) = self.jobs.get_mut(&number).filter(|job| job.phase == Phase::Queued) {
            job.phase = Phase::Running;
        }
    }
}
