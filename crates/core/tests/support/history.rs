//! Histories of a cell, and the check of a whole history against the lifecycle rules. The model
//! here is independent of `CellState`.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use peridotfold_core::cell::state::{CellState, Event, Phase};
use peridotfold_core::id::{JobId, TaskIndex};
use peridotfold_core::message::report::{AttemptId, Token};

#[derive(Debug, Clone)]
pub enum Fact {
    /// A worker began to run an attempt.
    Begun {
        attempt: AttemptId,
        checkpoint: Option<Bytes>,
    },
    /// An attempt no longer runs.
    Ended {
        attempt: AttemptId,
    },
    /// An owner took in a report that the attempt was evicted.
    ReportedEvicted {
        attempt: AttemptId,
        checkpoint: Option<Bytes>,
    },
    Committed(Event),
    /// A submitter was told that the job is accepted.
    Promised(JobId),
    /// An agent was told that a result needs no repetition.
    Acknowledged(AttemptId),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    TwoLive,
    BegunTwice,
    NotOrdered,
    WrongCheckpoint,
    StartAfterCancel,
    StartAfterEnd,
    CompletedTwice,
    TokenFell,
    PromiseBroken,
    AcknowledgedEarly,
    NotEnded,
    WrongEnd,
}

#[derive(Default)]
struct Task {
    current: Option<Token>,
    last: Token,
    done: bool,
    checkpoint: Option<Bytes>,
    resumes: BTreeMap<Token, Option<Bytes>>,
}

#[derive(Default)]
struct Job {
    tasks: BTreeMap<TaskIndex, Task>,
    size: u32,
    cancelled: bool,
}

impl Job {
    fn is_idle(&self) -> bool {
        self.tasks.values().all(|task| task.current.is_none())
    }

    fn done(&self) -> u32 {
        self.tasks.values().filter(|task| task.done).count() as u32
    }
}

#[derive(Default)]
struct Model {
    jobs: BTreeMap<JobId, Job>,
    live: BTreeMap<(JobId, TaskIndex), Token>,
    begun: BTreeSet<AttemptId>,
    reported: BTreeMap<AttemptId, Vec<Option<Bytes>>>,
    promised: BTreeSet<JobId>,
}

type Checked = Result<(), Violation>;

fn ensure(holds: bool, violation: Violation) -> Checked {
    holds.then_some(()).ok_or(violation)
}

/// Checks a history, and the state to which its committed events lead.
pub fn check(history: &[Fact], end: &CellState) -> Result<(), (Violation, String)> {
    let mut model = Model::default();
    for (index, fact) in history.iter().enumerate() {
        model.apply(fact).map_err(|violation| {
            // With PERIDOTFOLD_SEED, the whole history is of use.
            if std::env::var("PERIDOTFOLD_SEED").is_ok() {
                history[..=index].iter().enumerate().for_each(|(i, f)| eprintln!("{i} {f:?}"));
            }
            (violation, format!("fact {index}: {fact:?}"))
        })?;
    }
    model.check_end(end)
}

impl Model {
    fn apply(&mut self, fact: &Fact) -> Checked {
        match fact {
            Fact::Begun { attempt, checkpoint } => self.begin(attempt, checkpoint),
            Fact::Ended { attempt } => {
                let key = (attempt.job.clone(), attempt.task);
                if self.live.get(&key) == Some(&attempt.token) {
                    self.live.remove(&key);
                }
                Ok(())
            }
            Fact::ReportedEvicted { attempt, checkpoint } => {
                self.reported.entry(attempt.clone()).or_default().push(checkpoint.clone());
                Ok(())
            }
            Fact::Committed(event) => self.commit(event),
            Fact::Promised(job) => {
                self.promised.insert(job.clone());
                ensure(self.jobs.contains_key(job), Violation::PromiseBroken)
            }
            Fact::Acknowledged(attempt) => {
                let current = self.task(attempt).and_then(|task| task.current);
                ensure(current != Some(attempt.token), Violation::AcknowledgedEarly)
            }
        }
    }

    fn task(&mut self, attempt: &AttemptId) -> Option<&mut Task> {
        self.jobs.get_mut(&attempt.job)?.tasks.get_mut(&attempt.task)
    }

    fn begin(&mut self, attempt: &AttemptId, checkpoint: &Option<Bytes>) -> Checked {
        let job = self.jobs.get(&attempt.job).ok_or(Violation::NotOrdered)?;
        let task = job.tasks.get(&attempt.task).ok_or(Violation::NotOrdered)?;
        let resume = task.resumes.get(&attempt.token).ok_or(Violation::NotOrdered)?;
        ensure(!(job.cancelled && job.is_idle()), Violation::StartAfterCancel)?;
        ensure(resume == checkpoint, Violation::WrongCheckpoint)?;
        ensure(self.begun.insert(attempt.clone()), Violation::BegunTwice)?;
        let key = (attempt.job.clone(), attempt.task);
        ensure(self.live.insert(key, attempt.token).is_none(), Violation::TwoLive)
    }

    fn commit(&mut self, event: &Event) -> Checked {
        match event {
            Event::Submitted { spec, .. } => {
                let size = spec.tasks;
                let job = Job { size, ..Job::default() };
                self.jobs.entry(spec.id.clone()).or_insert(job);
                Ok(())
            }
            Event::CancelRequested { job } => {
                if let Some(job) = self.jobs.get_mut(job) {
                    job.cancelled = true;
                }
                Ok(())
            }
            Event::Started { attempt, .. } => self.start(attempt),
            Event::Completed { attempt } => {
                let Some(task) = self.task(attempt) else { return Ok(()) };
                if task.current == Some(attempt.token) {
                    ensure(!task.done, Violation::CompletedTwice)?;
                    task.done = true;
                    task.current = None;
                }
                Ok(())
            }
            Event::Evicted { attempt, checkpoint }
                if self.reported.get(attempt).is_some_and(|all| !all.contains(checkpoint)) =>
            {
                Err(Violation::WrongCheckpoint)
            }
            Event::Evicted { attempt, checkpoint } | Event::Requeued { attempt, checkpoint } => {
                self.give_up(attempt, checkpoint.clone());
                Ok(())
            }
            Event::Failed { attempt, .. } => {
                self.give_up(attempt, None);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn give_up(&mut self, attempt: &AttemptId, checkpoint: Option<Bytes>) {
        if let Some(task) = self.task(attempt).filter(|task| task.current == Some(attempt.token)) {
            task.current = None;
            task.checkpoint = checkpoint.or(task.checkpoint.take());
        }
    }

    fn start(&mut self, attempt: &AttemptId) -> Checked {
        let job = self.jobs.get_mut(&attempt.job).ok_or(Violation::NotOrdered)?;
        ensure(!job.cancelled, Violation::StartAfterCancel)?;
        let task = job.tasks.entry(attempt.task).or_default();
        ensure(!task.done, Violation::StartAfterEnd)?;
        ensure(task.current.is_none(), Violation::TwoLive)?;
        ensure(attempt.token > task.last, Violation::TokenFell)?;
        task.last = attempt.token;
        task.current = Some(attempt.token);
        task.resumes.insert(attempt.token, task.checkpoint.clone());
        Ok(())
    }

    fn check_end(&self, end: &CellState) -> Result<(), (Violation, String)> {
        for id in &self.promised {
            let model = &self.jobs[id];
            let job = end.jobs.get(id).ok_or((Violation::PromiseBroken, id.clone()))?;
            let holds = match job.phase {
                Phase::Completed => model.done() == model.size,
                Phase::Cancelled => model.cancelled && model.done() < model.size,
                Phase::Failed | Phase::Unrunnable => model.done() < model.size,
                Phase::Active | Phase::Cancelling | Phase::Failing => {
                    return Err((Violation::NotEnded, format!("{id}: {job:?}")));
                }
            };
            let holds = holds && job.completed == model.done() && model.is_idle();
            ensure(holds, Violation::WrongEnd).map_err(|v| (v, format!("{id}: {job:?}")))?;
        }
        Ok(())
    }
}
