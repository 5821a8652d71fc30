//! Colocation policy beside baselines, through a closing.
//!
//! The cores of the owner, the agents and the controllers run as they are; workers and services
//! are fakes at the interface. A reference without batch work gives the latency of the service.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

mod ideal;
mod policy;
mod scenario;
mod simulation;
mod worker;

use policy::Policy;
use scenario::{Scenario, DEPLOYMENTS};
use simulation::Outcome;

const SEEDS: u64 = 12;
const THREADS: usize = 4;

/// Runs the measurement and prints its table, and where the work went that was not done. A number
/// of seeds, as an argument, gives a trial without "separate VMs" and "thresholds".
///
/// # Errors
///
/// Fails when a run ended with a panic.
pub fn run(trial: Option<&str>) -> eyre::Result<()> {
    let seeds = trial.map_or(Ok(SEEDS), str::parse)?;
    let skipped = [Policy::Separate, Policy::Thresholds];
    let policies: Vec<Policy> =
        Policy::ALL.into_iter().filter(|it| trial.is_none() || !skipped.contains(it)).collect();
    println!("seeds={seeds} vms={} closing={:?}", scenario::VMS, scenario::CLOSING);
    println!("| deployment | policy | service p99 | batch work | evictions | by control | reversals/VM-h | urgent p99 (s) |");
    println!("|---|---|---|---|---|---|---|---|");
    let mut losses = Vec::new();
    for (index, deployment) in DEPLOYMENTS.iter().enumerate() {
        let cases: Vec<(u64, Policy)> =
            (0..seeds).flat_map(|seed| policies.iter().map(move |it| (seed, *it))).collect();
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
        print_rows(deployment.name, &policies, &outcomes);
        losses.push((deployment.name, outcomes));
    }
    println!(
        "\n| deployment | policy | done | slowed | lost by evictions |\n|---|---|---|---|---|"
    );
    for (name, outcomes) in &losses {
        print_losses(name, &policies, outcomes);
    }
    Ok(())
}

type Run = ((Policy, u64), Outcome);

fn column(outcomes: &[Run], policy: Policy, value: fn(&Outcome) -> f64) -> Vec<f64> {
    let runs = outcomes.iter().filter(|((other, _), _)| *other == policy);
    runs.map(|(_, outcome)| value(outcome)).collect()
}

fn relative(values: Vec<f64>, to: Vec<f64>) -> Vec<f64> {
    values.into_iter().zip(to).map(|(one, other)| one / other).collect()
}

fn print_rows(deployment: &str, policies: &[Policy], outcomes: &[Run]) {
    for policy in policies {
        let column = |policy, value| column(outcomes, policy, value);
        let p99 = |run: &Outcome| run.p99;
        let work = |run: &Outcome| run.work;
        println!(
            "| {deployment} | {} | {} | {} | {} | {} | {} | {} |",
            policy.name(),
            cell(&relative(column(*policy, p99), column(Policy::NoBatch, p99))),
            cell(&relative(column(*policy, work), column(Policy::NoControl, work))),
            cell(&column(*policy, |run| run.evictions)),
            cell(&column(*policy, |run| run.control_evictions)),
            cell(&column(*policy, |run| run.reversals)),
            cell(&column(*policy, |run| run.urgent_p99)),
        );
    }
}

/// Prints the work that was done, not done because of reduced speeds, and lost, relative to the
/// work without control.
fn print_losses(deployment: &str, policies: &[Policy], outcomes: &[Run]) {
    let free = || column(outcomes, Policy::NoControl, |run| run.work);
    for policy in policies.iter().filter(|policy| **policy != Policy::NoBatch) {
        let part = |value| cell(&relative(column(outcomes, *policy, value), free()));
        println!(
            "| {deployment} | {} | {} | {} | {} |",
            policy.name(),
            part(|run| run.work),
            part(|run| run.slowed),
            part(|run| run.lost),
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
