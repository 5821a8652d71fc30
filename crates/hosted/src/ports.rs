//! Interfaces to the platform: its key-value store and the worker beside an agent.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use peridotfold_core::flow::message::{End, Running, Token};
use peridotfold_core::flow::node::{Call, Outcome};
use peridotfold_core::flow::routes::Routes;

/// Version of the store, which rises with each write.
pub type Revision = u64;
/// ID of a lease in the store.
pub type LeaseId = u64;

/// Failure of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The store did not carry out the call and will not carry it out later.
    Refused(String),
    /// A write may have been carried out, or may be carried out later.
    Unclear(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Refused(detail) => write!(f, "refused: {detail}"),
            StoreError::Unclear(detail) => write!(f, "unclear: {detail}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// A key with its value and the revision of its last write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    pub key: String,
    pub value: Bytes,
    /// Revision of the last write of the key.
    pub revision: Revision,
}

/// A change to a watched key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The item that was written.
    Written(Item),
    /// The key that was removed, and the revision of the removal; 0 if the store does not tell.
    Removed { key: String, revision: Revision },
}

/// Result of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchResult {
    /// Changes up to the revision `as_of`; empty if the watch timed out.
    Changes { changes: Vec<Change>, as_of: Revision },
    /// The store no longer has the history since the given revision.
    Compacted,
}

/// A transaction: if all conditions hold, all changes are applied, otherwise none.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Write {
    /// Conditions: keys with their required revisions; 0 if the key must not exist.
    pub expect: Vec<(String, Revision)>,
    /// Keys to write with their values, and the lease with which a key ends, if any.
    pub puts: Vec<(String, Bytes, Option<LeaseId>)>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// Result of a [`Write`] that the store answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteResult {
    /// The write was applied at this revision.
    Done(Revision),
    /// A condition did not hold. Lists the current items of those keys in conditions that exist.
    Conflict(Vec<Item>),
    /// A lease that the write names does not exist.
    NoLease,
}

/// The platform's key-value store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads one key; `None` if it does not exist.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Item>, StoreError>> + Send;

    /// Reads all keys with a prefix. Returns the revision from which a watch sees every change that
    /// the read may have missed.
    fn range(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<(Vec<Item>, Revision), StoreError>> + Send;

    /// Waits up to `wait` for changes after a revision to keys with a prefix.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchResult, StoreError>> + Send;

    /// Applies a transaction.
    fn write(&self, write: &Write) -> impl Future<Output = Result<WriteResult, StoreError>> + Send;

    /// Opens a lease. Returns its ID and the time to live that the store granted.
    fn open_lease(
        &self,
        ttl: Duration,
    ) -> impl Future<Output = Result<(LeaseId, Duration), StoreError>> + Send;

    /// Renews a lease. Returns `false` if it has ended.
    fn renew_lease(&self, lease: LeaseId) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// Decodes the routes of a stored configuration.
    ///
    /// # Errors
    ///
    /// Fails if `value` is not a configuration; the text says why.
    fn routes(&self, value: &[u8]) -> Result<Routes, String>;

    /// Returns the key under which the configuration is stored.
    fn routes_key(&self) -> &'static str;

    /// Returns the prefix of all keys that operators write, among them that of the configuration.
    fn operator_prefix(&self) -> &'static str;

    /// Returns the zone that a key names as evacuated; `None` for other keys.
    fn evacuated_zone<'a>(&self, key: &'a str) -> Option<&'a str>;
}

/// Answer to a call to the worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerAnswer {
    /// The worker's running tasks and the ends of its runs. `clock` is the worker's clock in
    /// milliseconds, `token` the fencing token of the call.
    Listed { token: Token, clock: u64, running: Vec<Running>, ends: Vec<End> },
    /// Outcome of any other call, or of a listing that failed.
    Other(Outcome),
}

/// The worker beside an agent.
pub trait Worker: Clone + Send + Sync + 'static {
    /// Sends a call to the worker and waits for the answer.
    fn call(&self, call: Call) -> impl Future<Output = WorkerAnswer> + Send;
}
