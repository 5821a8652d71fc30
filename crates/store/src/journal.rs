//! A replayed log in the store, with one record order for all writers.
//!
//! See section 3.2 of `docs/design.md`. A write to the log is conditional on the version that the
//! writer has replayed; whoever writes first fences off all others until they replay again.

pub mod archive;
pub(crate) mod format;

use std::fmt;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::Serialize;

use self::format::{decode, decode_state, encode, Batch, BatchId, Log, Snapshot};
use crate::{PutOutcome, Store, StoreError, MAX_VALUE_BYTES};

/// Size at which the log is folded into a snapshot. It bounds the bytes that each append rewrites.
pub const MAX_LOG_BYTES: usize = 32 * 1024;
/// Writes of one append before its outcome is left unknown.
const MAX_ATTEMPTS: usize = 3;
/// Batches whose writers a snapshot remembers, for resolving lost responses after a rotation.
const MAX_BATCH_IDS: usize = 256;

/// A state that is built from records.
pub trait Replay: Default + Clone + Serialize + DeserializeOwned + Send {
    /// A change of the state.
    type Record: Serialize + DeserializeOwned + Send;

    /// Applies a committed record. It has to give the same result in each process.
    fn apply(&mut self, record: &Self::Record);
}

/// A failed operation of a journal.
#[derive(Debug, Clone)]
pub enum JournalError {
    /// Another writer was first; nothing of the append was committed. [`Journal::refresh`] makes
    /// appending possible again.
    Fenced,
    /// The store did not answer. After an append, [`Journal::is_unresolved`] tells whether the
    /// outcome is unknown.
    Unavailable(StoreError),
    /// The records or the state do not fit a value of the store; nothing was committed.
    TooLarge,
    /// The store holds something that this version cannot read.
    Corrupt { key: String, detail: String },
    /// Others wrote so much since that the outcome of an append cannot be found any more.
    Undetermined,
}

impl fmt::Display for JournalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JournalError::Fenced => f.write_str("another writer was first"),
            JournalError::Unavailable(error) => write!(f, "the store is unavailable: {error}"),
            JournalError::TooLarge => f.write_str("larger than a value of the store"),
            JournalError::Corrupt { key, detail } => {
                write!(f, "malformed value of {key}: {detail}")
            }
            JournalError::Undetermined => f.write_str("the outcome cannot be found any more"),
        }
    }
}

impl std::error::Error for JournalError {}

/// An append whose outcome is not known yet.
#[derive(Debug)]
struct PendingAppend<T> {
    /// Sequence of its first record.
    first: u64,
    number: u64,
    records: Vec<T>,
    encoded: Vec<Bytes>,
    /// The log after the append, and its encoded form.
    log: Log,
    value: Bytes,
    /// Whether a write may have reached the store.
    was_attempted: bool,
}

/// A journal as one process has replayed it.
#[derive(Debug)]
pub struct Journal<S: Store, R: Replay> {
    store: S,
    name: String,
    log_key: String,
    writer: u64,
    number: u64,
    is_archived: bool,
    state: R,
    sequence: u64,
    log_version: u64,
    log: Log,
    /// Tags of the batches before the log.
    recent_batches: Vec<BatchId>,
    pending: Option<PendingAppend<R::Record>>,
}

impl<S: Store, R: Replay> Journal<S, R> {
    /// Replays the journal `name`. Nothing is written: a new owner fences off its predecessor by
    /// its first append. `writer` must be different for each process and start.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer or holds something malformed.
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

    /// Keeps former logs, so that [`archive::past`] finds older states. All writers of a journal
    /// have to agree on it.
    pub fn with_archive(mut self) -> Self {
        self.is_archived = true;
        self
    }

    /// State after the last record known to be committed.
    pub fn state(&self) -> &R {
        &self.state
    }

    /// Number of records in [`Journal::state`].
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Store version of the log as replayed; a watch after it reports the next change.
    pub fn log_version(&self) -> u64 {
        self.log_version
    }

    /// Key of the log in the store.
    pub fn log_key(&self) -> &str {
        &self.log_key
    }

    /// Tells whether an append has an unknown outcome.
    pub fn is_unresolved(&self) -> bool {
        self.pending.is_some()
    }

    /// Commits records, all or none, in one write.
    ///
    /// After [`JournalError::Unavailable`] the outcome may be unknown. A further append that begins
    /// with the same records continues that attempt, so that repeating it commits them once. Any
    /// other append first finds out, as [`Journal::resolve`] does, and then adds its records.
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

    /// Writes the pending append until its outcome is known or the tries are used up.
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
                    // The write may still be under way. The same write again is harmless: at most
                    // one of them finds the expected version.
                    if attempts == MAX_ATTEMPTS {
                        return Err(JournalError::Unavailable(error));
                    }
                }
            }
        }
    }

    async fn is_log_changed(&mut self) -> Result<bool, JournalError> {
        let found = self.store.get(&self.log_key).await.map_err(JournalError::Unavailable)?;
        Ok(found.map_or(0, |found| found.version) != self.log_version)
    }

    fn apply_pending(&mut self, version: u64) {
        let Some(pending) = self.pending.take() else { return };
        for record in &pending.records {
            self.state.apply(record);
        }
        self.sequence += pending.records.len() as u64;
        self.log_version = version;
        self.replace_log(pending.log);
    }

    fn replace_log(&mut self, log: Log) {
        let removed: Vec<BatchId> =
            self.log.batch_ids().filter(|batch_id| batch_id.first < log.first).collect();
        self.recent_batches = latest_ids(&self.recent_batches, removed);
        self.log = log;
    }

    /// Finds out whether the pending append was committed, after the log has changed.
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

    /// Ends the uncertainty about an append: tells whether it was committed, and makes sure that it
    /// will not be if it was not.
    ///
    /// # Errors
    ///
    /// On [`JournalError::Unavailable`] the outcome stays unknown.
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
            // The write may still be under way; a new version makes it fail.
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

    /// Replays what others have committed; tells whether the state changed.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer or holds something malformed.
    pub async fn refresh(&mut self) -> Result<bool, JournalError> {
        let before = self.sequence;
        self.resolve().await?;
        self.replay_new().await?;
        Ok(self.sequence != before)
    }

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

    fn decode_after(&self, log: &Log, sequence: u64) -> Result<Vec<R::Record>, JournalError> {
        log.records()
            .filter(|(number, _)| *number > sequence)
            .map(|(_, record)| decode(&self.log_key, record))
            .collect()
    }

    fn apply_log(&mut self, version: u64, log: Log, records: Vec<R::Record>) {
        for record in &records {
            self.state.apply(record);
        }
        self.sequence += records.len() as u64;
        self.log_version = version;
        self.replace_log(log);
    }
}

fn latest_ids(older: &[BatchId], newer: impl IntoIterator<Item = BatchId>) -> Vec<BatchId> {
    let mut batch_ids = older.to_vec();
    let after = batch_ids.last().map_or(0, |batch_id| batch_id.first);
    batch_ids.extend(newer.into_iter().filter(|batch_id| batch_id.first > after));
    batch_ids.drain(..batch_ids.len().saturating_sub(MAX_BATCH_IDS));
    batch_ids
}
