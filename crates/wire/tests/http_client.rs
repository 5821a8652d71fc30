//! Reuse of pooled connections by the HTTP client.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Barrier};
use std::thread;
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

/// Number of connections that [`SilentServer`] serves at first and that then go silent.
const SILENT_CONNECTIONS: usize = 3;

/// Server whose first connections stop answering, while new ones are served.
struct SilentServer {
    address: SocketAddr,
    /// Whether the first connections are silent.
    is_silent: Arc<AtomicBool>,
}

impl SilentServer {
    /// Starts the server. It answers the first requests only once all first connections are open.
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("an address");
        let is_silent = Arc::new(AtomicBool::new(false));
        let silence = is_silent.clone();
        let all_open = Arc::new(Barrier::new(SILENT_CONNECTIONS));
        thread::spawn(move || {
            for (index, stream) in listener.incoming().enumerate() {
                let (silence, all_open) = (silence.clone(), all_open.clone());
                let stream = stream.expect("a connection");
                thread::spawn(move || serve(stream, index, &silence, &all_open));
            }
        });
        SilentServer { address, is_silent }
    }
}

/// Answers the requests of the connection with this index until it goes silent.
fn serve(mut stream: TcpStream, index: usize, silence: &AtomicBool, all_open: &Barrier) {
    let is_first = index < SILENT_CONNECTIONS;
    let mut is_new = true;
    let mut buffer = [0; 4_096];
    while stream.read(&mut buffer).is_ok_and(|count| count > 0) {
        match is_first {
            true if silence.load(Ordering::Relaxed) => continue,
            true if is_new => {
                all_open.wait();
            }
            _ => {}
        }
        is_new = false;
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        if stream.write_all(answer).is_err() {
            return;
        }
    }
}

/// Guards against calls that wait for one silent connection of the pool after the other: with three
/// of them, an entry learned of a configuration only after three timeouts of its watch.
#[test]
fn one_timeout_is_enough_to_leave_silent_connections() {
    runtime::start_threads(2);
    smol::block_on(async {
        let server = SilentServer::start();
        let client = HttpClient::default();
        let call = |limit| {
            let (client, address) = (client.clone(), server.address);
            runtime::spawn(async move { client.simple(address, Method::GET, "/", "", limit).await })
        };
        let opening: Vec<_> = (0..SILENT_CONNECTIONS).map(|_| call(REQUEST_TIMEOUT)).collect();
        for answer in opening {
            answer.await.expect("an answer before the silence");
        }
        server.is_silent.store(true, Ordering::Relaxed);
        call(Duration::from_millis(200)).await.expect_err("the connection is silent");
        let answer = call(Duration::from_millis(500)).await;
        assert!(answer.is_ok(), "after the first timeout: {answer:?}");
    });
}
