//! Table of idempotency keys at the agent that holds their buckets, so that each key runs at most
//! once within the retention.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::keys::{self, lists};
use crate::message::entry::TableKey;
use crate::time::Time;

/// Time for which a key is kept after its request has ended.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Size of the largest response body that is kept, in bytes.
pub const ANSWER_LIMIT: usize = 16 * 1024;
/// Maximum size of all kept responses, in bytes: a quarter of the memory that a node allows for
/// control.
pub const STORED_LIMIT: usize = 32 * 1024 * 1024;
/// Maximum number of keys in the table. New keys are refused until others expire.
pub const KEY_LIMIT: usize = 64 * 1024;

/// Maximum number of keys in one page of the table. A page is about 2.5 KB; a node has 4 KB/s for
/// control, and one page per second is requested.
pub const PAGE_LIMIT: usize = 128;

/// A complete HTTP response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(Bytes, Bytes)>,
    pub body: Bytes,
}

impl Answer {
    /// Returns the size of the headers and the body in bytes.
    fn size(&self) -> usize {
        let headers = self.headers.iter().map(|(name, value)| name.len() + value.len());
        self.body.len() + headers.sum::<usize>()
    }
}

/// Decision of the key table about a request with a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// The caller of [`KeyTable::claim`] must run the request, then call [`KeyTable::settle`].
    Run,
    /// Another request with the key is running; its outcome is the outcome of this one too.
    Join,
    /// The key has run; its kept response answers this request too.
    Replay(Arc<Answer>),
    /// The key may have run, but no response is kept.
    Unknown,
    /// The table is full, and the key was not run.
    Full,
}

/// Outcome of a run of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The run ended with a complete response.
    Answered(Arc<Answer>),
    /// The key may have run, but its response is incomplete or was not kept.
    Unknown,
    /// The key certainly did not run, so a later request may run it.
    NotRun,
}

/// State of a key in the table.
#[derive(Debug)]
enum State {
    Running,
    /// Has run, with its kept response.
    Answered(Arc<Answer>),
    /// May have run, without a kept response.
    Unknown,
}

/// Keys that one agent incarnation runs or has run, with their responses.
#[derive(Debug, Default)]
pub struct KeyTable {
    keys: HashMap<Bytes, State>,
    /// Keys whose run has ended, oldest first, with the time at which each expires.
    settled: VecDeque<(Time, Bytes)>,
    /// Keys with a kept response, oldest first.
    answered: VecDeque<Bytes>,
    /// Size of all kept responses in bytes.
    stored_bytes: usize,
}

impl KeyTable {
    /// Decides about a request with `key`, and marks the key as running for [`Claim::Run`].
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

    /// Records the outcome of the run of `key`. Does nothing when the key is not running.
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

    /// Returns the first [`PAGE_LIMIT`] keys with a hash above `after`, in the order of hashes, and
    /// whether there are more. A key that is removed as not run between the requests for two pages
    /// may be in neither page.
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

    /// Returns the number of keys in the table.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Tells whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the size of all kept responses in bytes.
    pub fn stored(&self) -> usize {
        self.stored_bytes
    }

    /// Removes the keys whose retention has passed.
    fn expire(&mut self, now: Time) {
        while let Some((due, _)) = self.settled.front() {
            if *due > now {
                break;
            }
            let Some((_, key)) = self.settled.pop_front() else { break };
            if let Some(State::Answered(answer)) = self.keys.remove(&key) {
                self.stored_bytes -= answer.size();
                // Both queues are in the order of outcomes, so this key is first in both.
                self.answered.pop_front();
            }
        }
    }

    /// Drops the oldest responses, but not their keys, until [`STORED_LIMIT`] is met.
    fn evict_answers(&mut self) {
        while self.stored_bytes > STORED_LIMIT {
            let Some(key) = self.answered.pop_front() else { break };
            if let Some(State::Answered(answer)) = self.keys.insert(key, State::Unknown) {
                self.stored_bytes -= answer.size();
            }
        }
    }
}
