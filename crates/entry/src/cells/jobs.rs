//! Job operations of callers on an owned cell, with JSON bodies.

use std::time::Duration;

use async_channel::Receiver;
use bytes::Bytes;
use futures_lite::future;
use peridotfold_core::cell::{CancelReply, JobSpec, SubmitReply};
use peridotfold_core::id::TeamId;
use peridotfold_core::message::entry::{Forward, ForwardReply};
use peridotfold_core::resources::Resources;
use peridotfold_store::Store;
use peridotfold_wire::runtime;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::cells::owned::OwnedCell;

/// Longest wait until a submission or cancellation is committed to the store. Below the 5 s
/// that the forwarding entry waits.
const COMMIT_WAIT: Duration = Duration::from_secs(4);

/// Body of a job submission.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Submission {
    id: String,
    class: String,
    tasks: u32,
    need: Resources,
    #[serde(default)]
    command: Value,
    #[serde(default)]
    #[allow(dead_code)] // Read by the entry that chose the cell.
    cell: Option<String>,
    /// Team that the job is for. Read only from operators; a team submits its own jobs.
    #[serde(default)]
    team: Option<TeamId>,
}

/// Submits, lists, shows or cancels jobs of an owned cell. `store_down` tells that this entry has
/// lost contact with the store.
pub(super) async fn perform<S: Store>(
    owned: &OwnedCell<S>,
    forward: &Forward,
    store_down: bool,
) -> ForwardReply {
    let team = match (forward.operator, &forward.team) {
        (true, _) => None,
        (false, Some(team)) => Some(team.as_str()),
        (false, None) => return error(401, "a team's or operator's credential is needed"),
    };
    let job = forward.path.strip_prefix("/v1/jobs").unwrap_or_default().trim_start_matches('/');
    match (forward.method.as_str(), job) {
        ("POST", "") => submit(owned, forward, store_down).await,
        ("GET", "") => {
            let jobs = owned.with_state(|state| state.cell.list(&owned.id, team));
            reply(200, &json!({ "jobs": jobs }))
        }
        ("GET", id) => show(owned, team, id, 200),
        ("DELETE", id) if !id.is_empty() => cancel(owned, team, id, store_down).await,
        _ => error(405, "only POST, GET and DELETE"),
    }
}

/// Submits a job and waits until it is committed to the store. `store_down` tells that this entry
/// has lost contact with the store.
async fn submit<S: Store>(
    owned: &OwnedCell<S>,
    forward: &Forward,
    store_down: bool,
) -> ForwardReply {
    let submission: Submission = match serde_json::from_slice(&forward.body) {
        Ok(submission) => submission,
        Err(problem) => return error(422, &problem.to_string()),
    };
    let team = match forward.operator {
        true => submission.team.or_else(|| forward.team.clone()),
        false => forward.team.clone(),
    };
    let Some(team) = team else {
        return reply(422, &json!({"error": "an operator must name the team", "field": "team"}));
    };
    if store_down {
        return unavailable("the store is down; the job was not accepted");
    }
    let spec = JobSpec {
        id: submission.id,
        team,
        class: submission.class,
        tasks: submission.tasks,
        need: submission.need,
        command: command(submission.command),
    };
    let id = spec.id.clone();
    let (answer, durable) = owned.with_state(|state| {
        let (ticket, durable) = state.issue_ticket();
        let answer = state.cell.submit(spec, ticket);
        if !matches!(answer, SubmitReply::Created | SubmitReply::Existing) {
            state.tickets.remove(&ticket);
        }
        (answer, durable)
    });
    let status = match answer {
        SubmitReply::Created => 201,
        SubmitReply::Existing => 200,
        SubmitReply::Conflict => return error(409, &format!("another job has the id {id}")),
        SubmitReply::Full => return unavailable("the cell has no room for more jobs"),
        SubmitReply::Invalid(problems) => return invalid(&problems),
    };
    match wait_committed(durable).await {
        true => show(owned, None, &id, status),
        false => unavailable("not committed in time; submit the same job again to find out"),
    }
}

/// Requests the cancellation of a job and waits for the commit.
async fn cancel<S: Store>(
    owned: &OwnedCell<S>,
    team: Option<&str>,
    id: &str,
    store_down: bool,
) -> ForwardReply {
    if store_down {
        return unavailable("the store is down; the job was not cancelled");
    }
    let (answer, durable) = owned.with_state(|state| {
        let (ticket, durable) = state.issue_ticket();
        let answer = state.cell.cancel(team, id, ticket);
        if answer != CancelReply::Accepted {
            state.tickets.remove(&ticket);
        }
        (answer, durable)
    });
    match answer {
        CancelReply::NotFound => error(404, "no such job"),
        CancelReply::Ended => error(409, &format!("job {id} has ended")),
        CancelReply::Accepted if wait_committed(durable).await => show(owned, team, id, 200),
        CancelReply::Accepted => unavailable("not committed in time; cancel again to find out"),
    }
}

/// Returns a job as a reply with `status`, or 404 if the team has no such job.
fn show<S: Store>(owned: &OwnedCell<S>, team: Option<&str>, id: &str, status: u16) -> ForwardReply {
    match owned.with_state(|state| state.cell.show(&owned.id, team, id)) {
        Some(view) => reply(status, &view),
        None => error(404, "no such job"),
    }
}

/// Waits until `durable` signals a commit to the store. Tells whether the signal arrived within
/// [`COMMIT_WAIT`].
async fn wait_committed(durable: Receiver<()>) -> bool {
    let committed = async { durable.recv().await.is_ok() };
    let timed_out = async {
        runtime::sleep(COMMIT_WAIT).await;
        false
    };
    future::or(committed, timed_out).await
}

/// Encodes a command for the worker: text unchanged, any other value as JSON.
fn command(value: Value) -> Bytes {
    match value {
        Value::Null => Bytes::new(),
        Value::String(text) => text.into(),
        value => value.to_string().into(),
    }
}

/// Returns the reply to a job with invalid fields.
fn invalid(problems: &[(&'static str, String)]) -> ForwardReply {
    let texts = problems.iter().map(|(field, detail)| format!("{field} {detail}"));
    let error = texts.collect::<Vec<_>>().join("; ");
    let field = problems.first().map(|(field, _)| *field);
    reply(422, &json!({"error": error, "field": field}))
}

/// Returns the reply to an operation that was not committed.
fn unavailable(text: &str) -> ForwardReply {
    reply(503, &json!({"error": text, "step": "commit"}))
}

fn error(status: u16, text: &str) -> ForwardReply {
    reply(status, &json!({ "error": text }))
}

fn reply(status: u16, body: &impl Serialize) -> ForwardReply {
    // Encoding of job views and JSON values cannot fail.
    ForwardReply { status, body: serde_json::to_vec(body).unwrap_or_default().into() }
}
