//! Tests of the capacity ledger: seeded random schedules on virtual time, and single cases.

#[path = "support/schedules.rs"]
mod schedules;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fastrand::Rng;
use peridotfold_core::ledger::{ClosingLimit, Ledger, LimitAction, Limits, Refusal, TaskDemand};
use peridotfold_core::message::report::{AttemptId, Token};
use peridotfold_core::resources::Resources;

/// Number of random schedules.
const SCHEDULES: u64 = 10_000;
/// Number of random steps in one schedule.
const STEPS: u64 = 150;
/// Rounds without growth and admissions after which no limit may be exceeded. Each task may need a
/// throttle, a wait of two measurement lags and a confirmed stop.
const SETTLE_ROUNDS: u64 = 400;
/// Simulated time between two steps.
const STEP_INTERVAL: Duration = Duration::from_millis(500);
/// Delay of usage measurements that the ledger allows for.
const MEASUREMENT_LAG: Duration = Duration::from_secs(1);
/// Resources of the VM.
const CAPACITY: Resources = Resources::new(16_000, 60_000, 2);
/// Resources set aside for the VM's service.
const SERVICE: Resources = Resources::new(10_000, 20_000, 0);
/// Limit of each class on the VM.
const CLASS_LIMIT: Resources = Resources::new(5_000, 30_000, 1);

fn id(number: u64) -> AttemptId {
    AttemptId { job: format!("j{number}"), task: 0, token: Token { epoch: 1, number } }
}

fn limits(closing: Option<ClosingLimit>) -> Limits {
    let classes = ["rebuild", "report", "watch"].map(|class| (class.to_owned(), CLASS_LIMIT));
    Limits { service: SERVICE, classes: BTreeMap::from(classes), closing }
}

/// Task that runs on the simulated worker.
struct Task {
    demand: TaskDemand,
    /// Actual usage at full speed, independent of the declared need.
    usage: Resources,
    /// Allowed speed, in percent of full speed.
    speed: u64,
    /// Time at which the task was throttled; `None` at full speed.
    throttled_at: Option<Duration>,
}

/// Simulated worker with its ledger.
struct World {
    rng: Rng,
    now: Duration,
    ledger: Ledger,
    /// Limits set in the ledger.
    limits: Limits,
    /// Admitted tasks whose reservation is not released yet.
    tasks: BTreeMap<AttemptId, Task>,
    /// Evicted attempts whose stop is not confirmed yet.
    stopping: BTreeSet<AttemptId>,
    /// Number of the next attempt.
    next_number: u64,
}

impl World {
    fn new(seed: u64) -> World {
        let mut ledger = Ledger::new(CAPACITY, MEASUREMENT_LAG);
        let refused = ledger.admit(
            id(0),
            TaskDemand {
                class: "rebuild".into(),
                need: Resources::new(1, 1, 0),
                urgent: false,
                measured: Resources::default(),
            },
        );
        assert_eq!(refused, Err(Refusal::NoConfiguration));
        ledger.set_limits(limits(None));
        World {
            rng: Rng::with_seed(seed),
            now: Duration::ZERO,
            ledger,
            limits: limits(None),
            tasks: BTreeMap::new(),
            stopping: BTreeSet::new(),
            next_number: 1,
        }
    }

    /// Returns the resources that the ledger has to reserve for all tasks: the larger of need and
    /// measured usage of each.
    fn expected_reserved(&self) -> Resources {
        let amounts = self.tasks.values().map(|task| task.demand.need.max(&task.demand.measured));
        amounts.fold(Resources::default(), |sum, amount| sum.plus(&amount))
    }

    /// Returns the sum of the declared needs of all tasks.
    fn declared(&self) -> Resources {
        let needs = self.tasks.values().map(|task| task.demand.need);
        needs.fold(Resources::default(), |sum, need| sum.plus(&need))
    }

    /// Returns the resources that the ledger has to reserve for the tasks of a class.
    fn expected_class_reserved(&self, class: &str) -> Resources {
        let tasks = self.tasks.values().filter(|task| task.demand.class == class);
        tasks.fold(Resources::default(), |sum, task| {
            sum.plus(&task.demand.need.max(&task.demand.measured))
        })
    }

    /// Performs a random action, then advances the simulation by one round.
    fn step(&mut self) {
        let percentile = self.rng.u8(..100);
        match percentile {
            75.. => {}
            _ if !schedules::step(|| format!("{:?} kind {percentile}", self.now)) => {}
            0..40 => self.admit_random(),
            40..60 => self.change_random_usage(),
            60..63 => self.change_random_closing(),
            63..66 => self.restart_agent(),
            _ => self.complete_random(),
        }
        self.run_round();
    }

    /// Advances the time, measures usage, enforces the limits and confirms stops.
    fn run_round(&mut self) {
        self.now += STEP_INTERVAL;
        self.record_usage();
        self.enforce_limits();
        self.confirm_stops();
        self.check_invariants();
    }

    /// Asks the ledger to admit a random task, and checks its decision.
    fn admit_random(&mut self) {
        let need = Resources::new(
            self.rng.u64(1..4_000),
            self.rng.u64(1..20_000),
            u64::from(self.rng.u8(..10) == 0),
        );
        let class = ["rebuild", "report", "watch"][self.rng.usize(..3)];
        let demand = TaskDemand {
            class: class.into(),
            need,
            urgent: self.rng.u8(..8) == 0,
            measured: Resources::default(),
        };
        let new = id(self.next_number);
        self.next_number += 1;
        let overcommitted = self.ledger.is_overcommitted();
        let result = self.ledger.admit(new.clone(), demand.clone());
        if overcommitted {
            assert!(
                matches!(result, Err(Refusal::Overcommitted | Refusal::NotInClosing)),
                "admitted while overcommitted: {result:?}"
            );
        }
        match result {
            Ok(()) => {
                let percent = self.rng.u64(20..400);
                let usage = Resources::new(need.cpu_milli * percent / 100, need.memory_mib, 0);
                let task = Task { demand: demand.clone(), usage, speed: 100, throttled_at: None };
                self.tasks.insert(new, task);
                let sum = self.expected_reserved();
                assert!(sum.fits_in(&CAPACITY.minus(&SERVICE)), "over capacity: {sum:?}");
                assert!(sum.fits_in(&self.batch_limit(demand.urgent)), "over the batch limit");
                assert!(
                    self.expected_class_reserved(class).fits_in(&CLASS_LIMIT),
                    "over the class limit"
                );
            }
            Err(Refusal::Capacity { need, available }) => assert!(!need.fits_in(&available)),
            Err(Refusal::ClassLimit { need, available }) => assert!(!need.fits_in(&available)),
            Err(Refusal::NotInClosing) => {
                let closing = self.limits.closing.as_ref().unwrap();
                assert!(!closing.classes.iter().any(|other| other == class));
            }
            Err(refusal) => {
                assert_eq!(refusal, Refusal::Overcommitted);
                let exceeds = !self.ledger.reserved().fits_in(&self.batch_limit(demand.urgent));
                assert!(overcommitted || exceeds, "refused without a reason");
            }
        }
    }

    /// Returns the expected capacity for batch work. A closing in preparation does not limit urgent
    /// work.
    fn batch_limit(&self, urgent: bool) -> Resources {
        match &self.limits.closing {
            Some(closing) if closing.enforced || !urgent => {
                CAPACITY.minus(&SERVICE).min(&closing.batch)
            }
            _ => CAPACITY.minus(&SERVICE),
        }
    }

    /// Changes the usage of a random task.
    fn change_random_usage(&mut self) {
        let index = self.rng.usize(..self.tasks.len().max(1));
        if let Some(task) = self.tasks.values_mut().nth(index) {
            task.usage = Resources::new(
                task.usage.cpu_milli * self.rng.u64(50..200) / 100,
                task.usage.memory_mib * self.rng.u64(80..150) / 100,
                task.usage.accelerators,
            );
        }
    }

    /// Sets limits with a random closing or none.
    fn change_random_closing(&mut self) {
        let closing = self.rng.bool().then(|| ClosingLimit {
            batch: Resources::new(self.rng.u64(500..6_000), self.rng.u64(500..40_000), 1),
            classes: if self.rng.bool() { vec!["report".into()] } else { Vec::new() },
            enforced: self.rng.bool(),
        });
        self.limits = limits(closing);
        self.ledger.set_limits(self.limits.clone());
    }

    /// Restarts the agent, which rebuilds its ledger from the running tasks.
    fn restart_agent(&mut self) {
        self.ledger = Ledger::new(CAPACITY, MEASUREMENT_LAG);
        self.ledger.set_limits(self.limits.clone());
        for (attempt, task) in &mut self.tasks {
            task.throttled_at = None;
            task.speed = 100;
            self.ledger.adopt(attempt.clone(), task.demand.clone());
        }
        self.stopping.clear();
    }

    /// Ends a random task.
    fn complete_random(&mut self) {
        let index = self.rng.usize(..self.tasks.len().max(1));
        if let Some(done) = self.tasks.keys().nth(index).cloned() {
            self.remove_task(&done);
        }
    }

    /// Removes a task that no longer runs, and releases its reservation.
    fn remove_task(&mut self, attempt: &AttemptId) {
        self.tasks.remove(attempt);
        self.stopping.remove(attempt);
        self.ledger.release(attempt);
        assert!(!self.ledger.holds(attempt));
    }

    /// Passes the measured usage of most tasks to the ledger.
    fn record_usage(&mut self) {
        for (attempt, task) in &mut self.tasks {
            if self.rng.u8(..100) < 70 {
                let cpu = task.usage.cpu_milli * task.speed / 100;
                let usage = Resources::new(cpu, task.usage.memory_mib, task.usage.accelerators);
                if !usage.is_zero() {
                    task.demand.measured = usage;
                }
                self.ledger.record_usage(self.now, attempt, usage);
            }
        }
    }

    /// Carries out the ledger's throttles, evictions and restores, and checks that each is allowed.
    fn enforce_limits(&mut self) {
        let overcommitted = self.ledger.is_overcommitted();
        for action in self.ledger.enforce_limits(self.now) {
            match action {
                LimitAction::Throttle(attempt) => {
                    assert!(overcommitted, "throttled with no limit exceeded");
                    assert!(!self.stopping.contains(&attempt));
                    let task = self.tasks.get_mut(&attempt).unwrap();
                    task.throttled_at = Some(self.now);
                    task.speed = 50;
                    assert_eq!(self.ledger.speed(&attempt), 50);
                }
                LimitAction::Evict(attempt) => {
                    let task = &self.tasks[&attempt];
                    let since = task.throttled_at.expect("evicted without a throttle");
                    assert!(
                        self.now >= since + MEASUREMENT_LAG * 2,
                        "evicted before the measurements show the throttle"
                    );
                    let before = self.ledger.reserved();
                    self.ledger.mark_stopping(&attempt);
                    assert_eq!(
                        before,
                        self.ledger.reserved(),
                        "reservation freed before the stop is confirmed"
                    );
                    assert!(self.stopping.insert(attempt), "evicted twice");
                }
                LimitAction::Restore(attempt) => {
                    assert!(!overcommitted, "restored while overcommitted");
                    let task = self.tasks.get_mut(&attempt).unwrap();
                    task.throttled_at = None;
                    task.speed = 100;
                    assert!(!self.ledger.is_overcommitted(), "a restore exceeded a limit");
                }
            }
        }
    }

    /// Confirms the stop of each evicted attempt with a probability of one quarter.
    fn confirm_stops(&mut self) {
        let gone: Vec<AttemptId> =
            self.stopping.iter().filter(|_| self.rng.u8(..4) == 0).cloned().collect();
        for attempt in gone {
            self.remove_task(&attempt);
        }
    }

    /// Checks that the reservations cover all tasks, and that the reported capacities respect the
    /// limits.
    fn check_invariants(&self) {
        let reserved = self.ledger.reserved();
        assert!(
            self.expected_reserved().fits_in(&reserved),
            "reserves less than the declared needs and measured usage"
        );
        let assigned = self.declared();
        assert!(assigned.fits_in(&CAPACITY.minus(&SERVICE)), "assigned over capacity");
        assert_eq!(self.ledger.batch_capacity(), self.batch_limit(false));
        assert!(self.ledger.free().fits_in(&self.ledger.batch_capacity().minus(&reserved)));
        assert!(self.ledger.urgent_free().fits_in(&self.batch_limit(true).minus(&reserved)));
    }
}

/// Guards against reservations above the capacity of a VM (invariant 1) under wrong declarations,
/// growing usage, closings, agent restarts and slow stops, and against usage that stays above a
/// limit.
#[test]
fn vm_is_never_assigned_more_than_it_holds() {
    schedules::run(SCHEDULES, |seed| {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
        }
        // An admitted task may outgrow its declared need, so nothing is admitted in these rounds.
        for _ in 0..SETTLE_ROUNDS {
            world.run_round();
        }
        assert!(
            !world.ledger.is_overcommitted(),
            "seed {seed}: still overcommitted after {SETTLE_ROUNDS} rounds"
        );
        1
    });
}

/// Guards against a closing that does not bring batch work below its limit, or that evicts tasks of
/// its own classes first.
#[test]
fn closing_frees_its_room_from_other_classes_first() {
    let mut ledger = Ledger::new(CAPACITY, MEASUREMENT_LAG);
    ledger.set_limits(limits(None));
    for (number, class) in [(1, "watch"), (2, "report")] {
        let need = Resources::new(2_000, 2_000, 0);
        let demand =
            TaskDemand { class: class.into(), need, urgent: false, measured: Resources::default() };
        ledger.admit(id(number), demand).unwrap();
    }
    let closing = ClosingLimit {
        batch: Resources::new(2_000, 10_000, 0),
        classes: vec!["report".into()],
        enforced: false,
    };
    ledger.set_limits(limits(Some(closing.clone())));
    assert!(ledger.enforce_limits(Duration::ZERO).is_empty(), "enforced during the preparation");
    ledger.set_limits(limits(Some(ClosingLimit { enforced: true, ..closing })));
    assert_eq!(ledger.enforce_limits(Duration::ZERO), [LimitAction::Throttle(id(1))]);
    assert_eq!(ledger.enforce_limits(MEASUREMENT_LAG * 2), [LimitAction::Evict(id(1))]);
    ledger.release(&id(1));
    assert!(ledger.enforce_limits(MEASUREMENT_LAG * 3).is_empty());
}

/// Guards against urgent work that waits for minutes while a closing is prepared, and against
/// urgent work above the limit once the closing is enforced.
#[test]
fn urgent_work_may_exceed_the_limit_of_a_closing_that_is_only_prepared() {
    let mut ledger = Ledger::new(CAPACITY, MEASUREMENT_LAG);
    ledger.set_limits(limits(None));
    let demand = |cpu, urgent| TaskDemand {
        class: if urgent { "rebuild" } else { "watch" }.into(),
        need: Resources::new(cpu, 2_000, 0),
        urgent,
        measured: Resources::default(),
    };
    ledger.admit(id(1), demand(4_000, false)).unwrap();
    let batch = Resources::new(3_000, 10_000, 0);
    let closing = ClosingLimit { batch, classes: Vec::new(), enforced: false };
    ledger.set_limits(limits(Some(closing.clone())));
    assert_eq!(ledger.admit(id(2), demand(100, false)), Err(Refusal::Overcommitted));
    assert_eq!(ledger.urgent_free().cpu_milli, 2_000);
    ledger.admit(id(3), demand(1_000, true)).unwrap();
    assert!(matches!(ledger.admit(id(4), demand(1_001, true)), Err(Refusal::Capacity { .. })));
    ledger.set_limits(limits(Some(ClosingLimit { enforced: true, ..closing })));
    assert_eq!(ledger.admit(id(5), demand(100, true)), Err(Refusal::Overcommitted));
    assert_eq!(ledger.urgent_free().cpu_milli, 0);
}
