//! Limits on the connections and the memory that the clients of a server hold, and the choice of the
//! connections that are closed when they are short.
//!
//! Memory counts from the moment at which it can be used until it is released: a connection by itself, the read
//! buffer that a request has filled, and the body of a request until it is answered.

mod causes;
mod connection;
mod slot;
mod victims;

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use event_listener::Event;
use parking_lot::Mutex;

pub(crate) use self::causes::Cause;
use self::causes::Causes;
use self::connection::Connection;
pub(crate) use self::slot::Answering;
pub use self::slot::{Lease, Shortage, Slot};
use self::victims::Need;
use crate::runtime;

/// Number of a connection in its process.
type ConnectionId = u64;

/// Connections closed at once when there are too many, as a part of the limit. Each choice looks at all
/// connections.
const EVICTED_PART: usize = 64;

/// Limits of one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum number of requests that were received and are not answered yet.
    pub requests: usize,
    /// Maximum memory held for clients, in bytes.
    pub memory: usize,
}

impl Limits {
    /// Limits that no client meets.
    pub const NONE: Limits =
        Limits { connections: usize::MAX, requests: usize::MAX, memory: usize::MAX };
}

/// Limits of a server and what its clients hold. Clones share both.
#[derive(Debug, Clone)]
pub struct Limiter(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    /// Name of the listener in metrics and log lines.
    name: &'static str,
    limits: Limits,
    memory: AtomicUsize,
    requests: AtomicUsize,
    open: Mutex<HashMap<ConnectionId, Arc<Connection>>>,
    next_id: AtomicU64,
    /// Notified when a connection has closed or memory was released.
    released: Event,
    /// Until when no memory is expected to be free for a body, and the smallest such size.
    shortage: Mutex<(Duration, usize)>,
    /// Memory for which requests wait until connections have ended, in bytes.
    awaited: AtomicUsize,
    causes: Causes,
}

impl Limiter {
    /// Creates the limiter of a server; `name` is used in metrics and log lines.
    pub fn new(name: &'static str, limits: Limits) -> Self {
        Limiter(Arc::new(Shared {
            name,
            limits,
            memory: AtomicUsize::new(0),
            requests: AtomicUsize::new(0),
            open: Mutex::default(),
            next_id: AtomicU64::new(0),
            released: Event::new(),
            shortage: Mutex::default(),
            awaited: AtomicUsize::new(0),
            causes: Causes::new(name),
        }))
    }

    /// Creates a limiter that limits nothing.
    pub fn unlimited() -> Self {
        Limiter::new("unlimited", Limits::NONE)
    }

    /// Returns the limits.
    pub fn limits(&self) -> Limits {
        self.0.limits
    }

    /// Returns the memory held for clients, in bytes.
    pub fn memory(&self) -> usize {
        self.0.memory.load(Ordering::Relaxed)
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.0.open.lock().len()
    }

    /// Sets the gauges of what is in use.
    pub fn publish(&self) {
        let name = self.0.name;
        let requests = self.0.requests.load(Ordering::Relaxed);
        metrics::gauge!("client_connections", "listener" => name).set(self.connections() as f64);
        metrics::gauge!("client_memory_bytes", "listener" => name).set(self.memory() as f64);
        metrics::gauge!("client_requests", "listener" => name).set(requests as f64);
    }

    /// Counts a refusal or an early end, and logs the cause at intervals.
    pub(crate) fn note(&self, cause: Cause) {
        self.0.causes.note(cause, runtime::now(), 1);
    }

    /// Registers a new connection. While there are too many, closes others and waits until one has closed.
    pub async fn admit(&self) -> Slot {
        loop {
            let released = self.0.released.listen();
            if let Some(slot) = self.try_admit() {
                return slot;
            }
            let need = Need::Connections((self.0.limits.connections / EVICTED_PART).max(1));
            self.evict(need, None, Cause::Connections);
            released.await;
        }
    }

    fn try_admit(&self) -> Option<Slot> {
        let mut open = self.0.open.lock();
        if open.len() >= self.0.limits.connections {
            return None;
        }
        let id = self.0.next_id.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(Connection::new());
        open.insert(id, connection.clone());
        drop(open);
        Some(Slot::new(id, self.clone(), connection))
    }

    /// Takes `bytes` of memory if they fit below `ceiling`.
    fn try_take(&self, bytes: usize, ceiling: usize) -> bool {
        let take = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= ceiling);
        self.0.memory.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }

    /// Ends connections to satisfy `need`. Returns whether that suffices once they have ended.
    fn evict(&self, need: Need, by: Option<&Slot>, cause: Cause) -> bool {
        let now = runtime::now();
        let (chosen, suffices) = {
            let open = self.0.open.lock();
            let others = open
                .iter()
                .filter(|(id, _)| by.is_none_or(|slot| slot.id() != **id))
                .map(|(_, connection)| connection);
            victims::choose(others, need, now)
        };
        for connection in &chosen {
            connection.evict(need.eviction(connection.phase()));
        }
        if !chosen.is_empty() {
            self.0.causes.note(cause, now, chosen.len());
        }
        suffices
    }

    fn release(&self, bytes: usize) {
        self.0.memory.fetch_sub(bytes, Ordering::Relaxed);
        self.0.released.notify(usize::MAX);
    }
}
