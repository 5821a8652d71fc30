//! Placement: chooses a worker for each waiting task.

use std::collections::{BTreeSet, HashSet};
use std::time::Duration;

use crate::cell::owner::{Cell, Effect, FORGET_WORKER_AFTER};
use crate::cell::queue::Lane;
use crate::cell::state::{Event, Job};
use crate::cell::worker::{LiveAttempt, Stage, Worker};
use crate::id::{JobId, TaskIndex};
use crate::message::report::AttemptId;
use crate::resources::Resources;
use crate::time::Time;

/// Refill rate of the token bucket that limits starts of requeued tasks, in starts per second.
/// Together with [`REQUEUED_START_BURST`] it allows at most 200 starts in any second.
const REQUEUED_STARTS_PER_S: f64 = 180.0;
/// Size of the token bucket that limits starts of requeued tasks, in starts.
const REQUEUED_START_BURST: f64 = 20.0;
/// Shortest interval between two placement passes over the queue of waiting tasks.
const PASS_INTERVAL: Duration = Duration::from_millis(20);
/// Most tasks that one placement pass starts.
const MAX_STARTS_PER_PASS: usize = 256;
/// Most workers examined for suitability when a task is placed. The bound keeps the cost of placing
/// a task constant as cells grow.
const MAX_EXAMINED_WORKERS: usize = 48;
/// Most suitable workers that are ranked when a task is placed. The bound keeps the cost of placing
/// a task constant as cells grow.
const MAX_COMPARED_WORKERS: usize = 12;
/// Random positions of the placement index that are examined in addition to the tightest fits, to
/// find workers in other racks.
const RANDOM_PROBES: usize = 8;
/// Step to which interference pressure is rounded before workers are compared, so that its noise
/// does not override the best fit.
const PRESSURE_STEP_PERCENT: u32 = 20;

/// Time after a takeover before a job may be retried on workers on which it failed. Other workers
/// are expected to report within this time.
const RETRY_DELAY_AFTER_TAKEOVER: Duration = Duration::from_secs(60);
/// Initial backoff of a job before it is retried on a worker on which it failed; doubles with each
/// failure.
const BASE_RETRY_BACKOFF: Duration = Duration::from_secs(1);
/// Upper limit of the backoff of a job before it is retried on a worker on which it failed.
const MAX_RETRY_BACKOFF: Duration = Duration::from_secs(60);

/// Placement index: slot numbers of workers that may get tasks, ordered by the CPU available to
/// urgent tasks, in thousandths of a core.
#[derive(Debug, Clone, Default)]
pub(super) struct Index {
    /// Available CPU and slot number of each worker.
    all: BTreeSet<(u64, usize)>,
    /// Available CPU and slot number of each worker with available accelerators.
    accelerated: BTreeSet<(u64, usize)>,
}

impl Index {
    /// Returns the available CPU and slot number of the workers to search for a task with this
    /// need.
    fn for_need(&self, need: &Resources) -> &BTreeSet<(u64, usize)> {
        match need.accelerators {
            0 => &self.all,
            _ => &self.accelerated,
        }
    }
}

/// Restriction of the workers on which a job may be placed, by earlier failures.
struct WorkerFilter<'a> {
    /// Job whose tasks are placed.
    job: &'a Job,
    /// Allows only workers on which tasks of other jobs completed and none failed since.
    proven_only: bool,
    /// Also allows workers on which a task of this job failed.
    allow_failed: bool,
}

/// Reason for which a task cannot start now.
enum Blocked {
    /// No allowed worker has enough free resources.
    Capacity,
    /// A restriction that concerns only this job, such as the quota of its team.
    Job,
    /// The job can never run, for the given reason.
    Unrunnable(String),
}

impl Cell {
    /// Runs a placement pass if its interval has passed: starts waiting tasks, in the order of the
    /// queue, on workers with enough free resources.
    pub(super) fn place(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.last_pass);
        if elapsed < PASS_INTERVAL {
            return;
        }
        self.last_pass = now;
        let refilled = self.requeue_budget + elapsed.as_secs_f64() * REQUEUED_STARTS_PER_S;
        self.requeue_budget = refilled.min(REQUEUED_START_BURST);
        if self.queue.is_empty() {
            return;
        }
        let mut starts = 0;
        let mut without_capacity = HashSet::new();
        for lane in Lane::ALL {
            for id in self.queue.candidates(lane) {
                if starts >= MAX_STARTS_PER_PASS {
                    return;
                }
                starts += self.place_job(
                    now,
                    lane,
                    &id,
                    MAX_STARTS_PER_PASS - starts,
                    &mut without_capacity,
                );
            }
        }
    }

    /// Starts up to `limit` tasks of one job until the job is blocked. Returns the number of
    /// starts. `without_capacity` collects the pairs of class number and need for which this pass
    /// found no worker.
    fn place_job(
        &mut self,
        now: Time,
        lane: Lane,
        id: &JobId,
        limit: usize,
        without_capacity: &mut HashSet<(usize, Resources)>,
    ) -> usize {
        let mut starts = 0;
        while starts < limit && !self.cancelling.contains(id) {
            if lane.is_requeued() && self.requeue_budget < 1.0 {
                break;
            }
            let Some(job) = self.state.jobs.get(id) else { break };
            let Some(task) = next_task(job, lane) else { break };
            let Some(class) = self.class_number(&job.spec.class) else { break };
            let class_need = (class, job.spec.need);
            let is_unrestricted = job.failed_on.is_empty();
            if is_unrestricted && without_capacity.contains(&class_need) {
                break;
            }
            match self.choose_worker(now, id) {
                Ok(slot) => {
                    self.start(id, task, slot);
                    starts += 1;
                    if lane.is_requeued() {
                        self.requeue_budget -= 1.0;
                    }
                }
                Err(Blocked::Capacity) if is_unrestricted => {
                    without_capacity.insert(class_need);
                    break;
                }
                Err(Blocked::Unrunnable(reason)) => {
                    self.propose(Event::Unrunnable { job: id.clone(), reason });
                    self.sync_job(id);
                    break;
                }
                Err(Blocked::Capacity | Blocked::Job) => break,
            }
        }
        starts
    }

    /// Returns the slot number of the worker on which to start the next task of a job, or the
    /// reason for which the task cannot start now.
    fn choose_worker(&mut self, now: Time, id: &JobId) -> Result<usize, Blocked> {
        let job = self.state.jobs.get(id).ok_or(Blocked::Job)?;
        let need = job.spec.need;
        self.check_limits(job)?;
        if !self.fits_some_worker(now, need) {
            let job = self.state.jobs.get(id).ok_or(Blocked::Job)?;
            return Err(match job.attempts.is_empty() && self.has_discovered_workers(now) {
                true => Blocked::Unrunnable("a task fits no worker of the cell".to_owned()),
                false => Blocked::Job,
            });
        }
        let mut rng = self.rng.clone();
        let job = self.state.jobs.get(id).ok_or(Blocked::Job)?;
        let slot = self.find_worker(now, &self.worker_filter(now, job), &mut rng);
        self.rng = rng;
        slot.ok_or(Blocked::Capacity)
    }

    /// Checks the next task of a job against the quota of its team and the limit of its class.
    fn check_limits(&self, job: &Job) -> Result<(), Blocked> {
        let need = &job.spec.need;
        let limits = self.limits.as_ref().ok_or(Blocked::Job)?;
        let (quota, class) =
            (limits.teams.get(&job.spec.team), limits.classes.get(&job.spec.class));
        // This owner may not have received the configuration version with this team and class yet.
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
        let used = self.team_reserved.get(&job.spec.team).copied().unwrap_or_default();
        match used.plus(need).fits_in(quota) {
            true => Ok(()),
            false => Err(Blocked::Job),
        }
    }

    /// Tells whether the workers of the cell have had time to report since the takeover.
    fn has_discovered_workers(&self, now: Time) -> bool {
        now >= self.takeover_at + self.settings.discovery_period
            && self.workers.iter().any(|(_, worker)| worker.last_report.is_some())
    }

    /// Tells whether a task's need fits the full capacity of some known worker. Returns `true`
    /// shortly after a takeover, while workers may not have reported yet.
    fn fits_some_worker(&mut self, now: Time, need: Resources) -> bool {
        if !self.has_discovered_workers(now) {
            return true;
        }
        let workers = &self.workers;
        let fits_any = || workers.iter().any(|(_, worker)| need.fits_in(&worker.max_capacity));
        *self.fit_cache.entry(need_key(&need)).or_insert_with(fits_any)
    }

    /// Chooses the worker filter for a job. A job without failures accepts every worker. A job that
    /// failed goes to a worker on which other jobs succeeded. If the cell has none, the job goes to
    /// a worker on which it has not failed, and waits for one that is silent but may return. If
    /// there is none either, the job is retried on any worker, with growing backoff.
    fn worker_filter<'a>(&self, now: Time, job: &'a Job) -> WorkerFilter<'a> {
        let proven_workers = WorkerFilter { job, proven_only: true, allow_failed: false };
        let untried_workers = WorkerFilter { job, proven_only: false, allow_failed: false };
        if job.failed_on.is_empty() {
            return untried_workers;
        }
        let need = &job.spec.need;
        let mut workers = self.workers.iter().map(|(_, worker)| worker);
        if workers.any(|worker| {
            self.is_usable(now, worker)
                && need.fits_in(&worker.capacity)
                && accepts(&proven_workers, worker)
        }) {
            return proven_workers;
        }
        let mut workers = self.workers.iter().map(|(_, worker)| worker);
        let has_untried = workers.any(|worker| {
            may_return(now, worker)
                && need.fits_in(&worker.max_capacity)
                && accepts(&untried_workers, worker)
        });
        WorkerFilter {
            allow_failed: !has_untried && self.is_retry_due(now, job),
            ..untried_workers
        }
    }

    /// Tells whether the backoff of a job that failed on all known workers has passed. After a
    /// takeover, the owner first waits for reports of other workers.
    fn is_retry_due(&self, now: Time, job: &Job) -> bool {
        let failures = job.requeued.values().map(|resume| resume.failures).max().unwrap_or(0);
        let backoff = BASE_RETRY_BACKOFF * 2u32.saturating_pow(failures.min(10));
        let last = self.last_failure.get(&job.spec.id).copied().unwrap_or_default();
        now >= self.takeover_at + RETRY_DELAY_AFTER_TAKEOVER
            && now >= last + backoff.min(MAX_RETRY_BACKOFF)
    }

    /// Tells whether the worker may get new tasks now, whatever its free resources.
    fn is_usable(&self, now: Time, worker: &Worker) -> bool {
        let silence = worker.last_report.map(|last| now.saturating_sub(last));
        !worker.leaving
            && worker.epoch == self.state.epoch
            && silence.is_some_and(|silence| silence <= self.settings.silent)
            && !worker.is_quarantined(now)
            && now >= worker.backoff_until
    }

    /// Returns the best of a bounded number of suitable workers. Examines the workers with the
    /// least sufficient CPU, then random ones if the job is urgent or none was suitable. Searches
    /// the rest of the index only if both found no worker.
    fn find_worker(
        &self,
        now: Time,
        worker_filter: &WorkerFilter,
        rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        let need = &worker_filter.job.spec.need;
        let index = self.index.for_need(need);
        let class = self.class_number(&worker_filter.job.spec.class)?;
        let expected_usage = self.expected_usage(worker_filter.job, class);
        let keep_share = self.has_urgent_class();
        let is_suitable = |slot: usize| {
            self.workers.get(slot).is_some_and(|worker| {
                // On an idle worker only the declared need counts, so that no task is too large for
                // every worker because of its expected usage.
                let need = if worker.attempts.is_empty() { need } else { &expected_usage };
                need.fits_in(&worker.available_for(worker_filter.job.urgent, keep_share))
                    && worker.fits_class_limits(&self.class_limits, class, need)
                    && self.is_usable(now, worker)
                    && accepts(worker_filter, worker)
            })
        };
        let by_free_cpu = index.range((need.cpu_milli, 0)..).map(|(_, slot)| *slot);
        let mut candidates: Vec<usize> = by_free_cpu
            .clone()
            .take(MAX_EXAMINED_WORKERS)
            .filter(|slot| is_suitable(*slot))
            .take(MAX_COMPARED_WORKERS)
            .collect();
        if worker_filter.job.urgent || candidates.is_empty() {
            self.probe(index, need.cpu_milli, rng, &mut candidates, &is_suitable);
        }
        if candidates.is_empty() {
            candidates
                .extend(by_free_cpu.skip(MAX_EXAMINED_WORKERS).find(|slot| is_suitable(*slot)));
        }
        candidates.into_iter().min_by_key(|slot| self.rank(*slot, worker_filter.job))
    }

    /// Returns the expected usage of a task of the job. For urgent jobs this is the declared need,
    /// so that a wrong measurement does not delay them. For others it is the measured usage if that
    /// is larger, capped at the class limit, because no worker admits more than that.
    fn expected_usage(&self, job: &Job, class: usize) -> Resources {
        let need = job.spec.need;
        match (self.job_usage.get(&job.spec.id), self.class_limits.get(class)) {
            (Some(job_usage), Some(Some(limit))) if !job.urgent => need.max(&job_usage.min(limit)),
            _ => need,
        }
    }

    /// Adds suitable workers at random positions of the index to `candidates`. Only positions with
    /// at least `from` available CPU, in thousandths of a core, are drawn.
    fn probe(
        &self,
        index: &BTreeSet<(u64, usize)>,
        from: u64,
        rng: &mut fastrand::Rng,
        candidates: &mut Vec<usize>,
        is_suitable: &impl Fn(usize) -> bool,
    ) {
        let to = index.last().map_or(from, |(cpu, _)| *cpu).max(from);
        for _ in 0..RANDOM_PROBES {
            let start = (rng.u64(from..=to), rng.usize(0..=self.workers.slots()));
            let slot = index.range(start..).next().map(|(_, slot)| *slot);
            candidates.extend(slot.filter(|slot| is_suitable(*slot)));
        }
    }

    /// Returns the sort key of a worker for a job; the smallest key is the best. Prefers workers
    /// with few failed jobs, then racks with few tasks of the job if it is urgent, low interference
    /// pressure, workers on which jobs have succeeded, and the tightest CPU fit.
    fn rank(&self, slot: usize, job: &Job) -> impl Ord {
        let Some(worker) = self.workers.get(slot) else {
            return (usize::MAX, u32::MAX, u32::MAX, true, u64::MAX, slot);
        };
        let rack_tasks = self.rack_tasks.get(&job.spec.id);
        let tasks = rack_tasks
            .and_then(|rack_tasks| rack_tasks.get(&worker.rack_number))
            .copied()
            .unwrap_or(0);
        let remaining_cpu = worker
            .available_for(job.urgent, false)
            .cpu_milli
            .saturating_sub(job.spec.need.cpu_milli);
        let pressure = worker.pressure / PRESSURE_STEP_PERCENT;
        (
            worker.failed_jobs.len(),
            tasks,
            pressure,
            worker.succeeded_jobs.is_empty(),
            remaining_cpu,
            slot,
        )
    }

    /// Proposes the start of a task on a worker, and reserves the resources of the attempt.
    fn start(&mut self, id: &JobId, task: TaskIndex, slot: usize) {
        let token = self.state.next_token();
        let Some(agent) = self.workers.get(slot).map(|worker| worker.agent.clone()) else { return };
        let attempt = AttemptId { job: id.clone(), task, token };
        self.propose(Event::Started { attempt, agent: agent.clone() });
        let Some(job) = self.state.jobs.get(id) else { return };
        let Some(class) = self.class_number(&job.spec.class) else { return };
        let (need, urgent) = (job.spec.need, job.urgent);
        let used = self.team_reserved.entry(job.spec.team.clone()).or_default();
        *used = used.plus(&need);
        let start_event = self.proposed;
        if let Some(worker) = self.workers.get_mut(slot) {
            let live = LiveAttempt {
                token,
                need,
                measured: Resources::default(),
                expected_usage: self.job_usage.get(id).copied().unwrap_or_default(),
                class,
                stage: Stage::Ordered,
                target: worker.incarnation,
                start_event,
                start_sent: None,
                stop_event: None,
                stop_sent: None,
                reported: false,
            };
            worker.attempts.insert((id.clone(), task), live);
            worker.update_available();
            if urgent {
                let rack_tasks = self.rack_tasks.entry(id.clone()).or_default();
                *rack_tasks.entry(worker.rack_number).or_default() += 1;
            }
        }
        self.reindex_available(slot);
        self.sync_job(id);
        self.after_commit(Effect::Wake(agent));
    }

    /// Updates the placement index entry of the worker in this slot after its report, and removes
    /// the entry if the worker must not get tasks.
    pub(super) fn reindex(&mut self, slot: usize, now: Time) {
        let usable = self.workers.get(slot).is_some_and(|worker| {
            !worker.leaving && worker.epoch == self.state.epoch && !worker.is_quarantined(now)
        });
        self.unindex(slot);
        if usable {
            self.insert_index(slot);
        }
    }

    /// Updates the placement index entry of the worker in this slot, if it has one, after its
    /// available resources have changed.
    pub(super) fn reindex_available(&mut self, slot: usize) {
        if self.workers.get(slot).is_some_and(|worker| worker.index_key.is_some()) {
            self.unindex(slot);
            self.insert_index(slot);
        }
    }

    /// Adds the worker in this slot to the placement index.
    fn insert_index(&mut self, slot: usize) {
        let Some(worker) = self.workers.get_mut(slot) else { return };
        // The CPU available to urgent tasks is never below that available to other tasks.
        let cpu = worker.urgent_available.cpu_milli;
        worker.index_key = Some(cpu);
        self.index.all.insert((cpu, slot));
        if worker.urgent_available.accelerators > 0 {
            self.index.accelerated.insert((cpu, slot));
        }
    }

    /// Removes the worker in this slot from the placement index, so that it gets no tasks.
    pub(super) fn unindex(&mut self, slot: usize) {
        let Some(worker) = self.workers.get_mut(slot) else { return };
        if let Some(cpu) = worker.index_key.take() {
            self.index.all.remove(&(cpu, slot));
            self.index.accelerated.remove(&(cpu, slot));
        }
    }
}

/// Tells whether a worker may get new tasks again soon, even if it is silent now.
fn may_return(now: Time, worker: &Worker) -> bool {
    let silence = worker.last_report.map(|last| now.saturating_sub(last));
    silence.is_some_and(|silence| silence <= FORGET_WORKER_AFTER) && !worker.is_quarantined(now)
}

/// Tells whether the filter allows a job on the worker, given earlier failures.
fn accepts(worker_filter: &WorkerFilter, worker: &Worker) -> bool {
    (!worker_filter.proven_only || worker.is_proven_for(&worker_filter.job.spec.id))
        && (worker_filter.allow_failed || !worker_filter.job.failed_on.contains(&worker.agent))
}

/// Returns the next waiting task of a job that belongs to a priority lane of the queue.
fn next_task(job: &Job, lane: Lane) -> Option<TaskIndex> {
    match lane.is_requeued() {
        true => job.has_requeued().then(|| job.requeued.keys().next().copied()).flatten(),
        false => job.has_unstarted().then_some(job.next_unstarted),
    }
}

/// Returns a task's need as a key of the cache that [`Cell::fits_some_worker`] uses.
fn need_key(need: &Resources) -> (u64, u64, u64) {
    (need.cpu_milli, need.memory_mib, need.accelerators)
}
