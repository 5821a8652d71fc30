//! The owner with its connections.

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

/// Time of day in milliseconds since 1970.
pub(crate) fn unix_ms() -> u64 {
    // A time of day before 1970 makes nothing due.
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// The owner and the outboxes of its agents. Lock order: `owner`, then `outboxes`.
#[derive(Debug)]
pub(crate) struct OwnerService {
    owner: Mutex<Owner>,
    outboxes: Mutex<HashMap<Session, Outbox<OwnerMessage>>>,
    /// Entries that are connected, and all that ever were.
    entries: Mutex<BTreeSet<SocketAddr>>,
    all_entries: Mutex<BTreeSet<SocketAddr>>,
    /// Wakes the committer.
    commit_trigger: Sender<()>,
    pub(crate) commit_requests: Receiver<()>,
    end: Trigger,
    pub(crate) ended: Shutdown,
}

impl OwnerService {
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

    /// Changes the owner, and does what follows from it.
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
                    let is_full = outboxes
                        .get(&session)
                        .is_some_and(|outbox| outbox.try_send(message).is_err());
                    if is_full {
                        tracing::warn!(event = "agent_too_slow", session);
                        outboxes.remove(&session);
                    }
                }
            }
        }
        drop(outboxes);
        if is_changed {
            // A full channel means that the committer will look anyway.
            let _ = self.commit_trigger.try_send(());
        }
        result
    }

    /// Reads from the owner.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&Owner, Time) -> T) -> T {
        read(&self.owner.lock(), runtime::now())
    }

    fn with_entries(&self, message: OwnerMessage) -> OwnerMessage {
        match message {
            OwnerMessage::Pong { sent, permission, weights, .. } => {
                OwnerMessage::Pong { sent, permission, entries: self.entries(), weights }
            }
            other => other,
        }
    }

    pub(crate) fn entries(&self) -> Vec<SocketAddr> {
        self.entries.lock().iter().copied().collect()
    }

    /// Entries that were ever connected, for the time after the ownership.
    pub(crate) fn known_entries(&self) -> Vec<SocketAddr> {
        self.all_entries.lock().iter().copied().collect()
    }

    pub(crate) fn add_entry(&self, address: SocketAddr) {
        self.entries.lock().insert(address);
        self.all_entries.lock().insert(address);
    }

    pub(crate) fn remove_entry(&self, address: &SocketAddr) {
        self.entries.lock().remove(address);
    }

    /// Opens the session of an agent.
    pub(crate) fn open_session(&self, node: &str, outbox: Outbox<OwnerMessage>) -> (Slot, Session) {
        let (slot, session, token) = self.update(|owner, now| owner.connect(now, node));
        self.send_welcome(&outbox, token);
        self.outboxes.lock().insert(session, outbox);
        (slot, session)
    }

    fn send_welcome(&self, outbox: &Outbox<OwnerMessage>, token: Token) {
        let welcome = OwnerMessage::Welcome { token, entries: self.entries() };
        if outbox.try_send(welcome).is_err() {
            tracing::info!(event = "agent_lost_early");
        }
    }

    /// Ends the session of an agent.
    pub(crate) fn close_session(&self, slot: Slot, session: Session) {
        self.outboxes.lock().remove(&session);
        self.update(|owner, _| owner.disconnect(slot, session));
    }

    /// Ends the office: all connections close.
    pub(crate) fn shut_down(&self) {
        self.end.fire();
        self.outboxes.lock().clear();
    }

    /// Pause until the owner has something to do without input.
    pub(crate) fn poll_delay(&self) -> Duration {
        self.read(|owner, now| owner.next_poll(now))
    }
}
