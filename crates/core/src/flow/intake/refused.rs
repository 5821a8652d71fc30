//! Jobs that were refused, in the order in which they were first refused.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use crate::flow::forecast::{Backlog, Place, Room};
use crate::flow::model::JobNumber;
use crate::time::Time;

/// Maximum number of jobs in a table; the oldest are dropped.
const MAX_JOBS: usize = 4_096;
/// Time after its turn for which a refused job that does not return keeps its place.
const RETURN_GRACE: Duration = Duration::from_secs(5);

/// A job that was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RefusedJob {
    pub(super) service: String,
    /// Kind of capacity that the job waits for.
    pub(super) room: Room,
    pub(super) place: Place,
    /// Work in that kind of capacity.
    pub(super) work: u64,
    /// When the caller was told to return.
    pub(super) due: Time,
}

/// Refused jobs by number, with the sums of their work.
#[derive(Debug, Clone, Default)]
pub(super) struct RefusedJobs {
    /// Turn of each job and what is known of it.
    jobs: HashMap<JobNumber, (u64, RefusedJob)>,
    by_turn: BTreeMap<u64, JobNumber>,
    by_due: BTreeMap<(Time, u64), JobNumber>,
    next_turn: u64,
    promised: BTreeMap<Room, HashMap<String, Backlog>>,
}

impl RefusedJobs {
    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    pub(super) fn get(&self, number: JobNumber) -> Option<RefusedJob> {
        self.jobs.get(&number).map(|(_, job)| job.clone())
    }

    /// Adds a job at the end, or keeps its turn if it was refused before.
    pub(super) fn insert(&mut self, number: JobNumber, job: RefusedJob) {
        let turn = self.remove(number).unwrap_or_else(|| {
            self.next_turn += 1;
            self.next_turn
        });
        if self.jobs.len() >= MAX_JOBS {
            if let Some((_, oldest)) = self.by_turn.first_key_value() {
                self.remove(*oldest);
            }
        }
        let promised = self.promised.entry(job.room).or_default();
        promised.entry(job.service.clone()).or_default().add(job.place, job.work);
        self.by_turn.insert(turn, number);
        self.by_due.insert((job.due, turn), number);
        self.jobs.insert(number, (turn, job));
    }

    /// Removes a job, and returns its turn.
    pub(super) fn remove(&mut self, number: JobNumber) -> Option<u64> {
        let (turn, job) = self.jobs.remove(&number)?;
        self.by_turn.remove(&turn);
        self.by_due.remove(&(job.due, turn));
        let promised = self.promised.get_mut(&job.room).and_then(|by| by.get_mut(&job.service));
        if let Some(backlog) = promised {
            backlog.remove(job.place, job.work);
        }
        Some(turn)
    }

    /// Removes the jobs that have not returned for long after their turn.
    pub(super) fn expire(&mut self, now: Time) {
        while let Some(((due, _), number)) = self.by_due.first_key_value() {
            if now <= *due + RETURN_GRACE {
                break;
            }
            self.remove(*number);
        }
    }

    /// Returns the work of the jobs that would be placed before a new job at `place`.
    pub(super) fn promised(&self, service: &str, room: Room, place: Place) -> u64 {
        let backlog = self.promised.get(&room).and_then(|by| by.get(service));
        backlog.map_or(0, |backlog| backlog.up_to(place))
    }

    /// Returns the work of the jobs that were refused before a refused job and would be placed before
    /// it. Costs time by the number of these jobs, which is bounded.
    pub(super) fn promised_before(&self, number: JobNumber) -> u64 {
        let Some((turn, own)) = self.jobs.get(&number) else { return 0 };
        let before = self.by_turn.range(..turn).filter_map(|(_, other)| self.jobs.get(other));
        let is_ahead = |job: &&RefusedJob| {
            job.room == own.room && job.place <= own.place && job.service == own.service
        };
        before.map(|(_, job)| job).filter(is_ahead).map(|job| job.work).sum()
    }
}

/// A bounded set of jobs; the oldest are dropped.
#[derive(Debug, Clone, Default)]
pub(super) struct RecentJobs {
    jobs: HashSet<JobNumber>,
    order: VecDeque<JobNumber>,
}

impl RecentJobs {
    pub(super) fn contains(&self, number: JobNumber) -> bool {
        self.jobs.contains(&number)
    }

    pub(super) fn insert(&mut self, number: JobNumber) {
        if self.jobs.insert(number) {
            self.order.push_back(number);
        }
        if self.order.len() > MAX_JOBS {
            if let Some(oldest) = self.order.pop_front() {
                self.jobs.remove(&oldest);
            }
        }
    }
}
