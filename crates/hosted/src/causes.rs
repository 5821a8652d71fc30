//! Logs of what could not be read, bounded by the number of causes or of lines.

use std::collections::BTreeSet;
use std::time::Duration;

use parking_lot::Mutex;
use peridotfold_wire::runtime;

/// Maximum number of causes that a [`CauseLog`] logs.
const MAX_CAUSES: usize = 64;
/// Maximum length of a cause, in characters: causes may contain text of the malformed message.
const MAX_CAUSE_CHARS: usize = 200;

/// The causes for which malformed messages or records were logged. Each is logged once, and no more of
/// them than 64, because another writer may send any number of different ones. All are counted.
#[derive(Debug, Default)]
pub struct CauseLog(Mutex<BTreeSet<String>>);

impl CauseLog {
    /// Counts a message or record of a kind that could not be read. Returns whether the cause is to be
    /// logged: it was not logged before, and not too many others were.
    pub fn note(&self, kind: &'static str, cause: &str) -> bool {
        metrics::counter!("unreadable", "kind" => kind).increment(1);
        let cause = cause.chars().take(MAX_CAUSE_CHARS).collect();
        let mut known = self.0.lock();
        known.len() < MAX_CAUSES && known.insert(cause)
    }
}

/// Time for which a [`LineLimit`] counts its lines.
const LINE_INTERVAL: Duration = Duration::from_secs(5);
/// Lines of one event that a [`LineLimit`] allows in an interval: enough for single callers, whose IDs they name,
/// and few beside a crowd.
const MAX_LINES: u64 = 20;

/// Bounds the log lines of one event, which anybody can cause any number of times.
#[derive(Debug, Default)]
pub struct LineLimit(Mutex<Lines>);

#[derive(Debug, Default)]
struct Lines {
    /// When the interval began.
    since: Duration,
    /// Lines allowed in the interval.
    allowed: u64,
    /// Lines not allowed since the last one that was.
    dropped: u64,
}

impl LineLimit {
    /// Asks for one line. Returns the number of lines that were dropped before it; `None` if it is to be dropped
    /// too.
    pub fn admit(&self) -> Option<u64> {
        let now = runtime::now();
        let mut lines = self.0.lock();
        if now >= lines.since + LINE_INTERVAL {
            lines.since = now;
            lines.allowed = 0;
        }
        if lines.allowed >= MAX_LINES {
            lines.dropped += 1;
            return None;
        }
        lines.allowed += 1;
        Some(std::mem::take(&mut lines.dropped))
    }
}
