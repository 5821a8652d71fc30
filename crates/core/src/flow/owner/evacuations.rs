//! Evacuated zones as the owner knows them, and their effect on its nodes.

use std::time::Duration;

use super::{Node, Owner, RoundCause, Slot};
use crate::flow::evacuation::{self, Evacuations};
use crate::time::Time;

/// Time for which the nodes of a zone that returns to service rank behind others: their workers may be
/// cold, and would otherwise get the whole load at once because they are empty.
const RETURN_TIME: Duration = Duration::from_secs(2);

impl Owner {
    /// Adds what the entry of this process knows about evacuated zones.
    pub fn know_evacuations(&mut self, now: Time, known: &Evacuations) {
        let was_confirmed = self.is_confirmed(now);
        let changes = self.evacuations.merge(known);
        for (zone, is_evacuated) in &changes {
            self.apply_evacuation(now, zone, *is_evacuated);
        }
        let is_open_again = changes.iter().any(|(_, is_evacuated)| !is_evacuated);
        if is_open_again || !was_confirmed {
            self.request_round(RoundCause::Room);
        }
    }

    /// Tells whether the set of evacuated zones is recent enough to start tasks by it.
    pub(in crate::flow) fn is_confirmed(&self, now: Time) -> bool {
        let is_recent =
            |bound| self.evacuations.age(now).is_some_and(|age| age <= evacuation::max_age(bound));
        self.settings.evacuation.is_none_or(is_recent)
    }

    /// Tells whether the evacuation of zones, or the age of their set, leaves no node for a stopped run.
    pub(super) fn is_closed_by_evacuation(&self, now: Time) -> bool {
        let is_open = |node: &Node| node.worker.is_some() && !node.is_evacuated;
        !self.is_confirmed(now) || self.evacuations.count() > 0 && !self.nodes.iter().any(is_open)
    }

    /// Closes or opens the nodes of a zone.
    fn apply_evacuation(&mut self, now: Time, zone: &str, is_evacuated: bool) {
        let is_its =
            |node: &&mut Node| node.worker.as_ref().is_some_and(|worker| worker.zone == zone);
        for node in self.nodes.iter_mut().filter(is_its) {
            node.is_evacuated = is_evacuated;
            if !is_evacuated {
                node.ranks_behind_until = now + RETURN_TIME;
            }
        }
        self.unlogged_zones.insert(zone.to_owned(), is_evacuated);
    }

    /// Logs zones that were evacuated or returned since the last call, and whether the set of zones has
    /// become too old, or is no longer. During a takeover, the workers of a zone are not known yet.
    pub(super) fn log_evacuations(&mut self, now: Time) {
        let age = self.evacuations.age(now);
        let is_unconfirmed = !self.is_confirmed(now);
        if std::mem::replace(&mut self.was_unconfirmed, is_unconfirmed) != is_unconfirmed {
            let event = if is_unconfirmed { "evacuations_stale" } else { "evacuations_fresh" };
            let age_ms = age.map_or("none".to_owned(), |age| age.as_millis().to_string());
            self.log(event, None, format!("age_ms={age_ms}"));
        }
        if self.unlogged_zones.is_empty() || self.takeover_deadline.is_some() {
            return;
        }
        for (zone, is_evacuated) in std::mem::take(&mut self.unlogged_zones) {
            let (mut workers, mut running) = (0, 0);
            for node in &self.nodes {
                if node.worker.as_ref().is_some_and(|worker| worker.zone == zone) {
                    workers += 1;
                    running += node.tasks.len();
                }
            }
            let age_ms = age.unwrap_or_default().as_millis();
            let detail = format!("zone={zone} workers={workers} running={running} age_ms={age_ms}");
            let event = if is_evacuated { "zone_evacuated" } else { "zone_returned" };
            self.log(event, None, detail);
        }
    }

    /// Updates whether a node is in an evacuated zone, after its worker or the worker's zone has changed.
    pub(in crate::flow) fn check_zone(&mut self, slot: Slot) {
        let zone = self.nodes[slot].worker.as_ref().map(|worker| worker.zone.as_str());
        self.nodes[slot].is_evacuated = zone.is_some_and(|zone| self.evacuations.contains(zone));
    }
}
