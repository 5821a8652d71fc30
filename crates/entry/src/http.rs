//! HTTP interface for callers and operators.

use std::sync::Arc;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use metrics_exporter_prometheus::PrometheusHandle;
use peridotfold_store::Store;
use peridotfold_wire::body::Body;
use peridotfold_wire::http_server::HttpService;
use peridotfold_wire::limits::Limiter;

use crate::context::Context;
use crate::proxy::call::PREFIX;
use crate::{jobs, operator, proxy, reply};

/// Routes the HTTP requests of callers and operators to their handlers.
pub struct HttpHandler<S: Store> {
    pub context: Arc<Context<S>>,
    /// Renders the metrics of this process.
    pub metrics: PrometheusHandle,
    /// Limits what callers hold; its gauges are among the metrics.
    pub limiter: Limiter,
}

impl<S: Store> HttpService for HttpHandler<S> {
    async fn call(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path();
        if path.starts_with(PREFIX) {
            return proxy::serve(self.context.clone(), request).await;
        }
        let is_get = request.method() == Method::GET;
        match path {
            "/healthz" if is_get => self.health(),
            "/metrics" if is_get => self.metrics(),
            "/v1/status" => operator::status(&self.context, &request),
            "/v1/config" => operator::config(&self.context, request).await,
            path if path.starts_with("/v1/config/") => {
                operator::version(&self.context, &request).await
            }
            path if path == jobs::PATH || path.starts_with("/v1/jobs/") => {
                jobs::serve(&self.context, request).await
            }
            _ => reply::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl<S: Store> HttpHandler<S> {
    /// Returns the metrics of the process in the Prometheus text format.
    fn metrics(&self) -> Response<Body> {
        let now = peridotfold_wire::runtime::now();
        let upstreams = self.context.upstreams.lock().live_agents(now);
        for (service, live) in upstreams {
            metrics::gauge!("upstreams_live", "service" => service).set(live.len() as f64);
        }
        self.limiter.publish();
        metrics::gauge!("store_silence_seconds").set(self.context.store_silence().as_secs_f64());
        reply::with_content_type(StatusCode::OK, "text/plain; version=0.0.4", self.metrics.render())
    }

    /// Tells the load balancer whether this entry accepts requests.
    fn health(&self) -> Response<Body> {
        match (self.context.is_stopping(), self.context.current()) {
            (true, _) => reply::error(StatusCode::SERVICE_UNAVAILABLE, "shutting down"),
            (false, None) => reply::error(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet"),
            (false, Some(_)) => reply::with_content_type(StatusCode::OK, "text/plain", "ok\n"),
        }
    }
}
