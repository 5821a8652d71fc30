//! Routes of an entry while the store, or its watches, misbehave.

use std::time::{Duration, Instant};

use peridotfold_core::flow::message::Stored;
use peridotfold_hosted::entry::Entry;
use peridotfold_wire::runtime;

use crate::ownership::{start_entry, wait_for_owner};
use crate::support::{spec, MemoryStore, Watches, CONFIG_BOUND};

/// Waits until the entry has applied a version. Returns how long that took; `None` if it takes twice
/// the bound.
async fn wait_for_version(entry: &Entry<MemoryStore>, version: u64) -> Option<Duration> {
    let started_at = Instant::now();
    while started_at.elapsed() < CONFIG_BOUND * 2 {
        if entry.routes().is_some_and(|routes| routes.version == version) {
            return Some(started_at.elapsed());
        }
        runtime::sleep(Duration::from_millis(10)).await;
    }
    None
}

/// Fails unless the entry applies a version within the bound.
async fn assert_in_force(entry: &Entry<MemoryStore>, version: u64, fault: &str) {
    let took = wait_for_version(entry, version).await;
    let is_in_time = took.is_some_and(|took| took <= CONFIG_BOUND);
    assert!(is_in_time, "{fault}: version {version} in force after {took:?}");
}

/// Tells whether the owner comes to know of this many waiting jobs within twice the bound.
async fn is_known(owner: &Entry<MemoryStore>, jobs: u64) -> bool {
    let started_at = Instant::now();
    while started_at.elapsed() < CONFIG_BOUND * 2 {
        if owner.waiting("q").await == Some(jobs) {
            return true;
        }
        runtime::sleep(Duration::from_millis(10)).await;
    }
    false
}

/// Guards against a configuration that an entry misses for good: a watch that heard nothing of it
/// was answered without changes, and the next one began after it.
#[test]
fn a_change_that_a_watch_has_missed_is_applied_when_watches_work_again() {
    smol::block_on(async {
        let store = MemoryStore::default();
        store.put_routes(1);
        let (entry, stop) = start_entry("first", &store);
        assert_in_force(&entry, 1, "none").await;
        store.set_watches(Watches::Deaf);
        runtime::sleep(Duration::from_millis(200)).await;
        store.put_routes(2);
        // The watch in progress ends without the change.
        runtime::sleep(CONFIG_BOUND).await;
        store.set_watches(Watches::Prompt);
        assert_in_force(&entry, 2, "deaf watches").await;
        drop(stop);
    });
}

/// Guards against an accepted job that no owner schedules, because a watch of the inbox that heard
/// nothing of it was answered without changes.
#[test]
fn a_job_that_a_watch_has_missed_is_known_when_watches_work_again() {
    smol::block_on(async {
        let store = MemoryStore::default();
        let (entry, stop) = start_entry("first", &store);
        assert!(wait_for_owner(&store, "first").await);
        store.set_watches(Watches::Deaf);
        runtime::sleep(Duration::from_millis(200)).await;
        assert_eq!(entry.submit(1, &spec(), CONFIG_BOUND).await, Stored::Yes);
        // Both the watch in progress and the one after it end without the job.
        runtime::sleep(Duration::from_millis(3_000)).await;
        store.set_watches(Watches::Prompt);
        assert!(is_known(&entry, 1).await, "the owner does not know the job");
        drop(stop);
    });
}

/// Guards against routes that are older than the bound because watches get no answer, or one that
/// cannot be read, while reads are answered.
#[test]
fn a_configuration_is_in_force_in_time_without_watches() {
    for watches in [Watches::Silent, Watches::Unreadable] {
        smol::block_on(async {
            let store = MemoryStore::default();
            store.put_routes(1);
            let (entry, stop) = start_entry("first", &store);
            assert_in_force(&entry, 1, "none").await;
            store.set_watches(watches);
            // The watch in progress is answered in time.
            runtime::sleep(CONFIG_BOUND).await;
            for version in 2..5 {
                store.put_routes(version);
                assert_in_force(&entry, version, &format!("{watches:?} watches")).await;
            }
            drop(stop);
        });
    }
}

/// Guards against accepted jobs that wait, because watches of the inbox get no answer, or one that
/// cannot be read: many large jobs at once exceed what the client reads.
#[test]
fn jobs_are_known_without_watches() {
    for watches in [Watches::Silent, Watches::Unreadable] {
        smol::block_on(async {
            let store = MemoryStore::default();
            let (entry, stop) = start_entry("first", &store);
            assert!(wait_for_owner(&store, "first").await);
            store.set_watches(watches);
            for job in 1..4 {
                assert_eq!(entry.submit(job, &spec(), CONFIG_BOUND).await, Stored::Yes);
                assert!(is_known(&entry, job).await, "{watches:?} watches: job {job} is not known");
            }
            drop(stop);
        });
    }
}

/// Guards against an entry that holds an old configuration because the store turns it away, although
/// the other entry has the new one. Either may be the owner.
#[test]
fn an_entry_that_the_store_turns_away_learns_a_configuration_from_its_peers() {
    for is_owner_refused in [false, true] {
        smol::block_on(async {
            let owner_store = MemoryStore::default();
            owner_store.put_routes(1);
            let (owner, owner_stop) = start_entry("first", &owner_store);
            assert!(wait_for_owner(&owner_store, "first").await);
            let follower_store = owner_store.second_handle();
            let (follower, follower_stop) = start_entry("second", &follower_store);
            // Time for the second entry to connect to the first.
            runtime::sleep(Duration::from_millis(500)).await;
            let (refused, refused_store) = match is_owner_refused {
                true => (owner, &owner_store),
                false => (follower, &follower_store),
            };
            refused_store.refuse(true);
            for version in 2..5 {
                runtime::sleep(Duration::from_millis(700)).await;
                refused_store.put_routes(version);
                let fault = format!("turned away, owner: {is_owner_refused}");
                assert_in_force(&refused, version, &fault).await;
            }
            drop((owner_stop, follower_stop));
        });
    }
}

/// Guards against requests on open connections that are answered by old routes while an entry stops:
/// the election ends before the connections do.
#[test]
fn routes_are_followed_until_the_process_ends() {
    smol::block_on(async {
        let store = MemoryStore::default();
        store.put_routes(1);
        let (entry, stop) = start_entry("first", &store);
        assert_in_force(&entry, 1, "none").await;
        stop.fire();
        runtime::sleep(Duration::from_millis(300)).await;
        store.put_routes(2);
        assert_in_force(&entry, 2, "stopping").await;
    });
}
