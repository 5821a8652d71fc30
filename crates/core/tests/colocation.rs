//! Tests the colocation controller against a simulated VM with seeded random loads in virtual time.

#[path = "support/schedules.rs"]
mod schedules;

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use fastrand::Rng;
use peridotfold_core::colocation::{calendar, ClassLoad, Colocation, Decision, Sample};
use peridotfold_core::config::{Closing, Document, JobClass, Service};
use peridotfold_core::resources::Resources;

const SCHEDULES: u64 = 10_000;
/// Duration of the constant load in seconds.
const HOUR_S: u64 = 3_600;
/// Seconds without batch load at the start, in which the controller measures the baseline.
const WARM_UP_S: u64 = 60;

/// Returns the most reversals between throttle and restore that a class may have in an hour. The
/// first wait before a restore is 6 lags and doubles with each reverted restore, so an hour has room
/// for at most log2(3600 s / 6 lags) + 1 reverted restores.
fn reversal_bound(lag: Duration) -> u32 {
    let reverted = (HOUR_S as f64 / (lag.as_secs_f64() * 6.0)).log2().ceil() as u32 + 1;
    2 * reverted + 1
}

/// Returns the seconds in an hour in which the service may be slow. Each of three classes is
/// throttled in at most three steps, plus one for each reverted restore. A step takes two high
/// samples and two lags. If throttling does not suffice, at most 9 of 15 tasks have to be evicted,
/// because 6 tasks at a tenth of their speed add at most 18 %. The first eviction follows after 10 s
/// of doubled latency, which is 50 s at a slowdown of 20 %, and each further one after half of that.
/// The bounds are at most 10 % of the hour, or 17 % with evictions.
fn slow_bound(lag: Duration, throttling_suffices: bool) -> f64 {
    let reverted = (reversal_bound(lag) - 1) / 2;
    let steps = f64::from(3 * (3 + reverted));
    let throttling = steps * (2.0 + 2.0 * lag.as_secs_f64());
    throttling + if throttling_suffices { 0.0 } else { 50.0 + 8.0 * 25.0 }
}

/// Batch class on the simulated VM.
struct Class {
    tasks: u32,
    /// Slowdown of the service by one task at full speed, relative to the baseline.
    interference: f64,
    /// Evicted tasks, which start again once the class is admitted.
    evicted: u32,
    /// Tells whether the last change of the speed was a restore.
    last_rising: Option<bool>,
    /// Changes from throttle to restore or back.
    reversals: u32,
}

/// Simulated VM with its controller.
struct Model {
    rng: Rng,
    lag: Duration,
    /// Latency without batch load, in seconds.
    baseline: f64,
    /// Largest relative error of a measurement.
    noise: f64,
    /// Latency in seconds, smoothed with the measurement lag.
    smoothed: f64,
    classes: BTreeMap<String, Class>,
    controller: Colocation,
    evictions: u32,
    /// Seconds in which the true latency exceeded 1.2 times the baseline.
    slow_seconds: u64,
    /// Work done by batch tasks, in task-seconds at full speed.
    throughput: f64,
}

impl Model {
    fn new(seed: u64, interference: std::ops::Range<f64>) -> Model {
        let mut rng = Rng::with_seed(seed);
        let lag = Duration::from_millis(rng.u64(500..4_000));
        let baseline = 0.002 + rng.f64() * 0.03;
        let names = ["rebuild", "report", "watch"];
        let count = rng.usize(1..4);
        let classes = names[..count].iter().map(|name| {
            let width = interference.end - interference.start;
            let class = Class {
                tasks: rng.u32(1..6),
                interference: interference.start + rng.f64() * width,
                evicted: 0,
                last_rising: None,
                reversals: 0,
            };
            ((*name).to_owned(), class)
        });
        Model {
            lag,
            baseline,
            noise: 0.02,
            smoothed: baseline,
            classes: classes.collect(),
            controller: Colocation::new(lag, Duration::from_millis(50)),
            evictions: 0,
            slow_seconds: 0,
            throughput: 0.0,
            rng,
        }
    }

    /// Returns the latency in seconds without lag and noise, with or without batch load.
    fn true_latency(&self, batch: bool) -> f64 {
        let speeds = self.controller.speeds();
        let slowdown = |(name, class): (&String, &Class)| {
            let speed = f64::from(speeds.get(name).copied().unwrap_or(100)) / 100.0;
            f64::from(class.tasks) * class.interference * speed
        };
        let sum: f64 = self.classes.iter().map(slowdown).sum();
        self.baseline * (1.0 + if batch { sum } else { 0.0 })
    }

    /// Simulates one second.
    fn second(&mut self, second: u64, batch: bool) {
        let now = Duration::from_secs(second);
        let latency = self.true_latency(batch);
        if batch && latency > 1.2 * self.baseline {
            self.slow_seconds += 1;
        }
        let weight = 1.0 - (-1.0 / self.lag.as_secs_f64()).exp();
        self.smoothed += (latency - self.smoothed) * weight;
        let noise = 1.0 + (self.rng.f64() * 2.0 - 1.0) * self.noise;
        let speeds = self.controller.speeds();
        let mut loads = BTreeMap::new();
        for (name, class) in self.classes.iter().filter(|_| batch) {
            let speed = u64::from(speeds.get(name).copied().unwrap_or(100));
            self.throughput += f64::from(class.tasks) * speed as f64 / 100.0;
            let cpu_milli = u64::from(class.tasks) * 10 * speed;
            loads.insert(name.clone(), ClassLoad { tasks: class.tasks, cpu_milli, urgent: false });
        }
        let sample =
            Sample { latency: Duration::from_secs_f64(self.smoothed * noise), classes: loads };
        if let Some(decision) = self.controller.observe(now, &sample) {
            self.apply(decision);
        }
        let blocked_classes = self.controller.blocked_classes(now);
        for (name, class) in &mut self.classes {
            if !blocked_classes.contains(name) {
                class.tasks += std::mem::take(&mut class.evicted);
            }
        }
    }

    fn apply(&mut self, decision: Decision) {
        let (class, rising) = match decision {
            Decision::Throttle { class, .. } => (class, false),
            Decision::Restore { class, .. } => (class, true),
            Decision::Evict { class } => {
                self.evictions += 1;
                let class = self.classes.get_mut(&class).unwrap();
                class.tasks -= 1;
                class.evicted += 1;
                return;
            }
        };
        let class = self.classes.get_mut(&class).unwrap();
        if class.last_rising.is_some_and(|before| before != rising) {
            class.reversals += 1;
        }
        class.last_rising = Some(rising);
    }

    fn run(&mut self, seconds: u64) {
        for second in 0..WARM_UP_S {
            self.second(second, false);
        }
        for second in WARM_UP_S..WARM_UP_S + seconds {
            self.second(second, true);
        }
    }

    fn reversals(&self) -> u32 {
        self.classes.values().map(|class| class.reversals).max().unwrap_or(0)
    }
}

fn for_each_seed(default: u64, check: impl Fn(u64) + Sync) {
    schedules::run(default, |seed| {
        check(seed);
        1
    });
}

/// Guards against oscillation between throttling and restoring under constant load, a service that
/// stays slow, and evictions where throttling suffices.
#[test]
fn constant_load_settles_without_oscillation() {
    for_each_seed(SCHEDULES, |seed| {
        let mut model = Model::new(seed, 0.0..0.3);
        model.run(HOUR_S);
        let bound = reversal_bound(model.lag);
        let reversals = model.reversals();
        assert!(reversals <= bound, "{reversals} reversals, bound {bound}, lag {:?}", model.lag);
        let slowdown_at_floor: f64 = model
            .classes
            .values()
            .map(|class| f64::from(class.tasks + class.evicted) * class.interference * 0.1)
            .sum();
        let throttling_suffices = slowdown_at_floor < 0.1;
        assert!(
            !throttling_suffices || model.evictions == 0,
            "evicted, but full throttle is enough"
        );
        let slow_fraction = model.slow_seconds as f64 / HOUR_S as f64;
        let allowed = slow_bound(model.lag, throttling_suffices) / HOUR_S as f64;
        assert!(slow_fraction <= allowed, "slow for {:.1} % of the hour", slow_fraction * 100.0);
    });
}

/// Guards against a class that stays on the VM although throttling it does not suffice, and against
/// repeated evictions of the same tasks.
#[test]
fn harmful_class_is_evicted_when_throttling_fails() {
    for_each_seed(SCHEDULES, |seed| {
        let mut model = Model::new(seed, 4.0..8.0);
        model.run(HOUR_S);
        assert!(model.evictions > 0, "a service slowed by 40 % and more is left alone");
        // After an eviction the class is blocked for 120 s, which doubles with each further one.
        let tasks: u32 = model.classes.values().map(|class| class.tasks + class.evicted).sum();
        assert!(model.evictions <= tasks * 6, "{} evictions of {tasks} tasks", model.evictions);
        assert!(model.reversals() <= reversal_bound(model.lag));
    });
}

/// Guards against batch tasks that stay throttled after a rise in latency that they do not cause.
#[test]
fn harmless_work_runs_at_full_speed_again_after_the_services_own_load_rises() {
    for_each_seed(SCHEDULES, |seed| {
        let mut model = Model::new(seed, 0.0..1e-9);
        model.run(300);
        model.baseline *= 1.5;
        for second in WARM_UP_S + 300..WARM_UP_S + 300 + HOUR_S {
            model.second(second, true);
        }
        assert_eq!(model.evictions, 0, "evicted harmless work");
        assert!(model.controller.speeds().is_empty(), "still throttled after an hour");
    });
}

/// Returns a wall-clock time, in seconds after a fixed start.
fn at(seconds: u64) -> SystemTime {
    humantime::parse_rfc3339("2026-12-31T20:00:00Z").unwrap() + Duration::from_secs(seconds)
}

/// Guards against a closing that begins before the VM has been cleared of batch tasks, or never ends.
#[test]
fn closing_limits_apply_from_the_lead_time_to_the_end() {
    let service = Service {
        teams: Vec::new(),
        limit: Resources::new(10_000, 20_000, 0),
        slots: 8,
        connections: 60,
        queue: 32,
        timeout_ms: 2_000,
        target_ms: 50,
    };
    let closing = Closing {
        start: "2026-12-31T20:10:00Z".into(),
        end: "2026-12-31T21:00:00Z".into(),
        lead_s: 400,
        services: vec!["bidding".into()],
        classes: vec!["report".into()],
        batch_limit: Resources::new(1_000, 1_000, 0),
    };
    let document = Document {
        services: BTreeMap::from([("bidding".to_owned(), service)]),
        classes: BTreeMap::from([(
            "report".to_owned(),
            JobClass { limit: Resources::new(2_000, 2_000, 0), urgent: false },
        )]),
        closings: BTreeMap::from([("year-end".to_owned(), closing)]),
        ..Document::default()
    };
    let enforced = |seconds| {
        calendar::limits(&document, "bidding", at(seconds)).closing.map(|closing| closing.enforced)
    };
    assert_eq!(enforced(199), None);
    assert_eq!(enforced(200), Some(false));
    assert_eq!(enforced(499), Some(false));
    assert_eq!(enforced(500), Some(true));
    assert_eq!(enforced(3_599), Some(true));
    assert_eq!(enforced(3_600), None);
    assert_eq!(calendar::limits(&document, "listings", at(600)).closing, None);
}
