//! Answers of an entry while its store changes or fails at chosen points.

use std::net::SocketAddr;
use std::time::Duration;

use peridotfold_core::flow::message::Stored;
use peridotfold_core::flow::progress::{Phase, Progress};
use peridotfold_hosted::entry::{Entry, StateAnswer};
use peridotfold_hosted::ports::{Store, Write};
use peridotfold_hosted::records;

use crate::support::{settings, spec, MemoryStore};

/// Number of the job under test.
const JOB: u64 = 7;
/// Timeout of each submission and cancellation.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Creates an entry on the given store, without starting it.
fn entry(store: &MemoryStore) -> Entry<MemoryStore> {
    let internal = SocketAddr::from(([127, 0, 0, 1], 1));
    Entry::new(settings("front", internal), store.clone())
}

/// Returns the write with which the owner ends the job.
fn end() -> Write {
    let progress = Progress { phase: Phase::Completed, ..Progress::default() };
    Write {
        expect: Vec::new(),
        puts: vec![(records::progress_key(JOB), records::encode(&progress).unwrap(), None)],
        removes: vec![records::job_key(JOB)],
    }
}

/// Guards against an answer "unknown" for a job that ends between the reads of its two keys. This
/// occurred in the scale-2 scenario of the auction workload.
#[test]
fn a_job_that_ends_between_two_reads_is_known() {
    for reads in 0..3 {
        let store = MemoryStore::default();
        let entry = entry(&store);
        smol::block_on(async {
            assert_eq!(entry.submit(JOB, &spec(), CALL_TIMEOUT).await, Stored::Yes);
            store.write_after_reads(reads, end());
            let answer = entry.state(JOB).await;
            assert_ne!(answer, StateAnswer::Unknown, "end after {reads} reads");
        });
    }
}

/// Guards against a second execution of a job whose submission is repeated, also after its end.
#[test]
fn a_repeated_submission_stays_one_job() {
    let store = MemoryStore::default();
    let entry = entry(&store);
    smol::block_on(async {
        assert_eq!(entry.submit(JOB, &spec(), CALL_TIMEOUT).await, Stored::Yes);
        assert_eq!(entry.submit(JOB, &spec(), CALL_TIMEOUT).await, Stored::Yes);
        store.write(&end()).await.unwrap();
        assert_eq!(entry.submit(JOB, &spec(), CALL_TIMEOUT).await, Stored::Yes);
        assert!(
            store.get(&records::job_key(JOB)).await.unwrap().is_none(),
            "the job would run again"
        );
        assert_eq!(entry.state(JOB).await, StateAnswer::Known(Phase::Completed));
    });
}

/// Guards against an answer "not stored" when the answer of the store is lost: the job may be
/// stored.
#[test]
fn a_write_whose_answer_is_lost_is_never_called_refused() {
    for is_applied in [false, true] {
        let store = MemoryStore::default();
        let entry = entry(&store);
        smol::block_on(async {
            store.lose_answers(1, is_applied);
            assert_eq!(
                entry.submit(JOB, &spec(), CALL_TIMEOUT).await,
                Stored::Yes,
                "resolved by a repeat"
            );
            store.lose_answers(1_000, is_applied);
            let other = entry.submit(JOB + 1, &spec(), Duration::from_millis(300)).await;
            assert_eq!(other, Stored::Unclear);
        });
    }
}

/// Guards against submissions that wait for a store that has just refused a call.
#[test]
fn a_store_that_refuses_is_not_asked_again_at_once() {
    let store = MemoryStore::default();
    let entry = entry(&store);
    smol::block_on(async {
        store.refuse(true);
        assert_eq!(entry.submit(JOB, &spec(), CALL_TIMEOUT).await, Stored::No);
        let writes = store.writes();
        assert_eq!(entry.submit(JOB, &spec(), CALL_TIMEOUT).await, Stored::No);
        assert_eq!(store.writes(), writes);
        assert!(entry.retry_after() >= Duration::from_secs(1));
    });
}

/// Guards against a cancellation that is acknowledged before it is durable, or although the job
/// does not exist.
#[test]
fn a_cancel_lasts_before_it_is_acknowledged() {
    let store = MemoryStore::default();
    let entry = entry(&store);
    smol::block_on(async {
        assert_eq!(entry.cancel(JOB, CALL_TIMEOUT).await, Stored::Unknown);
        entry.submit(JOB, &spec(), CALL_TIMEOUT).await;
        assert_eq!(entry.cancel(JOB, CALL_TIMEOUT).await, Stored::Yes);
        assert!(store.get(&records::cancel_key(JOB)).await.unwrap().is_some());
    });
}
