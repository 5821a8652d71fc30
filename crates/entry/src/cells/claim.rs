//! Taking over cells that have no live owner.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use peridotfold_core::cell::{Cell, CellSettings, Event};
use peridotfold_core::config::Document;
use peridotfold_core::hash;
use peridotfold_core::id::{CellId, DataCentreId, Epoch};
use peridotfold_core::membership::EntryView;
use peridotfold_store::{Journal, JournalError, PutOutcome, Store, StoreError};
use peridotfold_wire::runtime;

use crate::cells::owned::OwnedCell;
use crate::cells::record::{journal_name, owner_key, CachedRecord, OwnerRecord, Replayed};
use crate::cells::Shared;

/// Time between two reads of the record of a live owner. With 64 cells and 36 entries this makes
/// 290 reads/s of the store's 2,000.
const RECORD_REFRESH: Duration = Duration::from_secs(8);
/// The same for the entry that is best placed to own the cell: it may be handed back at any time.
const PREFERRED_REFRESH: Duration = Duration::from_secs(1);
/// Time for which a better placed entry has to be alive before a cell is handed to it. Longer than
/// the 6 s in which a dead entry is noticed.
const HAND_OVER_DELAY: Duration = Duration::from_secs(10);
/// Pause between two cells that are handed over, so that most of the work goes on undisturbed.
const HAND_OVER_PAUSE: Duration = Duration::from_secs(2);
/// Time in which the better placed entry has to take over a cell that was handed to it.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(15);
/// Time that each better placed entry gets to take over a cell first.
const RANK_DELAY: Duration = Duration::from_secs(3);
/// Replays of the journal in one takeover; each repetition means that the former owner wrote.
const MAX_REPLAYS: usize = 5;

/// Starts a look at each configured cell that is not owned here and is due for one.
pub(super) fn scan_cells<S: Store>(
    shared: &Arc<Shared<S>>,
    document: &Document,
    alive: &[EntryView],
) {
    if !is_self_listed(shared, alive) {
        return;
    }
    for (cell, config) in &document.cells {
        let owned = shared.owned_cells.lock().contains_key(cell);
        let rank = rank(shared, cell, &config.data_centre, alive);
        if owned || !is_due(shared, cell, alive, rank) {
            continue;
        }
        if !shared.in_progress.lock().insert(cell.clone()) {
            continue;
        }
        let (shared, cell, alive) = (shared.clone(), cell.clone(), alive.to_vec());
        runtime::spawn(async move {
            if let Err(error) = check_cell(&shared, &cell, &alive, rank).await {
                tracing::warn!(event = "takeover_failed", cell, %error);
            }
            shared.in_progress.lock().remove(&cell);
        })
        .detach();
    }
}

/// Tells whether the list of live entries is of use: without one, anyone would look dead.
fn is_self_listed<S: Store>(shared: &Shared<S>, alive: &[EntryView]) -> bool {
    alive.iter().any(|view| view.incarnation == shared.incarnation)
}

fn is_due<S: Store>(shared: &Shared<S>, cell: &str, alive: &[EntryView], rank: u32) -> bool {
    let now = runtime::now();
    let handed_over = shared.placement.lock().handed_over.get(cell).copied();
    if handed_over.is_some_and(|since| rank > 0 && now < since + HAND_OVER_LIMIT) {
        return false;
    }
    let interval = if rank == 0 { PREFERRED_REFRESH } else { RECORD_REFRESH };
    match shared.owner_cache.lock().get(cell) {
        Some(known) if has_live_owner(&known.record, alive) => now >= known.read_at + interval,
        _ => true,
    }
}

/// When cells were found to be better placed elsewhere, and handed over.
#[derive(Debug, Default)]
pub(super) struct Placement {
    misplaced: BTreeMap<CellId, Duration>,
    handed_over: BTreeMap<CellId, Duration>,
}

/// Hands one cell to a better placed entry, if there is such a cell. Without this, the first entry
/// that starts would keep all cells.
pub(super) fn hand_over<S: Store>(
    shared: &Arc<Shared<S>>,
    document: &Document,
    alive: &[EntryView],
) {
    if !is_self_listed(shared, alive) {
        return;
    }
    let now = runtime::now();
    let mut placement = shared.placement.lock();
    let owned: Vec<CellId> = shared.owned_cells.lock().keys().cloned().collect();
    let is_misplaced = |cell: &CellId| {
        let config = document.cells.get(cell);
        config.is_none_or(|config| rank(shared, cell, &config.data_centre, alive) > 0)
    };
    let misplaced: Vec<CellId> = owned.into_iter().filter(is_misplaced).collect();
    placement.misplaced.retain(|cell, _| misplaced.contains(cell));
    for cell in &misplaced {
        placement.misplaced.entry(cell.clone()).or_insert(now);
    }
    if placement.handed_over.values().any(|since| now < *since + HAND_OVER_PAUSE) {
        return;
    }
    let due = |(_, since): &(&CellId, &Duration)| now >= **since + HAND_OVER_DELAY;
    let Some(cell) = placement.misplaced.iter().find(due).map(|(cell, _)| cell.clone()) else {
        return;
    };
    // Busy until the release has ended, so that it is not taken for an unfinished takeover.
    if !shared.in_progress.lock().insert(cell.clone()) {
        return;
    }
    placement.misplaced.remove(&cell);
    placement.handed_over.insert(cell.clone(), now);
    let owned = shared.owned_cells.lock().remove(&cell);
    let shared = shared.clone();
    runtime::spawn(async move {
        if let Some(owned) = owned {
            owned.release().await;
        }
        shared.in_progress.lock().remove(&cell);
    })
    .detach();
}

/// Tells whether the recorded owner is alive and still the owner.
fn has_live_owner(record: &OwnerRecord, alive: &[EntryView]) -> bool {
    let is_owner =
        |view: &EntryView| view.entry == record.entry && view.incarnation == record.incarnation;
    !record.released && alive.iter().any(is_owner)
}

/// Returns the number of live entries that are better placed to own a cell. Entries of the cell's
/// data centre come first.
fn rank<S: Store>(
    shared: &Shared<S>,
    cell: &str,
    data_centre: &DataCentreId,
    alive: &[EntryView],
) -> u32 {
    let weight = |view: &EntryView| {
        let weight = hash::rendezvous(cell.as_bytes(), view.entry.as_bytes());
        (view.data_centre == *data_centre, weight)
    };
    let own = alive.iter().find(|view| view.incarnation == shared.incarnation).map(weight);
    alive.iter().filter(|view| Some(weight(view)) > own).count() as u32
}

/// Reads the record of a cell and takes the cell over if its owner is gone.
async fn check_cell<S: Store>(
    shared: &Arc<Shared<S>>,
    cell: &CellId,
    alive: &[EntryView],
    rank: u32,
) -> Result<(), JournalError> {
    let Some((version, record)) = read_record(shared, cell, alive).await? else { return Ok(()) };
    if rank > 0 {
        runtime::sleep(RANK_DELAY * rank).await;
        // Whoever was better placed has written by now, unless it is gone as well.
        let again = read_record(shared, cell, alive).await?;
        if again.as_ref().map(|(version, _)| *version) != Some(version) {
            return Ok(());
        }
    }
    let epoch = record.map_or(0, |record| record.epoch) + 1;
    shared.taking_over.fetch_add(1, Ordering::AcqRel);
    let result = claim(shared, cell, version, epoch).await;
    shared.taking_over.fetch_sub(1, Ordering::AcqRel);
    result
}

async fn claim<S: Store>(
    shared: &Arc<Shared<S>>,
    cell: &CellId,
    version: u64,
    epoch: Epoch,
) -> Result<(), JournalError> {
    if shared.closing.load(Ordering::Acquire) || !write_record(shared, cell, version, epoch).await?
    {
        return Ok(());
    }
    take_over(shared, cell, epoch).await
}

type Vacancy = (u64, Option<OwnerRecord>);

/// Reads the record; `None` when the owner is still the owner of record.
async fn read_record<S: Store>(
    shared: &Shared<S>,
    cell: &CellId,
    alive: &[EntryView],
) -> Result<Option<Vacancy>, StoreFailure> {
    let found = shared.store.get(&owner_key(cell)).await.map_err(StoreFailure)?;
    let Some(found) = found else { return Ok(Some((0, None))) };
    let Some(record) = OwnerRecord::decode(&found) else {
        tracing::error!(event = "owner_record_malformed", cell);
        return Ok(None);
    };
    let known = CachedRecord { record: record.clone(), read_at: runtime::now() };
    shared.owner_cache.lock().insert(cell.clone(), known);
    // An own record without an owned cell: a takeover that did not come to its end.
    let is_own = record.incarnation == shared.incarnation && record.entry == shared.entry;
    match is_own || !has_live_owner(&record, alive) {
        true => Ok(Some((found.version, Some(record)))),
        false => Ok(None),
    }
}

/// Records this entry as the owner. Tells whether that succeeded; after a lost response the next
/// look finds the record and takes over with a further epoch.
async fn write_record<S: Store>(
    shared: &Shared<S>,
    cell: &CellId,
    version: u64,
    epoch: Epoch,
) -> Result<bool, StoreFailure> {
    let record = OwnerRecord {
        entry: shared.entry.clone(),
        incarnation: shared.incarnation,
        address: shared.address.clone(),
        epoch,
        released: false,
    };
    let written = shared.store.put(&owner_key(cell), version, record.encode()).await;
    match written.map_err(StoreFailure)? {
        PutOutcome::Conflict(_) => Ok(false),
        PutOutcome::Written(_) => {
            let known = CachedRecord { record, read_at: runtime::now() };
            shared.owner_cache.lock().insert(cell.clone(), known);
            Ok(true)
        }
    }
}

/// Replays the journal, fences off the former owner and begins to own the cell.
async fn take_over<S: Store>(
    shared: &Arc<Shared<S>>,
    cell: &CellId,
    epoch: Epoch,
) -> Result<(), JournalError> {
    let settings = CellSettings { outage_hold: shared.outage_hold, ..CellSettings::default() };
    let writer = hash::rendezvous(cell.as_bytes(), &shared.incarnation.to_le_bytes()) ^ epoch;
    let name = journal_name(cell);
    for _ in 0..MAX_REPLAYS {
        let mut journal: Journal<S, Replayed> =
            Journal::open(shared.store.clone(), &name, writer).await?;
        // Taken after the replay: a former owner whose write is part of it was the owner until
        // then, and a later write of it makes the append below fail.
        let now = runtime::now();
        let state = journal.state().0.clone();
        if state.epoch >= epoch {
            tracing::error!(event = "owner_record_behind", cell, epoch, journal = state.epoch);
            return raise_epoch(shared, cell, state.epoch + 1).await;
        }
        let rng = fastrand::Rng::with_seed(writer);
        let mut owned = Cell::take_over(state, epoch, settings, now, rng);
        let events: Vec<Event> = owned.take_batch();
        match journal.append(events.clone()).await {
            Err(JournalError::Fenced) => continue,
            result => result?,
        }
        owned.confirm_commit();
        let owned = OwnedCell::open(shared, cell.clone(), epoch, owned, journal);
        owned.log(&events);
        let document = shared.document.lock().clone();
        owned.set_document(&document);
        shared.owned_cells.lock().insert(cell.clone(), owned);
        return Ok(());
    }
    Err(JournalError::Fenced)
}

/// Writes a record with a higher epoch, for the next look. Needed only when the owner record was
/// lost while the journal was kept.
async fn raise_epoch<S: Store>(
    shared: &Arc<Shared<S>>,
    cell: &CellId,
    epoch: Epoch,
) -> Result<(), JournalError> {
    let found = shared.store.get(&owner_key(cell)).await.map_err(StoreFailure)?;
    write_record(shared, cell, found.map_or(0, |found| found.version), epoch).await?;
    Ok(())
}

/// A failed call of the store, as part of a takeover.
struct StoreFailure(StoreError);

impl From<StoreFailure> for JournalError {
    fn from(failure: StoreFailure) -> Self {
        JournalError::Unavailable(failure.0)
    }
}
