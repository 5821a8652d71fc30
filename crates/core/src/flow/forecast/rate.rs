//! Rate at which a kind of capacity gets work done, learned from the ends of runs.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// Time over which ends are counted: a few runs of ordinary tasks, which last one to two seconds.
const WINDOW: Duration = Duration::from_secs(5);
/// Length of the intervals of the window.
const INTERVAL: Duration = Duration::from_millis(500);
/// Time of full use of the capacity, in milliseconds, that is added to what was seen. It smooths the
/// first ends, and is all that is left if there are none.
const PRIOR_MS: u64 = 1_000;
/// Largest run time that an end counts, as a multiple of its estimate. Estimates are off by up to a
/// factor of two; longer runs were held up.
const MAX_ESTIMATE_FACTOR: u64 = 2;
/// Bounds of the ratio of run times to estimates, in percent.
const SLIP_PERCENT: (u64, u64) = (50, 200);

/// What was seen in one interval.
#[derive(Debug, Clone, Copy, Default)]
struct Interval {
    begin: Time,
    /// Work by the run times of the ends.
    counted: u64,
    /// Work of the ends by their estimates, as far as there are any; that by run times beside it.
    estimated: u64,
    counted_with_estimate: u64,
    /// Capacity that was offered.
    offered: u64,
}

/// Work done by a kind of capacity while more work was waiting, against the capacity offered.
#[derive(Debug, Clone, Default)]
pub struct Rate {
    intervals: VecDeque<Interval>,
    last_end: Option<Time>,
}

impl Rate {
    /// Counts the end of a run that has finished a task, which requested `cpu` thousandths of a core.
    /// `estimate_ms` is 0 if it is not known.
    pub fn add_end(&mut self, now: Time, cpu: u64, run_time: Duration, estimate_ms: u64) {
        let run_ms = run_time.as_millis() as u64;
        let interval = self.interval(now);
        match estimate_ms {
            0 => interval.counted += cpu * run_ms,
            _ => {
                let longest = estimate_ms.saturating_mul(MAX_ESTIMATE_FACTOR);
                let counted = cpu * run_ms.min(longest);
                interval.counted += counted;
                interval.counted_with_estimate += counted;
                // A longer estimate changes nothing: the ratio has a lower bound.
                interval.estimated += cpu * estimate_ms.min(run_ms * MAX_ESTIMATE_FACTOR);
            }
        }
        self.last_end = Some(now);
    }

    /// Counts capacity, in thousandths of a core, that was offered for a time up to now.
    pub fn add_offer(&mut self, now: Time, capacity: u64, time: Duration) {
        self.interval(now).offered += capacity * time.as_millis() as u64;
    }

    /// Forgets all ends.
    pub fn clear(&mut self) {
        self.intervals.clear();
        self.last_end = None;
    }

    /// Returns the interval of a time, and drops those that are over the window.
    fn interval(&mut self, now: Time) -> &mut Interval {
        while self.intervals.front().is_some_and(|first| now >= first.begin + WINDOW) {
            self.intervals.pop_front();
        }
        if self.intervals.back().is_none_or(|last| now >= last.begin + INTERVAL) {
            self.intervals.push_back(Interval { begin: now, ..Interval::default() });
        }
        let last = self.intervals.len() - 1;
        &mut self.intervals[last]
    }

    /// Returns the sums over the window.
    fn sums(&self, now: Time) -> Interval {
        let recent = self.intervals.iter().filter(|interval| now < interval.begin + WINDOW);
        recent.fold(Interval::default(), |sum, next| Interval {
            begin: sum.begin,
            counted: sum.counted + next.counted,
            estimated: sum.estimated + next.estimated,
            counted_with_estimate: sum.counted_with_estimate + next.counted_with_estimate,
            offered: sum.offered + next.offered,
        })
    }

    /// Returns the rate, in thousandths of a core, if the capacity is now `capacity`.
    pub fn current(&self, now: Time, capacity: u64) -> u64 {
        let sums = self.sums(now);
        let prior = capacity * PRIOR_MS;
        let used = u128::from(sums.counted + prior) * u128::from(capacity);
        (used / u128::from((sums.offered + prior).max(1))) as u64
    }

    /// Returns the ratio of run times to estimates, in percent.
    pub fn slip_percent(&self, now: Time, capacity: u64) -> u64 {
        let sums = self.sums(now);
        let prior = capacity * PRIOR_MS;
        let counted = u128::from(sums.counted_with_estimate + prior) * 100;
        let percent = (counted / u128::from((sums.estimated + prior).max(1))) as u64;
        percent.clamp(SLIP_PERCENT.0, SLIP_PERCENT.1)
    }

    /// Returns the time since the last end in the window; `None` if there is none.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.last_end.map(|at| now.saturating_sub(at)).filter(|age| *age < WINDOW)
    }
}
