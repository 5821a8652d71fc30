//! A simulated entry, whose rounds are split into one step for each call to the store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use peridotfold_core::keys::gate::ProbeResult;
use peridotfold_core::keys::plan::{coordinator, witnesses, ServiceView};
use peridotfold_core::keys::{Decision, Holder, KeyGate, KeyMap, Planner, Witness, RETENTION};
use peridotfold_core::membership::{EntryRecord, Members};
use peridotfold_core::message::entry::{KeyListReply, KeyListRequest};
use peridotfold_core::time::lease_wait;

use super::{Agent, Store, OUTAGE_HOLD, SERVICE};

/// Time after its last announcement at which an agent receives no more work.
const EXPIRY: Duration = Duration::from_secs(3);

/// The next call to the store in a round.
enum StoreCall {
    Heartbeat,
    ListMap { start: Duration },
    ListRecords { map: (u64, KeyMap) },
    Plan { map: (u64, KeyMap) },
}

/// An entry with its connections and its view of entries and agents.
pub struct Entry {
    pub name: String,
    pub incarnation: u64,
    pub up: bool,
    pub reaches_store: bool,
    pub reaches_entries: bool,
    /// Whether the entry reaches each agent, by index.
    pub reaches: Vec<bool>,
    pub gate: KeyGate,
    members: Members,
    /// Key hashes of partly fetched lists, by generation, witness and the witness's incarnation.
    pages: BTreeMap<(u64, String, u64), BTreeSet<u128>>,
    planner: Planner,
    started: Duration,
    /// Previous incarnation, as found in the store.
    predecessor: Option<u64>,
    /// Number of heartbeats.
    counter: u64,
    next: StoreCall,
    /// Last announcement of each agent, with its time.
    heard: BTreeMap<String, (Holder, Duration)>,
    leaving: Vec<Holder>,
}

impl Entry {
    pub fn new(index: usize, incarnation: u64, now: Duration, agents: usize) -> Self {
        let name = format!("entry-{index}");
        Entry {
            gate: KeyGate::new(name.clone(), incarnation, OUTAGE_HOLD),
            name,
            incarnation,
            up: true,
            reaches_store: true,
            reaches_entries: true,
            reaches: vec![true; agents],
            members: Members::new(Duration::from_secs(6)),
            pages: BTreeMap::new(),
            planner: Planner::new(OUTAGE_HOLD),
            started: now,
            predecessor: None,
            counter: 0,
            next: StoreCall::Heartbeat,
            heard: BTreeMap::new(),
            leaving: Vec::new(),
        }
    }

    /// Receives an announcement of each agent that is up and reachable.
    pub fn receive_announcements(&mut self, now: Duration, agents: &[Agent]) {
        for (index, agent) in agents.iter().enumerate() {
            let name = agent.holder.agent.clone();
            match (agent.up && self.reaches[index], agent.leaving) {
                (true, false) => {
                    self.heard.insert(name, (agent.holder.clone(), now));
                }
                (true, true) => {
                    self.heard.remove(&name);
                    if !self.leaving.contains(&agent.holder) {
                        self.leaving.push(agent.holder.clone());
                    }
                }
                (false, _) => {}
            }
        }
    }

    pub fn decide(&mut self, now: Duration, key: &Bytes) -> Decision {
        let live = self.live(now);
        self.gate.decide(now, SERVICE, key, |holder| live.contains(holder))
    }

    pub fn decide_probed(
        &mut self,
        now: Duration,
        key: &Bytes,
        generation: u64,
        results: &[ProbeResult],
    ) -> Decision {
        let live = self.live(now);
        let is_live = |holder: &Holder| live.contains(holder);
        self.gate.decide_probed(now, SERVICE, key, generation, results, is_live)
    }

    /// Returns the entries that must not have dispatched a key before it is reported as not run,
    /// and the time at which they were listed.
    pub fn confirm_witnesses(&self, now: Duration) -> (Option<Duration>, Vec<Witness>) {
        let records = self.members.records(now);
        let records: Vec<_> = records.map(|(record, age)| (record.clone(), age)).collect();
        (self.members.last_listed(), witnesses(OUTAGE_HOLD, &records))
    }

    /// Receives one page of a list from another entry, and stores the list once it is complete.
    pub fn receive_page(&mut self, request: &KeyListRequest, reply: KeyListReply) {
        let KeyListReply::Page { keys, more } = reply else { return };
        let id = (request.generation, request.entry.clone(), request.incarnation);
        let pages = self.pages.entry(id.clone()).or_default();
        pages.extend(keys);
        if !more {
            let whole = self.pages.remove(&id).unwrap_or_default();
            self.gate.store_list(request, whole);
        }
    }

    /// Returns requests for the next page of each list that the entry is missing.
    pub fn page_requests(&self, now: Duration) -> Vec<KeyListRequest> {
        let mut requests = self.gate.missing(now);
        for request in &mut requests {
            let id = (request.generation, request.entry.clone(), request.incarnation);
            request.after = self.pages.get(&id).and_then(|keys| keys.last().copied());
        }
        requests
    }

    /// Performs the next call to the store. The call may fail before or after it took effect.
    pub fn advance(&mut self, now: Duration, store: &mut Store, rng: &mut fastrand::Rng) {
        if !self.up {
            return;
        }
        self.gate.prune(now);
        let next = std::mem::replace(&mut self.next, StoreCall::Heartbeat);
        if !self.reaches_store || rng.u32(0..20) == 0 {
            return;
        }
        let reply_lost = rng.u32(0..20) == 0;
        match next {
            StoreCall::Heartbeat => {
                self.write_heartbeat(now, store, false);
                if !reply_lost {
                    self.next = StoreCall::ListMap { start: now };
                }
            }
            StoreCall::ListMap { start } => {
                let map = store.map.clone();
                let listed = match map.0 {
                    0 => Vec::new(),
                    _ => vec![(SERVICE.to_owned(), map.1.clone())],
                };
                self.gate.adopt(start, now, listed);
                self.next = StoreCall::ListRecords { map };
            }
            StoreCall::ListRecords { map } => {
                let records = store.records.values().map(|(_, record)| record.clone()).collect();
                self.members.observe(now, records);
                self.next = StoreCall::Plan { map };
            }
            StoreCall::Plan { map } => self.plan(now, store, map, reply_lost),
        }
    }

    /// Shuts the entry down gracefully: writes its last record and stops.
    pub fn stop(&mut self, now: Duration, store: &mut Store) {
        if self.reaches_store {
            self.write_heartbeat(now, store, true);
        }
        self.up = false;
    }

    fn write_heartbeat(&mut self, now: Duration, store: &mut Store, stopped: bool) {
        self.counter += 1;
        let found = store.records.get(&self.name);
        if let Some((_, found)) = found.filter(|(_, r)| r.incarnation != self.incarnation) {
            self.predecessor = Some(found.incarnation);
            if found.joined {
                self.gate.set_rejoined();
            }
            if found.complete {
                self.gate.set_predecessor(found.incarnation);
            }
        }
        let record = EntryRecord {
            entry: self.name.clone(),
            incarnation: self.incarnation,
            counter: self.counter,
            http: String::new(),
            internal: String::new(),
            data_centre: String::new(),
            adopted: self.gate.acknowledged(now),
            complete: self.predecessor.is_none()
                || now - self.started >= lease_wait(RETENTION)
                || self.gate.is_recovered(),
            predecessor: self.predecessor,
            joined: self.gate.is_joined(now),
            stopped,
        };
        let version = found.map_or(1, |(version, _)| version + 1);
        store.records.insert(self.name.clone(), (version, record));
    }

    /// Plans moves, and writes the next key map unless the store has another version by now.
    fn plan(&mut self, now: Duration, store: &mut Store, map: (u64, KeyMap), reply_lost: bool) {
        let records: Vec<_> =
            self.members.records(now).map(|(record, silent)| (record.clone(), silent)).collect();
        let expired_moves = self.gate.expired_moves(now, SERVICE);
        let live = self.live(now);
        let view = ServiceView {
            service: SERVICE,
            map: &map.1,
            live: &live,
            leaving: &self.leaving,
            records: &records,
            expired_moves: &expired_moves,
        };
        self.planner.track_holders(now, &view);
        let alive = self.members.alive();
        if coordinator(SERVICE, &alive).is_none_or(|view| view.entry != self.name) {
            return;
        }
        let Some(next) = self.planner.plan(now, &view) else { return };
        if store.map.0 != map.0 {
            return;
        }
        store.map = (map.0 + 1, next.clone());
        if !reply_lost {
            self.gate.adopt_one(now, SERVICE, next);
        }
    }

    /// Returns the agent incarnations whose announcements have not expired.
    fn live(&self, now: Duration) -> Vec<Holder> {
        let heard = self.heard.values();
        heard.filter(|(_, at)| now - *at < EXPIRY).map(|(holder, _)| holder.clone()).collect()
    }
}
