//! Serving one request from an entry: checks, idempotency key, admission, call of the upstream, and
//! response.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use bytes::Bytes;
use futures_lite::future;
use http::{Response, StatusCode};
use peridotfold_core::admission::{Ending, Refusal};
use peridotfold_core::key_table::{Answer, Outcome};
use peridotfold_core::message::request::{
    BodyFrame, RefuseReason, RequestHead, RequestId, ResponseHead, TraceContext,
};
use peridotfold_core::time::Time;
use peridotfold_wire::body::{Body, BodySender};
use peridotfold_wire::error::{Step, WireError};
use peridotfold_wire::http_client::PooledBody;
use peridotfold_wire::peer::FrameSender;
use peridotfold_wire::runtime;
use peridotfold_wire::server::Stream;
use tracing::Instrument;

use crate::gate::{Permit, Rejection};
use crate::idempotency::{KeyDecision, KeyRun};
use crate::relay::{KeptBody, Relay};
use crate::request_body::RequestBody;
use crate::shared::Shared;
use crate::upstream::forwarded_headers;

/// Minimum timeout of the upstream's response to a non-idempotent request. A timeout leaves the
/// outcome of such a request unknown.
const MIN_NON_IDEMPOTENT_TIMEOUT: Duration = Duration::from_secs(60);

/// Serves one `request` stream.
///
/// # Errors
///
/// Fails when the entry resets the stream or the message is not a valid request.
pub async fn serve(shared: &Arc<Shared>, mut stream: Stream) -> Result<(), WireError> {
    let Some(head) = stream.receiver.next::<RequestHead>().await? else {
        return stream
            .responder
            .refuse(StatusCode::BAD_REQUEST, "the stream contains no message".into());
    };
    let trace = TraceContext { trace: head.trace.trace, span: fastrand::u64(1..) };
    let span = tracing::info_span!(
        "request",
        trace = format!("{:032x}", trace.trace),
        parent = format!("{:016x}", head.trace.span),
        span = format!("{:016x}", trace.span),
        service = head.service,
        entry = head.id.entry,
        number = head.id.number,
    );
    let deadline = runtime::now() + head.timeout;
    let (receiver, sink) = (Some(RequestBody::new(stream.receiver)), stream.responder.start()?);
    let exchange = Exchange { shared: shared.clone(), head, trace, deadline, receiver, sink };
    exchange.run().instrument(span).await
}

/// A request and the stream on which it is answered.
struct Exchange {
    shared: Arc<Shared>,
    head: RequestHead,
    /// Trace of the request with a new span for the agent.
    trace: TraceContext,
    /// Time by which the entry expects the response.
    deadline: Time,
    /// The request body. `None` once a task forwards it to the upstream.
    receiver: Option<RequestBody>,
    /// Sends the response to the entry.
    sink: FrameSender,
}

/// Last message to the entry, sent after the request has ended.
enum FinalStep {
    /// The whole answer was sent, except for its end frame.
    End,
    /// The answer was truncated, so the stream must be reset.
    Truncated,
    /// The response consists of this head only.
    Head(ResponseHead),
}

impl Exchange {
    async fn run(mut self) -> Result<(), WireError> {
        if let Some(reason) = self.shared.target_mismatch(&self.head) {
            return self.refuse(reason).await;
        }
        let Some(key) = self.head.key.clone() else {
            let (finish, permit, _) = self.execute(false).await;
            return complete(self.sink, finish, permit).await;
        };
        let RequestId { entry, incarnation, .. } = &self.head.id;
        match self.shared.keys.decide(&key, entry, *incarnation) {
            KeyDecision::Run(run) => self.run_key(run).await,
            // In the next three cases the key has run or may still run. A duplicate must not be
            // reported as not run for reasons that apply only to the duplicate.
            KeyDecision::Join(outcome) => self.join(outcome).await,
            KeyDecision::Replay(answer) => self.replay(Outcome::Answered(answer)).await,
            KeyDecision::Unknown => self.replay(Outcome::Unknown).await,
            KeyDecision::Full => self.refuse(RefuseReason::KeyUnavailable).await,
            KeyDecision::Ended => self.refuse(RefuseReason::EntryEnded).await,
        }
    }

    /// Refuses the request.
    async fn refuse(self, reason: RefuseReason) -> Result<(), WireError> {
        let rejection = self.shared.gate.refuse(&self.head.id, reason);
        send_final_head(self.sink, rejection_head(rejection)).await
    }

    /// Runs the request and records the outcome of its key.
    async fn run_key(mut self, run: KeyRun) -> Result<(), WireError> {
        let (finish, permit, outcome) = self.execute(true).await;
        // Recorded before the caller sees the end of the answer, so that a later retry finds it.
        run.settle(outcome);
        complete(self.sink, finish, permit).await
    }

    /// Answers a duplicate with the outcome of the running request with the same key, or as unknown
    /// when the deadline passes first.
    async fn join(mut self, outcome: Receiver<Outcome>) -> Result<(), WireError> {
        let permit = match self.shared.gate.join(&self.head.id) {
            Ok(permit) => permit,
            Err(_) => return send_outcome(self.sink, Outcome::Unknown).await,
        };
        let remaining = self.deadline.saturating_sub(runtime::now());
        let expired = async {
            future::or(runtime::sleep(remaining), self.sink.closed()).await;
            Outcome::Unknown
        };
        let joined = async { outcome.recv().await.unwrap_or(Outcome::Unknown) };
        let outcome = future::or(joined, expired).await;
        let ending = if outcome == Outcome::NotRun { Ending::NotRun } else { Ending::Answered };
        let result = send_outcome(self.sink, outcome).await;
        permit.end(ending);
        result
    }

    /// Answers a duplicate with the recorded outcome of its key.
    async fn replay(self, outcome: Outcome) -> Result<(), WireError> {
        let Ok(permit) = self.shared.gate.join(&self.head.id) else {
            return send_outcome(self.sink, Outcome::Unknown).await;
        };
        metrics::counter!("peridotfold_replays_total").increment(1);
        let result = send_outcome(self.sink, outcome).await;
        permit.end(Ending::Answered);
        result
    }

    /// Admits and runs the request. With `keep_answer`, the answer is kept, and read to its end
    /// even if the entry disconnects.
    async fn execute(
        &mut self,
        keep_answer: bool,
    ) -> (FinalStep, Option<(Permit, Ending)>, Outcome) {
        let body = match self.shared.config_refusal(&self.head).await {
            Some(reason) => Err(reason),
            None => self.open_body().await.map_err(|_| RefuseReason::DeadlinePassed),
        };
        let body = match body {
            Ok(body) => body,
            Err(reason) => {
                let rejection = self.shared.gate.refuse(&self.head.id, reason);
                return (FinalStep::Head(rejection_head(rejection)), None, Outcome::NotRun);
            }
        };
        let admitted =
            self.shared.gate.admit(&self.head.id, self.deadline, self.sink.closed()).await;
        let permit = match admitted {
            Ok(permit) => permit,
            Err(rejection) => {
                return (FinalStep::Head(rejection_head(rejection)), None, Outcome::NotRun);
            }
        };
        match self.call(&permit, body).await {
            Ok(response) => self.relay(permit, response, keep_answer).await,
            Err(error) => upstream_failure(permit, error),
        }
    }

    /// Reads the first frame of the request body, and starts a task that forwards the rest.
    async fn open_body(&mut self) -> Result<Body, WireError> {
        let remaining = self.deadline.saturating_sub(runtime::now());
        let peer = self.head.id.entry.clone();
        let truncated =
            || WireError::new(Step::Receive, peer.as_str(), "request body was truncated");
        let mut receiver = self.receiver.take().ok_or_else(truncated)?;
        match runtime::timeout(remaining, &peer, receiver.next()).await? {
            Some(BodyFrame::End) => {
                self.receiver = Some(receiver);
                Ok(Body::empty())
            }
            Some(BodyFrame::Data(part)) => {
                let (sender, body) = Body::parts();
                runtime::spawn(upload(receiver, sender, part)).detach();
                Ok(body)
            }
            None => Err(truncated()),
        }
    }

    /// Calls the upstream. An idempotent request is abandoned when the entry cancels it or
    /// disconnects, or when the deadline passes. Other requests are abandoned only at the deadline,
    /// and not before [`MIN_NON_IDEMPOTENT_TIMEOUT`].
    async fn call(
        &mut self,
        permit: &Permit,
        body: Body,
    ) -> Result<Response<PooledBody>, WireError> {
        let remaining = self.deadline.saturating_sub(runtime::now());
        let peer = self.shared.settings.upstream.to_string();
        let call = self.shared.upstream.call(&self.head, self.trace, body);
        if !self.is_idempotent() {
            return runtime::timeout(remaining.max(MIN_NON_IDEMPOTENT_TIMEOUT), &peer, call).await;
        }
        let aborted = permit.aborted();
        let abandoned = async {
            future::or(self.sink.closed(), aborted.wait()).await;
            Err(WireError::new(Step::Receive, peer.as_str(), "cancelled by the entry"))
        };
        runtime::timeout(remaining, &peer, future::or(call, abandoned)).await
    }

    /// Relays the upstream's response to the entry.
    async fn relay(
        &mut self,
        permit: Permit,
        response: Response<PooledBody>,
        keep_answer: bool,
    ) -> (FinalStep, Option<(Permit, Ending)>, Outcome) {
        let (head, body) = response.into_parts();
        let failed = head.status.is_server_error();
        let headers = forwarded_headers(head.headers);
        let status = head.status.as_u16();
        let answer = ResponseHead::Answer { status, headers: headers.clone(), replayed: false };
        let reachable = self.sink.send(&answer).await.is_ok();
        let aborted = self.is_idempotent().then(|| permit.aborted());
        let close_streams = &self.shared.close_streams;
        let relay = Relay::new(body, &mut self.sink, &permit, close_streams, aborted);
        let relayed = match keep_answer {
            true => relay.run_kept(reachable).await,
            false if reachable => relay.run().await.map(|()| KeptBody::TooLarge),
            false => None,
        };
        let ending = match relayed {
            Some(_) if !failed => Ending::Answered,
            _ => Ending::Failed,
        };
        let (finish, outcome) = match relayed {
            None => (FinalStep::Truncated, Outcome::Unknown),
            Some(KeptBody::TooLarge) => (FinalStep::End, Outcome::Unknown),
            Some(KeptBody::Whole(body)) => {
                (FinalStep::End, Outcome::Answered(Arc::new(Answer { status, headers, body })))
            }
        };
        (finish, Some((permit, ending)), outcome)
    }

    /// Tells whether the request may be abandoned: its method is idempotent, and it has no key
    /// whose outcome must be recorded.
    fn is_idempotent(&self) -> bool {
        let idempotent = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE"];
        self.head.key.is_none() && idempotent.contains(&self.head.method.as_str())
    }
}

/// Forwards a request body to the upstream, starting with `first`. If the stream from the entry
/// ends early, the body is truncated, so the upstream does not take it for complete.
async fn upload(mut receiver: RequestBody, mut sender: BodySender, first: Bytes) {
    let mut part = first;
    loop {
        if sender.send(part).await.is_err() {
            return;
        }
        match receiver.next().await {
            Ok(Some(BodyFrame::Data(next))) => part = next,
            Ok(Some(BodyFrame::End)) => return sender.finish(),
            Ok(None) | Err(_) => return,
        }
    }
}

/// Logs a failed call of the upstream. The request has not run if nothing was sent; otherwise its
/// outcome is unknown.
fn upstream_failure(
    permit: Permit,
    error: WireError,
) -> (FinalStep, Option<(Permit, Ending)>, Outcome) {
    let WireError { step, peer, detail } = &error;
    tracing::warn!(event = "upstream_failed", %step, peer, detail);
    metrics::counter!("peridotfold_upstream_failures_total").increment(1);
    if error.is_not_sent() {
        let reason = RefuseReason::UpstreamUnreachable;
        let head = ResponseHead::NotRun { reason, retry_after: Duration::from_secs(1) };
        return (FinalStep::Head(head), Some((permit, Ending::NotRun)), Outcome::NotRun);
    }
    let head = ResponseHead::Unknown { detail: error.to_string() };
    (FinalStep::Head(head), Some((permit, Ending::Failed)), Outcome::Unknown)
}

/// Returns the response to a request that was not admitted.
fn rejection_head(rejection: Rejection) -> ResponseHead {
    match rejection {
        Rejection::Refused(Refusal { reason, retry_after }) => {
            metrics::counter!("peridotfold_refusals_total", "reason" => format!("{reason:?}"))
                .increment(1);
            ResponseHead::NotRun { reason, retry_after }
        }
        Rejection::Repeated => {
            ResponseHead::Unknown { detail: "the request id was used before".into() }
        }
    }
}

/// Sends the last message and ends the request. The end of an answer is sent before the permit is
/// released, since a draining agent closes its connections once all permits are released. A
/// response without a body is sent after the release, so that the request has ended when the entry
/// receives it.
async fn complete(
    mut sink: FrameSender,
    finish: FinalStep,
    permit: Option<(Permit, Ending)>,
) -> Result<(), WireError> {
    let release = || {
        if let Some((permit, ending)) = permit {
            permit.end(ending);
        }
    };
    match finish {
        FinalStep::Head(head) => {
            release();
            send_final_head(sink, head).await
        }
        FinalStep::End => {
            let result = send_end(&mut sink).await;
            release();
            result
        }
        FinalStep::Truncated => {
            sink.abort();
            release();
            Ok(())
        }
    }
}

/// Sends a response that consists of a head only.
async fn send_final_head(mut sink: FrameSender, head: ResponseHead) -> Result<(), WireError> {
    sink.send(&head).await?;
    sink.finish()
}

/// Sends the end of an answer.
async fn send_end(sink: &mut FrameSender) -> Result<(), WireError> {
    sink.send(&BodyFrame::End).await?;
    sink.finish()
}

/// Answers a duplicate with the outcome of its key.
async fn send_outcome(mut sink: FrameSender, outcome: Outcome) -> Result<(), WireError> {
    let answer = match outcome {
        Outcome::Answered(answer) => answer,
        Outcome::Unknown => {
            let detail = "the key was used before and its answer is not known".into();
            return send_final_head(sink, ResponseHead::Unknown { detail }).await;
        }
        Outcome::NotRun => {
            let reason = RefuseReason::KeyUnavailable;
            let retry_after = Duration::from_millis(100);
            return send_final_head(sink, ResponseHead::NotRun { reason, retry_after }).await;
        }
    };
    let headers = answer.headers.clone();
    sink.send(&ResponseHead::Answer { status: answer.status, headers, replayed: true }).await?;
    if !answer.body.is_empty() {
        sink.send(&BodyFrame::Data(answer.body.clone())).await?;
    }
    send_end(&mut sink).await
}
