//! Protection of a VM's service from batch work.
//!
//! The controller learns the service's latency without interference, and for each pair of service
//! and batch class how much throttling the class relieves the service. It acts on one class at a
//! time and waits two measurement lags for the effect before it acts again. A restore that brings
//! the interference back is undone, and the next one waits twice as long: under constant load the
//! number of reversals is therefore bounded.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::id::ServiceId;
use crate::time::Time;

pub mod calendar;

/// Latency above the baseline at which batch work is throttled. Below the target of 1.2, so that
/// the tail stays under it while an effect is awaited.
const HIGH: f64 = 1.15;
/// Latency below which a throttle is loosened.
const LOW: f64 = 1.08;
/// Smallest difference that counts; keeps the noise of very short latencies out.
const NOISE: Duration = Duration::from_micros(300);
/// Consecutive high samples before the first action.
const HIGH_SAMPLES: u32 = 2;
/// Speeds of a throttled class, in percent, from one step to the next.
const SPEEDS: [u8; 4] = [100, 50, 25, 10];
/// First wait before a restore, in lags. A throttle waits two lags.
const RESTORE_LAGS: u32 = 6;
const RESTORE_WAIT_MAX: Duration = Duration::from_secs(30 * 60);
/// Weight of a new observation of a pair.
const SCORE_WEIGHT: f64 = 0.4;
/// Score of a pair that was never observed.
const SCORE_UNKNOWN: f64 = 0.5;
/// Part of the excess that a throttle has to remove to count as the cause.
const SCORE_CAUSE: f64 = 0.15;
/// Slow-down, as seconds of doubled latency, that has to be saved by an eviction. Stands for the
/// work lost and the doubts that an eviction raises.
const EVICTION_COST: f64 = 30.0;
/// Time for which a class is not admitted after an eviction; doubles with each further one.
const HOLD: Duration = Duration::from_secs(120);
const HOLD_MAX: Duration = Duration::from_secs(60 * 60);
const BASELINE_WEIGHT: f64 = 0.2;
/// Weight by which the baseline follows load that batch work does not cause.
const BASELINE_DRIFT: f64 = 0.05;

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
    /// Wait before the next restore; doubles when a restore is undone.
    restore_wait: Duration,
    restored_at: Option<Time>,
    held_until: Time,
    hold: Duration,
    /// Throttling did not help lately; not a suspect until then.
    cleared_until: Time,
}

/// A throttle whose effect is awaited.
#[derive(Debug, Clone)]
struct Trial {
    class: String,
    before: f64,
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
    quiet_since: Option<Time>,
    last_sample: Option<Time>,
    trial: Option<Trial>,
    /// Time at which the last action is visible.
    settled_at: Time,
    /// Slow-down suffered with everything throttled, in seconds of doubled latency.
    debt: f64,
    classes: BTreeMap<String, ClassState>,
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
            quiet_since: None,
            last_sample: None,
            trial: None,
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

    /// Classes that are not admitted for now.
    pub fn held(&self, now: Time) -> BTreeSet<String> {
        let held = self.classes.iter().filter(|(_, state)| now < state.held_until);
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

    /// Learned interference of a class with the VM's service, from 0 (none) to 1.
    pub fn score(&self, class: &str) -> f64 {
        let key = (self.service.clone(), class.to_owned());
        self.scores.get(&key).copied().unwrap_or(SCORE_UNKNOWN)
    }

    /// Takes the measurements of a second and returns what to do.
    pub fn observe(&mut self, now: Time, sample: &Sample) -> Option<Decision> {
        let elapsed = now.saturating_sub(self.last_sample.unwrap_or(now)).as_secs_f64();
        self.last_sample = Some(now);
        if sample.latency.is_zero() {
            // Without requests there is nothing to protect, and nothing to learn from.
            self.high_samples = 0;
            return self.restore(now, sample);
        }
        self.latency = sample.latency.as_secs_f64();
        self.learn_baseline(sample);
        let high = self.latency > self.high_bound();
        self.high_samples = if high { self.high_samples + 1 } else { 0 };
        if high || self.latency > self.low_bound() {
            self.quiet_since = None;
        } else {
            self.quiet_since.get_or_insert(now);
        }
        self.judge_trial(now, sample);
        match high {
            true => self.act(now, elapsed.min(2.0), sample),
            false => {
                self.debt = 0.0;
                self.restore(now, sample)
            }
        }
    }

    fn reference(&self) -> f64 {
        self.baseline.unwrap_or(self.target.as_secs_f64() / HIGH)
    }

    fn high_bound(&self) -> f64 {
        let reference = self.reference();
        (reference * HIGH).max(reference + NOISE.as_secs_f64())
    }

    fn low_bound(&self) -> f64 {
        let reference = self.reference();
        (reference * LOW).max(reference + NOISE.as_secs_f64() / 2.0)
    }

    /// Learns from times without batch work, and from latencies below the baseline.
    fn learn_baseline(&mut self, sample: &Sample) {
        let calm = sample.classes.values().all(|load| load.tasks == 0);
        self.baseline = match self.baseline {
            None if calm => Some(self.latency),
            Some(known) if calm || self.latency < known => {
                Some(known + (self.latency - known) * BASELINE_WEIGHT)
            }
            known => known,
        };
    }

    /// Learns from a throttle once its effect is visible.
    fn judge_trial(&mut self, now: Time, sample: &Sample) {
        let due = self.trial.take_if(|trial| now >= trial.decide_at);
        let Some(trial) = due else { return };
        if !sample.classes.contains_key(&trial.class) {
            return;
        }
        let excess = (trial.before - self.reference()).max(f64::EPSILON);
        let relief = ((trial.before - self.latency) / excess).clamp(0.0, 1.0);
        let key = (self.service.clone(), trial.class.clone());
        let score = self.scores.entry(key).or_insert(SCORE_UNKNOWN);
        *score += (relief - *score) * SCORE_WEIGHT;
        let state = self.classes.entry(trial.class).or_default();
        let exhausted = state.step + 1 == SPEEDS.len();
        if relief < SCORE_CAUSE && exhausted && *score < SCORE_CAUSE {
            // Full throttle does not help: the load is the service's own.
            state.cleared_until = now + self.lag * 60;
        }
    }

    fn act(&mut self, now: Time, elapsed: f64, sample: &Sample) -> Option<Decision> {
        if self.high_samples < HIGH_SAMPLES || now < self.settled_at {
            return None;
        }
        if let Some(class) = self.suspect(now, sample) {
            return Some(self.throttle(now, class));
        }
        let culprit = self.culprit(now, sample);
        match culprit {
            None => {
                // Nothing on the VM explains the latency, so the baseline follows it.
                let known = self.reference();
                self.baseline = Some(known + (self.latency - known) * BASELINE_DRIFT);
                self.debt = 0.0;
                self.restore_cleared(now, sample)
            }
            Some(class) => {
                self.debt += (self.latency / self.reference() - 1.0) * elapsed * self.score(&class);
                match self.debt >= EVICTION_COST {
                    true => Some(self.evict(now, class)),
                    false => None,
                }
            }
        }
    }

    /// Class to throttle next: the one believed to interfere most. Urgent work comes last.
    fn suspect(&self, now: Time, sample: &Sample) -> Option<String> {
        let candidates = sample.classes.iter().filter(|(class, load)| {
            let state = self.classes.get(*class);
            let cleared = state.is_some_and(|state| now < state.cleared_until);
            let exhausted = state.is_some_and(|state| state.step + 1 == SPEEDS.len());
            load.tasks > 0 && !cleared && !exhausted
        });
        let weight = |class: &str, load: &ClassLoad| {
            let speed = f64::from(SPEEDS[self.classes.get(class).map_or(0, |state| state.step)]);
            self.score(class) * (load.cpu_milli.max(1) as f64) * speed
        };
        candidates
            .max_by(|(a, x), (b, y)| {
                y.urgent.cmp(&x.urgent).then(weight(a, x).total_cmp(&weight(b, y)))
            })
            .map(|(class, _)| class.clone())
    }

    /// Fully throttled class that is known to interfere.
    fn culprit(&self, now: Time, sample: &Sample) -> Option<String> {
        sample
            .classes
            .iter()
            .filter(|(class, load)| {
                let state = self.classes.get(*class);
                let cleared = state.is_some_and(|state| now < state.cleared_until);
                load.tasks > 0 && !load.urgent && !cleared && self.score(class) >= SCORE_CAUSE
            })
            .max_by(|(a, _), (b, _)| self.score(a).total_cmp(&self.score(b)))
            .map(|(class, _)| class.clone())
    }

    fn throttle(&mut self, now: Time, class: String) -> Decision {
        self.settled_at = now + self.lag * 2;
        self.trial =
            Some(Trial { class: class.clone(), before: self.latency, decide_at: self.settled_at });
        let first_wait = self.lag * RESTORE_LAGS;
        let state = self.classes.entry(class.clone()).or_default();
        state.step = (state.step + 1).min(SPEEDS.len() - 1);
        let wait = state.restore_wait.max(first_wait);
        state.restore_wait = match state.restored_at.take() {
            // The restore brought the interference back.
            Some(at) if now < at + wait => (wait * 2).min(RESTORE_WAIT_MAX),
            _ => wait,
        };
        Decision::Throttle { class, speed_percent: SPEEDS[state.step] }
    }

    fn evict(&mut self, now: Time, class: String) -> Decision {
        self.settled_at = now + self.lag * 2;
        self.debt = 0.0;
        let state = self.classes.entry(class.clone()).or_default();
        state.hold = (state.hold * 2).clamp(HOLD, HOLD_MAX);
        state.held_until = now + state.hold;
        Decision::Evict { class }
    }

    /// Loosens one throttle by one step after a quiet time.
    fn restore(&mut self, now: Time, sample: &Sample) -> Option<Decision> {
        if now < self.settled_at {
            return None;
        }
        let idle = sample.latency.is_zero();
        let quiet_for = match (idle, self.quiet_since) {
            (true, _) => None,
            (false, Some(since)) => Some(now.saturating_sub(since)),
            (false, None) => return None,
        };
        let due = |state: &ClassState| {
            let settled = state.restored_at.is_none_or(|at| now >= at + state.restore_wait);
            state.step > 0 && settled && quiet_for.is_none_or(|quiet| quiet >= state.restore_wait)
        };
        let class = self
            .classes
            .iter()
            .filter(|(_, state)| due(state))
            .min_by(|(a, _), (b, _)| self.score(a).total_cmp(&self.score(b)))
            .map(|(class, _)| class.clone())?;
        Some(self.loosen(now, class))
    }

    /// Lets classes go that turned out not to be the cause.
    fn restore_cleared(&mut self, now: Time, sample: &Sample) -> Option<Decision> {
        let class = self
            .classes
            .iter()
            .find(|(class, state)| {
                let present = sample.classes.contains_key(*class);
                state.step > 0 && (now < state.cleared_until || !present)
            })
            .map(|(class, _)| class.clone())?;
        Some(self.loosen(now, class))
    }

    fn loosen(&mut self, now: Time, class: String) -> Decision {
        self.settled_at = now + self.lag * 2;
        self.quiet_since = None;
        let state = self.classes.entry(class.clone()).or_default();
        state.step = state.step.saturating_sub(1);
        state.restored_at = Some(now);
        Decision::Restore { class, speed_percent: SPEEDS[state.step] }
    }
}
