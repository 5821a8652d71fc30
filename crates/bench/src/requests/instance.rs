//! An upstream instance with the admission of its agent.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use peridotfold_core::admission::{Admission, Limits};
use peridotfold_core::id::{AgentId, Incarnation};
use peridotfold_core::message::announce::{AgentState, Announce, ServiceLoad};
use peridotfold_core::message::request::RequestId;
use peridotfold_core::time::Time;

use super::scenario::Work;

pub const SERVICE: &str = "listings";
pub const SLOTS: u32 = 8;
/// Connections of an instance and the default length of a queue.
const LIMITS: Limits = Limits { slots: SLOTS, connections: 60, queue: 32 };

#[derive(Debug)]
pub struct Instance {
    pub agent: AgentId,
    pub incarnation: Incarnation,
    pub leaving: bool,
    pub admission: Admission,
    /// Service time of each request that was offered, until it starts.
    pub work: HashMap<RequestId, Work>,
    /// Requests in service; an aborted one is removed, so that its end is ignored.
    pub running: HashSet<RequestId>,
    sequence: u64,
}

impl Instance {
    pub fn new(index: usize, incarnation: Incarnation) -> Self {
        Instance {
            agent: format!("vm-{index}"),
            incarnation,
            leaving: false,
            admission: Admission::new(LIMITS),
            work: HashMap::new(),
            running: HashSet::new(),
            sequence: 0,
        }
    }

    pub fn leave(&mut self) {
        self.leaving = true;
        self.admission.leave();
    }

    /// Builds the next announcement.
    pub fn announce(&mut self, now: Time) -> Announce {
        self.sequence += 1;
        let load = self.admission.load(now);
        let service = ServiceLoad {
            service: SERVICE.into(),
            slots: load.slots,
            running: load.running,
            queued: load.queued,
            latency: load.latency,
        };
        Announce {
            agent: self.agent.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            rack: "r".into(),
            data_centre: "dc".into(),
            cell: "c".into(),
            address: self.agent.clone(),
            state: if self.leaving { AgentState::Leaving } else { AgentState::Ready },
            services: vec![service],
            entries_digest: 0,
            config_version: 1,
        }
    }
}

/// Service time with a heavy tail: lognormal with a mean of 10 ms and a 99th percentile of 62 ms.
pub fn service_time(rng: &mut fastrand::Rng) -> Duration {
    const MEAN_S: f64 = 0.010;
    const SIGMA: f64 = 1.0;
    let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.f64()).cos();
    Duration::from_secs_f64(MEAN_S * (SIGMA * normal - SIGMA * SIGMA / 2.0).exp())
}

/// Rate that all of `instances` sustain, in requests a second.
pub fn capacity(instances: usize) -> f64 {
    instances as f64 * f64::from(SLOTS) / 0.010
}
