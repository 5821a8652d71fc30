//! An entry's part in the admission: which jobs need a decision of the owner, and what its answer
//! means.

use std::time::Duration;

use crate::time::Time;

/// Age up to which a report of the owner is used: three pongs may be lost.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// The services that the owner last reported as short of capacity.
#[derive(Debug, Clone, Default)]
pub struct ShortageReport {
    received_at: Time,
    services: Vec<String>,
}

impl ShortageReport {
    /// Returns a report that has just been received.
    pub fn new(now: Time, services: Vec<String>) -> Self {
        ShortageReport { received_at: now, services }
    }

    /// Tells whether the owner is to be asked for the admission of jobs of a service.
    pub fn names(&self, now: Time, service: &str) -> bool {
        now <= self.received_at + MAX_REPORT_AGE && self.services.iter().any(|it| it == service)
    }
}

/// Outcome of the admission of a job at an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The job may be stored.
    Accepted,
    /// Nothing was stored; the caller is to return after this time.
    Refused(Duration),
    /// The owner refuses the job, but it may be stored already.
    Unclear,
}

impl Admission {
    /// Returns the outcome for a job that the owner refuses. `is_stored` tells whether the store has a
    /// record of it; `None` if the store did not answer.
    pub fn of_refused(retry_after: Duration, is_stored: Option<bool>) -> Self {
        match is_stored {
            Some(true) => Admission::Accepted,
            Some(false) => Admission::Refused(retry_after),
            None => Admission::Unclear,
        }
    }
}
