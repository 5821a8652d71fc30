//! Sessions of agents with the owner, on loopback connections.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use peridotfold_core::flow::message::{AgentMessage, Greeting, OwnerMessage, OwnerReply, Pressure};
use peridotfold_core::flow::node::{Call, Outcome};
use peridotfold_hosted::agent::Agent;
use peridotfold_hosted::ports::{Worker, WorkerAnswer};
use peridotfold_hosted::records::{self, Lock};
use peridotfold_wire::{frame, runtime, shutdown};
use smol::net::{TcpListener, TcpStream};

use crate::ownership::{start, wait_for_owner};
use crate::support::MemoryStore;

/// Opens a connection as the agent of `node` and waits for the welcome.
async fn connect(owner: SocketAddr, node: &str) -> TcpStream {
    let mut stream = TcpStream::connect(owner).await.unwrap();
    let greeting = frame::encode(&Greeting::Agent { node: node.to_owned() }).unwrap();
    stream.write_all(&greeting).await.unwrap();
    let mut buffer = BytesMut::new();
    loop {
        match frame::decode::<OwnerMessage>(&mut buffer).unwrap() {
            Some(OwnerMessage::Welcome { .. }) => return stream,
            Some(other) => panic!("{other:?} before the welcome"),
            None => {}
        }
        let mut chunk = [0; 1_024];
        let count = stream.read(&mut chunk).await.unwrap();
        assert!(count > 0, "closed before the welcome");
        buffer.extend_from_slice(&chunk[..count]);
    }
}

/// Tells whether the owner closes a connection within two seconds while the agent pings.
async fn is_closed(mut stream: TcpStream) -> bool {
    let ping = AgentMessage::Ping {
        sent: Duration::ZERO,
        pressure: Pressure::default(),
        samples: Vec::new(),
        baselines: Vec::new(),
    };
    let ping = frame::encode(&ping).unwrap();
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_secs(2) {
        if stream.write_all(&ping).await.is_err() {
            return true;
        }
        let mut chunk = [0; 1_024];
        let read = future::or(async { Some(stream.read(&mut chunk).await) }, async {
            runtime::sleep(Duration::from_millis(100)).await;
            None
        });
        if matches!(read.await, Some(Ok(0) | Err(_))) {
            return true;
        }
    }
    false
}

/// Guards against an agent whose messages the owner ignores for seconds: the owner has read the
/// greeting of a connection that the agent had given up after that of the one in use.
#[test]
fn a_connection_whose_session_is_replaced_is_closed() {
    smol::block_on(async {
        let store = MemoryStore::default();
        let entry = start("first", &store);
        assert!(wait_for_owner(&store, "first").await);
        let owner = records::decode::<Lock>(&store.peek(records::LOCK).unwrap()).unwrap().address;
        // The entry becomes the owner shortly after it has written the lock.
        runtime::sleep(Duration::from_millis(300)).await;
        let in_use = connect(owner, "node").await;
        drop(connect(owner, "node").await);
        assert!(is_closed(in_use).await, "the connection in use stays open, and is ignored");
        drop(entry);
    });
}

/// Time within which a process has to leave a connection that went silent: the longest time-out
/// between processes, 3.5 s, and a search for the owner.
const SILENCE_BOUND: Duration = Duration::from_secs(5);

/// Returns what `work` returns; `None` if that takes longer than [`SILENCE_BOUND`].
async fn in_time<T>(work: impl std::future::Future<Output = T>) -> Option<T> {
    future::or(async { Some(work.await) }, async {
        runtime::sleep(SILENCE_BOUND).await;
        None
    })
    .await
}

/// An owner whose first connection answers the greeting and then goes silent without a reset.
struct SilentOwner {
    listener: TcpListener,
    store: MemoryStore,
}

impl SilentOwner {
    /// Starts the owner, which the store's lock names.
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let store = MemoryStore::default();
        let lock = Lock { node: "silent".to_owned(), boot: 1, address };
        store.put(records::LOCK, records::encode(&lock).unwrap());
        SilentOwner { listener, store }
    }

    /// Tells whether the process that has connected connects again in time after it got `welcome`.
    /// Its first connection stays open.
    async fn is_left(&self, welcome: bytes::Bytes) -> bool {
        let (mut first, _) = in_time(self.listener.accept()).await.expect("a connection").unwrap();
        first.write_all(&welcome).await.unwrap();
        let again = in_time(self.listener.accept()).await;
        drop(first);
        again.is_some()
    }
}

/// A worker that answers no call.
#[derive(Clone)]
struct NoWorker;

impl Worker for NoWorker {
    async fn call(&self, _call: Call) -> WorkerAnswer {
        WorkerAnswer::Other(Outcome::Unclear)
    }
}

/// Guards against an agent that keeps a connection to the owner on which nothing arrives any more. Such
/// a connection is not reset, and new ones work.
#[test]
fn an_agent_leaves_a_silent_connection_to_the_owner() {
    smol::block_on(async {
        let owner = SilentOwner::start().await;
        let agent = Agent::new("node".to_owned(), owner.store.clone(), NoWorker);
        let (stop, stopping) = shutdown::channel();
        let running = smol::spawn(agent.run(stopping));
        let welcome = OwnerMessage::Welcome { token: 1, entries: Vec::new() };
        assert!(owner.is_left(frame::encode(&welcome).unwrap()).await);
        drop((stop, running));
    });
}

/// Guards against an entry that waits for answers of the owner on a connection on which nothing
/// arrives any more.
#[test]
fn an_entry_leaves_a_silent_connection_to_the_owner() {
    smol::block_on(async {
        let owner = SilentOwner::start().await;
        let entry = start("second", &owner.store);
        let pong = OwnerReply::Pong { entries: Vec::new(), is_valid: true, short: Vec::new() };
        assert!(owner.is_left(frame::encode(&pong).unwrap()).await);
        drop(entry);
    });
}

/// Guards against an owner that counts an agent as connected whose connection has gone silent.
#[test]
fn the_owner_closes_a_silent_connection_of_an_agent() {
    smol::block_on(async {
        let store = MemoryStore::default();
        let entry = start("first", &store);
        assert!(wait_for_owner(&store, "first").await);
        let owner = records::decode::<Lock>(&store.peek(records::LOCK).unwrap()).unwrap().address;
        // The entry becomes the owner shortly after it has written the lock.
        runtime::sleep(Duration::from_millis(300)).await;
        let mut silent = connect(owner, "node").await;
        let mut chunk = [0; 1_024];
        let end = async { while silent.read(&mut chunk).await.is_ok_and(|count| count > 0) {} };
        assert!(in_time(end).await.is_some(), "the connection stays open");
        drop(entry);
    });
}
