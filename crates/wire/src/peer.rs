//! Client side of the message streams.
//!
//! A message stream is one HTTP/2 stream. Its path names the kind of the message, and both sides send
//! frames ([`crate::frame`]).

use std::collections::HashMap;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::time::Duration;

use async_compat::Compat;
use bytes::{Bytes, BytesMut};
use h2::client::SendRequest;
use h2::{RecvStream, SendStream};
use http::{Method, Request, StatusCode};
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use serde::Serialize;
use smol::net::TcpStream;

use crate::error::{Step, WireError};
use crate::frame;
use crate::runtime;

/// Time limit for a TCP connection and the HTTP/2 handshake.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Flow-control window of each stream.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
/// Flow-control window of each connection.
const CONNECTION_WINDOW_BYTES: u32 = 4 * 1024 * 1024;
/// Maximum number of concurrent streams on a connection.
const MAX_STREAMS: u32 = 4096;

/// Connections to other processes, one for each address. A connection is opened on first use.
#[derive(Debug, Default)]
pub struct Peers {
    /// Open connections by the address of the peer.
    connections: Mutex<HashMap<String, SendRequest<Bytes>>>,
}

impl Peers {
    /// Opens a stream for messages of the given kind and sends `message` as the first frame.
    ///
    /// # Errors
    ///
    /// After a [`Step::Connect`] error the message was not sent.
    pub async fn open<T: Serialize>(
        &self,
        address: &str,
        kind: &str,
        message: &T,
    ) -> Result<(FrameSender, PendingReceiver), WireError> {
        self.open_stream(address, kind, message, false).await
    }

    /// Opens a stream and sends its first frame; `is_last` ends the sending side after the frame.
    async fn open_stream<T: Serialize>(
        &self,
        address: &str,
        kind: &str,
        message: &T,
        is_last: bool,
    ) -> Result<(FrameSender, PendingReceiver), WireError> {
        let frame = frame::encode(message)
            .map_err(|error| WireError::new(Step::Connect, address, error))?;
        let mut client = self.ready(address).await?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}/v1/{kind}"))
            .body(())
            .map_err(|error| WireError::new(Step::Connect, address, error))?;
        let (response, stream) = match client.send_request(request, false) {
            Ok(pair) => pair,
            Err(error) => {
                self.forget(address);
                return Err(WireError::new(Step::Connect, address, error));
            }
        };
        let mut sender = FrameSender { stream, peer: address.to_owned() };
        sender.send_bytes(frame, is_last).await?;
        Ok((sender, PendingReceiver { response, peer: address.to_owned() }))
    }

    /// Sends one message and returns the reply.
    ///
    /// # Errors
    ///
    /// After any error but one of [`Step::Connect`] the peer may have received the message.
    pub async fn call<T: Serialize, R: DeserializeOwned>(
        &self,
        address: &str,
        kind: &str,
        message: &T,
        limit: Duration,
    ) -> Result<R, WireError> {
        let exchange = async {
            // The frame of the message also ends the stream: the peer may reply and close the stream
            // before a separate end could be sent.
            let (_sender, pending) = self.open_stream(address, kind, message, true).await?;
            let mut receiver = pending.receiver().await?;
            match receiver.next().await? {
                Some(reply) => Ok(reply),
                None => Err(WireError::new(Step::Receive, address, "stream ended without a reply")),
            }
        };
        let result = runtime::timeout(limit, address, exchange).await;
        if matches!(&result, Err(error) if error.step == Step::Timeout) {
            // The connection may be dead without a TCP reset, for example after the loss of a VM.
            self.forget(address);
        }
        result
    }

    /// Connects to `address` unless a connection is open. The peer receives only the
    /// handshake, even if the future is dropped.
    ///
    /// # Errors
    ///
    /// Fails when the connection cannot be opened.
    pub async fn connect(&self, address: &str) -> Result<(), WireError> {
        self.ready(address).await.map(|_| ())
    }

    /// Removes the connection to `address` from the cache; the next use opens a new one.
    pub fn forget(&self, address: &str) {
        self.connections.lock().remove(address);
    }

    /// Returns a connection to `address` that can accept a stream, and opens one if needed.
    async fn ready(&self, address: &str) -> Result<SendRequest<Bytes>, WireError> {
        let known = self.connections.lock().get(address).cloned();
        if let Some(client) = known {
            let ready = runtime::timeout(CONNECT_TIMEOUT, address, async {
                client.ready().await.map_err(|e| WireError::new(Step::Connect, address, e))
            });
            match ready.await {
                Ok(client) => return Ok(client),
                Err(_) => self.forget(address),
            }
        }
        let client =
            connect(address).await.map_err(|error| WireError { step: Step::Connect, ..error })?;
        self.connections.lock().insert(address.to_owned(), client.clone());
        client.ready().await.map_err(|error| WireError::new(Step::Connect, address, error))
    }
}

/// Opens a connection and spawns the task that drives it.
async fn connect(address: &str) -> Result<SendRequest<Bytes>, WireError> {
    let fail = |error: String| WireError::new(Step::Connect, address, error);
    let target: SocketAddr =
        address.parse().map_err(|_| fail("the address is not an IP address with a port".into()))?;
    runtime::timeout(CONNECT_TIMEOUT, address, async {
        let stream = TcpStream::connect(target).await.map_err(|e| fail(e.to_string()))?;
        stream.set_nodelay(true).map_err(|e| fail(e.to_string()))?;
        let (client, connection) = h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .max_concurrent_streams(MAX_STREAMS)
            .handshake(Compat::new(stream))
            .await
            .map_err(|e| fail(e.to_string()))?;
        let peer = address.to_owned();
        runtime::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(event = "connection_closed", peer, %error);
            }
        })
        .detach();
        Ok(client)
    })
    .await
}

/// Receiving side of a stream whose response head has not arrived yet.
#[derive(Debug)]
pub struct PendingReceiver {
    response: h2::client::ResponseFuture,
    /// Address of the peer, for errors.
    peer: String,
}

impl PendingReceiver {
    /// Waits for the response head.
    ///
    /// # Errors
    ///
    /// Fails when the stream is reset or the response has another status than 200.
    pub async fn receiver(self) -> Result<FrameReceiver, WireError> {
        let response = self
            .response
            .await
            .map_err(|error| WireError::new(Step::Receive, self.peer.as_str(), error))?;
        let status = response.status();
        let mut receiver = FrameReceiver::new(response.into_body(), self.peer);
        if status == StatusCode::OK {
            return Ok(receiver);
        }
        let detail = receiver.read_text().await;
        Err(WireError::new(Step::Receive, receiver.peer, format!("status {status}: {detail}")))
    }
}

/// Sending side of a stream.
#[derive(Debug)]
pub struct FrameSender {
    stream: SendStream<Bytes>,
    /// Address of the peer, for errors.
    peer: String,
}

impl FrameSender {
    pub(crate) fn new(stream: SendStream<Bytes>, peer: String) -> Self {
        FrameSender { stream, peer }
    }

    /// Sends one message as a frame, and waits for flow-control capacity.
    ///
    /// # Errors
    ///
    /// Fails when the stream is closed or the message exceeds [`frame::MAX_FRAME_BYTES`].
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<(), WireError> {
        let frame = frame::encode(message)
            .map_err(|error| WireError::new(Step::Send, self.peer.as_str(), error))?;
        self.send_bytes(frame, false).await
    }

    /// Ends the sending side after the frames sent so far.
    ///
    /// # Errors
    ///
    /// Fails when the stream is already closed.
    pub fn finish(&mut self) -> Result<(), WireError> {
        self.stream
            .send_data(Bytes::new(), true)
            .map_err(|error| WireError::new(Step::Send, self.peer.as_str(), error))
    }

    /// Resets the stream, so that the receiver sees an error instead of a normal end.
    pub fn abort(&mut self) {
        self.stream.send_reset(h2::Reason::CANCEL);
    }

    /// Returns once the peer has reset the stream or the connection is lost.
    pub async fn closed(&mut self) {
        let _ = poll_fn(|context| self.stream.poll_reset(context)).await;
    }

    /// Sends an encoded frame in parts that fit the flow-control window.
    async fn send_bytes(&mut self, mut frame: Bytes, end_stream: bool) -> Result<(), WireError> {
        while !frame.is_empty() {
            self.stream.reserve_capacity(frame.len());
            let available = match self.stream.capacity() {
                0 => self.wait_capacity().await?,
                available => available,
            };
            let part = frame.split_to(available.min(frame.len()));
            let last = end_stream && frame.is_empty();
            self.stream
                .send_data(part, last)
                .map_err(|error| WireError::new(Step::Send, self.peer.as_str(), error))?;
        }
        Ok(())
    }

    /// Waits for flow-control capacity and returns it in bytes.
    async fn wait_capacity(&mut self) -> Result<usize, WireError> {
        match poll_fn(|context| self.stream.poll_capacity(context)).await {
            Some(Ok(available)) => Ok(available),
            Some(Err(error)) => Err(WireError::new(Step::Send, self.peer.as_str(), error)),
            None => Err(WireError::new(Step::Send, self.peer.as_str(), "stream closed")),
        }
    }
}

/// Receiving side of a stream.
#[derive(Debug)]
pub struct FrameReceiver {
    stream: RecvStream,
    /// Received data that has not been decoded yet.
    buffer: BytesMut,
    /// Address of the peer, for errors.
    peer: String,
}

impl FrameReceiver {
    pub(crate) fn new(stream: RecvStream, peer: String) -> Self {
        FrameReceiver { stream, buffer: BytesMut::new(), peer }
    }

    /// Returns the address of the peer.
    pub fn peer(&self) -> &str {
        &self.peer
    }

    /// Returns the message of the next frame, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails when the stream is reset, ends within a frame, or the frame does not decode to a `T`.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, WireError> {
        loop {
            let decoded = frame::decode(&mut self.buffer)
                .map_err(|error| WireError::new(Step::Decode, self.peer.as_str(), error))?;
            if decoded.is_some() {
                return Ok(decoded);
            }
            match self.stream.data().await {
                Some(Ok(part)) => self.buffer_data(part),
                Some(Err(error)) => {
                    return Err(WireError::new(Step::Receive, self.peer.as_str(), error));
                }
                None if self.buffer.is_empty() => return Ok(None),
                None => {
                    return Err(WireError::new(
                        Step::Receive,
                        self.peer.as_str(),
                        "stream ended within a frame",
                    ));
                }
            }
        }
    }

    /// Adds received data to the buffer and returns its flow-control capacity to the sender.
    fn buffer_data(&mut self, part: Bytes) {
        // This side granted the capacity, so releasing it fails only on a closed stream.
        let _ = self.stream.flow_control().release_capacity(part.len());
        self.buffer.extend_from_slice(&part);
    }

    /// Reads the text of an error response until its end, or until at least 1 KiB has arrived.
    async fn read_text(&mut self) -> String {
        const MAX_TEXT_BYTES: usize = 1024;
        while self.buffer.len() < MAX_TEXT_BYTES {
            match self.stream.data().await {
                Some(Ok(part)) => self.buffer_data(part),
                _ => break,
            }
        }
        String::from_utf8_lossy(&self.buffer).into_owned()
    }
}
