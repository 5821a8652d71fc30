//! Async runtime and networking of the peridotfold processes: streams of messages over HTTP/2, and an
//! HTTP/1.1 client and server.

mod accept;
pub mod body;
pub mod error;
pub mod frame;
pub mod http_client;
pub mod http_server;
pub mod limits;
mod metered;
pub mod peer;
pub mod request_body;
pub mod runtime;
pub mod server;
pub mod shutdown;
