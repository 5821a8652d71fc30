//! Handling of a worker's listings: updates the agent's table of runs and forwards the ends of runs
//! to the owner.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Action, AgentState, LocalRun, RunState, Worker, MAX_LIST_WAIT, UNACKED_DELAY};
use crate::flow::incarnation;
use crate::flow::message::{AgentMessage, End, Running, Token, MAX_LISTED_ENDS};
use crate::flow::model::{Run, TaskId};
use crate::time::Time;

/// Time without progress after which a run is reported to the owner as stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pace in percent below which a best-effort task is not expected to show progress.
const MIN_STALL_PACE: u32 = 50;

impl AgentState {
    /// Handles a listing of the runs and ends on a worker. `token` is the token of the request, and
    /// `clock` the worker's clock in milliseconds.
    pub fn listed(
        &mut self,
        now: Time,
        worker: &str,
        token: Token,
        clock: u64,
        running: Vec<Running>,
        ends: Vec<End>,
    ) {
        self.listing = self.listing.filter(|(listing, _)| *listing != token);
        self.adopt_worker(now, worker);
        let Some(session) = &self.session else { return };
        let (is_attached, session_token) = (session.is_attached, session.token);
        let is_its = |known: &&mut Worker| known.info.id == worker && !known.is_held();
        let Some(known) = self.worker.as_mut().filter(is_its) else { return };
        known.clock = Some((clock, now));
        known.refusals = 0;
        known.unanswered_since = None;
        known.prove_alive(now);
        if !is_attached {
            if token == session_token {
                self.attach(now, running, ends);
                if self.session.as_ref().is_some_and(|s| s.unconfirmed_since.is_some()) {
                    self.next_ping = now;
                }
            }
            return self.poll(now);
        }
        let lists_all_ends = ends.len() < MAX_LISTED_ENDS;
        let fresh: Vec<End> = ends.into_iter().filter(|end| end.number > known.forwarded).collect();
        known.forwarded = fresh.iter().map(|end| end.number).max().unwrap_or(known.forwarded);
        let has_unacked = known.forwarded > known.acknowledged;
        for end in &fresh {
            if self.runs.get(&end.task).is_some_and(|run| run.run <= end.run) {
                self.runs.remove(&end.task);
            }
        }
        if !fresh.is_empty() {
            let worker = worker.to_owned();
            self.actions.push(Action::Send(AgentMessage::Ends { worker, ends: fresh }));
        }
        let missing = self.reconcile(now, token, &running);
        // The end of a run that is not listed as running may be among those that are not listed yet.
        if lists_all_ends {
            for (task, run, reason) in missing {
                self.not_started(task, run, reason);
            }
        }
        self.pace(now, &running);
        self.next_list = if has_unacked { now + UNACKED_DELAY } else { now };
        self.poll(now);
    }

    /// Sends the runs and ends of the worker to the owner. The start of the session is complete with
    /// the first report of all ends: a worker with too many for one listing lists the others once the
    /// owner has acknowledged these.
    fn attach(&mut self, now: Time, running: Vec<Running>, ends: Vec<End>) {
        let (Some(worker), Some(session)) = (&mut self.worker, &mut self.session) else { return };
        let lists_all_ends = ends.len() < MAX_LISTED_ENDS;
        let newest = ends.iter().map(|end| end.number).max().unwrap_or(0);
        let reported = std::mem::replace(&mut session.reported, newest);
        self.next_list = now + UNACKED_DELAY;
        if !lists_all_ends && newest <= reported {
            return;
        }
        worker.forwarded = newest.max(worker.acknowledged);
        let mut runs = BTreeMap::new();
        for row in &running {
            let old = self.runs.remove(&row.task).filter(|run| run.run == row.run);
            let run = LocalRun {
                run: row.run,
                state: RunState::Running,
                is_listed: true,
                traits: old.as_ref().map(|run| run.traits).unwrap_or_default(),
                started_at: now,
                ordered_at: old.as_ref().and_then(|run| run.ordered_at),
                must_stop: false,
                stop_sent: None,
                percent: row.percent,
                progress_at: now,
                checkpoint: row.checkpoint.clone(),
                checkpoint_sent: true,
                pace: old.map_or(u32::MAX, |run| run.pace),
                stall_reported: false,
                start_reported: true,
            };
            runs.insert(row.task, run);
        }
        self.runs = runs;
        let info = worker.info.clone();
        session.is_attached = lists_all_ends;
        session.unconfirmed_since = session.unconfirmed_since.map(|_| now);
        let (count, ends_count) = (running.len(), ends.len());
        self.log(
            "attached",
            format!(
                "worker={} running={count} ends={ends_count} complete={lists_all_ends}",
                info.id
            ),
        );
        // The owner requeues the runs of a former incarnation when it knows which of them go on in this one.
        let id = info.id.clone();
        self.keep_only_lost(&id, &running, &ends);
        self.send_crashes(|crashed| !incarnation::is_older(crashed, &id));
        self.actions.push(Action::Send(AgentMessage::Attach { worker: Some(info), running, ends }));
        self.send_crashes(|crashed| incarnation::is_older(crashed, &id));
    }

    /// Reconciles the agent's table of runs with a listing, and reports stalled runs to the owner.
    /// Returns the runs that the worker should have listed and did not, with the reason.
    fn reconcile(
        &mut self,
        now: Time,
        token: Token,
        running: &[Running],
    ) -> Vec<(TaskId, Run, &'static str)> {
        let answered_before = now.saturating_sub(MAX_LIST_WAIT * 2);
        let mut missing = Vec::new();
        let rows: BTreeMap<TaskId, &Running> = running.iter().map(|row| (row.task, row)).collect();
        let mut stalled = Vec::new();
        for (task, run) in &mut self.runs {
            match rows.get(task).filter(|row| row.run == run.run) {
                Some(row) => {
                    run.is_listed = true;
                    if let RunState::Doubtful(_) = run.state {
                        run.state = RunState::Running;
                    }
                    if row.percent != run.percent {
                        run.percent = row.percent;
                        run.progress_at = now;
                    }
                    if row.checkpoint != run.checkpoint {
                        run.checkpoint = row.checkpoint.clone();
                        run.checkpoint_sent = false;
                    }
                    let is_working = if run.traits.long_running {
                        row.percent >= 100
                    } else {
                        run.traits.best_effort && run.pace < MIN_STALL_PACE
                    };
                    if is_working || run.state != RunState::Running {
                        run.progress_at = now;
                    }
                    let is_stalled = now >= run.progress_at + STALL_TIMEOUT && !run.must_stop;
                    if is_stalled && !run.stall_reported {
                        run.stall_reported = true;
                        stalled.push((*task, run.run));
                    }
                }
                None => match run.state {
                    RunState::Doubtful(needed) if token >= needed => {
                        missing.push((*task, run.run, "lost order"));
                    }
                    RunState::Running if run.started_at < answered_before => {
                        missing.push((*task, run.run, "not listed"));
                    }
                    _ => {}
                },
            }
        }
        for (task, run) in stalled {
            self.actions.push(Action::Send(AgentMessage::Stalled { task, run }));
        }
        missing
    }
}
