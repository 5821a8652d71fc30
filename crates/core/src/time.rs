//! Time as seen by the cores.

use std::time::Duration;

/// Monotonic time since the start of the process (or of the test).
pub type Time = Duration;

/// Largest assumed difference between two hosts' clock rates, in percent.
pub const CLOCK_RATE_MARGIN_PERCENT: u32 = 2;
/// Fixed addition to each lease comparison between hosts; covers scheduling and rounding.
pub const CLOCK_FIXED_MARGIN: Duration = Duration::from_millis(500);

/// Returns the time after which another host's lease of length `lease`, granted no later than
/// the start of the wait, has certainly run out.
pub fn lease_wait(lease: Duration) -> Duration {
    lease + lease * CLOCK_RATE_MARGIN_PERCENT / 100 + CLOCK_FIXED_MARGIN
}
