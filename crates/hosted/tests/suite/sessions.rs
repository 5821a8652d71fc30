//! Sessions of agents with the owner, on loopback connections.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use peridotfold_core::flow::message::{AgentMessage, Greeting, OwnerMessage, Pressure};
use peridotfold_hosted::records::{self, Lock};
use peridotfold_wire::{frame, runtime};
use smol::net::TcpStream;

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
