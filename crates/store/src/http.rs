//! HTTP client of the platform's key-value store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Response, StatusCode};
use peridotfold_wire::error::Step;
use peridotfold_wire::http_client::HttpClient;
use serde::Deserialize;

use crate::{PutOutcome, Store, StoreError, Versioned, MAX_VALUE_BYTES};

/// Response header that carries the version of the returned value.
const VERSION_HEADER: &str = "x-version";

/// Client of the key-value store at one address.
#[derive(Debug, Clone)]
pub struct HttpStore {
    client: HttpClient,
    address: SocketAddr,
    /// Time limit of each call. A watch takes its wait time on top.
    timeout: Duration,
}

/// JSON body of a response to a put.
#[derive(Deserialize)]
struct PutResponse {
    /// New version of the value, or the current one after a conflict.
    version: u64,
}

/// One entry of the index that precedes the values in a response to a list request.
#[derive(Deserialize)]
struct ListEntry {
    key: String,
    /// Store version of the value.
    version: u64,
    /// Size of the value, in bytes.
    length: usize,
}

impl HttpStore {
    /// Builds a client whose calls time out after `timeout`. A watch may take its wait time on top.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        HttpStore { client: HttpClient::default(), address, timeout }
    }

    /// Builds an error for a call to this store that failed at `step`.
    fn error(&self, step: Step, detail: impl std::fmt::Display) -> StoreError {
        StoreError::new(step, self.address.to_string(), detail)
    }

    /// Builds an error for a malformed response of this store.
    fn decode_error(&self, detail: impl std::fmt::Display) -> StoreError {
        self.error(Step::Decode, detail)
    }

    /// Returns an error with the status and the first 200 bytes of a response.
    fn status_error(&self, response: &Response<Bytes>) -> StoreError {
        let text = String::from_utf8_lossy(&response.body()[..response.body().len().min(200)]);
        self.error(Step::Receive, format!("status {}: {text}", response.status()))
    }

    /// Sends one request and counts its result in `store_calls_total`.
    async fn call(
        &self,
        kind: &'static str,
        method: Method,
        path: String,
        body: Bytes,
        call_timeout: Duration,
    ) -> Result<Response<Bytes>, StoreError> {
        let result = match is_unescaped(&path) {
            true => self.client.simple(self.address, method, &path, body, call_timeout).await,
            // Such a path would need percent-encoding, which no key of this project requires.
            false => {
                count_call(kind, "invalid");
                return Err(
                    self.error(Step::Connect, format!("unsupported character in the path {path}"))
                );
            }
        };
        let label = match &result {
            Ok(response) if response.status() == StatusCode::CONFLICT => "conflict",
            Ok(response) if response.status().is_server_error() => "refused",
            Ok(_) => "ok",
            Err(error) if error.step == Step::Timeout => "timeout",
            Err(_) => "failed",
        };
        count_call(kind, label);
        Ok(result?)
    }

    /// Returns the body of a response with the version from its header.
    fn parse_versioned(&self, response: Response<Bytes>) -> Result<Versioned, StoreError> {
        let version = response
            .headers()
            .get(VERSION_HEADER)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.parse().ok())
            .ok_or_else(|| self.decode_error("the version header is missing or malformed"))?;
        Ok(Versioned { version, value: response.into_body() })
    }
}

/// Adds one to the counter of store calls.
fn count_call(kind: &'static str, result: &'static str) {
    metrics::counter!("store_calls_total", "kind" => kind, "result" => result).increment(1);
}

/// Tells whether a path has only characters that need no percent-encoding.
fn is_unescaped(path: &str) -> bool {
    path.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"/-_.~:@?=&".contains(&byte))
}

/// Tells whether a key is non-empty and free of the separators of a query string.
fn is_valid_key(key: &str) -> bool {
    !key.is_empty() && !key.contains(['?', '&', '='])
}

impl Store for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        let path = format!("/kv/{key}");
        let response = self.call("get", Method::GET, path, Bytes::new(), self.timeout).await?;
        match response.status() {
            StatusCode::OK => self.parse_versioned(response).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(self.status_error(&response)),
        }
    }

    async fn put(&self, key: &str, expect: u64, value: Bytes) -> Result<PutOutcome, StoreError> {
        match value.len() {
            _ if !is_valid_key(key) => {
                return Err(self.error(Step::Connect, "empty key, or key with `?`, `&` or `=`"))
            }
            length if length > MAX_VALUE_BYTES => {
                return Err(
                    self.error(Step::Connect, format!("value of {length} bytes is too large"))
                )
            }
            _ => {}
        }
        let path = format!("/kv/{key}?expect={expect}");
        let response = self.call("put", Method::PUT, path, value, self.timeout).await?;
        let version = || {
            let body: Result<PutResponse, _> = serde_json::from_slice(response.body());
            body.map(|body| body.version).map_err(|error| self.decode_error(error))
        };
        match response.status() {
            StatusCode::OK => Ok(PutOutcome::Written(version()?)),
            StatusCode::CONFLICT => Ok(PutOutcome::Conflict(version()?)),
            _ => Err(self.status_error(&response)),
        }
    }

    async fn delete(&self, key: &str) -> Result<(), StoreError> {
        let path = format!("/kv/{key}");
        let response =
            self.call("delete", Method::DELETE, path, Bytes::new(), self.timeout).await?;
        match response.status() {
            // Parsing the body detects a truncated response, which must not count as success.
            StatusCode::OK => serde_json::from_slice::<serde_json::Value>(response.body())
                .map(|_| ())
                .map_err(|error| self.decode_error(error)),
            _ => Err(self.status_error(&response)),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<(String, Versioned)>, StoreError> {
        let path = format!("/list/{prefix}");
        let response = self.call("list", Method::GET, path, Bytes::new(), self.timeout).await?;
        if response.status() != StatusCode::OK {
            return Err(self.status_error(&response));
        }
        let mut values = response.into_body();
        let line = values.iter().position(|byte| *byte == b'\n');
        let line = line.ok_or_else(|| self.decode_error("the list has no index line"))?;
        let index = values.split_to(line + 1);
        let index: Vec<ListEntry> =
            serde_json::from_slice(&index).map_err(|error| self.decode_error(error))?;
        let mut found = Vec::with_capacity(index.len());
        for ListEntry { key, version, length } in index {
            if values.len() < length {
                return Err(self.decode_error("a value in the list is truncated"));
            }
            found.push((key, Versioned { version, value: values.split_to(length) }));
        }
        Ok(found)
    }

    async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        let path = format!("/watch/{key}?after={after}&wait_ms={}", wait.as_millis());
        let call_timeout = self.timeout + wait;
        let response = self.call("watch", Method::GET, path, Bytes::new(), call_timeout).await?;
        match response.status() {
            StatusCode::OK => self.parse_versioned(response).map(Some),
            StatusCode::NO_CONTENT => Ok(None),
            _ => Err(self.status_error(&response)),
        }
    }
}
