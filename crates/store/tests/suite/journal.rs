//! Tests of the journal with a fault injected at each write in turn. They guard against records that
//! are lost, committed twice or reordered, and against an owner that commits after it was fenced off.

use peridotfold_store::journal::{archive, Journal, JournalError, Replay};
use peridotfold_store::HttpStore;
use serde::{Deserialize, Serialize};
use smol::future::or;

use crate::faults::{Fault, ScriptedStore};
use crate::{run, start};

/// State that holds the values of the applied records in order.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct Values(Vec<u32>);

/// Record that appends a value. The padding makes the log rotate every few records.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Added {
    value: u32,
    padding: String,
}

impl Replay for Values {
    type Record = Added;

    fn apply(&mut self, record: &Added) {
        self.0.push(record.value);
    }
}

type Log<S> = Journal<S, Values>;

/// Returns one record with 6000 bytes of padding.
fn added(value: u32) -> Vec<Added> {
    vec![Added { value, padding: "x".repeat(6000) }]
}

/// Number of records that a test appends.
const RECORDS: u32 = 14;

/// Returns the values of all records that a test appends, in order.
fn expected() -> Vec<u32> {
    (0..RECORDS).collect()
}

/// Opens the journal anew and returns its values.
async fn replayed(store: &HttpStore) -> Vec<u32> {
    let journal = Log::open(store.clone(), "j", 99).await.unwrap();
    assert_eq!(journal.sequence(), journal.state().0.len() as u64);
    journal.state().0.clone()
}

/// Opens the journal "j" with an archive.
async fn open(store: &ScriptedStore, writer: u64) -> Log<ScriptedStore> {
    Log::open(store.clone(), "j", writer).await.unwrap().with_archive()
}

/// Appends each value, and retries while the store is unavailable.
async fn append_all(journal: &mut Log<ScriptedStore>, values: impl Iterator<Item = u32>) {
    for value in values {
        // More than the faults of any script, so that a journal that never recovers fails the test.
        const TRIES: usize = 20;
        let mut tries = 0;
        while let Err(error) = journal.append(added(value)).await {
            tries += 1;
            let is_down = matches!(error, JournalError::Unavailable(_));
            assert!(is_down && tries < TRIES, "{value}: {error}");
        }
    }
}

/// Checks that the archive returns each earlier state.
async fn assert_past(store: &HttpStore, expected: &[u32], case: &str) {
    for length in 0..=expected.len() {
        let state_at = archive::state_at::<_, Values>(store, "j", length as u64).await.unwrap();
        let state = state_at.unwrap_or_else(|| panic!("{case}: no state {length}")).0;
        assert_eq!(state.0, expected[..length], "{case}");
    }
}

/// Returns the number of writes that a run without faults takes.
async fn writes_of_undisturbed_run() -> usize {
    let (_stand_in, store) = start().await;
    let scripted = ScriptedStore::new(store.clone(), []);
    append_all(&mut open(&scripted, 1).await, 0..RECORDS).await;
    assert_eq!(replayed(&store).await, expected());
    // At least two rotations, each with an archived segment and a snapshot.
    assert!(scripted.puts() >= RECORDS as usize + 4, "{}", scripted.puts());
    scripted.puts()
}

#[test]
fn each_fault_at_each_write_commits_each_record_once() {
    run(async {
        let writes = writes_of_undisturbed_run().await;
        let faults = [Fault::Lost, Fault::Refused, Fault::NotSent, Fault::Delayed];
        let pairs = faults.iter().flat_map(|a| faults.iter().map(|b| vec![*a, *b]));
        let sequences: Vec<Vec<Fault>> =
            faults.iter().map(|fault| vec![*fault]).chain(pairs).collect();
        for faults in &sequences {
            for at in 0..writes {
                for failing_gets in [0, 1] {
                    let (_stand_in, store) = start().await;
                    let script = faults.iter().enumerate().map(|(i, fault)| (at + i, *fault));
                    let scripted = ScriptedStore::new(store.clone(), script);
                    let mut journal = open(&scripted, 1).await;
                    for value in 0..RECORDS {
                        if scripted.puts() <= at && failing_gets > 0 {
                            scripted.fail_gets(failing_gets);
                        }
                        append_all(&mut journal, value..value + 1).await;
                    }
                    scripted.deliver_delayed().await;
                    let case = format!("{faults:?} at write {at}, {failing_gets} failing reads");
                    assert_eq!(journal.state().0, expected(), "{case}");
                    assert_eq!(replayed(&store).await, expected(), "{case}");
                }
            }
        }
    });
}

/// Covers, among others, a crash after the snapshot is saved and before the log is cleared.
#[test]
fn a_crash_at_each_write_loses_and_repeats_nothing() {
    run(async {
        let writes = writes_of_undisturbed_run().await;
        for at in 0..writes {
            for fault in [Fault::CrashBefore, Fault::CrashAfter] {
                let (_stand_in, store) = start().await;
                let scripted = ScriptedStore::new(store.clone(), [(at, fault)]);
                let mut journal = open(&scripted, 1).await;
                or(append_all(&mut journal, 0..RECORDS), scripted.crashed()).await;
                let committed = journal.sequence() as u32;
                drop(journal);
                let mut successor = open(&scripted, 2).await;
                let found = successor.state().0.len() as u32;
                let case = format!("{fault:?} at write {at}");
                assert!(found >= committed && found <= committed + 1, "{case}: {found}");
                append_all(&mut successor, found..RECORDS).await;
                assert_eq!(replayed(&store).await, expected(), "{case}");
                assert_past(&store, &expected(), &case).await;
            }
        }
    });
}

#[test]
fn an_owner_paused_at_any_write_is_fenced_off() {
    run(async {
        let writes = writes_of_undisturbed_run().await;
        for at in 0..writes {
            // With small records first, the successor extends the same log that the old owner is
            // about to archive.
            for (small, successors) in [(0, 1), (0, 9), (9, 9)] {
                let (_stand_in, store) = start().await;
                let scripted = ScriptedStore::new(store.clone(), [(at, Fault::Paused)]);
                let plain = ScriptedStore::new(store.clone(), []);
                let mut old = open(&scripted, 1).await;
                let takeover = async {
                    scripted.paused().await;
                    let mut new = open(&plain, 2).await;
                    for value in 50..50 + small {
                        new.append(vec![Added { value, padding: String::new() }]).await.unwrap();
                    }
                    append_all(&mut new, 100..100 + successors).await;
                    scripted.release();
                    new
                };
                let appends = async {
                    for value in 0..RECORDS {
                        if let Err(error) = old.append(added(value)).await {
                            assert!(matches!(error, JournalError::Fenced), "{error}");
                            return old.sequence() as u32;
                        }
                    }
                    panic!("never fenced off");
                };
                let (mut new, kept) = smol::future::zip(takeover, appends).await;
                append_all(&mut new, 200..205).await;
                let case = format!("paused at write {at}, {small} and {successors} records after");
                let expected: Vec<u32> = (0..kept)
                    .chain(50..50 + small)
                    .chain(100..100 + successors)
                    .chain(200..205)
                    .collect();
                assert_eq!(new.state().0, expected, "{case}");
                assert_eq!(replayed(&store).await, expected, "{case}");
                assert_past(&store, &expected, &case).await;
                // The fenced owner can append again only after a refresh.
                assert!(matches!(old.append(added(1)).await, Err(JournalError::Fenced)));
                assert!(old.refresh().await.unwrap());
                assert_eq!(old.state().0, expected, "{case}");
            }
        }
    });
}

#[test]
fn an_unknown_outcome_is_resolved_for_good() {
    run(async {
        for (fault, is_committed) in
            [(Fault::Lost, true), (Fault::Refused, false), (Fault::Delayed, false)]
        {
            let (_stand_in, store) = start().await;
            let scripted = ScriptedStore::new(store.clone(), []);
            let mut journal = open(&scripted, 1).await;
            append_all(&mut journal, 0..3).await;
            scripted.fail_put(0, fault);
            scripted.fail_gets(2);
            let error = journal.append(added(3)).await.unwrap_err();
            assert!(matches!(error, JournalError::Unavailable(_)), "{error}");
            assert!(journal.is_unresolved());
            assert!(journal.resolve().await.is_err(), "the store is still down");
            assert!(journal.is_unresolved());
            // A delayed write takes effect during the resolution. Either outcome is allowed, but it
            // has to be final.
            let found = journal.resolve().await.unwrap();
            assert!(found == is_committed || fault == Fault::Delayed, "{fault:?}");
            scripted.deliver_delayed().await;
            let kept = 3 + u32::from(found);
            assert_eq!(replayed(&store).await, (0..kept).collect::<Vec<_>>(), "{fault:?}");
            append_all(&mut journal, kept..6).await;
            assert_eq!(replayed(&store).await, (0..6).collect::<Vec<_>>(), "{fault:?}");
        }
    });
}

#[test]
fn a_write_that_arrives_after_the_resolution_has_no_effect() {
    run(async {
        let (_stand_in, store) = start().await;
        let scripted = ScriptedStore::new(store.clone(), []);
        let mut journal = open(&scripted, 1).await;
        append_all(&mut journal, 0..3).await;
        scripted.fail_put(0, Fault::Paused);
        let abandoned = async { journal.append(added(3)).await.map(|()| false) };
        let is_paused = or(abandoned, async {
            scripted.paused().await;
            Ok(true)
        });
        assert!(is_paused.await.unwrap());
        // The caller dropped the append while its write was in flight. A write on the same version
        // that arrives after the resolution simulates it.
        let held = peridotfold_store::Store::get(&store, "j/log").await.unwrap().unwrap();
        assert!(journal.is_unresolved());
        assert!(!journal.resolve().await.unwrap());
        let late = peridotfold_store::Store::put(&store, "j/log", held.version, held.value).await;
        assert!(matches!(late.unwrap(), peridotfold_store::PutOutcome::Conflict(_)));
        assert_eq!(replayed(&store).await, [0, 1, 2]);
    });
}

/// Guards against an outcome that is lost when other writers rotate the log before the writer of a
/// batch, whose response was lost, can read it.
#[test]
fn a_lost_response_is_resolved_after_rotations_by_others() {
    run(async {
        for (fault, others) in
            [(Fault::Lost, 1), (Fault::Lost, 20), (Fault::Refused, 1), (Fault::Refused, 20)]
        {
            let (_stand_in, store) = start().await;
            let scripted = ScriptedStore::new(store.clone(), []);
            let mut journal = open(&scripted, 1).await;
            append_all(&mut journal, 0..2).await;
            scripted.fail_put(0, fault);
            scripted.fail_gets(1);
            assert!(journal.append(added(2)).await.is_err());
            let mut other = open(&ScriptedStore::new(store.clone(), []), 2).await;
            append_all(&mut other, 100..100 + others).await;
            assert_eq!(
                journal.resolve().await.unwrap(),
                fault == Fault::Lost,
                "{fault:?} {others}"
            );
            assert_eq!(journal.state(), other.state());
            let copies = other.state().0.iter().filter(|value| **value == 2).count();
            assert_eq!(copies, usize::from(fault == Fault::Lost));
        }
    });
}

#[test]
fn records_that_fit_no_value_are_refused_whole() {
    run(async {
        let (_stand_in, store) = start().await;
        let mut journal = open(&ScriptedStore::new(store.clone(), []), 1).await;
        append_all(&mut journal, 0..2).await;
        let huge = Added { value: 2, padding: "x".repeat(2 * 1024 * 1024) };
        let both = vec![added(7).remove(0), huge];
        assert!(matches!(journal.append(both).await, Err(JournalError::TooLarge)));
        append_all(&mut journal, 2..3).await;
        assert_eq!(replayed(&store).await, [0, 1, 2]);
    });
}

/// Guards against a value whose length field makes the process ask for more memory than there is, which
/// ends it. The field stands behind different numbers of small ones, as it may be that of any part of the
/// value.
#[test]
fn values_that_claim_huge_content_are_reported_with_their_key() {
    run(async {
        for bits in 1u8..=127 {
            let mut value = vec![1];
            let count = bits.ilog2();
            value.extend((0..count).map(|position| bits >> position & 1));
            value.push(253);
            value.extend((1u64 << 62).to_le_bytes());
            let (_stand_in, store) = start().await;
            peridotfold_store::Store::put(&store, "j/log", 0, value.into()).await.unwrap();
            match Log::open(store, "j", 1).await {
                Err(JournalError::Corrupt { key, .. }) => assert_eq!(key, "j/log"),
                other => panic!("{bits:b}: {other:?}"),
            }
        }
    });
}

#[test]
fn malformed_values_are_reported_with_their_key() {
    run(async {
        for value in ["", "\u{1}", "\u{9}abc", "\u{1}\u{1}\u{0}trailing"] {
            let (_stand_in, store) = start().await;
            let value = bytes::Bytes::copy_from_slice(value.as_bytes());
            peridotfold_store::Store::put(&store, "j/log", 0, value).await.unwrap();
            match Log::open(store, "j", 1).await {
                Err(JournalError::Corrupt { key, .. }) => assert_eq!(key, "j/log"),
                other => panic!("{other:?}"),
            }
        }
    });
}
