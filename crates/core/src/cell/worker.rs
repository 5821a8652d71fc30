//! Workers of a cell as its owner sees them. Volatile: rebuilt from reports after a takeover.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::id::{AgentId, Epoch, Incarnation, JobId, TaskIndex};
use crate::message::announce::AgentState;
use crate::message::report::{AttemptId, Token};
use crate::resources::Resources;
use crate::time::Time;

/// An eighth of a worker's capacity is kept free for urgent work: other work that grows or is
/// throttled keeps its reservations for minutes.
const URGENT_SHARE_DIVISOR: u64 = 8;

/// How far an attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// Ordered in this ownership and not reported yet.
    Ordered,
    /// Started by an earlier owner and not reported to this one yet.
    Inherited,
    Running,
}

/// The last answer that carried a start order.
#[derive(Debug, Clone, Copy)]
pub(super) struct StartSent {
    /// Sequence of the report that was answered.
    pub sequence: u64,
    pub at: Time,
}

/// An attempt that may be alive on a worker.
#[derive(Debug, Clone)]
pub(super) struct LiveAttempt {
    pub token: Token,
    pub need: Resources,
    /// Usage in the last report; zero while none is known.
    pub measured: Resources,
    /// Largest usage of the job's tasks at full speed that was known at the last report.
    pub expected_usage: Resources,
    /// Number of the class within the cell.
    pub class: usize,
    pub stage: Stage,
    /// Incarnation that the order is meant for; `None` if an earlier owner ordered it.
    pub target: Option<Incarnation>,
    /// Sequence of the event that allows the start.
    pub start_event: u64,
    pub start_sent: Option<StartSent>,
    /// Sequence of the event that allows the stop, when one is wanted.
    pub stop_event: Option<u64>,
    pub stop_sent: Option<Time>,
    /// Whether the last report listed it, so that the reported free capacity accounts for it.
    pub reported: bool,
}

impl LiveAttempt {
    /// What the agent's ledger reserves for the attempt.
    pub fn reserved_amount(&self) -> Resources {
        self.need.max(&self.measured)
    }
}

/// An incarnation that may be newer than the current one. Incarnations are random, so a report of
/// an unknown one may also be a delayed report of a predecessor. Only a live process can return the
/// challenge.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    pub incarnation: Incarnation,
    pub challenge: u64,
    /// Whether the challenge was sent since the last report.
    pub sent: bool,
}

/// A worker.
#[derive(Debug, Clone)]
pub(super) struct Worker {
    pub agent: AgentId,
    pub incarnation: Option<Incarnation>,
    pub candidate: Option<Candidate>,
    pub sequence: Option<u64>,
    /// Epoch that the agent had accepted at its last report.
    pub epoch: Epoch,
    pub leaving: bool,
    pub rack: String,
    /// Number of the rack within the cell.
    pub rack_number: usize,
    pub capacity: Resources,
    /// Largest capacity reported; a closing lowers the current one for a while.
    pub max_capacity: Resources,
    pub free: Resources,
    pub urgent_free: Resources,
    /// Reported free capacity minus what was ordered and is not part of it yet.
    pub available: Resources,
    /// The same for urgent work.
    pub urgent_available: Resources,
    /// What the attempts of each class hold, by number of the class.
    pub class_reserved: Vec<Resources>,
    /// The same with the growth that is expected.
    pub class_expected: Vec<Resources>,
    /// Growth that is expected of all attempts.
    pub expected_growth: Resources,
    pub pressure: u32,
    pub last_report: Option<Time>,
    /// Time at which each lease that any owner may have granted has certainly run out.
    pub lease_expiry: Time,
    /// Whether an earlier owner may still renew leases of this worker.
    pub unfenced: bool,
    /// Jobs that failed since the last success.
    pub failed_jobs: BTreeSet<JobId>,
    /// The last two different jobs that succeeded.
    pub succeeded_jobs: Vec<JobId>,
    pub quarantined_until: Time,
    pub quarantines: u32,
    /// No placement before this time, after a refusal.
    pub backoff_until: Time,
    pub attempts: BTreeMap<(JobId, TaskIndex), LiveAttempt>,
    /// Results of the last report.
    pub results: Vec<AttemptId>,
    /// Ended attempts whose event is not committed yet, with its sequence.
    pub uncommitted_ends: BTreeMap<AttemptId, u64>,
    /// Reported attempts that are not current, with the time of the last stop order.
    pub orphans: BTreeMap<AttemptId, Option<Time>>,
    /// Key in the placement index, when it is there.
    pub index_key: Option<u64>,
}

impl Worker {
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

    /// Tells whether a report comes from another incarnation that has not proved that it lives.
    pub fn is_unverified(&self, incarnation: Incarnation, echo: u64) -> bool {
        let proved = |candidate: Candidate| {
            candidate.incarnation == incarnation && candidate.challenge == echo
        };
        self.incarnation.is_some_and(|current| current != incarnation)
            && !self.candidate.is_some_and(proved)
    }

    /// Notes that another incarnation reports. `challenge` is not zero.
    pub fn challenge(&mut self, incarnation: Incarnation, challenge: u64) {
        let known = self.candidate.filter(|candidate| candidate.incarnation == incarnation);
        let challenge = known.map_or(challenge, |known| known.challenge);
        self.candidate = Some(Candidate { incarnation, challenge, sent: false });
    }

    /// Tells whether a report was overtaken by a newer one of its incarnation.
    pub fn is_stale(&self, incarnation: Incarnation, sequence: u64) -> bool {
        self.incarnation == Some(incarnation) && self.sequence >= Some(sequence)
    }

    /// Notes which incarnation reports.
    pub fn set_incarnation(&mut self, incarnation: Incarnation, sequence: u64) {
        if self.incarnation != Some(incarnation) {
            self.incarnation = Some(incarnation);
            self.candidate = None;
            self.orphans.clear();
        }
        self.sequence = Some(sequence);
    }

    pub fn is_quarantined(&self, now: Time) -> bool {
        now < self.quarantined_until
    }

    /// Tells whether jobs other than `job` succeeded here and none failed since.
    pub fn is_proven_for(&self, job: &JobId) -> bool {
        self.failed_jobs.iter().all(|failed| failed == job)
            && self.succeeded_jobs.iter().any(|other| other != job)
    }

    pub fn record_success(&mut self, job: &JobId) {
        self.failed_jobs.clear();
        self.quarantines = 0;
        if !self.succeeded_jobs.contains(job) {
            self.succeeded_jobs.insert(0, job.clone());
            self.succeeded_jobs.truncate(2);
        }
    }

    /// Recomputes what can be ordered from this worker.
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

    /// Returns what a start may take. With `keeps_share`, work that is not urgent leaves the share
    /// for urgent work free, except on an idle worker: a task may need all of it.
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

    /// Tells whether the class limits, by number of the class, leave room for `need`. The ledger
    /// admits nothing while any class holds more than its limit; a class that was removed has none.
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

    /// Tells whether nothing is known of this worker that is not durable.
    pub fn is_removable(&self, committed: u64) -> bool {
        self.attempts.is_empty()
            && self.uncommitted_ends.values().all(|sequence| *sequence <= committed)
    }

    /// Current state in one word.
    fn status(&self, now: Time, silent: Time) -> &'static str {
        match self.last_report {
            None => "unknown",
            Some(last) if now.saturating_sub(last) > silent => "silent",
            _ if self.leaving => "leaving",
            _ if self.is_quarantined(now) => "quarantined",
            _ => "ready",
        }
    }

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

    pub fn set_state(&mut self, state: AgentState) {
        self.leaving = state == AgentState::Leaving;
    }
}

/// A worker, for operators.
#[derive(Debug, Clone, Serialize)]
pub struct WorkerView {
    pub agent: AgentId,
    pub rack: String,
    pub state: &'static str,
    pub capacity: Resources,
    pub free: Resources,
    pub attempts: usize,
    pub pressure_percent: u32,
}

/// All workers of a cell, by slot number.
#[derive(Debug, Clone, Default)]
pub(super) struct Workers {
    slots: Vec<Option<Worker>>,
    vacant: Vec<usize>,
    slots_by_agent: BTreeMap<AgentId, usize>,
    rack_numbers: BTreeMap<String, usize>,
}

impl Workers {
    pub fn find(&self, agent: &str) -> Option<usize> {
        self.slots_by_agent.get(agent).copied()
    }

    /// Number of slots, including vacant ones.
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

    /// Returns the slot of `agent`, and adds it if it is new.
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

    /// Notes the rack of a worker.
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

    pub fn remove(&mut self, slot: usize) {
        if let Some(worker) = self.slots.get_mut(slot).and_then(Option::take) {
            self.slots_by_agent.remove(&worker.agent);
            self.vacant.push(slot);
        }
    }

    pub fn iter(&self) -> impl Iterator<Item = (usize, &Worker)> {
        self.slots.iter().enumerate().filter_map(|(slot, worker)| Some((slot, worker.as_ref()?)))
    }
}
