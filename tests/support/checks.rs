//! Checks of what a cluster must never do, for tests that bring about faults.

// Each test file uses a part.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, Request};
use parking_lot::Mutex;
use peridotfold_standins::load::Load;
use peridotfold_wire::body::Body;
use peridotfold_wire::http_client::HttpClient;
use peridotfold_wire::runtime;
use serde_json::Value;

use crate::support::{within, Cluster, OPERATOR_TOKEN, PATIENCE};

/// Begin of the body of a bid without a key, which is not one of the load.
pub const PROBE: &str = "probe-";
const SAMPLE_PERIOD: Duration = Duration::from_millis(30);

/// Start and end of an attempt in microseconds, and its VM.
type Attempt = (u64, u64, usize);

/// Checks that no two attempts of one task ran at the same time, on any worker, and returns the
/// tasks that ran.
///
/// # Panics
///
/// Panics when the check fails.
pub fn one_place_each(cluster: &Cluster, case: &str) -> Vec<(String, u32)> {
    let mut runs: BTreeMap<(String, u32), Vec<Attempt>> = BTreeMap::new();
    for (vm, machine) in cluster.vms.iter().enumerate() {
        for run in machine.worker.history() {
            let end = run.end_us.unwrap_or(u64::MAX);
            runs.entry((run.job, run.task)).or_default().push((run.start_us, end, vm));
        }
    }
    for (task, attempts) in &mut runs {
        attempts.sort();
        let apart = attempts.windows(2).all(|pair| pair[0].1 <= pair[1].0);
        assert!(apart, "{case}: {task:?} ran twice at a time: {attempts:?}");
    }
    runs.into_keys().collect()
}

/// Checks that no bid ran twice or after `not run`, and that each answer belongs to its request.
///
/// # Panics
///
/// Panics when a check fails.
pub fn requests(cluster: &Cluster, load: &Load, case: &str) {
    let mut bids = Vec::new();
    for vm in &cluster.vms {
        let runs = vm.upstream.executions();
        let of_load = runs.into_iter().filter(|run| !run.body.starts_with(PROBE));
        bids.extend(of_load.map(|run| (run.key.unwrap_or_default(), run.body)));
    }
    bids.sort();
    let twice: Vec<_> = bids.windows(2).filter(|pair| pair[0].0 == pair[1].0).collect();
    assert!(twice.is_empty(), "{case}: bids ran twice: {twice:?}");
    load.totals(|totals| {
        assert_eq!(totals.wrong, 0, "{case}: wrong answers");
        assert!(totals.answered > 200, "{case}: only {} answers", totals.answered);
        for (key, attempt) in &totals.not_run_bids {
            let bid = (key.clone(), format!("{key} try {attempt}"));
            assert!(!bids.contains(&bid), "{case}: {bid:?} ran after `not run`");
        }
    });
}

/// Reads the versions of processes again and again. A process that does not answer, or has no
/// version yet, gives no sample.
pub struct Sampler {
    pub seen: Arc<Mutex<Vec<Vec<u64>>>>,
    _tasks: Vec<smol::Task<()>>,
}

impl Sampler {
    /// Begins to read.
    pub fn start(addresses: Vec<SocketAddr>) -> Self {
        let seen = Arc::new(Mutex::new(vec![Vec::<u64>::new(); addresses.len()]));
        let sample = |(index, address): (usize, SocketAddr)| {
            let seen = seen.clone();
            runtime::spawn(async move {
                let client = HttpClient::default();
                loop {
                    let request = Request::builder()
                        .method(Method::GET)
                        .uri("/v1/status")
                        .header(http::header::HOST, "status")
                        .header(http::header::AUTHORIZATION, format!("Bearer {OPERATOR_TOKEN}"))
                        .body(Body::empty())
                        .expect("request");
                    let limit = Duration::from_secs(1);
                    if let Ok(response) = client.exchange(address, request, limit).await {
                        let status: Value =
                            serde_json::from_slice(response.body()).unwrap_or_default();
                        let version = status["config_version"].as_u64().filter(|v| *v > 0);
                        seen.lock()[index].extend(version);
                    }
                    runtime::sleep(SAMPLE_PERIOD).await;
                }
            })
        };
        let _tasks = addresses.into_iter().enumerate().map(sample).collect();
        Sampler { seen, _tasks }
    }

    /// Waits until each process was seen. One that is paused before that may be missed.
    pub async fn wait_seen(&self) {
        within(PATIENCE, "each process was seen", || async {
            self.seen.lock().iter().all(|versions| !versions.is_empty())
        })
        .await;
    }

    /// Checks that no process went back to an older version, and that each was seen.
    ///
    /// # Panics
    ///
    /// Panics when a check fails.
    pub fn check(&self) {
        for (index, versions) in self.seen.lock().iter().enumerate() {
            assert!(!versions.is_empty(), "process {index} was never seen");
            assert!(versions.is_sorted(), "process {index} went back: {versions:?}");
        }
    }
}

/// HTTP addresses of all entries and running agents.
pub fn processes(cluster: &Cluster) -> Vec<SocketAddr> {
    let agents = cluster.vms.iter().filter_map(|vm| vm.agent.as_ref());
    cluster.https().into_iter().chain(agents.map(|agent| agent.http)).collect()
}
