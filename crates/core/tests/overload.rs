//! Guards the targets under overload: with offered load at twice the capacity, goodput is at least
//! 95% of the capacity, and 99% of the accepted requests meet their deadline.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use peridotfold_core::admission::{Action, Admission, Ending, Limits, Offer};
use peridotfold_core::message::request::RequestId;
use peridotfold_core::time::Time;

const LIMITS: Limits = Limits { slots: 8, connections: 60, queue: 32 };
/// Mean service time.
const MEAN: Duration = Duration::from_millis(10);
const REQUESTS: u64 = 20_000;
/// Ratio of the arrival rate to the capacity.
const OVERLOAD: f64 = 2.0;

/// Simulation of one upstream under random load in virtual time.
struct Simulation {
    rng: fastrand::Rng,
    admission: Admission,
    /// End times and numbers of the running requests.
    ends: BinaryHeap<Reverse<(Time, u64)>>,
    deadlines: HashMap<u64, Time>,
    accepted: u64,
    /// Requests that ended by their deadline.
    in_time: u64,
}

fn id(number: u64) -> RequestId {
    RequestId { entry: "e1".into(), incarnation: 1, number }
}

impl Simulation {
    fn start(&mut self, now: Time, number: u64) {
        let factor = 0.5 + self.rng.f64();
        self.ends.push(Reverse((now + MEAN.mul_f64(factor), number)));
    }

    fn perform(&mut self, now: Time, actions: Vec<Action>) {
        for action in actions {
            if let Action::Start(id) = action {
                self.start(now, id.number);
            }
        }
    }

    fn finish_until(&mut self, limit: Time) {
        while let Some(Reverse((now, number))) = self.ends.peek().copied() {
            if now > limit {
                return;
            }
            self.ends.pop();
            self.in_time += u64::from(now <= self.deadlines[&number]);
            let actions = self.admission.finish(now, &id(number), Ending::Answered);
            self.perform(now, actions);
        }
    }

    fn arrive(&mut self, now: Time, number: u64, timeout: Duration) {
        let due = self.admission.tick(now);
        self.perform(now, due);
        self.deadlines.insert(number, now + timeout);
        match self.admission.offer(now, &id(number), now + timeout) {
            Offer::Start => {
                self.accepted += 1;
                self.start(now, number);
            }
            Offer::Queued => self.accepted += 1,
            Offer::Refused(refusal) => assert!(refusal.retry_after > Duration::ZERO),
            Offer::Repeated => panic!("request {number} is new"),
        }
    }
}

/// Returns the goodput as a fraction of the capacity, and the fraction of accepted requests that meet
/// their deadline.
fn overload(seed: u64, timeout: Duration) -> (f64, f64) {
    let mut simulation = Simulation {
        rng: fastrand::Rng::with_seed(seed),
        admission: Admission::new(LIMITS),
        ends: BinaryHeap::new(),
        deadlines: HashMap::new(),
        accepted: 0,
        in_time: 0,
    };
    let capacity = f64::from(LIMITS.slots) / MEAN.as_secs_f64();
    let mut now = Time::ZERO;
    for number in 0..REQUESTS {
        let gap = -(1.0 - simulation.rng.f64()).ln() / (capacity * OVERLOAD);
        now += Duration::from_secs_f64(gap);
        simulation.finish_until(now);
        simulation.arrive(now, number, timeout);
    }
    let goodput = simulation.in_time as f64 / (capacity * now.as_secs_f64());
    simulation.finish_until(Time::MAX);
    (goodput, simulation.in_time as f64 / simulation.accepted as f64)
}

#[test]
fn goodput_and_deadlines_hold_at_twice_the_capacity() {
    for timeout_ms in [25, 50, 200, 2_000] {
        for seed in 0..5 {
            let (goodput, in_time) = overload(seed, Duration::from_millis(timeout_ms));
            let case = format!("timeout {timeout_ms} ms, seed {seed}");
            assert!(goodput >= 0.95, "{case}: goodput {goodput}");
            assert!(in_time >= 0.99, "{case}: in time {in_time}");
        }
    }
}
