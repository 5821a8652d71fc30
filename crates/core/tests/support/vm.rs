//! A model of a VM with its platform worker and agent, which reports to the owner of the cell and
//! carries out its orders.

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

use crate::history::Observation;

/// An attempt that runs on the VM.
pub struct Task {
    pub need: Resources,
    /// Work that the checkpoint covers, in milliseconds.
    pub start_progress: u64,
    /// Work of the whole task, in milliseconds.
    pub total_work: u64,
    /// Whether the task fails instead of completing.
    pub always_fails: bool,
    pub started_at: Time,
    pub lease_end: Time,
}

impl Task {
    /// Returns the time at which the task is done if its lease lasts.
    fn finish_time(&self) -> Time {
        self.started_at + Duration::from_millis(self.total_work - self.start_progress)
    }

    /// Returns the time at which the task is done or its lease expires.
    fn end_time(&self) -> Time {
        self.finish_time().min(self.lease_end)
    }

    /// Returns the checkpoint at a time: the work done, in milliseconds.
    fn progress(&self, local_time: Time) -> Bytes {
        let done =
            self.start_progress + local_time.saturating_sub(self.started_at).as_millis() as u64;
        Bytes::copy_from_slice(&done.min(self.total_work).to_le_bytes())
    }
}

/// A running agent process.
pub struct Agent {
    pub incarnation: Incarnation,
    pub sequence: u64,
    /// Sequence number of the last report whose answer was applied.
    pub answered_sequence: u64,
    challenge: u64,
    /// Local time at which each unanswered report was sent.
    sent_at: BTreeMap<u64, Time>,
    pub epoch: Epoch,
    /// Index of the owner that the agent reports to.
    pub owner: usize,
    pub frozen: bool,
    /// Orders that arrived while the agent was frozen.
    pub inbox: VecDeque<Orders>,
    pub leaving: bool,
    /// Attempts that this agent process refused to start.
    refused: BTreeSet<AttemptId>,
}

/// A VM, its platform worker and its agent.
pub struct Vm {
    pub id: String,
    pub rack: String,
    /// Rate of the VM's clock relative to simulated time.
    pub clock_rate: f64,
    pub capacity: Resources,
    /// Whether each task that would complete on this VM fails.
    pub faulty: bool,
    pub tasks: BTreeMap<AttemptId, Task>,
    pub results: BTreeMap<AttemptId, Outcome>,
    /// Highest epoch seen, which the platform worker keeps when the agent restarts.
    epoch: Epoch,
    pub agent: Option<Agent>,
    pub boot_count: u64,
    /// Whether a network partition drops all messages from and to the VM.
    pub is_cut_off: bool,
}

impl Vm {
    pub fn new(
        id: String,
        rack: String,
        clock_rate: f64,
        capacity: Resources,
        faulty: bool,
    ) -> Self {
        Vm {
            id,
            rack,
            clock_rate,
            capacity,
            faulty,
            tasks: BTreeMap::new(),
            results: BTreeMap::new(),
            epoch: 0,
            agent: None,
            boot_count: 0,
            is_cut_off: false,
        }
    }

    pub fn local_time(&self, now: Time) -> Time {
        now.mul_f64(self.clock_rate)
    }

    fn global_time(&self, local_time: Time) -> Time {
        local_time.div_f64(self.clock_rate) + Duration::from_micros(1)
    }

    /// Starts an agent process.
    pub fn boot(&mut self, owner: usize) {
        self.boot_count += 1;
        self.agent = Some(Agent {
            incarnation: self.boot_count * 1_000_003 % 977 + self.boot_count,
            sequence: 0,
            answered_sequence: 0,
            challenge: 0,
            sent_at: BTreeMap::new(),
            epoch: self.epoch,
            owner,
            frozen: false,
            inbox: VecDeque::new(),
            leaving: false,
            refused: BTreeSet::new(),
        });
    }

    /// Replaces the VM by an empty one: its tasks, results, epoch and agent are lost.
    pub fn replace(&mut self, history: &mut Vec<Observation>) {
        let tasks = std::mem::take(&mut self.tasks);
        history.extend(tasks.into_keys().map(|attempt| Observation::ExecutionEnded { attempt }));
        self.results.clear();
        self.epoch = 0;
        self.agent = None;
    }

    /// Ends the tasks that are done or whose lease has expired.
    pub fn advance(&mut self, now: Time, history: &mut Vec<Observation>) {
        let local_time = self.local_time(now);
        let is_due = |task: &Task| local_time >= task.end_time();
        let ended: Vec<AttemptId> =
            self.tasks.iter().filter(|(_, task)| is_due(task)).map(|(id, _)| id.clone()).collect();
        for id in ended {
            let task = &self.tasks[&id];
            let outcome = match () {
                () if task.finish_time() > task.lease_end => {
                    Outcome::Evicted { checkpoint: Some(task.progress(task.lease_end)) }
                }
                () if task.always_fails || self.faulty => {
                    Outcome::Failed { reason: "exit 1".to_owned() }
                }
                () => Outcome::Completed,
            };
            self.end(id, outcome, history);
        }
    }

    /// Ends a running attempt and keeps its outcome for the next reports.
    pub fn end(&mut self, id: AttemptId, outcome: Outcome, history: &mut Vec<Observation>) {
        if self.tasks.remove(&id).is_some() {
            history.push(Observation::ExecutionEnded { attempt: id.clone() });
            self.results.insert(id, outcome);
        }
    }

    /// Evicts all running tasks, or only the first one, with checkpoints.
    pub fn evict(&mut self, now: Time, only_first: bool, history: &mut Vec<Observation>) {
        let local_time = self.local_time(now);
        let limit = if only_first { 1 } else { usize::MAX };
        let ids: Vec<AttemptId> = self.tasks.keys().take(limit).cloned().collect();
        for id in ids {
            let checkpoint = Some(self.tasks[&id].progress(local_time));
            self.end(id, Outcome::Evicted { checkpoint }, history);
        }
    }

    /// Returns the next time at which a task ends, see [`Vm::advance`].
    pub fn next_end_time(&self) -> Option<Time> {
        self.tasks.values().map(Task::end_time).min().map(|end_time| self.global_time(end_time))
    }

    pub fn free(&self) -> Resources {
        self.tasks.values().fold(self.capacity, |free, task| free.minus(&task.need))
    }

    /// Returns the next report to the owner, or `None` if no agent runs or it is frozen.
    pub fn report(&mut self, now: Time) -> Option<Report> {
        let local_time = self.local_time(now);
        let free = self.free();
        let agent = self.agent.as_mut().filter(|agent| !agent.frozen)?;
        agent.sequence += 1;
        agent.sent_at.insert(agent.sequence, local_time);
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

    /// Carries out the orders that answer the agent's last report. Ignores other answers, repeated
    /// ones and those of an earlier owner.
    pub fn apply_orders(&mut self, now: Time, orders: Orders, history: &mut Vec<Observation>) {
        let local_time = self.local_time(now);
        let Some(agent) = &mut self.agent else { return };
        let Some(sent_at) = agent.sent_at.get(&orders.sequence).copied() else { return };
        let is_expected =
            orders.sequence == agent.sequence && agent.answered_sequence < agent.sequence;
        if orders.epoch < agent.epoch || !is_expected {
            return;
        }
        agent.answered_sequence = orders.sequence;
        if orders.challenge != 0 {
            agent.challenge = orders.challenge;
        }
        agent.epoch = orders.epoch;
        agent.sent_at.retain(|sequence, _| *sequence > orders.sequence);
        self.epoch = orders.epoch;
        let lease_end = sent_at + orders.lease;
        for task in self.tasks.values_mut() {
            task.lease_end = task.lease_end.max(lease_end);
        }
        for id in orders.acknowledged {
            self.results.remove(&id);
        }
        for start in orders.starts {
            if lease_end > local_time {
                self.start(local_time, lease_end, start, history);
            }
        }
        for stop in orders.stops {
            // An order to stop an attempt that is not running yields no result.
            if let Some(task) = self.tasks.get(&stop.attempt) {
                let checkpoint = stop.checkpoint.then(|| task.progress(local_time));
                self.end(stop.attempt, Outcome::Stopped { checkpoint }, history);
            }
        }
    }

    /// Starts an attempt if it fits in the free resources, or refuses it.
    fn start(
        &mut self,
        local_time: Time,
        lease_end: Time,
        order: StartOrder,
        history: &mut Vec<Observation>,
    ) {
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
            start_progress: order.checkpoint.as_ref().map_or(0, |bytes| number(bytes)),
            total_work: number(&order.command),
            always_fails: order.command[8] == 1,
            started_at: local_time,
            lease_end,
        };
        history.push(Observation::ExecutionStarted {
            attempt: id.clone(),
            checkpoint: order.checkpoint,
        });
        self.tasks.insert(id, task);
    }
}
