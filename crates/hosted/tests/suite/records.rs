//! Records of other writers in the store: bytes that claim more than they hold, or that decode to
//! something that no process writes.

use std::time::{Duration, Instant};

use bolero::check;
use bytes::Bytes;
use peridotfold_core::flow::crashes::Crash;
use peridotfold_core::flow::interference::InterferenceRow;
use peridotfold_core::flow::message::Stored;
use peridotfold_core::flow::model::JobSpec;
use peridotfold_core::flow::owner::UNKNOWN_NODE;
use peridotfold_core::flow::progress::Progress;
use peridotfold_hosted::records::{self, Fence, Lock};
use peridotfold_wire::runtime;

use crate::ownership::{start_entry, wait_for_owner};
use crate::support::{spec, MemoryStore};

/// Timeout of each submission, and of each wait for the owner to know a job.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Returns a record that begins with a text of 2^62 bytes, as the platform's encoding of its length
/// says, and ends there.
fn huge_text() -> Bytes {
    let mut bytes = vec![253];
    bytes.extend((1u64 << 62).to_le_bytes());
    bytes.into()
}

/// Returns a job whose only step comes after itself.
fn circular_job() -> Bytes {
    let mut spec = spec();
    spec.steps[0].after = vec![0];
    records::encode(&spec).expect("a record")
}

/// Waits until the owner counts `count` jobs of the test's queue as waiting.
async fn knows(entry: &peridotfold_hosted::entry::Entry<MemoryStore>, count: u64) -> bool {
    let started_at = Instant::now();
    while started_at.elapsed() < TIMEOUT {
        if entry.waiting("q").await == Some(count) {
            return true;
        }
        runtime::sleep(Duration::from_millis(20)).await;
    }
    false
}

/// Guards against a record whose length field makes the process ask for more memory than there is,
/// which ends it. Found by the users: both entries ended, and again at each start.
#[test]
fn a_record_that_claims_a_huge_text_is_rejected() {
    assert!(records::decode::<JobSpec>(&huge_text()).is_err());
    assert!(records::decode::<Vec<String>>(&[&[1][..], &huge_text()].concat()).is_err());
    assert!(records::decode::<Lock>(&huge_text()).is_err());
}

/// Guards against any bytes in the store that end a process which decodes them as a record.
#[test]
fn arbitrary_records_never_end_the_process() {
    check!().with_iterations(20_000).for_each(|input: &[u8]| {
        let _ = records::decode_job(input);
        let _ = records::decode::<Progress>(input);
        let _ = records::decode::<Vec<String>>(input);
        let _ = records::decode::<Vec<InterferenceRow>>(input);
        let _ = records::decode::<Vec<Crash>>(input);
        let _ = records::decode::<Lock>(input);
        let _ = records::decode::<Fence>(input);
        let _ = records::inbox_key(&String::from_utf8_lossy(input));
    });
}

/// Guards against an owner that ends, or schedules nothing, because of records of other writers: those
/// that are there when it takes over, and those that come later.
#[test]
fn records_of_other_writers_stop_no_owner() {
    let odd = [huge_text(), circular_job(), Bytes::from_static(b"\xff\xfe odd"), Bytes::new()];
    for value in odd {
        smol::block_on(async {
            let store = MemoryStore::default();
            for key in [
                records::job_key(90),
                records::progress_key(91),
                format!("{}x", records::job_key(92)),
                records::INTERFERENCE.to_owned(),
                records::CRASHES.to_owned(),
            ] {
                store.put(&key, value.clone());
            }
            let (entry, stop) = start_entry("first", &store);
            assert!(wait_for_owner(&store, "first").await);
            assert_eq!(entry.submit(1, &spec(), TIMEOUT).await, Stored::Yes);
            assert!(knows(&entry, 1).await, "{value:?} at the takeover");
            store.put(&records::job_key(93), value.clone());
            assert_eq!(entry.submit(2, &spec(), TIMEOUT).await, Stored::Yes);
            assert!(knows(&entry, 2).await, "{value:?} later");
            drop(stop);
        });
    }
}

/// Guards against a new owner that never starts a task because the list of nodes that may hold a permission
/// cannot be read. Seen in the users' plays.
#[test]
fn an_unreadable_list_of_nodes_stops_no_owner() {
    for value in [huge_text(), Bytes::from_static(b"\xff\xfe odd"), Bytes::new()] {
        smol::block_on(async {
            let store = MemoryStore::default();
            store.put(records::ROSTER, value.clone());
            let (entry, stop) = start_entry("first", &store);
            assert!(wait_for_owner(&store, "first").await);
            assert_eq!(entry.submit(1, &spec(), TIMEOUT).await, Stored::Yes);
            assert!(knows(&entry, 1).await, "{value:?}");
            // The list is written anew, and still says that some nodes are not known.
            let started_at = Instant::now();
            let read = |bytes: Bytes| records::decode::<Vec<String>>(&bytes).ok();
            while store.peek(records::ROSTER).and_then(read).is_none()
                && started_at.elapsed() < TIMEOUT
            {
                runtime::sleep(Duration::from_millis(20)).await;
            }
            let names = store.peek(records::ROSTER).and_then(read);
            assert_eq!(names, Some(vec![UNKNOWN_NODE.to_owned()]), "{value:?}");
            drop(stop);
        });
    }
}
