//! A simulated VM: a model of the platform's worker, driven by the real task state machine of the
//! agent ([`Tasks`]).

use std::time::Duration;

use fastrand::Rng;
use peridotfold_core::id::Incarnation;
use peridotfold_core::ledger::Limits;
use peridotfold_core::resources::Resources;
use peridotfold_core::tasks::worker::WorkerList;
use peridotfold_core::tasks::{Action, ActionResult, Identity, Tasks};
use peridotfold_core::time::Time;

use crate::model_worker::{ModelWorker, CAPACITY};

const SERVICE_LIMIT: Resources = Resources::new(10_000, 20_000, 0);
const ACTION_TIMEOUT: Duration = Duration::from_secs(1);

/// Probabilities of faults between agent and worker, in percent.
#[derive(Clone, Copy, Default)]
pub struct FaultRates {
    /// The agent does not start a poll cycle.
    pub skipped_cycle: u8,
    /// The request for the task list, or its reply, is delayed to the next step.
    pub delayed_list: u8,
    /// An action is not sent to the worker, and the agent knows.
    pub not_sent: u8,
    /// An action arrives at the worker after a delay of up to 6 s, possibly after its timeout.
    pub late: u8,
    /// The worker performs an action, but its reply is lost.
    pub lost_reply: u8,
}

/// Progress of the agent's poll cycle: it lists the worker's tasks, then performs actions.
enum Cycle {
    Idle,
    ListRequested {
        requested_at: Time,
    },
    Listed {
        requested_at: Time,
        list: WorkerList,
    },
    /// Performs the remaining actions, from the last element to the first.
    Performing {
        actions: Vec<Action>,
    },
    /// Waits for the timeout of a delayed action.
    Waiting {
        action: Action,
        until: Time,
        remaining: Vec<Action>,
    },
}

/// A running agent process.
pub struct Agent {
    pub tasks: Tasks,
    pub incarnation: Incarnation,
    /// Sequence number of the last report.
    pub sequence: u64,
    cycle: Cycle,
}

/// A simulated VM.
pub struct Machine {
    pub id: String,
    pub rack: String,
    clock_offset: Duration,
    clock_rate: f64,
    pub worker: ModelWorker,
    /// Delayed actions that have not reached the worker yet, with their time of arrival.
    pub delayed_actions: Vec<(Time, Action)>,
    pub agent: Option<Agent>,
    pub frozen_until: Time,
}

impl Machine {
    /// Creates a VM whose clock rate deviates from 1 by up to `max_drift`.
    pub fn new(rng: &mut Rng, index: usize, max_drift: f64) -> Self {
        let clock_offset = Duration::from_secs(rng.u64(0..100));
        Machine {
            id: format!("vm-{index}"),
            rack: format!("rack-{}", index / 2),
            clock_offset,
            clock_rate: 1.0 - max_drift + 2.0 * max_drift * rng.f64(),
            worker: ModelWorker::new(clock_offset, index as u64 * 1_000),
            delayed_actions: Vec::new(),
            agent: None,
            frozen_until: Time::ZERO,
        }
    }

    /// Returns the time of the VM's clock.
    pub fn clock(&self, now: Time) -> Time {
        self.clock_offset + now.mul_f64(self.clock_rate)
    }

    /// Starts an agent process on the VM.
    pub fn boot(&mut self, incarnation: Incarnation) {
        let identity = Identity {
            agent: self.id.clone(),
            incarnation,
            cell: "cell".into(),
            rack: self.rack.clone(),
        };
        let mut tasks = Tasks::new(identity, Duration::from_millis(500));
        let classes = ["urgent", "normal", "rebuild"];
        tasks.set_limits(Limits {
            service: SERVICE_LIMIT,
            classes: classes.map(|class| (class.to_owned(), CAPACITY)).into(),
            closing: None,
        });
        self.agent = Some(Agent { tasks, incarnation, sequence: 0, cycle: Cycle::Idle });
    }

    /// Checks that the running tasks fit in the VM's batch capacity, and that the agent's ledger
    /// holds a reservation for each of them.
    ///
    /// # Panics
    ///
    /// Panics when a check fails.
    pub fn check_capacity(&self) {
        let needs = self.worker.running().map(|task| task.info.need);
        let sum = needs.fold(Resources::default(), |sum, need| sum.plus(&need));
        let batch_capacity = CAPACITY.minus(&SERVICE_LIMIT);
        assert!(
            sum.fits_in(&batch_capacity),
            "{} is assigned {sum:?} of {batch_capacity:?}",
            self.id
        );
        if let Some(agent) = self.agent.as_ref().filter(|agent| agent.tasks.is_adopted()) {
            for task in self.worker.running() {
                let id = &task.info.attempt;
                assert!(agent.tasks.ledger().holds(id), "{id:?} runs without a reservation");
            }
        }
    }

    /// Performs the delayed actions that arrive by `now`, and returns whether there were any. Their
    /// replies are dropped.
    pub fn deliver_delayed_actions(&mut self, now: Time) -> bool {
        let clock = self.clock(now);
        let due = |(at, _): &(Time, Action)| *at <= now;
        let (arrived, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.delayed_actions).into_iter().partition(due);
        self.delayed_actions = later;
        let any = !arrived.is_empty();
        for (_, action) in arrived {
            // The result that a delayed removal names may be gone already.
            if !matches!(action, Action::Remove(_)) {
                self.worker.perform(clock, &action);
            }
        }
        any
    }

    /// Runs one step of the agent's poll cycle. Returns whether the next step may follow
    /// immediately.
    pub fn step_agent(&mut self, now: Time, rates: &FaultRates, rng: &mut Rng) -> bool {
        let clock = self.clock(now);
        let Some(agent) = &mut self.agent else { return false };
        let (next, may_continue) = match std::mem::replace(&mut agent.cycle, Cycle::Idle) {
            Cycle::Idle if rng.u8(..100) < rates.skipped_cycle => (Cycle::Idle, false),
            Cycle::Idle => {
                match agent.tasks.claim_request().map(|request| self.worker.claim(request)) {
                    Some(None) => agent.tasks.claim_refused(),
                    Some(Some(claimed)) => agent.tasks.claimed(claimed),
                    None => {}
                }
                (Cycle::ListRequested { requested_at: clock }, true)
            }
            Cycle::ListRequested { requested_at } if rng.u8(..100) < rates.delayed_list => {
                (Cycle::ListRequested { requested_at }, false)
            }
            Cycle::ListRequested { requested_at } => {
                (Cycle::Listed { requested_at, list: self.worker.list(clock) }, true)
            }
            Cycle::Listed { requested_at, list } if rng.u8(..100) < rates.delayed_list => {
                (Cycle::Listed { requested_at, list }, false)
            }
            Cycle::Listed { requested_at, list } => {
                agent.tasks.apply_list(requested_at, clock, &list);
                let mut actions = agent.tasks.actions(clock);
                actions.reverse();
                (Cycle::Performing { actions }, true)
            }
            Cycle::Performing { actions } => self.perform_next(now, actions, rates, rng),
            Cycle::Waiting { action, until, remaining } if clock >= until => {
                agent.tasks.record_result(clock, &action, ActionResult::Unknown);
                (Cycle::Performing { actions: remaining }, true)
            }
            waiting => (waiting, false),
        };
        if let Some(agent) = &mut self.agent {
            agent.cycle = next;
        }
        may_continue
    }

    /// Performs the last of `actions` with one of the faults, or ends the poll cycle if none is
    /// left.
    fn perform_next(
        &mut self,
        now: Time,
        mut actions: Vec<Action>,
        rates: &FaultRates,
        rng: &mut Rng,
    ) -> (Cycle, bool) {
        let clock = self.clock(now);
        let Some(Agent { tasks, .. }) = &mut self.agent else { return (Cycle::Idle, false) };
        let Some(action) = actions.pop() else {
            tasks.take_events();
            return (Cycle::Idle, false);
        };
        if !tasks.begin(clock, &action) {
            return (Cycle::Performing { actions }, true);
        }
        let roll = rng.u8(..100);
        let (not_sent, late) = (rates.not_sent, rates.not_sent + rates.late);
        match roll {
            _ if roll < not_sent => tasks.record_result(clock, &action, ActionResult::NotSent),
            _ if roll < late => {
                let arrives_at = now + Duration::from_millis(rng.u64(100..6_000));
                self.delayed_actions.push((arrives_at, action.clone()));
                let until = clock + ACTION_TIMEOUT;
                return (Cycle::Waiting { action, until, remaining: actions }, false);
            }
            _ if roll < late + rates.lost_reply => {
                self.worker.perform(clock, &action);
                tasks.record_result(clock, &action, ActionResult::Unknown);
            }
            _ => {
                let (effect, checkpoint) = self.worker.perform(clock, &action);
                tasks.record_result(clock, &action, effect);
                if let (Action::Checkpoint(id), Some(text)) = (&action, checkpoint) {
                    tasks.record_checkpoint(id, text.into());
                }
            }
        }
        (Cycle::Performing { actions }, true)
    }
}
