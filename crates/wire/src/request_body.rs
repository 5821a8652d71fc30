//! Reading of whole request bodies within limits of size, time and memory.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_lite::future;
use http::Extensions;
use http_body::{Body as HttpBody, Frame};
use http_body_util::BodyExt;

use crate::limits::{Answering, Cause, Lease, Slot};
use crate::runtime;

/// Memory taken for a body of unknown length before it arrives, in bytes.
const FIRST_BYTES: usize = 1024;

/// A whole request body. Its memory counts as held, and its request as being answered, until this is dropped.
#[derive(Debug)]
pub struct RequestBody {
    bytes: Bytes,
    _lease: Option<Lease>,
    _answering: Option<Answering>,
}

/// Why a body was not read. The request has had no effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than the limit, in bytes.
    TooLarge(usize),
    /// It did not arrive within the time limit.
    TooSlow(Duration),
    /// The server has no room for it now.
    NoRoom,
    /// The connection has ended within the body, or the body is malformed.
    Incomplete(String),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyError::TooLarge(limit) => write!(f, "the body is over the limit of {limit} bytes"),
            BodyError::TooSlow(limit) => write!(f, "the body did not arrive within {limit:?}"),
            BodyError::NoRoom => f.write_str("the server has no room for the request now"),
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

    /// Reads the body of a request with these `extensions`, which may have at most `limit` bytes and take `time`
    /// to arrive.
    ///
    /// # Errors
    ///
    /// Fails at once if the announced length exceeds `limit`, without reading any of it; otherwise when the limit
    /// or the time is exceeded, the body is incomplete, or the server has no room.
    pub async fn read<B>(
        extensions: &Extensions,
        body: B,
        limit: usize,
        time: Duration,
    ) -> Result<Self, BodyError>
    where
        B: HttpBody<Data = Bytes> + Unpin,
        B::Error: fmt::Display,
    {
        let slot = extensions.get::<Slot>();
        let reading = read_within(body, slot, limit);
        let read = future::or(reading, async {
            runtime::sleep(time).await;
            Err(BodyError::TooSlow(time))
        })
        .await;
        match (&read, slot) {
            (Ok(_), Some(slot)) => slot.set_unread(false),
            (Err(error), Some(slot)) => note(slot, error),
            (_, None) => {}
        }
        read
    }
}

/// Counts a body that was not read. A lack of room was counted where it was found.
fn note(slot: &Slot, error: &BodyError) {
    let cause = match error {
        BodyError::TooLarge(_) => Cause::TooLarge,
        BodyError::TooSlow(_) => Cause::TooSlow,
        BodyError::Incomplete(_) => Cause::Incomplete,
        BodyError::NoRoom => return,
    };
    slot.limiter().note(cause);
}

/// Reads a body into memory that `slot` accounts for.
async fn read_within<B>(
    mut body: B,
    slot: Option<&Slot>,
    limit: usize,
) -> Result<RequestBody, BodyError>
where
    B: HttpBody<Data = Bytes> + Unpin,
    B::Error: fmt::Display,
{
    let announced = body.size_hint().lower();
    let announced = usize::try_from(announced).ok().filter(|size| *size <= limit);
    let announced = announced.ok_or(BodyError::TooLarge(limit))?;
    if body.is_end_stream() {
        return Ok(RequestBody { bytes: Bytes::new(), _lease: None, _answering: None });
    }
    let first = if announced > 0 { announced } else { FIRST_BYTES.min(limit) };
    let mut lease = grow(None, slot, first, first).await?;
    // One contiguous copy: the parts as received would each keep the whole read buffer that they are in.
    let mut bytes = BytesMut::with_capacity(first);
    while let Some(part) = next(&mut body, slot).await {
        let Ok(part) = part?.into_data() else { continue };
        let size = bytes.len() + part.len();
        if size > limit {
            return Err(BodyError::TooLarge(limit));
        }
        if size > bytes.capacity() {
            let capacity = size.max(bytes.capacity() * 2).min(limit);
            // While the content is moved, the former memory is held too.
            lease = grow(lease, slot, capacity, capacity).await?;
            let mut grown = BytesMut::with_capacity(capacity);
            grown.extend_from_slice(&bytes);
            bytes = grown;
            if let Some(lease) = &mut lease {
                lease.shrink(capacity);
            }
        }
        bytes.extend_from_slice(&part);
    }
    finish(bytes, lease, slot)
}

/// Returns the next frame of a body; an error once the request is to be refused.
async fn next<B>(body: &mut B, slot: Option<&Slot>) -> Option<Result<Frame<Bytes>, BodyError>>
where
    B: HttpBody<Data = Bytes> + Unpin,
    B::Error: fmt::Display,
{
    let mut frame = body.frame();
    let arrived = future::poll_fn(|context| match slot.is_some_and(Slot::is_refused) {
        true => Poll::Ready(Some(Err(BodyError::NoRoom))),
        false => Pin::new(&mut frame).poll(context).map(|frame| {
            let incomplete = |error: B::Error| BodyError::Incomplete(error.to_string());
            frame.map(|frame| frame.map_err(incomplete))
        }),
    });
    arrived.await
}

/// Takes `bytes` of memory in addition to `lease`, for a body of `size` bytes.
async fn grow(
    lease: Option<Lease>,
    slot: Option<&Slot>,
    bytes: usize,
    size: usize,
) -> Result<Option<Lease>, BodyError> {
    let Some(slot) = slot else { return Ok(None) };
    slot.note_body(size);
    let added = slot.lease(bytes, size).await.map_err(|_| BodyError::NoRoom)?;
    Ok(Some(match lease {
        Some(mut lease) => {
            lease.join(added);
            lease
        }
        None => added,
    }))
}

/// Counts the request as being answered.
fn finish(
    bytes: BytesMut,
    lease: Option<Lease>,
    slot: Option<&Slot>,
) -> Result<RequestBody, BodyError> {
    let answering = slot.map(|slot| slot.begin(bytes.len())).transpose();
    let answering = answering.map_err(|_| BodyError::NoRoom)?;
    Ok(RequestBody { bytes: bytes.freeze(), _lease: lease, _answering: answering })
}
