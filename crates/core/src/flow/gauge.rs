//! Changes of a worker's figures from one look to the next.

use std::collections::BTreeMap;
use std::time::Duration;

use super::message::{Image, Sample};
use super::model::TaskId;
use super::pace::{Fill, Serving};
use crate::time::Time;

/// Looks further apart than this are not compared: the serving tasks' own load has changed too.
const LONGEST_GAP: Duration = Duration::from_millis(1_300);
/// Change of the fill work, in thousandths of a core, that tells something beside rounding.
const LEAST_CHANGE: i64 = 100;

/// Compares successive looks.
#[derive(Debug, Default)]
pub struct Gauge {
    at: Time,
    tails: BTreeMap<TaskId, u64>,
    fills: BTreeMap<Image, i64>,
}

impl Gauge {
    /// Takes the figures of a look; returns how tails and fill work changed since the last one, if
    /// both did.
    pub fn observe(&mut self, now: Time, serving: &[Serving], filling: &[Fill]) -> Option<Sample> {
        let mut fills: BTreeMap<Image, i64> = BTreeMap::new();
        for fill in filling {
            *fills.entry(fill.image).or_default() += fill.used as i64;
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
        let images = self.fills.keys().chain(fills.keys().filter(|i| !self.fills.contains_key(i)));
        let change = |image: &Image| {
            let of = |fills: &BTreeMap<Image, i64>| fills.get(image).copied().unwrap_or(0);
            (*image, of(&fills) - of(&self.fills))
        };
        let telling = |(_, change): &(Image, i64)| change.abs() >= LEAST_CHANGE;
        let changes: Vec<(Image, i32)> =
            images.map(change).filter(telling).map(|(image, by)| (image, by as i32)).collect();
        let is_near = now <= self.at + LONGEST_GAP;
        *self = Gauge { at: now, tails, fills };
        if !is_near || changes.is_empty() || rises.is_empty() {
            return None;
        }
        let mean = |(image, (sum, count)): (Image, (f64, u32))| {
            (image, (sum / f64::from(count) * 1_000.0) as i32)
        };
        Some(Sample { rises: rises.into_iter().map(mean).collect(), changes })
    }
}
