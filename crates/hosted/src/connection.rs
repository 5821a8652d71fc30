//! Connections between entries and agents: encoded messages in both directions on one TCP stream.
//!
//! Queued messages are written in batches, because on a machine with a tenth of a core one system
//! call costs as much as several messages.

use std::net::SocketAddr;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use bytes::BytesMut;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use peridotfold_core::flow::message::Greeting;
use peridotfold_wire::error::{Step, WireError};
use peridotfold_wire::limits::{Lease, Slot};
use peridotfold_wire::{frame, runtime};
use serde::de::DeserializeOwned;
use serde::Serialize;
use smol::net::TcpStream;

/// Maximum number of messages queued for a slow peer before the connection is closed.
const OUTBOX_CAPACITY: usize = 8_192;
/// Maximum number of bytes read by one system call.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Timeout of opening a TCP connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Size at which no more queued messages are added to a write on the connection.
const MAX_WRITE_BYTES: usize = 64 * 1024;
/// Timeout of one write on a connection, after which the connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Queue of messages that a connection's writer task sends. Dropping all its clones closes the
/// connection.
#[derive(Debug)]
pub(crate) struct Outbox<T>(Sender<T>);

// Derived, it would require that the messages can be cloned.
impl<T> Clone for Outbox<T> {
    fn clone(&self) -> Self {
        Outbox(self.0.clone())
    }
}

impl<T> Outbox<T> {
    /// Adds a message. Fails if the connection is closed, or the queue is full because the peer is
    /// slow.
    pub(crate) fn try_send(&self, message: T) -> Result<(), QueueError> {
        if self.0.len() >= OUTBOX_CAPACITY {
            return Err(QueueError::Full);
        }
        self.0.try_send(message).map_err(|_| QueueError::Closed)
    }

    /// Tells whether both add to the queue of the same connection.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        self.0.same_channel(&other.0)
    }
}

/// Reason for which a message was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QueueError {
    Full,
    Closed,
}

/// Opens a connection with `TCP_NODELAY` set.
pub(crate) async fn connect(address: SocketAddr) -> Result<TcpStream, WireError> {
    let peer = address.to_string();
    let connecting = async {
        TcpStream::connect(address)
            .await
            .map_err(|error| WireError::new(Step::Connect, peer.as_str(), error))
    };
    let stream = runtime::timeout(CONNECT_TIMEOUT, &peer, connecting).await?;
    if let Err(error) = stream.set_nodelay(true) {
        tracing::warn!(event = "nodelay_not_set", %peer, %error);
    }
    Ok(stream)
}

/// Sends the greeting, the first message on a connection.
pub(crate) async fn send_greeting(
    stream: &TcpStream,
    greeting: &Greeting,
    peer: SocketAddr,
) -> Result<(), WireError> {
    let fail = |error: String| WireError::new(Step::Send, peer.to_string(), error);
    let bytes = frame::encode(greeting).map_err(fail)?;
    stream.clone().write_all(&bytes).await.map_err(|error| fail(error.to_string()))
}

/// Starts the writer task of a connection. The connection closes when the returned outbox is
/// dropped.
pub(crate) fn start_writer<T: Serialize + Send + 'static>(
    stream: TcpStream,
    peer: String,
) -> Outbox<T> {
    // A bounded channel allocates its whole capacity at once, which an owner with a connection for
    // each worker cannot afford.
    let (sender, receiver) = async_channel::unbounded();
    runtime::spawn(async move {
        if let Err(error) = write_all(&stream, &peer, receiver).await {
            tracing::info!(event = "connection_lost", %peer, %error);
        }
        // Wakes the reader too. Fails if the peer closed the connection first.
        if let Err(error) = stream.shutdown(std::net::Shutdown::Both) {
            tracing::debug!(event = "shutdown_failed", %peer, %error);
        }
    })
    .detach();
    Outbox(sender)
}

/// Writes queued messages until the outbox is dropped.
async fn write_all<T: Serialize>(
    stream: &TcpStream,
    peer: &str,
    receiver: Receiver<T>,
) -> Result<(), WireError> {
    let mut stream = stream.clone();
    while let Ok(message) = receiver.recv().await {
        let fail = |error: String| WireError::new(Step::Send, peer, error);
        let mut buffer = BytesMut::from(&frame::encode(&message).map_err(fail)?[..]);
        while buffer.len() < MAX_WRITE_BYTES {
            let Ok(message) = receiver.try_recv() else { break };
            buffer.extend_from_slice(&frame::encode(&message).map_err(fail)?);
        }
        let writing =
            async { stream.write_all(&buffer).await.map_err(|error| fail(error.to_string())) };
        runtime::timeout(WRITE_TIMEOUT, peer, writing).await?;
    }
    Ok(())
}

/// Reads and decodes the messages of a connection.
#[derive(Debug)]
pub(crate) struct MessageReader {
    stream: TcpStream,
    peer: String,
    buffer: BytesMut,
}

impl MessageReader {
    /// Creates a reader of `stream`; `peer` names the other side in errors.
    pub(crate) fn new(stream: TcpStream, peer: String) -> Self {
        MessageReader { stream, peer, buffer: BytesMut::new() }
    }

    /// Returns the peer's address for log lines.
    pub(crate) fn peer(&self) -> &str {
        &self.peer
    }

    /// Returns the next message; later messages stay in the buffer. Fails if no bytes arrive within
    /// `timeout`.
    pub(crate) async fn receive_one<T: DeserializeOwned>(
        &mut self,
        timeout: Duration,
    ) -> Result<T, WireError> {
        loop {
            if let Some(message) = self.decode()? {
                return Ok(message);
            }
            self.read_more(timeout).await?;
        }
    }

    /// Returns the first message, as [`MessageReader::receive_one`] does. Until it is complete, what has arrived
    /// counts as memory of `slot`; fails if no more is free.
    pub(crate) async fn receive_first<T: DeserializeOwned>(
        &mut self,
        timeout: Duration,
        slot: &Slot,
    ) -> Result<T, WireError> {
        let mut leases: Vec<Lease> = Vec::new();
        loop {
            if let Some(message) = self.decode()? {
                return Ok(message);
            }
            self.read_more(timeout).await?;
            let size = self.buffer.len();
            slot.note_upload(size);
            let held: usize = leases.iter().map(Lease::bytes).sum();
            let grown = self.buffer.capacity().saturating_sub(held);
            if grown > 0 {
                let lease = slot.lease(grown, size).await;
                leases.push(lease.map_err(|_| {
                    WireError::new(Step::Receive, self.peer.as_str(), "no memory is free")
                })?);
            }
        }
    }

    /// Returns all messages received so far, at least one. Fails if no bytes arrive within
    /// `timeout`.
    pub(crate) async fn receive<T: DeserializeOwned>(
        &mut self,
        timeout: Duration,
    ) -> Result<Vec<T>, WireError> {
        loop {
            let mut messages = Vec::new();
            while let Some(message) = self.decode()? {
                messages.push(message);
            }
            if !messages.is_empty() {
                return Ok(messages);
            }
            self.read_more(timeout).await?;
        }
    }

    /// Decodes the next message in the buffer; `None` if it is incomplete.
    fn decode<T: DeserializeOwned>(&mut self) -> Result<Option<T>, WireError> {
        frame::decode(&mut self.buffer)
            .map_err(|error| WireError::new(Step::Decode, self.peer.as_str(), error))
    }

    /// Reads from the stream into the buffer.
    async fn read_more(&mut self, timeout: Duration) -> Result<(), WireError> {
        let mut chunk = [0; READ_BUFFER_BYTES];
        let read = future::or(async { Some(self.stream.read(&mut chunk).await) }, async {
            runtime::sleep(timeout).await;
            None
        });
        let fail = |step, detail: String| Err(WireError::new(step, self.peer.as_str(), detail));
        match read.await {
            Some(Ok(0)) => fail(Step::Receive, "closed".to_owned()),
            Some(Ok(count)) => {
                self.buffer.extend_from_slice(&chunk[..count]);
                Ok(())
            }
            Some(Err(error)) => fail(Step::Receive, error.to_string()),
            None => fail(Step::Timeout, format!("silent for {timeout:?}")),
        }
    }
}
