//! A simulated agent whose answer depends on the request path.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use parking_lot::Mutex;
use peridotfold_core::message::announce::{AgentState, Announce, AnnounceReply, ServiceLoad};
use peridotfold_core::message::request::{
    BodyFrame, Cancel, CancelReply, RefuseReason, RequestHead, RequestId, ResponseHead,
};
use peridotfold_wire::error::WireError;
use peridotfold_wire::peer::{FrameReceiver, FrameSender, Peers};
use peridotfold_wire::runtime;
use peridotfold_wire::server::{Handler, MessageServer, Stream};
use peridotfold_wire::shutdown::{self, Shutdown, Trigger};

/// Time between two announcements of a simulated agent to an entry.
const PERIOD: Duration = Duration::from_millis(200);

/// The messages that a simulated agent has received.
#[derive(Default)]
pub struct Log {
    /// Heads of the received requests.
    pub heads: Vec<RequestHead>,
    /// Number of received cancellations.
    pub cancels: u32,
    /// Requests whose cancellation was answered as `NotStarted`.
    refused: BTreeSet<RequestId>,
}

/// A running simulated agent. Stops announcing itself and accepting connections when dropped.
pub struct Agent {
    /// Messages received so far.
    pub log: Arc<Mutex<Log>>,
    pub address: SocketAddr,
    pub incarnation: u64,
    _stop: Trigger,
}

/// Handles the messages of entries.
struct AgentHandler {
    /// Messages received so far, shared with the test.
    log: Arc<Mutex<Log>>,
    /// Refuses every request.
    refusing: bool,
    /// Answers cancellations as `NotStarted`, which proves that the request was not run.
    proving: bool,
}

/// Behaviour of a simulated agent.
#[derive(Clone, Copy, Default)]
pub struct Behaviour {
    /// Refuses every request as overloaded.
    pub refusing: bool,
    /// Answers cancellations as `NotStarted`.
    pub proving: bool,
}

impl Agent {
    /// Starts an agent that announces itself to `entries`.
    pub async fn start(name: &str, entries: &[SocketAddr], behaviour: Behaviour) -> Agent {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = MessageServer::bind(any).await.expect("the agent listens");
        let address = server.address();
        let log = Arc::new(Mutex::new(Log::default()));
        let (trigger, stop) = shutdown::channel();
        let Behaviour { refusing, proving } = behaviour;
        let answers = Arc::new(AgentHandler { log: log.clone(), refusing, proving });
        runtime::spawn(server.serve(answers, stop.clone())).detach();
        let incarnation = fastrand::u64(1..);
        for entry in entries {
            let announce = announce(name, incarnation, address);
            runtime::spawn(announcing(announce, entry.to_string(), stop.clone())).detach();
        }
        Agent { log, address, incarnation, _stop: trigger }
    }

    /// Returns the number of requests received.
    pub fn received(&self) -> usize {
        self.log.lock().heads.len()
    }
}

/// Builds the first announcement of an agent.
pub fn announce(name: &str, incarnation: u64, address: SocketAddr) -> Announce {
    let load = |service: &str| ServiceLoad {
        service: service.into(),
        slots: 8,
        running: 0,
        queued: 0,
        latency: Duration::from_millis(1),
    };
    Announce {
        agent: name.into(),
        incarnation,
        sequence: 1,
        rack: "rack-1".into(),
        data_centre: "dc-1".into(),
        cell: "cell-1".into(),
        address: address.to_string(),
        state: AgentState::Ready,
        services: vec![load("open"), load("closed")],
        config_version: 0,
        entries_digest: 0,
    }
}

/// Announces the agent to `entry` every [`PERIOD`] until `stop` fires.
async fn announcing(mut announce: Announce, entry: String, stop: Shutdown) {
    let peers = Peers::default();
    loop {
        announce.sequence += 1;
        let _: Result<AnnounceReply, _> =
            peers.call(&entry, "announce", &announce, Duration::from_secs(1)).await;
        if runtime::sleep_or_shutdown(PERIOD, &stop).await {
            return;
        }
    }
}

impl AgentHandler {
    fn cancel(&self, cancel: Option<Cancel>) -> CancelReply {
        let mut log = self.log.lock();
        log.cancels += 1;
        match cancel {
            Some(cancel) if self.proving => {
                log.refused.insert(cancel.id);
                CancelReply::NotStarted
            }
            _ => CancelReply::Running,
        }
    }
}

impl Handler for AgentHandler {
    async fn handle(&self, stream: Stream) -> Result<(), WireError> {
        let Stream { kind, mut receiver, responder } = stream;
        let head = match kind.as_str() {
            "request" => receiver.next::<RequestHead>().await?,
            "cancel" => {
                let cancel: Option<Cancel> = receiver.next().await?;
                return responder.reply(&self.cancel(cancel)).await;
            }
            kind => {
                return responder.refuse(StatusCode::NOT_FOUND, format!("unknown kind {kind}"));
            }
        };
        let Some(head) = head else { return Ok(()) };
        if self.log.lock().refused.contains(&head.id) {
            let retry_after = Duration::ZERO;
            let reason = RefuseReason::Duplicate;
            return responder.reply(&ResponseHead::NotRun { reason, retry_after }).await;
        }
        self.log.lock().heads.push(head.clone());
        if self.refusing {
            let retry_after = Duration::from_millis(1_500);
            let reason = RefuseReason::Overloaded;
            return responder.reply(&ResponseHead::NotRun { reason, retry_after }).await;
        }
        let mut sender = responder.start()?;
        match head.path.split('?').next().unwrap_or_default() {
            "/hang" => receiver.next::<BodyFrame>().await.map(|_| ())?,
            "/echo" => return echo(receiver, sender).await,
            "/cut" => {
                sender.send(&answer(200)).await?;
                sender.send(&BodyFrame::Data(Bytes::from_static(b"part"))).await?;
                // Finishes the stream without the end frame of the body.
                return sender.finish();
            }
            "/slow" => {
                runtime::sleep(Duration::from_millis(800)).await;
                return answer_whole(&mut sender).await;
            }
            _ => return answer_whole(&mut sender).await,
        }
        // Keeps the stream open without an answer.
        let _ = receiver.next::<BodyFrame>().await;
        runtime::sleep(Duration::from_secs(20)).await;
        Ok(())
    }
}

async fn answer_whole(sender: &mut FrameSender) -> Result<(), WireError> {
    sender.send(&answer(200)).await?;
    sender.send(&BodyFrame::Data(Bytes::from_static(b"answer"))).await?;
    sender.send(&BodyFrame::End).await?;
    sender.finish()
}

async fn echo(mut receiver: FrameReceiver, mut sender: FrameSender) -> Result<(), WireError> {
    sender.send(&answer(200)).await?;
    while let Some(frame) = receiver.next::<BodyFrame>().await? {
        sender.send(&frame).await?;
        if frame == BodyFrame::End {
            return sender.finish();
        }
    }
    Ok(())
}

fn answer(status: u16) -> ResponseHead {
    let header = |name: &'static str, value: &'static str| {
        (Bytes::from_static(name.as_bytes()), Bytes::from_static(value.as_bytes()))
    };
    let headers = vec![header("x-upstream", "yes"), header("connection", "x-private")];
    ResponseHead::Answer { status, headers, replayed: false }
}
