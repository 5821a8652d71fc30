//! What the hosted roles need of a platform.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use peridotfold_core::flow::message::{End, Running, Token};
use peridotfold_core::flow::node::{Call, Outcome};
use peridotfold_core::flow::routes::Routes;

pub type Revision = u64;
pub type LeaseId = u64;

/// Why a call of the store brought no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// Nothing was done and nothing will be.
    Refused(String),
    /// A write may be done, now or later.
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

/// A stored value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    pub key: String,
    pub value: Bytes,
    pub revision: Revision,
}

/// A change that a watch saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    Written(Item),
    Removed(String),
}

/// Answer of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchResult {
    Changes {
        changes: Vec<Change>,
        as_of: Revision,
    },
    /// The history since the given revision is no longer there.
    Compacted,
}

/// A conditional write of all or nothing.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Write {
    /// Keys and the revisions they must have; 0: the key must not exist.
    pub expect: Vec<(String, Revision)>,
    pub puts: Vec<(String, Bytes, Option<LeaseId>)>,
    pub removes: Vec<String>,
}

/// Answer to a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteResult {
    Done(Revision),
    /// A condition did not hold; these of its keys exist.
    Conflict(Vec<Item>),
    NoLease,
}

/// The platform's store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads one key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Item>, StoreError>> + Send;

    /// Reads all keys with a prefix, and the revision before the first page.
    fn range(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<(Vec<Item>, Revision), StoreError>> + Send;

    /// Waits for changes after a revision.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchResult, StoreError>> + Send;

    /// Writes.
    fn write(&self, write: &Write) -> impl Future<Output = Result<WriteResult, StoreError>> + Send;

    /// Opens a lease.
    fn open_lease(
        &self,
        ttl: Duration,
    ) -> impl Future<Output = Result<(LeaseId, Duration), StoreError>> + Send;

    /// Renews a lease; `false`: it has ended.
    fn renew_lease(&self, lease: LeaseId) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// Reads the routes of a stored configuration.
    ///
    /// # Errors
    ///
    /// Names what cannot be read.
    fn routes(&self, value: &[u8]) -> Result<Routes, String>;

    /// Key of the configuration.
    fn routes_key(&self) -> &'static str;
}

/// Outcome of a call to the worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerAnswer {
    Listed { token: Token, clock: u64, running: Vec<Running>, ends: Vec<End> },
    Other(Outcome),
}

/// The worker beside an agent.
pub trait Worker: Clone + Send + Sync + 'static {
    /// Performs a call.
    fn call(&self, call: Call) -> impl Future<Output = WorkerAnswer> + Send;
}
