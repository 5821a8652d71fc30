//! Concurrent submissions of patches while the store loses responses and fails. Guards against two
//! patches accepted for the same base version, versions that go backwards, and results reported to
//! submitters that contradict the stored history.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use peridotfold_core::config::encode_document;
use peridotfold_standins::store::{Faults, Mode, Options, Store as StandIn};
use peridotfold_store::{ConfigRepository, HttpStore, JournalError, SubmitError};
use peridotfold_wire::runtime;

use crate::repository::{cells, patch};
use crate::{run, TIMEOUT};

/// Number of concurrent submitters.
const SUBMITTERS: u64 = 4;
/// Number of patches of each submitter.
const PATCHES: u32 = 25;
/// Configuration versions and their encoded documents, as read through one repository or several.
type Reads = Vec<(u64, Bytes)>;

/// Results that the submitters received, by the marker of the patch.
#[derive(Debug, Default)]
struct Reports {
    accepted: Vec<(u64, String)>,
    rejected: Vec<String>,
    unknown: Vec<String>,
    /// Base version and author of the accepted patch, as reported to submitters of other patches.
    winners: Vec<(u64, String)>,
    reads: Reads,
}

#[test]
fn racing_submitters_agree_on_one_history() {
    for seed in 0..6 {
        run(race(seed));
    }
}

/// Runs the submitters and an observer, and checks their results.
async fn race(seed: u64) {
    let stand_in = StandIn::start(Options { seed, ..Options::default() }).await.unwrap();
    let stand_in = Arc::new(stand_in);
    let store = HttpStore::new(stand_in.address(), TIMEOUT);
    let is_done = Arc::new(AtomicBool::new(false));
    let observer = runtime::spawn(observe(store.clone(), is_done.clone()));
    let tasks: Vec<_> = (0..SUBMITTERS)
        .map(|index| runtime::spawn(submit_all(stand_in.clone(), store.clone(), seed, index)))
        .collect();
    let mut all = Reports::default();
    for task in tasks {
        let reports = task.await;
        all.accepted.extend(reports.accepted);
        all.rejected.extend(reports.rejected);
        all.unknown.extend(reports.unknown);
        all.winners.extend(reports.winners);
        all.reads.extend(reports.reads);
    }
    stand_in.set_faults(Faults::default());
    is_done.store(true, Ordering::SeqCst);
    all.reads.extend(observer.await);
    check_history(seed, &store, all).await;
}

/// Opens a repository, and retries while the store is unavailable.
async fn open(store: &HttpStore, writer: u64) -> ConfigRepository<HttpStore> {
    loop {
        match ConfigRepository::open(store.clone(), writer).await {
            Ok(repository) => return repository,
            Err(JournalError::Unavailable(_)) => runtime::sleep(Duration::from_millis(1)).await,
            Err(error) => panic!("{error}"),
        }
    }
}

/// Records the current version, which must never decrease.
fn read(repository: &ConfigRepository<HttpStore>, reads: &mut Reads) -> u64 {
    let (version, document) = repository.current();
    let last = reads.last().map_or(0, |(version, _)| *version);
    assert!(version >= last, "version {last} reverted to {version}");
    if version > last {
        reads.push((version, encode_document(&document)));
    }
    version
}

/// Follows the versions until the submitters are done.
async fn observe(store: HttpStore, is_done: Arc<AtomicBool>) -> Reads {
    let repository = open(&store, 1000).await;
    let mut reads = Vec::new();
    while !is_done.load(Ordering::SeqCst) {
        let version = read(&repository, &mut reads);
        match repository.wait_for_change(version, Duration::from_millis(50)).await {
            Ok(Some((found, _))) => assert!(found > version),
            Ok(None) => {}
            Err(JournalError::Unavailable(_)) => runtime::sleep(Duration::from_millis(1)).await,
            Err(error) => panic!("{error}"),
        }
    }
    reads
}

/// Submits all patches of one submitter. Submitter 0 also sets the faults of the store.
async fn submit_all(stand_in: Arc<StandIn>, store: HttpStore, seed: u64, index: u64) -> Reports {
    let mut random = fastrand::Rng::with_seed(seed * 100 + index);
    let mut repository = open(&store, index + 1).await;
    let mut reports = Reports::default();
    let author = format!("author-{index}");
    for number in 0..PATCHES {
        if index == 0 {
            let mode = if random.u32(..6) == 0 { Mode::Refuse } else { Mode::Up };
            let lose_probability = [0.0, 0.2, 0.6][random.usize(..3)];
            stand_in.set_faults(Faults { mode, lose_probability, ..Faults::default() });
        }
        if random.u32(..12) == 0 {
            repository = reopen(&stand_in, &store, index, number).await;
        }
        let marker = format!("m-{index}-{number}");
        let patch = patch(&marker, 2000);
        // If another patch was accepted first, retries on the new version with the same marker.
        for _ in 0..30 {
            let base = read(&repository, &mut reports.reads);
            match repository.submit(base, patch.clone(), &author).await {
                Ok(version) => {
                    assert_eq!(version, base + 1);
                    reports.accepted.push((version, marker.clone()));
                    break;
                }
                Err(SubmitError::Stale { current, author }) => {
                    assert!(current > base);
                    assert!(read(&repository, &mut reports.reads) >= current);
                    if !author.is_empty() {
                        reports.winners.push((base, author));
                    }
                }
                Err(SubmitError::Unavailable(_)) => {
                    reports.rejected.push(marker.clone());
                    break;
                }
                Err(SubmitError::Unknown(_)) => {
                    reports.unknown.push(marker.clone());
                    break;
                }
                Err(error) => panic!("{error}"),
            }
        }
    }
    if index == 0 {
        // Only this submitter changes the faults, so it must end an outage before it returns:
        // the others would wait for the store.
        stand_in.set_faults(Faults::default());
    }
    reports
}

/// Opens a new repository as a new writer, as after a restart of the submitter's process.
async fn reopen(
    stand_in: &StandIn,
    store: &HttpStore,
    index: u64,
    number: u32,
) -> ConfigRepository<HttpStore> {
    if index == 0 {
        stand_in.set_faults(Faults::default());
    }
    open(store, (index + 1) * 10_000 + u64::from(number)).await
}

/// Compares the reported results with the stored history.
async fn check_history(seed: u64, store: &HttpStore, reports: Reports) {
    let repository = open(store, 5000).await;
    let (last, _) = repository.current();
    assert!(!reports.accepted.is_empty());
    // The order is total: each version adds exactly one marker to the previous version.
    let mut documents = BTreeMap::new();
    let mut order: Vec<String> = Vec::new();
    let mut known = BTreeSet::new();
    for version in 0..=last {
        let document = repository.document_at(version).await.unwrap().unwrap();
        let markers: BTreeSet<String> = cells(&document).into_iter().collect();
        let new: Vec<String> = markers.difference(&known).cloned().collect();
        assert!(known.is_subset(&markers), "seed {seed}: version {version} reverts a patch");
        assert_eq!(new.len(), usize::from(version > 0), "seed {seed}: version {version}: {new:?}");
        order.extend(new);
        known = markers;
        documents.insert(version, document);
    }
    let author = |version: u64| {
        let marker = &order[version as usize - 1];
        format!("author-{}", marker.split('-').nth(1).unwrap())
    };
    for (version, marker) in &reports.accepted {
        assert_eq!(&order[*version as usize - 1], marker, "seed {seed}");
    }
    let versions: BTreeSet<u64> = reports.accepted.iter().map(|(version, _)| *version).collect();
    assert_eq!(versions.len(), reports.accepted.len(), "seed {seed}: two winners of a base");
    for marker in &reports.rejected {
        assert!(!order.contains(marker), "seed {seed}: {marker} was applied");
    }
    let accepted: BTreeSet<&String> = reports.accepted.iter().map(|(_, marker)| marker).collect();
    for marker in &order {
        let is_reported = accepted.contains(marker) || reports.unknown.contains(marker);
        assert!(is_reported, "seed {seed}: {marker} was applied without a report");
    }
    for (base, winner) in &reports.winners {
        assert_eq!(*winner, author(base + 1), "seed {seed}: winner of base {base}");
    }
    for (version, document) in &reports.reads {
        assert_eq!(&documents[version], document, "seed {seed}: version {version}");
    }
    println!(
        "seed {seed}: {last} versions, {} accepted, {} rejected, {} unknown, {} losses",
        reports.accepted.len(),
        reports.rejected.len(),
        reports.unknown.len(),
        reports.winners.len()
    );
}
