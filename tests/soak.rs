//! The hosted roles as real processes under faults from outside, by seed.

use std::path::PathBuf;
use std::time::Duration;

use peridotfold_soak::cluster::Size;
use peridotfold_soak::run::{play, Plant, Report, Soak, PLANTS};
use peridotfold_wire::runtime;

const THREADS: usize = 2;

fn soak(seed: u64, dir: PathBuf) -> Soak {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_peridotfold"));
    Soak { length: Duration::from_secs(8), jobs: 30, faults: 6, ..Soak::usual(program, dir, seed) }
}

fn small(plant: Plant, dir: PathBuf) -> Soak {
    Soak {
        size: Size { entries: 1, workers: 1, evacuation: None },
        length: Duration::from_secs(4),
        jobs: 0,
        faults: 0,
        settle: Duration::from_secs(3),
        plant,
        ..soak(1, dir)
    }
}

/// Rule under which a planted fault has to be reported.
fn rule(plant: Plant) -> &'static str {
    match plant {
        Plant::None => "none",
        Plant::SecondRun | Plant::RunAfterEnd => "TWICE",
        Plant::Stranger | Plant::AfterCancel => "UNASKED",
        Plant::AfterRefusal => "REFUSED",
        Plant::TooEarly => "ORDER",
        Plant::Overload => "LIMIT",
        Plant::OverBudget => "BUDGET",
        Plant::Forgotten | Plant::Stuck => "LOST",
        Plant::FalseEnd => "MIXED",
        Plant::OwnEnd => "OWN END",
        Plant::HiddenRoute => "CONFIG",
        Plant::InEvacuatedZone => "EVACUATED",
        Plant::OverMemory => "MEMORY",
    }
}

/// Guards against a promise that is broken while processes, links, storage and workers fail in series
/// and overlapping. Longer runs: `cargo run -p peridotfold-soak -- --seeds 50`.
#[test]
fn a_short_seeded_soak_keeps_every_promise() {
    let dir = tempfile::tempdir().expect("a directory");
    let soak = soak(11, dir.path().to_owned());
    let report: Report = runtime::run(THREADS, play(soak)).expect("the soak is set up");
    let logs = if report.broken.is_empty() { PathBuf::new() } else { dir.keep() };
    assert!(report.broken.is_empty(), "{report:#?}, logs: {}", logs.display());
    assert!(report.starts > 0, "{report:#?}");
}

/// Guards against a soak that would not see a broken promise.
#[test]
fn each_planted_fault_is_seen() {
    let dir = tempfile::tempdir().expect("a directory");
    let seen: Vec<(Plant, Vec<String>)> = runtime::run(THREADS, async {
        let playing = PLANTS.iter().chain(&[Plant::None]).map(|plant| {
            let dir = dir.path().join(format!("{plant:?}"));
            std::fs::create_dir(&dir).expect("a directory");
            (*plant, runtime::spawn(play(small(*plant, dir))))
        });
        let mut seen = Vec::new();
        for (plant, task) in playing.collect::<Vec<_>>() {
            seen.push((plant, task.await.expect("the soak is set up").broken));
        }
        seen
    });
    for (plant, broken) in seen {
        let is_seen = broken.iter().any(|line| line.starts_with(rule(plant)));
        assert_eq!(is_seen, plant != Plant::None, "{plant:?}: {broken:?}");
        assert!(plant != Plant::None || broken.is_empty(), "{broken:?}");
    }
}
