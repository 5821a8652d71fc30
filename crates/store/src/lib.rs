//! Client of the platform's key-value store, the journal and the configuration repository.

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

/// Largest value that the store holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// A value with its version. Versions of a key only rise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned {
    pub version: u64,
    pub value: Bytes,
}

/// Result of a write that the store answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// Written; the version after.
    Written(u64),
    /// Not written; the version found, 0 if the key is absent.
    Conflict(u64),
}

/// A failed call of the store. The outcome of a write that failed is unknown, except as
/// [`StoreError::is_not_sent`] tells.
#[derive(Debug, Clone)]
pub struct StoreError {
    pub step: Step,
    pub peer: String,
    pub detail: String,
}

impl StoreError {
    /// Builds an error from its parts.
    pub fn new(step: Step, peer: impl Into<String>, detail: impl fmt::Display) -> Self {
        StoreError { step, peer: peer.into(), detail: detail.to_string() }
    }

    /// Tells whether the call certainly did not reach the store.
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

/// The platform's key-value store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Returns a key's value, or `None` if it is absent.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Versioned>, StoreError>> + Send;

    /// Writes a key if its version is `expect`; 0 means that it must not exist.
    fn put(
        &self,
        key: &str,
        expect: u64,
        value: Bytes,
    ) -> impl Future<Output = Result<PutOutcome, StoreError>> + Send;

    /// Removes a key. It is no error if the key is absent.
    fn delete(&self, key: &str) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Returns the keys that start with `prefix`, in order.
    fn list(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Vec<(String, Versioned)>, StoreError>> + Send;

    /// Waits up to `wait` for a version of the key higher than `after`. `None`: no such version.
    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Versioned>, StoreError>> + Send;
}
