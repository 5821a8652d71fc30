//! Choice of the worker for each start.

use std::collections::{BTreeSet, HashSet};
use std::time::Duration;

use crate::cell::owner::{Cell, Effect, FORGET_AFTER};
use crate::cell::queue::Lane;
use crate::cell::state::{Event, Job};
use crate::cell::worker::{Live, Stage, Worker};
use crate::id::{JobId, TaskIndex};
use crate::message::report::AttemptId;
use crate::resources::Resources;
use crate::time::Time;

/// Starts from requeued work are refilled at this rate and saved up to [`RECOVERY_BURST`], so that
/// any second has at most 200.
const RECOVERY_RATE: f64 = 180.0;
const RECOVERY_BURST: f64 = 20.0;
/// Time between two passes over the queue.
const PASS_INTERVAL: Duration = Duration::from_millis(20);
/// Starts in one pass.
const PASS_STARTS: usize = 256;
/// Workers examined and workers compared in one decision; the cost stays constant as cells grow.
const EXAMINED: usize = 48;
const COMPARED: usize = 12;
/// Random places in the index that are examined to find other racks.
const PROBES: usize = 8;
/// Pressure is compared in steps, so that its noise does not override the best fit.
const PRESSURE_STEP: u32 = 20;

/// Time after a takeover within which other workers are expected to report.
const LAST_RESORT: Duration = Duration::from_secs(60);
/// Pause of a job before it is tried on a worker on which it failed before; doubles.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
const LONGEST_RETRY_PAUSE: Duration = Duration::from_secs(60);

/// Workers that may get work, ordered by the CPU that is available to urgent work.
#[derive(Debug, Clone, Default)]
pub(super) struct Index {
    all: BTreeSet<(u64, usize)>,
    accelerated: BTreeSet<(u64, usize)>,
}

impl Index {
    fn of(&self, need: &Resources) -> &BTreeSet<(u64, usize)> {
        match need.accelerators {
            0 => &self.all,
            _ => &self.accelerated,
        }
    }
}

/// Which workers a job accepts.
struct Wish<'a> {
    job: &'a Job,
    /// Only workers on which other jobs succeeded.
    proven: bool,
    /// Also workers on which the job failed.
    anywhere: bool,
}

/// Why a task cannot start now.
enum Blocked {
    /// No worker has room now, whatever the job.
    Room,
    /// A limit of the job or its team.
    Job,
    Unrunnable(String),
}

impl Cell {
    /// Starts what waits and has room.
    pub(super) fn place(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.last_pass);
        if elapsed < PASS_INTERVAL {
            return;
        }
        self.last_pass = now;
        let refilled = self.recovery + elapsed.as_secs_f64() * RECOVERY_RATE;
        self.recovery = refilled.min(RECOVERY_BURST);
        if self.queue.is_empty() {
            return;
        }
        let mut starts = 0;
        let mut full = HashSet::new();
        for lane in Lane::ALL {
            for id in self.queue.candidates(lane) {
                if starts >= PASS_STARTS {
                    return;
                }
                starts += self.place_job(now, lane, &id, PASS_STARTS - starts, &mut full);
            }
        }
    }

    /// Starts tasks of one job until it is blocked. Returns how many.
    fn place_job(
        &mut self,
        now: Time,
        lane: Lane,
        id: &JobId,
        limit: usize,
        full: &mut HashSet<(usize, Resources)>,
    ) -> usize {
        let mut starts = 0;
        while starts < limit && !self.cancelling.contains(id) {
            if lane.is_requeued() && self.recovery < 1.0 {
                break;
            }
            let Some(job) = self.state.jobs.get(id) else { break };
            let Some(task) = next_task(job, lane) else { break };
            let Some(class) = self.class_number(&job.spec.class) else { break };
            let shape = (class, job.spec.need);
            let is_free_to_choose = job.failed_on.is_empty();
            if is_free_to_choose && full.contains(&shape) {
                break;
            }
            match self.choose(now, id) {
                Ok(slot) => {
                    self.start(id, task, slot);
                    starts += 1;
                    if lane.is_requeued() {
                        self.recovery -= 1.0;
                    }
                }
                Err(Blocked::Room) if is_free_to_choose => {
                    full.insert(shape);
                    break;
                }
                Err(Blocked::Unrunnable(reason)) => {
                    self.propose(Event::Unrunnable { job: id.clone(), reason });
                    self.sync_job(id);
                    break;
                }
                Err(Blocked::Room | Blocked::Job) => break,
            }
        }
        starts
    }

    fn choose(&mut self, now: Time, id: &JobId) -> Result<usize, Blocked> {
        let job = self.state.jobs.get(id).ok_or(Blocked::Job)?;
        let need = job.spec.need;
        self.check_limits(job)?;
        if !self.fits_some_worker(now, need) {
            let job = self.state.jobs.get(id).ok_or(Blocked::Job)?;
            return Err(match job.attempts.is_empty() && self.is_settled(now) {
                true => Blocked::Unrunnable("a task fits no worker of the cell".to_owned()),
                false => Blocked::Job,
            });
        }
        let mut rng = self.rng.clone();
        let job = self.state.jobs.get(id).ok_or(Blocked::Job)?;
        let slot = self.search(now, &self.wish(now, job), &mut rng);
        self.rng = rng;
        slot.ok_or(Blocked::Room)
    }

    fn check_limits(&self, job: &Job) -> Result<(), Blocked> {
        let need = &job.spec.need;
        let limits = self.limits.as_ref().ok_or(Blocked::Job)?;
        let (quota, class) =
            (limits.teams.get(&job.spec.team), limits.classes.get(&job.spec.class));
        // This owner may be behind the configuration that had the team and the class.
        let (Some(quota), Some((limit, _))) = (quota, class) else { return Err(Blocked::Job) };
        let blocked = |reason: String| match job.attempts.is_empty() {
            true => Err(Blocked::Unrunnable(reason)),
            false => Err(Blocked::Job),
        };
        if !need.fits_in(quota) {
            return blocked(format!("a task exceeds the quota of team {}", job.spec.team));
        }
        if !need.fits_in(limit) {
            return blocked(format!("a task exceeds the limit of class {}", job.spec.class));
        }
        let used = self.team_used.get(&job.spec.team).copied().unwrap_or_default();
        match used.plus(need).fits_in(quota) {
            true => Ok(()),
            false => Err(Blocked::Job),
        }
    }

    /// Tells whether the workers of the cell are known.
    fn is_settled(&self, now: Time) -> bool {
        now >= self.taken_over + self.settings.settle
            && self.workers.iter().any(|(_, worker)| worker.last_report.is_some())
    }

    fn fits_some_worker(&mut self, now: Time, need: Resources) -> bool {
        if !self.is_settled(now) {
            return true;
        }
        let workers = &self.workers;
        let search = || workers.iter().any(|(_, worker)| need.fits_in(&worker.largest));
        *self.fits.entry(shape(&need)).or_insert_with(search)
    }

    /// Decides which workers to accept. A job that failed goes to a worker on which others
    /// succeeded; only without such a worker in the cell, to another one on which it has not
    /// failed, for which it waits while that one is silent; only without those, anywhere, and then
    /// at growing intervals.
    fn wish<'a>(&self, now: Time, job: &'a Job) -> Wish<'a> {
        let undecided = Wish { job, proven: true, anywhere: false };
        let elsewhere = Wish { job, proven: false, anywhere: false };
        if job.failed_on.is_empty() {
            return elsewhere;
        }
        let need = &job.spec.need;
        let mut workers = self.workers.iter().map(|(_, worker)| worker);
        if workers.any(|worker| {
            self.is_usable(now, worker)
                && need.fits_in(&worker.capacity)
                && accepts(&undecided, worker)
        }) {
            return undecided;
        }
        let mut workers = self.workers.iter().map(|(_, worker)| worker);
        let exists_elsewhere = workers.any(|worker| {
            is_known(now, worker) && need.fits_in(&worker.largest) && accepts(&elsewhere, worker)
        });
        Wish { anywhere: !exists_elsewhere && self.is_last_resort(now, job), ..elsewhere }
    }

    /// Tells whether a job that failed on all known workers may be tried on one of them again. A
    /// new owner may not have heard of the others yet.
    fn is_last_resort(&self, now: Time, job: &Job) -> bool {
        let failures = job.requeued.values().map(|resume| resume.failures).max().unwrap_or(0);
        let pause = RETRY_PAUSE * 2u32.saturating_pow(failures.min(10));
        let last = self.failed_at.get(&job.spec.id).copied().unwrap_or_default();
        now >= self.taken_over + LAST_RESORT && now >= last + pause.min(LONGEST_RETRY_PAUSE)
    }

    fn is_usable(&self, now: Time, worker: &Worker) -> bool {
        let silence = worker.last_report.map(|last| now.saturating_sub(last));
        !worker.leaving
            && worker.epoch == self.state.epoch
            && silence.is_some_and(|silence| silence <= self.settings.silent)
            && !worker.is_quarantined(now)
            && now >= worker.avoid_until
    }

    fn search(&self, now: Time, wish: &Wish, rng: &mut fastrand::Rng) -> Option<usize> {
        let need = &wish.job.spec.need;
        let index = self.index.of(need);
        let class = self.class_number(&wish.job.spec.class)?;
        let expected = self.expected(wish.job, class);
        let keeps_share = self.has_urgent_class();
        let suits = |slot: usize| {
            self.workers.get(slot).is_some_and(|worker| {
                // An idle worker takes a task whatever it is expected to use.
                let need = if worker.attempts.is_empty() { need } else { &expected };
                need.fits_in(&worker.room(wish.job.urgent, keeps_share))
                    && worker.has_class_room(&self.class_limits, class, need)
                    && self.is_usable(now, worker)
                    && accepts(wish, worker)
            })
        };
        let nearest = index.range((need.cpu_milli, 0)..).map(|(_, slot)| *slot);
        let mut found: Vec<usize> =
            nearest.clone().take(EXAMINED).filter(|slot| suits(*slot)).take(COMPARED).collect();
        if wish.job.urgent || found.is_empty() {
            self.probe(index, need.cpu_milli, rng, &mut found, &suits);
        }
        if found.is_empty() {
            found.extend(nearest.skip(EXAMINED).find(|slot| suits(*slot)));
        }
        found.into_iter().min_by_key(|slot| self.rank(*slot, wish.job))
    }

    /// Returns what a task is expected to use: of urgent work what it declares, so that a wrong
    /// usage does not delay it; otherwise at most the class limit, which no worker exceeds.
    fn expected(&self, job: &Job, class: usize) -> Resources {
        let need = job.spec.need;
        match (self.usage.get(&job.spec.id), self.class_limits.get(class)) {
            (Some(usage), Some(Some(limit))) if !job.urgent => need.max(&usage.min(limit)),
            _ => need,
        }
    }

    /// Adds workers from random places of the index.
    fn probe(
        &self,
        index: &BTreeSet<(u64, usize)>,
        from: u64,
        rng: &mut fastrand::Rng,
        found: &mut Vec<usize>,
        suits: &impl Fn(usize) -> bool,
    ) {
        let to = index.last().map_or(from, |(cpu, _)| *cpu).max(from);
        for _ in 0..PROBES {
            let start = (rng.u64(from..=to), rng.usize(0..=self.workers.slots()));
            let slot = index.range(start..).next().map(|(_, slot)| *slot);
            found.extend(slot.filter(|slot| suits(*slot)));
        }
    }

    /// Orders candidates, the best first.
    fn rank(&self, slot: usize, job: &Job) -> impl Ord {
        let Some(worker) = self.workers.get(slot) else {
            return (usize::MAX, u32::MAX, u32::MAX, true, u64::MAX, slot);
        };
        let racks = self.racks.get(&job.spec.id);
        let tasks = racks.and_then(|racks| racks.get(&worker.rack_number)).copied().unwrap_or(0);
        let left = worker.room(job.urgent, false).cpu_milli.saturating_sub(job.spec.need.cpu_milli);
        let pressure = worker.pressure / PRESSURE_STEP;
        (worker.failed_jobs.len(), tasks, pressure, worker.succeeded.is_empty(), left, slot)
    }

    fn start(&mut self, id: &JobId, task: TaskIndex, slot: usize) {
        let token = self.state.next_token();
        let Some(agent) = self.workers.get(slot).map(|worker| worker.agent.clone()) else { return };
        let attempt = AttemptId { job: id.clone(), task, token };
        self.propose(Event::Started { attempt, agent: agent.clone() });
        let Some(job) = self.state.jobs.get(id) else { return };
        let Some(class) = self.class_number(&job.spec.class) else { return };
        let (need, urgent) = (job.spec.need, job.urgent);
        let used = self.team_used.entry(job.spec.team.clone()).or_default();
        *used = used.plus(&need);
        let start_after = self.proposed;
        if let Some(worker) = self.workers.get_mut(slot) {
            let live = Live {
                token,
                need,
                measured: Resources::default(),
                expected: self.usage.get(id).copied().unwrap_or_default(),
                class,
                stage: Stage::Ordered,
                meant_for: worker.incarnation,
                start_after,
                start_sent: None,
                stop_after: None,
                stop_sent: None,
                seen: false,
            };
            worker.attempts.insert((id.clone(), task), live);
            worker.update_available();
            if urgent {
                let racks = self.racks.entry(id.clone()).or_default();
                *racks.entry(worker.rack_number).or_default() += 1;
            }
        }
        self.reindex_available(slot);
        self.sync_job(id);
        self.after_commit(Effect::Wake(agent));
    }

    /// Puts a worker into the index after a report.
    pub(super) fn reindex(&mut self, slot: usize, now: Time) {
        let usable = self.workers.get(slot).is_some_and(|worker| {
            !worker.leaving && worker.epoch == self.state.epoch && !worker.is_quarantined(now)
        });
        self.unindex(slot);
        if usable {
            self.insert_index(slot);
        }
    }

    /// Moves a worker that is in the index to its place.
    pub(super) fn reindex_available(&mut self, slot: usize) {
        if self.workers.get(slot).is_some_and(|worker| worker.indexed.is_some()) {
            self.unindex(slot);
            self.insert_index(slot);
        }
    }

    fn insert_index(&mut self, slot: usize) {
        let Some(worker) = self.workers.get_mut(slot) else { return };
        // Urgent work may take at least what other work may take.
        let cpu = worker.urgent_available.cpu_milli;
        worker.indexed = Some(cpu);
        self.index.all.insert((cpu, slot));
        if worker.urgent_available.accelerators > 0 {
            self.index.accelerated.insert((cpu, slot));
        }
    }

    pub(super) fn unindex(&mut self, slot: usize) {
        let Some(worker) = self.workers.get_mut(slot) else { return };
        if let Some(cpu) = worker.indexed.take() {
            self.index.all.remove(&(cpu, slot));
            self.index.accelerated.remove(&(cpu, slot));
        }
    }
}

/// Tells whether a worker may become usable again soon.
fn is_known(now: Time, worker: &Worker) -> bool {
    let silence = worker.last_report.map(|last| now.saturating_sub(last));
    silence.is_some_and(|silence| silence <= FORGET_AFTER) && !worker.is_quarantined(now)
}

fn accepts(wish: &Wish, worker: &Worker) -> bool {
    (!wish.proven || worker.is_proven_for(&wish.job.spec.id))
        && (wish.anywhere || !wish.job.failed_on.contains(&worker.agent))
}

fn next_task(job: &Job, lane: Lane) -> Option<TaskIndex> {
    match lane.is_requeued() {
        true => job.has_requeued().then(|| job.requeued.keys().next().copied()).flatten(),
        false => job.has_fresh().then_some(job.fresh),
    }
}

fn shape(need: &Resources) -> (u64, u64, u64) {
    (need.cpu_milli, need.memory_mib, need.accelerators)
}
