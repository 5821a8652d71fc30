//! Where the owner is, and which entries know.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ports::{Store, StoreError};
use crate::records::{self, Lock};

/// Pause between two searches for the owner.
const SEARCH_INTERVAL: Duration = Duration::from_millis(250);
/// Random addition, so that agents do not search in step.
const SEARCH_JITTER_MS: u64 = 100;

/// Entries that were heard of, in the order in which they are asked.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    entries: BTreeSet<SocketAddr>,
    attempts: usize,
}

impl Directory {
    /// Adds entries.
    pub(crate) fn add(&mut self, entries: impl IntoIterator<Item = SocketAddr>) {
        self.entries.extend(entries);
    }

    /// Returns the next entry to ask when the store does not answer.
    pub(crate) fn next_entry(&mut self) -> Option<SocketAddr> {
        let count = self.entries.len();
        self.attempts += 1;
        self.entries.iter().nth(self.attempts % count.max(1)).copied()
    }
}

/// Reads who holds the lock.
pub(crate) async fn read_lock<S: Store>(store: &S) -> Result<Option<(Lock, u64)>, StoreError> {
    let Some(item) = store.get(records::LOCK).await? else { return Ok(None) };
    match records::decode::<Lock>(&item.value) {
        Ok(lock) => Ok(Some((lock, item.revision))),
        Err(error) => {
            tracing::error!(event = "lock_unreadable", %error);
            Err(StoreError::Refused(format!("unreadable lock: {error}")))
        }
    }
}

/// Tells whether the store names another owner than the one at `address`. `vacant` is the answer
/// when it names none.
pub(crate) async fn is_replaced<S: Store>(store: &S, address: SocketAddr, vacant: bool) -> bool {
    match read_lock(store).await {
        Ok(Some((lock, _))) => lock.address != address,
        Ok(None) => vacant,
        Err(error) => {
            tracing::info!(event = "lock_not_read", %error);
            false
        }
    }
}

/// Pause before the next search.
pub(crate) fn search_delay() -> Duration {
    SEARCH_INTERVAL + Duration::from_millis(fastrand::u64(0..SEARCH_JITTER_MS))
}
