//! The owner of a cell: placement, reports, memory and journal.

use std::time::{Duration, Instant};

use bytes::Bytes;
use peridotfold_core::cell::{Cell, CellSettings, CellState, Event, JobSpec, Limits};
use peridotfold_core::message::announce::AgentState;
use peridotfold_core::message::report::{AttemptId, Report, RunningTask, Token};
use peridotfold_core::resources::Resources;
use peridotfold_core::time::Time;

use super::{encoded, grown, mean, SIZES, TASKS_PER_VM};

const NEED: Resources = Resources::new(500, 1_000, 0);
const ACCELERATED: Resources = Resources::new(500, 1_000, 1);
const ROUNDS: u32 = 40;
const REPORTS: usize = 20_000;

/// Prints the tables of a cell's owner.
///
/// # Errors
///
/// Fails when a measurement cannot be taken.
pub fn run() -> eyre::Result<()> {
    println!(
        "cell owner: workers, placement us (plain, with accelerator), report and answer us, tasks"
    );
    for workers in SIZES {
        let plain = micros(placement(workers, NEED));
        let accelerated = micros(placement(workers, ACCELERATED));
        let (report, tasks) = reports(workers);
        let report = micros(report);
        println!("{workers:>8} {plain:>8.2} {accelerated:>8.2} {report:>10.2} {tasks:>8.1}");
    }
    let workers = 450;
    let (full, bytes) = grown(workers, || loaded(workers).0);
    drop(full);
    println!("memory of an owner for each worker with {TASKS_PER_VM} tasks: {bytes} bytes");
    let (idle, bytes) = grown(workers, || cell(workers));
    drop(idle);
    println!("memory of an owner for each worker without tasks: {bytes} bytes");
    journal()
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

fn cell(workers: usize) -> Cell {
    let settings = CellSettings { silent: Duration::from_secs(1 << 20), ..CellSettings::default() };
    let rng = fastrand::Rng::with_seed(1);
    let mut cell = Cell::take_over(CellState::default(), 1, settings, Time::ZERO, rng);
    let all = Resources::new(1 << 50, 1 << 50, 1 << 50);
    cell.set_limits(Limits {
        teams: [("team".to_owned(), all)].into(),
        classes: [("rebuild".to_owned(), (all, true))].into(),
    });
    let mut random = fastrand::Rng::with_seed(2);
    for index in 0..workers {
        cell.report(
            Time::from_millis(1),
            &report(index, 1, random.u64(20_000..60_000), Vec::new()),
        );
    }
    cell
}

fn report(index: usize, sequence: u64, free: u64, running: Vec<RunningTask>) -> Report {
    Report {
        agent: format!("vm-{index}"),
        incarnation: 0x1234_5678_9abc_def0,
        echo: 0,
        cell: "central-1".to_owned(),
        rack: format!("rack-{}", index / 3),
        sequence,
        state: AgentState::Ready,
        epoch: 1,
        batch_capacity: Resources::new(60_000, 250_000, 4),
        free: Resources::new(free, 250_000, (index % 4) as u64),
        urgent_free: Resources::new(free, 250_000, (index % 4) as u64),
        running,
        results: Vec::new(),
        pressure_percent: (index % 50) as u32,
    }
}

fn spec(id: String, tasks: u32) -> JobSpec {
    JobSpec {
        id,
        team: "team".to_owned(),
        class: "rebuild".to_owned(),
        tasks,
        need: NEED,
        command: Bytes::from_static(b"rebuild channel=ct1 week=2026-52"),
    }
}

fn commit(cell: &mut Cell) -> Vec<Event> {
    let mut all = Vec::new();
    loop {
        let batch = cell.take_batch();
        if batch.is_empty() {
            return all;
        }
        all.extend(batch);
        cell.confirm_commit();
    }
}

fn placement(workers: usize, need: Resources) -> Duration {
    let mut cell = cell(workers);
    cell.submit(JobSpec { need, ..spec("job".to_owned(), 1_000_000) }, 1);
    let (mut starts, mut spent) = (0, Duration::ZERO);
    for round in 1..=ROUNDS {
        let now = Duration::from_secs(10) + Duration::from_millis(25) * round;
        cell.record_store_contact(now);
        let before = cell.state().jobs["job"].started;
        let begin = Instant::now();
        cell.poll(now);
        spent += begin.elapsed();
        starts += cell.state().jobs["job"].started - before;
        commit(&mut cell);
    }
    spent / starts.max(1) as u32
}

/// A cell in which each worker runs its tasks, with the reports that say so.
fn loaded(workers: usize) -> (Cell, Vec<Report>) {
    let mut cell = cell(workers);
    let jobs = workers * TASKS_PER_VM / 300 + 1;
    for job in 0..jobs {
        cell.submit(spec(format!("rebuild-{job}"), 300), job as u64);
    }
    let mut now = Duration::from_secs(10);
    let mut sequence = 2;
    let mut held: Vec<Vec<RunningTask>> = vec![Vec::new(); workers];
    while held.iter().any(|tasks| tasks.len() < TASKS_PER_VM) && sequence < 200 {
        now += Duration::from_millis(250);
        cell.record_store_contact(now);
        for (index, tasks) in held.iter_mut().enumerate() {
            let room = TASKS_PER_VM.saturating_sub(tasks.len()) as u64 * NEED.cpu_milli;
            let report = report(index, sequence, room, tasks.clone());
            cell.report(now, &report);
            let orders = cell.answer(now, &report.agent, report.incarnation, sequence);
            let starts = orders.map(|orders| orders.starts).unwrap_or_default();
            tasks.extend(starts.into_iter().map(|start| running(start.attempt)));
        }
        cell.poll(now);
        commit(&mut cell);
        sequence += 1;
    }
    let reports =
        held.into_iter().enumerate().map(|(index, tasks)| report(index, sequence, 0, tasks));
    (cell, reports.collect())
}

fn running(attempt: AttemptId) -> RunningTask {
    RunningTask { attempt, measured: NEED, speed_percent: 100 }
}

/// Returns the time of a report with its answer, and the mean number of tasks in one.
fn reports(workers: usize) -> (Duration, f64) {
    let (mut cell, reports) = loaded(workers);
    let now = Duration::from_secs(100);
    cell.record_store_contact(now);
    let base = reports[0].sequence;
    let tasks: usize = reports.iter().map(|report| report.running.len()).sum();
    let time = mean(REPORTS, |number| {
        let mut report = reports[number % workers].clone();
        report.sequence = base + (number / workers) as u64;
        cell.report(now, &report);
        let orders = cell.answer(now, &report.agent, report.incarnation, report.sequence);
        std::hint::black_box(orders);
    });
    (time, tasks as f64 / workers as f64)
}

fn journal() -> eyre::Result<()> {
    let attempt = AttemptId {
        job: "rebuild-ct1-2026-w52".to_owned(),
        task: 117,
        token: Token { epoch: 12, number: 1_234_567 },
    };
    let started = Event::Started { attempt: attempt.clone(), agent: "vm-12345".to_owned() };
    println!("journal bytes of a start: {}", encoded(&started)?);
    println!("journal bytes of a completion: {}", encoded(&Event::Completed { attempt })?);
    let workers = 450;
    let (cell, reports) = loaded(workers);
    let tasks: usize = reports.iter().map(|report| report.running.len()).sum();
    let snapshot = encoded(cell.state())?;
    println!("snapshot of a cell with {workers} workers, {tasks} tasks: {snapshot} bytes");
    println!("report with {} tasks: {} bytes", reports[0].running.len(), encoded(&reports[0])?);
    let empty = report(0, 1, 0, Vec::new());
    println!("report without tasks: {} bytes", encoded(&empty)?);
    let orders = peridotfold_core::message::report::Orders::default();
    println!("answer without orders: {} bytes", encoded(&orders)?);
    Ok(())
}
