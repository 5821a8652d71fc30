//! An entry or agent of the hosted roles as a real process, and clients that send it requests they do not finish.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use http::{Method, StatusCode};
use parking_lot::Mutex;
use peridotfold_soak::callers::{HOST, PREFIX};
use peridotfold_soak::configurations::Configurations;
use peridotfold_soak::crowd::{job, Crowd, Sending};
use peridotfold_soak::process::Process;
use peridotfold_soak::store::Store;
use peridotfold_soak::usage::{larger, until_idle, usage_of, Usage};
use peridotfold_wire::body::Body;
use peridotfold_wire::http_client::HttpClient;
use peridotfold_wire::runtime;
use serde_json::json;
use smol::net::TcpStream;

/// Time after which clients that the entry does not read from stop sending.
const CROWD_TIME: Duration = Duration::from_secs(20);
/// Time limit of one try of an ordinary request, and the number of tries.
const TRY_TIMEOUT: Duration = Duration::from_secs(15);
const TRIES: usize = 5;
/// Time for an entry to start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Lines of the log that a failed check prints.
const LOG_END: usize = 30;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Limits in the settings of a process, and the bounds of a test.
#[derive(Debug, Clone, Copy)]
pub struct Machine {
    pub memory_mb: u64,
    pub descriptors: usize,
    pub grace_s: u64,
}

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Entry,
    Agent,
}

/// A process with its store. Tests that use one run one at a time.
pub struct Node {
    /// Address for callers of an entry, or for the reports of an agent's worker.
    pub clients: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
    pub internal: SocketAddr,
    pub process: Process,
    role: Role,
    machine: Machine,
    dir: tempfile::TempDir,
    _store: Store,
    _turn: smol::lock::MutexGuard<'static, ()>,
}

impl Node {
    /// Starts a store with a configuration, and an entry with the limits of `machine`.
    pub async fn entry(machine: Machine) -> Self {
        Node::start(Role::Entry, machine).await
    }

    /// Starts a store with a configuration, and a process with the limits of `machine`.
    pub async fn start(role: Role, machine: Machine) -> Self {
        static TURN: smol::lock::Mutex<()> = smol::lock::Mutex::new(());
        let turn = TURN.lock().await;
        let dir = tempfile::tempdir().expect("a directory");
        let store = Store::start().await.expect("a store");
        Configurations::default().publish(&store);
        let ip = [127, 90, fastrand::u8(..), fastrand::u8(1..)];
        let address = |port| SocketAddr::from((ip, port));
        let settings = json!({
            "NodeName": "node-0", "Zone": "zone-0", "Ip": address(0).ip(), "Orders": "call",
            "InternalPortRange": [7_120, 7_135],
            "ListenAddresses": { "Front": address(7_101), "Ready": address(7_102),
                                 "Control": address(7_103) },
            "Service": "svc", "app": address(7_104),
            "platform": { "Address": store.address },
            "Limits": { "CpuShare": 1.0, "MemoryMb": machine.memory_mb,
                        "FileDescriptors": machine.descriptors },
            "Bounds": { "MaxHoldMs": 6_000, "status_s": 120, "RemoteSlowdown": 1.5,
                        "GracePeriodS": machine.grace_s },
        });
        let path = dir.path().join("node.json");
        std::fs::write(&path, settings.to_string()).expect("settings");
        let program = env!("CARGO_BIN_EXE_peridotfold").into();
        let log = dir.path().join("node.log");
        let (name, clients) = match role {
            Role::Entry => ("entry", address(7_101)),
            Role::Agent => ("agent", address(7_103)),
        };
        let process = Process::new("node-0", program, name, path, log, 7_105);
        process.start().expect("the process starts");
        let node = Node {
            clients,
            readiness: address(7_102),
            metrics: address(7_105),
            internal: address(7_120),
            process,
            role,
            machine,
            dir,
            _store: store,
            _turn: turn,
        };
        let ready = async {
            while node.try_request().await != Some(StatusCode::OK) {
                runtime::sleep(POLL_INTERVAL).await;
            }
        };
        assert!(within(START_TIMEOUT, ready).await.is_some(), "start");
        node
    }

    /// Returns the lines that the entry has logged.
    pub fn log(&self) -> Vec<String> {
        let log = std::fs::read_to_string(self.log_path()).expect("a log");
        log.lines().map(str::to_owned).collect()
    }

    fn log_path(&self) -> std::path::PathBuf {
        Path::new(self.dir.path()).join("node.log")
    }

    /// Sends a GET request on a connection of its own.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Option<StatusCode> {
        let client = HttpClient::default();
        let answer = client.simple(address, Method::GET, path, "", TRY_TIMEOUT).await;
        answer.ok().map(|answer| answer.status())
    }

    /// Returns the body of the response to a GET request.
    pub async fn text(&self, address: SocketAddr, path: &str) -> String {
        let client = HttpClient::default();
        let answer = client.simple(address, Method::GET, path, "", TRY_TIMEOUT).await;
        String::from_utf8_lossy(answer.expect("an answer").body()).into_owned()
    }

    /// Sends an ordinary request of a client on a new connection: a job, or a report.
    async fn try_request(&self) -> Option<StatusCode> {
        match self.role {
            Role::Entry => post(self.clients, job(0)).await,
            Role::Agent => put_report(self.clients).await,
        }
    }

    /// Sends an ordinary request as often as clients try. Returns the last status.
    pub async fn request(&self) -> Option<StatusCode> {
        let mut status = None;
        for _ in 0..TRIES {
            status = self.try_request().await;
            match status {
                Some(StatusCode::OK) => break,
                _ => runtime::sleep(Duration::from_secs(1)).await,
            }
        }
        status
    }

    /// Reads the peak memory of the process and the number of its open descriptors; `None` once it has
    /// ended.
    pub fn usage(&self) -> Option<Usage> {
        usage_of(self.process.id()?)
    }

    /// Plays a crowd and checks the bounds of the machine: the process lives, stays within its memory and
    /// descriptors, and serves an ordinary request beside the crowd and after it.
    pub async fn withstands(&self, clients: usize, send: impl Fn(usize) -> Sending) {
        let crowd = Crowd::start(self.clients, clients, send);
        let beside = self.observe(&crowd).await;
        drop(crowd);
        let after = self.request().await;
        self.check_bounds(self.peak(beside.0));
        self.check_served(beside.1, "an ordinary request beside the crowd");
        self.check_served(after, "an ordinary request after the crowd");
    }

    /// Waits until the clients have sent what they send, and sends an ordinary request beside
    /// them. Returns the peak usage and the status of the request.
    pub async fn observe(&self, crowd: &Crowd) -> (Usage, Option<StatusCode>) {
        let arriving = async {
            while !crowd.is_sent() {
                runtime::sleep(POLL_INTERVAL).await;
            }
            if let Some(id) = self.process.id() {
                until_idle(id).await;
            }
        };
        let requesting = async {
            within(CROWD_TIME, arriving).await;
            self.request().await
        };
        let peak = Mutex::new(Usage::default());
        let sampling = async {
            loop {
                let before = *peak.lock();
                *peak.lock() = self.peak(before);
                runtime::sleep(POLL_INTERVAL).await;
            }
        };
        let status = future::or(requesting, sampling).await;
        let peak = *peak.lock();
        (self.peak(peak), status)
    }

    /// Checks the status of an ordinary request, and prints the end of the log if it was not served.
    pub fn check_served(&self, status: Option<StatusCode>, request: &str) {
        let lines = self.log();
        let end = lines.len().saturating_sub(LOG_END);
        assert_eq!(status, Some(StatusCode::OK), "{request}, log: {:#?}", &lines[end..]);
    }

    /// Checks that the process lives and stayed within the bounds of its machine.
    pub fn check_bounds(&self, peak: Usage) {
        assert_eq!(self.process.own_end(), None, "the process ended");
        let memory = self.machine.memory_mb * 1_000_000;
        println!("peak {peak:?} of {:?}", self.machine);
        assert!(peak.memory_bytes <= memory, "{peak:?} is over {:?}", self.machine);
        assert!(
            peak.descriptors <= self.machine.descriptors,
            "{peak:?} is over {:?}",
            self.machine
        );
    }

    /// Returns the larger of `before` and the current usage.
    pub fn peak(&self, before: Usage) -> Usage {
        larger(before, self.usage().unwrap_or(before))
    }
}

/// Submits a job on a new connection; `None` without an answer.
pub async fn post(address: SocketAddr, body: Bytes) -> Option<StatusCode> {
    let job = fastrand::u64(..);
    let request = http::Request::builder()
        .method(Method::POST)
        .uri(format!("{PREFIX}{job:016x}"))
        .header(http::header::HOST, HOST)
        .body(Body::full(body))
        .ok()?;
    let answer = HttpClient::default().exchange(address, request, TRY_TIMEOUT).await;
    answer.ok().map(|answer| answer.status())
}

/// Reports a worker on a new connection; returns `None` without an answer.
async fn put_report(address: SocketAddr) -> Option<StatusCode> {
    static SEQUENCE: AtomicU64 = AtomicU64::new(1);
    let report = json!({
        "Service": "svc", "Address": "127.0.0.1:9", "Zone": "zone-0", "Version": "v1", "Slots": 1,
        "State": "ready", "ColdRemainingMs": 0, "Labels": [], "ClockMs": 1_000,
        "Capacity": { "Cpu": 1_000, "MemoryRequestMb": 1_000, "Gpu": 0 },
        "Sequence": SEQUENCE.fetch_add(1, Ordering::Relaxed),
    });
    let client = HttpClient::default();
    let body = report.to_string();
    let answer = client.simple(address, Method::PUT, "/minions/i-1", body, TRY_TIMEOUT).await;
    answer.ok().map(|answer| answer.status())
}

/// Sends bytes on a new connection, without its end, and reads the response until the connection ends or
/// a whole head has arrived. Returns the text received.
pub async fn response_to(address: SocketAddr, bytes: &[u8]) -> String {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        // The entry may refuse the request before all of it is sent.
        let _ = stream.write_all(bytes).await;
        let mut text = Vec::new();
        let mut part = [0; 1024];
        while let Ok(count @ 1..) = stream.read(&mut part).await {
            text.extend_from_slice(&part[..count]);
            if text.windows(4).any(|end| end == b"\r\n\r\n") {
                break;
            }
        }
        Some(String::from_utf8_lossy(&text).into_owned())
    };
    within(TRY_TIMEOUT, exchange).await.flatten().unwrap_or_default()
}

/// Runs `work` for at most `limit`.
pub async fn within<T>(limit: Duration, work: impl std::future::Future<Output = T>) -> Option<T> {
    let work = async { Some(work.await) };
    future::or(work, async {
        runtime::sleep(limit).await;
        None
    })
    .await
}

/// Sends bytes in small parts with pauses, longer in all than any limit of an idle connection, and returns
/// the start of the response.
pub async fn slowly(stream: &mut TcpStream, bytes: &[u8]) -> String {
    const PARTS: usize = 3;
    const PAUSE: Duration = Duration::from_secs(4);
    for part in bytes.chunks(bytes.len().div_ceil(PARTS)) {
        if stream.write_all(part).await.is_err() {
            break;
        }
        runtime::sleep(PAUSE).await;
    }
    let mut text = [0; 64];
    let count = within(TRY_TIMEOUT, stream.read(&mut text)).await.and_then(Result::ok).unwrap_or(0);
    String::from_utf8_lossy(&text[..count]).into_owned()
}
