//! Server side of the message streams; see [`crate::peer`].

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use async_compat::Compat;
use bytes::Bytes;
use futures_lite::future;
use h2::server::SendResponse;
use h2::RecvStream;
use http::{Request, Response, StatusCode};
use serde::Serialize;
use smol::net::{TcpListener, TcpStream};

use crate::accept;
use crate::error::{Step, WireError};
use crate::limits::{Limiter, Slot};
use crate::peer::{FrameReceiver, FrameSender};
use crate::runtime;
use crate::shutdown::Shutdown;

/// Flow-control window of each stream.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
/// Flow-control window of each connection.
const CONNECTION_WINDOW_BYTES: u32 = 4 * 1024 * 1024;
/// Maximum number of concurrent streams on a connection.
const MAX_STREAMS: u32 = 4096;
/// Maximum size of the headers of a request.
const MAX_HEADER_BYTES: u32 = 16 * 1024;

/// Handles the streams of a [`MessageServer`].
pub trait Handler: Send + Sync + 'static {
    /// Handles one stream. An error is logged and closes the stream.
    fn handle(&self, stream: Stream) -> impl Future<Output = Result<(), WireError>> + Send;
}

/// One incoming stream.
#[derive(Debug)]
pub struct Stream {
    /// Kind of the message: the last segment of the path.
    pub kind: String,
    pub receiver: FrameReceiver,
    pub responder: Responder,
}

/// Starts the response to a stream.
#[derive(Debug)]
pub struct Responder {
    response: SendResponse<Bytes>,
    /// Address of the peer, for errors.
    peer: String,
}

impl Responder {
    /// Sends a response head with status 200 and returns the sender of the frames.
    ///
    /// # Errors
    ///
    /// Fails when the peer has reset the stream.
    pub fn start(mut self) -> Result<FrameSender, WireError> {
        let stream = self
            .response
            .send_response(Response::new(()), false)
            .map_err(|error| WireError::new(Step::Send, self.peer.as_str(), error))?;
        Ok(FrameSender::new(stream, self.peer))
    }

    /// Sends a response that consists of one message.
    ///
    /// # Errors
    ///
    /// Fails when the peer has reset the stream.
    pub async fn reply<T: Serialize>(self, message: &T) -> Result<(), WireError> {
        let mut sender = self.start()?;
        sender.send(message).await?;
        sender.finish()
    }

    /// Rejects the message with an error status and a text that the peer can log.
    ///
    /// # Errors
    ///
    /// Fails when the peer has reset the stream.
    pub fn refuse(mut self, status: StatusCode, detail: String) -> Result<(), WireError> {
        let fail = |error: h2::Error| WireError::new(Step::Send, self.peer.as_str(), error);
        let mut head = Response::new(());
        *head.status_mut() = status;
        let mut stream = self.response.send_response(head, false).map_err(fail)?;
        stream.send_data(Bytes::from(detail), true).map_err(fail)
    }
}

/// Server of message streams, bound to an address.
#[derive(Debug)]
pub struct MessageServer {
    listener: TcpListener,
    address: SocketAddr,
}

impl MessageServer {
    /// Listens on `address`; with port 0 the kernel chooses the port.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok(MessageServer { listener, address })
    }

    /// Returns the address with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves streams until the shutdown signal, then completes the streams in progress.
    pub async fn serve<H: Handler>(self, handler: Arc<H>, shutdown: Shutdown) {
        let stopping = shutdown.clone();
        accept::run(self.listener, &Limiter::unlimited(), shutdown, move |stream, peer, slot| {
            connection(stream, peer, slot, handler.clone(), stopping.clone())
        })
        .await;
    }
}

/// Serves one connection until it ends, or until its streams have ended after a shutdown.
async fn connection<H: Handler>(
    stream: TcpStream,
    peer: SocketAddr,
    _slot: Slot,
    handler: Arc<H>,
    shutdown: Shutdown,
) {
    let peer = peer.to_string();
    let _ = stream.set_nodelay(true);
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADER_BYTES)
        .handshake::<_, Bytes>(Compat::new(stream));
    let mut connection = match handshake.await {
        Ok(connection) => connection,
        Err(error) => {
            tracing::warn!(event = "handshake_failed", step = "decode", peer, %error);
            return;
        }
    };
    let mut draining = false;
    loop {
        let next = future::or(async { Some(connection.accept().await) }, async {
            match draining {
                true => future::pending().await,
                false => shutdown.wait().await,
            }
            None
        });
        match next.await {
            None => {
                draining = true;
                connection.graceful_shutdown();
            }
            Some(None) => return,
            Some(Some(Err(error))) => {
                tracing::debug!(event = "connection_closed", peer, %error);
                return;
            }
            Some(Some(Ok((request, response)))) => {
                let stream = incoming(request, response, &peer);
                runtime::spawn(handle(stream, handler.clone(), peer.clone())).detach();
            }
        }
    }
}

/// Builds the stream of a request.
fn incoming(request: Request<RecvStream>, response: SendResponse<Bytes>, peer: &str) -> Stream {
    let kind = request.uri().path().rsplit('/').next().unwrap_or_default().to_owned();
    Stream {
        kind,
        receiver: FrameReceiver::new(request.into_body(), peer.to_owned()),
        responder: Responder { response, peer: peer.to_owned() },
    }
}

/// Runs the handler of a stream and logs its error.
async fn handle<H: Handler>(stream: Stream, handler: Arc<H>, peer: String) {
    let kind = stream.kind.clone();
    if let Err(error) = handler.handle(stream).await {
        tracing::warn!(event = "stream_failed", kind, step = %error.step, peer, detail = error.detail);
    }
}
