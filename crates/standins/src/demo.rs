//! The whole path as separate processes, with failures; see `scripts/demo`.

mod checks;
mod cluster;
mod feed;
mod versions;

use std::path::PathBuf;
use std::time::{Duration, Instant};

use eyre::{ensure, eyre, WrapErr};
use peridotfold_wire::runtime;

use crate::load::Load;
use crate::process;
use cluster::Cluster;
use feed::Feed;
use versions::Versions;

const THREADS: usize = 4;
const LOOKUPS_PER_SECOND: u32 = 200;
const BIDS_PER_SECOND: u32 = 20;
/// Bound for anything that the design promises within seconds.
const SOON: Duration = Duration::from_secs(10);
/// A dead entry is noticed after 6 s; its cells are then taken over.
const RUN_AGAIN_LIMIT: Duration = Duration::from_secs(25);
/// Exit code of a process that a signal ended, as shells report it.
const INTERRUPTED: i32 = 130;
const JOBS_LIMIT: Duration = Duration::from_secs(40);

/// Runs the demo.
///
/// # Errors
///
/// Fails when a process cannot be started, or when anything was lost, cut short or done twice.
pub fn run(mut parser: lexopt::Parser) -> eyre::Result<()> {
    let mut program = None;
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Long("program") => program = Some(PathBuf::from(parser.value()?)),
            arg => return Err(arg.unexpected().into()),
        }
    }
    let program = program.ok_or_else(|| eyre!("--program is required"))?;
    let directory = tempfile::tempdir()?;
    runtime::start_threads(THREADS);
    runtime::spawn(end_when_interrupted(directory.path().to_owned())).detach();
    let result = play(&program, directory.path());
    if result.is_err() {
        // The logs explain the failure; they are lost with the directory otherwise.
        let kept = directory.keep();
        eprintln!("logs are kept in {}", kept.display());
    }
    result
}

/// Ends everything at SIGINT or SIGTERM, which would otherwise leave the children behind.
async fn end_when_interrupted(directory: PathBuf) {
    if let Err(error) = runtime::terminated().await {
        eprintln!("error: signals cannot be received: {error}");
        return;
    }
    process::stop_all();
    let _ = std::fs::remove_dir_all(&directory);
    eprintln!("error: interrupted");
    std::process::exit(INTERRUPTED);
}

fn play(program: &std::path::Path, directory: &std::path::Path) -> eyre::Result<()> {
    let begin = Instant::now();
    let step = |text: &str| println!("{:>5.1}s  {text}", begin.elapsed().as_secs_f64());

    let versions = Versions::start(begin);
    let mut cluster = Cluster::start(program, directory)?;
    versions.follow(&cluster);
    step("started the store, 2 entries, 3 workers and 3 upstreams");
    configure(&cluster)?;
    step("patch with a closing period applied; stale, future and invalid patches refused");
    // The feed is opened while vm-3 is the only upstream: a feed through a killed agent would be
    // cut, as it has to be.
    cluster.start_agent(2)?;
    cluster.wait_ready(1, SOON)?;
    let feed = Feed::open(&cluster)?;
    step("feed opened through entry-2 on vm-3");
    cluster.start_agent(0)?;
    cluster.start_agent(1)?;
    cluster.wait_ready(cluster::VMS, SOON)?;
    versions.follow(&cluster);
    step("all upstreams known at both entries");

    let load = Load::new(&cluster.entry_addresses(), cluster::SERVICE, cluster::TOKEN);
    let tasks = load.start(LOOKUPS_PER_SECOND, BIDS_PER_SECOND);
    let jobs = submit_jobs(&cluster)?;
    step("load started, jobs submitted");
    runtime_sleep(2.0);

    cluster.kill_agent(0)?;
    step("killed the agent of vm-1");
    let killed = Instant::now();
    runtime_sleep(1.5);
    cluster.start_agent(0)?;
    versions.follow(&cluster);
    step("agent of vm-1 restarted");
    wait_running(&cluster, &jobs)?;
    step(&format!("all jobs run again, {:.1} s after the kill", killed.elapsed().as_secs_f64()));
    runtime_sleep(2.0);

    cluster.kill_entry(0)?;
    step("killed entry-1");
    let killed = Instant::now();
    runtime_sleep(2.0);
    cluster.start_entry(0)?;
    load.set_entry(0, cluster.entry_addresses()[0]);
    versions.follow(&cluster);
    step("entry-1 restarted");
    wait_running(&cluster, &jobs)?;
    step(&format!("all jobs run again, {:.1} s after the kill", killed.elapsed().as_secs_f64()));

    cluster.stop_agent(1)?;
    step("stopped the agent of vm-2 gracefully under load");
    cluster.start_agent(1)?;
    versions.follow(&cluster);
    runtime_sleep(1.0);

    cluster.set_store_down(true)?;
    step("store down");
    runtime_sleep(2.0);
    let refused =
        cluster.operator(&["config", "patch", "--base", "1", "-"], cluster::SECOND_PATCH)?;
    ensure!(!refused.success, "a patch was accepted while the store was down: {}", refused.text);
    cluster.set_store_down(false)?;
    step("store up; the patch sent meanwhile was refused");
    patch_when_back(&cluster)?;
    step("second patch applied");

    load.stop();
    for task in tasks {
        smol::block_on(task);
    }
    step("load ended");
    let views = wait_jobs(&cluster, &jobs)?;
    step("jobs ended");
    let lines = feed.finish()?;
    let report = checks::Report::collect(&cluster, &load, &views, lines, &versions)?;
    cluster.stop()?;
    step("all processes stopped gracefully");
    report.print();
    report.verdict()
}

fn runtime_sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

fn configure(cluster: &Cluster) -> eyre::Result<()> {
    let patch =
        |base: &str, text: &str| cluster.operator(&["config", "patch", "--base", base, "-"], text);
    let first = cluster.first_patch();
    // An entry that has just started may not have heard from the store yet.
    let begin = Instant::now();
    loop {
        let applied = patch("0", &first)?;
        if applied.success {
            break;
        }
        ensure!(begin.elapsed() < SOON, "first patch refused: {}", applied.text);
        runtime_sleep(0.1);
    }
    let stale = patch("0", cluster::SECOND_PATCH)?;
    ensure!(!stale.success, "a stale patch was accepted");
    println!("        stale patch: {}", stale.text.lines().next().unwrap_or_default());
    let future = patch("7", cluster::SECOND_PATCH)?;
    ensure!(!future.success, "a patch against a future version was accepted");
    let invalid = patch("1", r#"{"closings":{"bad":{"services":["none"]}}}"#)?;
    ensure!(!invalid.success, "an invalid patch was accepted");
    Ok(())
}

fn submit_jobs(cluster: &Cluster) -> eyre::Result<Vec<String>> {
    let jobs = [("rebuild-ct1", 6, 4000), ("rebuild-nova", 4, 6000), ("report-lots", 3, 2500)];
    for (id, tasks, work) in jobs {
        let spec = serde_json::json!({
            "id": id, "class": "rebuild", "tasks": tasks, "cell": cluster::CELL,
            "need": {"cpu_milli": 2000, "memory_mib": 2048, "accelerators": 0},
            "command": format!("work_ms={work}"),
        });
        let answer = cluster.submit(&spec.to_string())?;
        ensure!(answer.success, "job {id} refused: {}", answer.text);
    }
    let impossible = serde_json::json!({
        "id": "too-large", "class": "rebuild", "tasks": 1, "cell": cluster::CELL,
        "need": {"cpu_milli": 900_000, "memory_mib": 1, "accelerators": 0}, "command": "work_ms=1",
    });
    cluster.submit(&impossible.to_string())?;
    Ok(jobs.iter().map(|(id, _, _)| (*id).to_owned()).collect())
}

fn patch_when_back(cluster: &Cluster) -> eyre::Result<()> {
    let begin = Instant::now();
    loop {
        let base = cluster.version(1)?.to_string();
        let answer = cluster
            .operator(&["config", "patch", "--base", &base, "-"], cluster::SECOND_PATCH)
            .wrap_err("patch after the outage")?;
        if answer.success {
            return cluster.wait_version(base.parse::<u64>()? + 1, SOON);
        }
        ensure!(begin.elapsed() < SOON, "no patch accepted after the outage: {}", answer.text);
        runtime_sleep(0.2);
    }
}

/// Waits until each job runs on a worker or has ended.
fn wait_running(cluster: &Cluster, jobs: &[String]) -> eyre::Result<()> {
    let begin = Instant::now();
    loop {
        let runs = |view: &serde_json::Value| {
            view["state"] == "completed" || view["running"].as_u64() > Some(0)
        };
        let views: Vec<_> = jobs.iter().map(|job| cluster.job(job)).collect();
        if views.iter().all(|view| view.as_ref().is_ok_and(runs)) {
            return Ok(());
        }
        ensure!(begin.elapsed() < RUN_AGAIN_LIMIT, "jobs do not run again: {views:#?}");
        runtime_sleep(0.05);
    }
}

fn wait_jobs(cluster: &Cluster, jobs: &[String]) -> eyre::Result<Vec<serde_json::Value>> {
    let begin = Instant::now();
    loop {
        let views: Vec<_> = jobs
            .iter()
            .map(|job| cluster.job(job))
            .collect::<eyre::Result<_>>()
            .unwrap_or_default();
        let done = |view: &serde_json::Value| view["state"] == "completed";
        if views.len() == jobs.len() && views.iter().all(done) {
            return Ok(views);
        }
        ensure!(begin.elapsed() < JOBS_LIMIT, "jobs did not end: {views:#?}");
        runtime_sleep(0.3);
    }
}
