//! Counts and latencies of one or several runs.

use std::time::Duration;

use hdrhistogram::Histogram;
use peridotfold_core::time::Time;

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    Answered,
    /// A server error of the upstream.
    Error,
    Refused,
    /// No answer by the deadline; it may have run.
    Unknown,
}

#[derive(Debug)]
pub struct Report {
    accepted: Histogram<u64>,
    refused: Histogram<u64>,
    requests: u64,
    tries: u64,
    in_time: u64,
    errors: u64,
    /// Accepted requests without an answer within their deadline.
    late: u64,
    slow_refusals: u64,
    /// Requests that the capacity could serve.
    capacity: f64,
}

const REFUSAL_LIMIT: Duration = Duration::from_millis(10);

impl Default for Report {
    fn default() -> Self {
        Report {
            accepted: histogram(),
            refused: histogram(),
            requests: 0,
            tries: 0,
            in_time: 0,
            errors: 0,
            late: 0,
            slow_refusals: 0,
            capacity: 0.0,
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3)
        .unwrap_or_else(|error| unreachable!("bounds are constant and valid: {error}"))
}

impl Report {
    /// Builds the report of a run whose capacity is `capacity` requests.
    pub fn new(capacity: f64) -> Self {
        Report { capacity, ..Report::default() }
    }

    pub fn add(&mut self, other: Report) {
        // Both have the same bounds.
        let _ = self.accepted.add(other.accepted);
        let _ = self.refused.add(other.refused);
        self.requests += other.requests;
        self.tries += other.tries;
        self.in_time += other.in_time;
        self.errors += other.errors;
        self.late += other.late;
        self.slow_refusals += other.slow_refusals;
        self.capacity += other.capacity;
    }

    pub fn record(&mut self, ended: Ended, elapsed: Time, timeout: Duration, tries: u64) {
        self.requests += 1;
        self.tries += tries;
        let micros = elapsed.as_micros() as u64;
        match ended {
            Ended::Refused => {
                self.refused.saturating_record(micros);
                self.slow_refusals += u64::from(elapsed > REFUSAL_LIMIT);
                return;
            }
            Ended::Error => self.errors += 1,
            Ended::Answered if elapsed <= timeout => self.in_time += 1,
            Ended::Answered | Ended::Unknown => self.late += 1,
        }
        if ended != Ended::Error {
            self.accepted.saturating_record(micros);
        }
    }

    pub fn header() -> String {
        format!(
            "{:<19}{:<12}{:>7}{:>8}{:>8}{:>9}{:>9}{:>8}{:>8}{:>9}{:>8}{:>7}",
            "scenario",
            "choice",
            "p50 ms",
            "p99",
            "p99.9",
            "goodput%",
            "refused%",
            "ref.p99",
            ">10ms%",
            "late%",
            "error%",
            "tries"
        )
    }

    pub fn row(&self, scenario: &str, choice: &str) -> String {
        let ms = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1e3;
        let part = |count: u64, all: u64| 100.0 * count as f64 / all.max(1) as f64;
        format!(
            "{scenario:<19}{choice:<12}{:>7.1}{:>8.1}{:>8.1}{:>9.2}{:>9.2}{:>8.1}{:>8.2}{:>9.3}{:>8.3}{:>7.3}",
            ms(&self.accepted, 0.5),
            ms(&self.accepted, 0.99),
            ms(&self.accepted, 0.999),
            100.0 * self.in_time as f64 / self.capacity,
            part(self.refused.len(), self.requests),
            ms(&self.refused, 0.99),
            part(self.slow_refusals, self.refused.len()),
            part(self.late, self.accepted.len()),
            part(self.errors, self.requests),
            self.tries as f64 / self.requests.max(1) as f64,
        )
    }
}
