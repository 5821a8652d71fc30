//! Configuration versions of all processes over time, read in the background.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request};
use parking_lot::Mutex;
use peridotfold_wire::body::Body;
use peridotfold_wire::http_client::HttpClient;
use peridotfold_wire::runtime;
use serde_json::Value;

use super::cluster::{Cluster, OPERATOR_TOKEN};

const PERIOD: Duration = Duration::from_millis(100);
const LIMIT: Duration = Duration::from_millis(500);

/// Versions of a process with the time at which each was first seen after another.
type Changes = Vec<(Duration, u64)>;

#[derive(Debug, Default)]
struct Seen {
    processes: Vec<(String, SocketAddr)>,
    changes: BTreeMap<String, Changes>,
}

/// Reads the versions until dropped.
#[derive(Debug)]
pub struct Versions {
    seen: Arc<Mutex<Seen>>,
    _task: smol::Task<()>,
}

impl Versions {
    /// Starts to read. Times count from `begin`.
    pub fn start(begin: Instant) -> Self {
        let seen = Arc::new(Mutex::new(Seen::default()));
        let _task = runtime::spawn(poll(seen.clone(), begin));
        Versions { seen, _task }
    }

    /// Reads the processes that run now from here on.
    pub fn follow(&self, cluster: &Cluster) {
        self.seen.lock().processes = cluster.processes();
    }

    /// Versions of each process, with the times of their changes.
    pub fn changes(&self) -> BTreeMap<String, Changes> {
        self.seen.lock().changes.clone()
    }
}

async fn poll(seen: Arc<Mutex<Seen>>, begin: Instant) {
    let client = HttpClient::default();
    loop {
        let processes = seen.lock().processes.clone();
        for (name, address) in processes {
            if let Some(version) = version(&client, address).await {
                let mut seen = seen.lock();
                let changes = seen.changes.entry(name).or_default();
                if changes.last().map(|(_, last)| *last) != Some(version) {
                    changes.push((begin.elapsed(), version));
                }
            }
        }
        runtime::sleep(PERIOD).await;
    }
}

/// Returns the version in effect at a process, `None` while it has none or does not answer.
async fn version(client: &HttpClient, address: SocketAddr) -> Option<u64> {
    let request = Request::builder()
        .method(Method::GET)
        .uri("/v1/status")
        .header(http::header::HOST, address.to_string())
        .header(http::header::AUTHORIZATION, format!("Bearer {OPERATOR_TOKEN}"))
        .body(Body::empty())
        .ok()?;
    let response: http::Response<Bytes> = client.exchange(address, request, LIMIT).await.ok()?;
    let status: Value = serde_json::from_slice(response.body()).ok()?;
    status["config_version"].as_u64().filter(|version| *version > 0)
}
