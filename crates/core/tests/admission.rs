//! Guards against requests that run twice or after they were reported as not run, and against
//! exceeding the slots, connections and queue of an upstream.

#[path = "support/schedules.rs"]
mod schedules;

use std::collections::HashMap;
use std::time::Duration;

use peridotfold_core::admission::history::{
    INCARNATION_IDLE, MAX_INCARNATIONS, NUMBERS_PER_INCARNATION, RETENTION,
};
use peridotfold_core::admission::{Action, Admission, Ending, Limits, Offer, Refusal};
use peridotfold_core::message::request::{CancelReply, RefuseReason, RequestId};
use peridotfold_core::time::Time;

/// Random schedules, one per seed.
const SCHEDULES: u64 = 10_000;
/// Steps in each schedule.
const STEPS: usize = 200;
const LIMITS: Limits = Limits { slots: 8, connections: 60, queue: 32 };

fn id(entry: u64, incarnation: u64, number: u64) -> RequestId {
    RequestId { entry: format!("e{entry}"), incarnation, number }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// State of a request according to the answers so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Queued {
        deadline: Time,
    },
    /// Running, and holds a slot.
    InSlot,
    /// Running, and holds only a connection.
    Stream,
    Ended,
    /// Reported as not run.
    NotRun,
}

/// Applies random operations to an [`Admission`] and checks each answer against the earlier ones.
struct Model {
    rng: fastrand::Rng,
    now: Time,
    limits: Limits,
    admission: Admission,
    phases: HashMap<RequestId, Phase>,
    /// Next request number of each entry.
    next_number: [u64; 3],
    leaving: bool,
}

impl Model {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let slots = rng.u32(1..=8);
        let limits = Limits { slots, connections: rng.u32(slots..=12), queue: rng.u32(0..=8) };
        Model {
            rng,
            now: ms(0),
            limits,
            admission: Admission::new(limits),
            phases: HashMap::new(),
            next_number: [1; 3],
            leaving: false,
        }
    }

    /// Returns a random request in one of the wanted phases.
    fn pick(&mut self, wanted: impl Fn(Phase) -> bool) -> Option<RequestId> {
        let mut ids: Vec<_> =
            self.phases.iter().filter(|(_, p)| wanted(**p)).map(|(id, _)| id.clone()).collect();
        ids.sort();
        self.rng.choice(ids)
    }

    fn count(&self, wanted: impl Fn(Phase) -> bool) -> u32 {
        self.phases.values().filter(|phase| wanted(**phase)).count() as u32
    }

    /// Returns the id of a new request, whose number may be out of order.
    fn new_id(&mut self) -> RequestId {
        let entry = self.rng.usize(0..3);
        // Requests of one entry may be reordered in the network.
        let number = self.next_number[entry] + self.rng.u64(0..3);
        self.next_number[entry] += 1;
        id(entry as u64, 1, number)
    }

    fn mark_started(&mut self, id: &RequestId) {
        let before = self.phases.insert(id.clone(), Phase::InSlot);
        assert!(
            matches!(before, None | Some(Phase::Queued { .. })),
            "{id:?} started after {before:?}"
        );
        let in_slots = self.count(|phase| phase == Phase::InSlot);
        let streams = self.count(|phase| phase == Phase::Stream);
        assert!(in_slots <= self.limits.slots);
        assert!(in_slots + streams <= self.limits.connections);
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(id) => {
                    let Some(Phase::Queued { deadline }) = self.phases.get(&id).copied() else {
                        panic!("{id:?} started without having been queued");
                    };
                    assert!(self.now < deadline);
                    self.mark_started(&id);
                }
                Action::Refuse(id, _) => {
                    let before = self.phases.insert(id, Phase::NotRun);
                    assert!(matches!(before, Some(Phase::Queued { .. })));
                }
                Action::Abort(id) => {
                    assert!(matches!(self.phases[&id], Phase::InSlot | Phase::Stream));
                }
            }
        }
    }

    fn offer(&mut self, id: RequestId) {
        let deadline = self.now + ms(self.rng.u64(0..400));
        match self.admission.offer(self.now, &id, deadline) {
            Offer::Start => {
                assert!(!self.leaving && self.now < deadline);
                self.mark_started(&id);
            }
            Offer::Queued => {
                assert!(!self.leaving);
                let before = self.phases.insert(id, Phase::Queued { deadline });
                assert_eq!(before, None, "queued twice");
            }
            Offer::Refused(refusal) => {
                // A queued or running request must not be reported as not run.
                let before = self.phases.insert(id, Phase::NotRun);
                assert!(matches!(before, None | Some(Phase::NotRun)), "{before:?} {refusal:?}");
            }
            // Leaves open whether the request ran, so it is always a correct answer.
            Offer::Repeated => {}
        }
    }

    fn cancel(&mut self, id: RequestId) {
        let before = self.phases.get(&id).copied();
        let (reply, actions) = self.admission.cancel(self.now, &id);
        match reply {
            CancelReply::NotStarted => {
                assert!(matches!(before, None | Some(Phase::Queued { .. } | Phase::NotRun)));
            }
            CancelReply::Running => {
                assert!(matches!(before, Some(Phase::InSlot | Phase::Stream)));
            }
            CancelReply::Done => {
                assert!(!matches!(before, Some(Phase::Queued { .. })));
            }
        }
        self.perform(actions);
        if reply == CancelReply::NotStarted {
            self.phases.insert(id, Phase::NotRun);
        }
    }

    fn finish(&mut self) {
        let Some(id) = self.pick(|phase| matches!(phase, Phase::InSlot | Phase::Stream)) else {
            return;
        };
        let ending = [Ending::Answered, Ending::Failed, Ending::NotRun][self.rng.usize(0..3)];
        let phase = if ending == Ending::NotRun { Phase::NotRun } else { Phase::Ended };
        self.phases.insert(id.clone(), phase);
        let actions = self.admission.finish(self.now, &id, ending);
        self.perform(actions);
    }

    fn detach(&mut self) {
        if let Some(id) = self.pick(|phase| phase == Phase::InSlot) {
            self.phases.insert(id.clone(), Phase::Stream);
            let actions = self.admission.detach(self.now, &id);
            self.perform(actions);
        }
    }

    fn advance(&mut self) {
        let step = match self.rng.u32(0..50) {
            0 => RETENTION + ms(self.rng.u64(0..2_000)),
            1..=10 => ms(self.rng.u64(0..200)),
            _ => ms(self.rng.u64(0..10)),
        };
        self.now += step;
        let actions = self.admission.tick(self.now);
        self.perform(actions);
        let now = self.now;
        let late = |phase| matches!(phase, Phase::Queued { deadline } if deadline <= now);
        assert_eq!(self.count(late), 0, "a queued request outlived its deadline");
    }

    fn step(&mut self) {
        let kind = self.rng.u32(0..100);
        match kind {
            _ if !schedules::step(|| format!("{:?} kind {kind}", self.now)) => {}
            0..=39 => {
                let id = self.new_id();
                self.offer(id);
            }
            40..=49 => {
                if let Some(id) = self.pick(|_| true) {
                    self.offer(id);
                }
            }
            50..=56 => {
                if let Some(id) = self.pick(|_| true) {
                    self.cancel(id);
                }
            }
            57..=59 => {
                // The cancellation arrives before its request.
                let id = self.new_id();
                self.cancel(id.clone());
                self.offer(id);
            }
            60..=79 => self.finish(),
            80..=83 => self.detach(),
            84..=85 => {
                let slots = self.rng.u32(1..=8);
                self.limits = Limits { slots, ..self.limits };
                let actions = self.admission.set_limits(self.now, self.limits);
                self.perform(actions);
            }
            86 if self.rng.u32(0..40) == 0 => {
                self.leaving = true;
                self.admission.leave();
            }
            _ => self.advance(),
        }
        let load = self.admission.load(self.now);
        assert_eq!(load.running, self.count(|phase| phase == Phase::InSlot));
        assert_eq!(load.streams, self.count(|phase| phase == Phase::Stream));
        assert_eq!(load.queued, self.count(|phase| matches!(phase, Phase::Queued { .. })));
        assert!(load.queued <= self.limits.queue);
    }

    /// Drains the admission and checks that it becomes idle once all admitted requests have ended.
    fn drain(&mut self) {
        self.admission.leave();
        self.leaving = true;
        let id = self.new_id();
        self.offer(id);
        while self.count(|phase| matches!(phase, Phase::InSlot | Phase::Stream)) > 0 {
            self.finish();
        }
        self.now += ms(400);
        let actions = self.admission.tick(self.now);
        self.perform(actions);
        assert!(self.admission.is_idle());
        assert_eq!(self.admission.next_deadline(), None);
    }
}

#[test]
fn random_schedules_keep_the_promises() {
    schedules::run(SCHEDULES, |seed| {
        let mut model = Model::new(seed);
        for _ in 0..STEPS {
            model.step();
        }
        model.drain();
        0
    });
}

#[test]
fn forgetting_for_count_never_readmits_an_id() {
    let mut admission = Admission::new(LIMITS);
    let total = NUMBERS_PER_INCARNATION as u64 * 3;
    for number in 0..total {
        let id = id(0, 1, number);
        assert_eq!(admission.offer(ms(0), &id, ms(1_000)), Offer::Start);
        admission.finish(ms(0), &id, Ending::Answered);
    }
    assert!(admission.history_len() <= NUMBERS_PER_INCARNATION);
    for number in (0..total).step_by(97) {
        assert_eq!(admission.offer(ms(0), &id(0, 1, number), ms(1_000)), Offer::Repeated);
    }
}

#[test]
fn forgetting_for_time_never_readmits_a_cancelled_id() {
    let mut admission = Admission::new(LIMITS);
    let (reply, _) = admission.cancel(ms(0), &id(0, 1, 5));
    assert_eq!(reply, CancelReply::NotStarted);
    let later = RETENTION * 3;
    assert_eq!(admission.offer(later, &id(0, 1, 9), later + ms(100)), Offer::Start);
    assert_ne!(admission.offer(later, &id(0, 1, 5), later + ms(100)), Offer::Start);
    assert_eq!(admission.history_len(), 1, "the cancelled id was not dropped");
}

#[test]
fn table_of_incarnations_is_bounded_and_recovers() {
    let mut admission = Admission::new(LIMITS);
    for incarnation in 0..MAX_INCARNATIONS as u64 {
        admission.cancel(ms(0), &id(0, incarnation, 1));
    }
    let new = id(1, 7, 1);
    let full = admission.offer(ms(1), &new, ms(1_000));
    assert!(matches!(full, Offer::Refused(Refusal { reason: RefuseReason::Overloaded, .. })));
    // The id cannot be recorded, so the reply must not promise that the request never starts.
    assert_eq!(admission.cancel(ms(1), &id(2, 7, 1)).0, CancelReply::Done);
    let later = INCARNATION_IDLE + ms(1);
    assert_eq!(admission.offer(later, &new, later + ms(1_000)), Offer::Start);
}

/// Returns an admission with a measured service time of 100 ms and all slots in use, and its time.
fn busy_admission() -> (Admission, Time) {
    let mut admission = Admission::new(LIMITS);
    for number in 0..40 {
        let id = id(0, 1, number);
        assert_eq!(admission.offer(ms(0), &id, ms(1_000)), Offer::Start);
        admission.finish(ms(100), &id, Ending::Answered);
    }
    for number in 40..48 {
        assert_eq!(admission.offer(ms(100), &id(0, 1, number), ms(9_000)), Offer::Start);
    }
    (admission, ms(100))
}

#[test]
fn request_that_would_miss_its_deadline_is_refused_at_once() {
    let (mut admission, now) = busy_admission();
    assert_eq!(admission.offer(now, &id(0, 1, 50), now + ms(1_000)), Offer::Queued);
    let Offer::Refused(refusal) = admission.offer(now, &id(0, 1, 51), now + ms(60)) else {
        panic!("accepted although its slot is expected after the deadline");
    };
    assert_eq!(refusal.reason, RefuseReason::Overloaded);
    // The wait covers two requests on 8 slots with 100 ms each.
    assert_eq!(refusal.retry_after, ms(25));
}

#[test]
fn retry_after_grows_with_the_queue() {
    let (mut admission, now) = busy_admission();
    for number in 50..82 {
        assert_eq!(admission.offer(now, &id(0, 1, number), now + ms(9_000)), Offer::Queued);
    }
    let Offer::Refused(refusal) = admission.offer(now, &id(0, 1, 90), now + ms(9_000)) else {
        panic!("the queue exceeds its limit");
    };
    assert_eq!(refusal.retry_after.as_millis(), 412);
}

#[test]
fn estimate_that_is_too_high_is_corrected() {
    let mut admission = Admission::new(LIMITS);
    admission.offer(ms(0), &id(0, 1, 0), ms(60_000));
    admission.finish(ms(30_000), &id(0, 1, 0), Ending::Answered);
    // The deadline is shorter than the measured service time, but a slot is free.
    let now = ms(30_000);
    for number in 1..100 {
        let id = id(0, 1, number);
        assert_eq!(admission.offer(now, &id, now + ms(100)), Offer::Start);
        admission.finish(now + ms(5), &id, Ending::Answered);
    }
    assert!(admission.load(now).latency < ms(10));
}

#[test]
fn hanging_upstream_shows_in_the_latency() {
    let (admission, now) = busy_admission();
    assert!(admission.load(now).latency <= ms(101));
    assert!(admission.load(now + ms(5_000)).latency >= ms(5_000));
}

#[test]
fn feeds_give_back_their_slots_but_not_their_connections() {
    let mut admission = Admission::new(Limits { slots: 2, connections: 3, queue: 4 });
    for number in 0..3 {
        let id = id(0, 1, number);
        assert_eq!(admission.offer(ms(0), &id, ms(100)), Offer::Start);
        admission.detach(ms(0), &id);
    }
    let refused = admission.offer(ms(0), &id(0, 1, 9), ms(100));
    assert!(matches!(refused, Offer::Refused(Refusal { reason: RefuseReason::Overloaded, .. })));
    assert_eq!(admission.load(ms(0)).slots, 0);
    admission.finish(ms(0), &id(0, 1, 0), Ending::Answered);
    assert_eq!(admission.offer(ms(0), &id(0, 1, 10), ms(100)), Offer::Start);
}
