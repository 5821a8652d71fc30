//! Idempotency keys of the agent: the key table, and the duplicate requests that wait for the
//! outcome of a running one.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use parking_lot::Mutex;
use peridotfold_core::id::{EntryId, Incarnation};
use peridotfold_core::key_table::{Answer, Claim, KeyTable, Outcome};
use peridotfold_core::message::entry::{KeyTableReply, KeyTableRequest};
use peridotfold_wire::runtime;

#[derive(Debug, Default)]
struct State {
    table: KeyTable,
    /// Channels to the duplicates that wait for the outcome of a running key.
    waiters: HashMap<Bytes, Vec<Sender<Outcome>>>,
    /// Ended incarnations of entries whose keys were recovered. Never removed: a delayed request
    /// may arrive at any time, and entries restart rarely.
    ended_entries: HashSet<(EntryId, Incarnation)>,
}

/// Idempotency keys of this agent. Clones share the table.
#[derive(Debug, Clone, Default)]
pub struct Keys {
    state: Arc<Mutex<State>>,
}

/// Decision about a request with an idempotency key.
#[derive(Debug)]
pub enum KeyDecision {
    /// The request must be run, and its outcome recorded in the [`KeyRun`].
    Run(KeyRun),
    /// Another request with the key is running; the receiver yields its outcome.
    Join(Receiver<Outcome>),
    /// The key has run; its kept response answers the request.
    Replay(Arc<Answer>),
    /// The key may have run, but no response is kept.
    Unknown,
    /// The key table is full, and the key was not run.
    Full,
    /// The sending incarnation of the entry has ended, and its successor has recovered its keys
    /// without this one.
    Ended,
}

/// The only run of a key. Dropping it without [`KeyRun::settle`] records an unknown outcome.
#[derive(Debug)]
pub struct KeyRun {
    keys: Keys,
    key: Bytes,
    /// Outcome to record when the run is dropped.
    outcome: Outcome,
}

impl Keys {
    /// Decides about a request with `key` that an incarnation of an entry sent.
    pub fn decide(&self, key: &Bytes, entry: &EntryId, incarnation: Incarnation) -> KeyDecision {
        let mut state = self.state.lock();
        if state.ended_entries.contains(&(entry.clone(), incarnation)) {
            return KeyDecision::Ended;
        }
        match state.table.claim(runtime::now(), key) {
            Claim::Run => {
                let key = key.clone();
                KeyDecision::Run(KeyRun { keys: self.clone(), key, outcome: Outcome::Unknown })
            }
            Claim::Join => {
                let (sender, receiver) = async_channel::bounded(1);
                state.waiters.entry(key.clone()).or_default().push(sender);
                KeyDecision::Join(receiver)
            }
            Claim::Replay(answer) => KeyDecision::Replay(answer),
            Claim::Unknown => KeyDecision::Unknown,
            Claim::Full => KeyDecision::Full,
        }
    }

    /// Returns a page of the key table to the successor of an ended incarnation of an entry.
    /// Further requests of the ended incarnation are refused, so the pages contain each of its keys
    /// that may have run.
    pub fn read_page(&self, request: &KeyTableRequest) -> KeyTableReply {
        let mut state = self.state.lock();
        state.ended_entries.insert((request.entry.clone(), request.ended));
        let (keys, more) = state.table.page(request.after);
        KeyTableReply::Page { keys, more }
    }

    /// Returns the number of keys in the table.
    pub fn len(&self) -> usize {
        self.state.lock().table.len()
    }

    /// Tells whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl KeyRun {
    /// Records the outcome of the run and passes it to the waiting duplicates.
    pub fn settle(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for KeyRun {
    fn drop(&mut self) {
        let mut state = self.keys.state.lock();
        state.table.settle(runtime::now(), &self.key, self.outcome.clone());
        for waiter in state.waiters.remove(&self.key).unwrap_or_default() {
            let _ = waiter.try_send(self.outcome.clone());
        }
    }
}
