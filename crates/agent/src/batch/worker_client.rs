//! HTTP client of the platform's worker API, through which the agent controls the tasks on its VM.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Response, StatusCode};
use peridotfold_core::message::report::AttemptId;
use peridotfold_core::tasks::worker::{
    task_path_id, Checkpoint, CheckpointTask, ClaimReply, ClaimRequest, RenewTasks, StopTask,
    ThrottleTask, WorkerList,
};
use peridotfold_core::tasks::{Action, ActionResult};
use peridotfold_wire::error::{Step, WireError};
use peridotfold_wire::http_client::HttpClient;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Timeout of a request. The worker is on the same VM, so a longer delay means that it is suspended
/// or has stopped.
const WORKER_TIMEOUT: Duration = Duration::from_secs(1);

/// Client of the worker API at one address.
#[derive(Debug, Clone)]
pub struct WorkerClient {
    address: SocketAddr,
    http: HttpClient,
}

impl WorkerClient {
    /// Creates a client that connects on first use.
    pub fn new(address: SocketAddr) -> Self {
        WorkerClient { address, http: HttpClient::default() }
    }

    /// Returns the address of the worker API.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lists the worker's running and ended tasks.
    ///
    /// # Errors
    ///
    /// Fails when the worker does not answer in time or its response is invalid.
    pub async fn list(&self) -> Result<WorkerList, WireError> {
        let response = self.send(Method::GET, "/v1/tasks", Bytes::new()).await?;
        self.read(&response)
    }

    /// Claims the exclusive right to start tasks, which revokes earlier claims, or keeps the claim
    /// named in `request`. Returns `None` if that claim was revoked.
    ///
    /// # Errors
    ///
    /// Fails when the worker does not answer in time or its response is invalid.
    pub async fn claim(&self, request: &ClaimRequest) -> Result<Option<ClaimReply>, WireError> {
        let response = self.post("/v1/claim", request).await?;
        match response.status() {
            StatusCode::CONFLICT => Ok(None),
            _ => self.read(&response).map(Some),
        }
    }

    /// Decodes the body of a response with status 200.
    fn read<T: DeserializeOwned>(&self, response: &Response<Bytes>) -> Result<T, WireError> {
        match response.status() {
            StatusCode::OK => self.decode(response.body()),
            status => Err(self.error(Step::Receive, format!("status {status}"))),
        }
    }

    /// Performs an action. Returns its result, the checkpoint if one was taken, and the error to
    /// log if the action failed.
    pub async fn perform(
        &self,
        action: &Action,
    ) -> (ActionResult, Option<Checkpoint>, Option<WireError>) {
        match self.send_action(action).await {
            Ok(response) if response.status().is_success() => {
                let takes_checkpoint = matches!(action, Action::Checkpoint(_));
                let checkpoint = takes_checkpoint.then(|| self.decode(response.body()));
                match checkpoint.transpose() {
                    Ok(checkpoint) => (ActionResult::Done, checkpoint, None),
                    Err(error) => (ActionResult::Unknown, None, Some(error)),
                }
            }
            Ok(response) => {
                let detail = String::from_utf8_lossy(response.body()).into_owned();
                let status = response.status();
                let error = self.error(Step::Receive, format!("status {status}: {detail}"));
                match status.is_client_error() {
                    true => (ActionResult::Refused(detail), None, Some(error)),
                    false => (ActionResult::Unknown, None, Some(error)),
                }
            }
            Err(error) if error.is_not_sent() => (ActionResult::NotSent, None, Some(error)),
            Err(error) => (ActionResult::Unknown, None, Some(error)),
        }
    }

    /// Sends the request of an action.
    async fn send_action(&self, action: &Action) -> Result<Response<Bytes>, WireError> {
        let path = |id: &AttemptId, verb: &str| format!("/v1/tasks/{}{verb}", task_path_id(id));
        match action {
            Action::Start(start) => self.post("/v1/tasks", start).await,
            Action::Renew { instance, leases, .. } => {
                let renew = RenewTasks { instance: *instance, leases: leases.clone() };
                self.post("/v1/renew", &renew).await
            }
            Action::Checkpoint(id) => {
                self.post(&path(id, "/checkpoint"), &CheckpointTask { stop: true }).await
            }
            Action::Stop(id) => {
                self.post(&path(id, "/stop"), &StopTask { attempt: id.clone() }).await
            }
            Action::Throttle(id, speed_percent) => {
                let throttle = ThrottleTask { speed_percent: *speed_percent };
                self.post(&path(id, "/throttle"), &throttle).await
            }
            Action::Remove(id) => self.send(Method::DELETE, &path(id, ""), Bytes::new()).await,
        }
    }

    /// Sends a POST request with a JSON body.
    async fn post<T: Serialize>(&self, path: &str, body: &T) -> Result<Response<Bytes>, WireError> {
        let body = serde_json::to_vec(body)
            .map_err(|error| self.error(Step::Connect, error.to_string()))?;
        self.send(Method::POST, path, body.into()).await
    }

    /// Sends a request and waits for the whole response.
    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Bytes>, WireError> {
        self.http.simple(self.address, method, path, body, WORKER_TIMEOUT).await
    }

    fn decode<T: DeserializeOwned>(&self, body: &Bytes) -> Result<T, WireError> {
        serde_json::from_slice(body).map_err(|error| self.error(Step::Decode, error.to_string()))
    }

    /// Returns an error that names the worker's address.
    fn error(&self, step: Step, detail: String) -> WireError {
        WireError::new(step, self.address.to_string(), detail)
    }
}
