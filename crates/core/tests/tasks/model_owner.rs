//! Model of a cell owner that keeps the rules of `docs/design.md` 3.8 and nothing more.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use fastrand::Rng;
use peridotfold_core::message::report::{
    AttemptId, Orders, Outcome, Report, StartOrder, StopOrder, Token,
};
use peridotfold_core::resources::Resources;
use peridotfold_core::time::lease_wait;

pub const LEASE: Duration = Duration::from_secs(4);

#[derive(Debug)]
pub enum State {
    Queued,
    Assigned {
        vm: usize,
        token: Token,
        /// Report that the start order answered.
        incarnation: u64,
        sequence: u64,
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
    number: u64,
    pub tasks: Vec<OwnedTask>,
    /// Last report of each VM: incarnation and sequence.
    seen: BTreeMap<usize, (u64, u64)>,
    /// Latest time, on the world's clock, to which any reply granted a lease on an attempt.
    pub granted_until: BTreeMap<AttemptId, Duration>,
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
            number: 0,
            tasks: (0..tasks).map(|_| task(rng)).collect(),
            seen: BTreeMap::new(),
            granted_until: BTreeMap::new(),
            evictions: 0,
        }
    }

    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| matches!(task.state, State::Completed))
    }

    /// A new owner takes the cell over after a clean release. It does not know when its
    /// predecessor replied last.
    pub fn take_over(&mut self, now: Duration) {
        self.epoch += 1;
        self.seen.clear();
        for task in &mut self.tasks {
            if let State::Assigned { granted_at, .. } = &mut task.state {
                *granted_at = now;
            }
        }
    }

    /// Gives up attempts that nobody can have renewed since.
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

    /// Answers a report that was sent at `sent_at`.
    pub fn handle(
        &mut self,
        now: Duration,
        vm: usize,
        sent_at: Duration,
        report: &Report,
        rng: &mut Rng,
    ) -> Option<Orders> {
        if !self.accept(vm, report) {
            return None;
        }
        for result in &report.results {
            self.take_result(&result.attempt, &result.outcome);
        }
        self.take_absent(vm, report);
        let mut orders = Orders {
            epoch: self.epoch,
            sequence: report.sequence,
            lease: LEASE,
            acknowledged: report.results.iter().map(|result| result.attempt.clone()).collect(),
            ..Orders::default()
        };
        self.take_running(now, vm, sent_at, report, rng, &mut orders);
        self.place(now, vm, sent_at, report, rng, &mut orders);
        Some(orders)
    }

    fn accept(&mut self, vm: usize, report: &Report) -> bool {
        // Here incarnations rise. A late report of a killed agent must not pass for its successor's.
        let key = (report.incarnation, report.sequence);
        let newer = self.seen.get(&vm).is_none_or(|last| *last < key);
        if newer {
            self.seen.insert(vm, key);
        }
        newer
    }

    fn take_result(&mut self, id: &AttemptId, outcome: &Outcome) {
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

    /// An attempt that a later report does not contain is gone.
    fn take_absent(&mut self, vm: usize, report: &Report) {
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

    fn take_running(
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

    /// Orders a start that was ordered before, and one with an older token.
    fn repeat_start(&mut self, id: &AttemptId, sent_at: Duration, orders: &mut Orders) {
        self.grant(id, sent_at);
        orders.starts.push(self.start_order(id.clone()));
        let token = Token { epoch: 0, number: id.token.number };
        orders.starts.push(self.start_order(AttemptId { token, ..id.clone() }));
    }

    fn grant(&mut self, id: &AttemptId, sent_at: Duration) {
        let until = self.granted_until.entry(id.clone()).or_default();
        *until = (*until).max(sent_at + LEASE);
    }

    fn place(
        &mut self,
        now: Duration,
        vm: usize,
        sent_at: Duration,
        report: &Report,
        rng: &mut Rng,
        orders: &mut Orders,
    ) {
        for index in 0..self.tasks.len() {
            // Ignores the free capacity, so that the agent has to.
            let queued = matches!(self.tasks[index].state, State::Queued);
            if !queued || rng.u8(..100) >= 40 {
                continue;
            }
            self.number += 1;
            let token = Token { epoch: self.epoch, number: self.number };
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
