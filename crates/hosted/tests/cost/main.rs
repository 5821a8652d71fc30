//! Cost of the owner's process: memory for each connection, and CPU time while records wait to be
//! written. A test binary of its own, because the tests measure the whole process.

#[path = "../suite/support.rs"]
#[allow(dead_code, reason = "the suite uses the rest")]
mod support;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Once};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use peridotfold_core::flow::message::{
    AgentMessage, End, EndKind, Greeting, OwnerMessage, WorkerInfo,
};
use peridotfold_core::flow::model::Step;
use peridotfold_core::flow::model::TaskId;
use peridotfold_core::resources::Resources;
use peridotfold_hosted::entry::Entry;
use peridotfold_hosted::records;
use peridotfold_wire::shutdown::Trigger;
use peridotfold_wire::{frame, runtime, shutdown};
use smol::net::TcpStream;
use support::{settings, spec, MemoryStore};

/// Memory that an owner of 240 workers and 54 other entries may use, spread over its connections:
/// 60 MB in all.
const MAX_CONNECTION_BYTES: u64 = 60_000_000 / 294;
/// Time to wait for the entry to become the owner.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

/// Unit of the figures in /proc/self/statm.
const PAGE_BYTES: u64 = 4096;

/// Held by each test, because both measure the process.
static PROCESS: Mutex<()> = Mutex::new(());

/// Starts an entry that becomes the owner.
async fn start_owner(store: &MemoryStore) -> (SocketAddr, Trigger) {
    static POOL: Once = Once::new();
    POOL.call_once(|| runtime::start_threads(2));
    let free = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).unwrap();
    let entry = Arc::new(Entry::new(settings("owner", free), store.clone()));
    let (stop, stopping) = shutdown::channel();
    runtime::spawn(entry.run(stopping.clone(), stopping)).detach();
    let started_at = Instant::now();
    while store.peek(records::LOCK).is_none() {
        assert!(started_at.elapsed() < CLAIM_TIMEOUT, "no owner");
        runtime::sleep(Duration::from_millis(10)).await;
    }
    (free, stop)
}

/// An agent's end of a connection to the owner.
struct Agent {
    stream: TcpStream,
    buffer: BytesMut,
}

impl Agent {
    /// Connects and waits for the owner's welcome, while the owner may still be starting.
    async fn connect(owner: SocketAddr, node: &str) -> Self {
        loop {
            let stream = TcpStream::connect(owner).await.expect("the owner listens");
            let mut agent = Agent { stream, buffer: BytesMut::new() };
            agent.send(&Greeting::Agent { node: node.to_owned() }).await;
            if let OwnerMessage::Welcome { .. } = agent.receive().await {
                return agent;
            }
        }
    }

    async fn send<T: serde::Serialize>(&mut self, message: &T) {
        let bytes = frame::encode(message).expect("the message can be encoded");
        self.stream.write_all(&bytes).await.expect("the connection is open");
    }

    async fn receive(&mut self) -> OwnerMessage {
        loop {
            if let Some(message) = frame::decode(&mut self.buffer).expect("a whole message") {
                return message;
            }
            let mut chunk = [0; 4096];
            let count = self.stream.read(&mut chunk).await.expect("the connection is open");
            assert!(count > 0, "the owner closed the connection");
            self.buffer.extend_from_slice(&chunk[..count]);
        }
    }
}

/// Returns the memory of this process that is in use.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").expect("the process has a size");
    let pages: u64 = text.split(' ').nth(1).and_then(|text| text.parse().ok()).expect("a number");
    pages * PAGE_BYTES
}

/// Returns the CPU time of this process.
fn cpu_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Guards against an owner that goes over its memory limit only because many workers connect to it:
/// each connection reserved a queue of full length, 650 KB.
#[test]
fn an_idle_connection_takes_little_memory() {
    const AGENTS: u64 = 60;
    let _guard = PROCESS.lock();
    smol::block_on(async {
        let (owner, stop) = start_owner(&MemoryStore::default()).await;
        let mut agents = vec![Agent::connect(owner, "node-0").await];
        let before = resident_bytes();
        for index in 1..=AGENTS {
            agents.push(Agent::connect(owner, &format!("node-{index}")).await);
        }
        let each = resident_bytes().saturating_sub(before) / AGENTS;
        assert!(each < MAX_CONNECTION_BYTES, "{each} bytes for each connection");
        drop(stop);
    });
}

/// Guards against an owner that runs without pause from the end of a task until the write of its
/// record, which waits for others. With hundreds of workers there is always such a record.
#[test]
fn the_owner_sleeps_while_records_wait_to_be_written() {
    const TASKS: u32 = 200;
    let _guard = PROCESS.lock();
    smol::block_on(async {
        let store = MemoryStore::default();
        let mut job = spec();
        let need = Resources::new(1, 1, 0);
        job.steps = vec![Step { count: TASKS, need, ..Step::default() }];
        store.put(&records::job_key(7), records::encode(&job).expect("a job"));
        let (owner, stop) = start_owner(&store).await;
        let mut agent = Agent::connect(owner, "node").await;
        let worker = WorkerInfo {
            id: "life".to_owned(),
            service: "svc".to_owned(),
            zone: "zone".to_owned(),
            capacity: Resources::new(1_000_000, 1_000_000, 0),
            labels: Vec::new(),
            draining: false,
            remaining: None,
        };
        let report =
            AgentMessage::Attach { worker: Some(worker), running: Vec::new(), ends: Vec::new() };
        agent.send(&report).await;
        let mut starts = Vec::new();
        while starts.len() < TASKS as usize {
            if let OwnerMessage::Start(start) = agent.receive().await {
                starts.push((start.task, start.run));
            }
        }
        let (started_at, before) = (Instant::now(), cpu_time());
        // All but the last one, whose end is written at once.
        let rows: Vec<(TaskId, u32)> = starts.into_iter().skip(1).collect();
        for (index, (task, run)) in rows.into_iter().enumerate() {
            let kind = EndKind::Done;
            let number = index as u64 + 1;
            let ends = vec![End { number, task, run, kind, checkpoint: String::new() }];
            agent.send(&AgentMessage::Ends { worker: "life".to_owned(), ends }).await;
            runtime::sleep(Duration::from_millis(10)).await;
        }
        let share = (cpu_time() - before).as_secs_f64() / started_at.elapsed().as_secs_f64();
        assert!(share < 0.15, "{share:.2} cores for 100 ends a second");
        drop(stop);
    });
}
