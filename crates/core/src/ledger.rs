//! Capacity of one VM.
//!
//! The ledger is the only authority on what a VM holds. It reserves the limit of the VM's service
//! first, and for each batch task the larger of its declared need and its measured usage. A task
//! holds its reservation until the worker has confirmed that it is gone.

use std::collections::BTreeMap;
use std::fmt;

use crate::message::report::AttemptId;
use crate::resources::Resources;
use crate::time::Time;

/// Speed of a task whose usage outgrew the VM, in percent.
const THROTTLED_SPEED_PERCENT: u8 = 50;

/// Limits from the configuration in effect.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Limits {
    /// Reserved for the VM's service.
    pub service: Resources,
    /// Most that each class may take from the VM.
    pub classes: BTreeMap<String, Resources>,
    pub closing: Option<ClosingLimit>,
}

/// Limit of a closing that has begun or is being prepared.
#[derive(Debug, Clone, PartialEq)]
pub struct ClosingLimit {
    pub batch: Resources,
    /// Classes that may start; all if empty.
    pub classes: Vec<String>,
    /// Also frees what running tasks hold above the limit.
    pub enforced: bool,
}

/// Why a start does not fit.
#[derive(Debug, Clone, PartialEq)]
pub enum Refusal {
    NoConfiguration,
    UnknownClass,
    /// Running tasks exceed the capacity for batch work.
    Overcommitted,
    NotInClosing,
    ClassLimit {
        need: Resources,
        available: Resources,
    },
    Capacity {
        need: Resources,
        available: Resources,
    },
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

/// What to do about usage above a limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LimitAction {
    Throttle(AttemptId),
    Evict(AttemptId),
    /// The task may run at full speed again.
    Restore(AttemptId),
}

/// A task as the ledger sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskDemand {
    pub class: String,
    pub need: Resources,
    pub urgent: bool,
    /// Last known usage, here or of an earlier attempt.
    pub measured: Resources,
}

#[derive(Debug, Clone)]
struct Reservation {
    demand: TaskDemand,
    /// Order of admission.
    admission_order: u64,
    /// Usage at full speed, as last measured.
    full_usage: Resources,
    stopping: bool,
    throttled_at: Option<Time>,
    restored_at: Option<Time>,
}

impl Reservation {
    fn reserved_amount(&self) -> Resources {
        self.demand.need.max(&self.demand.measured)
    }
}

/// Reservations of one VM.
#[derive(Debug, Clone)]
pub struct Ledger {
    capacity: Resources,
    limits: Option<Limits>,
    /// Time for an effect to become visible in measurements.
    settle_time: Time,
    tasks: BTreeMap<AttemptId, Reservation>,
    next_order: u64,
}

impl Ledger {
    /// Builds an empty ledger. `lag` is the lag of usage measurements.
    pub fn new(capacity: Resources, lag: Time) -> Self {
        Ledger {
            capacity,
            limits: None,
            settle_time: lag * 2,
            tasks: BTreeMap::new(),
            next_order: 0,
        }
    }

    /// Sets the size of the VM.
    pub fn set_capacity(&mut self, capacity: Resources) {
        self.capacity = capacity;
    }

    /// Sets the limits in effect. Without limits nothing is admitted.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = Some(limits);
    }

    /// Capacity of the VM without what is reserved for its service and closed to batch work.
    pub fn batch_capacity(&self) -> Resources {
        let Some(limits) = &self.limits else { return Resources::default() };
        let available = self.capacity.minus(&limits.service);
        limits.closing.as_ref().map_or(available, |closing| available.min(&closing.batch))
    }

    /// Sum of the reservations.
    pub fn reserved(&self) -> Resources {
        sum(self.tasks.values())
    }

    /// Part of the batch capacity that is not reserved.
    pub fn free(&self) -> Resources {
        self.batch_capacity().minus(&self.reserved())
    }

    /// Part that urgent work may take. The limit of a closing holds for it only from the start of
    /// the closing: it must start within seconds, while the preparation takes minutes.
    pub fn urgent_free(&self) -> Resources {
        match &self.limits {
            Some(_) => self.enforced_capacity().minus(&self.reserved()),
            None => Resources::default(),
        }
    }

    /// Tells whether running tasks hold more than is allowed.
    pub fn is_overcommitted(&self) -> bool {
        self.excess(|_| true).is_some()
    }

    /// Tells whether the ledger holds a reservation for the attempt.
    pub fn holds(&self, attempt: &AttemptId) -> bool {
        self.tasks.contains_key(attempt)
    }

    /// Speed that the ledger allows a task, in percent.
    pub fn speed(&self, attempt: &AttemptId) -> u8 {
        match self.tasks.get(attempt) {
            Some(task) if task.throttled_at.is_some() => THROTTLED_SPEED_PERCENT,
            _ => 100,
        }
    }

    /// Reserves room for a new attempt.
    ///
    /// # Errors
    ///
    /// Refuses what does not fit, and everything while running tasks hold too much.
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
        // The limit of a closing that is only being prepared may be exceeded as well.
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

    /// Records a task that runs already, whether it fits or not.
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

    /// Records measured usage. Zero means that none is known yet.
    pub fn record_usage(&mut self, now: Time, attempt: &AttemptId, usage: Resources) {
        let settle_time = self.settle_time;
        match self.tasks.get_mut(attempt) {
            Some(task) if !usage.is_zero() => {
                // Measurements lag: just after a restore they still show the throttled usage.
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

    /// Records that a task is being stopped. It keeps its reservation.
    pub fn mark_stopping(&mut self, attempt: &AttemptId) {
        if let Some(task) = self.tasks.get_mut(attempt) {
            task.stopping = true;
        }
    }

    /// Frees the reservation of an attempt that is confirmed gone.
    pub fn release(&mut self, attempt: &AttemptId) {
        self.tasks.remove(attempt);
    }

    /// Decides what to do about usage above a limit: throttles the newest task, and evicts it if
    /// the usage is still too high once the throttle should be visible in the measurements.
    pub fn enforce_limits(&mut self, now: Time) -> Vec<LimitAction> {
        let mut actions = Vec::new();
        while let Some((class, overuse)) = self.excess(|task| !task.stopping) {
            let Some(victim) = self.newest_offender(class.as_deref(), &overuse) else { break };
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
            actions.extend(self.restore(now));
        }
        actions
    }

    /// Restores the oldest throttled task whose usage at full speed fits.
    fn restore(&mut self, now: Time) -> Option<LimitAction> {
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
        // Reserved until measured again, so that nothing else takes the room meanwhile.
        task.demand.measured = task.demand.measured.max(&task.full_usage);
        Some(LimitAction::Restore(oldest))
    }

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

    fn enforced_capacity(&self) -> Resources {
        let Some(limits) = &self.limits else { return self.capacity };
        let available = self.capacity.minus(&limits.service);
        match &limits.closing {
            Some(closing) if closing.enforced => available.min(&closing.batch),
            _ => available,
        }
    }

    /// Returns what the counted tasks hold above a limit, with the class if it is a class's.
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

    /// Newest task that holds some of what is exceeded. Work outside a closing goes first, urgent
    /// work last.
    fn newest_offender(&self, class: Option<&str>, overuse: &Resources) -> Option<AttemptId> {
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

fn sum<'a>(tasks: impl Iterator<Item = &'a Reservation>) -> Resources {
    tasks.fold(Resources::default(), |sum, task| sum.plus(&task.reserved_amount()))
}
