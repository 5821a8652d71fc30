//! Simulates a cell whose VMs run the real task state machine of the agent, with injected faults, in
//! virtual time.

use std::time::Duration;

use bytes::Bytes;
use fastrand::Rng;
use peridotfold_core::cell::{CellSettings, JobSpec};
use peridotfold_core::id::Incarnation;
use peridotfold_core::resources::Resources;
use peridotfold_core::time::Time;

use crate::cell_world::{ms, Answer, CellWorld, Input, RunResult, Timing};
use crate::schedules;
use crate::vm::Vm;

const FAULTS_END: Time = Duration::from_secs(25);
const VM_STEP_INTERVAL: Duration = Duration::from_millis(100);
const VM_COUNT: usize = 3;
/// Lease and outage hold are short, so that they expire often in each schedule.
const TIMING: Timing = Timing {
    settings: CellSettings {
        lease: Duration::from_secs(4),
        outage_hold: Duration::from_secs(8),
        discovery_period: Duration::from_secs(2),
        silent: Duration::from_secs(3),
    },
    faults_end: FAULTS_END,
    time_limit: Duration::from_secs(400),
    max_delay_ms: 60,
    max_late_ms: 10_000,
    late_one_in: 40,
};
/// Time from a fault of an owner to the takeover by its successor.
const FAILOVER_DELAY: Duration = Duration::from_secs(2);

/// A scheduled event of the simulation. Numbers are indices of VMs and owners.
#[derive(Clone)]
enum WorldInput {
    /// Runs the agents of all VMs.
    StepVms,
    /// Sends a report, unless the agent has restarted or reported since.
    SendReport {
        vm: usize,
        incarnation: Incarnation,
        sequence: u64,
    },
    Answer(Answer),
    /// Starts the agent of a VM, reporting to the given owner or to a random recent one.
    Boot(usize, Option<usize>),
    Fault,
    /// Begins a [`SplitBrain`]; the following inputs are its steps.
    SplitBrain,
    /// Cuts the owner off from the store, so that another one takes over.
    CutOwner(SplitBrain),
    ReportToSuccessor(SplitBrain),
    ReportToFormer(SplitBrain),
}

impl From<Answer> for WorldInput {
    fn from(answer: Answer) -> Self {
        WorldInput::Answer(answer)
    }
}

/// A scenario with two active owners: one has been replaced but still grants leases, and the agent
/// of a VM reports to its successor and then to it again.
#[derive(Debug, Clone, Copy)]
struct SplitBrain {
    vm: usize,
    /// Index of the replaced owner.
    former: usize,
    cause: Cause,
}

/// Why the agent reports to the former owner again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// The answers of the successor are lost.
    AnswersLost,
    AgentRestarted,
    VmReplaced,
}

/// Causes to choose from. Restarts and replacements are listed twice, because they lead to a
/// conflict less often.
const CAUSES: [Cause; 5] = [
    Cause::AnswersLost,
    Cause::AgentRestarted,
    Cause::AgentRestarted,
    Cause::VmReplaced,
    Cause::VmReplaced,
];

/// A fault to inject.
#[derive(Debug, Clone, Copy)]
enum Fault {
    KillOwner,
    PauseOwner,
    /// Cuts the owner off from the store.
    CutOwner,
    /// The owner gives up the cell.
    ReleaseOwner,
    KillAgent,
    FreezeAgent,
    /// Replaces a VM by an empty one.
    ReplaceVm,
    /// Replaces all VMs of a rack.
    LoseRack,
    /// Loses the reports of a VM.
    CutReports,
    /// Loses the answers to a VM.
    CutAnswers,
    StoreDown,
    StoreSlow,
    Evict,
}

/// Faults to choose from; a repeated fault is more likely.
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

/// The simulated cell and its VMs.
pub struct World {
    cell: CellWorld<WorldInput>,
    vms: Vec<Vm>,
}

impl World {
    /// Runs the schedule of a seed to its end.
    pub fn run(seed: u64) -> RunResult {
        let mut world = World::new(seed);
        while let Some(input) = world.cell.next() {
            world.handle(input);
        }
        world.cell.into_result()
    }

    fn new(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let vms = (0..VM_COUNT).map(|index| Vm::new(&mut rng, index)).collect();
        let mut world = World { cell: CellWorld::new(rng, TIMING), vms };
        world.add_jobs();
        world.cell.take_over();
        (0..VM_COUNT).for_each(|vm| world.boot(vm, None));
        world.schedule(VM_STEP_INTERVAL, WorldInput::StepVms);
        world.add_faults();
        world
    }

    fn add_jobs(&mut self) {
        let cell = &mut self.cell;
        for index in 0..cell.rng.usize(3..7) {
            let class = if cell.rng.bool() { "urgent" } else { "normal" };
            // The command holds the work in milliseconds and the usage in percent of `need`.
            let max_work_ms = if cell.rng.bool() { 5_000 } else { 25_000 };
            let command = format!("{} {}", cell.rng.u64(200..max_work_ms), cell.rng.u64(30..200));
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
                cell.schedule(ms(at - lead), Input::World(WorldInput::SplitBrain));
            }
            if cell.rng.u8(0..4) == 0 {
                let at = cell.rng.u64(at..22_000);
                cell.schedule(ms(at), Input::Cancel(index));
            }
        }
    }

    /// Schedules single faults, and pairs of faults within two seconds.
    fn add_faults(&mut self) {
        for _ in 0..self.cell.rng.usize(1..6) {
            let at = self.cell.rng.u64(1_000..FAULTS_END.as_millis() as u64 - 2_000);
            self.schedule(ms(at), WorldInput::Fault);
            if self.cell.rng.bool() {
                let second = at + self.cell.rng.u64(0..2_000);
                self.schedule(ms(second), WorldInput::Fault);
            }
        }
    }

    fn schedule(&mut self, delay: Duration, input: WorldInput) {
        self.cell.schedule(delay, Input::World(input));
    }

    fn handle(&mut self, input: WorldInput) {
        match input {
            WorldInput::StepVms => self.step_vms(),
            WorldInput::SendReport { vm, incarnation, sequence } => {
                self.send_report(vm, incarnation, sequence);
            }
            WorldInput::Answer(answer) => self.handle_answer(answer),
            WorldInput::Boot(vm, owner) => self.boot(vm, owner),
            WorldInput::Fault => self.inject_fault(),
            WorldInput::SplitBrain => self.begin_split_brain(),
            WorldInput::CutOwner(SplitBrain { former, .. }) => {
                let until = self.cell.now + ms(self.cell.rng.u64(6_000..10_000));
                self.cell.owners[former].store_cut_until = until.min(FAULTS_END);
                self.cell.schedule(FAILOVER_DELAY, Input::TakeOver);
            }
            WorldInput::ReportToSuccessor(split_brain) => self.report_to_successor(split_brain),
            WorldInput::ReportToFormer(split_brain) => self.report_to_former(split_brain),
        }
    }

    fn inject_fault(&mut self) {
        let vm = self.cell.rng.usize(0..VM_COUNT);
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
                self.cell.schedule(FAILOVER_DELAY, Input::TakeOver);
            }
            Fault::PauseOwner => {
                self.cell.owners[current].paused_until = until;
                self.cell.schedule(FAILOVER_DELAY, Input::TakeOver);
            }
            Fault::CutOwner => {
                self.cell.owners[current].store_cut_until = until.min(FAULTS_END);
                self.cell.schedule(FAILOVER_DELAY, Input::TakeOver);
            }
            Fault::ReleaseOwner => {
                if let Some(cell) = &mut self.cell.owners[current].cell {
                    cell.release();
                }
                self.cell.schedule(FAILOVER_DELAY, Input::TakeOver);
            }
            Fault::KillAgent => self.kill_agent(vm),
            Fault::FreezeAgent => self.vms[vm].frozen_until = until,
            Fault::ReplaceVm => self.replace(vm),
            Fault::LoseRack => {
                let rack = self.vms[vm].rack.clone();
                (0..VM_COUNT)
                    .filter(|vm| self.vms[*vm].rack == rack)
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|vm| self.replace(vm));
            }
            Fault::CutReports => self.vms[vm].reports_lost_until = until,
            Fault::CutAnswers => self.vms[vm].answers_lost_until = until,
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
                // The agent process then ends, as after a drain; its VM stays.
                self.restart_agent_later(vm);
            }
        }
    }

    fn kill_agent(&mut self, vm: usize) {
        self.vms[vm].agent = None;
        let delay = ms(self.cell.rng.u64(50..6_000));
        self.schedule(delay, WorldInput::Boot(vm, None));
    }

    /// Schedules the restart of an agent, which runs until then even if it was frozen.
    fn restart_agent_later(&mut self, vm: usize) {
        self.vms[vm].frozen_until = self.cell.now;
        let delay = ms(self.cell.rng.u64(1_000..5_000));
        self.schedule(delay, WorldInput::Boot(vm, None));
    }

    /// Replaces a VM by an empty one, without an agent.
    fn replace_machine(&mut self, vm: usize) {
        self.record_executions();
        self.vms[vm].replace(self.cell.now);
        self.record_executions();
    }

    /// Replaces a VM by an empty one whose agent starts after a delay.
    fn replace(&mut self, vm: usize) {
        self.replace_machine(vm);
        let delay = ms(self.cell.rng.u64(100..10_000));
        self.schedule(delay, WorldInput::Boot(vm, None));
    }

    /// Records the starts and ends of attempts on all VMs, and checks the VMs' capacities.
    fn record_executions(&mut self) {
        let mut ended = false;
        for vm in &mut self.vms {
            ended |= vm.record_ends(self.cell.now, &mut self.cell.history);
        }
        for vm in &mut self.vms {
            vm.record_starts(&mut self.cell.history);
            vm.check_capacity();
        }
        // A cancellation may race with the report of a result.
        if ended && !self.cell.faults_ended() && self.cell.rng.u8(..8) == 0 {
            let job = self.cell.rng.usize(0..self.cell.jobs.len());
            let delay = ms(self.cell.rng.u64(0..300));
            self.cell.schedule(delay, Input::Cancel(job));
        }
    }

    fn step_vms(&mut self) {
        self.schedule(VM_STEP_INTERVAL, WorldInput::StepVms);
        let inject_faults = !self.cell.faults_ended();
        for index in 0..VM_COUNT {
            if self.vms[index].deliver_delayed_actions(self.cell.now) {
                self.record_executions();
            }
            if inject_faults && self.cell.now < self.vms[index].frozen_until {
                continue;
            }
            self.vms[index].run_agent(self.cell.now, inject_faults, &mut self.cell.rng);
            self.record_executions();
        }
    }

    /// Starts a [`SplitBrain`]. If the VM's reports are lost before its owner is cut off from the
    /// store, starts may be committed that were never sent.
    fn begin_split_brain(&mut self) {
        let rng = &mut self.cell.rng;
        let (vm, cause) = (rng.usize(0..VM_COUNT), rng.choice(CAUSES).expect("a cause"));
        let reports_lost = cause == Cause::VmReplaced || rng.bool();
        let cut_delay = ms(rng.u64(400..1_000));
        let to_successor = cut_delay + FAILOVER_DELAY + ms(rng.u64(50..600));
        let to_former = to_successor + ms(rng.u64(300..1_500));
        let split_brain = SplitBrain { vm, former: self.cell.newest(), cause };
        let now = self.cell.now;
        if !schedules::step(|| format!("{now:?} {split_brain:?}, reports lost: {reports_lost}")) {
            return;
        }
        if reports_lost {
            self.vms[vm].reports_lost_until = self.cell.now + to_successor;
        }
        self.schedule(cut_delay, WorldInput::CutOwner(split_brain));
        self.schedule(to_successor, WorldInput::ReportToSuccessor(split_brain));
        self.schedule(to_former, WorldInput::ReportToFormer(split_brain));
    }

    fn report_to_successor(&mut self, split_brain: SplitBrain) {
        (0..VM_COUNT).for_each(|vm| self.redirect(vm, self.cell.newest()));
        if split_brain.cause == Cause::AnswersLost {
            self.vms[split_brain.vm].answers_lost_until = self.cell.now + ms(1_500);
        }
    }

    fn report_to_former(&mut self, SplitBrain { vm, former, cause }: SplitBrain) {
        match cause {
            Cause::AnswersLost => {
                self.vms[vm].answers_lost_until = self.cell.now;
                return self.redirect(vm, former);
            }
            Cause::AgentRestarted => self.vms[vm].agent = None,
            Cause::VmReplaced => self.replace_machine(vm),
        }
        let delay = ms(self.cell.rng.u64(50..500));
        self.schedule(delay, WorldInput::Boot(vm, Some(former)));
    }

    /// Makes the agent of a VM report to `owner` immediately.
    fn redirect(&mut self, vm: usize, owner: usize) {
        if let Some(agent) = &self.vms[vm].agent {
            let (incarnation, sequence) = (agent.incarnation, agent.sequence);
            self.vms[vm].owner = owner;
            self.schedule(ms(1), WorldInput::SendReport { vm, incarnation, sequence });
        }
    }

    fn boot(&mut self, vm: usize, owner: Option<usize>) {
        let newest = self.cell.newest();
        let former = !self.cell.faults_ended() && self.cell.rng.bool();
        let any = if former { newest.saturating_sub(1) } else { newest };
        let owner = owner.unwrap_or(any);
        let incarnation = self.cell.rng.u64(1..);
        self.vms[vm].boot(incarnation, owner);
        self.schedule(ms(1), WorldInput::SendReport { vm, incarnation, sequence: 0 });
    }

    /// Sends the next report, unless another one was sent since it was scheduled.
    fn send_report(&mut self, vm: usize, incarnation: Incarnation, sequence: u64) {
        let (newest, calm) = (self.cell.newest(), self.cell.faults_ended());
        let keeps_owner = !calm && self.cell.rng.u8(0..4) > 0;
        // An entry with outdated information may name the former owner to the agent.
        let uses_former_owner = !calm && self.cell.rng.u8(0..25) == 0;
        let overstates_free = !calm && self.cell.rng.u8(0..6) == 0;
        let state = &mut self.vms[vm];
        let clock = state.clock(self.cell.now);
        let frozen = !calm && self.cell.now < state.frozen_until;
        let is_cut_off = !calm && self.cell.now < state.reports_lost_until;
        let known = state.agent.as_ref().map(|agent| (agent.incarnation, agent.sequence));
        if known != Some((incarnation, sequence)) {
            return;
        }
        let retry = WorldInput::SendReport { vm, incarnation, sequence };
        if frozen {
            return self.schedule(VM_STEP_INTERVAL, retry);
        }
        if !state.answered && !keeps_owner {
            state.owner = newest;
        } else if uses_former_owner {
            state.owner = newest.saturating_sub(1);
        }
        let owner = state.owner;
        let Some(agent) = &mut state.agent else { return };
        let Some(mut report) = agent.tasks.report(clock, 0) else {
            return self.schedule(VM_STEP_INTERVAL, retry);
        };
        // The owner may have a wrong view of a VM: the agent has to refuse starts that do not fit.
        if overstates_free {
            report.free = report.batch_capacity;
            report.urgent_free = report.batch_capacity;
        }
        agent.sequence = report.sequence;
        state.answered = false;
        let sequence = report.sequence;
        if !is_cut_off {
            self.cell.deliver(Input::Report { owner, report });
        }
        self.schedule(ms(2_000), WorldInput::SendReport { vm, incarnation, sequence });
    }

    fn handle_answer(&mut self, answer: Answer) {
        let Some(vm) = self.vms.iter().position(|vm| vm.id == answer.agent) else { return };
        let calm = self.cell.faults_ended();
        let state = &mut self.vms[vm];
        let clock = state.clock(self.cell.now);
        let until = state.frozen_until;
        if !calm && self.cell.now < state.answers_lost_until {
            return;
        }
        let Some(agent) = &mut state.agent else { return };
        if agent.incarnation != answer.incarnation {
            return;
        }
        if !calm && self.cell.now < until {
            let delay = until - self.cell.now;
            return self.schedule(delay, WorldInput::Answer(answer));
        }
        let Answer { incarnation, orders, .. } = answer;
        let sequence = agent.sequence;
        let is_latest = orders.sequence == sequence;
        agent.tasks.apply_orders(clock, orders);
        agent.tasks.take_events();
        let is_expected = is_latest && !state.answered;
        state.answered |= is_expected;
        if is_expected {
            // Often earlier than the worker has stored a new epoch.
            let delay = if calm { 100 } else { self.cell.rng.u64(1..200) };
            self.schedule(ms(delay), WorldInput::SendReport { vm, incarnation, sequence });
        }
    }
}
