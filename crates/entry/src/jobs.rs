//! Job operations of callers, forwarded to the owner of the job's cell.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use peridotfold_core::config::Document;
use peridotfold_core::hash;
use peridotfold_core::id::CellId;
use peridotfold_core::message::announce::CellOwner;
use peridotfold_core::message::entry::{Forward, ForwardReply};
use peridotfold_store::Store;
use peridotfold_wire::body::Body;
use peridotfold_wire::runtime;
use serde::Deserialize;
use serde_json::{json, Value};

use crate::auth::{self, Identity};
use crate::cells::CellError;
use crate::context::Context;
use crate::operator::{parameter, read_body};
use crate::reply::{self, ErrorBody};

/// HTTP path of the operations on jobs: submit, list, show and cancel.
pub const PATH: &str = "/v1/jobs";
/// Timeout of an operation on jobs that is forwarded to another entry.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(5);

/// The fields of a job submission that select the cell.
#[derive(Deserialize)]
struct Submission {
    id: String,
    cell: Option<CellId>,
}

/// Reason why a job operation got no reply from the cell's owner.
enum Failure {
    /// The operation was certainly not performed.
    NoOwner { error: String, peer: Option<String> },
    /// The owner may have performed the operation.
    Unknown { error: String, peer: String },
}

/// Answers `/v1/jobs` and `/v1/jobs/<id>`.
pub async fn serve<S: Store>(
    context: &Arc<Context<S>>,
    request: Request<Incoming>,
) -> Response<Body> {
    let document = context.document();
    let digest = &context.settings.operator_digest;
    let (team, operator) = match auth::identify(request.headers(), &document, digest) {
        Identity::Team(team) => (Some(team), false),
        Identity::Operator => (None, true),
        Identity::Anonymous | Identity::Rejected => {
            return reply::error(StatusCode::UNAUTHORIZED, "no valid credential");
        }
    };
    let (parts, incoming) = request.into_parts();
    let whole = match read_body(&parts.extensions, incoming).await {
        Ok(whole) => whole,
        Err(response) => return *response,
    };
    let body = whole.bytes();
    let path = parts.uri.path().to_owned();
    let job = path.strip_prefix("/v1/jobs/").unwrap_or_default();
    let chosen = parameter(parts.uri.query(), "cell").map(str::to_owned);
    let forward = |cell: CellId| Forward {
        cell,
        method: parts.method.to_string(),
        path: path.clone(),
        team: team.clone(),
        operator,
        body: body.clone(),
    };
    match (&parts.method, job.is_empty()) {
        (&Method::POST, true) => match submission_cell(&document, body) {
            Ok(cell) => respond(perform(context, forward(cell)).await),
            Err(response) => *response,
        },
        (&Method::GET, true) => {
            let cells = chosen.map_or_else(|| all_cells(&document), |cell| vec![cell]);
            list_jobs(context, cells.into_iter().map(forward).collect()).await
        }
        (&Method::GET | &Method::DELETE, false) => {
            let cells = chosen.map_or_else(|| ranked_cells(&document, job), |cell| vec![cell]);
            find_job(context, cells.into_iter().map(forward)).await
        }
        _ => reply::error(StatusCode::METHOD_NOT_ALLOWED, "only POST, GET and DELETE"),
    }
}

/// Returns all configured cells.
fn all_cells(document: &Document) -> Vec<CellId> {
    document.cells.keys().cloned().collect()
}

/// Returns all cells, the preferred one for the job ID first. A job submitted without a cell goes
/// to the first.
fn ranked_cells(document: &Document, job: &str) -> Vec<CellId> {
    let mut cells = all_cells(document);
    let weight = |cell: &CellId| hash::rendezvous(job.as_bytes(), cell.as_bytes());
    cells.sort_by_key(|cell| std::cmp::Reverse(weight(cell)));
    cells
}

/// Returns the cell of a submission, or the response that rejects it.
fn submission_cell(document: &Document, body: &Bytes) -> Result<CellId, Box<Response<Body>>> {
    let refuse = |status, error: String, field: Option<&str>| {
        let field = field.map(str::to_owned);
        Err(Box::new(reply::json(status, &ErrorBody { error, field, ..ErrorBody::default() })))
    };
    let submission: Submission = match serde_json::from_slice(body) {
        Ok(submission) => submission,
        Err(error) => {
            return refuse(StatusCode::UNPROCESSABLE_ENTITY, error.to_string(), None);
        }
    };
    match submission.cell {
        Some(cell) if document.cells.contains_key(&cell) => Ok(cell),
        Some(cell) => {
            let error = format!("no cell {cell} is configured");
            refuse(StatusCode::UNPROCESSABLE_ENTITY, error, Some("cell"))
        }
        None => match ranked_cells(document, &submission.id).into_iter().next() {
            Some(cell) => Ok(cell),
            None => refuse(StatusCode::SERVICE_UNAVAILABLE, "no cell is configured".into(), None),
        },
    }
}

/// Tries the operation in one cell after the other until one knows the job.
async fn find_job<S: Store>(
    context: &Arc<Context<S>>,
    forwards: impl Iterator<Item = Forward>,
) -> Response<Body> {
    let mut failed = None;
    for forward in forwards {
        match perform(context, forward).await {
            Ok(reply) if reply.status == StatusCode::NOT_FOUND.as_u16() => {}
            Ok(reply) => return respond(Ok(reply)),
            Err(failure) => failed = Some(failure),
        }
    }
    match failed {
        // The job may be in a cell that did not reply.
        Some(failure) => respond(Err(failure)),
        None => reply::error(StatusCode::NOT_FOUND, "no such job"),
    }
}

/// Requests the job lists of the cells concurrently and joins them.
async fn list_jobs<S: Store>(context: &Arc<Context<S>>, forwards: Vec<Forward>) -> Response<Body> {
    let tasks: Vec<_> = forwards
        .into_iter()
        .map(|forward| {
            let context = context.clone();
            runtime::spawn(async move {
                let cell = forward.cell.clone();
                (cell, perform(&context, forward).await)
            })
        })
        .collect();
    let (mut jobs, mut missing) = (Vec::new(), Vec::new());
    for task in tasks {
        let (cell, result) = task.await;
        match result.ok().and_then(|reply| parse_job_list(&reply)) {
            Some(part) => jobs.extend(part),
            None => missing.push(cell),
        }
    }
    reply::json(StatusCode::OK, &json!({"jobs": jobs, "missing_cells": missing}))
}

/// Returns the jobs of a cell's reply, or `None` if it is an error.
fn parse_job_list(reply: &ForwardReply) -> Option<Vec<Value>> {
    if reply.status != StatusCode::OK.as_u16() {
        return None;
    }
    match serde_json::from_slice(&reply.body).ok()? {
        Value::Array(jobs) => Some(jobs),
        Value::Object(mut object) => match object.remove("jobs")? {
            Value::Array(jobs) => Some(jobs),
            _ => None,
        },
        _ => None,
    }
}

/// Submits, lists, shows or cancels jobs of a cell, as `forward` requests: here if this entry owns
/// the cell, else at its owner.
async fn perform<S: Store>(
    context: &Arc<Context<S>>,
    forward: Forward,
) -> Result<ForwardReply, Failure> {
    let owner = context.cells.owner(&forward.cell);
    match owner {
        Some(owner) if owner.entry != context.settings.id => {
            forward_to(context, &owner, &forward).await
        }
        _ => match context.cells.forward(forward.clone()).await {
            Ok(reply) => Ok(reply),
            Err(CellError::NotOwner(Some(owner))) if owner.entry != context.settings.id => {
                forward_to(context, &owner, &forward).await
            }
            Err(CellError::NotOwner(_)) => {
                let error = format!("no owner of cell {} is known", forward.cell);
                Err(Failure::NoOwner { error, peer: None })
            }
        },
    }
}

/// Forwards a job operation to the entry that owns the cell.
async fn forward_to<S: Store>(
    context: &Arc<Context<S>>,
    owner: &CellOwner,
    forward: &Forward,
) -> Result<ForwardReply, Failure> {
    let result = context.peers.call(&owner.address, "forward", forward, FORWARD_TIMEOUT).await;
    result.map_err(|error| {
        tracing::info!(event = "forward_failed", cell = forward.cell, %error);
        let peer = error.peer.clone();
        match error.is_not_sent() {
            true => Failure::NoOwner { error: error.to_string(), peer: Some(peer) },
            false => Failure::Unknown { error: error.to_string(), peer },
        }
    })
}

/// Converts the result of a job operation to an HTTP response.
fn respond(result: Result<ForwardReply, Failure>) -> Response<Body> {
    match result {
        Ok(reply) => {
            let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
            reply::with_content_type(status, "application/json", reply.body)
        }
        Err(Failure::NoOwner { error, peer }) => {
            let text = ErrorBody { error, step: Some("forward".into()), peer, field: None };
            reply::json(StatusCode::SERVICE_UNAVAILABLE, &text)
        }
        Err(Failure::Unknown { error, peer }) => {
            let step = Some("forward".into());
            let text = ErrorBody { error, step, peer: Some(peer), field: None };
            reply::unknown(StatusCode::GATEWAY_TIMEOUT, text)
        }
    }
}
