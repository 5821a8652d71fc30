//! Paces of the fill tasks of one worker, from the tails of the tasks beside them.
//!
//! A look tells the tails and the processors in use over the same half second. What the fill tasks
//! are expected to have added to each tail at that use, and the room left up to the aim, is what
//! they may add next. Those that disturb least get their share of it first.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::interference::INITIAL_WEIGHT;
use super::message::{Image, Pressure, WEIGHT_SCALE};
use super::model::TaskId;
use crate::time::Time;

/// Tail to aim for, as a fraction of the target: the figures are half a second old, and the load
/// swings by half within seven seconds, about a twentieth of the target between two figures.
const TARGET_FRACTION: f64 = 0.84;
/// Part of the room left that is used at once: weights are learned and may be too low.
const BUDGET_FRACTION: f64 = 0.5;
/// Rise of the logarithm of a tail that fill tasks may always cause, unless the target is exceeded
/// for long: less than what a figure can show.
const MIN_BUDGET: f64 = 0.01;
/// Time over the target after which fill tasks stop altogether, half of what users bear.
const MAX_OVER_TARGET: Duration = Duration::from_secs(2);
/// Lowest weight: learned ones are rough.
const MIN_WEIGHT: f64 = 0.02;
/// Limits of the correction of the weights that is learned on this worker.
const MIN_GAIN: f64 = 0.3;
const MAX_GAIN: f64 = 5.0;
/// Share of a newly seen correction in the learned one.
const GAIN_SMOOTHING: f64 = 0.3;
/// Expected change of the logarithm of a tail from which the seen one tells the correction.
const MIN_LEARNING_RISE: f64 = 0.1;
/// Paces below this make no useful progress.
const MIN_PACE: u32 = 4;

/// A serving task with its figures.
#[derive(Debug, Clone, Copy)]
pub struct ServingTask {
    pub task: TaskId,
    pub image: Image,
    pub tail_ms: u64,
    pub target_ms: u32,
}

/// A fill task with its figures, in thousandths of a core.
#[derive(Debug, Clone, Copy)]
pub struct BestEffortTask {
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
    pub fn set_weight(&mut self, serving: Image, best_effort: Image, weight: u32) {
        self.weights.insert((serving, best_effort), f64::from(weight) / WEIGHT_SCALE);
    }

    fn weight(&self, serving: Image, best_effort: Image) -> f64 {
        let known = self.weights.get(&(serving, best_effort)).copied().unwrap_or(INITIAL_WEIGHT);
        known.max(MIN_WEIGHT) * self.gain
    }

    /// Takes the figures of a look at a worker of `room` thousandths of a core; returns the pace of
    /// each fill task in percent.
    pub fn observe(
        &mut self,
        now: Time,
        capacity: u64,
        serving: &[ServingTask],
        tasks: &[BestEffortTask],
    ) -> Vec<(TaskId, u32)> {
        let capacity = capacity.max(1) as f64;
        let groups = self.groups(capacity, serving, tasks);
        self.learn(&groups);
        let worst = groups.iter().map(|group| group.tail).fold(f64::NEG_INFINITY, f64::max);
        self.over_since = match worst >= 0.0 {
            true => Some(self.over_since.unwrap_or(now)),
            false => None,
        };
        let min_budget = match self.over_since.is_some_and(|since| now >= since + MAX_OVER_TARGET) {
            true => 0.0,
            false => MIN_BUDGET,
        };
        self.groups = groups;
        for group in &mut self.groups {
            let left = TARGET_FRACTION.ln() - group.tail;
            let left = if left > 0.0 { left * BUDGET_FRACTION } else { left };
            group.budget = (group.rise + left).max(min_budget);
        }
        let paces = self.divide_budget(capacity, tasks);
        let wanted: u64 = tasks.iter().map(|task| task.cpu).sum();
        let given: u64 =
            paces.iter().zip(tasks).map(|((_, pace), task)| u64::from(*pace) * task.cpu).sum();
        self.pressure = Pressure {
            level: given.checked_div(wanted).unwrap_or(100) as u32,
            tail_percent: (worst.exp() * 100.0) as u32,
        };
        paces
    }

    fn groups(
        &self,
        capacity: f64,
        serving: &[ServingTask],
        tasks: &[BestEffortTask],
    ) -> Vec<Group> {
        let mut tails: BTreeMap<Image, f64> = BTreeMap::new();
        for row in serving.iter().filter(|row| row.tail_ms > 0 && row.target_ms > 0) {
            let tail = (row.tail_ms as f64 / f64::from(row.target_ms)).ln();
            let worst = tails.entry(row.image).or_insert(tail);
            *worst = worst.max(tail);
        }
        let group = |(image, tail)| {
            let added = |task: &BestEffortTask| {
                self.weight(image, task.image) * task.used as f64 / capacity
            };
            Group { image, tail, rise: tasks.iter().map(added).sum(), budget: 0.0 }
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
        if let Some((expected, acknowledged)) =
            most.filter(|(rise, _)| rise.abs() >= MIN_LEARNING_RISE)
        {
            let gain = (self.gain * acknowledged / expected).clamp(MIN_GAIN, MAX_GAIN);
            self.gain += GAIN_SMOOTHING * (gain - self.gain);
        }
    }

    /// Divides the budgets among fill tasks: those that need the smallest part of them go first.
    fn divide_budget(&mut self, capacity: f64, tasks: &[BestEffortTask]) -> Vec<(TaskId, u32)> {
        let mut order: Vec<(f64, usize)> =
            tasks.iter().enumerate().map(|(n, task)| (self.budget_share(task.image), n)).collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut paces: Vec<(TaskId, u32)> = tasks.iter().map(|task| (task.task, 0)).collect();
        for (_, n) in order {
            paces[n].1 = self.take_budget(capacity, tasks[n].image, tasks[n].cpu);
        }
        paces
    }

    /// Largest part of a group's budget that an image needs for each processor.
    fn budget_share(&self, best_effort: Image) -> f64 {
        let part =
            |group: &Group| self.weight(group.image, best_effort) / group.budget.max(f64::EPSILON);
        self.groups.iter().map(part).fold(0.0, f64::max)
    }

    /// Takes what a fill task may add from the budgets; returns its pace in percent.
    fn take_budget(&mut self, capacity: f64, image: Image, cpu: u64) -> u32 {
        let share = cpu as f64 / capacity;
        let most = |group: &Group| group.budget / (self.weight(group.image, image) * share);
        let pace = self.groups.iter().map(most).fold(1.0, f64::min);
        let percent = (pace * 100.0) as u32;
        let percent = if percent < MIN_PACE { 0 } else { percent };
        for n in 0..self.groups.len() {
            let weight = self.weight(self.groups[n].image, image);
            let group = &mut self.groups[n];
            group.budget = (group.budget - weight * share * f64::from(percent) / 100.0).max(0.0);
        }
        percent
    }

    /// Returns the pace of a fill task that has just started, out of what the last look left.
    pub fn pace_new_task(&mut self, capacity: u64, image: Image, cpu: u64) -> u32 {
        self.take_budget(capacity.max(1) as f64, image, cpu)
    }

    /// How the serving tasks fare.
    pub fn pressure(&self) -> Pressure {
        self.pressure
    }

    /// Expected tails without fill tasks by serving image, in percent of the target.
    pub fn baselines(&self) -> Vec<(Image, u32)> {
        let tail = |group: &Group| ((group.tail - group.rise).exp() * 100.0) as u32;
        self.groups.iter().map(|group| (group.image, tail(group))).collect()
    }
}
