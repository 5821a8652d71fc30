//! What the demo checks and prints at its end.

use std::collections::{BTreeMap, BTreeSet};

use eyre::bail;
use http::Method;
use serde_json::Value;

use super::cluster::Cluster;
use super::versions::Versions;
use crate::load::Load;

/// Interval in which a worker ran one attempt of a task.
#[derive(Debug, Clone)]
pub struct Interval {
    pub task: String,
    pub start_us: u64,
    pub end_us: u64,
    pub completed: bool,
}

/// Everything that was seen.
#[derive(Debug)]
pub struct Report {
    rows: Vec<(&'static str, String)>,
    faults: Vec<String>,
}

impl Report {
    /// Reads what the processes recorded.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be asked.
    pub fn collect(
        cluster: &Cluster,
        load: &Load,
        jobs: &[Value],
        feed: (u32, u32),
        seen: &Versions,
    ) -> eyre::Result<Self> {
        let mut report = Report { rows: Vec::new(), faults: Vec::new() };
        report.requests(load);
        report.executions(cluster, load)?;
        report.row("feed lines received / sent", format!("{} / {}", feed.0, feed.1));
        report.jobs(cluster, jobs)?;
        let versions: BTreeSet<u64> = cluster.versions()?.into_iter().collect();
        report.row("configuration versions in force at the end", format!("{versions:?}"));
        report.expect(versions.len() == 1, "processes have different configuration versions");
        report.versions(seen);
        let stats = cluster.call(cluster.store_address(), Method::GET, "/stats", "")?;
        report.row("store calls", stats.to_string());
        Ok(report)
    }

    /// Prints the table.
    pub fn print(&self) {
        println!();
        for (name, value) in &self.rows {
            println!("{name:<46} {value}");
        }
    }

    /// Tells whether all was well.
    ///
    /// # Errors
    ///
    /// Lists everything that was lost, cut short or done twice.
    pub fn verdict(&self) -> eyre::Result<()> {
        if self.faults.is_empty() {
            println!("\nnothing was lost, cut short or done twice");
            return Ok(());
        }
        bail!("{}", self.faults.join("; "))
    }

    fn row(&mut self, name: &'static str, value: impl Into<String>) {
        self.rows.push((name, value.into()));
    }

    fn expect(&mut self, holds: bool, fault: &str) {
        if !holds {
            self.faults.push(fault.to_owned());
        }
    }

    fn versions(&mut self, seen: &Versions) {
        for (process, changes) in seen.changes() {
            let texts: Vec<String> = changes
                .iter()
                .map(|(at, version)| format!("{version} at {:.1} s", at.as_secs_f64()))
                .collect();
            self.rows.push(("versions seen over time", format!("{process}: {}", texts.join(", "))));
            let risen = changes.is_sorted_by_key(|(_, version)| *version);
            self.expect(risen, "a process went back to an older configuration version");
        }
    }

    fn requests(&mut self, load: &Load) {
        load.totals(|totals| {
            self.row("requests sent", totals.requests.to_string());
            self.row("answered whole", totals.answered.to_string());
            self.row("tries answered `not run` (tried again)", totals.not_run.to_string());
            self.row("tries with unknown outcome (tried again)", totals.unknown.to_string());
            self.row("tries without a connection (tried again)", totals.unsent.to_string());
            self.row("bids that stay unknown (never run again)", totals.unresolved.to_string());
            self.row("wrong answers / lost", format!("{} / {}", totals.wrong, totals.lost));
            let at = |quantile| totals.latency.value_at_quantile(quantile) as f64 / 1000.0;
            let latency = format!("{:.1} / {:.1} / {:.1} ms", at(0.5), at(0.99), at(0.999));
            self.row("latency p50 / p99 / p99.9", latency);
            self.expect(totals.wrong == 0, "a caller received a wrong answer");
            self.expect(totals.lost == 0, "a request was lost");
            let ended = totals.answered + totals.unresolved;
            self.expect(ended == totals.requests, "a request has no outcome");
        });
    }

    fn executions(&mut self, cluster: &Cluster, load: &Load) -> eyre::Result<()> {
        let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (_, upstream) in cluster.vm_addresses() {
            let list = cluster.call(upstream, Method::GET, "/executions", "")?;
            for run in list.as_array().into_iter().flatten() {
                let key = run["key"].as_str().unwrap_or_default().to_owned();
                runs.entry(key).or_default().push(run["body"].as_str().unwrap_or_default().into());
            }
        }
        let twice = runs.values().filter(|bodies| bodies.len() > 1).count();
        let false_not_run = load.totals(|totals| {
            let ran = |(key, attempt): &(String, u32)| {
                let body = format!("{key} try {attempt}");
                runs.get(key).is_some_and(|bodies| bodies.contains(&body))
            };
            totals.not_run_bids.iter().filter(|bid| ran(bid)).count()
        });
        self.row("bids executed / executed twice", format!("{} / {twice}", runs.len()));
        self.row("bids executed after `not run`", false_not_run.to_string());
        self.expect(twice == 0, "a bid was executed twice");
        self.expect(false_not_run == 0, "a bid was executed after `not run`");
        Ok(())
    }

    fn jobs(&mut self, cluster: &Cluster, jobs: &[Value]) -> eyre::Result<()> {
        let mut intervals = Vec::new();
        for (worker, _) in cluster.vm_addresses() {
            let history = cluster.call(worker, Method::GET, "/history", "")?;
            intervals.extend(history.as_array().into_iter().flatten().map(interval));
        }
        let sum = |key: &str| jobs.iter().filter_map(|job| job[key].as_u64()).sum::<u64>();
        let overlaps = overlaps(&mut intervals);
        let mut completions: BTreeMap<&str, u32> = BTreeMap::new();
        for interval in intervals.iter().filter(|interval| interval.completed) {
            *completions.entry(&interval.task).or_default() += 1;
        }
        let twice = completions.values().filter(|count| **count > 1).count();
        self.row("jobs submitted / finished", format!("{0} / {0}", jobs.len()));
        self.row("tasks / attempts", format!("{} / {}", sum("tasks"), intervals.len()));
        self.row("tasks run in two places / completed twice", format!("{overlaps} / {twice}"));
        self.row("evictions", sum("evictions").to_string());
        let impossible = cluster.job("too-large")?;
        let reason = impossible["reason"].as_str().unwrap_or_default();
        self.row("job that can never run", format!("{}: {reason}", impossible["state"]));
        self.expect(overlaps == 0, "a task ran in two places");
        self.expect(twice == 0, "a task completed twice");
        self.expect(impossible["state"] == "unrunnable", "an impossible job was not reported");
        let started = !completions.is_empty();
        self.expect(started, "the workers recorded no completed task");
        Ok(())
    }
}

fn interval(value: &Value) -> Interval {
    let number = |key: &str| value[key].as_u64().unwrap_or_default();
    Interval {
        task: format!("{}/{}", value["job"].as_str().unwrap_or_default(), value["task"]),
        start_us: number("start_us"),
        // An attempt that still runs has no end.
        end_us: value["end_us"].as_u64().unwrap_or(u64::MAX),
        completed: value["end"] == "completed",
    }
}

/// Counts the pairs of attempts of one task that ran at the same time.
pub fn overlaps(intervals: &mut [Interval]) -> usize {
    intervals.sort_by(|a, b| (&a.task, a.start_us).cmp(&(&b.task, b.start_us)));
    let overlap =
        |pair: &&[Interval]| pair[0].task == pair[1].task && pair[1].start_us < pair[0].end_us;
    intervals.windows(2).filter(overlap).count()
}
