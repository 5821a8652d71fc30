//! A worker VM with its platform worker and its agent, at the level of messages.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use peridotfold_core::id::{Epoch, Incarnation};
use peridotfold_core::message::announce::AgentState;
use peridotfold_core::message::report::{
    AttemptId, Orders, Outcome, Report, RunningTask, StartOrder, TaskResult,
};
use peridotfold_core::resources::Resources;
use peridotfold_core::time::Time;

use crate::history::Fact;

pub struct Task {
    pub need: Resources,
    /// Progress at the start and at the end, in milliseconds of work.
    pub from: u64,
    pub work: u64,
    pub flawed: bool,
    pub begun: Time,
    pub lease: Time,
}

impl Task {
    fn finish(&self) -> Time {
        self.begun + Duration::from_millis(self.work - self.from)
    }

    fn due(&self) -> Time {
        self.finish().min(self.lease)
    }

    fn progress(&self, local: Time) -> Bytes {
        let done = self.from + local.saturating_sub(self.begun).as_millis() as u64;
        Bytes::copy_from_slice(&done.min(self.work).to_le_bytes())
    }
}

pub struct Agent {
    pub incarnation: Incarnation,
    pub sequence: u64,
    pub processed: u64,
    challenge: u64,
    sent: BTreeMap<u64, Time>,
    pub epoch: Epoch,
    pub owner: usize,
    pub frozen: bool,
    pub inbox: VecDeque<Orders>,
    pub leaving: bool,
    refused: BTreeSet<AttemptId>,
}

pub struct Vm {
    pub id: String,
    pub rack: String,
    /// Speed of the VM's clock against true time.
    pub rate: f64,
    pub capacity: Resources,
    pub faulty: bool,
    pub tasks: BTreeMap<AttemptId, Task>,
    pub results: BTreeMap<AttemptId, Outcome>,
    /// Highest epoch, kept by the platform worker for an agent that restarts.
    epoch: Epoch,
    pub agent: Option<Agent>,
    pub incarnations: u64,
    /// Whether no message reaches or leaves the VM.
    pub is_cut_off: bool,
}

impl Vm {
    pub fn new(id: String, rack: String, rate: f64, capacity: Resources, faulty: bool) -> Self {
        Vm {
            id,
            rack,
            rate,
            capacity,
            faulty,
            tasks: BTreeMap::new(),
            results: BTreeMap::new(),
            epoch: 0,
            agent: None,
            incarnations: 0,
            is_cut_off: false,
        }
    }

    pub fn local(&self, now: Time) -> Time {
        now.mul_f64(self.rate)
    }

    fn global(&self, local: Time) -> Time {
        local.div_f64(self.rate) + Duration::from_micros(1)
    }

    /// Starts the agent. It lists what the platform worker runs before it reports.
    pub fn boot(&mut self, owner: usize) {
        self.incarnations += 1;
        self.agent = Some(Agent {
            incarnation: self.incarnations * 1_000_003 % 977 + self.incarnations,
            sequence: 0,
            processed: 0,
            challenge: 0,
            sent: BTreeMap::new(),
            epoch: self.epoch,
            owner,
            frozen: false,
            inbox: VecDeque::new(),
            leaving: false,
            refused: BTreeSet::new(),
        });
    }

    /// Replaces the machine: everything on it is gone.
    pub fn replace(&mut self, history: &mut Vec<Fact>) {
        let tasks = std::mem::take(&mut self.tasks);
        history.extend(tasks.into_keys().map(|attempt| Fact::Ended { attempt }));
        self.results.clear();
        self.epoch = 0;
        self.agent = None;
    }

    /// The platform worker ends what has finished or lost its lease.
    pub fn advance(&mut self, now: Time, history: &mut Vec<Fact>) {
        let local = self.local(now);
        let due = |task: &Task| local >= task.due();
        let ended: Vec<AttemptId> =
            self.tasks.iter().filter(|(_, task)| due(task)).map(|(id, _)| id.clone()).collect();
        for id in ended {
            let task = &self.tasks[&id];
            let outcome = match () {
                () if task.finish() > task.lease => {
                    Outcome::Evicted { checkpoint: Some(task.progress(task.lease)) }
                }
                () if task.flawed || self.faulty => Outcome::Failed { reason: "exit 1".to_owned() },
                () => Outcome::Completed,
            };
            self.end(id, outcome, history);
        }
    }

    pub fn end(&mut self, id: AttemptId, outcome: Outcome, history: &mut Vec<Fact>) {
        if self.tasks.remove(&id).is_some() {
            history.push(Fact::Ended { attempt: id.clone() });
            self.results.insert(id, outcome);
        }
    }

    /// Evicts each running task with its checkpoint.
    pub fn evict(&mut self, now: Time, only_first: bool, history: &mut Vec<Fact>) {
        let local = self.local(now);
        let limit = if only_first { 1 } else { usize::MAX };
        let ids: Vec<AttemptId> = self.tasks.keys().take(limit).cloned().collect();
        for id in ids {
            let checkpoint = Some(self.tasks[&id].progress(local));
            self.end(id, Outcome::Evicted { checkpoint }, history);
        }
    }

    /// Next time at which [`Vm::advance`] has something to do.
    pub fn next_due(&self) -> Option<Time> {
        self.tasks.values().map(Task::due).min().map(|due| self.global(due))
    }

    pub fn free(&self) -> Resources {
        self.tasks.values().fold(self.capacity, |free, task| free.minus(&task.need))
    }

    pub fn report(&mut self, now: Time) -> Option<Report> {
        let local = self.local(now);
        let free = self.free();
        let agent = self.agent.as_mut().filter(|agent| !agent.frozen)?;
        agent.sequence += 1;
        agent.sent.insert(agent.sequence, local);
        let running = self.tasks.keys().map(|attempt| RunningTask {
            attempt: attempt.clone(),
            measured: Resources::default(),
            speed_percent: 100,
        });
        let results = self.results.iter().map(|(attempt, outcome)| TaskResult {
            attempt: attempt.clone(),
            outcome: outcome.clone(),
        });
        Some(Report {
            agent: self.id.clone(),
            incarnation: agent.incarnation,
            echo: agent.challenge,
            cell: "cell".to_owned(),
            rack: self.rack.clone(),
            sequence: agent.sequence,
            state: if agent.leaving { AgentState::Leaving } else { AgentState::Ready },
            epoch: agent.epoch,
            batch_capacity: self.capacity,
            free,
            urgent_free: free,
            running: running.collect(),
            results: results.collect(),
            pressure_percent: 0,
        })
    }

    /// The agent obeys the answer to its newest report, once, unless it is from an earlier owner.
    pub fn obey(&mut self, now: Time, orders: Orders, history: &mut Vec<Fact>) {
        let local = self.local(now);
        let Some(agent) = &mut self.agent else { return };
        let Some(sent) = agent.sent.get(&orders.sequence).copied() else { return };
        let is_awaited = orders.sequence == agent.sequence && agent.processed < agent.sequence;
        if orders.epoch < agent.epoch || !is_awaited {
            return;
        }
        agent.processed = orders.sequence;
        if orders.challenge != 0 {
            agent.challenge = orders.challenge;
        }
        agent.epoch = orders.epoch;
        agent.sent.retain(|sequence, _| *sequence > orders.sequence);
        self.epoch = orders.epoch;
        let lease = sent + orders.lease;
        for task in self.tasks.values_mut() {
            task.lease = task.lease.max(lease);
        }
        for id in orders.acknowledged {
            self.results.remove(&id);
        }
        for start in orders.starts {
            if lease > local {
                self.start(local, lease, start, history);
            }
        }
        for stop in orders.stops {
            // A stop of an attempt that the agent does not hold has no result.
            if let Some(task) = self.tasks.get(&stop.attempt) {
                let checkpoint = stop.checkpoint.then(|| task.progress(local));
                self.end(stop.attempt, Outcome::Stopped { checkpoint }, history);
            }
        }
    }

    fn start(&mut self, local: Time, lease: Time, order: StartOrder, history: &mut Vec<Fact>) {
        let id = order.attempt;
        let free = self.free();
        let Some(agent) = &mut self.agent else { return };
        if self.tasks.contains_key(&id) || self.results.contains_key(&id) {
            return;
        }
        if agent.leaving || !order.need.fits_in(&free) || agent.refused.contains(&id) {
            agent.refused.insert(id.clone());
            self.results.insert(id, Outcome::Refused { reason: "no room".to_owned() });
            return;
        }
        let number = |bytes: &[u8]| u64::from_le_bytes(bytes[..8].try_into().expect("8 bytes"));
        let task = Task {
            need: order.need,
            from: order.checkpoint.as_ref().map_or(0, |bytes| number(bytes)),
            work: number(&order.command),
            flawed: order.command[8] == 1,
            begun: local,
            lease,
        };
        history.push(Fact::Begun { attempt: id.clone(), checkpoint: order.checkpoint });
        self.tasks.insert(id, task);
    }
}
