//! Ownership of cells: takes over cells without a live owner, keeps their journals, and answers
//! the reports of agents and the job operations of callers.
//!
//! Lock order: the placement of cells, the table of owned cells, the table of known owners, then one
//! owned cell's state. No lock is held across an await.

mod claim;
mod jobs;
mod owned;
mod record;

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

/// Time between two looks at the configured cells.
const SCAN_INTERVAL: Duration = Duration::from_millis(500);
/// Time since the last heartbeat after which job operations are refused at once. Two heartbeats.
const STORE_DOWN_AFTER: Duration = Duration::from_secs(4);

/// Longest wait at shutdown for a takeover under way, so that it can be handed back as well.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(3);
const TAKEOVER_POLL: Duration = Duration::from_millis(25);

/// Why a message about a cell was not handled here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CellError {
    /// The owner, if it is known and is not this entry.
    NotOwner(Option<CellOwner>),
}

/// A worker, for operators.
#[derive(Debug, Clone, Serialize)]
pub struct WorkerView {
    pub cell: CellId,
    #[serde(flatten)]
    pub worker: CellWorkerView,
}

/// The cells as one entry sees them.
#[derive(Debug)]
pub struct Cells<S: Store> {
    shared: Arc<Shared<S>>,
}

impl<S: Store> Clone for Cells<S> {
    fn clone(&self) -> Self {
        Cells { shared: self.shared.clone() }
    }
}

#[derive(Debug)]
struct Shared<S: Store> {
    store: S,
    entry: EntryId,
    incarnation: Incarnation,
    address: String,
    outage_hold: Duration,
    owned_cells: Mutex<BTreeMap<CellId, Arc<OwnedCell<S>>>>,
    owner_cache: Mutex<BTreeMap<CellId, CachedRecord>>,
    /// Cells that are being looked at or taken over.
    in_progress: Mutex<BTreeSet<CellId>>,
    placement: Mutex<claim::Placement>,
    store_down: AtomicBool,
    document: Mutex<Arc<Document>>,
    /// Takeovers that have begun to write.
    taking_over: AtomicUsize,
    /// The entry stops: no more takeovers.
    closing: AtomicBool,
}

impl<S: Store> Cells<S> {
    /// Builds the view of an entry that owns nothing yet. `internal` is the address at which
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

    /// Takes over cells and keeps them until the signal, then hands them back.
    ///
    /// `store_ok` tells how long ago the store last answered a heartbeat.
    pub async fn run(
        &self,
        documents: impl Fn() -> Arc<Document> + Send + Sync + 'static,
        alive: impl Fn() -> Vec<EntryView> + Send + Sync + 'static,
        store_ok: impl Fn() -> Duration + Send + Sync + 'static,
        shutdown: Shutdown,
    ) {
        loop {
            self.shared.store_down.store(store_ok() > STORE_DOWN_AFTER, Ordering::Relaxed);
            let document = documents();
            *self.shared.document.lock() = document.clone();
            self.update_owned(&document);
            let alive = alive();
            claim::scan_cells(&self.shared, &document, &alive);
            if !self.shared.store_down.load(Ordering::Relaxed) {
                claim::hand_over(&self.shared, &document, &alive);
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

    /// Passes the configuration on, and drops owned cells that have ended.
    fn update_owned(&self, document: &Arc<Document>) {
        let mut owned_cells = self.shared.owned_cells.lock();
        owned_cells.retain(|_, owned| !owned.has_ended());
        owned_cells.values().for_each(|owned| owned.set_document(document));
        metrics::gauge!("cells_owned").set(owned_cells.len() as f64);
    }

    /// Answers a report: at once when there are orders, otherwise after at most a second.
    ///
    /// # Errors
    ///
    /// Fails when this entry does not own the cell.
    pub async fn report(&self, report: Report) -> Result<Orders, CellError> {
        let cell = report.cell.clone();
        let owned = self.owned_cell(&cell)?;
        owned.report(report).await.ok_or_else(|| self.not_owner(&cell))
    }

    /// Performs a job operation.
    ///
    /// # Errors
    ///
    /// Fails when this entry does not own the cell; nothing was done.
    pub async fn forward(&self, forward: Forward) -> Result<ForwardReply, CellError> {
        let owned = self.owned_cell(&forward.cell)?;
        let store_down = self.shared.store_down.load(Ordering::Relaxed);
        Ok(jobs::perform(&owned, &forward, store_down).await)
    }

    /// Returns the owner of a cell, as owned here or last read from the store.
    pub fn owner(&self, cell: &str) -> Option<CellOwner> {
        if let Some(owned) = self.shared.owned_cells.lock().get(cell).filter(|o| !o.has_ended()) {
            return Some(owned.owner());
        }
        let known = self.shared.owner_cache.lock();
        let record = &known.get(cell)?.record;
        // A record of this entry without an owned cell is a former one.
        (!record.released && record.entry != self.shared.entry).then(|| record.owner())
    }

    /// Returns the workers of the cells owned here.
    pub fn workers(&self) -> Vec<WorkerView> {
        let owned_cells: Vec<_> = self.shared.owned_cells.lock().values().cloned().collect();
        owned_cells.iter().flat_map(|owned| owned.workers()).collect()
    }

    fn owned_cell(&self, cell: &str) -> Result<Arc<OwnedCell<S>>, CellError> {
        let owned = self.shared.owned_cells.lock().get(cell).cloned();
        owned.filter(|owned| !owned.has_ended()).ok_or_else(|| self.not_owner(cell))
    }

    fn not_owner(&self, cell: &str) -> CellError {
        let owner = self.owner(cell);
        CellError::NotOwner(owner.filter(|owner| owner.entry != self.shared.entry))
    }
}
