//! Simulation of two VMs and a cell owner with random faults in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;
use peridotfold_core::message::report::{AttemptId, Orders, Report, Token};

use crate::machine::{FaultRates, Machine};
use crate::model_owner::{ModelOwner, LEASE};
use crate::support;

/// Random schedules, one per seed.
const SCHEDULES: u64 = 10_000;
/// Virtual time of one step.
const STEP: Duration = Duration::from_millis(100);
/// Steps with faults at the start of a schedule.
const FAULTY_STEPS: u32 = 350;
/// Most steps without faults until all tasks have to be complete. Each of the 6 tasks runs for up to
/// 12 s, or twice that while throttled to half speed, and may have to wait for another one.
const CALM_STEPS: u32 = 3_000;
const VMS: usize = 2;
const TASKS: usize = 6;
/// Time after which an agent sends the next report if no reply has arrived.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Probabilities of faults between agent and worker, in percent.
const ODDS: FaultRates =
    FaultRates { skipped_cycle: 5, delayed_list: 20, not_sent: 4, late: 8, lost_reply: 4 };

/// Messages in transit between an agent and the owner.
#[derive(Default)]
struct Link {
    /// Time at which the agent sends its next report.
    report_due: Duration,
    /// Reports with arrival time, sending time and the epoch of the owner that they are sent to.
    uplink: Vec<(Duration, Duration, u64, Report)>,
    /// Orders with arrival time and the incarnation of the agent that they are sent to.
    downlink: Vec<(Duration, u64, Orders)>,
}

/// State of the simulation.
struct World {
    rng: Rng,
    now: Duration,
    faulty: bool,
    next_incarnation: u64,
    vms: Vec<Machine>,
    links: Vec<Link>,
    owner: ModelOwner,
    /// Attempts in starts of a replaced owner, which no agent may execute.
    stale_attempts: Vec<AttemptId>,
}

impl World {
    fn new(seed: u64) -> World {
        let mut rng = Rng::with_seed(seed);
        World {
            now: Duration::ZERO,
            faulty: true,
            next_incarnation: 1,
            vms: (0..VMS).map(|index| Machine::new(&mut rng, index, 0.007)).collect(),
            links: (0..VMS).map(|_| Link::default()).collect(),
            owner: ModelOwner::new(&mut rng, TASKS),
            stale_attempts: Vec::new(),
            rng,
        }
    }

    /// Returns true with the given probability while faults are enabled.
    fn chance(&mut self, per_mille: u32) -> bool {
        self.faulty && self.rng.u32(..1_000) < per_mille
    }

    /// Like [`World::chance`], and records the fault as a step of the schedule under its name.
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
            self.vms[index].deliver_delayed_actions(self.now);
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
            self.vms[index].agent = None;
            self.vms[index].frozen_until = until;
        }
        if self.fault(&format!("worker {index} restarted"), 1) {
            let vm = &mut self.vms[index];
            let clock = vm.clock(self.now);
            vm.worker.restart(clock);
        }
        if self.fault(&format!("old orders to agent {index}"), 10) {
            self.send_stale_orders(index);
        }
    }

    /// Lets a replaced owner answer the last report of an agent that already knows the new epoch.
    fn send_stale_orders(&mut self, index: usize) {
        let Some(agent) = &self.vms[index].agent else { return };
        if agent.tasks.epoch() != self.owner.epoch || self.owner.epoch == 1 {
            return;
        }
        let token =
            Token { epoch: self.owner.epoch - 1, number: 1_000_000 + self.rng.u64(..1_000) };
        let id = AttemptId { job: "job".into(), task: self.rng.u32(..TASKS as u32), token };
        let orders = Orders {
            epoch: self.owner.epoch - 1,
            sequence: agent.sequence,
            lease: LEASE * 10,
            starts: vec![self.owner.start_order(id.clone())],
            ..Orders::default()
        };
        self.stale_attempts.push(id);
        self.links[index].downlink.push((self.now, agent.incarnation, orders));
    }

    fn run_agent(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        if vm.agent.is_none() {
            vm.boot(self.next_incarnation);
            self.links[index].report_due = self.now;
            self.next_incarnation += 1;
        }
        let odds = if self.faulty { ODDS } else { FaultRates::default() };
        vm.step_agent(self.now, &odds, &mut self.rng);
        self.check_overlap();
    }

    /// Delivers reports and orders, some of them late, lost or duplicated.
    fn exchange(&mut self, index: usize) {
        let (up_lost, down_lost, duplicated) = (self.chance(50), self.chance(50), self.chance(100));
        let late = self.chance(60);
        let delay = Duration::from_millis(self.rng.u64(..400));
        let long_delay = Duration::from_millis(self.rng.u64(1_000..8_000));
        let (vm, link) = (&mut self.vms[index], &mut self.links[index]);
        let clock = vm.clock(self.now);
        let Some(agent) = &mut vm.agent else { return };
        if self.now >= link.report_due {
            link.report_due = self.now + REPORT_TIMEOUT;
            if let Some(report) = agent.tasks.report(clock, 0) {
                agent.sequence = report.sequence;
                if !up_lost {
                    link.uplink.push((self.now + delay, self.now, self.owner.epoch, report));
                }
            }
        }
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut link.uplink).into_iter().partition(|(at, ..)| *at <= self.now);
        link.uplink = later;
        for (_, sent_at, epoch, report) in due {
            // A report is lost if the owner that it was sent to has been replaced.
            if epoch != self.owner.epoch {
                continue;
            }
            let reply = self.owner.handle(self.now, index, sent_at, &report, &mut self.rng);
            let Some(orders) = reply.filter(|_| !down_lost) else { continue };
            let arrives_at = self.now + if late { long_delay } else { delay };
            if duplicated {
                link.downlink.push((arrives_at + long_delay, report.incarnation, orders.clone()));
            }
            link.downlink.push((arrives_at, report.incarnation, orders));
        }
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut link.downlink).into_iter().partition(|(at, ..)| *at <= self.now);
        link.downlink = later;
        for (_, incarnation, orders) in due {
            if incarnation == agent.incarnation {
                agent.tasks.apply_orders(clock, orders);
                link.report_due = self.now;
            }
        }
        agent.tasks.take_events();
    }

    /// Checks that no two attempts of a task run at the same time.
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

    /// Checks the invariants: no overlap, no overcommitted VM, no attempt past its lease or started by
    /// stale orders.
    fn check(&mut self) {
        self.check_overlap();
        for vm in &self.vms {
            vm.check_capacity();
            for task in vm.worker.running() {
                let id = &task.info.attempt;
                let until = self.owner.granted_until.get(id).copied().unwrap_or_default();
                let margin = LEASE / 100 + STEP;
                assert!(self.now <= until + margin, "{id:?} runs past its lease");
            }
            for (id, _) in &vm.worker.started {
                assert!(!self.stale_attempts.contains(id), "an old owner started {id:?}");
                assert!(id.token.epoch > 0, "an old token started: {id:?}");
            }
        }
    }
}

/// Runs one schedule and returns its number of stopped and evicted attempts.
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

/// Guards against tasks that run twice, run past their lease or are lost, orders of a replaced owner
/// that take effect, and overcommitted VMs. The faults are paused and killed agents, worker restarts,
/// late, lost and duplicated messages, owner changes, wrong declared needs and clocks of different
/// rates.
#[test]
fn tasks_run_once_and_complete() {
    let evictions = support::run(SCHEDULES, run);
    let enough = support::only_seed().is_some() || evictions > support::count(SCHEDULES);
    assert!(enough, "the schedules hardly evict: {evictions}");
}
