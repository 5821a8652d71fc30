//! HTTP calls of the operators' commands to an entry.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::{eyre, WrapErr};
use http::{Method, Request, StatusCode};
use peridotfold_wire::body::Body;
use peridotfold_wire::http_client::HttpClient;
use peridotfold_wire::runtime;
use serde_json::Value;

use super::CommandError;
use crate::options::{Opt, Values};

const CALL_TIMEOUT: Duration = Duration::from_secs(15);

pub const OPTIONS: &[Opt] = &[
    Opt {
        flag: "entry",
        value: "IP:PORT",
        help: "HTTP address of an entry or of the load balancer",
        default: Some("127.0.0.1:8080"),
    },
    Opt {
        flag: "token",
        value: "TOKEN",
        help: "Bearer token; prefer the variable, since flags show in process lists",
        default: Some(""),
    },
];

/// Client of one entry.
#[derive(Debug)]
pub struct Client {
    entry: SocketAddr,
    token: String,
    http: HttpClient,
}

impl Client {
    /// Reads the client's options.
    pub fn new(values: &mut Values) -> Self {
        let entry = values.address("entry");
        let token = values.optional("token");
        Client { entry, token, http: HttpClient::default() }
    }

    /// Sends a request and prints the JSON answer.
    ///
    /// # Errors
    ///
    /// Fails when the entry cannot be reached or refuses; the message carries the entry's reason.
    pub fn print(&self, method: Method, path: &str, body: Bytes) -> Result<(), CommandError> {
        let answer = self.call(method, path, body)?;
        println!("{answer:#}");
        Ok(())
    }

    fn call(&self, method: Method, path: &str, body: Bytes) -> eyre::Result<Value> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, self.entry.to_string())
            .header(http::header::AUTHORIZATION, format!("Bearer {}", self.token))
            .body(Body::full(body))
            .wrap_err("build request")?;
        let response = runtime::run(1, self.http.exchange(self.entry, request, CALL_TIMEOUT))
            .wrap_err_with(|| format!("call entry {}", self.entry))?;
        let value: Value = serde_json::from_slice(response.body())
            .wrap_err_with(|| format!("decode the answer of entry {}", self.entry))?;
        match response.status() {
            status if status.is_success() => Ok(value),
            status => Err(refusal(self.entry, status, &value)),
        }
    }
}

fn refusal(entry: SocketAddr, status: StatusCode, value: &Value) -> eyre::Report {
    eyre!("entry {entry} answered {status}: {value:#}")
}
