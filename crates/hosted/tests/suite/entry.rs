//! Answers of an entry while its store changes or fails at chosen points.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use peridotfold_core::flow::message::Stored;
use peridotfold_core::flow::progress::{Phase, Progress};
use peridotfold_hosted::entry::{Entry, StateAnswer};
use peridotfold_hosted::ports::{Store, Write};
use peridotfold_hosted::records;
use peridotfold_wire::runtime;

use crate::support::{settings, spec, MemoryStore};

/// Number of the job under test.
const JOB: u64 = 7;
/// Timeout of each submission and cancellation.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which an entry sends calls to a store again that answers.
const BACKOFF_TIMEOUT: Duration = Duration::from_secs(5);

/// Creates an entry on the given store, without starting it.
fn entry(store: &MemoryStore) -> Entry<MemoryStore> {
    let internal = SocketAddr::from(([127, 0, 0, 1], 1));
    Entry::new(settings("front", internal), store.clone())
}

/// Cancels a job as soon as the entry sends calls to the store again, which it does not shortly
/// after a failed one.
async fn cancel(entry: &Entry<MemoryStore>, job: u64) -> Stored {
    let started_at = Instant::now();
    loop {
        match entry.cancel(job, CALL_TIMEOUT).await {
            Stored::No if started_at.elapsed() < BACKOFF_TIMEOUT => {
                runtime::sleep(Duration::from_millis(20)).await;
            }
            outcome => return outcome,
        }
    }
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

/// Guards against a job that runs after its cancel was acknowledged: its submission got no answer,
/// and the store carries it out after the cancel. Seen as UNASKED in review case 2, also with the
/// cancel at another entry and after the end of the first one.
#[test]
fn a_submission_carried_out_after_its_cancel_stores_no_job() {
    for is_other in [false, true] {
        let store = MemoryStore::default();
        let first = entry(&store);
        smol::block_on(async {
            store.hold_writes(1_000);
            let submitted = first.submit(JOB, &spec(), Duration::from_millis(300)).await;
            assert_eq!(submitted, Stored::Unclear);
            store.hold_writes(0);
            let canceller = if is_other { entry(&store) } else { first };
            assert_eq!(cancel(&canceller, JOB).await, Stored::Unknown);
            store.carry_out_late_writes();
            let job = store.peek(&records::job_key(JOB));
            assert!(job.is_none(), "stored after its cancel, at another entry: {is_other}");
        });
    }
}

/// Guards against an acknowledged cancel of an unknown job that is not durable, because the answers
/// to its write are lost.
#[test]
fn a_cancel_of_an_unknown_job_lasts_before_it_is_acknowledged() {
    for is_applied in [false, true] {
        let store = MemoryStore::default();
        let entry = entry(&store);
        smol::block_on(async {
            store.lose_answers(1_000, is_applied);
            let cancelled = entry.cancel(JOB, Duration::from_millis(300)).await;
            assert_eq!(cancelled, Stored::Unclear, "applied: {is_applied}");
            store.lose_answers(1, is_applied);
            assert_eq!(cancel(&entry, JOB).await, Stored::Unknown);
            assert!(store.peek(&records::cancel_key(JOB)).is_some());
            store.refuse(true);
            assert_eq!(entry.cancel(JOB + 1, CALL_TIMEOUT).await, Stored::No);
        });
    }
}

/// Guards against a job that runs because its submission is repeated after its cancel, and against
/// a repeated submission whose job is then unknown.
#[test]
fn a_submission_repeated_after_its_cancel_stays_cancelled() {
    let store = MemoryStore::default();
    let entry = entry(&store);
    smol::block_on(async {
        assert_eq!(entry.cancel(JOB, CALL_TIMEOUT).await, Stored::Unknown);
        assert_eq!(entry.state(JOB).await, StateAnswer::Unknown, "nobody has submitted it");
        store.lose_answers(1, true);
        for _ in 0..2 {
            assert_eq!(entry.submit(JOB, &spec(), CALL_TIMEOUT).await, Stored::Yes);
            assert_eq!(entry.state(JOB).await, StateAnswer::Known(Phase::Cancelled));
            assert!(store.peek(&records::job_key(JOB)).is_none(), "the job would run");
        }
        assert_eq!(entry.cancel(JOB, CALL_TIMEOUT).await, Stored::Yes, "the job is known by now");
    });
}

/// Guards against a cancel that is answered as unknown, or lost, for a job that is stored while the
/// cancel looks for it.
#[test]
fn a_cancel_finds_a_job_that_is_stored_meanwhile() {
    for reads in 0..3 {
        let store = MemoryStore::default();
        let entry = entry(&store);
        let record = records::encode(&spec()).expect("a record");
        let submission =
            Write { puts: vec![(records::job_key(JOB), record, None)], ..Write::default() };
        smol::block_on(async {
            store.write_after_reads(reads, submission.clone());
            let cancelled = entry.cancel(JOB, CALL_TIMEOUT).await;
            let is_stored = store.peek(&records::job_key(JOB)).is_some();
            // After the last read, the submission would come after the cancel.
            assert_eq!(cancelled == Stored::Yes, is_stored, "stored after {reads} reads");
            assert!(store.peek(&records::cancel_key(JOB)).is_some());
        });
    }
}
