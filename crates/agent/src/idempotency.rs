//! The key table with the duplicates that wait for a running request.

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
    waiters: HashMap<Bytes, Vec<Sender<Outcome>>>,
    /// Incarnations of entries that have ended and whose keys were taken over. Kept for the life of
    /// the process: a copy may be on its way for any time, and entries restart rarely.
    ended_entries: HashSet<(EntryId, Incarnation)>,
}

/// Idempotency keys of this agent.
#[derive(Debug, Clone, Default)]
pub struct Keys {
    state: Arc<Mutex<State>>,
}

/// What to do with a request that has a key.
#[derive(Debug)]
pub enum KeyDecision {
    Run(KeyRun),
    /// Yields the outcome of the running request.
    Join(Receiver<Outcome>),
    Replay(Arc<Answer>),
    Unknown,
    Full,
    /// The entry's process has ended, and another one knows its keys without this one.
    Ended,
}

/// The one run of a key. Dropping it without [`KeyRun::settle`] leaves the outcome unknown.
#[derive(Debug)]
pub struct KeyRun {
    keys: Keys,
    key: Bytes,
    outcome: Outcome,
}

impl Keys {
    /// Decides about a request with `key` from an incarnation of an entry.
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

    /// Returns a page of the table, which names each key that may have run for the ended
    /// incarnation of an entry: its later requests are refused from now on.
    pub fn read_page(&self, request: &KeyTableRequest) -> KeyTableReply {
        let mut state = self.state.lock();
        state.ended_entries.insert((request.entry.clone(), request.ended));
        let (keys, more) = state.table.page(request.after);
        KeyTableReply::Page { keys, more }
    }

    /// Number of keys in the table.
    pub fn len(&self) -> usize {
        self.state.lock().table.len()
    }

    /// Tells whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl KeyRun {
    /// Ends the run.
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
