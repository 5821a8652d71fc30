//! Simulates a cell with modelled VMs and injected faults, in virtual time.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use fastrand::Rng;
use peridotfold_core::cell::{CellSettings, JobSpec};
use peridotfold_core::id::Incarnation;
use peridotfold_core::message::report::Orders;
use peridotfold_core::resources::Resources;
use peridotfold_core::time::Time;

use crate::cell_world::{ms, Answer, CellWorld, Input, RunResult, Timing};
use crate::schedules;
use crate::vm::Vm;

const FAULTS_END: Time = Duration::from_secs(60);

fn timing() -> Timing {
    let outage_hold = Duration::from_secs(30);
    Timing {
        settings: CellSettings { outage_hold, ..CellSettings::default() },
        faults_end: FAULTS_END,
        time_limit: Duration::from_secs(1_500),
        max_delay_ms: 100,
        max_late_ms: 30_000,
        late_one_in: 50,
    }
}

/// A scheduled event of the simulation. Numbers are indices of VMs.
#[derive(Debug, Clone)]
enum WorldInput {
    /// Sends a report, unless the agent has restarted or reported since.
    SendReport {
        vm: usize,
        incarnation: Incarnation,
        sequence: u64,
    },
    Answer(Answer),
    /// Ends the tasks of a VM that are done.
    AdvanceVm(usize),
    Boot(usize),
    Unfreeze(usize),
    StopDraining(usize),
    Reconnect(usize),
    Fault,
}

impl From<Answer> for WorldInput {
    fn from(answer: Answer) -> Self {
        WorldInput::Answer(answer)
    }
}

/// A fault to inject.
#[derive(Debug, Clone, Copy)]
enum Fault {
    KillAgent,
    FreezeAgent,
    /// Replaces a VM by an empty one.
    ReplaceVm,
    KillOwner,
    /// Cuts the owner off from the store.
    CutOwner,
    /// The owner gives up the cell.
    ReleaseOwner,
    StoreDown,
    EvictOne,
    /// Evicts all tasks of a VM, whose agent then drains.
    EvictAll,
    /// Cancels half of the jobs.
    CancelHalf,
    /// Drops all messages from and to a VM.
    CutVm,
}

/// Faults to choose from; a repeated fault is more likely.
const FAULTS: [Fault; 13] = [
    Fault::KillAgent,
    Fault::FreezeAgent,
    Fault::FreezeAgent,
    Fault::ReplaceVm,
    Fault::KillOwner,
    Fault::CutOwner,
    Fault::ReleaseOwner,
    Fault::StoreDown,
    Fault::EvictOne,
    Fault::EvictAll,
    Fault::CancelHalf,
    Fault::CutVm,
    Fault::CutVm,
];

/// Result of one simulated schedule.
pub struct RunOutcome {
    pub outcome: RunResult,
    /// Jobs that can complete: they do not always fail, and fit on a VM.
    pub valid_jobs: BTreeSet<String>,
    pub faulty_vms: usize,
}

/// The simulated cell and its VMs.
pub struct World {
    cell: CellWorld<WorldInput>,
    vms: Vec<Vm>,
    valid_jobs: BTreeSet<String>,
}

impl World {
    /// Runs the schedule of a seed to its end.
    pub fn run(seed: u64) -> RunOutcome {
        let mut world = World::new(seed);
        while let Some(input) = world.cell.next() {
            world.handle(input);
        }
        let faulty_vms = world.vms.iter().filter(|vm| vm.faulty).count();
        RunOutcome { outcome: world.cell.into_result(), valid_jobs: world.valid_jobs, faulty_vms }
    }

    fn new(seed: u64) -> Self {
        let cell = CellWorld::new(Rng::with_seed(seed), timing());
        let mut world = World { cell, vms: Vec::new(), valid_jobs: BTreeSet::new() };
        world.add_vms();
        world.add_jobs();
        world.cell.take_over();
        for vm in 0..world.vms.len() {
            world.boot(vm);
        }
        for _ in 0..world.cell.rng.u64(2..12) {
            let at = world.cell.rng.u64(1_000..FAULTS_END.as_millis() as u64);
            world.schedule(ms(at), WorldInput::Fault);
        }
        world
    }

    fn schedule(&mut self, delay: Duration, input: WorldInput) {
        self.cell.schedule(delay, Input::World(input));
    }

    fn add_vms(&mut self) {
        let faulty = self.cell.rng.usize(0..8);
        for index in 0..self.cell.rng.usize(3..6) {
            let rate = 0.99 + 0.02 * self.cell.rng.f64();
            let capacity = Resources::new(4_000, 4_096, 0);
            let rack = format!("rack-{}", index / 2);
            self.vms.push(Vm::new(format!("vm-{index}"), rack, rate, capacity, index == faulty));
        }
    }

    fn add_jobs(&mut self) {
        let cell = &mut self.cell;
        for index in 0..cell.rng.usize(4..10) {
            let always_fails = cell.rng.u8(0..8) == 0;
            let oversized = cell.rng.u8(0..10) == 0;
            let max_work_ms = if cell.rng.u8(0..4) > 0 { 10_000 } else { 150_000 };
            let mut command = cell.rng.u64(500..max_work_ms).to_le_bytes().to_vec();
            command.push(u8::from(always_fails));
            let cpu = if oversized { 9_000 } else { cell.rng.u64(500..3_000) };
            let class = if cell.rng.bool() { "urgent" } else { "normal" };
            let spec = JobSpec {
                id: format!("job-{index}"),
                team: "team".to_owned(),
                class: class.to_owned(),
                tasks: cell.rng.u32(1..4),
                need: Resources::new(cpu, 512, 0),
                command: Bytes::from(command),
            };
            if !always_fails && !oversized {
                self.valid_jobs.insert(spec.id.clone());
            }
            let at = cell.rng.u64(0..30_000);
            cell.add_job(spec, ms(at));
            if cell.rng.u8(0..4) == 0 {
                let at = cell.rng.u64(at..50_000);
                cell.schedule(ms(at), Input::Cancel(index));
            }
        }
    }

    fn handle(&mut self, input: WorldInput) {
        match input {
            WorldInput::SendReport { vm, incarnation, sequence } => {
                self.send(vm, incarnation, sequence)
            }
            WorldInput::Answer(Answer { agent, incarnation, orders }) => {
                if let Some(vm) = self.vms.iter().position(|vm| vm.id == agent) {
                    self.handle_answer(vm, incarnation, orders);
                }
            }
            WorldInput::AdvanceVm(vm) => self.advance(vm),
            WorldInput::Boot(vm) => self.boot(vm),
            WorldInput::Unfreeze(vm) => self.unfreeze(vm),
            WorldInput::StopDraining(vm) => {
                if let Some(agent) = &mut self.vms[vm].agent {
                    agent.leaving = false;
                }
            }
            WorldInput::Reconnect(vm) => self.vms[vm].is_cut_off = false,
            WorldInput::Fault => self.inject_fault(),
        }
    }

    fn inject_fault(&mut self) {
        let vm = self.cell.rng.usize(0..self.vms.len());
        let owner = self.cell.newest();
        let fault = FAULTS[usize::from(self.cell.rng.u8(0..FAULTS.len() as u8))];
        let now = self.cell.now;
        if !schedules::step(|| format!("{now:?} {fault:?}, VM {vm}")) {
            return;
        }
        match fault {
            Fault::CutVm => {
                self.vms[vm].is_cut_off = true;
                let delay = self.cell.rng.u64(1_000..50_000);
                self.schedule(ms(delay), WorldInput::Reconnect(vm));
            }
            Fault::KillAgent => {
                self.vms[vm].agent = None;
                let delay = self.cell.rng.u64(100..30_000);
                self.schedule(ms(delay), WorldInput::Boot(vm));
            }
            Fault::FreezeAgent => {
                if let Some(agent) = &mut self.vms[vm].agent {
                    agent.frozen = true;
                    let delay = self.cell.rng.u64(100..40_000);
                    self.schedule(ms(delay), WorldInput::Unfreeze(vm));
                }
            }
            Fault::ReplaceVm => {
                self.vms[vm].replace(&mut self.cell.history);
                let delay = self.cell.rng.u64(100..30_000);
                self.schedule(ms(delay), WorldInput::Boot(vm));
            }
            Fault::KillOwner => {
                self.cell.owners[owner].cell = None;
                self.cell.schedule(ms(6_000), Input::TakeOver);
            }
            Fault::CutOwner => {
                self.cell.schedule(ms(6_000), Input::TakeOver);
                let delay = self.cell.rng.u64(1_000..120_000);
                self.cell.owners[owner].store_cut_until = now + ms(delay);
            }
            Fault::ReleaseOwner => {
                if let Some(cell) = &mut self.cell.owners[owner].cell {
                    cell.release();
                }
                self.cell.schedule(ms(2_000), Input::TakeOver);
            }
            Fault::StoreDown => {
                let delay = self.cell.rng.u64(1_000..50_000);
                self.cell.store.down_until = (now + ms(delay)).min(FAULTS_END);
            }
            Fault::EvictOne => self.vms[vm].evict(now, true, &mut self.cell.history),
            Fault::EvictAll => {
                self.vms[vm].evict(now, false, &mut self.cell.history);
                if let Some(agent) = &mut self.vms[vm].agent {
                    agent.leaving = true;
                    self.schedule(ms(10_000), WorldInput::StopDraining(vm));
                }
            }
            Fault::CancelHalf => {
                (0..self.cell.jobs.len() / 2).for_each(|job| self.cell.cancel(job))
            }
        }
    }

    fn boot(&mut self, vm: usize) {
        if self.vms[vm].agent.is_none() {
            let owner = self.cell.newest();
            self.vms[vm].boot(owner);
            self.send_next(vm, ms(1));
        }
    }

    /// Schedules the next report after `delay`, unless another one is sent first.
    fn send_next(&mut self, vm: usize, delay: Duration) {
        if let Some(agent) = &self.vms[vm].agent {
            let (incarnation, sequence) = (agent.incarnation, agent.sequence);
            self.schedule(delay, WorldInput::SendReport { vm, incarnation, sequence });
        }
    }

    fn send(&mut self, vm: usize, incarnation: Incarnation, sequence: u64) {
        let newest = self.cell.newest();
        let keeps_owner = !self.cell.faults_ended() && self.cell.rng.u8(0..4) > 0;
        let Some(agent) = &mut self.vms[vm].agent else { return };
        if agent.frozen || (agent.incarnation, agent.sequence) != (incarnation, sequence) {
            return;
        }
        if agent.answered_sequence < agent.sequence && !keeps_owner {
            agent.owner = newest;
        }
        let owner = agent.owner;
        if let Some(report) = self.vms[vm].report(self.cell.now) {
            if !self.vms[vm].is_cut_off {
                self.cell.deliver(Input::Report { owner, report });
            }
            self.send_next(vm, ms(2_500));
        }
    }

    fn handle_answer(&mut self, vm: usize, incarnation: Incarnation, orders: Orders) {
        let is_cut_off = self.vms[vm].is_cut_off;
        let Some(agent) = &mut self.vms[vm].agent else { return };
        if agent.incarnation != incarnation || is_cut_off {
            return;
        }
        if agent.frozen {
            agent.inbox.push_back(orders);
            return;
        }
        let is_expected =
            orders.sequence == agent.sequence && agent.answered_sequence < agent.sequence;
        self.vms[vm].advance(self.cell.now, &mut self.cell.history);
        self.vms[vm].apply_orders(self.cell.now, orders, &mut self.cell.history);
        self.schedule_advance(vm);
        if is_expected {
            self.send_next(vm, ms(200));
        }
    }

    /// Schedules the next end of a task on a VM.
    fn schedule_advance(&mut self, vm: usize) {
        if let Some(at) = self.vms[vm].next_end_time() {
            self.schedule(at.saturating_sub(self.cell.now), WorldInput::AdvanceVm(vm));
        }
    }

    fn advance(&mut self, vm: usize) {
        self.vms[vm].advance(self.cell.now, &mut self.cell.history);
        self.schedule_advance(vm);
    }

    /// Lets a frozen agent continue with the orders that arrived meanwhile.
    fn unfreeze(&mut self, vm: usize) {
        let Some(agent) = &mut self.vms[vm].agent else { return };
        agent.frozen = false;
        let inbox = std::mem::take(&mut agent.inbox);
        let incarnation = agent.incarnation;
        for orders in inbox {
            self.handle_answer(vm, incarnation, orders);
        }
        self.send_next(vm, ms(1));
    }
}
