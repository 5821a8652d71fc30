//! The worker of an agent, how long it may be silent, and how it exits.

use std::time::Duration;

use super::reports::ReportOrder;
use super::{Outcome, MAX_LIST_WAIT};
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
    /// Which of the heartbeats under the worker's ID count.
    pub(super) reports: ReportOrder,
    /// The worker's clock in milliseconds in the last listing, and the agent's time when it
    /// arrived.
    pub(super) clock: Option<(u64, Time)>,
    /// Sequence number of the last end of a run that the owner has acknowledged; 0 if none.
    pub(super) acknowledged: EndNumber,
    /// Sequence number of the last end of a run that was sent to the owner; 0 if none.
    pub(super) forwarded: EndNumber,
    /// Whether the worker has deregistered without telling its incarnation, and has not reported since.
    pub(super) is_signed_off: bool,
    /// How and when the process exited, while a run of it may go on in the next incarnation.
    pub(super) held: Option<(Exit, Time)>,
    /// Number of consecutive connections that the worker's address has refused.
    pub(super) refusals: u32,
    /// When the first listing was requested that the worker has not answered; `None` if it has
    /// answered all.
    pub(super) unanswered_since: Option<Time>,
    /// When the permission to run tasks expires that the worker was given last.
    pub(super) granted_until: Time,
    /// When the worker last answered a listing or accepted a start.
    pub(super) answered_at: Time,
    /// When the worker's process may have exited: since then no call has shown that it lives. `None`
    /// if none has failed.
    pub(super) failed_at: Option<Time>,
}

/// How it became known that a worker's process has exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Exit {
    /// The worker deregistered.
    SignedOff,
    /// Nothing listens at the worker's address.
    Refused,
    /// Another incarnation answered a call to the worker.
    OtherLife,
    /// Another incarnation has reported and answered.
    Replaced,
    /// The worker has answered nothing until its permission expired. Its process may still live.
    Silent,
}

impl Exit {
    /// Tells whether the process has crashed, unless it was about to exit.
    pub(super) fn is_crash(self) -> bool {
        matches!(self, Exit::Refused | Exit::OtherLife | Exit::Replaced)
    }

    /// Returns the reason for the log.
    pub(super) fn reason(self) -> &'static str {
        match self {
            Exit::SignedOff => "signed off",
            Exit::Refused => "connection refused",
            Exit::OtherLife => "another life answers",
            Exit::Replaced => "replaced",
            Exit::Silent => "silent",
        }
    }
}

impl Worker {
    /// Returns a worker that has answered its first listing.
    pub(super) fn new(info: WorkerInfo, reports: ReportOrder) -> Self {
        Worker {
            info,
            reports,
            clock: None,
            acknowledged: 0,
            forwarded: 0,
            is_signed_off: false,
            held: None,
            refusals: 0,
            unanswered_since: None,
            granted_until: Time::ZERO,
            answered_at: Time::ZERO,
            failed_at: None,
        }
    }

    /// Tells whether the process has exited and a run of it may go on in the next incarnation.
    pub(super) fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Notes that the worker has answered.
    pub(super) fn prove_alive(&mut self, now: Time) {
        self.answered_at = now;
        self.failed_at = None;
    }

    /// Notes the failure of a call that was sent at `sent_at`. A connection that breaks does so when the
    /// process exits; other failures tell only that it was gone by then.
    pub(super) fn note_failure(&mut self, now: Time, sent_at: Time, outcome: &Outcome) {
        let is_prompt = now < sent_at + MAX_LIST_WAIT;
        let at = match outcome {
            Outcome::Unclear if is_prompt => now,
            Outcome::Unclear | Outcome::Unnamed | Outcome::OtherLife | Outcome::NotThere => {
                self.answered_at
            }
            Outcome::Done | Outcome::Refused(_) | Outcome::OldToken => return,
        };
        self.failed_at.get_or_insert(at);
    }

    /// Returns when the worker's process exited if its last connection broke, otherwise when it last
    /// answered.
    pub(super) fn exited_at(&self) -> Time {
        self.failed_at.unwrap_or(self.answered_at)
    }

    /// Tells whether the worker has not answered a listing for a long time.
    pub(super) fn is_silent(&self, now: Time) -> bool {
        self.unanswered_since.is_some_and(|since| now >= since + MAX_WORKER_SILENCE)
    }

    /// Tells whether a silent worker has stopped all its runs, because its permission has expired.
    /// An earlier agent may have given it a permission too, for at most `permission` before the first
    /// listing that was not answered.
    pub(super) fn has_stopped_all(&self, now: Time, permission: Duration) -> bool {
        let until = self.unanswered_since.map(|since| self.granted_until.max(since + permission));
        !self.is_held()
            && self.is_silent(now)
            && until.is_some_and(|until| now >= until + PERMISSION_MARGIN)
    }
}
