//! Serves the connections of agents and other entries to the owner.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use peridotfold_core::flow::message::{Answer, Ask, Down, Greeting, Stored, Up};
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
            send(&outbox, Down::Redirect { owner }, inbox.peer());
        }
        (_, Greeting::Entry { .. }) => {
            let outbox = connection::start_writer(stream, peer.to_string());
            send(&outbox, Answer::Redirect { owner }, inbox.peer());
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
        let received = future::or(async { Some(inbox.receive::<Up>(SILENCE).await) }, async {
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
        let received = future::or(async { Some(inbox.receive::<Ask>(SILENCE).await) }, async {
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
    ask: Ask,
    office: &Arc<Office>,
    entry: &Arc<Entry<S>>,
    outbox: &Outbox<Answer>,
    peer: &str,
) {
    match ask {
        // Without a valid lease another owner may know better.
        Ask::State { .. } | Ask::Waiting { .. }
            if !office.read(|owner, now| owner.is_valid(now)) => {}
        Ask::Ping => {
            let is_valid = office.read(|owner, now| owner.is_valid(now));
            send(outbox, Answer::Pong { entries: office.entries(), is_valid }, peer);
        }
        Ask::State { query, job } => {
            let state = office.read(|owner, _| owner.phase(job));
            send(outbox, Answer::State { query, state }, peer);
        }
        Ask::Waiting { query, queue } => {
            let count = Some(office.read(|owner, _| owner.waiting(&queue)));
            send(outbox, Answer::Waiting { query, count }, peer);
        }
        Ask::Submit { query, .. } | Ask::Cancel { query, .. } if entry.is_dark() => {
            send(outbox, Answer::Stored { query, outcome: Stored::No }, peer);
        }
        Ask::Submit { query, job, record } => {
            let (entry, outbox, peer) = (entry.clone(), outbox.clone(), peer.to_owned());
            runtime::spawn(async move {
                let outcome = entry.store_job(job, record).await;
                send(&outbox, Answer::Stored { query, outcome }, &peer);
            })
            .detach();
        }
        Ask::Cancel { query, job } => {
            let (entry, outbox, peer) = (entry.clone(), outbox.clone(), peer.to_owned());
            runtime::spawn(async move {
                let outcome = entry.store_cancel(job).await;
                send(&outbox, Answer::Stored { query, outcome }, &peer);
            })
            .detach();
        }
    }
}
