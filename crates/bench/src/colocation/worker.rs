//! Fake of the platform's worker: tasks that progress, use more or less than declared, and slow
//! the service of their VM down.

use std::collections::BTreeMap;
use std::time::Duration;

use peridotfold_core::message::report::AttemptId;
use peridotfold_core::resources::Resources;
use peridotfold_core::tasks::worker::{
    Claim, ClaimReply, StartTask, WorkerList, WorkerOutcome, WorkerTask,
};
use peridotfold_core::tasks::{Action, ActionResult};

/// Work that a task repeats when it resumes from its checkpoint.
const CHECKPOINT_LOSS_MS: u64 = 10_000;
const CLAIM: Claim = Claim { instance: 1, controller: 1 };

struct Task {
    info: WorkerTask,
    /// Resources in use at full speed.
    size: Resources,
    work_ms: u64,
    progress_ms: u64,
}

/// What a task does, as its command states it.
pub struct Command {
    pub work_ms: u64,
    /// Usage in percent of the declared need.
    pub usage_percent: u64,
}

impl Command {
    pub fn encode(&self) -> String {
        format!("{} {}", self.work_ms, self.usage_percent)
    }

    fn decode(text: &str) -> Command {
        let mut words = text.split(' ').map(|word| word.parse().unwrap_or_default());
        let mut next = || words.next().unwrap_or_default();
        Command { work_ms: next(), usage_percent: next() }
    }
}

/// Worker of one VM.
pub struct Worker {
    capacity: Resources,
    tasks: BTreeMap<AttemptId, Task>,
    last: Duration,
    /// Work done and not lost, in core seconds.
    pub done: f64,
    /// Work not done because of reduced speeds, in core seconds.
    pub slowed: f64,
    /// Work that evictions threw away, in core seconds.
    pub lost: f64,
    pub evictions: u32,
    /// Attempts started since they were last taken.
    pub started: Vec<AttemptId>,
}

impl Worker {
    pub fn new(capacity: Resources) -> Worker {
        Worker {
            capacity,
            tasks: BTreeMap::new(),
            last: Duration::ZERO,
            done: 0.0,
            slowed: 0.0,
            lost: 0.0,
            evictions: 0,
            started: Vec::new(),
        }
    }

    pub fn claim(&self) -> ClaimReply {
        // The owner of the measured cell stays the same.
        ClaimReply { claim: CLAIM, epoch: 1 }
    }

    /// Cores in use by class.
    pub fn cores(&self) -> BTreeMap<&str, f64> {
        let mut cores = BTreeMap::new();
        for task in self.tasks.values().filter(|task| task.info.outcome.is_none()) {
            *cores.entry(task.info.class.as_str()).or_default() += task.cores();
        }
        cores
    }

    /// Cores that each class would use at full speed.
    pub fn full_cores(&self) -> BTreeMap<&str, f64> {
        let mut cores = BTreeMap::new();
        for task in self.tasks.values().filter(|task| task.info.outcome.is_none()) {
            *cores.entry(task.info.class.as_str()).or_default() +=
                task.size.cpu_milli as f64 / 1_000.0;
        }
        cores
    }

    /// Lets the tasks work until `now`, with `room` cores left by the service.
    pub fn advance(&mut self, now: Duration, room: f64) {
        let elapsed = now.saturating_sub(self.last).as_secs_f64();
        self.last = now;
        let used: f64 = self.cores().values().sum();
        let share = if used > room { room / used } else { 1.0 };
        for task in self.tasks.values_mut().filter(|task| task.info.outcome.is_none()) {
            let speed = f64::from(task.info.speed_percent) / 100.0 * share;
            let step = (elapsed * 1_000.0 * speed) as u64;
            let step = step.min(task.work_ms - task.progress_ms);
            task.progress_ms += step;
            self.done += task.core_seconds(step);
            let unused = 1.0 - f64::from(task.info.speed_percent) / 100.0;
            self.slowed += task.core_seconds((elapsed * 1_000.0 * unused) as u64);
            if task.progress_ms >= task.work_ms {
                task.info.outcome = Some(WorkerOutcome::Completed);
            }
        }
    }

    pub fn list(&self, now: Duration) -> WorkerList {
        let tasks = self.tasks.values().map(|task| {
            let cpu = (task.cores() * 1_000.0) as u64;
            let usage = Resources { cpu_milli: cpu, ..task.size };
            WorkerTask { usage, ..task.info.clone() }
        });
        WorkerList {
            instance: CLAIM.instance,
            now_ms: now.as_millis() as u64,
            controller: CLAIM.controller,
            capacity: self.capacity,
            tasks: tasks.collect(),
        }
    }

    /// Performs an action; returns its effect and the checkpoint if one was taken.
    pub fn perform(&mut self, action: &Action) -> (ActionResult, Option<String>) {
        match action {
            Action::Start(start) => self.start(start),
            Action::Renew { leases, .. } => {
                for lease in leases {
                    if let Some(task) = self.tasks.get_mut(&lease.attempt) {
                        task.info.valid_until_ms = lease.valid_until_ms;
                    }
                }
            }
            Action::Checkpoint(id) => return self.checkpoint(id),
            Action::Stop(id) => {
                if let Some(task) = self.tasks.get_mut(id) {
                    let stopped = WorkerOutcome::Stopped { checkpoint: None };
                    task.info.outcome.get_or_insert(stopped);
                }
            }
            Action::Throttle(id, percent) => {
                if let Some(task) = self.tasks.get_mut(id) {
                    task.info.speed_percent = *percent;
                }
            }
            Action::Remove(id) => {
                self.tasks.remove(id);
            }
        }
        (ActionResult::Done, None)
    }

    fn start(&mut self, start: &StartTask) {
        let command = Command::decode(&start.command);
        let progress_ms =
            start.checkpoint.as_ref().and_then(|text| text.parse().ok()).unwrap_or_default();
        let info = WorkerTask {
            attempt: start.attempt.clone(),
            team: start.team.clone(),
            class: start.class.clone(),
            need: start.need,
            urgent: start.urgent,
            speed_percent: start.speed_percent,
            usage: Resources::default(),
            valid_until_ms: start.valid_until_ms,
            checkpoint: start.checkpoint.clone(),
            outcome: None,
        };
        let scaled = |amount: u64| amount * command.usage_percent / 100;
        let size = Resources::new(scaled(start.need.cpu_milli), scaled(start.need.memory_mib), 0);
        let task = Task { info, size, work_ms: command.work_ms, progress_ms };
        self.started.push(start.attempt.clone());
        self.tasks.insert(start.attempt.clone(), task);
    }

    fn checkpoint(&mut self, id: &AttemptId) -> (ActionResult, Option<String>) {
        let Some(task) = self.tasks.get_mut(id).filter(|task| task.info.outcome.is_none()) else {
            return (ActionResult::Refused("not running".to_owned()), None);
        };
        let kept = task.progress_ms.saturating_sub(CHECKPOINT_LOSS_MS);
        let lost = task.core_seconds(task.progress_ms - kept);
        self.done -= lost;
        self.lost += lost;
        self.evictions += 1;
        let checkpoint = Some(kept.to_string());
        task.info.outcome = Some(WorkerOutcome::Stopped { checkpoint: checkpoint.clone() });
        (ActionResult::Done, checkpoint)
    }
}

impl Task {
    fn cores(&self) -> f64 {
        self.size.cpu_milli as f64 / 1_000.0 * f64::from(self.info.speed_percent) / 100.0
    }

    /// Work of a time at full speed.
    fn core_seconds(&self, ms: u64) -> f64 {
        self.size.cpu_milli as f64 * ms as f64 / 1_000_000.0
    }
}
