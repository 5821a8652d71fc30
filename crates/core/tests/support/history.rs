//! Histories of a cell, and a checker that tests a whole history against the rules of the task
//! lifecycle. The model of the checker is independent of `CellState`, the code under test.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use peridotfold_core::cell::state::{CellState, Event, Phase};
use peridotfold_core::id::{JobId, TaskIndex};
use peridotfold_core::message::report::{AttemptId, Token};

/// One entry of a history, in the order in which things happened.
#[derive(Debug, Clone)]
pub enum Observation {
    /// A worker started to execute an attempt, from the given checkpoint.
    ExecutionStarted { attempt: AttemptId, checkpoint: Option<Bytes> },
    /// A worker stopped executing an attempt.
    ExecutionEnded { attempt: AttemptId },
    /// An owner received a report that an attempt was evicted with the given checkpoint.
    EvictionReported { attempt: AttemptId, checkpoint: Option<Bytes> },
    /// An event was committed to the journal of the cell.
    Committed(Event),
    /// The submitter of a job received the confirmation that it was accepted.
    JobAccepted(JobId),
    /// An agent received the acknowledgement of an attempt's result.
    Acknowledged(AttemptId),
}

/// The lifecycle rule that a history breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// Two attempts of a task were live at once.
    ConcurrentAttempts,
    /// An attempt was executed twice.
    RepeatedExecution,
    /// An attempt was executed without a committed start, or started without a submitted job.
    ExecutionWithoutStart,
    /// An attempt resumed from, or was evicted with, another checkpoint than expected.
    WrongCheckpoint,
    StartAfterCancel,
    StartAfterCompletion,
    CompletedTwice,
    /// The fencing token of an attempt is not higher than those before.
    TokenNotIncreased,
    /// A job was confirmed to its submitter, but is not in the state.
    AcceptedJobMissing,
    /// A result was acknowledged before it was committed.
    AcknowledgedBeforeCommit,
    /// A job had not reached a final phase at the end of the history.
    JobNotFinished,
    /// The final phase or counts of a job do not follow from the events.
    WrongFinalState,
}

#[derive(Default)]
struct Task {
    /// Token of the attempt whose start is committed and whose end is not.
    current_token: Option<Token>,
    last_token: Token,
    done: bool,
    checkpoint: Option<Bytes>,
    /// Checkpoint from which each attempt must resume.
    start_checkpoints: BTreeMap<Token, Option<Bytes>>,
}

#[derive(Default)]
struct Job {
    tasks: BTreeMap<TaskIndex, Task>,
    task_count: u32,
    cancelled: bool,
}

impl Job {
    fn is_idle(&self) -> bool {
        self.tasks.values().all(|task| task.current_token.is_none())
    }

    fn done(&self) -> u32 {
        self.tasks.values().filter(|task| task.done).count() as u32
    }
}

#[derive(Default)]
struct Model {
    jobs: BTreeMap<JobId, Job>,
    /// Attempts that workers are executing.
    executing: BTreeMap<(JobId, TaskIndex), Token>,
    /// All attempts that any worker has started to execute.
    executed: BTreeSet<AttemptId>,
    /// Checkpoints in all reports of an eviction.
    reported_checkpoints: BTreeMap<AttemptId, Vec<Option<Bytes>>>,
    accepted_jobs: BTreeSet<JobId>,
}

type CheckResult = Result<(), Violation>;

fn ensure(is_consistent: bool, violation: Violation) -> CheckResult {
    is_consistent.then_some(()).ok_or(violation)
}

/// Checks a history, and `final_state`, the state after replaying its committed events.
pub fn check(history: &[Observation], final_state: &CellState) -> Result<(), (Violation, String)> {
    let mut model = Model::default();
    for (index, observation) in history.iter().enumerate() {
        model.apply(observation).map_err(|violation| {
            // Print the whole history when only one seed runs.
            if std::env::var("PERIDOTFOLD_SEED").is_ok() {
                history[..=index].iter().enumerate().for_each(|(i, f)| eprintln!("{i} {f:?}"));
            }
            (violation, format!("observation {index}: {observation:?}"))
        })?;
    }
    model.check_final_state(final_state)
}

impl Model {
    fn apply(&mut self, observation: &Observation) -> CheckResult {
        match observation {
            Observation::ExecutionStarted { attempt, checkpoint } => {
                self.start_execution(attempt, checkpoint)
            }
            Observation::ExecutionEnded { attempt } => {
                let key = (attempt.job.clone(), attempt.task);
                if self.executing.get(&key) == Some(&attempt.token) {
                    self.executing.remove(&key);
                }
                Ok(())
            }
            Observation::EvictionReported { attempt, checkpoint } => {
                self.reported_checkpoints
                    .entry(attempt.clone())
                    .or_default()
                    .push(checkpoint.clone());
                Ok(())
            }
            Observation::Committed(event) => self.apply_event(event),
            Observation::JobAccepted(job) => {
                self.accepted_jobs.insert(job.clone());
                ensure(self.jobs.contains_key(job), Violation::AcceptedJobMissing)
            }
            Observation::Acknowledged(attempt) => {
                let current_token = self.task(attempt).and_then(|task| task.current_token);
                ensure(current_token != Some(attempt.token), Violation::AcknowledgedBeforeCommit)
            }
        }
    }

    fn task(&mut self, attempt: &AttemptId) -> Option<&mut Task> {
        self.jobs.get_mut(&attempt.job)?.tasks.get_mut(&attempt.task)
    }

    fn start_execution(&mut self, attempt: &AttemptId, checkpoint: &Option<Bytes>) -> CheckResult {
        let job = self.jobs.get(&attempt.job).ok_or(Violation::ExecutionWithoutStart)?;
        let task = job.tasks.get(&attempt.task).ok_or(Violation::ExecutionWithoutStart)?;
        let start_checkpoint =
            task.start_checkpoints.get(&attempt.token).ok_or(Violation::ExecutionWithoutStart)?;
        ensure(!(job.cancelled && job.is_idle()), Violation::StartAfterCancel)?;
        ensure(start_checkpoint == checkpoint, Violation::WrongCheckpoint)?;
        ensure(self.executed.insert(attempt.clone()), Violation::RepeatedExecution)?;
        let key = (attempt.job.clone(), attempt.task);
        ensure(self.executing.insert(key, attempt.token).is_none(), Violation::ConcurrentAttempts)
    }

    fn apply_event(&mut self, event: &Event) -> CheckResult {
        match event {
            Event::Submitted { spec, .. } => {
                let task_count = spec.tasks;
                let job = Job { task_count, ..Job::default() };
                self.jobs.entry(spec.id.clone()).or_insert(job);
                Ok(())
            }
            Event::CancelRequested { job } => {
                if let Some(job) = self.jobs.get_mut(job) {
                    job.cancelled = true;
                }
                Ok(())
            }
            Event::Started { attempt, .. } => self.apply_start(attempt),
            Event::Completed { attempt } => {
                let Some(task) = self.task(attempt) else { return Ok(()) };
                if task.current_token == Some(attempt.token) {
                    ensure(!task.done, Violation::CompletedTwice)?;
                    task.done = true;
                    task.current_token = None;
                }
                Ok(())
            }
            Event::Evicted { attempt, checkpoint }
                if self
                    .reported_checkpoints
                    .get(attempt)
                    .is_some_and(|all| !all.contains(checkpoint)) =>
            {
                Err(Violation::WrongCheckpoint)
            }
            Event::Evicted { attempt, checkpoint } | Event::Requeued { attempt, checkpoint } => {
                self.end_attempt(attempt, checkpoint.clone());
                Ok(())
            }
            Event::Failed { attempt, .. } => {
                self.end_attempt(attempt, None);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn end_attempt(&mut self, attempt: &AttemptId, checkpoint: Option<Bytes>) {
        if let Some(task) =
            self.task(attempt).filter(|task| task.current_token == Some(attempt.token))
        {
            task.current_token = None;
            task.checkpoint = checkpoint.or(task.checkpoint.take());
        }
    }

    fn apply_start(&mut self, attempt: &AttemptId) -> CheckResult {
        let job = self.jobs.get_mut(&attempt.job).ok_or(Violation::ExecutionWithoutStart)?;
        ensure(!job.cancelled, Violation::StartAfterCancel)?;
        let task = job.tasks.entry(attempt.task).or_default();
        ensure(!task.done, Violation::StartAfterCompletion)?;
        ensure(task.current_token.is_none(), Violation::ConcurrentAttempts)?;
        ensure(attempt.token > task.last_token, Violation::TokenNotIncreased)?;
        task.last_token = attempt.token;
        task.current_token = Some(attempt.token);
        task.start_checkpoints.insert(attempt.token, task.checkpoint.clone());
        Ok(())
    }

    fn check_final_state(&self, final_state: &CellState) -> Result<(), (Violation, String)> {
        for id in &self.accepted_jobs {
            let model = &self.jobs[id];
            let job =
                final_state.jobs.get(id).ok_or((Violation::AcceptedJobMissing, id.clone()))?;
            let is_consistent = match job.phase {
                Phase::Completed => model.done() == model.task_count,
                Phase::Cancelled => model.cancelled && model.done() < model.task_count,
                Phase::Failed | Phase::Unrunnable => model.done() < model.task_count,
                Phase::Active | Phase::Cancelling | Phase::Failing => {
                    return Err((Violation::JobNotFinished, format!("{id}: {job:?}")));
                }
            };
            let is_consistent = is_consistent && job.completed == model.done() && model.is_idle();
            ensure(is_consistent, Violation::WrongFinalState)
                .map_err(|v| (v, format!("{id}: {job:?}")))?;
        }
        Ok(())
    }
}
