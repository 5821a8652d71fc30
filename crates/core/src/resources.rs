//! Amounts of processors, memory and accelerators.

use std::fmt;

use serde::{Deserialize, Serialize};

/// An amount of each resource that a VM has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// CPU time, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in MiB.
    pub memory_mib: u64,
    /// Number of accelerators; one is never shared.
    pub accelerators: u64,
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.cpu_milli, self.memory_mib, self.accelerators)
    }
}

impl Resources {
    /// Creates an amount from its parts, in the units of the fields.
    pub const fn new(cpu_milli: u64, memory_mib: u64, accelerators: u64) -> Self {
        Resources { cpu_milli, memory_mib, accelerators }
    }

    /// Tells whether no resource of `self` exceeds that of `available`.
    pub fn fits_in(&self, available: &Resources) -> bool {
        self.cpu_milli <= available.cpu_milli
            && self.memory_mib <= available.memory_mib
            && self.accelerators <= available.accelerators
    }

    /// Returns the sum of each resource, saturating at `u64::MAX`.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns each resource multiplied by `count`, saturating at `u64::MAX`.
    pub fn times(&self, count: u64) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Returns the difference of each resource, saturating at zero.
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the larger of the two amounts of each resource.
    pub fn max(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the smaller of the two amounts of each resource.
    pub fn min(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.min(other.cpu_milli),
            memory_mib: self.memory_mib.min(other.memory_mib),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Tells whether all resources are zero.
    pub fn is_zero(&self) -> bool {
        *self == Resources::default()
    }
}
