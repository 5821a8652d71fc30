//! Volatile records of a cell's workers, rebuilt from agents' reports after a takeover.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::id::{AgentId, Epoch, Incarnation, JobId, TaskIndex};
use crate::message::announce::AgentState;
use crate::message::report::{AttemptId, Token};
use crate::resources::Resources;
use crate::time::Time;

/// Divisor of the share of a worker's capacity that is kept free for urgent work: one eighth. Other
/// tasks that grow or are throttled hold their reservations for minutes, too long for urgent work.
const URGENT_SHARE_DIVISOR: u64 = 8;

/// Progress of an attempt, as known to this owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// Placed by this owner, and not listed in a report yet.
    Ordered,
    /// Placed by an earlier owner, and not listed in a report to this owner yet.
    Inherited,
    /// Listed in a report.
    Running,
}

/// Last answer that carried the start order of an attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct StartSent {
    /// Sequence number of the answered report.
    pub sequence: u64,
    /// Time at which the answer was built.
    pub at: Time,
}

/// Attempt that may be running on a worker.
#[derive(Debug, Clone)]
pub(super) struct LiveAttempt {
    pub token: Token,
    /// Declared need of the task.
    pub need: Resources,
    /// Resource usage of the attempt in its agent's last report; zero if unknown.
    pub measured: Resources,
    /// Largest measured usage among the tasks of the same job, at full speed, known at the agent's
    /// last report.
    pub expected_usage: Resources,
    /// Number that this owner has assigned to the class of the job.
    pub class: usize,
    pub stage: Stage,
    /// Incarnation of the agent to which the start order may be sent; `None` if an earlier owner
    /// placed the attempt.
    pub target: Option<Incarnation>,
    /// Sequence number of the event whose commit allows the start order.
    pub start_event: u64,
    /// Last answer with the start order; `None` if the order was not sent yet.
    pub start_sent: Option<StartSent>,
    /// Sequence number of the event whose commit allows a stop order; `None` if the attempt is not
    /// to be stopped.
    pub stop_event: Option<u64>,
    /// Time of the last stop order for the attempt; `None` if none was sent.
    pub stop_sent: Option<Time>,
    /// Whether the agent's last report listed the attempt, so that the free capacity in that report
    /// already excludes the attempt's reservation.
    pub reported: bool,
}

impl LiveAttempt {
    /// Returns the resources that the agent's ledger reserves for the attempt.
    pub fn reserved_amount(&self) -> Resources {
        self.need.max(&self.measured)
    }
}

/// Unverified incarnation of an agent that may succeed the current one. Incarnations are random
/// numbers, so a report from an unknown one may also be a delayed report from a predecessor. Only a
/// live process can echo the challenge.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    pub incarnation: Incarnation,
    /// Random number that the agent has to echo in its next report.
    pub challenge: u64,
    /// Whether an answer has carried the challenge since the last report of the candidate.
    pub sent: bool,
}

/// Worker with its last reported status, its attempts and its failure history.
#[derive(Debug, Clone)]
pub(super) struct Worker {
    pub agent: AgentId,
    /// Current incarnation of the agent; `None` before the first report.
    pub incarnation: Option<Incarnation>,
    /// Incarnation that has reported but not echoed its challenge yet.
    pub candidate: Option<Candidate>,
    /// Sequence number of the newest report of `incarnation`.
    pub sequence: Option<u64>,
    /// Epoch that the agent had accepted at its last report.
    pub epoch: Epoch,
    /// Whether the agent is draining: it finishes its tasks and takes no new ones.
    pub leaving: bool,
    /// Name of the rack that the agent reported.
    pub rack: String,
    /// Number that this owner has assigned to the rack.
    pub rack_number: usize,
    /// Reported capacity for batch work.
    pub capacity: Resources,
    /// Largest capacity for batch work reported so far. A closing, a configured period with less
    /// batch work, lowers `capacity` temporarily.
    pub max_capacity: Resources,
    /// Reported free capacity for tasks that are not urgent.
    pub free: Resources,
    /// Reported free capacity for urgent tasks.
    pub urgent_free: Resources,
    /// Reported free capacity minus the needs of placed attempts that the report does not list.
    pub available: Resources,
    /// Reported free capacity for urgent tasks minus the needs of placed attempts that the report
    /// does not list.
    pub urgent_available: Resources,
    /// Reservations of the attempts of each class, by class number.
    pub class_reserved: Vec<Resources>,
    /// Reservations of the attempts of each class plus their expected growth, by class number.
    pub class_expected: Vec<Resources>,
    /// Sum over all attempts of the amount by which the expected usage exceeds the reservation.
    pub expected_growth: Resources,
    /// Reported interference: slow-down of the VM's services by batch work, in percent.
    pub pressure: u32,
    /// Time of the last accepted report to this owner.
    pub last_report: Option<Time>,
    /// Time by which every lease that any owner may have granted to the worker has expired.
    pub lease_expiry: Time,
    /// Whether the agent has not accepted this owner's epoch yet, so that an earlier owner may
    /// still renew its leases.
    pub unfenced: bool,
    /// Jobs with a task that failed on the worker since a task last completed there.
    pub failed_jobs: BTreeSet<JobId>,
    /// Last two different jobs with a task that completed on the worker, newest first.
    pub succeeded_jobs: Vec<JobId>,
    /// Time until which the worker gets no tasks because it was found faulty.
    pub quarantined_until: Time,
    /// Number of quarantines since a task last completed on the worker.
    pub quarantines: u32,
    /// Time until which no task is placed on the worker, set after a refusal.
    pub backoff_until: Time,
    /// Attempts that may be running on the worker.
    pub attempts: BTreeMap<(JobId, TaskIndex), LiveAttempt>,
    /// Attempts whose result was in the last report and is not acknowledged to the agent yet.
    pub results: Vec<AttemptId>,
    /// Ended attempts whose last event is not committed yet, with the sequence number of that
    /// event.
    pub uncommitted_ends: BTreeMap<AttemptId, u64>,
    /// Attempts that the last report lists but that are not current, with the time of the last stop
    /// order for each; `None` if none was sent.
    pub orphans: BTreeMap<AttemptId, Option<Time>>,
    /// Available CPU under which the worker stands in the placement index, in thousandths of a
    /// core; `None` if the worker is not in the index.
    pub index_key: Option<u64>,
}

impl Worker {
    /// Creates the record of a worker that has not reported yet. `lease_expiry` is the first value
    /// of the field with this name.
    pub fn new(agent: AgentId, lease_expiry: Time) -> Self {
        Worker {
            agent,
            incarnation: None,
            candidate: None,
            sequence: None,
            epoch: 0,
            leaving: false,
            rack: String::new(),
            rack_number: usize::MAX,
            capacity: Resources::default(),
            max_capacity: Resources::default(),
            free: Resources::default(),
            urgent_free: Resources::default(),
            available: Resources::default(),
            urgent_available: Resources::default(),
            class_reserved: Vec::new(),
            class_expected: Vec::new(),
            expected_growth: Resources::default(),
            pressure: 0,
            last_report: None,
            lease_expiry,
            unfenced: true,
            failed_jobs: BTreeSet::new(),
            succeeded_jobs: Vec::new(),
            quarantined_until: Time::ZERO,
            quarantines: 0,
            backoff_until: Time::ZERO,
            attempts: BTreeMap::new(),
            results: Vec::new(),
            uncommitted_ends: BTreeMap::new(),
            orphans: BTreeMap::new(),
            index_key: None,
        }
    }

    /// Tells whether a report comes from another incarnation that has not echoed its challenge.
    pub fn is_unverified(&self, incarnation: Incarnation, echo: u64) -> bool {
        let has_echoed = |candidate: Candidate| {
            candidate.incarnation == incarnation && candidate.challenge == echo
        };
        self.incarnation.is_some_and(|current| current != incarnation)
            && !self.candidate.is_some_and(has_echoed)
    }

    /// Records a report from an unverified incarnation. A new candidate gets `challenge`, which
    /// must not be zero.
    pub fn challenge(&mut self, incarnation: Incarnation, challenge: u64) {
        let known = self.candidate.filter(|candidate| candidate.incarnation == incarnation);
        let challenge = known.map_or(challenge, |known| known.challenge);
        self.candidate = Some(Candidate { incarnation, challenge, sent: false });
    }

    /// Tells whether the worker has processed this report or a newer one of the same incarnation.
    pub fn is_stale(&self, incarnation: Incarnation, sequence: u64) -> bool {
        self.incarnation == Some(incarnation) && self.sequence >= Some(sequence)
    }

    /// Records the incarnation and the sequence number of an accepted report.
    pub fn set_incarnation(&mut self, incarnation: Incarnation, sequence: u64) {
        if self.incarnation != Some(incarnation) {
            self.incarnation = Some(incarnation);
            self.candidate = None;
            self.orphans.clear();
        }
        self.sequence = Some(sequence);
    }

    /// Tells whether the worker gets no tasks because it was found faulty.
    pub fn is_quarantined(&self, now: Time) -> bool {
        now < self.quarantined_until
    }

    /// Tells whether tasks of jobs other than `job` completed on the worker and none failed since.
    pub fn is_proven_for(&self, job: &JobId) -> bool {
        self.failed_jobs.iter().all(|failed| failed == job)
            && self.succeeded_jobs.iter().any(|other| other != job)
    }

    /// Clears the failure history of the worker and remembers that a task of the job completed
    /// there.
    pub fn record_success(&mut self, job: &JobId) {
        self.failed_jobs.clear();
        self.quarantines = 0;
        if !self.succeeded_jobs.contains(job) {
            self.succeeded_jobs.insert(0, job.clone());
            self.succeeded_jobs.truncate(2);
        }
    }

    /// Recomputes the available resources and the totals of each class from the worker's last
    /// report and its attempts.
    pub fn update_available(&mut self) {
        let unreported = self.attempts.values().filter(|live| !live.reported);
        let ordered = unreported.fold(Resources::default(), |sum, live| sum.plus(&live.need));
        self.available = self.free.minus(&ordered);
        self.urgent_available = self.urgent_free.minus(&ordered);
        self.class_reserved.clear();
        self.class_expected.clear();
        self.expected_growth = Resources::default();
        for live in self.attempts.values() {
            if self.class_reserved.len() <= live.class {
                self.class_reserved.resize(live.class + 1, Resources::default());
                self.class_expected.resize(live.class + 1, Resources::default());
            }
            let reserved_amount = live.reserved_amount();
            let expected_growth = live.expected_usage.minus(&reserved_amount);
            self.expected_growth = self.expected_growth.plus(&expected_growth);
            let (used, planned) =
                (&mut self.class_reserved[live.class], &mut self.class_expected[live.class]);
            *used = used.plus(&reserved_amount);
            *planned = planned.plus(&reserved_amount).plus(&expected_growth);
        }
    }

    /// Returns the resources that a new task may take on the worker. With `keep_share`, tasks that
    /// are not urgent leave the share for urgent work free, except on an idle worker, because a
    /// task may need the whole worker.
    pub fn available_for(&self, urgent: bool, keep_share: bool) -> Resources {
        match () {
            () if urgent => return self.urgent_available,
            () if self.attempts.is_empty() => return self.available,
            () if !keep_share => return self.available.minus(&self.expected_growth),
            () => {}
        }
        let Resources { cpu_milli, memory_mib, .. } = self.capacity;
        let kept =
            Resources::new(cpu_milli / URGENT_SHARE_DIVISOR, memory_mib / URGENT_SHARE_DIVISOR, 0);
        self.available.minus(&self.expected_growth).minus(&kept)
    }

    /// Tells whether the class limits admit a task of `class` with `need`. `limits` is indexed by
    /// class number. The agent's ledger admits no task while any class exceeds its limit, so all
    /// classes are checked; a removed class has no limit.
    pub fn fits_class_limits(
        &self,
        limits: &[Option<Resources>],
        class: usize,
        need: &Resources,
    ) -> bool {
        let planned = self.class_expected.get(class).copied().unwrap_or_default();
        let is_within =
            |used: &Resources, limit: &Option<Resources>| limit.is_none_or(|l| used.fits_in(&l));
        limits.get(class).is_some_and(|limit| limit.is_some_and(|l| planned.plus(need).fits_in(&l)))
            && self.class_reserved.iter().zip(limits).all(|(used, limit)| is_within(used, limit))
    }

    /// Tells whether the record of the worker can be dropped: no attempt is left, and the last
    /// events of all ended attempts are among the first `committed_events` events of this owner.
    pub fn is_removable(&self, committed_events: u64) -> bool {
        self.attempts.is_empty()
            && self.uncommitted_ends.values().all(|sequence| *sequence <= committed_events)
    }

    /// Returns the name of the worker's state. `silent` is the time without a report after which
    /// the worker counts as silent.
    fn status(&self, now: Time, silent: Time) -> &'static str {
        match self.last_report {
            None => "unknown",
            Some(last) if now.saturating_sub(last) > silent => "silent",
            _ if self.leaving => "leaving",
            _ if self.is_quarantined(now) => "quarantined",
            _ => "ready",
        }
    }

    /// Returns the status of the worker, for operators.
    pub fn view(&self, now: Time, silent: Time) -> WorkerView {
        WorkerView {
            agent: self.agent.clone(),
            rack: self.rack.clone(),
            state: self.status(now, silent),
            capacity: self.capacity,
            free: self.free,
            attempts: self.attempts.len(),
            pressure_percent: self.pressure,
        }
    }

    /// Records the state that the agent reported, from which follows whether the worker is leaving.
    pub fn set_state(&mut self, state: AgentState) {
        self.leaving = state == AgentState::Leaving;
    }
}

/// Status of a worker of a cell, as shown to operators.
#[derive(Debug, Clone, Serialize)]
pub struct WorkerView {
    pub agent: AgentId,
    pub rack: String,
    /// Name of the worker's state, such as `ready` or `silent`.
    pub state: &'static str,
    /// Reported capacity for batch work.
    pub capacity: Resources,
    /// Reported free capacity for tasks that are not urgent.
    pub free: Resources,
    /// Number of attempts that may be running on the worker.
    pub attempts: usize,
    /// Slow-down of the VM's services by batch work, in percent.
    pub pressure_percent: u32,
}

/// Workers of a cell, by slot number. A slot number stays the same while its worker is known, and
/// is then reused.
#[derive(Debug, Clone, Default)]
pub(super) struct Workers {
    /// Worker in each slot; `None` if the slot is free.
    slots: Vec<Option<Worker>>,
    /// Slot numbers free for reuse.
    vacant: Vec<usize>,
    /// Slot number of each worker, by the id of its agent.
    slots_by_agent: BTreeMap<AgentId, usize>,
    /// Number assigned to each rack that a worker has reported, by rack name.
    rack_numbers: BTreeMap<String, usize>,
}

impl Workers {
    /// Returns the slot number of the worker on which this agent runs.
    pub fn find(&self, agent: &str) -> Option<usize> {
        self.slots_by_agent.get(agent).copied()
    }

    /// Returns the number of slots, including vacant ones.
    pub fn slots(&self) -> usize {
        self.slots.len()
    }

    pub fn get(&self, slot: usize) -> Option<&Worker> {
        self.slots.get(slot).and_then(Option::as_ref)
    }

    pub fn get_mut(&mut self, slot: usize) -> Option<&mut Worker> {
        self.slots.get_mut(slot).and_then(Option::as_mut)
    }

    pub fn by_agent(&self, agent: &str) -> Option<&Worker> {
        self.find(agent).and_then(|slot| self.get(slot))
    }

    pub fn by_agent_mut(&mut self, agent: &str) -> Option<&mut Worker> {
        self.find(agent).and_then(|slot| self.get_mut(slot))
    }

    /// Returns the slot number of the worker of `agent`. Adds the worker, with this lease expiry,
    /// if the agent is unknown.
    pub fn insert(&mut self, agent: &AgentId, lease_expiry: Time) -> usize {
        if let Some(slot) = self.find(agent) {
            return slot;
        }
        let slot = self.vacant.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(Worker::new(agent.clone(), lease_expiry));
        self.slots_by_agent.insert(agent.clone(), slot);
        slot
    }

    /// Sets the rack of the worker in this slot, and assigns a number to a rack not seen before.
    pub fn set_rack(&mut self, slot: usize, rack: &str) {
        let number = match self.rack_numbers.get(rack) {
            Some(number) => *number,
            None => {
                self.rack_numbers.insert(rack.to_owned(), self.rack_numbers.len());
                self.rack_numbers.len() - 1
            }
        };
        if let Some(worker) = self.get_mut(slot).filter(|worker| worker.rack != rack) {
            worker.rack = rack.to_owned();
            worker.rack_number = number;
        }
    }

    /// Removes a worker and frees its slot.
    pub fn remove(&mut self, slot: usize) {
        if let Some(worker) = self.slots.get_mut(slot).and_then(Option::take) {
            self.slots_by_agent.remove(&worker.agent);
            self.vacant.push(slot);
        }
    }

    /// Returns all workers with their slot numbers.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &Worker)> {
        self.slots.iter().enumerate().filter_map(|(slot, worker)| Some((slot, worker.as_ref()?)))
    }
}
