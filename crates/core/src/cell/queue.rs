//! Queue of jobs with tasks that wait for a start.

use std::collections::BTreeMap;

use crate::cell::state::Job;
use crate::id::JobId;

/// Priority lane of the queue, served from first to last. Among urgent jobs, tasks that were never
/// started come first, so that new urgent work does not wait for the recovery of lost work. Among
/// other jobs, tasks that were started before come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Lane {
    /// Tasks of urgent jobs that were never started.
    UrgentUnstarted,
    /// Tasks of urgent jobs that were started before.
    UrgentRequeued,
    /// Tasks of other jobs that were started before.
    Requeued,
    /// Tasks of other jobs that were never started.
    Unstarted,
}

impl Lane {
    /// All lanes, highest priority first.
    pub const ALL: [Lane; 4] =
        [Lane::UrgentUnstarted, Lane::UrgentRequeued, Lane::Requeued, Lane::Unstarted];

    /// Tells whether the lane holds tasks that were started before.
    pub fn is_requeued(self) -> bool {
        matches!(self, Lane::UrgentRequeued | Lane::Requeued)
    }

    /// Returns the lane for tasks of a job. `requeued` tells whether the tasks were started before.
    fn new(urgent: bool, requeued: bool) -> Lane {
        match (urgent, requeued) {
            (true, false) => Lane::UrgentUnstarted,
            (true, true) => Lane::UrgentRequeued,
            (false, true) => Lane::Requeued,
            (false, false) => Lane::Unstarted,
        }
    }
}

/// Most jobs that a placement pass examines at the head of a lane. The bound limits the time that
/// jobs which cannot start now take from a pass.
const MAX_HEAD_JOBS: usize = 128;
/// Most jobs that a placement pass examines after a lane's cursor, which advances from pass to
/// pass, so that every job of the lane is examined eventually.
const MAX_CURSOR_JOBS: usize = 384;

/// Jobs with waiting tasks, by priority lane.
#[derive(Debug, Clone, Default)]
pub(super) struct Queue {
    /// Jobs of each lane, by their position in the order of submission.
    lanes: [BTreeMap<u64, JobId>; 4],
    /// For each lane, the position in the order of submission of the last job that a pass examined
    /// after the lane's head; 0 to start again from the head.
    cursors: [u64; 4],
}

impl Queue {
    /// Adds a job to the lanes for which it has waiting tasks, and removes it from the others.
    pub fn sync(&mut self, job: &Job) {
        for (requeued, waits) in [(false, job.has_unstarted()), (true, job.has_requeued())] {
            let lane = &mut self.lanes[Lane::new(job.urgent, requeued) as usize];
            match waits {
                true if !lane.contains_key(&job.submit_order) => {
                    lane.insert(job.submit_order, job.spec.id.clone());
                }
                true => {}
                false => {
                    lane.remove(&job.submit_order);
                }
            }
        }
    }

    /// Tells whether no job has waiting tasks.
    pub fn is_empty(&self) -> bool {
        self.lanes.iter().all(BTreeMap::is_empty)
    }

    /// Returns the jobs of a lane to examine in this placement pass, and advances the lane's
    /// cursor.
    pub fn candidates(&mut self, lane: Lane) -> Vec<JobId> {
        let jobs = &self.lanes[lane as usize];
        let mut chosen: Vec<(u64, JobId)> = jobs
            .iter()
            .take(MAX_HEAD_JOBS)
            .map(|(submit_order, id)| (*submit_order, id.clone()))
            .collect();
        if jobs.len() <= MAX_HEAD_JOBS {
            return chosen.into_iter().map(|(_, id)| id).collect();
        }
        let head = chosen.last().map_or(0, |(submit_order, _)| *submit_order);
        let cursor = self.cursors[lane as usize].max(head);
        let after_cursor = jobs.range(cursor + 1..).take(MAX_CURSOR_JOBS);
        chosen.extend(after_cursor.map(|(submit_order, id)| (*submit_order, id.clone())));
        let last = chosen.last().map_or(0, |(submit_order, _)| *submit_order);
        let at_end = jobs.range(last + 1..).next().is_none();
        self.cursors[lane as usize] = if at_end { 0 } else { last };
        chosen.into_iter().map(|(_, id)| id).collect()
    }
}
