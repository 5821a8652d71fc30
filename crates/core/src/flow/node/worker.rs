//! The worker of an agent, and how long it may be silent.

use std::time::Duration;

use crate::flow::message::{EndNumber, WorkerInfo};
use crate::time::Time;

/// Time without an answered listing after which the worker's permission to run tasks is not renewed
/// any more. Longer than one listing that is lost and one that is repeated.
const MAX_WORKER_SILENCE: Duration = Duration::from_millis(3_000);
/// Time after the expiry of a silent worker's permission before the worker is taken to have stopped
/// all its runs; covers rounding of lease times.
const PERMISSION_MARGIN: Duration = Duration::from_millis(200);

/// The worker that the agent manages.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) info: WorkerInfo,
    /// Sequence number of the worker's newest heartbeat.
    pub(super) last_sequence: u64,
    /// The worker's clock in milliseconds in the last listing, and the agent's time when it
    /// arrived.
    pub(super) clock: Option<(u64, Time)>,
    /// Sequence number of the last end of a run that the owner has acknowledged; 0 if none.
    pub(super) acknowledged: EndNumber,
    /// Sequence number of the last end of a run that was sent to the owner; 0 if none.
    pub(super) forwarded: EndNumber,
    /// Number of consecutive connections that the worker's address has refused.
    pub(super) refusals: u32,
    /// When the first listing was requested that the worker has not answered; `None` if it has
    /// answered all.
    pub(super) unanswered_since: Option<Time>,
    /// When the permission to run tasks expires that the worker was given last.
    pub(super) granted_until: Time,
}

impl Worker {
    /// Tells whether the worker has not answered a listing for a long time.
    pub(super) fn is_silent(&self, now: Time) -> bool {
        self.unanswered_since.is_some_and(|since| now >= since + MAX_WORKER_SILENCE)
    }

    /// Tells whether a silent worker has stopped all its runs, because its permission has expired.
    /// An earlier agent may have given it a permission too, for at most `permission` before the first
    /// listing that was not answered.
    pub(super) fn has_stopped_all(&self, now: Time, permission: Duration) -> bool {
        let until = self.unanswered_since.map(|since| self.granted_until.max(since + permission));
        self.is_silent(now) && until.is_some_and(|until| now >= until + PERMISSION_MARGIN)
    }
}
