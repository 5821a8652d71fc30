//! Order of the reports under a worker's ID, of which some may come from another writer.

use std::time::Duration;

use crate::time::Time;

/// Maximum number of reports of a worker that may be missed between two that arrive. A worker that is
/// not answered repeats its report about three times a second, so that this is half a minute.
const MAX_MISSED: u64 = 100;
/// Time without a report that counts after which reports with lower sequence numbers may count. Two
/// intervals of a worker's reports, so that delayed reports of a worker that goes on do not count.
const MAX_SILENCE: Duration = Duration::from_secs(3);

/// Which of the reports under a worker's ID count.
///
/// A worker's sequence number rises with each report, so that a delayed report can be told. A report of
/// another writer may have any number. One that is too far ahead does not count; and if one counted
/// that is ahead of the worker's own, these count again as soon as two of them have followed each
/// other while none came after that one.
#[derive(Debug)]
pub(super) struct ReportOrder {
    /// Sequence number of the newest report that counted, and when it arrived.
    newest: u64,
    arrived_at: Time,
    /// Sequence number of the last report since then that did not count.
    ignored: Option<u64>,
}

/// Tells whether a report may be the next one of the writer that sent an earlier one.
fn follows(sequence: u64, earlier: u64) -> bool {
    sequence > earlier && sequence - earlier <= MAX_MISSED
}

impl ReportOrder {
    /// Returns the order after the first report of a worker.
    pub(super) fn new(now: Time, sequence: u64) -> Self {
        ReportOrder { newest: sequence, arrived_at: now, ignored: None }
    }

    /// Notes a report. Returns whether it counts.
    pub(super) fn admit(&mut self, now: Time, sequence: u64) -> bool {
        let is_silent = now >= self.arrived_at + MAX_SILENCE;
        let counts = follows(sequence, self.newest)
            || is_silent && self.ignored.is_some_and(|ignored| follows(sequence, ignored));
        match counts {
            true => *self = ReportOrder::new(now, sequence),
            false => self.ignored = Some(sequence),
        }
        counts
    }
}
