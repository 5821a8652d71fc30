//! Requests without an idempotency key.

use std::sync::Arc;

use peridotfold_core::id::AgentId;
use peridotfold_core::message::request::RefuseReason;
use peridotfold_core::routing::Target;
use peridotfold_store::Store;
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::Shutdown;

use crate::context::Context;
use crate::proxy::attempt::{self, InFlight, Outcome, RETRY_AFTER};
use crate::proxy::call::Call;
use crate::proxy::upload::SharedUpload;

/// Dispatches a request, and retries at other upstreams while that is safe and within the retry
/// budget.
pub async fn run<S: Store>(
    context: &Arc<Context<S>>,
    call: &Call,
    upload: &SharedUpload,
    caller_gone: &Shutdown,
) -> (Outcome, Option<InFlight<S>>) {
    context.budget.lock().earn();
    let mut tried: Vec<AgentId> = Vec::new();
    let Some(mut target) = choose(context, call, &tried) else { return (no_upstream(), None) };
    loop {
        let in_flight = InFlight::begin(context, &target, &call.service);
        let outcome = attempt::run(context, call, &target, upload, caller_gone).await;
        if !may_retry(call, &outcome) || !upload.lock().await.is_replayable() {
            return (outcome, Some(in_flight));
        }
        tried.push(target.agent);
        target = match choose(context, call, &tried) {
            Some(next) if context.budget.lock().spend() => next,
            _ => return (outcome, Some(in_flight)),
        };
        metrics::counter!("retries_total", "service" => call.service.clone()).increment(1);
    }
}

/// Chooses a live upstream that was not tried yet.
fn choose<S: Store>(context: &Arc<Context<S>>, call: &Call, tried: &[AgentId]) -> Option<Target> {
    let mut rng = fastrand::Rng::new();
    context.upstreams.lock().choose(runtime::now(), &call.service, tried, &mut rng)
}

/// Tells whether a request was certainly not run and may be retried at another upstream. A request
/// that is not idempotent is not retried once an agent may have received it.
fn may_retry(call: &Call, outcome: &Outcome) -> bool {
    match outcome {
        Outcome::NotRun { reason: RefuseReason::DeadlinePassed, .. } => false,
        Outcome::NotRun { reached, .. } => {
            (!reached || call.is_idempotent()) && !call.remaining().is_zero()
        }
        _ => false,
    }
}

/// Returns the outcome of a request for which no live upstream is known.
fn no_upstream() -> Outcome {
    let reason = RefuseReason::NoUpstream;
    Outcome::NotRun { reason, retry_after: RETRY_AFTER, reached: false }
}
