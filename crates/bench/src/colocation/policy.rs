//! The policies that are compared.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use peridotfold_core::colocation::{ClassLoad, Colocation, Decision, Sample};

/// Lag of the measurements.
pub const LAG: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Policy {
    /// The service alone, as the reference for its latency.
    NoBatch,
    Ours,
    /// Only the capacity ledger, without measurements of the service and without the calendar.
    NoControl,
    /// The service on two VMs of each rack, batch work on the third.
    Separate,
    /// Every second one step down above a threshold and one step up below another; evicts at the
    /// lowest step. Knows the latency without batch work at the present load.
    Thresholds,
    /// Knows the true interference, and chooses each second the speeds that give the most batch
    /// work within the bound. Nothing is held or evicted for the latency; no calendar.
    Ideal,
}

impl Policy {
    pub const ALL: [Policy; 6] = [
        Policy::NoBatch,
        Policy::Ours,
        Policy::NoControl,
        Policy::Separate,
        Policy::Thresholds,
        Policy::Ideal,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Policy::NoBatch => "no batch",
            Policy::Ours => "ours",
            Policy::NoControl => "no control",
            Policy::Separate => "separate VMs",
            Policy::Thresholds => "thresholds",
            Policy::Ideal => "ideal",
        }
    }

    /// Tells whether a VM runs the service, and batch work.
    pub fn uses(self, vm: usize) -> (bool, bool) {
        match self {
            Policy::NoBatch => (true, false),
            Policy::Separate => (vm % 3 != 2, vm % 3 == 2),
            _ => (true, true),
        }
    }

    /// Load of each instance relative to instances on all VMs.
    pub fn load_factor(self) -> f64 {
        if self == Policy::Separate {
            1.5
        } else {
            1.0
        }
    }
}

const STEPS: [u8; 4] = [100, 50, 25, 10];
const DOWN_ABOVE: f64 = 1.15;
const UP_BELOW: f64 = 1.1;

/// Plain thresholds.
#[derive(Debug, Default)]
pub struct Thresholds {
    step: usize,
}

impl Thresholds {
    /// Takes the latency relative to that without batch work; returns a class to evict.
    fn observe(&mut self, ratio: f64, classes: &BTreeMap<String, ClassLoad>) -> Option<String> {
        let largest = || {
            let victims = classes.iter().filter(|(_, load)| load.tasks > 0 && !load.urgent);
            victims.max_by_key(|(_, load)| load.cpu_milli).map(|(class, _)| class.clone())
        };
        match () {
            () if ratio > DOWN_ABOVE && self.step + 1 < STEPS.len() => self.step += 1,
            () if ratio > DOWN_ABOVE => return largest(),
            () if ratio < UP_BELOW => self.step = self.step.saturating_sub(1),
            () => {}
        }
        None
    }
}

/// Control of one VM.
pub enum Control {
    Free,
    Ours(Box<Colocation>),
    Thresholds(Thresholds),
    /// The speeds are chosen in the simulation, which knows the truth.
    Ideal,
}

/// Speeds and held classes, and a class of which the newest task is evicted.
#[derive(Default)]
pub struct Orders {
    pub speeds: BTreeMap<String, u8>,
    pub blocked_classes: BTreeSet<String>,
    pub evict: Option<String>,
}

impl Control {
    pub fn new(policy: Policy) -> Control {
        match policy {
            Policy::Ours => {
                let target = Duration::from_millis(50);
                Control::Ours(Box::new(Colocation::new(LAG, target)))
            }
            Policy::Thresholds => Control::Thresholds(Thresholds::default()),
            Policy::Ideal => Control::Ideal,
            _ => Control::Free,
        }
    }

    /// Decides from a sample; `alone` is the latency without batch work at the present load.
    pub fn observe(&mut self, now: Duration, sample: &Sample, alone: f64) -> Orders {
        match self {
            Control::Free | Control::Ideal => Orders::default(),
            Control::Ours(controller) => {
                let evict = match controller.observe(now, sample) {
                    Some(Decision::Evict { class }) => Some(class),
                    _ => None,
                };
                Orders {
                    speeds: controller.speeds(),
                    blocked_classes: controller.blocked_classes(now),
                    evict,
                }
            }
            Control::Thresholds(control) => {
                let ratio = sample.latency.as_secs_f64() / alone;
                let evict = control.observe(ratio, &sample.classes);
                let throttled = sample.classes.keys().filter(|_| control.step > 0);
                let speeds = throttled.map(|class| (class.clone(), STEPS[control.step]));
                Orders { speeds: speeds.collect(), blocked_classes: BTreeSet::new(), evict }
            }
        }
    }

    pub fn pressure_percent(&self) -> u32 {
        match self {
            Control::Ours(controller) => controller.pressure_percent(),
            _ => 0,
        }
    }
}
