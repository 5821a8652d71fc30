//! Paces of the fill tasks of one worker, from the tails of the tasks beside them.
//!
//! A look tells the tails and the processors in use over the same half second. What the fill tasks
//! are expected to have added to each tail at that use, and the room left up to the aim, is what
//! they may add next. Those that disturb least get their share of it first.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::message::{Image, Pressure, WEIGHT_SCALE};
use super::model::TaskId;
use super::press::FIRST_WEIGHT;
use crate::time::Time;

/// Tail to aim for, as a fraction of the target: the figures are half a second old, and the load
/// swings by half within seven seconds, about a twentieth of the target between two figures.
const AIM: f64 = 0.84;
/// Part of the room left that is used at once: weights are learned and may be too low.
const CAUTION: f64 = 0.5;
/// Rise of the logarithm of a tail that fill tasks may always cause, unless the target is exceeded
/// for long: less than what a figure can show.
const SPARE_RISE: f64 = 0.01;
/// Time over the target after which fill tasks stop altogether, half of what users bear.
const LONGEST_OVER: Duration = Duration::from_secs(2);
/// Lowest weight: learned ones are rough.
const LEAST_WEIGHT: f64 = 0.02;
/// Limits of the correction of the weights that is learned on this worker.
const LEAST_GAIN: f64 = 0.3;
const MOST_GAIN: f64 = 5.0;
/// Share of a newly seen correction in the learned one.
const LEARN: f64 = 0.3;
/// Expected change of the logarithm of a tail from which the seen one tells the correction.
const TELLING_RISE: f64 = 0.1;
/// Paces below this make no useful progress.
const LEAST_PACE: u32 = 4;

/// A serving task with its figures.
#[derive(Debug, Clone, Copy)]
pub struct Serving {
    pub task: TaskId,
    pub image: Image,
    pub tail_ms: u64,
    pub target_ms: u32,
}

/// A fill task with its figures, in thousandths of a core.
#[derive(Debug, Clone, Copy)]
pub struct Fill {
    pub task: TaskId,
    pub image: Image,
    pub cpu: u64,
    pub used: u64,
}

/// Serving tasks of one image.
#[derive(Debug, Clone, Copy)]
struct Group {
    image: Image,
    /// Logarithm of the highest tail as a fraction of its target.
    tail: f64,
    /// Expected part of it by fill tasks.
    rise: f64,
    /// What fill tasks may still add.
    budget: f64,
}

/// Paces the fill tasks of one worker.
#[derive(Debug)]
pub struct Pacer {
    weights: HashMap<(Image, Image), f64>,
    /// Correction of all weights.
    gain: f64,
    groups: Vec<Group>,
    over_since: Option<Time>,
    pressure: Pressure,
}

impl Default for Pacer {
    fn default() -> Self {
        Pacer {
            weights: HashMap::new(),
            gain: 1.0,
            groups: Vec::new(),
            over_since: None,
            pressure: Pressure::default(),
        }
    }
}

impl Pacer {
    /// Takes a weight that the owner has learned.
    pub fn know(&mut self, serving: Image, fill: Image, weight: u32) {
        self.weights.insert((serving, fill), f64::from(weight) / WEIGHT_SCALE);
    }

    fn weight(&self, serving: Image, fill: Image) -> f64 {
        let known = self.weights.get(&(serving, fill)).copied().unwrap_or(FIRST_WEIGHT);
        known.max(LEAST_WEIGHT) * self.gain
    }

    /// Takes the figures of a look at a worker of `room` thousandths of a core; returns the pace of
    /// each fill task in percent.
    pub fn observe(
        &mut self,
        now: Time,
        room: u64,
        serving: &[Serving],
        fills: &[Fill],
    ) -> Vec<(TaskId, u32)> {
        let room = room.max(1) as f64;
        let groups = self.groups(room, serving, fills);
        self.learn(&groups);
        let worst = groups.iter().map(|group| group.tail).fold(f64::NEG_INFINITY, f64::max);
        self.over_since = match worst >= 0.0 {
            true => Some(self.over_since.unwrap_or(now)),
            false => None,
        };
        let spare = match self.over_since.is_some_and(|since| now >= since + LONGEST_OVER) {
            true => 0.0,
            false => SPARE_RISE,
        };
        self.groups = groups;
        for group in &mut self.groups {
            let left = AIM.ln() - group.tail;
            let left = if left > 0.0 { left * CAUTION } else { left };
            group.budget = (group.rise + left).max(spare);
        }
        let paces = self.allot(room, fills);
        let wanted: u64 = fills.iter().map(|fill| fill.cpu).sum();
        let given: u64 =
            paces.iter().zip(fills).map(|((_, pace), fill)| u64::from(*pace) * fill.cpu).sum();
        self.pressure = Pressure {
            level: given.checked_div(wanted).unwrap_or(100) as u32,
            tail_percent: (worst.exp() * 100.0) as u32,
        };
        paces
    }

    fn groups(&self, room: f64, serving: &[Serving], fills: &[Fill]) -> Vec<Group> {
        let mut tails: BTreeMap<Image, f64> = BTreeMap::new();
        for row in serving.iter().filter(|row| row.tail_ms > 0 && row.target_ms > 0) {
            let tail = (row.tail_ms as f64 / f64::from(row.target_ms)).ln();
            let worst = tails.entry(row.image).or_insert(tail);
            *worst = worst.max(tail);
        }
        let group = |(image, tail)| {
            let press = |fill: &Fill| self.weight(image, fill.image) * fill.used as f64 / room;
            Group { image, tail, rise: fills.iter().map(press).sum(), budget: 0.0 }
        };
        tails.into_iter().map(group).collect()
    }

    /// Learns how far the weights are off on this worker, from the group that changed most.
    fn learn(&mut self, groups: &[Group]) {
        let before = |group: &Group| self.groups.iter().find(|known| known.image == group.image);
        let changes = groups.iter().filter_map(|group| {
            let known = before(group)?;
            Some((group.rise - known.rise, group.tail - known.tail))
        });
        let most = changes.max_by(|a, b| a.0.abs().total_cmp(&b.0.abs()));
        if let Some((expected, seen)) = most.filter(|(rise, _)| rise.abs() >= TELLING_RISE) {
            let gain = (self.gain * seen / expected).clamp(LEAST_GAIN, MOST_GAIN);
            self.gain += LEARN * (gain - self.gain);
        }
    }

    /// Divides the budgets among fill tasks: those that need the smallest part of them go first.
    fn allot(&mut self, room: f64, fills: &[Fill]) -> Vec<(TaskId, u32)> {
        let mut order: Vec<(f64, usize)> =
            fills.iter().enumerate().map(|(n, fill)| (self.demand(fill.image), n)).collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut paces: Vec<(TaskId, u32)> = fills.iter().map(|fill| (fill.task, 0)).collect();
        for (_, n) in order {
            paces[n].1 = self.take(room, fills[n].image, fills[n].cpu);
        }
        paces
    }

    /// Largest part of a group's budget that an image needs for each processor.
    fn demand(&self, fill: Image) -> f64 {
        let part = |group: &Group| self.weight(group.image, fill) / group.budget.max(f64::EPSILON);
        self.groups.iter().map(part).fold(0.0, f64::max)
    }

    /// Takes what a fill task may add from the budgets; returns its pace in percent.
    fn take(&mut self, room: f64, image: Image, cpu: u64) -> u32 {
        let share = cpu as f64 / room;
        let most = |group: &Group| group.budget / (self.weight(group.image, image) * share);
        let pace = self.groups.iter().map(most).fold(1.0, f64::min);
        let percent = (pace * 100.0) as u32;
        let percent = if percent < LEAST_PACE { 0 } else { percent };
        for n in 0..self.groups.len() {
            let weight = self.weight(self.groups[n].image, image);
            let group = &mut self.groups[n];
            group.budget = (group.budget - weight * share * f64::from(percent) / 100.0).max(0.0);
        }
        percent
    }

    /// Returns the pace of a fill task that has just started, out of what the last look left.
    pub fn admit(&mut self, room: u64, image: Image, cpu: u64) -> u32 {
        self.take(room.max(1) as f64, image, cpu)
    }

    /// How the serving tasks fare.
    pub fn pressure(&self) -> Pressure {
        self.pressure
    }

    /// Expected tails without fill tasks by serving image, in percent of the target.
    pub fn alone(&self) -> Vec<(Image, u32)> {
        let tail = |group: &Group| ((group.tail - group.rise).exp() * 100.0) as u32;
        self.groups.iter().map(|group| (group.image, tail(group))).collect()
    }
}
