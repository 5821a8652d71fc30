//! Throttling of the best-effort tasks of one worker, based on the tail latencies of its serving
//! tasks.
//!
//! A listing reports tail latencies and CPU usage over the same half second. The budget of each
//! serving image is the rise that best-effort tasks are expected to have caused at that usage, plus
//! the distance to the intended tail latency. The budgets limit the paces for the next half second;
//! tasks that interfere least are paced first.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::interference::{INITIAL_WEIGHT, LIGHT_WEIGHT};
use super::message::{Image, Pressure, WEIGHT_SCALE};
use super::model::TaskId;
use crate::time::Time;

/// Intended tail latency as a fraction of its target. Listings are half a second old, and the load
/// varies by half within seven seconds, about 5 % of the target between two listings.
const TARGET_FRACTION: f64 = 0.84;
/// Fraction of the distance from a tail latency to the intended one that best-effort tasks may use
/// up from one listing to the next, because learned interference weights may be too low.
const BUDGET_FRACTION: f64 = 0.5;
/// Rise of the logarithm of a tail latency that best-effort tasks may always cause, unless the
/// target has been exceeded for longer than [`MAX_OVER_TARGET`]. It is too small to be measured.
const MIN_BUDGET: f64 = 0.01;
/// Rise of the logarithm of a tail latency that light pairs may cause beside a serving task that its
/// own load keeps near its target or above it. To stop them would hardly lower the tail latency, and
/// steps wait for the task that is stopped.
const LIGHT_BUDGET: f64 = 0.1;
/// Time for which a tail latency may exceed its target before all best-effort tasks on the worker
/// are stopped. It is half the time that users tolerate.
const MAX_OVER_TARGET: Duration = Duration::from_secs(2);
/// Time without best-effort work after which a tail latency above its target is not due to such work.
/// Requests that wait are served within it.
const CLEARING_TIME: Duration = Duration::from_secs(1);
/// CPU usage below which a best-effort task has stopped, in thousandths of a core.
const MIN_USED: u64 = 100;
/// Minimum interference weight, because learned weights are imprecise.
const MIN_WEIGHT: f64 = 0.02;
/// Minimum of the correction factor for interference weights that is learned on a worker.
const MIN_GAIN: f64 = 0.3;
/// Maximum of the correction factor for interference weights that is learned on a worker.
const MAX_GAIN: f64 = 5.0;
/// Smoothing factor of the correction factor for interference weights: the share of a new value.
const GAIN_SMOOTHING: f64 = 0.3;
/// Minimum expected change of the logarithm of a tail latency from which the correction factor for
/// interference weights is learned.
const MIN_LEARNING_RISE: f64 = 0.1;
/// Minimum pace in percent. Tasks make no useful progress at lower paces, so they are stopped.
const MIN_PACE: u32 = 4;

/// A serving task and its tail latency in a listing.
#[derive(Debug, Clone, Copy)]
pub struct ServingTask {
    pub task: TaskId,
    pub image: Image,
    /// Observed tail latency, in milliseconds; 0 if it is not known.
    pub tail_ms: u64,
    /// Target for the tail latency, in milliseconds.
    pub target_ms: u32,
}

/// A best-effort task and its CPU usage in a listing.
#[derive(Debug, Clone, Copy)]
pub struct BestEffortTask {
    pub task: TaskId,
    pub image: Image,
    /// Requested CPU in thousandths of a core.
    pub cpu: u64,
    /// CPU usage in thousandths of a core.
    pub used: u64,
}

/// The serving tasks of one image on the worker.
#[derive(Debug, Clone, Copy)]
struct Group {
    image: Image,
    /// Logarithm of the highest tail latency as a fraction of its target.
    tail: f64,
    /// Part of `tail` that best-effort tasks are expected to cause.
    rise: f64,
    /// Rise of `tail` that is still available to best-effort tasks.
    budget: f64,
    /// Rise of `tail` that the paces given since the last listing are expected to cause.
    taken: f64,
}

/// Computes the paces of the best-effort tasks of one worker.
#[derive(Debug)]
pub struct Pacer {
    /// Interference weights that the owner has learned, by serving and best-effort image: the rise
    /// of the logarithm of the tail latency if the best-effort image uses all CPU of the worker.
    weights: HashMap<(Image, Image), f64>,
    /// Correction factor for all interference weights, learned on this worker.
    gain: f64,
    /// The worker's serving tasks in the last listing, grouped by image.
    groups: Vec<Group>,
    /// Since when a tail latency has been above its target, or above it without being due to best-effort
    /// tasks.
    over_since: Option<Time>,
    /// Since when best-effort tasks have used no CPU because of that.
    stopped_since: Option<Time>,
    /// Whether all best-effort tasks have to stop.
    must_stop: bool,
    /// Load on the worker in the last listing.
    pressure: Pressure,
}

impl Default for Pacer {
    fn default() -> Self {
        Pacer {
            weights: HashMap::new(),
            gain: 1.0,
            groups: Vec::new(),
            over_since: None,
            stopped_since: None,
            must_stop: false,
            pressure: Pressure::default(),
        }
    }
}

impl Pacer {
    /// Sets an interference weight that the owner has learned, in units of 1 / [`WEIGHT_SCALE`].
    pub fn set_weight(&mut self, serving: Image, best_effort: Image, weight: u32) {
        self.weights.insert((serving, best_effort), f64::from(weight) / WEIGHT_SCALE);
    }

    /// Returns the corrected interference weight of a pair of images.
    fn weight(&self, serving: Image, best_effort: Image) -> f64 {
        let known = self.weights.get(&(serving, best_effort)).copied().unwrap_or(INITIAL_WEIGHT);
        known.max(MIN_WEIGHT) * self.gain
    }

    /// Tells whether a pair of images, of which the owner has sent a weight, hardly interferes.
    fn is_light(&self, serving: Image, best_effort: Image) -> bool {
        self.weights.contains_key(&(serving, best_effort))
            && self.weight(serving, best_effort) <= LIGHT_WEIGHT
    }

    /// Updates the state from the tasks in a listing of a worker with `capacity` thousandths of a
    /// core. Returns the pace of each best-effort task in percent.
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
        self.check_target(now, worst, tasks);
        let min_budget = if self.must_stop { 0.0 } else { MIN_BUDGET };
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

    /// Decides whether all best-effort tasks have to stop: a tail latency has been above its target for
    /// too long. If it stays there without them, they may work for as long again, since the load of the
    /// serving tasks changes within seconds. `worst` is the logarithm of the highest tail latency as a
    /// fraction of its target.
    fn check_target(&mut self, now: Time, worst: f64, tasks: &[BestEffortTask]) {
        if worst < 0.0 {
            (self.over_since, self.stopped_since, self.must_stop) = (None, None, false);
            return;
        }
        let over_since = *self.over_since.get_or_insert(now);
        self.must_stop = now >= over_since + MAX_OVER_TARGET;
        let is_idle = tasks.iter().all(|task| task.used < MIN_USED);
        self.stopped_since = match self.must_stop && is_idle {
            true => Some(self.stopped_since.unwrap_or(now)),
            false => None,
        };
        if self.stopped_since.is_some_and(|since| now >= since + CLEARING_TIME) {
            (self.over_since, self.stopped_since, self.must_stop) = (Some(now), None, false);
        }
    }

    /// Groups the serving tasks by image; the budgets are not set yet.
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
            Group { image, tail, rise: tasks.iter().map(added).sum(), budget: 0.0, taken: 0.0 }
        };
        tails.into_iter().map(group).collect()
    }

    /// Updates the correction factor for interference weights from the serving image whose tail
    /// latency was expected to change the most since the last listing.
    fn learn(&mut self, groups: &[Group]) {
        let before = |group: &Group| self.groups.iter().find(|known| known.image == group.image);
        let changes = groups.iter().filter_map(|group| {
            let known = before(group)?;
            Some((group.rise - known.rise, group.tail - known.tail))
        });
        let most = changes.max_by(|a, b| a.0.abs().total_cmp(&b.0.abs()));
        if let Some((expected, observed)) = most.filter(|(rise, _)| rise.abs() >= MIN_LEARNING_RISE)
        {
            let gain = (self.gain * observed / expected).clamp(MIN_GAIN, MAX_GAIN);
            self.gain += GAIN_SMOOTHING * (gain - self.gain);
        }
    }

    /// Divides the budgets of all serving images among best-effort tasks, starting with the tasks
    /// that use up the smallest share of a budget per unit of CPU. Returns the pace of each task in
    /// percent.
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

    /// Returns the largest share of a serving image's budget that a best-effort image uses up per
    /// unit of CPU.
    fn budget_share(&self, best_effort: Image) -> f64 {
        let part =
            |group: &Group| self.weight(group.image, best_effort) / group.budget.max(f64::EPSILON);
        self.groups.iter().map(part).fold(0.0, f64::max)
    }

    /// Deducts the interference of a best-effort task that requests `cpu` thousandths of a core
    /// from the budgets of the serving images; returns the pace of the task in percent.
    fn take_budget(&mut self, capacity: f64, image: Image, cpu: u64) -> u32 {
        let share = cpu as f64 / capacity;
        let most = |group: &Group| {
            let budget = match self.is_light(group.image, image) && !self.must_stop {
                true => group.budget.max(LIGHT_BUDGET - group.taken),
                false => group.budget,
            };
            budget / (self.weight(group.image, image) * share)
        };
        let pace = self.groups.iter().map(most).fold(1.0, f64::min);
        let percent = (pace * 100.0) as u32;
        let percent = if percent < MIN_PACE { 0 } else { percent };
        for n in 0..self.groups.len() {
            let weight = self.weight(self.groups[n].image, image);
            let group = &mut self.groups[n];
            let rise = weight * share * f64::from(percent) / 100.0;
            group.taken += rise;
            group.budget = (group.budget - rise).max(0.0);
        }
        percent
    }

    /// Returns the pace in percent of a best-effort task that has just started, from what the tasks
    /// in the last listing left of the budgets. `capacity` and `cpu` are in thousandths of a core.
    pub fn pace_new_task(&mut self, capacity: u64, image: Image, cpu: u64) -> u32 {
        self.take_budget(capacity.max(1) as f64, image, cpu)
    }

    /// Returns the load on the worker in the last listing.
    pub fn pressure(&self) -> Pressure {
        self.pressure
    }

    /// Returns the estimated tail latencies without best-effort tasks by serving image, in percent
    /// of the target.
    pub fn baselines(&self) -> Vec<(Image, u32)> {
        let tail = |group: &Group| ((group.tail - group.rise).exp() * 100.0) as u32;
        self.groups.iter().map(|group| (group.image, tail(group))).collect()
    }
}
