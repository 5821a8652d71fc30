//! Ownership of cells.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use peridotfold_core::config::Document;
use peridotfold_core::id::Incarnation;
use peridotfold_core::membership::EntryView;
use peridotfold_core::message::announce::CellOwner;
use peridotfold_core::message::entry::{Forward, ForwardReply};
use peridotfold_core::message::report::{Orders, Report};
use peridotfold_store::Store;
use peridotfold_wire::shutdown::Shutdown;
use serde::Serialize;

use crate::settings::Settings;

#[derive(Debug)]
pub enum CellError {
    NotOwner(Option<CellOwner>),
}

#[derive(Debug, Clone, Serialize)]
pub struct WorkerView {}

#[derive(Debug, Clone)]
pub struct Cells<S> {
    store: std::marker::PhantomData<S>,
}

impl<S: Store> Cells<S> {
    pub fn new(_: S, _: &Settings, _: Incarnation, _: SocketAddr) -> Self {
        Cells { store: std::marker::PhantomData }
    }

    pub async fn run(
        &self,
        _documents: impl Fn() -> Arc<Document> + Send + Sync + 'static,
        _alive: impl Fn() -> Vec<EntryView> + Send + Sync + 'static,
        _store_ok: impl Fn() -> Duration + Send + Sync + 'static,
        shutdown: Shutdown,
    ) {
        shutdown.wait().await;
    }

    pub async fn report(&self, _: Report) -> Result<Orders, CellError> {
        Err(CellError::NotOwner(None))
    }

    pub async fn forward(&self, _: Forward) -> Result<ForwardReply, CellError> {
        Err(CellError::NotOwner(None))
    }

    pub fn owner(&self, _: &str) -> Option<CellOwner> {
        None
    }

    pub fn workers(&self) -> Vec<WorkerView> {
        Vec::new()
    }
}
