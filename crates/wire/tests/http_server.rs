//! Graceful shutdown of the HTTP server under load.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
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

/// Number of shutdowns with pooled connections.
const ROUNDS: usize = 30;
/// Number of rounds that run at the same time. In each round the clients wait one second until their last
/// connection is refused.
const CONCURRENT_ROUNDS: usize = 10;
/// Number of shutdowns with a new connection for each request.
const CONNECTING_ROUNDS: usize = 10;
/// Number of concurrent clients in each round.
const CLIENTS: usize = 16;
/// Time limit to establish a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time limit of each request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Service with the same response to all requests.
struct Pages;

impl HttpService for Pages {
    async fn call(&self, _: Request<Incoming>) -> Response<Body> {
        Response::new(Body::full("page"))
    }
}

/// Sends requests until one fails, and returns its error.
async fn send_all(client: HttpClient, address: SocketAddr) -> WireError {
    loop {
        if let Err(error) = client.simple(address, Method::GET, "/", "", REQUEST_TIMEOUT).await {
            return error;
        }
    }
}

/// Shuts down a server under load. Returns the errors of failed requests that the server may have
/// executed.
async fn requests_cut_by_shutdown() -> Vec<String> {
    let any_address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = HttpServer::bind(any_address).await.expect("server");
    let address = server.address();
    let (trigger, stop) = shutdown::channel();
    let serving = runtime::spawn(server.serve(Arc::new(Pages), stop));
    let client = HttpClient::default();
    let clients: Vec<_> =
        (0..CLIENTS).map(|_| runtime::spawn(send_all(client.clone(), address))).collect();
    client.simple(address, Method::GET, "/", "", REQUEST_TIMEOUT).await.expect("an answer");
    trigger.fire();
    let mut truncated = Vec::new();
    for sender in clients {
        let error = sender.await;
        if !error.is_not_sent() {
            truncated.push(error.to_string());
        }
    }
    serving.await;
    truncated
}

/// Guards against a shutdown that closes a connection on which a request has just been sent, or that
/// resets a connection established just before the listener is closed. In both cases the caller could
/// not tell whether the request was executed.
#[test]
fn a_shutdown_under_load_cuts_no_request() {
    runtime::start_threads(4);
    smol::block_on(async {
        let mut truncated = Vec::new();
        for _ in 0..ROUNDS / CONCURRENT_ROUNDS {
            let rounds: Vec<_> = (0..CONCURRENT_ROUNDS)
                .map(|_| runtime::spawn(requests_cut_by_shutdown()))
                .collect();
            for round in rounds {
                truncated.extend(round.await);
            }
        }
        assert!(
            truncated.is_empty(),
            "{} requests were cut: {:?}",
            truncated.len(),
            truncated.first()
        );
    });
}

/// Opens a connection for each request until the server refuses one. Returns the number of
/// established connections that received no response.
fn unanswered(address: SocketAddr) -> usize {
    let mut count = 0;
    while let Ok(mut stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
        let request = b"GET / HTTP/1.1\r\nhost: pages\r\nconnection: close\r\n\r\n";
        let mut answer = Vec::new();
        let whole = stream.write_all(request).and_then(|()| stream.read_to_end(&mut answer));
        if whole.is_err() || answer.is_empty() {
            count += 1;
        }
    }
    count
}

/// Guards against a listener that is closed while the kernel still completes TCP handshakes: the
/// kernel would reset these connections after the callers have sent their requests.
#[test]
fn a_shutdown_answers_each_connection_that_was_opened() {
    runtime::start_threads(4);
    smol::block_on(async {
        for _ in 0..CONNECTING_ROUNDS {
            let any_address = SocketAddr::from(([127, 0, 0, 1], 0));
            let server = HttpServer::bind(any_address).await.expect("server");
            let address = server.address();
            let (trigger, stop) = shutdown::channel();
            let serving = runtime::spawn(server.serve(Arc::new(Pages), stop));
            let callers: Vec<_> =
                (0..CLIENTS).map(|_| std::thread::spawn(move || unanswered(address))).collect();
            HttpClient::default()
                .simple(address, Method::GET, "/", "", REQUEST_TIMEOUT)
                .await
                .expect("an answer");
            trigger.fire();
            serving.await;
            for caller in callers {
                assert_eq!(caller.join().expect("a caller"), 0, "connections without an answer");
            }
        }
    });
}
