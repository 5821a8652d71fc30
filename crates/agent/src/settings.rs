//! Settings of an agent, already checked by the command line.

use std::net::SocketAddr;
use std::time::Duration;

use peridotfold_core::id::{AgentId, CellId, DataCentreId, ServiceId};

/// Settings of an agent.
#[derive(Debug, Clone)]
pub struct Settings {
    pub id: AgentId,
    pub data_centre: DataCentreId,
    pub rack: String,
    pub cell: CellId,
    /// Address for messages of entries.
    pub internal: SocketAddr,
    /// Address at which entries reach `internal`, if it is another one.
    pub advertise: Option<SocketAddr>,
    /// Address for health and metrics.
    pub http: SocketAddr,
    /// Internal addresses of entries to begin with.
    pub entries: Vec<SocketAddr>,
    /// Service that the upstream provides.
    pub service: ServiceId,
    pub upstream: SocketAddr,
    /// Address of the platform's worker API on this VM.
    pub worker: SocketAddr,
    /// Time after which a leaving agent closes responses that have no end.
    pub drain_grace: Duration,
}
