//! Estimates a service's latency without batch load, and the latency added per core of each class.
//!
//! A Kalman filter tracks the baseline latency and one score per batch class: the slowdown of the
//! service per core of the class, relative to the baseline. Each sample updates the estimates,
//! because the cores in use change with every start and end of a task.

use std::collections::BTreeMap;

/// Standard deviation of a latency measurement, relative to the baseline.
const MEASUREMENT_NOISE: f64 = 0.02;
/// Process noise of the baseline: standard deviation of its relative drift per second.
const BASELINE_DRIFT: f64 = 0.000_5;
/// Process noise of a score per second, as a fraction of the score.
const SCORE_DRIFT: f64 = 0.01;
/// Lower bound of the process noise of a class's slowdown per second. Lets a score leave zero.
const MIN_SLOWDOWN_DRIFT: f64 = 0.000_5;
/// Initial standard deviation of the slowdown by a class, relative to the baseline.
const UNSEEN_SLOWDOWN: f64 = 1.0;
/// Initial standard deviation of a baseline that was measured without batch load.
const MEASURED_BASELINE: f64 = 0.02;
/// Initial standard deviation of a baseline that was assumed while batch tasks were running.
const ASSUMED_BASELINE: f64 = 0.2;
/// Mean prediction error, relative to the baseline, above which the service's own load counts as
/// changed if [`CHANGE_DEVIATIONS`] is exceeded as well.
const CHANGE_ERROR: f64 = 0.04;
/// Mean prediction error, in standard deviations, that marks a change of the service's load. The
/// second bound keeps a new class, whose prediction errors are large, from counting as a change.
const CHANGE_DEVIATIONS: f64 = 1.5;
/// Process noise of the baseline per second after a change of the service's load.
const BASELINE_CHANGE: f64 = 0.02;
/// Process noise of a score per second after a change of the service's load, as a fraction.
const SCORE_CHANGE: f64 = 0.1;
/// Lower bound, in cores, of the usage that scales the initial deviation of a score.
const MIN_CORES: f64 = 0.05;

/// State of the filter. Latencies are in multiples of the initial baseline.
#[derive(Debug, Clone)]
pub struct Scores {
    /// Latency in seconds that the filter started from.
    initial_baseline: f64,
    /// State vector: the baseline at index 0, then the score of each class.
    estimates: Vec<f64>,
    covariance: Vec<Vec<f64>>,
    /// Index of each class in `estimates`.
    classes: BTreeMap<String, usize>,
    /// Cores of each class, smoothed with the lag of the latency measurement; 1 for the baseline.
    lagged_cores: Vec<f64>,
    /// Largest number of cores that each class has used.
    max_cores: Vec<f64>,
    /// Smoothed prediction error.
    mean_error: f64,
    /// Smoothed prediction error in standard deviations of the prediction.
    normalised_error: f64,
}

impl Scores {
    /// Creates a filter with an initial baseline in seconds. `measured` tells whether the baseline
    /// was measured without batch load or is assumed.
    pub fn new(baseline: f64, measured: bool) -> Scores {
        let deviation: f64 = if measured { MEASURED_BASELINE } else { ASSUMED_BASELINE };
        Scores {
            initial_baseline: baseline,
            estimates: vec![1.0],
            covariance: vec![vec![deviation.powi(2)]],
            classes: BTreeMap::new(),
            lagged_cores: vec![1.0],
            max_cores: vec![1.0],
            mean_error: 0.0,
            normalised_error: 0.0,
        }
    }

    /// Returns the estimated latency without batch load, in seconds.
    pub fn baseline(&self) -> f64 {
        self.estimates[0] * self.initial_baseline
    }

    /// Returns the slowdown by one core of a class, relative to the baseline.
    pub fn score(&self, class: &str) -> Option<f64> {
        self.classes.get(class).map(|index| self.estimates[*index] / self.estimates[0])
    }

    /// Returns the smoothed prediction error, relative to the baseline.
    pub fn mean_error(&self) -> f64 {
        self.mean_error / self.estimates[0]
    }

    /// Updates the estimates with a latency in seconds, measured `elapsed` seconds after the previous
    /// one while the classes used `cores`. `lag` is the measurement lag in seconds.
    pub fn learn(&mut self, elapsed: f64, lag: f64, latency: f64, cores: &BTreeMap<String, f64>) {
        self.update_cores(elapsed, lag, cores);
        self.add_process_noise(elapsed);
        let covariance_products = self.covariance_products();
        let estimate_variance: f64 =
            covariance_products.iter().zip(&self.lagged_cores).map(|(one, two)| one * two).sum();
        let predicted_variance = estimate_variance + MEASUREMENT_NOISE.powi(2);
        let gains: Vec<f64> =
            covariance_products.iter().map(|product| product / predicted_variance).collect();
        let predicted: f64 =
            self.estimates.iter().zip(&self.lagged_cores).map(|(one, two)| one * two).sum();
        let error = latency / self.initial_baseline - predicted;
        let weight = 1.0 - (-elapsed / (2.0 * lag)).exp();
        self.mean_error += (error - self.mean_error) * weight;
        self.normalised_error +=
            (error / predicted_variance.sqrt() - self.normalised_error) * weight;
        for (value, gain) in self.estimates.iter_mut().zip(&gains) {
            *value = (*value + gain * error).max(0.0);
        }
        self.estimates[0] = self.estimates[0].max(0.01);
        self.update_covariance(&gains, &covariance_products);
    }

    /// Smooths the cores of each class with the lag of the latency measurement, and adds new classes.
    fn update_cores(&mut self, elapsed: f64, lag: f64, cores: &BTreeMap<String, f64>) {
        for (class, cores) in cores.iter().filter(|(_, cores)| **cores > 0.0) {
            if !self.classes.contains_key(class) {
                self.add_class(class, cores.max(MIN_CORES));
            }
        }
        let weight = 1.0 - (-elapsed / lag).exp();
        for (class, index) in &self.classes {
            let now = cores.get(class).copied().unwrap_or(0.0);
            self.lagged_cores[*index] += (now - self.lagged_cores[*index]) * weight;
            self.max_cores[*index] = self.max_cores[*index].max(now);
        }
        self.bound_covariance();
    }

    /// Bounds the variance of each score so that the deviation of the slowdown by the whole class is
    /// at most [`UNSEEN_SLOWDOWN`]. Needed when a class grows after a small first task.
    fn bound_covariance(&mut self) {
        for index in 1..self.estimates.len() {
            let max_variance = (UNSEEN_SLOWDOWN / self.max_cores[index]).powi(2);
            let variance = self.covariance[index][index];
            if variance > max_variance {
                let factor = (max_variance / variance).sqrt();
                self.covariance[index].iter_mut().for_each(|value| *value *= factor);
                self.covariance.iter_mut().for_each(|row| row[index] *= factor);
            }
        }
    }

    fn add_class(&mut self, class: &str, cores: f64) {
        let index = self.estimates.len();
        self.classes.insert(class.to_owned(), index);
        self.estimates.push(0.0);
        self.lagged_cores.push(0.0);
        self.max_cores.push(cores);
        for row in &mut self.covariance {
            row.push(0.0);
        }
        let mut row = vec![0.0; index + 1];
        row[index] = (UNSEEN_SLOWDOWN / cores).powi(2);
        self.covariance.push(row);
    }

    /// Adds the process noise of `elapsed` seconds to the variances.
    fn add_process_noise(&mut self, elapsed: f64) {
        let changed =
            self.mean_error.abs() > CHANGE_ERROR && self.normalised_error.abs() > CHANGE_DEVIATIONS;
        self.covariance[0][0] += BASELINE_DRIFT.powi(2) * elapsed;
        if changed {
            self.covariance[0][0] += BASELINE_CHANGE.powi(2) * elapsed;
        }
        for index in 1..self.estimates.len() {
            let relative_drift = if changed { SCORE_CHANGE } else { SCORE_DRIFT };
            let min_drift = MIN_SLOWDOWN_DRIFT / self.max_cores[index];
            let add_process_noise = (relative_drift * self.estimates[index]).max(min_drift);
            self.covariance[index][index] += add_process_noise.powi(2) * elapsed;
        }
    }

    /// Returns the product of the covariance matrix and the smoothed cores.
    fn covariance_products(&self) -> Vec<f64> {
        let row =
            |row: &Vec<f64>| row.iter().zip(&self.lagged_cores).map(|(one, two)| one * two).sum();
        self.covariance.iter().map(row).collect()
    }

    fn update_covariance(&mut self, gains: &[f64], covariance_products: &[f64]) {
        for (row, gain) in self.covariance.iter_mut().zip(gains) {
            for (value, product) in row.iter_mut().zip(covariance_products) {
                *value -= gain * product;
            }
        }
    }
}
