//! Schedules of entries that were restarted, and of moves around that.

use std::time::Duration;

use bytes::Bytes;
use peridotfold_core::keys::lists::hash_of;
use peridotfold_core::keys::{bucket_of, Decision};
use peridotfold_core::message::entry::{KeyListReply, TableKey};

use super::{Entry, World, AGENTS, ENTRIES, OUTAGE_HOLD, SERVICE};

impl World {
    /// Restarts an agent, and then an entry at the moment at which the buckets are open again.
    /// Returns how many new keys each entry may not dispatch afterwards.
    pub fn run_killed_at_open(&mut self) -> usize {
        (self.fault_free, self.step_ms) = (true, 100);
        while !self.is_open() {
            self.step();
        }
        let (agent, victim) = (self.rng.usize(0..AGENTS), self.rng.usize(0..ENTRIES));
        self.agents[agent].holder.incarnation = self.rng.u64(1..);
        let generation = self.store.map.1.generation;
        let mut next = self.now;
        // Rounds that follow each other at once, as while a move is in progress.
        self.step_ms = 10;
        while self.store.map.1.generation == generation || self.store.map.1.is_moving() {
            self.step();
            // Processes look for what is lacking at least each 100 ms after a move has begun.
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
        self.count_closed("new")
    }

    /// Restarts an entry that agents find one after the other, within 8 s, as they hear of its
    /// address from other entries. Returns how often buckets moved.
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

    /// Restarts an entry, and some time later kills an agent for good, or restarts it. Returns how
    /// many new keys each entry may not dispatch afterwards.
    pub fn run_ended_later(&mut self) -> usize {
        (self.fault_free, self.step_ms) = (true, 100);
        while !self.is_open() {
            self.step();
        }
        let (agent, victim) = (self.rng.usize(0..AGENTS), self.rng.usize(0..ENTRIES));
        // The predecessor is a witness of an open move in half of the schedules.
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
        self.count_closed("new")
    }

    /// Counts the new keys that each entry may not dispatch.
    pub fn count_closed(&mut self, prefix: &str) -> usize {
        let mut closed = 0;
        for (entry, number) in (0..ENTRIES).flat_map(|e| (0..200).map(move |n| (e, n))) {
            let name = Bytes::from(format!("{prefix}-{entry}-{number}"));
            let decision = self.entries[entry].decide(self.now, &name);
            closed += usize::from(!matches!(decision, Decision::Dispatch(_)));
        }
        closed
    }

    /// Lets each entry fetch what it lacks from each other entry.
    pub fn fetch_all(&mut self) {
        for (entry, asked) in (0..ENTRIES).flat_map(|e| (0..ENTRIES).map(move |a| (e, a))) {
            for mut request in self.entries[entry].page_requests(self.now) {
                // A second page is never needed: a schedule has few keys.
                request.after = None;
                let reply = self.entries[asked].gate.list(&request);
                if matches!(reply, KeyListReply::Page { more: false, .. }) {
                    self.entries[asked].gate.note_copied(&request);
                }
                self.entries[entry].receive_page(&request, reply);
            }
        }
    }

    /// Lets a restarted entry read the table of a holder. The answer may be lost.
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

    /// Sends each young key again through an entry while its first request has run, and lets the
    /// holder refuse what is on its way then.
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

    /// Restarts an entry, with requests of it on their way, and cuts agents off from all entries,
    /// in any order; callers retry all keys through all entries in between.
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
            // Few, so that most keys are known to the entry alone that dispatched them first.
            self.retry_keys(8);
            self.settle_requests(is_sent);
        }
        self.settle_requests(|_| true);
        self.retry_keys(1);
        self.settle_requests(|_| true);
    }

    /// Sends each key again through each entry, or one of `part` of these requests.
    fn retry_keys(&mut self, part: u32) {
        for (entry, key) in (0..ENTRIES * self.keys.len()).map(|n| (n % ENTRIES, n / ENTRIES)) {
            if self.rng.u32(0..part) == 0 {
                let name = self.keys[key].name.clone();
                let decision = self.entries[entry].decide(self.now, &name);
                self.apply_decision(entry, key, decision);
            }
        }
    }

    /// Delivers the requests of the incarnations for which `delivers` holds, and finishes all
    /// probes.
    fn settle_requests(&mut self, delivers: impl Fn(u64) -> bool) {
        loop {
            while !self.probing.is_empty() {
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
