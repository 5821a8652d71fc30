//! An agent process beside an idle upstream: processor time, memory and bytes on the network.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use eyre::{ensure, eyre};
use peridotfold_standins::process::Process;

const ANY: &str = "127.0.0.1:0";
const SETTLE: Duration = Duration::from_secs(8);
const INTERVAL: Duration = Duration::from_secs(20);
/// Unit of processor time in `/proc/<pid>/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Prints what an agent uses, with 1 and with 3 entries.
///
/// # Errors
///
/// Fails when a process cannot be started.
pub fn run() -> eyre::Result<()> {
    let directory = std::env::current_exe()?;
    let directory = directory.parent().ok_or_else(|| eyre!("no directory of binaries"))?;
    println!("agent process: entries, % of a core, resident MB");
    for entries in [1, 3] {
        let (share, memory) = measure(directory, entries)?;
        println!("{entries:>8} {:>10.2} {memory:>10.1}", share * 100.0);
    }
    Ok(())
}

fn measure(binaries: &Path, entries: usize) -> eyre::Result<(f64, f64)> {
    let log = PathBuf::from("/dev/null");
    let program = binaries.join("peridotfold");
    let standins = binaries.join("peridotfold-standins");
    let standin =
        |kind: &str| Process::start(kind, &standins, &words(&[kind, "--listen", ANY]), &log);
    let store = standin("store")?;
    let worker = standin("worker")?;
    let upstream = standin("upstream")?;
    let digest = "0".repeat(64);
    let mut running = Vec::new();
    for index in 0..entries {
        let id = format!("entry-{index}");
        let store = store.http.to_string();
        let args = words(&[
            "entry",
            "--id",
            &id,
            "--data-centre",
            "dc-1",
            "--http",
            ANY,
            "--internal",
            ANY,
            "--store",
            &store,
            "--operator-digest",
            &digest,
        ]);
        running.push(Process::start(&id, &program, &args, &log)?);
    }
    let internal: Vec<SocketAddr> =
        running.iter().map(Process::internal).collect::<eyre::Result<_>>()?;
    let list: Vec<String> = internal.iter().map(SocketAddr::to_string).collect();
    let args = words(&[
        "agent",
        "--id",
        "vm-1",
        "--data-centre",
        "dc-1",
        "--rack",
        "r1",
        "--cell",
        "central-1",
        "--internal",
        ANY,
        "--entries",
        &list.join(","),
        "--service",
        "listings",
        "--upstream",
        &upstream.http.to_string(),
        "--worker",
        &worker.http.to_string(),
    ]);
    let agent = Process::start("vm-1", &program, &args, &log)?;
    std::thread::sleep(SETTLE);
    let before = ticks(agent.id())?;
    std::thread::sleep(INTERVAL);
    let used = (ticks(agent.id())? - before) / TICKS_PER_SECOND;
    Ok((used / INTERVAL.as_secs_f64(), resident_mb(agent.id())?))
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
