//! The routes that an entry has applied, and how recently they were known to be the newest ones.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::Routes;
use crate::time::Time;

/// Where an entry learned of its routes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// A watch of the store.
    Watch,
    /// A read of the store.
    Read,
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Source::Watch => "watch",
            Source::Read => "read",
        })
    }
}

/// Routes with the stored configuration that defines them.
#[derive(Debug, Clone)]
pub struct StoredRoutes {
    pub routes: Arc<Routes>,
    /// Revision of the configuration in the store.
    pub revision: u64,
    /// The configuration as it is stored.
    pub value: Bytes,
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
    /// Whether the routes were stale at the last call of [`RoutesView::poll`].
    was_stale: bool,
}

impl RoutesView {
    /// Creates a view without routes. A stored configuration must be in force within `bound`.
    pub fn new(bound: Duration) -> Self {
        RoutesView { bound, current: None, confirmed_at: None, was_stale: false }
    }

    /// Applies routes unless their version is at most the current one. Tells whether it did.
    pub fn apply(&mut self, offered: StoredRoutes) -> bool {
        let is_newer = offered.routes.version > self.version() || self.current.is_none();
        if is_newer {
            self.current = Some(offered);
        }
        is_newer
    }

    /// Notes that the current routes were the newest ones at `as_of`.
    pub fn confirm(&mut self, as_of: Time) {
        self.confirmed_at = self.confirmed_at.max(Some(as_of));
    }

    /// Returns the current routes; `None` before the first.
    pub fn current(&self) -> Option<&StoredRoutes> {
        self.current.as_ref()
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

    /// Returns the time until the routes become stale if nothing confirms them; the bound if they are
    /// stale already.
    pub fn stale_in(&self, now: Time) -> Duration {
        match self.age(now) {
            Some(age) if age <= self.bound => self.bound - age,
            _ => self.bound,
        }
    }

    /// Returns whether the routes are stale if that has changed since the last call.
    pub fn poll(&mut self, now: Time) -> Option<bool> {
        let is_stale = self.current.is_some() && self.is_stale(now);
        let is_changed = is_stale != self.was_stale;
        self.was_stale = is_stale;
        is_changed.then_some(is_stale)
    }
}
