//! Estimate of a service's latency without batch work, and of what one core of each class adds.
//!
//! A Kalman filter over the baseline and one score per class. It learns from each sample, since
//! the cores in use change with every start and end of a task.

use std::collections::BTreeMap;

/// Standard deviation of a measurement, relative to the baseline.
const MEASUREMENT: f64 = 0.02;
/// Drift of the baseline in a second, as a standard deviation.
const BASELINE_DRIFT: f64 = 0.000_5;
/// Drift of a class's whole slow-down in a second: a part of it, and a least amount that lets a
/// score leave zero.
const SCORE_DRIFT: f64 = 0.01;
const SLOWDOWN_DRIFT: f64 = 0.000_5;
/// Standard deviation of the slow-down by a class that was never observed.
const UNKNOWN: f64 = 1.0;
/// Standard deviation of the baseline when it is set without batch work, and beside batch work.
const KNOWN_BASELINE: f64 = 0.02;
const ASSUMED_BASELINE: f64 = 0.2;
/// Mean error of the predictions above which the load of the service is taken to have changed, and
/// what the baseline and each slow-down may then change by in a second.
const JUMP: f64 = 0.04;
/// The same in standard deviations. A class that was never seen gives large errors as well.
const SURPRISE: f64 = 1.5;
const BASELINE_JUMP: f64 = 0.02;
const SCORE_JUMP: f64 = 0.1;
/// Least cores of a class that a score is related to.
const LEAST_CORES: f64 = 0.05;

/// State of the filter, in parts of the first baseline.
#[derive(Debug, Clone)]
pub struct Scores {
    unit: f64,
    /// Baseline, then the score of each class.
    values: Vec<f64>,
    covariance: Vec<Vec<f64>>,
    classes: BTreeMap<String, usize>,
    /// Cores as the lagging latency shows them, and the largest of them so far.
    shown: Vec<f64>,
    largest: Vec<f64>,
    /// Mean error of the latest predictions.
    error: f64,
    /// The same, in standard deviations of a prediction.
    surprise: f64,
}

impl Scores {
    /// Starts from a baseline in seconds, measured without batch work or assumed.
    pub fn new(baseline: f64, measured: bool) -> Scores {
        let deviation: f64 = if measured { KNOWN_BASELINE } else { ASSUMED_BASELINE };
        Scores {
            unit: baseline,
            values: vec![1.0],
            covariance: vec![vec![deviation.powi(2)]],
            classes: BTreeMap::new(),
            shown: vec![1.0],
            largest: vec![1.0],
            error: 0.0,
            surprise: 0.0,
        }
    }

    /// Latency without batch work, in seconds.
    pub fn baseline(&self) -> f64 {
        self.values[0] * self.unit
    }

    /// Slow-down by one core of a class, relative to the baseline.
    pub fn score(&self, class: &str) -> Option<f64> {
        self.classes.get(class).map(|index| self.values[*index] / self.values[0])
    }

    /// Mean error of the latest predictions, relative to the baseline.
    pub fn error(&self) -> f64 {
        self.error / self.values[0]
    }

    /// Learns from the latency measured `elapsed` seconds after the last one, beside these cores.
    pub fn learn(&mut self, elapsed: f64, lag: f64, latency: f64, cores: &BTreeMap<String, f64>) {
        self.show(elapsed, lag, cores);
        self.drift(elapsed);
        let products = self.products();
        let spread: f64 = products.iter().zip(&self.shown).map(|(one, two)| one * two).sum();
        let total = spread + MEASUREMENT.powi(2);
        let gains: Vec<f64> = products.iter().map(|product| product / total).collect();
        let predicted: f64 = self.values.iter().zip(&self.shown).map(|(one, two)| one * two).sum();
        let error = latency / self.unit - predicted;
        let weight = 1.0 - (-elapsed / (2.0 * lag)).exp();
        self.error += (error - self.error) * weight;
        self.surprise += (error / total.sqrt() - self.surprise) * weight;
        for (value, gain) in self.values.iter_mut().zip(&gains) {
            *value = (*value + gain * error).max(0.0);
        }
        self.values[0] = self.values[0].max(0.01);
        self.update_covariance(&gains, &products);
    }

    /// Lets the cores follow with the lag of the latency.
    fn show(&mut self, elapsed: f64, lag: f64, cores: &BTreeMap<String, f64>) {
        for (class, cores) in cores.iter().filter(|(_, cores)| **cores > 0.0) {
            if !self.classes.contains_key(class) {
                self.add(class, cores.max(LEAST_CORES));
            }
        }
        let weight = 1.0 - (-elapsed / lag).exp();
        for (class, index) in &self.classes {
            let now = cores.get(class).copied().unwrap_or(0.0);
            self.shown[*index] += (now - self.shown[*index]) * weight;
            self.largest[*index] = self.largest[*index].max(now);
        }
        self.bound_covariance();
    }

    /// Reduces what is unknown of a score when its class grows: the bound is on the slow-down by
    /// the whole class, and a first task may be small.
    fn bound_covariance(&mut self) {
        for index in 1..self.values.len() {
            let most = (UNKNOWN / self.largest[index]).powi(2);
            let variance = self.covariance[index][index];
            if variance > most {
                let factor = (most / variance).sqrt();
                self.covariance[index].iter_mut().for_each(|value| *value *= factor);
                self.covariance.iter_mut().for_each(|row| row[index] *= factor);
            }
        }
    }

    fn add(&mut self, class: &str, cores: f64) {
        let index = self.values.len();
        self.classes.insert(class.to_owned(), index);
        self.values.push(0.0);
        self.shown.push(0.0);
        self.largest.push(cores);
        for row in &mut self.covariance {
            row.push(0.0);
        }
        let mut row = vec![0.0; index + 1];
        row[index] = (UNKNOWN / cores).powi(2);
        self.covariance.push(row);
    }

    fn drift(&mut self, elapsed: f64) {
        let jump = self.error.abs() > JUMP && self.surprise.abs() > SURPRISE;
        self.covariance[0][0] += BASELINE_DRIFT.powi(2) * elapsed;
        if jump {
            self.covariance[0][0] += BASELINE_JUMP.powi(2) * elapsed;
        }
        for index in 1..self.values.len() {
            let part = if jump { SCORE_JUMP } else { SCORE_DRIFT };
            let least = SLOWDOWN_DRIFT / self.largest[index];
            let drift = (part * self.values[index]).max(least);
            self.covariance[index][index] += drift.powi(2) * elapsed;
        }
    }

    fn products(&self) -> Vec<f64> {
        let row = |row: &Vec<f64>| row.iter().zip(&self.shown).map(|(one, two)| one * two).sum();
        self.covariance.iter().map(row).collect()
    }

    fn update_covariance(&mut self, gains: &[f64], products: &[f64]) {
        for (row, gain) in self.covariance.iter_mut().zip(gains) {
            for (value, product) in row.iter_mut().zip(products) {
                *value -= gain * product;
            }
        }
    }
}
