//! Model of the platform's worker. All times are on the clock of its VM.

use std::collections::BTreeMap;
use std::time::Duration;

use peridotfold_core::message::report::{AttemptId, Token};
use peridotfold_core::resources::Resources;
use peridotfold_core::tasks::worker::{
    Claim, ClaimReply, ClaimRequest, WorkerList, WorkerOutcome, WorkerTask,
};
use peridotfold_core::tasks::{Action, ActionResult};

pub const CAPACITY: Resources = Resources::new(16_000, 60_000, 2);
/// Time between accepting a stop and the end of the task.
const STOP_TIME: Duration = Duration::from_millis(300);

/// Task on the model worker.
pub struct ModelTask {
    pub info: WorkerTask,
    /// Work to do, in milliseconds at full speed.
    work_ms: u64,
    progress_ms: u64,
    /// Actual usage in percent of the declared need.
    usage_percent: u64,
    /// Time and outcome of an accepted stop.
    stop: Option<(Duration, WorkerOutcome)>,
}

/// Model of a worker.
pub struct ModelWorker {
    pub claim: Claim,
    /// Highest epoch of all claims.
    epoch: u64,
    /// Time at which the worker's clock was zero.
    clock_origin: Duration,
    /// Time up to which the tasks have been simulated.
    last_advance: Duration,
    pub tasks: BTreeMap<AttemptId, ModelTask>,
    /// Highest token started or stopped for each job id and task.
    latest_tokens: BTreeMap<(String, u32), Token>,
    /// Attempts in the order of their starts, with the progress in milliseconds they resumed from.
    pub started: Vec<(AttemptId, u64)>,
    pub completed: Vec<AttemptId>,
}

impl ModelWorker {
    pub fn new(now: Duration, instance: u64) -> ModelWorker {
        ModelWorker {
            claim: Claim { instance, controller: 0 },
            epoch: 0,
            clock_origin: now,
            last_advance: now,
            tasks: BTreeMap::new(),
            latest_tokens: BTreeMap::new(),
            started: Vec::new(),
            completed: Vec::new(),
        }
    }

    /// Simulates a crash and restart of the worker process, which loses all tasks.
    pub fn restart(&mut self, now: Duration) {
        let instance = self.claim.instance + 1;
        let started = std::mem::take(&mut self.started);
        let completed = std::mem::take(&mut self.completed);
        *self = ModelWorker { started, completed, ..ModelWorker::new(now, instance) };
    }

    /// Makes or confirms a claim; returns `None` if the claim to confirm is not the latest one.
    pub fn claim(&mut self, request: ClaimRequest) -> Option<ClaimReply> {
        match request.keep {
            Some(claim) if claim != self.claim => return None,
            Some(_) => {}
            None => self.claim.controller += 1,
        }
        self.epoch = self.epoch.max(request.epoch);
        Some(ClaimReply { claim: self.claim, epoch: self.epoch })
    }

    pub fn running(&self) -> impl Iterator<Item = &ModelTask> {
        self.tasks.values().filter(|task| task.info.outcome.is_none())
    }

    pub fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.last_advance).as_millis() as u64;
        let worker_ms = now.saturating_sub(self.clock_origin).as_millis() as u64;
        self.last_advance = now;
        for (id, task) in &mut self.tasks {
            if task.info.outcome.is_some() {
                continue;
            }
            if task.stop.is_none() {
                task.progress_ms += elapsed * u64::from(task.info.speed_percent) / 100;
            }
            let checkpoint = || Some(task.progress_ms.to_string());
            task.info.outcome = match &task.stop {
                _ if worker_ms >= task.info.valid_until_ms => {
                    Some(WorkerOutcome::Expired { checkpoint: checkpoint() })
                }
                Some((at, outcome)) if now >= *at => Some(outcome.clone()),
                None if task.progress_ms >= task.work_ms => {
                    self.completed.push(id.clone());
                    Some(WorkerOutcome::Completed)
                }
                _ => None,
            };
        }
    }

    pub fn list(&self, now: Duration) -> WorkerList {
        let listed = |task: &ModelTask| {
            let need = task.info.need;
            let cpu = need.cpu_milli * task.usage_percent * u64::from(task.info.speed_percent);
            let memory = need.memory_mib * task.usage_percent / 100;
            let usage = Resources::new(cpu / 10_000, memory, need.accelerators);
            WorkerTask { usage, ..task.info.clone() }
        };
        WorkerList {
            instance: self.claim.instance,
            now_ms: now.saturating_sub(self.clock_origin).as_millis() as u64,
            controller: self.claim.controller,
            capacity: CAPACITY,
            tasks: self.tasks.values().map(listed).collect(),
        }
    }

    /// Handles a request that arrives now; returns its result, and the checkpoint if one was taken.
    pub fn perform(&mut self, now: Duration, action: &Action) -> (ActionResult, Option<String>) {
        self.advance(now);
        let refused = |reason: &str| (ActionResult::Refused(reason.to_owned()), None);
        let worker_ms = now.saturating_sub(self.clock_origin).as_millis() as u64;
        match action {
            Action::Start(start) => {
                let key = (start.attempt.job.clone(), start.attempt.task);
                if start.claim != self.claim || start.valid_until_ms <= worker_ms {
                    return refused("outdated claim or expired lease");
                }
                if self.tasks.contains_key(&start.attempt) {
                    return (ActionResult::Done, None);
                }
                if self.latest_tokens.get(&key).is_some_and(|latest| *latest >= start.attempt.token)
                {
                    return refused("old token");
                }
                self.latest_tokens.insert(key, start.attempt.token);
                self.start(start);
                (ActionResult::Done, None)
            }
            Action::Renew { instance, leases, .. } => {
                if *instance != self.claim.instance {
                    return refused("other instance");
                }
                for lease in leases {
                    if let Some(task) = self.tasks.get_mut(&lease.attempt) {
                        let until = &mut task.info.valid_until_ms;
                        *until = (*until).max(lease.valid_until_ms);
                    }
                }
                (ActionResult::Done, None)
            }
            Action::Stop(id) => {
                let latest = self.latest_tokens.entry((id.job.clone(), id.task)).or_default();
                *latest = (*latest).max(id.token);
                self.stop(now, id, None);
                (ActionResult::Done, None)
            }
            Action::Checkpoint(id) => match self.tasks.get(id) {
                Some(task) if task.info.outcome.is_none() => {
                    let checkpoint = task.progress_ms.to_string();
                    self.stop(now, id, Some(checkpoint.clone()));
                    (ActionResult::Done, Some(checkpoint))
                }
                _ => refused("not running"),
            },
            Action::Throttle(id, percent) => match self.tasks.get_mut(id) {
                Some(task) => {
                    task.info.speed_percent = *percent;
                    (ActionResult::Done, None)
                }
                None => refused("unknown"),
            },
            Action::Remove(id) => {
                // The task is unknown if the reply to an earlier removal was lost.
                let Some(task) = self.tasks.get(id) else { return refused("unknown") };
                assert!(task.info.outcome.is_some(), "removes the running task {id:?}");
                self.tasks.remove(id);
                (ActionResult::Done, None)
            }
        }
    }

    fn start(&mut self, start: &peridotfold_core::tasks::worker::StartTask) {
        let mut words = start.command.split(' ').map(|word| word.parse::<u64>().unwrap());
        let (work_ms, usage_percent) = (words.next().unwrap(), words.next().unwrap());
        let progress_ms =
            start.checkpoint.as_ref().map_or(0, |checkpoint| checkpoint.parse().unwrap());
        self.started.push((start.attempt.clone(), progress_ms));
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
        let task = ModelTask { info, work_ms, progress_ms, usage_percent, stop: None };
        self.tasks.insert(start.attempt.clone(), task);
    }

    fn stop(&mut self, now: Duration, id: &AttemptId, checkpoint: Option<String>) {
        if let Some(task) = self.tasks.get_mut(id) {
            task.stop.get_or_insert((now + STOP_TIME, WorkerOutcome::Stopped { checkpoint }));
        }
    }
}
