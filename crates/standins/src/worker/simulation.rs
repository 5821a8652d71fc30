//! Tasks of the stand-in worker as timers. Nothing happens between two calls: each call first
//! brings the tasks to the time of the call, so that also a paused process ends each task at the
//! exact time at which its lease ran out.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use peridotfold_core::id::Epoch;
use peridotfold_core::message::report::{AttemptId, Token};
use peridotfold_core::resources::Resources;
use peridotfold_core::tasks::worker::{
    task_path_id, Claim, ClaimReply, ClaimRequest, RenewTasks, StartTask, WorkerList,
    WorkerOutcome, WorkerTask,
};
use serde::{Deserialize, Serialize};

use super::Options;

/// Faults that can be switched while the worker runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// Each task fails at once.
    pub fail_all: bool,
    /// Speed of all tasks, in percent.
    pub task_percent: u32,
    /// Delay of each reply.
    pub delay_ms: u64,
}

impl Default for Switches {
    fn default() -> Self {
        Switches { fail_all: false, task_percent: 100, delay_ms: 0 }
    }
}

/// Time during which an attempt ran. Times are microseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Interval {
    pub job: String,
    pub task: u32,
    pub token: Token,
    pub start_us: u64,
    /// Absent while the task runs.
    pub end_us: Option<u64>,
    /// `running`, `completed`, `failed`, `stopped` or `expired`.
    pub end: String,
    /// Work units done before the start, and at the end. One unit is 1 ms at full speed.
    pub progress_start: f64,
    pub progress_end: f64,
}

/// The worker refused a request, with an HTTP status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    pub status: u16,
    pub reason: String,
}

fn refuse<T>(status: u16, reason: impl Into<String>) -> Result<T, Refusal> {
    Err(Refusal { status, reason: reason.into() })
}

#[derive(Debug)]
struct Command {
    work: f64,
    fails: bool,
    usage_factor: Option<f64>,
}

impl Command {
    fn parse(text: &str) -> Result<Self, Refusal> {
        let mut command = Command { work: 0.0, fails: false, usage_factor: None };
        for word in text.split_whitespace() {
            let Some((name, value)) = word.split_once('=') else {
                return refuse(400, format!("not name=value: {word}"));
            };
            let Ok(number) = value.parse::<u32>() else {
                return refuse(400, format!("not a number: {word}"));
            };
            match name {
                "work_ms" => command.work = f64::from(number),
                "fail" => command.fails = number != 0,
                "usage_percent" => command.usage_factor = Some(f64::from(number) / 100.0),
                _ => return refuse(400, format!("unknown name: {name}")),
            }
        }
        Ok(command)
    }
}

#[derive(Debug)]
struct Task {
    info: WorkerTask,
    command: Command,
    valid_until: Duration,
    /// Work units done at `since`.
    progress: f64,
    since: Duration,
    /// Frozen and ending; set by a stop.
    ends: Option<(Duration, WorkerOutcome)>,
    /// Speeds with the time of each change, for usage that is reported with a lag.
    speeds: Vec<(Duration, u8)>,
    interval: usize,
}

impl Task {
    fn rate(&self, switches: &Switches) -> f64 {
        match self.ends {
            Some(_) => 0.0,
            None => f64::from(self.info.speed_percent) * f64::from(switches.task_percent) / 1e4,
        }
    }

    fn progress_at(&self, at: Duration, switches: &Switches) -> f64 {
        let elapsed = at.saturating_sub(self.since).as_secs_f64() * 1e3;
        (self.progress + elapsed * self.rate(switches)).min(self.command.work)
    }

    fn rebase(&mut self, at: Duration, switches: &Switches) {
        self.progress = self.progress_at(at, switches);
        self.since = at;
    }

    /// Next end that is due by `now`, the earliest first.
    fn due(&self, now: Duration, switches: &Switches) -> Option<(Duration, WorkerOutcome)> {
        let checkpoint = |at| Some(format_checkpoint(self.progress_at(at, switches)));
        let expired =
            (self.valid_until, WorkerOutcome::Expired { checkpoint: checkpoint(self.valid_until) });
        let finished = match (&self.ends, self.finish_at(switches)) {
            (Some(end), _) => Some(end.clone()),
            (None, Some(at)) => Some((at, self.own_end(switches))),
            (None, None) => None,
        };
        finished.into_iter().chain([expired]).min_by_key(|(at, _)| *at).filter(|(at, _)| *at <= now)
    }

    fn finish_at(&self, switches: &Switches) -> Option<Duration> {
        let left = self.command.work - self.progress;
        let rate = self.rate(switches);
        match switches.fail_all || left <= 0.0 {
            true => Some(self.since),
            false if rate <= 0.0 => None,
            false => Some(self.since + Duration::from_secs_f64(left / rate / 1e3)),
        }
    }

    fn own_end(&self, switches: &Switches) -> WorkerOutcome {
        match (switches.fail_all, self.command.fails) {
            (true, _) => WorkerOutcome::Failed { reason: "worker fails each task".into() },
            (_, true) => WorkerOutcome::Failed { reason: "command fails".into() },
            _ => WorkerOutcome::Completed,
        }
    }

    fn usage_at(&self, seen: Option<Duration>, factor: f64) -> Resources {
        let speed = seen
            .and_then(|seen| self.speeds.iter().rev().find(|(at, _)| *at <= seen))
            .map(|(_, speed)| f64::from(*speed) / 100.0);
        let Some(speed) = speed.filter(|_| self.info.outcome.is_none()) else {
            return Resources::default();
        };
        let factor = self.command.usage_factor.unwrap_or(factor);
        let scale = |amount: u64, by: f64| (amount as f64 * by).round() as u64;
        Resources {
            cpu_milli: scale(self.info.need.cpu_milli, factor * speed),
            memory_mib: scale(self.info.need.memory_mib, factor),
            accelerators: self.info.need.accelerators,
        }
    }
}

/// State of the stand-in worker. Times are its own monotonic clock.
#[derive(Debug)]
pub struct Simulation {
    options: Options,
    claim: Claim,
    /// Highest epoch of all claims.
    epoch: Epoch,
    /// Unix time, in microseconds, at which the clock was zero.
    origin_us: u64,
    tasks: BTreeMap<String, Task>,
    seen: HashMap<(String, u32), Token>,
    history: Vec<Interval>,
    switches: Switches,
}

impl Simulation {
    /// Builds a worker without tasks.
    pub fn new(options: Options, instance: u64, origin_us: u64) -> Self {
        let switches = options.switches.clone();
        Simulation {
            options,
            claim: Claim { instance, controller: 0 },
            epoch: 0,
            origin_us,
            tasks: BTreeMap::new(),
            seen: HashMap::new(),
            history: Vec::new(),
            switches,
        }
    }

    /// Current switches.
    pub fn switches(&self) -> &Switches {
        &self.switches
    }

    /// Replaces the switches.
    pub fn set_switches(&mut self, now: Duration, switches: Switches) {
        self.advance(now);
        for task in self.tasks.values_mut() {
            task.rebase(now, &self.switches);
        }
        self.switches = switches;
        self.advance(now);
    }

    /// Gives the right to start tasks to the caller alone, or keeps a claim with a higher epoch.
    ///
    /// # Errors
    ///
    /// Refuses to keep a claim that is not the last one.
    pub fn claim(&mut self, request: ClaimRequest) -> Result<ClaimReply, Refusal> {
        match request.keep {
            Some(claim) if claim != self.claim => {
                return refuse(409, "the worker was restarted or claimed by another agent");
            }
            Some(_) => {}
            None => self.claim.controller += 1,
        }
        self.epoch = self.epoch.max(request.epoch);
        Ok(ClaimReply { claim: self.claim, epoch: self.epoch })
    }

    /// Lists running tasks and results.
    pub fn list(&mut self, now: Duration) -> WorkerList {
        self.advance(now);
        let seen = now.checked_sub(self.options.usage_lag);
        let factor = self.options.usage_factor;
        let listed = |task: &Task| WorkerTask {
            usage: task.usage_at(seen, factor),
            valid_until_ms: task.valid_until.as_millis() as u64,
            ..task.info.clone()
        };
        WorkerList {
            instance: self.claim.instance,
            controller: self.claim.controller,
            now_ms: now.as_millis() as u64,
            capacity: self.options.capacity,
            tasks: self.tasks.values().map(listed).collect(),
        }
    }

    /// Starts a task; tells whether it is new.
    ///
    /// # Errors
    ///
    /// Refuses old tokens, ended leases, other instances and malformed commands.
    pub fn start(&mut self, now: Duration, start: StartTask) -> Result<bool, Refusal> {
        self.advance(now);
        let valid_until = Duration::from_millis(start.valid_until_ms);
        if start.claim != self.claim {
            return refuse(409, "the worker was restarted or claimed by another agent");
        }
        if valid_until <= now {
            return refuse(409, "the lease has ended");
        }
        let id = task_path_id(&start.attempt);
        if self.tasks.contains_key(&id) {
            return Ok(false);
        }
        let key = (start.attempt.job.clone(), start.attempt.task);
        if self.seen.get(&key).is_some_and(|seen| start.attempt.token <= *seen) {
            return refuse(409, "the token is not newer than one already seen");
        }
        let command = Command::parse(&start.command)?;
        let progress = parse_checkpoint(start.checkpoint.as_deref())?;
        self.seen.insert(key, start.attempt.token);
        let interval = self.open_interval(now, &start.attempt, progress);
        let speed = start.speed_percent;
        let task = Task {
            info: listed_task(start),
            command,
            valid_until,
            progress,
            since: now,
            ends: None,
            speeds: vec![(now, speed)],
            interval,
        };
        self.tasks.insert(id, task);
        self.advance(now);
        Ok(true)
    }

    /// Extends leases. A lease never gets shorter; an ended one is not revived.
    ///
    /// # Errors
    ///
    /// Refuses other instances.
    pub fn renew(&mut self, now: Duration, renew: RenewTasks) -> Result<usize, Refusal> {
        self.advance(now);
        if renew.instance != self.claim.instance {
            return refuse(409, "the worker was restarted");
        }
        let mut renewed = 0;
        for lease in renew.leases {
            match self.tasks.get_mut(&task_path_id(&lease.attempt)) {
                Some(task) if task.info.outcome.is_none() => {
                    let until = Duration::from_millis(lease.valid_until_ms);
                    task.valid_until = task.valid_until.max(until);
                    renewed += 1;
                }
                _ => {}
            }
        }
        Ok(renewed)
    }

    /// Stops a task without a checkpoint, and bars later starts of its token.
    pub fn stop(&mut self, now: Duration, attempt: &AttemptId) {
        self.advance(now);
        let key = (attempt.job.clone(), attempt.task);
        let seen = self.seen.entry(key).or_insert(attempt.token);
        *seen = (*seen).max(attempt.token);
        self.end_task(now, &task_path_id(attempt), None);
    }

    /// Takes a checkpoint, and ends the task there on request.
    ///
    /// # Errors
    ///
    /// Refuses unknown and ended tasks.
    pub fn checkpoint(&mut self, now: Duration, id: &str, stop: bool) -> Result<String, Refusal> {
        self.advance(now);
        let task = match self.tasks.get(id) {
            Some(task) if task.info.outcome.is_none() => task,
            Some(_) => return refuse(409, "the task has ended"),
            None => return refuse(404, "no such task"),
        };
        let text = format_checkpoint(task.progress_at(now, &self.switches));
        if stop {
            self.end_task(now, id, Some(text.clone()));
        }
        Ok(text)
    }

    /// Sets the speed of a task.
    ///
    /// # Errors
    ///
    /// Refuses unknown and ended tasks.
    pub fn throttle(&mut self, now: Duration, id: &str, percent: u8) -> Result<(), Refusal> {
        self.advance(now);
        match self.tasks.get_mut(id) {
            Some(task) if task.info.outcome.is_none() => {
                task.rebase(now, &self.switches);
                task.info.speed_percent = percent.min(100);
                task.speeds.push((now, percent.min(100)));
                Ok(())
            }
            Some(_) => refuse(409, "the task has ended"),
            None => refuse(404, "no such task"),
        }
    }

    /// Removes the result of an ended task.
    ///
    /// # Errors
    ///
    /// Refuses unknown and running tasks.
    pub fn remove(&mut self, now: Duration, id: &str) -> Result<(), Refusal> {
        self.advance(now);
        match self.tasks.get(id) {
            Some(task) if task.info.outcome.is_some() => {
                self.tasks.remove(id);
                Ok(())
            }
            Some(_) => refuse(409, "the task has not ended"),
            None => refuse(404, "no such task"),
        }
    }

    /// Returns the intervals of all attempts so far.
    pub fn history(&mut self, now: Duration) -> Vec<Interval> {
        self.advance(now);
        let mut history = self.history.clone();
        for task in self.tasks.values().filter(|task| task.info.outcome.is_none()) {
            history[task.interval].progress_end = task.progress_at(now, &self.switches);
        }
        history
    }

    fn end_task(&mut self, now: Duration, id: &str, checkpoint: Option<String>) {
        let switches = self.switches.clone();
        let at = now + self.options.stop_time;
        if let Some(task) = self.tasks.get_mut(id) {
            if task.info.outcome.is_none() && task.ends.is_none() {
                task.rebase(now, &switches);
                task.ends = Some((at, WorkerOutcome::Stopped { checkpoint }));
            }
        }
        self.advance(now);
    }

    fn open_interval(&mut self, now: Duration, attempt: &AttemptId, progress: f64) -> usize {
        self.history.push(Interval {
            job: attempt.job.clone(),
            task: attempt.task,
            token: attempt.token,
            start_us: self.origin_us + now.as_micros() as u64,
            end_us: None,
            end: "running".into(),
            progress_start: progress,
            progress_end: progress,
        });
        self.history.len() - 1
    }

    fn advance(&mut self, now: Duration) {
        for task in self.tasks.values_mut().filter(|task| task.info.outcome.is_none()) {
            let Some((at, outcome)) = task.due(now, &self.switches) else { continue };
            let interval = &mut self.history[task.interval];
            interval.end_us = Some(self.origin_us + at.as_micros() as u64);
            interval.progress_end = task.progress_at(at, &self.switches);
            if !matches!(outcome, WorkerOutcome::Completed) {
                // A checkpoint holds whole units; the rest of a unit is done again.
                interval.progress_end = interval.progress_end.floor();
            }
            interval.end = match outcome {
                WorkerOutcome::Completed => "completed",
                WorkerOutcome::Failed { .. } => "failed",
                WorkerOutcome::Stopped { .. } => "stopped",
                WorkerOutcome::Expired { .. } => "expired",
            }
            .into();
            task.info.outcome = Some(outcome);
        }
    }
}

fn listed_task(start: StartTask) -> WorkerTask {
    WorkerTask {
        attempt: start.attempt,
        team: start.team,
        class: start.class,
        need: start.need,
        urgent: start.urgent,
        speed_percent: start.speed_percent.min(100),
        usage: Resources::default(),
        valid_until_ms: start.valid_until_ms,
        checkpoint: start.checkpoint,
        outcome: None,
    }
}

fn format_checkpoint(progress: f64) -> String {
    format!("progress={:.0}", progress.floor())
}

fn parse_checkpoint(text: Option<&str>) -> Result<f64, Refusal> {
    let Some(text) = text else { return Ok(0.0) };
    match text.strip_prefix("progress=").map(str::parse::<u32>) {
        Some(Ok(units)) => Ok(f64::from(units)),
        _ => refuse(400, format!("not a checkpoint: {text}")),
    }
}
