//! Accepts connections until a shutdown.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::future;
use smol::net::{TcpListener, TcpStream};

use crate::runtime;
use crate::shutdown::Shutdown;

/// Accept fails without pause when file descriptors have run out.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// Runs `serve` for each connection until the signal, and returns once all connections have ended.
pub(crate) async fn run<F: Future<Output = ()> + Send + 'static>(
    listener: TcpListener,
    shutdown: Shutdown,
    serve: impl Fn(TcpStream, SocketAddr) -> F,
) {
    let mut connections: Vec<smol::Task<()>> = Vec::new();
    loop {
        let accepted = future::or(async { Some(listener.accept().await) }, async {
            shutdown.wait().await;
            None
        });
        match accepted.await {
            None => break,
            Some(Err(error)) => {
                tracing::warn!(event = "accept_failed", %error);
                runtime::sleep(FAILURE_PAUSE).await;
            }
            Some(Ok((stream, peer))) => {
                connections.retain(|task| !task.is_finished());
                connections.push(runtime::spawn(serve(stream, peer)));
            }
        }
    }
    // Connections that the kernel has completed are still served. While the listener was open,
    // later ones would wait in its queue and never be answered.
    while let Some(Ok((stream, peer))) = future::poll_once(listener.accept()).await {
        connections.push(runtime::spawn(serve(stream, peer)));
    }
    drop(listener);
    for task in connections {
        task.await;
    }
}
