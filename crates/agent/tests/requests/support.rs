//! Test setup: an agent with a stand-in upstream and a stand-in entry in one process.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Once};
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use peridotfold_agent::settings::Settings;
use peridotfold_agent::Agent;
use peridotfold_core::config::{Document, Service};
use peridotfold_core::message::announce::{Announce, AnnounceReply, ConfigUpdate, EntryAddress};
use peridotfold_core::message::entry::{ConfigReply, ConfigRequest};
use peridotfold_core::message::request::{
    BodyFrame, Cancel, CancelReply, RefuseReason, RequestHead, RequestId, ResponseHead,
    TraceContext,
};
use peridotfold_core::resources::Resources;
use peridotfold_standins::upstream::{Behaviour, Options, Upstream};
use peridotfold_wire::error::WireError;
use peridotfold_wire::peer::{FrameReceiver, FrameSender, Peers};
use peridotfold_wire::runtime;
use peridotfold_wire::server::{Handler, MessageServer, Stream};
use peridotfold_wire::shutdown::{self, Trigger};

/// Timeout of each wait. Far above the expected times, since it only ends a test that hangs.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
pub const SERVICE: &str = "listings";
pub const ENTRY: &str = "e1";

/// Runs a test on the thread pool.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    static POOL: Once = Once::new();
    POOL.call_once(|| runtime::start_threads(4));
    smol::block_on(test)
}

/// Waits until `condition` holds; panics with `what` after [`WAIT_LIMIT`].
pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let limit = runtime::now() + WAIT_LIMIT;
    while !condition() {
        assert!(runtime::now() < limit, "timed out: {what}");
        runtime::sleep(Duration::from_millis(2)).await;
    }
}

/// Returns a loopback address with a free port.
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns the configuration of a service with these admission limits.
pub fn service(slots: u32, queue: u32) -> Service {
    Service {
        teams: Vec::new(),
        limit: Resources::new(1000, 1024, 0),
        slots,
        connections: 60,
        queue,
        timeout_ms: 2_000,
        target_ms: 50,
    }
}

/// State of the stand-in entry, which answers announcements and configuration requests.
#[derive(Debug)]
pub struct EntryState {
    address: Mutex<Option<SocketAddr>>,
    pub announces: Mutex<Vec<Announce>>,
    /// Configuration version and service in replies to announcements.
    pub announced: Mutex<(u64, Option<Service>)>,
    /// Configuration version and service in replies to `config` messages.
    pub newest: Mutex<(u64, Option<Service>)>,
}

/// Returns the update from `version` to `config`.
fn update(config: &(u64, Option<Service>), version: u64) -> ConfigUpdate {
    if config.0 <= version {
        return ConfigUpdate::Current;
    }
    let services = config.1.iter().map(|service| (SERVICE.to_owned(), service.clone()));
    let document =
        Document { services: services.collect::<BTreeMap<_, _>>(), ..Default::default() };
    let document = Bytes::from(serde_json::to_vec(&document).unwrap());
    ConfigUpdate::Document { version: config.0, document }
}

impl EntryState {
    fn entries(&self) -> Vec<EntryAddress> {
        let address = self.address.lock().map(|address| address.to_string()).unwrap_or_default();
        vec![EntryAddress { entry: ENTRY.into(), data_centre: "dc1".into(), address }]
    }
}

struct EntryHandler(Arc<EntryState>);

impl Handler for EntryHandler {
    async fn handle(&self, mut stream: Stream) -> Result<(), WireError> {
        let state = &self.0;
        match stream.kind.as_str() {
            "announce" => {
                let announce = stream.receiver.next::<Announce>().await?.unwrap();
                let config = update(&state.announced.lock(), announce.config_version);
                state.announces.lock().push(announce);
                let entries = state.entries();
                let entries = Some(entries);
                let reply = AnnounceReply { entry: ENTRY.into(), entries, config, owner: None };
                stream.responder.reply(&reply).await
            }
            "config" => {
                let request = stream.receiver.next::<ConfigRequest>().await?.unwrap();
                let update = update(&state.newest.lock(), request.version);
                stream.responder.reply(&ConfigReply { update }).await
            }
            kind => panic!("unexpected kind {kind}"),
        }
    }
}

/// Response that the entry received to one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    Whole { status: u16, body: String, replayed: bool },
    Truncated { body: String },
    NotRun(RefuseReason, Duration),
    Unknown(String),
}

impl Reply {
    /// Returns the body of a complete answer with status 200; panics on anything else.
    pub fn whole(self) -> String {
        match self {
            Reply::Whole { status: 200, body, .. } => body,
            other => panic!("no whole answer: {other:?}"),
        }
    }

    /// Returns the reason of a refusal; panics on anything else.
    pub fn reason(&self) -> RefuseReason {
        match self {
            Reply::NotRun(reason, _) => *reason,
            other => panic!("not refused: {other:?}"),
        }
    }
}

/// A running agent with its stand-in upstream and entry.
pub struct Setup {
    pub upstream: Upstream,
    pub entry: Arc<EntryState>,
    pub agent: Agent,
    pub peers: Arc<Peers>,
    number: AtomicU64,
    _stop: Trigger,
}

/// Options of [`Setup::start`].
pub struct SetupOptions {
    /// Service in the configuration, or `None` to start without configuration.
    pub service: Option<Service>,
    pub behaviour: Behaviour,
    pub drain_grace: Duration,
    /// Address of the upstream, if not the stand-in.
    pub upstream: Option<SocketAddr>,
}

impl Default for SetupOptions {
    fn default() -> Self {
        SetupOptions {
            service: Some(service(8, 32)),
            behaviour: Behaviour { jitter: 0.0, ..Behaviour::default() },
            drain_grace: Duration::from_millis(100),
            upstream: None,
        }
    }
}

impl Setup {
    pub async fn start(plan: SetupOptions) -> Setup {
        let options = Options { behaviour: plan.behaviour, ..Options::default() };
        let upstream = Upstream::start(options).await.unwrap();
        let version = u64::from(plan.service.is_some());
        let entry = Arc::new(EntryState {
            address: Mutex::new(None),
            announces: Mutex::default(),
            announced: Mutex::new((version, plan.service.clone())),
            newest: Mutex::new((version, plan.service)),
        });
        let server = MessageServer::bind(loopback()).await.unwrap();
        let entry_address = server.address();
        *entry.address.lock() = Some(entry_address);
        let (stop, stopped) = shutdown::channel();
        runtime::spawn(server.serve(Arc::new(EntryHandler(entry.clone())), stopped)).detach();
        let settings = Settings {
            id: "agent-1".into(),
            data_centre: "dc1".into(),
            rack: "r1".into(),
            cell: "cell-1".into(),
            internal: loopback(),
            advertise: None,
            http: loopback(),
            entries: vec![entry_address],
            service: SERVICE.into(),
            upstream: plan.upstream.unwrap_or(upstream.address()),
            // Nothing listens on this port, since these tests need no worker API.
            worker: SocketAddr::from(([127, 0, 0, 1], 1)),
            drain_grace: plan.drain_grace,
        };
        let agent = Agent::start(settings).await.unwrap();
        let setup = Setup {
            upstream,
            entry,
            agent,
            peers: Arc::default(),
            number: AtomicU64::new(1),
            _stop: stop,
        };
        let shared = setup.agent.shared().clone();
        wait_until("configuration", || shared.view.version() == version).await;
        wait_until("first announcement", || !setup.entry.announces.lock().is_empty()).await;
        setup
    }

    /// Returns the head of a new request.
    pub fn head(&self, method: &str, path: &str) -> RequestHead {
        let number = self.number.fetch_add(1, Ordering::Relaxed);
        RequestHead {
            id: RequestId { entry: ENTRY.into(), incarnation: 5, number },
            agent_incarnation: self.agent.shared().incarnation,
            service: SERVICE.into(),
            method: method.into(),
            path: path.into(),
            headers: Vec::new(),
            key: None,
            timeout: WAIT_LIMIT,
            config_version: self.entry.announced.lock().0,
            trace: TraceContext { trace: 0xabc, span: 0xdef },
        }
    }

    /// Returns the head of a bid with an idempotency key.
    pub fn bid(&self, key: &str) -> RequestHead {
        let mut head = self.head("POST", "/bid");
        head.key = Some(Bytes::from(format!("team/{key}")));
        head.headers.push((Bytes::from_static(b"idempotency-key"), Bytes::from(key.to_owned())));
        head
    }

    /// Opens a request stream and sends the whole body.
    pub async fn open(&self, head: &RequestHead, body: &str) -> (FrameSender, FrameReceiver) {
        let address = self.agent.internal().to_string();
        open(&self.peers, &address, head, body).await
    }

    /// Sends a request and returns the response.
    pub async fn send(&self, head: &RequestHead, body: &str) -> Reply {
        let (_sender, receiver) = self.open(head, body).await;
        collect(receiver).await
    }

    /// Sends a request from another task.
    pub fn spawn(&self, head: RequestHead, body: &'static str) -> smol::Task<Reply> {
        let peers = self.peers.clone();
        let address = self.agent.internal().to_string();
        runtime::spawn(async move {
            let (_sender, receiver) = open(&peers, &address, &head, body).await;
            collect(receiver).await
        })
    }

    pub async fn cancel(&self, id: &RequestId) -> CancelReply {
        let address = self.agent.internal().to_string();
        let cancel = Cancel { id: id.clone() };
        self.peers.call(&address, "cancel", &cancel, WAIT_LIMIT).await.unwrap()
    }

    /// Sets the upstream's latency in milliseconds, without jitter.
    pub fn set_base_latency(&self, base_ms: f64) {
        self.upstream.set_behaviour(Behaviour { base_ms, jitter: 0.0, ..Behaviour::default() });
    }

    /// Waits until the agent has these numbers of running and queued requests.
    pub async fn wait_load(&self, running: u32, queued: u32) {
        let gate = self.agent.shared().gate.clone();
        wait_until("load", || {
            let load = gate.load();
            (load.running, load.queued) == (running, queued)
        })
        .await;
    }
}

/// Opens a request stream to `address` and sends the whole body.
pub async fn open(
    peers: &Peers,
    address: &str,
    head: &RequestHead,
    body: &str,
) -> (FrameSender, FrameReceiver) {
    let (mut sender, pending) = peers.open(address, "request", head).await.unwrap();
    if !body.is_empty() {
        sender.send(&BodyFrame::Data(Bytes::from(body.to_owned()))).await.unwrap();
    }
    sender.send(&BodyFrame::End).await.unwrap();
    sender.finish().unwrap();
    (sender, pending.receiver().await.unwrap())
}

/// Reads a response to its end.
pub async fn collect(mut receiver: FrameReceiver) -> Reply {
    let read = async {
        // A stream reset may arrive before data that was sent earlier.
        let Ok(head) = receiver.next::<ResponseHead>().await else {
            return Reply::Truncated { body: String::new() };
        };
        match head.expect("no head") {
            ResponseHead::NotRun { reason, retry_after } => Reply::NotRun(reason, retry_after),
            ResponseHead::Unknown { detail } => Reply::Unknown(detail),
            ResponseHead::Answer { status, replayed, .. } => {
                let (body, whole) = read_body(&mut receiver).await;
                match whole {
                    true => Reply::Whole { status, body, replayed },
                    false => Reply::Truncated { body },
                }
            }
        }
    };
    let late = async {
        runtime::sleep(WAIT_LIMIT).await;
        panic!("no answer within {WAIT_LIMIT:?}")
    };
    futures_lite::future::or(read, late).await
}

/// Reads body frames to the end. Returns the body and whether it was complete.
async fn read_body(receiver: &mut FrameReceiver) -> (String, bool) {
    let mut body = String::new();
    loop {
        match receiver.next::<BodyFrame>().await {
            Ok(Some(BodyFrame::Data(part))) => body.push_str(std::str::from_utf8(&part).unwrap()),
            Ok(Some(BodyFrame::End)) => return (body, true),
            Ok(None) | Err(_) => return (body, false),
        }
    }
}

/// Reads the head and the first part of an answer.
pub async fn first_part(receiver: &mut FrameReceiver) -> String {
    let head = receiver.next::<ResponseHead>().await.unwrap();
    assert!(matches!(head, Some(ResponseHead::Answer { status: 200, .. })), "{head:?}");
    match receiver.next::<BodyFrame>().await.unwrap() {
        Some(BodyFrame::Data(part)) => String::from_utf8(part.to_vec()).unwrap(),
        other => panic!("no part: {other:?}"),
    }
}

/// Reads the rest of an answer after [`first_part`]. Returns it and whether it was complete.
pub async fn rest(receiver: &mut FrameReceiver) -> (String, bool) {
    read_body(receiver).await
}
