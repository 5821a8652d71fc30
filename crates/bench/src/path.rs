//! Latency that entry and agent add to a direct call, and their processor time per request.
//!
//! Upstream, store, worker API and callers run in this process; entry and agent are child
//! processes of the built binary. Direct calls and calls through the entry alternate in blocks, so
//! that other load on the machine meets both.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::{ensure, eyre, WrapErr};
use hdrhistogram::Histogram;
use http::{Method, Request};
use peridotfold_standins::launch::{AgentPlan, EntryPlan, Launcher, ANY_PORT};
use peridotfold_standins::process::Process;
use peridotfold_standins::upstream::{Behaviour, Upstream};
use peridotfold_standins::{store, upstream, worker};
use peridotfold_wire::body::Body;
use peridotfold_wire::http_client::HttpClient;
use peridotfold_wire::runtime;

const THREADS: usize = 3;
const SERVICE: &str = "listings";
const OPERATOR_TOKEN: &str = "path-bench";
/// SHA-256 of [`OPERATOR_TOKEN`].
const OPERATOR_DIGEST: &str = "03fd7a003ed7f18212c49007c77a814c51f2eeadba6b3e077c4b7325c920fbd8";
const PATCH: &str = r#"{
    "vm_sizes": {"standard": {"cpu_milli": 16000, "memory_mib": 61440, "accelerators": 0}},
    "cells": {"cell": {"data_centre": "dc-1"}},
    "services": {"listings": {"limit": {"cpu_milli": 1000, "memory_mib": 1024, "accelerators": 0}}}
}"#;
const CALL_LIMIT: Duration = Duration::from_secs(5);
const READY_LIMIT: Duration = Duration::from_secs(30);
/// Callers at once; as many as an upstream has slots.
const CALLERS: usize = 8;
const BLOCKS: usize = 10;
const BLOCK_TIME: Duration = Duration::from_millis(500);
/// Unit of the processor times in `/proc/<pid>/stat`.
const TICKS_PER_S: f64 = 100.0;

/// Runs the measurement and prints its table.
///
/// # Errors
///
/// Fails when a process does not start or a call fails.
pub fn run() -> eyre::Result<()> {
    runtime::run(THREADS, measure())
}

async fn measure() -> eyre::Result<()> {
    let behaviour = Behaviour { base_ms: 0.0, jitter: 0.0, ..Behaviour::default() };
    let upstream =
        Upstream::start(upstream::Options { behaviour, ..upstream::Options::default() }).await?;
    let store = store::Store::start(store::Options::default()).await?;
    let worker = worker::Worker::start(worker::Options::default()).await?;
    let directory = std::env::temp_dir().join(format!("peridotfold-path-{}", std::process::id()));
    std::fs::create_dir_all(&directory)?;
    let program = std::env::current_exe()?.with_file_name("peridotfold");
    ensure!(program.exists(), "build the binary first: cargo build --release -p peridotfold");
    let launcher = Launcher { program, logs: directory.clone(), limit: READY_LIMIT };
    let entry = launcher.entry(&EntryPlan {
        name: "e1",
        http: ANY_PORT,
        internal: ANY_PORT,
        advertise: None,
        store: store.address(),
        peers: &[],
        operator_digest: OPERATOR_DIGEST,
        flags: &[],
    })?;
    let http = HttpClient::default();
    let begin = Instant::now();
    // The entry refuses patches until it has reached the store.
    while let Err(error) = patch(&http, entry.http).await {
        ensure!(begin.elapsed() < READY_LIMIT, "{error}");
        runtime::sleep(Duration::from_millis(50)).await;
    }
    let agent = launcher.agent(&AgentPlan {
        name: "a1",
        rack: "r1",
        cell: "cell",
        internal: ANY_PORT,
        advertise: None,
        entries: &[entry.internal()?],
        service: SERVICE,
        upstream: upstream.address(),
        worker: worker.address(),
        flags: &[],
    })?;
    let (direct, routed) = ("/slot/1".to_owned(), format!("/s/{SERVICE}/slot/1"));
    let direct = Route { http: http.clone(), address: upstream.address(), path: direct };
    let routed = Route { http, address: entry.http, path: routed };
    routed.wait_ready().await?;
    println!(
        "{:<8}{:>12}{:>12}{:>12}{:>12}{:>12}{:>12}{:>10}",
        "callers",
        "direct p50",
        "p99 us",
        "entry p50",
        "p99 us",
        "added p50",
        "added p99",
        "ratio p50"
    );
    for callers in [1, CALLERS] {
        compare(&direct, &routed, callers, &entry, &agent).await?;
    }
    std::fs::remove_dir_all(&directory).wrap_err("remove logs")
}

/// Compares the two routes and prints the latencies and the processor time of the children.
async fn compare(
    direct: &Route,
    routed: &Route,
    callers: usize,
    entry: &Process,
    agent: &Process,
) -> eyre::Result<()> {
    let (mut direct_us, mut routed_us) = (histogram()?, histogram()?);
    let (mut entry_s, mut agent_s, mut own_s) = (0.0, 0.0, 0.0);
    for _ in 0..BLOCKS {
        let own = processor_seconds(std::process::id())?;
        direct_us.add(direct.block(callers).await?)?;
        own_s += processor_seconds(std::process::id())? - own;
        let before = (processor_seconds(entry.id())?, processor_seconds(agent.id())?);
        routed_us.add(routed.block(callers).await?)?;
        entry_s += processor_seconds(entry.id())? - before.0;
        agent_s += processor_seconds(agent.id())? - before.1;
    }
    let value = |h: &Histogram<u64>, q| h.value_at_quantile(q);
    let (d50, d99) = (value(&direct_us, 0.5), value(&direct_us, 0.99));
    let (r50, r99) = (value(&routed_us, 0.5), value(&routed_us, 0.99));
    println!(
        "{callers:<8}{d50:>12}{d99:>12}{r50:>12}{r99:>12}{:>12}{:>12}{:>10.2}",
        r50.saturating_sub(d50),
        r99.saturating_sub(d99),
        r50 as f64 / d50 as f64,
    );
    let rate = |seconds: f64, count: u64| count as f64 / seconds.max(1.0 / TICKS_PER_S);
    let (own, count) = (rate(own_s, direct_us.len()), routed_us.len());
    let (entry, agent) = (rate(entry_s, count), rate(agent_s, count));
    println!(
        "        requests per core-second: entry {entry:.0}, agent {agent:.0}, direct call (caller \
         and upstream) {own:.0}; ratio to direct: entry {:.2}, agent {:.2}",
        entry / own,
        agent / own,
    );
    Ok(())
}

/// A way to the upstream.
#[derive(Debug, Clone)]
struct Route {
    http: HttpClient,
    address: SocketAddr,
    path: String,
}

impl Route {
    async fn call(&self) -> eyre::Result<bool> {
        let response =
            self.http.simple(self.address, Method::GET, &self.path, "", CALL_LIMIT).await?;
        Ok(response.status().is_success())
    }

    async fn wait_ready(&self) -> eyre::Result<()> {
        let begin = Instant::now();
        while !self.call().await? {
            ensure!(begin.elapsed() < READY_LIMIT, "no answer through the entry");
            runtime::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    /// Calls in closed loops for a while; returns the latencies in microseconds.
    async fn block(&self, callers: usize) -> eyre::Result<Histogram<u64>> {
        let route = Arc::new(self.clone());
        let tasks: Vec<_> = (0..callers)
            .map(|_| {
                let route = route.clone();
                runtime::spawn(async move { route.repeat().await })
            })
            .collect();
        let mut total = histogram()?;
        for task in tasks {
            total.add(task.await?)?;
        }
        Ok(total)
    }

    async fn repeat(&self) -> eyre::Result<Histogram<u64>> {
        let mut latencies = histogram()?;
        let begin = Instant::now();
        while begin.elapsed() < BLOCK_TIME {
            let sent = Instant::now();
            ensure!(self.call().await?, "{} failed", self.path);
            latencies.saturating_record(sent.elapsed().as_micros() as u64);
        }
        Ok(latencies)
    }
}

fn histogram() -> eyre::Result<Histogram<u64>> {
    Ok(Histogram::new_with_bounds(1, 10_000_000, 3)?)
}

async fn patch(http: &HttpClient, entry: SocketAddr) -> eyre::Result<()> {
    let request = Request::builder()
        .method(Method::PATCH)
        .uri("/v1/config?base=0")
        .header(http::header::HOST, entry.to_string())
        .header(http::header::AUTHORIZATION, format!("Bearer {OPERATOR_TOKEN}"))
        .body(Body::full(PATCH))?;
    let response = http.exchange(entry, request, CALL_LIMIT).await?;
    let text = String::from_utf8_lossy(response.body());
    ensure!(response.status().is_success(), "patch: {} {text}", response.status());
    Ok(())
}

/// Returns the processor time that a process has used.
fn processor_seconds(pid: u32) -> eyre::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // Fields 14 and 15; the name in field 2 may contain spaces.
    let (_, rest) = stat.rsplit_once(')').ok_or_else(|| eyre!("stat of {pid}: {stat}"))?;
    let ticks = rest.split_whitespace().skip(11).take(2).map(str::parse::<f64>);
    let ticks: f64 = ticks.sum::<Result<_, _>>()?;
    Ok(ticks / TICKS_PER_S)
}
