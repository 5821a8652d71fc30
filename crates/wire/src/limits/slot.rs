//! The place of a connection in the limits of its server, and the memory that it holds.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Poll, Waker};
use std::time::Duration;

use futures_lite::future;

use super::connection::{Connection, Eviction, Phase};
use super::victims::Need;
use super::{Cause, ConnectionId, Limiter};
use crate::runtime;

/// Memory of a connection that has sent nothing yet: its tasks and registration.
const SILENT_BYTES: usize = 2 * 1024;
/// Memory of a connection that has sent something: buffers of the HTTP implementation and its state.
pub(super) const STARTED_BYTES: usize = 24 * 1024;
/// Part of a read buffer that [`STARTED_BYTES`] covers.
const COVERED_BYTES: usize = 8 * 1024;
/// Received bytes up to which a read buffer grows. It doubles, so that it takes up to twice as much.
const MAX_READ_BUFFER_BYTES: usize = crate::http_server::MAX_HEAD_BYTES;
/// Largest body that may use all of the memory and all concurrent requests. Larger ones leave a quarter of
/// both to requests of this size, which most are far below.
const SMALL_BODY_BYTES: usize = 16 * 1024;
/// Time for which requests of a size are not checked again after no connection could be closed for one of that
/// size. Without it, each refusal would look at all connections.
const SHORTAGE_TIME: Duration = Duration::from_millis(50);

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

impl Slot {
    /// Creates the place of a new connection.
    pub(super) fn new(id: ConnectionId, limiter: Limiter, connection: Arc<Connection>) -> Self {
        let slot = Slot(Arc::new(SlotInner {
            id,
            limiter,
            connection,
            base: AtomicUsize::new(0),
            received: AtomicUsize::new(0),
            is_unread: AtomicBool::new(false),
        }));
        slot.raise_base(SILENT_BYTES);
        slot
    }

    /// Returns the number of the connection.
    pub(super) fn id(&self) -> ConnectionId {
        self.0.id
    }

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

    fn phase(&self) -> Phase {
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
