//! Serves the connections of agents and other entries to the owner.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use peridotfold_core::flow::message::{
    AgentMessage, EntryRequest, Greeting, OwnerMessage, OwnerReply, Stored,
};
use peridotfold_wire::runtime;
use smol::net::TcpStream;

use crate::connection::{self, Inbox, Outbox};
use crate::entry::{Entry, Role};
use crate::office::Office;
use crate::ports::Store;

/// Silence after which a peer is taken to be lost; peers ask for permission each second.
const SILENCE: Duration = Duration::from_millis(3_500);
const GREETING_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves one connection.
pub(crate) async fn serve<S: Store>(stream: TcpStream, peer: SocketAddr, entry: Arc<Entry<S>>) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::warn!(event = "nodelay_not_set", %peer, %error);
    }
    let mut inbox = Inbox::new(stream.clone(), peer.to_string());
    let greeting = match inbox.receive_one::<Greeting>(GREETING_TIMEOUT).await {
        Ok(greeting) => greeting,
        Err(error) => {
            tracing::info!(event = "connection_refused", %peer, %error);
            return;
        }
    };
    let (role, owner) = entry.role();
    match (role, greeting) {
        (Role::Owner(office), Greeting::Agent { node }) => {
            agent(stream, inbox, &office, &node).await
        }
        (Role::Owner(office), Greeting::Entry { node, address }) => {
            tracing::info!(event = "entry_connected", node, %address);
            office.add_entry(address);
            follower(stream, inbox, &office, &entry).await;
            office.remove_entry(&address);
            tracing::info!(event = "entry_lost", node, %address);
        }
        (_, Greeting::Agent { .. }) => {
            let outbox = connection::start_writer(stream, peer.to_string());
            send(&outbox, OwnerMessage::Redirect { owner }, inbox.peer());
        }
        (_, Greeting::Entry { .. }) => {
            let outbox = connection::start_writer(stream, peer.to_string());
            send(&outbox, OwnerReply::Redirect { owner }, inbox.peer());
        }
    }
}

fn send<T>(outbox: &Outbox<T>, message: T, peer: &str) {
    if outbox.try_send(message).is_err() {
        tracing::info!(event = "answer_dropped", peer);
    }
}

async fn agent(stream: TcpStream, mut inbox: Inbox, office: &Office, node: &str) {
    let outbox = connection::start_writer(stream, inbox.peer().to_owned());
    let (slot, session) = office.open_session(node, outbox);
    loop {
        let received =
            future::or(async { Some(inbox.receive::<AgentMessage>(SILENCE).await) }, async {
                office.ended.wait().await;
                None
            });
        match received.await {
            Some(Ok(messages)) => office.update(|owner, now| {
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
    office.close_session(slot, session);
}

async fn follower<S: Store>(
    stream: TcpStream,
    mut inbox: Inbox,
    office: &Arc<Office>,
    entry: &Arc<Entry<S>>,
) {
    let outbox = connection::start_writer(stream, inbox.peer().to_owned());
    loop {
        let received =
            future::or(async { Some(inbox.receive::<EntryRequest>(SILENCE).await) }, async {
                office.ended.wait().await;
                None
            });
        let messages = match received.await {
            Some(Ok(messages)) => messages,
            Some(Err(error)) => {
                tracing::info!(event = "entry_connection_lost", peer = inbox.peer(), %error);
                return;
            }
            None => return,
        };
        for message in messages {
            answer(message, office, entry, &outbox, inbox.peer());
        }
    }
}

fn answer<S: Store>(
    ask: EntryRequest,
    office: &Arc<Office>,
    entry: &Arc<Entry<S>>,
    outbox: &Outbox<OwnerReply>,
    peer: &str,
) {
    match ask {
        // Without a valid lease another owner may know better.
        EntryRequest::State { .. } | EntryRequest::Waiting { .. }
            if !office.read(|owner, now| owner.is_valid(now)) => {}
        EntryRequest::Ping => {
            let is_valid = office.read(|owner, now| owner.is_valid(now));
            send(outbox, OwnerReply::Pong { entries: office.entries(), is_valid }, peer);
        }
        EntryRequest::State { query, job } => {
            let state = office.read(|owner, _| owner.phase(job));
            send(outbox, OwnerReply::State { query, state }, peer);
        }
        EntryRequest::Waiting { query, queue } => {
            let count = Some(office.read(|owner, _| owner.waiting(&queue)));
            send(outbox, OwnerReply::Waiting { query, count }, peer);
        }
        EntryRequest::Submit { query, .. } | EntryRequest::Cancel { query, .. }
            if entry.is_dark() =>
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
