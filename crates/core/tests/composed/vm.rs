//! A VM, how its agent reaches owners, and what its worker begins and ends.

use std::collections::BTreeSet;
use std::ops::{Deref, DerefMut};

use fastrand::Rng;
use peridotfold_core::id::Incarnation;
use peridotfold_core::message::report::AttemptId;
use peridotfold_core::time::Time;

use crate::history::Fact;
use crate::machine::{Machine, Odds};

const ODDS: Odds = Odds { lost: 5, slow: 25, not_sent: 3, late: 4, unknown: 3 };

pub struct Vm {
    machine: Machine,
    /// Owner that the agent reports to, and whether it has answered the last report.
    pub owner: usize,
    pub answered: bool,
    pub up_cut_until: Time,
    pub down_cut_until: Time,
    live: BTreeSet<AttemptId>,
    started: usize,
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
            up_cut_until: Time::ZERO,
            down_cut_until: Time::ZERO,
            live: BTreeSet::new(),
            started: 0,
        }
    }

    pub fn boot(&mut self, incarnation: Incarnation, owner: usize) {
        self.machine.boot(incarnation);
        (self.owner, self.answered) = (owner, true);
    }

    /// Replaces the machine: everything on it is gone.
    pub fn replace(&mut self, now: Time) {
        let clock = self.clock(now);
        self.worker.restart(clock);
        self.flights.clear();
        self.agent = None;
    }

    /// Notes what ended, then what began; tells what has ended.
    pub fn observe_ends(&mut self, now: Time, history: &mut Vec<Fact>) -> bool {
        let clock = self.clock(now);
        self.worker.advance(clock);
        let running: BTreeSet<AttemptId> =
            self.worker.running().map(|task| task.info.attempt.clone()).collect();
        let ended: Vec<AttemptId> = self.live.difference(&running).cloned().collect();
        self.live.retain(|id| running.contains(id));
        let any = !ended.is_empty();
        history.extend(ended.into_iter().map(|attempt| Fact::Ended { attempt }));
        any
    }

    pub fn observe_begins(&mut self, history: &mut Vec<Fact>) {
        for (attempt, _) in &self.machine.worker.started[self.started..] {
            let task = self.machine.worker.tasks.get(attempt);
            let checkpoint = task.and_then(|task| task.info.checkpoint.clone()).map(Into::into);
            history.push(Fact::Begun { attempt: attempt.clone(), checkpoint });
            self.live.insert(attempt.clone());
        }
        self.started = self.worker.started.len();
    }

    /// Runs the agent's cycle of listing and acting until it waits.
    pub fn run_agent(&mut self, now: Time, faulty: bool, rng: &mut Rng) {
        let odds = if faulty { ODDS } else { Odds::default() };
        while self.step_agent(now, &odds, rng) {}
    }
}
