//! Detects which entries are alive from their heartbeats in the store.
//!
//! Each entry writes its record periodically, and lists the records of all entries.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{DataCentreId, EntryId, Incarnation, ServiceId};
use crate::time::Time;

/// Time between two heartbeats of an entry, and between two of its lists of all records.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which a failed heartbeat is retried. With a whole [`HEARTBEAT_INTERVAL`], a few short
/// outages that each covered one heartbeat made an entry count as dead.
pub const HEARTBEAT_RETRY: Duration = Duration::from_millis(500);
/// Maximum time between two successful lists that counts as silence of an entry. A longer gap is an
/// outage of the store.
const LIST_GAP_LIMIT: Duration = Duration::from_secs(4);
/// Record of an entry in the store, under `entries/<id>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    pub entry: EntryId,
    pub incarnation: Incarnation,
    /// Number of the heartbeat, which rises with each write.
    pub counter: u64,
    /// Address for HTTP requests.
    pub http: String,
    /// Address for messages between processes, as IP and port.
    pub internal: String,
    pub data_centre: DataCentreId,
    /// Generation of each key map up to which the entry acknowledges moves.
    pub adopted: BTreeMap<ServiceId, u64>,
    /// The entry's table of dispatched keys covers the whole retention, also across a restart.
    pub complete: bool,
    /// Previous incarnation of the entry, whose record this one replaced.
    #[serde(default)]
    pub predecessor: Option<Incarnation>,
    /// The entry may dispatch keys, since the other entries know its name.
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

/// The last seen record of an entry and the time since it changed.
#[derive(Debug)]
struct Member {
    record: EntryRecord,
    /// Time without a new heartbeat, counted over successful lists only.
    silent: Duration,
    /// Time of the list that showed the last new heartbeat.
    advanced: Time,
}

/// The entries and their liveness, as one entry sees them.
#[derive(Debug)]
pub struct Members {
    /// Silence after which an entry counts as dead.
    dead_after: Duration,
    members: HashMap<EntryId, Member>,
    /// Time of the last successful list.
    last_listed: Option<Time>,
}

impl Members {
    /// Builds a view without entries.
    pub fn new(dead_after: Duration) -> Self {
        Members { dead_after, members: HashMap::new(), last_listed: None }
    }

    /// Applies the records of a successful list.
    ///
    /// Must be called only after a successful heartbeat of the observing entry: while the store
    /// accepts reads but no writes, no counter advances, and no entry may count as dead.
    pub fn observe(&mut self, now: Time, records: Vec<EntryRecord>) {
        let gap = now.saturating_sub(self.last_listed.unwrap_or(now));
        let counted = if gap <= LIST_GAP_LIMIT { gap } else { Duration::ZERO };
        self.last_listed = Some(now);
        self.members.retain(|entry, _| records.iter().any(|record| record.entry == *entry));
        for record in records {
            match self.members.get_mut(&record.entry) {
                Some(member) if !member.record.differs_from(&record) => member.silent += counted,
                _ => {
                    let member = Member { silent: Duration::ZERO, advanced: now, record };
                    self.members.insert(member.record.entry.clone(), member);
                }
            }
        }
    }

    /// Returns the entries that are alive, ordered by name.
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

    /// Iterates over all records with the time since their last new heartbeat, outages included.
    pub fn records(&self, now: Time) -> impl Iterator<Item = (&EntryRecord, Duration)> {
        self.members
            .values()
            .map(move |member| (&member.record, now.saturating_sub(member.advanced)))
    }

    /// Returns the time of the last successful list.
    pub fn last_listed(&self) -> Option<Time> {
        self.last_listed
    }

    /// Returns the last seen record of an entry.
    pub fn record(&self, entry: &str) -> Option<&EntryRecord> {
        self.members.get(entry).map(|member| &member.record)
    }
}

impl EntryRecord {
    /// Tells whether two records come from different heartbeats.
    fn differs_from(&self, other: &EntryRecord) -> bool {
        (self.incarnation, self.counter) != (other.incarnation, other.counter)
    }
}
