//! The runs that a worker loses when its process exits.

use std::fmt::Write;
use std::time::Duration;

use super::worker::Worker;
use super::AgentState;
use crate::flow::message::LostRun;

impl AgentState {
    /// Returns the runs that are lost with a worker, youngest first. Runs that an earlier agent ordered
    /// are left out: their age is not known.
    pub(super) fn lost_runs(&self, worker: &Worker) -> Vec<LostRun> {
        let exited_at = worker.exited_at();
        let row = |(task, run): (&_, &super::LocalRun)| {
            let age = exited_at.saturating_sub(run.ordered_at?);
            Some(LostRun { task: *task, run: run.run, age })
        };
        let mut runs: Vec<LostRun> = self.runs.iter().filter_map(row).collect();
        runs.sort_by_key(|lost| lost.age);
        runs
    }
}

/// Returns the first `most` runs as `task:run:age` with ages in milliseconds, separated by commas.
pub(in crate::flow) fn describe_ages(runs: &[LostRun], most: usize) -> String {
    let mut text = String::new();
    for LostRun { task, run, age } in runs.iter().take(most) {
        let separator = if text.is_empty() { "" } else { "," };
        // Writing to a string cannot fail.
        let _ = write!(text, "{separator}{task}:{run}:{}", Duration::as_millis(age));
    }
    text
}
