//! Capacity ledger of one VM: admission control and limit enforcement for its batch tasks.
//!
//! Every batch task on the VM has a reservation in the ledger. The ledger first sets aside the
//! limit of the VM's service, then reserves for each batch task the larger of its declared need
//! and its measured usage. A reservation is freed only after the worker has confirmed that the
//! task no longer runs.
//!
//! A closing is a configured period, such as a year-end closing, in which services need more of
//! the VM and batch work gets less. Before a closing starts, it is prepared: new batch tasks are
//! already refused above its limit.

use std::collections::BTreeMap;
use std::fmt;

use crate::message::report::AttemptId;
use crate::resources::Resources;
use crate::time::Time;

/// Speed at which a throttled task runs, in percent of full speed.
const THROTTLED_SPEED_PERCENT: u8 = 50;

/// Limits that the configuration in effect sets for one VM.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Limits {
    /// Resources set aside for the VM's service.
    pub service: Resources,
    /// Upper limit of the sum of the reservations of each job class on the VM, by class name.
    pub classes: BTreeMap<String, Resources>,
    /// Limit of the closing in progress or in preparation, if any.
    pub closing: Option<ClosingLimit>,
}

/// Limit on batch work during a closing or its preparation.
#[derive(Debug, Clone, PartialEq)]
pub struct ClosingLimit {
    /// Upper limit of the sum of the reservations of all batch tasks on the VM.
    pub batch: Resources,
    /// Job classes whose tasks may start during the closing; all classes if empty.
    pub classes: Vec<String>,
    /// Whether running tasks above `batch` are throttled and evicted. While the closing is only
    /// prepared, this is false and only new tasks are refused.
    pub enforced: bool,
}

/// Reason for which [`Ledger::admit`] refuses a task.
#[derive(Debug, Clone, PartialEq)]
pub enum Refusal {
    /// No limits were set yet.
    NoConfiguration,
    /// The configuration has no class with this name.
    UnknownClass,
    /// Reservations of running tasks exceed a limit; nothing starts until they are back below it.
    Overcommitted,
    /// The task's class may not start tasks in the closing in progress or in preparation. A closing
    /// is a configured period with a lower limit for batch work.
    NotInClosing,
    /// The task needs more than its class has left under its limit on the VM.
    ClassLimit { need: Resources, available: Resources },
    /// The task needs more than the free capacity for batch work.
    Capacity { need: Resources, available: Resources },
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let write_amounts =
            |f: &mut fmt::Formatter<'_>, text: &str, need: &Resources, available: &Resources| {
                write!(
                    f,
                    "{text}: needs cpu_milli={} memory_mib={} accelerators={}, \
                 free cpu_milli={} memory_mib={} accelerators={}",
                    need.cpu_milli,
                    need.memory_mib,
                    need.accelerators,
                    available.cpu_milli,
                    available.memory_mib,
                    available.accelerators
                )
            };
        match self {
            Refusal::NoConfiguration => f.write_str("no configuration yet"),
            Refusal::UnknownClass => f.write_str("class is not configured"),
            Refusal::Overcommitted => {
                f.write_str("running tasks exceed the capacity for batch work")
            }
            Refusal::NotInClosing => f.write_str("class does not belong to the closing"),
            Refusal::ClassLimit { need, available } => {
                write_amounts(f, "class limit", need, available)
            }
            Refusal::Capacity { need, available } => write_amounts(f, "capacity", need, available),
        }
    }
}

/// Action on a running task that the caller of [`Ledger::enforce_limits`] has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LimitAction {
    /// Lets the task run at reduced speed.
    Throttle(AttemptId),
    /// Stops the attempt; its task is started again elsewhere or later.
    Evict(AttemptId),
    /// Lets a throttled task run at full speed again.
    Restore(AttemptId),
}

/// Resources that a task needs, with the properties that decide its admission.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskDemand {
    /// Name of the job class.
    pub class: String,
    /// Declared need of the task.
    pub need: Resources,
    /// Whether the task belongs to an urgent class.
    pub urgent: bool,
    /// Last measured usage, of this attempt or an earlier one; zero if unknown.
    pub measured: Resources,
}

/// Reservation of one attempt, with its throttling state.
#[derive(Debug, Clone)]
struct Reservation {
    /// Declared need, last measured usage and class of the task.
    demand: TaskDemand,
    /// Position in the order of admission; higher numbers are newer.
    admission_order: u64,
    /// Estimate of the task's usage at full speed: the last usage measured there, or a larger one
    /// measured while the task is throttled.
    full_usage: Resources,
    /// Whether the attempt was ordered to stop; the reservation stays until the stop is confirmed.
    stopping: bool,
    /// Time at which the task was throttled; `None` if it runs at full speed.
    throttled_at: Option<Time>,
    /// Time at which the task last returned to full speed.
    restored_at: Option<Time>,
}

impl Reservation {
    /// Returns the reserved resources: for each resource, the larger of the declared need and the
    /// measured usage.
    fn reserved_amount(&self) -> Resources {
        self.demand.need.max(&self.demand.measured)
    }
}

/// Reservations and limits of one VM.
#[derive(Debug, Clone)]
pub struct Ledger {
    /// Size of the VM.
    capacity: Resources,
    /// Limits in effect; `None` until they are first set.
    limits: Option<Limits>,
    /// Time after a throttle or a return to full speed until the usage measurements show its
    /// effect: twice their lag.
    settle_time: Time,
    /// Reservation of each attempt.
    tasks: BTreeMap<AttemptId, Reservation>,
    /// Position of the next task in the order of admission.
    next_order: u64,
}

impl Ledger {
    /// Builds an empty ledger of a VM with this capacity. `lag` is the delay of usage measurements.
    pub fn new(capacity: Resources, lag: Time) -> Self {
        Ledger {
            capacity,
            limits: None,
            settle_time: lag * 2,
            tasks: BTreeMap::new(),
            next_order: 0,
        }
    }

    /// Sets the resources that the VM has in total.
    pub fn set_capacity(&mut self, capacity: Resources) {
        self.capacity = capacity;
    }

    /// Sets the limits in effect. Until the first call, [`Ledger::admit`] refuses every task.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = Some(limits);
    }

    /// Returns the capacity for batch work: the VM's capacity minus the service's limit, capped by
    /// the closing's limit.
    pub fn batch_capacity(&self) -> Resources {
        let Some(limits) = &self.limits else { return Resources::default() };
        let available = self.capacity.minus(&limits.service);
        limits.closing.as_ref().map_or(available, |closing| available.min(&closing.batch))
    }

    /// Returns the sum of the reservations of all attempts.
    pub fn reserved(&self) -> Resources {
        sum(self.tasks.values())
    }

    /// Returns the part of the batch capacity that is not reserved.
    pub fn free(&self) -> Resources {
        self.batch_capacity().minus(&self.reserved())
    }

    /// Returns the resources that urgent tasks may still reserve. A closing limits urgent tasks
    /// only once it is enforced: they must start within seconds, while its preparation takes
    /// minutes.
    pub fn urgent_free(&self) -> Resources {
        match &self.limits {
            Some(_) => self.enforced_capacity().minus(&self.reserved()),
            None => Resources::default(),
        }
    }

    /// Tells whether the reservations exceed the enforced capacity or a class limit.
    pub fn is_overcommitted(&self) -> bool {
        self.excess(|_| true).is_some()
    }

    /// Tells whether the ledger holds a reservation for the attempt.
    pub fn holds(&self, attempt: &AttemptId) -> bool {
        self.tasks.contains_key(attempt)
    }

    /// Returns the speed that the ledger allows the attempt, in percent of full speed.
    pub fn speed(&self, attempt: &AttemptId) -> u8 {
        match self.tasks.get(attempt) {
            Some(task) if task.throttled_at.is_some() => THROTTLED_SPEED_PERCENT,
            _ => 100,
        }
    }

    /// Reserves resources for a new attempt.
    ///
    /// # Errors
    ///
    /// Returns the reason if the task does not fit, and [`Refusal::Overcommitted`] for every task
    /// while the existing reservations exceed a limit.
    pub fn admit(&mut self, attempt: AttemptId, task: TaskDemand) -> Result<(), Refusal> {
        let limits = self.limits.as_ref().ok_or(Refusal::NoConfiguration)?;
        let class_limit = limits.classes.get(&task.class).ok_or(Refusal::UnknownClass)?;
        if let Some(closing) = &limits.closing {
            if !closing.classes.is_empty() && !closing.classes.contains(&task.class) {
                return Err(Refusal::NotInClosing);
            }
        }
        let capacity = match task.urgent {
            true => self.enforced_capacity(),
            false => self.batch_capacity(),
        };
        // `is_overcommitted` ignores a closing that is not enforced yet; the second condition
        // covers its limit.
        if self.is_overcommitted() || !self.reserved().fits_in(&capacity) {
            return Err(Refusal::Overcommitted);
        }
        let need = task.need.max(&task.measured);
        let used = sum(self.tasks.values().filter(|other| other.demand.class == task.class));
        if !used.plus(&need).fits_in(class_limit) {
            return Err(Refusal::ClassLimit { need, available: class_limit.minus(&used) });
        }
        if !self.reserved().plus(&need).fits_in(&capacity) {
            return Err(Refusal::Capacity { need, available: capacity.minus(&self.reserved()) });
        }
        self.adopt(attempt, task);
        Ok(())
    }

    /// Adds a reservation for an attempt that already runs, whether it fits the limits or not.
    pub fn adopt(&mut self, attempt: AttemptId, task: TaskDemand) {
        let admission_order = self.next_order;
        self.next_order += 1;
        let full_usage = task.measured;
        let reservation = Reservation {
            demand: task,
            admission_order,
            full_usage,
            stopping: false,
            throttled_at: None,
            restored_at: None,
        };
        self.tasks.entry(attempt).or_insert(reservation);
    }

    /// Records the measured usage of an attempt. Zero usage means "not measured yet" and is
    /// ignored.
    pub fn record_usage(&mut self, now: Time, attempt: &AttemptId, usage: Resources) {
        let settle_time = self.settle_time;
        match self.tasks.get_mut(attempt) {
            Some(task) if !usage.is_zero() => {
                // Measurements lag, so just after a restore they still show throttled usage.
                let settling = task.restored_at.is_some_and(|at| now < at + settle_time);
                let usage = if settling { task.demand.measured.max(&usage) } else { usage };
                task.demand.measured = usage;
                task.full_usage = match task.throttled_at {
                    Some(_) => task.full_usage.max(&usage),
                    None => usage,
                };
            }
            _ => {}
        }
    }

    /// Records that an attempt was ordered to stop. Its reservation stays until
    /// [`Ledger::release`].
    pub fn mark_stopping(&mut self, attempt: &AttemptId) {
        if let Some(task) = self.tasks.get_mut(attempt) {
            task.stopping = true;
        }
    }

    /// Frees the reservation of an attempt after the worker has confirmed its end.
    pub fn release(&mut self, attempt: &AttemptId) {
        self.tasks.remove(attempt);
    }

    /// Decides how to bring reservations back below the limits: throttles the newest task that
    /// contributes, and evicts it if a limit is still exceeded once the measurements should show
    /// the throttle. With no limit exceeded, restores at most one throttled task.
    pub fn enforce_limits(&mut self, now: Time) -> Vec<LimitAction> {
        let mut actions = Vec::new();
        while let Some((class, overuse)) = self.excess(|task| !task.stopping) {
            let Some(victim) = self.choose_victim(class.as_deref(), &overuse) else { break };
            let settle_time = self.settle_time;
            let Some(task) = self.tasks.get_mut(&victim) else { break };
            match task.throttled_at {
                None => {
                    task.throttled_at = Some(now);
                    actions.push(LimitAction::Throttle(victim));
                    break;
                }
                Some(at) if now < at + settle_time => break,
                Some(_) => {
                    task.stopping = true;
                    actions.push(LimitAction::Evict(victim));
                }
            }
        }
        if actions.is_empty() && !self.is_overcommitted() {
            actions.extend(self.restore_throttled(now));
        }
        actions
    }

    /// Returns the oldest throttled task whose full-speed usage fits the limits to full speed.
    fn restore_throttled(&mut self, now: Time) -> Option<LimitAction> {
        let settle_time = self.settle_time;
        let is_restorable = |attempt: &AttemptId, task: &Reservation| {
            let due = task.throttled_at.is_some_and(|at| now >= at + settle_time);
            due && !task.stopping && self.fits_at_full_speed(attempt, task)
        };
        let oldest = self
            .tasks
            .iter()
            .filter(|(attempt, task)| is_restorable(attempt, task))
            .min_by_key(|(_, task)| task.admission_order)
            .map(|(attempt, _)| attempt.clone())?;
        let task = self.tasks.get_mut(&oldest)?;
        task.throttled_at = None;
        task.restored_at = Some(now);
        // Reserves the full-speed usage at once, so that no other task takes these resources before
        // the next measurement.
        task.demand.measured = task.demand.measured.max(&task.full_usage);
        Some(LimitAction::Restore(oldest))
    }

    /// Tells whether the limits hold if the task runs at full speed beside all other tasks.
    fn fits_at_full_speed(&self, attempt: &AttemptId, task: &Reservation) -> bool {
        let Some(limits) = &self.limits else { return false };
        let full_usage = task.demand.need.max(&task.full_usage);
        let others = self.tasks.iter().filter(|(other, _)| *other != attempt);
        let class = others.clone().filter(|(_, other)| other.demand.class == task.demand.class);
        let class_fits = limits.classes.get(&task.demand.class).is_none_or(|limit| {
            sum(class.map(|(_, other)| other)).plus(&full_usage).fits_in(limit)
        });
        class_fits
            && sum(others.map(|(_, other)| other))
                .plus(&full_usage)
                .fits_in(&self.enforced_capacity())
    }

    /// Returns the capacity that running tasks must not exceed: like `batch_capacity`, but a
    /// closing counts only once it is enforced.
    fn enforced_capacity(&self) -> Resources {
        let Some(limits) = &self.limits else { return self.capacity };
        let available = self.capacity.minus(&limits.service);
        match &limits.closing {
            Some(closing) if closing.enforced => available.min(&closing.batch),
            _ => available,
        }
    }

    /// Returns the amount by which the reservations of the tasks selected by `counted` exceed a
    /// limit, with the class if the limit is that of a class; `None` if no limit is exceeded.
    fn excess(
        &self,
        counted: impl Fn(&Reservation) -> bool,
    ) -> Option<(Option<String>, Resources)> {
        let tasks = || self.tasks.values().filter(|task| counted(task));
        let overuse = sum(tasks()).minus(&self.enforced_capacity());
        if !overuse.is_zero() {
            return Some((None, overuse));
        }
        let classes = &self.limits.as_ref()?.classes;
        classes.iter().find_map(|(class, limit)| {
            let overuse = sum(tasks().filter(|task| task.demand.class == *class)).minus(limit);
            (!overuse.is_zero()).then(|| (Some(class.clone()), overuse))
        })
    }

    /// Returns the task to throttle or evict: the newest one that reserves some of the exceeded
    /// resources. Tasks outside the closing's classes come first, urgent tasks last.
    fn choose_victim(&self, class: Option<&str>, overuse: &Resources) -> Option<AttemptId> {
        let closing = self.limits.as_ref().and_then(|limits| limits.closing.as_ref());
        let in_closing = |task: &Reservation| {
            closing.is_some_and(|closing| closing.classes.contains(&task.demand.class))
        };
        self.tasks
            .iter()
            .filter(|(_, task)| !task.stopping)
            .filter(|(_, task)| class.is_none_or(|class| class == task.demand.class))
            .filter(|(_, task)| !overuse.min(&task.reserved_amount()).is_zero())
            .max_by_key(|(_, task)| (!task.demand.urgent, !in_closing(task), task.admission_order))
            .map(|(attempt, _)| attempt.clone())
    }
}

/// Returns the sum of the resources that these reservations hold.
fn sum<'a>(tasks: impl Iterator<Item = &'a Reservation>) -> Resources {
    tasks.fold(Resources::default(), |sum, task| sum.plus(&task.reserved_amount()))
}
