//! Replicated state machine whose log is kept in the key-value store.
//!
//! See section 3.2 of `docs/design.md`. All writers share one order of records. A write to the log
//! is conditional on the store version of the log that the writer has replayed, so the first of
//! several concurrent writes succeeds and fences off the other writers until they replay again.
//!
//! Terms used throughout the module:
//!
//! - A *record* is one change of the state. Its *sequence number* counts from 1.
//! - A *batch* is the group of records that one append commits in one write.
//! - A *snapshot* is the state after a given record. A *rotation* writes a snapshot and then
//!   replaces the log by one that holds only newer batches.
//! - A *segment* is an archived log with the state before its first record.
//! - An append is *pending* while its outcome is unknown, and *resolving* it finds the outcome.

pub mod archive;
pub(crate) mod format;

use std::fmt;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::Serialize;

use self::format::{decode, decode_state, encode, Batch, BatchId, Log, Snapshot};
use crate::{PutOutcome, Store, StoreError, MAX_VALUE_BYTES};

/// Log size in bytes above which the log is rotated. Each append rewrites the whole log.
pub const MAX_LOG_BYTES: usize = 32 * 1024;
/// Maximum number of attempts to commit one append, or to find out whether it was committed, before
/// its outcome is left unknown.
const MAX_ATTEMPTS: usize = 3;
/// Maximum number of batch IDs in a snapshot. With them a writer finds out whether an append was
/// committed whose response was lost before a rotation.
const MAX_BATCH_IDS: usize = 256;

/// A state that is the result of applying records in order.
pub trait Replay: Default + Clone + Serialize + DeserializeOwned + Send {
    /// A change of the state.
    type Record: Serialize + DeserializeOwned + Send;

    /// Applies a committed record. The result must be deterministic, so that all processes agree.
    fn apply(&mut self, record: &Self::Record);
}

/// Reason why a journal operation failed.
#[derive(Debug, Clone)]
pub enum JournalError {
    /// Another writer changed the log first, and no record of the append was committed.
    /// [`Journal::refresh`] replays the log, after which the caller can append again.
    Fenced,
    /// A call of the store failed. After an append, [`Journal::is_unresolved`] tells whether the
    /// outcome is unknown.
    Unavailable(StoreError),
    /// The records or the state exceed [`MAX_VALUE_BYTES`]; no record was committed.
    TooLarge,
    /// The value of `key` is malformed or has an unknown format.
    Corrupt { key: String, detail: String },
    /// The outcome of an append cannot be determined: other writers have since committed more
    /// batches than a snapshot remembers.
    Undetermined,
}

impl fmt::Display for JournalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JournalError::Fenced => f.write_str("another writer changed the log first"),
            JournalError::Unavailable(error) => write!(f, "the store is unavailable: {error}"),
            JournalError::TooLarge => {
                f.write_str("the records or the state exceed the value size limit of the store")
            }
            JournalError::Corrupt { key, detail } => {
                write!(f, "malformed value of {key}: {detail}")
            }
            JournalError::Undetermined => {
                f.write_str("the outcome of the append can no longer be determined")
            }
        }
    }
}

impl std::error::Error for JournalError {}

/// An append whose outcome is unknown.
#[derive(Debug)]
struct PendingAppend<T> {
    /// Sequence number of its first record.
    first: u64,
    /// Number of the batch among those of this writer.
    number: u64,
    records: Vec<T>,
    /// The records in encoded form.
    encoded: Vec<Bytes>,
    /// The log after the append, and its encoded form.
    log: Log,
    value: Bytes,
    /// Whether a write may have reached the store.
    was_attempted: bool,
}

/// One process's replayed copy of a journal.
#[derive(Debug)]
pub struct Journal<S: Store, R: Replay> {
    store: S,
    /// Name of the journal, the prefix of its store keys.
    name: String,
    /// Store key of the log.
    log_key: String,
    /// Unique ID of this writer.
    writer: u64,
    /// Number of the last batch of this writer.
    number: u64,
    /// Whether a rotation archives the replaced log.
    is_archived: bool,
    /// State after the replay of all records up to `sequence`.
    state: R,
    /// Sequence number of the last record in `state`.
    sequence: u64,
    /// Store version of `log`; 0 if the log does not exist yet.
    log_version: u64,
    /// Decoded log as last read from the store or written to it.
    log: Log,
    /// IDs of the last batches before the first one of `log`, oldest first.
    recent_batches: Vec<BatchId>,
    /// The append whose outcome is unknown, if any.
    pending: Option<PendingAppend<R::Record>>,
}

impl<S: Store, R: Replay> Journal<S, R> {
    /// Opens and replays the journal `name`. Opening writes nothing: a new owner fences off its
    /// predecessor by its first append. `writer` must be unique to each start of each process.
    ///
    /// # Errors
    ///
    /// Fails when the store is unavailable or holds a malformed value.
    pub async fn open(store: S, name: &str, writer: u64) -> Result<Self, JournalError> {
        let mut journal = Journal {
            store,
            name: name.to_owned(),
            log_key: archive::log_key(name),
            writer,
            number: 0,
            is_archived: false,
            state: R::default(),
            sequence: 0,
            log_version: 0,
            log: Log::default(),
            recent_batches: Vec::new(),
            pending: None,
        };
        journal.replay_all().await?;
        Ok(journal)
    }

    /// Archives each log at its rotation, so that [`archive::state_at`] can return older states. All
    /// writers of a journal must use the same setting.
    pub fn with_archive(mut self) -> Self {
        self.is_archived = true;
        self
    }

    /// Returns the state after the last record that is known to be committed.
    pub fn state(&self) -> &R {
        &self.state
    }

    /// Returns the sequence number of the last record applied to [`Journal::state`].
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the store version of the replayed log; a watch after it reports the next change.
    pub fn log_version(&self) -> u64 {
        self.log_version
    }

    /// Returns the key of the log in the store.
    pub fn log_key(&self) -> &str {
        &self.log_key
    }

    /// Tells whether an append has an unknown outcome.
    pub fn is_unresolved(&self) -> bool {
        self.pending.is_some()
    }

    /// Commits records atomically, in one write.
    ///
    /// After [`JournalError::Unavailable`] the outcome may be unknown. A later append that begins
    /// with the same records retries the pending one, so each record is committed only once. Any
    /// other append first resolves the pending one, as [`Journal::resolve`] does.
    ///
    /// # Errors
    ///
    /// See [`JournalError`].
    pub async fn append(&mut self, records: Vec<R::Record>) -> Result<(), JournalError> {
        let mut records = records;
        let mut encoded: Vec<Bytes> = Vec::with_capacity(records.len());
        for record in &records {
            encoded.push(encode(&self.log_key, record)?);
        }
        match &self.pending {
            Some(pending) if encoded.starts_with(&pending.encoded) => {
                let committed = pending.encoded.len();
                self.write_pending().await?;
                records.drain(..committed);
                encoded.drain(..committed);
            }
            Some(_) => {
                self.resolve().await?;
            }
            None => {}
        }
        match records.is_empty() {
            true => Ok(()),
            false => self.append_new(records, encoded).await,
        }
    }

    /// Commits a new batch, after a rotation if the log would exceed [`MAX_LOG_BYTES`].
    async fn append_new(
        &mut self,
        records: Vec<R::Record>,
        encoded: Vec<Bytes>,
    ) -> Result<(), JournalError> {
        let number = self.number + 1;
        let batch = Batch { writer: self.writer, number, records: encoded.clone() };
        let mut log = self.log.clone();
        log.batches.push(batch);
        let mut value = encode(&self.log_key, &log)?;
        if value.len() > MAX_LOG_BYTES && !self.log.batches.is_empty() {
            log.batches.drain(..log.batches.len() - 1);
            log.first = self.sequence + 1;
            value = encode(&self.log_key, &log)?;
            if value.len() > MAX_VALUE_BYTES {
                return Err(JournalError::TooLarge);
            }
            self.rotate().await?;
        }
        if value.len() > MAX_VALUE_BYTES {
            return Err(JournalError::TooLarge);
        }
        self.number = number;
        let first = self.sequence + 1;
        self.pending = Some(PendingAppend {
            first,
            number,
            records,
            encoded,
            log,
            value,
            was_attempted: false,
        });
        self.write_pending().await
    }

    /// Saves a snapshot of the current state, and archives the log if the journal has an archive.
    async fn rotate(&mut self) -> Result<(), JournalError> {
        let key = archive::snapshot_key(&self.name);
        let snapshot = Snapshot {
            sequence: self.sequence,
            state: encode(&key, &self.state)?,
            recent_batches: latest_ids(&self.recent_batches, self.log.batch_ids()),
            segments: Vec::new(),
        };
        archive::rotate(&self.store, &self.name, &self.log, &snapshot, self.is_archived).await
    }

    /// Writes the pending append until its outcome is known or the attempts are used up.
    async fn write_pending(&mut self) -> Result<(), JournalError> {
        let mut attempts = 0;
        loop {
            let Some(pending) = &mut self.pending else { return Ok(()) };
            let already_attempted = std::mem::replace(&mut pending.was_attempted, true);
            let value = pending.value.clone();
            match self.store.put(&self.log_key, self.log_version, value).await {
                Ok(PutOutcome::Written(version)) => {
                    self.apply_pending(version);
                    return Ok(());
                }
                Ok(PutOutcome::Conflict(_)) if !already_attempted => {
                    self.pending = None;
                    return Err(JournalError::Fenced);
                }
                Ok(PutOutcome::Conflict(_)) => return self.check_outcome().await,
                Err(error) if error.is_not_sent() && !already_attempted => {
                    self.pending = None;
                    return Err(JournalError::Unavailable(error));
                }
                Err(error) => {
                    attempts += 1;
                    if self.is_log_changed().await? {
                        return self.check_outcome().await;
                    }
                    // The write may still be in flight. Repeating it is safe: at most one of the
                    // writes finds the expected version.
                    if attempts == MAX_ATTEMPTS {
                        return Err(JournalError::Unavailable(error));
                    }
                }
            }
        }
    }

    /// Tells whether the log in the store has another version than the replayed one.
    async fn is_log_changed(&mut self) -> Result<bool, JournalError> {
        let found = self.store.get(&self.log_key).await.map_err(JournalError::Unavailable)?;
        Ok(found.map_or(0, |found| found.version) != self.log_version)
    }

    /// Applies the pending append after it was committed as `version` of the log.
    fn apply_pending(&mut self, version: u64) {
        let Some(pending) = self.pending.take() else { return };
        for record in &pending.records {
            self.state.apply(record);
        }
        self.sequence += pending.records.len() as u64;
        self.log_version = version;
        self.replace_log(pending.log);
    }

    /// Replaces the local log and remembers the IDs of the batches that it no longer holds.
    fn replace_log(&mut self, log: Log) {
        let removed: Vec<BatchId> =
            self.log.batch_ids().filter(|batch_id| batch_id.first < log.first).collect();
        self.recent_batches = latest_ids(&self.recent_batches, removed);
        self.log = log;
    }

    /// Replays the log, which has changed, and checks whether it holds the pending append. Returns
    /// [`JournalError::Fenced`] if the append was not committed.
    async fn check_outcome(&mut self) -> Result<(), JournalError> {
        self.replay_new().await?;
        let Some(pending) = self.pending.take() else { return Ok(()) };
        let batch_id =
            BatchId { first: pending.first, writer: self.writer, number: pending.number };
        let stored = self.log.batch_ids().chain(self.recent_batches.iter().copied());
        match stored.into_iter().find(|stored| stored.first == pending.first) {
            Some(stored) if stored == batch_id => Ok(()),
            Some(_) => Err(JournalError::Fenced),
            // The log was rewritten without further records, so the pending write cannot succeed.
            None if self.sequence < pending.first => Err(JournalError::Fenced),
            None => Err(JournalError::Undetermined),
        }
    }

    /// Determines the outcome of the pending append. Returns whether it was committed; if not, its
    /// write can no longer take effect.
    ///
    /// # Errors
    ///
    /// After [`JournalError::Unavailable`] the outcome is still unknown.
    pub async fn resolve(&mut self) -> Result<bool, JournalError> {
        let mut failure = JournalError::Fenced;
        for _ in 0..MAX_ATTEMPTS {
            if self.pending.is_none() {
                return Ok(false);
            }
            if self.is_log_changed().await? {
                return match self.check_outcome().await {
                    Ok(()) => Ok(true),
                    Err(JournalError::Fenced) => Ok(false),
                    Err(error) => Err(error),
                };
            }
            // The write may still be in flight; rewriting the same log under a new version makes it
            // fail.
            let unchanged = encode(&self.log_key, &self.log)?;
            match self.store.put(&self.log_key, self.log_version, unchanged).await {
                Ok(PutOutcome::Written(version)) => {
                    self.log_version = version;
                    self.pending = None;
                    return Ok(false);
                }
                Ok(PutOutcome::Conflict(_)) => {}
                Err(error) => failure = JournalError::Unavailable(error),
            }
        }
        Err(failure)
    }

    /// Resolves a pending append and replays the records that other writers committed. Returns
    /// whether the state changed.
    ///
    /// # Errors
    ///
    /// Fails when the store is unavailable or holds a malformed value.
    pub async fn refresh(&mut self) -> Result<bool, JournalError> {
        let before = self.sequence;
        self.resolve().await?;
        self.replay_new().await?;
        Ok(self.sequence != before)
    }

    /// Applies the records that were committed since the last replay.
    async fn replay_new(&mut self) -> Result<(), JournalError> {
        let found = self.store.get(&self.log_key).await.map_err(JournalError::Unavailable)?;
        let Some(found) = found.filter(|found| found.version > self.log_version) else {
            return Ok(());
        };
        let log: Log = decode(&self.log_key, &found.value)?;
        if log.first > self.sequence + 1 {
            return self.replay_all().await;
        }
        let records = self.decode_after(&log, self.sequence)?;
        self.apply_log(found.version, log, records);
        Ok(())
    }

    /// Rebuilds the state from the snapshot and the log.
    async fn replay_all(&mut self) -> Result<(), JournalError> {
        let (version, log, snapshot) = archive::read(&self.store, &self.name).await?;
        let state: R = decode_state(&archive::snapshot_key(&self.name), &snapshot.state)?;
        let records = self.decode_after(&log, snapshot.sequence)?;
        self.state = state;
        self.sequence = snapshot.sequence;
        self.log = Log::default();
        self.recent_batches = snapshot.recent_batches;
        self.apply_log(version, log, records);
        Ok(())
    }

    /// Decodes the records of a log after `sequence`.
    fn decode_after(&self, log: &Log, sequence: u64) -> Result<Vec<R::Record>, JournalError> {
        log.records()
            .filter(|(number, _)| *number > sequence)
            .map(|(_, record)| decode(&self.log_key, record))
            .collect()
    }

    /// Applies newly read records and adopts the log that holds them.
    fn apply_log(&mut self, version: u64, log: Log, records: Vec<R::Record>) {
        for record in &records {
            self.state.apply(record);
        }
        self.sequence += records.len() as u64;
        self.log_version = version;
        self.replace_log(log);
    }
}

/// Returns the last [`MAX_BATCH_IDS`] of the older and the newer IDs, without duplicates.
fn latest_ids(older: &[BatchId], newer: impl IntoIterator<Item = BatchId>) -> Vec<BatchId> {
    let mut batch_ids = older.to_vec();
    let after = batch_ids.last().map_or(0, |batch_id| batch_id.first);
    batch_ids.extend(newer.into_iter().filter(|batch_id| batch_id.first > after));
    batch_ids.drain(..batch_ids.len().saturating_sub(MAX_BATCH_IDS));
    batch_ids
}
