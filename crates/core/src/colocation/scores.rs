//! Estimate of a service's latency without batch work, and of what one core of each class adds.
//!
//! A Kalman filter over the baseline and one score per class. It learns from each sample, since
//! the cores in use change with every start and end of a task.

use std::collections::BTreeMap;

/// Standard deviation of a measurement, relative to the baseline.
const MEASUREMENT_NOISE: f64 = 0.02;
/// Drift of the baseline in a second, as a standard deviation.
const BASELINE_DRIFT: f64 = 0.000_5;
/// Drift of a class's whole slow-down in a second: a part of it, and a least amount that lets a
/// score leave zero.
const SCORE_DRIFT: f64 = 0.01;
const MIN_SLOWDOWN_DRIFT: f64 = 0.000_5;
/// Standard deviation of the slow-down by a class that was never observed.
const UNSEEN_SLOWDOWN: f64 = 1.0;
/// Standard deviation of the baseline when it is set without batch work, and beside batch work.
const MEASURED_BASELINE: f64 = 0.02;
const ASSUMED_BASELINE: f64 = 0.2;
/// Mean error of the predictions above which the load of the service is taken to have changed, and
/// what the baseline and each slow-down may then change by in a second.
const CHANGE_ERROR: f64 = 0.04;
/// The same in standard deviations. A class that was never seen gives large errors as well.
const CHANGE_DEVIATIONS: f64 = 1.5;
const BASELINE_CHANGE: f64 = 0.02;
const SCORE_CHANGE: f64 = 0.1;
/// Least cores of a class that a score is related to.
const MIN_CORES: f64 = 0.05;

/// State of the filter, in parts of the first baseline.
#[derive(Debug, Clone)]
pub struct Scores {
    initial_baseline: f64,
    /// Baseline, then the score of each class.
    estimates: Vec<f64>,
    covariance: Vec<Vec<f64>>,
    classes: BTreeMap<String, usize>,
    /// Cores as the lagging latency shows them, and the largest of them so far.
    lagged_cores: Vec<f64>,
    max_cores: Vec<f64>,
    /// Mean error of the latest predictions.
    mean_error: f64,
    /// The same, in standard deviations of a prediction.
    normalised_error: f64,
}

impl Scores {
    /// Starts from a baseline in seconds, measured without batch work or assumed.
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

    /// Latency without batch work, in seconds.
    pub fn baseline(&self) -> f64 {
        self.estimates[0] * self.initial_baseline
    }

    /// Slow-down by one core of a class, relative to the baseline.
    pub fn score(&self, class: &str) -> Option<f64> {
        self.classes.get(class).map(|index| self.estimates[*index] / self.estimates[0])
    }

    /// Mean error of the latest predictions, relative to the baseline.
    pub fn mean_error(&self) -> f64 {
        self.mean_error / self.estimates[0]
    }

    /// Learns from the latency measured `elapsed` seconds after the last one, beside these cores.
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

    /// Lets the cores follow with the lag of the latency.
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

    /// Reduces what is unknown of a score when its class grows: the bound is on the slow-down by
    /// the whole class, and a first task may be small.
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
