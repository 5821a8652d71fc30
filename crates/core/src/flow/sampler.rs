//! Changes of CPU usage and tail latencies between successive listings of a worker's tasks, from
//! which the interference between images is learned.

use std::collections::BTreeMap;
use std::time::Duration;

use super::message::{Image, Sample};
use super::model::TaskId;
use super::pace::{BestEffortTask, ServingTask};
use crate::time::Time;

/// Minimum time between two listings that are compared. Listings report tail latencies and CPU usage
/// of the last half second, so that closer ones, which the end of a run causes, show a task's usage
/// disappear before its interference does.
const MIN_GAP: Duration = Duration::from_millis(400);
/// Maximum time between two listings of a worker's tasks that are compared. Over longer gaps the
/// serving tasks' own load changes too.
const MAX_GAP: Duration = Duration::from_millis(1_300);
/// Part of the interference of a usage that shows in the tail latencies of the next listing, because
/// requests that wait take time to be served.
const LATE_PART: f64 = 0.3;
/// Minimum change of the CPU usage of a best-effort image, in thousandths of a core; smaller
/// changes may be rounding errors.
const MIN_CPU_CHANGE: i64 = 100;

/// Compares successive listings of one worker's tasks.
#[derive(Debug, Default)]
pub struct Sampler {
    /// When the previous listing of the worker's tasks arrived; `None` before the first.
    at: Option<Time>,
    /// Tail latency of each serving task in the previous listing, in milliseconds.
    tails: BTreeMap<TaskId, u64>,
    /// CPU usage of each best-effort image in the previous listing, in thousandths of a core.
    cpu_used: BTreeMap<Image, i64>,
    /// CPU usage of each best-effort image that shows in the tail latencies of the previous listing,
    /// in thousandths of a core.
    effective: BTreeMap<Image, i64>,
}

impl Sampler {
    /// Records the tail latencies and CPU usage in a listing, unless it covers nearly the same time
    /// as the previous one. Returns the changes since the previous listing, if that is recent, a
    /// serving task is in both, and the CPU usage of a best-effort image has changed.
    pub fn observe(
        &mut self,
        now: Time,
        serving: &[ServingTask],
        best_effort: &[BestEffortTask],
    ) -> Option<Sample> {
        if self.at.is_some_and(|at| now < at + MIN_GAP) {
            return None;
        }
        let is_recent = self.at.is_some_and(|at| now <= at + MAX_GAP);
        let mut cpu_used: BTreeMap<Image, i64> = BTreeMap::new();
        for task in best_effort {
            *cpu_used.entry(task.image).or_default() += task.used as i64;
        }
        let mut tails = BTreeMap::new();
        let mut rises: BTreeMap<Image, (f64, u32)> = BTreeMap::new();
        for row in serving.iter().filter(|row| row.tail_ms > 0) {
            tails.insert(row.task, row.tail_ms);
            if let Some(before) = self.tails.get(&row.task) {
                let (sum, count) = rises.entry(row.image).or_default();
                *sum += (row.tail_ms as f64 / *before as f64).ln();
                *count += 1;
            }
        }
        let effective = match is_recent {
            true => blend(&self.cpu_used, &cpu_used),
            false => cpu_used.clone(),
        };
        let images = self
            .effective
            .keys()
            .chain(effective.keys().filter(|i| !self.effective.contains_key(i)));
        let change = |image: &Image| (*image, of(&effective, image) - of(&self.effective, image));
        let is_significant = |(_, change): &(Image, i64)| change.abs() >= MIN_CPU_CHANGE;
        let changes: Vec<(Image, i32)> = images
            .map(change)
            .filter(is_significant)
            .map(|(image, by)| (image, by as i32))
            .collect();
        *self = Sampler { at: Some(now), tails, cpu_used, effective };
        if !is_recent || changes.is_empty() || rises.is_empty() {
            return None;
        }
        let mean = |(image, (sum, count)): (Image, (f64, u32))| {
            (image, (sum / f64::from(count) * 1_000.0) as i32)
        };
        Some(Sample { rises: rises.into_iter().map(mean).collect(), changes })
    }
}

/// Returns the usage that shows in the tail latencies of a listing, from the usage in the listing
/// before and in the listing itself.
fn blend(before: &BTreeMap<Image, i64>, now: &BTreeMap<Image, i64>) -> BTreeMap<Image, i64> {
    let part = |image: &Image| {
        let late = LATE_PART * of(before, image) as f64;
        (*image, (late + (1.0 - LATE_PART) * of(now, image) as f64).round() as i64)
    };
    before.keys().chain(now.keys()).map(part).collect()
}

/// Returns the CPU usage of an image in thousandths of a core; 0 if it has none.
fn of(cpu_used: &BTreeMap<Image, i64>, image: &Image) -> i64 {
    cpu_used.get(image).copied().unwrap_or(0)
}
