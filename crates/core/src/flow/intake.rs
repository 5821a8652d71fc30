//! Admission of new jobs by load: refuses a job whose result would have no value any more by its
//! forecast end, and tells its caller when to return.

pub mod gate;

mod floors;
mod refused;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::forecast::{room_of, work_of, Outlook, Place, Room};
use super::model::{JobNumber, JobSpec, Step};
use super::owner::Owner;
use super::place::MAX_LATE_FACTOR;
use crate::time::Time;
use floors::Floors;
use refused::{RecentJobs, RefusedJob, RefusedJobs};

/// Smallest and largest time after which a refused caller is to return. Forecasts reach no further
/// than the largest.
const MIN_RETRY: Duration = Duration::from_secs(1);
const MAX_RETRY: Duration = Duration::from_secs(30);
/// Time for which an admitted job counts in the backlog before the store has shown it to the owner;
/// longer than a submission may take.
const ARRIVAL_TIME: Duration = Duration::from_secs(3);

/// What the owner has to know of a job to decide on its admission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Name of the job's queue.
    pub queue: String,
    pub service: String,
    /// Priority of the queue; 0 is the highest.
    pub priority: u8,
    /// Work by [`Room`], in thousandths of a core times milliseconds.
    pub work: [u64; 2],
    /// Critical path, in milliseconds.
    pub chain_ms: u64,
    /// Time from now until which the result has value, in milliseconds.
    pub limit_ms: u64,
}

impl Demand {
    /// Returns the demand of a job; `None` if it is always admitted, because it runs for long or by a
    /// timetable.
    pub fn new(spec: &JobSpec) -> Option<Self> {
        if spec.timetable.is_some() || spec.steps.iter().any(|step| step.long_running) {
            return None;
        }
        let in_room = |room: Room| {
            let steps = spec.steps.iter().filter(|step: &&Step| room_of(step) == Some(room));
            steps.map(|step| work_of(step, u64::from(step.count))).sum()
        };
        let chain_ms = spec.chain_ms();
        let objective_ms = spec.queue.stretch * chain_ms as f64 + spec.queue.slack_ms as f64;
        Some(Demand {
            queue: spec.queue.name.clone(),
            service: spec.queue.service.clone(),
            priority: spec.queue.priority,
            work: Room::ALL.map(in_room),
            chain_ms,
            limit_ms: (objective_ms as u64).saturating_mul(u64::from(MAX_LATE_FACTOR)),
        })
    }

    /// Returns the place of the job in the placement order when it arrives.
    fn place(&self) -> Place {
        Place::new(0, self.priority, self.work.iter().sum())
    }
}

/// State of the admission.
#[derive(Debug, Clone, Default)]
pub struct Intake {
    refused: RefusedJobs,
    /// Jobs that were admitted, which may be stored already.
    admitted: RecentJobs,
    floors: Floors,
}

impl Intake {
    /// Returns the number of refused jobs that have not returned.
    pub fn refused_count(&self) -> usize {
        self.refused.len()
    }
}

impl Owner {
    /// Decides on the admission of a job that is not stored. Returns `None` if it is admitted,
    /// otherwise the time after which its caller is to return.
    pub fn admit(&mut self, now: Time, number: JobNumber, demand: &Demand) -> Option<Duration> {
        if !self.is_valid(now) || self.jobs.contains_key(&number) {
            return None;
        }
        self.intake.refused.expire(now);
        if self.intake.admitted.contains(number) {
            return None;
        }
        let returning = self.intake.refused.get(number);
        let decision = self.outlook(now, demand, returning.is_some());
        let Some(outlook) = decision else {
            self.note_admitted(now, number, demand, None);
            return None;
        };
        let limit = Duration::from_millis(demand.limit_ms);
        let service = &demand.service;
        let floors = &mut self.intake.floors;
        let rate = outlook.rate;
        floors.note_demand(now, service, outlook.room, &demand.queue, rate);
        let is_in_time = outlook.ends_in <= limit;
        if is_in_time || floors.take(service, outlook.room, &demand.queue, outlook.work) {
            self.note_admitted(now, number, demand, is_in_time.then_some(outlook));
            return None;
        }
        let retry_after = self.retry_after(now, number, demand, &outlook);
        let due = now + retry_after;
        self.intake.floors.note_refused(service, outlook.room, &demand.queue, due);
        let row = RefusedJob {
            service: service.clone(),
            room: outlook.room,
            place: demand.place(),
            work: outlook.work,
            due,
        };
        self.intake.refused.insert(number, row);
        let detail = format!(
            "queue={} room={} work={} backlog={} rate={rate} rate_age_ms={} ends_in_ms={} \
             limit_ms={} retry_after_s={} returning={}",
            demand.queue,
            outlook.room.name(),
            outlook.work / 1_000,
            outlook.backlog / 1_000,
            outlook.rate_age.map_or("none".to_owned(), |age| age.as_millis().to_string()),
            outlook.ends_in.as_millis(),
            demand.limit_ms,
            retry_after.as_secs(),
            returning.is_some(),
        );
        self.log("admission_refused", Some(number), detail);
        Some(retry_after)
    }

    /// Returns the forecast end of a job. For one that was not refused before, the refused jobs that
    /// would precede it count as if they were there, because they have been promised their turn.
    fn outlook(&self, now: Time, demand: &Demand, is_returning: bool) -> Option<Outlook> {
        let place = demand.place();
        let promised = |room: Room| match is_returning {
            true => 0,
            false => self.intake.refused.promised(&demand.service, room, place),
        };
        let chain = Duration::from_millis(demand.chain_ms);
        let promised = Room::ALL.map(promised);
        self.forecast.outlook(now, &demand.service, place, demand.work, promised, chain)
    }

    /// Returns the time after which a refused job would be in time, in whole seconds: when the work
    /// ahead of it and that of the jobs refused before it has fallen far enough, or when its queue's
    /// floor lets it in.
    fn retry_after(
        &self,
        now: Time,
        number: JobNumber,
        demand: &Demand,
        outlook: &Outlook,
    ) -> Duration {
        let Outlook { room, .. } = *outlook;
        let service = &demand.service;
        let turn = match self.intake.refused.get(number) {
            // The forecast end of a new job contains the refused ones.
            None => Duration::ZERO,
            Some(_) => {
                let before = self.intake.refused.promised_before(number);
                self.forecast.time_for(now, service, room, before).unwrap_or_default()
            }
        };
        let limit = Duration::from_millis(demand.limit_ms);
        let by_forecast = (outlook.ends_in + turn).saturating_sub(limit);
        let by_floor = self.intake.floors.time_left(service, room, &demand.queue);
        let wait = by_floor.map_or(by_forecast, |floor| floor.min(by_forecast));
        let seconds = wait.as_millis().div_ceil(1_000) as u64;
        Duration::from_secs(seconds).clamp(MIN_RETRY, MAX_RETRY)
    }

    /// Counts an admitted job in the backlog until the store shows it. `in_time` is the forecast of a
    /// job that was not admitted for its queue's floor.
    fn note_admitted(
        &mut self,
        now: Time,
        number: JobNumber,
        demand: &Demand,
        in_time: Option<Outlook>,
    ) {
        if let Some(Outlook { room, work, .. }) = in_time {
            self.intake.floors.note_admitted(&demand.service, room, &demand.queue, work);
        }
        self.intake.refused.remove(number);
        self.intake.admitted.insert(number);
        let until = now + ARRIVAL_TIME;
        self.forecast.expect(number, &demand.service, demand.place(), demand.work, until);
    }

    /// Forgets that a job was refused, because it is stored.
    pub(super) fn note_arrival(&mut self, number: JobNumber) {
        self.intake.refused.remove(number);
    }

    /// Returns the services that are short of capacity, whose jobs need a decision.
    pub fn short_services(&self, now: Time) -> Vec<String> {
        let mut names: Vec<String> =
            self.forecast.shortages(now).into_iter().map(|it| it.service).collect();
        names.dedup();
        names
    }

    /// Returns the state of the admission.
    pub fn intake(&self) -> &Intake {
        &self.intake
    }
}
