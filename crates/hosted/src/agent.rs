//! Agent process: runs the state machine [`AgentState`] for one worker, with one connection to the
//! owner.

use std::net::SocketAddr;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::future;
use peridotfold_core::flow::message::{AgentMessage, Greeting, OwnerMessage, WorkerInfo};
use peridotfold_core::flow::node::{Action, AgentState, Call, Outcome};
use peridotfold_wire::error::WireError;
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::Shutdown;

use crate::connection::{self, MessageReader, Outbox};
use crate::decisions;
use crate::directory::{self, Directory};
use crate::ports::{Store, Worker, WorkerAnswer};

/// Time without a message after which the owner is taken as lost: two missed pongs.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_300);
/// Capacity of the agent's event queue.
const EVENT_CAPACITY: usize = 1_024;

/// Message that the worker sends to its agent about itself.
#[derive(Debug)]
pub enum Heartbeat {
    /// The worker's description. `sequence` rises with each report.
    Report { info: WorkerInfo, sequence: u64 },
    /// The worker with this ID is exiting.
    Deregister { id: String },
}

/// Input of the agent's event loop.
#[derive(Debug)]
enum Event {
    Heartbeat(Heartbeat),
    /// The worker's answer to a call.
    Answer(Call, WorkerAnswer),
    /// The owner has accepted a connection.
    Connected(Outbox<AgentMessage>),
    /// The connection to the owner has ended, or could not be opened.
    Disconnected,
    OwnerMessage(Vec<OwnerMessage>),
}

/// Agent of one worker.
#[derive(Debug)]
pub struct Agent<S, W> {
    node: String,
    store: S,
    worker: W,
    sender: Sender<Event>,
    events: Receiver<Event>,
}

/// Passes heartbeats of the worker to the agent.
#[derive(Debug, Clone)]
pub struct HeartbeatSender(Sender<Event>);

impl HeartbeatSender {
    /// Sends a heartbeat to the agent. Waits while the event queue is full.
    pub async fn send(&self, heartbeat: Heartbeat) {
        if self.0.send(Event::Heartbeat(heartbeat)).await.is_err() {
            tracing::info!(event = "beat_dropped", reason = "stopping");
        }
    }
}

impl<S: Store, W: Worker> Agent<S, W> {
    /// Creates an agent for the worker on `node`.
    pub fn new(node: String, store: S, worker: W) -> Self {
        let (sender, events) = async_channel::bounded(EVENT_CAPACITY);
        Agent { node, store, worker, sender, events }
    }

    /// Returns the sender for the worker's heartbeats.
    pub fn heartbeats(&self) -> HeartbeatSender {
        HeartbeatSender(self.sender.clone())
    }

    /// Runs the agent until the shutdown.
    pub async fn run(self, shutdown: Shutdown) {
        tracing::info!(event = "agent_started", node = self.node);
        let connecting = keep_connected(&self.node, &self.store, &self.sender);
        let processing = process_events(&self.worker, &self.sender, &self.events);
        future::or(shutdown.wait(), future::or(connecting, processing)).await;
        tracing::info!(event = "agent_stopped", node = self.node);
    }
}

/// Passes events to the state machine and performs the resulting actions.
async fn process_events<W: Worker>(worker: &W, sender: &Sender<Event>, events: &Receiver<Event>) {
    let mut state = AgentState::default();
    let mut outbox: Option<Outbox<AgentMessage>> = None;
    loop {
        let delay = state.next_poll(runtime::now());
        let event = future::or(async { events.recv().await.ok() }, async {
            runtime::sleep(delay).await;
            None
        })
        .await;
        let now = runtime::now();
        match event {
            None => state.poll(now),
            Some(Event::Heartbeat(Heartbeat::Report { info, sequence })) => {
                state.heartbeat(now, info, sequence)
            }
            Some(Event::Heartbeat(Heartbeat::Deregister { id })) => state.deregister(now, &id),
            Some(Event::Connected(sender)) => outbox = Some(sender),
            Some(Event::Disconnected) => {
                outbox = None;
                state.disconnected();
            }
            Some(Event::OwnerMessage(messages)) => {
                messages.into_iter().for_each(|message| state.receive(now, message));
            }
            Some(Event::Answer(call, answer)) => apply_answer(&mut state, now, call, answer),
        }
        for action in state.take_actions() {
            match action {
                Action::Log(decision) => decisions::log(&decision),
                // Dropping the outbox closes the connection; `Event::Disconnected` follows.
                Action::Reconnect => outbox = None,
                Action::Send(message) => {
                    let is_lost = outbox.as_ref().is_some_and(|o| o.try_send(message).is_err());
                    if is_lost {
                        tracing::warn!(event = "owner_too_slow");
                        outbox = None;
                    }
                }
                Action::Call(call) => {
                    let (worker, sender) = (worker.clone(), sender.clone());
                    runtime::spawn(async move {
                        let answer = worker.call(call.clone()).await;
                        if sender.send(Event::Answer(call, answer)).await.is_err() {
                            tracing::debug!(event = "answer_dropped", reason = "stopping");
                        }
                    })
                    .detach();
                }
            }
        }
    }
}

/// Passes the worker's answer to a call to the state machine.
fn apply_answer(state: &mut AgentState, now: Duration, call: Call, answer: WorkerAnswer) {
    match (call, answer) {
        (Call::List { worker, .. }, WorkerAnswer::Listed { token, clock, running, ends }) => {
            state.listed(now, &worker, token, clock, running, ends);
        }
        (Call::List { worker, token, .. }, WorkerAnswer::Other(outcome)) => {
            state.list_failed(now, &worker, token, &outcome);
        }
        (Call::Start { worker, start, .. }, WorkerAnswer::Other(outcome)) => {
            state.started(now, &worker, start.task, start.run, outcome);
        }
        (Call::Stop { task, .. } | Call::Pace { task, .. }, WorkerAnswer::Other(outcome)) => {
            if outcome != Outcome::Done {
                tracing::info!(event = "order_failed", %task, ?outcome);
                state.order_failed(task);
            }
        }
        (call, WorkerAnswer::Listed { .. }) => {
            tracing::error!(event = "answer_unexpected", ?call);
        }
    }
}

/// Searches for the owner and keeps a connection to it.
async fn keep_connected<S: Store>(node: &str, store: &S, sender: &Sender<Event>) {
    let mut directory = Directory::default();
    let mut redirect = None;
    loop {
        let address = match redirect.take() {
            Some(address) => Some(address),
            None => match directory::read_lock(store).await {
                Ok(lock) => lock.map(|(lock, _)| lock.address),
                Err(error) => {
                    tracing::info!(event = "lock_not_read", %error);
                    directory.next_entry()
                }
            },
        };
        if let Some(address) = address {
            match serve_connection(node, address, store, sender, &mut directory).await {
                Ok(owner) => redirect = owner.filter(|owner| *owner != address),
                Err(error) => tracing::info!(event = "owner_lost", owner = %address, %error),
            }
            if sender.send(Event::Disconnected).await.is_err() {
                return;
            }
        }
        runtime::sleep(directory::owner_search_delay()).await;
    }
}

/// Receives the owner's messages until the connection ends. Returns the address to try next, if the
/// peer named one.
async fn serve_connection<S: Store>(
    node: &str,
    owner: SocketAddr,
    store: &S,
    sender: &Sender<Event>,
    directory: &mut Directory,
) -> Result<Option<SocketAddr>, WireError> {
    let stream = connection::connect(owner).await?;
    let greeting = Greeting::Agent { node: node.to_owned() };
    connection::send_greeting(&stream, &greeting, owner).await?;
    let outbox = connection::start_writer(stream.clone(), owner.to_string());
    let mut reader = MessageReader::new(stream, owner.to_string());
    let mut outbox = Some(outbox);
    loop {
        let messages: Vec<OwnerMessage> = reader.receive(SILENCE_TIMEOUT).await?;
        let mut is_lease_invalid = false;
        for message in &messages {
            match message {
                OwnerMessage::Pong { permission, .. } if permission.is_zero() => {
                    is_lease_invalid = true
                }
                OwnerMessage::Redirect { owner } => return Ok(*owner),
                OwnerMessage::Welcome { entries, .. } | OwnerMessage::Pong { entries, .. } => {
                    directory.add(entries.iter().copied());
                }
                _ => {}
            }
        }
        if let Some(outbox) = outbox.take() {
            tracing::info!(event = "owner_found", %owner);
            if sender.send(Event::Connected(outbox)).await.is_err() {
                return Ok(None);
            }
        }
        if sender.send(Event::OwnerMessage(messages)).await.is_err() {
            return Ok(None);
        }
        if is_lease_invalid && directory::is_replaced(store, owner, false).await {
            return Ok(None);
        }
    }
}
