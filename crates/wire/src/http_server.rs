//! HTTP/1.1 server for callers and operators, with a graceful shutdown.

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

/// Maximum size of a request head, in bytes.
pub const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Time limit for the arrival of a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after the start of a shutdown during which idle connections stay open. In this time each
/// response tells its caller that the connection will close. A request sent on a connection that is
/// being closed would have an unknown outcome.
const IDLE_GRACE: Duration = Duration::from_millis(500);

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
        let stopping = shutdown.clone();
        accept::run(self.listener, shutdown, move |stream, peer| {
            connection(stream, peer, service.clone(), stopping.clone())
        })
        .await;
    }
}

/// Serves one connection until it ends or the shutdown closes it.
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
