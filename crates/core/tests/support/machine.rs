//! A VM: the model of the worker, and the real agent core that drives it.

use std::time::Duration;

use fastrand::Rng;
use peridotfold_core::id::Incarnation;
use peridotfold_core::ledger::Limits;
use peridotfold_core::resources::Resources;
use peridotfold_core::tasks::worker::WorkerList;
use peridotfold_core::tasks::{Action, ActionResult, Identity, Tasks};
use peridotfold_core::time::Time;

use crate::model_worker::{ModelWorker, CAPACITY};

const SERVICE: Resources = Resources::new(10_000, 20_000, 0);
const ACTION_TIMEOUT: Duration = Duration::from_secs(1);

/// How often something goes wrong between agent and worker, in percent.
#[derive(Clone, Copy, Default)]
pub struct Odds {
    /// A cycle does not begin.
    pub lost: u8,
    /// A list waits.
    pub slow: u8,
    pub not_sent: u8,
    /// A request arrives after its timeout.
    pub late: u8,
    /// A reply is lost.
    pub unknown: u8,
}

enum Cycle {
    Idle,
    Asked {
        asked_at: Time,
    },
    Listed {
        asked_at: Time,
        list: WorkerList,
    },
    /// The last action comes first.
    Effects {
        actions: Vec<Action>,
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
    /// Sequence of the last report.
    pub sequence: u64,
    cycle: Cycle,
}

pub struct Machine {
    pub id: String,
    pub rack: String,
    offset: Duration,
    rate: f64,
    pub worker: ModelWorker,
    /// Requests on their way to the worker, with the time of arrival.
    pub flights: Vec<(Time, Action)>,
    pub agent: Option<Agent>,
    pub frozen_until: Time,
}

impl Machine {
    /// `spread` is the largest deviation of the clock's rate.
    pub fn new(rng: &mut Rng, index: usize, spread: f64) -> Self {
        let offset = Duration::from_secs(rng.u64(0..100));
        Machine {
            id: format!("vm-{index}"),
            rack: format!("rack-{}", index / 2),
            offset,
            rate: 1.0 - spread + 2.0 * spread * rng.f64(),
            worker: ModelWorker::new(offset, index as u64 * 1_000),
            flights: Vec::new(),
            agent: None,
            frozen_until: Time::ZERO,
        }
    }

    pub fn clock(&self, now: Time) -> Time {
        self.offset + now.mul_f64(self.rate)
    }

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
            service: SERVICE,
            classes: classes.map(|class| (class.to_owned(), CAPACITY)).into(),
            closing: None,
        });
        self.agent = Some(Agent { tasks, incarnation, sequence: 0, cycle: Cycle::Idle });
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

    /// Runs one part of the agent's cycle of listing and acting; tells whether the next one may
    /// follow at once.
    pub fn step_agent(&mut self, now: Time, odds: &Odds, rng: &mut Rng) -> bool {
        let clock = self.clock(now);
        let Some(agent) = &mut self.agent else { return false };
        let (next, goes_on) = match std::mem::replace(&mut agent.cycle, Cycle::Idle) {
            Cycle::Idle if rng.u8(..100) < odds.lost => (Cycle::Idle, false),
            Cycle::Idle => {
                match agent.tasks.claim_request().map(|request| self.worker.claim(request)) {
                    Some(None) => agent.tasks.claim_refused(),
                    Some(Some(claimed)) => agent.tasks.claimed(claimed),
                    None => {}
                }
                (Cycle::Asked { asked_at: clock }, true)
            }
            Cycle::Asked { asked_at } if rng.u8(..100) < odds.slow => {
                (Cycle::Asked { asked_at }, false)
            }
            Cycle::Asked { asked_at } => {
                (Cycle::Listed { asked_at, list: self.worker.list(clock) }, true)
            }
            Cycle::Listed { asked_at, list } if rng.u8(..100) < odds.slow => {
                (Cycle::Listed { asked_at, list }, false)
            }
            Cycle::Listed { asked_at, list } => {
                agent.tasks.apply_list(asked_at, clock, &list);
                let mut actions = agent.tasks.actions(clock);
                actions.reverse();
                (Cycle::Effects { actions }, true)
            }
            Cycle::Effects { actions } => self.perform_next(now, actions, odds, rng),
            Cycle::Waiting { action, until, then } if clock >= until => {
                agent.tasks.record_result(clock, &action, ActionResult::Unknown);
                (Cycle::Effects { actions: then }, true)
            }
            waiting => (waiting, false),
        };
        if let Some(agent) = &mut self.agent {
            agent.cycle = next;
        }
        goes_on
    }

    fn perform_next(
        &mut self,
        now: Time,
        mut actions: Vec<Action>,
        odds: &Odds,
        rng: &mut Rng,
    ) -> (Cycle, bool) {
        let clock = self.clock(now);
        let Some(Agent { tasks, .. }) = &mut self.agent else { return (Cycle::Idle, false) };
        let Some(action) = actions.pop() else {
            tasks.take_events();
            return (Cycle::Idle, false);
        };
        if !tasks.begin(clock, &action) {
            return (Cycle::Effects { actions }, true);
        }
        let fate = rng.u8(..100);
        let (not_sent, late) = (odds.not_sent, odds.not_sent + odds.late);
        match fate {
            _ if fate < not_sent => tasks.record_result(clock, &action, ActionResult::NotSent),
            _ if fate < late => {
                let arrives_at = now + Duration::from_millis(rng.u64(100..6_000));
                self.flights.push((arrives_at, action.clone()));
                let until = clock + ACTION_TIMEOUT;
                return (Cycle::Waiting { action, until, then: actions }, false);
            }
            _ if fate < late + odds.unknown => {
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
        (Cycle::Effects { actions }, true)
    }
}
