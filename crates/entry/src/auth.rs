//! Credentials of callers and operators.

use http::HeaderMap;
use peridotfold_core::config::Document;
use peridotfold_core::id::TeamId;
use sha2::{Digest, Sha256};

/// Who sends a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Identity {
    /// No credential.
    Anonymous,
    /// A credential that nobody has.
    Rejected,
    Team(TeamId),
    Operator,
}

/// Finds the owner of the request's bearer token.
pub fn identify(headers: &HeaderMap, document: &Document, operator_digest: &str) -> Identity {
    let Some(value) = headers.get(http::header::AUTHORIZATION) else {
        return Identity::Anonymous;
    };
    let Some(token) = bearer_token(value.as_bytes()) else { return Identity::Rejected };
    // Digests are compared, so that the time of the comparison tells nothing about a token.
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

fn bearer_token(value: &[u8]) -> Option<&[u8]> {
    const SCHEME: &[u8] = b"bearer ";
    let (scheme, token) = value.split_at_checked(SCHEME.len())?;
    scheme.eq_ignore_ascii_case(SCHEME).then(|| token.trim_ascii())
}

fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write as _;
    bytes.iter().fold(String::with_capacity(bytes.len() * 2), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
