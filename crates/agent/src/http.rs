//! Health, metrics and status over HTTP.

use std::sync::{Arc, OnceLock};

use http::{header, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use peridotfold_wire::body::Body;
use peridotfold_wire::http_server::HttpService;
use serde_json::json;

use crate::shared::Shared;

/// Renders the process's metrics; `None` when the recorder could not be installed.
static METRICS: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Serves the health, metrics and status pages to operators and the platform.
#[derive(Debug)]
pub struct StatusPages {
    shared: Arc<Shared>,
}

impl StatusPages {
    /// Creates the pages and installs the metrics recorder of the process.
    pub fn new(shared: Arc<Shared>) -> Self {
        recorder();
        StatusPages { shared }
    }

    /// Returns status 200 if the agent has a configuration and is not leaving, else 503.
    fn health(&self) -> Response<Body> {
        match () {
            () if self.shared.leaving.is_set() => {
                text(StatusCode::SERVICE_UNAVAILABLE, "leaving\n".into())
            }
            () if self.shared.view.version() == 0 => {
                text(StatusCode::SERVICE_UNAVAILABLE, "no configuration\n".into())
            }
            () => text(StatusCode::OK, "ok\n".into()),
        }
    }

    /// Updates the load gauges and returns all metrics in Prometheus format.
    fn metrics(&self) -> Response<Body> {
        let load = self.shared.gate.load();
        metrics::gauge!("peridotfold_running").set(load.running);
        metrics::gauge!("peridotfold_streams").set(load.streams);
        metrics::gauge!("peridotfold_queued").set(load.queued);
        metrics::gauge!("peridotfold_latency_seconds").set(load.latency.as_secs_f64());
        metrics::gauge!("peridotfold_config_version").set(self.shared.view.version() as f64);
        text(StatusCode::OK, recorder().map(PrometheusHandle::render).unwrap_or_default())
    }

    /// Returns the state of the agent as JSON.
    fn status(&self) -> Response<Body> {
        let shared = &self.shared;
        let load = shared.gate.load();
        let owner = shared.view.owner();
        let status = json!({
            "agent": shared.settings.id,
            "incarnation": shared.incarnation,
            "service": shared.settings.service,
            "data_centre": shared.settings.data_centre,
            "rack": shared.settings.rack,
            "cell": shared.settings.cell,
            "state": if shared.leaving.is_set() { "leaving" } else { "ready" },
            "config_version": shared.view.version(),
            "slots": load.slots,
            "running": load.running,
            "streams": load.streams,
            "queued": load.queued,
            "latency_ms": load.latency.as_secs_f64() * 1000.0,
            "keys": shared.keys.len(),
            "entries": shared.view.entries().into_iter().map(|e| e.entry).collect::<Vec<_>>(),
            "owner": owner.map(|owner| json!({"entry": owner.entry, "epoch": owner.epoch})),
        });
        json_response(StatusCode::OK, &status)
    }
}

impl HttpService for StatusPages {
    async fn call(&self, request: Request<Incoming>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/healthz") => self.health(),
            (&Method::GET, "/metrics") => self.metrics(),
            (&Method::GET, "/v1/status") => self.status(),
            (_, path) => {
                let error = json!({"error": "no such page", "field": path});
                json_response(StatusCode::NOT_FOUND, &error)
            }
        }
    }
}

/// Returns the handle to the metrics recorder, which the first call installs. `None` if the process
/// already had another recorder.
fn recorder() -> Option<&'static PrometheusHandle> {
    METRICS.get_or_init(|| PrometheusBuilder::new().install_recorder().ok()).as_ref()
}

fn text(status: StatusCode, text: String) -> Response<Body> {
    response(status, "text/plain; charset=utf-8", text)
}

fn json_response(status: StatusCode, value: &serde_json::Value) -> Response<Body> {
    response(status, "application/json", value.to_string())
}

fn response(status: StatusCode, content_type: &'static str, body: String) -> Response<Body> {
    let mut response = Response::new(Body::full(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, header::HeaderValue::from_static(content_type));
    response
}
