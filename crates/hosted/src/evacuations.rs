//! Evacuated zones at an entry: learned from the operator's keys, and handed to the owner in the same
//! process.

use std::time::Duration;

use peridotfold_core::flow::evacuation;

use crate::entry::{Entry, Role};
use crate::owner_service;
use crate::ports::Store;
use crate::subscription::{Source, Update};

/// Longest wait of a watch, in percent of the age beyond which the owner starts nothing. A watch that
/// gets no answer is given up half a second after its wait, and a read follows, before that age.
const WATCH_PERCENT: u32 = 40;
/// Time after a read of all keys at which they are read again while a zone is evacuated: the event of its
/// removal may be lost for good. Twice the time for which watches overlap.
const REREAD_INTERVAL: Duration = Duration::from_secs(10);

impl<S: Store> Entry<S> {
    /// Returns the prefix of the keys that this entry watches, and the longest wait of a watch.
    pub(crate) fn watched_keys(&self) -> (&'static str, Duration) {
        let wait = self.view.lock().watch_wait();
        match self.evacuation {
            None => (self.store.routes_key(), wait),
            Some(bound) => {
                let longest = evacuation::max_age(bound) * WATCH_PERCENT / 100;
                (self.store.operator_prefix(), wait.min(longest))
            }
        }
    }

    /// Applies what an update tells about evacuated zones, and hands the result to the owner if it is this
    /// entry. `read_age` is the time since the keys were last read. Returns whether they have to be read
    /// again: a removal without a revision cannot be ordered among other changes, and is not applied.
    pub(crate) fn apply_evacuations(&self, update: &Update, read_age: Option<Duration>) -> bool {
        if self.evacuation.is_none() {
            return false;
        }
        let is_read_due = read_age.is_none_or(|age| age >= REREAD_INTERVAL);
        {
            let mut known = self.evacuations.lock();
            let zone_of = |key| self.store.evacuated_zone(key);
            let zones =
                update.items.iter().filter_map(|item| Some((zone_of(&item.key)?, item.revision)));
            match update.source {
                Source::Read => {
                    let listed: Vec<(String, u64)> =
                        zones.map(|(zone, revision)| (zone.to_owned(), revision)).collect();
                    known.replace(&listed, update.revision);
                }
                Source::Watch | Source::Peer => {
                    for (zone, revision) in zones {
                        known.note(zone, revision, true);
                    }
                    for (key, revision) in &update.removals {
                        if let Some(zone) = zone_of(key) {
                            known.note(zone, *revision, false);
                        }
                    }
                }
            }
            known.confirm(update.as_of);
            metrics::gauge!("evacuated_zones").set(known.count() as f64);
            if let Some(at) = known.as_of() {
                let confirmed = owner_service::unix_seconds_at(at);
                metrics::gauge!("evacuations_confirmed_timestamp_seconds").set(confirmed);
            }
        }
        self.hand_evacuations();
        let is_unordered = |(key, revision): &(String, u64)| {
            *revision == 0 && self.store.evacuated_zone(key).is_some()
        };
        let has_closed = self.evacuations.lock().count() > 0;
        has_closed && is_read_due || update.removals.iter().any(is_unordered)
    }

    /// Hands the known evacuations to the owner if it is this entry.
    pub(crate) fn hand_evacuations(&self) {
        if let (Some(_), Role::Owner(service)) = (self.evacuation, self.role().0) {
            let known = self.evacuations.lock().clone();
            service.update(|owner, now| owner.know_evacuations(now, &known));
        }
    }
}
