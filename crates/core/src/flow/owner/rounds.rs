//! Pace of the placement rounds: what happens between two rounds is placed together, and rounds use
//! at most a fixed part of the owner's time.

use std::time::Duration;

use super::Owner;
use crate::time::Time;

/// Minimum time between two placement rounds, as a multiple of the time that the earlier one took.
const ROUND_REST_FACTOR: u32 = 4;
/// Maximum time between two placement rounds while tasks wait.
const MAX_ROUND_REST: Duration = Duration::from_millis(400);

/// Why a placement round runs.
#[derive(Debug, Clone, Copy)]
pub(in crate::flow) enum RoundCause {
    /// A job or an occurrence of one arrived.
    Job,
    /// A run ended, or a node accepts starts again.
    Room,
    /// The load on a worker changed.
    Pressure,
    /// An agent connected, reported or renewed its permission late.
    Agent,
    /// Time passed, or the lease was renewed.
    Timer,
}

impl RoundCause {
    pub(super) const COUNT: usize = 5;
    const NAMES: [&'static str; Self::COUNT] = ["job", "room", "pressure", "agent", "timer"];
}

impl Owner {
    /// Returns the number of times that placement has examined a node for a step, which is its
    /// share of the owner's CPU time.
    pub fn examined_nodes(&self) -> u64 {
        self.examined.get()
    }

    /// Returns the number of placement rounds by what first asked for each, since the owner began.
    pub fn rounds(&self) -> [(&'static str, u64); RoundCause::COUNT] {
        std::array::from_fn(|index| (RoundCause::NAMES[index], self.rounds[index]))
    }

    /// Asks for a placement round, because something changed that may let waiting tasks start.
    pub(in crate::flow) fn request_round(&mut self, cause: RoundCause) {
        if !self.placement_due {
            self.placement_due = true;
            self.rounds[cause as usize] += 1;
        }
    }

    /// Handles the end of a placement round, which took `took`. Rounds use at most a fixed part of
    /// the owner's time: an owner that falls behind runs fewer of them.
    pub fn round_took(&mut self, now: Time, took: Duration) {
        self.round_time += took;
        let rest = (took * ROUND_REST_FACTOR).min(MAX_ROUND_REST);
        self.next_round = now + rest.max(self.settings.round_interval);
    }

    /// Returns the time until a placement round that has been asked for may run, if there is one.
    pub fn next_round(&self, now: Time) -> Option<Duration> {
        (self.placement_due && self.is_valid(now)).then(|| self.next_round.saturating_sub(now))
    }
}
