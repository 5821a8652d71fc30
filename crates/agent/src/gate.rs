//! Asynchronous front of [`Admission`]: lets requests wait for a slot and signals cancellations to
//! them.

use std::collections::HashMap;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use futures_lite::future;
use parking_lot::Mutex;
use peridotfold_core::admission::{Action, Admission, Ending, Limits, Load, Offer, Refusal};
use peridotfold_core::message::request::{CancelReply, RefuseReason, RequestId};
use peridotfold_core::time::Time;
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::{self, Shutdown, Trigger};

/// Reason why a request was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The request was refused and has not run.
    Refused(Refusal),
    /// The request ID was used before; an earlier copy may have run.
    Repeated,
}

/// Channels to one queued or running request.
#[derive(Debug)]
struct RequestSignals {
    /// Sends `None` to start a queued request, or the refusal.
    decision: Sender<Option<Refusal>>,
    /// Fired when a running request is cancelled.
    abort: Trigger,
}

#[derive(Debug)]
struct State {
    admission: Admission,
    /// Channels to the queued and running requests.
    signals: HashMap<RequestId, RequestSignals>,
}

/// Admission control of the requests to one upstream. Clones share the state.
#[derive(Debug, Clone)]
pub struct Gate {
    state: Arc<Mutex<State>>,
}

/// Permission of an admitted request to run. Dropping it without [`Permit::end`] ends the request
/// as failed.
#[derive(Debug)]
pub struct Permit {
    gate: Gate,
    id: RequestId,
    /// Set when the entry cancels the request.
    aborted: Shutdown,
    /// Result to record when the permit is dropped.
    ending: Ending,
}

impl Gate {
    /// Creates the gate of an upstream without requests.
    pub fn new(limits: Limits) -> Self {
        let state = State { admission: Admission::new(limits), signals: HashMap::new() };
        Gate { state: Arc::new(Mutex::new(state)) }
    }

    /// Waits for a slot until the deadline, or until `disconnected` completes.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is not admitted.
    pub async fn admit(
        &self,
        id: &RequestId,
        deadline: Time,
        disconnected: impl std::future::Future<Output = ()>,
    ) -> Result<Permit, Rejection> {
        let (permit, decision) = {
            let mut state = self.state.lock();
            let offer = state.admission.offer(runtime::now(), id, deadline);
            let (permit, decision) = match offer {
                Offer::Refused(refusal) => return Err(Rejection::Refused(refusal)),
                Offer::Repeated => return Err(Rejection::Repeated),
                Offer::Start | Offer::Queued => self.register(&mut state, id),
            };
            match offer {
                Offer::Start => return Ok(permit),
                _ => (permit, decision),
            }
        };
        self.wait(permit, decision, deadline, disconnected).await
    }

    /// Admits a request that needs neither a slot nor a connection, because it shares the answer of
    /// another request with the same idempotency key.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is not admitted.
    pub fn join(&self, id: &RequestId) -> Result<Permit, Rejection> {
        let mut state = self.state.lock();
        match state.admission.join(runtime::now(), id) {
            Offer::Refused(refusal) => Err(Rejection::Refused(refusal)),
            Offer::Repeated => Err(Rejection::Repeated),
            Offer::Start | Offer::Queued => Ok(self.register(&mut state, id).0),
        }
    }

    /// Refuses a request for a reason that the caller found, and records its ID so that later
    /// copies are refused as well.
    pub fn refuse(&self, id: &RequestId, reason: RefuseReason) -> Rejection {
        match self.state.lock().admission.refuse(runtime::now(), id, reason) {
            Offer::Refused(refusal) => Rejection::Refused(refusal),
            Offer::Start | Offer::Queued | Offer::Repeated => Rejection::Repeated,
        }
    }

    /// Cancels a request.
    pub fn cancel(&self, id: &RequestId) -> CancelReply {
        let mut state = self.state.lock();
        let (reply, actions) = state.admission.cancel(runtime::now(), id);
        state.perform(actions);
        reply
    }

    /// Changes the limits, and starts queued requests that fit.
    pub fn set_limits(&self, limits: Limits) {
        let mut state = self.state.lock();
        let actions = state.admission.set_limits(runtime::now(), limits);
        state.perform(actions);
    }

    /// Starts draining: refuses new requests; queued and running requests continue.
    pub fn leave(&self) {
        self.state.lock().admission.leave();
    }

    /// Tells whether no request is queued or running.
    pub fn is_idle(&self) -> bool {
        self.state.lock().admission.is_idle()
    }

    /// Returns the load as announced to entries.
    pub fn load(&self) -> Load {
        self.state.lock().admission.load(runtime::now())
    }

    /// Creates the permit of a request and the channel on which its admission is decided.
    fn register(&self, state: &mut State, id: &RequestId) -> (Permit, Receiver<Option<Refusal>>) {
        let (sender, decision) = async_channel::bounded(1);
        let (abort, aborted) = shutdown::channel();
        state.signals.insert(id.clone(), RequestSignals { decision: sender, abort });
        let permit = Permit { gate: self.clone(), id: id.clone(), aborted, ending: Ending::Failed };
        (permit, decision)
    }

    /// Waits until a queued request is started or refused.
    async fn wait(
        &self,
        permit: Permit,
        decision: Receiver<Option<Refusal>>,
        deadline: Time,
        disconnected: impl std::future::Future<Output = ()>,
    ) -> Result<Permit, Rejection> {
        let id = permit.id.clone();
        let expire = async {
            runtime::sleep(deadline.saturating_sub(runtime::now())).await;
            self.tick();
            future::pending().await
        };
        let abandon = async {
            disconnected.await;
            self.cancel(&id);
            future::pending().await
        };
        match future::or(decision.recv(), future::or(expire, abandon)).await {
            Ok(None) => Ok(permit),
            Ok(Some(refusal)) => Err(Rejection::Refused(refusal)),
            // Not reached: the sender exists until the permit is dropped.
            Err(_) => Err(Rejection::Repeated),
        }
    }

    /// Refuses queued requests whose deadline has passed.
    fn tick(&self) {
        let mut state = self.state.lock();
        let actions = state.admission.tick(runtime::now());
        state.perform(actions);
    }
}

impl State {
    /// Passes the actions to the requests concerned.
    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (id, decision) = match action {
                Action::Start(id) => (id, None),
                Action::Refuse(id, refusal) => (id, Some(refusal)),
                Action::Abort(id) => {
                    if let Some(signals) = self.signals.get(&id) {
                        signals.abort.fire();
                    }
                    continue;
                }
            };
            if let Some(signals) = self.signals.get(&id) {
                // Never full: each queued request gets one decision, and the channel holds one.
                let _ = signals.decision.try_send(decision);
            }
        }
    }
}

impl Permit {
    /// Returns the signal that is set when the entry cancels the request.
    pub fn aborted(&self) -> Shutdown {
        self.aborted.clone()
    }

    /// Releases the slot of a request whose response is streamed.
    pub fn detach(&self) {
        let mut state = self.gate.state.lock();
        let actions = state.admission.detach(runtime::now(), &self.id);
        state.perform(actions);
    }

    /// Ends the request with the given result.
    pub fn end(mut self, ending: Ending) {
        self.ending = ending;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut state = self.gate.state.lock();
        state.signals.remove(&self.id);
        if state.admission.is_queued(&self.id) {
            // The request was dropped while queued, so it must not be given a slot.
            state.admission.cancel(runtime::now(), &self.id);
            return;
        }
        let actions = state.admission.finish(runtime::now(), &self.id, self.ending);
        state.perform(actions);
    }
}
