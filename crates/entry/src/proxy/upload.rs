//! Forwarding of a caller's request body to an agent.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use peridotfold_core::message::request::BodyFrame;
use peridotfold_wire::error::{Step, WireError};
use peridotfold_wire::peer::FrameSender;
use smol::lock::Mutex;

/// Most bytes of a request body that are kept for a retry.
const MAX_REPLAY_BYTES: usize = 256 * 1024;
/// Most bytes of a body in one frame. Small enough that other streams of the connection are not
/// delayed.
const MAX_FRAME_BYTES: usize = 64 * 1024;

/// Peer name of the caller in errors.
const CALLER: &str = "caller";

/// A request body. Its received parts are kept for a retry, up to [`MAX_REPLAY_BYTES`].
#[derive(Debug)]
pub struct Upload {
    /// Body as received from the caller.
    incoming: Incoming,
    /// Parts received so far, to be sent again by a retry. Empty once the body exceeds the limit.
    replay_parts: Vec<Bytes>,
    /// Bytes of the body received so far.
    size: usize,
    /// A retry can send the body from its start.
    replayable: bool,
    /// The whole body was received.
    ended: bool,
}

/// An upload that successive attempts read from.
pub type SharedUpload = Arc<Mutex<Upload>>;

impl Upload {
    /// Wraps the body of a request.
    pub fn new(incoming: Incoming) -> Self {
        let ended = incoming.is_end_stream();
        Upload { incoming, replay_parts: Vec::new(), size: 0, replayable: true, ended }
    }

    /// Tells whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.ended && self.size == 0
    }

    /// Tells whether another attempt can send the body from its start.
    pub fn is_replayable(&self) -> bool {
        self.replayable
    }

    /// Sends the body from its start.
    ///
    /// # Errors
    ///
    /// Fails when the stream to the agent is closed, or when the caller's body is incomplete. In
    /// the latter case the stream is reset, from which the agent learns that the body is
    /// incomplete.
    pub async fn send(&mut self, mut sender: FrameSender) -> Result<(), WireError> {
        let result = self.send_frames(&mut sender).await;
        if matches!(&result, Err(error) if error.peer == CALLER) {
            // Without a reset, the stream would stay open while the answer is awaited. After an
            // error of the agent's side, its answer may still arrive and must not be discarded.
            sender.abort();
        }
        result
    }

    /// Sends the kept parts, then the rest of the body as the caller sends it.
    async fn send_frames(&mut self, sender: &mut FrameSender) -> Result<(), WireError> {
        for part in self.replay_parts.clone() {
            send_part(sender, part).await?;
        }
        while !self.ended {
            match self.incoming.frame().await {
                None => self.ended = true,
                Some(Err(error)) => return Err(WireError::new(Step::Receive, CALLER, error)),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(part) => {
                        self.keep_for_replay(&part);
                        send_part(sender, part).await?;
                    }
                    // Trailers are not forwarded.
                    Err(_) => continue,
                },
            }
        }
        sender.send(&BodyFrame::End).await?;
        sender.finish()
    }

    /// Keeps a part for a retry, or drops all parts when the body exceeds the limit.
    fn keep_for_replay(&mut self, part: &Bytes) {
        self.size += part.len();
        match self.size <= MAX_REPLAY_BYTES {
            true => self.replay_parts.push(part.clone()),
            false => {
                self.replayable = false;
                self.replay_parts = Vec::new();
            }
        }
    }
}

/// Sends a part of the body in frames of at most [`MAX_FRAME_BYTES`].
async fn send_part(sender: &mut FrameSender, mut part: Bytes) -> Result<(), WireError> {
    while !part.is_empty() {
        let piece = part.split_to(part.len().min(MAX_FRAME_BYTES));
        sender.send(&BodyFrame::Data(piece)).await?;
    }
    Ok(())
}
