//! Stand-in for the network between two processes: passes on TCP connections, with faults that
//! tests switch on for each direction.

use std::net::{Shutdown as Close, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use parking_lot::Mutex;
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::{self, Shutdown, Trigger};
use smol::net::{TcpListener, TcpStream};

const CHUNK: usize = 16 * 1024;

/// What happens to the bytes of one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Flow {
    #[default]
    Pass,
    /// Bytes are lost, delayed ones included, and so are ends of connections. A connection that
    /// lost something stays open and silent in this direction, since a stream cannot go on after a
    /// gap.
    Drop,
    /// Bytes that arrive while this is set are passed on after this time.
    Delay(Duration),
}

/// Switches of both directions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Flows {
    pub to_target: Flow,
    pub to_client: Flow,
}

impl Flows {
    /// Loses everything in both directions.
    pub const CUT: Flows = Flows { to_target: Flow::Drop, to_client: Flow::Drop };
}

/// Counts since the start.
#[derive(Debug, Default)]
struct Counts {
    connections: AtomicU64,
    open: AtomicU64,
    passed: AtomicU64,
    pieces: AtomicU64,
    dropped: AtomicU64,
    delayed: AtomicU64,
    late: AtomicU64,
}

#[derive(Debug, Default)]
struct State {
    target: Mutex<Option<SocketAddr>>,
    flows: Mutex<Flows>,
    counts: Counts,
}

/// A running forwarder. It closes all connections when dropped.
#[derive(Debug)]
pub struct Forwarder {
    address: SocketAddr,
    state: Arc<State>,
    _stop: Trigger,
}

impl Forwarder {
    /// Listens on a port from the kernel. Connections are refused until a target is set.
    ///
    /// # Errors
    ///
    /// Fails when no address can be bound.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State::default());
        let (_stop, stopped) = shutdown::channel();
        runtime::spawn(accept(listener, state.clone(), stopped)).detach();
        Ok(Forwarder { address, state, _stop })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets where further connections go.
    pub fn set_target(&self, target: SocketAddr) {
        *self.state.target.lock() = Some(target);
    }

    /// Sets what happens to bytes from now on.
    pub fn set_flows(&self, flows: Flows) {
        *self.state.flows.lock() = flows;
    }

    /// Connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.state.counts.connections.load(Ordering::Relaxed)
    }

    /// Connections that are open on either side.
    pub fn open(&self) -> u64 {
        self.state.counts.open.load(Ordering::Relaxed)
    }

    /// Bytes passed on so far, in both directions.
    pub fn passed(&self) -> u64 {
        self.state.counts.passed.load(Ordering::Relaxed)
    }

    /// Pieces in which the bytes were passed on. As long as the forwarder keeps up with the sender,
    /// a piece is a segment of TCP.
    pub fn pieces(&self) -> u64 {
        self.state.counts.pieces.load(Ordering::Relaxed)
    }

    /// Bytes lost so far.
    pub fn dropped(&self) -> u64 {
        self.state.counts.dropped.load(Ordering::Relaxed)
    }

    /// Bytes that were given a delay so far.
    pub fn delayed(&self) -> u64 {
        self.state.counts.delayed.load(Ordering::Relaxed)
    }

    /// Bytes passed on after a delay so far.
    pub fn late(&self) -> u64 {
        self.state.counts.late.load(Ordering::Relaxed)
    }
}

async fn accept(listener: TcpListener, state: Arc<State>, stop: Shutdown) {
    loop {
        let accepted = future::or(async { Some(listener.accept().await) }, async {
            stop.wait().await;
            None
        });
        match accepted.await {
            None => return,
            Some(Ok((client, _))) => {
                runtime::spawn(connection(client, state.clone(), stop.clone())).detach();
            }
            // The client was gone before its connection was accepted.
            Some(Err(error)) => tracing::warn!(event = "accept_failed", %error),
        }
    }
}

/// Counts a connection as open until dropped.
struct Open<'a>(&'a Counts);

impl<'a> Open<'a> {
    fn new(counts: &'a Counts) -> Self {
        counts.connections.fetch_add(1, Ordering::Relaxed);
        counts.open.fetch_add(1, Ordering::Relaxed);
        Open(counts)
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn connection(client: TcpStream, state: Arc<State>, stop: Shutdown) {
    let _open = Open::new(&state.counts);
    let target = *state.target.lock();
    let Some(target) = target else { return };
    let Ok(target) = TcpStream::connect(target).await else { return };
    let _ = client.set_nodelay(true).and_then(|()| target.set_nodelay(true));
    let there = direction(client.clone(), target.clone(), &state, |flows| flows.to_target);
    let back = direction(target, client, &state, |flows| flows.to_client);
    let both = async {
        future::zip(there, back).await;
    };
    future::or(both, stop.wait()).await;
}

/// Bytes that were read, or the end of the stream, and when they are due.
type Chunk = (Duration, Option<Vec<u8>>);

async fn direction(from: TcpStream, to: TcpStream, state: &State, flow: impl Fn(&Flows) -> Flow) {
    // Unbounded, so that a delay does not slow the sender down.
    let (sender, receiver) = async_channel::unbounded();
    let flow = || flow(&state.flows.lock());
    future::zip(read(from, state, &flow, sender), write(to, state, &flow, receiver)).await;
}

async fn read(mut from: TcpStream, state: &State, flow: &impl Fn() -> Flow, sender: Sender<Chunk>) {
    let mut buffer = vec![0; CHUNK];
    loop {
        let length = from.read(&mut buffer).await.unwrap_or(0);
        let delay = match flow() {
            Flow::Delay(delay) => {
                state.counts.delayed.fetch_add(length as u64, Ordering::Relaxed);
                delay
            }
            Flow::Pass | Flow::Drop => Duration::ZERO,
        };
        let bytes = (length > 0).then(|| buffer[..length].to_vec());
        if sender.send((runtime::now() + delay, bytes)).await.is_err() || length == 0 {
            return;
        }
    }
}

async fn write(
    mut to: TcpStream,
    state: &State,
    flow: &impl Fn() -> Flow,
    receiver: Receiver<Chunk>,
) {
    let mut is_lossy = false;
    while let Ok((due, bytes)) = receiver.recv().await {
        let wait = due.saturating_sub(runtime::now());
        if !wait.is_zero() {
            runtime::sleep(wait).await;
        }
        is_lossy |= flow() == Flow::Drop;
        match bytes {
            Some(bytes) if is_lossy => {
                state.counts.dropped.fetch_add(bytes.len() as u64, Ordering::Relaxed);
            }
            // The end is lost, too: this side stays open until the forwarder stops.
            None if is_lossy => future::pending().await,
            None => {
                let _ = to.shutdown(Close::Write);
                return;
            }
            Some(bytes) => {
                // The other side may have closed the connection.
                if to.write_all(&bytes).await.is_err() {
                    return;
                }
                state.counts.passed.fetch_add(bytes.len() as u64, Ordering::Relaxed);
                state.counts.pieces.fetch_add(1, Ordering::Relaxed);
                if !wait.is_zero() {
                    state.counts.late.fetch_add(bytes.len() as u64, Ordering::Relaxed);
                }
            }
        }
    }
}
