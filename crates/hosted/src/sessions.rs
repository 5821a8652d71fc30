//! Server side of the connections of agents and other entries to the owner.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use peridotfold_core::flow::message::{
    AgentMessage, EntryRequest, Greeting, OwnerMessage, OwnerReply, Stored,
};
use peridotfold_wire::limits::Slot;
use peridotfold_wire::runtime;
use smol::net::TcpStream;

use crate::connection::{self, MessageReader, Outbox};
use crate::entry::{Entry, Role};
use crate::explain;
use crate::owner_service::OwnerService;
use crate::ports::Store;

/// Time without a message after which a peer is taken as lost. Peers send a ping at least every
/// second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Maximum time to wait for the greeting, the first message on a connection.
const GREETING_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves one connection. Redirects the client if this entry is not the owner. A connection that has sent no
/// greeting is closed when there are too many.
pub(crate) async fn serve<S: Store>(
    stream: TcpStream,
    peer: SocketAddr,
    slot: Slot,
    entry: Arc<Entry<S>>,
) {
    future::or(slot.closed(), serve_client(stream, peer, &slot, entry)).await;
}

/// Reads the greeting and serves the client according to it.
async fn serve_client<S: Store>(
    stream: TcpStream,
    peer: SocketAddr,
    slot: &Slot,
    entry: Arc<Entry<S>>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::warn!(event = "nodelay_not_set", %peer, %error);
    }
    let mut reader = MessageReader::new(stream.clone(), peer.to_string());
    let greeting = match reader.receive_first::<Greeting>(GREETING_TIMEOUT, slot).await {
        Ok(greeting) => greeting,
        Err(error) => {
            if let Some(dropped) = entry.refused.admit() {
                tracing::info!(event = "connection_refused", %peer, %error, dropped);
            }
            return;
        }
    };
    slot.keep();
    let (role, owner) = entry.role();
    match (role, greeting) {
        (_, Greeting::Routes { version }) => {
            let reply = entry.view.lock().reply(runtime::now(), version);
            let outbox = connection::start_writer(stream, peer.to_string());
            send(&outbox, reply, reader.peer());
        }
        (role, Greeting::Explain { job }) => {
            let reply = explain::answer(&entry, role, owner, &job);
            let outbox = connection::start_writer(stream, peer.to_string());
            send(&outbox, reply, reader.peer());
        }
        (Role::Owner(service), Greeting::Agent { node }) => {
            serve_agent(stream, reader, &service, &node).await
        }
        (Role::Owner(service), Greeting::Entry { node, address }) => {
            tracing::info!(event = "entry_connected", node, %address);
            let outbox = connection::start_writer(stream, reader.peer().to_owned());
            service.add_entry(address, outbox.clone());
            serve_entry(&outbox, reader, address, &service, &entry).await;
            service.remove_entry(address, &outbox);
            tracing::info!(event = "entry_lost", node, %address);
        }
        (_, Greeting::Agent { .. }) => {
            let outbox = connection::start_writer(stream, peer.to_string());
            send(&outbox, OwnerMessage::Redirect { owner }, reader.peer());
        }
        (_, Greeting::Entry { .. }) => {
            let outbox = connection::start_writer(stream, peer.to_string());
            send(&outbox, OwnerReply::Redirect { owner }, reader.peer());
        }
    }
}

/// Queues a message; logs it as dropped if the connection is closed or its queue is full.
fn send<T>(outbox: &Outbox<T>, message: T, peer: &str) {
    if outbox.try_send(message).is_err() {
        tracing::info!(event = "answer_dropped", peer);
    }
}

/// Passes the messages of an agent to the owner until the connection or the ownership ends.
async fn serve_agent(
    stream: TcpStream,
    mut reader: MessageReader,
    service: &OwnerService,
    node: &str,
) {
    let outbox = connection::start_writer(stream, reader.peer().to_owned());
    let (slot, session) = service.open_session(node, outbox);
    loop {
        let received = future::or(
            async { Some(reader.receive::<AgentMessage>(SILENCE_TIMEOUT).await) },
            async {
                service.ended.wait().await;
                None
            },
        );
        match received.await {
            Some(Ok(messages)) => service.update(|owner, now| {
                for message in messages {
                    owner.receive(now, slot, session, message);
                }
            }),
            Some(Err(error)) => {
                tracing::info!(event = "agent_connection_lost", node, %error);
                break;
            }
            None => break,
        }
    }
    service.close_session(slot, session);
}

/// Answers the requests of another entry until the connection or the ownership ends.
async fn serve_entry<S: Store>(
    outbox: &Outbox<OwnerReply>,
    mut reader: MessageReader,
    address: SocketAddr,
    service: &Arc<OwnerService>,
    entry: &Arc<Entry<S>>,
) {
    loop {
        let received = future::or(
            async { Some(reader.receive::<EntryRequest>(SILENCE_TIMEOUT).await) },
            async {
                service.ended.wait().await;
                None
            },
        );
        let messages = match received.await {
            Some(Ok(messages)) => messages,
            Some(Err(error)) => {
                tracing::info!(event = "entry_connection_lost", peer = reader.peer(), %error);
                return;
            }
            None => return,
        };
        for message in messages {
            match message {
                EntryRequest::StoreReached => service.store_answers(address),
                request => answer_request(request, service, entry, outbox, reader.peer()),
            }
        }
    }
}

/// Answers one request of another entry.
fn answer_request<S: Store>(
    request: EntryRequest,
    service: &Arc<OwnerService>,
    entry: &Arc<Entry<S>>,
    outbox: &Outbox<OwnerReply>,
    peer: &str,
) {
    match request {
        // Without a valid lease, another owner may have newer state.
        EntryRequest::State { .. } | EntryRequest::Waiting { .. }
            if !service.read(|owner, now| owner.is_valid(now)) => {}
        // Handled with the connection, which knows the entry's address.
        EntryRequest::StoreReached => {}
        EntryRequest::Ping => {
            let (is_valid, short) =
                service.read(|owner, now| (owner.is_valid(now), owner.short_services(now)));
            send(outbox, OwnerReply::Pong { entries: service.entries(), is_valid, short }, peer);
        }
        EntryRequest::Admit { query, job, demand } => {
            let retry_after = service.update(|owner, now| owner.admit(now, job, &demand));
            send(outbox, OwnerReply::Admission { query, retry_after }, peer);
        }
        EntryRequest::State { query, job } => {
            let state = service.read(|owner, _| owner.phase(job));
            send(outbox, OwnerReply::State { query, state }, peer);
        }
        EntryRequest::Waiting { query, queue } => {
            let count = Some(service.read(|owner, _| owner.waiting(&queue)));
            send(outbox, OwnerReply::Waiting { query, count }, peer);
        }
        EntryRequest::Submit { query, .. } | EntryRequest::Cancel { query, .. }
            if entry.is_store_down() =>
        {
            send(outbox, OwnerReply::Stored { query, outcome: Stored::No }, peer);
        }
        EntryRequest::Submit { query, job, record } => {
            let (entry, outbox, peer) = (entry.clone(), outbox.clone(), peer.to_owned());
            runtime::spawn(async move {
                let outcome = entry.store_job(job, record).await;
                send(&outbox, OwnerReply::Stored { query, outcome }, &peer);
            })
            .detach();
        }
        EntryRequest::Cancel { query, job } => {
            let (entry, outbox, peer) = (entry.clone(), outbox.clone(), peer.to_owned());
            runtime::spawn(async move {
                let outcome = entry.store_cancel(job).await;
                send(&outbox, OwnerReply::Stored { query, outcome }, &peer);
            })
            .detach();
        }
    }
}
