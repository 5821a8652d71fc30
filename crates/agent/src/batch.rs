//! Batch tasks on this VM.

use std::sync::Arc;
use std::time::Duration;

use peridotfold_core::config::Document;
use peridotfold_core::id::Incarnation;
use peridotfold_core::message::announce::CellOwner;
use peridotfold_wire::peer::Peers;
use peridotfold_wire::shutdown::Shutdown;

use crate::settings::Settings;

/// Stands for the batch part until it is merged.
#[derive(Debug, Clone)]
pub struct Batch;

impl Batch {
    pub fn new(_: &Settings, _: Incarnation, _: Arc<Peers>) -> Self {
        Batch
    }

    pub async fn run(
        &self,
        _document: impl Fn() -> Option<Arc<Document>> + Send + Sync + 'static,
        _owner: impl Fn() -> Option<CellOwner> + Send + Sync + 'static,
        _latency: impl Fn() -> Duration + Send + Sync + 'static,
        shutdown: Shutdown,
    ) {
        shutdown.wait().await;
    }

    pub async fn drain(&self, _limit: Duration) {}
}
