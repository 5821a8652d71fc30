//! Jobs that wait for starts, in the order in which they are served.

use std::collections::BTreeMap;

use crate::cell::state::Job;
use crate::id::JobId;

/// Order of service. New urgent work goes before the recovery of lost work; within the other
/// classes, tasks that were started before go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Lane {
    UrgentUnstarted,
    UrgentRequeued,
    Requeued,
    Unstarted,
}

impl Lane {
    pub const ALL: [Lane; 4] =
        [Lane::UrgentUnstarted, Lane::UrgentRequeued, Lane::Requeued, Lane::Unstarted];

    pub fn is_requeued(self) -> bool {
        matches!(self, Lane::UrgentRequeued | Lane::Requeued)
    }

    fn new(urgent: bool, requeued: bool) -> Lane {
        match (urgent, requeued) {
            (true, false) => Lane::UrgentUnstarted,
            (true, true) => Lane::UrgentRequeued,
            (false, true) => Lane::Requeued,
            (false, false) => Lane::Unstarted,
        }
    }
}

/// Jobs examined at the head of a lane in one pass, and after a cursor that moves on from pass to
/// pass. A long row of jobs that cannot start now delays a pass by a bounded time only, and hides
/// no job for good.
const MAX_HEAD_JOBS: usize = 128;
const MAX_CURSOR_JOBS: usize = 384;

#[derive(Debug, Clone, Default)]
pub(super) struct Queue {
    lanes: [BTreeMap<u64, JobId>; 4],
    cursors: [u64; 4],
}

impl Queue {
    /// Puts a job into the lanes that fit its waiting tasks, and takes it from the others.
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

    pub fn is_empty(&self) -> bool {
        self.lanes.iter().all(BTreeMap::is_empty)
    }

    /// Returns the jobs of a lane to examine in this pass.
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
