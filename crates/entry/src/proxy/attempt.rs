//! One attempt to run a request: its dispatch to one agent.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future;
use http::StatusCode;
use peridotfold_core::message::request::{
    Cancel, CancelReply, RefuseReason, RequestId, ResponseHead,
};
use peridotfold_core::routing::{Feedback, Target};
use peridotfold_store::Store;
use peridotfold_wire::error::WireError;
use peridotfold_wire::peer::{FrameReceiver, Peers};
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::Shutdown;
use smol::Task;

use crate::context::Context;
use crate::proxy::call::Call;
use crate::proxy::upload::SharedUpload;
use crate::reply::ErrorBody;

/// Longest wait for the agent's proof that a request was not started, before its outcome counts as
/// unknown. A few round trips between data centres.
const PROOF_WAIT: Duration = Duration::from_millis(25);
/// Timeout of the message that asks an agent to cancel a request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// Value of the `Retry-After` header when no agent gave one.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How a dispatch ended.
#[derive(Debug)]
pub enum Outcome {
    /// The head of the answer arrived.
    Answer(Answer),
    /// The request was certainly not run. `reached` tells whether the agent may have received it.
    NotRun { reason: RefuseReason, retry_after: Duration, reached: bool },
    /// The request may have run.
    Unknown { status: StatusCode, error: ErrorBody },
    /// The caller closed the connection. `not_run` tells whether the request was certainly not run.
    Abandoned { not_run: bool },
}

/// The head of an answer, with the streams of its body and of the request body.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    pub headers: Vec<(Bytes, Bytes)>,
    /// Receives the response body.
    pub receiver: FrameReceiver,
    /// Sends the rest of the request body, if the request has one.
    pub upload: Option<Task<()>>,
}

/// Reason to stop waiting for an answer.
enum StopReason {
    /// The deadline of the request passed.
    Deadline,
    /// The caller closed the connection.
    Gone,
}

/// Head of the response, receiver of its body, and the task that sends the request body.
type ExchangeResult = Result<(ResponseHead, FrameReceiver, Option<Task<()>>), WireError>;

/// Counts a request as in flight at its target until dropped.
pub struct InFlight<S: Store> {
    context: Arc<Context<S>>,
    target: Target,
    service: String,
}

impl<S: Store> InFlight<S> {
    /// Starts to count a request.
    pub fn begin(context: &Arc<Context<S>>, target: &Target, service: &str) -> Self {
        context.upstreams.lock().begin(target, service);
        let context = context.clone();
        InFlight { context, target: target.clone(), service: service.to_owned() }
    }
}

impl<S: Store> Drop for InFlight<S> {
    fn drop(&mut self) {
        self.context.upstreams.lock().end(&self.target, &self.service);
    }
}

/// Dispatches `call` to `target` and waits for the head of the answer, the deadline, or the end of
/// the caller's connection.
pub async fn run<S: Store>(
    context: &Arc<Context<S>>,
    call: &Call,
    target: &Target,
    upload: &SharedUpload,
    caller_gone: &Shutdown,
) -> Outcome {
    let begun = runtime::now();
    let outcome = dispatch(context, call, target, upload, caller_gone).await;
    let feedback = match &outcome {
        Outcome::Answer(answer) if answer.status < 500 => {
            Feedback::Answered(runtime::now().saturating_sub(begun))
        }
        Outcome::NotRun { reached: false, reason: RefuseReason::UpstreamUnreachable, .. } => {
            Feedback::Unreachable
        }
        // The agent refuses all requests until its next announcement with another state.
        Outcome::NotRun {
            reason: RefuseReason::Leaving | RefuseReason::WrongIncarnation | RefuseReason::NoConfig,
            ..
        } => Feedback::Unreachable,
        // The caller's deadline may be far below the upstream's usual latency.
        Outcome::NotRun { reason: RefuseReason::DeadlinePassed, .. } => Feedback::Abandoned,
        Outcome::NotRun {
            reason: RefuseReason::Overloaded | RefuseReason::KeyUnavailable, ..
        } => Feedback::Refused,
        Outcome::Answer(_) | Outcome::NotRun { .. } | Outcome::Unknown { .. } => Feedback::Failed,
        Outcome::Abandoned { .. } => Feedback::Abandoned,
    };
    context.upstreams.lock().record_feedback(runtime::now(), target, &call.service, feedback);
    outcome
}

/// Connects to the agent, sends the request, and cancels it at the deadline or when the caller
/// closes the connection.
async fn dispatch<S: Store>(
    context: &Arc<Context<S>>,
    call: &Call,
    target: &Target,
    upload: &SharedUpload,
    caller_gone: &Shutdown,
) -> Outcome {
    let connected = future::or(async { Ok(context.peers.connect(&target.address).await) }, async {
        Err(wait_stop(call, caller_gone).await)
    });
    match connected.await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => return unreachable(&error),
        Err(StopReason::Deadline) => return not_run(RefuseReason::DeadlinePassed, false),
        Err(StopReason::Gone) => return Outcome::Abandoned { not_run: true },
    }
    let id = context.next_request();
    let mut exchange = Box::pin(exchange(&context.peers, call, target, id.clone(), upload));
    let stopped = future::or(async { Ok(exchange.as_mut().await) }, async {
        Err(wait_stop(call, caller_gone).await)
    });
    match stopped.await {
        Ok(Ok(exchanged)) => outcome_from_head(exchanged),
        Ok(Err(error)) if error.is_not_sent() => unreachable(&error),
        Ok(Err(error)) => {
            drop(exchange);
            after_failure(context, target, id, &error).await
        }
        Err(StopReason::Gone) => {
            drop(exchange);
            let reply = cancel(context, target, id).await;
            Outcome::Abandoned { not_run: reply == Some(CancelReply::NotStarted) }
        }
        Err(StopReason::Deadline) => {
            let cancelled = cancel(context, target, id.clone());
            let proof = future::or(async { Ok(exchange.as_mut().await) }, async {
                Err(with_timeout(PROOF_WAIT, cancelled).await)
            });
            match proof.await {
                Ok(Ok(exchanged)) => outcome_from_head(exchanged),
                Err(Some(CancelReply::NotStarted)) => not_run(RefuseReason::DeadlinePassed, true),
                Ok(Err(_)) | Err(_) => deadline_unknown(target),
            }
        }
    }
}

/// Sends the request and waits for the head of the answer.
async fn exchange(
    peers: &Peers,
    call: &Call,
    target: &Target,
    id: RequestId,
    upload: &SharedUpload,
) -> ExchangeResult {
    let head = call.head(id, target.incarnation);
    let (sender, pending) = peers.open(&target.address, "request", &head).await?;
    let mut body = upload.lock_arc().await;
    let is_empty = body.is_empty();
    let upload = async move {
        // An agent that refuses a request may close the stream before it has read the body, so only
        // its response tells the outcome.
        if let Err(error) = body.send(sender).await {
            tracing::debug!(event = "upload_ended", %error);
        }
    };
    let task = match is_empty {
        true => {
            upload.await;
            None
        }
        false => Some(runtime::spawn(upload)),
    };
    let mut receiver = pending.receiver().await?;
    match receiver.next().await? {
        Some(head) => Ok((head, receiver, task)),
        None => Err(WireError::new(
            peridotfold_wire::error::Step::Receive,
            target.address.as_str(),
            "the stream ended before the response head",
        )),
    }
}

/// Converts the head of a response to the outcome of the dispatch.
fn outcome_from_head(
    (head, receiver, upload): (ResponseHead, FrameReceiver, Option<Task<()>>),
) -> Outcome {
    match head {
        ResponseHead::Answer { status, headers, replayed: _ } => {
            Outcome::Answer(Answer { status, headers, receiver, upload })
        }
        ResponseHead::NotRun { reason, retry_after } => {
            Outcome::NotRun { reason, retry_after, reached: true }
        }
        ResponseHead::Unknown { detail } => Outcome::Unknown {
            status: StatusCode::BAD_GATEWAY,
            error: ErrorBody {
                error: format!("may have run: {detail}"),
                field: None,
                step: Some("receive".into()),
                peer: Some(receiver.peer().to_owned()),
            },
        },
    }
}

/// Cancels a dispatch whose stream failed, and returns its outcome: not run if the agent proves it,
/// otherwise unknown.
async fn after_failure<S: Store>(
    context: &Arc<Context<S>>,
    target: &Target,
    id: RequestId,
    error: &WireError,
) -> Outcome {
    match with_timeout(PROOF_WAIT, cancel(context, target, id)).await {
        Some(CancelReply::NotStarted) => not_run(RefuseReason::UpstreamUnreachable, true),
        _ => Outcome::Unknown {
            status: StatusCode::BAD_GATEWAY,
            error: ErrorBody {
                error: format!("may have run: {}", error.detail),
                field: None,
                step: Some(error.step.to_string()),
                peer: Some(error.peer.clone()),
            },
        },
    }
}

/// Cancels a dispatch. The message is sent even if the returned future is dropped.
pub fn cancel<S: Store>(
    context: &Arc<Context<S>>,
    target: &Target,
    id: RequestId,
) -> impl std::future::Future<Output = Option<CancelReply>> + Send {
    let (peers, address) = (context.peers.clone(), target.address.clone());
    let (sender, receiver) = async_channel::bounded(1);
    runtime::spawn(async move {
        let result = peers.call(&address, "cancel", &Cancel { id }, CANCEL_TIMEOUT).await;
        if let Err(error) = &result {
            tracing::debug!(event = "cancel_failed", %error);
        }
        let _ = sender.send(result.ok()).await;
    })
    .detach();
    async move { receiver.recv().await.ok().flatten() }
}

/// Runs `task` for at most `limit`; returns `None` after that.
async fn with_timeout<T>(
    limit: Duration,
    task: impl std::future::Future<Output = Option<T>>,
) -> Option<T> {
    future::or(task, async {
        runtime::sleep(limit).await;
        None
    })
    .await
}

/// Waits for the deadline or the end of the caller's connection.
async fn wait_stop(call: &Call, caller_gone: &Shutdown) -> StopReason {
    future::or(
        async {
            runtime::sleep(call.remaining()).await;
            StopReason::Deadline
        },
        async {
            caller_gone.wait().await;
            StopReason::Gone
        },
    )
    .await
}

/// Returns the outcome of a request that was certainly not run. `reached` tells whether the agent
/// may have received it.
fn not_run(reason: RefuseReason, reached: bool) -> Outcome {
    Outcome::NotRun { reason, retry_after: RETRY_AFTER, reached }
}

/// Returns the outcome of a request that could not be sent to the agent.
fn unreachable(error: &WireError) -> Outcome {
    tracing::info!(event = "upstream_unreachable", %error);
    not_run(RefuseReason::UpstreamUnreachable, false)
}

/// Returns the outcome of a request that may have run when its deadline passed.
fn deadline_unknown(target: &Target) -> Outcome {
    Outcome::Unknown {
        status: StatusCode::GATEWAY_TIMEOUT,
        error: ErrorBody {
            error: "may have run: no answer within the deadline".into(),
            field: None,
            step: Some("timeout".into()),
            peer: Some(target.address.clone()),
        },
    }
}
