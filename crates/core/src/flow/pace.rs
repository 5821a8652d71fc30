//! Share at which fill tasks of one worker work, from the tail latency of the tasks beside them.

use std::time::Duration;

use crate::time::Time;

/// Share of the target from which fill tasks are slowed: leaves time for a figure that is half a
/// second old and for the next swing of the load.
const NEAR_PERCENT: u64 = 85;
/// Share of the target below which fill tasks are given more.
const CALM_PERCENT: u64 = 60;
/// Shares kept of the level when near and when over the target.
const NEAR_KEEP_PERCENT: u32 = 60;
const OVER_KEEP_PERCENT: u32 = 30;
/// Levels below this make no useful progress.
const LEAST_LEVEL: u32 = 8;
/// Step back up, per settled figure.
const RAISE: u32 = 15;
/// Time until a figure shows the last change: half a second of averaging and the pace interval.
const SETTLE: Duration = Duration::from_millis(650);

/// Paces the fill tasks of one worker.
#[derive(Debug, Clone)]
pub struct Pacer {
    level: u32,
    changed: Option<Time>,
}

impl Default for Pacer {
    fn default() -> Self {
        Pacer { level: 100, changed: None }
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
        let is_settled = self.changed.is_none_or(|at| now >= at + SETTLE);
        let level = match worst {
            _ if !is_settled => self.level,
            100.. => self.level * OVER_KEEP_PERCENT / 100,
            NEAR_PERCENT.. => self.level * NEAR_KEEP_PERCENT / 100,
            ..CALM_PERCENT => (self.level + RAISE).min(100),
            _ => self.level,
        };
        let level = if level < LEAST_LEVEL && worst >= CALM_PERCENT { 0 } else { level };
        if level != self.level {
            self.level = level;
            self.changed = Some(now);
        }
        self.level
    }

    /// Level in force.
    pub fn level(&self) -> u32 {
        self.level
    }
}
