//! Colocation policy beside baselines, through a closing.
//!
//! The cores of the owner, the agents and the controllers run as they are; workers and services
//! are fakes at the interface. A reference without batch work gives the latency of the service.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

mod policy;
mod scenario;
mod simulation;
mod worker;

use policy::Policy;
use scenario::{Scenario, DEPLOYMENTS};
use simulation::Outcome;

const SEEDS: u64 = 12;
const THREADS: usize = 4;

/// Runs the measurement and prints its table.
///
/// # Errors
///
/// Fails when a run ended with a panic.
pub fn run() -> eyre::Result<()> {
    println!("seeds={SEEDS} vms={} closing={:?}", scenario::VMS, scenario::CLOSING);
    println!("| deployment | policy | service p99 | batch work | evictions | by control | reversals/VM-h | urgent p99 (s) |");
    println!("|---|---|---|---|---|---|---|---|");
    for (index, deployment) in DEPLOYMENTS.iter().enumerate() {
        let cases: Vec<(u64, Policy)> =
            (0..SEEDS).flat_map(|seed| Policy::ALL.map(|policy| (seed, policy))).collect();
        let next = AtomicUsize::new(0);
        let outcomes = Mutex::new(Vec::new());
        std::thread::scope(|scope| {
            for _ in 0..THREADS {
                scope.spawn(|| {
                    while let Some((seed, policy)) = cases.get(next.fetch_add(1, Ordering::Relaxed))
                    {
                        let seed = seed + 1_000 * index as u64;
                        let scenario = Scenario::new(*deployment, seed);
                        let outcome = simulation::run(&scenario, *policy, seed);
                        if let Ok(mut outcomes) = outcomes.lock() {
                            outcomes.push(((*policy, seed), outcome));
                        }
                    }
                });
            }
        });
        let mut outcomes = outcomes.into_inner().map_err(|_| eyre::eyre!("a run panicked"))?;
        outcomes.sort_by_key(|(case, _)| *case);
        print_rows(deployment.name, &outcomes);
    }
    Ok(())
}

fn print_rows(deployment: &str, outcomes: &[((Policy, u64), Outcome)]) {
    let of = |policy: Policy| {
        let runs = outcomes.iter().filter(move |((other, _), _)| *other == policy);
        runs.map(|(_, outcome)| outcome)
    };
    for policy in Policy::ALL {
        let column = |value: fn(&Outcome) -> f64| of(policy).map(value).collect::<Vec<f64>>();
        let relative = |value: fn(&Outcome) -> f64, to: Policy| -> Vec<f64> {
            of(policy).zip(of(to)).map(|(one, other)| value(one) / value(other)).collect()
        };
        println!(
            "| {deployment} | {} | {} | {} | {} | {} | {} | {} |",
            policy.name(),
            cell(&relative(|run| run.p99, Policy::NoBatch)),
            cell(&relative(|run| run.work, Policy::NoControl)),
            cell(&column(|run| run.evictions)),
            cell(&column(|run| run.control_evictions)),
            cell(&column(|run| run.reversals)),
            cell(&column(|run| run.urgent_p99)),
        );
    }
}

/// Formats mean, standard deviation and the largest value.
fn cell(values: &[f64]) -> String {
    let count = values.len().max(1) as f64;
    let mean = values.iter().sum::<f64>() / count;
    let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / count;
    let largest = values.iter().copied().fold(0.0, f64::max);
    format!("{mean:.2} ± {:.2} (max {largest:.2})", variance.sqrt())
}
