//! HTTP/1.1 server for callers and operators, with a graceful shutdown.

use std::convert::Infallible;
use std::future::Future;
use std::net::{SocketAddr, TcpStream as StdStream};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future;
use http::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use http::{Request, Response, StatusCode};
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::net::{TcpListener, TcpStream};
use smol::Async;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use socket2::SockRef;

use crate::accept;
use crate::body::{Body, BodyTruncated};
use crate::limits::{Limiter, Limits, Shortage, Slot};
use crate::metered::Metered;
use crate::runtime;
use crate::shutdown::Shutdown;

/// Maximum size of a request head, in bytes.
pub const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Time limit for the arrival of a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after the start of a shutdown during which idle connections stay open. In this time each
/// response tells its caller that the connection will close. A request sent on a connection that is
/// being closed would have an unknown outcome.
const IDLE_GRACE: Duration = Duration::from_millis(500);
/// Time after [`IDLE_GRACE`] for requests in progress to arrive and for responses to be read. What the client has
/// not finished then is refused, and closed after the same time again.
const UNFINISHED_GRACE: Duration = Duration::from_millis(1_000);
/// `Retry-After` of a request that is refused because too many are being answered, in seconds.
const RETRY_SECONDS: &str = "1";
/// Size of the kernel's receive buffer of a connection whose server has limits, in bytes. The kernel's own
/// choice grows to megabytes for a client that sends what nothing reads.
pub const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;

/// Handles the requests of an [`HttpServer`].
pub trait HttpService: Send + Sync + 'static {
    /// Returns the response to one request.
    fn call(&self, request: Request<Incoming>) -> impl Future<Output = Response<Body>> + Send;
}

/// Server bound to an address.
#[derive(Debug)]
pub struct HttpServer {
    listener: TcpListener,
    address: SocketAddr,
}

impl HttpServer {
    /// Listens on `address`; with port 0 the kernel chooses the port.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok(HttpServer { listener, address })
    }

    /// Returns the address with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves requests until the shutdown signal, then completes the requests in progress.
    pub async fn serve<S: HttpService>(self, service: Arc<S>, shutdown: Shutdown) {
        self.serve_within(Limiter::unlimited(), service, shutdown).await;
    }

    /// Serves requests as [`HttpServer::serve`] does, from clients that may hold what `limiter` allows.
    pub async fn serve_within<S: HttpService>(
        self,
        limiter: Limiter,
        service: Arc<S>,
        shutdown: Shutdown,
    ) {
        if limiter.limits() != Limits::NONE {
            // Connections inherit the size from their listener.
            let sized = SockRef::from(&self.listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
            if let Err(error) = sized {
                tracing::warn!(event = "receive_buffer_not_set", address = %self.address, %error);
            }
        }
        let stopping = shutdown.clone();
        accept::run(self.listener, &limiter, shutdown, move |stream, peer, slot| {
            connection(stream, peer, slot, service.clone(), stopping.clone())
        })
        .await;
    }
}

/// Serves one connection until it ends, the shutdown closes it, or its limiter ends it for others.
async fn connection<S: HttpService>(
    stream: TcpStream,
    peer: SocketAddr,
    slot: Slot,
    service: Arc<S>,
    shutdown: Shutdown,
) {
    let serving = async {
        if is_started(&stream, &shutdown).await && slot.start().await.is_ok() {
            exchange(stream, peer, slot.clone(), service, shutdown).await;
        }
    };
    future::or(slot.closed(), serving).await;
}

/// Returns the response to a request that was not carried out because too many are being answered.
fn unavailable() -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(RETRY_SECONDS));
    response
}

/// Body of a response. Its request counts as being answered until the last part was taken to be sent.
#[derive(Debug)]
struct ResponseBody {
    body: Body,
    slot: Slot,
}

impl hyper::body::Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyTruncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyTruncated>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        self.slot.note_response();
    }
}

/// Waits for the first bytes of the client. Returns `false` if none arrive in time or before the shutdown. Until
/// then the connection needs no buffers.
async fn is_started(stream: &TcpStream, shutdown: &Shutdown) -> bool {
    let socket: Arc<Async<StdStream>> = stream.clone().into();
    let readable = async { socket.readable().await.is_ok() };
    let late = async {
        runtime::sleep(HEAD_TIMEOUT).await;
        false
    };
    let stopped = async {
        shutdown.wait().await;
        runtime::sleep(IDLE_GRACE).await;
        false
    };
    future::or(readable, future::or(late, stopped)).await
}

/// Answers the requests of a connection.
async fn exchange<S: HttpService>(
    stream: TcpStream,
    peer: SocketAddr,
    slot: Slot,
    service: Arc<S>,
    shutdown: Shutdown,
) {
    let _ = stream.set_nodelay(true);
    let stopping = shutdown.clone();
    let caller = slot.clone();
    let answer = service_fn(move |mut request: Request<Incoming>| {
        let (service, stopping, slot) = (service.clone(), stopping.clone(), caller.clone());
        async move {
            let has_body = !request.body().is_end_stream();
            slot.note_request(has_body);
            request.extensions_mut().insert(slot.clone());
            // A request with a body counts once the body was received.
            let answering = if has_body { Ok(None) } else { slot.begin(0).map(Some) };
            let mut response = match answering {
                Ok(_answering) => service.call(request).await,
                Err(Shortage) => unavailable(),
            };
            if stopping.is_set() || slot.is_refused() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response.map(|body| ResponseBody { body, slot }))
        }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(FuturesIo::new(Metered::new(stream, slot.clone())), answer);
    let mut connection = std::pin::pin!(connection);
    let ended = future::or(async { Some(connection.as_mut().await) }, async {
        shutdown.wait().await;
        runtime::sleep(IDLE_GRACE).await;
        None
    });
    let result = match ended.await {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            let ending = async {
                loop {
                    runtime::sleep(UNFINISHED_GRACE).await;
                    slot.end_unfinished();
                }
            };
            future::or(connection, ending).await
        }
    };
    if let Err(error) = result {
        tracing::debug!(event = "connection_closed", %peer, %error);
    }
}
