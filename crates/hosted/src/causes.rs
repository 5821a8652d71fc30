//! Log of what could not be read, bounded by the number of causes.

use std::collections::BTreeSet;

use parking_lot::Mutex;

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
