//! Specification of jobs as submitted by callers.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::resources::Resources;

/// Number of a job; callers write it as 16 hexadecimal digits.
pub type JobNumber = u64;
/// Number of a run of a task; increases with each start of the task.
pub type Run = u32;
/// Wall-clock time in milliseconds since the Unix epoch.
pub type WallMs = u64;

/// Identifies one task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    pub job: JobNumber,
    /// Occurrence of a periodic job; 0 for other jobs.
    pub occurrence: u32,
    pub step: u16,
    /// Index of the task within its step.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

impl FromStr for TaskId {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let fail = || format!("invalid task ID `{text}`");
        let mut parts = text.split('.');
        let mut part = || parts.next().ok_or_else(fail);
        let job = parse_job(part()?).ok_or_else(fail)?;
        let occurrence = part()?.parse().map_err(|_| fail())?;
        let step = part()?.parse().map_err(|_| fail())?;
        let index = part()?.parse().map_err(|_| fail())?;
        match parts.next() {
            None => Ok(TaskId { job, occurrence, step, index }),
            Some(_) => Err(fail()),
        }
    }
}

/// Parses a job number: 16 lower-case hexadecimal digits.
pub fn parse_job(text: &str) -> Option<JobNumber> {
    let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    (text.len() == 16 && text.bytes().all(is_digit))
        .then(|| JobNumber::from_str_radix(text, 16).ok())
        .flatten()
}

/// Policy for asking an external advisor which workers may run a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdvicePolicy {
    /// How long an answer stays valid, in milliseconds.
    pub valid_ms: u64,
}

/// Queue of a job, as configured when the job was submitted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Host and path prefix of the requests that submit jobs to the queue.
    pub name: String,
    /// Service of the workers that may run the tasks.
    pub service: String,
    /// 0 is the highest priority.
    pub priority: u8,
    /// Number of failures of one task after which the job fails.
    pub attempts: u32,
    /// Factor on the critical path of a job: its completion objective is `stretch` times the
    /// estimated duration of the path plus `slack_ms`.
    pub stretch: f64,
    /// Constant part of the completion objective, in milliseconds.
    pub slack_ms: u64,
    /// Whether and how an external advisor is asked; `None` if it is not.
    pub advice: Option<AdvicePolicy>,
}

/// A step of a job: `count` identical tasks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that one task requests.
    pub need: Resources,
    /// Estimated duration of one task, in milliseconds.
    pub estimate_ms: u64,
    /// Indices of the steps of the job that must be done before this one starts.
    pub after: Vec<u16>,
    /// Whether tasks write checkpoints, from which a later run of the task continues.
    pub has_checkpoints: bool,
    /// Whether all tasks must run at the same time.
    pub gang: bool,
    /// Whether tasks should run on one rack because they slow down when spread over several racks.
    pub same_rack: bool,
    /// Label that the worker must have.
    pub required_label: Option<String>,
    /// Rack that stores the tasks' data.
    pub preferred_rack: Option<String>,
    /// Maximum number of tasks on one worker; 0 for no limit.
    pub per_worker: u32,
    /// Whether tasks run until the job is cancelled.
    pub long_running: bool,
    /// Name of the program that the tasks run. Tasks with the same image are taken to cause and
    /// suffer the same interference.
    pub image: String,
    /// Target for the tail latency of a long-running task, in milliseconds; 0 for none.
    pub target_ms: u32,
    /// Whether tasks reserve no CPU and run on what other tasks leave idle.
    pub best_effort: bool,
    /// Maximum number of long-running tasks that the scheduler may take down at the same time.
    pub max_unavailable: u32,
}

impl Step {
    /// Returns the resources that one task reserves on its worker.
    pub fn reserved(&self) -> Resources {
        match self.best_effort {
            true => Resources { cpu_milli: 0, ..self.need },
            false => self.need,
        }
    }
}

/// Schedule of a periodic job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timetable {
    /// Due time of the first occurrence.
    pub first: WallMs,
    /// Time between the due times of two occurrences.
    pub interval_ms: u64,
    /// Number of occurrences.
    pub times: u32,
}

/// A job as submitted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    pub queue: Queue,
    /// Command that the worker executes for each task; passed on unchanged.
    pub command: String,
    pub steps: Vec<Step>,
    /// Schedule; `None` if the job runs once.
    pub timetable: Option<Timetable>,
    /// Time of submission by the clock of the entry process.
    pub submitted: WallMs,
}

/// Maximum estimated CPU time of a step, in thousandths of a core times milliseconds. Sums over the steps
/// of all jobs stay below the range of a number.
const MAX_WORK: u64 = 1_000_000_000_000_000;
/// Maximum number of tasks in one occurrence of a job.
const MAX_TASKS: u64 = 100_000;

impl JobSpec {
    /// Validates the steps: task counts and references to earlier steps.
    ///
    /// # Errors
    ///
    /// Returns a description of the first invalid field.
    pub fn check(&self) -> Result<(), String> {
        if self.steps.is_empty() {
            return Err("a job needs at least one step".to_owned());
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > MAX_TASKS {
            return Err(format!("a job may have at most {MAX_TASKS} tasks, not {tasks}"));
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(format!("step {number}: the number of tasks must be at least 1"));
            }
            let work = step.need.cpu_milli.checked_mul(step.estimate_ms);
            let work = work.and_then(|work| work.checked_mul(u64::from(step.count)));
            if work.is_none_or(|work| work > MAX_WORK) {
                return Err(format!("step {number}: the CPU time of all tasks is out of range"));
            }
            if let Some(after) = step.after.iter().find(|after| usize::from(**after) >= number) {
                return Err(format!("step {number}: dependency {after} is not an earlier step"));
            }
        }
        Ok(())
    }

    /// Returns the estimated duration of the critical path through the steps, in milliseconds.
    pub fn chain_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let ready = step.after.iter().map(|after| ends[usize::from(*after)]).max();
            ends.push(ready.unwrap_or(0) + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }
}
