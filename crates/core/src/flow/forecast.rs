//! Forecast of when jobs end: the backlog of work for each service and kind of capacity, and the rate
//! at which work gets done.
//!
//! Work is CPU time, in thousandths of a core times milliseconds.

mod backlog;
mod rate;
mod update;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::model::JobNumber;
use crate::time::Time;
pub use backlog::{Backlog, Place};
pub use rate::Rate;
pub use update::{room_of, work_of};

/// Time after a takeover, and after work has begun to wait, without a forecast. Shorter waits are
/// ordinary, and the rate has not been learned yet.
pub(super) const WARM_UP: Duration = Duration::from_secs(3);
/// CPU that running tasks must occupy for waiting work to count as a shortage of capacity, in percent
/// of the capacity. Best-effort tasks were seen to wait at 20 of 41 idle cores, because of the tail
/// latencies beside them; work that waits on an emptier fleet fits on no node for another reason.
const MIN_OCCUPIED_PERCENT: u64 = 40;
/// Part of the work of running tasks that is taken as left to do, as a divisor.
const RUNNING_DIVISOR: u64 = 2;

/// Kind of capacity that a task uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Room {
    /// CPU that the task reserves.
    Reserved,
    /// CPU that other tasks leave idle, used by best-effort tasks.
    Idle,
}

impl Room {
    pub const ALL: [Room; 2] = [Room::Reserved, Room::Idle];

    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Room::Reserved => "reserved",
            Room::Idle => "idle",
        }
    }
}

/// Work of one job in one kind of capacity, without long-running steps.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Part {
    /// Work of tasks that are neither done nor running.
    pub waiting: u64,
    /// The part of `waiting` that may start at once on any node of the service.
    pub ready: u64,
    /// Estimated work of running tasks.
    pub running: u64,
}

/// What the forecast holds of one job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Entry {
    /// Index of the service in [`Forecast::services`].
    service: u32,
    place: Place,
    /// Work by [`Room`].
    parts: [Part; 2],
    /// When the place changes if nothing else happens to the job.
    changes_at: Option<Time>,
}

/// Work and rate of one service in one kind of capacity.
#[derive(Debug, Clone, Default)]
struct Pool {
    /// Waiting work by place.
    waiting: Backlog,
    /// Waiting work that could start at once on any node.
    ready: u64,
    /// Estimated work of running tasks.
    running: u64,
    /// CPU that open nodes can give to this kind of work, in thousandths of a core.
    capacity: u64,
    /// CPU that running tasks request, in thousandths of a core.
    occupied: u64,
    rate: Rate,
    /// Since when ready work has been waiting because capacity is short.
    short_since: Option<Time>,
    /// Whether capacity has been short at any time.
    was_short: bool,
}

impl Pool {
    /// Returns the work ahead of a place, with that of the place itself.
    fn ahead(&self, place: Place) -> u64 {
        self.running / RUNNING_DIVISOR + self.waiting.up_to(place)
    }

    /// Returns the time in which an amount of work gets done.
    fn time_for(&self, now: Time, work: u64) -> Duration {
        let rate = self.rate.current(now, self.capacity).max(1);
        let slip = self.rate.slip_percent(now, self.capacity);
        Duration::from_millis((work / rate).saturating_mul(slip) / 100)
    }

    /// Tells whether work waits because the running tasks use the capacity.
    fn is_contended(&self) -> bool {
        self.ready > 0 && self.occupied * 100 >= self.capacity * MIN_OCCUPIED_PERCENT
    }
}

/// Pools of one service.
#[derive(Debug, Clone)]
struct Service {
    name: String,
    pools: [Pool; 2],
}

/// Forecast end of a job, with what it is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outlook {
    /// Kind of capacity that delays the job most.
    pub room: Room,
    /// Work of the job in that kind of capacity.
    pub work: u64,
    /// Work ahead of it, without its own.
    pub backlog: u64,
    /// Rate at which work gets done, in thousandths of a core.
    pub rate: u64,
    /// Time since the last end from which the rate was learned; `None` if it is the capacity of the
    /// open nodes only.
    pub rate_age: Option<Duration>,
    /// Time until the job ends.
    pub ends_in: Duration,
}

/// Work that a pool of a service short of capacity has, for logs and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shortage {
    pub service: String,
    pub room: Room,
    /// Waiting work, and half of the running work.
    pub backlog: u64,
    /// Rate at which work gets done, in thousandths of a core.
    pub rate: u64,
    /// Time in which the backlog gets done.
    pub time: Duration,
}

/// Backlog and rate of all services.
#[derive(Debug, Clone)]
pub struct Forecast {
    services: Vec<Service>,
    /// Index of each service by its name.
    by_name: HashMap<String, u32>,
    jobs: BTreeMap<JobNumber, Entry>,
    /// When the places of jobs change by time alone.
    changes: BTreeSet<(Time, JobNumber)>,
    /// Jobs that have changed since the last update.
    touched: BTreeSet<JobNumber>,
    /// When the takeover was finished; `None` before.
    settled_at: Option<Time>,
    last_tick: Time,
    next_capacity: Time,
    next_log: Time,
}

impl Forecast {
    /// Returns a forecast without jobs.
    pub fn new(now: Time) -> Self {
        Forecast {
            services: Vec::new(),
            by_name: HashMap::new(),
            jobs: BTreeMap::new(),
            changes: BTreeSet::new(),
            touched: BTreeSet::new(),
            settled_at: None,
            last_tick: now,
            next_capacity: now,
            next_log: now,
        }
    }

    /// Returns the index of a service, which is added if it is new.
    fn service(&mut self, name: &str) -> u32 {
        if let Some(index) = self.by_name.get(name) {
            return *index;
        }
        let index = self.services.len() as u32;
        self.services.push(Service { name: name.to_owned(), pools: Default::default() });
        self.by_name.insert(name.to_owned(), index);
        index
    }

    /// Notes that a job's tasks have changed.
    pub(super) fn touch(&mut self, number: JobNumber) {
        self.touched.insert(number);
    }

    /// Counts the work of a job that is expected to arrive, up to a time or its arrival.
    pub(super) fn expect(
        &mut self,
        number: JobNumber,
        service: &str,
        place: Place,
        work: [u64; 2],
        until: Time,
    ) {
        let service = self.service(service);
        let parts = work.map(|waiting| Part { waiting, ..Part::default() });
        self.set(number, Some(Entry { service, place, parts, changes_at: Some(until) }));
    }

    /// Replaces what is known of a job.
    fn set(&mut self, number: JobNumber, entry: Option<Entry>) {
        let old = match entry {
            Some(entry) => self.jobs.insert(number, entry),
            None => self.jobs.remove(&number),
        };
        if old == entry {
            return;
        }
        if let Some(old) = old {
            self.count(&old, false);
            if let Some(at) = old.changes_at {
                self.changes.remove(&(at, number));
            }
        }
        if let Some(new) = entry {
            self.count(&new, true);
            if let Some(at) = new.changes_at {
                self.changes.insert((at, number));
            }
        }
    }

    /// Adds a job's work to its pools, or takes it out.
    fn count(&mut self, entry: &Entry, is_added: bool) {
        let pools = &mut self.services[entry.service as usize].pools;
        for (pool, part) in pools.iter_mut().zip(&entry.parts) {
            if is_added {
                pool.ready += part.ready;
                pool.running += part.running;
                pool.waiting.add(entry.place, part.waiting);
            } else {
                pool.ready -= part.ready;
                pool.running -= part.running;
                pool.waiting.remove(entry.place, part.waiting);
            }
        }
    }

    /// Returns the pools of a service.
    fn pools(&self, service: &str) -> Option<&[Pool; 2]> {
        let index = *self.by_name.get(service)?;
        Some(&self.services[index as usize].pools)
    }

    /// Tells whether the forecast of a pool may be used.
    fn is_known(&self, now: Time, pool: &Pool) -> bool {
        let is_past = |since: Option<Time>| since.is_some_and(|at| now >= at + WARM_UP);
        is_past(self.settled_at) && is_past(pool.short_since)
    }

    /// Returns when a job would end that is not in the backlog, with work `parts` by [`Room`] and a
    /// critical path `chain`, at a place in the order and after the work `promised` by room. It is to
    /// leave time to the jobs that are late but still have value, although placement would put it first.
    /// Returns `None` if no capacity that the job uses is short, or the forecast is not valid.
    pub fn outlook(
        &self,
        now: Time,
        service: &str,
        place: Place,
        parts: [u64; 2],
        promised: [u64; 2],
        chain: Duration,
    ) -> Option<Outlook> {
        let pools = self.pools(service)?;
        let ahead = |room: Room| {
            let index = room as usize;
            let pool = &pools[index];
            let admitted = pool.running / RUNNING_DIVISOR + pool.waiting.valued_up_to(place);
            admitted.saturating_add(promised[index])
        };
        self.latest(now, pools, parts, chain, ahead)
    }

    /// Returns when a job of the backlog ends, `chain` being its critical path that is left. Returns
    /// `None` if no capacity that the job uses is short, or the forecast is not valid.
    pub fn job_outlook(&self, now: Time, number: JobNumber, chain: Duration) -> Option<Outlook> {
        let entry = self.jobs.get(&number)?;
        let pools = &self.services[entry.service as usize].pools;
        let left = entry.parts.map(|part| part.waiting + part.running / RUNNING_DIVISOR);
        let ahead = |room: Room| {
            pools[room as usize].ahead(entry.place).saturating_sub(left[room as usize])
        };
        self.latest(now, pools, left, chain, ahead)
    }

    /// Returns the latest end over the pools that a job uses.
    fn latest(
        &self,
        now: Time,
        pools: &[Pool; 2],
        parts: [u64; 2],
        chain: Duration,
        ahead: impl Fn(Room) -> u64,
    ) -> Option<Outlook> {
        let is_used =
            |room: &Room| parts[*room as usize] > 0 && self.is_known(now, &pools[*room as usize]);
        let rooms = Room::ALL.into_iter().filter(is_used);
        let outlooks = rooms.map(|room| {
            let (pool, work, backlog) = (&pools[room as usize], parts[room as usize], ahead(room));
            let all = pool.time_for(now, backlog.saturating_add(work));
            Outlook {
                room,
                work,
                backlog,
                rate: pool.rate.current(now, pool.capacity),
                rate_age: pool.rate.age(now),
                ends_in: all.max(pool.time_for(now, backlog) + chain),
            }
        });
        outlooks.max_by_key(|outlook| outlook.ends_in)
    }

    /// Returns the time in which a pool gets an amount of work done.
    pub fn time_for(&self, now: Time, service: &str, room: Room, work: u64) -> Option<Duration> {
        let pool = &self.pools(service)?[room as usize];
        self.is_known(now, pool).then(|| pool.time_for(now, work))
    }

    /// Returns the rate at which work gets done, in thousandths of a core, and the time since the last
    /// end from which it was learned; `None` unless the capacity is short and the forecast valid.
    pub fn rate(&self, now: Time, service: &str, room: Room) -> Option<(u64, Option<Duration>)> {
        let pool = &self.pools(service)?[room as usize];
        self.is_known(now, pool)
            .then(|| (pool.rate.current(now, pool.capacity), pool.rate.age(now)))
    }

    /// Tells whether a service has too little of a kind of capacity, without a wait for the rate.
    pub fn is_short(&self, service: &str, room: Room) -> bool {
        self.pools(service).is_some_and(|pools| pools[room as usize].short_since.is_some())
    }

    /// Returns the time in which the backlog gets done, by service and kind of capacity, for those that
    /// have been short of capacity; zero where there is no forecast now.
    pub fn backlogs(&self, now: Time) -> Vec<(String, Room, Duration)> {
        let mut backlogs = Vec::new();
        for service in &self.services {
            for room in Room::ALL {
                let pool = &service.pools[room as usize];
                if pool.was_short {
                    let work = pool.running / RUNNING_DIVISOR + pool.waiting.total();
                    let time = self.is_known(now, pool).then(|| pool.time_for(now, work));
                    backlogs.push((service.name.clone(), room, time.unwrap_or_default()));
                }
            }
        }
        backlogs
    }

    /// Returns the pools with a valid forecast, which are short of capacity.
    pub fn shortages(&self, now: Time) -> Vec<Shortage> {
        let mut shortages = Vec::new();
        for service in &self.services {
            for room in Room::ALL {
                let pool = &service.pools[room as usize];
                if self.is_known(now, pool) {
                    let backlog = pool.running / RUNNING_DIVISOR + pool.waiting.total();
                    shortages.push(Shortage {
                        service: service.name.clone(),
                        room,
                        backlog,
                        rate: pool.rate.current(now, pool.capacity),
                        time: pool.time_for(now, backlog),
                    });
                }
            }
        }
        shortages
    }
}
