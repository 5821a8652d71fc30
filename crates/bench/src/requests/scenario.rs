//! Loads and disturbances.

use std::time::Duration;

use peridotfold_core::time::Time;

/// End of the arrivals.
pub const END: Time = Duration::from_secs(10);
/// Requests that arrive earlier are not counted.
pub const WARM_UP: Time = Duration::from_secs(2);
/// Period of departures, and of the store outage.
pub const DISTURBED: std::ops::Range<Time> = Duration::from_secs(3)..Duration::from_secs(7);
const DEPARTING: usize = 3;
const SLOW_FACTOR: f64 = 5.0;
const FAST_ERROR: Duration = Duration::from_millis(1);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    Steady,
    StoreOutage,
    SlowInstance,
    FastErrors,
    Departures,
    Overload,
}

/// What an instance does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Work {
    pub time: Duration,
    pub fails: bool,
}

impl Scenario {
    pub const ALL: [Scenario; 6] = [
        Scenario::Steady,
        Scenario::StoreOutage,
        Scenario::SlowInstance,
        Scenario::FastErrors,
        Scenario::Departures,
        Scenario::Overload,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Scenario::Steady => "steady 60%",
            Scenario::StoreOutage => "store outage 60%",
            Scenario::SlowInstance => "one slow 5x 60%",
            Scenario::FastErrors => "one fails fast 60%",
            Scenario::Departures => "3 of 10 leave 60%",
            Scenario::Overload => "overload 200%",
        }
    }

    /// Offered load as a part of the capacity of all instances.
    pub fn load(self) -> f64 {
        if self == Scenario::Overload {
            2.0
        } else {
            0.6
        }
    }

    /// Returns what `instance` does with a request that needs `time` on a healthy one.
    pub fn work(self, instance: usize, time: Duration) -> Work {
        match (self, instance) {
            (Scenario::SlowInstance, 0) => Work { time: time.mul_f64(SLOW_FACTOR), fails: false },
            (Scenario::FastErrors, 0) => Work { time: FAST_ERROR, fails: true },
            _ => Work { time, fails: false },
        }
    }

    /// Tells whether `instance` leaves and comes back.
    pub fn departs(self, instance: usize) -> bool {
        self == Scenario::Departures && instance < DEPARTING
    }

    /// Tells whether the store answers.
    pub fn is_store_up(self, now: Time) -> bool {
        self != Scenario::StoreOutage || !DISTURBED.contains(&now)
    }
}
