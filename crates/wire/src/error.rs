//! Errors that name the step and the peer.

use std::fmt;

/// How far an exchange had come when it failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    Connect,
    Send,
    Receive,
    Decode,
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
    pub peer: String,
    pub detail: String,
}

impl WireError {
    /// Builds an error from its parts.
    pub fn new(step: Step, peer: impl Into<String>, detail: impl fmt::Display) -> Self {
        WireError { step, peer: peer.into(), detail: detail.to_string() }
    }

    /// Tells whether the exchange certainly did not reach the peer.
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
