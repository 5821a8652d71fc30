//! The choice of connections that are ended for others.

use std::cmp::Reverse;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use super::connection::{Connection, Eviction, Phase};

/// What is short.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Need {
    /// So many connections are to be closed.
    Connections(usize),
    /// `bytes` of memory are to be released for a request whose body has `size` bytes.
    Memory { bytes: usize, size: usize },
}

impl Need {
    /// Returns how a connection in `phase` is ended. A refused body still gets its response, which releases
    /// the memory at once and the connection later.
    pub(super) fn eviction(self, phase: Phase) -> Eviction {
        match (self, phase) {
            (Need::Memory { .. }, Phase::Body) => Eviction::Refuse,
            _ => Eviction::Close,
        }
    }

    /// Returns what the end of a connection contributes.
    fn share(self, connection: &Connection) -> usize {
        match self {
            Need::Connections(_) => 1,
            Need::Memory { .. } => connection.memory.load(Ordering::Relaxed),
        }
    }

    fn amount(self) -> usize {
        match self {
            Need::Connections(count) => count,
            Need::Memory { bytes, .. } => bytes,
        }
    }
}

/// Rank of a connection among those that may be ended, the lowest first; `None` if it may not. Connections whose
/// requests are being answered are never ended.
fn rank(connection: &Connection, need: Need, now: Duration) -> Option<(u8, Reverse<usize>, u64)> {
    let progress_ms = connection.progress_ms.load(Ordering::Relaxed);
    let is_stalled = connection.is_stalled(now);
    let memory = connection.memory.load(Ordering::Relaxed);
    let phase = connection.phase();
    let is_new = connection.answered.load(Ordering::Relaxed) == 0;
    let class = match need {
        _ if phase == Phase::Answering => return None,
        _ if phase == Phase::Closing => 0,
        // By what the connection has shown: one that was never of use first, one that waits for its next
        // request later, one that is receiving a request last.
        Need::Connections(_) => match (is_stalled, is_new) {
            (true, true) => 1,
            (true, false) => 2,
            (false, true) => 3,
            (false, false) => 4,
        },
        Need::Memory { .. } if is_stalled => 1,
        // A large request before a small one. Those of one size are left to finish.
        Need::Memory { size, .. } if connection.request_size() > size => 2,
        Need::Memory { .. } => return None,
    };
    let weight = match need {
        Need::Connections(_) => 0,
        Need::Memory { .. } => memory,
    };
    Some((class, Reverse(weight), progress_ms))
}

/// Chooses which of `connections` to end, beside those that are being ended, and tells whether both together
/// satisfy `need`. Chooses none if they do not, except that too few connections are better than none.
pub(super) fn choose<'a>(
    connections: impl Iterator<Item = &'a Arc<Connection>>,
    need: Need,
    now: Duration,
) -> (Vec<Arc<Connection>>, bool) {
    let mut expected = 0;
    let mut candidates = Vec::new();
    for connection in connections {
        match (connection.eviction(), need, connection.phase()) {
            (Eviction::Close, ..) | (Eviction::Refuse, Need::Memory { .. }, Phase::Body) => {
                expected += need.share(connection);
            }
            // A refused request holds little more than its connection, which may still be closed.
            _ => candidates.extend(rank(connection, need, now).map(|rank| (rank, connection))),
        }
    }
    candidates.sort_unstable_by_key(|(rank, _)| *rank);
    let mut chosen = Vec::new();
    for (_, connection) in candidates {
        if expected >= need.amount() {
            break;
        }
        expected += need.share(connection);
        chosen.push(connection.clone());
    }
    let suffices = expected >= need.amount();
    if !suffices && matches!(need, Need::Memory { .. }) {
        chosen.clear();
    }
    (chosen, suffices)
}
