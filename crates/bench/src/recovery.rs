//! Time until all jobs run again after losses.
//!
//! The owner core of each cell runs on virtual time against fake workers, with the message periods
//! of the agent and the commit limits of the entry. All times in the table are virtual.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use eyre::ensure;
use fastrand::Rng;
use peridotfold_core::cell::{
    Cell, CellSettings, CellState, Effect, Event, JobSpec, Limits, ReportStatus, SubmitReply,
};
use peridotfold_core::message::announce::AgentState;
use peridotfold_core::message::report::{
    AttemptId, Orders, Outcome, Report, RunningTask, TaskResult,
};
use peridotfold_core::resources::Resources;
use peridotfold_core::time::Time;

/// Sizes of the fleet. The targets are stated for 1,000 workers and 10,000 jobs.
const FLEETS: [usize; 3] = [250, 1_000, 4_000];
const JOBS_PER_WORKER: usize = 10;
const WORKERS_PER_CELL: usize = 450;
const WORKERS_PER_RACK: usize = 3;
/// Room for 20 jobs on each worker: after the loss of a third, three quarters are taken.
const CAPACITY: Resources = Resources::new(50_000, 200_000, 0);
const NEED: Resources = Resources::new(2_500, 8_000, 0);
/// Retries per first try that are allowed, from the design's targets.
const AMPLIFICATION: f64 = 1.1;
/// End of a scenario in which some job does not run again.
const LIMIT: Duration = Duration::from_secs(300);
const OUTAGE: Duration = Duration::from_secs(60);

// The periods of the agent and of the entry.
const REPORT_PAUSE: Duration = Duration::from_millis(100);
const REPORT_PAUSE_ORDERS: Duration = Duration::from_millis(20);
const REPORT_TIMEOUT: Duration = Duration::from_secs(3);
const HOLD_REPORT: Duration = Duration::from_secs(1);
const OWNER_POLL: Duration = Duration::from_millis(25);
const COMMIT_RATE: f64 = 2.0;
const COMMIT_GAP: Duration = Duration::from_millis(250);
const COMMIT_RETRY: Duration = Duration::from_millis(500);
const CHECK_OWNER: Duration = Duration::from_secs(2);
const LOG_LIMIT: usize = 32 * 1024;

enum Input {
    Send { worker: usize, incarnation: u64, sequence: u64 },
    Report { cell: usize, report: Box<Report> },
    Release { cell: usize, worker: usize, incarnation: u64, sequence: u64 },
    Orders { worker: usize, incarnation: u64, orders: Box<Orders> },
    Poll(usize),
    Committed(usize),
    CheckOwner(usize),
}

/// A cell with its owner and its journal.
struct Owner {
    cell: Cell,
    busy: bool,
    /// Commits that may be sent now, as in the entry, and when that was computed.
    allowance: f64,
    computed: Time,
    next_commit: Time,
    log_bytes: usize,
    /// Starts in the batch that is being committed.
    sent_starts: u64,
    held: BTreeMap<usize, (u64, u64)>,
}

struct Worker {
    alive: bool,
    cell: usize,
    incarnation: u64,
    sequence: u64,
    challenge: u64,
    epoch: u64,
    sent: Time,
    lease_until: Time,
    running: BTreeSet<AttemptId>,
    results: Vec<TaskResult>,
}

struct Fleet {
    now: Time,
    rng: Rng,
    inputs: BTreeMap<(Time, u64), Input>,
    count: u64,
    owners: Vec<Owner>,
    workers: Vec<Worker>,
    jobs: usize,
    /// Number of live attempts of each job, and of jobs that have one.
    live: BTreeMap<String, u32>,
    running_jobs: usize,
    /// Last time at which some job did not run.
    incomplete: Time,
    down_until: Time,
    /// Store calls in each second.
    calls: BTreeMap<u64, u64>,
    started: u64,
}

/// What one loss caused.
struct Measured {
    lost: usize,
    starts: u64,
    recovered: Option<Duration>,
    peak_calls: u64,
}

impl Fleet {
    fn new(workers: usize) -> Self {
        let mut rng = Rng::with_seed(workers as u64);
        let cells = workers.div_ceil(WORKERS_PER_CELL);
        let owners = (0..cells).map(|_| Owner::new(rng.fork())).collect();
        let mut fleet = Fleet {
            now: Time::ZERO,
            rng,
            inputs: BTreeMap::new(),
            count: 0,
            owners,
            workers: Vec::new(),
            jobs: workers * JOBS_PER_WORKER,
            live: BTreeMap::new(),
            running_jobs: 0,
            incomplete: Time::ZERO,
            down_until: Time::ZERO,
            calls: BTreeMap::new(),
            started: 0,
        };
        for worker in 0..workers {
            let cell = worker / WORKERS_PER_RACK % cells;
            fleet.workers.push(Worker::new(cell));
            fleet.boot(worker);
        }
        for cell in 0..cells {
            fleet.after(OWNER_POLL, Input::Poll(cell));
            fleet.after(CHECK_OWNER, Input::CheckOwner(cell));
        }
        fleet
    }

    fn after(&mut self, delay: Duration, input: Input) {
        self.count += 1;
        self.inputs.insert((self.now + delay, self.count), input);
    }

    /// Time of a message on its way, within a data centre.
    fn way(&mut self) -> Duration {
        Duration::from_micros(self.rng.u64(300..1_500))
    }

    fn submit_all(&mut self) -> eyre::Result<()> {
        for index in 0..self.jobs {
            let spec = JobSpec {
                id: format!("job-{index}"),
                team: "team".to_owned(),
                class: "normal".to_owned(),
                tasks: 1,
                need: NEED,
                command: Bytes::from_static(b"rebuild"),
            };
            let cell = index % self.owners.len();
            let reply = self.owners[cell].cell.submit(spec, 0);
            ensure!(reply == SubmitReply::Created, "job {index} is not accepted: {reply:?}");
        }
        Ok(())
    }

    fn boot(&mut self, worker: usize) {
        let incarnation = self.rng.u64(1..);
        let fresh = Worker::new(self.workers[worker].cell);
        self.workers[worker] = Worker { alive: true, incarnation, ..fresh };
        let delay = Duration::from_millis(self.rng.u64(0..1_000));
        self.after(delay, Input::Send { worker, incarnation, sequence: 0 });
    }

    /// The machine is gone, with all that runs there.
    fn lose(&mut self, worker: usize) -> usize {
        let running = std::mem::take(&mut self.workers[worker].running);
        self.workers[worker].alive = false;
        running.iter().for_each(|id| self.note_end(id));
        running.len()
    }

    fn note_begin(&mut self, id: &AttemptId) {
        let live = self.live.entry(id.job.clone()).or_default();
        *live += 1;
        self.running_jobs += usize::from(*live == 1);
        self.incomplete = self.now;
    }

    fn note_end(&mut self, id: &AttemptId) {
        if let Some(live) = self.live.get_mut(&id.job) {
            *live -= 1;
            self.running_jobs -= usize::from(*live == 0);
        }
    }

    /// Lets time pass until all jobs run; returns when that was.
    fn run_until_all_run(&mut self, from: Time) -> Option<Duration> {
        while self.running_jobs < self.jobs {
            if self.now > from + LIMIT || !self.step() {
                return None;
            }
        }
        Some(self.incomplete.saturating_sub(from))
    }

    fn run_until(&mut self, until: Time) {
        while self.now < until && self.step() {}
    }

    fn step(&mut self) -> bool {
        let Some(((at, _), input)) = self.inputs.pop_first() else { return false };
        self.now = at;
        match input {
            Input::Send { worker, incarnation, sequence } => {
                self.send(worker, incarnation, sequence);
            }
            Input::Report { cell, report } => self.report(cell, &report),
            Input::Release { cell, worker, incarnation, sequence } => {
                if self.owners[cell].held.get(&worker) == Some(&(incarnation, sequence)) {
                    self.answer(cell, worker);
                }
            }
            Input::Orders { worker, incarnation, orders } => {
                self.obey(worker, incarnation, *orders)
            }
            Input::Poll(cell) => self.poll(cell),
            Input::Committed(cell) => self.committed(cell),
            Input::CheckOwner(cell) => {
                self.note_calls(1);
                if self.now >= self.down_until {
                    let now = self.now;
                    self.owners[cell].cell.record_store_contact(now);
                }
                self.after(CHECK_OWNER, Input::CheckOwner(cell));
            }
        }
        true
    }

    fn note_calls(&mut self, calls: u64) {
        *self.calls.entry(self.now.as_secs()).or_default() += calls;
    }

    fn send(&mut self, index: usize, incarnation: u64, sequence: u64) {
        let now = self.now;
        let worker = &mut self.workers[index];
        if !worker.alive || (worker.incarnation, worker.sequence) != (incarnation, sequence) {
            return;
        }
        let expired = match worker.lease_until < now {
            true => std::mem::take(&mut worker.running),
            false => BTreeSet::new(),
        };
        worker.results.extend(expired.iter().map(|id| TaskResult {
            attempt: id.clone(),
            outcome: Outcome::Evicted { checkpoint: None },
        }));
        worker.sequence += 1;
        worker.sent = now;
        let (cell, report) = (worker.cell, Box::new(worker.report(index)));
        let sequence = worker.sequence;
        expired.iter().for_each(|id| self.note_end(id));
        let way = self.way();
        self.after(way, Input::Report { cell, report });
        self.after(REPORT_TIMEOUT, Input::Send { worker: index, incarnation, sequence });
    }

    fn report(&mut self, cell: usize, report: &Report) {
        let Some(worker) = worker_index(&report.agent) else { return };
        let now = self.now;
        let owner = &mut self.owners[cell];
        if owner.cell.report(now, report) != ReportStatus::Accepted {
            return;
        }
        let (incarnation, sequence) = (report.incarnation, report.sequence);
        owner.held.insert(worker, (incarnation, sequence));
        match owner.cell.has_orders(now, &report.agent) {
            true => self.answer(cell, worker),
            false => {
                self.after(HOLD_REPORT, Input::Release { cell, worker, incarnation, sequence });
            }
        }
    }

    fn answer(&mut self, cell: usize, worker: usize) {
        let now = self.now;
        let owner = &mut self.owners[cell];
        let Some((incarnation, sequence)) = owner.held.remove(&worker) else { return };
        let answer = owner.cell.answer(now, &agent_id(worker), incarnation, sequence);
        if let Some(orders) = answer.map(Box::new) {
            let way = self.way();
            self.after(way, Input::Orders { worker, incarnation, orders });
        }
    }

    fn obey(&mut self, index: usize, incarnation: u64, orders: Orders) {
        let worker = &mut self.workers[index];
        let awaited = worker.incarnation == incarnation && worker.sequence == orders.sequence;
        if !worker.alive || !awaited {
            return;
        }
        let busy = !orders.starts.is_empty() || !orders.acknowledged.is_empty();
        let begun = worker.obey(orders);
        let sequence = worker.sequence;
        begun.iter().for_each(|id| self.note_begin(id));
        let pause = if busy { REPORT_PAUSE_ORDERS } else { REPORT_PAUSE };
        self.after(pause, Input::Send { worker: index, incarnation, sequence });
    }

    fn poll(&mut self, cell: usize) {
        let now = self.now;
        let owner = &mut self.owners[cell];
        owner.cell.poll(now);
        let batch = owner.take_batch(now);
        self.after(OWNER_POLL, Input::Poll(cell));
        if !batch.is_empty() {
            let owner = &mut self.owners[cell];
            owner.log_bytes += batch.iter().map(Event::encoded_size).sum::<usize>();
            // A full log is cleared after its snapshot is written.
            let rotates = owner.log_bytes > LOG_LIMIT;
            if rotates {
                owner.log_bytes = 0;
            }
            let starts = batch.iter().filter(|event| matches!(event, Event::Started { .. }));
            owner.sent_starts = starts.count() as u64;
            self.note_calls(if rotates { 3 } else { 1 });
            let latency = Duration::from_millis(self.rng.u64(2..8));
            self.after(latency, Input::Committed(cell));
        }
        self.wake(cell);
    }

    fn committed(&mut self, cell: usize) {
        let (now, down) = (self.now, self.now < self.down_until);
        let owner = &mut self.owners[cell];
        owner.busy = false;
        if down {
            owner.next_commit = now + COMMIT_RETRY;
            return;
        }
        owner.next_commit = now + COMMIT_GAP;
        owner.cell.record_store_contact(now);
        owner.cell.confirm_commit();
        self.started += owner.sent_starts;
        self.wake(cell);
    }

    fn wake(&mut self, cell: usize) {
        for effect in self.owners[cell].cell.take_effects() {
            let Effect::Wake(agent) = effect else { continue };
            let Some(worker) = worker_index(&agent) else { continue };
            let owner = &self.owners[cell];
            if owner.held.contains_key(&worker) && owner.cell.has_orders(self.now, &agent) {
                self.answer(cell, worker);
            }
        }
    }

    /// Brings a loss about and measures the recovery. Time counts from the loss.
    fn measure(&mut self, lost: &[usize], outage: Duration) -> Measured {
        let (start, started) = (self.now, self.started);
        self.down_until = start + outage;
        let tasks = lost.iter().map(|worker| self.lose(*worker)).sum();
        self.run_until(self.down_until);
        let recovered = self.run_until_all_run(start);
        let peak = self.calls.range(start.as_secs()..).map(|(_, calls)| *calls).max();
        let starts = self.started - started;
        // The lost machines are replaced before the next loss.
        lost.iter().for_each(|worker| self.boot(*worker));
        self.run_until(self.now + Duration::from_secs(30));
        Measured { lost: tasks, starts, recovered, peak_calls: peak.unwrap_or(0) }
    }

    fn racks(&self, chosen: impl Fn(usize) -> bool) -> Vec<usize> {
        (0..self.workers.len()).filter(|worker| chosen(worker / WORKERS_PER_RACK)).collect()
    }
}

impl Owner {
    fn new(rng: Rng) -> Self {
        let settings = CellSettings::default();
        let mut cell = Cell::take_over(CellState::default(), 1, settings, Time::ZERO, rng);
        let all = Resources::new(1 << 50, 1 << 50, 1 << 50);
        cell.set_limits(Limits {
            teams: [("team".to_owned(), all)].into(),
            classes: [("normal".to_owned(), (all, false))].into(),
        });
        Owner {
            cell,
            busy: false,
            allowance: COMMIT_RATE,
            computed: Time::ZERO,
            next_commit: Time::ZERO,
            log_bytes: 0,
            sent_starts: 0,
            held: BTreeMap::new(),
        }
    }

    /// Returns the batch to send now, within the commit rate.
    fn take_batch(&mut self, now: Time) -> Vec<Event> {
        let elapsed = now.saturating_sub(self.computed).as_secs_f64();
        self.allowance = (self.allowance + elapsed * COMMIT_RATE).min(COMMIT_RATE);
        self.computed = now;
        if self.busy || self.allowance < 1.0 || now < self.next_commit {
            return Vec::new();
        }
        let batch = self.cell.take_batch();
        if !batch.is_empty() {
            self.busy = true;
            self.allowance -= 1.0;
        }
        batch
    }
}

impl Worker {
    fn new(cell: usize) -> Self {
        Worker {
            alive: false,
            cell,
            incarnation: 0,
            sequence: 0,
            challenge: 0,
            epoch: 0,
            sent: Time::ZERO,
            lease_until: Time::ZERO,
            running: BTreeSet::new(),
            results: Vec::new(),
        }
    }

    fn free(&self) -> Resources {
        self.running.iter().fold(CAPACITY, |free, _| free.minus(&NEED))
    }

    fn report(&self, index: usize) -> Report {
        let running = self.running.iter().map(|id| RunningTask {
            attempt: id.clone(),
            measured: NEED,
            speed_percent: 100,
        });
        Report {
            agent: agent_id(index),
            incarnation: self.incarnation,
            echo: self.challenge,
            cell: format!("cell-{}", self.cell),
            rack: format!("rack-{}", index / WORKERS_PER_RACK),
            sequence: self.sequence,
            state: AgentState::Ready,
            epoch: self.epoch,
            batch_capacity: CAPACITY,
            free: self.free(),
            urgent_free: self.free(),
            running: running.collect(),
            results: self.results.clone(),
            pressure_percent: 0,
        }
    }

    /// Returns the attempts that begin.
    fn obey(&mut self, orders: Orders) -> Vec<AttemptId> {
        self.epoch = self.epoch.max(orders.epoch);
        if orders.challenge != 0 {
            self.challenge = orders.challenge;
        }
        if !orders.lease.is_zero() {
            self.lease_until = self.lease_until.max(self.sent + orders.lease);
        }
        self.results.retain(|result| !orders.acknowledged.contains(&result.attempt));
        let mut begun = Vec::new();
        for start in orders.starts {
            let id = start.attempt;
            let known = self.running.contains(&id)
                || self.results.iter().any(|result| result.attempt == id);
            if known {
                continue;
            }
            if start.need.fits_in(&self.free()) {
                self.running.insert(id.clone());
                begun.push(id);
            } else {
                let outcome = Outcome::Refused { reason: "no room".to_owned() };
                self.results.push(TaskResult { attempt: id, outcome });
            }
        }
        begun
    }
}

fn agent_id(worker: usize) -> String {
    format!("vm-{worker}")
}

fn worker_index(agent: &str) -> Option<usize> {
    agent.strip_prefix("vm-")?.parse().ok()
}

fn print_row(workers: usize, loss: &str, measured: &Measured) {
    let Measured { lost, starts, recovered, peak_calls } = measured;
    let seconds = recovered.map_or("never".to_owned(), |time| format!("{:.1}", time.as_secs_f64()));
    let tries = match lost {
        0 => "-".to_owned(),
        lost => format!("{:.3}", *starts as f64 / *lost as f64),
    };
    println!("| {workers} | {loss} | {lost} | {seconds} | {peak_calls} | {starts} | {tries} |");
}

/// Runs the measurement and prints its table.
///
/// # Errors
///
/// Fails when jobs do not start, or when a target is missed.
pub fn run() -> eyre::Result<()> {
    println!("| workers | loss | attempts lost | s until all run | store calls/s, peak | starts | starts per attempt lost |");
    println!("|---|---|---|---|---|---|---|");
    let mut missed = Vec::new();
    for workers in FLEETS {
        let mut fleet = Fleet::new(workers);
        fleet.run_until(Duration::from_secs(10));
        fleet.submit_all()?;
        let begin = fleet.now;
        ensure!(fleet.run_until_all_run(begin).is_some(), "not all jobs start");
        fleet.run_until(fleet.now + Duration::from_secs(30));
        let cells = fleet.owners.len();
        // Replaced machines get no work, since no job ends: each loss takes others.
        let rack = fleet.racks(|rack| rack == cells);
        let other_rack = fleet.racks(|rack| rack == 2 * cells);
        let third = fleet.racks(|rack| (rack / cells).is_multiple_of(3));
        let losses = [
            ("rack", rack, Duration::ZERO),
            ("third of the workers", third, Duration::ZERO),
            ("store, 60 s", Vec::new(), OUTAGE),
            ("store, 60 s, and a rack", other_rack, OUTAGE),
        ];
        for (name, lost, outage) in losses {
            let measured = fleet.measure(&lost, outage);
            print_row(workers, name, &measured);
            let tries = measured.starts as f64 / measured.lost.max(1) as f64;
            if tries > AMPLIFICATION || measured.recovered.is_none() {
                missed.push(format!("workers={workers} loss={name}"));
            }
        }
    }
    ensure!(missed.is_empty(), "targets missed: {}", missed.join(", "));
    Ok(())
}
