//! Estimate of the actual speed of workers, from the time that runs take there against the time that
//! other runs of the same step take.

use std::collections::VecDeque;
use std::time::Duration;

use super::owner::Slot;
use crate::time::Time;

/// Time after which evidence has lost half of its weight, and an estimate half of its distance from
/// the normal speed (by its logarithm).
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Time without evidence after which an estimate begins anew. The highest one is below
/// [`SLOW_FACTOR`] by then.
const MAX_AGE: Duration = Duration::from_secs(20);
/// Number of runs below which a node counts as normal.
const MIN_RUNS: u32 = 3;
/// Minimum weight by which the sum of all evidence is divided: one run changes the estimate by at
/// most a third, because single runs are off by up to a factor of two.
const MIN_WEIGHT: f64 = 3.0;
/// Maximum weight of all evidence: one run changes the estimate by at least an eighth. A worker that
/// turns slow ends few runs, and would otherwise be measured by its many fast ones.
const MAX_WEIGHT: f64 = 8.0;
/// Highest ratio of a run time to the median that counts in full. A run that hung once would
/// otherwise outweigh all others.
const MAX_RATIO: f64 = 8.0;
/// Factor by which a node must be slower than normal to rank behind others.
const SLOW_FACTOR: f64 = 2.0;
/// Number of run times that are kept for a step, which bounds the cost of an end.
const MAX_RUN_TIMES: usize = 16;
/// Minimum number of siblings with which a run is compared.
const MIN_SIBLINGS: usize = 3;
/// Minimum number of finished siblings from which a run can be too slow to stay.
const MIN_MOVE_SIBLINGS: usize = 4;
/// Multiple of the median run time of its siblings that a run takes before it is moved.
const MOVE_FACTOR: u32 = 3;
/// Share of its work below which a run is not moved: it is about to end.
const MIN_WORK_LEFT: f64 = 0.25;

/// A run that has ended by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunTime {
    pub slot: Slot,
    pub ended: Time,
    /// Time from the order to start the run to its end.
    pub took: Duration,
}

/// Times of the last runs of one step, the oldest first.
#[derive(Debug, Clone, Default)]
pub struct RunTimes {
    runs: VecDeque<RunTime>,
}

impl RunTimes {
    /// Adds a run.
    pub fn add(&mut self, run: RunTime) {
        if self.runs.len() >= MAX_RUN_TIMES {
            self.runs.pop_front();
        }
        self.runs.push_back(run);
    }

    /// Returns the run time of a run as a multiple of the median of the siblings that ended on other
    /// nodes while it was in progress. `is_comparable` selects siblings by their nodes. Returns `None`
    /// if there are too few.
    pub fn ratio(&self, run: &RunTime, is_comparable: impl Fn(Slot) -> bool) -> Option<f64> {
        let began = run.ended.saturating_sub(run.took);
        let is_sibling = |other: &&RunTime| {
            other.slot != run.slot && other.ended > began && is_comparable(other.slot)
        };
        let median = median(self.runs.iter().filter(is_sibling), MIN_SIBLINGS)?;
        Some(run.took.as_secs_f64() / median.as_secs_f64())
    }

    /// Tells whether a run in progress for `age` on a node that is slow by `factor` should be moved:
    /// it takes far longer than its siblings, and is not about to end.
    pub fn is_overdue(&self, age: Duration, factor: f64) -> bool {
        let Some(median) = median(self.runs.iter(), MIN_MOVE_SIBLINGS) else { return false };
        let left = 1.0 - age.as_secs_f64() / (median.as_secs_f64() * factor);
        age > median * MOVE_FACTOR && left >= MIN_WORK_LEFT
    }
}

/// Returns the median run time; `None` if there are fewer than `min` runs or it is zero.
fn median<'a>(runs: impl Iterator<Item = &'a RunTime>, min: usize) -> Option<Duration> {
    let mut times: Vec<Duration> = runs.map(|run| run.took).collect();
    times.sort_unstable();
    let median = times.get(times.len() / 2).copied();
    median.filter(|median| times.len() >= min && !median.is_zero())
}

/// Estimate of the speed of one node.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Speed {
    /// Mean logarithm of the ratios of run times to those of their siblings.
    mean: f64,
    /// Number of runs in `mean`, each by its age.
    weight: f64,
    /// Number of runs since the estimate began.
    runs: u32,
    /// When the last run ended.
    last: Time,
    /// Whether the node counted as slow at the last review.
    pub is_slow: bool,
}

impl Speed {
    /// Learns from a run that took `ratio` times as long as its siblings.
    pub fn learn(&mut self, now: Time, ratio: f64) {
        let age = now.saturating_sub(self.last);
        if age >= MAX_AGE {
            *self = Speed { is_slow: self.is_slow, ..Speed::default() };
        }
        let ratio = ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO).ln();
        self.weight = (self.weight * decay(age) + 1.0).min(MAX_WEIGHT);
        self.runs = self.runs.saturating_add(1);
        self.mean += (ratio - self.mean) / self.weight.max(MIN_WEIGHT.min(f64::from(self.runs)));
        self.last = now;
    }

    /// Returns the logarithm of the factor by which the node is slower than its siblings; 0 for the
    /// normal speed.
    fn slowdown(&self, now: Time) -> f64 {
        match self.runs {
            0..MIN_RUNS => 0.0,
            _ => self.mean * decay(now.saturating_sub(self.last)),
        }
    }

    /// Returns the factor by which the node is slower than its siblings; 1 for the normal speed.
    pub fn factor(&self, now: Time) -> f64 {
        self.slowdown(now).exp()
    }

    /// Returns the factor by which the last runs were slower than their siblings, whatever their age.
    pub fn last_factor(&self) -> f64 {
        self.mean.exp()
    }

    /// Returns the number of runs on which the estimate is based.
    pub fn runs(&self) -> u32 {
        self.runs
    }
}

/// Returns the weight of evidence of an age.
fn decay(age: Duration) -> f64 {
    0.5f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
}

/// Decides which nodes of one service are slow against the others. Returns the indices of the nodes
/// for which this has changed.
pub fn review(now: Time, nodes: &mut [&mut Speed]) -> Vec<usize> {
    let mut slowdowns: Vec<f64> = nodes.iter().map(|speed| speed.slowdown(now)).collect();
    slowdowns.sort_unstable_by(f64::total_cmp);
    let middle = slowdowns.len().saturating_sub(1) / 2;
    // Nodes are not slow because others are faster than normal.
    let normal = slowdowns.get(middle).copied().unwrap_or(0.0).max(0.0);
    let mut changed = Vec::new();
    for (index, speed) in nodes.iter_mut().enumerate() {
        let is_slow = speed.slowdown(now) - normal >= SLOW_FACTOR.ln();
        if std::mem::replace(&mut speed.is_slow, is_slow) != is_slow {
            changed.push(index);
        }
    }
    changed
}

/// Since when the best-effort tasks of a worker have run at full pace: for ever at first, and
/// `Time::MAX` while they are throttled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FullPace(Time);

impl FullPace {
    /// Notes the pace that a worker's agent reports, in percent.
    pub fn note(&mut self, now: Time, level: u32) {
        self.0 = match level {
            0..100 => Time::MAX,
            _ => self.0.min(now),
        };
    }

    /// Tells whether a best-effort run in progress since `began` has not been throttled.
    pub fn covers(&self, began: Time) -> bool {
        self.0 <= began
    }
}
