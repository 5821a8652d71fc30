//! Binary format of the values that a journal keeps in the store.

use bytes::{BufMut, Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::journal::JournalError;
use crate::MAX_VALUE_BYTES;

/// Version of the format, the first byte of each value.
const FORMAT_VERSION: u8 = 1;

/// Records committed by one append.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Batch {
    /// ID of the writer that appended the batch.
    pub writer: u64,
    /// Number of the batch among those of its writer.
    pub number: u64,
    /// Encoded records.
    pub records: Vec<Bytes>,
}

/// Identifies a batch by its writer, its number among those of the writer, and the sequence number
/// of its first record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BatchId {
    /// Sequence number of the first record of the batch.
    pub first: u64,
    /// ID of the writer that appended the batch.
    pub writer: u64,
    /// Number of the batch among those of its writer.
    pub number: u64,
}

/// Value of `<name>/log`: the batches since the last rotation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Log {
    /// Sequence number of the first record.
    pub first: u64,
    /// Batches in the order of their commits.
    pub batches: Vec<Batch>,
}

impl Default for Log {
    fn default() -> Self {
        Log { first: 1, batches: Vec::new() }
    }
}

impl Log {
    /// Returns the sequence number of the last record, or `first` - 1 if the log is empty.
    pub fn last(&self) -> u64 {
        let count: usize = self.batches.iter().map(|batch| batch.records.len()).sum();
        self.first + count as u64 - 1
    }

    /// Returns the encoded records with their sequence numbers.
    pub fn records(&self) -> impl Iterator<Item = (u64, &Bytes)> {
        (self.first..).zip(self.batches.iter().flat_map(|batch| &batch.records))
    }

    /// Returns the ID of each batch.
    pub fn batch_ids(&self) -> impl Iterator<Item = BatchId> + '_ {
        self.batches.iter().scan(self.first, |next, batch| {
            let first = *next;
            *next += batch.records.len() as u64;
            Some(BatchId { first, writer: batch.writer, number: batch.number })
        })
    }
}

/// Value of `<name>/snap`: the state after the record with the number `sequence`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    /// Sequence number of the last record in `state`.
    pub sequence: u64,
    /// Encoded state; empty for the default state.
    pub state: Bytes,
    /// IDs of the last batches up to `sequence`, oldest first.
    pub recent_batches: Vec<BatchId>,
    /// Sequence number of the first record of each archived segment, in ascending order.
    pub segments: Vec<u64>,
}

/// Value of `<name>/archive/<first>`: an archived log and the encoded state before it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Segment {
    /// Encoded state before the first record of `log`; empty for the default state.
    pub base_state: Bytes,
    pub log: Log,
}

/// Encodes a value with the format version before it.
pub(crate) fn encode<T: Serialize>(key: &str, value: &T) -> Result<Bytes, JournalError> {
    let mut buffer = BytesMut::new().writer();
    buffer.get_mut().put_u8(FORMAT_VERSION);
    bincode::serde::encode_into_std_write(value, &mut buffer, bincode::config::standard())
        .map_err(|error| JournalError::Corrupt { key: key.into(), detail: error.to_string() })?;
    Ok(buffer.into_inner().freeze())
}

/// Maximum memory that the decoder allocates for one value. A value has at most 1 MiB; the rest is for
/// what it takes in memory.
const MAX_DECODED_BYTES: usize = 4 * MAX_VALUE_BYTES;

/// Decodes a value of the current format version; trailing bytes are an error.
pub(crate) fn decode<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, JournalError> {
    let corrupt = |detail: String| JournalError::Corrupt { key: key.into(), detail };
    let content = match value.split_first() {
        Some((&FORMAT_VERSION, content)) => content,
        Some((format, _)) => return Err(corrupt(format!("unknown format version {format}"))),
        None => return Err(corrupt("empty value".into())),
    };
    let config = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
    let (decoded, length) = bincode::serde::decode_from_slice(content, config)
        .map_err(|error| corrupt(error.to_string()))?;
    match length == content.len() {
        true => Ok(decoded),
        false => Err(corrupt(format!("{} trailing bytes", content.len() - length))),
    }
}

/// Decodes a state; no bytes stand for the default state.
pub(crate) fn decode_state<R>(key: &str, state: &[u8]) -> Result<R, JournalError>
where
    R: DeserializeOwned + Default,
{
    match state.is_empty() {
        true => Ok(R::default()),
        false => decode(key, state),
    }
}
