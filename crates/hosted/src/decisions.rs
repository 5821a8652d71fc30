//! Logging of scheduling decisions.

use peridotfold_core::flow::near::NearWaitEnd;
use peridotfold_core::flow::owner::Decision;

/// Logs a decision and counts it by event.
pub(crate) fn log(decision: &Decision) {
    let Decision { event, job, detail } = decision;
    metrics::counter!("decisions", "event" => *event).increment(1);
    match job {
        Some(job) => {
            let id = format!("{job:016x}");
            tracing::info!(event, id, detail);
        }
        None => tracing::info!(event, detail),
    }
}

/// Counts the end of a wait for a near node. Its log line may have been left out.
pub(crate) fn count_near_wait(end: &NearWaitEnd) {
    metrics::counter!("near_waits", "outcome" => end.outcome.name()).increment(1);
    metrics::histogram!("near_wait_seconds").record(end.waited.as_secs_f64());
}
