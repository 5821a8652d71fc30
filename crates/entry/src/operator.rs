//! HTTP interface for operators: the configuration and the status of the entry.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use http::{Extensions, HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use peridotfold_store::{ConfigRepository, Store, SubmitError};
use peridotfold_wire::body::Body;
use peridotfold_wire::request_body::{BodyError, RequestBody};
use peridotfold_wire::runtime;
use serde_json::json;

use crate::auth::{self, Identity};
use crate::context::Context;
use crate::{config, reply};

/// Largest body of a configuration patch or job operation.
pub const MAX_BODY_BYTES: usize = 512 * 1024;
/// Time limit for the arrival of a body. Far above what the largest takes on a slow link.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);
/// `Retry-After` of a request that the entry has no room for, in seconds.
const CROWD_RETRY_AFTER: &str = "2";
/// Request header with the author of a configuration patch.
const AUTHOR: &str = "peridotfold-author";
/// Response header with the version of the configuration in the body.
const VERSION: &str = "peridotfold-config-version";

/// Answers `GET /v1/status`.
pub fn status<S: Store>(context: &Arc<Context<S>>, request: &Request<Incoming>) -> Response<Body> {
    if let Err(response) = require_operator(context, request.headers()) {
        return *response;
    }
    if request.method() != Method::GET {
        return reply::error(StatusCode::METHOD_NOT_ALLOWED, "only GET");
    }
    let upstreams = context.upstreams.lock().views(runtime::now());
    reply::json(
        StatusCode::OK,
        &json!({
            "entry": context.settings.id,
            "incarnation": context.incarnation,
            "data_centre": context.settings.data_centre,
            "config_version": context.current().map(|current| current.version),
            "store_silence_ms": context.store_silence().as_millis() as u64,
            "entries": context.alive(),
            "upstreams": upstreams,
            "workers": context.cells.workers(),
        }),
    )
}

/// Answers an operator's request to `/v1/config`.
pub async fn config<S: Store>(
    context: &Arc<Context<S>>,
    request: Request<Incoming>,
) -> Response<Body> {
    if let Err(response) = require_operator(context, request.headers()) {
        return *response;
    }
    match *request.method() {
        Method::GET => current(context),
        Method::PATCH => patch(context, request).await,
        _ => reply::error(StatusCode::METHOD_NOT_ALLOWED, "only GET and PATCH"),
    }
}

/// Answers `GET /v1/config/<version>`.
pub async fn version<S: Store>(
    context: &Arc<Context<S>>,
    request: &Request<Incoming>,
) -> Response<Body> {
    if let Err(response) = require_operator(context, request.headers()) {
        return *response;
    }
    if request.method() != Method::GET {
        return reply::error(StatusCode::METHOD_NOT_ALLOWED, "only GET");
    }
    let text = request.uri().path().rsplit('/').next().unwrap_or_default();
    let Ok(number) = text.parse::<u64>() else {
        return reply::error(StatusCode::BAD_REQUEST, "the version is not a number");
    };
    let Some(repository) = repository(context) else { return store_down() };
    match repository.document_at(number).await {
        Ok(Some(document)) => document_response(number, &document),
        Ok(None) => reply::error(StatusCode::NOT_FOUND, format!("no version {number}")),
        Err(error) => reply::error(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
    }
}

/// Reads a whole request body of at most [`MAX_BODY_BYTES`].
///
/// # Errors
///
/// Returns the response that rejects a body that is too large, too slow or incomplete, or that the entry has no
/// room for. Nothing of the request was carried out.
pub async fn read_body(
    extensions: &Extensions,
    incoming: Incoming,
) -> Result<RequestBody, Box<Response<Body>>> {
    let read = RequestBody::read(extensions, incoming, MAX_BODY_BYTES, BODY_TIMEOUT).await;
    read.map_err(|error| {
        let status = match error {
            BodyError::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::TooSlow(_) => StatusCode::REQUEST_TIMEOUT,
            BodyError::Incomplete(_) => StatusCode::BAD_REQUEST,
            BodyError::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = reply::error(status, error.to_string());
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        if error == BodyError::NoRoom {
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(CROWD_RETRY_AFTER));
        }
        Box::new(response)
    })
}

/// Returns the value of the query parameter `name`, without percent-decoding.
pub fn parameter<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    let mut pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Returns the response that rejects the request, unless an operator sent it.
fn require_operator<S: Store>(
    context: &Arc<Context<S>>,
    headers: &HeaderMap,
) -> Result<(), Box<Response<Body>>> {
    let document = context.document();
    match auth::identify(headers, &document, &context.settings.operator_digest) {
        Identity::Operator => Ok(()),
        Identity::Team(_) => {
            Err(Box::new(reply::error(StatusCode::FORBIDDEN, "only operators may do this")))
        }
        Identity::Anonymous | Identity::Rejected => {
            Err(Box::new(reply::error(StatusCode::UNAUTHORIZED, "no valid credential")))
        }
    }
}

/// Returns the configuration repository, or `None` before the first contact with the store.
fn repository<S: Store>(context: &Arc<Context<S>>) -> Option<Arc<ConfigRepository<S>>> {
    context.repository.read().clone()
}

/// Returns the response with the configuration in effect.
fn current<S: Store>(context: &Arc<Context<S>>) -> Response<Body> {
    match context.current() {
        Some(current) => {
            let document = peridotfold_core::config::encode_document(&current.document);
            document_response(current.version, &document)
        }
        None => reply::error(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet"),
    }
}

/// Returns a response with a configuration document and its version, which is in the body and in a
/// header.
fn document_response(version: u64, document: &Bytes) -> Response<Body> {
    let document: serde_json::Value = match serde_json::from_slice(document) {
        Ok(document) => document,
        Err(error) => {
            return reply::error(StatusCode::INTERNAL_SERVER_ERROR, error.to_string());
        }
    };
    let body = json!({"version": version, "document": document});
    let mut response = reply::json(StatusCode::OK, &body);
    response.headers_mut().insert(VERSION, version.into());
    response
}

/// Submits a configuration patch and puts the resulting version into effect.
async fn patch<S: Store>(context: &Arc<Context<S>>, request: Request<Incoming>) -> Response<Body> {
    let base = parameter(request.uri().query(), "base").and_then(|text| text.parse().ok());
    let Some(base) = base else {
        let text = reply::ErrorBody {
            error: "the version that the patch changes is missing or not a number".into(),
            field: Some("base".into()),
            ..Default::default()
        };
        return reply::json(StatusCode::BAD_REQUEST, &text);
    };
    let author = request.headers().get(AUTHOR).and_then(|value| value.to_str().ok());
    let author = author.unwrap_or("operator").to_owned();
    let (head, incoming) = request.into_parts();
    let body = match read_body(&head.extensions, incoming).await {
        Ok(body) => body,
        Err(response) => return *response,
    };
    let Some(repository) = repository(context) else { return store_down() };
    match repository.submit(base, body.bytes().clone(), &author).await {
        Ok(version) => {
            config::install_current(context, &repository);
            tracing::info!(event = "config_accepted", version, author);
            reply::json(StatusCode::OK, &json!({"version": version}))
        }
        Err(error) => reject_patch(context, &repository, &author, error),
    }
}

/// Returns the response for a patch that was not accepted or whose outcome is unknown.
fn reject_patch<S: Store>(
    context: &Arc<Context<S>>,
    repository: &ConfigRepository<S>,
    author: &str,
    error: SubmitError,
) -> Response<Body> {
    config::install_current(context, repository);
    let text = error.to_string();
    tracing::info!(event = "config_rejected", author, error = text);
    match error {
        SubmitError::Stale { current, author } => reply::json(
            StatusCode::CONFLICT,
            &json!({"error": text, "current": current, "author": author}),
        ),
        SubmitError::Future { current } => {
            reply::json(StatusCode::CONFLICT, &json!({"error": text, "current": current}))
        }
        SubmitError::Invalid(problems) => {
            let field = problems.first().map(|problem| problem.field.as_str());
            let body = json!({"error": text, "field": field, "problems": problems});
            reply::json(StatusCode::UNPROCESSABLE_ENTITY, &body)
        }
        SubmitError::Unavailable(_) => reply::error(StatusCode::SERVICE_UNAVAILABLE, text),
        SubmitError::Unknown(_) => {
            reply::unknown(StatusCode::GATEWAY_TIMEOUT, reply::ErrorBody::new(text))
        }
    }
}

/// Returns the response while the configuration was never read from the store.
fn store_down() -> Response<Body> {
    let text = "the store has not answered since the start of this entry";
    reply::error(StatusCode::SERVICE_UNAVAILABLE, text)
}
