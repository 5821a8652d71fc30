//! Snapshots, archived segments, and states of the past.

use bytes::Bytes;

use crate::journal::format::{decode, decode_state, encode, Log, Segment, Snap};
use crate::journal::{JournalError, Replay};
use crate::{PutOutcome, Store, StoreError, Versioned, VALUE_LIMIT};

const TRIES: usize = 4;
/// Reads of log and snapshot that may meet a rotation in between before the reader gives up.
const READ_TRIES: usize = 8;
/// Segments of 32 KB kept for looking up the past; about three days at 20,000 changes of 500 bytes
/// a day.
const SEGMENTS_KEPT: usize = 1024;

pub(crate) fn log_key(name: &str) -> String {
    format!("{name}/log")
}

pub(crate) fn snap_key(name: &str) -> String {
    format!("{name}/snap")
}

pub(crate) fn segment_key(name: &str, first: u64) -> String {
    format!("{name}/archive/{first}")
}

fn or_default<T>(key: &str, found: Option<Versioned>) -> Result<(u64, T), JournalError>
where
    T: Default + serde::de::DeserializeOwned,
{
    match found {
        Some(found) => Ok((found.version, decode(key, &found.value)?)),
        None => Ok((0, T::default())),
    }
}

/// Reads log and snapshot. The log is read first: a snapshot never gets older, so it reaches up to
/// the log's first record.
pub(crate) async fn read<S: Store>(
    store: &S,
    name: &str,
) -> Result<(u64, Log, Snap), JournalError> {
    let (log_key, snap_key) = (log_key(name), snap_key(name));
    for _ in 0..READ_TRIES {
        let found = store.get(&log_key).await.map_err(JournalError::Unavailable)?;
        let (version, log): (_, Log) = or_default(&log_key, found)?;
        let found = store.get(&snap_key).await.map_err(JournalError::Unavailable)?;
        let (_, snap): (_, Snap) = or_default(&snap_key, found)?;
        if log.first > snap.sequence + 1 {
            let detail = format!("ends at {}, but the log begins at {}", snap.sequence, log.first);
            return Err(JournalError::Corrupt { key: snap_key, detail });
        }
        // A snapshot beyond the log shows that the log was rotated after it was read.
        if log.last() >= snap.sequence {
            return Ok((version, log, snap));
        }
    }
    Err(JournalError::Corrupt { key: log_key, detail: "ends before the snapshot".into() })
}

/// Writes `value` to a key until what it holds satisfies `is_done`. Each write is conditional on
/// what was read, so a paused writer never replaces something newer.
async fn write_guarded<S, F>(store: &S, key: &str, mut make: F) -> Result<(), JournalError>
where
    S: Store,
    F: FnMut(Option<&Versioned>) -> Result<Option<Bytes>, JournalError> + Send,
{
    let mut failure = None;
    for _ in 0..TRIES {
        let found = store.get(key).await.map_err(JournalError::Unavailable)?;
        let Some(value) = make(found.as_ref())? else { return Ok(()) };
        if value.len() > VALUE_LIMIT {
            return Err(JournalError::TooLarge);
        }
        match store.put(key, found.map_or(0, |found| found.version), value).await {
            Ok(PutOutcome::Written(_)) => return Ok(()),
            Ok(PutOutcome::Conflict(_)) => {}
            Err(error) => failure = Some(error),
        }
    }
    let other =
        || StoreError::new(peridotfold_wire::error::Step::Receive, key, "repeated conflicts");
    Err(JournalError::Unavailable(failure.unwrap_or_else(other)))
}

/// Saves the snapshot of a log that is about to be cleared, and archives the log if asked to.
pub(crate) async fn rotate<S: Store>(
    store: &S,
    name: &str,
    log: &Log,
    new: &Snap,
    is_archived: bool,
) -> Result<(), JournalError> {
    let key = snap_key(name);
    let found = store.get(&key).await.map_err(JournalError::Unavailable)?;
    let (_, old): (_, Snap) = or_default(&key, found)?;
    let mut new = new.clone();
    new.segments = old.segments.clone();
    let mut dropped = Vec::new();
    if is_archived && archive(store, name, log, &old).await? {
        if !new.segments.contains(&log.first) {
            new.segments.push(log.first);
        }
        let excess = new.segments.len().saturating_sub(SEGMENTS_KEPT);
        dropped = new.segments.drain(..excess).collect();
    }
    let value = encode(&key, &new)?;
    write_guarded(store, &key, |found| {
        let (_, held): (_, Snap) = or_default(&key, found.cloned())?;
        Ok((held.sequence < new.sequence).then(|| value.clone()))
    })
    .await?;
    for first in dropped {
        if let Err(error) = store.delete(&segment_key(name, first)).await {
            tracing::warn!(event = "segment_kept", name, first, step = %error.step, peer = error.peer);
        }
    }
    Ok(())
}

/// Archives a log; tells whether its segment is complete. A segment written by a process that
/// stopped before the rotation is replaced if it is shorter.
async fn archive<S: Store>(
    store: &S,
    name: &str,
    log: &Log,
    old: &Snap,
) -> Result<bool, JournalError> {
    let key = segment_key(name, log.first);
    let mut is_complete = true;
    write_guarded(store, &key, |found| {
        let base = match found {
            Some(found) => {
                let held: Segment = decode(&key, &found.value)?;
                if held.log.last() >= log.last() {
                    return Ok(None);
                }
                held.base
            }
            None if old.sequence + 1 == log.first => old.state.clone(),
            None => {
                tracing::warn!(event = "segment_not_archived", name, first = log.first);
                is_complete = false;
                return Ok(None);
            }
        };
        encode(&key, &Segment { base, log: log.clone() }).map(Some)
    })
    .await?;
    Ok(is_complete)
}

/// Returns the state after the record `sequence` and that record, or `None` if the record does not
/// exist or is no longer kept. Record 0 is the default state.
///
/// # Errors
///
/// Fails when the store does not answer or holds something malformed.
pub async fn past<S: Store, R: Replay>(
    store: &S,
    name: &str,
    sequence: u64,
) -> Result<Option<(R, Option<R::Record>)>, JournalError> {
    if sequence == 0 {
        return Ok(Some((R::default(), None)));
    }
    let (_, log, snap) = read(store, name).await?;
    if sequence > log.last() {
        return Ok(None);
    }
    let key = log_key(name);
    if snap.sequence < sequence {
        return replay(&key, &snap.state, snap.sequence, &log, sequence).map(Some);
    }
    let Some(first) = snap.segments.iter().copied().rev().find(|first| *first <= sequence) else {
        return Ok(None);
    };
    let key = segment_key(name, first);
    let found = store.get(&key).await.map_err(JournalError::Unavailable)?;
    match found.map(|found| decode::<Segment>(&key, &found.value)).transpose()? {
        Some(Segment { base, log }) if log.last() >= sequence => {
            replay(&key, &base, first - 1, &log, sequence).map(Some)
        }
        _ => Ok(None),
    }
}

fn replay<R: Replay>(
    key: &str,
    base: &[u8],
    base_sequence: u64,
    log: &Log,
    sequence: u64,
) -> Result<(R, Option<R::Record>), JournalError> {
    let mut state: R = decode_state(key, base)?;
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
