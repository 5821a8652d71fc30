//! Deduplication of requests: each request id is admitted at most once.
//!
//! An entry is a front-end process that forwards requests to agents. It numbers its requests in
//! ascending order within one incarnation, which is one run of the process. For each incarnation
//! a replay window keeps the state of recent numbers, and a floor. A number below the floor counts
//! as admitted before, whether or not it was. Dropping a number for age or space raises the floor
//! above it, so a dropped number cannot be admitted again. In exchange, a request that arrives long
//! after higher numbers of the same entry is rejected.
//!
//! The window of an incarnation is dropped only when the table is full and no request of it has
//! arrived for [`INCARNATION_IDLE`], which is longer than TCP retransmits. While no window can be
//! dropped, requests of a new incarnation are refused.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use crate::id::{EntryId, Incarnation, RequestNumber};
use crate::message::request::RequestId;
use crate::time::Time;

/// Time for which the state of a request number is kept.
pub const RETENTION: Duration = Duration::from_secs(60);
/// Maximum request numbers kept for each incarnation of an entry.
pub const NUMBERS_PER_INCARNATION: usize = 16 * 1024;
/// Maximum incarnations kept, over all entries.
pub const MAX_INCARNATIONS: usize = 4096;
/// Time without requests after which an incarnation may be dropped. Linux stops retransmitting after
/// 16 min.
pub const INCARNATION_IDLE: Duration = Duration::from_secs(3600);

/// Known state of a request id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestState {
    /// Queued or running.
    Admitted,
    Ended,
    /// Never started, and must not be started later.
    Refused,
    /// Below the floor of its window; its former state is no longer known.
    BelowFloor,
}

/// Recent request numbers of one incarnation of an entry.
#[derive(Debug, Default)]
struct ReplayWindow {
    /// Lowest number that can still be admitted.
    floor: RequestNumber,
    states: BTreeMap<RequestNumber, RequestState>,
    /// Arrival times and numbers, oldest arrival first.
    arrivals: VecDeque<(Time, RequestNumber)>,
    last_arrival: Time,
}

/// Replay windows of all entries, with the ids of requests that arrived or were cancelled.
#[derive(Debug, Default)]
pub struct RequestHistory {
    windows: HashMap<EntryId, HashMap<Incarnation, ReplayWindow>>,
    window_count: usize,
}

impl RequestHistory {
    /// Returns the state of a request, or `None` if its id was never recorded.
    pub fn state(&self, id: &RequestId) -> Option<RequestState> {
        let window = self.windows.get(&id.entry)?.get(&id.incarnation)?;
        match window.states.get(&id.number) {
            Some(state) => Some(*state),
            None if id.number < window.floor => Some(RequestState::BelowFloor),
            None => None,
        }
    }

    /// Records a new id. Returns false if the table has no space for its incarnation.
    pub fn record(&mut self, now: Time, id: &RequestId, state: RequestState) -> bool {
        let known = self.windows.get(&id.entry).is_some_and(|s| s.contains_key(&id.incarnation));
        if !known && !self.ensure_capacity(now) {
            return false;
        }
        if !known {
            self.window_count += 1;
        }
        let window =
            self.windows.entry(id.entry.clone()).or_default().entry(id.incarnation).or_default();
        window.last_arrival = now;
        window.states.insert(id.number, state);
        window.arrivals.push_back((now, id.number));
        window.expire(now);
        true
    }

    /// Changes the state of a recorded id; has no effect on an id that was dropped.
    pub fn set_state(&mut self, id: &RequestId, state: RequestState) {
        let window = self.windows.get_mut(&id.entry).and_then(|s| s.get_mut(&id.incarnation));
        if let Some(known_state) = window.and_then(|window| window.states.get_mut(&id.number)) {
            *known_state = state;
        }
    }

    /// Returns the number of ids whose state is kept.
    pub fn len(&self) -> usize {
        self.windows.values().flat_map(HashMap::values).map(|window| window.states.len()).sum()
    }

    /// Tells whether no id is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops idle incarnations if the table is full; tells whether there is space for a new one.
    fn ensure_capacity(&mut self, now: Time) -> bool {
        if self.window_count < MAX_INCARNATIONS {
            return true;
        }
        for incarnations in self.windows.values_mut() {
            incarnations
                .retain(|_, window| now.saturating_sub(window.last_arrival) < INCARNATION_IDLE);
        }
        self.windows.retain(|_, incarnations| !incarnations.is_empty());
        self.window_count = self.windows.values().map(HashMap::len).sum();
        self.window_count < MAX_INCARNATIONS
    }
}

impl ReplayWindow {
    /// Drops numbers that exceed the retention time or the maximum count, and raises the floor.
    fn expire(&mut self, now: Time) {
        let floor = self.floor;
        while let Some(&(arrival, number)) = self.arrivals.front() {
            let old = now.saturating_sub(arrival) >= RETENTION;
            if !old && self.arrivals.len() <= NUMBERS_PER_INCARNATION {
                break;
            }
            self.arrivals.pop_front();
            self.floor = self.floor.max(number.saturating_add(1));
        }
        if self.floor > floor {
            self.states = self.states.split_off(&self.floor);
        }
    }
}
