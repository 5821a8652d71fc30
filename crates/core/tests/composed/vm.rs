//! A simulated VM with the state of its connection to the owners. Records in the history which
//! attempts its worker starts and ends.

use std::collections::BTreeSet;
use std::ops::{Deref, DerefMut};

use fastrand::Rng;
use peridotfold_core::id::Incarnation;
use peridotfold_core::message::report::AttemptId;
use peridotfold_core::time::Time;

use crate::history::Observation;
use crate::machine::{FaultRates, Machine};

const FAULT_RATES: FaultRates =
    FaultRates { skipped_cycle: 5, delayed_list: 25, not_sent: 3, late: 4, lost_reply: 3 };

/// A simulated VM and its connection to the owners of the cell.
pub struct Vm {
    machine: Machine,
    /// Index of the owner that the agent reports to.
    pub owner: usize,
    /// Whether the owner has answered the last report.
    pub answered: bool,
    /// Time until which reports to owners are lost.
    pub reports_lost_until: Time,
    /// Time until which answers of owners are lost.
    pub answers_lost_until: Time,
    /// Attempts that the history shows as executing.
    executing: BTreeSet<AttemptId>,
    /// Number of starts already recorded in the history.
    started_seen: usize,
}

impl Deref for Vm {
    type Target = Machine;

    fn deref(&self) -> &Machine {
        &self.machine
    }
}

impl DerefMut for Vm {
    fn deref_mut(&mut self) -> &mut Machine {
        &mut self.machine
    }
}

impl Vm {
    pub fn new(rng: &mut Rng, index: usize) -> Vm {
        Vm {
            machine: Machine::new(rng, index, 0.01),
            owner: 0,
            answered: true,
            reports_lost_until: Time::ZERO,
            answers_lost_until: Time::ZERO,
            executing: BTreeSet::new(),
            started_seen: 0,
        }
    }

    /// Starts an agent that reports to `owner`.
    pub fn boot(&mut self, incarnation: Incarnation, owner: usize) {
        self.machine.boot(incarnation);
        (self.owner, self.answered) = (owner, true);
    }

    /// Replaces the VM by an empty one: its tasks, delayed actions and agent are lost.
    pub fn replace(&mut self, now: Time) {
        let clock = self.clock(now);
        self.worker.restart(clock);
        self.delayed_actions.clear();
        self.agent = None;
    }

    /// Records the attempts that the worker has ended. Returns whether there were any.
    pub fn record_ends(&mut self, now: Time, history: &mut Vec<Observation>) -> bool {
        let clock = self.clock(now);
        self.worker.advance(clock);
        let running: BTreeSet<AttemptId> =
            self.worker.running().map(|task| task.info.attempt.clone()).collect();
        let ended: Vec<AttemptId> = self.executing.difference(&running).cloned().collect();
        self.executing.retain(|id| running.contains(id));
        let any = !ended.is_empty();
        history.extend(ended.into_iter().map(|attempt| Observation::ExecutionEnded { attempt }));
        any
    }

    /// Records the attempts that the worker has started.
    pub fn record_starts(&mut self, history: &mut Vec<Observation>) {
        for (attempt, _) in &self.machine.worker.started[self.started_seen..] {
            let task = self.machine.worker.tasks.get(attempt);
            let checkpoint = task.and_then(|task| task.info.checkpoint.clone()).map(Into::into);
            history.push(Observation::ExecutionStarted { attempt: attempt.clone(), checkpoint });
            self.executing.insert(attempt.clone());
        }
        self.started_seen = self.worker.started.len();
    }

    /// Runs steps of the agent's poll cycle until it has to wait.
    pub fn run_agent(&mut self, now: Time, inject_faults: bool, rng: &mut Rng) {
        let rates = if inject_faults { FAULT_RATES } else { FaultRates::default() };
        while self.step_agent(now, &rates, rng) {}
    }
}
