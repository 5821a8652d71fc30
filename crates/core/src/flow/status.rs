//! Status of jobs and load, as shown to callers and operators.

use super::model::JobNumber;
use super::owner::{Job, Owner};
use super::progress::Phase;
use crate::time::Time;

impl Owner {
    /// Returns the phase of a job. A final phase is shown only once it is durable; until then, the job
    /// is shown as it was before.
    pub fn phase(&self, number: JobNumber) -> Option<Phase> {
        self.jobs.get(&number).map(|job| match job.phase {
            phase if !phase.is_final() || job.has_durable_end => phase,
            _ if job.has_begun => Phase::Running,
            _ => Phase::Queued,
        })
    }

    /// Returns the number of jobs of a queue of which no worker has begun a task, as far as is known.
    pub fn waiting(&self, queue: &str) -> u64 {
        let waits = |job: &&Job| job.phase == Phase::Queued && job.spec.queue.name == queue;
        self.jobs.values().filter(waits).count() as u64
    }

    /// Returns a one-line summary of the load, with means over all workers, for the log.
    pub(super) fn load_line(&self, now: Time) -> String {
        let nodes: Vec<_> = self.nodes.iter().filter(|node| node.worker.is_some()).collect();
        let count = nodes.len().max(1) as u64;
        let mean = |pick: fn(&super::owner::Node) -> u64| {
            nodes.iter().map(|node| pick(node)).sum::<u64>() / count
        };
        let open = self.jobs.values().filter(|job| !job.phase.is_final());
        let steps = open.flat_map(|job| job.occurrences.values().flatten());
        let (waiting, running, stopping) =
            steps.fold((0, 0, 0), |(waiting, running, stopping), state| {
                let stops = state.running.values().filter(|attempt| attempt.is_stopping()).count();
                (waiting + state.waiting.len(), running + state.running.len(), stopping + stops)
            });
        format!(
            "workers={count} open={} jobs={} waiting={waiting} running={running} \
             stopping={stopping} pace={} tail={} reserved={} lasting={} filled={} rounds={} \
             examined={} round_ms={} causes={}{}",
            self.open_node_count(now),
            self.open_jobs(),
            mean(|node| u64::from(node.pressure.level)),
            mean(|node| u64::from(node.pressure.tail_percent)),
            mean(|node| node.used.cpu_milli),
            mean(|node| node.long_running.cpu_milli),
            mean(|node| node.total_best_effort_cpu),
            self.rounds().iter().map(|(_, count)| count).sum::<u64>(),
            self.examined_nodes(),
            self.round_time.as_millis(),
            self.rounds().map(|(cause, count)| format!("{cause}:{count}")).join(","),
            self.near.summary(),
        )
    }

    /// Returns the number of jobs that have not ended.
    pub fn open_jobs(&self) -> usize {
        self.jobs.values().filter(|job| !job.phase.is_final()).count()
    }
}
