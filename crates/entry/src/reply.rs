//! HTTP responses that originate from the entry, not from an upstream.

use std::time::Duration;

use http::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use http::{Response, StatusCode};
use peridotfold_core::message::request::RefuseReason;
use peridotfold_wire::body::Body;
use serde::Serialize;

use crate::headers;

/// JSON body of an error response to callers and operators.
#[derive(Debug, Default, Serialize)]
pub struct ErrorBody {
    /// Description of the error.
    pub error: String,
    /// Request field at fault.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// Processing step that failed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub step: Option<String>,
    /// Address of the process whose call failed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peer: Option<String>,
}

impl ErrorBody {
    /// Creates an error body without field, step and peer.
    pub fn new(error: impl Into<String>) -> Self {
        ErrorBody { error: error.into(), ..ErrorBody::default() }
    }
}

/// Returns a JSON response.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => with_content_type(status, "application/json", bytes),
        Err(error) => {
            tracing::error!(event = "encode_failed", %error);
            with_content_type(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", Vec::new())
        }
    }
}

/// Returns a response with a body of the given content type.
pub fn with_content_type(
    status: StatusCode,
    content: &'static str,
    body: impl Into<bytes::Bytes>,
) -> Response<Body> {
    let mut response = Response::new(Body::full(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content));
    response
}

/// Returns an error response without field, step, peer and outcome.
pub fn error(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    json(status, &ErrorBody::new(text))
}

/// Returns the response to a request that was certainly not run and may be retried.
pub fn not_run(reason: RefuseReason, retry_after: Duration) -> Response<Body> {
    let status = match reason {
        RefuseReason::Quota => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = rejected(status, format!("not run: {}", describe_reason(reason)));
    // The header has whole seconds; zero would invite an immediate retry.
    let seconds = retry_after.as_millis().div_ceil(1_000).max(1) as u64;
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    response
}

/// Returns an error response with the outcome `not-run`.
pub fn rejected(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    let mut response = error(status, text);
    response.headers_mut().insert(headers::OUTCOME, HeaderValue::from_static("not-run"));
    response
}

/// Returns the response to a request that may have run.
pub fn unknown(status: StatusCode, error: ErrorBody) -> Response<Body> {
    with_unknown_outcome(json(status, &error))
}

/// Sets the outcome of a response to `unknown`.
pub fn with_unknown_outcome(mut response: Response<Body>) -> Response<Body> {
    response.headers_mut().insert(headers::OUTCOME, HeaderValue::from_static("unknown"));
    response
}

/// Describes the reason why a request was not run.
pub fn describe_reason(reason: RefuseReason) -> &'static str {
    match reason {
        RefuseReason::Overloaded => "overloaded",
        RefuseReason::Leaving => "the upstream is leaving",
        RefuseReason::UnknownService => "the upstream does not provide the service",
        RefuseReason::WrongIncarnation => "the agent has restarted",
        RefuseReason::Duplicate => "cancelled, or a duplicate",
        RefuseReason::NoConfig => "no configuration yet",
        RefuseReason::UpstreamUnreachable => "the upstream is unreachable",
        RefuseReason::NoUpstream => "no live upstream",
        RefuseReason::KeyUnavailable => "no upstream may run this key now",
        RefuseReason::EntryEnded => "the entry was replaced by a later process",
        RefuseReason::DeadlinePassed => "the deadline passed",
        RefuseReason::Quota => "quota used up",
    }
}
