//! Simulated entries, agents and store on virtual time, for seeded schedules of requests with
//! idempotency keys.

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
/// Time for which an entry dispatches keys without contact to the store.
pub const OUTAGE_HOLD: Duration = Duration::from_secs(60);
const ENTRIES: usize = 3;
const AGENTS: usize = 3;
/// Time for which callers retry a key: less than the retention of 10 min.
const RETRY_WINDOW: Duration = Duration::from_secs(9 * 60);
/// Maximum time between the dispatch of a request and its delivery to an agent.
const DELIVERY_LIMIT: Duration = Duration::from_secs(20);

/// The contents of the store, each with its version.
#[derive(Default)]
pub struct Store {
    pub records: BTreeMap<String, (u64, EntryRecord)>,
    pub map: (u64, KeyMap),
}

/// A simulated agent.
pub struct Agent {
    /// The agent's name and current incarnation.
    pub holder: Holder,
    pub up: bool,
    pub leaving: bool,
    /// Index and incarnation of ended entries, whose requests the agent refuses.
    ended: Vec<(usize, u64)>,
}

/// A key that callers have sent.
struct Key {
    name: Bytes,
    created: Duration,
    /// Holders that ran the key, as agent and incarnation.
    runs: BTreeSet<(String, u64)>,
    /// Numbers of the messages that were in flight when a request of the key was reported as not
    /// run, and that must not run any more.
    reported_not_run: BTreeSet<u64>,
}

/// A dispatched request in flight to a holder.
struct Message {
    number: u64,
    entry: usize,
    incarnation: u64,
    key: usize,
    holder: Holder,
    sent: Duration,
    /// The key had already run when the request reached the entry.
    ran: bool,
    /// Numbers of the key's messages that were in flight at that time.
    in_flight: BTreeSet<u64>,
}

/// A request for which an entry asks witnesses, one after the other.
struct PendingProbe {
    entry: usize,
    incarnation: u64,
    key: usize,
    /// Generation of the bucket, or `None` when all entries are asked whether the key ran.
    generation: Option<u64>,
    /// Time at which the witnesses were listed from the store.
    listed: Option<Duration>,
    witnesses: Vec<Witness>,
    unasked: Vec<Witness>,
    results: Vec<(Witness, Option<ProbeReply>)>,
    /// The key had already run when the request reached the entry.
    ran: bool,
    /// Numbers of the key's messages that were in flight at that time.
    in_flight: BTreeSet<u64>,
}

/// A simulation of entries, agents, the store and callers.
pub struct World {
    seed: u64,
    rng: fastrand::Rng,
    now: Duration,
    /// Mean duration of a step in milliseconds. With long steps, the retention passes in a
    /// schedule.
    step_ms: u64,
    store: Store,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    keys: Vec<Key>,
    messages: Vec<Message>,
    probes: Vec<PendingProbe>,
    /// Number of the last message.
    last_number: u64,
    /// Number of requests that were reported as not run.
    pub not_run: u64,
    /// Steps cause no random faults.
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
            probes: Vec::new(),
            last_number: 0,
            not_run: 0,
            fault_free: false,
        }
    }

    /// Performs one random event: a store call, a request, a delivery, a probe, a fetch or a fault.
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

    /// Runs steps without faults, cuts one entry off from the store, and runs steps until it must
    /// have stopped dispatching keys.
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

    /// Restarts an agent, and then an entry after another entry has fetched its list. With
    /// `outage`, the store is unreachable around the restart. Checks that no key that ran is
    /// dispatched to another holder. Returns the number of new keys that are not dispatched, over
    /// all entries.
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
        self.set_store_reachable(!outage);
        let incarnation = self.rng.u64(1..);
        self.entries[victim] = Entry::new(victim, incarnation, self.now, AGENTS);
        let end = self.now + OUTAGE_HOLD / 4;
        while self.now < end {
            self.entries[victim].reaches_store = !outage;
            self.step();
        }
        self.set_store_reachable(true);
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
        self.count_undispatched("new")
    }

    fn set_store_reachable(&mut self, reachable: bool) {
        for entry in &mut self.entries {
            entry.reaches_store = reachable;
        }
    }

    /// Ends all faults and runs steps for longer than each timeout.
    pub fn end_faults(&mut self) {
        self.fault_free = true;
        (self.step_ms, self.messages, self.probes) = (100, Vec::new(), Vec::new());
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

    /// Tells whether all buckets are open at live holders and each entry has adopted them.
    pub fn is_open(&self) -> bool {
        let map = &self.store.map.1;
        let is_live = |holder: &Holder| self.agents.iter().any(|agent| agent.holder == *holder);
        !map.buckets.is_empty()
            && map.buckets.iter().all(|b| b.phase == Phase::Open && is_live(&b.holder))
            && self.entries.iter().all(|entry| {
                // Only buckets are compared, since the witnesses of an expired move may be dropped
                // at any time.
                entry.gate.map(SERVICE).is_some_and(|known| known.buckets == map.buckets)
            })
    }

    /// Lets each entry that is up receive the agents' announcements.
    fn announce(&mut self) {
        for entry in self.entries.iter_mut().filter(|entry| entry.up) {
            entry.receive_announcements(self.now, &self.agents);
        }
    }

    /// Cuts the other entries off from a random agent that `entry` still reaches and, in three of
    /// four cases, `entry` off from the store.
    fn isolate_entry(&mut self, entry: usize) {
        let agent = self.rng.usize(0..AGENTS);
        for (index, other) in self.entries.iter_mut().enumerate() {
            other.reaches[agent] = index == entry;
        }
        self.entries[entry].reaches_store = self.rng.u32(0..4) == 0;
    }

    /// Stops, drains or restarts a random agent.
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

    /// Shuts down, kills or restarts an entry.
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

    /// Sends a request with a new key, or a retry of an earlier key, through an entry.
    fn request(&mut self, entry: usize) {
        if !self.entries[entry].up {
            return;
        }
        let now = self.now;
        // Mostly one of the last three keys, so that a key is soon retried through several entries.
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

    /// Carries out an entry's decision about a request.
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
            Decision::Probe { generation, witnesses } => self.probes.push(PendingProbe {
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

    /// Begins to ask all entries whether another dispatch of a refused key may have run.
    fn begin_confirm(&mut self, entry: usize, key: usize, ran: bool, in_flight: BTreeSet<u64>) {
        let (listed, witnesses) = self.entries[entry].confirm_witnesses(self.now);
        self.probes.push(PendingProbe {
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

    /// Asks the next witness of a random pending probe, or decides when all were asked.
    fn advance_probe(&mut self) {
        if self.probes.is_empty() {
            return;
        }
        let index = self.rng.usize(0..self.probes.len());
        let mut probe = self.probes.swap_remove(index);
        let asker = &self.entries[probe.entry];
        if asker.incarnation != probe.incarnation || !asker.up {
            return;
        }
        let name = self.keys[probe.key].name.clone();
        if let Some(witness) = probe.unasked.pop() {
            let reply = self.reply(probe.entry, &witness, &name);
            probe.results.push((witness, reply));
            self.probes.push(probe);
            return;
        }
        let Some(generation) = probe.generation else { return self.confirm(probe, &name) };
        let (now, results) = (self.now, &probe.results);
        let entry = &mut self.entries[probe.entry];
        let decision = entry.decide_probed(now, &name, generation, results);
        self.apply_decision(probe.entry, probe.key, decision);
    }

    /// Checks that a key had not run when it is reported as not run.
    fn confirm(&mut self, probe: PendingProbe, name: &Bytes) {
        let PendingProbe { entry, key, listed, witnesses, results, ran, in_flight, .. } = probe;
        let gate = &self.entries[entry].gate;
        if gate.confirm_not_run(self.now, SERVICE, name, (listed, &witnesses), &results) {
            self.not_run += 1;
            assert!(!ran, "seed {}: {name:?} had run and is reported as not run", self.seed);
            self.keys[key].reported_not_run.extend(in_flight);
        }
    }

    /// Lets an entry fetch one page of a missing list from a random entry.
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

    /// Returns a witness's answer to a probe, or `None` if the witness is not reachable.
    fn reply(&self, asker: usize, witness: &Witness, name: &Bytes) -> Option<ProbeReply> {
        let asked = self.entries.iter().position(|entry| entry.name == witness.entry)?;
        let reachable = asked == asker
            || (self.entries[asker].reaches_entries && self.entries[asked].reaches_entries);
        let entry = &self.entries[asked];
        (entry.up && reachable).then(|| entry.gate.probe(SERVICE, name))
    }

    /// Delivers a random request, or loses it or its answer.
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
                // The answer may be lost, so the entry has no proof either way.
                false
            }
            // The request was refused or found no connection, or failed without proof of that.
            _ => !lost,
        };
        let entry = &mut self.entries[message.entry];
        if entry.incarnation == message.incarnation && entry.up {
            let name = &self.keys[message.key].name;
            entry.gate.finish(self.now, SERVICE, name, not_run);
            // This dispatch did not run, but another one may have.
            if not_run {
                self.begin_confirm(message.entry, message.key, message.ran, message.in_flight);
            }
        }
    }

    /// Runs a request at its holder. Checks that the key runs at one holder only, and not after it
    /// was reported as not run.
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

/// Shortens a page to `limit` keys, so that a list of few keys needs several pages.
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
