//! Forwarding of callers' requests to upstreams through their agents.
//!
//! Each request ends with an answer, as certainly not run, or as unknown if it may have run.

pub mod attempt;
pub mod call;
pub mod keyed;
pub mod unkeyed;
pub mod upload;

use std::sync::Arc;

use async_channel::Sender;
use futures_lite::future;
use http::header::{HeaderValue, CONTENT_LENGTH};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use peridotfold_core::message::request::{BodyFrame, TraceContext};
use peridotfold_store::Store;
use peridotfold_wire::body::{Body, BodySender};
use peridotfold_wire::peer::FrameReceiver;
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::{self, Shutdown};
use smol::lock::Mutex;
use tracing::Instrument;

use crate::context::Context;
use crate::proxy::attempt::{Answer, Outcome};
use crate::proxy::call::Call;
use crate::proxy::upload::Upload;
use crate::{headers, reply, trace};

/// Answers the request of a caller.
///
/// The exchange runs in a separate task, which continues when this future is dropped with the
/// caller's connection. The task then cancels the request and records the outcome of its key.
pub async fn serve<S: Store>(
    context: Arc<Context<S>>,
    request: Request<Incoming>,
) -> Response<Body> {
    let trace = trace::context(request.headers());
    let id = format!("{:032x}", trace.trace);
    let span = tracing::info_span!("request", trace = %id, path = request.uri().path());
    let (sender, receiver) = async_channel::bounded(1);
    let (_caller, caller_gone) = shutdown::channel();
    runtime::spawn(exchange(context, request, trace, caller_gone, sender).instrument(span))
        .detach();
    let mut response = match receiver.recv().await {
        Ok(response) => response,
        Err(_) => reply::unknown(
            StatusCode::BAD_GATEWAY,
            reply::ErrorBody::new("the request task ended without a response"),
        ),
    };
    if let Ok(value) = HeaderValue::from_str(&trace::format(&trace)) {
        response.headers_mut().insert(trace::HEADER, value);
    }
    response
}

/// Checks and dispatches a request, and passes its response to `sender`. `caller_gone` fires when
/// the caller's connection is closed.
async fn exchange<S: Store>(
    context: Arc<Context<S>>,
    request: Request<Incoming>,
    trace: TraceContext,
    caller_gone: Shutdown,
    sender: Sender<Response<Body>>,
) {
    let (parts, incoming) = request.into_parts();
    let call = match Call::check(&context, &parts, trace) {
        Ok(call) => call,
        Err(response) => {
            let _ = sender.send(*response).await;
            return;
        }
    };
    let slot = parts.extensions.get().cloned();
    let upload = Arc::new(Mutex::new(Upload::new(incoming, slot)));
    let (outcome, in_flight) = match &call.key {
        Some(key) => keyed::run(&context, &call, key, &upload, &caller_gone).await,
        None => unkeyed::run(&context, &call, &upload, &caller_gone).await,
    };
    record(&call, &outcome);
    match outcome {
        Outcome::Abandoned { .. } => {}
        Outcome::NotRun { reason, retry_after, .. } => {
            let _ = sender.send(reply::not_run(reason, retry_after)).await;
        }
        Outcome::Unknown { status, error } => {
            let _ = sender.send(reply::unknown(status, error)).await;
        }
        Outcome::Answer(answer) => {
            // The request counts as in flight until its response body has ended.
            let _in_flight = in_flight;
            pass_on(&call, answer, &context.drained, sender).await;
        }
    }
}

/// How a response body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyEnd {
    /// The whole body was forwarded.
    Complete,
    /// Ended by the shutdown of this entry, at a chunk boundary.
    Drained,
    /// The agent's stream ended early, or the caller closed the connection.
    Cut,
}

/// Passes an upstream's answer on to the caller.
async fn pass_on(call: &Call, answer: Answer, drained: &Shutdown, sender: Sender<Response<Body>>) {
    let Answer { status, headers, receiver, upload } = answer;
    let (body_sender, body) = Body::parts();
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    headers::add_upstream_headers(response.headers_mut(), &headers);
    let is_endless = !response.headers().contains_key(CONTENT_LENGTH);
    if sender.send(response).await.is_err() {
        return;
    }
    let drained = is_endless.then_some(drained);
    let end = download(receiver, body_sender, drained).await;
    if end != BodyEnd::Complete {
        tracing::info!(event = "response_cut", service = call.service, ?end);
        metrics::counter!("responses_cut_total", "service" => call.service.clone()).increment(1);
    }
    match upload {
        // The upstream may answer before it has read the request.
        Some(task) if end == BodyEnd::Complete => task.await,
        // Dropping the task and the receiver resets the stream, on which the agent abandons the
        // request.
        Some(_) | None => {}
    }
}

/// Passes the response body on to the caller. Dropping `body` without `finish` closes the caller's
/// connection, so that a truncated body is seen as one.
async fn download(
    mut receiver: FrameReceiver,
    mut body: BodySender,
    drained: Option<&Shutdown>,
) -> BodyEnd {
    loop {
        let next = receive(&mut receiver, &body, drained).await;
        match next {
            Ok(Some(BodyFrame::Data(part))) => {
                if body.send(part).await.is_err() {
                    return BodyEnd::Cut;
                }
            }
            Ok(Some(BodyFrame::End)) => {
                body.finish();
                return BodyEnd::Complete;
            }
            Ok(None) => return BodyEnd::Cut,
            Err(BodyEnd::Drained) => {
                body.finish();
                return BodyEnd::Drained;
            }
            Err(end) => return end,
        }
    }
}

/// Waits for the next frame, the end of the caller's connection, or the end of the drain period of
/// a shutdown.
async fn receive(
    receiver: &mut FrameReceiver,
    body: &BodySender,
    drained: Option<&Shutdown>,
) -> Result<Option<BodyFrame>, BodyEnd> {
    let frame = async {
        receiver.next().await.map_err(|error| {
            tracing::info!(event = "response_failed", %error);
            BodyEnd::Cut
        })
    };
    let closed = async {
        body.closed().await;
        Err(BodyEnd::Cut)
    };
    let drain = async {
        match drained {
            Some(drained) => drained.wait().await,
            None => future::pending().await,
        }
        Err(BodyEnd::Drained)
    };
    future::or(drain, future::or(frame, closed)).await
}

/// Records the outcome of a request in metrics and the log.
fn record(call: &Call, outcome: &Outcome) {
    let elapsed = runtime::now().saturating_sub(call.started);
    let name = match outcome {
        Outcome::Answer(_) => "answered",
        Outcome::NotRun { .. } => "not_run",
        Outcome::Unknown { .. } => "unknown",
        Outcome::Abandoned { .. } => "abandoned",
    };
    let service = call.service.clone();
    metrics::counter!("requests_total", "service" => service.clone(), "outcome" => name)
        .increment(1);
    metrics::histogram!("request_seconds", "service" => service).record(elapsed.as_secs_f64());
    let micros = elapsed.as_micros() as u64;
    match outcome {
        Outcome::Answer(answer) => {
            let status = answer.status;
            tracing::debug!(event = "request_answered", service = call.service, status, micros);
        }
        Outcome::NotRun { reason, .. } => {
            let reason = reply::describe_reason(*reason);
            tracing::debug!(event = "request_not_run", service = call.service, reason, micros);
        }
        Outcome::Unknown { error, .. } => {
            let detail = error.error.as_str();
            tracing::warn!(event = "request_unknown", service = call.service, detail, micros);
        }
        Outcome::Abandoned { not_run } => {
            tracing::debug!(event = "request_abandoned", service = call.service, not_run, micros);
        }
    }
}
