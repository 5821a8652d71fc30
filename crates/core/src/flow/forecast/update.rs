//! Keeps the forecast up to date with the jobs, runs and nodes of the owner.

use std::time::Duration;

use super::{Entry, Forecast, Part, Place, Room};
use crate::flow::model::{JobNumber, Step, TaskId};
use crate::flow::owner::{Job, Node, Owner};
use crate::flow::place::{MAX_LATE_FACTOR, MIN_TIME_LEFT_PERCENT};
use crate::flow::step::Attempt;
use crate::time::Time;

/// Interval at which the capacity of the open nodes is summed while work is queued.
const CAPACITY_INTERVAL: Duration = Duration::from_millis(500);
/// Largest work that a step counts: 13 days of 1,000 cores. Sums over all jobs then do not overflow.
const MAX_STEP_WORK: u64 = 1 << 50;
/// Interval of the log lines while a service is short of capacity.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the kind of capacity that the tasks of a step use; `None` for long-running tasks.
pub fn room_of(step: &Step) -> Option<Room> {
    match (step.long_running, step.best_effort) {
        (true, _) => None,
        (false, true) => Some(Room::Idle),
        (false, false) => Some(Room::Reserved),
    }
}

/// Returns the estimated work of `count` tasks of a step.
pub fn work_of(step: &Step, count: u64) -> u64 {
    step.need.cpu_milli.saturating_mul(step.estimate_ms).saturating_mul(count).min(MAX_STEP_WORK)
}

impl Job {
    /// Returns the work of the job by kind of capacity.
    fn parts(&self) -> [Part; 2] {
        let mut parts = [Part::default(); 2];
        for steps in self.occurrences.values() {
            let is_done = |after: &u16| {
                let after = usize::from(*after);
                steps[after].is_done(&self.spec.steps[after])
            };
            for (state, step) in steps.iter().zip(&self.spec.steps) {
                let Some(room) = room_of(step) else { continue };
                let work = |count: usize| work_of(step, count as u64);
                let part = &mut parts[room as usize];
                part.waiting += work(state.waiting.len());
                part.running += work(state.running.len());
                let is_ready = state.is_ready || step.after.iter().all(is_done);
                if is_ready && step.required_label.is_none() {
                    part.ready += work(state.waiting.len());
                }
            }
        }
        parts
    }

    /// Returns the class of lateness of the job, and when it changes if nothing else happens.
    fn lateness(&self, now: Time) -> (u8, Option<Time>) {
        let left = Duration::from_millis(self.chain_left_ms() * MIN_TIME_LEFT_PERCENT / 100);
        let last_start = self.objective.saturating_sub(left);
        let worthless_at = self.worthless_at();
        match now {
            _ if now <= last_start => (0, Some(last_start + Duration::from_millis(1))),
            _ if now <= worthless_at => (1, Some(worthless_at + Duration::from_millis(1))),
            _ => (2, None),
        }
    }

    /// Returns the time after which the result of the job has no value.
    pub(in crate::flow) fn worthless_at(&self) -> Time {
        let objective = self.objective.saturating_sub(self.released_at);
        self.released_at + objective * MAX_LATE_FACTOR
    }
}

impl Forecast {
    /// Notes the end of a run that has finished a task.
    fn add_end(&mut self, now: Time, service: &str, step: &Step, run_time: Duration) {
        let (Some(room), Some(index)) = (room_of(step), self.by_name.get(service)) else { return };
        let pool = &mut self.services[*index as usize].pools[room as usize];
        if pool.short_since.is_some() {
            pool.rate.add_end(now, step.need.cpu_milli, run_time, step.estimate_ms);
        }
    }

    /// Counts the capacity offered since the last call.
    fn tick(&mut self, now: Time) {
        let time = now.saturating_sub(std::mem::replace(&mut self.last_tick, now));
        let pools = self.services.iter_mut().flat_map(|service| &mut service.pools);
        for pool in pools.filter(|pool| pool.short_since.is_some()) {
            pool.rate.add_offer(now, pool.capacity, time);
        }
    }

    /// Notes after a placement round which pools have too little capacity.
    fn note_shortages(&mut self, now: Time) {
        for pool in self.services.iter_mut().flat_map(|service| &mut service.pools) {
            match pool.is_contended() {
                true => {
                    pool.short_since.get_or_insert(now);
                    pool.was_short = true;
                }
                false => {
                    if pool.short_since.take().is_some() {
                        pool.rate.clear();
                    }
                }
            }
        }
    }

    /// Tells whether work waits that could start at once.
    fn has_waiting(&self) -> bool {
        self.services.iter().flat_map(|service| &service.pools).any(|pool| pool.ready > 0)
    }

    /// Sums the capacity of the nodes that accept starts.
    fn measure(&mut self, now: Time, nodes: &[Node]) {
        for pool in self.services.iter_mut().flat_map(|service| &mut service.pools) {
            (pool.capacity, pool.occupied) = (0, 0);
        }
        for node in nodes {
            let Some(worker) = &node.worker else { continue };
            let Some(index) = self.by_name.get(&worker.service) else { continue };
            if !node.is_usable(now) {
                continue;
            }
            let pools = &mut self.services[*index as usize].pools;
            let reserved = node.used.cpu_milli.saturating_sub(node.long_running.cpu_milli);
            pools[Room::Reserved as usize].capacity += node.batch_cpu();
            pools[Room::Reserved as usize].occupied += reserved;
            pools[Room::Idle as usize].capacity += node.idle_cpu();
            pools[Room::Idle as usize].occupied += node.total_best_effort_cpu;
        }
    }

    /// Returns a log line for each pool that is short of capacity.
    fn lines(&self, now: Time) -> Vec<String> {
        let mut lines = Vec::new();
        for service in &self.services {
            for room in Room::ALL {
                let pool = &service.pools[room as usize];
                let Some(since) = pool.short_since else { continue };
                lines.push(format!(
                    "service={} room={} short_ms={} backlog={} running={} rate={} rate_age_ms={} \
                     slip={} capacity={} occupied={} valid={}",
                    service.name,
                    room.name(),
                    now.saturating_sub(since).as_millis(),
                    pool.waiting.total() / 1_000,
                    pool.running / 1_000,
                    pool.rate.current(now, pool.capacity),
                    describe_age(pool.rate.age(now)),
                    pool.rate.slip_percent(now, pool.capacity),
                    pool.capacity,
                    pool.occupied,
                    self.is_known(now, pool),
                ));
            }
        }
        lines
    }
}

/// Returns the age of a rate in milliseconds for logs; `none` if it was not learned from ends.
fn describe_age(age: Option<Duration>) -> String {
    age.map_or("none".to_owned(), |age| age.as_millis().to_string())
}

impl Owner {
    /// Returns the forecast of when jobs end.
    pub fn forecast(&self) -> &Forecast {
        &self.forecast
    }

    /// Notes the end of a run that has finished a task.
    pub(in crate::flow) fn learn_rate(&mut self, now: Time, task: &TaskId, attempt: &Attempt) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let step = &job.spec.steps[usize::from(task.step)];
        let run_time = now.saturating_sub(attempt.since);
        self.forecast.add_end(now, &job.spec.queue.service, step, run_time);
    }

    /// Updates the forecast after an event. `has_placed` tells whether a placement round has just run,
    /// so that work that still waits has found no node.
    pub(in crate::flow) fn update_forecast(&mut self, now: Time, has_placed: bool) {
        if self.takeover_deadline.is_none() {
            self.forecast.settled_at.get_or_insert(now);
        }
        self.refresh_jobs(now);
        if self.forecast.has_waiting() && now >= self.forecast.next_capacity {
            self.forecast.next_capacity = now + CAPACITY_INTERVAL;
            self.forecast.measure(now, &self.nodes);
        }
        self.forecast.tick(now);
        if has_placed {
            self.forecast.note_shortages(now);
        }
        if now >= self.forecast.next_log {
            let lines = self.forecast.lines(now);
            if !lines.is_empty() {
                self.forecast.next_log = now + LOG_INTERVAL;
            }
            lines.into_iter().for_each(|line| self.log("forecast", None, line));
        }
    }

    /// Updates the backlog by the jobs that have changed, and those whose place changes with time.
    fn refresh_jobs(&mut self, now: Time) {
        while let Some((at, number)) = self.forecast.changes.first().copied() {
            if now < at {
                break;
            }
            self.forecast.changes.pop_first();
            self.forecast.touched.insert(number);
        }
        for number in std::mem::take(&mut self.forecast.touched) {
            let entry = self.forecast_entry(now, number);
            self.forecast.set(number, entry);
        }
    }

    /// Returns what the forecast holds of a job; `None` if it has no work left.
    fn forecast_entry(&mut self, now: Time, number: JobNumber) -> Option<Entry> {
        let job = self.jobs.get(&number).filter(|job| !job.phase.is_final())?;
        let parts = job.parts();
        if parts == [Part::default(); 2] {
            return None;
        }
        let (class, changes_at) = job.lateness(now);
        let place = Place::new(class, job.spec.queue.priority, job.remaining_work);
        let service = self.forecast.service(&job.spec.queue.service);
        Some(Entry { service, place, parts, changes_at })
    }
}
