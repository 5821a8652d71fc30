//! Search for the owner, in the store or by asking known entries.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ports::{Store, StoreError};
use crate::records::{self, Lock};

/// Delay between two searches for the owner, without jitter.
const SEARCH_INTERVAL: Duration = Duration::from_millis(250);
/// Upper bound of the random addition to [`SEARCH_INTERVAL`], in milliseconds, so that processes do
/// not search at the same time.
const SEARCH_JITTER_MS: u64 = 100;

/// Known entries, which are asked in turn for the owner while the store does not answer.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    entries: BTreeSet<SocketAddr>,
    /// Number of entries asked so far; selects the next one.
    attempts: usize,
}

impl Directory {
    /// Adds the addresses of entries that other processes reported.
    pub(crate) fn add(&mut self, entries: impl IntoIterator<Item = SocketAddr>) {
        self.entries.extend(entries);
    }

    /// Returns the addresses of all known entries.
    pub(crate) fn entries(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.entries.iter().copied()
    }

    /// Returns the address of the next entry to ask for the owner; `None` if no entry is known.
    pub(crate) fn next_entry(&mut self) -> Option<SocketAddr> {
        let count = self.entries.len();
        self.attempts += 1;
        self.entries.iter().nth(self.attempts % count.max(1)).copied()
    }
}

/// Reads the lock and its revision; `None` if no process holds it.
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

/// Tells whether the lock names another owner than the one at `address`. Returns `vacant` if no
/// process holds the lock, and `false` if the store does not answer.
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

/// Returns the delay before the next search for the owner, with jitter.
pub(crate) fn owner_search_delay() -> Duration {
    SEARCH_INTERVAL + Duration::from_millis(fastrand::u64(0..SEARCH_JITTER_MS))
}
