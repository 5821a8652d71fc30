//! The operators' configuration document.

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

/// Everything that operators decide. Changed by merge patches only.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// Sizes of the VMs in use. Each limit has to fit one of them.
    pub vm_sizes: BTreeMap<String, Resources>,
    pub cells: BTreeMap<CellId, Cell>,
    pub teams: BTreeMap<TeamId, Team>,
    pub services: BTreeMap<ServiceId, Service>,
    pub classes: BTreeMap<String, JobClass>,
    pub closings: BTreeMap<String, Closing>,
}

/// A set of workers that are scheduled together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cell {
    pub data_centre: DataCentreId,
}

/// A team of callers and submitters.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// SHA-256 digest of the team's bearer token, in lower-case hex.
    pub token_sha256: String,
    /// Most that the team's batch tasks may hold in each cell at once.
    pub quota: Resources,
}

/// A latency-critical service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Teams whose callers may use the service. Empty: callers need no credential.
    #[serde(default)]
    pub teams: Vec<TeamId>,
    /// Part of a VM that is reserved for an upstream of this service.
    pub limit: Resources,
    /// Requests that an upstream runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Connections that an agent opens to its upstream.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Requests that wait at an agent for a slot.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Deadline of requests that name none, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Latency that colocation has to protect, in milliseconds.
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
    /// Deadline of requests that name none.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Latency that colocation has to protect.
    pub fn target(&self) -> Duration {
        Duration::from_millis(self.target_ms)
    }
}

/// A class of batch jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobClass {
    /// Most that tasks of this class may take from one VM.
    pub limit: Resources,
    /// Jobs of this class start before others.
    #[serde(default)]
    pub urgent: bool,
}

/// A closing period.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Closing {
    /// Start, as RFC 3339 in UTC.
    pub start: String,
    /// End, as RFC 3339 in UTC; after the start.
    pub end: String,
    /// Time before the start at which VMs are prepared, in seconds.
    #[serde(default = "default_lead_s")]
    pub lead_s: u64,
    /// Services that the closing loads. Closings that share a service must not overlap.
    pub services: Vec<ServiceId>,
    /// Classes of batch jobs that belong to the closing and may use `batch_limit`.
    pub classes: Vec<String>,
    /// Most that batch tasks may take from a VM of these services during the closing.
    pub batch_limit: Resources,
}

fn default_lead_s() -> u64 {
    600
}

impl Closing {
    /// Returns the start and the end.
    ///
    /// # Errors
    ///
    /// Names the field whose text is malformed.
    pub fn period(&self) -> Result<(SystemTime, SystemTime), Problem> {
        let parse = |field: &str, text: &str| {
            humantime::parse_rfc3339(text)
                .map_err(|error| Problem::new(field, format!("{text:?} is not RFC 3339: {error}")))
        };
        Ok((parse("start", &self.start)?, parse("end", &self.end)?))
    }
}
