//! Validation of callers' requests: service, credential, idempotency key and timeout.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{Method, Response, StatusCode};
use peridotfold_core::config::Service;
use peridotfold_core::id::{ConfigVersion, Incarnation, ServiceId, TeamId};
use peridotfold_core::message::request::{RefuseReason, RequestHead, RequestId, TraceContext};
use peridotfold_core::time::Time;
use peridotfold_store::Store;
use peridotfold_wire::body::Body;
use peridotfold_wire::runtime;

use crate::auth::{self, Identity};
use crate::context::Context;
use crate::{headers, reply};

/// Path prefix of requests to services.
pub const PREFIX: &str = "/s/";
/// Longest idempotency key.
const MAX_KEY_BYTES: usize = 256;
/// Error for a request with a key while this entry has no configuration. Before that, it cannot ask
/// other entries whether they have dispatched the key.
const NO_CONFIG_TEXT: &str = "no configuration yet; an earlier request with this key may have run";
/// Longest timeout of a request; longer ones are shortened, so that time arithmetic cannot
/// overflow.
const MAX_TIMEOUT: Duration = Duration::from_secs(24 * 3_600);

/// A valid request of a caller.
#[derive(Debug)]
pub struct Call {
    pub service: ServiceId,
    pub method: Method,
    pub path: String,
    pub headers: Vec<(Bytes, Bytes)>,
    /// Idempotency key, prefixed with the team so that teams cannot share keys.
    pub key: Option<Bytes>,
    /// When this entry received the request.
    pub started: Time,
    /// When the timeout of the request ends.
    pub deadline: Time,
    /// Version of the configuration that the request was checked against.
    pub version: ConfigVersion,
    /// Trace context that is forwarded with the request.
    pub trace: TraceContext,
}

impl Call {
    /// Checks a request.
    ///
    /// # Errors
    ///
    /// Returns the response that rejects the request. Its outcome is `not-run`, or `unknown` for a
    /// request with a key, since an earlier request with that key may have run.
    pub fn check<S: Store>(
        context: &Arc<Context<S>>,
        parts: &Parts,
        trace: TraceContext,
    ) -> Result<Call, Box<Response<Body>>> {
        Call::check_parts(context, parts, trace).map_err(|response| match has_key(parts) {
            true => Box::new(reply::with_unknown_outcome(*response)),
            false => response,
        })
    }

    fn check_parts<S: Store>(
        context: &Arc<Context<S>>,
        parts: &Parts,
        trace: TraceContext,
    ) -> Result<Call, Box<Response<Body>>> {
        let Some(current) = context.current() else {
            let wait = Duration::from_secs(1);
            return Err(Box::new(match has_key(parts) {
                true => {
                    reply::unknown(StatusCode::BAD_GATEWAY, reply::ErrorBody::new(NO_CONFIG_TEXT))
                }
                false => reply::not_run(RefuseReason::NoConfig, wait),
            }));
        };
        let (name, path) = split_path(parts);
        let Some(service) = current.document.services.get(name) else {
            return Err(refuse(StatusCode::NOT_FOUND, format!("no service {name}")));
        };
        let digest = &context.settings.operator_digest;
        let identity = auth::identify(&parts.headers, &current.document, digest);
        let team = authorize(service, identity)?;
        let key = parse_key(parts, team.as_deref())?;
        let started = runtime::now();
        Ok(Call {
            service: name.to_owned(),
            method: parts.method.clone(),
            headers: headers::for_upstream(&parts.headers, team.as_deref()),
            path,
            key,
            started,
            deadline: started + parse_timeout(parts, service)?,
            version: current.version,
            trace,
        })
    }

    /// Tells whether the request may be dispatched again after an agent refused it.
    pub fn is_idempotent(&self) -> bool {
        use Method as M;
        [M::GET, M::HEAD, M::OPTIONS, M::PUT, M::DELETE].contains(&self.method)
    }

    /// Returns the time left until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_sub(runtime::now())
    }

    /// Builds the message head of one dispatch.
    pub fn head(&self, id: RequestId, agent_incarnation: Incarnation) -> RequestHead {
        RequestHead {
            id,
            agent_incarnation,
            service: self.service.clone(),
            method: self.method.to_string(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            key: self.key.clone(),
            timeout: self.remaining(),
            config_version: self.version,
            trace: self.trace,
        }
    }
}

/// Returns an error response with the outcome `not-run`.
fn refuse(status: StatusCode, text: impl Into<String>) -> Box<Response<Body>> {
    Box::new(reply::rejected(status, text))
}

/// Splits `/s/<service>/<path>?<query>` into the service and the upstream's path and query.
fn split_path(parts: &Parts) -> (&str, String) {
    let path = parts.uri.path();
    let rest = path.strip_prefix(PREFIX).unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let path = match parts.uri.query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    (service, path)
}

/// Returns the caller's team, or the response that rejects a caller who may not use the service.
fn authorize(service: &Service, identity: Identity) -> Result<Option<TeamId>, Box<Response<Body>>> {
    match identity {
        Identity::Team(team) if service.teams.is_empty() || service.teams.contains(&team) => {
            Ok(Some(team))
        }
        // A service without teams may have credentials of its own in the same header.
        _ if service.teams.is_empty() => Ok(None),
        Identity::Team(_) | Identity::Operator => {
            Err(refuse(StatusCode::FORBIDDEN, "the team may not use this service"))
        }
        Identity::Anonymous | Identity::Rejected => {
            Err(refuse(StatusCode::UNAUTHORIZED, "no valid credential"))
        }
    }
}

/// Tells whether the request has a valid idempotency key.
fn has_key(parts: &Parts) -> bool {
    parts.headers.get(headers::KEY).is_some_and(|key| (1..=MAX_KEY_BYTES).contains(&key.len()))
}

/// Returns the idempotency key prefixed with the team, or the response that rejects the key.
fn parse_key(parts: &Parts, team: Option<&str>) -> Result<Option<Bytes>, Box<Response<Body>>> {
    let Some(value) = parts.headers.get(headers::KEY) else { return Ok(None) };
    if value.is_empty() || value.len() > MAX_KEY_BYTES {
        let text = format!("{} must have 1 to {MAX_KEY_BYTES} bytes", headers::KEY);
        return Err(refuse(StatusCode::BAD_REQUEST, text));
    }
    let scope = team.unwrap_or_default().as_bytes();
    Ok(Some(Bytes::from([scope, b"\0", value.as_bytes()].concat())))
}

/// Returns the caller's timeout or the service's default.
fn parse_timeout(parts: &Parts, service: &Service) -> Result<Duration, Box<Response<Body>>> {
    let Some(value) = parts.headers.get(headers::TIMEOUT) else { return Ok(service.timeout()) };
    let millis = value.to_str().ok().and_then(|text| text.trim().parse::<u64>().ok());
    match millis.map(Duration::from_millis) {
        Some(timeout) if !timeout.is_zero() => Ok(timeout.min(MAX_TIMEOUT)),
        _ => {
            let text = format!("{} must be a number of milliseconds above 0", headers::TIMEOUT);
            Err(refuse(StatusCode::BAD_REQUEST, text))
        }
    }
}
