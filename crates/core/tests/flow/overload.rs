//! Tests of the owner as a server with limited CPU: every message costs time, and messages that
//! arrive meanwhile wait.
//!
//! Pattern: hundreds of workers, many wide jobs of short tasks, and best-effort tasks whose agents
//! report their load each second.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use peridotfold_core::flow::message::{
    AgentMessage, End, EndKind, OwnerMessage, Pressure, Start, WorkerInfo,
};
use peridotfold_core::flow::model::{JobNumber, JobSpec, Step};
use peridotfold_core::flow::owner::{Effect, Owner, OwnerSettings, Session, Slot};
use peridotfold_core::resources::Resources;
use peridotfold_core::time::Time;

use crate::support::{job, ms, settings, step};

/// CPU of a worker on which the offered load leaves most room unused, in thousandths of a core.
const ROOMY_CPU: u64 = 64_000;
/// CPU of a worker on which the offered load uses nearly all room, in thousandths of a core.
const TIGHT_CPU: u64 = 14_000;
/// Time that the owner takes to receive and answer one message.
const MESSAGE_COST: Duration = Duration::from_micros(40);
/// Time that the owner takes to examine one node for a step.
const EXAMINE_COST: Duration = Duration::from_nanos(500);
/// Interval of each agent's pings.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// What arrives at the owner.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Arrival {
    Ping(usize),
    Job(JobNumber),
    /// End of a task, by the number of its start.
    End(usize),
    /// The owner's own timer.
    Timer,
}

/// A worker's session with the owner.
#[derive(Debug)]
struct Agent {
    slot: Slot,
    session: Session,
    id: String,
    next_end: u64,
}

/// An owner that processes one arrival after another, on one core.
#[derive(Debug)]
struct Server {
    owner: Owner,
    agents: Vec<Agent>,
    queue: BinaryHeap<Reverse<(Time, u64, Arrival)>>,
    /// Number of arrivals so far; keeps their order.
    arrivals: u64,
    /// Until when the owner is busy.
    busy_until: Time,
    /// Busy time since the last call of [`Server::take_load`].
    busy: Duration,
    starts: Vec<(usize, Start)>,
    submitted: BTreeMap<JobNumber, Time>,
    /// Time from each job's arrival to its first start.
    waits: BTreeMap<JobNumber, (Time, Duration)>,
    /// Longest time from the arrival of a ping to its answer since the last call of
    /// [`Server::take_load`].
    worst_pong: Duration,
    random: fastrand::Rng,
}

/// Returns the settings of an owner as deployed.
fn deployed() -> OwnerSettings {
    OwnerSettings { round_interval: ms(20), ..settings(1) }
}

fn best_effort(count: u32, cpu: u64, estimate_ms: u64, image: u32) -> Step {
    Step { best_effort: true, image: format!("image-{image}"), ..step(count, cpu, estimate_ms) }
}

impl Server {
    fn new(workers: usize, cpu: u64) -> Self {
        let mut server = Server {
            owner: Owner::new(deployed(), Time::ZERO),
            agents: Vec::new(),
            queue: BinaryHeap::new(),
            arrivals: 0,
            busy_until: Time::ZERO,
            busy: Duration::ZERO,
            starts: Vec::new(),
            submitted: BTreeMap::new(),
            waits: BTreeMap::new(),
            worst_pong: Duration::ZERO,
            random: fastrand::Rng::with_seed(11),
        };
        server.owner.set_valid_until(Time::MAX);
        for index in 0..workers {
            let (slot, session, _) = server.owner.connect(Time::ZERO, &format!("node-{index}"));
            let info = WorkerInfo {
                id: format!("life-{index}"),
                service: "svc".to_owned(),
                zone: "zone".to_owned(),
                capacity: Resources::new(cpu, 256_000, 0),
                labels: vec!["a".to_owned(), format!("r{}", index / 20)],
                draining: false,
                remaining: None,
            };
            let attach =
                AgentMessage::Attach { worker: Some(info.clone()), running: vec![], ends: vec![] };
            server.owner.receive(Time::ZERO, slot, session, attach);
            server.agents.push(Agent { slot, session, id: info.id, next_end: 1 });
            let first = PING_INTERVAL.mul_f64(index as f64 / workers as f64);
            server.arrive(first, Arrival::Ping(index));
        }
        server.arrive(Time::ZERO, Arrival::Timer);
        server
    }

    fn arrive(&mut self, at: Time, arrival: Arrival) {
        self.arrivals += 1;
        self.queue.push(Reverse((at, self.arrivals, arrival)));
    }

    /// Processes all arrivals up to `until`. `slowdown` is the factor by which each takes longer
    /// than on an otherwise idle core.
    fn run(&mut self, until: Time, slowdown: f64, jobs: &dyn Fn(JobNumber) -> JobSpec) {
        while let Some(Reverse((at, _, arrival))) = self.queue.pop() {
            if at > until {
                self.arrive(at, arrival);
                return;
            }
            let now = self.busy_until.max(at);
            let examined = self.owner.examined_nodes();
            match arrival {
                Arrival::Ping(index) => {
                    self.ping(now, index);
                    self.arrive(at + PING_INTERVAL, Arrival::Ping(index));
                }
                Arrival::Job(number) => {
                    self.submitted.insert(number, at);
                    self.owner.submit(now, number, jobs(number));
                }
                Arrival::End(start) => self.end(now, start),
                Arrival::Timer => {}
            }
            let has_placed = self.owner.poll(now, 0);
            let count = self.owner.examined_nodes() - examined;
            let took = (MESSAGE_COST + EXAMINE_COST * count as u32).mul_f64(slowdown);
            self.busy_until = now + took;
            self.busy += took;
            if let Arrival::Ping(_) = arrival {
                self.worst_pong = self.worst_pong.max(self.busy_until - at);
            }
            if has_placed {
                self.owner.round_took(self.busy_until, took);
            }
            if self.owner.take_commit(now).is_some() {
                self.owner.committed();
            }
            self.carry_out();
            if arrival == Arrival::Timer {
                let delay = self.owner.next_poll(self.busy_until).max(ms(1));
                self.arrive(self.busy_until + delay, Arrival::Timer);
            }
        }
    }

    fn ping(&mut self, now: Time, index: usize) {
        let pressure = Pressure { level: self.random.u32(60..=100), tail_percent: 30 };
        let report =
            AgentMessage::Ping { sent: now, pressure, samples: Vec::new(), baselines: Vec::new() };
        let Agent { slot, session, .. } = self.agents[index];
        self.owner.receive(now, slot, session, report);
    }

    fn end(&mut self, now: Time, start: usize) {
        let (index, start) = self.starts[start].clone();
        let agent = &mut self.agents[index];
        let end = End {
            number: agent.next_end,
            task: start.task,
            run: start.run,
            kind: EndKind::Done,
            checkpoint: String::new(),
        };
        agent.next_end += 1;
        let report = AgentMessage::Ends { worker: agent.id.clone(), ends: vec![end] };
        self.owner.receive(now, agent.slot, agent.session, report);
    }

    /// Runs the tasks that the owner has started; their ends arrive later.
    fn carry_out(&mut self) {
        for effect in self.owner.take_effects() {
            let Effect::Send { session, message: OwnerMessage::Start(start), .. } = effect else {
                continue;
            };
            let Some(index) = self.agents.iter().position(|agent| agent.session == session) else {
                continue;
            };
            let number = start.task.job;
            let arrived = self.submitted[&number];
            self.waits.entry(number).or_insert((arrived, self.busy_until - arrived));
            let took = ms(self.random.u64(600..1_800));
            self.starts.push((index, *start));
            self.arrive(self.busy_until + took, Arrival::End(self.starts.len() - 1));
        }
    }

    /// Returns the share of the time since the last call for which the owner was busy, `over` being
    /// that time, and the longest wait for an answer to a ping.
    fn take_load(&mut self, over: Duration) -> (f64, Duration) {
        let busy = std::mem::take(&mut self.busy).as_secs_f64();
        (busy / over.as_secs_f64(), std::mem::take(&mut self.worst_pong))
    }

    /// Returns the wait of which 95 of 100 jobs that arrived in a period stay below; jobs that have
    /// not started count as waiting until now.
    fn wait_p95(&self, from: Time, to: Time) -> Duration {
        let is_inside = |at: &Time| *at >= from && *at < to;
        let jobs = self.submitted.iter().filter(|(_, at)| is_inside(at));
        let wait = |(number, at): (&JobNumber, &Time)| match self.waits.get(number) {
            Some((_, wait)) => *wait,
            None => self.busy_until.saturating_sub(*at),
        };
        let mut waits: Vec<Duration> = jobs.map(wait).collect();
        waits.sort_unstable();
        waits[waits.len() * 95 / 100]
    }
}

/// Returns narrow jobs of short tasks, and each fourth time a wide job of large ones.
fn mixed_job(number: JobNumber) -> JobSpec {
    let image = (number % 18) as u32;
    let cpu = 1_500 + (number * 7_919) % 2_600;
    match number % 4 {
        0 => job(3, vec![best_effort(40, 2 * cpu, 1_700, image)]),
        _ => job(3, vec![best_effort(13, cpu, 800, image)]),
    }
}

/// Guards against an overload of the owner that outlives its cause: the more the owner lagged, the
/// more often it searched all nodes for all waiting tasks, so it never caught up.
#[test]
fn the_owner_recovers_from_a_short_overload() {
    let mut server = Server::new(240, TIGHT_CPU);
    for number in 0..750 {
        server.arrive(ms(1_000 + 40 * number), Arrival::Job(number));
    }
    server.run(ms(11_000), 1.0, &mixed_job);
    server.take_load(ms(11_000));
    server.run(ms(13_000), 1.0, &mixed_job);
    let (load, _) = server.take_load(ms(2_000));
    let before = server.wait_p95(ms(9_000), ms(13_000));
    assert!(load < 1.0, "the owner is overloaded from the start: {load:.2}");
    server.run(ms(18_000), 1.5 / load, &mixed_job);
    server.run(ms(23_000), 1.0, &mixed_job);
    server.take_load(ms(10_000));
    server.run(ms(31_000), 1.0, &mixed_job);
    let after = server.wait_p95(ms(23_000), ms(30_000));
    let (_, worst_pong) = server.take_load(ms(8_000));
    eprintln!("load {load:.2}, wait before {before:?}, after {after:?}, worst pong {worst_pong:?}");
    assert!(after <= before.mul_f64(1.2) + ms(20), "wait before {before:?}, after {after:?}");
    assert!(worst_pong < ms(500), "a renewal waited {worst_pong:?}");
}

/// Guards against a cost of each start that grows with the fleet.
#[test]
fn the_cost_of_a_start_does_not_grow_with_the_fleet() {
    let cost = |workers: usize| {
        let mut server = Server::new(workers, ROOMY_CPU);
        let interval = 40 * 240 / workers as u64;
        for number in 0..500 {
            server.arrive(ms(1_000 + interval * number), Arrival::Job(number));
        }
        server.run(ms(1_000 + interval * 500), 1.0, &mixed_job);
        let (load, _) = server.take_load(ms(interval * 500));
        let busy = load * (interval * 500) as f64 / 1_000.0;
        let starts = server.starts.len();
        eprintln!("{workers} workers: {starts} starts, {:.1} us each", busy / starts as f64 * 1e6);
        busy / starts as f64
    };
    let (small, large) = (cost(11), cost(240));
    assert!(large <= 1.3 * small, "{:.1} us against {:.1} us", large * 1e6, small * 1e6);
}
