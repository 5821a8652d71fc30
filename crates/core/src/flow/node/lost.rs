//! The runs that a worker loses when its process exits.

use std::fmt::Write;
use std::time::Duration;

use super::worker::Worker;
use super::{Action, AgentState};
use crate::flow::incarnation;
use crate::flow::message::{AgentMessage, End, LostRun, Running};

/// Maximum number of crashes that an agent keeps until the owner has acknowledged them.
const MAX_UNACKED_CRASHES: usize = 16;

impl AgentState {
    /// Keeps the report of a crash until the owner has acknowledged it.
    pub(super) fn keep_crash(&mut self, worker: String, runs: Vec<LostRun>) {
        if self.crashes.len() == MAX_UNACKED_CRASHES {
            if let Some((worker, _)) = self.crashes.pop_front() {
                self.log("crash_report_dropped", format!("worker={worker}"));
            }
        }
        self.crashes.push_back((worker, runs));
    }

    /// Removes the runs that the worker `id` lists from the crashes of its former incarnations.
    pub(super) fn keep_only_lost(&mut self, id: &str, running: &[Running], ends: &[End]) {
        let is_listed = |lost: &LostRun| {
            running.iter().any(|row| (row.task, row.run) == (lost.task, lost.run))
                || ends.iter().any(|end| (end.task, end.run) == (lost.task, lost.run))
        };
        for (_, runs) in self.crashes.iter_mut().filter(|(c, _)| incarnation::is_older(c, id)) {
            runs.retain(|lost| !is_listed(lost));
        }
    }

    /// Sends the owner the crashes of the selected workers that it has not acknowledged.
    pub(super) fn send_crashes(&mut self, selects: impl Fn(&str) -> bool) {
        for (worker, runs) in self.crashes.iter().filter(|(worker, _)| selects(worker)).cloned() {
            self.actions.push(Action::Send(AgentMessage::Crashed { worker, runs }));
        }
    }

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
