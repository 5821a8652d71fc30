//! A world of entries, agents and a store for the schedules of keys.

mod entry;
mod recovery;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use peridotfold_core::keys::{Decision, Holder, KeyMap, Phase, Witness};
use peridotfold_core::membership::EntryRecord;
use peridotfold_core::message::entry::{KeyListReply, ProbeReply};

use entry::Entry;

pub const SERVICE: &str = "bidding";
pub const OUTAGE_HOLD: Duration = Duration::from_secs(60);
const ENTRIES: usize = 3;
const AGENTS: usize = 3;
/// Callers retry a key for less than the retention of 10 min.
const RETRY_WINDOW: Duration = Duration::from_secs(9 * 60);
/// Longest delay of a request on its way to an agent.
const DELIVERY_LIMIT: Duration = Duration::from_secs(20);

#[derive(Default)]
pub struct Store {
    pub records: BTreeMap<String, (u64, EntryRecord)>,
    pub map: (u64, KeyMap),
}

pub struct Agent {
    pub holder: Holder,
    pub up: bool,
    pub leaving: bool,
    /// Entries, with the incarnation, whose requests are refused.
    ended: Vec<(usize, u64)>,
}

struct Key {
    name: Bytes,
    created: Duration,
    /// Holders that ran it.
    runs: BTreeSet<(String, u64)>,
    /// Dispatches on their way when a request was answered as not run.
    reported_not_run: BTreeSet<u64>,
}

/// A request on its way to a holder.
struct Message {
    number: u64,
    entry: usize,
    incarnation: u64,
    key: usize,
    holder: Holder,
    sent: Duration,
    /// The key had run when the request came.
    ran: bool,
    /// Dispatches of the key that were on their way then.
    in_flight: BTreeSet<u64>,
}

/// A request whose witnesses are being asked, one after the other.
struct Probing {
    entry: usize,
    incarnation: u64,
    key: usize,
    /// Of the move, or `None` to confirm that the key was not run.
    generation: Option<u64>,
    listed: Option<Duration>,
    witnesses: Vec<Witness>,
    unasked: Vec<Witness>,
    results: Vec<(Witness, Option<ProbeReply>)>,
    /// The key had run when the request came.
    ran: bool,
    /// Dispatches of the key that were on their way then.
    in_flight: BTreeSet<u64>,
}

pub struct World {
    seed: u64,
    rng: fastrand::Rng,
    now: Duration,
    /// Mean time of one step; long ones let the retention pass.
    step_ms: u64,
    store: Store,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    keys: Vec<Key>,
    messages: Vec<Message>,
    probing: Vec<Probing>,
    last_number: u64,
    /// Answers of certain `not run`.
    pub not_run: u64,
    /// No faults but those that a test causes.
    fault_free: bool,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let step_ms = [100, 300, 1_000][rng.usize(0..3)];
        let entries =
            (0..ENTRIES).map(|i| Entry::new(i, rng.u64(1..), Duration::ZERO, AGENTS)).collect();
        let agents = (0..AGENTS)
            .map(|index| Agent {
                holder: Holder { agent: format!("agent-{index}"), incarnation: rng.u64(1..) },
                up: true,
                leaving: false,
                ended: Vec::new(),
            })
            .collect();
        World {
            seed,
            rng,
            now: Duration::ZERO,
            step_ms,
            store: Store::default(),
            entries,
            agents,
            keys: Vec::new(),
            messages: Vec::new(),
            probing: Vec::new(),
            last_number: 0,
            not_run: 0,
            fault_free: false,
        }
    }

    pub fn step(&mut self) {
        self.now += Duration::from_millis(self.rng.u64(0..self.step_ms * 2));
        self.announce();
        let entry = self.rng.usize(0..ENTRIES);
        match self.rng.u32(0..100) {
            0..50 => self.entries[entry].advance(self.now, &mut self.store, &mut self.rng),
            50..65 => self.request(entry),
            65..80 => self.deliver(),
            80..90 => self.advance_probe(),
            90..92 => self.fetch(entry),
            92..94 => self.recover(entry),
            _ if self.fault_free => {}
            94 => self.isolate_entry(entry),
            95 => self.change_agent(),
            96 => self.entries[entry].reaches_store = self.rng.u32(0..3) > 0,
            97 => {
                let agent = self.rng.usize(0..AGENTS);
                self.entries[entry].reaches[agent] = self.rng.bool();
            }
            98 => self.entries[entry].reaches_entries = self.rng.u32(0..3) > 0,
            _ => self.change_entry(entry),
        }
    }

    /// Runs steps without faults until one entry is cut off, and then until it must have stopped
    /// to use what it knew.
    pub fn run_isolated_entry(&mut self) {
        (self.fault_free, self.step_ms) = (true, 100);
        let warmup = self.rng.u32(150..400);
        (0..warmup).for_each(|_| self.step());
        let entry = self.rng.usize(0..ENTRIES);
        self.isolate_entry(entry);
        self.entries[entry].reaches_store = false;
        let end = self.now + OUTAGE_HOLD * 2;
        while self.now < end {
            self.step();
        }
    }

    /// Restarts an agent, and then an entry as soon as another one has its list; with `outage`, the
    /// store is down around that. Returns how many new keys each entry may not dispatch afterwards.
    pub fn run_restart(&mut self, outage: bool) -> usize {
        (self.fault_free, self.step_ms) = (true, 100);
        while !self.is_open() {
            self.step();
        }
        let (agent, victim) = (self.rng.usize(0..AGENTS), self.rng.usize(0..ENTRIES));
        self.agents[agent].holder.incarnation = self.rng.u64(1..);
        let generation = self.store.map.1.generation;
        let other = (victim + 1 + self.rng.usize(0..ENTRIES - 1)) % ENTRIES;
        let (name, old) = (self.entries[victim].name.clone(), self.entries[victim].incarnation);
        let has_list = |world: &World| {
            let entry = &world.entries[other];
            let missing = entry.gate.missing(world.now);
            entry.gate.map(SERVICE).is_some_and(|map| map.generation > generation)
                && !missing.iter().any(|r| r.entry == name && r.incarnation == old)
        };
        while !has_list(self) {
            self.step();
        }
        for _ in 0..self.rng.u32(0..60) {
            self.step();
        }
        self.set_store(!outage);
        let incarnation = self.rng.u64(1..);
        self.entries[victim] = Entry::new(victim, incarnation, self.now, AGENTS);
        let end = self.now + OUTAGE_HOLD / 4;
        while self.now < end {
            self.entries[victim].reaches_store = !outage;
            self.step();
        }
        self.set_store(true);
        let end = self.now + OUTAGE_HOLD;
        while self.now < end {
            self.step();
            (0..ENTRIES).for_each(|entry| self.fetch(entry));
        }
        assert!(self.is_open(), "seed {}: buckets are still closed", self.seed);
        for (entry, key) in (0..ENTRIES).flat_map(|e| self.keys.iter().map(move |key| (e, key))) {
            let decision = self.entries[entry].decide(self.now, &key.name);
            let Decision::Dispatch(holder) = decision else { continue };
            let holder = (holder.agent, holder.incarnation);
            let same = key.runs.is_empty() || key.runs.contains(&holder);
            assert!(same, "seed {}: {:?} is dispatched again", self.seed, key.name);
        }
        self.count_closed("new")
    }

    fn set_store(&mut self, reachable: bool) {
        for entry in &mut self.entries {
            entry.reaches_store = reachable;
        }
    }

    /// Ends all faults and lets enough time pass for each timeout.
    pub fn heal(&mut self) {
        self.fault_free = true;
        (self.step_ms, self.messages, self.probing) = (100, Vec::new(), Vec::new());
        for index in 0..ENTRIES {
            let entry = &mut self.entries[index];
            (entry.reaches_store, entry.reaches_entries) = (true, true);
            entry.reaches = vec![true; AGENTS];
            if !entry.up {
                *entry = Entry::new(index, self.rng.u64(1..), self.now, AGENTS);
            }
        }
        for agent in &mut self.agents {
            (agent.up, agent.leaving) = (true, false);
        }
        let end = self.now + OUTAGE_HOLD * 2;
        while self.now < end {
            self.step();
        }
    }

    /// Tells whether each entry may use each bucket.
    pub fn is_open(&self) -> bool {
        let map = &self.store.map.1;
        let is_live = |holder: &Holder| self.agents.iter().any(|agent| agent.holder == *holder);
        !map.buckets.is_empty()
            && map.buckets.iter().all(|b| b.phase == Phase::Open && is_live(&b.holder))
            && self.entries.iter().all(|entry| {
                // The list of a settled move may be dropped at any time.
                entry.gate.map(SERVICE).is_some_and(|known| known.buckets == map.buckets)
            })
    }

    fn announce(&mut self) {
        for entry in self.entries.iter_mut().filter(|entry| entry.up) {
            entry.receive_announcements(self.now, &self.agents);
        }
    }

    /// Cuts one entry off from the store, and the others from an agent that it still reaches.
    fn isolate_entry(&mut self, entry: usize) {
        let agent = self.rng.usize(0..AGENTS);
        for (index, other) in self.entries.iter_mut().enumerate() {
            other.reaches[agent] = index == entry;
        }
        self.entries[entry].reaches_store = self.rng.u32(0..4) == 0;
    }

    fn change_agent(&mut self) {
        let index = self.rng.usize(0..AGENTS);
        let agent = &mut self.agents[index];
        match self.rng.u32(0..3) {
            0 => agent.up = false,
            1 => agent.leaving = true,
            _ => {
                agent.holder.incarnation = self.rng.u64(1..);
                (agent.up, agent.leaving) = (true, false);
                agent.ended.clear();
            }
        }
    }

    fn change_entry(&mut self, index: usize) {
        match self.rng.u32(0..3) {
            0 if self.entries[index].up => self.entries[index].stop(self.now, &mut self.store),
            1 => self.entries[index].up = false,
            _ => {
                let incarnation = self.rng.u64(1..);
                self.entries[index] = Entry::new(index, incarnation, self.now, AGENTS);
            }
        }
    }

    /// A caller sends a new key, or an earlier one again, through an entry.
    fn request(&mut self, entry: usize) {
        if !self.entries[entry].up {
            return;
        }
        let now = self.now;
        // Mostly one of the last keys: retries through several entries within a short time.
        let first = if self.rng.u32(0..4) > 0 { self.keys.len().saturating_sub(3) } else { 0 };
        let young: Vec<usize> = (first..self.keys.len())
            .filter(|index| now - self.keys[*index].created < RETRY_WINDOW)
            .collect();
        let key = match self.rng.choice(young) {
            Some(key) if self.rng.u32(0..8) > 0 => key,
            _ => {
                let name = Bytes::from(format!("key-{}", self.keys.len()));
                self.keys.push(Key {
                    name,
                    created: now,
                    runs: BTreeSet::new(),
                    reported_not_run: BTreeSet::new(),
                });
                self.keys.len() - 1
            }
        };
        let name = self.keys[key].name.clone();
        let decision = self.entries[entry].decide(now, &name);
        self.apply_decision(entry, key, decision);
    }

    fn apply_decision(&mut self, entry: usize, key: usize, decision: Decision) {
        let incarnation = self.entries[entry].incarnation;
        let pending = self.messages.iter().filter(|message| message.key == key);
        let in_flight = pending.map(|message| message.number).collect();
        let ran = !self.keys[key].runs.is_empty();
        match decision {
            Decision::Dispatch(holder) => {
                self.last_number += 1;
                let (number, sent) = (self.last_number, self.now);
                let message =
                    Message { number, entry, incarnation, key, holder, sent, ran, in_flight };
                self.messages.push(message);
            }
            Decision::Probe { generation, witnesses } => self.probing.push(Probing {
                entry,
                incarnation,
                key,
                generation: Some(generation),
                listed: None,
                witnesses: witnesses.clone(),
                unasked: witnesses,
                results: Vec::new(),
                ran,
                in_flight,
            }),
            Decision::Refuse => self.begin_confirm(entry, key, ran, in_flight),
            Decision::Unknown => {}
        }
    }

    /// Begins to ask all entries whether a refused key was run by another dispatch.
    fn begin_confirm(&mut self, entry: usize, key: usize, ran: bool, in_flight: BTreeSet<u64>) {
        let (listed, witnesses) = self.entries[entry].confirm_witnesses(self.now);
        self.probing.push(Probing {
            entry,
            incarnation: self.entries[entry].incarnation,
            key,
            generation: None,
            listed,
            witnesses: witnesses.clone(),
            unasked: witnesses,
            results: Vec::new(),
            ran,
            in_flight,
        });
    }

    /// Asks the next witness of a random request, or decides when all were asked.
    fn advance_probe(&mut self) {
        if self.probing.is_empty() {
            return;
        }
        let index = self.rng.usize(0..self.probing.len());
        let mut probing = self.probing.swap_remove(index);
        let asker = &self.entries[probing.entry];
        if asker.incarnation != probing.incarnation || !asker.up {
            return;
        }
        let name = self.keys[probing.key].name.clone();
        if let Some(witness) = probing.unasked.pop() {
            let reply = self.reply(probing.entry, &witness, &name);
            probing.results.push((witness, reply));
            self.probing.push(probing);
            return;
        }
        let Some(generation) = probing.generation else { return self.confirm(probing, &name) };
        let (now, results) = (self.now, &probing.results);
        let entry = &mut self.entries[probing.entry];
        let decision = entry.decide_probed(now, &name, generation, results);
        self.apply_decision(probing.entry, probing.key, decision);
    }

    /// Checks that a key which is reported as not run has not run.
    fn confirm(&mut self, probing: Probing, name: &Bytes) {
        let Probing { entry, key, listed, witnesses, results, ran, in_flight, .. } = probing;
        let gate = &self.entries[entry].gate;
        if gate.confirm_not_run(self.now, SERVICE, name, (listed, &witnesses), &results) {
            self.not_run += 1;
            assert!(!ran, "seed {}: {name:?} had run and is reported as not run", self.seed);
            self.keys[key].reported_not_run.extend(in_flight);
        }
    }

    /// Lets an entry fetch a page of a list that it lacks, from any entry.
    fn fetch(&mut self, entry: usize) {
        let page_requests = self.entries[entry].page_requests(self.now);
        let Some(request) = self.rng.choice(page_requests).filter(|_| self.entries[entry].up)
        else {
            return;
        };
        let asked = self.rng.usize(0..ENTRIES);
        let source = &self.entries[asked];
        if source.up && source.reaches_entries && self.entries[entry].reaches_entries {
            let reply = truncate_page(source.gate.list(&request), self.rng.usize(1..4));
            if matches!(reply, KeyListReply::Page { more: false, .. }) {
                self.entries[asked].gate.note_copied(&request);
            }
            self.entries[entry].receive_page(&request, reply);
        }
    }

    fn reply(&self, asker: usize, witness: &Witness, name: &Bytes) -> Option<ProbeReply> {
        let asked = self.entries.iter().position(|entry| entry.name == witness.entry)?;
        let reachable = asked == asker
            || (self.entries[asker].reaches_entries && self.entries[asked].reaches_entries);
        let entry = &self.entries[asked];
        (entry.up && reachable).then(|| entry.gate.probe(SERVICE, name))
    }

    /// Delivers a random request, or loses it.
    fn deliver(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let index = self.rng.usize(0..self.messages.len());
        let message = self.messages.swap_remove(index);
        let agent = self.agents.iter().find(|agent| agent.holder.agent == message.holder.agent);
        let agent = agent.expect("holders are agents");
        let present = agent.up && agent.holder == message.holder;
        let ended = agent.ended.contains(&(message.entry, message.incarnation));
        let in_time = self.now - message.sent < DELIVERY_LIMIT && !ended;
        let leaving = agent.leaving;
        let lost = self.rng.u32(0..5) == 0;
        let not_run = match (present && in_time, leaving) {
            (true, false) if lost && self.rng.bool() => false,
            (true, false) => {
                self.run(&message);
                // The answer may be lost; the entry then knows nothing.
                false
            }
            // Refused or not connected, or a failure without proof.
            _ => !lost,
        };
        let entry = &mut self.entries[message.entry];
        if entry.incarnation == message.incarnation && entry.up {
            let name = &self.keys[message.key].name;
            entry.gate.finish(self.now, SERVICE, name, not_run);
            // This copy was not run; another one may have been.
            if not_run {
                self.begin_confirm(message.entry, message.key, message.ran, message.in_flight);
            }
        }
    }

    fn run(&mut self, message: &Message) {
        let key = &mut self.keys[message.key];
        assert!(
            !key.reported_not_run.contains(&message.number),
            "seed {}: {:?} runs after it was reported as not run",
            self.seed,
            key.name
        );
        key.runs.insert((message.holder.agent.clone(), message.holder.incarnation));
        assert!(
            key.runs.len() <= 1,
            "seed {}: {:?} ran at {:?} by {:?}",
            self.seed,
            key.name,
            key.runs,
            self.now
        );
    }
}

/// Shortens a page, so that lists of few keys take several.
fn truncate_page(reply: KeyListReply, limit: usize) -> KeyListReply {
    match reply {
        KeyListReply::Page { mut keys, more } => {
            let more = more || keys.len() > limit;
            keys.truncate(limit);
            KeyListReply::Page { keys, more }
        }
        KeyListReply::NotHeld => KeyListReply::NotHeld,
    }
}
