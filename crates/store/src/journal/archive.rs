//! Snapshots and archived segments of a journal, and reads of earlier states.

use bytes::Bytes;

use crate::journal::format::{decode, decode_state, encode, Log, Segment, Snapshot};
use crate::journal::{JournalError, Replay};
use crate::{PutOutcome, Store, StoreError, Versioned, MAX_VALUE_BYTES};

/// Maximum number of attempts to write one snapshot or segment.
const MAX_ATTEMPTS: usize = 4;
/// Maximum number of attempts to read the log and the snapshot as a consistent pair. An attempt is
/// repeated when a rotation takes place between its two reads.
const MAX_READS: usize = 8;
/// Number of archived segments to keep. At 32 KB each they last about three days with 20,000 changes
/// of 500 bytes a day.
const MAX_SEGMENTS: usize = 1024;

/// Returns the store key of a journal's log.
pub(crate) fn log_key(name: &str) -> String {
    format!("{name}/log")
}

/// Returns the store key of a journal's snapshot.
pub(crate) fn snapshot_key(name: &str) -> String {
    format!("{name}/snap")
}

/// Returns the store key of the segment whose first record has the sequence number `first`.
pub(crate) fn segment_key(name: &str, first: u64) -> String {
    format!("{name}/archive/{first}")
}

/// Decodes a value and returns it with its version. An absent key has the default value and
/// version 0.
fn decode_or_default<T>(key: &str, found: Option<Versioned>) -> Result<(u64, T), JournalError>
where
    T: Default + serde::de::DeserializeOwned,
{
    match found {
        Some(found) => Ok((found.version, decode(key, &found.value)?)),
        None => Ok((0, T::default())),
    }
}

/// Reads log and snapshot. The log is read first: snapshots are only replaced by newer ones, so the
/// snapshot includes every record before the log.
pub(crate) async fn read<S: Store>(
    store: &S,
    name: &str,
) -> Result<(u64, Log, Snapshot), JournalError> {
    let (log_key, snapshot_key) = (log_key(name), snapshot_key(name));
    for _ in 0..MAX_READS {
        let found = store.get(&log_key).await.map_err(JournalError::Unavailable)?;
        let (version, log): (_, Log) = decode_or_default(&log_key, found)?;
        let found = store.get(&snapshot_key).await.map_err(JournalError::Unavailable)?;
        let (_, snapshot): (_, Snapshot) = decode_or_default(&snapshot_key, found)?;
        if log.first > snapshot.sequence + 1 {
            let detail =
                format!("ends at {}, but the log begins at {}", snapshot.sequence, log.first);
            return Err(JournalError::Corrupt { key: snapshot_key, detail });
        }
        // A snapshot newer than the log means that the log was rotated after it was read.
        if log.last() >= snapshot.sequence {
            return Ok((version, log, snapshot));
        }
    }
    Err(JournalError::Corrupt { key: log_key, detail: "ends before the snapshot".into() })
}

/// Writes the result of `make_value`, which receives the stored value, until the write succeeds or
/// `make_value` returns `None`. Each write is conditional on the version read, so a writer that was
/// paused never replaces a newer value.
async fn write_conditionally<S, F>(
    store: &S,
    key: &str,
    mut make_value: F,
) -> Result<(), JournalError>
where
    S: Store,
    F: FnMut(Option<&Versioned>) -> Result<Option<Bytes>, JournalError> + Send,
{
    let mut failure = None;
    for _ in 0..MAX_ATTEMPTS {
        let found = store.get(key).await.map_err(JournalError::Unavailable)?;
        let Some(value) = make_value(found.as_ref())? else { return Ok(()) };
        if value.len() > MAX_VALUE_BYTES {
            return Err(JournalError::TooLarge);
        }
        match store.put(key, found.map_or(0, |found| found.version), value).await {
            Ok(PutOutcome::Written(_)) => return Ok(()),
            Ok(PutOutcome::Conflict(_)) => {}
            Err(error) => failure = Some(error),
        }
    }
    let other = || {
        StoreError::new(peridotfold_wire::error::Step::Receive, key, "repeated version conflicts")
    };
    Err(JournalError::Unavailable(failure.unwrap_or_else(other)))
}

/// Saves the snapshot that replaces `log`, and first archives the log if `is_archived` is set.
/// Deletes the oldest segments beyond [`MAX_SEGMENTS`].
pub(crate) async fn rotate<S: Store>(
    store: &S,
    name: &str,
    log: &Log,
    snapshot: &Snapshot,
    is_archived: bool,
) -> Result<(), JournalError> {
    let key = snapshot_key(name);
    let found = store.get(&key).await.map_err(JournalError::Unavailable)?;
    let (_, previous): (_, Snapshot) = decode_or_default(&key, found)?;
    let mut snapshot = snapshot.clone();
    snapshot.segments = previous.segments.clone();
    let mut dropped = Vec::new();
    if is_archived && archive(store, name, log, &previous).await? {
        if !snapshot.segments.contains(&log.first) {
            snapshot.segments.push(log.first);
        }
        let excess = snapshot.segments.len().saturating_sub(MAX_SEGMENTS);
        dropped = snapshot.segments.drain(..excess).collect();
    }
    let value = encode(&key, &snapshot)?;
    write_conditionally(store, &key, |found| {
        let (_, stored): (_, Snapshot) = decode_or_default(&key, found.cloned())?;
        Ok((stored.sequence < snapshot.sequence).then(|| value.clone()))
    })
    .await?;
    for first in dropped {
        if let Err(error) = store.delete(&segment_key(name, first)).await {
            tracing::warn!(event = "segment_kept", name, first, step = %error.step, peer = error.peer);
        }
    }
    Ok(())
}

/// Archives a log as a segment. Returns `false` if that is impossible because the state before the
/// log is no longer known. A shorter segment, left by a process that stopped during a rotation, is
/// replaced.
async fn archive<S: Store>(
    store: &S,
    name: &str,
    log: &Log,
    previous: &Snapshot,
) -> Result<bool, JournalError> {
    let key = segment_key(name, log.first);
    let mut is_complete = true;
    write_conditionally(store, &key, |found| {
        let base_state = match found {
            Some(found) => {
                let stored: Segment = decode(&key, &found.value)?;
                if stored.log.last() >= log.last() {
                    return Ok(None);
                }
                stored.base_state
            }
            None if previous.sequence + 1 == log.first => previous.state.clone(),
            None => {
                tracing::warn!(event = "segment_not_archived", name, first = log.first);
                is_complete = false;
                return Ok(None);
            }
        };
        encode(&key, &Segment { base_state, log: log.clone() }).map(Some)
    })
    .await?;
    Ok(is_complete)
}

/// Returns the record with the number `sequence` and the state after it, or `None` if that record
/// does not exist or is no longer kept. Sequence number 0 yields the default state and no record.
///
/// # Errors
///
/// Fails when the store is unavailable or holds a malformed value.
pub async fn state_at<S: Store, R: Replay>(
    store: &S,
    name: &str,
    sequence: u64,
) -> Result<Option<(R, Option<R::Record>)>, JournalError> {
    if sequence == 0 {
        return Ok(Some((R::default(), None)));
    }
    let (_, log, snapshot) = read(store, name).await?;
    if sequence > log.last() {
        return Ok(None);
    }
    let key = log_key(name);
    if snapshot.sequence < sequence {
        return replay(&key, &snapshot.state, snapshot.sequence, &log, sequence).map(Some);
    }
    let Some(first) = snapshot.segments.iter().copied().rev().find(|first| *first <= sequence)
    else {
        return Ok(None);
    };
    let key = segment_key(name, first);
    let found = store.get(&key).await.map_err(JournalError::Unavailable)?;
    match found.map(|found| decode::<Segment>(&key, &found.value)).transpose()? {
        Some(Segment { base_state, log }) if log.last() >= sequence => {
            replay(&key, &base_state, first - 1, &log, sequence).map(Some)
        }
        _ => Ok(None),
    }
}

/// Applies the records of `log` up to `sequence` to the encoded `base_state`, the state after the
/// record `base_sequence`. Returns the state and the last record applied.
fn replay<R: Replay>(
    key: &str,
    base_state: &[u8],
    base_sequence: u64,
    log: &Log,
    sequence: u64,
) -> Result<(R, Option<R::Record>), JournalError> {
    let mut state: R = decode_state(key, base_state)?;
    let mut last = None;
    for (number, record) in log.records() {
        if number > base_sequence && number <= sequence {
            let record: R::Record = decode(key, record)?;
            state.apply(&record);
            last = Some(record);
        }
    }
    Ok((state, last))
}
