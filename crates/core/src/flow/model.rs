//! What callers ask for.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::resources::Resources;

/// Number of a job; callers write it as 16 hexadecimal digits.
pub type JobNumber = u64;
/// Number of a start of a task. Rises with each start.
pub type Run = u32;
/// Due time of an occurrence, in milliseconds since 1970.
pub type WallMs = u64;

/// Names one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    pub job: JobNumber,
    pub occurrence: u32,
    pub step: u16,
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
        let fail = || format!("`{text}` does not name a task");
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

/// Reads the number of a job: 16 lower-case hexadecimal digits.
pub fn parse_job(text: &str) -> Option<JobNumber> {
    let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    (text.len() == 16 && text.bytes().all(is_digit))
        .then(|| JobNumber::from_str_radix(text, 16).ok())
        .flatten()
}

/// Who must be asked which workers may run a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdvicePolicy {
    pub valid_ms: u64,
}

/// The queue a job was submitted to, as configured at that moment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Host and prefix.
    pub name: String,
    pub service: String,
    /// 0 comes first.
    pub priority: u8,
    /// Failures of one task after which the job fails.
    pub attempts: u32,
    /// Objective: `stretch` times the longest chain, and `slack_ms` more.
    pub stretch: f64,
    pub slack_ms: u64,
    pub advice: Option<AdvicePolicy>,
}

/// Tasks that are alike.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    pub count: u32,
    pub need: Resources,
    /// Rough duration of one task.
    pub estimate_ms: u64,
    /// Steps that must be done before.
    pub after: Vec<u16>,
    /// Whether tasks save their progress.
    pub has_checkpoints: bool,
    /// Whether tasks run only all together.
    pub gang: bool,
    /// Whether tasks are slowed when they run on more than one rack.
    pub same_rack: bool,
    /// Label the worker must have.
    pub required_label: Option<String>,
    /// Rack of the data.
    pub preferred_rack: Option<String>,
    /// At most this many tasks on one worker; 0: no limit.
    pub per_worker: u32,
    /// Whether tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: String,
    /// Tail latency below which a lasting task must stay; 0: none.
    pub target_ms: u32,
    /// Whether tasks take only processors that others leave unused.
    pub best_effort: bool,
    /// Lasting tasks that may be away at a time by our doing.
    pub max_unavailable: u32,
}

impl Step {
    /// Returns what a task reserves on its worker.
    pub fn reserved(&self) -> Resources {
        match self.best_effort {
            true => Resources { cpu_milli: 0, ..self.need },
            false => self.need,
        }
    }
}

/// When the steps of a job run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timetable {
    pub first: WallMs,
    pub interval_ms: u64,
    pub times: u32,
}

/// A job as submitted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    pub queue: Queue,
    /// Passed to the worker unchanged.
    pub command: String,
    pub steps: Vec<Step>,
    pub timetable: Option<Timetable>,
    /// Time of day at submission, by the entry's clock.
    pub submitted: WallMs,
}

/// Largest accepted number of tasks of one job, in one occurrence.
const MAX_TASKS: u64 = 100_000;

impl JobSpec {
    /// Checks what the steps refer to.
    ///
    /// # Errors
    ///
    /// Names the first field that is wrong.
    pub fn check(&self) -> Result<(), String> {
        if self.steps.is_empty() {
            return Err("a job needs at least one step".to_owned());
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > MAX_TASKS {
            return Err(format!("{tasks} tasks exceed {MAX_TASKS}"));
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(format!("step {number}: the number of tasks must be at least 1"));
            }
            if let Some(after) = step.after.iter().find(|after| usize::from(**after) >= number) {
                return Err(format!("step {number}: {after} is not an earlier step"));
            }
        }
        Ok(())
    }

    /// Returns the duration of the longest chain of steps, in milliseconds.
    pub fn chain_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let ready = step.after.iter().map(|after| ends[usize::from(*after)]).max();
            ends.push(ready.unwrap_or(0) + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }
}
