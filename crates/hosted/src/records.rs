//! Keys and values of the records in the store.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use peridotfold_core::flow::model::{JobNumber, JobSpec};

/// Prefix of the keys that the owner watches: accepted jobs, cancellations and the lock.
pub const INBOX_PREFIX: &str = "in/";
/// Prefix of the keys of accepted jobs.
const JOB_PREFIX: &str = "in/j/";
/// Prefix of the keys of cancellations.
const CANCEL_PREFIX: &str = "in/x/";
/// Prefix of the keys of the jobs' progress records.
pub const PROGRESS_PREFIX: &str = "st/";
/// Key that names the owner, bound to the owner's lease. It has the inbox prefix, so that an owner
/// that lost its lock sees the lock of its successor before any job that is accepted later.
pub const LOCK: &str = "in/owner";
/// Key of the fence. Each write of the owner's records is conditional on the revision of the fence
/// and replaces its value, so that a write of a former owner fails.
pub const FENCE: &str = "own/fence";
/// Key of the list of nodes whose agents may hold a permission to run tasks.
pub const ROSTER: &str = "own/roster";
/// Key of the learned interference weights between images.
pub const INTERFERENCE: &str = "own/press";
/// Key of the crashes of workers and the tasks suspected of them.
pub const CRASHES: &str = "own/crashes";

/// A parsed key with the inbox prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InboxKey {
    Job(JobNumber),
    Cancel(JobNumber),
    Lock,
}

/// Returns the key of an accepted job.
pub fn job_key(job: JobNumber) -> String {
    format!("{JOB_PREFIX}{job:016x}")
}

/// Returns the key of a job's cancellation.
pub fn cancel_key(job: JobNumber) -> String {
    format!("{CANCEL_PREFIX}{job:016x}")
}

/// Value of an early cancellation whose job was submitted later. The value of other cancellations is
/// empty.
const SUBMITTED: &[u8] = b"submitted";

/// Returns the value of an early cancellation whose job was submitted later.
pub fn submitted_cancel() -> Bytes {
    Bytes::from_static(SUBMITTED)
}

/// Tells whether the value of an early cancellation says that its job was submitted later.
pub fn is_submitted(cancel: &[u8]) -> bool {
    cancel == SUBMITTED
}

/// Returns the key of a job's progress record.
pub fn progress_key(job: JobNumber) -> String {
    format!("{PROGRESS_PREFIX}{job:016x}")
}

/// Parses a key with the inbox prefix; `None` if it is malformed.
pub fn inbox_key(key: &str) -> Option<InboxKey> {
    let number = |text: &str| JobNumber::from_str_radix(text, 16).ok();
    match (key.strip_prefix(JOB_PREFIX), key.strip_prefix(CANCEL_PREFIX)) {
        _ if key == LOCK => Some(InboxKey::Lock),
        (Some(job), _) => number(job).map(InboxKey::Job),
        (_, Some(job)) => number(job).map(InboxKey::Cancel),
        _ => None,
    }
}

/// Parses the key of a progress record; `None` if it is malformed.
pub fn progress_job(key: &str) -> Option<JobNumber> {
    JobNumber::from_str_radix(key.strip_prefix(PROGRESS_PREFIX)?, 16).ok()
}

/// Value of the lock: the process that owns the scheduling of jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lock {
    /// Name of the node on which the process runs.
    pub node: String,
    /// Random number that tells processes on one node apart.
    pub boot: u64,
    /// Address for agents and other entries.
    pub address: SocketAddr,
}

/// Value of the fence: identifies the last write of an owner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// Rises with each claim of the ownership.
    pub epoch: u32,
    /// Boot number of the owner, as in [`Lock`].
    pub boot: u64,
    /// Number of writes since the claim.
    pub sequence: u64,
}

/// Maximum memory that a decoder allocates for one record. Values in the platform's store have at most
/// 1 MiB; the rest is for what a record takes in memory.
const MAX_RECORD_BYTES: usize = 4 * 1024 * 1024;

/// Encodes a record.
///
/// # Errors
///
/// Fails if the value cannot be encoded.
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes, String> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .map(Bytes::from)
        .map_err(|error| error.to_string())
}

/// Decodes a record. Its types have no recursion, so that the bytes cannot make the decoder nest deeper.
///
/// # Errors
///
/// Fails if the bytes are not one complete record of this type, or claim more than 4 MiB of content.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    let config = bincode::config::standard().with_limit::<MAX_RECORD_BYTES>();
    let (value, used) =
        bincode::serde::decode_from_slice(bytes, config).map_err(|error| error.to_string())?;
    match used == bytes.len() {
        true => Ok(value),
        false => Err(format!("{} trailing bytes", bytes.len() - used)),
    }
}

/// Decodes an accepted job.
///
/// # Errors
///
/// Fails if the bytes are not one complete job, or the job is invalid.
pub fn decode_job(bytes: &[u8]) -> Result<JobSpec, String> {
    let spec: JobSpec = decode(bytes)?;
    spec.check()?;
    Ok(spec)
}
