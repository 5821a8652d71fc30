//! Reading of whole request bodies within a limit of size.

use std::fmt;

use bytes::{Bytes, BytesMut};
use http_body::Body as HttpBody;
use http_body_util::BodyExt;

/// Memory taken for a body before it arrives, in bytes.
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
    /// The connection has ended within the body, or the body is malformed.
    Incomplete(String),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyError::TooLarge(limit) => write!(f, "the body is larger than {limit} bytes"),
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

    /// Reads the body of a request, which may have at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails when the limit is exceeded or the body is incomplete.
    pub async fn read<B>(mut body: B, limit: usize) -> Result<Self, BodyError>
    where
        B: HttpBody<Data = Bytes> + Unpin,
        B::Error: fmt::Display,
    {
        // One contiguous copy: the parts as received would each keep the whole read buffer that they are in.
        let mut bytes = BytesMut::with_capacity(FIRST_BYTES.min(limit));
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
}
