//! Forecast of room on the nodes of a rack, and the cost of waiting for it instead of a run elsewhere.
//!
//! The functions here know neither the owner nor its clock: times count from now.

mod plan;
mod state;

use std::time::Duration;

use crate::resources::Resources;
use crate::time::Time;
pub(in crate::flow) use state::NearState;
pub use state::{NearOutcome, NearWaitEnd};

/// Part of an estimated run time, as a divisor, that a run is expected to need at least: runs that have
/// outlived their estimate do not end at once.
const MIN_LEFT_DIVISOR: u32 = 10;
/// Part of the forecast wait, as a divisor, by which a wait may exceed it. Beyond this the forecast has
/// failed.
const OVERRUN_DIVISOR: u32 = 4;
/// Half-life of what is learned from ends of runs.
const LEARNED_HALF_LIFE: Duration = Duration::from_secs(10);
/// Decayed number of ends from which on the learned ratio is used: three within six seconds.
const MIN_LEARNED_ENDS: f64 = 2.0;
/// Smallest and largest learned ratio of run time to estimate; estimates are off by a factor of two.
const LEARNED_RANGE: (f64, f64) = (0.5, 2.0);

/// Rule by which a task waits for a node of its rack.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum NearRule {
    /// It takes a far node at once.
    Never,
    /// It waits up to a fixed time.
    Fixed(Duration),
    /// It waits until far nodes have been offered to it this often.
    Offers(u32),
    /// It waits if that is forecast to end earlier than a run elsewhere.
    #[default]
    Cost,
}

/// Times that decide whether a wait pays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Costs {
    /// Forecast time until the rack has capacity.
    pub wait: Duration,
    /// Run time on the rack.
    pub near: Duration,
    /// Run time elsewhere.
    pub far: Duration,
    /// Time until the completion objective; zero if it has passed.
    pub objective: Duration,
}

impl Costs {
    /// Returns the time after which a wait is given up because its forecast has failed.
    pub fn limit(&self) -> Duration {
        self.wait + self.wait / OVERRUN_DIVISOR
    }

    /// Tells whether the wait is forecast to end earlier than a run elsewhere, and the latest end of the
    /// wait costs neither the objective nor time.
    pub fn pays(&self) -> bool {
        let latest = self.limit() + self.near;
        self.wait + self.near < self.far && (latest <= self.objective || latest <= self.far)
    }
}

/// Returns the time that a run still needs after `age`; `None` if its run time is unknown (zero).
pub fn time_left(estimate: Duration, age: Duration) -> Option<Duration> {
    let least = estimate / MIN_LEFT_DIVISOR;
    (estimate > Duration::ZERO).then(|| estimate.saturating_sub(age).max(least))
}

/// An amount of CPU, memory, accelerators and idle CPU, or a change of it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Amount([i64; 4]);

impl Amount {
    /// Returns an amount of resources to reserve and of CPU that reservations may leave idle, in
    /// thousandths of a core.
    pub fn new(reserved: Resources, idle: u64) -> Self {
        let Resources { cpu_milli, memory_mib, accelerators } = reserved;
        let part = |value: u64| i64::try_from(value).unwrap_or(i64::MAX / 4).min(i64::MAX / 4);
        Amount([part(cpu_milli), part(memory_mib), part(accelerators), part(idle)])
    }

    fn plus(self, other: Amount) -> Amount {
        Amount(std::array::from_fn(|part| self.0[part].saturating_add(other.0[part])))
    }

    fn negated(self) -> Amount {
        Amount(self.0.map(i64::saturating_neg))
    }
}

/// What a task needs of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Need {
    /// What the task takes from the node's room.
    pub takes: Amount,
    /// Whether idle CPU counts, as for best-effort tasks.
    pub needs_idle: bool,
}

impl Need {
    fn fits_in(&self, room: &Amount) -> bool {
        let parts = if self.needs_idle { 4 } else { 3 };
        (0..parts).all(|part| self.takes.0[part] <= 0 || self.takes.0[part] <= room.0[part])
    }
}

/// Forecast of the room on one node: what is free now, and how it changes.
#[derive(Debug, Clone)]
pub struct NodeForecast {
    /// Index of the node in the owner's table.
    pub slot: usize,
    room: Amount,
    /// Changes by time, in order.
    changes: Vec<(Duration, Amount)>,
}

impl NodeForecast {
    /// Returns the forecast of a node with `room` free now and the releases of its runs.
    pub fn new(slot: usize, room: Amount, mut releases: Vec<(Duration, Amount)>) -> Self {
        releases.sort_by_key(|(at, _)| *at);
        NodeForecast { slot, room, changes: releases }
    }

    /// Returns from when on a task fits; `None` if it never does.
    fn earliest(&self, need: &Need) -> Option<Duration> {
        let mut room = self.room;
        let mut since = need.fits_in(&room).then_some(Duration::ZERO);
        for (at, change) in &self.changes {
            room = room.plus(*change);
            since = need.fits_in(&room).then(|| since.unwrap_or(*at));
        }
        since
    }

    /// Takes the room of a task from `at` on until its run ends.
    fn assign(&mut self, need: &Need, at: Duration, run: Duration) {
        for (at, change) in [(at, need.takes.negated()), (at + run, need.takes)] {
            let place = self.changes.partition_point(|(other, _)| *other <= at);
            self.changes.insert(place, (at, change));
        }
    }
}

/// Forecast of the room on the nodes of one rack.
#[derive(Debug, Clone, Default)]
pub struct RackForecast {
    nodes: Vec<NodeForecast>,
}

impl RackForecast {
    /// Returns the forecast of a rack with these nodes.
    pub fn new(nodes: Vec<NodeForecast>) -> Self {
        RackForecast { nodes }
    }

    /// Assigns the earliest places to `count` tasks on the nodes that `suits` selects, and returns the
    /// time of the last one. Returns `None` if the rack never holds all of them; some are then assigned.
    pub fn assign(
        &mut self,
        need: &Need,
        count: usize,
        run: Duration,
        suits: impl Fn(usize) -> bool,
    ) -> Option<Duration> {
        let mut last = Duration::ZERO;
        for _ in 0..count {
            let (at, node) = self.earliest(need, &suits)?;
            self.nodes[node].assign(need, at, run);
            last = last.max(at);
        }
        Some(last)
    }

    /// Takes the room of a task that starts now on the node `slot`.
    pub fn start(&mut self, need: &Need, slot: usize, run: Duration) {
        if let Some(node) = self.nodes.iter_mut().find(|node| node.slot == slot) {
            node.assign(need, Duration::ZERO, run);
        }
    }

    /// Returns the time and the node, as an index in the forecast, of the earliest place of a task on the
    /// nodes that `suits` selects; `None` if there is none.
    pub fn earliest(
        &self,
        need: &Need,
        suits: impl Fn(usize) -> bool,
    ) -> Option<(Duration, usize)> {
        let nodes = self.nodes.iter().enumerate().filter(|(_, node)| suits(node.slot));
        nodes.filter_map(|(index, node)| Some((node.earliest(need)?, index))).min()
    }
}

/// Ratio of run time to estimate, learned from the ends of runs on a rack.
#[derive(Debug, Clone, Copy, Default)]
pub struct LearnedRatio {
    /// Decayed number of ends.
    ends: f64,
    /// Decayed sum of the logarithms of their ratios.
    logs: f64,
    updated_at: Time,
}

impl LearnedRatio {
    /// Learns from a run that took `took`; `estimate` is not zero.
    pub fn learn(&mut self, now: Time, took: Duration, estimate: Duration) {
        let decay = self.decay(now);
        let (low, high) = LEARNED_RANGE;
        let ratio = (took.as_secs_f64() / estimate.as_secs_f64().max(0.001)).clamp(low, high);
        self.ends = self.ends * decay + 1.0;
        self.logs = self.logs * decay + ratio.ln();
        self.updated_at = now;
    }

    /// Returns the ratio; 1 without enough recent ends.
    pub fn ratio(&self, now: Time) -> f64 {
        match self.ends * self.decay(now) >= MIN_LEARNED_ENDS {
            true => (self.logs / self.ends).exp(),
            false => 1.0,
        }
    }

    fn decay(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        0.5f64.powf(age / LEARNED_HALF_LIFE.as_secs_f64())
    }
}
