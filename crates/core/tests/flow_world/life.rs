//! Model of one life of a worker, as the platform's protocol describes it. It does not guard its
//! capacity.

use std::collections::BTreeMap;

use peridotfold_core::flow::message::{
    End, EndKind, EndNumber, Running, Start, TaskTraits, Token, WorkerInfo,
};
use peridotfold_core::flow::model::{Run, Step, TaskId};
use peridotfold_core::flow::node::Outcome;
use peridotfold_core::resources::Resources;
use peridotfold_core::time::Time;

use crate::ms;

/// Longest lease of what runs, in milliseconds.
const MAX_HOLD_MS: u64 = 8_000;
/// Time that the members of a gang wait for the others.
const GANG_WAIT: Time = ms(4_000);
/// Work until a long-running task serves, and between checkpoints, in milliseconds.
const STARTUP_MS: u64 = 400;
const CHECKPOINT_MS: u64 = 500;

/// The work, in milliseconds, after which a run is done (long-running tasks ignore it), fails, or
/// makes no more progress.
#[derive(Debug, Clone, Copy)]
pub struct Fate {
    pub done_at: u64,
    pub fails_at: Option<u64>,
    pub stalls_at: Option<u64>,
}

/// A run in progress.
#[derive(Debug)]
pub struct LiveRun {
    pub run: Run,
    pub step: Step,
    traits: TaskTraits,
    fate: Fate,
    since: Time,
    /// Work done so far, in milliseconds.
    work: u64,
    pace: u32,
    /// When the run is gone after a stop.
    stop_at: Option<Time>,
    /// Whether all members of the gang have been present.
    formed: bool,
}

impl LiveRun {
    fn checkpoint(&self) -> String {
        let saved = self.work / CHECKPOINT_MS * CHECKPOINT_MS;
        match self.step.has_checkpoints && saved > 0 {
            true => saved.to_string(),
            false => String::new(),
        }
    }

    fn percent(&self) -> u32 {
        match self.traits.long_running {
            true => (self.work * 100 / STARTUP_MS).min(100) as u32,
            false => (self.work * 100 / self.fate.done_at.max(1)).min(99) as u32,
        }
    }
}

/// One life of a worker.
#[derive(Debug)]
pub struct Life {
    pub info: WorkerInfo,
    pub sequence: u64,
    /// When it began, and the rate of its clock in percent.
    pub boot: Time,
    pub rate: u32,
    /// Highest token seen.
    token: Token,
    /// When everything is killed, by its own clock.
    lease: u64,
    pub running: BTreeMap<TaskId, LiveRun>,
    pub ends: Vec<End>,
    next_end: EndNumber,
    /// Highest run of each task that was stopped or has ended here.
    highest: BTreeMap<TaskId, Run>,
    /// A larger capacity that counts until a time, after the worker's has shrunk.
    former: Option<(Time, Resources)>,
    /// Tail latency of serving tasks, in percent of their target.
    pub tail_percent: u32,
}

impl Life {
    pub fn new(info: WorkerInfo, boot: Time, rate: u32) -> Self {
        Life {
            info,
            sequence: 0,
            boot,
            rate,
            token: 0,
            lease: 0,
            running: BTreeMap::new(),
            ends: Vec::new(),
            next_end: 1,
            highest: BTreeMap::new(),
            former: None,
            tail_percent: 50,
        }
    }

    pub fn clock(&self, now: Time) -> u64 {
        1_000 + (now.saturating_sub(self.boot) * self.rate / 100).as_millis() as u64
    }

    /// Changes the capacity. A larger one counts until `until`.
    pub fn resize(&mut self, capacity: Resources, now: Time, until: Time) {
        let known = std::mem::replace(&mut self.info.capacity, capacity);
        let former = self.former.filter(|(at, _)| now < *at).map_or(known, |(_, f)| f.max(&known));
        self.former = Some((until, former));
    }

    /// Returns the capacity that starts must respect.
    pub fn room(&self, now: Time) -> Resources {
        let former = self.former.filter(|(until, _)| now < *until);
        former.map_or(self.info.capacity, |(_, former)| former.max(&self.info.capacity))
    }

    /// Returns what all runs reserve, also those that are being stopped.
    pub fn used(&self) -> Resources {
        let sum = |sum: Resources, run: &LiveRun| sum.plus(&run.step.reserved());
        self.running.values().fold(Resources::default(), sum)
    }

    /// Takes note of a token; refuses a lower one than the highest that was seen.
    fn admits(&mut self, token: Token) -> bool {
        self.token = self.token.max(token);
        token == self.token
    }

    fn extend(&mut self, now: Time, deadline: u64) {
        self.lease = self.lease.max(deadline.min(self.clock(now) + MAX_HOLD_MS));
    }

    /// Starts a run, unless the order is outdated.
    pub fn start(
        &mut self,
        now: Time,
        token: Token,
        deadline: u64,
        order: &Start,
        (step, fate): (Step, Fate),
    ) -> Outcome {
        if !self.admits(token) {
            return Outcome::OldToken;
        }
        let refused = |reason: &str| Outcome::Refused(reason.to_owned());
        if self.clock(now) >= deadline {
            return refused("late");
        }
        self.extend(now, deadline);
        match self.running.get(&order.task) {
            Some(known) if known.run == order.run => return Outcome::Done,
            None if order.run > *self.highest.get(&order.task).unwrap_or(&0) => {}
            _ => return refused("old"),
        }
        let (run, traits, since) = (order.run, order.traits, now);
        let (work, pace, stop_at) = (order.checkpoint.parse().unwrap_or(0), 100, None);
        let formed = false;
        let live = LiveRun { run, step, traits, fate, since, work, pace, stop_at, formed };
        self.running.insert(order.task, live);
        Outcome::Done
    }

    pub fn stop(&mut self, token: Token, task: TaskId, run: Run, gone: Time) -> Outcome {
        let highest = self.highest.entry(task).or_default();
        match self.running.get_mut(&task).filter(|known| known.run == run) {
            _ if token < self.token => return Outcome::OldToken,
            Some(known) => known.stop_at = known.stop_at.or(Some(gone)),
            None => *highest = run.max(*highest),
        }
        self.token = token;
        Outcome::Done
    }

    pub fn pace(&mut self, token: Token, task: TaskId, run: Run, percent: u32) -> Outcome {
        if !self.admits(token) {
            return Outcome::OldToken;
        }
        if let Some(known) = self.running.get_mut(&task).filter(|known| known.run == run) {
            known.pace = percent;
        }
        Outcome::Done
    }

    /// Handles the request of a listing: extends the lease and forgets acknowledged ends.
    pub fn hold(
        &mut self,
        now: Time,
        token: Token,
        seen: EndNumber,
        until: Option<u64>,
    ) -> Outcome {
        if !self.admits(token) {
            return Outcome::OldToken;
        }
        self.ends.retain(|end| end.number > seen);
        self.extend(now, until.unwrap_or(0));
        Outcome::Done
    }

    pub fn rows(&self) -> Vec<Running> {
        let row = |(task, live): (&TaskId, &LiveRun)| {
            let (task, run, checkpoint, percent) =
                (*task, live.run, live.checkpoint(), live.percent());
            let load = match live.traits.target_ms {
                0 => live.step.need.cpu_milli * u64::from(live.pace) / 100,
                target => u64::from(target * self.tail_percent / 100),
            };
            Running { task, run, checkpoint, percent, load }
        };
        self.running.iter().map(row).collect()
    }

    /// Advances all runs by `by`. `present` returns the number of members of a gang's run that are
    /// on workers that are up.
    /// Returns what ended.
    pub fn advance(
        &mut self,
        now: Time,
        by: u64,
        present: impl Fn(&TaskId, Run) -> u32,
    ) -> Vec<(String, EndKind)> {
        let lapsed = self.clock(now) > self.lease;
        let mut ended = Vec::new();
        for (task, run) in &mut self.running {
            let members = if run.step.gang { present(task, run.run) } else { run.step.count };
            let is_whole = members >= run.step.count;
            run.formed |= is_whole;
            let kind = match &run.fate {
                _ if lapsed => Some(EndKind::Lapsed),
                _ if run.stop_at.is_some_and(|at| now >= at) => Some(EndKind::Stopped),
                _ if run.formed && !is_whole => Some(EndKind::Broken),
                _ if !run.formed && now >= run.since + GANG_WAIT => Some(EndKind::Alone),
                fate if fate.fails_at.is_some_and(|at| run.work >= at) => Some(EndKind::Failed),
                fate if !run.step.long_running && run.work >= fate.done_at => Some(EndKind::Done),
                _ => None,
            };
            ended.extend(kind.map(|kind| (*task, kind)));
            let is_stalled = run.fate.stalls_at.is_some_and(|at| run.work >= at);
            if run.formed && !is_stalled {
                run.work += by * u64::from(run.pace) / 100;
            }
        }
        for (task, kind) in ended.iter().copied() {
            let Some(live) = self.running.remove(&task) else { continue };
            let (run, checkpoint) = (live.run, live.checkpoint());
            self.highest.insert(task, run);
            self.ends.push(End { number: self.next_end, task, run, kind, checkpoint });
            self.next_end += 1;
        }
        ended.into_iter().map(|(task, kind)| (task.to_string(), kind)).collect()
    }
}
