//! Smoothed service time of an upstream.

use std::time::Duration;

/// Weights of a new sample, as in the retransmission timer of TCP (RFC 6298).
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Deviations above the mean that an accepted request is allowed to need.
const HIGH_DEVIATIONS: f64 = 2.0;

/// Exponentially smoothed mean and deviation.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceTime {
    /// Mean and mean deviation, in seconds; `None` before the first sample.
    smoothed: Option<(f64, f64)>,
}

impl ServiceTime {
    /// Takes the service time of one request.
    pub fn add(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        self.smoothed = Some(match self.smoothed {
            None => (sample, sample / 2.0),
            Some((mean, deviation)) => (
                mean + MEAN_WEIGHT * (sample - mean),
                deviation + DEVIATION_WEIGHT * ((sample - mean).abs() - deviation),
            ),
        });
    }

    /// Smoothed mean; zero before the first sample.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.smoothed.map_or(0.0, |(mean, _)| mean))
    }

    /// Time that most requests do not exceed.
    pub fn high(&self) -> Duration {
        let high = |(mean, deviation)| mean + HIGH_DEVIATIONS * deviation;
        Duration::from_secs_f64(self.smoothed.map_or(0.0, high))
    }
}
