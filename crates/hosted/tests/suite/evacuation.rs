//! Evacuated zones, from the operator's keys to the orders of the owner, on loopback connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use peridotfold_core::flow::message::{
    AgentMessage, Greeting, OwnerMessage, Pressure, Stored, WorkerInfo,
};
use peridotfold_core::flow::owner::OwnerSettings;
use peridotfold_core::resources::Resources;
use peridotfold_hosted::entry::{Entry, EntrySettings};
use peridotfold_hosted::records::{self, Lock};
use peridotfold_wire::shutdown::Trigger;
use peridotfold_wire::{frame, runtime};
use smol::net::TcpStream;

use crate::ownership::{start_entry_with, wait_for_owner};
use crate::support::{settings, spec, MemoryStore, Watches, ZONE_PREFIX};

/// Time within which an evacuation must be in force.
const BOUND: Duration = Duration::from_secs(5);
/// Time to wait for what needs a watch and a read at most.
const TIMEOUT: Duration = Duration::from_secs(10);

fn start_entry(node: &str, store: &MemoryStore) -> (Arc<Entry<MemoryStore>>, Trigger) {
    let with_bound = |address: SocketAddr| {
        let settings = settings(node, address);
        let owner = OwnerSettings { evacuation: Some(BOUND), ..settings.owner };
        EntrySettings { evacuation: Some(BOUND), owner, ..settings }
    };
    start_entry_with(store, with_bound)
}

fn key(zone: &str) -> String {
    format!("{ZONE_PREFIX}{zone}")
}

/// An agent whose worker is in a zone; it pings the owner and counts the orders to start tasks.
struct Agent {
    stream: TcpStream,
    buffer: BytesMut,
    starts: usize,
}

impl Agent {
    /// Connects to the owner in the lock and reports a worker in `zone`.
    async fn connect(store: &MemoryStore, zone: &str) -> Self {
        let lock = store.peek(records::LOCK).expect("an owner");
        let owner = records::decode::<Lock>(&lock).expect("a lock").address;
        // The entry becomes the owner shortly after it has written the lock.
        runtime::sleep(Duration::from_millis(300)).await;
        let stream = TcpStream::connect(owner).await.expect("a connection");
        let mut agent = Agent { stream, buffer: BytesMut::new(), starts: 0 };
        agent.send(&Greeting::Agent { node: format!("node-{zone}") }).await;
        let worker = WorkerInfo {
            id: format!("worker-{zone}"),
            service: "svc".to_owned(),
            zone: zone.to_owned(),
            capacity: Resources::new(64_000, 64_000, 0),
            labels: Vec::new(),
            draining: false,
            remaining: None,
        };
        let (running, ends) = (Vec::new(), Vec::new());
        agent.send(&AgentMessage::Attach { worker: Some(worker), running, ends }).await;
        agent
    }

    async fn send<M: serde::Serialize>(&mut self, message: &M) {
        self.stream.write_all(&frame::encode(message).expect("a frame")).await.expect("a peer");
    }

    /// Pings the owner and reads its messages for a time, or until `most` starts were ordered in all.
    async fn work(&mut self, time: Duration, most: usize) -> usize {
        let started_at = Instant::now();
        while started_at.elapsed() < time && self.starts < most {
            let ping = AgentMessage::Ping {
                sent: Duration::ZERO,
                pressure: Pressure::default(),
                samples: Vec::new(),
                baselines: Vec::new(),
            };
            self.send(&ping).await;
            let mut chunk = [0; 4_096];
            let read =
                future::or(async { self.stream.read(&mut chunk).await.unwrap_or(0) }, async {
                    runtime::sleep(Duration::from_millis(50)).await;
                    0
                });
            let count = read.await;
            self.buffer.extend_from_slice(&chunk[..count]);
            while let Some(message) = frame::decode::<OwnerMessage>(&mut self.buffer).unwrap() {
                self.starts += usize::from(matches!(message, OwnerMessage::Start(_)));
            }
        }
        self.starts
    }
}

/// Guards against an entry that does not read the operator's request, or misses its removal.
#[test]
fn a_zone_gets_starts_only_while_its_key_is_not_there() {
    smol::block_on(async {
        let store = MemoryStore::default();
        store.put_routes(1);
        let (entry, stop) = start_entry("first", &store);
        assert!(wait_for_owner(&store, "first").await);
        let mut agent = Agent::connect(&store, "a").await;
        assert_eq!(entry.submit(1, &spec(), TIMEOUT).await, Stored::Yes);
        assert_eq!(agent.work(TIMEOUT, 1).await, 1);
        store.put(&key("a"), Bytes::new());
        agent.work(Duration::from_millis(500), 2).await;
        assert_eq!(entry.submit(2, &spec(), TIMEOUT).await, Stored::Yes);
        assert_eq!(agent.work(Duration::from_secs(2), 2).await, 1, "the zone is evacuated");
        store.remove(&key("a"));
        assert_eq!(agent.work(BOUND, 2).await, 2, "the zone has returned");
        assert!(entry.routes().is_some(), "the configuration is read with the same watch");
        drop(stop);
    });
}

/// Guards against a successor that starts tasks in a zone that was evacuated under its predecessor.
#[test]
fn a_successor_knows_the_zones_before_its_first_start() {
    smol::block_on(async {
        let store = MemoryStore::default();
        let (_, first_stop) = start_entry("first", &store);
        assert!(wait_for_owner(&store, "first").await);
        store.put(&key("a"), Bytes::new());
        let (second, second_stop) = start_entry("second", &store.second_handle());
        runtime::sleep(Duration::from_millis(500)).await;
        assert_eq!(second.submit(1, &spec(), TIMEOUT).await, Stored::Yes);
        drop(first_stop);
        assert!(wait_for_owner(&store, "second").await);
        let mut agent = Agent::connect(&store, "a").await;
        assert_eq!(agent.work(Duration::from_secs(2), 1).await, 0, "the zone is evacuated");
        store.remove(&key("a"));
        assert_eq!(agent.work(TIMEOUT, 1).await, 1, "the zone has returned");
        drop(second_stop);
    });
}

/// Guards against an evacuation that is not in force, or does not end, because watches get no answer.
#[test]
fn a_silent_watch_delays_no_evacuation_beyond_the_bound() {
    smol::block_on(async {
        let store = MemoryStore::default();
        let (entry, stop) = start_entry("first", &store);
        assert!(wait_for_owner(&store, "first").await);
        let mut agent = Agent::connect(&store, "a").await;
        store.set_watches(Watches::Silent);
        agent.work(Duration::from_secs(2), 1).await;
        store.put(&key("a"), Bytes::new());
        agent.work(BOUND, 1).await;
        assert_eq!(entry.submit(1, &spec(), TIMEOUT).await, Stored::Yes);
        assert_eq!(agent.work(Duration::from_secs(2), 1).await, 0, "the zone is evacuated");
        store.remove(&key("a"));
        assert_eq!(agent.work(TIMEOUT, 1).await, 1, "the zone has returned");
        drop(stop);
    });
}

/// Guards against a zone that stays closed because watches were answered without the removal.
#[test]
fn a_removal_that_a_watch_has_missed_is_applied() {
    smol::block_on(async {
        let store = MemoryStore::default();
        store.put(&key("a"), Bytes::new());
        let (entry, stop) = start_entry("first", &store);
        assert!(wait_for_owner(&store, "first").await);
        let mut agent = Agent::connect(&store, "a").await;
        assert_eq!(entry.submit(1, &spec(), TIMEOUT).await, Stored::Yes);
        store.set_watches(Watches::Deaf);
        agent.work(Duration::from_millis(200), 1).await;
        store.remove(&key("a"));
        assert_eq!(agent.work(Duration::from_secs(3), 1).await, 0, "no watch tells of the removal");
        store.set_watches(Watches::Prompt);
        assert_eq!(agent.work(TIMEOUT, 1).await, 1, "the zone has returned");
        drop(stop);
    });
}

/// Guards against a zone that stays closed because no watch ever tells of the removal.
#[test]
fn a_removal_whose_event_is_lost_is_read() {
    smol::block_on(async {
        let store = MemoryStore::default();
        store.put(&key("a"), Bytes::new());
        let (entry, stop) = start_entry("first", &store);
        assert!(wait_for_owner(&store, "first").await);
        let mut agent = Agent::connect(&store, "a").await;
        assert_eq!(entry.submit(1, &spec(), TIMEOUT).await, Stored::Yes);
        assert_eq!(agent.work(Duration::from_millis(500), 1).await, 0, "the zone is evacuated");
        store.expire(&key("a"));
        assert_eq!(agent.work(TIMEOUT * 2, 1).await, 1, "the zone has returned");
        drop(stop);
    });
}
