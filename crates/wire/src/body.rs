//! Bodies of outgoing HTTP messages.

use std::pin::Pin;
use std::task::{Context, Poll};

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use futures_lite::Stream;
use http_body::{Frame, SizeHint};

/// The body ended before all its parts were sent, or its reader is gone.
#[derive(Debug, Clone, Copy)]
pub struct BodyTruncated;

impl std::fmt::Display for BodyTruncated {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the body was truncated")
    }
}

impl std::error::Error for BodyTruncated {}

/// A body that is complete from the start, or that is streamed in parts.
#[derive(Debug)]
pub enum Body {
    Full(Option<Bytes>),
    Parts(Pin<Box<Receiver<Result<Bytes, BodyTruncated>>>>),
}

/// Sends the parts of a [`Body::Parts`]. Dropping the sender without [`BodySender::finish`] truncates
/// the body, which the reader sees as an error.
#[derive(Debug)]
pub struct BodySender {
    sender: Sender<Result<Bytes, BodyTruncated>>,
    /// Whether [`BodySender::finish`] has marked the body as complete.
    finished: bool,
}

impl Body {
    /// Builds a complete body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Body::Full((!bytes.is_empty()).then_some(bytes))
    }

    /// Builds an empty body.
    pub fn empty() -> Self {
        Body::Full(None)
    }

    /// Builds a body that is streamed in parts, and its sender.
    pub fn parts() -> (BodySender, Self) {
        const MAX_BUFFERED_PARTS: usize = 4;
        // Once the buffer is full, the sender waits. A truncation needs no free slot: see `Drop`.
        let (sender, receiver) = async_channel::bounded(MAX_BUFFERED_PARTS);
        (BodySender { sender, finished: false }, Body::Parts(Box::pin(receiver)))
    }
}

impl BodySender {
    /// Sends one part, and waits while the buffer is full.
    ///
    /// # Errors
    ///
    /// Fails when the reader was dropped.
    pub async fn send(&mut self, part: Bytes) -> Result<(), BodyTruncated> {
        self.sender.send(Ok(part)).await.map_err(|_| BodyTruncated)
    }

    /// Marks the body as complete and closes it.
    pub fn finish(mut self) {
        self.finished = true;
    }

    /// Returns once the reader was dropped.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }
}

impl Drop for BodySender {
    fn drop(&mut self) {
        if !self.finished {
            // In a full channel the error replaces the oldest buffered part, so that the reader
            // always sees the truncation.
            let _ = self.sender.force_send(Err(BodyTruncated));
        }
        self.sender.close();
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = BodyTruncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyTruncated>>> {
        match self.get_mut() {
            Body::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Body::Parts(receiver) => {
                receiver.as_mut().poll_next(context).map(|part| part.map(|p| p.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Body::Parts(_) => SizeHint::new(),
        }
    }
}
