//! The routes that an entry has applied, and how recently they were known to be the newest ones.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::Routes;
use crate::flow::message::RoutesReply;
use crate::flow::model::Queue;
use crate::time::Time;

/// Time for which a watch waits, in percent of the bound on the age of routes.
const WATCH_PERCENT: u32 = 60;
/// Age at which the routes are checked beside the watch, in percent of the bound. Above the wait of a
/// watch, so that an answered watch saves the check; the rest of the bound is left to the check.
const CHECK_PERCENT: u32 = 70;
/// Interval between a check that failed and the next one, in percent of the bound.
const FIRST_RETRY_PERCENT: u32 = 12;
/// Number of times that this interval doubles while checks fail.
const MAX_DOUBLINGS: u32 = 2;

/// Routes with the stored configuration that defines them.
#[derive(Debug, Clone)]
pub struct StoredRoutes {
    pub routes: Arc<Routes>,
    /// Revision of the configuration in the store.
    pub revision: u64,
    /// The configuration as it is stored.
    pub value: Bytes,
}

/// Result of a search for the route of a request.
#[derive(Debug)]
pub enum Lookup<'a> {
    /// The queue, and the rest of the path after the prefix of its route.
    Found(Queue, &'a str),
    /// No such route exists.
    NotFound,
    /// There was no such route, but a newer configuration may have added it.
    Unknown,
}

/// The routes in force at an entry, and the age of that belief.
///
/// The age is counted from the latest moment at which these routes are known to have been the newest
/// ones. A source confirms them as of the moment at which it was asked, not at which it answered.
#[derive(Debug)]
pub struct RoutesView {
    /// Time within which a stored configuration must be in force.
    bound: Duration,
    current: Option<StoredRoutes>,
    /// When the routes were last known to be the newest ones.
    confirmed_at: Option<Time>,
    /// Revision of the newest stored configuration that could not be decoded.
    unreadable: Option<u64>,
    /// When the last check began.
    checked_at: Option<Time>,
    /// Number of checks in a row that did not confirm the routes.
    failures: u32,
    /// Whether the routes were stale at the last call of [`RoutesView::poll`].
    was_stale: bool,
}

impl RoutesView {
    /// Creates a view without routes. A stored configuration must be in force within `bound`.
    pub fn new(bound: Duration) -> Self {
        RoutesView {
            bound,
            current: None,
            confirmed_at: None,
            unreadable: None,
            checked_at: None,
            failures: 0,
            was_stale: false,
        }
    }

    /// Applies routes unless their version is at most the current one. Tells whether it did.
    pub fn apply(&mut self, offered: StoredRoutes) -> bool {
        let is_newer = offered.routes.version > self.version() || self.current.is_none();
        if is_newer {
            self.current = Some(offered);
        }
        is_newer
    }

    /// Notes that the current routes were the newest ones at `as_of`. Does nothing if a newer
    /// configuration is stored that could not be decoded.
    pub fn confirm(&mut self, as_of: Time) {
        let revision = self.current.as_ref().map(|stored| stored.revision);
        if self.unreadable <= revision {
            self.confirmed_at = self.confirmed_at.max(Some(as_of));
        }
    }

    /// Notes that the configuration stored at `revision` could not be decoded.
    pub fn note_unreadable(&mut self, revision: u64) {
        self.unreadable = self.unreadable.max(Some(revision));
    }

    /// Returns when the routes were last known to be the newest ones; `None` if they never were.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.confirmed_at
    }

    /// Returns the current routes; `None` before the first.
    pub fn current(&self) -> Option<&StoredRoutes> {
        self.current.as_ref()
    }

    /// Searches for the route of a request to `host` and `path`.
    pub fn find<'a>(&self, now: Time, host: &str, path: &'a str) -> Lookup<'a> {
        let found = self.current.as_ref().and_then(|stored| stored.routes.find(host, path));
        match found {
            Some((queue, rest)) => Lookup::Found(queue.clone(), rest),
            None if self.is_stale(now) => Lookup::Unknown,
            None => Lookup::NotFound,
        }
    }

    /// Returns the version of the current routes; 0 before the first.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |stored| stored.routes.version)
    }

    /// Returns the time since the routes were last known to be the newest ones; `None` if they never
    /// were.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Tells whether a newer configuration may have been in the store for longer than the bound.
    pub fn is_stale(&self, now: Time) -> bool {
        self.age(now).is_none_or(|age| age > self.bound)
    }

    /// Returns for how long a watch may wait, so that it confirms the routes before a check is due.
    pub fn watch_wait(&self) -> Duration {
        self.bound * WATCH_PERCENT / 100
    }

    /// Returns the age at which the routes are checked beside the watch.
    fn check_age(&self) -> Duration {
        self.bound * CHECK_PERCENT / 100
    }

    /// Returns the time until the next check whether the routes are the newest ones.
    pub fn check_in(&self, now: Time) -> Duration {
        let backoff =
            self.bound * FIRST_RETRY_PERCENT / 100 * (1 << self.failures.min(MAX_DOUBLINGS));
        let retry_at = self.checked_at.map_or(Time::ZERO, |at| at + backoff);
        let due_at = match (&self.current, self.confirmed_at) {
            (Some(_), Some(at)) => at + self.check_age(),
            (Some(_), None) => now,
            // Without routes, the first read is under way.
            (None, _) => now + self.bound,
        };
        due_at.max(retry_at).saturating_sub(now)
    }

    /// Returns what this entry tells a peer whose routes are of `version`.
    pub fn reply(&self, now: Time, version: u64) -> RoutesReply {
        let newer = self.current.as_ref().filter(|stored| stored.routes.version > version);
        RoutesReply {
            version: self.version(),
            age: self.age(now),
            newer: newer.map(|stored| (stored.revision, stored.value.clone())),
        }
    }

    /// Notes what a peer that was asked at `asked_at` knows, after the routes in its reply, if any,
    /// were applied. Tells whether that makes a check needless for now.
    pub fn hear(&mut self, asked_at: Time, now: Time, reply: &RoutesReply) -> bool {
        match reply.age {
            // A peer with other routes knows nothing about these ones.
            Some(age) if reply.version == self.version() => {
                self.confirm(asked_at.saturating_sub(age));
            }
            _ => {}
        }
        self.age(now).is_some_and(|age| age < self.check_age())
    }

    /// Notes the outcome of a check that began at `started_at`.
    pub fn checked(&mut self, started_at: Time, is_confirmed: bool) {
        self.checked_at = Some(started_at);
        self.failures = match is_confirmed {
            true => 0,
            false => self.failures.saturating_add(1),
        };
    }

    /// Returns whether the routes are stale if that has changed since the last call.
    pub fn poll(&mut self, now: Time) -> Option<bool> {
        let is_stale = self.current.is_some() && self.is_stale(now);
        let is_changed = is_stale != self.was_stale;
        self.was_stale = is_stale;
        is_changed.then_some(is_stale)
    }
}
