//! Forwarding of a caller's request body to an agent.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use peridotfold_core::message::request::BodyFrame;
use peridotfold_wire::error::{Step, WireError};
use peridotfold_wire::limits::{Lease, Slot};
use peridotfold_wire::peer::FrameSender;
use smol::lock::Mutex;

/// Most bytes of a request body that are kept for a retry.
const MAX_REPLAY_BYTES: usize = 256 * 1024;
/// Most bytes of a body in one frame. Small enough that other streams of the connection are not
/// delayed.
const MAX_FRAME_BYTES: usize = 64 * 1024;

/// Peer name of the caller in errors.
const CALLER: &str = "caller";

/// Memory that is taken at a time for the content that is kept, in bytes.
const REPLAY_STEP_BYTES: usize = 16 * 1024;

/// A request body. What was received is kept for a retry, up to [`MAX_REPLAY_BYTES`] and while memory is free.
#[derive(Debug)]
pub struct Upload {
    /// Body as received from the caller.
    incoming: Incoming,
    /// Connection of the caller.
    slot: Option<Slot>,
    /// Content received so far, to be sent again by a retry. Empty once it is not kept. A copy, because a part
    /// as received keeps the whole read buffer that it is in.
    replay: BytesMut,
    /// Memory of `replay`.
    lease: Option<Lease>,
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
    pub fn new(incoming: Incoming, slot: Option<Slot>) -> Self {
        let ended = incoming.is_end_stream();
        let replay = BytesMut::new();
        Upload { incoming, slot, replay, lease: None, size: 0, replayable: true, ended }
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
        send_part(sender, Bytes::copy_from_slice(&self.replay)).await?;
        while !self.ended {
            if let Some(slot) = &self.slot {
                slot.note_upload(self.size);
            }
            match self.incoming.frame().await {
                None => self.note_end(),
                Some(Err(error)) => return Err(WireError::new(Step::Receive, CALLER, error)),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(part) => {
                        self.note_received();
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

    /// Notes that the whole body was received.
    fn note_end(&mut self) {
        self.ended = true;
        if let Some(slot) = &self.slot {
            slot.set_unread(false);
        }
        self.note_received();
    }

    /// Notes that the caller has sent what was asked of it. While the agent does not take more, the connection is
    /// not to be closed for others.
    fn note_received(&self) {
        if let Some(slot) = &self.slot {
            slot.keep();
        }
    }

    /// Keeps a part for a retry. Drops all that was kept when the body exceeds the limit or no memory is free.
    fn keep_for_replay(&mut self, part: &Bytes) {
        self.size += part.len();
        self.replayable &= self.size <= MAX_REPLAY_BYTES && self.reserve();
        match self.replayable {
            true => self.replay.extend_from_slice(part),
            false => {
                self.replay = BytesMut::new();
                self.lease = None;
            }
        }
    }

    /// Makes room for the content received so far. Returns `false` if no memory is free.
    fn reserve(&mut self) -> bool {
        if self.size <= self.replay.capacity() {
            return true;
        }
        let capacity = self.size.next_multiple_of(REPLAY_STEP_BYTES);
        let lease = self.slot.as_ref().map(|slot| slot.try_lease(capacity, self.size));
        if matches!(lease, Some(None)) {
            return false;
        }
        let mut grown = BytesMut::with_capacity(capacity);
        grown.extend_from_slice(&self.replay);
        self.replay = grown;
        self.lease = lease.flatten();
        true
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
