//! How much fill tasks of one image raise the tail of serving tasks of another, learned from the
//! changes that agents see. Most pairs of images do not disturb each other at all, and a few do so
//! strongly, so that the choice of the worker matters more than the pace.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::message::{Image, Sample, WEIGHT_SCALE};

/// Assumed rise of the logarithm of a tail by fill tasks on all of a worker's processors, and the
/// variance of that assumption: pairs were seen from 0 to 6, most of them under 0.5.
pub const FIRST_WEIGHT: f64 = 1.0;
const FIRST_VARIANCE: f64 = 4.0;
/// Limits of a learned weight: below zero by chance only, above the largest seen by twice.
const LEAST_WEIGHT: f64 = -1.0;
const MOST_WEIGHT: f64 = 12.0;
/// Variance of the change of a logarithm between two looks by the serving task's own load.
const NOISE: f64 = 0.1;
/// Growth of a weight's variance with each sample: weights drift.
const DRIFT: f64 = 1e-3;
/// Largest believed change between two looks.
const MOST_RISE: f64 = 1.0;
/// Logarithm of the assumed tail without fill tasks, as a fraction of its target: it is about half.
const FIRST_BASE: f64 = -0.75;
/// Share of a new figure, each second: the load swings within some seconds.
const LEARN_BASE: f64 = 0.3;
/// A tail cannot be told from none below this percentage of the target.
const LEAST_TAIL_PERCENT: u32 = 5;

/// Fill work on a worker: image and share of the worker's processors.
pub type Share = (Image, f64);

/// A learned weight, as it is kept for a successor.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PressRow {
    pub serving: Image,
    pub fill: Image,
    pub mean: f32,
    pub variance: f32,
}

#[derive(Debug, Clone, Copy)]
struct Weight {
    mean: f64,
    variance: f64,
}

impl Default for Weight {
    fn default() -> Self {
        Weight { mean: FIRST_WEIGHT, variance: FIRST_VARIANCE }
    }
}

/// Learned weights by serving and fill image.
#[derive(Debug, Clone, Default)]
pub struct Press {
    weights: HashMap<(Image, Image), Weight>,
}

/// Logarithm of the highest tail of a worker's serving tasks of one image without fill tasks, as a
/// fraction of its target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Base(f64);

impl Default for Base {
    fn default() -> Self {
        Base(FIRST_BASE)
    }
}

impl Base {
    /// Learns from a tail, in percent of its target, that is expected without fill tasks.
    pub fn learn(&mut self, percent: u32) {
        let seen = (f64::from(percent.max(LEAST_TAIL_PERCENT)) / 100.0).ln();
        self.0 += LEARN_BASE * (seen - self.0);
    }

    /// Expected tail in percent of its target.
    pub fn tail(self, rise: f64) -> f64 {
        (self.0 + rise).exp() * 100.0
    }
}

impl Press {
    /// Returns what a successor needs.
    pub fn rows(&self) -> Vec<PressRow> {
        let row = |((serving, fill), weight): (&(Image, Image), &Weight)| PressRow {
            serving: *serving,
            fill: *fill,
            mean: weight.mean as f32,
            variance: weight.variance as f32,
        };
        self.weights.iter().map(row).collect()
    }

    /// Takes over what a predecessor has learned.
    pub fn restore(&mut self, rows: &[PressRow]) {
        let is_sound = |row: &&PressRow| {
            row.mean.is_finite() && row.variance.is_finite() && row.variance > 0.0
        };
        for row in rows.iter().filter(is_sound) {
            let weight = Weight { mean: row.mean.into(), variance: row.variance.into() };
            self.weights.insert((row.serving, row.fill), weight);
        }
    }

    /// Expected rise of the logarithm of a serving image's tail per share of fill work.
    pub fn weight(&self, serving: Image, fill: Image) -> f64 {
        self.weights.get(&(serving, fill)).map_or(FIRST_WEIGHT, |weight| weight.mean.max(0.0))
    }

    /// The same as a whole number for messages.
    pub fn scaled(&self, serving: Image, fill: Image) -> u32 {
        (self.weight(serving, fill) * WEIGHT_SCALE) as u32
    }

    /// Expected rise of the logarithm of a serving image's tail beside these shares.
    pub fn rise(&self, serving: Image, shares: &[Share]) -> f64 {
        shares.iter().map(|(fill, share)| self.weight(serving, *fill) * share).sum()
    }

    /// Learns from what changed between two looks at a worker of `room` thousandths of a core: a
    /// Kalman filter for each pair, by the pairs that changed.
    pub fn learn(&mut self, sample: &Sample, room: u64) {
        let shares: Vec<Share> = sample
            .changes
            .iter()
            .map(|(image, change)| (*image, f64::from(*change) / room.max(1) as f64))
            .collect();
        for (serving, rise) in &sample.rises {
            let seen = (f64::from(*rise) / 1_000.0).clamp(-MOST_RISE, MOST_RISE);
            let mut pairs: Vec<(Image, f64, Weight)> = Vec::with_capacity(shares.len());
            for (fill, share) in &shares {
                let known = self.weights.get(&(*serving, *fill)).copied().unwrap_or_default();
                pairs.push((*fill, *share, known));
            }
            let expected: f64 = pairs.iter().map(|(_, share, known)| known.mean * share).sum();
            let spread: f64 = pairs.iter().map(|(_, s, known)| known.variance * s * s).sum();
            for (fill, share, known) in pairs {
                let gain = known.variance * share / (NOISE + spread);
                let mean = known.mean + gain * (seen - expected);
                let weight = Weight {
                    mean: mean.clamp(LEAST_WEIGHT, MOST_WEIGHT),
                    variance: known.variance * (1.0 - gain * share) + DRIFT,
                };
                self.weights.insert((*serving, fill), weight);
            }
        }
    }
}
