//! Share at which fill tasks of one worker work, from the tail latency of the tasks beside them.

use std::time::Duration;

use super::message::Pressure;
use crate::time::Time;

/// Shares of the target: over it, near it, and far enough below it to give fill tasks more. The
/// figures are half a second old and the load swings by half within seven seconds, about a
/// twentieth of the target between two figures.
const OVER_PERCENT: u64 = 100;
const NEAR_PERCENT: u64 = 92;
const CALM_PERCENT: u64 = 84;
const IDLE_PERCENT: u64 = 60;
/// Shares of the level that are kept when near and when over the target.
const NEAR_KEEP_PERCENT: u32 = 75;
const OVER_KEEP_PERCENT: u32 = 40;
/// Levels below this make no useful progress.
const LEAST_LEVEL: u32 = 5;
/// Steps back up, per settled figure.
const RAISE: u32 = 10;
const RAISE_IDLE: u32 = 30;
/// Time until a figure shows the last change: half a second of averaging and the pace interval.
const SETTLE: Duration = Duration::from_millis(650);

/// Paces the fill tasks of one worker.
#[derive(Debug, Clone)]
pub struct Pacer {
    level: u32,
    tail_percent: u32,
    changed: Option<Time>,
}

impl Default for Pacer {
    fn default() -> Self {
        Pacer { level: 100, tail_percent: 0, changed: None }
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
        let is_settled = self.changed.is_none_or(|at| now >= at + SETTLE);
        let level = match worst {
            0 => 100,
            _ if !is_settled => self.level,
            OVER_PERCENT.. => self.level * OVER_KEEP_PERCENT / 100,
            NEAR_PERCENT.. => self.level * NEAR_KEEP_PERCENT / 100,
            CALM_PERCENT.. => self.level,
            IDLE_PERCENT.. => (self.level + RAISE).min(100),
            _ => (self.level + RAISE_IDLE).min(100),
        };
        let level = if level < LEAST_LEVEL { 0 } else { level };
        if level != self.level {
            self.level = level;
            self.changed = Some(now);
        }
        self.level
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
