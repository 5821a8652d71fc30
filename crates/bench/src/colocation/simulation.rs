//! One run of a policy: a cell's owner and the agents of a deployment on virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;
use peridotfold_core::cell::{Cell, CellSettings, CellState, Limits};
use peridotfold_core::colocation::{calendar, ClassLoad, Sample};
use peridotfold_core::config::Document;
use peridotfold_core::tasks::{Identity, Tasks};

use super::ideal::{self, Truth};
use super::policy::{Control, Policy, LAG};
use super::scenario::{wall, Scenario, CLOSING, END, VMS};
use super::worker::Worker;

/// Period of lists, reports and commits; a cell commits at most twice a second.
const STEP: Duration = Duration::from_millis(500);
/// Requests of an instance whose latency is recorded, each second.
const REQUESTS: usize = 10;
/// Spread of the latency of single requests (standard deviation of its logarithm).
const SPREAD: f64 = 0.3;
/// Noise of the measured latency (largest deviation).
const NOISE: f64 = 0.03;

/// What one run gave.
#[derive(Debug, Default)]
pub struct Outcome {
    pub p99: f64,
    pub work: f64,
    /// Work not done because of reduced speeds, and thrown away by evictions, in core seconds.
    pub slowed: f64,
    pub lost: f64,
    pub evictions: f64,
    /// Evictions that the control of the service's latency asked for.
    pub control_evictions: f64,
    pub reversals: f64,
    pub urgent_p99: f64,
}

struct Vm {
    tasks: Tasks,
    worker: Worker,
    control: Control,
    has_service: bool,
    has_batch: bool,
    measured: f64,
    speeds: BTreeMap<String, u8>,
    rising: BTreeMap<String, bool>,
    reversals: u32,
    control_evictions: u32,
}

impl Vm {
    fn new(index: usize, scenario: &Scenario, policy: Policy) -> Vm {
        let (has_service, has_batch) = policy.uses(index);
        let identity = Identity {
            agent: format!("vm-{index}"),
            incarnation: 1,
            cell: "cell".to_owned(),
            rack: format!("rack-{}", index / 3),
        };
        let worker = Worker::new(scenario.deployment.vm);
        let mut tasks = Tasks::new(identity, LAG);
        tasks.claimed(worker.claim());
        Vm {
            tasks,
            worker,
            control: Control::new(policy),
            has_service,
            has_batch,
            measured: scenario.alone(scenario.load(Duration::ZERO, policy)),
            speeds: BTreeMap::new(),
            rising: BTreeMap::new(),
            reversals: 0,
            control_evictions: 0,
        }
    }

    fn note_speeds(&mut self, speeds: &BTreeMap<String, u8>) {
        let classes: Vec<String> = self.speeds.keys().chain(speeds.keys()).cloned().collect();
        for class in classes {
            let speed = |speeds: &BTreeMap<String, u8>| speeds.get(&class).copied().unwrap_or(100);
            let (before, after) = (speed(&self.speeds), speed(speeds));
            if before != after {
                let rising = after > before;
                let last = self.rising.insert(class, rising);
                self.reversals += u32::from(last.is_some_and(|last| last != rising));
            }
        }
        self.speeds = speeds.clone();
    }

    fn control(&mut self, now: Duration, document: &Document, scenario: &Scenario, load: f64) {
        let alone = scenario.alone(load);
        let mut limits = calendar::limits(document, "service", wall(now));
        if !self.has_service {
            limits.service = Default::default();
        }
        self.tasks.set_limits(limits);
        if !self.has_service {
            return;
        }
        let mut classes: BTreeMap<String, ClassLoad> = BTreeMap::new();
        for (_, class, usage) in self.tasks.running() {
            let urgent = document.classes.get(class).is_some_and(|class| class.urgent);
            let fresh = ClassLoad { tasks: 0, cpu_milli: 0, urgent };
            let load = classes.entry(class.to_owned()).or_insert(fresh);
            load.tasks += 1;
            load.cpu_milli += usage.cpu_milli;
        }
        let sample = Sample { latency: Duration::from_secs_f64(self.measured), classes };
        let mut orders = self.control.observe(now, &sample, alone);
        if matches!(self.control, Control::Ideal) {
            let truth = Truth { full: self.worker.full_cores(), harm: scenario.harm(load) };
            orders.speeds = ideal::speeds(&truth, |cores| scenario.latency(load, cores) / alone);
        }
        if let Some(class) = &orders.evict {
            self.control_evictions += u32::from(self.tasks.evict_newest(class));
        }
        self.note_speeds(&orders.speeds);
        self.tasks.set_colocation(orders.speeds, orders.blocked_classes);
    }

    fn step(&mut self, now: Duration, cell: &mut Cell) {
        self.tasks.apply_list(now, now, &self.worker.list(now));
        for action in self.tasks.actions(now) {
            if self.tasks.begin(now, &action) {
                let (effect, checkpoint) = self.worker.perform(&action);
                self.tasks.record_result(now, &action, effect);
                if let (peridotfold_core::tasks::Action::Checkpoint(id), Some(taken)) =
                    (&action, checkpoint)
                {
                    self.tasks.record_checkpoint(id, taken.into());
                }
            }
        }
        self.tasks.take_events();
        let Some(report) = self.tasks.report(now, self.control.pressure_percent()) else { return };
        cell.report(now, &report);
        let orders = cell.answer(now, &report.agent, report.incarnation, report.sequence);
        if let Some(orders) = orders {
            self.tasks.apply_orders(now, orders);
        }
    }
}

/// Runs a policy on a scenario. The requests of a seed are the same for each policy.
pub fn run(scenario: &Scenario, policy: Policy, seed: u64) -> Outcome {
    let document = scenario.document(policy);
    let settings = CellSettings::default();
    let owner_rng = Rng::with_seed(seed);
    let mut cell = Cell::take_over(CellState::default(), 1, settings, Duration::ZERO, owner_rng);
    cell.set_limits(Limits::from(&document));
    let mut vms: Vec<Vm> = (0..VMS).map(|index| Vm::new(index, scenario, policy)).collect();
    let mut rng = Rng::with_seed(seed ^ 0x5eed);
    let mut latencies = Vec::new();
    let mut urgent_since: BTreeMap<String, Duration> = BTreeMap::new();
    let mut urgent_waits = Vec::new();
    let mut jobs = scenario.jobs.iter().filter(|_| policy != Policy::NoBatch).peekable();
    let steps = (END.as_millis() / STEP.as_millis()) as u32;
    for step in 1..=steps {
        let now = STEP * step;
        while let Some((at, spec)) = jobs.next_if(|(at, _)| *at <= now) {
            if document.classes[&spec.class].urgent {
                urgent_since.insert(spec.id.clone(), *at);
            }
            cell.submit(spec.clone(), u64::from(step));
        }
        let load = scenario.load(now, policy);
        for vm in &mut vms {
            let service_cores = if vm.has_service { scenario.service_cores(load) } else { 0.0 };
            let room = scenario.deployment.vm.cpu_milli as f64 / 1_000.0 - service_cores;
            vm.worker.advance(now, room);
            if step % 2 == 0 {
                let latency = scenario.latency(load, &vm.worker.cores());
                let draws: [f64; REQUESTS] = std::array::from_fn(|_| normal(&mut rng));
                let noise = 1.0 + (rng.f64() * 2.0 - 1.0) * NOISE;
                let weight = 1.0 - (-1.0 / LAG.as_secs_f64()).exp();
                vm.measured += (latency - vm.measured) * weight;
                if vm.has_service && CLOSING.0 <= now && now < CLOSING.1 {
                    latencies.extend(draws.map(|draw| latency * (draw * SPREAD).exp()));
                }
                let smooth = std::mem::replace(&mut vm.measured, 0.0);
                vm.measured = smooth * noise;
                vm.control(now, &document, scenario, load);
                vm.measured = smooth;
            }
            if vm.has_batch {
                vm.step(now, &mut cell);
                for attempt in std::mem::take(&mut vm.worker.started) {
                    let since = urgent_since.remove(&attempt.job);
                    urgent_waits.extend(since.map(|since| (now - since).as_secs_f64()));
                }
            }
        }
        cell.record_store_contact(now);
        cell.poll(now);
        while !cell.take_batch().is_empty() {
            cell.confirm_commit();
        }
        cell.take_effects();
    }
    urgent_waits.extend(urgent_since.values().map(|since| (END - *since).as_secs_f64()));
    let hours = VMS as f64 * END.as_secs_f64() / 3_600.0;
    let sum = |part: fn(&Vm) -> f64| vms.iter().map(part).sum::<f64>();
    Outcome {
        p99: percentile(latencies, 0.99),
        work: sum(|vm| vm.worker.done),
        slowed: sum(|vm| vm.worker.slowed),
        lost: sum(|vm| vm.worker.lost),
        evictions: sum(|vm| f64::from(vm.worker.evictions)),
        control_evictions: sum(|vm| f64::from(vm.control_evictions)),
        reversals: sum(|vm| f64::from(vm.reversals)) / hours,
        urgent_p99: percentile(urgent_waits, 0.99),
    }
}

/// Draws from a normal distribution.
fn normal(rng: &mut Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.f64()).cos()
}

fn percentile(mut values: Vec<f64>, part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let rank = (values.len() as f64 * part).ceil() as usize;
    values.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}
