//! Admission control for the requests to one upstream: concurrency limits, a bounded queue with
//! deadlines, and draining.
//!
//! An agent runs beside each upstream and forwards requests to it that arrive from the entries,
//! which are the front-end processes. A running request holds a slot, which limits concurrent
//! processing, and a connection to the upstream. A streaming response releases its slot and keeps
//! its connection ([`Admission::detach`]), so that open streams do not use up the slots.

pub mod estimate;
pub mod history;

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::message::request::{CancelReply, RefuseReason, RequestId};
use crate::time::Time;
use estimate::ServiceTime;
use history::{RequestHistory, RequestState};

/// Lower bound of the retry-after time in refusals.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(20);
/// Upper bound of the retry-after time in refusals.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);
/// Retry-after time when the wait for a slot cannot be estimated.
const RETRY_AFTER_UNKNOWN: Duration = Duration::from_secs(1);

/// Limits on concurrent and queued requests of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Requests that are processed at the same time.
    pub slots: u32,
    /// Open connections, including those of streaming responses.
    pub connections: u32,
    /// Requests that wait for a slot.
    pub queue: u32,
}

/// Refusal of a request that has not run and will not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    pub reason: RefuseReason,
    pub retry_after: Duration,
}

/// Decision on an arriving request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// The caller starts the request now.
    Start,
    /// The request waits for a slot; an [`Action`] starts or refuses it later.
    Queued,
    Refused(Refusal),
    /// The id may have been admitted before, so an earlier copy may be running or have run.
    Repeated,
}

/// Action that the caller has to perform on a queued or running request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    Start(RequestId),
    Refuse(RequestId, Refusal),
    /// Abort a running request that the entry has cancelled.
    Abort(RequestId),
}

/// Result of a started request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    Answered,
    /// The request failed or was aborted; the upstream may have processed it.
    Failed,
    /// Nothing was sent to the upstream.
    NotRun,
}

/// Load of an upstream, as announced to entries for routing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Usable slots: below the configured limit while streams hold most of the connections.
    pub slots: u32,
    /// Requests that hold a slot.
    pub running: u32,
    /// Streaming responses that have released their slot.
    pub streams: u32,
    pub queued: u32,
    /// Mean service time, or the mean age of the running requests if that is higher.
    pub latency: Duration,
}

/// Limited resource that a running request holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HeldResource {
    /// A slot and a connection.
    Slot,
    /// A connection only, for a streaming response.
    Connection,
    /// Neither: the request shares the answer of another one with the same idempotency key.
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
    /// Set while the agent drains; new requests are refused.
    leaving: bool,
    running: HashMap<RequestId, Running>,
    queue: VecDeque<Queued>,
    used_slots: u32,
    /// Running requests that hold only a connection.
    streams: u32,
    history: RequestHistory,
    service_time: ServiceTime,
}

impl Admission {
    /// Creates the state of an upstream without requests.
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

    /// Changes the limits. Running requests continue even if they exceed the new limits.
    pub fn set_limits(&mut self, now: Time, limits: Limits) -> Vec<Action> {
        self.limits = limits;
        self.start_queued(now)
    }

    /// Starts, queues or refuses an arriving request that has to be answered before `deadline`.
    pub fn offer(&mut self, now: Time, id: &RequestId, deadline: Time) -> Offer {
        if let Some(offer) = self.repeated_offer(id) {
            return offer;
        }
        if let Some(refusal) = self.refusal_for(now, deadline) {
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

    /// Admits a request that needs neither slot nor connection because it shares the answer of
    /// another request with the same idempotency key. Never returns [`Offer::Queued`].
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

    /// Refuses a request for a reason that the caller found, and records its id so that later copies
    /// are refused as well.
    pub fn refuse(&mut self, now: Time, id: &RequestId, reason: RefuseReason) -> Offer {
        if let Some(offer) = self.repeated_offer(id) {
            return offer;
        }
        self.history.record(now, id, RequestState::Refused);
        Offer::Refused(self.build_refusal(reason))
    }

    /// Releases the slot of a running request whose response is streamed.
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

    /// Releases the resources of a started request that has ended.
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

    /// Cancels a request. After [`CancelReply::NotStarted`] the request is never started.
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
            // An id that cannot be recorded could still be admitted later.
            None if !self.history.record(now, id, RequestState::Refused) => CancelReply::Done,
            None | Some(RequestState::Refused) => CancelReply::NotStarted,
            Some(RequestState::Admitted | RequestState::Ended | RequestState::BelowFloor) => {
                CancelReply::Done
            }
        };
        (reply, Vec::new())
    }

    /// Refuses queued requests whose deadline has passed. To be called at
    /// [`Admission::next_deadline`].
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

    /// Starts draining: refuses new requests; queued and running requests continue.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns the earliest deadline of the queued requests.
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

    /// Returns the current load.
    pub fn load(&self, now: Time) -> Load {
        Load {
            slots: self.usable_slots(),
            running: self.used_slots,
            streams: self.streams,
            queued: self.queue.len() as u32,
            latency: self.service_time.mean().max(self.mean_age(now)),
        }
    }

    /// Returns the number of request ids whose state is kept.
    pub fn history_len(&self) -> usize {
        self.history.len()
    }

    /// Returns the expected time until a request that arrives now gets a slot.
    pub fn expected_wait(&self) -> Duration {
        match self.usable_slots() {
            0 => RETRY_AFTER_UNKNOWN,
            _ if self.queue.is_empty() && self.has_free_slot() => Duration::ZERO,
            slots => self.service_time.mean() * (self.queue.len() as u32 + 1) / slots,
        }
    }

    /// Returns the decision for an id that was recorded before, or `None` for a new id.
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

    /// Returns the refusal of a new request if it cannot be admitted now.
    fn refusal_for(&self, now: Time, deadline: Time) -> Option<Refusal> {
        let reason = match () {
            () if self.leaving => RefuseReason::Leaving,
            () if deadline <= now => RefuseReason::DeadlinePassed,
            // With a free slot the request runs even if the estimate says that it will miss its
            // deadline. Otherwise an estimate that is too high could never be corrected.
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

    /// Returns the slots for which connections are left besides those of streams.
    fn usable_slots(&self) -> u32 {
        self.limits.slots.min(self.limits.connections.saturating_sub(self.streams))
    }

    fn has_free_slot(&self) -> bool {
        self.used_slots < self.usable_slots()
    }

    /// Returns the mean age of the requests that hold a slot. Reveals an upstream that hangs, because
    /// no request finishes there to yield a service time.
    fn mean_age(&self, now: Time) -> Duration {
        let ages = self.running.values().filter(|running| running.resource == HeldResource::Slot);
        let sum: Duration = ages.map(|running| now.saturating_sub(running.started_at)).sum();
        sum.checked_div(self.used_slots).unwrap_or_default()
    }

    fn start(&mut self, now: Time, id: RequestId) {
        self.used_slots += 1;
        self.running.insert(id, Running { started_at: now, resource: HeldResource::Slot });
    }

    /// Starts queued requests while slots are free. Refuses those expected to miss their deadline,
    /// because a late answer is useless.
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
