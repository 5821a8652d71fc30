//! Counts of refusals and early ends by cause, with a bounded number of log lines.

use std::time::Duration;

use parking_lot::Mutex;

/// Time between two log lines of one cause.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Why a request was refused or a connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not arrive within its time limit.
    TooSlow,
    /// The client has closed the connection within a body, or has sent a malformed one.
    Incomplete,
    /// No memory was free for the request.
    Memory,
    /// Too many requests were being answered.
    Requests,
    /// The connection was ended because there were too many.
    Connections,
    /// The connection was ended to release its memory.
    Evicted,
}

const CAUSES: [Cause; 7] = [
    Cause::TooLarge,
    Cause::TooSlow,
    Cause::Incomplete,
    Cause::Memory,
    Cause::Requests,
    Cause::Connections,
    Cause::Evicted,
];

impl Cause {
    /// Name of the cause in metrics and log lines.
    fn name(self) -> &'static str {
        match self {
            Cause::TooLarge => "too_large",
            Cause::TooSlow => "too_slow",
            Cause::Incomplete => "incomplete",
            Cause::Memory => "memory",
            Cause::Requests => "requests",
            Cause::Connections => "connections",
            Cause::Evicted => "evicted",
        }
    }

    /// Event of the log lines of the cause.
    fn event(self) -> &'static str {
        match self {
            Cause::TooLarge | Cause::TooSlow | Cause::Incomplete => "body_rejected",
            Cause::Memory | Cause::Requests | Cause::Connections | Cause::Evicted => {
                "clients_refused"
            }
        }
    }
}

/// Counts of one cause.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    /// Occurrences since the last log line.
    unlogged: usize,
    /// When the last line was logged.
    logged_at: Option<Duration>,
}

/// Counts of one listener by cause.
#[derive(Debug)]
pub(super) struct Causes {
    listener: &'static str,
    counts: Mutex<[Count; CAUSES.len()]>,
}

impl Causes {
    pub(super) fn new(listener: &'static str) -> Self {
        Causes { listener, counts: Mutex::default() }
    }

    /// Adds `count` occurrences. Logs the first, and then the sum at most once in each interval.
    pub(super) fn note(&self, cause: Cause, now: Duration, count: usize) {
        let (listener, name) = (self.listener, cause.name());
        metrics::counter!("clients_refused", "listener" => listener, "cause" => name)
            .increment(count as u64);
        let due = {
            let mut counts = self.counts.lock();
            let entry = &mut counts[cause as usize];
            entry.unlogged += count;
            let is_due = entry.logged_at.is_none_or(|at| now >= at + LOG_INTERVAL);
            is_due.then(|| {
                entry.logged_at = Some(now);
                std::mem::take(&mut entry.unlogged)
            })
        };
        if let Some(count) = due {
            tracing::info!(event = cause.event(), listener, cause = name, count);
        }
    }
}
