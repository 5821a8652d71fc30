//! The processes of the demo.

use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::{ensure, eyre, WrapErr};
use http::Method;
use peridotfold_wire::http_client::HttpClient;
use serde_json::{json, Value};
use sha2::{Digest, Sha256};

use crate::launch::{AgentPlan, EntryPlan, Launcher, ANY_PORT, DATA_CENTRE};
use crate::process::Process;

pub const SERVICE: &str = "listings";
pub const CELL: &str = "central-1";
pub const TEAM: &str = "guide";
pub const TOKEN: &str = "demo-team-token";
pub const OPERATOR_TOKEN: &str = "demo-operator-token";
/// VMs of the demo.
pub const VMS: usize = 3;
const ENTRIES: usize = 2;
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time in which a restarted process gets its port again.
const START_LIMIT: Duration = Duration::from_secs(5);
const STOP_LIMIT: Duration = Duration::from_secs(30);

/// Lengthens the closing period.
pub const SECOND_PATCH: &str = r#"{"closings":{"year-end":{"lead_s":900}}}"#;

/// Output of a command of the operators' client.
#[derive(Debug)]
pub struct Answer {
    pub success: bool,
    pub text: String,
}

/// Worker and upstream of one VM, which outlive its agent.
#[derive(Debug)]
struct Vm {
    worker: Process,
    upstream: Process,
    agent: Option<Process>,
    address: Option<SocketAddr>,
}

/// All processes of the demo.
#[derive(Debug)]
pub struct Cluster {
    launcher: Launcher,
    store: Process,
    entries: Vec<Option<Process>>,
    /// Internal and HTTP addresses, kept by a restarted entry like the address of its VM.
    addresses: Vec<(SocketAddr, SocketAddr)>,
    vms: Vec<Vm>,
    http: HttpClient,
}

impl Cluster {
    /// Starts all processes but the agents.
    ///
    /// # Errors
    ///
    /// Fails when one of them does not listen.
    pub fn start(program: &Path, directory: &Path) -> eyre::Result<Self> {
        let standin = |name: &str, kind: &str| {
            let log = directory.join(format!("{name}.log"));
            let mut args = vec![kind.to_owned(), "--listen".into(), ANY_PORT.to_string()];
            if kind == "upstream" {
                args.extend(["--base-ms".to_owned(), "5".to_owned()]);
            }
            Process::start(name, &std::env::current_exe()?, &args, &log)
        };
        let store = standin("store", "store")?;
        let mut vms = Vec::new();
        for index in 1..=VMS {
            let worker = standin(&format!("worker-{index}"), "worker")?;
            let upstream = standin(&format!("upstream-{index}"), "upstream")?;
            vms.push(Vm { worker, upstream, agent: None, address: None });
        }
        let mut cluster = Cluster {
            launcher: Launcher {
                program: program.to_owned(),
                logs: directory.to_owned(),
                limit: START_LIMIT,
            },
            store,
            entries: (0..ENTRIES).map(|_| None).collect(),
            addresses: Vec::new(),
            vms,
            http: HttpClient::default(),
        };
        for index in 0..ENTRIES {
            cluster.start_entry(index)?;
        }
        Ok(cluster)
    }

    /// Starts an entry, on the addresses that it had before if any.
    ///
    /// # Errors
    ///
    /// Fails when it does not listen.
    pub fn start_entry(&mut self, index: usize) -> eyre::Result<()> {
        let name = format!("entry-{}", index + 1);
        let (internal, http) = self.addresses.get(index).copied().unwrap_or((ANY_PORT, ANY_PORT));
        let others = self.addresses.iter().enumerate().filter(|(other, _)| *other != index);
        let peers: Vec<SocketAddr> = others.map(|(_, (internal, _))| *internal).collect();
        let process = self.launcher.entry(&EntryPlan {
            name: &name,
            http,
            internal,
            advertise: None,
            store: self.store.http,
            peers: &peers,
            operator_digest: &digest(OPERATOR_TOKEN),
            flags: &[],
        })?;
        let addresses = (process.internal()?, process.http);
        match self.addresses.get_mut(index) {
            Some(known) => *known = addresses,
            None => self.addresses.push(addresses),
        }
        self.entries[index] = Some(process);
        Ok(())
    }

    /// Starts the agent of a VM.
    ///
    /// # Errors
    ///
    /// Fails when it does not listen.
    pub fn start_agent(&mut self, index: usize) -> eyre::Result<()> {
        let name = format!("vm-{}", index + 1);
        let entries: Vec<SocketAddr> =
            self.addresses.iter().map(|(internal, _)| *internal).collect();
        let vm = &mut self.vms[index];
        let process = self.launcher.agent(&AgentPlan {
            name: &name,
            rack: &format!("rack-{}", index + 1),
            cell: CELL,
            internal: vm.address.unwrap_or(ANY_PORT),
            advertise: None,
            entries: &entries,
            service: SERVICE,
            upstream: vm.upstream.http,
            worker: vm.worker.http,
            flags: &["--drain-grace", "3s"],
        })?;
        vm.address = Some(process.internal()?);
        vm.agent = Some(process);
        Ok(())
    }

    /// Kills an agent outright.
    ///
    /// # Errors
    ///
    /// Fails when it does not run.
    pub fn kill_agent(&mut self, index: usize) -> eyre::Result<()> {
        self.vms[index].agent.take().ok_or_else(|| eyre!("agent does not run"))?.kill()
    }

    /// Stops an agent gracefully.
    ///
    /// # Errors
    ///
    /// Fails when it does not end in time, or not with success.
    pub fn stop_agent(&mut self, index: usize) -> eyre::Result<()> {
        let agent = self.vms[index].agent.take().ok_or_else(|| eyre!("agent does not run"))?;
        stop(agent)
    }

    /// Kills an entry outright.
    ///
    /// # Errors
    ///
    /// Fails when it does not run.
    pub fn kill_entry(&mut self, index: usize) -> eyre::Result<()> {
        self.entries[index].take().ok_or_else(|| eyre!("entry does not run"))?.kill()
    }

    /// Stops agents, then entries, gracefully.
    ///
    /// # Errors
    ///
    /// Fails when one does not end in time, or not with success.
    pub fn stop(&mut self) -> eyre::Result<()> {
        for vm in &mut self.vms {
            vm.agent.take().map_or(Ok(()), stop)?;
        }
        for entry in &mut self.entries {
            entry.take().map_or(Ok(()), stop)?;
        }
        Ok(())
    }

    /// Makes the store refuse all calls, or serve again.
    ///
    /// # Errors
    ///
    /// Fails when the store's control endpoint does.
    pub fn set_store_down(&self, down: bool) -> eyre::Result<()> {
        let mode = if down { "refuse" } else { "up" };
        let body = json!({ "mode": mode }).to_string();
        self.call(self.store.http, Method::POST, "/control", &body).map(|_| ())
    }

    /// HTTP addresses of the entries.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.addresses.iter().map(|(_, http)| *http).collect()
    }

    /// Names and HTTP addresses of the running entries and agents.
    pub fn processes(&self) -> Vec<(String, SocketAddr)> {
        let agents = self.vms.iter().filter_map(|vm| vm.agent.as_ref());
        let running = self.entries.iter().flatten().chain(agents);
        running.map(|process| (process.name.clone(), process.http)).collect()
    }

    /// Workers' and upstreams' addresses, by VM.
    pub fn vm_addresses(&self) -> Vec<(SocketAddr, SocketAddr)> {
        self.vms.iter().map(|vm| (vm.worker.http, vm.upstream.http)).collect()
    }

    /// Address of the store.
    pub fn store_address(&self) -> SocketAddr {
        self.store.http
    }

    /// Waits until each entry knows `count` upstreams, with a configuration.
    ///
    /// # Errors
    ///
    /// Fails when `limit` passes first.
    pub fn wait_ready(&self, count: usize, limit: Duration) -> eyre::Result<()> {
        let ready = |status: &Value| {
            let upstreams = status["upstreams"].as_array();
            upstreams.is_some_and(|list| {
                list.len() == count && list.iter().all(|u| u["config_version"].as_u64() >= Some(1))
            })
        };
        self.wait(limit, "upstreams are not ready", |c| Ok(c.statuses()?.iter().all(ready)))
    }

    /// Waits until `version` is in force at each entry and agent.
    ///
    /// # Errors
    ///
    /// Fails when `limit` passes first.
    pub fn wait_version(&self, version: u64, limit: Duration) -> eyre::Result<()> {
        self.wait(limit, "version is not in force", |cluster| {
            Ok(cluster.versions()?.iter().all(|seen| *seen >= version))
        })
    }

    /// Versions in force at the entries and, as they announce it, at the agents.
    ///
    /// # Errors
    ///
    /// Fails when an entry cannot be asked.
    pub fn versions(&self) -> eyre::Result<Vec<u64>> {
        let mut versions = Vec::new();
        for status in self.statuses()? {
            versions.extend(status["config_version"].as_u64());
            let upstreams = status["upstreams"].as_array().cloned().unwrap_or_default();
            versions.extend(upstreams.iter().filter_map(|u| u["config_version"].as_u64()));
        }
        Ok(versions)
    }

    /// Version in force at one entry.
    ///
    /// # Errors
    ///
    /// Fails when the entry cannot be asked.
    pub fn version(&self, entry: usize) -> eyre::Result<u64> {
        let status = self.status(entry)?;
        status["config_version"].as_u64().ok_or_else(|| eyre!("status has no version: {status}"))
    }

    /// One job as its cell's owner sees it.
    ///
    /// # Errors
    ///
    /// Fails when the entry cannot be asked or does not know the job.
    pub fn job(&self, id: &str) -> eyre::Result<Value> {
        self.call(self.addresses[1].1, Method::GET, &format!("/v1/jobs/{id}"), "")
    }

    /// Submits a job through the client.
    ///
    /// # Errors
    ///
    /// Fails when the client cannot be run.
    pub fn submit(&self, spec: &str) -> eyre::Result<Answer> {
        self.client(&["job", "submit", "-"], spec, TOKEN)
    }

    /// Runs a command of the operators' client against entry-2.
    ///
    /// # Errors
    ///
    /// Fails when the client cannot be run.
    pub fn operator(&self, args: &[&str], input: &str) -> eyre::Result<Answer> {
        self.client(args, input, OPERATOR_TOKEN)
    }

    /// The patch that creates the whole first document.
    pub fn first_patch(&self) -> String {
        let vm = json!({"cpu_milli": 16000, "memory_mib": 61440, "accelerators": 1});
        let limit = json!({"cpu_milli": 10000, "memory_mib": 20480, "accelerators": 0});
        let batch = json!({"cpu_milli": 5000, "memory_mib": 20480, "accelerators": 1});
        let now = std::time::SystemTime::now();
        let time = |t| humantime::format_rfc3339_seconds(t).to_string();
        let end = now + Duration::from_secs(3 * 24 * 3600);
        json!({
            "vm_sizes": {"standard": vm},
            "cells": {CELL: {"data_centre": DATA_CENTRE}},
            "teams": {TEAM: {"token_sha256": digest(TOKEN), "quota": vm_times(&vm, VMS as u64)}},
            "services": {SERVICE: {"teams": [TEAM], "limit": limit}},
            "classes": {"rebuild": {"limit": batch, "urgent": true}},
            "closings": {"year-end": {
                "start": time(now), "end": time(end), "services": [SERVICE],
                "classes": ["rebuild"], "batch_limit": batch,
            }},
        })
        .to_string()
    }

    /// Calls a process over HTTP with the operators' token and returns its JSON answer.
    ///
    /// # Errors
    ///
    /// Fails without a successful answer in JSON.
    pub fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: &str,
    ) -> eyre::Result<Value> {
        let request = http::Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, address.to_string())
            .header(http::header::AUTHORIZATION, format!("Bearer {OPERATOR_TOKEN}"))
            .body(peridotfold_wire::body::Body::full(Bytes::copy_from_slice(body.as_bytes())))?;
        let response = smol::block_on(self.http.exchange(address, request, CALL_TIMEOUT))?;
        let text = String::from_utf8_lossy(response.body());
        ensure!(response.status().is_success(), "{path}: {} {text}", response.status());
        if text.is_empty() {
            return Ok(Value::Null);
        }
        serde_json::from_str(&text).wrap_err_with(|| format!("{path}: {text}"))
    }

    fn statuses(&self) -> eyre::Result<Vec<Value>> {
        (0..ENTRIES).map(|entry| self.status(entry)).collect()
    }

    fn status(&self, entry: usize) -> eyre::Result<Value> {
        self.call(self.addresses[entry].1, Method::GET, "/v1/status", "")
    }

    fn client(&self, args: &[&str], input: &str, token: &str) -> eyre::Result<Answer> {
        let mut child = Command::new(&self.launcher.program)
            .args(args)
            .env("PERIDOTFOLD_ENTRY", self.addresses[1].1.to_string())
            .env("PERIDOTFOLD_TOKEN", token)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        if let Some(mut stdin) = child.stdin.take() {
            stdin.write_all(input.as_bytes())?;
        }
        let output = child.wait_with_output()?;
        let text = [output.stdout, output.stderr].concat();
        Ok(Answer {
            success: output.status.success(),
            text: String::from_utf8_lossy(&text).into_owned(),
        })
    }

    fn wait(
        &self,
        limit: Duration,
        what: &str,
        mut ready: impl FnMut(&Cluster) -> eyre::Result<bool>,
    ) -> eyre::Result<()> {
        let begin = Instant::now();
        while !ready(self)? {
            ensure!(begin.elapsed() < limit, "{what} within {limit:?}: {:#?}", self.statuses()?);
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }
}

fn stop(mut process: Process) -> eyre::Result<()> {
    process.signal("TERM")?;
    let status = process.wait(STOP_LIMIT)?;
    ensure!(status.success(), "{} ended with {status} after SIGTERM", process.name);
    Ok(())
}

fn digest(token: &str) -> String {
    Sha256::digest(token).iter().map(|byte| format!("{byte:02x}")).collect()
}

fn vm_times(vm: &Value, count: u64) -> Value {
    let times = |key: &str| vm[key].as_u64().unwrap_or_default() * count;
    json!({
        "cpu_milli": times("cpu_milli"),
        "memory_mib": times("memory_mib"),
        "accelerators": times("accelerators"),
    })
}
