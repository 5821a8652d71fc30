//! Minimal model of a cell owner that follows only the rules of `docs/design.md` 3.8.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use fastrand::Rng;
use peridotfold_core::message::report::{
    AttemptId, Orders, Outcome, Report, StartOrder, StopOrder, Token,
};
use peridotfold_core::resources::Resources;
use peridotfold_core::time::lease_wait;

/// Lease that each reply grants, counted from the report.
pub const LEASE: Duration = Duration::from_secs(4);

#[derive(Debug)]
pub enum State {
    Queued,
    Assigned {
        vm: usize,
        token: Token,
        /// Incarnation and sequence of the report that the start order answered.
        incarnation: u64,
        sequence: u64,
        /// Time of the last reply that may have granted a lease.
        granted_at: Duration,
    },
    Completed,
}

#[derive(Debug)]
pub struct OwnedTask {
    pub state: State,
    need: Resources,
    command: String,
    checkpoint: Option<Bytes>,
}

pub struct ModelOwner {
    pub epoch: u64,
    last_number: u64,
    pub tasks: Vec<OwnedTask>,
    /// Incarnation and sequence of the last report of each VM.
    last_reports: BTreeMap<usize, (u64, u64)>,
    /// Latest end of the leases granted on each attempt, on the simulation's clock.
    pub granted_until: BTreeMap<AttemptId, Duration>,
    /// Number of attempts that ended as stopped or evicted.
    pub evictions: u64,
}

impl ModelOwner {
    pub fn new(rng: &mut Rng, tasks: usize) -> ModelOwner {
        let task = |rng: &mut Rng| OwnedTask {
            state: State::Queued,
            need: Resources::new(rng.u64(300..2_500), rng.u64(500..8_000), 0),
            command: format!("{} {}", rng.u64(200..12_000), rng.u64(30..200)),
            checkpoint: None,
        };
        ModelOwner {
            epoch: 1,
            last_number: 0,
            tasks: (0..tasks).map(|_| task(rng)).collect(),
            last_reports: BTreeMap::new(),
            granted_until: BTreeMap::new(),
            evictions: 0,
        }
    }

    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| matches!(task.state, State::Completed))
    }

    /// Replaces the owner by a successor after a clean release. The successor does not know when the
    /// former owner last granted leases.
    pub fn take_over(&mut self, now: Duration) {
        self.epoch += 1;
        self.last_reports.clear();
        for task in &mut self.tasks {
            if let State::Assigned { granted_at, .. } = &mut task.state {
                *granted_at = now;
            }
        }
    }

    /// Requeues tasks whose last possible lease has expired.
    pub fn expire(&mut self, now: Duration) {
        for task in &mut self.tasks {
            match task.state {
                State::Assigned { granted_at, .. } if now > granted_at + lease_wait(LEASE) => {
                    task.state = State::Queued;
                }
                _ => {}
            }
        }
    }

    /// Answers a report that was sent at `sent_at`; returns `None` for a duplicate or late report.
    pub fn handle(
        &mut self,
        now: Duration,
        vm: usize,
        sent_at: Duration,
        report: &Report,
        rng: &mut Rng,
    ) -> Option<Orders> {
        if !self.record_report(vm, report) {
            return None;
        }
        for result in &report.results {
            self.apply_result(&result.attempt, &result.outcome);
        }
        self.requeue_absent(vm, report);
        let mut orders = Orders {
            epoch: self.epoch,
            sequence: report.sequence,
            lease: LEASE,
            acknowledged: report.results.iter().map(|result| result.attempt.clone()).collect(),
            ..Orders::default()
        };
        self.answer_running(now, vm, sent_at, report, rng, &mut orders);
        self.start_queued(now, vm, sent_at, report, rng, &mut orders);
        Some(orders)
    }

    /// Records a report; tells whether it is newer than the last one of its VM.
    fn record_report(&mut self, vm: usize, report: &Report) -> bool {
        // Incarnations ascend in this model, so a late report of a killed agent is older.
        let key = (report.incarnation, report.sequence);
        let newer = self.last_reports.get(&vm).is_none_or(|last| *last < key);
        if newer {
            self.last_reports.insert(vm, key);
        }
        newer
    }

    fn apply_result(&mut self, id: &AttemptId, outcome: &Outcome) {
        let task = &mut self.tasks[id.task as usize];
        match task.state {
            State::Assigned { token, .. } if token == id.token => {}
            _ => return,
        }
        task.state = State::Queued;
        match outcome {
            Outcome::Completed => task.state = State::Completed,
            Outcome::Evicted { checkpoint } | Outcome::Stopped { checkpoint } => {
                self.evictions += 1;
                task.checkpoint = checkpoint.clone();
            }
            Outcome::Failed { reason } => panic!("nothing fails here: {reason}"),
            Outcome::Refused { .. } => {}
        }
    }

    /// Requeues tasks whose attempt is missing from a report after the one that ordered the start.
    fn requeue_absent(&mut self, vm: usize, report: &Report) {
        let present: BTreeSet<(u32, Token)> =
            report.running.iter().map(|task| (task.attempt.task, task.attempt.token)).collect();
        for (index, task) in self.tasks.iter_mut().enumerate() {
            match task.state {
                State::Assigned { vm: other, token, incarnation, sequence, .. }
                    if other == vm
                        && !present.contains(&(index as u32, token))
                        && (incarnation, sequence) != (report.incarnation, report.sequence) =>
                {
                    task.state = State::Queued;
                }
                _ => {}
            }
        }
    }

    /// Renews the leases of assigned attempts, repeats some starts, and stops some and all unassigned
    /// attempts.
    fn answer_running(
        &mut self,
        now: Duration,
        vm: usize,
        sent_at: Duration,
        report: &Report,
        rng: &mut Rng,
        orders: &mut Orders,
    ) {
        for running in &report.running {
            let id = &running.attempt;
            match &mut self.tasks[id.task as usize].state {
                State::Assigned { vm: other, token, granted_at, .. }
                    if *other == vm && *token == id.token =>
                {
                    *granted_at = now;
                    match rng.u8(..100) {
                        0..2 => orders
                            .stops
                            .push(StopOrder { attempt: id.clone(), checkpoint: rng.bool() }),
                        2..5 => self.repeat_start(id, sent_at, orders),
                        _ => self.grant(id, sent_at),
                    }
                }
                _ => orders.stops.push(StopOrder { attempt: id.clone(), checkpoint: false }),
            }
        }
    }

    /// Orders the start of an attempt again, and one of the same task with an older token.
    fn repeat_start(&mut self, id: &AttemptId, sent_at: Duration, orders: &mut Orders) {
        self.grant(id, sent_at);
        orders.starts.push(self.start_order(id.clone()));
        let token = Token { epoch: 0, number: id.token.number };
        orders.starts.push(self.start_order(AttemptId { token, ..id.clone() }));
    }

    /// Records the lease that a reply grants on an attempt.
    fn grant(&mut self, id: &AttemptId, sent_at: Duration) {
        let until = self.granted_until.entry(id.clone()).or_default();
        *until = (*until).max(sent_at + LEASE);
    }

    /// Assigns random queued tasks to the VM.
    fn start_queued(
        &mut self,
        now: Duration,
        vm: usize,
        sent_at: Duration,
        report: &Report,
        rng: &mut Rng,
        orders: &mut Orders,
    ) {
        for index in 0..self.tasks.len() {
            // Ignores the free capacity, so that the agent has to refuse starts that do not fit.
            let queued = matches!(self.tasks[index].state, State::Queued);
            if !queued || rng.u8(..100) >= 40 {
                continue;
            }
            self.last_number += 1;
            let token = Token { epoch: self.epoch, number: self.last_number };
            let id = AttemptId { job: "job".into(), task: index as u32, token };
            self.tasks[index].state = State::Assigned {
                vm,
                token,
                incarnation: report.incarnation,
                sequence: report.sequence,
                granted_at: now,
            };
            self.grant(&id, sent_at);
            orders.starts.push(self.start_order(id));
        }
    }

    pub fn start_order(&self, id: AttemptId) -> StartOrder {
        let task = &self.tasks[id.task as usize];
        StartOrder {
            team: "team".into(),
            class: "rebuild".into(),
            need: task.need,
            urgent: false,
            command: Bytes::from(task.command.clone()),
            checkpoint: task.checkpoint.clone(),
            attempt: id,
        }
    }
}
