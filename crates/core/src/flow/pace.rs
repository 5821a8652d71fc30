//! Share at which fill tasks of one worker work, from the tail latency of the tasks beside them.

use std::time::Duration;

use super::message::Pressure;
use crate::time::Time;

/// Tail to aim for, in percent of the target: the figures are half a second old, and the load
/// swings by half within seven seconds, about a twentieth of the target between two figures.
const AIM_PERCENT: f64 = 84.0;
/// Largest rise per settled figure.
const MOST_RISE: f64 = 25.0;
/// Share of the level that is kept at most when the target is exceeded.
const OVER_KEEP: f64 = 0.5;
/// Assumed and possible rise of the tail, in percent of its target, per percent of pace.
const FIRST_SLOPE: f64 = 1.0;
const LEAST_SLOPE: f64 = 0.1;
const MOST_SLOPE: f64 = 5.0;
/// Change of the level from which the change of the tail tells the slope.
const TELLING_CHANGE: f64 = 3.0;
/// Share of a newly seen slope in the learned one.
const LEARN: f64 = 0.5;
/// Levels below this make no useful progress.
const LEAST_LEVEL: u32 = 4;
/// Time until a figure shows the last change: half a second of averaging and the pace interval.
const SETTLE: Duration = Duration::from_millis(650);

/// Paces the fill tasks of one worker.
#[derive(Debug, Clone)]
pub struct Pacer {
    level: u32,
    tail_percent: u32,
    /// Rise of the tail per percent of pace, as learned.
    slope: f64,
    /// Level and tail before the last change.
    before: Option<(u32, f64)>,
    changed: Option<Time>,
}

impl Default for Pacer {
    fn default() -> Self {
        Pacer { level: 100, tail_percent: 0, slope: FIRST_SLOPE, before: None, changed: None }
    }
}

impl Pacer {
    /// Takes the tails and targets (in ms) of the serving tasks; returns the level in percent.
    pub fn observe(&mut self, now: Time, serving: impl Iterator<Item = (u64, u32)>) -> u32 {
        let worst = serving
            .filter(|(_, target)| *target > 0)
            .map(|(tail, target)| tail * 100 / u64::from(target))
            .max()
            .unwrap_or(0);
        self.tail_percent = worst.min(u64::from(u32::MAX)) as u32;
        if self.changed.is_some_and(|at| now < at + SETTLE) {
            return self.level;
        }
        self.learn();
        let level = match worst {
            0 => 100,
            _ => self.aim(worst as f64),
        };
        let level = if level < LEAST_LEVEL { 0 } else { level };
        if level != self.level {
            self.before = Some((self.level, worst as f64));
            self.level = level;
            self.changed = Some(now);
        }
        self.level
    }

    /// Returns the level at which the tail is expected to meet the aim.
    fn aim(&self, tail: f64) -> u32 {
        let level = f64::from(self.level);
        let change = ((AIM_PERCENT - tail) / self.slope).min(MOST_RISE);
        let aimed = (level + change).clamp(0.0, 100.0);
        let aimed = if tail >= 100.0 { aimed.min(level * OVER_KEEP) } else { aimed };
        aimed.round() as u32
    }

    /// Learns from what the last change has brought.
    fn learn(&mut self) {
        let Some((level, tail)) = self.before.take() else { return };
        let change = f64::from(self.level) - f64::from(level);
        if change.abs() >= TELLING_CHANGE && self.tail_percent > 0 {
            let seen = (f64::from(self.tail_percent) - tail) / change;
            self.slope += LEARN * (seen.clamp(LEAST_SLOPE, MOST_SLOPE) - self.slope);
        }
    }

    /// Level in force and the last tail.
    pub fn pressure(&self) -> Pressure {
        Pressure { level: self.level, tail_percent: self.tail_percent }
    }

    /// Level in force.
    pub fn level(&self) -> u32 {
        self.level
    }
}
