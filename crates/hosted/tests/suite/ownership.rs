//! Election and loss of the owner, between entries on loopback connections.

use std::net::SocketAddr;
use std::sync::{Arc, Once};
use std::time::{Duration, Instant};

use peridotfold_core::flow::message::Stored;
use peridotfold_hosted::entry::{Entry, EntrySettings};
use peridotfold_hosted::records;
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::{self, Trigger};

use crate::support::{settings, spec, MemoryStore};

/// Maximum time to a new owner after the lock is deleted: a lost pong, a search and a claim.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(6);

/// Starts an entry; it stops when the trigger is dropped or fires.
pub fn start(node: &str, store: &MemoryStore) -> Trigger {
    start_entry(node, store).1
}

/// Starts an entry and returns it with its stop trigger.
pub fn start_entry(node: &str, store: &MemoryStore) -> (Arc<Entry<MemoryStore>>, Trigger) {
    start_entry_with(store, |internal| settings(node, internal))
}

/// Starts an entry with the settings for its address and returns it with its stop trigger.
pub fn start_entry_with(
    store: &MemoryStore,
    settings: impl FnOnce(SocketAddr) -> EntrySettings,
) -> (Arc<Entry<MemoryStore>>, Trigger) {
    static POOL: Once = Once::new();
    POOL.call_once(|| runtime::start_threads(2));
    let free = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).unwrap();
    let internal = SocketAddr::from(([127, 0, 0, 1], free.port()));
    let entry = Arc::new(Entry::new(settings(internal), store.clone()));
    let (stop, stopping) = shutdown::channel();
    runtime::spawn(entry.clone().follow_routes()).detach();
    runtime::spawn(entry.clone().run(stopping.clone(), stopping)).detach();
    (entry, stop)
}

/// Waits until the lock names `node`; returns `false` on timeout.
pub async fn wait_for_owner(store: &MemoryStore, node: &str) -> bool {
    let started_at = Instant::now();
    while started_at.elapsed() < TAKEOVER_TIMEOUT {
        let lock = store.peek(records::LOCK);
        let lock = lock.and_then(|value| records::decode::<records::Lock>(&value).ok());
        if lock.is_some_and(|lock| lock.node == node) {
            return true;
        }
        runtime::sleep(Duration::from_millis(20)).await;
    }
    false
}

/// Guards against a cluster without an owner: the store refuses the owner's calls, its lock
/// expires, and the other entries do not claim it because the former owner still answers them. This
/// occurred in the trouble-1 scenario of the guide workload.
#[test]
fn an_owner_that_the_store_turns_away_is_replaced() {
    smol::block_on(async {
        let store = MemoryStore::default();
        let first = start("first", &store);
        assert!(wait_for_owner(&store, "first").await);
        let second_store = store.second_handle();
        let second = start("second", &second_store);
        // Time for the second entry to connect to the first.
        runtime::sleep(Duration::from_millis(500)).await;
        store.refuse(true);
        runtime::sleep(Duration::from_secs(3)).await;
        store.expire_lock_of("first");
        assert!(wait_for_owner(&store, "second").await);
        drop((first, second));
    });
}

/// Guards against seconds without an owner while the store answers all entries but the owner's: its
/// lock then lasted to the end of its lease, and tasks waited. Seen on the trouble-1 day of the
/// third deployment.
#[test]
fn an_owner_that_the_store_turns_away_hands_over_before_its_lease_ends() {
    smol::block_on(async {
        let store = MemoryStore::default();
        let first = start("first", &store);
        assert!(wait_for_owner(&store, "first").await);
        let second = start("second", &store.second_handle());
        // Time for the second entry to connect to the first.
        runtime::sleep(Duration::from_millis(500)).await;
        store.refuse(true);
        let refused_at = Instant::now();
        // The lock never expires here.
        assert!(wait_for_owner(&store, "second").await);
        let took = refused_at.elapsed();
        assert!(took < Duration::from_secs(2), "{took:?} without an owner");
        drop((first, second));
    });
}

/// Guards against an owner that gives its ownership up during an outage of the store for all, in
/// which it could still start tasks until its lease ends.
#[test]
fn an_owner_stays_while_the_store_answers_nobody() {
    smol::block_on(async {
        let store = MemoryStore::default();
        let first = start("first", &store);
        assert!(wait_for_owner(&store, "first").await);
        let second_store = store.second_handle();
        let second = start("second", &second_store);
        runtime::sleep(Duration::from_millis(500)).await;
        let lock = store.peek(records::LOCK);
        store.refuse(true);
        second_store.refuse(true);
        runtime::sleep(Duration::from_secs(2)).await;
        store.refuse(false);
        second_store.refuse(false);
        runtime::sleep(Duration::from_secs(1)).await;
        assert_eq!(store.peek(records::LOCK), lock);
        drop((first, second));
    });
}

/// Guards against a lock that remains for three seconds, the time to live of its lease, after its
/// owner was stopped during a write. This occurred in the trouble-1 scenario of the enlarged guide
/// workload, in a rolling restart of all entries.
#[test]
fn an_owner_that_is_stopped_during_a_write_gives_its_lock_up() {
    smol::block_on(async {
        let store = MemoryStore::default();
        let (first, first_stop) = start_entry("first", &store);
        assert!(wait_for_owner(&store, "first").await);
        let before = store.writes();
        store.delay_answers(Duration::from_millis(200));
        let stored = first.submit(1, &spec(), Duration::from_secs(1)).await;
        assert_eq!(stored, Stored::Yes);
        first.cancel(1, Duration::from_secs(1)).await;
        let started_at = Instant::now();
        while store.writes() < before + 3 && started_at.elapsed() < Duration::from_secs(2) {
            runtime::sleep(Duration::from_millis(5)).await;
        }
        first_stop.fire();
        runtime::sleep(Duration::from_secs(1)).await;
        assert_eq!(store.peek(records::LOCK), None);
    });
}

/// Guards against two owners that both start a new job: the store deletes the lock of an owner
/// before its lease ends, another entry claims it, and the first owner relies on the lease by its
/// own clock. This occurred with seed 1012 of the soak test: four tasks ran twice.
#[test]
fn an_owner_whose_lock_another_entry_holds_ends_before_it_sees_later_jobs() {
    smol::block_on(async {
        let store = MemoryStore::default();
        let (first, stop) = start_entry("first", &store);
        assert!(wait_for_owner(&store, "first").await);
        let started_at = Instant::now();
        while first.waiting("q").await.is_none() && started_at.elapsed() < TAKEOVER_TIMEOUT {
            runtime::sleep(Duration::from_millis(20)).await;
        }
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        let lock = records::Lock { node: "other".to_owned(), boot: 1, address };
        store.put(records::LOCK, records::encode(&lock).expect("a record"));
        let started_at = Instant::now();
        while first.waiting("q").await.is_some() && started_at.elapsed() < TAKEOVER_TIMEOUT {
            runtime::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(first.waiting("q").await, None, "the first entry is still the owner");
        drop(stop);
    });
}

/// Guards against a former owner that refuses submissions because the store refuses its calls,
/// although the new owner could store the jobs. This occurred in incident inc-3e4e: 34 refusals in
/// 6 s.
#[test]
fn a_former_owner_that_the_store_turns_away_stores_jobs_through_the_new_one() {
    smol::block_on(async {
        let store = MemoryStore::default();
        let (first, first_stop) = start_entry("first", &store);
        assert!(wait_for_owner(&store, "first").await);
        let second_store = store.second_handle();
        let second_stop = start("second", &second_store);
        runtime::sleep(Duration::from_millis(500)).await;
        store.refuse(true);
        runtime::sleep(Duration::from_secs(3)).await;
        store.expire_lock_of("first");
        assert!(wait_for_owner(&store, "second").await);
        let started_at = Instant::now();
        let mut job = 1;
        let is_stored = loop {
            let outcome = first.submit(job, &spec(), Duration::from_secs(1)).await;
            if outcome == Stored::Yes || started_at.elapsed() > TAKEOVER_TIMEOUT {
                break outcome == Stored::Yes;
            }
            job += 1;
            runtime::sleep(Duration::from_millis(100)).await;
        };
        assert!(is_stored, "{job} jobs refused");
        drop((first_stop, second_stop));
    });
}

/// Guards against an owner whose lease ends although the store would renew it, because the renewal
/// waits for a write that gets no answer. All tasks then wait, and running ones lapse.
#[test]
fn the_lease_is_renewed_while_a_write_gets_no_answer() {
    smol::block_on(async {
        let store = MemoryStore::default();
        let stop = start("first", &store);
        assert!(wait_for_owner(&store, "first").await);
        store.put(&records::job_key(1), records::encode(&spec()).expect("a record"));
        store.put(&records::cancel_key(1), records::encode(&0u8).expect("a record"));
        let before = store.writes();
        store.delay_answers(Duration::from_secs(10));
        let started_at = Instant::now();
        while store.writes() == before && started_at.elapsed() < TAKEOVER_TIMEOUT {
            runtime::sleep(Duration::from_millis(20)).await;
        }
        assert!(store.writes() > before, "the owner writes the cancelled job");
        let renewals = store.renewals();
        runtime::sleep(Duration::from_secs(3)).await;
        let renewals = store.renewals() - renewals;
        assert!(renewals >= 2, "{renewals} renewals within a lease of 3 s");
        drop(stop);
    });
}

/// Guards against cancellations of unknown jobs that stay in the store for good.
#[test]
fn the_owner_removes_a_cancel_of_an_unknown_job_from_the_store() {
    smol::block_on(async {
        let store = MemoryStore::default();
        let retention = Duration::from_secs(1);
        let (entry, stop) = start_entry_with(&store, |internal| {
            let mut settings = settings("first", internal);
            settings.owner.keep_ended = retention;
            settings
        });
        assert!(wait_for_owner(&store, "first").await);
        assert_eq!(entry.cancel(7, Duration::from_secs(1)).await, Stored::Unknown);
        let started_at = Instant::now();
        let mut job = 100;
        // The removal shares a write with the records of other jobs.
        while store.peek(&records::cancel_key(7)).is_some()
            && started_at.elapsed() < TAKEOVER_TIMEOUT
        {
            entry.submit(job, &spec(), Duration::from_secs(1)).await;
            entry.cancel(job, Duration::from_secs(1)).await;
            job += 1;
            runtime::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(store.peek(&records::cancel_key(7)), None);
        assert!(started_at.elapsed() >= retention, "removed too early");
        drop(stop);
    });
}
