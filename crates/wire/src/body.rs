//! HTTP bodies that are sent.

use std::pin::Pin;
use std::task::{Context, Poll};

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use futures_lite::Stream;
use http_body::{Frame, SizeHint};

/// The body was cut before its end.
#[derive(Debug, Clone, Copy)]
pub struct BodyTruncated;

impl std::fmt::Display for BodyTruncated {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the body was cut before its end")
    }
}

impl std::error::Error for BodyTruncated {}

/// A body that is known whole, or that arrives in parts.
#[derive(Debug)]
pub enum Body {
    Full(Option<Bytes>),
    Parts(Pin<Box<Receiver<Result<Bytes, BodyTruncated>>>>),
}

/// Feeds a [`Body::Parts`]. Dropping it without [`BodySender::finish`] cuts the body.
#[derive(Debug)]
pub struct BodySender {
    sender: Sender<Result<Bytes, BodyTruncated>>,
    finished: bool,
}

impl Body {
    /// Builds a body from all its bytes.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Body::Full((!bytes.is_empty()).then_some(bytes))
    }

    /// Builds an empty body.
    pub fn empty() -> Self {
        Body::Full(None)
    }

    /// Builds a body that is sent in parts.
    pub fn parts() -> (BodySender, Self) {
        const PARTS_BUFFERED: usize = 4;
        // One place more than the sender uses, so that a cut can always be signalled.
        let (sender, receiver) = async_channel::bounded(PARTS_BUFFERED);
        (BodySender { sender, finished: false }, Body::Parts(Box::pin(receiver)))
    }
}

impl BodySender {
    /// Sends one part, waiting while the reader is behind.
    ///
    /// # Errors
    ///
    /// Fails when the reader is gone.
    pub async fn send(&mut self, part: Bytes) -> Result<(), BodyTruncated> {
        self.sender.send(Ok(part)).await.map_err(|_| BodyTruncated)
    }

    /// Ends the body.
    pub fn finish(mut self) {
        self.finished = true;
    }

    /// Returns once the reader is gone.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }
}

impl Drop for BodySender {
    fn drop(&mut self) {
        if !self.finished {
            // A full channel must not hide the cut: the oldest waiting part gives way.
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
