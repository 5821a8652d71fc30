//! VMs with the real agent core, and the faults of a cell, on virtual time.

use std::time::Duration;

use bytes::Bytes;
use fastrand::Rng;
use peridotfold_core::cell::{CellSettings, JobSpec};
use peridotfold_core::id::Incarnation;
use peridotfold_core::resources::Resources;
use peridotfold_core::time::Time;

use crate::cell_world::{ms, Answer, CellWorld, Ended, Input, Timing};
use crate::schedules;
use crate::vm::Vm;

const FAULTS_END: Time = Duration::from_secs(25);
const VM_STEP: Duration = Duration::from_millis(100);
const VMS: usize = 3;
/// Lease and hold are short, so that a schedule has many of them.
const TIMING: Timing = Timing {
    settings: CellSettings {
        lease: Duration::from_secs(4),
        outage_hold: Duration::from_secs(8),
        settle: Duration::from_secs(2),
        silent: Duration::from_secs(3),
    },
    faults_end: FAULTS_END,
    give_up: Duration::from_secs(400),
    usual_ms: 60,
    late_ms: 10_000,
    late_one_in: 40,
};
const DETECTION: Duration = Duration::from_secs(2);

#[derive(Clone)]
enum WorldInput {
    Vms,
    SendReport {
        vm: usize,
        incarnation: Incarnation,
        sequence: u64,
    },
    Answer(Answer),
    /// Boots an agent that hears of the given owner, or of any.
    Boot(usize, Option<usize>),
    Fault,
    SplitBrain,
    CutOwner(SplitBrain),
    ToSuccessor(SplitBrain),
    ToFormer(SplitBrain),
}

impl From<Answer> for WorldInput {
    fn from(answer: Answer) -> Self {
        WorldInput::Answer(answer)
    }
}

/// A replaced owner that still grants, and an agent that reports to its successor and then to it
/// again.
#[derive(Debug, Clone, Copy)]
struct SplitBrain {
    vm: usize,
    former: usize,
    cause: Cause,
}

/// Why the agent reports to the former owner again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    AnswersLost,
    AgentRestarted,
    VmReplaced,
}

/// Causes by weight: restarts and replacements lead to a conflict less often.
const CAUSES: [Cause; 5] = [
    Cause::AnswersLost,
    Cause::AgentRestarted,
    Cause::AgentRestarted,
    Cause::VmReplaced,
    Cause::VmReplaced,
];

#[derive(Debug, Clone, Copy)]
enum Fault {
    KillOwner,
    PauseOwner,
    CutOwner,
    ReleaseOwner,
    KillAgent,
    FreezeAgent,
    ReplaceVm,
    LoseRack,
    CutReports,
    CutAnswers,
    StoreDown,
    StoreSlow,
    Evict,
}

/// Faults by weight.
const FAULTS: [Fault; 17] = [
    Fault::KillOwner,
    Fault::PauseOwner,
    Fault::PauseOwner,
    Fault::CutOwner,
    Fault::CutOwner,
    Fault::CutOwner,
    Fault::ReleaseOwner,
    Fault::KillAgent,
    Fault::KillAgent,
    Fault::FreezeAgent,
    Fault::ReplaceVm,
    Fault::LoseRack,
    Fault::CutReports,
    Fault::CutAnswers,
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::Evict,
];

pub struct World {
    cell: CellWorld<WorldInput>,
    vms: Vec<Vm>,
}

impl World {
    pub fn run(seed: u64) -> Ended {
        let mut world = World::new(seed);
        while let Some(input) = world.cell.next() {
            world.handle(input);
        }
        world.cell.end()
    }

    fn new(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let vms = (0..VMS).map(|index| Vm::new(&mut rng, index)).collect();
        let mut world = World { cell: CellWorld::new(rng, TIMING), vms };
        world.add_jobs();
        world.cell.take_over();
        (0..VMS).for_each(|vm| world.boot(vm, None));
        world.after(VM_STEP, WorldInput::Vms);
        world.add_faults();
        world
    }

    fn add_jobs(&mut self) {
        let cell = &mut self.cell;
        for index in 0..cell.rng.usize(3..7) {
            let class = if cell.rng.bool() { "urgent" } else { "normal" };
            // Work, and usage in percent of what is declared.
            let longest = if cell.rng.bool() { 5_000 } else { 25_000 };
            let command = format!("{} {}", cell.rng.u64(200..longest), cell.rng.u64(30..200));
            let job = JobSpec {
                id: format!("job-{index}"),
                team: "team".to_owned(),
                class: class.to_owned(),
                tasks: cell.rng.u32(1..4),
                need: Resources::new(cell.rng.u64(500..3_000), cell.rng.u64(500..8_000), 0),
                command: Bytes::from(command),
            };
            let at = cell.rng.u64(0..15_000);
            cell.add_job(job, ms(at));
            if cell.rng.u8(0..3) == 0 {
                let lead = cell.rng.u64(0..200).min(at);
                cell.after(ms(at - lead), Input::World(WorldInput::SplitBrain));
            }
            if cell.rng.u8(0..4) == 0 {
                let at = cell.rng.u64(at..22_000);
                cell.after(ms(at), Input::Cancel(index));
            }
        }
    }

    /// Faults come alone or in pairs that follow each other closely.
    fn add_faults(&mut self) {
        for _ in 0..self.cell.rng.usize(1..6) {
            let at = self.cell.rng.u64(1_000..FAULTS_END.as_millis() as u64 - 2_000);
            self.after(ms(at), WorldInput::Fault);
            if self.cell.rng.bool() {
                let second = at + self.cell.rng.u64(0..2_000);
                self.after(ms(second), WorldInput::Fault);
            }
        }
    }

    fn after(&mut self, delay: Duration, input: WorldInput) {
        self.cell.after(delay, Input::World(input));
    }

    fn handle(&mut self, input: WorldInput) {
        match input {
            WorldInput::Vms => self.step_vms(),
            WorldInput::SendReport { vm, incarnation, sequence } => {
                self.send_report(vm, incarnation, sequence);
            }
            WorldInput::Answer(answer) => self.apply_orders(answer),
            WorldInput::Boot(vm, owner) => self.boot(vm, owner),
            WorldInput::Fault => self.fault(),
            WorldInput::SplitBrain => self.begin_split_brain(),
            WorldInput::CutOwner(SplitBrain { former, .. }) => {
                let until = self.cell.now + ms(self.cell.rng.u64(6_000..10_000));
                self.cell.owners[former].cut_until = until.min(FAULTS_END);
                self.cell.after(DETECTION, Input::TakeOver);
            }
            WorldInput::ToSuccessor(split_brain) => self.report_to_successor(split_brain),
            WorldInput::ToFormer(split_brain) => self.report_to_former(split_brain),
        }
    }

    fn fault(&mut self) {
        let vm = self.cell.rng.usize(0..VMS);
        let current = self.cell.newest();
        let until = self.cell.now + ms(self.cell.rng.u64(500..15_000));
        let fault = FAULTS[usize::from(self.cell.rng.u8(0..FAULTS.len() as u8))];
        let now = self.cell.now;
        if !schedules::step(|| format!("{now:?} {fault:?}, VM {vm}, until {until:?}")) {
            return;
        }
        match fault {
            Fault::KillOwner => {
                self.cell.owners[current].cell = None;
                self.cell.after(DETECTION, Input::TakeOver);
            }
            Fault::PauseOwner => {
                self.cell.owners[current].paused_until = until;
                self.cell.after(DETECTION, Input::TakeOver);
            }
            Fault::CutOwner => {
                self.cell.owners[current].cut_until = until.min(FAULTS_END);
                self.cell.after(DETECTION, Input::TakeOver);
            }
            Fault::ReleaseOwner => {
                if let Some(cell) = &mut self.cell.owners[current].cell {
                    cell.release();
                }
                self.cell.after(DETECTION, Input::TakeOver);
            }
            Fault::KillAgent => self.kill_agent(vm),
            Fault::FreezeAgent => self.vms[vm].frozen_until = until,
            Fault::ReplaceVm => self.replace(vm),
            Fault::LoseRack => {
                let rack = self.vms[vm].rack.clone();
                (0..VMS)
                    .filter(|vm| self.vms[*vm].rack == rack)
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|vm| self.replace(vm));
            }
            Fault::CutReports => self.vms[vm].up_cut_until = until,
            Fault::CutAnswers => self.vms[vm].down_cut_until = until,
            Fault::StoreDown => self.cell.store.down_until = until.min(FAULTS_END),
            Fault::StoreSlow => self.cell.store.slow_until = until.min(FAULTS_END),
            Fault::Evict => {
                if let Some(agent) = &mut self.vms[vm].agent {
                    match self.cell.rng.bool() {
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
        let delay = ms(self.cell.rng.u64(50..6_000));
        self.after(delay, WorldInput::Boot(vm, None));
    }

    fn kill_agent_later(&mut self, vm: usize) {
        self.vms[vm].frozen_until = self.cell.now;
        let delay = ms(self.cell.rng.u64(1_000..5_000));
        self.after(delay, WorldInput::Boot(vm, None));
    }

    fn replace_machine(&mut self, vm: usize) {
        self.observe();
        self.vms[vm].replace(self.cell.now);
        self.observe();
    }

    fn replace(&mut self, vm: usize) {
        self.replace_machine(vm);
        let delay = ms(self.cell.rng.u64(100..10_000));
        self.after(delay, WorldInput::Boot(vm, None));
    }

    fn observe(&mut self) {
        let mut ended = false;
        for vm in &mut self.vms {
            ended |= vm.observe_ends(self.cell.now, &mut self.cell.history);
        }
        for vm in &mut self.vms {
            vm.observe_begins(&mut self.cell.history);
            vm.check_capacity();
        }
        // A cancellation that crosses the result.
        if ended && !self.cell.is_calm() && self.cell.rng.u8(..8) == 0 {
            let job = self.cell.rng.usize(0..self.cell.jobs.len());
            let delay = ms(self.cell.rng.u64(0..300));
            self.cell.after(delay, Input::Cancel(job));
        }
    }

    fn step_vms(&mut self) {
        self.after(VM_STEP, WorldInput::Vms);
        let faulty = !self.cell.is_calm();
        for index in 0..VMS {
            if self.vms[index].land_flights(self.cell.now) {
                self.observe();
            }
            if faulty && self.cell.now < self.vms[index].frozen_until {
                continue;
            }
            self.vms[index].run_agent(self.cell.now, faulty, &mut self.cell.rng);
            self.observe();
        }
    }

    /// The VM's reports are lost just before the owner is cut off from the store, so that committed
    /// starts may not have been sent.
    fn begin_split_brain(&mut self) {
        let rng = &mut self.cell.rng;
        let (vm, cause) = (rng.usize(0..VMS), rng.choice(CAUSES).expect("a cause"));
        let silent = cause == Cause::VmReplaced || rng.bool();
        let cut = ms(rng.u64(400..1_000));
        let to_successor = cut + DETECTION + ms(rng.u64(50..600));
        let to_former = to_successor + ms(rng.u64(300..1_500));
        let split_brain = SplitBrain { vm, former: self.cell.newest(), cause };
        let now = self.cell.now;
        if !schedules::step(|| format!("{now:?} {split_brain:?}, reports lost: {silent}")) {
            return;
        }
        if silent {
            self.vms[vm].up_cut_until = self.cell.now + to_successor;
        }
        self.after(cut, WorldInput::CutOwner(split_brain));
        self.after(to_successor, WorldInput::ToSuccessor(split_brain));
        self.after(to_former, WorldInput::ToFormer(split_brain));
    }

    fn report_to_successor(&mut self, split_brain: SplitBrain) {
        (0..VMS).for_each(|vm| self.redirect(vm, self.cell.newest()));
        if split_brain.cause == Cause::AnswersLost {
            self.vms[split_brain.vm].down_cut_until = self.cell.now + ms(1_500);
        }
    }

    fn report_to_former(&mut self, SplitBrain { vm, former, cause }: SplitBrain) {
        match cause {
            Cause::AnswersLost => {
                self.vms[vm].down_cut_until = self.cell.now;
                return self.redirect(vm, former);
            }
            Cause::AgentRestarted => self.vms[vm].agent = None,
            Cause::VmReplaced => self.replace_machine(vm),
        }
        let delay = ms(self.cell.rng.u64(50..500));
        self.after(delay, WorldInput::Boot(vm, Some(former)));
    }

    /// The agent of a VM hears of an owner and reports to it at once.
    fn redirect(&mut self, vm: usize, owner: usize) {
        if let Some(agent) = &self.vms[vm].agent {
            let (incarnation, sequence) = (agent.incarnation, agent.sequence);
            self.vms[vm].owner = owner;
            self.after(ms(1), WorldInput::SendReport { vm, incarnation, sequence });
        }
    }

    fn boot(&mut self, vm: usize, owner: Option<usize>) {
        let newest = self.cell.newest();
        let former = !self.cell.is_calm() && self.cell.rng.bool();
        let any = if former { newest.saturating_sub(1) } else { newest };
        let owner = owner.unwrap_or(any);
        let incarnation = self.cell.rng.u64(1..);
        self.vms[vm].boot(incarnation, owner);
        self.after(ms(1), WorldInput::SendReport { vm, incarnation, sequence: 0 });
    }

    /// Sends the next report, unless another one is sent before.
    fn send_report(&mut self, vm: usize, incarnation: Incarnation, sequence: u64) {
        let (newest, calm) = (self.cell.newest(), self.cell.is_calm());
        let keeps = !calm && self.cell.rng.u8(0..4) > 0;
        // An agent may hear of the former owner from an entry that is behind.
        let goes_back = !calm && self.cell.rng.u8(0..25) == 0;
        let overstates = !calm && self.cell.rng.u8(0..6) == 0;
        let state = &mut self.vms[vm];
        let clock = state.clock(self.cell.now);
        let frozen = !calm && self.cell.now < state.frozen_until;
        let cut = !calm && self.cell.now < state.up_cut_until;
        let known = state.agent.as_ref().map(|agent| (agent.incarnation, agent.sequence));
        if known != Some((incarnation, sequence)) {
            return;
        }
        let again = WorldInput::SendReport { vm, incarnation, sequence };
        if frozen {
            return self.after(VM_STEP, again);
        }
        if !state.answered && !keeps {
            state.owner = newest;
        } else if goes_back {
            state.owner = newest.saturating_sub(1);
        }
        let owner = state.owner;
        let Some(agent) = &mut state.agent else { return };
        let Some(mut report) = agent.tasks.report(clock, 0) else {
            return self.after(VM_STEP, again);
        };
        // The owner's view of a VM may be wrong: the agent has to refuse what does not fit.
        if overstates {
            report.free = report.batch_capacity;
            report.urgent_free = report.batch_capacity;
        }
        agent.sequence = report.sequence;
        state.answered = false;
        let sequence = report.sequence;
        if !cut {
            self.cell.deliver(Input::Report { owner, report });
        }
        self.after(ms(2_000), WorldInput::SendReport { vm, incarnation, sequence });
    }

    fn apply_orders(&mut self, answer: Answer) {
        let Some(vm) = self.vms.iter().position(|vm| vm.id == answer.agent) else { return };
        let calm = self.cell.is_calm();
        let state = &mut self.vms[vm];
        let clock = state.clock(self.cell.now);
        let until = state.frozen_until;
        if !calm && self.cell.now < state.down_cut_until {
            return;
        }
        let Some(agent) = &mut state.agent else { return };
        if agent.incarnation != answer.incarnation {
            return;
        }
        if !calm && self.cell.now < until {
            let delay = until - self.cell.now;
            return self.after(delay, WorldInput::Answer(answer));
        }
        let Answer { incarnation, orders, .. } = answer;
        let sequence = agent.sequence;
        let newest = orders.sequence == sequence;
        agent.tasks.apply_orders(clock, orders);
        agent.tasks.take_events();
        let awaited = newest && !state.answered;
        state.answered |= awaited;
        if awaited {
            // Often before the worker has kept a new epoch.
            let delay = if calm { 100 } else { self.cell.rng.u64(1..200) };
            self.after(ms(delay), WorldInput::SendReport { vm, incarnation, sequence });
        }
    }
}
