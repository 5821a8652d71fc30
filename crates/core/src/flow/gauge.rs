//! Changes of a worker's figures from one look to the next.

use std::collections::BTreeMap;
use std::time::Duration;

use super::message::{Image, Sample};
use super::model::TaskId;
use crate::time::Time;

/// Looks further apart than this are not compared: the serving tasks' own load has changed too.
const LONGEST_GAP: Duration = Duration::from_millis(1_300);
/// Change of the fill work, in thousandths of a core, that tells something beside rounding.
const LEAST_CHANGE: i64 = 100;

/// What a look says of one task.
#[derive(Debug, Clone, Copy)]
pub enum Figure {
    /// Tail latency, in ms.
    Serves(u64),
    /// Processors in use, in thousandths of a core.
    Fills(u64),
}

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
    pub fn observe(
        &mut self,
        now: Time,
        figures: impl Iterator<Item = (TaskId, Image, Figure)>,
    ) -> Option<Sample> {
        let mut tails = BTreeMap::new();
        let mut fills: BTreeMap<Image, i64> = BTreeMap::new();
        let mut rises: BTreeMap<Image, (f64, u32)> = BTreeMap::new();
        for (task, image, figure) in figures {
            match (figure, self.tails.get(&task)) {
                (Figure::Fills(used), _) => *fills.entry(image).or_default() += used as i64,
                (Figure::Serves(0), _) => {}
                (Figure::Serves(tail), before) => {
                    tails.insert(task, tail);
                    if let Some(before) = before {
                        let (sum, count) = rises.entry(image).or_default();
                        *sum += (tail as f64 / *before as f64).ln();
                        *count += 1;
                    }
                }
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
