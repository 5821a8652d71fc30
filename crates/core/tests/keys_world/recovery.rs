//! Schedules in which entries restart before, during and after moves of buckets.

use std::time::Duration;

use bytes::Bytes;
use peridotfold_core::keys::lists::hash_of;
use peridotfold_core::keys::{bucket_of, Decision};
use peridotfold_core::message::entry::{KeyListReply, TableKey};

use super::{Entry, World, AGENTS, ENTRIES, OUTAGE_HOLD, SERVICE};

impl World {
    /// Restarts an agent, and then an entry as soon as the moved buckets are open. Returns the
    /// number of new keys that are not dispatched afterwards, over all entries.
    pub fn run_killed_at_open(&mut self) -> usize {
        (self.fault_free, self.step_ms) = (true, 100);
        while !self.is_open() {
            self.step();
        }
        let (agent, victim) = (self.rng.usize(0..AGENTS), self.rng.usize(0..ENTRIES));
        self.agents[agent].holder.incarnation = self.rng.u64(1..);
        let generation = self.store.map.1.generation;
        let mut next = self.now;
        // While a move is in progress, processes run their rounds without pauses.
        self.step_ms = 10;
        while self.store.map.1.generation == generation || self.store.map.1.is_moving() {
            self.step();
            // Processes check for missing lists at least every 100 ms after a move has begun.
            if self.now >= next {
                self.fetch_all();
                next = self.now + Duration::from_millis(self.rng.u64(50..300));
            }
        }
        self.step_ms = 100;
        self.entries[victim] = Entry::new(victim, self.rng.u64(1..), self.now, AGENTS);
        let end = self.now + OUTAGE_HOLD;
        while self.now < end {
            self.step();
            self.fetch_all();
        }
        assert!(self.is_open(), "seed {}: buckets are still closed", self.seed);
        self.count_undispatched("new")
    }

    /// Restarts an entry. Agents learn its address from other entries and announce themselves to it
    /// one after the other, within 8 s. Returns how often buckets moved.
    pub fn run_found_late(&mut self) -> u64 {
        (self.fault_free, self.step_ms) = (true, 100);
        while !self.is_open() {
            self.step();
        }
        let generation = self.store.map.1.generation;
        let victim = self.rng.usize(0..ENTRIES);
        self.entries[victim] = Entry::new(victim, self.rng.u64(1..), self.now, AGENTS);
        let found: Vec<_> =
            (0..AGENTS).map(|_| self.now + Duration::from_millis(self.rng.u64(0..8_000))).collect();
        let end = self.now + OUTAGE_HOLD / 2;
        while self.now < end {
            for (reaches, found) in self.entries[victim].reaches.iter_mut().zip(&found) {
                *reaches = self.now >= *found;
            }
            self.step();
        }
        self.store.map.1.generation - generation
    }

    /// Restarts an entry, and later ends or restarts an agent. Checks that no key that ran is
    /// dispatched to another holder. Returns the number of new keys that are not dispatched
    /// afterwards, over all entries.
    pub fn run_ended_later(&mut self) -> usize {
        (self.fault_free, self.step_ms) = (true, 100);
        while !self.is_open() {
            self.step();
        }
        let (agent, victim) = (self.rng.usize(0..AGENTS), self.rng.usize(0..ENTRIES));
        // In half of the schedules, the previous incarnation is a witness of an open move.
        if self.rng.bool() {
            for _ in 0..100 {
                self.step();
            }
            let first = self.rng.usize(0..AGENTS);
            self.agents[first].holder.incarnation = self.rng.u64(1..);
            while self.store.map.1.generation == 1 || !self.is_open() {
                self.step();
                self.fetch_all();
            }
        }
        self.entries[victim] = Entry::new(victim, self.rng.u64(1..), self.now, AGENTS);
        let end = self.now + OUTAGE_HOLD / 2;
        while self.now < end {
            self.step();
            self.fetch_all();
            self.recover(victim);
        }
        match self.rng.bool() {
            true => self.agents[agent].up = false,
            false => self.agents[agent].holder.incarnation = self.rng.u64(1..),
        }
        let end = self.now + OUTAGE_HOLD;
        while self.now < end {
            self.step();
            self.fetch_all();
        }
        for (entry, key) in (0..ENTRIES).flat_map(|e| self.keys.iter().map(move |key| (e, key))) {
            let decision = self.entries[entry].decide(self.now, &key.name);
            let Decision::Dispatch(holder) = decision else { continue };
            let holder = (holder.agent, holder.incarnation);
            let same = key.runs.is_empty() || key.runs.contains(&holder);
            assert!(same, "seed {}: {:?} is dispatched again", self.seed, key.name);
        }
        self.count_undispatched("new")
    }

    /// Lets each entry decide about 200 new keys. Returns how many are not dispatched.
    pub fn count_undispatched(&mut self, prefix: &str) -> usize {
        let mut undispatched = 0;
        for (entry, number) in (0..ENTRIES).flat_map(|e| (0..200).map(move |n| (e, n))) {
            let name = Bytes::from(format!("{prefix}-{entry}-{number}"));
            let decision = self.entries[entry].decide(self.now, &name);
            undispatched += usize::from(!matches!(decision, Decision::Dispatch(_)));
        }
        undispatched
    }

    /// Lets each entry fetch its missing lists from each other entry.
    pub fn fetch_all(&mut self) {
        for (entry, asked) in (0..ENTRIES).flat_map(|e| (0..ENTRIES).map(move |a| (e, a))) {
            for mut request in self.entries[entry].page_requests(self.now) {
                // A list fits into one page, since a schedule has few keys.
                request.after = None;
                let reply = self.entries[asked].gate.list(&request);
                if matches!(reply, KeyListReply::Page { more: false, .. }) {
                    self.entries[asked].gate.note_copied(&request);
                }
                self.entries[entry].receive_page(&request, reply);
            }
        }
    }

    /// Lets a restarted entry read the key table of a random holder. The answer may be lost.
    pub fn recover(&mut self, entry: usize) {
        let asker = &mut self.entries[entry];
        let Some((ended, holders)) = asker.gate.recovery_sources().filter(|_| asker.up) else {
            return;
        };
        let Some((_, holder)) = self.rng.choice(holders) else { return };
        let agents = self.agents.iter_mut().enumerate();
        let mut present = agents.filter(|(_, agent)| agent.up && agent.holder == holder);
        let Some((index, agent)) = present.next() else { return };
        if !asker.reaches[index] {
            return;
        }
        agent.ended.push((entry, ended));
        let id = (holder.agent.clone(), holder.incarnation);
        let ran = self.keys.iter().filter(|key| key.runs.contains(&id));
        let table: Vec<_> = ran
            .map(|key| TableKey {
                hash: hash_of(&key.name),
                bucket: bucket_of(&key.name) as u8,
                running: false,
            })
            .collect();
        if self.rng.u32(0..5) > 0 {
            asker.gate.recover_from(self.now, SERVICE, &holder, &table);
        }
    }

    /// Sends pairs of requests, mostly with one key, through the same entry. The first request of a
    /// pair is delivered before the second is sent. At the end, the holders are leaving and refuse
    /// the requests in flight.
    pub fn run_refused_duplicates(&mut self) {
        (self.fault_free, self.step_ms) = (true, 100);
        while !self.is_open() {
            self.step();
        }
        let entry = self.rng.usize(0..ENTRIES);
        for _ in 0..20 {
            self.request(entry);
            self.settle_requests(|_| true);
            self.request(entry);
        }
        for agent in &mut self.agents {
            agent.leaving = true;
        }
        self.settle_requests(|_| true);
    }

    /// Restarts an entry whose requests are still in flight, and cuts agents off from all entries,
    /// in random order. In between, callers retry keys through all entries.
    pub fn run_taken_over(&mut self) {
        (self.fault_free, self.step_ms) = (true, 100);
        while !self.is_open() {
            self.step();
        }
        let victim = self.rng.usize(0..ENTRIES);
        let fetches = self.rng.bool();
        for _ in 0..30 {
            let entry = self.rng.usize(0..ENTRIES);
            self.request(entry);
        }
        let kept = self.entries[victim].incarnation;
        let holds = self.rng.bool();
        let is_sent = move |incarnation| !holds || incarnation != kept;
        self.settle_requests(is_sent);
        for _ in 0..self.rng.usize(3..8) {
            match self.rng.u32(0..3) {
                0 => {
                    let agent = self.rng.usize(0..AGENTS);
                    for entry in &mut self.entries {
                        (0..AGENTS).for_each(|index| entry.reaches[index] = index != agent);
                    }
                }
                1 => {
                    let reaches = self.entries[victim].reaches.clone();
                    self.entries[victim] = Entry::new(victim, self.rng.u64(1..), self.now, AGENTS);
                    self.entries[victim].reaches = reaches;
                }
                _ if self.rng.bool() => self.settle_requests(|_| true),
                _ => {}
            }
            let recovers = self.rng.bool();
            for _ in 0..self.rng.u32(0..80) {
                self.now += Duration::from_millis(100);
                self.announce();
                for entry in 0..ENTRIES {
                    self.entries[entry].advance(self.now, &mut self.store, &mut self.rng);
                }
                if fetches {
                    self.fetch_all();
                }
                if recovers {
                    self.recover(victim);
                }
            }
            // Only an eighth, so that most keys are known only to the entry that dispatched them.
            self.retry_keys(8);
            self.settle_requests(is_sent);
        }
        self.settle_requests(|_| true);
        self.retry_keys(1);
        self.settle_requests(|_| true);
    }

    /// Retries keys through entries: one in `part` of all pairs of a key and an entry.
    fn retry_keys(&mut self, part: u32) {
        for (entry, key) in (0..ENTRIES * self.keys.len()).map(|n| (n % ENTRIES, n / ENTRIES)) {
            if self.rng.u32(0..part) == 0 {
                let name = self.keys[key].name.clone();
                let decision = self.entries[entry].decide(self.now, &name);
                self.apply_decision(entry, key, decision);
            }
        }
    }

    /// Delivers the requests of the entry incarnations for which `delivers` holds, and finishes all
    /// pending probes, until none are left.
    fn settle_requests(&mut self, delivers: impl Fn(u64) -> bool) {
        loop {
            while !self.probes.is_empty() {
                self.advance_probe();
            }
            let (now, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages)
                .into_iter()
                .partition(|message| delivers(message.incarnation));
            if now.is_empty() {
                self.messages = later;
                return;
            }
            self.messages = now;
            while !self.messages.is_empty() {
                self.deliver();
            }
            self.messages = later;
        }
    }
}
