//! Liveness of entries from their heartbeats in the store.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{DataCentreId, EntryId, Incarnation, ServiceId};
use crate::time::Time;

/// Time between two heartbeats, and between two lists.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which a failed heartbeat is tried again. With a whole period in between, a few short
/// outages that each cover one heartbeat made an entry dead.
pub const HEARTBEAT_RETRY: Duration = Duration::from_millis(500);
/// A longer time between two successful lists is an outage of the store and does not count.
const LIST_GAP_LIMIT: Duration = Duration::from_secs(4);
/// The record `entries/<id>` in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    pub entry: EntryId,
    pub incarnation: Incarnation,
    /// Rises with each heartbeat.
    pub counter: u64,
    pub http: String,
    pub internal: String,
    pub data_centre: DataCentreId,
    /// Key map generations that the entry has adopted.
    pub adopted: BTreeMap<ServiceId, u64>,
    /// The table of dispatched keys covers the whole retention, also across a restart.
    pub complete: bool,
    /// Incarnation whose record this one replaced.
    #[serde(default)]
    pub predecessor: Option<Incarnation>,
    /// The entry may dispatch keys, since the others know its name.
    #[serde(default)]
    pub joined: bool,
    /// The entry has ended after a graceful shutdown.
    pub stopped: bool,
}

/// An entry that is alive.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EntryView {
    pub entry: EntryId,
    pub incarnation: Incarnation,
    /// Address for messages between processes, as IP and port.
    pub address: String,
    pub data_centre: DataCentreId,
}

#[derive(Debug)]
struct Member {
    record: EntryRecord,
    /// Time without an advance of the counter, counted over successful lists only.
    silent: Duration,
    /// Time of the list that saw the last advance.
    advanced: Time,
}

/// Entries as seen by one of them.
#[derive(Debug)]
pub struct Members {
    dead_after: Duration,
    members: HashMap<EntryId, Member>,
    last_listed: Option<Time>,
}

impl Members {
    /// Builds an empty view.
    pub fn new(dead_after: Duration) -> Self {
        Members { dead_after, members: HashMap::new(), last_listed: None }
    }

    /// Takes the records of a successful list.
    ///
    /// Lists are passed only after a successful heartbeat of the observer: when the store answers
    /// reads but no writes, all counters stand still and nobody is dead.
    pub fn observe(&mut self, now: Time, records: Vec<EntryRecord>) {
        let gap = now.saturating_sub(self.last_listed.unwrap_or(now));
        let counted = if gap <= LIST_GAP_LIMIT { gap } else { Duration::ZERO };
        self.last_listed = Some(now);
        self.members.retain(|entry, _| records.iter().any(|record| record.entry == *entry));
        for record in records {
            match self.members.get_mut(&record.entry) {
                Some(member) if !member.record.has_advanced(&record) => member.silent += counted,
                _ => {
                    let member = Member { silent: Duration::ZERO, advanced: now, record };
                    self.members.insert(member.record.entry.clone(), member);
                }
            }
        }
    }

    /// Lists the entries that are alive, ordered by name.
    pub fn alive(&self) -> Vec<EntryView> {
        let mut views: Vec<_> = self
            .members
            .values()
            .filter(|member| !member.record.stopped && member.silent < self.dead_after)
            .map(|member| EntryView {
                entry: member.record.entry.clone(),
                incarnation: member.record.incarnation,
                address: member.record.internal.clone(),
                data_centre: member.record.data_centre.clone(),
            })
            .collect();
        views.sort_by(|a, b| a.entry.cmp(&b.entry));
        views
    }

    /// Lists all records with the real time since their last advance, outages included.
    pub fn records(&self, now: Time) -> impl Iterator<Item = (&EntryRecord, Duration)> {
        self.members
            .values()
            .map(move |member| (&member.record, now.saturating_sub(member.advanced)))
    }

    /// Returns the time of the last successful list.
    pub fn last_listed(&self) -> Option<Time> {
        self.last_listed
    }

    /// Returns the record of one entry.
    pub fn record(&self, entry: &str) -> Option<&EntryRecord> {
        self.members.get(entry).map(|member| &member.record)
    }
}

impl EntryRecord {
    fn has_advanced(&self, other: &EntryRecord) -> bool {
        (self.incarnation, self.counter) != (other.incarnation, other.counter)
    }
}
