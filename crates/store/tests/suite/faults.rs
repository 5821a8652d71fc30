//! Test store that injects faults into chosen writes and reads.

use std::collections::HashMap;
use std::future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use peridotfold_store::{HttpStore, PutOutcome, Store, StoreError, Versioned};
use peridotfold_wire::error::Step;
use peridotfold_wire::shutdown::{self, Shutdown, Trigger};

/// Fault injected into a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The write takes effect, but its response is lost.
    Lost,
    /// The write has no effect, and the error leaves its outcome open.
    Refused,
    /// The write does not reach the store, and the error says so.
    NotSent,
    /// The write times out, and takes effect just before the next write.
    Delayed,
    /// The write takes effect, and the writer crashes: the call never returns.
    CrashAfter,
    /// The writer crashes before the write takes effect: the call never returns.
    CrashBefore,
    /// The write is sent only after [`ScriptedStore::release`].
    Paused,
}

/// Faults to inject, and the calls counted so far.
#[derive(Debug)]
pub struct Script {
    /// Faults by the number of the write, from 0.
    faults: HashMap<usize, Fault>,
    /// Number of writes so far.
    puts: usize,
    /// Number of further reads that fail, starting with the next one.
    failing_gets: usize,
    /// Number of reads that fail after the next write with a fault.
    gets_to_fail: usize,
    /// Writes with [`Fault::Delayed`] that have not taken effect: key, expected version and value.
    delayed_puts: Vec<(String, u64, Bytes)>,
    /// Outcomes of the delayed writes that have reached the store, in order.
    delayed_outcomes: Vec<PutOutcome>,
    /// Signals indexed by [`CRASHED`], [`PAUSED`] and [`RELEASED`].
    signals: [(Trigger, Shutdown); 3],
}

/// Store client that injects the faults of a script. Clones share the script.
#[derive(Debug, Clone)]
pub struct ScriptedStore {
    inner: HttpStore,
    script: Arc<Mutex<Script>>,
}

/// Index in `Script::signals` of the signal fired when the writer crashes.
const CRASHED: usize = 0;
/// Index in `Script::signals` of the signal fired when a write is paused.
const PAUSED: usize = 1;
/// Index in `Script::signals` of the signal fired to let a paused write continue.
const RELEASED: usize = 2;

impl ScriptedStore {
    /// Builds a store client with the given faults, each with the number of its write, from 0.
    pub fn new(inner: HttpStore, faults: impl IntoIterator<Item = (usize, Fault)>) -> Self {
        let script = Script {
            faults: faults.into_iter().collect(),
            puts: 0,
            failing_gets: 0,
            gets_to_fail: 0,
            delayed_puts: Vec::new(),
            delayed_outcomes: Vec::new(),
            signals: [shutdown::channel(), shutdown::channel(), shutdown::channel()],
        };
        ScriptedStore { inner, script: Arc::new(Mutex::new(script)) }
    }

    /// Returns the number of writes so far.
    pub fn puts(&self) -> usize {
        self.script.lock().puts
    }

    /// Makes the next `count` reads fail.
    pub fn fail_gets(&self, count: usize) {
        self.script.lock().failing_gets = count;
    }

    /// Adds a fault for the write after the next `after` writes.
    pub fn fail_put(&self, after: usize, fault: Fault) {
        let mut script = self.script.lock();
        let number = script.puts + after;
        script.faults.insert(number, fault);
    }

    /// Adds a fault for the next write, and makes the next `gets` reads after it fail.
    pub fn fail_put_then_gets(&self, fault: Fault, gets: usize) {
        self.fail_put(0, fault);
        self.script.lock().gets_to_fail = gets;
    }

    /// Waits until a fault has crashed the writer.
    pub async fn crashed(&self) {
        self.wait(CRASHED).await;
    }

    /// Waits until a write is paused.
    pub async fn paused(&self) {
        self.wait(PAUSED).await;
    }

    /// Lets a paused write continue.
    pub fn release(&self) {
        self.fire(RELEASED);
    }

    /// Performs the delayed writes. Returns the outcomes of all delayed writes so far.
    pub async fn deliver_delayed(&self) -> Vec<PutOutcome> {
        let delayed_puts = std::mem::take(&mut self.script.lock().delayed_puts);
        for (key, expect, value) in delayed_puts {
            let outcome = self.inner.put(&key, expect, value).await.unwrap();
            self.script.lock().delayed_outcomes.push(outcome);
        }
        self.script.lock().delayed_outcomes.clone()
    }

    /// Waits until the signal with this index is fired.
    async fn wait(&self, signal: usize) {
        let signal = self.script.lock().signals[signal].1.clone();
        signal.wait().await;
    }

    /// Fires the signal with this index.
    fn fire(&self, signal: usize) {
        self.script.lock().signals[signal].0.fire();
    }

    fn error(&self, step: Step) -> StoreError {
        StoreError::new(step, "script", "scripted fault")
    }
}

impl Store for ScriptedStore {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        let is_failing = {
            let mut script = self.script.lock();
            let is_failing = script.failing_gets > 0;
            script.failing_gets = script.failing_gets.saturating_sub(1);
            is_failing
        };
        match is_failing {
            true => Err(self.error(Step::Receive)),
            false => self.inner.get(key).await,
        }
    }

    async fn put(&self, key: &str, expect: u64, value: Bytes) -> Result<PutOutcome, StoreError> {
        let fault = {
            let mut script = self.script.lock();
            script.puts += 1;
            let number = script.puts - 1;
            let fault = script.faults.get(&number).copied();
            if fault.is_some() {
                script.failing_gets += std::mem::take(&mut script.gets_to_fail);
            }
            fault
        };
        self.deliver_delayed().await;
        match fault {
            None => self.inner.put(key, expect, value).await,
            Some(Fault::Lost) => {
                self.inner.put(key, expect, value).await?;
                Err(self.error(Step::Receive))
            }
            Some(Fault::Refused) => Err(self.error(Step::Receive)),
            Some(Fault::NotSent) => Err(self.error(Step::Connect)),
            Some(Fault::Delayed) => {
                self.script.lock().delayed_puts.push((key.to_owned(), expect, value));
                Err(self.error(Step::Timeout))
            }
            Some(Fault::CrashAfter) => {
                self.inner.put(key, expect, value).await?;
                self.fire(CRASHED);
                future::pending().await
            }
            Some(Fault::CrashBefore) => {
                self.fire(CRASHED);
                future::pending().await
            }
            Some(Fault::Paused) => {
                self.fire(PAUSED);
                self.wait(RELEASED).await;
                self.inner.put(key, expect, value).await
            }
        }
    }

    async fn delete(&self, key: &str) -> Result<(), StoreError> {
        self.inner.delete(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<(String, Versioned)>, StoreError> {
        self.inner.list(prefix).await
    }

    async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        self.inner.watch(key, after, wait).await
    }
}
