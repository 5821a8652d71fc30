//! Pacing of best-effort tasks: limits their CPU, based on the CPU usage and tail latencies in a
//! listing.

use super::{Action, AgentState, Call, RunState};
use crate::flow::message::{Pressure, Running, TaskTraits};
use crate::flow::model::TaskId;
use crate::flow::pace::{BestEffortTask, ServingTask};
use crate::time::Time;

/// Minimum change of a best-effort task's pace that is sent to the worker, in percentage points.
/// The paces 0 and 100 are always sent.
const MIN_PACE_CHANGE: u32 = 5;
/// Minimum change of the mean pace of best-effort tasks that is logged, in percentage points.
const LOGGED_LEVEL_CHANGE: u32 = 20;

impl AgentState {
    /// Computes the paces of best-effort tasks from the running tasks in a listing, and sends them
    /// to the worker.
    pub(super) fn pace(&mut self, now: Time, running: &[Running]) {
        let task_of = |row: &Running| Some((row.task, self.runs.get(&row.task)?.traits));
        let mut serving = Vec::new();
        let mut best_effort = Vec::new();
        for row in running {
            match task_of(row) {
                Some((task, traits)) if traits.target_ms > 0 && row.percent >= 100 => {
                    let TaskTraits { image, target_ms, .. } = traits;
                    serving.push(ServingTask { task, image, tail_ms: row.load, target_ms });
                }
                Some((task, traits)) if traits.best_effort => {
                    let TaskTraits { image, cpu_milli: cpu, .. } = traits;
                    best_effort.push(BestEffortTask { task, image, cpu, used: row.load });
                }
                _ => {}
            }
        }
        self.samples.extend(self.sampler.observe(now, &serving, &best_effort));
        let before = self.pacer.pressure().level;
        let paces = self.pacer.observe(now, self.capacity(), &serving, &best_effort);
        let Pressure { level, tail_percent } = self.pacer.pressure();
        if level.abs_diff(before) >= LOGGED_LEVEL_CHANGE {
            let detail = format!("level={level} before={before} tail_percent={tail_percent}");
            self.log("pace", detail);
        }
        self.send_paces(&paces);
    }

    /// Returns the CPU of the worker, in thousandths of a core.
    pub(super) fn capacity(&self) -> u64 {
        self.worker.as_ref().map_or(0, |worker| worker.info.capacity.cpu_milli)
    }

    /// Sends the worker the paces that differ enough from those in force. A pace is the CPU that a
    /// task may use, in percent of its request; a task starts at 100.
    pub(super) fn send_paces(&mut self, paces: &[(TaskId, u32)]) {
        let Some(token) = self.session.as_ref().map(|session| session.token) else { return };
        let Some(worker) = self.worker.as_ref().map(|worker| worker.info.id.clone()) else {
            return;
        };
        for (task, percent) in paces {
            let Some(run) = self.runs.get_mut(task) else { continue };
            let is_end = *percent == 0 || *percent == 100;
            let is_due = match run.pace.abs_diff(*percent) {
                0 => false,
                change => is_end || change >= MIN_PACE_CHANGE,
            };
            if run.state == RunState::Running && is_due {
                run.pace = *percent;
                let (worker, task, run, percent) = (worker.clone(), *task, run.run, *percent);
                self.actions.push(Action::Call(Call::Pace { worker, token, task, run, percent }));
            }
        }
    }
}
