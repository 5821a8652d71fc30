//! Request policy beside baselines, under overload and failures.
//!
//! Drives the routing and admission cores on virtual time. Only the choice of an upstream differs
//! between the policies: membership, admission, deadlines and the retry budget are the same.

mod choice;
mod instance;
mod report;
mod scenario;
mod simulation;

use std::thread;

use choice::Policy;
use report::Report;
use scenario::Scenario;
use simulation::Simulation;

const SEEDS: u64 = 5;

/// Runs the measurement and prints its table.
///
/// # Errors
///
/// Fails when a run of the simulation panics.
pub fn run() -> eyre::Result<()> {
    println!("{}", Report::header());
    for scenario in Scenario::ALL {
        let mut rows = Vec::new();
        for policy in Policy::ALL {
            rows.push((policy, measure(scenario, policy)?));
        }
        for (policy, report) in rows {
            println!("{}", report.row(scenario.name(), policy.name()));
        }
    }
    Ok(())
}

/// Merges the runs with all seeds.
fn measure(scenario: Scenario, policy: Policy) -> eyre::Result<Report> {
    let runs: Vec<_> = (0..SEEDS)
        .map(|seed| thread::spawn(move || Simulation::new(scenario, policy, seed).run()))
        .collect();
    let mut total = Report::default();
    for run in runs {
        let report = run.join().map_err(|_| eyre::eyre!("a simulation panicked"))?;
        total.add(report);
    }
    Ok(total)
}
