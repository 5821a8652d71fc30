//! Cost of an admission decision, of a placement round and of a queued job, by length of the queue and
//! number of workers.

use std::hint::black_box;
use std::time::Duration;

use peridotfold_core::flow::intake::Demand;
use peridotfold_core::flow::message::{AgentMessage, Pressure, WorkerInfo};
use peridotfold_core::flow::model::{JobSpec, Queue, Step};
use peridotfold_core::flow::owner::{Owner, OwnerSettings, Session, Slot};
use peridotfold_core::resources::Resources;
use peridotfold_core::time::Time;

use crate::scale::{grown, mean};

const QUEUED_JOBS: [u64; 3] = [1_000, 10_000, 100_000];
const WORKERS: [usize; 3] = [60, 240, 1_000];
/// Number of decisions, and of rounds, in one mean.
const DECISIONS: usize = 5_000;
const ROUNDS: usize = 10;
/// Time after which the forecast of an owner with backlog is valid.
const WARM_UP: Duration = Duration::from_secs(8);

/// Runs the measurement and prints its table.
///
/// # Errors
///
/// Fails if the owner has no forecast.
pub fn run() -> eyre::Result<()> {
    println!("| queued jobs | workers | decision us | round ms | bytes a job |");
    println!("|---|---|---|---|---|");
    for jobs in QUEUED_JOBS {
        for workers in WORKERS {
            measure(jobs, workers)?;
        }
    }
    Ok(())
}

/// Returns a job of eight best-effort tasks; jobs differ in size.
fn job(number: u64) -> JobSpec {
    let step = Step {
        count: 8,
        need: Resources::new(1_000 + number * 37 % 3_000, 100, 0),
        estimate_ms: 800 + number * 91 % 1_000,
        best_effort: true,
        image: format!("image-{}", number % 18),
        ..Step::default()
    };
    let queue = Queue {
        name: format!("queue-{}", number % 4),
        service: "svc".to_owned(),
        priority: (number % 3) as u8,
        attempts: 3,
        stretch: 2.0,
        slack_ms: 1_000,
        advice: None,
    };
    JobSpec { queue, command: "run".to_owned(), steps: vec![step], timetable: None, submitted: 0 }
}

/// Connects workers of 64 cores.
fn connect(owner: &mut Owner, workers: usize) -> Vec<(Slot, Session)> {
    let attach = |index: usize| {
        let (slot, session, _) = owner.connect(Time::ZERO, &format!("node-{index}"));
        let worker = WorkerInfo {
            id: format!("worker-{index}"),
            service: "svc".to_owned(),
            zone: "zone".to_owned(),
            capacity: Resources::new(64_000, 256_000, 0),
            labels: vec!["a".to_owned(), format!("r{}", index / 20)],
            draining: false,
            remaining: None,
        };
        let report = AgentMessage::Attach { worker: Some(worker), running: vec![], ends: vec![] };
        owner.receive(Time::ZERO, slot, session, report);
        (slot, session)
    };
    (0..workers).map(attach).collect()
}

fn measure(jobs: u64, workers: usize) -> eyre::Result<()> {
    let settings = OwnerSettings {
        evacuation: None,
        epoch: 1,
        permission: Duration::from_secs(6),
        keep_ended: Duration::from_secs(120),
        remote_slowdown: 1.5,
        round_interval: Duration::ZERO,
    };
    let mut owner = Owner::new(settings, Time::ZERO);
    owner.set_valid_until(Time::MAX);
    let sessions = connect(&mut owner, workers);
    if owner.take_commit(Time::ZERO).is_some() {
        owner.committed();
    }
    let (_, bytes) = grown(jobs as usize, || {
        for number in 0..jobs {
            owner.submit(Time::ZERO, number, job(number));
            owner.take_effects();
        }
    });
    // No task ends, so that the queue keeps its length once the workers are full.
    let mut now = Time::ZERO;
    while now < WARM_UP {
        now += Duration::from_secs(1);
        for (slot, session) in &sessions {
            let ping = AgentMessage::Ping {
                sent: now,
                pressure: Pressure::default(),
                samples: Vec::new(),
                baselines: Vec::new(),
            };
            owner.receive(now, *slot, *session, ping);
        }
        owner.poll(now, 0);
        owner.take_effects();
    }
    if jobs >= 10_000 && owner.short_services(now).is_empty() {
        eyre::bail!("no forecast with {jobs} jobs and {workers} workers");
    }
    let demands: Vec<Demand> = (0..64).filter_map(|number| Demand::new(&job(number))).collect();
    let decision = mean(DECISIONS, |index| {
        let demand = &demands[index % demands.len()];
        black_box(owner.admit(now, jobs + index as u64, demand));
        owner.take_effects();
    });
    let round = mean(ROUNDS, |_| {
        owner.set_valid_until(Time::MAX);
        owner.poll(now, 0);
        owner.take_effects();
    });
    println!(
        "| {jobs} | {workers} | {:.2} | {:.2} | {bytes} |",
        decision.as_secs_f64() * 1e6,
        round.as_secs_f64() * 1e3,
    );
    Ok(())
}
