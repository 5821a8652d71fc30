//! Paces of fill tasks, from the figures of a listing.

use super::{Action, Call, Node, RunState};
use crate::flow::message::{Pressure, Running, TaskTraits};
use crate::flow::model::TaskId;
use crate::flow::pace::{Fill, Serving};
use crate::time::Time;

/// Change of a pace, in percent, that is worth a call.
const LEAST_CHANGE: u32 = 5;
/// Change of the level, in percent, that is worth a log line.
const TELLING_LEVEL: u32 = 20;

impl Node {
    /// Follows the figures of a listing.
    pub(super) fn pace(&mut self, now: Time, running: &[Running]) {
        let known = |row: &Running| Some((row.task, self.runs.get(&row.task)?.traits));
        let mut serving = Vec::new();
        let mut fills = Vec::new();
        for row in running {
            match known(row) {
                Some((task, traits)) if traits.target_ms > 0 && row.percent >= 100 => {
                    let TaskTraits { image, target_ms, .. } = traits;
                    serving.push(Serving { task, image, tail_ms: row.load, target_ms });
                }
                Some((task, traits)) if traits.fills => {
                    let TaskTraits { image, cpu_milli: cpu, .. } = traits;
                    fills.push(Fill { task, image, cpu, used: row.load });
                }
                _ => {}
            }
        }
        self.samples.extend(self.gauge.observe(now, &serving, &fills));
        let before = self.pacer.pressure().level;
        let paces = self.pacer.observe(now, self.room(), &serving, &fills);
        let Pressure { level, tail_percent } = self.pacer.pressure();
        if level.abs_diff(before) >= TELLING_LEVEL {
            let detail = format!("level={level} before={before} tail_percent={tail_percent}");
            self.log("pace", detail);
        }
        self.send_paces(&paces);
    }

    /// Processors of the worker, in thousandths of a core.
    pub(super) fn room(&self) -> u64 {
        self.worker.as_ref().map_or(0, |worker| worker.info.room.cpu_milli)
    }

    /// Orders paces that differ enough from those in force. A task starts at full pace.
    pub(super) fn send_paces(&mut self, paces: &[(TaskId, u32)]) {
        let Some(token) = self.link.as_ref().map(|link| link.token) else { return };
        let Some(worker) = self.worker.as_ref().map(|worker| worker.info.id.clone()) else {
            return;
        };
        for (task, percent) in paces {
            let Some(run) = self.runs.get_mut(task) else { continue };
            let is_end = *percent == 0 || *percent == 100;
            let is_due = match run.paced.abs_diff(*percent) {
                0 => false,
                change => is_end || change >= LEAST_CHANGE,
            };
            if run.state == RunState::Running && is_due {
                run.paced = *percent;
                let (worker, task, run, percent) = (worker.clone(), *task, run.run, *percent);
                self.actions.push(Action::Call(Call::Pace { worker, token, task, run, percent }));
            }
        }
    }
}
