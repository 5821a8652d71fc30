//! Errors of exchanges with other processes. Each names the step that failed and the peer.

use std::fmt;

/// Step of an exchange at which it failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Before any part of the request was sent.
    Connect,
    Send,
    Receive,
    Decode,
    /// A time limit expired; the request may have been sent.
    Timeout,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Step::Connect => "connect",
            Step::Send => "send",
            Step::Receive => "receive",
            Step::Decode => "decode",
            Step::Timeout => "timeout",
        };
        f.write_str(text)
    }
}

/// A failed exchange with another process.
#[derive(Debug)]
pub struct WireError {
    pub step: Step,
    /// Address of the other process.
    pub peer: String,
    /// Description of the failure.
    pub detail: String,
}

impl WireError {
    /// Builds an error for an exchange with `peer` that failed at `step`.
    pub fn new(step: Step, peer: impl Into<String>, detail: impl fmt::Display) -> Self {
        WireError { step, peer: peer.into(), detail: detail.to_string() }
    }

    /// Tells whether the request is known not to have reached the peer.
    pub fn is_not_sent(&self) -> bool {
        self.step == Step::Connect
    }
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "step={} peer={}: {}", self.step, self.peer, self.detail)
    }
}

impl std::error::Error for WireError {}
