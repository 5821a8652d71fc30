//! HTTP client with a pool of keep-alive connections, for requests to upstreams, the platform and the
//! operator interface.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Method, Request, Response};
use http_body::{Body as _, Frame};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use parking_lot::Mutex;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::body::Body;
use crate::error::{Step, WireError};
use crate::runtime;

/// Time limit for a TCP connection and the HTTP handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of idle connections kept for each address.
const MAX_IDLE_PER_ADDRESS: usize = 64;
/// Maximum size of a response body that [`HttpClient::exchange`] reads, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Client with a pool of HTTP/1.1 connections. Clones share the pool.
#[derive(Debug, Clone, Default)]
pub struct HttpClient {
    /// Idle connections by the address of their server.
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
}

/// A connection that waits for its next request.
#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Body>,
    /// When its last response was complete.
    since: Duration,
}

impl HttpClient {
    /// Sends a request and returns the response as soon as its head has arrived; the body is streamed.
    ///
    /// # Errors
    ///
    /// A [`Step::Connect`] error means that nothing of the request was sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<PooledBody>, WireError> {
        let peer = address.to_string();
        let mut request = request;
        loop {
            let (mut sender, reused) = match self.take_idle(address) {
                Some(sender) => (sender, true),
                None => (connect(address).await?, false),
            };
            if reused && sender.ready().await.is_err() {
                continue;
            }
            match sender.try_send_request(request).await {
                Ok(response) => {
                    let (head, incoming) = response.into_parts();
                    let body = PooledBody {
                        incoming,
                        connection_slot: Some((self.clone(), address, sender)),
                    };
                    return Ok(Response::from_parts(head, body.release_if_ended()));
                }
                Err(mut error) => match error.take_message() {
                    // The idle connection was closed before any part of the request was sent.
                    Some(unsent) if reused => request = unsent,
                    Some(_) => return Err(WireError::new(Step::Connect, peer, error.error())),
                    None => return Err(WireError::new(Step::Receive, peer, error.error())),
                },
            }
        }
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// Fails when the exchange takes longer than `limit` or the response exceeds
    /// [`MAX_RESPONSE_BYTES`]. After a timeout, later requests use no connection that was idle while
    /// this one waited: what silenced one connection may have silenced them all.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        limit: Duration,
    ) -> Result<Response<Bytes>, WireError> {
        let peer = address.to_string();
        let sent_at = runtime::now();
        let answer = runtime::timeout(limit, &peer, async {
            let (head, body) = self.send(address, request).await?.into_parts();
            let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
            let mut bytes = BytesMut::new();
            while append(&mut bytes, body.frame().await, &peer)? {}
            Ok(Response::from_parts(head, bytes.freeze()))
        })
        .await;
        self.close_idle_after(&answer, address, sent_at);
        answer
    }

    /// Sends a request and reads the whole response, for as long as parts of it go on arriving: a large
    /// response over a slow link takes longer than any limit for a small one.
    ///
    /// # Errors
    ///
    /// Fails as [`HttpClient::exchange`] does, but when the head of the response, or the next part of its
    /// body, takes longer than `limit`.
    pub async fn exchange_while_active(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        limit: Duration,
    ) -> Result<Response<Bytes>, WireError> {
        let peer = address.to_string();
        let sent_at = runtime::now();
        let answer = async {
            let sending = self.send(address, request);
            let (head, body) = runtime::timeout(limit, &peer, sending).await?.into_parts();
            let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
            let mut bytes = BytesMut::new();
            loop {
                let part = runtime::timeout(limit, &peer, async { Ok(body.frame().await) }).await?;
                if !append(&mut bytes, part, &peer)? {
                    break;
                }
            }
            Ok(Response::from_parts(head, bytes.freeze()))
        }
        .await;
        self.close_idle_after(&answer, address, sent_at);
        answer
    }

    /// Builds a request with a complete body and no headers but `host`, and sends it with
    /// [`HttpClient::exchange`].
    ///
    /// # Errors
    ///
    /// Fails as [`HttpClient::exchange`] does, or when the path is not a valid URI.
    pub async fn simple(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
        limit: Duration,
    ) -> Result<Response<Bytes>, WireError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, address.to_string())
            .body(Body::full(body))
            .map_err(|error| WireError::new(Step::Connect, address.to_string(), error))?;
        self.exchange(address, request, limit).await
    }

    /// Removes an idle connection from the pool.
    fn take_idle(&self, address: SocketAddr) -> Option<SendRequest<Body>> {
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&address)?;
        connections.retain(|connection| !connection.sender.is_closed());
        connections.pop().map(|connection| connection.sender)
    }

    /// Closes the connections to `address` that were idle while an exchange that began at `sent_at` ran
    /// into its limit.
    fn close_idle_after<T>(
        &self,
        answer: &Result<T, WireError>,
        address: SocketAddr,
        sent_at: Duration,
    ) {
        if answer.as_ref().is_err_and(|error| error.step == Step::Timeout) {
            self.close_idle(address, sent_at);
        }
    }

    /// Closes the connections to `address` that have been idle since before `time`.
    fn close_idle(&self, address: SocketAddr, time: Duration) {
        let mut idle = self.idle.lock();
        let Some(connections) = idle.get_mut(&address) else { return };
        let count = connections.len();
        connections.retain(|connection| connection.since > time);
        let closed = count - connections.len();
        if closed > 0 {
            tracing::info!(event = "idle_connections_closed", peer = %address, closed);
        }
    }

    /// Returns a connection to the pool, or drops it if the pool of its address is full.
    fn put_idle(&self, address: SocketAddr, sender: SendRequest<Body>) {
        let mut idle = self.idle.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(IdleConnection { sender, since: runtime::now() });
        }
    }
}

/// Appends a part of a response body; returns `false` at the end. The copy does not keep the read buffer that
/// the part is in: a body in small parts would otherwise take many times its size.
fn append<E: std::fmt::Display>(
    bytes: &mut BytesMut,
    part: Option<Result<Frame<Bytes>, E>>,
    peer: &str,
) -> Result<bool, WireError> {
    let Some(part) = part else { return Ok(false) };
    let part = part.map_err(|error| WireError::new(Step::Receive, peer, error))?;
    if let Ok(data) = part.into_data() {
        bytes.extend_from_slice(&data);
    }
    Ok(true)
}

/// Opens a connection. All errors have the step [`Step::Connect`].
async fn connect(address: SocketAddr) -> Result<SendRequest<Body>, WireError> {
    let peer = address.to_string();
    let fail = |error: String| WireError::new(Step::Connect, peer.as_str(), error);
    let connecting = async {
        let stream = TcpStream::connect(address).await.map_err(|e| fail(e.to_string()))?;
        stream.set_nodelay(true).map_err(|e| fail(e.to_string()))?;
        let (sender, connection) =
            http1::handshake(FuturesIo::new(stream)).await.map_err(|e| fail(e.to_string()))?;
        runtime::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(event = "connection_closed", peer = %address, %error);
            }
        })
        .detach();
        Ok(sender)
    };
    runtime::timeout(CONNECT_TIMEOUT, &peer, connecting)
        .await
        .map_err(|error| WireError { step: Step::Connect, ..error })
}

/// Body of a response. Its connection returns to the pool only after the body was read to its end.
#[derive(Debug)]
pub struct PooledBody {
    incoming: Incoming,
    /// The pool, and the connection to return to it; `None` once returned.
    connection_slot: Option<(HttpClient, SocketAddr, SendRequest<Body>)>,
}

impl PooledBody {
    /// Returns the connection to the pool if the body has no further parts.
    fn release_if_ended(mut self) -> Self {
        if self.incoming.is_end_stream() {
            self.release();
        }
        self
    }

    /// Returns the connection to the pool.
    fn release(&mut self) {
        if let Some((client, address, sender)) = self.connection_slot.take() {
            client.put_idle(address, sender);
        }
    }
}

impl http_body::Body for PooledBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let this = self.get_mut();
        let frame = Pin::new(&mut this.incoming).poll_frame(context);
        if matches!(frame, Poll::Ready(None)) || this.incoming.is_end_stream() {
            this.release();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.incoming.size_hint()
    }
}
