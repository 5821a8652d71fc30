//! Runtime, message streams and HTTP for the processes of peridotfold.

mod accept;
pub mod body;
pub mod error;
pub mod frame;
pub mod http_client;
pub mod http_server;
pub mod peer;
pub mod runtime;
pub mod server;
pub mod shutdown;
