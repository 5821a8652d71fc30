//! Planned stops under load: nothing is cut, and a leaving upstream gets no new work.

#[path = "support/common.rs"]
mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use http::{Method, Request};
use http_body_util::BodyExt;
use peridotfold_standins::load::Load;
use peridotfold_wire::body::Body;
use peridotfold_wire::http_client::HttpClient;
use peridotfold_wire::runtime;
use std::net::SocketAddr;
use support::{run, within, Cluster, PATIENCE, SERVICE, TEAM_TOKEN};

const LOOKUPS_PER_SECOND: u32 = 100;
const BIDS_PER_SECOND: u32 = 20;
/// An upstream that is leaving gets no new work after this time: its announcement reaches an entry
/// within 1 s, and entries drop a silent agent after 3 s.
const NO_NEW_WORK: Duration = Duration::from_secs(4);
/// Time for the rest of a shutdown after the drain grace: batch tasks 20 s, connections 2 s.
const STOP_REST: Duration = Duration::from_secs(25);
const PERIOD_MS: u64 = 50;

/// Opens a feed through an entry and counts its lines. The result tells how the feed ended.
async fn feed(address: SocketAddr, query: &str) -> smol::Task<Result<u64, String>> {
    let request = Request::builder()
        .method(Method::GET)
        .uri(format!("/s/{SERVICE}/feed?period_ms={PERIOD_MS}{query}"))
        .header(http::header::HOST, address.to_string())
        .header(http::header::AUTHORIZATION, format!("Bearer {TEAM_TOKEN}"))
        .header("request-timeout-ms", "120000")
        .body(Body::empty())
        .expect("request");
    let response = HttpClient::default().send(address, request).await.expect("feed");
    assert!(response.status().is_success(), "feed: {}", response.status());
    let mut body = response.into_body();
    let first = body.frame().await.expect("a line").expect("a line");
    let mut text = first.into_data().expect("data").to_vec();
    runtime::spawn(async move {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| format!("cut: {error}"))?;
            text.extend(frame.into_data().unwrap_or_default());
        }
        if text.last() != Some(&b'\n') {
            return Err("ended within a line".to_owned());
        }
        let text = String::from_utf8_lossy(&text).into_owned();
        for (index, line) in text.lines().enumerate() {
            if line != format!("feed {}", index + 1) {
                return Err(format!("line {} is `{line}`", index + 1));
            }
        }
        Ok(text.lines().count() as u64)
    })
}

/// Checks that each caller got its whole answer, or `not run` or no connection and then its
/// answer, and that no bid ran twice or after `not run`.
async fn check_load(cluster: &Cluster, load: &Load, tasks: Vec<smol::Task<()>>) {
    load.stop();
    for task in tasks {
        task.await;
    }
    let mut bids: Vec<(String, String)> = Vec::new();
    for vm in &cluster.vms {
        let runs = vm.upstream.executions();
        bids.extend(runs.into_iter().map(|run| (run.key.unwrap_or_default(), run.body)));
    }
    bids.sort();
    let twice: Vec<_> = bids.windows(2).filter(|pair| pair[0].0 == pair[1].0).collect();
    assert!(twice.is_empty(), "bids ran twice: {twice:?}");
    load.totals(|totals| {
        assert!(totals.requests > 200, "{totals:?}");
        assert_eq!(totals.unknown, 0, "callers with an unknown outcome: {totals:?}");
        assert_eq!((totals.wrong, totals.lost, totals.unresolved), (0, 0, 0), "{totals:?}");
        assert_eq!(totals.answered, totals.requests, "{totals:?}");
        for (key, attempt) in &totals.not_run_bids {
            let body = format!("{key} try {attempt}");
            assert!(!bids.contains(&(key.clone(), body)), "{key} {attempt} ran after `not run`");
        }
    });
}

/// Guards against requests that are cut or lost, and feeds without a proper end, when an agent is
/// stopped, and against an exit code that reports a failure.
#[test]
fn an_agent_is_stopped_without_interrupting_anything() {
    run(async {
        let mut cluster = Cluster::without_agents(2, 2).await;
        cluster.drain_grace = "5s";
        // Feeds go through the only upstream, which is then stopped.
        cluster.start_agent(0);
        cluster.wait_ready(1).await;
        let ending = feed(cluster.http(0), "&count=60").await;
        let endless = feed(cluster.http(1), "").await;
        cluster.start_agent(1);
        cluster.wait_ready(2).await;
        let load = Load::new(&cluster.https(), SERVICE, TEAM_TOKEN);
        let tasks = load.start(LOOKUPS_PER_SECOND, BIDS_PER_SECOND);
        within(PATIENCE, "bids are answered", || async {
            cluster.vms.iter().all(|vm| vm.upstream.executions().len() > 5)
        })
        .await;
        cluster.agent(0).signal("TERM").expect("signal");
        let stopped = stop(&mut cluster, Stopped::Agent(0), Duration::from_secs(5) + STOP_REST);
        assert!(stopped.await, "exit code");
        assert_eq!(ending.await, Ok(60));
        let lines = endless.await.expect("a proper end");
        assert!(lines >= 5_000 / PERIOD_MS / 2, "the endless feed ended after {lines} lines");
        check_load(&cluster, &load, tasks).await;
    });
}

/// Guards against requests that are cut or lost, and feeds without a proper end, when an entry is
/// stopped, and against an exit code that reports a failure.
#[test]
fn an_entry_is_stopped_without_interrupting_anything() {
    run(async {
        let mut cluster = Cluster::start(2, 2).await;
        let ending = feed(cluster.http(0), "&count=100").await;
        let endless = feed(cluster.http(0), "").await;
        let load = Load::new(&cluster.https(), SERVICE, TEAM_TOKEN);
        let tasks = load.start(LOOKUPS_PER_SECOND, BIDS_PER_SECOND);
        within(PATIENCE, "bids are answered", || async {
            cluster.vms.iter().all(|vm| vm.upstream.executions().len() > 5)
        })
        .await;
        cluster.entry(0).signal("TERM").expect("signal");
        // The drain grace of an entry is 30 s.
        let stopped = stop(&mut cluster, Stopped::Entry(0), Duration::from_secs(30) + STOP_REST);
        assert!(stopped.await, "exit code");
        assert_eq!(ending.await, Ok(100));
        let lines = endless.await.expect("a proper end");
        assert!(lines >= 30_000 / PERIOD_MS / 2, "the endless feed ended after {lines} lines");
        check_load(&cluster, &load, tasks).await;
    });
}

#[derive(Debug, Clone, Copy)]
enum Stopped {
    Agent(usize),
    Entry(usize),
}

/// Waits for the end of a process that was told to stop; tells whether it reports success.
async fn stop(cluster: &mut Cluster, which: Stopped, limit: Duration) -> bool {
    let process = match which {
        Stopped::Agent(index) => cluster.vms[index].agent.take(),
        Stopped::Entry(index) => cluster.entries[index].take(),
    };
    let mut process = process.expect("the process runs");
    smol::unblock(move || process.wait(limit)).await.expect("the process ends").success()
}

/// Requests that reached the agent of a VM although it had announced to leave.
async fn refusals(address: SocketAddr) -> f64 {
    let limit = Duration::from_secs(2);
    let pages = HttpClient::default().simple(address, Method::GET, "/metrics", "", limit).await;
    let text = pages.expect("metrics").into_body();
    let text = String::from_utf8_lossy(&text).into_owned();
    text.lines()
        .filter(|line| line.starts_with("peridotfold_refusals_total"))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

/// Guards against entries that go on sending to an upstream that is leaving, and against an agent
/// that passes on new work while it leaves, with the store and without it.
#[test]
fn a_leaving_upstream_gets_no_new_work() {
    for store_down in [false, true] {
        run(async {
            let mut cluster = Cluster::without_agents(3, 2).await;
            // Longer than the test looks.
            cluster.drain_grace = "9s";
            cluster.start_agent(0);
            cluster.wait_ready(1).await;
            // Holds the agent open while it leaves.
            let endless = feed(cluster.http(0), "").await;
            cluster.start_agent(1);
            cluster.wait_ready(2).await;
            let stop_sending = Arc::new(AtomicBool::new(false));
            let senders: Vec<_> = (cluster.https().into_iter())
                .map(|address| runtime::spawn(send_bids(address, stop_sending.clone())))
                .collect();
            within(PATIENCE, "both upstreams get bids", || async {
                cluster.vms.iter().all(|vm| vm.upstream.executions().len() > 20)
            })
            .await;
            cluster.set_store_down(store_down);
            let agent = cluster.agent(0);
            let pages = agent.http;
            agent.signal("TERM").expect("signal");
            runtime::sleep(NO_NEW_WORK).await;
            for address in cluster.https() {
                let (_, status) = cluster.operate(address, Method::GET, "/v1/status", "").await;
                let known = status["upstreams"].as_array().cloned().unwrap_or_default();
                let left = known.iter().find(|upstream| upstream["agent"] == "vm-1");
                assert!(left.is_none_or(|u| u["state"] == "leaving"), "{address}: {left:?}");
            }
            let before = (refusals(pages).await, cluster.vms[0].upstream.executions().len());
            let elsewhere = cluster.vms[1].upstream.executions().len();
            within(PATIENCE, "the other upstream gets more bids", || async {
                cluster.vms[1].upstream.executions().len() > elsewhere + 300
            })
            .await;
            let after = (refusals(pages).await, cluster.vms[0].upstream.executions().len());
            assert_eq!(before, after, "store down: {store_down}: refusals and bids");
            stop_sending.store(true, Ordering::Relaxed);
            for sender in senders {
                let answered = sender.await;
                assert!(answered > 50, "an entry answered only {answered} bids");
            }
            assert!(endless.await.is_ok());
            let limit = Duration::from_secs(9) + STOP_REST;
            assert!(stop(&mut cluster, Stopped::Agent(0), limit).await, "exit code");
        });
    }
}

/// Sends bids without a key, one after the other; each may run at any upstream.
async fn send_bids(address: SocketAddr, stop: Arc<AtomicBool>) -> u32 {
    let client = HttpClient::default();
    let mut answered = 0;
    while !stop.load(Ordering::Relaxed) {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("/s/{SERVICE}/bid"))
            .header(http::header::HOST, address.to_string())
            .header(http::header::AUTHORIZATION, format!("Bearer {TEAM_TOKEN}"))
            .body(Body::full("bid"))
            .expect("request");
        let limit = Duration::from_secs(5);
        let response = client.exchange(address, request, limit).await.expect("an answer");
        answered += u32::from(response.status().is_success());
    }
    answered
}
