//! Owners, a journal, VMs and the messages between them, on virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use fastrand::Rng;
use peridotfold_core::cell::{CellSettings, CellState, Effect, Event, JobSpec, SubmitReply};
use peridotfold_core::id::{Epoch, Incarnation};
use peridotfold_core::message::report::{Orders, Report};
use peridotfold_core::resources::Resources;
use peridotfold_core::time::Time;

use crate::history::Fact;
use crate::owners::{Journal, Owner};
use crate::vm::Vm;

const FAULTS_END: Time = Duration::from_secs(25);
const GIVE_UP: Time = Duration::from_secs(400);
const VM_STEP: Duration = Duration::from_millis(100);
const OWNER_STEP: Duration = Duration::from_millis(200);
const VMS: usize = 3;
/// Lease and hold are short, so that a schedule has many of them.
const SETTINGS: CellSettings = CellSettings {
    lease: Duration::from_secs(4),
    outage_hold: Duration::from_secs(8),
    settle: Duration::from_secs(2),
    silent: Duration::from_secs(3),
};
const DETECTION: Duration = Duration::from_secs(2);

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

#[derive(Clone)]
enum Input {
    Vms,
    Owner(usize),
    SendReport { vm: usize, incarnation: Incarnation, sequence: u64 },
    Report { owner: usize, report: Report },
    AnswerDue { owner: usize, agent: String, incarnation: Incarnation, sequence: u64 },
    Orders { vm: usize, incarnation: Incarnation, orders: Orders },
    Boot(usize),
    Commit { owner: usize, batch: u64, events: Vec<Event>, sent: Time },
    Committed { owner: usize, batch: u64, sent: Time, fenced: bool },
    Retry { owner: usize, batch: u64 },
    TakeOver,
    Submit(usize),
    Cancel(usize),
    Fault,
}

#[derive(Default)]
struct Link {
    paused_until: Time,
    /// Cut off from the store.
    cut_until: Time,
}

#[derive(Default)]
struct Store {
    journal: Journal,
    down_until: Time,
    slow_until: Time,
}

pub struct Outcome {
    pub history: Vec<Fact>,
    pub end: CellState,
    pub ended_at: Time,
}

pub struct World {
    now: Time,
    rng: Rng,
    inputs: BTreeMap<(Time, u64), Input>,
    count: u64,
    store: Store,
    owners: Vec<Owner<Link>>,
    vms: Vec<Vm>,
    jobs: Vec<JobSpec>,
    tickets: BTreeMap<u64, usize>,
    promised: BTreeSet<usize>,
    history: Vec<Fact>,
}

impl World {
    pub fn run(seed: u64) -> Outcome {
        let mut world = World::new(seed);
        while let Some(((at, _), input)) = world.inputs.pop_first() {
            world.now = at;
            world.handle(input);
            if world.now > FAULTS_END && world.is_done() || world.now > GIVE_UP {
                break;
            }
        }
        let end = world.store.journal.replay();
        Outcome { history: world.history, end, ended_at: world.now }
    }

    fn new(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let mut world = World {
            now: Time::ZERO,
            inputs: BTreeMap::new(),
            count: 0,
            store: Store::default(),
            owners: Vec::new(),
            vms: (0..VMS).map(|index| Vm::new(&mut rng, index)).collect(),
            jobs: Vec::new(),
            tickets: BTreeMap::new(),
            promised: BTreeSet::new(),
            history: Vec::new(),
            rng,
        };
        world.add_jobs();
        world.take_over();
        (0..VMS).for_each(|vm| world.boot(vm));
        world.after(VM_STEP, Input::Vms);
        world.add_faults();
        world
    }

    fn add_jobs(&mut self) {
        for index in 0..self.rng.usize(3..7) {
            let class = if self.rng.bool() { "urgent" } else { "normal" };
            // Work, and usage in percent of what is declared.
            let longest = if self.rng.bool() { 5_000 } else { 25_000 };
            let command = format!("{} {}", self.rng.u64(200..longest), self.rng.u64(30..200));
            self.jobs.push(JobSpec {
                id: format!("job-{index}"),
                team: "team".to_owned(),
                class: class.to_owned(),
                tasks: self.rng.u32(1..4),
                need: Resources::new(self.rng.u64(500..3_000), self.rng.u64(500..8_000), 0),
                command: Bytes::from(command),
            });
            let at = self.rng.u64(0..15_000);
            self.after(ms(at), Input::Submit(index));
            if self.rng.u8(0..4) == 0 {
                let at = self.rng.u64(at..22_000);
                self.after(ms(at), Input::Cancel(index));
            }
        }
    }

    /// Faults come alone or in pairs that follow each other closely.
    fn add_faults(&mut self) {
        for _ in 0..self.rng.usize(1..6) {
            let at = self.rng.u64(1_000..FAULTS_END.as_millis() as u64 - 2_000);
            self.after(ms(at), Input::Fault);
            if self.rng.bool() {
                let second = at + self.rng.u64(0..2_000);
                self.after(ms(second), Input::Fault);
            }
        }
    }

    fn after(&mut self, delay: Duration, input: Input) {
        self.count += 1;
        self.inputs.insert((self.now + delay, self.count), input);
    }

    fn is_calm(&self) -> bool {
        self.now >= FAULTS_END
    }

    /// Delivers a message: late, twice, overtaken or not at all while faults last.
    fn deliver(&mut self, input: Input) {
        let copies = match self.rng.u8(0..100) {
            _ if self.is_calm() => 1,
            0..=4 => 0,
            5..=8 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let late = !self.is_calm() && self.rng.u8(0..40) == 0;
            let limit = if late { 10_000 } else { 60 };
            let delay = ms(self.rng.u64(1..limit));
            self.after(delay, input.clone());
        }
    }

    fn is_done(&self) -> bool {
        let Some(cell) = self.owners.last().and_then(|owner| owner.cell.as_ref()) else {
            return false;
        };
        let ended = |job: &JobSpec| cell.state().jobs.get(&job.id).map(|job| job.phase.is_final());
        self.promised.len() == self.jobs.len()
            && !cell.has_uncommitted()
            && self.jobs.iter().all(|job| ended(job) == Some(true))
    }

    /// Owner to which an input goes, as far as that matters to a pause of it.
    fn target(input: &Input) -> Option<usize> {
        match input {
            Input::Owner(owner)
            | Input::Report { owner, .. }
            | Input::AnswerDue { owner, .. }
            | Input::Committed { owner, .. }
            | Input::Retry { owner, .. } => Some(*owner),
            _ => None,
        }
    }

    fn handle(&mut self, input: Input) {
        let paused_until = World::target(&input).map(|owner| self.owners[owner].link.paused_until);
        if let Some(until) = paused_until.filter(|until| *until > self.now) {
            return self.after(until - self.now, input);
        }
        match input {
            Input::Vms => self.step_vms(),
            Input::Owner(owner) => self.poll(owner),
            Input::SendReport { vm, incarnation, sequence } => {
                self.send_report(vm, incarnation, sequence);
            }
            Input::Report { owner, report } => self.report(owner, report),
            Input::AnswerDue { owner, agent, incarnation, sequence } => {
                if self.owners[owner].is_held(&agent, incarnation, sequence) {
                    self.answer(owner, &agent);
                }
            }
            Input::Orders { vm, incarnation, orders } => self.obey(vm, incarnation, orders),
            Input::Boot(vm) => self.boot(vm),
            Input::Commit { owner, batch, events, sent } => self.write(owner, batch, events, sent),
            Input::Committed { owner, batch, sent, fenced } => {
                self.committed(owner, batch, sent, fenced);
            }
            Input::Retry { owner, batch } => {
                if self.owners[owner].batch == batch && self.owners[owner].busy {
                    self.commit(owner);
                }
            }
            Input::TakeOver => self.take_over(),
            Input::Submit(job) => self.submit(job),
            Input::Cancel(job) => self.cancel(job),
            Input::Fault => self.fault(),
        }
    }

    fn fault(&mut self) {
        let vm = self.rng.usize(0..VMS);
        let current = self.owners.len() - 1;
        let until = self.now + ms(self.rng.u64(500..15_000));
        match self.rng.u8(0..17) {
            0 => {
                self.owners[current].cell = None;
                self.after(DETECTION, Input::TakeOver);
            }
            1 | 2 => {
                self.owners[current].link.paused_until = until;
                self.after(DETECTION, Input::TakeOver);
            }
            3..=5 => {
                self.owners[current].link.cut_until = until;
                self.after(DETECTION, Input::TakeOver);
            }
            6 => {
                if let Some(cell) = &mut self.owners[current].cell {
                    cell.release();
                }
                self.after(DETECTION, Input::TakeOver);
            }
            7 | 8 => self.kill_agent(vm),
            9 => self.vms[vm].frozen_until = until,
            10 => self.replace(vm),
            11 => {
                let rack = self.vms[vm].rack.clone();
                (0..VMS)
                    .filter(|vm| self.vms[*vm].rack == rack)
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|vm| self.replace(vm));
            }
            12 => self.vms[vm].up_cut_until = until,
            13 => self.vms[vm].down_cut_until = until,
            14 => self.store.down_until = until,
            15 => self.store.slow_until = until,
            _ => {
                if let Some(agent) = &mut self.vms[vm].agent {
                    match self.rng.bool() {
                        true => agent.tasks.drain(),
                        false => {
                            agent.tasks.evict_newest("normal");
                        }
                    }
                }
                // A drained agent ends; its VM stays.
                self.kill_agent_later(vm);
            }
        }
    }

    fn kill_agent(&mut self, vm: usize) {
        self.vms[vm].agent = None;
        let delay = ms(self.rng.u64(50..6_000));
        self.after(delay, Input::Boot(vm));
    }

    fn kill_agent_later(&mut self, vm: usize) {
        self.vms[vm].frozen_until = self.now;
        let delay = ms(self.rng.u64(1_000..5_000));
        self.after(delay, Input::Boot(vm));
    }

    fn replace(&mut self, vm: usize) {
        self.observe();
        self.vms[vm].replace(self.now);
        self.observe();
        let delay = ms(self.rng.u64(100..10_000));
        self.after(delay, Input::Boot(vm));
    }

    fn observe(&mut self) {
        let mut ended = false;
        for vm in &mut self.vms {
            ended |= vm.observe_ends(self.now, &mut self.history);
        }
        for vm in &mut self.vms {
            vm.observe_begins(&mut self.history);
            vm.check_capacity();
        }
        // A cancellation that crosses the result.
        if ended && !self.is_calm() && self.rng.u8(..8) == 0 {
            let job = self.rng.usize(0..self.jobs.len());
            let delay = ms(self.rng.u64(0..300));
            self.after(delay, Input::Cancel(job));
        }
    }

    fn step_vms(&mut self) {
        self.after(VM_STEP, Input::Vms);
        let faulty = !self.is_calm();
        for index in 0..VMS {
            if self.vms[index].land_flights(self.now) {
                self.observe();
            }
            if faulty && self.now < self.vms[index].frozen_until {
                continue;
            }
            self.vms[index].run_agent(self.now, faulty, &mut self.rng);
            self.observe();
        }
    }

    fn boot(&mut self, vm: usize) {
        let newest = self.owners.len() - 1;
        let former = !self.is_calm() && self.rng.bool();
        let owner = if former { newest.saturating_sub(1) } else { newest };
        let incarnation = self.rng.u64(1..);
        self.vms[vm].boot(incarnation, owner);
        self.after(ms(1), Input::SendReport { vm, incarnation, sequence: 0 });
    }

    /// Sends the next report, unless another one is sent before.
    fn send_report(&mut self, vm: usize, incarnation: Incarnation, sequence: u64) {
        let (newest, calm) = (self.owners.len() - 1, self.is_calm());
        let keeps = !calm && self.rng.u8(0..4) > 0;
        // An agent may hear of the former owner from an entry that is behind.
        let goes_back = !calm && self.rng.u8(0..25) == 0;
        let overstates = !calm && self.rng.u8(0..6) == 0;
        let state = &mut self.vms[vm];
        let clock = state.clock(self.now);
        let frozen = !calm && self.now < state.frozen_until;
        let cut = !calm && self.now < state.up_cut_until;
        let Some(agent) = &mut state.agent else { return };
        if (agent.incarnation, agent.sequence) != (incarnation, sequence) {
            return;
        }
        let again = Input::SendReport { vm, incarnation, sequence };
        if frozen {
            return self.after(VM_STEP, again);
        }
        if !agent.answered && !keeps {
            agent.owner = newest;
        } else if goes_back {
            agent.owner = newest.saturating_sub(1);
        }
        let Some(mut report) = agent.tasks.report(clock, 0) else {
            return self.after(VM_STEP, again);
        };
        // The owner's view of a VM may be wrong: the agent has to refuse what does not fit.
        if overstates {
            report.free = report.batch_capacity;
            report.urgent_free = report.batch_capacity;
        }
        agent.sequence = report.sequence;
        agent.answered = false;
        let (owner, sequence) = (agent.owner, report.sequence);
        if !cut {
            self.deliver(Input::Report { owner, report });
        }
        self.after(ms(2_000), Input::SendReport { vm, incarnation, sequence });
    }

    fn obey(&mut self, vm: usize, incarnation: Incarnation, orders: Orders) {
        let calm = self.is_calm();
        let state = &mut self.vms[vm];
        let clock = state.clock(self.now);
        let until = state.frozen_until;
        if !calm && self.now < state.down_cut_until {
            return;
        }
        let Some(agent) = &mut state.agent else { return };
        if agent.incarnation != incarnation {
            return;
        }
        if !calm && self.now < until {
            return self.after(until - self.now, Input::Orders { vm, incarnation, orders });
        }
        let awaited = orders.sequence == agent.sequence && !agent.answered;
        let sequence = agent.sequence;
        agent.answered |= awaited;
        agent.tasks.obey(clock, orders);
        agent.tasks.take_events();
        if awaited {
            self.after(ms(100), Input::SendReport { vm, incarnation, sequence });
        }
    }

    fn reaches_store(&self, owner: usize) -> bool {
        self.is_calm()
            || self.now >= self.store.down_until && self.now >= self.owners[owner].link.cut_until
    }

    fn take_over(&mut self) {
        if self.now < self.store.down_until && !self.is_calm() {
            return self.after(ms(500), Input::TakeOver);
        }
        let rate = 0.99 + 0.02 * self.rng.f64();
        let (local, rng) = (self.now.mul_f64(rate), self.rng.fork());
        let cell = self.store.journal.take_over(local, SETTINGS, rng, &mut self.history);
        self.owners.push(Owner::new(cell, rate, Link::default()));
        self.after(ms(100), Input::Owner(self.owners.len() - 1));
    }

    fn local(&self, owner: usize) -> Time {
        self.now.mul_f64(self.owners[owner].rate)
    }

    fn poll(&mut self, owner: usize) {
        let (local, reached) = (self.local(owner), self.reaches_store(owner));
        let is_current = owner + 1 == self.owners.len();
        if self.owners[owner].cell.is_none() {
            return;
        }
        if self.owners[owner].poll(local, reached, is_current) {
            self.after(OWNER_STEP, Input::Owner(owner));
        }
        self.commit_if_idle(owner);
        self.wake(owner);
    }

    fn commit_if_idle(&mut self, owner: usize) {
        if !self.owners[owner].busy {
            self.owners[owner].batch += 1;
            self.commit(owner);
        }
    }

    fn commit(&mut self, owner: usize) {
        let (sent, batch) = (self.local(owner), self.owners[owner].batch);
        let Some(events) = self.owners[owner].take_batch() else { return };
        let slow = !self.is_calm() && self.now < self.store.slow_until;
        let commit = Input::Commit { owner, batch, events, sent };
        match slow {
            true => {
                let delay = ms(self.rng.u64(500..4_000));
                self.after(delay, commit);
            }
            false => self.deliver(commit),
        }
        self.after(ms(2_000), Input::Retry { owner, batch });
    }

    fn write(&mut self, owner: usize, batch: u64, events: Vec<Event>, sent: Time) {
        if !self.reaches_store(owner) {
            return;
        }
        let epoch = owner as Epoch + 1;
        let written = self.store.journal.write(epoch, batch, events, &mut self.history);
        let Some(fenced) = written else { return };
        self.deliver(Input::Committed { owner, batch, sent, fenced });
    }

    fn committed(&mut self, owner: usize, batch: u64, sent: Time, fenced: bool) {
        if self.owners[owner].committed(batch, sent, fenced) {
            self.wake(owner);
            self.commit_if_idle(owner);
        }
    }

    /// Releases the effects of what is committed.
    fn wake(&mut self, owner: usize) {
        let Some(cell) = &mut self.owners[owner].cell else { return };
        for effect in cell.take_effects() {
            match effect {
                Effect::Durable(ticket) => {
                    if let Some(job) = self.tickets.remove(&ticket) {
                        self.history.push(Fact::Promised(self.jobs[job].id.clone()));
                        self.promised.insert(job);
                    }
                }
                Effect::Wake(agent) => self.answer_if_due(owner, &agent),
            }
        }
    }

    fn answer_if_due(&mut self, owner: usize, agent: &str) {
        if self.owners[owner].has_orders(self.local(owner), agent) {
            self.answer(owner, agent);
        }
    }

    fn submit(&mut self, job: usize) {
        if self.promised.contains(&job) {
            return;
        }
        let owner = self.owners.len() - 1;
        self.after(ms(3_000), Input::Submit(job));
        self.count += 1;
        let ticket = self.count;
        let paused = self.owners[owner].link.paused_until > self.now;
        let Some(cell) = self.owners[owner].cell.as_mut().filter(|_| !paused) else { return };
        if cell.is_stopped() {
            return;
        }
        let reply = cell.submit(self.jobs[job].clone(), ticket);
        assert!(matches!(reply, SubmitReply::Created | SubmitReply::Existing), "{reply:?}");
        self.tickets.insert(ticket, job);
        self.wake(owner);
    }

    fn cancel(&mut self, job: usize) {
        if let Some(cell) = self.owners.last_mut().and_then(|owner| owner.cell.as_mut()) {
            cell.cancel(Some("team"), &self.jobs[job].id, u64::MAX);
        }
    }

    fn report(&mut self, owner: usize, report: Report) {
        let local = self.local(owner);
        if !self.owners[owner].hold(local, &report) {
            return;
        }
        let Report { agent, incarnation, sequence, .. } = report;
        self.commit_if_idle(owner);
        self.answer_if_due(owner, &agent);
        self.after(ms(1_000), Input::AnswerDue { owner, agent, incarnation, sequence });
    }

    fn answer(&mut self, owner: usize, agent: &str) {
        let local = self.local(owner);
        let answered = self.owners[owner].answer(local, agent, &mut self.history);
        let Some((incarnation, orders)) = answered else { return };
        let Some(vm) = self.vms.iter().position(|vm| vm.id == agent) else { return };
        self.deliver(Input::Orders { vm, incarnation, orders });
    }
}
