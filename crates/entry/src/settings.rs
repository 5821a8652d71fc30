//! Settings of an entry, which the command line has validated.

use std::net::SocketAddr;
use std::time::Duration;

use peridotfold_core::id::{DataCentreId, EntryId};
use peridotfold_wire::limits::Limits;

/// Addresses, identity, credential and time limits of an entry.
#[derive(Debug, Clone)]
pub struct Settings {
    pub id: EntryId,
    pub data_centre: DataCentreId,
    /// Listen address for callers and operators.
    pub http: SocketAddr,
    /// Listen address for agents and other entries.
    pub internal: SocketAddr,
    /// Address at which agents and other entries reach `internal`, if it differs.
    pub advertise: Option<SocketAddr>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Internal addresses of other entries, from which the configuration can be requested.
    pub peers: Vec<SocketAddr>,
    /// SHA-256 digest of the operators' bearer token, in lower-case hex.
    pub operator_digest: String,
    /// Time without contact to the store after which the entry grants no more leases, starts no more
    /// tasks and dispatches no more requests with idempotency keys.
    pub outage_hold: Duration,
    /// Time without heartbeats after which an entry counts as dead.
    pub dead_after: Duration,
    /// Limits on what callers and operators may hold.
    pub limits: Limits,
}
