//! Memory of request ids, so that each is admitted at most once.
//!
//! An entry gives rising numbers to its requests within one incarnation. For each incarnation this
//! memory keeps the recent numbers with their fate, and a floor: a number below the floor is
//! treated as admitted before, whether or not it was. Dropping a number for age or for space raises
//! the floor above it, so nothing that was dropped can be admitted again. The price is that a
//! request that arrives after much later ones of the same entry is turned away.
//!
//! An incarnation is dropped only when the table is full and it has been silent for
//! [`SOURCE_SILENCE`], which is longer than TCP retransmits. Else a new incarnation is refused.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use crate::id::{EntryId, Incarnation, RequestNumber};
use crate::message::request::RequestId;
use crate::time::Time;

/// Time for which the fate of a number is kept.
pub const RETENTION: Duration = Duration::from_secs(60);
/// Numbers kept for each incarnation of an entry.
pub const NUMBERS_PER_INCARNATION: usize = 16 * 1024;
/// Incarnations of entries kept.
pub const MAX_INCARNATIONS: usize = 4096;
/// Silence after which an incarnation may be dropped. Linux gives up retransmission after 16 min.
pub const INCARNATION_IDLE: Duration = Duration::from_secs(3600);

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestState {
    /// Queued or started, and not ended.
    Admitted,
    Ended,
    /// Never started, and must not be.
    Refused,
    /// Below the floor: may have been any of the others.
    BelowFloor,
}

#[derive(Debug, Default)]
struct ReplayWindow {
    floor: RequestNumber,
    states: BTreeMap<RequestNumber, RequestState>,
    /// Numbers in order of arrival.
    arrivals: VecDeque<(Time, RequestNumber)>,
    last_arrival: Time,
}

/// Ids of requests that arrived or were cancelled.
#[derive(Debug, Default)]
pub struct RequestHistory {
    windows: HashMap<EntryId, HashMap<Incarnation, ReplayWindow>>,
    window_count: usize,
}

impl RequestHistory {
    /// Fate of a request; `None` when the id was never seen.
    pub fn state(&self, id: &RequestId) -> Option<RequestState> {
        let window = self.windows.get(&id.entry)?.get(&id.incarnation)?;
        match window.states.get(&id.number) {
            Some(state) => Some(*state),
            None if id.number < window.floor => Some(RequestState::BelowFloor),
            None => None,
        }
    }

    /// Remembers a new id. Returns false when there is no space for its incarnation.
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

    /// Changes the fate of a remembered id.
    pub fn set_state(&mut self, id: &RequestId, state: RequestState) {
        let window = self.windows.get_mut(&id.entry).and_then(|s| s.get_mut(&id.incarnation));
        if let Some(known_state) = window.and_then(|window| window.states.get_mut(&id.number)) {
            *known_state = state;
        }
    }

    /// Number of ids remembered one by one.
    pub fn len(&self) -> usize {
        self.windows.values().flat_map(HashMap::values).map(|window| window.states.len()).sum()
    }

    /// Tells whether no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

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
