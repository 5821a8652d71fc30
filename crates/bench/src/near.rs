//! Rules by which tasks wait for a near node, on a load with hot racks and on one without.
//!
//! The owner's core runs as it is; workers are fakes that carry out all orders.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use peridotfold_core::flow::message::{
    AgentMessage, End, EndKind, OwnerMessage, Pressure, Start, WorkerInfo,
};
use peridotfold_core::flow::model::{JobNumber, JobSpec, Queue, Step, TaskId};
use peridotfold_core::flow::near::NearRule;
use peridotfold_core::flow::owner::{Effect, Owner, OwnerSettings, Session, Slot};
use peridotfold_core::resources::Resources;
use peridotfold_core::time::Time;

const SEEDS: u64 = 8;
const RACKS: usize = 10;
const WORKERS_PER_RACK: usize = 4;
/// CPU of a worker, in thousandths of a core.
const WORKER_CPU: u64 = 8_000;
/// Time in which jobs arrive.
const ARRIVALS: Duration = Duration::from_secs(120);
/// Work that arrives, in percent of what all workers can do near its data.
const LOAD_PERCENT: u64 = 55;
/// Number of hot racks, and percentage of the jobs that want one of them.
const HOT: (usize, u32) = (2, 45);
const TICK: Duration = Duration::from_millis(20);
const PING_INTERVAL: Duration = Duration::from_secs(1);
const RULES: [(&str, NearRule); 4] = [
    ("never wait", NearRule::Never),
    ("1 s", NearRule::Fixed(Duration::from_secs(1))),
    ("8 offers missed", NearRule::Offers(8)),
    ("cost", NearRule::Cost),
];

/// A job of one step, and how long its tasks really take near their data.
struct Arrival {
    at: Time,
    spec: JobSpec,
    took: Duration,
}

struct Worker {
    slot: Slot,
    session: Session,
    id: String,
    rack: String,
    last_end: u64,
    /// End of each run in progress.
    runs: BTreeMap<TaskId, (Time, Start)>,
}

/// What a run of the simulation shows.
#[derive(Default)]
struct Outcome {
    /// Time of each job from arrival to completion, in multiples of its run time near its data.
    stretches: Vec<f64>,
    in_time: usize,
    runs: usize,
    near: usize,
    /// CPU time used, relative to that of the same tasks near their data.
    used: f64,
    waits: usize,
}

/// Runs the measurement and prints its table.
///
/// # Errors
///
/// Fails when jobs are left at the end.
pub fn run() -> eyre::Result<()> {
    println!(
        "seeds={SEEDS} racks={RACKS} workers={} load={LOAD_PERCENT}%",
        RACKS * WORKERS_PER_RACK
    );
    println!("| load | slowdown | rule | mean | p95 | in time | near | CPU used | waits |");
    println!("|---|---|---|---|---|---|---|---|---|");
    for (load, is_hot) in [("hot racks", true), ("even", false)] {
        for slowdown in [1.5, 3.0] {
            for (name, rule) in RULES {
                let mut all = Outcome::default();
                for seed in 0..SEEDS {
                    let one = simulate(seed, is_hot, slowdown, rule)?;
                    all.stretches.extend(one.stretches);
                    all.in_time += one.in_time;
                    all.runs += one.runs;
                    all.near += one.near;
                    all.used += one.used / SEEDS as f64;
                    all.waits += one.waits;
                }
                print_row(&format!("| {load} | {slowdown} | {name}"), all);
            }
        }
    }
    Ok(())
}

fn print_row(head: &str, mut all: Outcome) {
    all.stretches.sort_by(f64::total_cmp);
    let count = all.stretches.len();
    let mean = all.stretches.iter().sum::<f64>() / count.max(1) as f64;
    let p95 = all.stretches.get(count * 95 / 100).copied().unwrap_or_default();
    let percent = |part: usize, whole: usize| part as f64 * 100.0 / whole.max(1) as f64;
    println!(
        "{head} | {mean:.2} | {p95:.2} | {:.1} % | {:.1} % | {:.2} | {} |",
        percent(all.in_time, count),
        percent(all.near, all.runs),
        all.used,
        all.waits,
    );
}

/// Returns the jobs of a run: estimates are off by up to a factor of two.
fn arrivals(seed: u64, is_hot: bool) -> Vec<Arrival> {
    let mut random = fastrand::Rng::with_seed(seed);
    let capacity = (RACKS * WORKERS_PER_RACK) as u64 * WORKER_CPU * ARRIVALS.as_millis() as u64;
    let mut left = capacity * LOAD_PERCENT / 100;
    let mut jobs = Vec::new();
    while left > 0 {
        let rack = match is_hot && random.u32(0..100) < HOT.1 {
            true => random.usize(0..HOT.0),
            false => random.usize(0..RACKS),
        };
        let estimate_ms = (500.0 * 16f64.powf(random.f64())) as u64;
        let factor = 2f64.powf(random.f64() * 2.0 - 1.0);
        let took = Duration::from_millis(estimate_ms).mul_f64(factor);
        let step = Step {
            count: random.u32(1..9),
            need: Resources::new(random.u64(1..5) * 1_000, 100, 0),
            estimate_ms,
            preferred_rack: Some(format!("r{rack}")),
            ..Step::default()
        };
        left = left
            .saturating_sub(u64::from(step.count) * step.need.cpu_milli * took.as_millis() as u64);
        let queue = Queue {
            name: "queue".to_owned(),
            service: "svc".to_owned(),
            priority: 0,
            attempts: 3,
            stretch: 2.0,
            slack_ms: 1_000,
            advice: None,
        };
        let spec = JobSpec {
            queue,
            command: String::new(),
            steps: vec![step],
            timetable: None,
            submitted: 0,
        };
        jobs.push(Arrival { at: ARRIVALS.mul_f64(random.f64()), spec, took });
    }
    jobs.sort_by_key(|job| job.at);
    jobs
}

fn connect(owner: &mut Owner, index: usize) -> Worker {
    let rack = format!("r{}", index / WORKERS_PER_RACK);
    let info = WorkerInfo {
        id: format!("worker-{index}"),
        service: "svc".to_owned(),
        zone: "zone".to_owned(),
        capacity: Resources::new(WORKER_CPU, 1_000_000, 0),
        labels: vec!["kind".to_owned(), rack.clone()],
        draining: false,
        remaining: None,
    };
    let (slot, session, _) = owner.connect(Time::ZERO, &format!("node-{index}"));
    let id = info.id.clone();
    let report = AgentMessage::Attach { worker: Some(info), running: Vec::new(), ends: Vec::new() };
    owner.receive(Time::ZERO, slot, session, report);
    Worker { slot, session, id, rack, last_end: 0, runs: BTreeMap::new() }
}

/// Runs all jobs of a seed under a rule.
fn simulate(seed: u64, is_hot: bool, slowdown: f64, rule: NearRule) -> eyre::Result<Outcome> {
    let settings = OwnerSettings {
        evacuation: None,
        epoch: 1,
        permission: Duration::from_secs(6),
        keep_ended: Duration::from_secs(10_000),
        remote_slowdown: slowdown,
        round_interval: TICK,
    };
    let mut owner = Owner::new(settings, Time::ZERO);
    owner.set_near_rule(rule);
    owner.set_valid_until(Time::MAX);
    let mut workers: Vec<Worker> =
        (0..RACKS * WORKERS_PER_RACK).map(|index| connect(&mut owner, index)).collect();
    let jobs = arrivals(seed, is_hot);
    let mut left: HashMap<JobNumber, u32> = HashMap::new();
    let mut outcome = Outcome::default();
    let (mut next, mut now, mut next_ping) = (0, Time::ZERO, Time::ZERO);
    let (mut used, mut least) = (0.0, 0.0);
    while next < jobs.len() || !left.is_empty() {
        now += TICK;
        eyre::ensure!(now < ARRIVALS * 10, "{} jobs are left", left.len());
        while let Some(job) = jobs.get(next).filter(|job| job.at <= now) {
            left.insert(next as JobNumber, job.spec.steps[0].count);
            owner.submit(now, next as JobNumber, job.spec.clone());
            next += 1;
        }
        for worker in &mut workers {
            for task in end_runs(&mut owner, worker, now) {
                let job = &jobs[task.job as usize];
                let Some(tasks) = left.get_mut(&task.job) else { continue };
                *tasks -= 1;
                if *tasks == 0 {
                    left.remove(&task.job);
                    let took = now - job.at;
                    let limit = job.spec.queue.stretch * job.spec.steps[0].estimate_ms as f64
                        + job.spec.queue.slack_ms as f64;
                    outcome.in_time += usize::from(took.as_millis() as f64 <= limit);
                    outcome.stretches.push(took.as_secs_f64() / job.took.as_secs_f64());
                }
            }
        }
        if now >= next_ping {
            next_ping = now + PING_INTERVAL;
            for worker in &workers {
                owner.receive(now, worker.slot, worker.session, ping(now));
            }
        }
        owner.poll(now, 0);
        if owner.take_commit(now).is_some() {
            owner.committed();
        }
        for effect in owner.take_effects() {
            let Effect::Send { slot, message: OwnerMessage::Start(start), .. } = effect else {
                continue;
            };
            let Some(worker) = workers.iter_mut().find(|worker| worker.slot == slot) else {
                continue;
            };
            let job = &jobs[start.task.job as usize];
            let is_near = job.spec.steps[0].preferred_rack.as_ref() == Some(&worker.rack);
            let took = if is_near { job.took } else { job.took.mul_f64(slowdown) };
            let cpu = job.spec.steps[0].need.cpu_milli as f64;
            used += cpu * took.as_secs_f64();
            least += cpu * job.took.as_secs_f64();
            outcome.runs += 1;
            outcome.near += usize::from(is_near);
            worker.runs.insert(start.task, (now + took, *start));
        }
        outcome.waits += owner.take_near_ends().len();
    }
    outcome.used = used / least;
    Ok(outcome)
}

fn ping(now: Time) -> AgentMessage {
    let (samples, baselines) = (Vec::new(), Vec::new());
    AgentMessage::Ping { sent: now, pressure: Pressure::default(), samples, baselines }
}

/// Ends the runs of a worker that are done, reports them, and returns their tasks.
fn end_runs(owner: &mut Owner, worker: &mut Worker, now: Time) -> Vec<TaskId> {
    let is_over = |(task, (end, _)): (&TaskId, &(Time, Start))| (*end <= now).then_some(*task);
    let over: Vec<TaskId> = worker.runs.iter().filter_map(is_over).collect();
    for task in &over {
        let Some((_, start)) = worker.runs.remove(task) else { continue };
        worker.last_end += 1;
        let (number, run) = (worker.last_end, start.run);
        let end = End { number, task: *task, run, kind: EndKind::Done, checkpoint: String::new() };
        let report = AgentMessage::Ends { worker: worker.id.clone(), ends: vec![end] };
        owner.receive(now, worker.slot, worker.session, report);
    }
    over
}
