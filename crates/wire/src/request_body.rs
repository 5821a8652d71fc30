//! Reading of whole request bodies within limits of size and time.

use std::fmt;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_lite::future;
use http_body::Body as HttpBody;
use http_body_util::BodyExt;

use crate::runtime;

/// Memory taken for a body of unknown length before it arrives, in bytes.
const FIRST_BYTES: usize = 1024;

/// A whole request body.
#[derive(Debug)]
pub struct RequestBody {
    bytes: Bytes,
}

/// Why a body was not read. The request has had no effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than the limit, in bytes.
    TooLarge(usize),
    /// It did not arrive within the time limit.
    TooSlow(Duration),
    /// The connection has ended within the body, or the body is malformed.
    Incomplete(String),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyError::TooLarge(limit) => write!(f, "the body is larger than {limit} bytes"),
            BodyError::TooSlow(limit) => write!(f, "the body did not arrive within {limit:?}"),
            BodyError::Incomplete(detail) => write!(f, "the body is incomplete: {detail}"),
        }
    }
}

impl std::error::Error for BodyError {}

impl RequestBody {
    /// Returns the content.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// Reads the body of a request, which may have at most `limit` bytes and take `time` to arrive.
    ///
    /// # Errors
    ///
    /// Fails at once if the announced length exceeds `limit`, without reading any of it; otherwise when the limit
    /// or the time is exceeded, or the body is incomplete.
    pub async fn read<B>(body: B, limit: usize, time: Duration) -> Result<Self, BodyError>
    where
        B: HttpBody<Data = Bytes> + Unpin,
        B::Error: fmt::Display,
    {
        future::or(read_within(body, limit), async {
            runtime::sleep(time).await;
            Err(BodyError::TooSlow(time))
        })
        .await
    }
}

/// Reads a body into memory of its own.
async fn read_within<B>(mut body: B, limit: usize) -> Result<RequestBody, BodyError>
where
    B: HttpBody<Data = Bytes> + Unpin,
    B::Error: fmt::Display,
{
    let announced = body.size_hint().lower();
    let announced = usize::try_from(announced).ok().filter(|size| *size <= limit);
    let announced = announced.ok_or(BodyError::TooLarge(limit))?;
    // One contiguous copy: the parts as received would each keep the whole read buffer that they are in.
    let mut bytes = BytesMut::with_capacity(announced.max(FIRST_BYTES.min(limit)));
    while let Some(part) = body.frame().await {
        let part = part.map_err(|error| BodyError::Incomplete(error.to_string()))?;
        let Ok(part) = part.into_data() else { continue };
        if bytes.len() + part.len() > limit {
            return Err(BodyError::TooLarge(limit));
        }
        bytes.extend_from_slice(&part);
    }
    Ok(RequestBody { bytes: bytes.freeze() })
}
