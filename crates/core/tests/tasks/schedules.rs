//! Two VMs and a cell owner under random faults.

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;
use peridotfold_core::ledger::Limits;
use peridotfold_core::message::report::{AttemptId, Orders, Report, Token};
use peridotfold_core::resources::Resources;
use peridotfold_core::tasks::worker::WorkerList;
use peridotfold_core::tasks::{Action, Effect, Identity, Tasks};

use crate::model_owner::{ModelOwner, LEASE};
use crate::model_worker::{ModelWorker, CAPACITY};
use crate::support;

const SCHEDULES: u64 = 10_000;
const STEP: Duration = Duration::from_millis(100);
const FAULTY_STEPS: u32 = 350;
/// Steps without faults in which all tasks have to complete. Each of the 6 tasks works for up to
/// 12 s, at half speed while throttled, and may have to wait for another.
const CALM_STEPS: u32 = 3_000;
const VMS: usize = 2;
const TASKS: usize = 6;
const SERVICE: Resources = Resources::new(10_000, 20_000, 0);
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);
const ACTION_TIMEOUT: Duration = Duration::from_secs(1);

enum Cycle {
    Idle,
    Asked {
        asked_at: Duration,
    },
    Listed {
        asked_at: Duration,
        list: WorkerList,
    },
    Effects {
        actions: Vec<Action>,
    },
    /// Waits for the worker's reply, or for the timeout.
    Waiting {
        action: Action,
        until: Duration,
        then: Vec<Action>,
    },
}

/// A request on its way to the worker.
struct Flight {
    arrives_at: Duration,
    action: Action,
}

struct Vm {
    /// Clock of the VM: offset, and rate in thousandths.
    offset: Duration,
    rate: u32,
    worker: ModelWorker,
    flights: Vec<Flight>,
    agent: Option<Tasks>,
    incarnation: u64,
    cycle: Cycle,
    /// Until then the agent is paused, or down.
    frozen_until: Duration,
    report_due: Duration,
    sequence: u64,
    /// Reports with the times of arrival and sending, and the owner's epoch.
    uplink: Vec<(Duration, Duration, u64, Report)>,
    downlink: Vec<(Duration, u64, Orders)>,
}

struct World {
    rng: Rng,
    now: Duration,
    faulty: bool,
    next_incarnation: u64,
    vms: Vec<Vm>,
    owner: ModelOwner,
    /// Orders that no agent may obey.
    forbidden: Vec<AttemptId>,
}

impl Vm {
    fn new(rng: &mut Rng, index: usize) -> Vm {
        let offset = Duration::from_secs(rng.u64(0..100));
        Vm {
            offset,
            rate: rng.u32(993..1_007),
            worker: ModelWorker::new(offset, index as u64 * 1_000),
            flights: Vec::new(),
            agent: None,
            incarnation: 0,
            cycle: Cycle::Idle,
            frozen_until: Duration::ZERO,
            report_due: Duration::ZERO,
            sequence: 0,
            uplink: Vec::new(),
            downlink: Vec::new(),
        }
    }

    fn clock(&self, now: Duration) -> Duration {
        self.offset + now * self.rate / 1_000
    }
}

impl World {
    fn new(seed: u64) -> World {
        let mut rng = Rng::with_seed(seed);
        World {
            now: Duration::ZERO,
            faulty: true,
            next_incarnation: 1,
            vms: (0..VMS).map(|index| Vm::new(&mut rng, index)).collect(),
            owner: ModelOwner::new(&mut rng, TASKS),
            forbidden: Vec::new(),
            rng,
        }
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.faulty && self.rng.u32(..1_000) < per_mille
    }

    /// A chance that is a step of the schedule.
    fn fault(&mut self, name: &str, per_mille: u32) -> bool {
        let now = self.now;
        self.chance(per_mille) && support::step(|| format!("{now:?} {name}"))
    }

    fn step(&mut self) {
        self.now += STEP;
        for vm in &mut self.vms {
            let clock = vm.clock(self.now);
            vm.worker.advance(clock);
        }
        self.owner.expire(self.now);
        if self.fault("owner replaced", 3) {
            self.owner.take_over(self.now);
        }
        for index in 0..VMS {
            self.inject_faults(index);
            self.land_flights(index);
            if self.now >= self.vms[index].frozen_until {
                self.run_agent(index);
                self.exchange(index);
            }
        }
        self.check();
    }

    fn inject_faults(&mut self, index: usize) {
        let millis = self.rng.u64(100..6_000);
        let until = self.now + Duration::from_millis(millis);
        if self.fault(&format!("agent {index} frozen"), 8) {
            self.vms[index].frozen_until = until;
        }
        if self.fault(&format!("agent {index} killed"), 4) {
            let vm = &mut self.vms[index];
            vm.agent = None;
            vm.cycle = Cycle::Idle;
            vm.frozen_until = until;
        }
        if self.fault(&format!("worker {index} restarted"), 1) {
            let vm = &mut self.vms[index];
            let clock = vm.clock(self.now);
            vm.worker.restart(clock);
        }
        if self.fault(&format!("old orders to agent {index}"), 10) {
            self.send_old_epoch(index);
        }
    }

    /// A replaced owner answers the last report of an agent that has seen its successor.
    fn send_old_epoch(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        let Some(agent) = &vm.agent else { return };
        if agent.epoch() != self.owner.epoch || self.owner.epoch == 1 {
            return;
        }
        let token =
            Token { epoch: self.owner.epoch - 1, number: 1_000_000 + self.rng.u64(..1_000) };
        let id = AttemptId { job: "job".into(), task: self.rng.u32(..TASKS as u32), token };
        let orders = Orders {
            epoch: self.owner.epoch - 1,
            sequence: vm.sequence,
            lease: LEASE * 10,
            starts: vec![self.owner.start_order(id.clone())],
            ..Orders::default()
        };
        self.forbidden.push(id);
        vm.downlink.push((self.now, vm.incarnation, orders));
    }

    fn land_flights(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        let clock = vm.clock(self.now);
        let (due, later): (Vec<Flight>, Vec<Flight>) =
            std::mem::take(&mut vm.flights).into_iter().partition(|f| f.arrives_at <= self.now);
        vm.flights = later;
        for flight in due {
            // Nobody awaits the reply. A late removal may find nothing to remove.
            if !matches!(flight.action, Action::Remove(_)) {
                vm.worker.perform(clock, &flight.action);
            }
        }
    }

    fn run_agent(&mut self, index: usize) {
        if self.vms[index].agent.is_none() {
            self.start_agent(index);
        }
        let lost = self.chance(50);
        let slow = self.chance(200);
        let vm = &mut self.vms[index];
        let clock = vm.clock(self.now);
        let Some(agent) = &mut vm.agent else { return };
        let next = match std::mem::replace(&mut vm.cycle, Cycle::Idle) {
            Cycle::Idle if lost => Cycle::Idle,
            Cycle::Idle => {
                match agent.claim_request().map(|request| vm.worker.claim(request)) {
                    Some(None) => agent.claim_refused(),
                    Some(Some(claimed)) => agent.claimed(claimed),
                    None => {}
                }
                Cycle::Asked { asked_at: clock }
            }
            Cycle::Asked { asked_at } if slow => Cycle::Asked { asked_at },
            Cycle::Asked { asked_at } => Cycle::Listed { asked_at, list: vm.worker.list(clock) },
            Cycle::Listed { asked_at, list } if slow => Cycle::Listed { asked_at, list },
            Cycle::Listed { asked_at, list } => {
                agent.listed(asked_at, clock, &list);
                let mut actions = agent.actions(clock);
                actions.reverse();
                Cycle::Effects { actions }
            }
            Cycle::Effects { actions } => self.perform_next(index, actions),
            Cycle::Waiting { action, until, then } if clock >= until => {
                agent.performed(clock, &action, Effect::Unknown);
                Cycle::Effects { actions: then }
            }
            waiting => waiting,
        };
        self.vms[index].cycle = next;
    }

    fn start_agent(&mut self, index: usize) {
        let identity = Identity {
            agent: format!("a{index}"),
            incarnation: self.next_incarnation,
            cell: "c".into(),
            rack: "r".into(),
        };
        let mut agent = Tasks::new(identity, Duration::from_millis(500));
        agent.set_limits(Limits {
            service: SERVICE,
            classes: BTreeMap::from([("rebuild".to_owned(), CAPACITY)]),
            closing: None,
        });
        let vm = &mut self.vms[index];
        vm.agent = Some(agent);
        vm.incarnation = self.next_incarnation;
        vm.sequence = 0;
        vm.report_due = self.now;
        self.next_incarnation += 1;
    }

    fn perform_next(&mut self, index: usize, mut actions: Vec<Action>) -> Cycle {
        let fate = if self.faulty { self.rng.u8(..100) } else { 99 };
        let delay = Duration::from_millis(self.rng.u64(100..6_000));
        let vm = &mut self.vms[index];
        let clock = vm.clock(self.now);
        let Some(agent) = &mut vm.agent else { return Cycle::Idle };
        let Some(action) = actions.pop() else { return Cycle::Idle };
        if !agent.begin(clock, &action) {
            return Cycle::Effects { actions };
        }
        match fate {
            0..4 => agent.performed(clock, &action, Effect::NotSent),
            4..12 => {
                let flight = Flight { arrives_at: self.now + delay, action: action.clone() };
                vm.flights.push(flight);
                let until = clock + ACTION_TIMEOUT;
                return Cycle::Waiting { action, until, then: actions };
            }
            12..16 => {
                vm.worker.perform(clock, &action);
                agent.performed(clock, &action, Effect::Unknown);
            }
            _ => {
                let (effect, checkpoint) = vm.worker.perform(clock, &action);
                agent.performed(clock, &action, effect);
                if let (Action::Checkpoint(id), Some(text)) = (&action, checkpoint) {
                    agent.checkpointed(id, text.into());
                }
            }
        }
        self.check_overlap();
        Cycle::Effects { actions }
    }

    /// Moves reports and orders, some late, lost or twice.
    fn exchange(&mut self, index: usize) {
        let (up_lost, down_lost, twice) = (self.chance(50), self.chance(50), self.chance(100));
        let late = self.chance(60);
        let delay = Duration::from_millis(self.rng.u64(..400));
        let long = Duration::from_millis(self.rng.u64(1_000..8_000));
        let vm = &mut self.vms[index];
        let clock = vm.clock(self.now);
        let Some(agent) = &mut vm.agent else { return };
        if self.now >= vm.report_due {
            vm.report_due = self.now + REPORT_TIMEOUT;
            if let Some(report) = agent.report(clock, 0) {
                vm.sequence = report.sequence;
                if !up_lost {
                    vm.uplink.push((self.now + delay, self.now, self.owner.epoch, report));
                }
            }
        }
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut vm.uplink).into_iter().partition(|(at, ..)| *at <= self.now);
        vm.uplink = later;
        for (_, sent_at, epoch, report) in due {
            // A report reaches only the process that it was sent to.
            if epoch != self.owner.epoch {
                continue;
            }
            let reply = self.owner.handle(self.now, index, sent_at, &report, &mut self.rng);
            let Some(orders) = reply.filter(|_| !down_lost) else { continue };
            let arrives_at = self.now + if late { long } else { delay };
            if twice {
                vm.downlink.push((arrives_at + long, report.incarnation, orders.clone()));
            }
            vm.downlink.push((arrives_at, report.incarnation, orders));
        }
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut vm.downlink).into_iter().partition(|(at, ..)| *at <= self.now);
        vm.downlink = later;
        for (_, incarnation, orders) in due {
            if incarnation == vm.incarnation {
                agent.obey(clock, orders);
                vm.report_due = self.now;
            }
        }
        agent.take_events();
    }

    /// An attempt starts only when no other attempt of its task runs anywhere.
    fn check_overlap(&mut self) {
        let mut running = BTreeMap::new();
        for vm in &mut self.vms {
            let clock = vm.clock(self.now);
            vm.worker.advance(clock);
            for task in vm.worker.running() {
                let id = &task.info.attempt;
                let other = running.insert(id.task, id.clone());
                assert_eq!(other, None, "a task runs twice, also as {id:?}");
            }
        }
    }

    fn check(&mut self) {
        self.check_overlap();
        for vm in &self.vms {
            let needs = vm.worker.running().map(|task| task.info.need);
            let sum = needs.fold(Resources::default(), |sum, need| sum.plus(&need));
            assert!(sum.fits_in(&CAPACITY.minus(&SERVICE)), "assigned over capacity: {sum:?}");
            for task in vm.worker.running() {
                let id = &task.info.attempt;
                let until = self.owner.granted_until.get(id).copied().unwrap_or_default();
                let margin = LEASE / 100 + STEP;
                assert!(self.now <= until + margin, "{id:?} runs past its lease");
            }
            for (id, _) in &vm.worker.started {
                assert!(!self.forbidden.contains(id), "an old owner started {id:?}");
                assert!(id.token.epoch > 0, "an old token started: {id:?}");
            }
            if let Some(agent) = &vm.agent {
                self.check_ledger(vm, agent);
            }
        }
    }

    /// All that runs is reserved, once the agent knows it.
    fn check_ledger(&self, vm: &Vm, agent: &Tasks) {
        if agent.is_adopted() {
            for task in vm.worker.running() {
                assert!(agent.ledger().holds(&task.info.attempt), "runs without a reservation");
            }
        }
    }
}

fn run(seed: u64) -> u64 {
    let mut world = World::new(seed);
    for _ in 0..FAULTY_STEPS {
        world.step();
    }
    world.faulty = false;
    for _ in 0..CALM_STEPS {
        if world.owner.is_done() {
            break;
        }
        world.step();
    }
    assert!(world.owner.is_done(), "tasks do not complete: {:?}", world.owner.tasks);
    world.owner.evictions
}

/// Guards against a task that runs twice or past its lease, orders of an old owner that are
/// obeyed, a VM that is assigned too much, and tasks that are lost: with agents that are paused
/// and killed, workers that restart, requests and orders that are late, lost or duplicated,
/// changing owners, wrong declarations, and clocks of different rates.
#[test]
fn tasks_run_once_and_complete() {
    let evictions = support::run(SCHEDULES, run);
    let enough = support::only_seed().is_some() || evictions > support::count(SCHEDULES);
    assert!(enough, "the schedules hardly evict: {evictions}");
}
