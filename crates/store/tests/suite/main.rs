//! Tests of the store client, the journal and the configuration repository against the stand-in
//! store.

mod contract;
mod faults;
mod journal;
mod racing;
mod repository;

use std::future::Future;
use std::sync::Once;
use std::time::Duration;

use peridotfold_standins::store::{Options, Store as StandIn};
use peridotfold_store::HttpStore;
use peridotfold_wire::runtime;

/// Time limit of calls and waits, longer than any pause of a busy machine. Tests that expect a
/// timeout use a shorter limit.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a test on a thread pool that all tests share.
fn run<T>(test: impl Future<Output = T>) -> T {
    static THREADS: Once = Once::new();
    THREADS.call_once(|| runtime::start_threads(3));
    smol::block_on(test)
}

/// Starts a stand-in store and a client of it.
async fn start() -> (StandIn, HttpStore) {
    let stand_in = StandIn::start(Options::default()).await.unwrap();
    let store = HttpStore::new(stand_in.address(), TIMEOUT);
    (stand_in, store)
}

/// Waits until `is_true` returns true; panics with `condition` after [`TIMEOUT`].
async fn eventually(condition: &str, is_true: impl Fn() -> bool) {
    let end = runtime::now() + TIMEOUT;
    while !is_true() {
        assert!(runtime::now() < end, "timed out: {condition}");
        runtime::sleep(Duration::from_millis(2)).await;
    }
}
