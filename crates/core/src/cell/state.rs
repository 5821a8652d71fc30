//! Durable state of a cell, rebuilt by replaying its committed events.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::hash;
use crate::id::{AgentId, Epoch, JobId, TaskIndex, TeamId};
use crate::message::report::{AttemptId, Token};
use crate::resources::Resources;

/// Number of different workers on which tasks of a job have to fail before the job fails
/// permanently.
pub const MAX_FAILED_WORKERS: usize = 3;
/// Number of failures of one task, on any workers, after which its job fails permanently. This ends
/// a job in a cell that has fewer than [`MAX_FAILED_WORKERS`] workers, or whose workers are
/// quarantined so that their failures do not count.
pub const MAX_TASK_FAILURES: u32 = 10;
/// Most ended jobs that are kept for status queries and repeated submissions. At the planned load a
/// cell ends about 2,800 jobs a day, so this covers eight hours.
pub const MAX_ENDED_JOBS: usize = 1_000;

/// Specification of a job, as submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    pub id: JobId,
    pub team: TeamId,
    pub class: String,
    /// Number of tasks, all of which run the same command.
    pub tasks: u32,
    /// Resources that each task needs.
    pub need: Resources,
    /// Command in the format of the worker; the scheduler does not interpret it.
    pub command: Bytes,
}

impl JobSpec {
    /// Returns an upper estimate of the encoded size, in bytes, of a job that has not started.
    pub fn encoded_size(&self) -> usize {
        const FIXED_BYTES: usize = 40;
        FIXED_BYTES + self.id.len() + self.team.len() + self.class.len() + self.command.len()
    }

    /// Returns a digest of all fields except the job id, for comparing two specifications.
    pub fn digest(&self) -> u64 {
        let mut encoded = Vec::with_capacity(128 + self.command.len());
        for part in [self.team.as_bytes(), self.class.as_bytes(), &self.command] {
            encoded.extend_from_slice(&(part.len() as u64).to_le_bytes());
            encoded.extend_from_slice(part);
        }
        let need = self.need;
        for number in [self.tasks.into(), need.cpu_milli, need.memory_mib, need.accelerators] {
            encoded.extend_from_slice(&u64::to_le_bytes(number));
        }
        hash::hash64(&encoded)
    }
}

/// State change of a cell. Events are committed in order. An event about an attempt that is not the
/// current one of its task has no effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A new owner began `epoch`.
    TakenOver { epoch: Epoch },
    /// The owner of `epoch` gave the cell up and grants no more leases. `clean` tells that every
    /// agent with attempts had accepted its epoch, so that no earlier owner can still renew their
    /// leases.
    Released { epoch: Epoch, clean: bool },
    /// A job was added. `urgent` tells whether its class was urgent then.
    Submitted { spec: JobSpec, urgent: bool },
    /// An attempt of a task was placed on the worker of `agent`.
    Started { attempt: AttemptId, agent: AgentId },
    /// The attempt completed its task.
    Completed { attempt: AttemptId },
    /// The agent stopped the attempt to free resources. The next attempt of the task resumes from
    /// `checkpoint`, or from the previous checkpoint if there is none.
    Evicted { attempt: AttemptId, checkpoint: Option<Bytes> },
    /// The attempt failed, for the reason that its agent reported.
    Failed {
        attempt: AttemptId,
        reason: String,
        /// Whether the failure counts against the job; false for a quarantined worker.
        counted: bool,
    },
    /// The attempt ended without completing for a reason that is not the job's fault. Its task
    /// waits for another attempt unless the job is being stopped.
    Requeued { attempt: AttemptId, checkpoint: Option<Bytes> },
    /// A caller cancelled the job; its current attempts are stopped.
    CancelRequested { job: JobId },
    /// A task of the job exceeds every worker, the quota of its team or the limit of its class.
    Unrunnable { job: JobId, reason: String },
    /// The worker was found faulty, so its past failures no longer count against jobs.
    Blamed { agent: AgentId },
}

impl Event {
    /// Returns an upper estimate of the encoded size of the event, in bytes.
    pub fn encoded_size(&self) -> usize {
        const FIXED_BYTES: usize = 48;
        // A close estimate, because bursts of cancellations have to share one batch.
        const CANCEL_BYTES: usize = 8;
        let attempt = |attempt: &AttemptId| attempt.job.len();
        FIXED_BYTES
            + match self {
                Event::TakenOver { .. } | Event::Released { .. } => 0,
                Event::Submitted { spec, .. } => {
                    spec.id.len() + spec.team.len() + spec.class.len() + spec.command.len()
                }
                Event::Started { attempt: a, agent } => attempt(a) + agent.len(),
                Event::Completed { attempt: a } => attempt(a),
                Event::Evicted { attempt: a, checkpoint }
                | Event::Requeued { attempt: a, checkpoint } => {
                    attempt(a) + checkpoint.as_ref().map_or(0, Bytes::len)
                }
                Event::Failed { attempt: a, reason, .. } => attempt(a) + reason.len(),
                Event::CancelRequested { job } => return CANCEL_BYTES + job.len(),
                Event::Unrunnable { job, reason } => job.len() + reason.len(),
                Event::Blamed { agent } => agent.len(),
            }
    }

    /// Returns the name of the event for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Event::TakenOver { .. } => "taken_over",
            Event::Released { .. } => "released",
            Event::Submitted { .. } => "submitted",
            Event::Started { .. } => "started",
            Event::Completed { .. } => "completed",
            Event::Evicted { .. } => "evicted",
            Event::Failed { .. } => "failed",
            Event::Requeued { .. } => "requeued",
            Event::CancelRequested { .. } => "cancel_requested",
            Event::Unrunnable { .. } => "unrunnable",
            Event::Blamed { .. } => "blamed",
        }
    }
}

/// Phase in the lifecycle of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Tasks of the job wait for a start or run.
    Active,
    /// Attempts are being stopped; the job then becomes `Cancelled`.
    Cancelling,
    /// Attempts are being stopped; the job then becomes `Failed`.
    Failing,
    /// All tasks have completed.
    Completed,
    /// The job ended because its tasks failed too often.
    Failed,
    /// The job ended because a task can never be placed.
    Unrunnable,
    /// The job ended because a caller cancelled it.
    Cancelled,
}

impl Phase {
    /// Tells whether the job has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Phase::Completed | Phase::Failed | Phase::Unrunnable | Phase::Cancelled)
    }
}

/// Current attempt of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Fencing token of the attempt.
    pub token: Token,
    /// Agent that was chosen to run the attempt.
    pub agent: AgentId,
    /// State of the task with which the attempt began.
    pub resume: Resume,
}

/// State that a task carries from one attempt to the next.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// Last committed checkpoint of the task; `None` if the task starts from the beginning.
    pub checkpoint: Option<Bytes>,
    /// Number of failed attempts of the task so far.
    pub failures: u32,
}

impl Resume {
    /// Replaces the checkpoint, or keeps the old one if `checkpoint` is `None`.
    fn with_checkpoint(self, checkpoint: &Option<Bytes>) -> Self {
        Resume { checkpoint: checkpoint.clone().or(self.checkpoint), ..self }
    }
}

/// Job with the progress of its tasks. Tasks from index `next_unstarted` on were never started and
/// take no space of their own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    pub spec: JobSpec,
    /// Digest of the specification, set when the job ends and its command is dropped.
    digest: Option<u64>,
    /// Whether the class of the job was urgent at submission.
    pub urgent: bool,
    /// Position of the job in the cell's order of submission, from 1.
    pub submit_order: u64,
    pub phase: Phase,
    /// Reason for which the job failed or cannot run.
    pub reason: Option<String>,
    /// Index of the first task that was never started.
    pub next_unstarted: TaskIndex,
    /// Tasks that were started before and wait for another attempt, with the state to resume from.
    pub requeued: BTreeMap<TaskIndex, Resume>,
    /// Current attempt of each task that has one.
    pub attempts: BTreeMap<TaskIndex, Attempt>,
    /// Number of completed tasks.
    pub completed: u32,
    /// Number of attempts started so far.
    pub started: u64,
    /// Number of attempts evicted so far.
    pub evictions: u64,
    /// Agents of the workers on which a task of the job failed, without workers found faulty since.
    pub failed_on: BTreeSet<AgentId>,
    /// Whether a task of the job has failed since one last completed.
    pub failed_recently: bool,
}

impl Job {
    fn new(spec: JobSpec, urgent: bool, submit_order: u64) -> Self {
        Job {
            spec,
            digest: None,
            urgent,
            submit_order,
            phase: Phase::Active,
            reason: None,
            next_unstarted: 0,
            requeued: BTreeMap::new(),
            attempts: BTreeMap::new(),
            completed: 0,
            started: 0,
            evictions: 0,
            failed_on: BTreeSet::new(),
            failed_recently: false,
        }
    }

    /// Tells whether the job was submitted with this specification, job id aside.
    pub fn matches_spec(&self, spec: &JobSpec) -> bool {
        self.digest.unwrap_or_else(|| self.spec.digest()) == spec.digest()
    }

    /// Returns an upper estimate of the encoded size of the job, in bytes.
    pub fn encoded_size(&self) -> usize {
        const ATTEMPT_BYTES: usize = 16;
        let agents = self.attempts.values().map(|attempt| attempt.agent.len());
        let waiting = self.requeued.values();
        let resumes = waiting.chain(self.attempts.values().map(|attempt| &attempt.resume));
        let checkpoints = resumes.filter_map(|resume| resume.checkpoint.as_ref()).map(Bytes::len);
        let failed_on = self.failed_on.iter().map(String::len);
        self.spec.encoded_size()
            + self.reason.as_ref().map_or(0, String::len)
            + ATTEMPT_BYTES * (self.requeued.len() + self.attempts.len())
            + agents.chain(checkpoints).chain(failed_on).sum::<usize>()
    }

    /// Returns the number of tasks of the job that wait for a start, started before or not.
    pub fn waiting(&self) -> u32 {
        match self.phase {
            Phase::Active => self.spec.tasks - self.next_unstarted + self.requeued.len() as u32,
            _ => 0,
        }
    }

    /// Tells whether tasks that were never started wait for a start.
    pub fn has_unstarted(&self) -> bool {
        self.phase == Phase::Active && self.next_unstarted < self.spec.tasks
    }

    /// Tells whether tasks that were started before wait for another attempt.
    pub fn has_requeued(&self) -> bool {
        self.phase == Phase::Active && !self.requeued.is_empty()
    }

    /// Returns the attempt with this id if it is the current one of its task.
    pub fn attempt(&self, id: &AttemptId) -> Option<&Attempt> {
        self.attempts.get(&id.task).filter(|attempt| attempt.token == id.token)
    }

    /// Moves the job to `phase` and drops its requeued tasks. Sets the reason for which the job
    /// failed or cannot run, unless it has one already.
    fn stop(&mut self, phase: Phase, reason: Option<String>) {
        self.phase = phase;
        self.reason = self.reason.take().or(reason);
        self.requeued.clear();
    }

    /// Ends the job if no attempt is left and all tasks completed or the job is being stopped.
    /// Tells whether the job ended.
    fn end_if_done(&mut self) -> bool {
        if self.phase.is_final() || !self.attempts.is_empty() {
            return false;
        }
        let end = match self.phase {
            _ if self.completed == self.spec.tasks => Phase::Completed,
            Phase::Cancelling => Phase::Cancelled,
            Phase::Failing => Phase::Failed,
            _ => return false,
        };
        self.phase = end;
        true
    }
}

/// Durable state of a cell, built by applying its events in order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellState {
    /// Number of the current ownership period; 0 before the first owner.
    pub epoch: Epoch,
    /// Whether the owner of `epoch` released the cell cleanly, as defined at [`Event::Released`].
    pub clean: bool,
    /// Whether the owner before the one of `epoch` had released the cell cleanly.
    pub predecessor_clean: bool,
    /// Number in the last fencing token issued to an attempt.
    pub last_token: u64,
    /// Number of jobs submitted so far.
    pub submitted: u64,
    /// Jobs that have not ended, and the most recent ended jobs.
    #[serde(with = "by_id")]
    pub jobs: BTreeMap<JobId, Job>,
    /// Ended jobs that are kept, in the order in which they ended.
    pub ended: VecDeque<JobId>,
}

impl CellState {
    /// Applies an event to the state.
    pub fn apply(&mut self, event: &Event) {
        match event {
            Event::TakenOver { epoch } => {
                // In epoch 0 there was no owner that could have granted leases.
                self.predecessor_clean = self.clean || self.epoch == 0;
                self.clean = false;
                self.epoch = *epoch;
            }
            Event::Released { epoch, clean } => {
                self.clean = *clean && *epoch == self.epoch;
            }
            Event::Submitted { spec, urgent } => self.submit(spec, *urgent),
            Event::Started { attempt, agent } => self.start(attempt, agent),
            Event::Completed { attempt } => {
                self.end_attempt(attempt, |job, _| {
                    job.completed += 1;
                    job.failed_recently = false;
                });
            }
            Event::Evicted { attempt, checkpoint } => {
                self.end_attempt(attempt, |job, ended| {
                    job.evictions += 1;
                    requeue(job, attempt.task, ended.resume.with_checkpoint(checkpoint));
                });
            }
            Event::Requeued { attempt, checkpoint } => {
                self.end_attempt(attempt, |job, ended| {
                    requeue(job, attempt.task, ended.resume.with_checkpoint(checkpoint));
                });
            }
            Event::Failed { attempt, reason, counted } => {
                self.end_attempt(attempt, |job, ended| {
                    fail(job, attempt.task, ended, reason, *counted);
                });
            }
            Event::CancelRequested { job } => self.stop(job, Phase::Cancelling, None),
            Event::Unrunnable { job, reason } => self.mark_unrunnable(job, reason),
            Event::Blamed { agent } => self.clear_failures(agent),
        }
    }

    /// Returns the fencing token for the next attempt in the current epoch.
    pub fn next_token(&self) -> Token {
        Token { epoch: self.epoch, number: self.last_token + 1 }
    }

    /// Tells whether the attempt with this id is the current one of its task.
    pub fn is_current(&self, id: &AttemptId) -> bool {
        self.jobs.get(&id.job).is_some_and(|job| job.attempt(id).is_some())
    }

    /// Adds a job, unless its id is in use.
    fn submit(&mut self, spec: &JobSpec, urgent: bool) {
        if self.jobs.contains_key(&spec.id) {
            return;
        }
        self.submitted += 1;
        let job = Job::new(spec.clone(), urgent, self.submitted);
        self.jobs.insert(spec.id.clone(), job);
    }

    /// Records a new attempt of a waiting task.
    fn start(&mut self, id: &AttemptId, agent: &AgentId) {
        self.last_token = self.last_token.max(id.token.number);
        let Some(job) = self.jobs.get_mut(&id.job).filter(|job| job.phase == Phase::Active) else {
            return;
        };
        let resume = match job.requeued.remove(&id.task) {
            Some(resume) => resume,
            None if id.task == job.next_unstarted && job.next_unstarted < job.spec.tasks => {
                job.next_unstarted += 1;
                Resume::default()
            }
            None => return,
        };
        job.started += 1;
        let attempt = Attempt { token: id.token, agent: agent.clone(), resume };
        job.attempts.insert(id.task, attempt);
    }

    /// Removes a current attempt and applies `change` to its job.
    fn end_attempt(&mut self, id: &AttemptId, change: impl FnOnce(&mut Job, Attempt)) {
        let Some(job) = self.jobs.get_mut(&id.job).filter(|job| job.attempt(id).is_some()) else {
            return;
        };
        if let Some(attempt) = job.attempts.remove(&id.task) {
            change(job, attempt);
        }
        self.end_if_done(&id.job);
    }

    /// Moves an active job to `phase`, and ends the job if no attempt is left.
    fn stop(&mut self, id: &JobId, phase: Phase, reason: Option<String>) {
        if let Some(job) = self.jobs.get_mut(id).filter(|job| job.phase == Phase::Active) {
            job.stop(phase, reason);
            self.end_if_done(id);
        }
    }

    /// Ends an active job without attempts as unrunnable.
    fn mark_unrunnable(&mut self, id: &JobId, reason: &str) {
        match self.jobs.get_mut(id) {
            Some(job) if job.phase == Phase::Active && job.attempts.is_empty() => {
                job.stop(Phase::Unrunnable, Some(reason.to_owned()));
                self.retire(id);
            }
            _ => {}
        }
    }

    /// Removes a faulty worker from the failures counted against jobs.
    fn clear_failures(&mut self, agent: &AgentId) {
        for job in self.jobs.values_mut().filter(|job| !job.phase.is_final()) {
            job.failed_on.remove(agent);
        }
    }

    /// Ends the job if none of its tasks waits or runs, and then drops what an ended job no longer
    /// needs.
    fn end_if_done(&mut self, id: &JobId) {
        if self.jobs.get_mut(id).is_some_and(Job::end_if_done) {
            self.retire(id);
        }
    }

    /// Drops the command of an ended job, and removes the oldest ended jobs above
    /// [`MAX_ENDED_JOBS`].
    fn retire(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.digest = Some(job.spec.digest());
            job.spec.command = Bytes::new();
            job.failed_on.clear();
        }
        self.ended.push_back(id.clone());
        while self.ended.len() > MAX_ENDED_JOBS {
            if let Some(oldest) = self.ended.pop_front() {
                self.jobs.remove(&oldest);
            }
        }
    }
}

/// Puts a task back into the queue if its job is still active.
fn requeue(job: &mut Job, task: TaskIndex, resume: Resume) {
    if job.phase == Phase::Active {
        job.requeued.insert(task, resume);
    }
}

/// Requeues a failed task, and stops its job once it has failed on [`MAX_FAILED_WORKERS`] workers
/// or the task has failed [`MAX_TASK_FAILURES`] times.
fn fail(job: &mut Job, task: TaskIndex, ended: Attempt, reason: &str, counted: bool) {
    if job.phase != Phase::Active {
        return;
    }
    let failures = ended.resume.failures + 1;
    requeue(job, task, Resume { failures, ..ended.resume });
    job.failed_recently = true;
    if counted {
        job.failed_on.insert(ended.agent);
    }
    if job.failed_on.len() >= MAX_FAILED_WORKERS || failures >= MAX_TASK_FAILURES {
        job.stop(Phase::Failing, Some(reason.to_owned()));
    }
}

/// Encodes the map of jobs as a list, without the ids, which the jobs contain. This keeps the state
/// small, because it has to fit one value of the store.
mod by_id {
    use std::collections::BTreeMap;

    use serde::{Deserialize, Deserializer, Serializer};

    use super::{Job, JobId};

    pub fn serialize<S: Serializer>(
        jobs: &BTreeMap<JobId, Job>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(jobs.values())
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<JobId, Job>, D::Error> {
        let jobs = Vec::<Job>::deserialize(deserializer)?;
        Ok(jobs.into_iter().map(|job| (job.spec.id.clone(), job)).collect())
    }
}
