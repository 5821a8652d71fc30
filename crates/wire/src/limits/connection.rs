//! What a limiter knows of an open connection.

use std::sync::atomic::{AtomicU64, AtomicU8, AtomicUsize, Ordering};
use std::task::Waker;
use std::time::Duration;

use parking_lot::Mutex;

use super::slot::STARTED_BYTES;
use crate::runtime;

/// Time without a received or sent byte after which a connection makes no progress.
const STALL_TIME: Duration = Duration::from_secs(1);
/// The same while a response is sent: the kernel's buffer takes more of it only after a part was received, which
/// is seconds later on a slow link.
const SEND_STALL_TIME: Duration = Duration::from_secs(10);

/// State of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(super) enum Phase {
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
pub(super) enum Eviction {
    None,
    /// The request whose body is being received is refused.
    Refuse,
    /// The connection is closed.
    Close,
}

/// What is known of an open connection.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) phase: AtomicU8,
    pub(super) eviction: AtomicU8,
    /// Memory held for the connection, in bytes.
    pub(super) memory: AtomicUsize,
    /// Size of the request body, announced or received so far.
    pub(super) body_size: AtomicUsize,
    /// Number of requests answered.
    pub(super) answered: AtomicUsize,
    /// When the last byte was received or sent, in milliseconds since the start of the process.
    pub(super) progress_ms: AtomicU64,
    /// Wakes the task of the connection.
    pub(super) waker: Mutex<Option<Waker>>,
}

impl Connection {
    pub(super) fn new() -> Self {
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

    pub(super) fn phase(&self) -> Phase {
        PHASES[usize::from(self.phase.load(Ordering::Relaxed))]
    }

    pub(super) fn eviction(&self) -> Eviction {
        match self.eviction.load(Ordering::Relaxed) {
            0 => Eviction::None,
            1 => Eviction::Refuse,
            _ => Eviction::Close,
        }
    }

    /// Asks the task of the connection to end it. A weaker request does not replace a stronger one.
    pub(super) fn evict(&self, eviction: Eviction) {
        self.eviction.fetch_max(eviction as u8, Ordering::Relaxed);
        let waker = self.waker.lock().take();
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// Tells whether no byte was received or sent for so long that the client is taken to make no progress.
    pub(super) fn is_stalled(&self, now: Duration) -> bool {
        let time = match self.phase() {
            Phase::Blocked | Phase::Sending => SEND_STALL_TIME,
            _ => STALL_TIME,
        };
        now >= Duration::from_millis(self.progress_ms.load(Ordering::Relaxed)) + time
    }

    /// Returns the size of the request that is being received: of its body, or of what its head takes beyond the
    /// memory that each connection has.
    pub(super) fn request_size(&self) -> usize {
        match self.phase() {
            Phase::Body | Phase::Upload => self.body_size.load(Ordering::Relaxed),
            _ => self.memory.load(Ordering::Relaxed).saturating_sub(STARTED_BYTES),
        }
    }

    pub(super) fn set_phase(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::Relaxed);
    }

    pub(super) fn progress(&self) {
        self.progress_ms.store(runtime::now().as_millis() as u64, Ordering::Relaxed);
    }
}
