//! HTTP server for callers and operators.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use http::header::{HeaderValue, CONNECTION};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::accept;
use crate::body::Body;
use crate::runtime;
use crate::shutdown::Shutdown;

/// Largest request head accepted, in bytes.
pub const MAX_HEAD_BYTES: usize = 32 * 1024;
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after the start of a shutdown in which idle connections stay open. Callers learn from the
/// next response that the connection closes; a request sent on a connection that is just closed
/// would have an unknown outcome.
const IDLE_GRACE: Duration = Duration::from_millis(500);

/// Answers HTTP requests.
pub trait HttpService: Send + Sync + 'static {
    /// Answers one request.
    fn call(&self, request: Request<Incoming>) -> impl Future<Output = Response<Body>> + Send;
}

/// Accepts HTTP/1.1 connections.
#[derive(Debug)]
pub struct HttpServer {
    listener: TcpListener,
    address: SocketAddr,
}

impl HttpServer {
    /// Listens on `address`; port 0 lets the kernel choose.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok(HttpServer { listener, address })
    }

    /// Address with the port that is in use.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until the signal, then lets open requests end.
    pub async fn serve<S: HttpService>(self, service: Arc<S>, shutdown: Shutdown) {
        let stopping = shutdown.clone();
        accept::run(self.listener, shutdown, move |stream, peer| {
            connection(stream, peer, service.clone(), stopping.clone())
        })
        .await;
    }
}

async fn connection<S: HttpService>(
    stream: TcpStream,
    peer: SocketAddr,
    service: Arc<S>,
    shutdown: Shutdown,
) {
    let _ = stream.set_nodelay(true);
    let stopping = shutdown.clone();
    let answer = service_fn(move |request| {
        let (service, stopping) = (service.clone(), stopping.clone());
        async move {
            let mut response = service.call(request).await;
            if stopping.is_set() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(FuturesIo::new(stream), answer);
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
            connection.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(event = "connection_closed", %peer, %error);
    }
}
