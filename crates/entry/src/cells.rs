//! Ownership of batch cells by this entry.
//!
//! A cell is a set of workers with the jobs assigned to it. One entry at a time owns a cell, as
//! recorded in the store; each ownership period has a higher epoch. An entry takes over cells
//! without a live owner, writes their journals, and answers the reports of agents and the job
//! operations of callers.
//!
//! Lock order: `placement`, `owned_cells`, `owner_cache`, then the state of one owned cell. No lock
//! is held across an await.

mod jobs;
mod owned;
mod record;
mod takeover;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use peridotfold_core::cell::worker::WorkerView as CellWorkerView;
use peridotfold_core::config::Document;
use peridotfold_core::id::{CellId, EntryId, Incarnation};
use peridotfold_core::membership::EntryView;
use peridotfold_core::message::announce::CellOwner;
use peridotfold_core::message::entry::{Forward, ForwardReply};
use peridotfold_core::message::report::{Orders, Report};
use peridotfold_store::Store;
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::Shutdown;
use serde::Serialize;

use self::owned::OwnedCell;
use self::record::CachedRecord;
use crate::settings::Settings;

/// Time between two scans of the configured cells for cells to take over or hand over.
const SCAN_INTERVAL: Duration = Duration::from_millis(500);
/// Time since the last successful heartbeat after which submissions and cancellations are refused
/// at once. Two heartbeat intervals.
const STORE_DOWN_AFTER: Duration = Duration::from_secs(4);

/// Longest wait at shutdown for running takeovers, so that their cells can be released as well.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(3);
/// Time between two checks at shutdown for running takeovers.
const TAKEOVER_POLL: Duration = Duration::from_millis(25);

/// Reason why a message about a cell was not handled by this entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CellError {
    /// This entry does not own the cell. Holds the owner, if another entry is known to be it.
    NotOwner(Option<CellOwner>),
}

/// A worker and its cell, as shown to operators.
#[derive(Debug, Clone, Serialize)]
pub struct WorkerView {
    /// Cell of the worker.
    pub cell: CellId,
    #[serde(flatten)]
    pub worker: CellWorkerView,
}

/// The cells that one entry owns, and its cached records of the owners of other cells.
#[derive(Debug)]
pub struct Cells<S: Store> {
    shared: Arc<Shared<S>>,
}

impl<S: Store> Clone for Cells<S> {
    fn clone(&self) -> Self {
        Cells { shared: self.shared.clone() }
    }
}

/// State that all owned cells of this entry share.
#[derive(Debug)]
struct Shared<S: Store> {
    store: S,
    entry: EntryId,
    incarnation: Incarnation,
    /// Address at which other processes reach this entry.
    address: String,
    /// See `Settings::outage_hold`.
    outage_hold: Duration,
    owned_cells: Mutex<BTreeMap<CellId, Arc<OwnedCell<S>>>>,
    /// Owner record of each cell as last read from or written to the store.
    owner_cache: Mutex<BTreeMap<CellId, CachedRecord>>,
    /// Cells whose check, takeover or release is running.
    in_progress: Mutex<BTreeSet<CellId>>,
    placement: Mutex<takeover::Placement>,
    /// No heartbeat has succeeded for [`STORE_DOWN_AFTER`].
    store_down: AtomicBool,
    /// Configuration document in effect.
    document: Mutex<Arc<Document>>,
    /// Number of takeovers that have started to write to the store.
    taking_over: AtomicUsize,
    /// The entry is shutting down and starts no more takeovers.
    closing: AtomicBool,
}

impl<S: Store> Cells<S> {
    /// Creates the state of an entry that owns no cell yet. `internal` is the address at which
    /// agents and other entries reach it.
    pub fn new(
        store: S,
        settings: &Settings,
        incarnation: Incarnation,
        internal: SocketAddr,
    ) -> Self {
        let shared = Shared {
            store,
            entry: settings.id.clone(),
            incarnation,
            address: internal.to_string(),
            outage_hold: settings.outage_hold,
            owned_cells: Mutex::default(),
            owner_cache: Mutex::default(),
            in_progress: Mutex::default(),
            placement: Mutex::default(),
            store_down: AtomicBool::new(false),
            document: Mutex::default(),
            taking_over: AtomicUsize::new(0),
            closing: AtomicBool::new(false),
        };
        Cells { shared: Arc::new(shared) }
    }

    /// Takes over cells and owns them until the shutdown signal, then releases them.
    ///
    /// `documents` returns the configuration in effect, `alive` the live entries, and
    /// `store_silence` the time since the store last accepted a heartbeat.
    pub async fn run(
        &self,
        documents: impl Fn() -> Arc<Document> + Send + Sync + 'static,
        alive: impl Fn() -> Vec<EntryView> + Send + Sync + 'static,
        store_silence: impl Fn() -> Duration + Send + Sync + 'static,
        shutdown: Shutdown,
    ) {
        loop {
            self.shared.store_down.store(store_silence() > STORE_DOWN_AFTER, Ordering::Relaxed);
            let document = documents();
            *self.shared.document.lock() = document.clone();
            self.update_owned(&document);
            let alive = alive();
            takeover::scan_cells(&self.shared, &document, &alive);
            if !self.shared.store_down.load(Ordering::Relaxed) {
                takeover::hand_over(&self.shared, &document, &alive);
            }
            if runtime::sleep_or_shutdown(SCAN_INTERVAL, &shutdown).await {
                break;
            }
        }
        self.shared.closing.store(true, Ordering::Release);
        let deadline = runtime::now() + TAKEOVER_LIMIT;
        while self.shared.taking_over.load(Ordering::Acquire) > 0 && runtime::now() < deadline {
            runtime::sleep(TAKEOVER_POLL).await;
        }
        let owned_cells = std::mem::take(&mut *self.shared.owned_cells.lock());
        let releases = owned_cells.into_values().map(|owned| runtime::spawn(owned.release()));
        for release in releases.collect::<Vec<_>>() {
            release.await;
        }
    }

    /// Passes the configuration to the owned cells, and drops those whose ownership has ended.
    fn update_owned(&self, document: &Arc<Document>) {
        let mut owned_cells = self.shared.owned_cells.lock();
        owned_cells.retain(|_, owned| !owned.has_ended());
        owned_cells.values().for_each(|owned| owned.set_document(document));
        metrics::gauge!("cells_owned").set(owned_cells.len() as f64);
    }

    /// Answers the report of an agent: at once if there are orders for the agent, otherwise after
    /// at most 1 s.
    ///
    /// # Errors
    ///
    /// Fails when this entry does not own the cell.
    pub async fn report(&self, report: Report) -> Result<Orders, CellError> {
        let cell = report.cell.clone();
        let owned = self.owned_cell(&cell)?;
        owned.report(report).await.ok_or_else(|| self.not_owner(&cell))
    }

    /// Submits, lists, shows or cancels jobs of a cell that this entry owns, as `forward` requests.
    ///
    /// # Errors
    ///
    /// Fails when this entry does not own the cell; the operation was not performed.
    pub async fn forward(&self, forward: Forward) -> Result<ForwardReply, CellError> {
        let owned = self.owned_cell(&forward.cell)?;
        let store_down = self.shared.store_down.load(Ordering::Relaxed);
        Ok(jobs::perform(&owned, &forward, store_down).await)
    }

    /// Returns the owner of a cell: this entry, or the owner as last read from the store.
    pub fn owner(&self, cell: &str) -> Option<CellOwner> {
        if let Some(owned) = self.shared.owned_cells.lock().get(cell).filter(|o| !o.has_ended()) {
            return Some(owned.owner());
        }
        let known = self.shared.owner_cache.lock();
        let record = &known.get(cell)?.record;
        // A record that names this entry without an owned cell is from a former ownership.
        (!record.released && record.entry != self.shared.entry).then(|| record.owner())
    }

    /// Returns the workers of the cells that this entry owns.
    pub fn workers(&self) -> Vec<WorkerView> {
        let owned_cells: Vec<_> = self.shared.owned_cells.lock().values().cloned().collect();
        owned_cells.iter().flat_map(|owned| owned.workers()).collect()
    }

    /// Returns a cell that this entry owns.
    fn owned_cell(&self, cell: &str) -> Result<Arc<OwnedCell<S>>, CellError> {
        let owned = self.shared.owned_cells.lock().get(cell).cloned();
        owned.filter(|owned| !owned.has_ended()).ok_or_else(|| self.not_owner(cell))
    }

    /// Returns the error for a cell that this entry does not own.
    fn not_owner(&self, cell: &str) -> CellError {
        let owner = self.owner(cell);
        CellError::NotOwner(owner.filter(|owner| owner.entry != self.shared.entry))
    }
}
