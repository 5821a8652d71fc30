//! Reuse of pooled connections by the HTTP client.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use peridotfold_wire::body::{Body, BodySender};
use peridotfold_wire::http_client::HttpClient;
use peridotfold_wire::http_server::{HttpServer, HttpService};
use peridotfold_wire::{runtime, shutdown};

/// Time limit of each request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Responds with the path of the request. The body of `/slow` stays open until the test ends it.
#[derive(Default)]
struct Pages {
    /// Sender of the open body of `/slow`.
    slow: Mutex<Option<BodySender>>,
}

impl HttpService for Pages {
    async fn call(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if path != "/slow" {
            return Response::new(Body::full(path));
        }
        let (mut sender, body) = Body::parts();
        let sent = sender.send(Bytes::from("/sl")).await;
        sent.expect("the body takes a part");
        *self.slow.lock() = Some(sender);
        Response::new(body)
    }
}

/// Guards against reuse of a connection whose previous response body is still arriving: the second
/// caller would wait for that body, or receive a part of it.
#[test]
fn connection_is_used_again_only_after_its_body_was_read() {
    runtime::start_threads(2);
    smol::block_on(async {
        let any_address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = HttpServer::bind(any_address).await.expect("server");
        let address = server.address();
        let (_trigger, stop) = shutdown::channel();
        let pages = Arc::new(Pages::default());
        runtime::spawn(server.serve(pages.clone(), stop)).detach();
        let client = HttpClient::default();
        let request = Request::get("/slow").body(Body::empty()).expect("a request");
        let slow = client.send(address, request).await.expect("a head");
        for path in ["/a", "/b"] {
            let answer = client.simple(address, Method::GET, path, "", REQUEST_TIMEOUT).await;
            assert_eq!(answer.expect("an answer").body(), path);
        }
        let mut sender = pages.slow.lock().take().expect("the slow body");
        sender.send(Bytes::from("ow")).await.expect("the body takes a part");
        sender.finish();
        let body = slow.into_body().collect().await.expect("a whole body").to_bytes();
        assert_eq!(body, "/slow");
    });
}
