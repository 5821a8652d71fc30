//! Dry run of placement for one job.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::time::Duration;

use super::round::{Mode, Round, Search};
use super::Candidate;
use crate::flow::explain::{ExplainedStart, ExplainedStep, ExplainedWait};
use crate::flow::model::JobNumber;
use crate::flow::owner::{image_number, Job, Owner};
use crate::time::Time;

/// Maximum number of nodes that an explanation names for a step.
const MAX_NAMED_NODES: usize = 8;
/// Maximum number of steps ahead in the queue that are placed first, as many as a round always gets to.
const MAX_AHEAD: usize = 400;

impl Owner {
    /// Places the waiting tasks of a job, and returns where they went and why. Its effects have to be
    /// undone.
    pub(in crate::flow) fn explain_job(
        &mut self,
        now: Time,
        number: JobNumber,
    ) -> Vec<ExplainedStep> {
        if let Some(job) = self.jobs.get_mut(&number) {
            job.note_idle_steps(now);
        }
        // Other jobs are taken as the last round saw them, so that nothing of them changes.
        let mut queue = Vec::new();
        for other in &self.unplaced {
            if let Some(job) = self.jobs.get(other).filter(|job| !job.phase.is_final()) {
                job.ready_steps(*other, now, &mut queue);
            }
        }
        queue.sort_unstable();
        let mut round = self.begin_round(now);
        self.begin_near_round(&queue);
        let mut steps = self.unready_steps(number);
        let own = queue.iter().rposition(|candidate| candidate.job == number);
        let visited = &queue[..own.map_or(0, |last| last + 1)];
        let ahead = visited.iter().take(MAX_AHEAD).filter(|other| other.job != number);
        let saved: Vec<(JobNumber, Job)> =
            ahead.map(|other| (other.job, self.jobs[&other.job].clone())).collect();
        for (place, candidate) in visited.iter().enumerate() {
            match candidate.job == number {
                true => steps.push(self.explain_step(&mut round, *candidate, place, queue.len())),
                // What waits ahead may start too, or give its place up, once the job is there.
                false if place < MAX_AHEAD => {
                    self.place_step(&mut round, *candidate, Mode::Ranked);
                }
                false => {}
            }
        }
        self.jobs.extend(saved);
        steps.sort_by_key(|step| (step.occurrence, step.step));
        steps
    }

    /// Returns the steps of a job whose tasks wait for other steps.
    fn unready_steps(&self, number: JobNumber) -> Vec<ExplainedStep> {
        let occurrences = self.jobs.get(&number).map(|job| job.occurrences.iter());
        let steps = occurrences.into_iter().flatten().flat_map(|(occurrence, steps)| {
            steps.iter().enumerate().map(move |(step, state)| (*occurrence, step as u16, state))
        });
        let unready = steps.filter(|(.., state)| !state.is_ready && !state.waiting.is_empty());
        unready
            .map(|(occurrence, step, state)| ExplainedStep {
                occurrence,
                step,
                is_ready: false,
                waiting: state.waiting.len(),
                place: 0,
                queue: 0,
                nodes: 0,
                open: 0,
                fits: 0,
                kept: Vec::new(),
                misfits: Vec::new(),
                closed: Vec::new(),
                starts: Vec::new(),
                near_waits: Vec::new(),
                wait_ms: None,
                end_ms: None,
            })
            .collect()
    }

    fn explain_step(
        &mut self,
        round: &mut Round,
        candidate: Candidate,
        place: usize,
        queue: usize,
    ) -> ExplainedStep {
        let spec = self.jobs[&candidate.job].spec.clone();
        let step = &spec.steps[usize::from(candidate.step)];
        let shared_rack = self
            .shared_rack(round, &candidate, &spec, step)
            .map(|rack| self.soonest_rack(round, &candidate, &spec, rack));
        let rack = shared_rack.or_else(|| step.preferred_rack.clone());
        let search = Search {
            candidate,
            step,
            image: image_number(step),
            rack: rack.as_deref(),
            mode: Mode::Ranked,
        };
        let reasons = self.node_reasons(round, &search);
        let mut ranking = self.rank_nodes(round, &spec, &search);
        let kept = std::iter::from_fn(|| ranking.take(None)).take(MAX_NAMED_NODES);
        let kept = kept.map(|slot| self.nodes[slot].name.clone()).collect();
        let waiting = self.state(&candidate).waiting.clone();
        self.place_step(round, candidate, Mode::Ranked);
        let state = self.state(&candidate);
        let is_far =
            |slot: usize| rack.as_deref().is_some_and(|rack| self.nodes[slot].rack() != Some(rack));
        let started = state.running.iter().filter(|(index, _)| waiting.contains(index));
        let starts: Vec<ExplainedStart> = started
            .map(|(index, attempt)| ExplainedStart {
                index: *index,
                node: self.nodes[attempt.slot].name.clone(),
                is_far: is_far(attempt.slot),
            })
            .collect();
        let near_waits = self.explain_near_waits(round.now, &candidate);
        let has_rest = !state.waiting.is_empty();
        let wait = has_rest.then(|| self.forecast_wait(round, &spec, &candidate)).flatten();
        let placed = starts.iter().map(|start| {
            let time = self.run_time(&search, start.index)?;
            let factor = if start.is_far { self.settings.remote_slowdown.max(1.0) } else { 1.0 };
            Some(time.mul_f64(factor))
        });
        let ends: Option<Vec<Duration>> = placed.collect();
        let end = ends.filter(|_| !has_rest).and_then(|ends| ends.into_iter().max());
        ExplainedStep {
            occurrence: candidate.occurrence,
            step: candidate.step,
            is_ready: true,
            waiting: waiting.len(),
            place,
            queue,
            nodes: self.nodes.len(),
            open: reasons.open,
            fits: reasons.fits,
            kept,
            misfits: rows(&reasons.misfits),
            closed: rows(&reasons.closed),
            starts,
            near_waits,
            wait_ms: wait.map(|wait| wait.as_millis() as u64),
            end_ms: end.map(|end| end.as_millis() as u64),
        }
    }

    /// Returns the waits of a step's tasks for near nodes.
    fn explain_near_waits(&self, now: Time, candidate: &Candidate) -> Vec<ExplainedWait> {
        let waits = self.near_waits_of(candidate).map(|(index, rack, until)| ExplainedWait {
            index,
            rack: rack.to_owned(),
            limit_ms: until.saturating_sub(now).as_millis() as u64,
        });
        waits.collect()
    }
}

fn rows<R: Debug>(counts: &BTreeMap<R, u32>) -> Vec<(String, u32)> {
    counts.iter().map(|(reason, count)| (format!("{reason:?}"), *count)).collect()
}
