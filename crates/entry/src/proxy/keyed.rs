//! Requests with an idempotency key.
//!
//! The key map assigns each key to one holder, the only agent that may run the key. After a move of
//! keys to a new holder, the witnesses are the entries that may have dispatched keys to the old
//! one. A probe asks a witness whether it has dispatched a key.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future;
use http::StatusCode;
use peridotfold_core::keys::gate::ProbeResult;
use peridotfold_core::keys::{plan, Decision, Holder, Witness};
use peridotfold_core::message::entry::{Probe, ProbeReply};
use peridotfold_core::message::request::RefuseReason;
use peridotfold_core::routing::Target;
use peridotfold_store::Store;
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::Shutdown;

use crate::context::Context;
use crate::key_lists;
use crate::proxy::attempt::{self, InFlight, Outcome, RETRY_AFTER};
use crate::proxy::call::Call;
use crate::proxy::upload::SharedUpload;
use crate::reply::ErrorBody;

/// Longest wait for the answers to probes. A slower entry counts as unreachable.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for the proof that a refused key was not run. Short, since the caller is waiting
/// for a final answer.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(100);

/// Dispatches a request to the holder of its key, if the key cannot have run at another holder.
pub async fn run<S: Store>(
    context: &Arc<Context<S>>,
    call: &Call,
    key: &Bytes,
    upload: &SharedUpload,
    caller_gone: &Shutdown,
) -> (Outcome, Option<InFlight<S>>) {
    let decision = match decide(context, call, key) {
        Decision::Probe { generation, witnesses } => {
            let limit = PROBE_TIMEOUT.min(call.remaining());
            let probing = probe(context, &call.service, key, witnesses, limit);
            let fetching = future::or(key_lists::fetch_missing(context), runtime::sleep(limit));
            let (results, ()) = future::zip(probing, fetching).await;
            decide_probed(context, call, key, generation, &results)
        }
        decision => decision,
    };
    let holder = match decision {
        Decision::Dispatch(holder) => holder,
        Decision::Unknown => return (unknown_outcome(context, call, key), None),
        // Probes are sent once. A second decision to probe means that the key map has changed
        // meanwhile.
        Decision::Refuse | Decision::Probe { .. } => {
            return (confirm_not_run(context, call, key, unavailable()).await, None);
        }
    };
    let Some(target) = target(context, call, &holder) else {
        context.keys.lock().finish(runtime::now(), &call.service, key, true);
        return (confirm_not_run(context, call, key, unavailable()).await, None);
    };
    let in_flight = InFlight::begin(context, &target, &call.service);
    let outcome = attempt::run(context, call, &target, upload, caller_gone).await;
    let not_run = matches!(outcome, Outcome::NotRun { .. } | Outcome::Abandoned { not_run: true });
    context.keys.lock().finish(runtime::now(), &call.service, key, not_run);
    let outcome = match &outcome {
        Outcome::NotRun { reason, reached, .. } if !proves_not_run(*reason, *reached) => {
            confirm_not_run(context, call, key, outcome).await
        }
        _ => outcome,
    };
    (outcome, Some(in_flight))
}

/// Tells whether a refusal proves that no dispatch has run the key. The holder gives these reasons
/// only for a key that is not in its table or whose only run was refused, and older holders were
/// ruled out before the dispatch. Other refusals concern a single dispatch of the key only.
fn proves_not_run(reason: RefuseReason, reached: bool) -> bool {
    reached && matches!(reason, RefuseReason::Overloaded | RefuseReason::KeyUnavailable)
}

/// Returns `refusal` if no entry has dispatched the key, otherwise the outcome unknown.
async fn confirm_not_run<S: Store>(
    context: &Arc<Context<S>>,
    call: &Call,
    key: &Bytes,
    refusal: Outcome,
) -> Outcome {
    let (last_listed, witnesses) = {
        let members = context.members.lock();
        let records: Vec<_> =
            members.records(runtime::now()).map(|(r, silent)| (r.clone(), silent)).collect();
        (members.last_listed(), plan::witnesses(context.settings.outage_hold, &records))
    };
    let results = probe(context, &call.service, key, witnesses.clone(), CONFIRM_TIMEOUT).await;
    let now = runtime::now();
    let current = (last_listed, &witnesses[..]);
    let is_denied = context.keys.lock().confirm_not_run(now, &call.service, key, current, &results);
    match is_denied {
        true => refusal,
        false => unknown_outcome(context, call, key),
    }
}

/// Decides where to dispatch a key, before any probe.
fn decide<S: Store>(context: &Arc<Context<S>>, call: &Call, key: &Bytes) -> Decision {
    let now = runtime::now();
    let upstreams = context.upstreams.lock();
    let is_live =
        |h: &Holder| upstreams.holder(now, &h.agent, h.incarnation, &call.service).is_some();
    context.keys.lock().decide(now, &call.service, key, is_live)
}

/// Decides where to dispatch a key, with the results of the probes.
fn decide_probed<S: Store>(
    context: &Arc<Context<S>>,
    call: &Call,
    key: &Bytes,
    generation: u64,
    results: &[ProbeResult],
) -> Decision {
    let now = runtime::now();
    let upstreams = context.upstreams.lock();
    let is_live =
        |h: &Holder| upstreams.holder(now, &h.agent, h.incarnation, &call.service).is_some();
    let mut keys = context.keys.lock();
    keys.decide_probed(now, &call.service, key, generation, results, is_live)
}

/// Returns the address of a holder, or `None` when the holder is not live.
fn target<S: Store>(context: &Arc<Context<S>>, call: &Call, holder: &Holder) -> Option<Target> {
    let upstreams = context.upstreams.lock();
    upstreams.holder(runtime::now(), &holder.agent, holder.incarnation, &call.service)
}

/// Asks the witnesses concurrently whether they have dispatched a key.
async fn probe<S: Store>(
    context: &Arc<Context<S>>,
    service: &str,
    key: &Bytes,
    witnesses: Vec<Witness>,
    limit: Duration,
) -> Vec<ProbeResult> {
    let tasks: Vec<_> = witnesses
        .into_iter()
        .map(|witness| {
            let probe = Probe { service: service.to_owned(), key: key.clone() };
            let context = context.clone();
            runtime::spawn(async move {
                let reply = ask(&context, &witness, probe, limit).await;
                (witness, reply)
            })
        })
        .collect();
    let mut results = Vec::with_capacity(tasks.len());
    for task in tasks {
        results.push(task.await);
    }
    results
}

/// Asks one witness whether it has dispatched a key. Returns `None` when the witness is
/// unreachable.
async fn ask<S: Store>(
    context: &Arc<Context<S>>,
    witness: &Witness,
    probe: Probe,
    limit: Duration,
) -> Option<ProbeReply> {
    if witness.entry == context.settings.id {
        return Some(context.keys.lock().probe(&probe.service, &probe.key));
    }
    let address = context.members.lock().record(&witness.entry).map(|r| r.internal.clone())?;
    match context.peers.call(&address, "probe", &probe, limit).await {
        Ok(reply) => Some(reply),
        Err(error) => {
            tracing::info!(event = "probe_failed", entry = witness.entry, %error);
            None
        }
    }
}

/// Returns the outcome of a request whose key no agent may run now.
fn unavailable() -> Outcome {
    let reason = RefuseReason::KeyUnavailable;
    Outcome::NotRun { reason, retry_after: RETRY_AFTER, reached: false }
}

/// Returns the outcome of a request whose key may have run with an earlier request.
fn unknown_outcome<S: Store>(context: &Arc<Context<S>>, call: &Call, key: &Bytes) -> Outcome {
    let cause = context.keys.lock().unknown_cause(runtime::now(), &call.service, key);
    let error = format!("an earlier request with this key may have run; this one was not: {cause}");
    Outcome::Unknown { status: StatusCode::BAD_GATEWAY, error: ErrorBody::new(error) }
}
