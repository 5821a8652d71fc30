//! Durable state of a cell: the replay of its events.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::hash;
use crate::id::{AgentId, Epoch, JobId, TaskIndex, TeamId};
use crate::message::report::{AttemptId, Token};
use crate::resources::Resources;

/// A job fails permanently after failures on this many different workers.
pub const MAX_FAILED_WORKERS: usize = 3;
/// A job fails permanently after this many failures of one task, on whichever workers. Ends a job
/// in a cell with fewer than [`FAULTY_WORKERS`] workers, or whose workers are under suspicion too.
pub const MAX_TASK_FAILURES: u32 = 10;
/// Ended jobs that are kept for `show` and for repeated submits. A cell ends about 2,800 jobs a
/// day at plan size, so this covers eight hours.
pub const MAX_ENDED_JOBS: usize = 1_000;

/// What a submitter asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    pub id: JobId,
    pub team: TeamId,
    pub class: String,
    pub tasks: u32,
    pub need: Resources,
    pub command: Bytes,
}

impl JobSpec {
    /// Returns an upper estimate of the encoded size of a job that has not started.
    pub fn size(&self) -> usize {
        const FIXED_BYTES: usize = 40;
        FIXED_BYTES + self.id.len() + self.team.len() + self.class.len() + self.command.len()
    }

    /// Returns a digest that tells whether two specifications are the same.
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
        hash::stable(&encoded)
    }
}

/// A committed change of a cell. An event about an attempt that is not the task's current one
/// changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    TakenOver {
        epoch: Epoch,
    },
    /// The owner of `epoch` grants nothing more. `clean`: it had confirmed each attempt, so that
    /// no earlier owner can be renewing one.
    Released {
        epoch: Epoch,
        clean: bool,
    },
    Submitted {
        spec: JobSpec,
        urgent: bool,
    },
    Started {
        attempt: AttemptId,
        agent: AgentId,
    },
    Completed {
        attempt: AttemptId,
    },
    Evicted {
        attempt: AttemptId,
        checkpoint: Option<Bytes>,
    },
    Failed {
        attempt: AttemptId,
        reason: String,
        /// Whether the failure counts against the job.
        counted: bool,
    },
    /// The attempt ended without a result and not by fault of its job.
    Requeued {
        attempt: AttemptId,
        checkpoint: Option<Bytes>,
    },
    CancelRequested {
        job: JobId,
    },
    Unrunnable {
        job: JobId,
        reason: String,
    },
    /// The worker is at fault: its failures no longer count against jobs.
    Blamed {
        agent: AgentId,
    },
}

impl Event {
    /// Returns an upper estimate of the encoded size in bytes.
    pub fn size(&self) -> usize {
        const FIXED_BYTES: usize = 48;
        // Estimated closely, because cancellations arrive in bursts and share a batch.
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

    /// Name of the transition, for logs and metrics.
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

/// Where a job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    Active,
    /// Attempts are being stopped; ends as cancelled.
    Cancelling,
    /// Attempts are being stopped; ends as failed.
    Failing,
    Completed,
    Failed,
    Unrunnable,
    Cancelled,
}

impl Phase {
    /// Tells whether nothing about the job can change any more.
    pub fn is_final(self) -> bool {
        matches!(self, Phase::Completed | Phase::Failed | Phase::Unrunnable | Phase::Cancelled)
    }
}

/// The current attempt of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    pub token: Token,
    pub agent: AgentId,
    pub resume: Resume,
}

/// What the next attempt of a task starts from.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// The last committed checkpoint.
    pub checkpoint: Option<Bytes>,
    /// Failures of the task so far.
    pub failures: u32,
}

impl Resume {
    fn with_checkpoint(self, checkpoint: &Option<Bytes>) -> Self {
        Resume { checkpoint: checkpoint.clone().or(self.checkpoint), ..self }
    }
}

/// A job. Tasks from `fresh` on were never started and have no record of their own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    pub spec: JobSpec,
    /// Digest of an ended job, whose command is no longer kept.
    digest: Option<u64>,
    pub urgent: bool,
    /// Position in the order of submission.
    pub submit_order: u64,
    pub phase: Phase,
    pub reason: Option<String>,
    /// First task that was never started.
    pub next_unstarted: TaskIndex,
    /// Tasks that wait for another attempt.
    pub requeued: BTreeMap<TaskIndex, Resume>,
    pub attempts: BTreeMap<TaskIndex, Attempt>,
    pub completed: u32,
    pub started: u64,
    pub evictions: u64,
    /// Workers on which the job failed and that are not known to be at fault.
    pub failed_on: BTreeSet<AgentId>,
    /// Whether the job failed on any worker since a task of it completed.
    pub is_suspect: bool,
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
            is_suspect: false,
        }
    }

    /// Tells whether the job was submitted with this specification.
    pub fn matches_spec(&self, spec: &JobSpec) -> bool {
        self.digest.unwrap_or_else(|| self.spec.digest()) == spec.digest()
    }

    /// Returns an upper estimate of the encoded size in bytes.
    pub fn size(&self) -> usize {
        const ATTEMPT_BYTES: usize = 16;
        let agents = self.attempts.values().map(|attempt| attempt.agent.len());
        let waiting = self.requeued.values();
        let resumes = waiting.chain(self.attempts.values().map(|attempt| &attempt.resume));
        let checkpoints = resumes.filter_map(|resume| resume.checkpoint.as_ref()).map(Bytes::len);
        let failed_on = self.failed_on.iter().map(String::len);
        self.spec.size()
            + self.reason.as_ref().map_or(0, String::len)
            + ATTEMPT_BYTES * (self.requeued.len() + self.attempts.len())
            + agents.chain(checkpoints).chain(failed_on).sum::<usize>()
    }

    /// Number of tasks that wait for a start.
    pub fn waiting(&self) -> u32 {
        match self.phase {
            Phase::Active => self.spec.tasks - self.next_unstarted + self.requeued.len() as u32,
            _ => 0,
        }
    }

    /// Tells whether tasks wait that were never started.
    pub fn has_unstarted(&self) -> bool {
        self.phase == Phase::Active && self.next_unstarted < self.spec.tasks
    }

    /// Tells whether tasks wait that were started before.
    pub fn has_requeued(&self) -> bool {
        self.phase == Phase::Active && !self.requeued.is_empty()
    }

    /// Returns the current attempt if `id` names it.
    pub fn attempt(&self, id: &AttemptId) -> Option<&Attempt> {
        self.attempts.get(&id.task).filter(|attempt| attempt.token == id.token)
    }

    /// Gives up the tasks that wait and ends the job once no attempt is left.
    fn stop(&mut self, phase: Phase, reason: Option<String>) {
        self.phase = phase;
        self.reason = self.reason.take().or(reason);
        self.requeued.clear();
    }

    /// Ends the job when no task waits or runs. Tells whether it ended.
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

/// Durable state of a cell.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellState {
    pub epoch: Epoch,
    /// Whether the owner of `epoch` released the cell with each attempt confirmed.
    pub clean: bool,
    /// Whether the predecessor of the owner of `epoch` had released it so.
    pub predecessor_clean: bool,
    /// Number of the last token.
    pub last_token: u64,
    /// Jobs submitted so far.
    pub submitted: u64,
    #[serde(with = "by_id")]
    pub jobs: BTreeMap<JobId, Job>,
    /// Ended jobs, oldest first.
    pub ended: VecDeque<JobId>,
}

impl CellState {
    /// Applies a committed event.
    pub fn apply(&mut self, event: &Event) {
        match event {
            Event::TakenOver { epoch } => {
                // An epoch of 0 has never granted anything.
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
                    job.is_suspect = false;
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

    /// Returns the next token of the current epoch.
    pub fn next_token(&self) -> Token {
        Token { epoch: self.epoch, number: self.last_token + 1 }
    }

    /// Tells whether `id` names the current attempt of its task.
    pub fn is_current(&self, id: &AttemptId) -> bool {
        self.jobs.get(&id.job).is_some_and(|job| job.attempt(id).is_some())
    }

    fn submit(&mut self, spec: &JobSpec, urgent: bool) {
        if self.jobs.contains_key(&spec.id) {
            return;
        }
        self.submitted += 1;
        let job = Job::new(spec.clone(), urgent, self.submitted);
        self.jobs.insert(spec.id.clone(), job);
    }

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

    fn end_attempt(&mut self, id: &AttemptId, change: impl FnOnce(&mut Job, Attempt)) {
        let Some(job) = self.jobs.get_mut(&id.job).filter(|job| job.attempt(id).is_some()) else {
            return;
        };
        if let Some(attempt) = job.attempts.remove(&id.task) {
            change(job, attempt);
        }
        self.end_if_done(&id.job);
    }

    fn stop(&mut self, id: &JobId, phase: Phase, reason: Option<String>) {
        if let Some(job) = self.jobs.get_mut(id).filter(|job| job.phase == Phase::Active) {
            job.stop(phase, reason);
            self.end_if_done(id);
        }
    }

    fn mark_unrunnable(&mut self, id: &JobId, reason: &str) {
        match self.jobs.get_mut(id) {
            Some(job) if job.phase == Phase::Active && job.attempts.is_empty() => {
                job.stop(Phase::Unrunnable, Some(reason.to_owned()));
                self.retire(id);
            }
            _ => {}
        }
    }

    fn clear_failures(&mut self, agent: &AgentId) {
        for job in self.jobs.values_mut().filter(|job| !job.phase.is_final()) {
            job.failed_on.remove(agent);
        }
    }

    fn end_if_done(&mut self, id: &JobId) {
        if self.jobs.get_mut(id).is_some_and(Job::end_if_done) {
            self.retire(id);
        }
    }

    /// Keeps an ended job without its command, and forgets the oldest ended jobs.
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

fn requeue(job: &mut Job, task: TaskIndex, resume: Resume) {
    if job.phase == Phase::Active {
        job.requeued.insert(task, resume);
    }
}

fn fail(job: &mut Job, task: TaskIndex, ended: Attempt, reason: &str, counted: bool) {
    if job.phase != Phase::Active {
        return;
    }
    let failures = ended.resume.failures + 1;
    requeue(job, task, Resume { failures, ..ended.resume });
    job.is_suspect = true;
    if counted {
        job.failed_on.insert(ended.agent);
    }
    if job.failed_on.len() >= MAX_FAILED_WORKERS || failures >= MAX_TASK_FAILURES {
        job.stop(Phase::Failing, Some(reason.to_owned()));
    }
}

/// Encodes jobs without repeating their ids: the state has to fit a value of the store.
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
