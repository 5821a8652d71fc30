//! Model of the interference between best-effort and serving images, learned from the changes that
//! agents report. The weight of a pair is the rise of the logarithm of the serving image's tail
//! latency if the best-effort image uses all CPU of a worker.
//!
//! Most pairs do not interfere at all and a few interfere strongly, so the choice of the worker
//! matters more than the pace.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::message::{Image, Sample, WEIGHT_SCALE};

/// Interference weight of a pair of images before anything is learned. Observed weights range from
/// 0 to 6; most are below 0.5.
pub const INITIAL_WEIGHT: f64 = 1.0;
/// Interference weight up to which a pair of images is light: its interference cannot be told from the
/// changes of the serving task's own load. Learned weights lie below it or above twice its value.
pub const LIGHT_WEIGHT: f64 = 0.75;
/// Variance of the interference weight of a pair of images before anything is learned.
const INITIAL_VARIANCE: f64 = 4.0;
/// Minimum of a learned interference weight. Weights below zero are due to noise.
const MIN_WEIGHT: f64 = -1.0;
/// Maximum of a learned interference weight: twice the largest observed one.
const MAX_WEIGHT: f64 = 12.0;
/// Variance of the change of a tail latency's logarithm between two listings that is caused by the
/// serving task's own load.
const NOISE_VARIANCE: f64 = 0.1;
/// Variance added to an interference weight with each sample, because weights drift over time.
const DRIFT_VARIANCE: f64 = 1e-3;
/// Limit to which changes of the logarithm of a tail latency between two listings are clamped.
const MAX_RISE: f64 = 1.0;
/// Logarithm of the initially assumed tail latency without best-effort tasks, as a fraction of its
/// target: about half the target.
const INITIAL_BASELINE: f64 = -0.75;
/// Smoothing factor of a [`Baseline`]: the share of a new value, which arrives each second. The
/// load varies within a few seconds.
const BASELINE_SMOOTHING: f64 = 0.3;
/// Minimum tail latency in percent of its target; lower values cannot be told from zero.
const MIN_TAIL_PERCENT: u32 = 5;

/// A best-effort image and the fraction of a worker's CPU that it uses.
pub type Share = (Image, f64);

/// The learned interference weight of a pair of images, as stored for the next owner.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct InterferenceRow {
    pub serving: Image,
    pub best_effort: Image,
    /// Estimate of the weight.
    pub mean: f32,
    /// Variance of the estimate.
    pub variance: f32,
}

/// Estimate of the interference weight of a pair of images.
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

/// Learned interference weights by serving and best-effort image.
#[derive(Debug, Clone, Default)]
pub struct Interference {
    weights: HashMap<(Image, Image), Weight>,
}

/// Estimated logarithm of the highest tail latency of one serving image on a worker without
/// best-effort tasks, as a fraction of its target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Baseline(f64);

impl Default for Baseline {
    fn default() -> Self {
        Baseline(INITIAL_BASELINE)
    }
}

impl Baseline {
    /// Updates the estimate with a tail latency without best-effort tasks, in percent of its
    /// target.
    pub fn learn(&mut self, percent: u32) {
        let observed = (f64::from(percent.max(MIN_TAIL_PERCENT)) / 100.0).ln();
        self.0 += BASELINE_SMOOTHING * (observed - self.0);
    }

    /// Returns the expected tail latency in percent of its target, given the rise of its logarithm.
    pub fn tail(self, rise: f64) -> f64 {
        (self.0 + rise).exp() * 100.0
    }
}

impl Interference {
    /// Returns the learned weight of each pair of images, to be stored.
    pub fn rows(&self) -> Vec<InterferenceRow> {
        let row = |((serving, best_effort), weight): (&(Image, Image), &Weight)| InterferenceRow {
            serving: *serving,
            best_effort: *best_effort,
            mean: weight.mean as f32,
            variance: weight.variance as f32,
        };
        self.weights.iter().map(row).collect()
    }

    /// Restores stored weights; ignores invalid rows.
    pub fn restore(&mut self, rows: &[InterferenceRow]) {
        let is_valid = |row: &&InterferenceRow| {
            row.mean.is_finite() && row.variance.is_finite() && row.variance > 0.0
        };
        for row in rows.iter().filter(is_valid) {
            let weight = Weight { mean: row.mean.into(), variance: row.variance.into() };
            self.weights.insert((row.serving, row.best_effort), weight);
        }
    }

    /// Returns the interference weight of a pair of images, at least 0.
    pub fn weight(&self, serving: Image, best_effort: Image) -> f64 {
        self.weights
            .get(&(serving, best_effort))
            .map_or(INITIAL_WEIGHT, |weight| weight.mean.max(0.0))
    }

    /// Tells whether a pair of images hardly interferes.
    pub fn is_light(&self, serving: Image, best_effort: Image) -> bool {
        self.weight(serving, best_effort) <= LIGHT_WEIGHT
    }

    /// Returns the interference weight of a pair of images in units of 1 / [`WEIGHT_SCALE`].
    pub fn scaled_weight(&self, serving: Image, best_effort: Image) -> u32 {
        (self.weight(serving, best_effort) * WEIGHT_SCALE) as u32
    }

    /// Returns the expected rise of the logarithm of a serving image's tail latency caused by
    /// best-effort images that use these fractions of a worker's CPU.
    pub fn rise(&self, serving: Image, shares: impl IntoIterator<Item = Share>) -> f64 {
        let rise = |(best_effort, share)| self.weight(serving, best_effort) * share;
        shares.into_iter().map(rise).sum()
    }

    /// Updates the weights from the changes between two listings of a worker with `capacity`
    /// thousandths of a core, with a Kalman filter for each pair whose CPU usage changed.
    /// Ignores a sample from a worker whose capacity is not known: agents ping a new owner before
    /// they report their worker.
    pub fn learn(&mut self, sample: &Sample, capacity: u64) {
        if capacity == 0 {
            return;
        }
        let shares: Vec<Share> = sample
            .changes
            .iter()
            .map(|(image, change)| (*image, f64::from(*change) / capacity as f64))
            .collect();
        for (serving, rise) in &sample.rises {
            let observed = (f64::from(*rise) / 1_000.0).clamp(-MAX_RISE, MAX_RISE);
            let mut pairs: Vec<(Image, f64, Weight)> = Vec::with_capacity(shares.len());
            for (best_effort, share) in &shares {
                let known =
                    self.weights.get(&(*serving, *best_effort)).copied().unwrap_or_default();
                pairs.push((*best_effort, *share, known));
            }
            let expected: f64 = pairs.iter().map(|(_, share, known)| known.mean * share).sum();
            let prediction_variance: f64 =
                pairs.iter().map(|(_, s, known)| known.variance * s * s).sum();
            for (best_effort, share, known) in pairs {
                let gain = known.variance * share / (NOISE_VARIANCE + prediction_variance);
                let mean = known.mean + gain * (observed - expected);
                let weight = Weight {
                    mean: mean.clamp(MIN_WEIGHT, MAX_WEIGHT),
                    variance: known.variance * (1.0 - gain * share) + DRIFT_VARIANCE,
                };
                self.weights.insert((*serving, best_effort), weight);
            }
        }
    }
}
