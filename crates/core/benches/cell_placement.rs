//! Time of one placement decision by the number of workers in a cell. The target is 20 us at
//! 27,000 workers, with a flat or logarithmic slope.

use std::time::{Duration, Instant};

use bytes::Bytes;
use peridotfold_core::cell::{Cell, CellSettings, CellState, JobSpec, Limits};
use peridotfold_core::message::announce::AgentState;
use peridotfold_core::message::report::Report;
use peridotfold_core::resources::Resources;

const ROUNDS: usize = 40;

fn report(index: usize, free: u64) -> Report {
    let free = Resources::new(free, 250_000, (index % 4) as u64);
    Report {
        agent: format!("vm-{index}"),
        incarnation: 1,
        echo: 0,
        cell: "cell".to_owned(),
        rack: format!("rack-{}", index / 3),
        sequence: 1,
        state: AgentState::Ready,
        epoch: 1,
        batch_capacity: Resources::new(60_000, 250_000, 4),
        free,
        running: Vec::new(),
        results: Vec::new(),
        pressure_percent: (index % 50) as u32,
    }
}

fn cell(workers: usize) -> Cell {
    let settings = CellSettings { silent: Duration::from_secs(1 << 20), ..CellSettings::default() };
    let rng = fastrand::Rng::with_seed(1);
    let mut cell = Cell::take_over(CellState::default(), 1, settings, Duration::ZERO, rng);
    let all = Resources::new(1 << 50, 1 << 50, 1 << 50);
    cell.set_limits(Limits {
        teams: [("team".to_owned(), all)].into(),
        classes: [("urgent".to_owned(), (all, true)), ("normal".to_owned(), (all, false))].into(),
    });
    let mut rng = fastrand::Rng::with_seed(2);
    for index in 0..workers {
        cell.report(Duration::from_millis(1), &report(index, rng.u64(20_000..60_000)));
    }
    cell
}

/// Returns the time of one start.
fn measure(workers: usize, class: &str, need: Resources) -> Duration {
    let mut cell = cell(workers);
    let spec = JobSpec {
        id: "job".to_owned(),
        team: "team".to_owned(),
        class: class.to_owned(),
        tasks: 1_000_000,
        need,
        command: Bytes::new(),
    };
    cell.submit(spec, 1);
    let (mut starts, mut spent) = (0, Duration::ZERO);
    for round in 1..=ROUNDS {
        let now = Duration::from_secs(10) + Duration::from_millis(25) * round as u32;
        cell.note_store(now);
        let before = cell.state().jobs["job"].started;
        let begin = Instant::now();
        cell.poll(now);
        spent += begin.elapsed();
        starts += cell.state().jobs["job"].started - before;
        while !cell.take_batch().is_empty() {
            cell.note_commit();
        }
    }
    spent / (starts as u32).max(1)
}

fn main() {
    let plain = Resources::new(500, 1_000, 0);
    let accelerated = Resources::new(500, 1_000, 1);
    for workers in [450, 4_500, 27_000] {
        for (name, class, need) in [
            ("normal", "normal", plain),
            ("urgent", "urgent", plain),
            ("accelerated", "normal", accelerated),
        ] {
            let time = measure(workers, class, need);
            println!("workers={workers} kind={name} placement={time:?}");
        }
    }
}
