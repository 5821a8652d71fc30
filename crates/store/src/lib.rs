//! Client of the platform's key-value store, and two layers on top of the store: a journal with a
//! replicated state, and a repository of configuration versions.

pub mod http;
pub mod journal;
pub mod repository;

use std::fmt;
use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use peridotfold_wire::error::{Step, WireError};

pub use crate::http::HttpStore;
pub use crate::journal::{Journal, JournalError, Replay};
pub use crate::repository::{ConfigRepository, SubmitError};

/// Maximum size of a value in the store, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// A value with its version. The version of a key increases with each write, also after the key was
/// deleted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned {
    /// Store version of the value.
    pub version: u64,
    pub value: Bytes,
}

/// Outcome of a conditional write that the store answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// The value was written; holds its new version.
    Written(u64),
    /// The expected version did not match; holds the current version, 0 if the key is absent.
    Conflict(u64),
}

/// Reason why a call of the store failed. A failed write may have taken effect unless
/// [`StoreError::is_not_sent`] returns true.
#[derive(Debug, Clone)]
pub struct StoreError {
    pub step: Step,
    /// Address of the store.
    pub peer: String,
    /// Description of the failure.
    pub detail: String,
}

impl StoreError {
    /// Builds an error for a call to `peer` that failed at `step`.
    pub fn new(step: Step, peer: impl Into<String>, detail: impl fmt::Display) -> Self {
        StoreError { step, peer: peer.into(), detail: detail.to_string() }
    }

    /// Tells whether the request is known not to have reached the store.
    pub fn is_not_sent(&self) -> bool {
        self.step == Step::Connect
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "step={} peer={}: {}", self.step, self.peer, self.detail)
    }
}

impl std::error::Error for StoreError {}

impl From<WireError> for StoreError {
    fn from(error: WireError) -> Self {
        StoreError { step: error.step, peer: error.peer, detail: error.detail }
    }
}

/// A key-value store with versioned values and conditional writes.
pub trait Store: Clone + Send + Sync + 'static {
    /// Returns the value of a key, or `None` if the key is absent.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Versioned>, StoreError>> + Send;

    /// Writes a value if the version of the key is `expect`; 0 means that the key must be absent.
    fn put(
        &self,
        key: &str,
        expect: u64,
        value: Bytes,
    ) -> impl Future<Output = Result<PutOutcome, StoreError>> + Send;

    /// Deletes a key. Deleting an absent key succeeds.
    fn delete(&self, key: &str) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Returns the keys that start with `prefix` and their values, sorted by key.
    fn list(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Vec<(String, Versioned)>, StoreError>> + Send;

    /// Waits up to `wait` for a version of the key higher than `after`. Returns `None` if there is
    /// no such version by then.
    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Versioned>, StoreError>> + Send;
}
