//! Entries with a stand-in for the store, and helpers for their tests.

#![allow(dead_code)]

pub mod agent;

use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use peridotfold_core::message::announce::AnnounceReply;
use peridotfold_entry::settings::Settings;
use peridotfold_standins::store;
use peridotfold_store::HttpStore;
use peridotfold_wire::body::Body;
use peridotfold_wire::error::WireError;
use peridotfold_wire::http_client::HttpClient;
use peridotfold_wire::peer::Peers;
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::{self, Trigger};

/// Longest wait of a test for a condition.
pub const WAIT: Duration = Duration::from_secs(30);
/// Timeout of one request to an entry.
const LIMIT: Duration = Duration::from_secs(10);
/// Bearer token of the operators.
pub const OPERATOR: &str = "operator-token";
/// SHA-256 of [`OPERATOR`].
pub const OPERATOR_DIGEST: &str =
    "0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e";
/// SHA-256 of `team-token`.
pub const TEAM_DIGEST: &str = "2304fcda2bf82779c69d1100357cc0d7af66ee39d6fc1e1ae7a77cb7477f4943";

/// Runs a test with the thread pool of the process.
pub fn run(test: impl std::future::Future<Output = ()>) {
    static THREADS: OnceLock<()> = OnceLock::new();
    THREADS.get_or_init(|| runtime::start_threads(4));
    smol::block_on(test);
}

/// Waits until `condition` holds. `what` names the condition in the panic message.
///
/// # Panics
///
/// Panics when the condition does not hold within [`WAIT`].
pub async fn until<F: std::future::Future<Output = bool>>(
    what: &str,
    mut condition: impl FnMut() -> F,
) {
    let end = runtime::now() + WAIT;
    while !condition().await {
        assert!(runtime::now() < end, "not in time: {what}");
        runtime::sleep(Duration::from_millis(20)).await;
    }
}

/// A running entry.
pub struct Entry {
    /// Address for callers and operators.
    pub http: SocketAddr,
    /// Address for agents and other entries.
    pub internal: SocketAddr,
    client: HttpClient,
    stop: Trigger,
    task: smol::Task<eyre::Result<()>>,
}

impl Entry {
    /// Starts an entry; `peers` are the internal addresses of other entries.
    pub async fn start(id: &str, store: SocketAddr, peers: Vec<SocketAddr>) -> Entry {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = Settings {
            id: id.into(),
            data_centre: "dc-1".into(),
            http: any,
            internal: any,
            advertise: None,
            store,
            peers,
            operator_digest: OPERATOR_DIGEST.into(),
            limits: peridotfold_wire::limits::Limits::NONE,
            outage_hold: Duration::from_secs(600),
            dead_after: Duration::from_secs(6),
        };
        let (stop, stopped) = shutdown::channel();
        let (sender, receiver) = async_channel::bounded(1);
        let store = HttpStore::new(store, Duration::from_millis(500));
        let task = runtime::spawn(async move {
            let ready = |http, internal| {
                let _ = sender.try_send((http, internal));
            };
            peridotfold_entry::serve(settings, store, stopped, ready).await
        });
        let (http, internal) = receiver.recv().await.expect("the entry starts");
        Entry { http, internal, client: HttpClient::default(), stop, task }
    }

    /// Starts an entry and submits a configuration with the services `open` and `closed`.
    pub async fn configured(id: &str, store: &store::Store) -> Entry {
        let entry = Entry::start(id, store.address(), Vec::new()).await;
        entry.wait_ready().await;
        let patch = format!(
            r#"{{"vm_sizes":{{"small":{{"cpu_milli":16000,"memory_mib":65536}}}},
            "teams":{{"red":{{"token_sha256":"{TEAM_DIGEST}","quota":{{}}}}}},
            "services":{{"open":{{"limit":{{"cpu_milli":1000,"memory_mib":1024}}}},
            "closed":{{"teams":["red"],"limit":{{"cpu_milli":1000,"memory_mib":1024}}}}}}}}"#
        );
        let response = entry.operator(Method::PATCH, "/v1/config?base=0", patch).await;
        assert_eq!(response.status(), 200, "{:?}", response.body());
        entry
    }

    /// Waits until the entry has a configuration.
    pub async fn wait_ready(&self) {
        until("the entry has a configuration", || async {
            self.get("/healthz", &[]).await.is_ok_and(|response| response.status() == 200)
        })
        .await;
    }

    /// Sends a request to the entry's HTTP address.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Response<Bytes>, WireError> {
        let mut request = Request::builder().method(method).uri(path).header("host", "entry");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Body::full(body)).expect("the request is valid");
        self.client.exchange(self.http, request, LIMIT).await
    }

    /// Sends a `GET` request.
    pub async fn get(
        &self,
        path: &str,
        headers: &[(&str, &str)],
    ) -> Result<Response<Bytes>, WireError> {
        self.send(Method::GET, path, headers, "").await
    }

    /// Sends a request with the operators' credential.
    pub async fn operator(
        &self,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Response<Bytes> {
        let token = format!("Bearer {OPERATOR}");
        let headers = [("authorization", token.as_str())];
        self.send(method, path, &headers, body).await.expect("the entry answers")
    }

    /// Waits until the entry shows exactly `count` ready upstreams.
    pub async fn wait_upstreams(&self, count: usize) {
        until("the upstreams are known", || async {
            let status = self.operator(Method::GET, "/v1/status", "").await;
            let status: serde_json::Value =
                serde_json::from_slice(status.body()).expect("the status is JSON");
            let upstreams = status["upstreams"].as_array().expect("a list");
            upstreams.iter().filter(|upstream| upstream["state"] == "ready").count() == count
        })
        .await;
    }

    /// Announces a new agent to the entry and returns the reply.
    pub async fn announce_to(&self) -> AnnounceReply {
        let incarnation = fastrand::u64(1..);
        let message = agent::announce("agent-x", incarnation, self.internal);
        let peers = Peers::default();
        let reply = peers.call(&self.internal.to_string(), "announce", &message, LIMIT).await;
        reply.expect("the entry answers")
    }

    /// Stops the entry gracefully.
    pub async fn stop(self) {
        self.stop.fire();
        self.task.await.expect("the entry stops without an error");
    }

    /// Starts a graceful stop without waiting for its end.
    pub fn begin_stop(&self) {
        self.stop.fire();
    }
}

/// Starts a stand-in for the store.
pub async fn store() -> store::Store {
    store::Store::start(store::Options::default()).await.expect("the store starts")
}

/// Returns the outcome header of a response, empty if absent.
pub fn outcome(response: &Response<Bytes>) -> &str {
    response.headers().get("peridotfold-outcome").map_or("", |v| v.to_str().unwrap_or("?"))
}
