//! Settings of an entry, already checked by the command line.

use std::net::SocketAddr;
use std::time::Duration;

use peridotfold_core::id::{DataCentreId, EntryId};

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct Settings {
    pub id: EntryId,
    pub data_centre: DataCentreId,
    /// Address for callers and operators.
    pub http: SocketAddr,
    /// Address for agents and other entries.
    pub internal: SocketAddr,
    /// Address at which agents and other entries reach `internal`, if it is another one.
    pub advertise: Option<SocketAddr>,
    pub store: SocketAddr,
    /// Internal addresses of other entries, asked for the configuration at start.
    pub peers: Vec<SocketAddr>,
    /// SHA-256 digest of the operators' bearer token, in lower-case hex.
    pub operator_digest: String,
    /// Time that the store may be unreachable before the entry gives up its authority.
    pub outage_hold: Duration,
    /// Time after which an entry without heartbeats is dead.
    pub dead_after: Duration,
}
