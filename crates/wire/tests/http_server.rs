//! Shutdown of the HTTP server.

use std::sync::Arc;
use std::time::Duration;

use http::{Method, Request, Response};
use hyper::body::Incoming;
use peridotfold_wire::body::Body;
use peridotfold_wire::error::WireError;
use peridotfold_wire::http_client::HttpClient;
use peridotfold_wire::http_server::{HttpServer, HttpService};
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown;

const ROUNDS: usize = 30;
const CLIENTS: usize = 16;
const LIMIT: Duration = Duration::from_secs(10);

struct Pages;

impl HttpService for Pages {
    async fn call(&self, _: Request<Incoming>) -> Response<Body> {
        Response::new(Body::full("page"))
    }
}

/// Sends requests until the server is gone; returns the first error.
async fn send_all(client: HttpClient, address: std::net::SocketAddr) -> WireError {
    loop {
        if let Err(error) = client.simple(address, Method::GET, "/", "", LIMIT).await {
            return error;
        }
    }
}

/// Guards against a shutdown that closes a connection on which a request has just been sent: its
/// caller could not know whether the request ran.
#[test]
fn a_shutdown_under_load_cuts_no_request() {
    runtime::start_threads(4);
    smol::block_on(async {
        let mut cut = Vec::new();
        for _ in 0..ROUNDS {
            let any = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
            let server = HttpServer::bind(any).await.expect("server");
            let address = server.address();
            let (trigger, stop) = shutdown::channel();
            let serving = runtime::spawn(server.serve(Arc::new(Pages), stop));
            let client = HttpClient::default();
            let clients: Vec<_> =
                (0..CLIENTS).map(|_| runtime::spawn(send_all(client.clone(), address))).collect();
            client.simple(address, Method::GET, "/", "", LIMIT).await.expect("an answer");
            trigger.fire();
            for sender in clients {
                let error = sender.await;
                if !error.is_not_sent() {
                    cut.push(error.to_string());
                }
            }
            serving.await;
        }
        assert!(cut.is_empty(), "{} requests were cut: {:?}", cut.len(), cut.first());
    });
}
