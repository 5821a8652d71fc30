//! Encoding of messages as `bincode` frames with a length prefix of 4 bytes, little-endian.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Maximum size of a frame in bytes, without its prefix, for sending and receiving.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024 + 64 * 1024;
/// Size of the length prefix of a frame.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Encodes `message` as one frame.
///
/// # Errors
///
/// Fails when the message exceeds [`MAX_FRAME_BYTES`] or cannot be encoded.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, String> {
    let body = bincode::serde::encode_to_vec(message, bincode::config::standard())
        .map_err(|error| error.to_string())?;
    if body.len() > MAX_FRAME_BYTES {
        return Err(format!("frame of {} bytes exceeds {MAX_FRAME_BYTES}", body.len()));
    }
    let mut frame = BytesMut::with_capacity(LENGTH_PREFIX_BYTES + body.len());
    frame.put_u32_le(body.len() as u32);
    frame.put_slice(&body);
    Ok(frame.freeze())
}

/// Removes one frame from the front of `buffer` and decodes it. Returns `None` while the frame is
/// incomplete.
///
/// # Errors
///
/// Fails when the frame exceeds [`MAX_FRAME_BYTES`], has trailing bytes, or does not decode to a `T`.
pub fn decode<T: DeserializeOwned>(buffer: &mut BytesMut) -> Result<Option<T>, String> {
    if buffer.len() < LENGTH_PREFIX_BYTES {
        return Ok(None);
    }
    let length = (&buffer[..LENGTH_PREFIX_BYTES]).get_u32_le() as usize;
    if length > MAX_FRAME_BYTES {
        return Err(format!("frame of {length} bytes exceeds {MAX_FRAME_BYTES}"));
    }
    if buffer.len() < LENGTH_PREFIX_BYTES + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_PREFIX_BYTES);
    let body = buffer.split_to(length);
    let config = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();
    let (message, used) =
        bincode::serde::decode_from_slice(&body, config).map_err(|error| error.to_string())?;
    match used == length {
        true => Ok(Some(message)),
        false => Err(format!("{} trailing bytes in a frame", length - used)),
    }
}
