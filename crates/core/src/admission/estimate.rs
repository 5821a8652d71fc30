//! Exponentially smoothed service time of an upstream.

use std::time::Duration;

/// Weight of a new sample in the mean. RFC 6298 uses 1/8 for the mean and 1/4 for the deviation of
/// round-trip times. With these the error of the mean, multiplied by the queue length, made 1% of
/// the accepted requests miss their deadline.
const MEAN_WEIGHT: f64 = 1.0 / 32.0;
/// Weight of a new sample in the mean deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 16.0;
/// Consecutive samples below half or above twice the mean after which the mean counts as outdated.
/// Exponentially distributed service times yield such a run by chance less than once in a thousand
/// samples.
const CHANGE_SAMPLES: u32 = 8;
/// Weight of a new sample while the mean counts as outdated.
const CHANGE_WEIGHT: f64 = 1.0 / 4.0;
/// Mean deviations above the mean at which [`ServiceTime::upper_bound`] lies, as in RFC 6298. With
/// 2, only 96% of the requests accepted with a deadline of 2.5 mean service times met it.
const HIGH_DEVIATIONS: f64 = 4.0;

/// Position of a sample relative to the mean.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Level {
    #[default]
    Near,
    /// Below half of the mean.
    Low,
    /// Above twice the mean.
    High,
}

/// Exponentially smoothed mean and mean deviation of service times.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceTime {
    /// Mean and mean deviation, in seconds; `None` before the first sample.
    smoothed: Option<(f64, f64)>,
    level: Level,
    /// Number of consecutive samples at `level`.
    run_length: u32,
}

impl ServiceTime {
    /// Adds the service time of one finished request.
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

    /// Returns the smoothed mean, or zero before the first sample.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.smoothed.map_or(0.0, |(mean, _)| mean))
    }

    /// Returns a service time that few requests exceed, or zero before the first sample.
    pub fn upper_bound(&self) -> Duration {
        let upper_bound = |(mean, deviation)| mean + HIGH_DEVIATIONS * deviation;
        Duration::from_secs_f64(self.smoothed.map_or(0.0, upper_bound))
    }

    /// Counts consecutive samples at the same level.
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
