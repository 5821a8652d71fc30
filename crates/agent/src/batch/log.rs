//! Log lines and metrics of batch tasks.

use peridotfold_core::colocation::{Colocation, Decision};
use peridotfold_core::message::report::AttemptId;
use peridotfold_core::tasks::{Action, Tasks};
use peridotfold_wire::error::WireError;

/// Logs and counts the task events since the last call.
pub fn transitions(tasks: &mut Tasks) {
    for event in tasks.take_events() {
        metrics::counter!("peridotfold_batch_events_total", "event" => event.name).increment(1);
        match &event.attempt {
            Some(AttemptId { job, task, token }) => tracing::info!(
                event = event.name,
                job,
                task,
                epoch = token.epoch,
                number = token.number,
                detail = event.detail
            ),
            None => tracing::info!(event = event.name, detail = event.detail),
        }
    }
}

/// Updates the gauges of batch tasks and of the colocation controller.
pub fn gauges(tasks: &Tasks, colocation: &Colocation) {
    let ledger = tasks.ledger();
    let (reserved, free) = (ledger.reserved(), ledger.free());
    metrics::gauge!("peridotfold_batch_attempts").set(tasks.attempt_count() as f64);
    metrics::gauge!("peridotfold_batch_results_pending").set(tasks.result_count() as f64);
    metrics::gauge!("peridotfold_batch_reserved_cpu_milli").set(reserved.cpu_milli as f64);
    metrics::gauge!("peridotfold_batch_reserved_memory_mib").set(reserved.memory_mib as f64);
    metrics::gauge!("peridotfold_batch_free_cpu_milli").set(free.cpu_milli as f64);
    metrics::gauge!("peridotfold_batch_free_memory_mib").set(free.memory_mib as f64);
    metrics::gauge!("peridotfold_colocation_pressure_percent")
        .set(f64::from(colocation.pressure_percent()));
}

/// Logs and counts a decision of the colocation controller.
pub fn decision(decision: &Decision, colocation: &Colocation) {
    let (name, class, speed) = match decision {
        Decision::Throttle { class, speed_percent } => ("class_throttled", class, *speed_percent),
        Decision::Restore { class, speed_percent } => ("class_restored", class, *speed_percent),
        Decision::Evict { class } => ("class_evicted", class, 0),
    };
    metrics::counter!("peridotfold_colocation_decisions_total", "decision" => name).increment(1);
    let pressure_percent = colocation.pressure_percent();
    let score = colocation.score(class);
    tracing::info!(event = name, class, speed_percent = speed, pressure_percent, score);
}

/// Logs and counts a failed action on the worker. The action is retried while it is due.
pub fn action_failed(action: &Action, error: &WireError) {
    let name = match action {
        Action::Start(_) => "start",
        Action::Renew { .. } => "renew",
        Action::Checkpoint(_) => "checkpoint",
        Action::Stop(_) => "stop",
        Action::Throttle(..) => "throttle",
        Action::Remove(_) => "remove",
    };
    metrics::counter!("peridotfold_worker_errors_total", "action" => name).increment(1);
    tracing::warn!(
        event = "worker_action_failed",
        action = name,
        step = %error.step,
        peer = error.peer,
        detail = error.detail
    );
}

/// Records that the worker answers, and logs it if the worker did not answer before.
pub fn worker_reachable(reachable: &mut bool) {
    if !std::mem::replace(reachable, true) {
        tracing::info!(event = "worker_reachable");
    }
}

/// Counts a failed listing, and logs it if the worker answered before.
pub fn worker_failed(reachable: &mut bool, error: &WireError) {
    metrics::counter!("peridotfold_worker_errors_total", "action" => "list").increment(1);
    if std::mem::replace(reachable, false) {
        tracing::warn!(
            event = "worker_unreachable",
            step = %error.step,
            peer = error.peer,
            detail = error.detail
        );
    }
}

/// Records that the owner answers, and logs it if the owner did not answer before.
pub fn owner_reachable(reachable: &mut bool) {
    if !std::mem::replace(reachable, true) {
        tracing::info!(event = "cell_owner_reachable");
    }
}

/// Counts a failed report, and logs it if the owner answered before.
pub fn report_failed(reachable: &mut bool, error: &WireError) {
    metrics::counter!("peridotfold_report_errors_total").increment(1);
    if std::mem::replace(reachable, false) {
        tracing::warn!(
            event = "report_failed",
            step = %error.step,
            peer = error.peer,
            detail = error.detail
        );
    }
}
