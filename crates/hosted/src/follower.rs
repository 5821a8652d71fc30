//! Connection of an entry to the owner, over which the entry forwards requests.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use futures_lite::future;
use parking_lot::Mutex;
use peridotfold_core::flow::intake::gate::ShortageReport;
use peridotfold_core::flow::message::{EntryRequest, Greeting, OwnerReply};
use peridotfold_wire::error::WireError;
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::Shutdown;

use crate::connection::{self, MessageReader, Outbox};
use crate::directory;
use crate::ports::Store;

/// Interval between pings to the owner.
const PING_INTERVAL: Duration = Duration::from_millis(800);
/// Time without a message after which the owner is taken as lost: two missed pongs.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Timeout of a request to an entry for the owner's address.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends requests to the owner and matches the replies by query number.
#[derive(Debug)]
pub(crate) struct Follower {
    outbox: Outbox<EntryRequest>,
    /// Receivers of the replies by query number.
    pending: Mutex<HashMap<u64, Sender<OwnerReply>>>,
    /// Number of the next request.
    next_query: AtomicU64,
    /// The services that the owner last reported as short of capacity.
    short: Mutex<ShortageReport>,
}

/// Reason for which a connection to a supposed owner ended.
#[derive(Debug)]
pub(crate) enum DisconnectReason {
    /// The connection failed.
    Lost(WireError),
    /// The peer is not the owner; contains the owner's address if the peer knows it.
    Redirected(Option<SocketAddr>),
    /// The owner of `epoch` has offered the ownership to this entry.
    Offered { epoch: u32 },
    /// This process is shutting down.
    Shutdown,
}

impl fmt::Display for DisconnectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DisconnectReason::Lost(error) => error.fmt(f),
            DisconnectReason::Redirected(owner) => {
                write!(f, "the peer is not the owner; owner={owner:?}")
            }
            DisconnectReason::Offered { epoch } => {
                write!(f, "the owner gives the ownership up; epoch={epoch}")
            }
            DisconnectReason::Shutdown => f.write_str("shutdown"),
        }
    }
}

impl Follower {
    /// Sends a request and waits for the reply. Returns `None` if none arrives within `timeout`.
    pub(crate) async fn request(
        &self,
        timeout: Duration,
        request: impl FnOnce(u64) -> EntryRequest,
    ) -> Option<OwnerReply> {
        let query = self.next_query.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = async_channel::bounded(1);
        self.pending.lock().insert(query, sender);
        let sent = self.outbox.try_send(request(query));
        let answer = match sent {
            Err(_) => None,
            Ok(()) => {
                future::or(async { receiver.recv().await.ok() }, async {
                    runtime::sleep(timeout).await;
                    None
                })
                .await
            }
        };
        self.pending.lock().remove(&query);
        answer
    }

    /// Tells whether the owner is to be asked for the admission of jobs of a service.
    pub(crate) fn is_short(&self, service: &str) -> bool {
        self.short.lock().names(runtime::now(), service)
    }

    /// Passes a reply to the caller that waits for it.
    fn resolve(&self, query: u64, answer: OwnerReply) {
        if let Some(sender) = self.pending.lock().remove(&query) {
            // The caller may have timed out.
            let _ = sender.try_send(answer);
        }
    }
}

/// Asks the entry at `peer` for the address of the owner. Returns `None` if the entry does not
/// answer or knows no owner. `node` and `address` identify the caller.
pub(crate) async fn query_owner(
    peer: SocketAddr,
    node: &str,
    address: SocketAddr,
) -> Option<SocketAddr> {
    let asking = async {
        let stream = connection::connect(peer).await?;
        let greeting = Greeting::Entry { node: node.to_owned(), address };
        connection::send_greeting(&stream, &greeting, peer).await?;
        let outbox = connection::start_writer(stream.clone(), peer.to_string());
        if outbox.try_send(EntryRequest::Ping).is_err() {
            tracing::debug!(event = "ping_not_sent", %peer);
        }
        let mut reader = MessageReader::new(stream, peer.to_string());
        reader.receive_one::<OwnerReply>(QUERY_TIMEOUT).await
    };
    match asking.await {
        Ok(OwnerReply::Redirect { owner }) => owner,
        Ok(OwnerReply::Pong { is_valid: true, .. }) => Some(peer),
        Ok(_) => None,
        Err(error) => {
            tracing::info!(event = "entry_not_asked", %peer, %error);
            None
        }
    }
}

/// Connects to `owner` and keeps the connection until it ends. Each pong of the owner calls
/// `on_pong` with the follower and the entries that are connected to the owner.
pub(crate) async fn run<S: Store>(
    store: &S,
    owner: SocketAddr,
    node: &str,
    address: SocketAddr,
    shutdown: &Shutdown,
    on_pong: impl Fn(&Arc<Follower>, Vec<SocketAddr>),
) -> DisconnectReason {
    let stream = match connection::connect(owner).await {
        Ok(stream) => stream,
        Err(error) => return DisconnectReason::Lost(error),
    };
    let greeting = Greeting::Entry { node: node.to_owned(), address };
    if let Err(error) = connection::send_greeting(&stream, &greeting, owner).await {
        return DisconnectReason::Lost(error);
    }
    let outbox = connection::start_writer(stream.clone(), owner.to_string());
    let follower = Arc::new(Follower {
        outbox: outbox.clone(),
        pending: Mutex::new(HashMap::new()),
        next_query: AtomicU64::new(1),
        short: Mutex::default(),
    });
    let pinging = async {
        loop {
            if outbox.try_send(EntryRequest::Ping).is_err() {
                future::pending::<()>().await;
            }
            runtime::sleep(PING_INTERVAL).await;
        }
    };
    let (probe_sender, probes) = async_channel::bounded(1);
    // Beside the reading, which must not wait for the store.
    let probing = async {
        while probes.recv().await.is_ok() {
            let is_reached = matches!(directory::read_lock(store).await, Ok(Some(_)));
            if is_reached && outbox.try_send(EntryRequest::StoreReached).is_err() {
                break;
            }
        }
        future::pending::<DisconnectReason>().await
    };
    let reading = async {
        let mut reader = MessageReader::new(stream, owner.to_string());
        loop {
            match reader.receive::<OwnerReply>(SILENCE_TIMEOUT).await {
                Err(error) => return DisconnectReason::Lost(error),
                Ok(answers) => {
                    for answer in answers {
                        match answer {
                            OwnerReply::Redirect { owner } => {
                                return DisconnectReason::Redirected(owner)
                            }
                            OwnerReply::Pong { entries, is_valid, short } => {
                                *follower.short.lock() = ShortageReport::new(runtime::now(), short);
                                on_pong(&follower, entries);
                                // If no process holds the lock, this entry may claim it.
                                if !is_valid && directory::is_replaced(store, owner, true).await {
                                    return DisconnectReason::Redirected(None);
                                }
                            }
                            OwnerReply::Probe => {
                                // If the channel is full, an earlier probe is not answered yet.
                                let _ = probe_sender.try_send(());
                            }
                            OwnerReply::HandOver { epoch } => {
                                return DisconnectReason::Offered { epoch }
                            }
                            OwnerReply::State { query, .. }
                            | OwnerReply::Waiting { query, .. }
                            | OwnerReply::Admission { query, .. }
                            | OwnerReply::Stored { query, .. } => follower.resolve(query, answer),
                        }
                    }
                }
            }
        }
    };
    let stopping = async {
        shutdown.wait().await;
        DisconnectReason::Shutdown
    };
    future::or(
        future::or(reading, probing),
        future::or(stopping, async {
            pinging.await;
            DisconnectReason::Shutdown
        }),
    )
    .await
}
