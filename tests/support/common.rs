//! Entries and agents as processes of their own, with the stand-ins in the test's process.

// Each test file uses a part.
#![allow(dead_code)]

use std::future::Future;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, Response};
use peridotfold_core::resources::Resources;
use peridotfold_standins::forwarder::Forwarder;
use peridotfold_standins::launch::{AgentPlan, EntryPlan, Launcher, ANY_PORT, DATA_CENTRE};
use peridotfold_standins::process::Process;
use peridotfold_standins::store::{self, Faults, Mode, Store};
use peridotfold_standins::upstream::{self, Upstream};
use peridotfold_standins::worker::{self, Worker};
use peridotfold_wire::body::Body;
use peridotfold_wire::error::WireError;
use peridotfold_wire::http_client::HttpClient;
use peridotfold_wire::runtime;
use serde_json::{json, Value};
use sha2::{Digest, Sha256};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_peridotfold");
pub const SERVICE: &str = "listings";
pub const CELL: &str = "central-1";
pub const TEAM: &str = "guide";
pub const TEAM_TOKEN: &str = "secret-of-the-team";
pub const OPERATOR_TOKEN: &str = "secret-of-the-operators";
/// Bound on preparations, which no target bounds.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// A version is in effect everywhere within this time (design, section 1.6).
pub const IN_EFFECT: Duration = Duration::from_secs(7);
const CALL_LIMIT: Duration = Duration::from_secs(10);
/// A command ends within this time.
const COMMAND_LIMIT: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(20);

/// Runs a test; the stand-ins use a pool of threads.
pub fn run(test: impl Future<Output = ()>) {
    static THREADS: OnceLock<()> = OnceLock::new();
    THREADS.get_or_init(|| runtime::start_threads(4));
    smol::block_on(test);
}

/// Waits until `condition` holds, and returns how long it took.
///
/// # Panics
///
/// Panics when it does not hold within `limit`.
pub async fn within<F: Future<Output = bool>>(
    limit: Duration,
    what: &str,
    mut condition: impl FnMut() -> F,
) -> Duration {
    let begin = runtime::now();
    while !condition().await {
        let elapsed = runtime::now() - begin;
        assert!(elapsed < limit, "not within {limit:?}: {what}");
        runtime::sleep(POLL).await;
    }
    runtime::now() - begin
}

/// Result of a command of the binary.
#[derive(Debug)]
pub struct Output {
    /// Absent when the command had to be ended.
    pub code: Option<i32>,
    pub out: String,
    pub err: String,
}

/// Runs the binary to its end, with no other variables than `variables`.
pub fn command(args: &[&str], variables: &[(&str, &str)], input: &str) -> Output {
    let mut child = Command::new(PROGRAM)
        .args(args)
        .env_clear()
        .envs(variables.iter().copied())
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    // A command that refuses its arguments does not read its input.
    let _ = child.stdin.take().expect("input").write_all(input.as_bytes());
    // Output that fills a pipe would block the child, so both are read while it runs.
    let read = |pipe: Option<Box<dyn Read + Send>>| {
        std::thread::spawn(move || {
            let mut bytes = Vec::new();
            pipe.expect("output").read_to_end(&mut bytes).expect("output is read");
            String::from_utf8_lossy(&bytes).into_owned()
        })
    };
    let out = read(child.stdout.take().map(|pipe| Box::new(pipe) as _));
    let err = read(child.stderr.take().map(|pipe| Box::new(pipe) as _));
    let begin = Instant::now();
    let status = loop {
        match child.try_wait().expect("the command can be waited for") {
            Some(status) => break Some(status),
            None if begin.elapsed() < COMMAND_LIMIT => std::thread::sleep(POLL),
            // A process that serves in spite of bad settings does not end by itself.
            None => {
                child.kill().expect("the command can be ended");
                child.wait().expect("the command can be waited for");
                break None;
            }
        }
    };
    Output {
        code: status.and_then(|status| status.code()),
        out: out.join().expect("output"),
        err: err.join().expect("output"),
    }
}

/// SHA-256 in hex.
pub fn digest(token: &str) -> String {
    Sha256::digest(token).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Service and accelerators of one VM.
#[derive(Debug, Clone, Copy)]
pub struct VmKind {
    pub service: &'static str,
    pub accelerators: u64,
}

impl Default for VmKind {
    fn default() -> Self {
        VmKind { service: SERVICE, accelerators: 1 }
    }
}

/// What a cluster consists of.
#[derive(Debug, Clone)]
pub struct Plan {
    pub entries: usize,
    pub vms: Vec<VmKind>,
    /// The first document.
    pub document: Value,
    /// Puts a forwarder before each entry and each agent, and one between each entry and the store.
    pub forwarded: bool,
}

impl Plan {
    /// Builds a plan with VMs of the default kind and without forwarders.
    pub fn new(entries: usize, vms: usize) -> Self {
        let vms = vec![VmKind::default(); vms];
        Plan { entries, vms, document: first_document(), forwarded: false }
    }
}

/// Worker and upstream of one VM, and its agent while it runs.
pub struct Vm {
    kind: VmKind,
    pub worker: Worker,
    pub upstream: Upstream,
    pub agent: Option<Process>,
    /// Connections of entries to the agent, if the plan has forwarders.
    pub way: Option<Forwarder>,
    internal: Option<SocketAddr>,
}

/// Forwarders on the ways to an entry and from it to the store.
pub struct Ways {
    /// Connections of agents and other entries to the entry.
    pub entry: Forwarder,
    pub store: Forwarder,
}

/// A store, entries and VMs.
pub struct Cluster {
    directory: tempfile::TempDir,
    pub store: Store,
    pub entries: Vec<Option<Process>>,
    /// Internal and HTTP addresses, kept by a restarted entry.
    addresses: Vec<(SocketAddr, SocketAddr)>,
    pub vms: Vec<Vm>,
    /// Of each entry, if the plan has them.
    pub ways: Vec<Ways>,
    pub client: HttpClient,
    /// Time after which a leaving agent closes endless responses.
    pub drain_grace: &'static str,
}

impl Cluster {
    /// Starts the store, the entries and the VMs, applies the first document and waits until each
    /// entry knows each agent.
    pub async fn start(entries: usize, vms: usize) -> Self {
        Cluster::start_plan(Plan::new(entries, vms)).await
    }

    /// As [`Cluster::start`], for any plan.
    pub async fn start_plan(plan: Plan) -> Self {
        let vms = plan.vms.len();
        let mut cluster = Cluster::prepare(plan).await;
        for vm in 0..vms {
            cluster.start_agent(vm);
        }
        cluster.wait_ready(vms).await;
        cluster
    }

    /// Starts all but the agents, and applies the first document.
    pub async fn without_agents(entries: usize, vms: usize) -> Self {
        Cluster::prepare(Plan::new(entries, vms)).await
    }

    async fn prepare(plan: Plan) -> Self {
        let store = Store::start(store::Options::default()).await.expect("store");
        let mut cluster = Cluster {
            directory: tempfile::tempdir().expect("directory"),
            store,
            entries: Vec::new(),
            addresses: Vec::new(),
            vms: Vec::new(),
            ways: Vec::new(),
            client: HttpClient::default(),
            drain_grace: "30s",
        };
        for kind in plan.vms {
            let capacity = Resources::new(16_000, 60_000, kind.accelerators);
            let options = worker::Options { capacity, ..worker::Options::default() };
            let worker = Worker::start(options).await.expect("worker");
            let upstream = Upstream::start(upstream::Options::default()).await.expect("upstream");
            let way = match plan.forwarded {
                true => Some(Forwarder::start().await.expect("forwarder")),
                false => None,
            };
            cluster.vms.push(Vm { kind, worker, upstream, agent: None, way, internal: None });
        }
        for index in 0..plan.entries {
            cluster.entries.push(None);
            if plan.forwarded {
                let entry = Forwarder::start().await.expect("forwarder");
                let store = Forwarder::start().await.expect("forwarder");
                store.set_target(cluster.store.address());
                cluster.ways.push(Ways { entry, store });
            }
            cluster.start_entry(index);
        }
        within(PATIENCE, "first document accepted", || async {
            cluster.patch(0, 0, &plan.document.to_string()).await.0 == 200
        })
        .await;
        cluster.wait_version(1, PATIENCE).await;
        cluster
    }

    /// Starts an entry, on its addresses from before if any.
    pub fn start_entry(&mut self, index: usize) {
        let name = format!("entry-{}", index + 1);
        let (internal, http) = self.addresses.get(index).copied().unwrap_or((ANY_PORT, ANY_PORT));
        let others = (0..self.addresses.len()).filter(|other| *other != index);
        let peers: Vec<SocketAddr> = others.map(|other| self.reached_at(other)).collect();
        let ways = self.ways.get(index);
        let plan = EntryPlan {
            name: &name,
            http,
            internal,
            advertise: ways.map(|ways| ways.entry.address()),
            store: ways.map_or(self.store.address(), |ways| ways.store.address()),
            peers: &peers,
            operator_digest: &digest(OPERATOR_TOKEN),
            flags: &["--log", "info,peridotfold=debug"],
        };
        let process = self.launcher().entry(&plan).expect("entry listens");
        let addresses = (process.internal().expect("internal address"), process.http);
        if let Some(ways) = self.ways.get(index) {
            ways.entry.set_target(addresses.0);
        }
        match self.addresses.get_mut(index) {
            Some(known) => *known = addresses,
            None => self.addresses.push(addresses),
        }
        self.entries[index] = Some(process);
    }

    /// Starts the agent of a VM, on its address from before if any.
    pub fn start_agent(&mut self, index: usize) {
        let name = format!("vm-{}", index + 1);
        let entries: Vec<SocketAddr> =
            (0..self.addresses.len()).map(|entry| self.reached_at(entry)).collect();
        let vm = &self.vms[index];
        let plan = AgentPlan {
            name: &name,
            rack: &format!("rack-{}", index + 1),
            cell: CELL,
            internal: vm.internal.unwrap_or(ANY_PORT),
            advertise: vm.way.as_ref().map(|way| way.address()),
            entries: &entries,
            service: vm.kind.service,
            upstream: vm.upstream.address(),
            worker: vm.worker.address(),
            flags: &["--drain-grace", self.drain_grace],
        };
        let process = self.launcher().agent(&plan).expect("agent listens");
        let internal = process.internal().expect("internal address");
        if let Some(way) = &self.vms[index].way {
            way.set_target(internal);
        }
        self.vms[index].internal = Some(internal);
        self.vms[index].agent = Some(process);
    }

    fn launcher(&self) -> Launcher {
        let logs = self.directory.path().to_owned();
        Launcher { program: PROGRAM.into(), logs, limit: CALL_LIMIT }
    }

    /// File with the log of a process.
    pub fn log(&self, name: &str) -> PathBuf {
        self.launcher().log(name)
    }

    /// Text of all logs.
    pub fn logs(&self) -> String {
        let files = std::fs::read_dir(self.directory.path()).expect("directory");
        files
            .map(|file| std::fs::read_to_string(file.expect("file").path()).expect("log"))
            .collect()
    }

    /// Running entry.
    pub fn entry(&mut self, index: usize) -> &mut Process {
        self.entries[index].as_mut().expect("the entry runs")
    }

    /// Running agent.
    pub fn agent(&mut self, index: usize) -> &mut Process {
        self.vms[index].agent.as_mut().expect("the agent runs")
    }

    /// HTTP address of an entry.
    pub fn http(&self, entry: usize) -> SocketAddr {
        self.addresses[entry].1
    }

    /// Address at which agents and other entries reach an entry.
    fn reached_at(&self, entry: usize) -> SocketAddr {
        self.ways.get(entry).map_or(self.addresses[entry].0, |ways| ways.entry.address())
    }

    /// Internal address of an entry.
    pub fn internal(&self, entry: usize) -> SocketAddr {
        self.addresses[entry].0
    }

    /// HTTP addresses of all entries.
    pub fn https(&self) -> Vec<SocketAddr> {
        self.addresses.iter().map(|(_, http)| *http).collect()
    }

    /// Makes the store refuse all calls, or serve again.
    pub fn set_store_down(&self, down: bool) {
        let mode = if down { Mode::Refuse } else { Mode::Up };
        self.store.set_faults(Faults { mode, ..Faults::default() });
    }

    /// Sends a request to any process.
    pub async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        token: &str,
        body: &str,
    ) -> Result<Response<Bytes>, WireError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, address.to_string())
            .header(http::header::AUTHORIZATION, format!("Bearer {token}"))
            .body(Body::full(Bytes::copy_from_slice(body.as_bytes())))
            .expect("request");
        self.client.exchange(address, request, CALL_LIMIT).await
    }

    /// Sends an operator's request; returns status and JSON, 0 without an answer.
    pub async fn operate(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: &str,
    ) -> (u16, Value) {
        match self.send(address, method, path, OPERATOR_TOKEN, body).await {
            Ok(response) => {
                let content = serde_json::from_slice(response.body()).unwrap_or(Value::Null);
                (response.status().as_u16(), content)
            }
            Err(error) => (0, json!({ "error": error.to_string() })),
        }
    }

    /// Submits a patch.
    pub async fn patch(&self, entry: usize, base: u64, patch: &str) -> (u16, Value) {
        let path = format!("/v1/config?base={base}");
        self.operate(self.http(entry), Method::PATCH, &path, patch).await
    }

    /// Version in effect at an entry, 0 while it does not answer.
    pub async fn entry_version(&self, entry: usize) -> u64 {
        let (_, status) = self.operate(self.http(entry), Method::GET, "/v1/status", "").await;
        status["config_version"].as_u64().unwrap_or_default()
    }

    /// Version in effect at an agent, 0 while it does not answer.
    pub async fn agent_version(&self, vm: usize) -> u64 {
        let Some(agent) = &self.vms[vm].agent else { return 0 };
        let (_, status) = self.operate(agent.http, Method::GET, "/v1/status", "").await;
        status["config_version"].as_u64().unwrap_or_default()
    }

    /// Versions in effect at the running entries and agents.
    pub async fn versions(&self) -> Vec<u64> {
        let mut versions = Vec::new();
        for index in 0..self.entries.len() {
            if self.entries[index].is_some() {
                versions.push(self.entry_version(index).await);
            }
        }
        for index in 0..self.vms.len() {
            if self.vms[index].agent.is_some() {
                versions.push(self.agent_version(index).await);
            }
        }
        versions
    }

    /// Waits until a version is in effect at each running process.
    pub async fn wait_version(&self, version: u64, limit: Duration) -> Duration {
        let what = format!("version {version} in effect everywhere");
        within(limit, &what, || async { self.versions().await.iter().all(|v| *v == version) }).await
    }

    /// Waits until each running entry lists `count` ready upstreams.
    pub async fn wait_ready(&self, count: usize) {
        for entry in (0..self.entries.len()).filter(|entry| self.entries[*entry].is_some()) {
            within(PATIENCE, "upstreams ready", || async {
                let (_, status) =
                    self.operate(self.http(entry), Method::GET, "/v1/status", "").await;
                let ready = |u: &&Value| {
                    u["state"] == "ready" && u["services"].as_array().is_some_and(|s| !s.is_empty())
                };
                let upstreams = status["upstreams"].as_array().cloned().unwrap_or_default();
                upstreams.iter().filter(ready).count() == count
            })
            .await;
        }
    }

    /// Submits a job of `tasks` tasks through an entry, again while the cell has no owner.
    pub async fn submit(&self, entry: usize, id: &str, tasks: u32, work_ms: u32) {
        self.submit_to(entry, id, tasks, work_ms, 0).await;
    }

    /// As [`Cluster::submit`], for tasks that need accelerators.
    pub async fn submit_to(
        &self,
        entry: usize,
        id: &str,
        tasks: u32,
        work_ms: u32,
        accelerators: u32,
    ) {
        let job = json!({
            "id": id, "class": "rebuild", "tasks": tasks, "cell": CELL,
            "need": {"cpu_milli": 2000, "memory_mib": 2048, "accelerators": accelerators},
            "command": format!("work_ms={work_ms}"),
        });
        within(PATIENCE, "job accepted", || async {
            let address = self.http(entry);
            let sent =
                self.send(address, Method::POST, "/v1/jobs", TEAM_TOKEN, &job.to_string()).await;
            sent.is_ok_and(|response| response.status().is_success())
        })
        .await;
    }

    /// A job as an entry shows it.
    pub async fn job(&self, entry: usize, id: &str) -> Value {
        let path = format!("/v1/jobs/{id}");
        self.operate(self.http(entry), Method::GET, &path, "").await.1
    }
}

/// The first document, for VMs like those of the stand-in worker.
pub fn first_document() -> Value {
    let resources = |cpu: u64, memory: u64, accelerators: u64| json!({"cpu_milli": cpu, "memory_mib": memory, "accelerators": accelerators});
    json!({
        "vm_sizes": {"standard": resources(16_000, 60_000, 1)},
        "cells": {CELL: {"data_centre": DATA_CENTRE}},
        "teams": {TEAM: {
            "token_sha256": digest(TEAM_TOKEN), "quota": resources(64_000, 240_000, 4),
        }},
        "services": {SERVICE: {"teams": [TEAM], "limit": resources(10_000, 20_000, 0)}},
        "classes": {"rebuild": {"limit": resources(6_000, 20_000, 1), "urgent": true}},
        "closings": {},
    })
}
