//! Settings of an agent, validated by the command line.

use std::net::SocketAddr;
use std::time::Duration;

use peridotfold_core::id::{AgentId, CellId, DataCentreId, ServiceId};

/// Validated settings of an agent.
#[derive(Debug, Clone)]
pub struct Settings {
    pub id: AgentId,
    pub data_centre: DataCentreId,
    pub rack: String,
    pub cell: CellId,
    /// Listen address for messages from entries.
    pub internal: SocketAddr,
    /// Address at which entries reach `internal`, if different.
    pub advertise: Option<SocketAddr>,
    /// Listen address for health, metrics and status.
    pub http: SocketAddr,
    /// Addresses of the entries to contact before any others are known.
    pub entries: Vec<SocketAddr>,
    /// Service that the upstream provides.
    pub service: ServiceId,
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Address of the platform's worker API on this VM.
    pub worker: SocketAddr,
    /// Grace period of a drain, after which streaming responses are closed.
    pub drain_grace: Duration,
}
