//! Processors, memory and accelerators.

use serde::{Deserialize, Serialize};

/// An amount of each resource of a VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Processors, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in MiB.
    pub memory_mib: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Builds an amount.
    pub const fn new(cpu_milli: u64, memory_mib: u64, accelerators: u64) -> Self {
        Resources { cpu_milli, memory_mib, accelerators }
    }

    /// Tells whether `self` is at most `room` in each resource.
    pub fn fits_in(&self, room: &Resources) -> bool {
        self.cpu_milli <= room.cpu_milli
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }

    /// Adds in each resource, saturating.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Subtracts in each resource, stopping at zero.
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the larger amount of each resource.
    pub fn max(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the smaller amount of each resource.
    pub fn min(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.min(other.cpu_milli),
            memory_mib: self.memory_mib.min(other.memory_mib),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Tells whether each resource is zero.
    pub fn is_zero(&self) -> bool {
        *self == Resources::default()
    }
}
