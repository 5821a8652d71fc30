//! Admission of requests at an agent: slots, connections, a bounded queue with deadlines, drain.
//!
//! A request holds a slot and a connection from its start. A response of unknown length that stays
//! open gives its slot back and keeps its connection ([`Admission::detach`]), so that feeds do not
//! use up the slots.

pub mod estimate;
pub mod history;

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::message::request::{CancelReply, RefuseReason, RequestId};
use crate::time::Time;
use estimate::ServiceTime;
use history::{RequestHistory, RequestState};

/// Bounds of the retry-after time in refusals.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(20);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);
/// Retry-after time when nothing can be estimated.
const RETRY_AFTER_UNKNOWN: Duration = Duration::from_secs(1);

/// What an upstream may be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    pub slots: u32,
    pub connections: u32,
    pub queue: u32,
}

/// A request that is certainly not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    pub reason: RefuseReason,
    pub retry_after: Duration,
}

/// Decision about an arriving request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    Start,
    /// An [`Action`] follows.
    Queued,
    Refused(Refusal),
    /// The id was admitted before, so its first copy may run or have run.
    Repeated,
}

/// What has to be done with a request that was queued or is running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    Start(RequestId),
    Refuse(RequestId, Refusal),
    /// The entry no longer wants the running request.
    Abort(RequestId),
}

/// How a started request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    Answered,
    /// Failed or was aborted; it may have run.
    Failed,
    /// Nothing was sent to the upstream.
    NotRun,
}

/// Load as announced to entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Slots that can be used, which is less than the limit when feeds hold the connections.
    pub slots: u32,
    pub running: u32,
    /// Open responses that gave their slot back.
    pub streams: u32,
    pub queued: u32,
    pub latency: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HeldResource {
    Slot,
    Connection,
    /// Waits for another request with the same idempotency key.
    Nothing,
}

#[derive(Debug)]
struct Running {
    started_at: Time,
    resource: HeldResource,
}

#[derive(Debug)]
struct Queued {
    id: RequestId,
    deadline: Time,
}

/// Admission state of one upstream.
#[derive(Debug)]
pub struct Admission {
    limits: Limits,
    leaving: bool,
    running: HashMap<RequestId, Running>,
    queue: VecDeque<Queued>,
    used_slots: u32,
    streams: u32,
    history: RequestHistory,
    service_time: ServiceTime,
}

impl Admission {
    /// Builds the state of an upstream without requests.
    pub fn new(limits: Limits) -> Self {
        Admission {
            limits,
            leaving: false,
            running: HashMap::new(),
            queue: VecDeque::new(),
            used_slots: 0,
            streams: 0,
            history: RequestHistory::default(),
            service_time: ServiceTime::default(),
        }
    }

    /// Changes the limits. Requests that run above lowered limits are not interrupted.
    pub fn set_limits(&mut self, now: Time, limits: Limits) -> Vec<Action> {
        self.limits = limits;
        self.start_queued(now)
    }

    /// Decides about an arriving request that has to be answered before `deadline`.
    pub fn offer(&mut self, now: Time, id: &RequestId, deadline: Time) -> Offer {
        if let Some(offer) = self.repeated_offer(id) {
            return offer;
        }
        if let Some(refusal) = self.check(now, deadline) {
            self.history.record(now, id, RequestState::Refused);
            return Offer::Refused(refusal);
        }
        if !self.history.record(now, id, RequestState::Admitted) {
            return Offer::Refused(self.build_refusal(RefuseReason::Overloaded));
        }
        if self.queue.is_empty() && self.has_free_slot() {
            self.start(now, id.clone());
            return Offer::Start;
        }
        self.queue.push_back(Queued { id: id.clone(), deadline });
        Offer::Queued
    }

    /// Admits a request that needs neither slot nor connection because it waits for, or repeats,
    /// the answer to another one. Never returns [`Offer::Queued`].
    pub fn join(&mut self, now: Time, id: &RequestId) -> Offer {
        if let Some(offer) = self.repeated_offer(id) {
            return offer;
        }
        if !self.history.record(now, id, RequestState::Admitted) {
            return Offer::Refused(self.build_refusal(RefuseReason::Overloaded));
        }
        self.running
            .insert(id.clone(), Running { started_at: now, resource: HeldResource::Nothing });
        Offer::Start
    }

    /// Refuses a request for a reason found elsewhere, so that a late copy is refused as well.
    pub fn refuse(&mut self, now: Time, id: &RequestId, reason: RefuseReason) -> Offer {
        if let Some(offer) = self.repeated_offer(id) {
            return offer;
        }
        self.history.record(now, id, RequestState::Refused);
        Offer::Refused(self.build_refusal(reason))
    }

    /// Gives back the slot of a running request whose response stays open.
    pub fn detach(&mut self, now: Time, id: &RequestId) -> Vec<Action> {
        match self.running.get_mut(id) {
            Some(running) if running.resource == HeldResource::Slot => {
                running.resource = HeldResource::Connection;
                self.used_slots -= 1;
                self.streams += 1;
                self.start_queued(now)
            }
            _ => Vec::new(),
        }
    }

    /// Ends a started request.
    pub fn finish(&mut self, now: Time, id: &RequestId, ending: Ending) -> Vec<Action> {
        let Some(running) = self.running.remove(id) else {
            return Vec::new();
        };
        match running.resource {
            HeldResource::Slot => {
                self.used_slots -= 1;
                if ending == Ending::Answered {
                    self.service_time.add(now.saturating_sub(running.started_at));
                }
            }
            HeldResource::Connection => self.streams -= 1,
            HeldResource::Nothing => {}
        }
        let state = match ending {
            Ending::NotRun => RequestState::Refused,
            Ending::Answered | Ending::Failed => RequestState::Ended,
        };
        self.history.set_state(id, state);
        self.start_queued(now)
    }

    /// Gives up a request. After [`CancelReply::NotStarted`] it is never started.
    pub fn cancel(&mut self, now: Time, id: &RequestId) -> (CancelReply, Vec<Action>) {
        if self.running.contains_key(id) {
            return (CancelReply::Running, vec![Action::Abort(id.clone())]);
        }
        if let Some(index) = self.queue.iter().position(|queued| queued.id == *id) {
            self.queue.remove(index);
            self.history.set_state(id, RequestState::Refused);
            let refusal = self.build_refusal(RefuseReason::Duplicate);
            return (CancelReply::NotStarted, vec![Action::Refuse(id.clone(), refusal)]);
        }
        let reply = match self.history.state(id) {
            // An id that cannot be remembered could still be admitted later.
            None if !self.history.record(now, id, RequestState::Refused) => CancelReply::Done,
            None | Some(RequestState::Refused) => CancelReply::NotStarted,
            Some(RequestState::Admitted | RequestState::Ended | RequestState::BelowFloor) => {
                CancelReply::Done
            }
        };
        (reply, Vec::new())
    }

    /// Refuses queued requests whose deadline has passed. Due at [`Admission::next_deadline`].
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let refusal = self.build_refusal(RefuseReason::DeadlinePassed);
        let mut actions = Vec::new();
        let history = &mut self.history;
        self.queue.retain(|queued| {
            let keep = queued.deadline > now;
            if !keep {
                history.set_state(&queued.id, RequestState::Refused);
                actions.push(Action::Refuse(queued.id.clone(), refusal));
            }
            keep
        });
        actions
    }

    /// Refuses new requests from now on. Queued and running ones go on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Earliest deadline in the queue.
    pub fn next_deadline(&self) -> Option<Time> {
        self.queue.iter().map(|queued| queued.deadline).min()
    }

    /// Tells whether the request waits for a slot.
    pub fn is_queued(&self, id: &RequestId) -> bool {
        self.queue.iter().any(|queued| queued.id == *id)
    }

    /// Tells whether no request is queued or running.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running.is_empty()
    }

    /// Load as announced to entries.
    pub fn load(&self, now: Time) -> Load {
        Load {
            slots: self.usable_slots(),
            running: self.used_slots,
            streams: self.streams,
            queued: self.queue.len() as u32,
            latency: self.service_time.mean().max(self.mean_age(now)),
        }
    }

    /// Number of ids remembered.
    pub fn history_len(&self) -> usize {
        self.history.len()
    }

    /// Expected time until a request that arrives now gets a slot.
    pub fn expected_wait(&self) -> Duration {
        match self.usable_slots() {
            0 => RETRY_AFTER_UNKNOWN,
            _ if self.queue.is_empty() && self.has_free_slot() => Duration::ZERO,
            slots => self.service_time.mean() * (self.queue.len() as u32 + 1) / slots,
        }
    }

    fn repeated_offer(&self, id: &RequestId) -> Option<Offer> {
        match self.history.state(id)? {
            RequestState::Refused => {
                Some(Offer::Refused(self.build_refusal(RefuseReason::Duplicate)))
            }
            RequestState::Admitted | RequestState::Ended | RequestState::BelowFloor => {
                Some(Offer::Repeated)
            }
        }
    }

    fn check(&self, now: Time, deadline: Time) -> Option<Refusal> {
        let reason = match () {
            () if self.leaving => RefuseReason::Leaving,
            () if deadline <= now => RefuseReason::DeadlinePassed,
            // With a free slot the request runs even if it is expected to miss its deadline:
            // otherwise an estimate that is too high could never be corrected.
            () if self.queue.is_empty() && self.has_free_slot() => return None,
            () if self.usable_slots() == 0 => RefuseReason::Overloaded,
            () if self.queue.len() >= self.limits.queue as usize => RefuseReason::Overloaded,
            () if now + self.expected_wait() + self.service_time.upper_bound() > deadline => {
                RefuseReason::Overloaded
            }
            () => return None,
        };
        Some(self.build_refusal(reason))
    }

    fn build_refusal(&self, reason: RefuseReason) -> Refusal {
        let retry_after = match reason {
            RefuseReason::Overloaded | RefuseReason::DeadlinePassed => {
                self.expected_wait().clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
            }
            _ => RETRY_AFTER_UNKNOWN,
        };
        Refusal { reason, retry_after }
    }

    fn usable_slots(&self) -> u32 {
        self.limits.slots.min(self.limits.connections.saturating_sub(self.streams))
    }

    fn has_free_slot(&self) -> bool {
        self.used_slots < self.usable_slots()
    }

    /// Mean time since the start of the requests in slots. Shows an upstream that hangs, which
    /// yields no finished request to measure.
    fn mean_age(&self, now: Time) -> Duration {
        let ages = self.running.values().filter(|running| running.resource == HeldResource::Slot);
        let sum: Duration = ages.map(|running| now.saturating_sub(running.started_at)).sum();
        sum.checked_div(self.used_slots).unwrap_or_default()
    }

    fn start(&mut self, now: Time, id: RequestId) {
        self.used_slots += 1;
        self.running.insert(id, Running { started_at: now, resource: HeldResource::Slot });
    }

    /// Starts queued requests while there is room. One that would end after its deadline is
    /// refused instead, since its answer would be of no use.
    fn start_queued(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        while self.has_free_slot() {
            let Some(Queued { id, deadline }) = self.queue.pop_front() else {
                break;
            };
            if now + self.service_time.mean() > deadline || deadline <= now {
                self.history.set_state(&id, RequestState::Refused);
                let refusal = self.build_refusal(RefuseReason::DeadlinePassed);
                actions.push(Action::Refuse(id, refusal));
                continue;
            }
            self.start(now, id.clone());
            actions.push(Action::Start(id));
        }
        actions
    }
}
