//! The owner's state machine with the connections of its agents and of other entries.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use async_channel::{Receiver, Sender};
use futures_lite::future;
use parking_lot::Mutex;
use peridotfold_core::flow::message::{OwnerMessage, OwnerReply, Token};
use peridotfold_core::flow::owner::{Effect, Owner, Session, Slot};
use peridotfold_core::time::Time;
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::{Shutdown, Trigger};

use crate::connection::Outbox;
use crate::decisions;

/// Maximum number of entries asked at once whether the store answers them.
const MAX_PROBES: usize = 8;

/// Returns the wall-clock time in milliseconds since 1970.
pub(crate) fn unix_ms() -> u64 {
    // A clock before 1970 counts as 0, at which no job is due.
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// Converts a monotonic time to the wall-clock time, in seconds since 1970.
pub(crate) fn unix_seconds_at(time: Time) -> f64 {
    let age = runtime::now().saturating_sub(time);
    unix_ms() as f64 / 1_000.0 - age.as_secs_f64()
}

/// The owner's state machine and the outboxes of its agents. Lock order: `owner`, then `outboxes`.
#[derive(Debug)]
pub(crate) struct OwnerService {
    owner: Mutex<Owner>,
    /// Outboxes of the connected agents by session.
    outboxes: Mutex<HashMap<Session, Outbox<OwnerMessage>>>,
    /// Address of this entry.
    address: SocketAddr,
    /// Outboxes of the connected entries by address.
    entries: Mutex<BTreeMap<SocketAddr, Outbox<OwnerReply>>>,
    /// Other entries that were connected at any time.
    all_entries: Mutex<BTreeSet<SocketAddr>>,
    /// Wakes the task that writes the owner's records to the store.
    commit_trigger: Sender<()>,
    /// Receives a message when the owner has records to write.
    commit_requests: Receiver<()>,
    /// Wakes the task that runs placement rounds.
    round_trigger: Sender<()>,
    /// Receives a message when a placement round is to run.
    round_requests: Receiver<()>,
    /// Fires when the ownership ends.
    end: Trigger,
    /// Tells the task that hands the ownership over which entry the store answers.
    successor_sender: Sender<SocketAddr>,
    /// Receives the address of an entry that the store answers.
    successors: Receiver<SocketAddr>,
    /// Set when the ownership ends; the connections then close.
    pub(crate) ended: Shutdown,
}

impl OwnerService {
    /// Creates the service of the owner on the entry at `address`, with no agent connected.
    pub(crate) fn new(owner: Owner, address: SocketAddr) -> Self {
        let (commit_trigger, commit_requests) = async_channel::bounded(1);
        let (round_trigger, round_requests) = async_channel::bounded(1);
        let (successor_sender, successors) = async_channel::bounded(1);
        let (end, ended) = peridotfold_wire::shutdown::channel();
        OwnerService {
            owner: Mutex::new(owner),
            outboxes: Mutex::new(HashMap::new()),
            address,
            entries: Mutex::default(),
            all_entries: Mutex::default(),
            commit_trigger,
            commit_requests,
            round_trigger,
            round_requests,
            successor_sender,
            successors,
            end,
            ended,
        }
    }

    /// Applies a change to the owner, sends the resulting messages, and wakes the task that writes
    /// records.
    pub(crate) fn update<T>(&self, change: impl FnOnce(&mut Owner, Time) -> T) -> T {
        let now = runtime::now();
        let mut owner = self.owner.lock();
        let known_due = owner.commit_due();
        let result = change(&mut owner, now);
        if owner.poll(now, unix_ms()) {
            let end = runtime::now();
            let took = end.saturating_sub(now);
            owner.round_took(end, took);
            metrics::counter!("placement_rounds").increment(1);
            metrics::histogram!("placement_round_seconds").record(took.as_secs_f64());
            metrics::gauge!("slow_workers").set(owner.slow_workers() as f64);
            metrics::gauge!("early_cancels_kept").set(owner.early_cancels() as f64);
        }
        let is_round_due = owner.next_round(now).is_some();
        let effects = owner.take_effects();
        owner.take_near_ends().iter().for_each(decisions::count_near_wait);
        let due = owner.commit_due();
        let is_commit_earlier = due.is_some_and(|at| known_due.is_none_or(|known| at < known));
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
        // If a channel is full, its task is already due to wake.
        if is_commit_earlier {
            let _ = self.commit_trigger.try_send(());
        }
        if is_round_due {
            let _ = self.round_trigger.try_send(());
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
        let entries = self.entries.lock();
        entries.keys().copied().chain([self.address]).collect()
    }

    /// Returns the other entries that were connected at any time, to be asked for the owner later.
    pub(crate) fn known_entries(&self) -> Vec<SocketAddr> {
        self.all_entries.lock().iter().copied().collect()
    }

    /// Adds an entry that has connected.
    pub(crate) fn add_entry(&self, address: SocketAddr, outbox: Outbox<OwnerReply>) {
        self.entries.lock().insert(address, outbox);
        self.all_entries.lock().insert(address);
    }

    /// Removes an entry whose connection has closed, unless it has connected again since.
    pub(crate) fn remove_entry(&self, address: SocketAddr, outbox: &Outbox<OwnerReply>) {
        let mut entries = self.entries.lock();
        if entries.get(&address).is_some_and(|known| known.is_same(outbox)) {
            entries.remove(&address);
        }
    }

    /// Asks connected entries whether the store answers them.
    pub(crate) fn probe_entries(&self) {
        // An answer to an earlier probe tells nothing about the store now.
        while self.successors.try_recv().is_ok() {}
        for outbox in self.entries.lock().values().take(MAX_PROBES) {
            // An entry that cannot be asked is on its way out.
            let _ = outbox.try_send(OwnerReply::Probe);
        }
    }

    /// Notes that the store answers the entry at `address`.
    pub(crate) fn store_answers(&self, address: SocketAddr) {
        // If the channel is full, another entry answered first.
        let _ = self.successor_sender.try_send(address);
    }

    /// Waits for an entry to report that the store answers it. Returns `None` once the service is
    /// dropped.
    pub(crate) async fn find_successor(&self) -> Option<SocketAddr> {
        self.successors.recv().await.ok()
    }

    /// Ends the validity of the ownership and offers it to a connected entry. Returns whether the
    /// offer was sent.
    pub(crate) fn hand_over(&self, successor: SocketAddr, epoch: u32) -> bool {
        let outbox = self.entries.lock().get(&successor).cloned();
        let Some(outbox) = outbox else { return false };
        // Before the offer: from then on, another owner may exist.
        self.update(|owner, now| owner.set_valid_until(now));
        outbox.try_send(OwnerReply::HandOver { epoch }).is_ok()
    }

    /// Opens a session for the agent of `node` and sends its fencing token. Closes the connection of
    /// the session that it replaces: connections may be served in another order than they were
    /// opened, and the agent has to notice if the replaced one is in use.
    pub(crate) fn open_session(&self, node: &str, outbox: Outbox<OwnerMessage>) -> (Slot, Session) {
        let (replaced, (slot, session, token)) =
            self.update(|owner, now| (owner.session(node), owner.connect(now, node)));
        self.send_welcome(&outbox, token);
        let mut outboxes = self.outboxes.lock();
        if let Some(replaced) = replaced.filter(|replaced| outboxes.remove(replaced).is_some()) {
            tracing::info!(event = "session_replaced", node, replaced, session);
        }
        outboxes.insert(session, outbox);
        drop(outboxes);
        // Another connection of the agent may have replaced this session before it had an outbox.
        if self.read(|owner, _| owner.session(node) != Some(session)) {
            self.outboxes.lock().remove(&session);
        }
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
        metrics::gauge!("slow_workers").set(0.0);
        metrics::gauge!("early_cancels_kept").set(0.0);
        self.outboxes.lock().clear();
    }

    /// Runs placement rounds that came too soon after the one before, once they are due.
    pub(crate) async fn run_rounds(&self) {
        while self.round_requests.recv().await.is_ok() {
            if let Some(delay) = self.read(|owner, now| owner.next_round(now)) {
                runtime::sleep(delay).await;
                self.update(|_, _| ());
            }
        }
    }

    /// Waits until records are due to be written, or timers must be checked.
    pub(crate) async fn wait_for_commit(&self) {
        let (delay, backlogs) =
            self.read(|owner, now| (owner.next_poll(now), owner.forecast().backlogs(now)));
        for (service, room, time) in backlogs {
            let labels = [("service", service), ("room", room.name().to_owned())];
            metrics::gauge!("forecast_backlog_seconds", &labels).set(time.as_secs_f64());
        }
        let requested = async {
            if self.commit_requests.recv().await.is_err() {
                future::pending::<()>().await;
            }
        };
        future::or(requested, runtime::sleep(delay)).await;
    }
}
