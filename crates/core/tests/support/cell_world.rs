//! Discrete-event simulation of a cell on virtual time: its owners, their journal, the callers that
//! submit jobs, and the messages between them. The test that uses it adds VMs and faults.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fastrand::Rng;
use peridotfold_core::cell::{
    CancelReply, CellSettings, CellState, Effect, Event, JobSpec, SubmitReply,
};
use peridotfold_core::id::{Epoch, Incarnation};
use peridotfold_core::message::report::{Orders, Outcome, Report};
use peridotfold_core::time::Time;

use crate::history::{self, Observation};
use crate::owners::{Journal, Owner};

/// Returns a duration of this many milliseconds.
pub fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Scheduled event of the simulation. `I` is the type of the events that the test handles itself.
#[derive(Clone)]
pub enum Input<I> {
    /// Runs the periodic poll of the owner with this index.
    Poll(usize),
    /// A report arrives at an owner.
    Report { owner: usize, report: Report },
    /// An agent's report that still waits for an answer is answered now, even if no orders are
    /// ready.
    AnswerDue { owner: usize, agent: String, incarnation: Incarnation, sequence: u64 },
    /// An owner's batch of events arrives at the store.
    Commit { owner: usize, batch_number: u64, events: Vec<Event>, sent: Time },
    /// The reply of the store to a batch arrives at the owner.
    Committed { owner: usize, batch_number: u64, sent: Time, fenced: bool },
    /// The owner sends a batch again if the store has not replied.
    Retry { owner: usize, batch_number: u64 },
    /// A new owner takes over the cell.
    TakeOver,
    /// A caller submits the job with this index in [`CellWorld::jobs`].
    Submit(usize),
    /// A caller cancels the job with this index in [`CellWorld::jobs`].
    Cancel(usize),
    /// An input that the test handles itself.
    World(I),
}

impl<I> Input<I> {
    /// Returns the index of the owner that processes the input; `None` if a paused owner does not
    /// delay the input.
    fn target(&self) -> Option<usize> {
        match self {
            Input::Poll(owner)
            | Input::Report { owner, .. }
            | Input::AnswerDue { owner, .. }
            | Input::Committed { owner, .. }
            | Input::Retry { owner, .. } => Some(*owner),
            _ => None,
        }
    }
}

/// Answer of an owner on its way to an agent.
#[derive(Debug, Clone)]
pub struct Answer {
    pub agent: String,
    pub incarnation: Incarnation,
    pub orders: Orders,
}

/// Simulated store with the journal of the cell.
#[derive(Default)]
pub struct Store {
    journal: Journal,
    /// End of the last outage of the store.
    pub down_until: Time,
    /// End of the last period in which commits are slow.
    pub slow_until: Time,
}

/// History and final state of a simulation run.
pub struct RunResult {
    /// Events, executions and replies observed during the run, in order.
    pub history: Vec<Observation>,
    /// State of the cell after all committed events.
    pub final_state: CellState,
    /// Simulated time at which the run ended.
    pub ended_at: Time,
}

impl RunResult {
    /// Checks the history against the lifecycle rules.
    ///
    /// # Panics
    ///
    /// Panics if the history violates a rule.
    pub fn check(&self, seed: u64) {
        if let Err((violation, detail)) = history::check(&self.history, &self.final_state) {
            panic!("seed {seed}: {violation:?} at {:?}: {detail}", self.ended_at);
        }
    }
}

/// Durations and delays of a simulation run.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Settings of the simulated cell.
    pub settings: CellSettings,
    /// Time from which each message arrives exactly once and without a long delay.
    pub faults_end: Time,
    /// Time at which the run is aborted.
    pub time_limit: Time,
    /// Upper limit of the delay of a message that is not late.
    pub max_delay_ms: u64,
    /// Upper limit of the delay of a late message.
    pub max_late_ms: u64,
    /// One message in this many is late, on average.
    pub late_one_in: u8,
}

/// State of a simulation run. `I` is the type of the events that the test handles itself.
pub struct CellWorld<I> {
    /// Simulated time.
    pub now: Time,
    pub rng: Rng,
    /// Durations and delays of this run.
    timing: Timing,
    /// Scheduled inputs, by time and by order of scheduling.
    inputs: BTreeMap<(Time, u64), Input<I>>,
    /// Last number given to an input or a ticket.
    last_number: u64,
    pub store: Store,
    /// All owners of the cell so far; the last one is current.
    pub owners: Vec<Owner>,
    /// All jobs of the run, submitted or to be submitted.
    pub jobs: Vec<JobSpec>,
    /// Indexes of jobs by the ticket of their submission.
    tickets: BTreeMap<u64, usize>,
    /// Indexes of the jobs whose submission was confirmed to the caller.
    confirmed: BTreeSet<usize>,
    pub history: Vec<Observation>,
}

impl<I: Clone + From<Answer>> CellWorld<I> {
    pub fn new(rng: Rng, timing: Timing) -> Self {
        CellWorld {
            now: Time::ZERO,
            rng,
            timing,
            inputs: BTreeMap::new(),
            last_number: 0,
            store: Store::default(),
            owners: Vec::new(),
            jobs: Vec::new(),
            tickets: BTreeMap::new(),
            confirmed: BTreeSet::new(),
            history: Vec::new(),
        }
    }

    /// Processes inputs until one is for the test, and returns that one; `None` at the end of the
    /// run.
    pub fn next(&mut self) -> Option<I> {
        while !(self.now > self.timing.faults_end && self.is_done()
            || self.now > self.timing.time_limit)
        {
            let ((at, _), input) = self.inputs.pop_first()?;
            self.now = at;
            let paused_until = input.target().map(|owner| self.owners[owner].paused_until);
            match (paused_until.filter(|until| *until > at), input) {
                (Some(until), input) => self.schedule(until - at, input),
                (None, Input::World(input)) => return Some(input),
                (None, input) => self.handle(input),
            }
        }
        None
    }

    /// Returns the history and the final state.
    pub fn into_result(self) -> RunResult {
        let final_state = self.store.journal.replay();
        RunResult { history: self.history, final_state, ended_at: self.now }
    }

    /// Adds a job and schedules its submission. Returns the index of the job.
    pub fn add_job(&mut self, job: JobSpec, submit_at: Time) -> usize {
        self.jobs.push(job);
        let index = self.jobs.len() - 1;
        self.schedule(submit_at, Input::Submit(index));
        index
    }

    /// Schedules an input to be processed after this delay.
    pub fn schedule(&mut self, delay: Duration, input: Input<I>) {
        self.last_number += 1;
        self.inputs.insert((self.now + delay, self.last_number), input);
    }

    /// Tells whether the period with faults is over.
    pub fn faults_ended(&self) -> bool {
        self.now >= self.timing.faults_end
    }

    /// Returns the index of the current owner.
    pub fn newest(&self) -> usize {
        self.owners.len() - 1
    }

    /// Schedules the arrival of a message. While faults last, the message may be delayed,
    /// reordered, duplicated or lost.
    pub fn deliver(&mut self, input: Input<I>) {
        let copies = match self.rng.u8(0..100) {
            _ if self.faults_ended() => 1,
            0..=4 => 0,
            5..=8 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let late = !self.faults_ended() && self.rng.u8(0..self.timing.late_one_in) == 0;
            let limit = if late { self.timing.max_late_ms } else { self.timing.max_delay_ms };
            let delay = ms(self.rng.u64(1..limit));
            self.schedule(delay, input.clone());
        }
    }

    /// Tells whether all jobs were confirmed and have ended, with all events committed.
    fn is_done(&self) -> bool {
        let Some(cell) = self.owners.last().and_then(|owner| owner.cell.as_ref()) else {
            return false;
        };
        let ended = |job: &JobSpec| cell.state().jobs.get(&job.id).map(|job| job.phase.is_final());
        self.confirmed.len() == self.jobs.len()
            && !cell.has_uncommitted()
            && self.jobs.iter().all(|job| ended(job) == Some(true))
    }

    /// Processes one input.
    fn handle(&mut self, input: Input<I>) {
        match input {
            Input::Poll(owner) => self.poll(owner),
            Input::Report { owner, report } => self.report(owner, report),
            Input::AnswerDue { owner, agent, incarnation, sequence } => {
                if self.owners[owner].is_pending(&agent, incarnation, sequence) {
                    self.answer(owner, &agent);
                }
            }
            Input::Commit { owner, batch_number, events, sent } => {
                self.write(owner, batch_number, events, sent)
            }
            Input::Committed { owner, batch_number, sent, fenced } => {
                if self.owners[owner].handle_commit(batch_number, sent, fenced) {
                    self.release_effects(owner);
                    self.commit_if_idle(owner);
                }
            }
            Input::Retry { owner, batch_number } => {
                if self.owners[owner].batch_number == batch_number
                    && self.owners[owner].is_committing
                {
                    self.commit(owner);
                }
            }
            Input::TakeOver => self.take_over(),
            Input::Submit(job) => self.submit(job),
            Input::Cancel(job) => self.cancel(job),
            Input::World(_) => unreachable!("returned by next"),
        }
    }

    /// Starts a new owner, whose clock deviates by up to 1 percent, once the store is reachable.
    pub fn take_over(&mut self) {
        if self.now < self.store.down_until {
            return self.schedule(ms(500), Input::TakeOver);
        }
        let clock_rate = 0.99 + 0.02 * self.rng.f64();
        let (local_time, rng) = (self.now.mul_f64(clock_rate), self.rng.fork());
        let settings = self.timing.settings;
        let cell = self.store.journal.take_over(local_time, settings, rng, &mut self.history);
        self.owners.push(Owner::new(cell, clock_rate));
        self.schedule(ms(100), Input::Poll(self.newest()));
    }

    /// Returns the time by the clock of an owner.
    fn local_time(&self, owner: usize) -> Time {
        self.now.mul_f64(self.owners[owner].clock_rate)
    }

    /// Tells whether an owner can reach the store now.
    fn reaches_store(&self, owner: usize) -> bool {
        self.now >= self.store.down_until.max(self.owners[owner].store_cut_until)
    }

    /// Polls an owner, then sends its next batch and carries out the effects of committed events.
    fn poll(&mut self, owner: usize) {
        let (local_time, reached) = (self.local_time(owner), self.reaches_store(owner));
        let is_current = owner == self.newest();
        if self.owners[owner].cell.is_none() {
            return;
        }
        if self.owners[owner].poll(local_time, reached, is_current) {
            self.schedule(ms(200), Input::Poll(owner));
        }
        self.commit_if_idle(owner);
        self.release_effects(owner);
    }

    /// Sends the owner's next batch of events to the journal unless one is being committed.
    fn commit_if_idle(&mut self, owner: usize) {
        if !self.owners[owner].is_committing {
            self.owners[owner].batch_number += 1;
            self.commit(owner);
        }
    }

    /// Sends the owner's current batch of events to the journal, and schedules a retry.
    fn commit(&mut self, owner: usize) {
        let (sent, batch_number) = (self.local_time(owner), self.owners[owner].batch_number);
        let Some(events) = self.owners[owner].take_batch() else { return };
        let commit = Input::Commit { owner, batch_number, events, sent };
        match self.now < self.store.slow_until {
            true => {
                let delay = ms(self.rng.u64(500..4_000));
                self.schedule(delay, commit);
            }
            false => self.deliver(commit),
        }
        self.schedule(ms(2_000), Input::Retry { owner, batch_number });
    }

    /// Appends a batch that has reached the store to the journal, and sends the store's reply.
    fn write(&mut self, owner: usize, batch_number: u64, events: Vec<Event>, sent: Time) {
        if !self.reaches_store(owner) {
            return;
        }
        let epoch = owner as Epoch + 1;
        let written = self.store.journal.write(epoch, batch_number, events, &mut self.history);
        let Some(fenced) = written else { return };
        self.deliver(Input::Committed { owner, batch_number, sent, fenced });
    }

    /// Carries out the owner's effects whose events are committed.
    fn release_effects(&mut self, owner: usize) {
        let Some(cell) = &mut self.owners[owner].cell else { return };
        for effect in cell.take_effects() {
            match effect {
                Effect::Durable(ticket) => {
                    if let Some(job) = self.tickets.remove(&ticket) {
                        self.history.push(Observation::JobAccepted(self.jobs[job].id.clone()));
                        self.confirmed.insert(job);
                    }
                }
                Effect::Wake(agent) => self.answer_if_due(owner, &agent),
            }
        }
    }

    /// Answers the agent's report that waits for an answer if orders are ready for the agent.
    fn answer_if_due(&mut self, owner: usize, agent: &str) {
        if self.owners[owner].has_orders(self.local_time(owner), agent) {
            self.answer(owner, agent);
        }
    }

    /// Submits a job to the current owner, and again every three seconds until it is confirmed.
    fn submit(&mut self, job: usize) {
        if self.confirmed.contains(&job) {
            return;
        }
        let owner = self.newest();
        self.schedule(ms(3_000), Input::Submit(job));
        self.last_number += 1;
        let ticket = self.last_number;
        let paused = self.owners[owner].paused_until > self.now;
        let Some(cell) = self.owners[owner].cell.as_mut().filter(|_| !paused) else { return };
        if cell.is_stopped() {
            return;
        }
        let reply = cell.submit(self.jobs[job].clone(), ticket);
        assert!(matches!(reply, SubmitReply::Created | SubmitReply::Existing), "{reply:?}");
        self.tickets.insert(ticket, job);
        self.release_effects(owner);
    }

    /// Cancels a job, and checks that another team cannot.
    pub fn cancel(&mut self, job: usize) {
        let Some(cell) = self.owners.last_mut().and_then(|owner| owner.cell.as_mut()) else {
            return;
        };
        let reply = cell.cancel(Some("team"), &self.jobs[job].id, u64::MAX);
        let other = cell.cancel(Some("other"), &self.jobs[job].id, u64::MAX);
        assert_eq!(
            other,
            CancelReply::NotFound,
            "visible to another team; reply to the own team: {reply:?}"
        );
    }

    /// Passes an agent's report to an owner, which answers it at once if orders are ready and
    /// otherwise after one second.
    fn report(&mut self, owner: usize, report: Report) {
        let local_time = self.local_time(owner);
        if !self.owners[owner].accept_report(local_time, &report) {
            return;
        }
        let Report { agent, incarnation, sequence, results, .. } = report;
        self.history.extend(results.into_iter().filter_map(|result| match result.outcome {
            Outcome::Evicted { checkpoint } => {
                Some(Observation::EvictionReported { attempt: result.attempt, checkpoint })
            }
            _ => None,
        }));
        self.commit_if_idle(owner);
        self.answer_if_due(owner, &agent);
        self.schedule(ms(1_000), Input::AnswerDue { owner, agent, incarnation, sequence });
    }

    /// Sends the answer to the agent's report that waits for one.
    fn answer(&mut self, owner: usize, agent: &str) {
        let local_time = self.local_time(owner);
        let answered = self.owners[owner].answer(local_time, agent, &mut self.history);
        let Some((incarnation, orders)) = answered else { return };
        let answer = Answer { agent: agent.to_owned(), incarnation, orders };
        self.deliver(Input::World(answer.into()));
    }
}
