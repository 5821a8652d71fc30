//! Headers that are passed on between callers and upstreams.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue};

/// Header with the time that a caller waits, in milliseconds.
pub const TIMEOUT: &str = "request-timeout-ms";
/// Header with the key of a request that must run at most once.
pub const KEY: &str = "idempotency-key";
/// Header that names the outcome of a request that was not answered.
pub const OUTCOME: &str = "peridotfold-outcome";
/// Header that names the caller's team to the upstream.
pub const TEAM: &str = "peridotfold-team";

/// Headers of one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
/// Request headers that are meant for the entry. The credential stays here: an upstream has no use
/// for it.
const ENTRY_HEADERS: [&str; 5] = ["authorization", "expect", TEAM, TIMEOUT, crate::trace::HEADER];

/// Returns the headers of a request for the upstream.
pub fn for_upstream(headers: &HeaderMap, team: Option<&str>) -> Vec<(Bytes, Bytes)> {
    let mut passed = end_to_end(headers, |name| !ENTRY_HEADERS.contains(&name));
    if let Some(team) = team {
        passed.push((Bytes::from_static(TEAM.as_bytes()), Bytes::from(team.to_owned())));
    }
    passed
}

/// Adds the headers of an upstream's answer to those for the caller. Malformed ones are dropped.
pub fn add_upstream_headers(headers: &mut HeaderMap, answer: &[(Bytes, Bytes)]) {
    for (name, value) in answer {
        match (HeaderName::from_bytes(name), HeaderValue::from_bytes(value)) {
            (Ok(name), Ok(value)) if !HOP_BY_HOP.contains(&name.as_str()) => {
                headers.append(name, value);
            }
            _ => {}
        }
    }
}

fn end_to_end(headers: &HeaderMap, is_forwarded: impl Fn(&str) -> bool) -> Vec<(Bytes, Bytes)> {
    let listed: Vec<String> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    headers
        .iter()
        .filter(|(name, _)| {
            let name = name.as_str();
            is_forwarded(name) && !HOP_BY_HOP.contains(&name) && !listed.iter().any(|l| l == name)
        })
        .map(|(name, value)| {
            let name = Bytes::copy_from_slice(name.as_str().as_bytes());
            (name, Bytes::copy_from_slice(value.as_bytes()))
        })
        .collect()
}
