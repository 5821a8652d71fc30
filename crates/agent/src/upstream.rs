//! Client of the upstream: the HTTP server on the same VM to which the agent forwards requests.

use std::net::SocketAddr;

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Request, Response};
use peridotfold_core::message::request::{RequestHead, TraceContext};
use peridotfold_wire::body::Body;
use peridotfold_wire::error::{Step, WireError};
use peridotfold_wire::http_client::{HttpClient, PooledBody};

const TRACEPARENT: &str = "traceparent";
/// Headers that are not forwarded: hop-by-hop headers (RFC 9110, section 7.6.1), and `Host`, which
/// is set to the upstream's address.
const STRIPPED_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Client of the upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    client: HttpClient,
    address: SocketAddr,
}

impl Upstream {
    /// Creates a client of the upstream at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Upstream { client: HttpClient::default(), address }
    }

    /// Sends a request and returns the response once its head has arrived; the body is still being
    /// received.
    ///
    /// # Errors
    ///
    /// A [`Step::Connect`] error means that nothing was sent. After any other error the request may
    /// have run.
    pub async fn call(
        &self,
        head: &RequestHead,
        trace: TraceContext,
        body: Body,
    ) -> Result<Response<PooledBody>, WireError> {
        let request = self
            .request(head, trace, body)
            .map_err(|error| WireError::new(Step::Connect, self.address.to_string(), error))?;
        self.client.send(self.address, request).await
    }

    /// Builds the HTTP request to the upstream.
    fn request(
        &self,
        head: &RequestHead,
        trace: TraceContext,
        body: Body,
    ) -> Result<Request<Body>, http::Error> {
        let mut request =
            Request::builder().method(head.method.as_str()).uri(head.path.as_str()).body(body)?;
        let headers = request.headers_mut();
        for (name, value) in &head.headers {
            headers.append(HeaderName::from_bytes(name)?, HeaderValue::from_bytes(value)?);
        }
        remove_connection_headers(headers);
        headers.insert(header::HOST, HeaderValue::from_str(&self.address.to_string())?);
        headers.insert(TRACEPARENT, HeaderValue::from_str(&traceparent(trace))?);
        Ok(request)
    }
}

/// Returns the headers of a response without the hop-by-hop headers.
pub fn forwarded_headers(mut headers: HeaderMap) -> Vec<(Bytes, Bytes)> {
    remove_connection_headers(&mut headers);
    let copy = |(name, value): (&HeaderName, &HeaderValue)| {
        (Bytes::from(name.as_str().to_owned()), Bytes::copy_from_slice(value.as_bytes()))
    };
    headers.iter().map(copy).collect()
}

/// Removes the hop-by-hop headers, including those listed in `Connection`, and `Host`.
fn remove_connection_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&STRIPPED_HEADERS) {
        headers.remove(name);
    }
}

/// Formats the W3C `traceparent` header value.
fn traceparent(trace: TraceContext) -> String {
    format!("00-{:032x}-{:016x}-01", trace.trace, trace.span)
}
