//! Accept loop of the servers, with a shutdown that resets no connection.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::future;
use smol::net::{TcpListener, TcpStream};
use socket2::{SockFilter, SockRef};

use crate::limits::{Limiter, Slot};
use crate::runtime;
use crate::shutdown::Shutdown;

/// Pause after a failed accept. Without a pause the loop would spin when file descriptors run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Time after the start of a shutdown for TCP handshakes in progress to complete. It covers several
/// round trips between data centres.
const HANDSHAKE_GRACE: Duration = Duration::from_millis(50);

/// Number of tasks of connections from which on ended ones are removed.
const MIN_REMOVAL: usize = 64;

/// Tasks of the connections of a server.
#[derive(Debug, Default)]
struct Tasks {
    tasks: Vec<smol::Task<()>>,
    /// Number of tasks at which ended ones are removed next. Doubled each time, so that the cost of an accept
    /// does not grow with the number of connections.
    removal_at: usize,
}

impl Tasks {
    fn add(&mut self, task: smol::Task<()>) {
        if self.tasks.len() >= self.removal_at {
            self.tasks.retain(|task| !task.is_finished());
            self.removal_at = (self.tasks.len() * 2).max(MIN_REMOVAL);
        }
        self.tasks.push(task);
    }
}

/// Runs `serve` for each connection that `limiter` admits until the shutdown signal, and returns once all
/// connections have ended.
pub(crate) async fn run<F: Future<Output = ()> + Send + 'static>(
    listener: TcpListener,
    limiter: &Limiter,
    shutdown: Shutdown,
    serve: impl Fn(TcpStream, SocketAddr, Slot) -> F,
) {
    let mut connections = Tasks::default();
    accept_until(&listener, limiter, shutdown.wait(), &serve, &mut connections).await;
    // The kernel resets connections that it establishes between the last accept and the close of the
    // listener. Their callers could not tell whether a request that they sent was executed.
    if let Err(error) = reject_handshakes(&listener) {
        tracing::warn!(event = "handshakes_not_rejected", %error);
    }
    let grace = runtime::sleep(HANDSHAKE_GRACE);
    accept_until(&listener, limiter, grace, &serve, &mut connections).await;
    drop(listener);
    for task in connections.tasks {
        task.await;
    }
}

/// Accepts and serves connections until `end` completes. Adds their tasks to `connections`.
async fn accept_until<F: Future<Output = ()> + Send + 'static>(
    listener: &TcpListener,
    limiter: &Limiter,
    end: impl Future<Output = ()>,
    serve: &impl Fn(TcpStream, SocketAddr, Slot) -> F,
    connections: &mut Tasks,
) {
    let mut end = std::pin::pin!(end);
    loop {
        let accepting = async {
            match listener.accept().await {
                Ok((stream, peer)) => Some(Ok((stream, peer, limiter.admit().await))),
                Err(error) => Some(Err(error)),
            }
        };
        let accepted = future::or(accepting, async {
            end.as_mut().await;
            None
        });
        match accepted.await {
            None => return,
            Some(Err(error)) => {
                tracing::warn!(event = "accept_failed", %error);
                runtime::sleep(ACCEPT_BACKOFF).await;
            }
            Some(Ok((stream, peer, slot))) => {
                connections.add(runtime::spawn(serve(stream, peer, slot)));
            }
        }
    }
}

/// Attaches a packet filter to the listener that drops SYN packets, which open a connection. Their
/// senders retransmit them after a second, when the listener is closed and the kernel refuses them.
fn reject_handshakes(listener: &TcpListener) -> std::io::Result<()> {
    // Opcodes of classic BPF, and the offset and bits of the flags in the TCP header.
    const LOAD_BYTE: u16 = 0x30;
    const JUMP_IF_SET: u16 = 0x45;
    const RETURN: u16 = 0x06;
    const FLAGS_OFFSET: u32 = 13;
    const RST_OR_ACK: u32 = 0x14;
    let filter = [
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(JUMP_IF_SET, 0, 1, RST_OR_ACK),
        SockFilter::new(RETURN, 0, 0, u32::MAX),
        SockFilter::new(RETURN, 0, 0, 0),
    ];
    SockRef::from(listener).attach_filter(&filter)
}
