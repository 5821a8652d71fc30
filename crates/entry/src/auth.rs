//! Authentication of callers and operators by bearer token.

use http::HeaderMap;
use peridotfold_core::config::Document;
use peridotfold_core::id::TeamId;
use sha2::{Digest, Sha256};

/// The authenticated sender of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Identity {
    /// The request has no `Authorization` header.
    Anonymous,
    /// The credential is malformed or matches no team and not the operators.
    Rejected,
    /// The token is that of the team.
    Team(TeamId),
    /// The token is that of the operators.
    Operator,
}

/// Identifies the sender of a request by the SHA-256 digest of its bearer token.
pub fn identify(headers: &HeaderMap, document: &Document, operator_digest: &str) -> Identity {
    let Some(value) = headers.get(http::header::AUTHORIZATION) else {
        return Identity::Anonymous;
    };
    let Some(token) = bearer_token(value.as_bytes()) else { return Identity::Rejected };
    // Compares digests, so that the time of the comparison reveals nothing about a token.
    let digest = hex(&Sha256::digest(token));
    if digest == operator_digest {
        return Identity::Operator;
    }
    let mut teams = document.teams.iter();
    match teams.find(|(_, team)| team.token_sha256 == digest) {
        Some((team, _)) => Identity::Team(team.clone()),
        None => Identity::Rejected,
    }
}

/// Returns the token of an `Authorization` header with the bearer scheme.
fn bearer_token(value: &[u8]) -> Option<&[u8]> {
    const SCHEME: &[u8] = b"bearer ";
    let (scheme, token) = value.split_at_checked(SCHEME.len())?;
    scheme.eq_ignore_ascii_case(SCHEME).then(|| token.trim_ascii())
}

/// Formats bytes as lower-case hex.
fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write as _;
    bytes.iter().fold(String::with_capacity(bytes.len() * 2), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
