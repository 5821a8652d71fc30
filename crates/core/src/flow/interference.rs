//! How much fill tasks of one image raise the tail of serving tasks of another, learned from the
//! changes that agents see. Most pairs of images do not disturb each other at all, and a few do so
//! strongly, so that the choice of the worker matters more than the pace.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::message::{Image, Sample, WEIGHT_SCALE};

/// Assumed rise of the logarithm of a tail by fill tasks on all of a worker's processors, and the
/// variance of that assumption: pairs were seen from 0 to 6, most of them under 0.5.
pub const INITIAL_WEIGHT: f64 = 1.0;
const INITIAL_VARIANCE: f64 = 4.0;
/// Limits of a learned weight: below zero by chance only, above the largest seen by twice.
const MIN_WEIGHT: f64 = -1.0;
const MAX_WEIGHT: f64 = 12.0;
/// Variance of the change of a logarithm between two looks by the serving task's own load.
const NOISE_VARIANCE: f64 = 0.1;
/// Growth of a weight's variance with each sample: weights drift.
const DRIFT_VARIANCE: f64 = 1e-3;
/// Largest believed change between two looks.
const MAX_RISE: f64 = 1.0;
/// Logarithm of the assumed tail without fill tasks, as a fraction of its target: it is about half.
const INITIAL_BASELINE: f64 = -0.75;
/// Share of a new figure, each second: the load swings within some seconds.
const BASELINE_SMOOTHING: f64 = 0.3;
/// A tail cannot be told from none below this percentage of the target.
const MIN_TAIL_PERCENT: u32 = 5;

/// Fill work on a worker: image and share of the worker's processors.
pub type Share = (Image, f64);

/// A learned weight, as it is kept for a successor.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct InterferenceRow {
    pub serving: Image,
    pub best_effort: Image,
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
        Weight { mean: INITIAL_WEIGHT, variance: INITIAL_VARIANCE }
    }
}

/// Learned weights by serving and fill image.
#[derive(Debug, Clone, Default)]
pub struct Interference {
    weights: HashMap<(Image, Image), Weight>,
}

/// Logarithm of the highest tail of a worker's serving tasks of one image without fill tasks, as a
/// fraction of its target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Baseline(f64);

impl Default for Baseline {
    fn default() -> Self {
        Baseline(INITIAL_BASELINE)
    }
}

impl Baseline {
    /// Learns from a tail, in percent of its target, that is expected without fill tasks.
    pub fn learn(&mut self, percent: u32) {
        let acknowledged = (f64::from(percent.max(MIN_TAIL_PERCENT)) / 100.0).ln();
        self.0 += BASELINE_SMOOTHING * (acknowledged - self.0);
    }

    /// Expected tail in percent of its target.
    pub fn tail(self, rise: f64) -> f64 {
        (self.0 + rise).exp() * 100.0
    }
}

impl Interference {
    /// Returns what a successor needs.
    pub fn rows(&self) -> Vec<InterferenceRow> {
        let row = |((serving, best_effort), weight): (&(Image, Image), &Weight)| InterferenceRow {
            serving: *serving,
            best_effort: *best_effort,
            mean: weight.mean as f32,
            variance: weight.variance as f32,
        };
        self.weights.iter().map(row).collect()
    }

    /// Takes over what a predecessor has learned.
    pub fn restore(&mut self, rows: &[InterferenceRow]) {
        let is_valid = |row: &&InterferenceRow| {
            row.mean.is_finite() && row.variance.is_finite() && row.variance > 0.0
        };
        for row in rows.iter().filter(is_valid) {
            let weight = Weight { mean: row.mean.into(), variance: row.variance.into() };
            self.weights.insert((row.serving, row.best_effort), weight);
        }
    }

    /// Expected rise of the logarithm of a serving image's tail per share of fill work.
    pub fn weight(&self, serving: Image, best_effort: Image) -> f64 {
        self.weights
            .get(&(serving, best_effort))
            .map_or(INITIAL_WEIGHT, |weight| weight.mean.max(0.0))
    }

    /// The same as a whole number for messages.
    pub fn scaled_weight(&self, serving: Image, best_effort: Image) -> u32 {
        (self.weight(serving, best_effort) * WEIGHT_SCALE) as u32
    }

    /// Expected rise of the logarithm of a serving image's tail beside these shares.
    pub fn rise(&self, serving: Image, shares: &[Share]) -> f64 {
        shares.iter().map(|(best_effort, share)| self.weight(serving, *best_effort) * share).sum()
    }

    /// Learns from what changed between two looks at a worker of `room` thousandths of a core: a
    /// Kalman filter for each pair, by the pairs that changed.
    pub fn learn(&mut self, sample: &Sample, capacity: u64) {
        let shares: Vec<Share> = sample
            .changes
            .iter()
            .map(|(image, change)| (*image, f64::from(*change) / capacity.max(1) as f64))
            .collect();
        for (serving, rise) in &sample.rises {
            let acknowledged = (f64::from(*rise) / 1_000.0).clamp(-MAX_RISE, MAX_RISE);
            let mut pairs: Vec<(Image, f64, Weight)> = Vec::with_capacity(shares.len());
            for (best_effort, share) in &shares {
                let known =
                    self.weights.get(&(*serving, *best_effort)).copied().unwrap_or_default();
                pairs.push((*best_effort, *share, known));
            }
            let expected: f64 = pairs.iter().map(|(_, share, known)| known.mean * share).sum();
            let spread: f64 = pairs.iter().map(|(_, s, known)| known.variance * s * s).sum();
            for (best_effort, share, known) in pairs {
                let gain = known.variance * share / (NOISE_VARIANCE + spread);
                let mean = known.mean + gain * (acknowledged - expected);
                let weight = Weight {
                    mean: mean.clamp(MIN_WEIGHT, MAX_WEIGHT),
                    variance: known.variance * (1.0 - gain * share) + DRIFT_VARIANCE,
                };
                self.weights.insert((*serving, best_effort), weight);
            }
        }
    }
}
