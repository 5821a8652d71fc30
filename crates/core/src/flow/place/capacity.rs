//! Whether a node accepts tasks, and what it has room for.

use std::time::Duration;

use super::round::{Closure, Misfit, Mode};
use crate::flow::model::Step;
use crate::flow::owner::Node;
use crate::resources::Resources;
use crate::time::Time;

/// Maximum time since the last renewal of a worker's permission to run tasks for the owner to start
/// tasks on the worker. Agents renew the permission each second, and it lasts several times as
/// long.
const MAX_PERMISSION_AGE: Duration = Duration::from_secs(3);

impl Node {
    /// Returns the rack of the worker, which is its second label, if the node has a worker with
    /// one.
    pub(in crate::flow) fn rack(&self) -> Option<&str> {
        self.worker.as_ref()?.labels.get(1).map(String::as_str)
    }

    /// Returns the CPU used neither by reservations nor by best-effort tasks, in thousandths of a
    /// core.
    pub(in crate::flow) fn free_cpu(&self) -> u64 {
        self.cpu_capacity().saturating_sub(self.used.cpu_milli + self.total_best_effort_cpu)
    }

    /// Returns the CPU of the worker, in thousandths of a core.
    pub(super) fn cpu_capacity(&self) -> u64 {
        self.worker.as_ref().map_or(0, |worker| worker.capacity.cpu_milli)
    }

    /// Tells whether the node accepts starts, or will soon: because it only rests after failures, or the
    /// set of evacuated zones is confirmed again.
    pub(in crate::flow) fn is_usable(&self, now: Time) -> bool {
        matches!(self.closed_by(now, true), None | Some(Closure::Backoff))
    }

    /// Returns the CPU that long-running tasks leave to tasks that reserve CPU, in thousandths of a
    /// core.
    pub(in crate::flow) fn batch_cpu(&self) -> u64 {
        self.cpu_capacity().saturating_sub(self.long_running.cpu_milli)
    }

    /// Tells whether `need` would fit on the node if only its long-running tasks were there.
    pub(super) fn fits_beside_long_running(&self, need: &Resources) -> bool {
        let capacity = self.worker.as_ref().map(|worker| worker.capacity);
        capacity.is_some_and(|capacity| self.long_running.plus(need).fits_in(&capacity))
    }

    /// Tells whether tasks may be started on the node, regardless of its free capacity.
    pub(super) fn accepts_starts(&self, now: Time, is_confirmed: bool) -> bool {
        self.closed_by(now, is_confirmed).is_none()
    }

    /// Returns why no tasks may be started on the node, or `None` if they may. `is_confirmed` tells
    /// whether the set of evacuated zones is recent enough.
    pub(super) fn closed_by(&self, now: Time, is_confirmed: bool) -> Option<Closure> {
        match &self.worker {
            None => Some(Closure::NoWorker),
            Some(_) if !self.is_attached => Some(Closure::Detached),
            Some(_) if now >= self.last_pong + MAX_PERMISSION_AGE => Some(Closure::Silent),
            Some(_) if !self.in_roster => Some(Closure::OffRoster),
            Some(_) if self.is_evacuated => Some(Closure::Evacuated),
            Some(_) if !is_confirmed => Some(Closure::Unconfirmed),
            Some(worker) if worker.draining => Some(Closure::Draining),
            Some(_) if !self.stale_runs.is_empty() => Some(Closure::StaleRun),
            Some(_) if self.quarantine.is_some() => Some(Closure::Quarantine),
            Some(_) if now < self.backoff_until => Some(Closure::Backoff),
            Some(_) => None,
        }
    }

    /// Returns how often tasks have failed or been rejected on the node since one last finished there.
    pub(super) fn troubles(&self) -> u32 {
        self.failure_streak + self.refusals
    }

    /// Tells whether the node has a worker of a service.
    pub(super) fn serves(&self, service: &str) -> bool {
        self.worker.as_ref().is_some_and(|worker| worker.service == service)
    }

    /// Tells whether the node has a worker with a label.
    pub(super) fn has_label(&self, label: &String) -> bool {
        self.worker.as_ref().is_some_and(|worker| worker.labels.contains(label))
    }

    /// Checks that one more task of a step fits on the node in addition to `planned` tasks of the
    /// step that have not been started yet. The best-effort task of a starved step needs no idle
    /// CPU: it shares the CPU of those that are there.
    ///
    /// # Errors
    ///
    /// Returns which kind of capacity is missing.
    pub(super) fn has_capacity(&self, step: &Step, planned: u64, mode: Mode) -> Result<(), Misfit> {
        let capacity = self.worker.as_ref().map(|worker| worker.capacity).unwrap_or_default();
        let fits = self.used.plus(&step.reserved().times(planned + 1)).fits_in(&capacity);
        let needs_idle = step.best_effort && mode == Mode::Ranked;
        match fits {
            false => Err(Misfit::Room),
            true if needs_idle && !self.best_effort_fits(step, planned) => Err(Misfit::Idle),
            true => Ok(()),
        }
    }
}
