//! Test harness: an owner with simulated workers that carry out all orders.

use std::collections::BTreeMap;
use std::time::Duration;

use peridotfold_core::flow::message::{
    AgentMessage, End, EndKind, LostRun, OwnerMessage, Pressure, Running, Start, WorkerInfo,
};
use peridotfold_core::flow::model::{JobNumber, JobSpec, Queue, Run, Step, TaskId};
use peridotfold_core::flow::owner::{Commit, Effect, Owner, OwnerSettings, Session, Slot};
use peridotfold_core::flow::progress::Progress;
use peridotfold_core::resources::Resources;
use peridotfold_core::time::Time;

/// For how long a pong permits a worker to run tasks.
pub const PERMISSION: Duration = Duration::from_secs(6);

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn settings(epoch: u32) -> OwnerSettings {
    OwnerSettings {
        epoch,
        permission: PERMISSION,
        keep_ended: Duration::from_secs(120),
        remote_slowdown: 1.5,
        round_interval: Duration::ZERO,
        evacuation: None,
    }
}

/// Returns a queue that fails a job after `attempts` failures of one task.
pub fn queue(attempts: u32) -> Queue {
    Queue {
        name: "host.example/queue/".to_owned(),
        service: "svc".to_owned(),
        priority: 0,
        attempts,
        stretch: 2.0,
        slack_ms: 1_000,
        advice: None,
    }
}

/// Returns a step of `count` tasks that each request `cpu` thousandths of a core.
pub fn step(count: u32, cpu: u64, estimate_ms: u64) -> Step {
    Step { count, need: Resources::new(cpu, 100, 0), estimate_ms, ..Step::default() }
}

/// Returns a job that fails after `attempts` failures of one task.
pub fn job(attempts: u32, steps: Vec<Step>) -> JobSpec {
    JobSpec {
        queue: queue(attempts),
        command: "run".to_owned(),
        steps,
        timetable: None,
        submitted: 0,
    }
}

/// A simulated worker and its agent's session.
#[derive(Debug, Clone)]
pub struct Worker {
    pub info: WorkerInfo,
    pub slot: Slot,
    /// Number of the agent's session with the owner.
    pub session: Session,
    /// Order of each run in progress.
    pub running: BTreeMap<TaskId, Start>,
    /// Ends of runs that the owner has not acknowledged.
    pub ends: Vec<End>,
    /// Sequence number of the last end that the owner has acknowledged.
    pub acknowledged: u64,
    /// Load on the worker that its agent reports; `None` for that of [`World::pressure`].
    pub pressure: Option<Pressure>,
    /// Sequence number of the next end.
    next_end: u64,
}

/// The owner, the simulated workers, the store's contents and the clock.
#[derive(Debug)]
pub struct World {
    pub now: Time,
    pub owner: Owner,
    pub workers: Vec<Worker>,
    /// All writes to the store.
    pub commits: Vec<Commit>,
    /// Runs that the owner has ordered to stop.
    pub stopped: Vec<(TaskId, Run)>,
    /// Starts that the owner has ordered: time, index of the worker, task and run.
    pub started: Vec<(Time, usize, TaskId, Run)>,
    /// Event and detail of each logged decision.
    pub logs: Vec<(&'static str, String)>,
    /// Load on the worker that agents report in their pings unless their worker has its own.
    pub pressure: Pressure,
    /// IDs of the workers whose crashes the owner has acknowledged.
    pub crash_acks: Vec<String>,
    /// Whether the store accepts writes.
    pub store_is_up: bool,
    /// Whether agents tell the owner which runs their workers have begun.
    pub reports_starts: bool,
    /// Runs whose starts agents have not reported: index of the worker, task and run.
    unreported: Vec<(usize, TaskId, Run)>,
}

impl World {
    /// Returns a world with `workers` connected workers of `cpu` thousandths of a core each.
    pub fn new(workers: usize, cpu: u64) -> Self {
        World::with_slowdown(workers, cpu, settings(1).remote_slowdown)
    }

    /// Returns a world in which tasks take `remote_slowdown` times as long away from their data.
    pub fn with_slowdown(workers: usize, cpu: u64, remote_slowdown: f64) -> Self {
        let owner = Owner::new(OwnerSettings { remote_slowdown, ..settings(1) }, Time::ZERO);
        let mut world = World {
            now: ms(1),
            owner,
            workers: Vec::new(),
            commits: Vec::new(),
            stopped: Vec::new(),
            started: Vec::new(),
            logs: Vec::new(),
            pressure: Pressure::default(),
            crash_acks: Vec::new(),
            store_is_up: true,
            reports_starts: true,
            unreported: Vec::new(),
        };
        world.owner.set_valid_until(Time::MAX);
        for index in 0..workers {
            world.add_worker(index, cpu);
        }
        world.settle();
        world
    }

    /// Adds a worker with `cpu` thousandths of a core and connects its agent to the owner.
    pub fn add_worker(&mut self, index: usize, cpu: u64) {
        let info = WorkerInfo {
            id: format!("life-{index}"),
            service: "svc".to_owned(),
            zone: "zone".to_owned(),
            capacity: Resources::new(cpu, 1_000_000, 0),
            labels: vec!["a".to_owned(), format!("r{}", index / 3)],
            draining: false,
            remaining: None,
        };
        let (slot, session, _) = self.owner.connect(self.now, &format!("node-{index}"));
        let worker = Worker {
            info,
            slot,
            session,
            running: BTreeMap::new(),
            ends: Vec::new(),
            acknowledged: 0,
            pressure: None,
            next_end: 1,
        };
        self.workers.push(worker);
        self.attach(index);
    }

    /// Opens a new session of a worker's agent with the owner.
    pub fn connect(&mut self, index: usize) {
        let (slot, session, _) = self.owner.connect(self.now, &format!("node-{index}"));
        self.workers[index].slot = slot;
        self.workers[index].session = session;
    }

    /// Reports the runs and ends of a worker to the owner, as the first report in a session.
    pub fn attach(&mut self, index: usize) {
        let worker = &self.workers[index];
        let running = worker.running.values().map(|start| Running {
            task: start.task,
            run: start.run,
            checkpoint: String::new(),
            percent: 0,
            load: 0,
        });
        let report = AgentMessage::Attach {
            worker: Some(worker.info.clone()),
            running: running.collect(),
            ends: worker.ends.clone(),
        };
        let (slot, session) = (worker.slot, worker.session);
        self.owner.receive(self.now, slot, session, report);
    }

    /// Replaces the owner with a new one that loads the committed records.
    pub fn take_over(&mut self, jobs: &[(JobNumber, JobSpec)]) {
        let epoch = 2;
        let mut records: BTreeMap<JobNumber, Progress> = BTreeMap::new();
        let mut roster = Vec::new();
        let mut interference = Vec::new();
        let mut crashes = Vec::new();
        for commit in &self.commits {
            interference = commit.interference.clone().unwrap_or(interference);
            crashes = commit.crashes.clone().unwrap_or(crashes);
            for record in &commit.records {
                records.insert(record.job, record.progress.clone());
            }
            roster = commit.roster.clone().unwrap_or(roster);
        }
        self.owner = Owner::new(settings(epoch), self.now);
        self.owner.set_valid_until(Time::MAX);
        self.owner.set_predecessor(self.now, roster);
        self.owner.inherit_interference(&interference);
        self.owner.inherit_crashes(crashes);
        for (number, spec) in jobs {
            let progress = records.remove(number).unwrap_or_default();
            self.owner.inherit(self.now, *number, spec.clone(), progress);
        }
        for index in 0..self.workers.len() {
            self.connect(index);
        }
    }

    /// Applies effects and writes until nothing changes.
    pub fn settle(&mut self) {
        for _ in 0..20 {
            self.owner.poll(self.now, 0);
            if self.store_is_up {
                if let Some(commit) = self.owner.take_commit(self.now) {
                    self.commits.push(commit);
                    self.owner.committed();
                }
            }
            self.owner.poll(self.now, 0);
            for effect in self.owner.take_effects() {
                match effect {
                    Effect::Log(decision) => self.logs.push((decision.event, decision.detail)),
                    Effect::Send { session, message, .. } => self.deliver(session, message),
                }
            }
            self.report_starts();
        }
    }

    /// Tells the owner of the runs that have begun since the last report, as agents do with their pings.
    fn report_starts(&mut self) {
        for (index, task, run) in std::mem::take(&mut self.unreported) {
            let worker = &self.workers[index];
            let is_running = worker.running.get(&task).is_some_and(|start| start.run == run);
            if self.reports_starts && is_running {
                let report = AgentMessage::Started { rows: vec![(task, run)] };
                self.owner.receive(self.now, worker.slot, worker.session, report);
            }
        }
    }

    /// Carries out a message of the owner on the worker whose agent has this session.
    fn deliver(&mut self, session: Session, message: OwnerMessage) {
        let Some(index) = self.workers.iter().position(|worker| worker.session == session) else {
            return;
        };
        match message {
            OwnerMessage::Start(start) => {
                self.started.push((self.now, index, start.task, start.run));
                self.unreported.push((index, start.task, start.run));
                self.workers[index].running.insert(start.task, *start);
            }
            OwnerMessage::Stop { task, run } => {
                self.stopped.push((task, run));
                if self.workers[index].running.contains_key(&task) {
                    self.end(index, task, EndKind::Stopped);
                }
            }
            OwnerMessage::Seen { number, .. } => {
                let worker = &mut self.workers[index];
                worker.acknowledged = number;
                worker.ends.retain(|end| end.number > number);
            }
            OwnerMessage::CrashSeen { worker } => self.crash_acks.push(worker),
            _ => {}
        }
    }

    /// Ends a run on a worker and reports the end to the owner.
    pub fn end(&mut self, index: usize, task: TaskId, kind: EndKind) {
        let worker = &mut self.workers[index];
        let Some(start) = worker.running.remove(&task) else { return };
        let end =
            End { number: worker.next_end, task, run: start.run, kind, checkpoint: String::new() };
        worker.next_end += 1;
        worker.ends.push(end.clone());
        let report = AgentMessage::Ends { worker: worker.info.id.clone(), ends: vec![end] };
        self.owner.receive(self.now, worker.slot, worker.session, report);
    }

    /// Changes the CPU of a worker, in thousandths of a core; its agent tells the owner.
    pub fn resize(&mut self, index: usize, cpu: u64) {
        let worker = &mut self.workers[index];
        worker.info.capacity.cpu_milli = cpu;
        let report = AgentMessage::Changed { worker: worker.info.clone() };
        let (slot, session) = (worker.slot, worker.session);
        self.owner.receive(self.now, slot, session, report);
    }

    /// Crashes a worker, and reports the crash to the owner as its agent does. Another one takes its
    /// place, whose agent has not reported yet.
    pub fn crash(&mut self, index: usize) {
        let report = self.crash_report(index);
        let worker = &mut self.workers[index];
        worker.info.id.push('+');
        worker.running.clear();
        worker.ends.clear();
        worker.next_end = 1;
        let (slot, session) = (worker.slot, worker.session);
        self.owner.receive(self.now, slot, session, report);
        self.settle();
    }

    /// Returns the report of a crash of a worker that happens now.
    pub fn crash_report(&self, index: usize) -> AgentMessage {
        let worker = &self.workers[index];
        let started_at = |start: &Start| {
            let is_its =
                |row: &&(Time, usize, TaskId, Run)| (row.2, row.3) == (start.task, start.run);
            self.started.iter().find(is_its).map_or(Time::ZERO, |row| row.0)
        };
        let row = |start: &Start| LostRun {
            task: start.task,
            run: start.run,
            age: self.now - started_at(start),
        };
        let runs = worker.running.values().map(row).collect();
        AgentMessage::Crashed { worker: worker.info.id.clone(), runs }
    }

    /// Rejects all runs of a worker, as an agent does whose worker refuses their starts.
    pub fn reject_all(&mut self, index: usize, reason: &str) {
        let worker = &mut self.workers[index];
        let (slot, session) = (worker.slot, worker.session);
        for start in std::mem::take(&mut worker.running).into_values() {
            let (task, run, reason) = (start.task, start.run, reason.to_owned());
            let answer = AgentMessage::NotStarted { task, run, reason };
            self.owner.receive(self.now, slot, session, answer);
        }
    }

    /// Ends all running tasks that `pick` selects.
    pub fn end_all(&mut self, kind: EndKind, pick: impl Fn(&TaskId) -> bool) {
        for index in 0..self.workers.len() {
            let tasks: Vec<TaskId> =
                self.workers[index].running.keys().filter(|task| pick(task)).copied().collect();
            for task in tasks {
                self.end(index, task, kind);
            }
        }
        self.settle();
    }

    /// Advances the clock in steps of 100 ms; all agents ping the owner in each step.
    pub fn advance(&mut self, by: Duration) {
        let step = ms(100);
        let until = self.now + by;
        while self.now < until {
            self.now = (self.now + step).min(until);
            self.ping();
            self.settle();
        }
    }

    /// Sends the owner a ping from every agent, which renews the permissions to run tasks.
    pub fn ping(&mut self) {
        for worker in &self.workers {
            let report = AgentMessage::Ping {
                sent: self.now,
                pressure: worker.pressure.unwrap_or(self.pressure),
                samples: Vec::new(),
                baselines: Vec::new(),
            };
            self.owner.receive(self.now, worker.slot, worker.session, report);
        }
    }

    /// Submits a job to the owner and carries out the owner's orders.
    pub fn submit(&mut self, number: JobNumber, spec: JobSpec) {
        self.owner.submit(self.now, number, spec);
        self.settle();
    }

    /// Returns all running tasks with the index of their worker.
    pub fn running(&self) -> Vec<(usize, TaskId)> {
        let rows = self.workers.iter().enumerate();
        rows.flat_map(|(index, worker)| worker.running.keys().map(move |task| (index, *task)))
            .collect()
    }
}
