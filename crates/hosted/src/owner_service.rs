//! The owner's state machine with the connections of its agents and of other entries.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_channel::{Receiver, Sender};
use parking_lot::Mutex;
use peridotfold_core::flow::message::{OwnerMessage, Token};
use peridotfold_core::flow::owner::{Effect, Owner, Session, Slot};
use peridotfold_core::time::Time;
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::{Shutdown, Trigger};

use crate::connection::Outbox;
use crate::decisions;

/// Returns the wall-clock time in milliseconds since 1970.
pub(crate) fn unix_ms() -> u64 {
    // A clock before 1970 counts as 0, at which no job is due.
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// The owner's state machine and the outboxes of its agents. Lock order: `owner`, then `outboxes`.
#[derive(Debug)]
pub(crate) struct OwnerService {
    owner: Mutex<Owner>,
    /// Outboxes of the connected agents by session.
    outboxes: Mutex<HashMap<Session, Outbox<OwnerMessage>>>,
    /// This entry and the entries that are connected to it.
    entries: Mutex<BTreeSet<SocketAddr>>,
    /// Other entries that were connected at any time.
    all_entries: Mutex<BTreeSet<SocketAddr>>,
    /// Wakes the task that writes the owner's records to the store.
    commit_trigger: Sender<()>,
    /// Receives a message when the owner has records to write.
    pub(crate) commit_requests: Receiver<()>,
    /// Fires when the ownership ends.
    end: Trigger,
    /// Set when the ownership ends; the connections then close.
    pub(crate) ended: Shutdown,
}

impl OwnerService {
    /// Creates the service of the owner on the entry at `address`, with no agent connected.
    pub(crate) fn new(owner: Owner, address: SocketAddr) -> Self {
        let (commit_trigger, commit_requests) = async_channel::bounded(1);
        let (end, ended) = peridotfold_wire::shutdown::channel();
        OwnerService {
            owner: Mutex::new(owner),
            outboxes: Mutex::new(HashMap::new()),
            entries: Mutex::new(BTreeSet::from([address])),
            all_entries: Mutex::default(),
            commit_trigger,
            commit_requests,
            end,
            ended,
        }
    }

    /// Applies a change to the owner, sends the resulting messages, and wakes the task that writes
    /// records.
    pub(crate) fn update<T>(&self, change: impl FnOnce(&mut Owner, Time) -> T) -> T {
        let now = runtime::now();
        let mut owner = self.owner.lock();
        let result = change(&mut owner, now);
        owner.poll(now, unix_ms());
        let effects = owner.take_effects();
        let is_changed = owner.has_unwritten();
        let mut outboxes = self.outboxes.lock();
        drop(owner);
        for effect in effects {
            match effect {
                Effect::Log(decision) => decisions::log(&decision),
                Effect::Send { session, message, .. } => {
                    let message = self.with_entries(message);
                    let is_rejected = outboxes
                        .get(&session)
                        .is_some_and(|outbox| outbox.try_send(message).is_err());
                    if is_rejected {
                        tracing::warn!(event = "agent_too_slow", session);
                        outboxes.remove(&session);
                    }
                }
            }
        }
        drop(outboxes);
        if is_changed {
            // If the channel is full, the writing task is already due to wake.
            let _ = self.commit_trigger.try_send(());
        }
        result
    }

    /// Reads the owner's state.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&Owner, Time) -> T) -> T {
        read(&self.owner.lock(), runtime::now())
    }

    /// Adds the addresses of the connected entries to a pong; returns other messages unchanged.
    fn with_entries(&self, message: OwnerMessage) -> OwnerMessage {
        match message {
            OwnerMessage::Pong { sent, permission, weights, .. } => {
                OwnerMessage::Pong { sent, permission, entries: self.entries(), weights }
            }
            other => other,
        }
    }

    /// Returns this entry and the entries that are connected to it.
    pub(crate) fn entries(&self) -> Vec<SocketAddr> {
        self.entries.lock().iter().copied().collect()
    }

    /// Returns the other entries that were connected at any time, to be asked for the owner later.
    pub(crate) fn known_entries(&self) -> Vec<SocketAddr> {
        self.all_entries.lock().iter().copied().collect()
    }

    /// Adds an entry that has connected.
    pub(crate) fn add_entry(&self, address: SocketAddr) {
        self.entries.lock().insert(address);
        self.all_entries.lock().insert(address);
    }

    /// Removes an entry whose connection has closed.
    pub(crate) fn remove_entry(&self, address: &SocketAddr) {
        self.entries.lock().remove(address);
    }

    /// Opens a session for the agent of `node` and sends its fencing token.
    pub(crate) fn open_session(&self, node: &str, outbox: Outbox<OwnerMessage>) -> (Slot, Session) {
        let (slot, session, token) = self.update(|owner, now| owner.connect(now, node));
        self.send_welcome(&outbox, token);
        self.outboxes.lock().insert(session, outbox);
        (slot, session)
    }

    /// Sends the message that opens a session.
    fn send_welcome(&self, outbox: &Outbox<OwnerMessage>, token: Token) {
        let welcome = OwnerMessage::Welcome { token, entries: self.entries() };
        if outbox.try_send(welcome).is_err() {
            tracing::info!(event = "agent_lost_early");
        }
    }

    /// Closes the session of an agent; `slot` is the index of its node in the owner's table.
    pub(crate) fn close_session(&self, slot: Slot, session: Session) {
        self.outboxes.lock().remove(&session);
        self.update(|owner, _| owner.disconnect(slot, session));
    }

    /// Ends the ownership on this entry: all connections close.
    pub(crate) fn shut_down(&self) {
        self.end.fire();
        self.outboxes.lock().clear();
    }

    /// Returns the time until the owner must be polled.
    pub(crate) fn poll_delay(&self) -> Duration {
        self.read(|owner, now| owner.next_poll(now))
    }
}
