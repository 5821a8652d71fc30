//! Takeover of cells that have no live owner, and handover of cells to better placed entries.
//!
//! Live entries are ranked for each cell by data centre and rendezvous hash; the entry of rank 0 is
//! the preferred owner.

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

/// Time between two reads of an owner record whose owner is alive. With 64 cells and 36 entries,
/// these are 290 reads/s of the store's 2,000.
const RECORD_REFRESH: Duration = Duration::from_secs(8);
/// Time between two reads of an owner record by the preferred owner of the cell. Shorter, since
/// the cell may be handed to the preferred owner at any time.
const PREFERRED_REFRESH: Duration = Duration::from_secs(1);
/// Time for which an entry that is better placed to own a cell must be alive before the cell is
/// handed to it. Longer than the 6 s after which an entry without heartbeats is dead.
const HAND_OVER_DELAY: Duration = Duration::from_secs(10);
/// Pause between the handovers of two cells, so that most cells keep working.
const HAND_OVER_PAUSE: Duration = Duration::from_secs(2);
/// Time after a handover for which the former owner leaves the cell to better placed entries.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(15);
/// Delay of a takeover per rank. The rank of an entry is the number of entries that are better
/// placed for the cell; each of them gets this time to take over first.
const RANK_DELAY: Duration = Duration::from_secs(3);
/// Most replays of the journal in one takeover. A replay is repeated when the former owner has
/// written meanwhile.
const MAX_REPLAYS: usize = 5;

/// Starts a check of each configured cell that this entry does not own and whose check is due.
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

/// Tells whether the list of live entries contains this entry. Before the first successful list,
/// the list is empty and every owner would count as dead.
fn is_self_listed<S: Store>(shared: &Shared<S>, alive: &[EntryView]) -> bool {
    alive.iter().any(|view| view.incarnation == shared.incarnation)
}

/// Tells whether the owner record of a cell should be read now.
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

/// Times of the handovers of cells to better placed entries.
#[derive(Debug, Default)]
pub(super) struct Placement {
    /// Owned cells with a better placed live entry, and since when.
    misplaced: BTreeMap<CellId, Duration>,
    /// Time of the last handover of each cell.
    handed_over: BTreeMap<CellId, Duration>,
}

/// Releases at most one cell that a better placed entry should own. Without handovers, the first
/// entry that starts would keep all cells.
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
    // In progress until the release has ended, so that the record is not mistaken for that of an
    // unfinished takeover.
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

/// Tells whether the recorded owner is alive and has not released the cell.
fn has_live_owner(record: &OwnerRecord, alive: &[EntryView]) -> bool {
    let is_owner =
        |view: &EntryView| view.entry == record.entry && view.incarnation == record.incarnation;
    !record.released && alive.iter().any(is_owner)
}

/// Returns the number of live entries that are better placed to own a cell than this one. Entries
/// in the cell's data centre come first.
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

/// Reads the owner record of a cell and takes the cell over if it has no live owner.
async fn check_cell<S: Store>(
    shared: &Arc<Shared<S>>,
    cell: &CellId,
    alive: &[EntryView],
    rank: u32,
) -> Result<(), JournalError> {
    let Some((version, record)) = read_record(shared, cell, alive).await? else { return Ok(()) };
    if rank > 0 {
        runtime::sleep(RANK_DELAY * rank).await;
        // A better placed entry has written the record by now, unless it has failed as well.
        let again = read_record(shared, cell, alive).await?;
        if again.as_ref().map(|(version, _)| *version) != Some(version) {
            return Ok(());
        }
    }
    let epoch = record.map_or(0, |record| record.epoch) + 1;
    shared.taking_over.fetch_add(1, Ordering::AcqRel);
    let result = claim_cell(shared, cell, version, epoch).await;
    shared.taking_over.fetch_sub(1, Ordering::AcqRel);
    result
}

/// Writes the owner record and takes the cell over, unless the entry is shutting down or another
/// entry was faster.
async fn claim_cell<S: Store>(
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

/// The version and content of the owner record of a cell without a live owner.
type Vacancy = (u64, Option<OwnerRecord>);

/// Reads the owner record. Returns `None` when the recorded owner is alive or the record is
/// malformed.
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
    // A record of this process for a cell that it does not own is from an unfinished takeover.
    let is_own = record.incarnation == shared.incarnation && record.entry == shared.entry;
    match is_own || !has_live_owner(&record, alive) {
        true => Ok(Some((found.version, Some(record)))),
        false => Ok(None),
    }
}

/// Writes this entry into the owner record. Tells whether that succeeded; after a lost response,
/// the next check finds the record and takes over with a higher epoch.
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

/// Replays the journal, fences off the former owner and starts to own the cell.
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
        // Read after the replay: the former owner may have held the cell until its last replayed
        // write, and any later write of it makes the append below fail.
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
        let owned = OwnedCell::start(shared, cell.clone(), epoch, owned, journal);
        owned.log_events(&events);
        let document = shared.document.lock().clone();
        owned.set_document(&document);
        shared.owned_cells.lock().insert(cell.clone(), owned);
        return Ok(());
    }
    Err(JournalError::Fenced)
}

/// Writes an owner record with a higher epoch, with which the next check takes over. Needed only
/// when the owner record was lost but not the journal.
async fn raise_epoch<S: Store>(
    shared: &Arc<Shared<S>>,
    cell: &CellId,
    epoch: Epoch,
) -> Result<(), JournalError> {
    let found = shared.store.get(&owner_key(cell)).await.map_err(StoreFailure)?;
    write_record(shared, cell, found.map_or(0, |found| found.version), epoch).await?;
    Ok(())
}

/// A store error during a takeover, convertible into a journal error.
struct StoreFailure(StoreError);

impl From<StoreFailure> for JournalError {
    fn from(failure: StoreFailure) -> Self {
        JournalError::Unavailable(failure.0)
    }
}
