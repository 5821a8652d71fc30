//! Logging of scheduling decisions.

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
