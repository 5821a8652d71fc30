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
pub const NUMBERS_PER_SOURCE: usize = 16 * 1024;
/// Incarnations of entries kept.
pub const SOURCES: usize = 4096;
/// Silence after which an incarnation may be dropped. Linux gives up retransmission after 16 min.
pub const SOURCE_SILENCE: Duration = Duration::from_secs(3600);

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// Queued or started, and not ended.
    Admitted,
    Ended,
    /// Never started, and must not be.
    Refused,
    /// Below the floor: may have been any of the others.
    Forgotten,
}

#[derive(Debug, Default)]
struct Source {
    floor: RequestNumber,
    fates: BTreeMap<RequestNumber, Fate>,
    /// Numbers in order of arrival.
    arrivals: VecDeque<(Time, RequestNumber)>,
    last: Time,
}

/// Ids of requests that arrived or were cancelled.
#[derive(Debug, Default)]
pub struct Seen {
    sources: HashMap<EntryId, HashMap<Incarnation, Source>>,
    source_count: usize,
}

impl Seen {
    /// Fate of a request; `None` when the id was never seen.
    pub fn fate(&self, id: &RequestId) -> Option<Fate> {
        let source = self.sources.get(&id.entry)?.get(&id.incarnation)?;
        match source.fates.get(&id.number) {
            Some(fate) => Some(*fate),
            None if id.number < source.floor => Some(Fate::Forgotten),
            None => None,
        }
    }

    /// Remembers a new id. Returns false when there is no space for its incarnation.
    pub fn record(&mut self, now: Time, id: &RequestId, fate: Fate) -> bool {
        let known = self.sources.get(&id.entry).is_some_and(|s| s.contains_key(&id.incarnation));
        if !known && !self.make_space(now) {
            return false;
        }
        if !known {
            self.source_count += 1;
        }
        let source =
            self.sources.entry(id.entry.clone()).or_default().entry(id.incarnation).or_default();
        source.last = now;
        source.fates.insert(id.number, fate);
        source.arrivals.push_back((now, id.number));
        source.expire(now);
        true
    }

    /// Changes the fate of a remembered id.
    pub fn change(&mut self, id: &RequestId, fate: Fate) {
        let source = self.sources.get_mut(&id.entry).and_then(|s| s.get_mut(&id.incarnation));
        if let Some(kept) = source.and_then(|source| source.fates.get_mut(&id.number)) {
            *kept = fate;
        }
    }

    /// Number of ids remembered one by one.
    pub fn len(&self) -> usize {
        self.sources.values().flat_map(HashMap::values).map(|source| source.fates.len()).sum()
    }

    /// Tells whether no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn make_space(&mut self, now: Time) -> bool {
        if self.source_count < SOURCES {
            return true;
        }
        for incarnations in self.sources.values_mut() {
            incarnations.retain(|_, source| now.saturating_sub(source.last) < SOURCE_SILENCE);
        }
        self.sources.retain(|_, incarnations| !incarnations.is_empty());
        self.source_count = self.sources.values().map(HashMap::len).sum();
        self.source_count < SOURCES
    }
}

impl Source {
    fn expire(&mut self, now: Time) {
        let floor = self.floor;
        while let Some(&(arrival, number)) = self.arrivals.front() {
            let old = now.saturating_sub(arrival) >= RETENTION;
            if !old && self.arrivals.len() <= NUMBERS_PER_SOURCE {
                break;
            }
            self.arrivals.pop_front();
            self.floor = self.floor.max(number.saturating_add(1));
        }
        if self.floor > floor {
            self.fates = self.fates.split_off(&self.floor);
        }
    }
}
