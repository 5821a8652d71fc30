//! Subscription to the keys of the store with a prefix: reads them, then watches for changes.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use peridotfold_core::time::Time;
use peridotfold_wire::runtime;

use crate::ports::{Change, Item, Revision, Store, StoreError, WatchResult};

/// Time for which the position stays behind an answer without changes. Shorter than the time for
/// which the store keeps its history.
const OVERLAP: Duration = Duration::from_secs(5);
/// Minimum time between two answers that are remembered.
const MIN_SPACING: Duration = Duration::from_millis(500);
/// Percentage of the wait after which an answer may be that at its end; clocks differ in their rates.
const WAIT_PERCENT: u32 = 90;

/// Delay between the read that follows a failed watch and the next watch. Doubles with each further
/// failure, up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of this delay, at which the keys are still read twice a second.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Where a process learned of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// A watch of the store.
    Watch,
    /// A read of the store.
    Read,
    /// Another entry.
    Peer,
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Source::Watch => "watch",
            Source::Read => "read",
            Source::Peer => "peer",
        })
    }
}

/// Items that a subscription has received.
#[derive(Debug)]
pub(crate) struct Update {
    /// All items if they were read, the written ones if they come from a watch.
    pub(crate) items: Vec<Item>,
    /// Keys that were removed, with the revisions of their removals; empty if all items were read.
    pub(crate) removals: Vec<(String, Revision)>,
    /// Revision of the store up to which the items and removals go.
    pub(crate) revision: Revision,
    pub(crate) source: Source,
    /// Time up to which all changes are known.
    pub(crate) as_of: Time,
}

/// Subscription to the keys with a prefix.
///
/// A watch that ends without changes may have missed some, for example while the store passes no
/// changes on. The position of the next watch therefore moves to the revision of such an answer only
/// some time later, so that a later watch still gets the missed changes. After a watch that fails,
/// the keys are read: the answer may be one that cannot be received, such as one with too many items.
/// Only a read that fails tells that the store does not answer.
#[derive(Debug)]
pub(crate) struct Subscription {
    prefix: &'static str,
    /// Maximum time for which a watch waits for a change.
    wait: Duration,
    /// Revision after which the next watch begins; `None` if the keys are to be read.
    after: Option<Revision>,
    /// Times and revisions of answers without changes, oldest first.
    unchanged: VecDeque<(Time, Revision)>,
    /// When all keys were last read.
    read_at: Option<Time>,
    /// Time up to which all changes are known.
    as_of: Option<Time>,
    /// Delay before the next watch; zero unless the last one failed.
    backoff: Duration,
}

impl Subscription {
    /// Creates a subscription that begins after a revision at which all keys were read, or that reads
    /// them first.
    pub(crate) fn new(prefix: &'static str, wait: Duration, after: Option<Revision>) -> Self {
        let as_of = after.map(|_| runtime::now());
        Subscription {
            prefix,
            wait,
            after,
            unchanged: VecDeque::new(),
            read_at: as_of,
            as_of,
            backoff: Duration::ZERO,
        }
    }

    /// Returns for how long no answer has told about changes; `None` before the first answer.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.as_of.map(|at| runtime::now().saturating_sub(at))
    }

    /// Returns the time since all keys were last read; `None` before the first read.
    pub(crate) fn read_age(&self) -> Option<Duration> {
        self.read_at.map(|at| runtime::now().saturating_sub(at))
    }

    /// Requests that all keys are read next.
    pub(crate) fn read_next(&mut self) {
        self.after = None;
    }

    /// Waits for the next answer of the store. Fails if the keys can be neither watched nor read.
    pub(crate) async fn next<S: Store>(&mut self, store: &S) -> Result<Update, StoreError> {
        loop {
            let received = match self.after {
                Some(after) => {
                    runtime::sleep(self.backoff).await;
                    self.watch(store, after).await
                }
                None => self.read(store).await.map(Some),
            };
            match received {
                Ok(Some(update)) => {
                    self.as_of = self.as_of.max(Some(update.as_of));
                    return Ok(update);
                }
                // The store has dropped its history.
                Ok(None) => self.after = None,
                Err(error) if self.after.is_some() => {
                    let age_ms = self.age().map(|age| age.as_millis() as u64);
                    tracing::warn!(event = "watch_failed", prefix = self.prefix, age_ms, %error);
                    self.after = None;
                    self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Reads all keys.
    async fn read<S: Store>(&mut self, store: &S) -> Result<Update, StoreError> {
        let sent_at = runtime::now();
        let (items, revision) = store.range(self.prefix).await?;
        self.after = Some(revision);
        self.read_at = Some(sent_at);
        self.unchanged.clear();
        let removals = Vec::new();
        Ok(Update { items, removals, revision, source: Source::Read, as_of: sent_at })
    }

    /// Watches for changes after a revision. Returns `None` if the store has dropped them.
    async fn watch<S: Store>(
        &mut self,
        store: &S,
        after: Revision,
    ) -> Result<Option<Update>, StoreError> {
        let sent_at = runtime::now();
        let watched = store.watch(self.prefix, after, self.wait).await?;
        self.backoff = Duration::ZERO;
        let WatchResult::Changes { changes, as_of } = watched else { return Ok(None) };
        let now = runtime::now();
        // An answer before the end of the wait has changes, also if none of them is readable.
        let is_over = now >= sent_at + self.wait * WAIT_PERCENT / 100;
        let known_at = match changes.is_empty() && is_over {
            true => {
                self.advance_later(now, as_of);
                // The store answers without changes only at the end of the wait.
                now.min(sent_at + self.wait)
            }
            false => {
                self.after = Some(as_of);
                self.unchanged.clear();
                sent_at
            }
        };
        let (mut items, mut removals) = (Vec::new(), Vec::new());
        for change in changes {
            match change {
                Change::Written(item) => items.push(item),
                Change::Removed { key, revision } => removals.push((key, revision)),
            }
        }
        let (revision, source) = (as_of, Source::Watch);
        Ok(Some(Update { items, removals, revision, source, as_of: known_at }))
    }

    /// Remembers an answer without changes, and moves to one that was given long enough ago.
    fn advance_later(&mut self, now: Time, as_of: Revision) {
        if self.unchanged.back().is_none_or(|(at, _)| now >= *at + MIN_SPACING) {
            self.unchanged.push_back((now, as_of));
        }
        while self.unchanged.front().is_some_and(|(at, _)| now >= *at + OVERLAP) {
            self.after = self.unchanged.pop_front().map(|(_, revision)| revision);
        }
    }
}
