//! Explanations of placements: the request of an operator's command, and the owner's answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use peridotfold_core::flow::explain::{ExplainJob, ExplainReply};
use peridotfold_core::flow::message::Greeting;
use peridotfold_core::flow::routes::Routes;
use peridotfold_wire::error::{Step, WireError};
use peridotfold_wire::runtime;

use crate::connection::{self, MessageReader};
use crate::entry::{Entry, Role};
use crate::ports::Store;
use crate::records;

/// Maximum time to wait for an answer, of each process that is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of processes that are asked: an entry, the owner that it names, and the one that has
/// replaced it meanwhile.
const MAX_ASKED: usize = 3;

/// Asks the entry at `address`, and then the owner that it names, where the tasks of a job would go now.
///
/// # Errors
///
/// Fails if a process cannot be reached or does not answer, or if the job cannot be encoded.
pub async fn ask(address: SocketAddr, job: &ExplainJob) -> Result<ExplainReply, WireError> {
    let fail = |error: String| WireError::new(Step::Send, address.to_string(), error);
    let job = records::encode(job).map_err(fail)?;
    let mut reply = ask_one(address, job.clone()).await?;
    for _ in 1..MAX_ASKED {
        match reply {
            ExplainReply::Redirect { owner: Some(owner) } => {
                reply = ask_one(owner, job.clone()).await?;
            }
            _ => break,
        }
    }
    Ok(reply)
}

async fn ask_one(address: SocketAddr, job: Bytes) -> Result<ExplainReply, WireError> {
    let stream = connection::connect(address).await?;
    let peer = address.to_string();
    let greeting = Greeting::Explain { job };
    let greet = connection::send_greeting(&stream, &greeting, address);
    runtime::timeout(ANSWER_TIMEOUT, &peer, greet).await?;
    MessageReader::new(stream, peer).receive_one(ANSWER_TIMEOUT).await
}

/// Answers a request, in the role of this entry; `owner` is the address of the owner.
pub(crate) fn answer<S: Store>(
    entry: &Entry<S>,
    role: Role,
    owner: Option<SocketAddr>,
    job: &[u8],
) -> ExplainReply {
    let Role::Owner(service) = role else { return ExplainReply::Redirect { owner } };
    let job = match records::decode::<ExplainJob>(job) {
        Ok(ExplainJob::New(mut spec)) => {
            let view = entry.view.lock();
            let routes = view.current().map(|stored| stored.routes.clone());
            let queue =
                routes.as_deref().and_then(|routes| Routes::queue(routes, &spec.queue.name));
            match queue {
                Some(queue) => spec.queue = queue.clone(),
                None => return ExplainReply::UnknownQueue(spec.queue.name),
            }
            ExplainJob::New(spec)
        }
        Ok(job) => job,
        Err(error) => {
            tracing::info!(event = "explanation_refused", error);
            return ExplainReply::UnknownJob;
        }
    };
    service.update(|owner, now| owner.explain(now, job))
}
