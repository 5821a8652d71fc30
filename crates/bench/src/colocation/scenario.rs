//! Deployments, their interference and their jobs, drawn from a seed.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use fastrand::Rng;
use peridotfold_core::cell::JobSpec;
use peridotfold_core::config::{Closing, Document, JobClass, Service, Team};
use peridotfold_core::resources::Resources;

use super::policy::Policy;
use super::worker::Command;

pub const VMS: usize = 9;
pub const END: Duration = Duration::from_secs(3_600);
/// No batch work arrives before, as on a VM that has just started.
const FIRST_JOB: Duration = Duration::from_secs(60);
pub const CLOSING: (Duration, Duration) = (Duration::from_secs(1_200), Duration::from_secs(2_400));
const LEAD_S: u64 = 300;
/// Times of batch waves, each of this much work per core that is open to batch work.
const WAVES: [u64; 3] = [1_200, 1_500, 1_800];
const WAVE_CORE_SECONDS: f64 = 100.0;
/// Steady work, as part of the cores that are open to batch work.
const STEADY: f64 = 0.55;
const URGENT_EVERY_S: f64 = 15.0;
const CLASSES: [&str; 3] = ["index", "report", "watch"];
const URGENT: &str = "rebuild";
const TEAMS: [&str; 4] = ["north", "east", "south", "west"];

/// Size of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    pub name: &'static str,
    pub vm: Resources,
    pub service: Resources,
    /// Declared need of a task of average size.
    pub task: Resources,
}

pub const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "listings",
        vm: Resources::new(60_000, 250_000, 0),
        service: Resources::new(10_000, 50_000, 0),
        task: Resources::new(1_500, 3_000, 0),
    },
    Deployment {
        name: "bidding",
        vm: Resources::new(16_000, 60_000, 0),
        service: Resources::new(10_000, 30_000, 0),
        task: Resources::new(400, 1_000, 0),
    },
];

impl Deployment {
    pub fn room(&self) -> Resources {
        self.vm.minus(&self.service)
    }
}

/// How a class slows the service down when it uses all cores open to batch work.
#[derive(Debug, Clone, Copy)]
struct Pair {
    harm: f64,
    /// Growth of the harm when the load of the service doubles.
    shift: f64,
}

pub struct Scenario {
    pub deployment: Deployment,
    /// Latency of the service alone at normal load, in seconds.
    base: f64,
    /// Growth of that latency when the load doubles.
    growth: f64,
    pairs: BTreeMap<&'static str, Pair>,
    /// Jobs by time of submission.
    pub jobs: Vec<(Duration, JobSpec)>,
}

impl Scenario {
    pub fn new(deployment: Deployment, seed: u64) -> Scenario {
        let mut rng = Rng::with_seed(seed);
        let mut pair = |from: f64, to: f64| Pair {
            harm: from + rng.f64() * (to - from),
            shift: rng.f64() * 1.5 - 0.25,
        };
        let pairs = BTreeMap::from([
            ("index", pair(0.4, 1.6)),
            ("report", pair(0.1, 0.5)),
            ("watch", pair(0.0, 0.15)),
            (URGENT, pair(0.1, 0.4)),
        ]);
        let base = 0.004 + rng.f64() * 0.016;
        let growth = 0.05 + rng.f64() * 0.15;
        let jobs = jobs(&deployment, &mut rng);
        Scenario { deployment, base, growth, pairs, jobs }
    }

    /// Load of each instance; 1 is normal.
    pub fn load(&self, now: Duration, policy: Policy) -> f64 {
        let closing = CLOSING.0 <= now && now < CLOSING.1;
        policy.load_factor() * if closing { 2.0 } else { 1.0 }
    }

    /// Cores used by an instance. Its limit is what it uses in a closing.
    pub fn service_cores(&self, load: f64) -> f64 {
        self.deployment.service.cpu_milli as f64 / 2_000.0 * load
    }

    /// Latency of the service without batch work.
    pub fn alone(&self, load: f64) -> f64 {
        self.base * (1.0 + self.growth * (load - 1.0))
    }

    /// Latency of the service beside classes that use these cores.
    pub fn latency(&self, load: f64, cores: &BTreeMap<&str, f64>) -> f64 {
        let room = self.deployment.room().cpu_milli as f64 / 1_000.0;
        let used: f64 = cores.values().sum();
        let crowding = 0.5 + used / room;
        let per_core = self.harm(load);
        let harm =
            cores.iter().map(|(class, cores)| per_core.get(class).copied().unwrap_or(0.0) * cores);
        let vm = self.deployment.vm.cpu_milli as f64 / 1_000.0;
        let over = (used + self.service_cores(load) - vm).max(0.0) / vm;
        self.alone(load) * (1.0 + harm.sum::<f64>() * crowding + 2.0 * over)
    }

    /// Slow-down of the service by one core of each class, before crowding.
    pub fn harm(&self, load: f64) -> BTreeMap<&'static str, f64> {
        let room = self.deployment.room().cpu_milli as f64 / 1_000.0;
        let harm = |pair: &Pair| pair.harm * (1.0 + pair.shift * (load - 1.0)).max(0.0) / room;
        self.pairs.iter().map(|(class, pair)| (*class, harm(pair))).collect()
    }

    /// Configuration; the baselines have no calendar.
    pub fn document(&self, policy: Policy) -> Document {
        let room = self.deployment.room();
        let part = |percent: u64| {
            Resources::new(room.cpu_milli * percent / 100, room.memory_mib * percent / 100, 0)
        };
        let mut classes: BTreeMap<String, JobClass> = CLASSES
            .iter()
            .map(|class| ((*class).to_owned(), JobClass { limit: part(30), urgent: false }))
            .collect();
        classes.insert(URGENT.to_owned(), JobClass { limit: part(100), urgent: true });
        let service = Service {
            teams: Vec::new(),
            limit: self.deployment.service,
            slots: 8,
            connections: 60,
            queue: 32,
            timeout_ms: 2_000,
            target_ms: 50,
        };
        let at = |at: Duration| humantime::format_rfc3339(wall(at)).to_string();
        let closing = Closing {
            start: at(CLOSING.0),
            end: at(CLOSING.1),
            lead_s: LEAD_S,
            services: vec!["service".into()],
            classes: Vec::new(),
            batch_limit: part(60),
        };
        let quota = part(100 * VMS as u64 / 2);
        let team = Team { token_sha256: String::new(), quota };
        let closings = match policy {
            Policy::Ours => BTreeMap::from([("year-end".to_owned(), closing)]),
            _ => BTreeMap::new(),
        };
        Document {
            services: BTreeMap::from([("service".to_owned(), service)]),
            teams: TEAMS.iter().map(|name| ((*name).to_owned(), team.clone())).collect(),
            classes,
            closings,
            ..Document::default()
        }
    }
}

/// Wall-clock time of a time in a run.
pub fn wall(now: Duration) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_798_747_200) + now
}

fn jobs(deployment: &Deployment, rng: &mut Rng) -> Vec<(Duration, JobSpec)> {
    let cores = deployment.room().cpu_milli as f64 / 1_000.0 * VMS as f64;
    let mut jobs = Vec::new();
    let mut at = FIRST_JOB.as_secs_f64();
    while at < END.as_secs_f64() {
        let (spec, work) = job(deployment, jobs.len(), rng);
        jobs.push((Duration::from_secs_f64(at), spec));
        at += work / (cores * STEADY) * rng.f64() * 2.0;
    }
    for wave in WAVES {
        let mut left = cores * WAVE_CORE_SECONDS;
        while left > 0.0 {
            let (spec, work) = job(deployment, jobs.len(), rng);
            jobs.push((Duration::from_secs(wave), spec));
            left -= work;
        }
    }
    let mut at = FIRST_JOB.as_secs_f64() + 30.0;
    while at < END.as_secs_f64() - 30.0 {
        let (mut spec, _) = job(deployment, jobs.len(), rng);
        spec.class = URGENT.to_owned();
        spec.tasks = 1;
        spec.command = Bytes::from(Command { work_ms: 20_000, usage_percent: 100 }.encode());
        jobs.push((Duration::from_secs_f64(at), spec));
        at += rng.f64() * 2.0 * URGENT_EVERY_S;
    }
    jobs.sort_by_key(|(at, _)| *at);
    jobs
}

/// Draws a job; returns it with its work in core seconds.
fn job(deployment: &Deployment, number: usize, rng: &mut Rng) -> (JobSpec, f64) {
    let size = 50 + rng.u64(0..100);
    let scaled = |amount: u64| amount * size / 100;
    let need =
        Resources::new(scaled(deployment.task.cpu_milli), scaled(deployment.task.memory_mib), 0);
    // Evenly distributed by its logarithm, from 0.5 to 3 times what is declared.
    let usage_percent = (50.0 * 6.0f64.powf(rng.f64())) as u64;
    let work_ms = rng.u64(60_000..300_000);
    let tasks = rng.u32(1..5);
    let spec = JobSpec {
        id: format!("job-{number}"),
        team: TEAMS[rng.usize(..TEAMS.len())].to_owned(),
        class: CLASSES[rng.usize(..CLASSES.len())].to_owned(),
        tasks,
        need,
        command: Bytes::from(Command { work_ms, usage_percent }.encode()),
    };
    let cores = need.cpu_milli as f64 / 1_000.0 * usage_percent as f64 / 100.0;
    (spec, cores * work_ms as f64 / 1_000.0 * f64::from(tasks))
}
