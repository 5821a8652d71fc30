//! An agent process beside an idle upstream: processor time, memory and bytes on the network.

use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use eyre::{ensure, eyre};
use peridotfold_core::homes::HOME_ENTRIES;
use peridotfold_standins::forwarder::Forwarder;
use peridotfold_standins::launch::{AgentPlan, EntryPlan, Launcher, ANY_PORT};
use peridotfold_standins::process::Process;
use peridotfold_wire::runtime;
use serde_json::json;

use super::TASKS_PER_VM;

const TOKEN: &str = "operator-token";
/// SHA-256 of [`TOKEN`].
const DIGEST: &str = "0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e";
const START_LIMIT: Duration = Duration::from_secs(10);
/// Threads of the forwarders.
const THREADS: usize = 2;
const SETTLE: Duration = Duration::from_secs(8);
const INTERVAL: Duration = Duration::from_secs(20);
/// Unit of processor time in `/proc/<pid>/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Prints what an agent uses, with one entry and with all its home entries.
///
/// # Errors
///
/// Fails when a process cannot be started.
pub fn run() -> eyre::Result<()> {
    runtime::run(THREADS, run_all())
}

async fn run_all() -> eyre::Result<()> {
    let directory = std::env::current_exe()?;
    let directory = directory.parent().ok_or_else(|| eyre!("no directory of binaries"))?;
    println!("agent process: entries, batch tasks, % of a core, resident MB, bytes/s, segments/s");
    for (entries, tasks) in [(1, 0), (HOME_ENTRIES, 0), (HOME_ENTRIES, TASKS_PER_VM)] {
        let Usage { share, memory, bytes, pieces } = measure(directory, entries, tasks).await?;
        print!("{entries:>8} {tasks:>8} {:>10.2} {memory:>10.1}", share * 100.0);
        println!(" {bytes:>10.0} {pieces:>10.1}");
    }
    Ok(())
}

/// What an agent uses for control.
struct Usage {
    /// Of one core.
    share: f64,
    /// Resident, in megabytes.
    memory: f64,
    /// Sent and received in a second, without the headers of TCP and IP.
    bytes: f64,
    /// Segments that carry them, in a second.
    pieces: f64,
}

async fn measure(binaries: &Path, entries: usize, tasks: usize) -> eyre::Result<Usage> {
    let logs = std::env::temp_dir().join(format!("peridotfold-scale-{}", std::process::id()));
    std::fs::create_dir_all(&logs)?;
    let program = binaries.join("peridotfold");
    let launcher = Launcher { program: program.clone(), logs: logs.clone(), limit: START_LIMIT };
    let standins = binaries.join("peridotfold-standins");
    let any = ANY_PORT.to_string();
    let standin = |kind: &str, size: &[&str]| {
        let args = words(&[&[kind, "--listen", any.as_str()][..], size].concat());
        Process::start(kind, &standins, &args, &launcher.log(kind))
    };
    let store = standin("store", &[])?;
    let worker = standin("worker", &["--cpu-milli", "60000", "--memory-mib", "250000"])?;
    let upstream = standin("upstream", &[])?;
    let (mut running, mut ways) = (Vec::new(), Vec::new());
    for index in 0..entries {
        let way = Forwarder::start().await?;
        let entry = launcher.entry(&EntryPlan {
            name: &format!("entry-{index}"),
            http: ANY_PORT,
            internal: ANY_PORT,
            advertise: Some(way.address()),
            store: store.http,
            peers: &[],
            operator_digest: DIGEST,
            flags: &[],
        })?;
        way.set_target(entry.internal()?);
        running.push(entry);
        ways.push(way);
    }
    let entries: Vec<SocketAddr> = ways.iter().map(Forwarder::address).collect();
    let agent = launcher.agent(&AgentPlan {
        name: "vm-1",
        rack: "r1",
        cell: "central-1",
        internal: ANY_PORT,
        advertise: None,
        entries: &entries,
        service: "listings",
        upstream: upstream.http,
        worker: worker.http,
        flags: &[],
    })?;
    if tasks > 0 {
        submit(&program, running[0].http, tasks)?;
    }
    std::thread::sleep(SETTLE);
    let sum = |count: fn(&Forwarder) -> u64| ways.iter().map(count).sum::<u64>() as f64;
    let before = (ticks(agent.id())?, sum(Forwarder::passed), sum(Forwarder::pieces));
    std::thread::sleep(INTERVAL);
    let after = (ticks(agent.id())?, sum(Forwarder::passed), sum(Forwarder::pieces));
    let memory = resident_mb(agent.id())?;
    std::fs::remove_dir_all(&logs)?;
    let seconds = INTERVAL.as_secs_f64();
    Ok(Usage {
        share: (after.0 - before.0) / TICKS_PER_SECOND / seconds,
        memory,
        bytes: (after.1 - before.1) / seconds,
        pieces: (after.2 - before.2) / seconds,
    })
}

/// Configures the cell and submits a job whose tasks outlast the measurement.
fn submit(program: &Path, entry: SocketAddr, tasks: usize) -> eyre::Result<()> {
    let size = json!({"cpu_milli": 60_000, "memory_mib": 250_000});
    let patch = json!({
        "vm_sizes": {"standard": size},
        "cells": {"central-1": {"data_centre": "dc-1"}},
        "teams": {"team": {"token_sha256": "1".repeat(64), "quota": size}},
        "services": {"listings": {"limit": {"cpu_milli": 10_000, "memory_mib": 20_000}}},
        "classes": {"rebuild": {"limit": {"cpu_milli": 50_000, "memory_mib": 200_000}}},
    });
    let job = json!({
        "id": "rebuild", "team": "team", "class": "rebuild", "tasks": tasks, "cell": "central-1",
        "need": {"cpu_milli": 500, "memory_mib": 1_000}, "command": "work_ms=600000",
    });
    client(program, entry, &["config", "patch", "--base", "0", "-"], &patch.to_string())?;
    let begin = Instant::now();
    while let Err(error) = client(program, entry, &["job", "submit", "-"], &job.to_string()) {
        // The cell has no owner until the patch is in effect and the cell was claimed.
        ensure!(begin.elapsed() < SETTLE, "{error}");
        std::thread::sleep(Duration::from_millis(200));
    }
    Ok(())
}

fn client(program: &Path, entry: SocketAddr, args: &[&str], input: &str) -> eyre::Result<()> {
    let mut child = Command::new(program)
        .args(args)
        .env("PERIDOTFOLD_ENTRY", entry.to_string())
        .env("PERIDOTFOLD_TOKEN", TOKEN)
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()?;
    if let Some(mut stdin) = child.stdin.take() {
        stdin.write_all(input.as_bytes())?;
    }
    let output = child.wait_with_output()?;
    ensure!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    Ok(())
}

fn words(parts: &[&str]) -> Vec<String> {
    parts.iter().map(|part| (*part).to_owned()).collect()
}

/// Processor time of a process, in ticks.
fn ticks(pid: u32) -> eyre::Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The name in parentheses may contain spaces.
    let fields: Vec<&str> =
        text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    ensure!(fields.len() > 12, "unexpected /proc/{pid}/stat");
    Ok(fields[11].parse::<f64>()? + fields[12].parse::<f64>()?)
}

fn resident_mb(pid: u32) -> eyre::Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    let kb: f64 = line.split_whitespace().nth(1).unwrap_or("0").parse()?;
    Ok(kb / 1024.0)
}
