//! Time in the state machines, and safety margins for leases between hosts.

use std::time::Duration;

/// Monotonic time since the start of the process, or since the start of a simulated test.
pub type Time = Duration;

/// Largest difference between the clock rates of two hosts that leases tolerate, in percent.
pub const MAX_CLOCK_DRIFT_PERCENT: u32 = 2;
/// Time added to each wait for another host's lease; covers scheduling delays and rounding.
pub const LEASE_FIXED_MARGIN: Duration = Duration::from_millis(500);

/// Returns how long to wait until another host's lease of length `lease` has certainly expired.
/// The lease must have been granted before the wait begins.
pub fn lease_wait(lease: Duration) -> Duration {
    lease + lease * MAX_CLOCK_DRIFT_PERCENT / 100 + LEASE_FIXED_MARGIN
}
