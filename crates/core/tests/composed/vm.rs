//! A VM: the model of the worker, and the real agent core that drives it.

use std::collections::BTreeSet;
use std::time::Duration;

use fastrand::Rng;
use peridotfold_core::id::Incarnation;
use peridotfold_core::ledger::Limits;
use peridotfold_core::message::report::AttemptId;
use peridotfold_core::resources::Resources;
use peridotfold_core::tasks::worker::WorkerList;
use peridotfold_core::tasks::{Action, Effect, Identity, Tasks};
use peridotfold_core::time::Time;

use crate::history::Fact;
use crate::model_worker::{ModelWorker, CAPACITY};

const SERVICE: Resources = Resources::new(10_000, 20_000, 0);
const ACTION_TIMEOUT: Duration = Duration::from_secs(1);

enum Cycle {
    Idle,
    Listed {
        asked_at: Time,
        list: WorkerList,
    },
    /// Waits for the worker's reply, or for the timeout.
    Waiting {
        action: Action,
        until: Time,
        then: Vec<Action>,
    },
}

/// An agent process.
pub struct Agent {
    pub tasks: Tasks,
    pub incarnation: Incarnation,
    pub owner: usize,
    /// Sequence of the last report, and whether its answer has come.
    pub sequence: u64,
    pub answered: bool,
    cycle: Cycle,
}

pub struct Vm {
    pub id: String,
    pub rack: String,
    offset: Duration,
    rate: f64,
    worker: ModelWorker,
    /// Requests on their way to the worker, with the time of arrival.
    flights: Vec<(Time, Action)>,
    pub agent: Option<Agent>,
    pub frozen_until: Time,
    pub up_cut_until: Time,
    pub down_cut_until: Time,
    live: BTreeSet<AttemptId>,
    started: usize,
}

impl Vm {
    pub fn new(rng: &mut Rng, index: usize) -> Vm {
        let offset = Duration::from_secs(rng.u64(0..100));
        Vm {
            id: format!("vm-{index}"),
            rack: format!("rack-{}", index / 2),
            offset,
            rate: 0.99 + 0.02 * rng.f64(),
            worker: ModelWorker::new(offset, index as u64 * 1_000),
            flights: Vec::new(),
            agent: None,
            frozen_until: Time::ZERO,
            up_cut_until: Time::ZERO,
            down_cut_until: Time::ZERO,
            live: BTreeSet::new(),
            started: 0,
        }
    }

    pub fn clock(&self, now: Time) -> Time {
        self.offset + now.mul_f64(self.rate)
    }

    pub fn boot(&mut self, incarnation: Incarnation, owner: usize) {
        let identity = Identity {
            agent: self.id.clone(),
            incarnation,
            cell: "cell".into(),
            rack: self.rack.clone(),
        };
        let mut tasks = Tasks::new(identity, Duration::from_millis(500));
        tasks.set_limits(Limits {
            service: SERVICE,
            classes: ["urgent", "normal"].map(|class| (class.to_owned(), CAPACITY)).into(),
            closing: None,
        });
        let cycle = Cycle::Idle;
        let agent = Agent { tasks, incarnation, owner, sequence: 0, answered: true, cycle };
        self.agent = Some(agent);
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
        for (attempt, _) in &self.worker.started[self.started..] {
            let task = self.worker.tasks.get(attempt);
            let checkpoint = task.and_then(|task| task.info.checkpoint.clone()).map(Into::into);
            history.push(Fact::Begun { attempt: attempt.clone(), checkpoint });
            self.live.insert(attempt.clone());
        }
        self.started = self.worker.started.len();
    }

    /// Panics when the VM was assigned more than it holds, or the agent's ledger misses a task.
    pub fn check_capacity(&self) {
        let needs = self.worker.running().map(|task| task.info.need);
        let sum = needs.fold(Resources::default(), |sum, need| sum.plus(&need));
        let room = CAPACITY.minus(&SERVICE);
        assert!(sum.fits_in(&room), "{} is assigned {sum:?} of {room:?}", self.id);
        if let Some(agent) = self.agent.as_ref().filter(|agent| agent.tasks.is_adopted()) {
            for task in self.worker.running() {
                let id = &task.info.attempt;
                assert!(agent.tasks.ledger().holds(id), "{id:?} runs without a reservation");
            }
        }
    }

    /// Requests that were delayed arrive; tells whether any did. Nobody awaits their replies.
    pub fn land_flights(&mut self, now: Time) -> bool {
        let clock = self.clock(now);
        let due = |(at, _): &(Time, Action)| *at <= now;
        let (landed, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.flights).into_iter().partition(due);
        self.flights = later;
        let any = !landed.is_empty();
        for (_, action) in landed {
            // A late removal may find nothing to remove.
            if !matches!(action, Action::Remove(_)) {
                self.worker.perform(clock, &action);
            }
        }
        any
    }

    /// Runs one part of the agent's cycle of listing and acting.
    pub fn run_agent(&mut self, now: Time, faulty: bool, rng: &mut Rng) {
        let clock = self.clock(now);
        let Some(agent) = &mut self.agent else { return };
        match std::mem::replace(&mut agent.cycle, Cycle::Idle) {
            Cycle::Idle if faulty && rng.u8(..20) == 0 => {}
            Cycle::Idle => {
                match agent.tasks.claim_request().map(|request| self.worker.claim(request)) {
                    Some(None) => return agent.tasks.claim_refused(),
                    Some(Some(claimed)) => agent.tasks.claimed(claimed),
                    None => {}
                }
                let list = self.worker.list(clock);
                let slow = faulty && rng.u8(..4) == 0;
                agent.cycle = Cycle::Listed { asked_at: clock, list };
                if !slow {
                    self.run_agent(now, faulty, rng);
                }
            }
            Cycle::Listed { asked_at, list } => {
                agent.tasks.listed(asked_at, clock, &list);
                let mut actions = agent.tasks.actions(clock);
                actions.reverse();
                self.perform_all(now, actions, faulty, rng);
            }
            Cycle::Waiting { action, until, then } if clock >= until => {
                agent.tasks.performed(clock, &action, Effect::Unknown);
                self.perform_all(now, then, faulty, rng);
            }
            waiting => agent.cycle = waiting,
        }
    }

    /// Performs actions, the last one first, until one is not answered at once.
    fn perform_all(&mut self, now: Time, mut actions: Vec<Action>, faulty: bool, rng: &mut Rng) {
        let clock = self.clock(now);
        let Some(agent) = &mut self.agent else { return };
        while let Some(action) = actions.pop() {
            if !agent.tasks.begin(clock, &action) {
                continue;
            }
            match if faulty { rng.u8(..100) } else { 99 } {
                0..3 => agent.tasks.performed(clock, &action, Effect::NotSent),
                3..7 => {
                    let arrives_at = now + Duration::from_millis(rng.u64(100..6_000));
                    self.flights.push((arrives_at, action.clone()));
                    let until = clock + ACTION_TIMEOUT;
                    agent.cycle = Cycle::Waiting { action, until, then: actions };
                    return;
                }
                7..10 => {
                    self.worker.perform(clock, &action);
                    agent.tasks.performed(clock, &action, Effect::Unknown);
                }
                _ => {
                    let (effect, checkpoint) = self.worker.perform(clock, &action);
                    agent.tasks.performed(clock, &action, effect);
                    if let (Action::Checkpoint(id), Some(text)) = (&action, checkpoint) {
                        agent.tasks.checkpointed(id, text.into());
                    }
                }
            }
        }
        agent.tasks.take_events();
    }
}
