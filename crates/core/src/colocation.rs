//! Protection of a VM's service from batch work.
//!
//! The controller learns the service's latency without interference, and for each pair of service
//! and batch class how much one task slows the service down. Each change of a speed is a trial: two
//! measurement lags later its effect corrects the score of the class. A throttle is loosened only
//! if the score predicts that the latency stays in bounds, and a restore that brings the
//! interference back is undone and the next one waits twice as long: under constant load the
//! number of reversals is therefore bounded.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::id::ServiceId;
use crate::time::Time;

pub mod calendar;

/// Latency above the baseline at which batch work is throttled. Below the target of 1.2, so that
/// the tail stays under it while an effect is awaited.
const HIGH: f64 = 1.15;
/// Predicted latency up to which a throttle is loosened.
const RESTORE_BELOW: f64 = 1.12;
/// Smallest difference that counts; keeps the noise of very short latencies out.
const NOISE: Duration = Duration::from_micros(300);
/// Consecutive high samples before the first action.
const HIGH_SAMPLES: u32 = 2;
/// Speeds of a throttled class, in percent, from one step to the next.
const SPEEDS: [u8; 4] = [100, 50, 25, 10];
/// First wait before a restore, in lags. A throttle waits two lags.
const RESTORE_LAGS: u32 = 6;
/// Time after a change of the running tasks until the latency shows all of it, in lags.
const STEADY_LAGS: u32 = 4;
/// Quiet time after which a throttle is loosened against the prediction, which may be out of date.
const EXPLORE_WAIT: Duration = Duration::from_secs(10 * 60);
const RESTORE_WAIT_MAX: Duration = Duration::from_secs(30 * 60);
/// Weight of a trial that changes the speed by half; others count in proportion.
const SCORE_WEIGHT: f64 = 0.4;
/// Score of a pair that was never observed: high, so that its first trial comes early.
const SCORE_UNKNOWN: f64 = 0.5;
/// Largest score; bounds what one measurement can do.
const SCORE_MAX: f64 = 20.0;
/// Slow-down by a class below which throttling it further is no use.
const NEGLIGIBLE: f64 = 0.02;
/// Slow-down by a fully throttled class from which on it may be evicted.
const HARMFUL: f64 = 0.05;
/// Slow-down, as seconds of doubled latency, that has to be saved by an eviction. Stands for the
/// work lost and the doubts that an eviction raises. With 30 s, a slow-down of 25 % that throttling
/// did not cure lasted for 3 min before each eviction.
const EVICTION_COST: f64 = 10.0;
/// Time for which a class is not admitted after an eviction; doubles with each further one.
const HOLD: Duration = Duration::from_secs(120);
const HOLD_MAX: Duration = Duration::from_secs(60 * 60);
/// Weight of a sample without batch work in the baseline.
const BASELINE_WEIGHT: f64 = 0.2;
/// Weight of a sample with batch work, after what the scores explain: in general, and while
/// nothing on the VM explains the latency.
const DRIFT: f64 = 0.01;
const DRIFT_UNEXPLAINED: f64 = 0.05;

/// Batch work of one class on the VM.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassLoad {
    pub tasks: u32,
    /// Processors used, in thousandths of a core.
    pub cpu_milli: u64,
    pub urgent: bool,
}

/// Measurements of about one second.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Sample {
    /// Zero if no request was measured.
    pub latency: Duration,
    pub classes: BTreeMap<String, ClassLoad>,
}

/// A decision of the controller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    Throttle {
        class: String,
        speed_percent: u8,
    },
    Restore {
        class: String,
        speed_percent: u8,
    },
    /// Evict the newest task of the class, with a checkpoint.
    Evict {
        class: String,
    },
}

#[derive(Debug, Clone, Default)]
struct ClassState {
    step: usize,
    urgent: bool,
    /// Wait before the next restore; doubles when a restore is undone.
    restore_wait: Duration,
    restored_at: Option<Time>,
    held_until: Time,
    hold: Duration,
}

/// A change of speed whose effect is awaited.
#[derive(Debug, Clone)]
struct Trial {
    class: String,
    tasks: u32,
    /// The latency was steady before, so that the change alone explains the difference.
    steady: bool,
    before: f64,
    /// Change of the share of full speed.
    change: f64,
    decide_at: Time,
}

/// Controller of one VM.
#[derive(Debug, Clone)]
pub struct Colocation {
    service: ServiceId,
    lag: Duration,
    target: Duration,
    /// Latency without interference, in seconds.
    baseline: Option<f64>,
    latency: f64,
    high_samples: u32,
    /// End of the last high latency.
    quiet_since: Time,
    last_sample: Option<Time>,
    /// Tasks of each class, and when they changed last.
    tasks: BTreeMap<String, u32>,
    tasks_changed: Time,
    trial: Option<Trial>,
    last_restored: Option<String>,
    /// Time at which the last action is visible.
    settled_at: Time,
    /// Slow-down suffered with everything throttled, in seconds of doubled latency.
    debt: f64,
    classes: BTreeMap<String, ClassState>,
    /// Slow-down by one task at full speed.
    scores: BTreeMap<(ServiceId, String), f64>,
}

impl Colocation {
    /// Builds the controller of a VM. `lag` is the lag of its measurements, `target` the latency
    /// to protect until one without interference is known.
    pub fn new(service: ServiceId, lag: Duration, target: Duration) -> Self {
        Colocation {
            service,
            lag,
            target,
            baseline: None,
            latency: 0.0,
            high_samples: 0,
            quiet_since: Duration::ZERO,
            last_sample: None,
            tasks: BTreeMap::new(),
            tasks_changed: Duration::ZERO,
            trial: None,
            last_restored: None,
            settled_at: Duration::ZERO,
            debt: 0.0,
            classes: BTreeMap::new(),
            scores: BTreeMap::new(),
        }
    }

    /// Sets the latency to protect while none without interference is known.
    pub fn set_target(&mut self, target: Duration) {
        self.target = target;
    }

    /// Speeds of the classes that are throttled, in percent.
    pub fn speeds(&self) -> BTreeMap<String, u8> {
        let throttled = self.classes.iter().filter(|(_, state)| state.step > 0);
        throttled.map(|(class, state)| (class.clone(), SPEEDS[state.step])).collect()
    }

    /// Classes that are not admitted for now: for a time after an eviction, and while one more task
    /// of a throttled class would slow the service down too much. Urgent classes are always
    /// admitted; other work is throttled for them.
    pub fn held(&self, now: Time) -> BTreeSet<String> {
        let known: f64 = self
            .tasks
            .iter()
            .filter_map(|(class, tasks)| {
                Some(self.known_score(class)? * f64::from(*tasks) * self.speed(class))
            })
            .sum();
        let crowded = |class: &str, state: &ClassState| {
            let more = self.known_score(class).unwrap_or(0.0) * self.speed(class);
            state.step > 0 && more >= NEGLIGIBLE / 2.0 && 1.0 + known + more > RESTORE_BELOW
        };
        let held = self
            .classes
            .iter()
            .filter(|(_, state)| !state.urgent)
            .filter(|(class, state)| now < state.held_until || crowded(class, state));
        held.map(|(class, _)| class.clone()).collect()
    }

    /// Slow-down of the service against its latency without interference, in percent.
    pub fn pressure_percent(&self) -> u32 {
        match self.baseline {
            Some(baseline) if baseline > 0.0 && self.latency > baseline => {
                ((self.latency / baseline - 1.0) * 100.0) as u32
            }
            _ => 0,
        }
    }

    /// Learned slow-down of the VM's service by one task of the class at full speed.
    pub fn score(&self, class: &str) -> f64 {
        self.known_score(class).unwrap_or(SCORE_UNKNOWN)
    }

    fn known_score(&self, class: &str) -> Option<f64> {
        self.scores.get(&(self.service.clone(), class.to_owned())).copied()
    }

    /// Takes the measurements of a second and returns what to do.
    pub fn observe(&mut self, now: Time, sample: &Sample) -> Option<Decision> {
        let elapsed = now.saturating_sub(self.last_sample.unwrap_or(now)).as_secs_f64();
        self.last_sample = Some(now);
        self.note_tasks(now, sample);
        if sample.latency.is_zero() {
            // Without requests there is nothing to protect, and nothing to learn from.
            self.high_samples = 0;
            self.trial = None;
            return self.restore(now, sample);
        }
        self.latency = sample.latency.as_secs_f64();
        self.learn_baseline(now, sample);
        self.judge_trial(now, sample);
        match self.latency > self.high_bound() {
            true => {
                self.high_samples += 1;
                self.quiet_since = now;
                self.act(now, elapsed.min(2.0), sample)
            }
            false => {
                self.high_samples = 0;
                self.debt = 0.0;
                self.restore(now, sample)
            }
        }
    }

    fn note_tasks(&mut self, now: Time, sample: &Sample) {
        for (class, load) in &sample.classes {
            self.classes.entry(class.clone()).or_default().urgent = load.urgent;
        }
        let counted = sample.classes.iter().map(|(class, load)| (class.clone(), load.tasks));
        let tasks: BTreeMap<String, u32> = counted.filter(|(_, tasks)| *tasks > 0).collect();
        if tasks != self.tasks {
            self.tasks = tasks;
            self.tasks_changed = now;
        }
    }

    fn reference(&self) -> f64 {
        self.baseline.unwrap_or(self.target.as_secs_f64() / HIGH)
    }

    fn high_bound(&self) -> f64 {
        let reference = self.reference();
        (reference * HIGH).max(reference + NOISE.as_secs_f64())
    }

    fn speed(&self, class: &str) -> f64 {
        let step = self.classes.get(class).map_or(0, |state| state.step);
        f64::from(SPEEDS[step]) / 100.0
    }

    fn is_exhausted(&self, class: &str) -> bool {
        self.classes.get(class).is_some_and(|state| state.step + 1 == SPEEDS.len())
    }

    /// Slow-down that the scores explain, relative to the baseline; `None` if a score is missing.
    fn explained(&self, sample: &Sample) -> Option<f64> {
        let parts =
            sample.classes.iter().filter(|(_, load)| load.tasks > 0).map(|(class, load)| {
                Some(self.known_score(class)? * f64::from(load.tasks) * self.speed(class))
            });
        parts.sum()
    }

    /// Learns from times without batch work, and slowly from what the scores leave unexplained.
    fn learn_baseline(&mut self, now: Time, sample: &Sample) {
        let Some(known) = self.baseline else {
            if sample.classes.values().all(|load| load.tasks == 0) {
                self.baseline = Some(self.latency);
            }
            return;
        };
        let weight = match self.explained(sample) {
            Some(0.0) => BASELINE_WEIGHT,
            // Lower than without any interference: the load has fallen.
            _ if self.latency < known * 0.95 => BASELINE_WEIGHT,
            Some(_) if now >= self.settled_at => DRIFT,
            _ => return,
        };
        let own = self.latency / (1.0 + self.explained(sample).unwrap_or(0.0));
        self.baseline = Some(known + (own - known) * weight);
    }

    /// Learns from a change of speed once its effect is visible.
    fn judge_trial(&mut self, now: Time, sample: &Sample) {
        let due = self.trial.take_if(|trial| now >= trial.decide_at);
        let Some(trial) = due else { return };
        let same = sample.classes.get(&trial.class).is_some_and(|load| load.tasks == trial.tasks);
        if !same || !trial.steady || trial.tasks == 0 {
            return;
        }
        let effect = (self.latency - trial.before) / self.reference();
        let observed = (effect / trial.change / f64::from(trial.tasks)).clamp(0.0, SCORE_MAX);
        let key = (self.service.clone(), trial.class);
        let weight = SCORE_WEIGHT * (trial.change.abs() / 0.5).min(1.0);
        self.scores
            .entry(key)
            .and_modify(|score| *score += (observed - *score) * weight)
            .or_insert(observed);
    }

    fn act(&mut self, now: Time, elapsed: f64, sample: &Sample) -> Option<Decision> {
        if self.high_samples < HIGH_SAMPLES || now < self.settled_at {
            return None;
        }
        if let Some(class) = self.suspect(now, sample) {
            return Some(self.throttle(now, class, sample));
        }
        let excess = self.latency / self.reference() - 1.0;
        match self.culprit(sample) {
            Some((class, harm)) => {
                self.debt += elapsed * harm.min(excess);
                (self.debt >= EVICTION_COST).then(|| self.evict(now, class))
            }
            None => {
                let own = self.latency / (1.0 + self.explained(sample).unwrap_or(0.0));
                let known = self.reference();
                self.baseline = Some(known + (own - known) * DRIFT_UNEXPLAINED);
                self.debt = 0.0;
                None
            }
        }
    }

    /// Class to throttle next: the one that was just restored, or the one believed to interfere
    /// most. Urgent work comes last.
    fn suspect(&self, now: Time, sample: &Sample) -> Option<String> {
        if let Some(class) = self.restored_just_now(now, sample) {
            return Some(class);
        }
        let harm = |class: &str, load: &ClassLoad| {
            self.score(class) * f64::from(load.tasks) * self.speed(class)
        };
        sample
            .classes
            .iter()
            .filter(|(class, load)| !self.is_exhausted(class) && harm(class, load) >= NEGLIGIBLE)
            .max_by(|(a, x), (b, y)| {
                y.urgent.cmp(&x.urgent).then(harm(a, x).total_cmp(&harm(b, y)))
            })
            .map(|(class, _)| class.clone())
    }

    /// Undoing the last restore, and not throttling another class, keeps two classes from taking
    /// turns.
    fn restored_just_now(&self, now: Time, sample: &Sample) -> Option<String> {
        let class = self.last_restored.as_ref()?;
        let state = self.classes.get(class)?;
        let recent = state.restored_at.is_some_and(|at| now < at + state.restore_wait);
        let present = sample.classes.get(class).is_some_and(|load| load.tasks > 0);
        (recent && present).then(|| class.clone())
    }

    /// Fully throttled class that slows the service most, with its slow-down.
    fn culprit(&self, sample: &Sample) -> Option<(String, f64)> {
        sample
            .classes
            .iter()
            .filter(|(class, load)| load.tasks > 0 && !load.urgent && self.is_exhausted(class))
            .map(|(class, load)| {
                let harm = self.score(class) * f64::from(load.tasks) * self.speed(class);
                (class.clone(), harm)
            })
            .filter(|(_, harm)| *harm >= HARMFUL)
            .max_by(|(_, one), (_, other)| one.total_cmp(other))
    }

    /// Changes the step of a class and begins a trial.
    fn change_step(&mut self, now: Time, class: &str, step: usize, sample: &Sample) -> u8 {
        let before = self.speed(class);
        self.settled_at = now + self.lag * 2;
        self.classes.entry(class.to_owned()).or_default().step = step;
        self.trial = Some(Trial {
            class: class.to_owned(),
            tasks: sample.classes.get(class).map_or(0, |load| load.tasks),
            steady: now >= self.tasks_changed + self.lag * STEADY_LAGS,
            before: self.latency,
            change: self.speed(class) - before,
            decide_at: self.settled_at,
        });
        SPEEDS[step]
    }

    fn throttle(&mut self, now: Time, class: String, sample: &Sample) -> Decision {
        let first_wait = self.lag * RESTORE_LAGS;
        let state = self.classes.entry(class.clone()).or_default();
        let step = (state.step + 1).min(SPEEDS.len() - 1);
        let wait = state.restore_wait.max(first_wait);
        state.restore_wait = match state.restored_at.take() {
            // The restore brought the interference back.
            Some(at) if now < at + RESTORE_WAIT_MAX => (wait * 2).min(RESTORE_WAIT_MAX),
            Some(_) => first_wait,
            None => wait,
        };
        let speed_percent = self.change_step(now, &class, step, sample);
        Decision::Throttle { class, speed_percent }
    }

    fn evict(&mut self, now: Time, class: String) -> Decision {
        self.settled_at = now + self.lag * 2;
        // Another eviction that turns out to be needed does not have to wait as long.
        self.debt = EVICTION_COST / 2.0;
        let state = self.classes.entry(class.clone()).or_default();
        state.hold = (state.hold * 2).clamp(HOLD, HOLD_MAX);
        state.held_until = now + state.hold;
        Decision::Evict { class }
    }

    /// Loosens one throttle by one step after a quiet time, if the latency will stay in bounds.
    fn restore(&mut self, now: Time, sample: &Sample) -> Option<Decision> {
        if now < self.settled_at {
            return None;
        }
        let harm = |class: &str| {
            let tasks = sample.classes.get(class).map_or(0, |load| load.tasks);
            self.score(class) * f64::from(tasks)
        };
        let fits = |class: &str, state: &ClassState| {
            let gain = f64::from(SPEEDS[state.step - 1]) / 100.0 - self.speed(class);
            let predicted = self.latency / self.reference() + harm(class) * gain;
            let unknown = sample.latency.is_zero() || self.known_score(class).is_none();
            unknown || predicted < RESTORE_BELOW
        };
        let due = |class: &str, state: &ClassState| {
            let since = self.quiet_since.max(state.restored_at.unwrap_or_default());
            let explore = EXPLORE_WAIT.max(state.restore_wait * 2);
            state.step > 0
                && now >= since + state.restore_wait
                && (fits(class, state) || now >= since + explore)
        };
        let (class, step) = self
            .classes
            .iter()
            .filter(|(class, state)| due(class, state))
            .min_by(|(a, _), (b, _)| harm(a).total_cmp(&harm(b)))
            .map(|(class, state)| (class.clone(), state.step - 1))?;
        let speed_percent = self.change_step(now, &class, step, sample);
        self.last_restored = Some(class.clone());
        self.classes.entry(class.clone()).or_default().restored_at = Some(now);
        Some(Decision::Restore { class, speed_percent })
    }
}
