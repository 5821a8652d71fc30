//! Bodies of the upstream stand-in's answers.

use http::header::{HeaderValue, CONTENT_TYPE};
use http::{Response, StatusCode};
use peridotfold_core::hash;
use peridotfold_wire::body::Body;
use serde::Serialize;

use super::Behaviour;

pub(super) const TEXT: HeaderValue = HeaderValue::from_static("text/plain; charset=utf-8");
const JSON: HeaderValue = HeaderValue::from_static("application/json");
/// Lines of the shortest and the longest guide.
const LINES_MIN: u64 = 4;
const LINES_MAX: u64 = 64;

/// Returns the answer to `GET` of a path and query below `/slot/`. Each line has the path, its
/// number, and a hash that only this path yields; the last line has the number of lines.
pub fn slot_body(path: &str) -> String {
    let seed = hash::hash64(path.as_bytes());
    let lines = LINES_MIN + seed % (LINES_MAX - LINES_MIN + 1);
    let mut body = String::new();
    for line in 0..lines {
        let check = hash::rendezvous(path.as_bytes(), &line.to_le_bytes());
        body.push_str(&format!("{path} {line} {check:016x}\n"));
    }
    body.push_str(&format!("end {lines}\n"));
    body
}

pub(super) fn text(status: StatusCode, body: String) -> Response<Body> {
    response(status, TEXT, body)
}

pub(super) fn failure() -> Response<Body> {
    text(StatusCode::INTERNAL_SERVER_ERROR, "failed as configured\n".to_owned())
}

pub(super) fn json(value: &impl Serialize) -> Response<Body> {
    match serde_json::to_string(value) {
        Ok(body) => response(StatusCode::OK, JSON, body),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Replaces the fields that `patch`, a JSON object, has.
pub(super) fn merged(behaviour: &Behaviour, patch: &[u8]) -> Result<Behaviour, String> {
    let mut whole = serde_json::to_value(behaviour).map_err(|error| error.to_string())?;
    let patch: serde_json::Map<_, _> =
        serde_json::from_slice(patch).map_err(|error| error.to_string())?;
    for (name, value) in patch {
        whole[name] = value;
    }
    serde_json::from_value(whole).map_err(|error| error.to_string())
}

/// Value of a query parameter.
pub(super) fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').filter_map(|pair| pair.split_once('=')).find(|(n, _)| *n == name).map(|p| p.1)
}

pub(super) fn number(query: &str, name: &str) -> Option<u64> {
    parameter(query, name)?.parse().ok()
}

fn response(status: StatusCode, kind: HeaderValue, body: String) -> Response<Body> {
    let mut response = Response::new(Body::full(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
