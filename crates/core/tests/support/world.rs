//! Seeded schedules of a cell on virtual time: owners, a store, agents, and the faults between.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use fastrand::Rng;
use peridotfold_core::cell::{
    CancelReply, CellSettings, CellState, Effect, Event, JobSpec, SubmitReply,
};
use peridotfold_core::id::{Epoch, Incarnation};
use peridotfold_core::message::report::{Orders, Report};
use peridotfold_core::resources::Resources;
use peridotfold_core::time::Time;

use crate::history::Fact;
use crate::owners::{Journal, Owner};
use crate::vm::Vm;

pub const FAULTS_END: Time = Duration::from_secs(60);
const GIVE_UP: Time = Duration::from_secs(1_500);
const OUTAGE_HOLD: Duration = Duration::from_secs(30);

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

#[derive(Debug, Clone)]
enum Input {
    Poll(usize),
    Send { vm: usize, incarnation: Incarnation, sequence: u64 },
    Report { owner: usize, report: Report },
    AnswerDue { owner: usize, agent: String, incarnation: Incarnation, sequence: u64 },
    Orders { vm: usize, incarnation: Incarnation, orders: Orders },
    Vm(usize),
    Boot(usize),
    Thaw(usize),
    Stay(usize),
    Commit { owner: usize, batch: u64, events: Vec<Event>, sent: Time },
    Committed { owner: usize, batch: u64, sent: Time, fenced: bool },
    Retry { owner: usize, batch: u64 },
    TakeOver,
    Reconnect(usize),
    Rejoin(usize),
    StoreUp,
    Submit(usize),
    Cancel(usize),
    Fault,
}

#[derive(Default)]
struct Store {
    journal: Journal,
    down: bool,
}

pub struct Outcome {
    pub history: Vec<Fact>,
    pub end: CellState,
    pub ended_at: Time,
    /// Jobs without a flaw of their own.
    pub sound: BTreeSet<String>,
    pub faulty_vms: usize,
}

pub struct World {
    now: Time,
    rng: Rng,
    inputs: BTreeMap<(Time, u64), Input>,
    count: u64,
    store: Store,
    /// The link tells whether the owner is cut off from the store.
    owners: Vec<Owner<bool>>,
    vms: Vec<Vm>,
    jobs: Vec<JobSpec>,
    tickets: BTreeMap<u64, usize>,
    promised: BTreeSet<usize>,
    sound: BTreeSet<String>,
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
        let faulty_vms = world.vms.iter().filter(|vm| vm.faulty).count();
        let end = world.store.journal.replay();
        let (sound, ended_at) = (world.sound, world.now);
        Outcome { history: world.history, end, ended_at, sound, faulty_vms }
    }

    fn new(seed: u64) -> Self {
        let mut world = World {
            now: Time::ZERO,
            rng: Rng::with_seed(seed),
            inputs: BTreeMap::new(),
            count: 0,
            store: Store::default(),
            owners: Vec::new(),
            vms: Vec::new(),
            jobs: Vec::new(),
            tickets: BTreeMap::new(),
            promised: BTreeSet::new(),
            sound: BTreeSet::new(),
            history: Vec::new(),
        };
        world.add_vms();
        world.add_jobs();
        world.take_over();
        for vm in 0..world.vms.len() {
            world.boot(vm);
        }
        for _ in 0..world.rng.u64(2..12) {
            let at = world.rng.u64(1_000..FAULTS_END.as_millis() as u64);
            world.after(ms(at), Input::Fault);
        }
        world.after(FAULTS_END, Input::StoreUp);
        world
    }

    fn add_vms(&mut self) {
        let faulty = self.rng.usize(0..8);
        for index in 0..self.rng.usize(3..6) {
            let rate = 0.99 + 0.02 * self.rng.f64();
            let capacity = Resources::new(4_000, 4_096, 0);
            let rack = format!("rack-{}", index / 2);
            self.vms.push(Vm::new(format!("vm-{index}"), rack, rate, capacity, index == faulty));
        }
    }

    fn add_jobs(&mut self) {
        for index in 0..self.rng.usize(4..10) {
            let flawed = self.rng.u8(0..8) == 0;
            let huge = self.rng.u8(0..10) == 0;
            let longest = if self.rng.u8(0..4) > 0 { 10_000 } else { 150_000 };
            let mut command = self.rng.u64(500..longest).to_le_bytes().to_vec();
            command.push(u8::from(flawed));
            let cpu = if huge { 9_000 } else { self.rng.u64(500..3_000) };
            let class = if self.rng.bool() { "urgent" } else { "normal" };
            let spec = JobSpec {
                id: format!("job-{index}"),
                team: "team".to_owned(),
                class: class.to_owned(),
                tasks: self.rng.u32(1..4),
                need: Resources::new(cpu, 512, 0),
                command: Bytes::from(command),
            };
            if !flawed && !huge {
                self.sound.insert(spec.id.clone());
            }
            self.jobs.push(spec);
            let at = self.rng.u64(0..30_000);
            self.after(ms(at), Input::Submit(index));
            if self.rng.u8(0..4) == 0 {
                let at = self.rng.u64(at..50_000);
                self.after(ms(at), Input::Cancel(index));
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
            let late = !self.is_calm() && self.rng.u8(0..50) == 0;
            let limit = if late { 30_000 } else { 100 };
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

    fn handle(&mut self, input: Input) {
        match input {
            Input::Poll(owner) => self.poll(owner),
            Input::Send { vm, incarnation, sequence } => self.send(vm, incarnation, sequence),
            Input::Report { owner, report } => self.report(owner, report),
            Input::AnswerDue { owner, agent, incarnation, sequence } => {
                if self.owners[owner].is_held(&agent, incarnation, sequence) {
                    self.answer(owner, &agent);
                }
            }
            Input::Orders { vm, incarnation, orders } => self.obey(vm, incarnation, orders),
            Input::Vm(vm) => self.advance(vm),
            Input::Boot(vm) => self.boot(vm),
            Input::Thaw(vm) => self.thaw(vm),
            Input::Stay(vm) => {
                if let Some(agent) = &mut self.vms[vm].agent {
                    agent.leaving = false;
                }
            }
            Input::Commit { owner, batch, events, sent } => {
                self.write(owner, batch, events, sent);
            }
            Input::Committed { owner, batch, sent, fenced } => {
                self.committed(owner, batch, sent, fenced);
            }
            Input::Retry { owner, batch } => {
                if self.owners[owner].batch == batch && self.owners[owner].busy {
                    self.commit(owner);
                }
            }
            Input::TakeOver => self.take_over(),
            Input::Reconnect(owner) => self.owners[owner].link = false,
            Input::Rejoin(vm) => self.vms[vm].is_cut_off = false,
            Input::StoreUp => self.store.down = false,
            Input::Submit(job) => self.submit(job),
            Input::Cancel(job) => self.cancel(job),
            Input::Fault => self.fault(),
        }
    }

    fn fault(&mut self) {
        let vm = self.rng.usize(0..self.vms.len());
        let owner = self.owners.len() - 1;
        match self.rng.u8(0..13) {
            11 | 12 => {
                self.vms[vm].is_cut_off = true;
                let delay = self.rng.u64(1_000..50_000);
                self.after(ms(delay), Input::Rejoin(vm));
            }
            0 => {
                self.vms[vm].agent = None;
                let delay = self.rng.u64(100..30_000);
                self.after(ms(delay), Input::Boot(vm));
            }
            1 | 2 => {
                if let Some(agent) = &mut self.vms[vm].agent {
                    agent.frozen = true;
                    let delay = self.rng.u64(100..40_000);
                    self.after(ms(delay), Input::Thaw(vm));
                }
            }
            3 => {
                self.vms[vm].replace(&mut self.history);
                let delay = self.rng.u64(100..30_000);
                self.after(ms(delay), Input::Boot(vm));
            }
            4 => {
                self.owners[owner].cell = None;
                self.after(ms(6_000), Input::TakeOver);
            }
            5 => {
                self.owners[owner].link = true;
                self.after(ms(6_000), Input::TakeOver);
                let delay = self.rng.u64(1_000..120_000);
                self.after(ms(delay), Input::Reconnect(owner));
            }
            6 => {
                if let Some(cell) = &mut self.owners[owner].cell {
                    cell.release();
                }
                self.after(ms(2_000), Input::TakeOver);
            }
            7 => {
                self.store.down = true;
                let delay = self.rng.u64(1_000..50_000);
                self.after(ms(delay), Input::StoreUp);
            }
            8 => self.vms[vm].evict(self.now, true, &mut self.history),
            9 => {
                self.vms[vm].evict(self.now, false, &mut self.history);
                if let Some(agent) = &mut self.vms[vm].agent {
                    agent.leaving = true;
                    self.after(ms(10_000), Input::Stay(vm));
                }
            }
            _ => (0..self.jobs.len() / 2).for_each(|job| self.cancel(job)),
        }
    }

    fn take_over(&mut self) {
        if self.store.down {
            return self.after(ms(500), Input::TakeOver);
        }
        let rate = 0.99 + 0.02 * self.rng.f64();
        let settings = CellSettings { outage_hold: OUTAGE_HOLD, ..CellSettings::default() };
        let (local, rng) = (self.now.mul_f64(rate), self.rng.fork());
        let cell = self.store.journal.take_over(local, settings, rng, &mut self.history);
        self.owners.push(Owner::new(cell, rate, false));
        self.after(ms(100), Input::Poll(self.owners.len() - 1));
    }

    fn local(&self, owner: usize) -> Time {
        self.now.mul_f64(self.owners[owner].rate)
    }

    fn poll(&mut self, owner: usize) {
        let local = self.local(owner);
        let reached = !self.store.down && !self.owners[owner].link;
        let is_current = owner + 1 == self.owners.len();
        if self.owners[owner].cell.is_none() {
            return;
        }
        if self.owners[owner].poll(local, reached, is_current) {
            self.after(ms(200), Input::Poll(owner));
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
        if let Some(events) = self.owners[owner].take_batch() {
            self.deliver(Input::Commit { owner, batch, events, sent });
            self.after(ms(2_000), Input::Retry { owner, batch });
        }
    }

    fn write(&mut self, owner: usize, batch: u64, events: Vec<Event>, sent: Time) {
        if self.store.down || self.owners[owner].link {
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
        let Some(cell) = &mut self.owners[owner].cell else { return };
        if cell.is_stopped() {
            return;
        }
        let reply = cell.submit(self.jobs[job].clone(), ticket);
        assert!(matches!(reply, SubmitReply::Created | SubmitReply::Existing), "{reply:?}");
        self.tickets.insert(ticket, job);
        self.wake(owner);
    }

    fn cancel(&mut self, job: usize) {
        let Some(cell) = self.owners.last_mut().and_then(|owner| owner.cell.as_mut()) else {
            return;
        };
        let reply = cell.cancel(Some("team"), &self.jobs[job].id, u64::MAX);
        let other = cell.cancel(Some("other"), &self.jobs[job].id, u64::MAX);
        assert_eq!(other, CancelReply::NotFound, "cancelled by another team: {reply:?}");
    }

    fn boot(&mut self, vm: usize) {
        if self.vms[vm].agent.is_none() {
            let owner = self.owners.len() - 1;
            self.vms[vm].boot(owner);
            self.send_next(vm, ms(1));
        }
    }

    /// Sends the next report, unless another one is sent before.
    fn send_next(&mut self, vm: usize, delay: Duration) {
        if let Some(agent) = &self.vms[vm].agent {
            let (incarnation, sequence) = (agent.incarnation, agent.sequence);
            self.after(delay, Input::Send { vm, incarnation, sequence });
        }
    }

    fn send(&mut self, vm: usize, incarnation: Incarnation, sequence: u64) {
        let newest = self.owners.len() - 1;
        let keeps = !self.is_calm() && self.rng.u8(0..4) > 0;
        let Some(agent) = &mut self.vms[vm].agent else { return };
        if agent.frozen || (agent.incarnation, agent.sequence) != (incarnation, sequence) {
            return;
        }
        if agent.processed < agent.sequence && !keeps {
            agent.owner = newest;
        }
        let owner = agent.owner;
        if let Some(report) = self.vms[vm].report(self.now) {
            if !self.vms[vm].is_cut_off {
                self.deliver(Input::Report { owner, report });
            }
            self.send_next(vm, ms(2_500));
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

    fn obey(&mut self, vm: usize, incarnation: Incarnation, orders: Orders) {
        let is_cut_off = self.vms[vm].is_cut_off;
        let Some(agent) = &mut self.vms[vm].agent else { return };
        if agent.incarnation != incarnation || is_cut_off {
            return;
        }
        if agent.frozen {
            agent.inbox.push_back(orders);
            return;
        }
        let is_awaited = orders.sequence == agent.sequence && agent.processed < agent.sequence;
        self.vms[vm].advance(self.now, &mut self.history);
        self.vms[vm].obey(self.now, orders, &mut self.history);
        self.watch(vm);
        if is_awaited {
            self.send_next(vm, ms(200));
        }
    }

    fn watch(&mut self, vm: usize) {
        if let Some(due) = self.vms[vm].next_due() {
            self.after(due.saturating_sub(self.now), Input::Vm(vm));
        }
    }

    fn advance(&mut self, vm: usize) {
        self.vms[vm].advance(self.now, &mut self.history);
        self.watch(vm);
    }

    fn thaw(&mut self, vm: usize) {
        let Some(agent) = &mut self.vms[vm].agent else { return };
        agent.frozen = false;
        let inbox = std::mem::take(&mut agent.inbox);
        let incarnation = agent.incarnation;
        for orders in inbox {
            self.obey(vm, incarnation, orders);
        }
        self.send_next(vm, ms(1));
    }
}
