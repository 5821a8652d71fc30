//! Position of a series of watches in the store's history.

use std::collections::VecDeque;
use std::time::Duration;

use peridotfold_core::time::Time;
use peridotfold_wire::runtime;

use crate::ports::{Revision, Store, StoreError, WatchResult};

/// Time for which the position stays behind an answer without changes. Shorter than the time for
/// which the store keeps its history.
const OVERLAP: Duration = Duration::from_secs(5);
/// Minimum time between two answers that are remembered.
const MIN_SPACING: Duration = Duration::from_millis(500);

/// Percentage of the wait after which an answer may be that at its end; clocks differ in their rates.
const WAIT_PERCENT: u32 = 90;

/// Revision after which the next watch begins.
///
/// A watch that ends without changes may have missed some, for example while the store passes no
/// changes on. The position therefore moves to the revision of such an answer only some time later,
/// so that a later watch still gets the missed changes.
#[derive(Debug)]
pub(crate) struct Cursor {
    after: Revision,
    /// Times and revisions of answers without changes, oldest first.
    unchanged: VecDeque<(Time, Revision)>,
}

impl Cursor {
    /// Creates a cursor at the revision of a read.
    pub(crate) fn new(as_of: Revision) -> Self {
        Cursor { after: as_of, unchanged: VecDeque::new() }
    }

    /// Watches for changes to keys with a prefix after the cursor, which moves on.
    pub(crate) async fn watch<S: Store>(
        &mut self,
        store: &S,
        prefix: &str,
        wait: Duration,
    ) -> Result<WatchResult, StoreError> {
        let sent_at = runtime::now();
        let watched = store.watch(prefix, self.after, wait).await;
        if let Ok(WatchResult::Changes { changes, as_of }) = &watched {
            let now = runtime::now();
            // An answer before the end of the wait has changes, also if none of them is readable.
            let is_over = now >= sent_at + wait * WAIT_PERCENT / 100;
            match changes.is_empty() && is_over {
                true => self.advance_later(now, *as_of),
                false => *self = Cursor::new(*as_of),
            }
        }
        watched
    }

    /// Remembers an answer without changes, and moves to one that was given long enough ago.
    fn advance_later(&mut self, now: Time, as_of: Revision) {
        if self.unchanged.back().is_none_or(|(at, _)| now >= *at + MIN_SPACING) {
            self.unchanged.push_back((now, as_of));
        }
        while self.unchanged.front().is_some_and(|(at, _)| now >= *at + OVERLAP) {
            if let Some((_, revision)) = self.unchanged.pop_front() {
                self.after = revision;
            }
        }
    }
}
