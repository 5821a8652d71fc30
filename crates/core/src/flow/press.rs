//! How much fill tasks of each image press the serving tasks beside them, learned from the tails
//! that agents report.

use std::collections::HashMap;

/// Assumed rise of a tail, in percent of its target, by fill tasks on all of a worker's processors.
const FIRST_WEIGHT: f64 = 200.0;
const MOST_WEIGHT: f64 = 1_500.0;
/// Assumed tail without fill tasks, in percent of its target: the load is about half.
const FIRST_BASE: f64 = 45.0;
/// Share of an error that is put down to the images, and to the worker's own load.
const LEARN_IMAGES: f64 = 0.3;
const LEARN_BASE: f64 = 0.15;
/// Keeps steps small while little fill work is there: a twentieth of a worker's processors.
const LEAST_SHARE: f64 = 0.05;

/// Fill work on a worker: image and share of the worker's processors.
pub type Share = (u32, f64);

/// Learned weights of images.
#[derive(Debug, Clone, Default)]
pub struct Press {
    weights: HashMap<u32, f64>,
}

/// Tail of a worker's serving tasks without fill tasks, in percent of the target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Base(f64);

impl Default for Base {
    fn default() -> Self {
        Base(FIRST_BASE)
    }
}

impl Press {
    fn weight(&self, image: u32) -> f64 {
        self.weights.get(&image).copied().unwrap_or(FIRST_WEIGHT)
    }

    /// Expected tail, in percent of its target, beside these shares.
    pub fn expected(&self, base: Base, shares: impl IntoIterator<Item = Share>) -> f64 {
        base.0 + shares.into_iter().map(|(image, share)| self.weight(image) * share).sum::<f64>()
    }

    /// Learns from a tail that was seen beside these shares.
    pub fn learn(&mut self, base: &mut Base, shares: &[Share], tail_percent: u32) {
        let error = f64::from(tail_percent) - self.expected(*base, shares.iter().copied());
        base.0 = (base.0 + LEARN_BASE * error).clamp(0.0, 100.0);
        let norm: f64 = shares.iter().map(|(_, share)| share * share).sum();
        for (image, share) in shares {
            let weight = self.weight(*image);
            let step = LEARN_IMAGES * error * share / (LEAST_SHARE * LEAST_SHARE + norm);
            self.weights.insert(*image, (weight + step).clamp(0.0, MOST_WEIGHT));
        }
    }
}
