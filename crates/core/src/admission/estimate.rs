//! Smoothed service time of an upstream.

use std::time::Duration;

/// Weights of a new sample. With 1/8 and 1/4, as for round-trip times in RFC 6298, the error of the
/// mean, multiplied by the length of the queue, made 1% of the accepted requests late.
const MEAN_WEIGHT: f64 = 1.0 / 32.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 16.0;
/// Consecutive samples beyond half or twice the mean that show a changed level, and the weight of
/// samples from then on. Exponentially distributed service times yield such a run by chance once
/// in more than a thousand samples.
const CHANGE_SAMPLES: u32 = 8;
const CHANGE_WEIGHT: f64 = 1.0 / 4.0;
/// Deviations above the mean that an accepted request is allowed to need, as in RFC 6298. With 2,
/// only 96% of the requests accepted at a deadline of 2.5 mean service times met it.
const HIGH_DEVIATIONS: f64 = 4.0;

/// Where a sample lies from the mean.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Level {
    #[default]
    Near,
    /// Below half of the mean.
    Low,
    /// Above twice the mean.
    High,
}

/// Exponentially smoothed mean and deviation.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceTime {
    /// Mean and mean deviation, in seconds; `None` before the first sample.
    smoothed: Option<(f64, f64)>,
    level: Level,
    /// Consecutive samples at `level`.
    run_length: u32,
}

impl ServiceTime {
    /// Takes the service time of one request.
    pub fn add(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        let Some((mean, deviation)) = self.smoothed else {
            self.smoothed = Some((sample, sample / 2.0));
            return;
        };
        self.update_level(mean, sample);
        let changed = self.level != Level::Near && self.run_length >= CHANGE_SAMPLES;
        let (mean_weight, deviation_weight) = match changed {
            true => (CHANGE_WEIGHT, CHANGE_WEIGHT),
            false => (MEAN_WEIGHT, DEVIATION_WEIGHT),
        };
        self.smoothed = Some((
            mean + mean_weight * (sample - mean),
            deviation + deviation_weight * ((sample - mean).abs() - deviation),
        ));
    }

    /// Smoothed mean; zero before the first sample.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.smoothed.map_or(0.0, |(mean, _)| mean))
    }

    /// Time that most requests do not exceed.
    pub fn upper_bound(&self) -> Duration {
        let upper_bound = |(mean, deviation)| mean + HIGH_DEVIATIONS * deviation;
        Duration::from_secs_f64(self.smoothed.map_or(0.0, upper_bound))
    }

    fn update_level(&mut self, mean: f64, sample: f64) {
        let level = match sample {
            low if low < mean / 2.0 => Level::Low,
            high if high > mean * 2.0 => Level::High,
            _ => Level::Near,
        };
        self.run_length = if level == self.level { self.run_length.saturating_add(1) } else { 1 };
        self.level = level;
    }
}
