//! Tests of the configuration repository. They guard against a wrong result reported for a patch, and
//! against versions that are lost or not picked up by other processes.

use std::time::Duration;

use bytes::Bytes;
use peridotfold_core::config::{decode_document, ConfigState};
use peridotfold_standins::store::{Faults, Mode};
use peridotfold_store::{ConfigRepository, HttpStore, SubmitError};
use serde_json::json;
use smol::future::or;

use crate::faults::{Fault, ScriptedStore};
use crate::{run, start, TIMEOUT};

/// Returns a patch that adds one cell. It also removes an absent cell whose name has `padding` bytes,
/// which sets the size of the patch.
pub fn patch(cell: &str, padding: usize) -> Bytes {
    let absent = "x".repeat(padding);
    json!({"cells": {cell: {"data_centre": "brno"}, absent: null}}).to_string().into()
}

/// Returns the names of the cells (sets of workers in one data centre) in an encoded configuration
/// document.
pub fn cells(document: &[u8]) -> Vec<String> {
    decode_document(document).unwrap().cells.into_keys().collect()
}

/// Opens the repository; `writer` must be unique.
async fn open(store: &HttpStore, writer: u64) -> ConfigRepository<HttpStore> {
    ConfigRepository::open(store.clone(), writer).await.unwrap()
}

/// Returns the faults of a stand-in store that is in `mode`.
fn faults(mode: Mode) -> Faults {
    Faults { mode, ..Faults::default() }
}

#[test]
fn one_patch_wins_a_base_and_the_loser_hears_of_it() {
    run(async {
        let (_stand_in, store) = start().await;
        let (first, second) = (open(&store, 1).await, open(&store, 2).await);
        assert_eq!(first.current().0, 0);
        assert_eq!(first.submit(0, patch("a", 1), "anna").await.unwrap(), 1);
        assert_eq!(first.submit(1, patch("b", 1), "bent").await.unwrap(), 2);
        match second.submit(0, patch("c", 1), "carl").await {
            Err(SubmitError::Stale { current: 2, author }) => assert_eq!(author, "anna"),
            other => panic!("{other:?}"),
        }
        assert_eq!(second.current(), first.current());
        match second.submit(5, patch("c", 1), "carl").await {
            Err(SubmitError::Future { current: 2 }) => {}
            other => panic!("{other:?}"),
        }
        let faulty = json!({"cells": {"": {"data_centre": ""}}}).to_string().into();
        match second.submit(2, faulty, "carl").await {
            Err(SubmitError::Invalid(problems)) => assert_eq!(problems.len(), 2),
            other => panic!("{other:?}"),
        }
        assert_eq!(second.submit(2, patch("c", 1), "carl").await.unwrap(), 3);
        let authors = [(1, "anna"), (2, "bent"), (3, "carl")].map(|(v, a)| (v, a.to_owned()));
        assert_eq!(second.recent().await, authors);
    });
}

#[test]
fn each_version_can_be_shown_after_rotations() {
    run(async {
        let (stand_in, store) = start().await;
        let repository = open(&store, 1).await;
        let mut names = Vec::new();
        for version in 0..40 {
            let name = format!("c{version:02}");
            repository.submit(version, patch(&name, 4000), "anna").await.unwrap();
            names.push(name);
        }
        let late = open(&store, 2).await;
        assert!(store_keys(&store).await.len() >= 5, "no rotation");
        for repository in [&repository, &late] {
            assert_eq!(repository.current().0, 40);
            for version in 0..=40 {
                let document = repository.document_at(version).await.unwrap().unwrap();
                assert_eq!(cells(&document), names[..version as usize], "version {version}");
            }
            assert_eq!(repository.document_at(41).await.unwrap(), None);
        }
        // The author of an old version is read from the archive.
        match late.submit(0, patch("z", 1), "carl").await {
            Err(SubmitError::Stale { current: 40, author }) => assert_eq!(author, "anna"),
            other => panic!("{other:?}"),
        }
        let mut follower = ConfigState::default();
        assert!(follower.apply_update(&late.update_since(0)).unwrap());
        assert_eq!((follower.version, follower.document), late.current());

        stand_in.set_faults(faults(Mode::Refuse));
        assert_eq!(cells(&late.document_at(40).await.unwrap().unwrap()), names);
        assert!(late.document_at(3).await.is_err());
        assert!(ConfigRepository::open(store.clone(), 3).await.is_err());
    });
}

/// Returns the keys of the configuration journal in the store.
async fn store_keys(store: &HttpStore) -> Vec<String> {
    let found = peridotfold_store::Store::list(store, "config/").await.unwrap();
    found.into_iter().map(|(key, _)| key).collect()
}

#[test]
fn versions_of_others_are_adopted() {
    run(async {
        let (_stand_in, store) = start().await;
        let (writer, reader) = (open(&store, 1).await, open(&store, 2).await);
        let wait = Duration::from_millis(20);
        assert_eq!(reader.wait_for_change(0, wait).await.unwrap(), None);
        for version in 0..20 {
            let waiting = reader.wait_for_change(version, TIMEOUT);
            let (found, submitted) =
                smol::future::zip(waiting, writer.submit(version, patch("a", 4000), "anna")).await;
            assert_eq!(submitted.unwrap(), version + 1);
            assert_eq!(found.unwrap().unwrap().0, version + 1);
        }
        assert_eq!(reader.current(), writer.current());
        assert_eq!(reader.wait_for_change(20, wait).await.unwrap(), None);
    });
}

#[test]
fn a_store_that_is_down_is_reported_as_not_applied() {
    run(async {
        let (stand_in, store) = start().await;
        let repository = open(&store, 1).await;
        repository.submit(0, patch("a", 1), "anna").await.unwrap();
        for mode in [Mode::Refuse, Mode::Hang] {
            let impatient = HttpStore::new(stand_in.address(), Duration::from_millis(100));
            let repository = open(&impatient, 2).await;
            stand_in.set_faults(faults(mode));
            match repository.submit(1, patch("b", 1), "anna").await {
                Err(SubmitError::Unavailable(_)) => {}
                other => panic!("{mode:?}: {other:?}"),
            }
            assert!(repository.wait_for_change(1, Duration::ZERO).await.is_err());
            assert_eq!(repository.current().0, 1);
            stand_in.set_faults(faults(Mode::Up));
        }
        assert_eq!(repository.submit(1, patch("b", 1), "anna").await.unwrap(), 2);
    });
}

/// Covers each fault of a write that returns an error, with up to 7 failing reads after it.
#[test]
fn a_lost_response_is_neither_applied_twice_nor_reported_wrongly() {
    run(async {
        for fault in [Fault::Lost, Fault::Refused, Fault::Delayed, Fault::NotSent] {
            for failing_gets in 0..8 {
                let (_stand_in, store) = start().await;
                let scripted = ScriptedStore::new(store.clone(), []);
                let repository = ConfigRepository::open(scripted.clone(), 1).await.unwrap();
                repository.submit(0, patch("a", 1), "anna").await.unwrap();
                scripted.fail_put_then_gets(fault, failing_gets);
                let result = repository.submit(1, patch("b", 1), "bent").await;
                scripted.deliver_delayed().await;
                let case = format!("{fault:?}, {failing_gets} failing reads");
                let observer = open(&store, 9).await;
                let is_applied = observer.current().0 == 2;
                match &result {
                    Ok(version) => assert!(is_applied && *version == 2, "{case}"),
                    Err(SubmitError::Unavailable(_)) => assert!(!is_applied, "{case}"),
                    Err(SubmitError::Unknown(_)) => assert!(failing_gets >= 4, "{case}"),
                    other => panic!("{case}: {other:?}"),
                }
                // The operator submits the same patch again.
                scripted.fail_gets(0);
                let version = match repository.submit(1, patch("b", 1), "bent").await {
                    Ok(version) => version,
                    Err(SubmitError::Stale { current, author }) if author == "bent" => current,
                    other => panic!("{case}: {other:?}"),
                };
                scripted.deliver_delayed().await;
                assert_eq!(version, 2, "{case}");
                let observer = open(&store, 10).await;
                assert_eq!(observer.current().0, 2, "{case}");
                assert_eq!(cells(&observer.document_at(2).await.unwrap().unwrap()), ["a", "b"]);
            }
        }
    });
}

/// Guards against a version that stays unpublished after the operator's connection, and with it the
/// future of the submission, ends during the write.
#[test]
fn an_abandoned_submission_is_published_or_withdrawn() {
    run(async {
        for fault in [Fault::CrashAfter, Fault::CrashBefore] {
            let (_stand_in, store) = start().await;
            let scripted = ScriptedStore::new(store.clone(), [(0, fault)]);
            let repository = ConfigRepository::open(scripted.clone(), 1).await.unwrap();
            let submission = async {
                let _ = repository.submit(0, patch("a", 1), "anna").await;
            };
            or(submission, scripted.crashed()).await;
            let expected = u64::from(fault == Fault::CrashAfter);
            let wait = Duration::from_millis(300);
            let found = repository.wait_for_change(0, wait).await.unwrap();
            assert_eq!(found.map_or(0, |(version, _)| version), expected);
            repository.submit(expected, patch("b", 1), "bent").await.unwrap();
            assert_eq!(open(&store, 2).await.current(), repository.current());
        }
    });
}

/// Guards against a release that cannot read the current document and continues from an older
/// version.
#[test]
fn a_document_of_a_newer_release_is_not_replaced_by_an_older_one() {
    run(async {
        #[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize)]
        struct Newer;
        #[derive(serde::Serialize, serde::Deserialize)]
        struct Change(String, Bytes);
        impl peridotfold_store::Replay for Newer {
            type Record = Change;
            fn apply(&mut self, _: &Change) {}
        }
        let (_stand_in, store) = start().await;
        let running = open(&store, 1).await;
        running.submit(0, patch("a", 1), "anna").await.unwrap();
        let mut journal =
            peridotfold_store::Journal::<_, Newer>::open(store.clone(), "config", 2).await.unwrap();
        let newer = Change("bent".into(), Bytes::from_static(b"{\"regions\": {}}"));
        journal.append(vec![newer]).await.unwrap();
        let error = ConfigRepository::open(store.clone(), 3).await.unwrap_err();
        assert!(error.to_string().contains("regions"), "{error}");
        // A running process keeps the last version that it can read, and rejects submissions.
        let wait = Duration::from_millis(50);
        assert_eq!(running.wait_for_change(1, wait).await.unwrap(), None);
        assert_eq!(running.current().0, 1);
        assert!(running.submit(2, patch("b", 1), "anna").await.is_err());
    });
}
