//! Responses that an entry makes itself.

use std::time::Duration;

use http::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use http::{Response, StatusCode};
use peridotfold_core::message::request::RefuseReason;
use peridotfold_wire::body::Body;
use serde::Serialize;

use crate::headers;

/// An error as told to callers and operators.
#[derive(Debug, Default, Serialize)]
pub struct ErrorBody {
    pub error: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub step: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peer: Option<String>,
}

impl ErrorBody {
    /// Builds an error that names no field, step or peer.
    pub fn new(error: impl Into<String>) -> Self {
        ErrorBody { error: error.into(), ..ErrorBody::default() }
    }
}

/// Returns a JSON response.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => typed(status, "application/json", bytes),
        Err(error) => {
            tracing::error!(event = "encode_failed", %error);
            typed(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", Vec::new())
        }
    }
}

/// Returns a response with a body of the given type.
pub fn typed(
    status: StatusCode,
    content: &'static str,
    body: impl Into<bytes::Bytes>,
) -> Response<Body> {
    let mut response = Response::new(Body::full(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content));
    response
}

/// Returns an error without further parts.
pub fn error(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    json(status, &ErrorBody::new(text))
}

/// Returns the outcome of a request that was certainly not run.
pub fn not_run(reason: RefuseReason, retry_after: Duration) -> Response<Body> {
    let status = match reason {
        RefuseReason::Quota => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = refused(status, format!("not run: {}", describe_reason(reason)));
    // Whole seconds; zero would invite an immediate retry.
    let seconds = retry_after.as_millis().div_ceil(1_000).max(1) as u64;
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    response
}

/// Returns the rejection of a request that cannot succeed when it is repeated.
pub fn refused(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    let mut response = error(status, text);
    response.headers_mut().insert(headers::OUTCOME, HeaderValue::from_static("not-run"));
    response
}

/// Returns the outcome of a request that may have run.
pub fn unknown(status: StatusCode, error: ErrorBody) -> Response<Body> {
    with_unknown_outcome(json(status, &error))
}

/// Returns the rejection of a request whose key may have run with an earlier request.
pub fn with_unknown_outcome(mut response: Response<Body>) -> Response<Body> {
    response.headers_mut().insert(headers::OUTCOME, HeaderValue::from_static("unknown"));
    response
}

/// Describes why a request was not run.
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
