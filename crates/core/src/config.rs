//! The configuration document, which operators change with JSON merge patches.

pub mod patch;
pub mod state;
pub mod validate;

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

pub use self::patch::{apply_patch, decode_document, encode_document, merge_patch};
pub use self::state::{ConfigState, UpdateError};
pub use self::validate::{validate, Problem};

use crate::id::{CellId, DataCentreId, ServiceId, TeamId};
use crate::resources::Resources;

/// The whole configuration of the system.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// Sizes of the VMs in use. Each resource limit must fit at least one of them.
    pub vm_sizes: BTreeMap<String, Resources>,
    pub cells: BTreeMap<CellId, Cell>,
    pub teams: BTreeMap<TeamId, Team>,
    pub services: BTreeMap<ServiceId, Service>,
    pub classes: BTreeMap<String, JobClass>,
    pub closings: BTreeMap<String, Closing>,
}

/// A set of workers in one data centre that are scheduled together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cell {
    pub data_centre: DataCentreId,
}

/// A team that calls services and submits batch jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// SHA-256 digest of the team's bearer token, in lower-case hex.
    pub token_sha256: String,
    /// Maximum that the team's batch tasks may hold in each cell at once.
    pub quota: Resources,
}

/// A latency-critical service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Teams whose callers may use the service. If empty, callers need no token.
    #[serde(default)]
    pub teams: Vec<TeamId>,
    /// Resources of a VM that are reserved for an upstream (an instance) of this service.
    pub limit: Resources,
    /// Maximum number of requests that an upstream runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Maximum number of connections that an agent opens to its upstream.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Maximum number of requests that wait at an agent for a slot.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Time limit of requests that specify no deadline, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Target latency, in milliseconds. Batch work on the same VM is throttled to keep it.
    #[serde(default = "default_target_ms")]
    pub target_ms: u64,
}

fn default_slots() -> u32 {
    8
}

fn default_connections() -> u32 {
    60
}

fn default_queue() -> u32 {
    32
}

fn default_timeout_ms() -> u64 {
    2_000
}

fn default_target_ms() -> u64 {
    50
}

impl Service {
    /// Returns the time limit of requests that specify no deadline.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Returns the target latency.
    pub fn target(&self) -> Duration {
        Duration::from_millis(self.target_ms)
    }
}

/// A class of batch jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobClass {
    /// Maximum that tasks of this class may take from one VM.
    pub limit: Resources,
    /// Whether jobs of this class start before others.
    #[serde(default)]
    pub urgent: bool,
}

/// A closing: a planned period, such as the close of a financial year, in which some services
/// expect high load and batch work on their VMs is limited.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Closing {
    /// Start of the closing, as RFC 3339 in UTC.
    pub start: String,
    /// End of the closing, as RFC 3339 in UTC; after the start.
    pub end: String,
    /// Time before the start at which agents begin to reduce batch work to `batch_limit`, in
    /// seconds.
    #[serde(default = "default_lead_s")]
    pub lead_s: u64,
    /// Services that expect high load. Closings that share a service must not overlap.
    pub services: Vec<ServiceId>,
    /// Classes of batch jobs that belong to the closing and may start within `batch_limit`.
    pub classes: Vec<String>,
    /// Maximum that batch tasks may take from a VM of these services during the closing.
    pub batch_limit: Resources,
}

fn default_lead_s() -> u64 {
    600
}

impl Closing {
    /// Parses the start and the end.
    ///
    /// # Errors
    ///
    /// Returns a problem with the name of the malformed field.
    pub fn period(&self) -> Result<(SystemTime, SystemTime), Problem> {
        let parse = |field: &str, text: &str| {
            humantime::parse_rfc3339(text)
                .map_err(|error| Problem::new(field, format!("{text:?} is not RFC 3339: {error}")))
        };
        Ok((parse("start", &self.start)?, parse("end", &self.end)?))
    }
}
