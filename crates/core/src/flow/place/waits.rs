//! Log lines that tell why a ready step has no run, and when one began late.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::time::Duration;

use super::round::{Closure, Misfit, Mode, Round, Search};
use super::{Candidate, STARVATION_DELAY};
use crate::flow::owner::{image_number, Node, Owner};
use crate::time::Time;

/// Time without runs after which the start of a step is logged.
const LOGGED_WAIT: Duration = Duration::from_millis(500);
/// Minimum time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of steps in one report; those that have waited longest come first.
const MAX_REPORTED_STEPS: usize = 8;

impl Owner {
    /// Logs the start of a step that has been ready without runs since `idle_since`, if that is long
    /// ago.
    pub(super) fn log_late_start(
        &mut self,
        round: &Round,
        search: &Search<'_>,
        idle_since: Option<Time>,
    ) {
        let waited = idle_since.map_or(Duration::ZERO, |since| round.now.saturating_sub(since));
        let state = self.state(&search.candidate);
        let Some(attempt) = state.running.values().next() else { return };
        // A step in relief gets one task after the other.
        let is_next = state.was_relieved && search.mode == Mode::Relief;
        if waited < LOGGED_WAIT || is_next {
            return;
        }
        let Candidate { job, occurrence, step, .. } = search.candidate;
        let detail = format!(
            "occurrence={occurrence} step={step} waited_ms={} relief={} runs={} node={}",
            waited.as_millis(),
            search.mode != Mode::Ranked,
            state.running.len(),
            self.nodes[attempt.slot].name,
        );
        self.log("step_started", Some(job), detail);
    }

    /// Logs the starved steps that got no run, with the number of nodes that cannot run their tasks
    /// for each reason. `candidates` are the steps of a placement round that has ended, in order of
    /// rank.
    pub(super) fn report_waits(&mut self, round: &Round, candidates: &[Candidate]) {
        if round.now < self.next_wait_report {
            return;
        }
        self.next_wait_report = round.now + REPORT_INTERVAL;
        let mut waits: Vec<(Duration, usize)> = candidates
            .iter()
            .enumerate()
            .filter_map(|(place, candidate)| Some((self.idle_for(round, candidate)?, place)))
            .filter(|(waited, _)| *waited >= STARVATION_DELAY)
            .collect();
        waits.sort_unstable_by(|a, b| b.cmp(a));
        let steps = waits.len();
        for (waited, place) in waits.into_iter().take(MAX_REPORTED_STEPS) {
            let candidate = candidates[place];
            let queue = format!("place={place} queue={} steps={steps}", candidates.len());
            let detail = format!(
                "step={} waited_ms={} {queue} {}",
                candidate.step,
                waited.as_millis(),
                self.explain_wait(round, candidate)
            );
            self.log("step_waits", Some(candidate.job), detail);
        }
    }

    /// Returns for how long a step has been ready without runs; `None` if it has runs.
    fn idle_for(&self, round: &Round, candidate: &Candidate) -> Option<Duration> {
        let since = self.state(candidate).idle_since?;
        Some(round.now.saturating_sub(since))
    }

    /// Returns the number of nodes by the reason for which they do not run one more task of a step.
    pub(super) fn node_reasons(&self, round: &Round, search: &Search<'_>) -> NodeReasons {
        let mut reasons = NodeReasons::default();
        let is_confirmed = self.is_confirmed(round.now);
        let reason_of = |node: &Node| node.closed_by(round.now, is_confirmed);
        for reason in self.nodes.iter().filter_map(reason_of) {
            *reasons.closed.entry(reason).or_default() += 1;
        }
        let spec = &self.jobs[&search.candidate.job].spec;
        for (slot, _) in self.open_to(round, spec, search.step) {
            reasons.open += 1;
            match self.score(round, search, slot, 0) {
                Ok(_) => reasons.fits += 1,
                Err(reason) => *reasons.misfits.entry(reason).or_default() += 1,
            }
        }
        reasons
    }

    /// Returns what the tasks of a step request, and the number of nodes by the reason for which
    /// they do not run there.
    fn explain_wait(&self, round: &Round, candidate: Candidate) -> String {
        let spec = &self.jobs[&candidate.job].spec;
        let step = &spec.steps[usize::from(candidate.step)];
        let search = Search {
            candidate,
            step,
            image: image_number(step),
            rack: None,
            mode: if step.best_effort { Mode::Relief } else { Mode::Ranked },
        };
        let NodeReasons { open, fits, misfits, closed } = self.node_reasons(round, &search);
        format!(
            "tasks={} cpu={} memory={} long_running={} best_effort={} gang={} \
             nodes={} open={open} fits={fits} misfits={} closed={}",
            self.state(&candidate).waiting.len(),
            step.need.cpu_milli,
            step.need.memory_mib,
            step.long_running,
            step.best_effort,
            step.gang,
            self.nodes.len(),
            counts(&misfits),
            counts(&closed),
        )
    }
}

/// Number of nodes by the reason for which they do not run a task.
#[derive(Debug, Default)]
pub(super) struct NodeReasons {
    /// Nodes that accept starts of the step.
    pub(super) open: u32,
    /// Nodes of these on which the task fits.
    pub(super) fits: u32,
    pub(super) misfits: BTreeMap<Misfit, u32>,
    pub(super) closed: BTreeMap<Closure, u32>,
}

/// Returns counts by reason as `reason:count` pairs, separated by commas.
fn counts<R: Debug>(counts: &BTreeMap<R, u32>) -> String {
    let pairs: Vec<String> = counts.iter().map(|(reason, n)| format!("{reason:?}:{n}")).collect();
    pairs.join(",")
}
