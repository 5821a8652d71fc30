//! Limits on the connections and the memory that the clients of a server hold, and the choice of the
//! connections that are closed when they are short.
//!
//! Memory counts from the moment at which it can be used until it is released: a connection by itself, the read
//! buffer that a request has filled, and the body of a request until it is answered.

mod causes;
mod victims;

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Poll, Waker};
use std::time::Duration;

use event_listener::Event;
use futures_lite::future;
use parking_lot::Mutex;

pub use self::causes::Cause;
use self::causes::Causes;
use self::victims::Need;
use crate::runtime;

/// Number of a connection in its process.
type ConnectionId = u64;

/// Memory of a connection that has sent nothing yet: its tasks and registration.
const SILENT_BYTES: usize = 2 * 1024;
/// Memory of a connection that has sent something: buffers of the HTTP implementation and its state.
const STARTED_BYTES: usize = 24 * 1024;
/// Part of a read buffer that [`STARTED_BYTES`] covers.
const COVERED_BYTES: usize = 8 * 1024;
/// Received bytes up to which a read buffer grows. It doubles, so that it takes up to twice as much.
const MAX_READ_BUFFER_BYTES: usize = crate::http_server::MAX_HEAD_BYTES;
/// Largest body that may use all of the memory and all concurrent requests. Larger ones leave a quarter of
/// both to requests of this size, which most are far below.
pub const SMALL_BODY_BYTES: usize = 16 * 1024;
/// Time without a received or sent byte after which a connection makes no progress.
const STALL_TIME: Duration = Duration::from_secs(1);
/// The same while a response is sent: the kernel's buffer takes more of it only after a part was received, which
/// is seconds later on a slow link.
const SEND_STALL_TIME: Duration = Duration::from_secs(10);
/// Time for which requests of a size are not checked again after no connection could be closed for one of that
/// size. Without it, each refusal would look at all connections.
const SHORTAGE_TIME: Duration = Duration::from_millis(50);
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

/// State of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Phase {
    /// Between two requests, or before the first.
    Idle,
    /// A part of a request head was received.
    Head,
    /// A request body is being received.
    Body,
    /// A request body is being received and passed on.
    Upload,
    /// A request is being answered.
    Answering,
    /// The client does not read what was sent of the response so far.
    Blocked,
    /// The rest of a response is being sent.
    Sending,
    /// The connection closes, and discards what the client still sends.
    Closing,
}

const PHASES: [Phase; 8] = [
    Phase::Idle,
    Phase::Head,
    Phase::Body,
    Phase::Upload,
    Phase::Answering,
    Phase::Blocked,
    Phase::Sending,
    Phase::Closing,
];

/// How a connection is to be ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Eviction {
    None,
    /// The request whose body is being received is refused.
    Refuse,
    /// The connection is closed.
    Close,
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

/// What is known of an open connection.
#[derive(Debug)]
pub(crate) struct Connection {
    phase: AtomicU8,
    eviction: AtomicU8,
    /// Memory held for the connection, in bytes.
    memory: AtomicUsize,
    /// Size of the request body, announced or received so far.
    body_size: AtomicUsize,
    /// Number of requests answered.
    answered: AtomicUsize,
    /// When the last byte was received or sent, in milliseconds since the start of the process.
    progress_ms: AtomicU64,
    /// Wakes the task of the connection.
    waker: Mutex<Option<Waker>>,
}

/// An open connection, which counts until this is dropped. Clones count as one.
#[derive(Debug, Clone)]
pub struct Slot(Arc<SlotInner>);

#[derive(Debug)]
struct SlotInner {
    id: ConnectionId,
    limiter: Limiter,
    connection: Arc<Connection>,
    /// Memory of the connection itself and of its read buffer.
    base: AtomicUsize,
    /// Bytes received since the end of the last request.
    received: AtomicUsize,
    /// The client may still send bytes of a body that nothing reads.
    is_unread: AtomicBool,
}

/// Memory that is held for a request until this is dropped.
#[derive(Debug)]
pub struct Lease {
    slot: Slot,
    bytes: usize,
}

/// A request that counts as being answered until this is dropped.
#[derive(Debug)]
pub(crate) struct Answering(Slot);

/// Memory that a request waits for until this is dropped. Without this count, many requests would wait for the
/// memory of the same connection.
#[derive(Debug)]
struct Awaited<'a> {
    limiter: &'a Limiter,
    bytes: usize,
}

impl<'a> Awaited<'a> {
    fn new(limiter: &'a Limiter, bytes: usize) -> Self {
        limiter.0.awaited.fetch_add(bytes, Ordering::Relaxed);
        Awaited { limiter, bytes }
    }
}

impl Drop for Awaited<'_> {
    fn drop(&mut self) {
        self.limiter.0.awaited.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// The limits leave no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shortage;

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
        let slot = Slot(Arc::new(SlotInner {
            id,
            limiter: self.clone(),
            connection,
            base: AtomicUsize::new(0),
            received: AtomicUsize::new(0),
            is_unread: AtomicBool::new(false),
        }));
        slot.raise_base(SILENT_BYTES);
        Some(slot)
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
                .filter(|(id, _)| by.is_none_or(|slot| slot.0.id != **id))
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

impl Connection {
    fn new() -> Self {
        Connection {
            phase: AtomicU8::new(Phase::Idle as u8),
            eviction: AtomicU8::new(Eviction::None as u8),
            memory: AtomicUsize::new(0),
            body_size: AtomicUsize::new(0),
            answered: AtomicUsize::new(0),
            progress_ms: AtomicU64::new(runtime::now().as_millis() as u64),
            waker: Mutex::new(None),
        }
    }

    pub(crate) fn phase(&self) -> Phase {
        PHASES[usize::from(self.phase.load(Ordering::Relaxed))]
    }

    pub(crate) fn eviction(&self) -> Eviction {
        match self.eviction.load(Ordering::Relaxed) {
            0 => Eviction::None,
            1 => Eviction::Refuse,
            _ => Eviction::Close,
        }
    }

    /// Asks the task of the connection to end it. A weaker request does not replace a stronger one.
    fn evict(&self, eviction: Eviction) {
        self.eviction.fetch_max(eviction as u8, Ordering::Relaxed);
        let waker = self.waker.lock().take();
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// Tells whether no byte was received or sent for so long that the client is taken to make no progress.
    pub(crate) fn is_stalled(&self, now: Duration) -> bool {
        let time = match self.phase() {
            Phase::Blocked | Phase::Sending => SEND_STALL_TIME,
            _ => STALL_TIME,
        };
        now >= Duration::from_millis(self.progress_ms.load(Ordering::Relaxed)) + time
    }

    /// Returns the size of the request that is being received: of its body, or of what its head takes beyond the
    /// memory that each connection has.
    fn request_size(&self) -> usize {
        match self.phase() {
            Phase::Body | Phase::Upload => self.body_size.load(Ordering::Relaxed),
            _ => self.memory.load(Ordering::Relaxed).saturating_sub(STARTED_BYTES),
        }
    }

    fn set_phase(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::Relaxed);
    }

    fn progress(&self) {
        self.progress_ms.store(runtime::now().as_millis() as u64, Ordering::Relaxed);
    }
}

impl Slot {
    /// Waits until the connection is to be closed for others.
    pub async fn closed(&self) {
        let closed = future::poll_fn(|context| match self.poll_eviction(context.waker()) {
            Eviction::Close => Poll::Ready(()),
            Eviction::None | Eviction::Refuse => Poll::Pending,
        });
        closed.await;
    }

    /// Keeps the connection from being closed for others until its next response.
    pub fn keep(&self) {
        self.0.connection.set_phase(Phase::Answering);
    }

    /// Registers the waker of the connection's task and returns how the connection is to be ended.
    fn poll_eviction(&self, waker: &Waker) -> Eviction {
        let connection = &self.0.connection;
        let mut registered = connection.waker.lock();
        match &mut *registered {
            Some(old) => old.clone_from(waker),
            none => *none = Some(waker.clone()),
        }
        drop(registered);
        match (connection.eviction(), connection.phase()) {
            // The request has arrived since the choice. Those who wait for the connection choose again.
            (Eviction::Close, Phase::Answering) => {
                connection.eviction.store(Eviction::None as u8, Ordering::Relaxed);
                self.0.limiter.0.released.notify(usize::MAX);
                Eviction::None
            }
            (eviction, _) => eviction,
        }
    }

    pub(crate) fn is_refused(&self) -> bool {
        self.0.connection.eviction() != Eviction::None
    }

    pub(crate) fn phase(&self) -> Phase {
        self.0.connection.phase()
    }

    pub(crate) fn limiter(&self) -> &Limiter {
        &self.0.limiter
    }

    /// Takes the memory of a connection that has sent its first byte.
    ///
    /// # Errors
    ///
    /// Fails if the memory is used up and no other connection is to be closed for this one.
    pub(crate) async fn start(&self) -> Result<(), Shortage> {
        let mut lease = self.lease(STARTED_BYTES - SILENT_BYTES, 0).await?;
        // The memory stays with the connection, so that the slot releases it.
        self.0.base.fetch_add(std::mem::take(&mut lease.bytes), Ordering::Relaxed);
        Ok(())
    }

    /// Notes received bytes, and the growth of the read buffer that they cause.
    pub(crate) fn note_received(&self, count: usize) {
        let connection = &self.0.connection;
        connection.progress();
        let received = self.0.received.fetch_add(count, Ordering::Relaxed) + count;
        if matches!(connection.phase(), Phase::Idle | Phase::Sending) {
            connection.set_phase(Phase::Head);
        }
        if received > COVERED_BYTES {
            self.raise_base(STARTED_BYTES + 2 * received.min(MAX_READ_BUFFER_BYTES));
        }
    }

    /// Notes that bytes of a response were sent.
    pub(crate) fn note_sent(&self) {
        let connection = &self.0.connection;
        connection.progress();
        if connection.phase() == Phase::Blocked {
            connection.set_phase(Phase::Answering);
        }
    }

    /// Notes that the client does not read the response.
    pub(crate) fn note_blocked(&self) {
        if self.phase() == Phase::Answering {
            self.0.connection.set_phase(Phase::Blocked);
        }
    }

    /// Notes that the head of a request was received, with a body or without one.
    pub(crate) fn note_request(&self, has_body: bool) {
        self.0.received.store(0, Ordering::Relaxed);
        self.0.connection.body_size.store(0, Ordering::Relaxed);
        self.0.connection.set_phase(Phase::Answering);
        self.set_unread(has_body);
    }

    /// Notes that the body of the request is being received.
    pub(crate) fn note_body(&self, size: usize) {
        self.0.connection.body_size.store(size, Ordering::Relaxed);
        self.0.connection.set_phase(Phase::Body);
    }

    /// Notes that a body is being received and passed on, or a message in parts; `size` bytes so far.
    pub fn note_upload(&self, size: usize) {
        self.0.connection.progress();
        self.0.connection.body_size.store(size, Ordering::Relaxed);
        self.0.connection.set_phase(Phase::Upload);
    }

    /// Notes that the whole response was taken to be sent.
    pub(crate) fn note_response(&self) {
        self.0.received.store(0, Ordering::Relaxed);
        self.0.connection.answered.fetch_add(1, Ordering::Relaxed);
        self.0.connection.set_phase(Phase::Sending);
    }

    /// Notes that all that was to be sent has been handed to the kernel.
    pub(crate) fn note_flushed(&self) {
        if self.phase() == Phase::Sending {
            self.0.connection.set_phase(Phase::Idle);
        }
    }

    /// Notes that the connection only discards what the client still sends.
    pub(crate) fn note_closing(&self) {
        self.0.connection.set_phase(Phase::Closing);
    }

    /// Notes whether the client may still send bytes of a body that nothing reads.
    pub fn set_unread(&self, is_unread: bool) {
        self.0.is_unread.store(is_unread, Ordering::Relaxed);
    }

    pub(crate) fn is_unread(&self) -> bool {
        self.0.is_unread.load(Ordering::Relaxed)
    }

    /// Ends what the client has not finished: refuses a body that is being received, and closes a connection
    /// that waits for its client. Requests that are being answered are left alone.
    pub(crate) fn end_unfinished(&self) {
        let connection = &self.0.connection;
        match connection.phase() {
            Phase::Answering | Phase::Upload => {}
            Phase::Blocked | Phase::Sending if !connection.is_stalled(runtime::now()) => {}
            Phase::Body if connection.eviction() == Eviction::None => {
                connection.evict(Eviction::Refuse);
            }
            _ => connection.evict(Eviction::Close),
        }
    }

    /// Counts the request as being answered.
    ///
    /// # Errors
    ///
    /// Fails if too many are.
    pub(crate) fn begin(&self, body_size: usize) -> Result<Answering, Shortage> {
        let shared = &self.0.limiter.0;
        let ceiling = ceiling(shared.limits.requests, body_size);
        let take = |count: usize| (count < ceiling).then_some(count + 1);
        match shared.requests.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take) {
            Ok(_) => {
                self.0.connection.set_phase(Phase::Answering);
                Ok(Answering(self.clone()))
            }
            Err(_) => {
                self.0.limiter.note(Cause::Requests);
                Err(Shortage)
            }
        }
    }

    /// Takes `bytes` of memory for a request whose body has `size` bytes, announced or received. While memory
    /// is short, ends connections that make no progress or receive larger bodies, and waits until they end.
    ///
    /// # Errors
    ///
    /// Fails if the memory is used up by requests that are no larger or are being answered.
    pub async fn lease(&self, bytes: usize, size: usize) -> Result<Lease, Shortage> {
        let limiter = &self.0.limiter;
        let ceiling = ceiling(limiter.0.limits.memory, size);
        loop {
            let released = limiter.0.released.listen();
            if limiter.try_take(bytes, ceiling) {
                self.0.connection.memory.fetch_add(bytes, Ordering::Relaxed);
                return Ok(Lease { slot: self.clone(), bytes });
            }
            if self.is_refused() || !self.make_room(bytes, ceiling, size) {
                limiter.note(Cause::Memory);
                return Err(Shortage);
            }
            let _awaited = Awaited::new(limiter, bytes);
            // A request that waits for others may be refused for others itself.
            let refused = future::poll_fn(|_| match self.is_refused() {
                true => Poll::Ready(()),
                false => Poll::Pending,
            });
            future::or(released, refused).await;
        }
    }

    /// Takes `bytes` of memory for a request whose body has `size` bytes so far, if they are free.
    pub fn try_lease(&self, bytes: usize, size: usize) -> Option<Lease> {
        let limiter = &self.0.limiter;
        let is_taken = limiter.try_take(bytes, ceiling(limiter.0.limits.memory, size));
        is_taken.then(|| {
            self.0.connection.memory.fetch_add(bytes, Ordering::Relaxed);
            Lease { slot: self.clone(), bytes }
        })
    }

    /// Ends other connections so that `bytes` fit below `ceiling`. Returns `false` if that is not possible.
    fn make_room(&self, bytes: usize, ceiling: usize, size: usize) -> bool {
        let limiter = &self.0.limiter;
        let now = runtime::now();
        let (until, short_size) = *limiter.0.shortage.lock();
        if now < until && size >= short_size {
            return false;
        }
        let awaited = limiter.0.awaited.load(Ordering::Relaxed);
        let wanted = limiter.memory().saturating_add(bytes).saturating_add(awaited);
        let over = wanted.saturating_sub(ceiling);
        let need = Need::Memory { bytes: over, size };
        let is_possible = limiter.evict(need, Some(self), Cause::Evicted);
        if !is_possible {
            *limiter.0.shortage.lock() = (now + SHORTAGE_TIME, size);
        }
        is_possible
    }

    /// Raises the memory of the connection itself to `bytes`. Exceeds the limit if need be: by [`SILENT_BYTES`] for
    /// each new connection, and by the read buffers of connections that are ended for it.
    fn raise_base(&self, bytes: usize) {
        let added = bytes.saturating_sub(self.0.base.fetch_max(bytes, Ordering::Relaxed));
        if added == 0 {
            return;
        }
        self.0.connection.memory.fetch_add(added, Ordering::Relaxed);
        let limiter = &self.0.limiter;
        let used = limiter.0.memory.fetch_add(added, Ordering::Relaxed).saturating_add(added);
        let limit = limiter.0.limits.memory;
        if used > limit {
            let size = self.0.received.load(Ordering::Relaxed);
            let need = Need::Memory { bytes: used - limit, size };
            if !limiter.evict(need, Some(self), Cause::Evicted) && self.phase() == Phase::Head {
                limiter.note(Cause::Memory);
                self.0.connection.evict(Eviction::Close);
            }
        }
    }
}

/// Returns the part of a limit that requests with bodies of `size` bytes may use.
fn ceiling(limit: usize, size: usize) -> usize {
    match size > SMALL_BODY_BYTES {
        true => limit - limit / 4,
        false => limit,
    }
}

impl Lease {
    /// Returns the memory that is held, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds the memory of another lease of the same connection.
    pub fn join(&mut self, mut other: Lease) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Releases all but `bytes`.
    pub(crate) fn shrink(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        self.bytes -= released;
        self.release(released);
    }

    fn release(&self, bytes: usize) {
        if bytes > 0 {
            self.slot.0.connection.memory.fetch_sub(bytes, Ordering::Relaxed);
            self.slot.0.limiter.release(bytes);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.release(self.bytes);
    }
}

impl Drop for Answering {
    fn drop(&mut self) {
        self.0 .0.limiter.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Drop for SlotInner {
    fn drop(&mut self) {
        let base = self.base.load(Ordering::Relaxed);
        self.limiter.0.open.lock().remove(&self.id);
        self.limiter.release(base);
    }
}
