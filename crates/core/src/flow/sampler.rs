//! Changes of CPU usage and tail latencies between successive listings of a worker's tasks, from
//! which the interference between images is learned.

use std::collections::BTreeMap;
use std::time::Duration;

use super::message::{Image, Sample};
use super::model::TaskId;
use super::pace::{BestEffortTask, ServingTask};
use crate::time::Time;

/// Maximum time between two listings of a worker's tasks that are compared. Over longer gaps the
/// serving tasks' own load changes too.
const MAX_GAP: Duration = Duration::from_millis(1_300);
/// Minimum change of the CPU usage of a best-effort image, in thousandths of a core; smaller
/// changes may be rounding errors.
const MIN_CPU_CHANGE: i64 = 100;

/// Compares successive listings of one worker's tasks.
#[derive(Debug, Default)]
pub struct Sampler {
    /// When the previous listing of the worker's tasks arrived.
    at: Time,
    /// Tail latency of each serving task in the previous listing, in milliseconds.
    tails: BTreeMap<TaskId, u64>,
    /// CPU usage of each best-effort image in the previous listing, in thousandths of a core.
    cpu_used: BTreeMap<Image, i64>,
}

impl Sampler {
    /// Records the tail latencies and CPU usage in a listing. Returns the changes since the
    /// previous listing, if that is recent, a serving task is in both, and the CPU usage of a
    /// best-effort image has changed.
    pub fn observe(
        &mut self,
        now: Time,
        serving: &[ServingTask],
        best_effort: &[BestEffortTask],
    ) -> Option<Sample> {
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
        let images =
            self.cpu_used.keys().chain(cpu_used.keys().filter(|i| !self.cpu_used.contains_key(i)));
        let change = |image: &Image| {
            let of = |cpu_used: &BTreeMap<Image, i64>| cpu_used.get(image).copied().unwrap_or(0);
            (*image, of(&cpu_used) - of(&self.cpu_used))
        };
        let is_significant = |(_, change): &(Image, i64)| change.abs() >= MIN_CPU_CHANGE;
        let changes: Vec<(Image, i32)> = images
            .map(change)
            .filter(is_significant)
            .map(|(image, by)| (image, by as i32))
            .collect();
        let is_recent = now <= self.at + MAX_GAP;
        *self = Sampler { at: now, tails, cpu_used };
        if !is_recent || changes.is_empty() || rises.is_empty() {
            return None;
        }
        let mean = |(image, (sum, count)): (Image, (f64, u32))| {
            (image, (sum / f64::from(count) * 1_000.0) as i32)
        };
        Some(Sample { rises: rises.into_iter().map(mean).collect(), changes })
    }
}
