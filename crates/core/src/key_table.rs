//! Idempotency keys at their holder: each key runs at most once within the retention.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::keys::{self, lists};
use crate::message::entry::TableKey;
use crate::time::Time;

/// Time for which the outcome of a key is kept, counted from the outcome.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Largest response body that is kept.
pub const ANSWER_LIMIT: usize = 16 * 1024;
/// Bytes of all kept responses. A quarter of the memory that a node allows for control.
pub const STORED_LIMIT: usize = 32 * 1024 * 1024;
/// Keys in the table. Further ones are refused until others expire.
pub const KEY_LIMIT: usize = 64 * 1024;

/// Keys in one page of the table: about 2.5 KB. A node has 4 KB/s for control, and one page is
/// asked for each second.
pub const PAGE_LIMIT: usize = 128;

/// A whole response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(Bytes, Bytes)>,
    pub body: Bytes,
}

impl Answer {
    fn size(&self) -> usize {
        let headers = self.headers.iter().map(|(name, value)| name.len() + value.len());
        self.body.len() + headers.sum::<usize>()
    }
}

/// Decision about a request with a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// The caller of [`KeyTable::claim`] runs the request and has to call [`KeyTable::settle`].
    Run,
    /// Another request with the key runs; its outcome is this one's as well.
    Join,
    Replay(Arc<Answer>),
    /// The key may have run, and its response is not known.
    Unknown,
    /// The table is full; the key was not run.
    Full,
}

/// Outcome of a request with a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    Answered(Arc<Answer>),
    /// Answered, but the response was not kept or was cut.
    Unknown,
    /// Certainly not run: the key is free again.
    NotRun,
}

#[derive(Debug)]
enum State {
    Running,
    Answered(Arc<Answer>),
    Unknown,
}

/// Keys of one holder.
#[derive(Debug, Default)]
pub struct KeyTable {
    keys: HashMap<Bytes, State>,
    /// Settled keys, oldest first, with the time at which each expires.
    settled: VecDeque<(Time, Bytes)>,
    /// Keys with a kept response, oldest first.
    answered: VecDeque<Bytes>,
    stored_bytes: usize,
}

impl KeyTable {
    /// Decides about a request with `key`.
    pub fn claim(&mut self, now: Time, key: &Bytes) -> Claim {
        self.expire(now);
        match self.keys.get(key) {
            Some(State::Running) => Claim::Join,
            Some(State::Answered(answer)) => Claim::Replay(answer.clone()),
            Some(State::Unknown) => Claim::Unknown,
            None if self.keys.len() >= KEY_LIMIT => Claim::Full,
            None => {
                self.keys.insert(key.clone(), State::Running);
                Claim::Run
            }
        }
    }

    /// Ends the run of `key`. Does nothing when the key does not run.
    pub fn settle(&mut self, now: Time, key: &Bytes, outcome: Outcome) {
        if !matches!(self.keys.get(key), Some(State::Running)) {
            return;
        }
        let state = match outcome {
            Outcome::NotRun => {
                self.keys.remove(key);
                return;
            }
            Outcome::Answered(answer) if answer.body.len() <= ANSWER_LIMIT => {
                self.stored_bytes += answer.size();
                self.answered.push_back(key.clone());
                State::Answered(answer)
            }
            Outcome::Answered(_) | Outcome::Unknown => State::Unknown,
        };
        self.keys.insert(key.clone(), state);
        self.settled.push_back((now + RETENTION, key.clone()));
        self.evict_answers();
    }

    /// Returns the keys with a hash above `after`, as many as one page has, and whether there are
    /// more. Keys that are settled as not run between two pages may be in neither.
    pub fn page(&self, after: Option<u128>) -> (Vec<TableKey>, bool) {
        let keys = self.keys.iter().map(|(key, state)| TableKey {
            hash: lists::hash_of(key),
            bucket: keys::bucket_of(key) as u8,
            running: matches!(state, State::Running),
        });
        let mut keys: Vec<_> =
            keys.filter(|key| after.is_none_or(|after| key.hash > after)).collect();
        keys.sort_unstable();
        let more = keys.len() > PAGE_LIMIT;
        keys.truncate(PAGE_LIMIT);
        (keys, more)
    }

    /// Number of keys in the table.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Tells whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Bytes of the kept responses.
    pub fn stored(&self) -> usize {
        self.stored_bytes
    }

    fn expire(&mut self, now: Time) {
        while let Some((due, _)) = self.settled.front() {
            if *due > now {
                break;
            }
            let Some((_, key)) = self.settled.pop_front() else { break };
            if let Some(State::Answered(answer)) = self.keys.remove(&key) {
                self.stored_bytes -= answer.size();
                // Both queues are in the order of outcomes, so the key is the oldest here too.
                self.answered.pop_front();
            }
        }
    }

    /// Drops the oldest responses, but not their keys, while too much is stored.
    fn evict_answers(&mut self) {
        while self.stored_bytes > STORED_LIMIT {
            let Some(key) = self.answered.pop_front() else { break };
            if let Some(State::Answered(answer)) = self.keys.insert(key, State::Unknown) {
                self.stored_bytes -= answer.size();
            }
        }
    }
}
