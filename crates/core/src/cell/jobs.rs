//! Submission, cancellation and listing of jobs.

use bytes::Bytes;
use serde::Serialize;

use crate::cell::owner::{Cell, Effect, Limits, Ticket};
use crate::cell::state::{Event, Job, JobSpec, Phase};
use crate::id::{CellId, JobId, TeamId};

/// Largest size of a job's command, in bytes. The command is sent in start orders and stored in the
/// cell's state.
pub const MAX_COMMAND_BYTES: usize = 4 * 1024;
/// Largest length of a job id, in bytes.
pub const MAX_JOB_ID_BYTES: usize = 128;
/// Largest checkpoint of a task that is stored, in bytes. A checkpoint is a reference to data that
/// the worker saved elsewhere.
pub const MAX_CHECKPOINT_BYTES: usize = 1024;
/// Estimated encoded size of the cell's state, in bytes, above which new jobs are rejected. The
/// state has to fit one value of the store (1 MB).
const MAX_STATE_BYTES_FOR_SUBMIT: usize = 800 * 1024;
/// Estimated encoded size of the cell's state, in bytes, above which new checkpoints are dropped.
const MAX_STATE_BYTES_FOR_CHECKPOINT: usize = 900 * 1024;
/// Most jobs that [`Cell::list`] returns, so that the answer to a query fits one network frame.
const MAX_LISTED_JOBS: usize = 1_000;

/// Reply to the submission of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitReply {
    /// The job was added; the submission is accepted once [`Effect::Durable`] is emitted for the
    /// ticket.
    Created,
    /// The same job exists already; the submission is accepted once [`Effect::Durable`] is emitted
    /// for the ticket.
    Existing,
    /// A job with the same id but a different specification exists.
    Conflict,
    /// The specification is invalid. Each entry is a field name and an error message.
    Invalid(Vec<(&'static str, String)>),
    /// The cell's state is at its size limit, or the owner does not know the configured limits yet.
    Full,
}

/// Reply to a request to cancel a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CancelReply {
    /// The cancellation is accepted once [`Effect::Durable`] is emitted for the ticket.
    Accepted,
    /// The job has already ended without being cancelled.
    Ended,
    /// No job with this id is visible to the caller.
    NotFound,
}

/// Status of a job, as shown to its team and to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct JobView {
    pub id: JobId,
    pub team: TeamId,
    pub class: String,
    pub cell: CellId,
    /// Name of the job's state, such as `queued` or `running`.
    pub state: &'static str,
    /// Reason for which the job failed or cannot run.
    pub reason: Option<String>,
    /// Number of all tasks of the job.
    pub tasks: u32,
    /// Number of tasks that wait for a start.
    pub queued: u32,
    /// Number of tasks with a current attempt.
    pub running: u32,
    /// Number of completed tasks.
    pub completed: u32,
    /// Number of attempts of the job's tasks started so far.
    pub attempts: u64,
    /// Number of attempts of the job's tasks evicted so far.
    pub evictions: u64,
}

impl Cell {
    /// Submits a job. Repeating a submission is safe: the same specification yields
    /// [`SubmitReply::Existing`].
    pub fn submit(&mut self, spec: JobSpec, ticket: Ticket) -> SubmitReply {
        if let Some(job) = self.state.jobs.get(&spec.id) {
            if job.spec.team != spec.team || !job.matches_spec(&spec) {
                return SubmitReply::Conflict;
            }
            self.after_commit(Effect::Durable(ticket));
            return SubmitReply::Existing;
        }
        let Some(limits) = &self.limits else { return SubmitReply::Full };
        let validation_errors = validation_errors(limits, &spec);
        if !validation_errors.is_empty() {
            return SubmitReply::Invalid(validation_errors);
        }
        let size = spec.encoded_size();
        if self.state_size + size > MAX_STATE_BYTES_FOR_SUBMIT {
            return SubmitReply::Full;
        }
        self.state_size += size;
        let urgent = limits.classes.get(&spec.class).is_some_and(|(_, urgent)| *urgent);
        let id = spec.id.clone();
        self.propose(Event::Submitted { spec, urgent });
        self.after_commit(Effect::Durable(ticket));
        self.sync_job(&id);
        SubmitReply::Created
    }

    /// Requests the cancellation of a job. `team` restricts the request to jobs of that team;
    /// operators pass `None` and may cancel any job.
    pub fn cancel(&mut self, team: Option<&str>, id: &str, ticket: Ticket) -> CancelReply {
        let Some(job) = self.visible_job(team, id) else { return CancelReply::NotFound };
        match job.phase {
            Phase::Completed | Phase::Failed | Phase::Unrunnable => CancelReply::Ended,
            Phase::Cancelling | Phase::Cancelled => {
                self.after_commit(Effect::Durable(ticket));
                CancelReply::Accepted
            }
            Phase::Active | Phase::Failing => {
                self.pending_cancels.push_back((id.to_owned(), ticket));
                self.cancelling.insert(id.to_owned());
                CancelReply::Accepted
            }
        }
    }

    /// Proposes the oldest pending cancellation. Tells whether there was one.
    pub(super) fn propose_cancel(&mut self) -> bool {
        let Some((id, ticket)) = self.pending_cancels.pop_front() else { return false };
        self.cancelling.remove(&id);
        if let Some(previous_phase) = self.state.jobs.get(&id).map(|job| job.phase) {
            if previous_phase == Phase::Active {
                self.propose(Event::CancelRequested { job: id.clone() });
                self.sync_job(&id);
                self.stop_attempts(&id, previous_phase);
            }
        }
        self.after_commit(Effect::Durable(ticket));
        true
    }

    /// Returns the job if `team` may see it; `None` as team stands for an operator.
    fn visible_job(&self, team: Option<&str>, id: &str) -> Option<&Job> {
        let job = self.state.jobs.get(id)?;
        team.is_none_or(|team| job.spec.team == team).then_some(job)
    }

    /// Returns the status of one job if `team` may see it.
    pub fn show(&self, cell: &str, team: Option<&str>, id: &str) -> Option<JobView> {
        self.visible_job(team, id).map(|job| self.view(cell, job))
    }

    /// Returns the status of the jobs that `team` may see, newest first, up to a fixed number.
    pub fn list(&self, cell: &str, team: Option<&str>) -> Vec<JobView> {
        let visible =
            self.state.jobs.values().filter(|job| team.is_none_or(|team| job.spec.team == team));
        let mut jobs: Vec<&Job> = visible.collect();
        jobs.sort_by_key(|job| std::cmp::Reverse(job.submit_order));
        jobs.into_iter().take(MAX_LISTED_JOBS).map(|job| self.view(cell, job)).collect()
    }

    /// Returns the status of a job, with `cell` as the id of its cell.
    fn view(&self, cell: &str, job: &Job) -> JobView {
        JobView {
            id: job.spec.id.clone(),
            team: job.spec.team.clone(),
            class: job.spec.class.clone(),
            cell: cell.to_owned(),
            state: self.state_name(job),
            reason: job.reason.clone(),
            tasks: job.spec.tasks,
            queued: job.waiting(),
            running: job.attempts.len() as u32,
            completed: job.completed,
            attempts: job.started,
            evictions: job.evictions,
        }
    }

    /// Returns the name of the job's state. A final state is shown only once its event is
    /// committed.
    fn state_name(&self, job: &Job) -> &'static str {
        let is_durable =
            self.uncommitted_ends.get(&job.spec.id).is_none_or(|end| *end <= self.committed);
        let is_cancelling = self.cancelling.contains(&job.spec.id);
        match job.phase {
            Phase::Cancelled if !is_durable => "cancelling",
            phase if phase.is_final() && !is_durable => "running",
            Phase::Active if is_cancelling => "cancelling",
            Phase::Active if job.attempts.is_empty() => "queued",
            Phase::Active => "running",
            Phase::Cancelling => "cancelling",
            Phase::Failing | Phase::Failed => "failed",
            Phase::Completed => "completed",
            Phase::Unrunnable => "unrunnable",
            Phase::Cancelled => "cancelled",
        }
    }

    /// Recomputes the estimated encoded size of the cell's state.
    pub(super) fn update_state_size(&mut self) {
        self.state_size = self.state.jobs.values().map(Job::encoded_size).sum();
    }

    /// Returns a task's new checkpoint if it fits the size limits, and counts it in the size of the
    /// state. Otherwise returns `None`, and the task resumes from its previous checkpoint.
    pub(super) fn admit_checkpoint(&mut self, checkpoint: &Option<Bytes>) -> Option<Bytes> {
        let checkpoint = checkpoint.as_ref().filter(|bytes| bytes.len() <= MAX_CHECKPOINT_BYTES)?;
        if self.state_size + checkpoint.len() > MAX_STATE_BYTES_FOR_CHECKPOINT {
            return None;
        }
        self.state_size += checkpoint.len();
        Some(checkpoint.clone())
    }
}

/// Returns the invalid fields of a job specification, each with an error message.
fn validation_errors(limits: &Limits, spec: &JobSpec) -> Vec<(&'static str, String)> {
    let mut validation_errors = Vec::new();
    if spec.id.is_empty() || spec.id.len() > MAX_JOB_ID_BYTES || spec.id.contains('/') {
        validation_errors
            .push(("id", format!("must have 1 to {MAX_JOB_ID_BYTES} bytes and no slash")));
    }
    if spec.tasks == 0 {
        validation_errors.push(("tasks", "must be at least 1".to_owned()));
    }
    if spec.need.is_zero() {
        validation_errors.push(("need", "must not be zero".to_owned()));
    }
    if spec.command.len() > MAX_COMMAND_BYTES {
        validation_errors.push(("command", format!("must have at most {MAX_COMMAND_BYTES} bytes")));
    }
    if !limits.teams.contains_key(&spec.team) {
        validation_errors.push(("team", format!("unknown team {}", spec.team)));
    }
    if !limits.classes.contains_key(&spec.class) {
        validation_errors.push(("class", format!("unknown class {}", spec.class)));
    }
    validation_errors
}
