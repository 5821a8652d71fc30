//! Zones that the operator has evacuated: no tasks may start on their workers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::time::Time;

/// Age of the known set beyond which no tasks are started, in percent of the bound. The rest is left to
/// orders on their way: an agent drops a session that is silent for 2.3 s.
const MAX_AGE_PERCENT: u32 = 70;

/// Returns the age of the set beyond which no tasks are started, if an evacuation must be in force
/// within `bound`.
pub fn max_age(bound: Duration) -> Duration {
    bound * MAX_AGE_PERCENT / 100
}

/// Newest known change of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ZoneChange {
    /// Revision of the store at which the change was made.
    revision: u64,
    is_evacuated: bool,
}

/// The set of evacuated zones, and the time as of which it is known.
///
/// The newest revision decides for each zone, so that changes may arrive repeatedly and in any order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    zones: BTreeMap<String, ZoneChange>,
    /// Time up to which all changes are known; `None` before the first read.
    as_of: Option<Time>,
}

impl Evacuations {
    /// Notes that a zone was evacuated or returned to service at a revision. Returns whether that changes
    /// the set.
    pub fn note(&mut self, zone: &str, revision: u64, is_evacuated: bool) -> bool {
        let was_evacuated = self.contains(zone);
        match self.zones.get_mut(zone) {
            Some(known) if known.revision >= revision => return false,
            Some(known) => *known = ZoneChange { revision, is_evacuated },
            None => {
                self.zones.insert(zone.to_owned(), ZoneChange { revision, is_evacuated });
            }
        }
        was_evacuated != is_evacuated
    }

    /// Replaces the set by the zones in `listed`, with the revisions of their keys, which are all that the
    /// store has at `revision`. Changes after that revision are kept. Returns whether the set changes.
    pub fn replace(&mut self, listed: &[(String, u64)], revision: u64) -> bool {
        let names: BTreeSet<&str> = listed.iter().map(|(zone, _)| zone.as_str()).collect();
        let is_gone = |zone: &&String| !names.contains(zone.as_str());
        let gone: Vec<String> = self.zones.keys().filter(is_gone).cloned().collect();
        let mut is_changed = false;
        for zone in gone {
            is_changed |= self.note(&zone, revision, false);
        }
        for (zone, revision) in listed {
            is_changed |= self.note(zone, *revision, true);
        }
        is_changed
    }

    /// Notes that all changes up to `as_of` are known.
    pub fn confirm(&mut self, as_of: Time) {
        self.as_of = self.as_of.max(Some(as_of));
    }

    /// Adds what `other` knows. Returns the zones whose state changes, and whether they are evacuated.
    pub fn merge(&mut self, other: &Evacuations) -> Vec<(String, bool)> {
        let mut changed = Vec::new();
        for (zone, change) in &other.zones {
            if self.note(zone, change.revision, change.is_evacuated) {
                changed.push((zone.clone(), change.is_evacuated));
            }
        }
        self.as_of = self.as_of.max(other.as_of);
        changed
    }

    /// Tells whether a zone is evacuated as far as is known.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|change| change.is_evacuated)
    }

    /// Returns the number of evacuated zones.
    pub fn count(&self) -> usize {
        self.zones.values().filter(|change| change.is_evacuated).count()
    }

    /// Returns the time up to which all changes are known; `None` before the first read.
    pub fn as_of(&self) -> Option<Time> {
        self.as_of
    }

    /// Returns the age of the set; `None` before the first read.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.as_of.map(|at| now.saturating_sub(at))
    }
}
