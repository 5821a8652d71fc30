//! Admission of jobs at an entry, beside an owner that a test plays.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use peridotfold_core::flow::intake::gate::Admission;
use peridotfold_core::flow::message::{EntryRequest, Greeting, OwnerReply, Stored};
use peridotfold_hosted::entry::Entry;
use peridotfold_hosted::records::{self, Lock};
use peridotfold_wire::{frame, runtime};
use smol::net::{TcpListener, TcpStream};

use crate::ownership::start_entry;
use crate::support::{spec, MemoryStore};

const TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_AFTER: Duration = Duration::from_secs(3);

/// Answers an entry as an owner that reports `short` services, and refuses all jobs if it answers
/// questions about them at all. Counts the questions.
async fn serve(mut stream: TcpStream, short: Vec<String>, answers: bool, asked: Arc<AtomicU32>) {
    let mut buffer = BytesMut::new();
    let mut is_greeted = false;
    loop {
        let mut chunk = [0; 1_024];
        match stream.read(&mut chunk).await {
            Ok(count) if count > 0 => buffer.extend_from_slice(&chunk[..count]),
            _ => return,
        }
        if !is_greeted {
            is_greeted = frame::decode::<Greeting>(&mut buffer).unwrap().is_some();
        }
        while let Some(request) =
            is_greeted.then(|| frame::decode::<EntryRequest>(&mut buffer).unwrap()).flatten()
        {
            let reply = match request {
                EntryRequest::Ping => {
                    OwnerReply::Pong { entries: vec![], is_valid: true, short: short.clone() }
                }
                EntryRequest::Admit { query, .. } => {
                    asked.fetch_add(1, Ordering::Relaxed);
                    if !answers {
                        continue;
                    }
                    OwnerReply::Admission { query, retry_after: Some(RETRY_AFTER) }
                }
                _ => continue,
            };
            stream.write_all(&frame::encode(&reply).unwrap()).await.unwrap();
        }
    }
}

/// Runs `test` on an entry that follows the owner of [`serve`].
fn beside_owner<F: std::future::Future<Output = ()>>(
    short: &[&str],
    answers: bool,
    test: impl FnOnce(Arc<Entry<MemoryStore>>, MemoryStore, Arc<AtomicU32>) -> F,
) {
    smol::block_on(async {
        let store = MemoryStore::default();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let lock = Lock { node: "owner".to_owned(), boot: 1, address };
        store.put(records::LOCK, records::encode(&lock).unwrap());
        let asked = Arc::new(AtomicU32::new(0));
        let short: Vec<String> = short.iter().map(|name| (*name).to_owned()).collect();
        let (entry, stop) = start_entry("entry", &store);
        let (stream, _) = listener.accept().await.unwrap();
        runtime::spawn(serve(stream, short, answers, asked.clone())).detach();
        // The first pong makes the entry a follower.
        let started_at = Instant::now();
        while !entry.is_following() && started_at.elapsed() < TIMEOUT {
            runtime::sleep(Duration::from_millis(10)).await;
        }
        test(entry, store, asked).await;
        drop(stop);
    });
}

/// Guards against questions to the owner about jobs of a service that has enough capacity.
#[test]
fn an_entry_asks_only_about_services_that_are_short() {
    beside_owner(&["other"], true, |entry, _, asked| async move {
        assert_eq!(entry.admit(7, &spec(), TIMEOUT).await, Admission::Accepted);
        assert_eq!(asked.load(Ordering::Relaxed), 0);
    });
}

/// Guards against a refusal of a job that the store has, also after its end, and against a definitive
/// refusal while the store does not answer.
#[test]
fn a_refusal_is_preceded_by_a_read_of_both_keys() {
    beside_owner(&["svc"], true, |entry, store, asked| async move {
        assert_eq!(entry.admit(7, &spec(), TIMEOUT).await, Admission::Refused(RETRY_AFTER));
        assert_eq!(asked.load(Ordering::Relaxed), 1);
        store.put(&records::job_key(8), Bytes::new());
        assert_eq!(entry.admit(8, &spec(), TIMEOUT).await, Admission::Accepted);
        store.put(&records::progress_key(9), Bytes::new());
        assert_eq!(entry.admit(9, &spec(), TIMEOUT).await, Admission::Accepted);
        store.refuse(true);
        assert_eq!(entry.admit(7, &spec(), TIMEOUT).await, Admission::Unclear);
    });
}

/// Guards against a refusal of a job whose submission had no clear outcome: the write may be carried
/// out after the read.
#[test]
fn a_job_with_an_unclear_submission_is_not_refused() {
    beside_owner(&["svc"], true, |entry, store, _| async move {
        store.lose_answers(1_000, false);
        let timeout = Duration::from_millis(200);
        assert_eq!(entry.submit(7, &spec(), timeout).await, Stored::Unclear);
        store.lose_answers(0, false);
        runtime::sleep(Duration::from_millis(800)).await;
        assert_eq!(entry.admit(7, &spec(), TIMEOUT).await, Admission::Accepted);
        assert_eq!(entry.admit(8, &spec(), TIMEOUT).await, Admission::Refused(RETRY_AFTER));
    });
}

/// Guards against a caller that waits for an owner that does not answer.
#[test]
fn a_job_is_accepted_if_the_owner_does_not_answer() {
    beside_owner(&["svc"], false, |entry, _, asked| async move {
        let started_at = Instant::now();
        assert_eq!(entry.admit(7, &spec(), TIMEOUT).await, Admission::Accepted);
        assert!(started_at.elapsed() < Duration::from_millis(600));
        assert_eq!(asked.load(Ordering::Relaxed), 1);
    });
}

/// Guards against callers that all return at the same time after an outage of the store.
#[test]
fn retries_after_an_outage_are_spread() {
    beside_owner(&[], true, |entry, store, _| async move {
        assert_eq!(entry.retry_after_for(1), Duration::from_secs(1));
        store.refuse(true);
        entry.submit(7, &spec(), TIMEOUT).await;
        let mut counts = [0; 4];
        (0..300).for_each(|job| counts[entry.retry_after_for(job).as_secs() as usize] += 1);
        assert!(counts[0] == 0 && counts[1..].iter().all(|count| *count > 70), "{counts:?}");
    });
}
