//! Owner of a cell: proposes events, and emits the effects of an event after its commit.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use fastrand::Rng;

use crate::cell::placement::Index;
use crate::cell::queue::Queue;
use crate::cell::state::{CellState, Event};
use crate::cell::worker::{LiveAttempt, Stage, WorkerView, Workers};
use crate::config::Document;
use crate::id::{AgentId, Epoch, JobId, TeamId};
use crate::resources::Resources;
use crate::time::{lease_wait, Time, MAX_CLOCK_DRIFT_PERCENT};

/// Number by which a caller recognises its request when [`Effect::Durable`] confirms the commit.
pub type Ticket = u64;

/// Largest estimated size of the events in one commit to the journal, in bytes. Keeps each write
/// short, while a burst of 10,000 cancellations still takes only about four batches.
const MAX_BATCH_BYTES: usize = 64 * 1024;
/// Interval between two checks for expired leases of attempts; short compared with the safety
/// margin of a lease.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a report after which a worker without attempts is removed from the cell.
pub(super) const FORGET_WORKER_AFTER: Duration = Duration::from_secs(600);

/// Durations that govern leases, takeovers and silent workers in a cell.
#[derive(Debug, Clone, Copy)]
pub struct CellSettings {
    /// Duration of the lease that each answer to a report grants on the worker's attempts.
    pub lease: Duration,
    /// Time without contact to the store after which an owner grants no more leases and starts.
    pub outage_hold: Duration,
    /// Time after a takeover during which no job is declared unrunnable for lack of a suitable
    /// worker, because workers may not have reported to the new owner yet.
    pub discovery_period: Duration,
    /// Time without a report after which a worker counts as silent and gets no new tasks.
    pub silent: Duration,
}

impl Default for CellSettings {
    fn default() -> Self {
        CellSettings {
            lease: Duration::from_secs(20),
            outage_hold: Duration::from_secs(600),
            discovery_period: Duration::from_secs(5),
            silent: Duration::from_secs(3),
        }
    }
}

/// Quotas of teams and limits of job classes, from the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Limits {
    /// Quota of each team in the cell.
    pub teams: BTreeMap<TeamId, Resources>,
    /// For each class, the limit of its tasks on one VM and whether its jobs are urgent.
    pub classes: BTreeMap<String, (Resources, bool)>,
}

impl From<&Document> for Limits {
    fn from(document: &Document) -> Self {
        let teams = document.teams.iter().map(|(id, team)| (id.clone(), team.quota));
        let classes = document.classes.iter();
        Limits {
            teams: teams.collect(),
            classes: classes.map(|(id, class)| (id.clone(), (class.limit, class.urgent))).collect(),
        }
    }
}

/// Action that the caller of [`Cell`] carries out, allowed only after the commit of its event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Confirms the submission or cancellation with this ticket to its caller.
    Durable(Ticket),
    /// Answers the report of this agent that waits for an answer, because orders or
    /// acknowledgements are ready.
    Wake(AgentId),
}

/// State machine of a cell's owner: the durable state, and volatile state rebuilt after a takeover.
/// It performs no I/O. The caller passes the time, commits the batches and carries out the effects.
#[derive(Debug, Clone)]
pub struct Cell {
    /// Durable state, with the events proposed but not committed yet.
    pub(super) state: CellState,
    pub(super) settings: CellSettings,
    /// Configured quotas of teams and limits of classes. Until they are known, no task is placed
    /// and no job is accepted.
    pub(super) limits: Option<Limits>,
    /// Number assigned to each class that this owner has seen, by class name; indexes
    /// `class_limits`.
    class_numbers: BTreeMap<String, usize>,
    /// Limit of each class on one VM, by class number; `None` for a class that was removed.
    pub(super) class_limits: Vec<Option<Resources>>,
    pub(super) workers: Workers,
    /// Workers that may get tasks, by available CPU.
    pub(super) index: Index,
    /// Jobs with waiting tasks.
    pub(super) queue: Queue,
    /// Proposed events that are not committed yet, oldest first.
    pending: VecDeque<Event>,
    /// Number of events at the front of `pending` that form the batch being committed.
    in_flight: usize,
    /// Number of events proposed by this owner, which is the sequence number of the last one.
    pub(super) proposed: u64,
    /// Number of events of this owner that are committed.
    pub(super) committed: u64,
    /// Effects, each with the sequence number of the event whose commit it waits for.
    effects: VecDeque<(u64, Effect)>,
    /// Requested cancellations, with the job and the caller's ticket, whose event is not proposed
    /// yet because they wait for space in a batch.
    pub(super) pending_cancels: VecDeque<(JobId, Ticket)>,
    /// Jobs in `pending_cancels`. None of their waiting tasks is started.
    pub(super) cancelling: BTreeSet<JobId>,
    /// Ended jobs whose last event is not committed yet, with the sequence number of that event.
    pub(super) uncommitted_ends: BTreeMap<JobId, u64>,
    /// Sum of the declared needs of each team's current attempts.
    pub(super) team_reserved: BTreeMap<TeamId, Resources>,
    /// Number of running tasks of each urgent job, by rack number.
    pub(super) rack_tasks: BTreeMap<JobId, BTreeMap<usize, u32>>,
    /// Largest measured usage among the tasks of each job that has not ended, at full speed.
    pub(super) job_usage: BTreeMap<JobId, Resources>,
    /// Time of the last failure of a task of each job that has not ended.
    pub(super) last_failure: BTreeMap<JobId, Time>,
    /// Caches whether a task's need fits the full capacity of some known worker, by the need's CPU
    /// (thousandths of a core), memory (MiB) and accelerators.
    pub(super) fit_cache: HashMap<(u64, u64, u64), bool>,
    /// Estimated encoded size of the durable state, in bytes.
    pub(super) state_size: usize,
    /// Time at which this owner took over the cell.
    pub(super) takeover_at: Time,
    /// Start of the last exchange with the store that confirmed this owner.
    store_contact: Time,
    /// Whether this owner has stopped granting leases and starts for good.
    stopped: bool,
    /// Time of the next check for expired leases.
    next_sweep: Time,
    /// Number of requeued tasks that may be started now: the content of a token bucket that is
    /// refilled at a fixed rate.
    pub(super) requeue_budget: f64,
    /// Time of the last placement pass.
    pub(super) last_pass: Time,
    pub(super) rng: Rng,
}

impl Cell {
    /// Takes over a cell. `state` is the replay of the journal. `now` must not be earlier than the
    /// time at which the store recorded this owner for `epoch`.
    pub fn take_over(
        state: CellState,
        epoch: Epoch,
        settings: CellSettings,
        now: Time,
        rng: Rng,
    ) -> Self {
        let mut cell = Cell {
            state,
            settings,
            limits: None,
            class_numbers: BTreeMap::new(),
            class_limits: Vec::new(),
            workers: Workers::default(),
            index: Index::default(),
            queue: Queue::default(),
            pending: VecDeque::new(),
            in_flight: 0,
            proposed: 0,
            committed: 0,
            effects: VecDeque::new(),
            pending_cancels: VecDeque::new(),
            cancelling: BTreeSet::new(),
            uncommitted_ends: BTreeMap::new(),
            team_reserved: BTreeMap::new(),
            rack_tasks: BTreeMap::new(),
            job_usage: BTreeMap::new(),
            last_failure: BTreeMap::new(),
            fit_cache: HashMap::new(),
            state_size: 0,
            takeover_at: now,
            store_contact: now,
            stopped: false,
            next_sweep: now,
            requeue_budget: 0.0,
            last_pass: now,
            rng,
        };
        cell.propose(Event::TakenOver { epoch });
        cell.rebuild_volatile(now);
        cell.update_state_size();
        cell
    }

    /// Rebuilds the volatile state from the replayed durable state.
    fn rebuild_volatile(&mut self, now: Time) {
        let lease_expiry = now + self.inherited_lease_wait();
        for job in self.state.jobs.values() {
            self.queue.sync(job);
            let stop_event = (job.phase != crate::cell::state::Phase::Active).then_some(0);
            for (task, attempt) in &job.attempts {
                let slot = self.workers.insert(&attempt.agent, lease_expiry);
                let live = LiveAttempt {
                    token: attempt.token,
                    need: job.spec.need,
                    measured: Resources::default(),
                    expected_usage: Resources::default(),
                    class: intern_class(&mut self.class_numbers, &job.spec.class),
                    stage: Stage::Inherited,
                    target: None,
                    start_event: 0,
                    start_sent: None,
                    stop_event,
                    stop_sent: None,
                    reported: false,
                };
                let used = self.team_reserved.entry(job.spec.team.clone()).or_default();
                *used = used.plus(&job.spec.need);
                if let Some(worker) = self.workers.get_mut(slot) {
                    worker.attempts.insert((job.spec.id.clone(), *task), live);
                }
            }
        }
    }

    /// Returns the time after a takeover by which all leases granted by earlier owners have
    /// expired. Unless the previous owner released the cell cleanly (see [`Event::Released`]), an
    /// earlier owner may renew leases for the whole outage hold.
    fn inherited_lease_wait(&self) -> Duration {
        let wait = lease_wait(self.settings.lease);
        match self.state.predecessor_clean {
            true => wait,
            false => {
                let hold = self.settings.outage_hold;
                wait + hold + hold * MAX_CLOCK_DRIFT_PERCENT / 100
            }
        }
    }

    /// Replaces the quotas and limits with those of the current configuration.
    pub fn set_limits(&mut self, limits: Limits) {
        self.class_limits.fill(None);
        for (class, (limit, _)) in &limits.classes {
            let number = intern_class(&mut self.class_numbers, class);
            self.class_limits.resize(self.class_numbers.len(), None);
            self.class_limits[number] = Some(*limit);
        }
        self.limits = Some(limits);
    }

    /// Tells whether the configuration has an urgent class, so that urgent jobs may arrive.
    pub(super) fn has_urgent_class(&self) -> bool {
        let classes = self.limits.iter().flat_map(|limits| limits.classes.values());
        classes.into_iter().any(|(_, urgent)| *urgent)
    }

    /// Returns the number assigned to a class; `None` if this owner has not seen the class.
    pub(super) fn class_number(&self, class: &str) -> Option<usize> {
        self.class_numbers.get(class).copied()
    }

    /// Records that an exchange with the store, begun at `start`, confirmed this owner.
    pub fn record_store_contact(&mut self, start: Time) {
        self.store_contact = self.store_contact.max(start);
    }

    /// Stops this owner for good, because another entry process owns the cell or the cell was
    /// released.
    pub fn stop(&mut self) {
        self.stopped = true;
    }

    /// Stops granting leases and starts, and proposes the release of the cell.
    pub fn release(&mut self) {
        self.stopped = true;
        let clean =
            self.workers.iter().all(|(_, worker)| !worker.unfenced || worker.attempts.is_empty());
        self.propose(Event::Released { epoch: self.state.epoch, clean });
    }

    /// Requeues attempts with expired leases, then places waiting tasks. Both run only when their
    /// interval has passed.
    pub fn poll(&mut self, now: Time) {
        if self.stopped {
            return;
        }
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.sweep(now);
        }
        if self.may_grant(now) {
            self.place(now);
        }
    }

    /// Returns the next batch to commit; empty if there is none. Until
    /// [`Cell::confirm_commit`], returns the same batch again, so that a failed commit is retried.
    pub fn take_batch(&mut self) -> Vec<Event> {
        if self.in_flight == 0 {
            self.in_flight = self.fill_batch();
        }
        self.pending.iter().take(self.in_flight).cloned().collect()
    }

    /// Returns the number of pending events that fit one batch, and proposes cancellations for the
    /// space that is left.
    fn fill_batch(&mut self) -> usize {
        let mut count = 0;
        let mut remaining_bytes = MAX_BATCH_BYTES;
        loop {
            while let Some(event) = self.pending.get(count) {
                let size = event.encoded_size();
                if size > remaining_bytes && count > 0 {
                    return count;
                }
                remaining_bytes = remaining_bytes.saturating_sub(size);
                count += 1;
            }
            // Cancellations arrive in bursts and get only the space that other events leave.
            if self.stopped || remaining_bytes == 0 || !self.propose_cancel() {
                return count;
            }
        }
    }

    /// Records that the batch in flight is committed.
    pub fn confirm_commit(&mut self) {
        self.pending.drain(..self.in_flight);
        self.committed += self.in_flight as u64;
        self.in_flight = 0;
        let committed = self.committed;
        self.uncommitted_ends.retain(|_, sequence| *sequence > committed);
    }

    /// Removes and returns the effects whose events are committed, in the order of the events.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        let committed = self.committed;
        let due = self.effects.iter().take_while(|(sequence, _)| *sequence <= committed).count();
        self.effects.drain(..due).map(|(_, effect)| effect).collect()
    }

    /// Emits `effect` once all events proposed so far are committed.
    pub(super) fn after_commit(&mut self, effect: Effect) {
        self.effects.push_back((self.proposed, effect));
    }

    /// Applies an event to the state and appends it to the events that wait for a commit.
    pub(super) fn propose(&mut self, event: Event) {
        self.state.apply(&event);
        self.pending.push_back(event);
        self.proposed += 1;
    }

    /// Updates the queue entries and the volatile records of a job after an event about the job.
    pub(super) fn sync_job(&mut self, id: &JobId) {
        if let Some(job) = self.state.jobs.get(id) {
            self.queue.sync(job);
            if job.phase.is_final() {
                self.uncommitted_ends.entry(id.clone()).or_insert(self.proposed);
                self.rack_tasks.remove(id);
                self.job_usage.remove(id);
                self.last_failure.remove(id);
            }
        }
    }

    /// Tells whether this owner may grant leases and starts.
    pub fn may_grant(&self, now: Time) -> bool {
        !self.stopped && now.saturating_sub(self.store_contact) < self.settings.outage_hold
    }

    /// Tells whether this owner has stopped granting leases and starts for good.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Tells whether any events or cancellations wait for a commit.
    pub fn has_uncommitted(&self) -> bool {
        !self.pending.is_empty() || !self.pending_cancels.is_empty()
    }

    /// Tells whether proposed events wait for a commit, not counting cancellations whose event is
    /// not proposed yet.
    pub fn has_pending_events(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the epoch of this owner.
    pub fn epoch(&self) -> Epoch {
        self.state.epoch
    }

    /// Returns the state with all events proposed so far, committed or not.
    pub fn state(&self) -> &CellState {
        &self.state
    }

    /// Returns the number of events of this owner that are committed.
    pub fn committed(&self) -> u64 {
        self.committed
    }

    /// Returns the status of all workers, for operators.
    pub fn worker_views(&self, now: Time) -> Vec<WorkerView> {
        self.workers.iter().map(|(_, worker)| worker.view(now, self.settings.silent)).collect()
    }

    /// Requeues attempts whose lease has expired, takes silent workers out of the placement index,
    /// and removes workers that have been silent for long.
    fn sweep(&mut self, now: Time) {
        self.update_state_size();
        let mut expired = Vec::new();
        let mut gone = Vec::new();
        for (slot, worker) in self.workers.iter() {
            let silence = now.saturating_sub(worker.last_report.unwrap_or(self.takeover_at));
            if now >= worker.lease_expiry && !worker.attempts.is_empty() {
                expired.push(slot);
            } else if silence > FORGET_WORKER_AFTER && worker.is_removable(self.committed) {
                gone.push(slot);
            } else if silence > self.settings.silent {
                expired.extend(worker.index_key.map(|_| slot));
            }
        }
        for slot in expired {
            self.unindex(slot);
            self.requeue_expired(slot, now);
        }
        for slot in gone {
            self.unindex(slot);
            self.workers.remove(slot);
            self.fit_cache.clear();
        }
    }
}

/// Returns the number of a class, and assigns the next number to a class not seen before.
fn intern_class(numbers: &mut BTreeMap<String, usize>, class: &str) -> usize {
    if let Some(number) = numbers.get(class) {
        return *number;
    }
    numbers.insert(class.to_owned(), numbers.len());
    numbers.len() - 1
}
