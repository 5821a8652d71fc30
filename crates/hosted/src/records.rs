//! Keys and records in the store.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use peridotfold_core::flow::model::JobNumber;

/// Accepted jobs, cancels and the lock; the owner watches it.
pub const INBOX_PREFIX: &str = "in/";
const JOB_PREFIX: &str = "in/j/";
const CANCEL_PREFIX: &str = "in/x/";
/// Progress of jobs.
pub const PROGRESS_PREFIX: &str = "st/";
/// Who owns the work; lives as long as the owner's lease. It stands in the inbox, so that an owner whose
/// lock was taken away sees its successor's claim before any job that is accepted later.
pub const LOCK: &str = "in/owner";
/// Number of the last write of an owner.
pub const FENCE: &str = "own/fence";
/// Nodes on which tasks may run.
pub const ROSTER: &str = "own/roster";
/// What an owner has learned of the press of images.
pub const INTERFERENCE: &str = "own/press";

/// What a key of the inbox stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InboxKey {
    Job(JobNumber),
    Cancel(JobNumber),
    Lock,
}

/// Key of an accepted job.
pub fn job_key(job: JobNumber) -> String {
    format!("{JOB_PREFIX}{job:016x}")
}

/// Key of a cancel.
pub fn cancel_key(job: JobNumber) -> String {
    format!("{CANCEL_PREFIX}{job:016x}")
}

/// Key of a job's progress.
pub fn progress_key(job: JobNumber) -> String {
    format!("{PROGRESS_PREFIX}{job:016x}")
}

/// Reads a key of the inbox.
pub fn inbox_key(key: &str) -> Option<InboxKey> {
    let number = |text: &str| JobNumber::from_str_radix(text, 16).ok();
    match (key.strip_prefix(JOB_PREFIX), key.strip_prefix(CANCEL_PREFIX)) {
        _ if key == LOCK => Some(InboxKey::Lock),
        (Some(job), _) => number(job).map(InboxKey::Job),
        (_, Some(job)) => number(job).map(InboxKey::Cancel),
        _ => None,
    }
}

/// Reads the job of a progress key.
pub fn progress_job(key: &str) -> Option<JobNumber> {
    JobNumber::from_str_radix(key.strip_prefix(PROGRESS_PREFIX)?, 16).ok()
}

/// Value of the lock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lock {
    pub node: String,
    /// Differs between processes on one machine.
    pub boot: u64,
    pub address: SocketAddr,
}

/// Value of the fence.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    pub epoch: u32,
    pub boot: u64,
    pub sequence: u64,
}

/// Encodes a record.
///
/// # Errors
///
/// Fails when the value cannot be encoded.
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes, String> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .map(Bytes::from)
        .map_err(|error| error.to_string())
}

/// Decodes a record.
///
/// # Errors
///
/// Fails when the bytes are not a whole record of this type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    let (value, used) = bincode::serde::decode_from_slice(bytes, bincode::config::standard())
        .map_err(|error| error.to_string())?;
    match used == bytes.len() {
        true => Ok(value),
        false => Err(format!("{} trailing bytes", bytes.len() - used)),
    }
}
