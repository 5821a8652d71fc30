//! Names of the entry's own HTTP headers, and forwarding of headers between callers and upstreams.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue};

/// Request header with the caller's timeout, in milliseconds.
pub const TIMEOUT: &str = "request-timeout-ms";
/// Request header with the idempotency key: requests with the same key run at most once.
pub const KEY: &str = "idempotency-key";
/// Response header with the outcome of a request that got no answer: `not-run` or `unknown`.
pub const OUTCOME: &str = "peridotfold-outcome";
/// Header that tells the upstream the caller's team.
pub const TEAM: &str = "peridotfold-team";

/// Headers that concern a single connection and are not forwarded (RFC 9110, section 7.6.1).
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
/// Request headers for the entry, which are not forwarded. An upstream has no use for the
/// credential.
const ENTRY_HEADERS: [&str; 5] = ["authorization", "expect", TEAM, TIMEOUT, crate::trace::HEADER];

/// Returns the request headers to forward to the upstream, with the caller's team.
pub fn for_upstream(headers: &HeaderMap, team: Option<&str>) -> Vec<(Bytes, Bytes)> {
    let mut passed = end_to_end(headers, |name| !ENTRY_HEADERS.contains(&name));
    if let Some(team) = team {
        passed.push((Bytes::from_static(TEAM.as_bytes()), Bytes::from(team.to_owned())));
    }
    passed
}

/// Adds the headers of an upstream's answer to the caller's response. Drops malformed and
/// connection-specific headers.
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

/// Returns the headers that are not specific to the connection and that `is_forwarded` accepts.
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
