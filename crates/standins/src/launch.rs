//! Command lines of entries and agents that run as processes of their own.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::process::Process;

/// Data centre of every process.
pub const DATA_CENTRE: &str = "dc-1";
/// Lets the kernel choose a port.
pub const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Starts processes of the built binary.
#[derive(Debug)]
pub struct Launcher {
    pub program: PathBuf,
    /// Directory of the log files.
    pub logs: PathBuf,
    /// Time in which a restarted process gets its port again.
    pub limit: Duration,
}

/// Settings of an entry.
#[derive(Debug)]
pub struct EntryPlan<'a> {
    pub name: &'a str,
    pub http: SocketAddr,
    pub internal: SocketAddr,
    pub advertise: Option<SocketAddr>,
    pub store: SocketAddr,
    pub peers: &'a [SocketAddr],
    pub operator_digest: &'a str,
    /// Further flags.
    pub flags: &'a [&'a str],
}

/// Settings of an agent.
#[derive(Debug)]
pub struct AgentPlan<'a> {
    pub name: &'a str,
    pub rack: &'a str,
    pub cell: &'a str,
    pub internal: SocketAddr,
    pub advertise: Option<SocketAddr>,
    pub entries: &'a [SocketAddr],
    pub service: &'a str,
    pub upstream: SocketAddr,
    pub worker: SocketAddr,
    /// Further flags.
    pub flags: &'a [&'a str],
}

impl Launcher {
    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// Fails when it does not listen within the limit.
    pub fn entry(&self, plan: &EntryPlan<'_>) -> eyre::Result<Process> {
        let args = [
            ("--id", plan.name.to_owned()),
            ("--data-centre", DATA_CENTRE.to_owned()),
            ("--http", plan.http.to_string()),
            ("--internal", plan.internal.to_string()),
            ("--advertise", optional(plan.advertise)),
            ("--store", plan.store.to_string()),
            ("--peers", list(plan.peers)),
            ("--operator-digest", plan.operator_digest.to_owned()),
        ];
        self.start("entry", plan.name, args, plan.flags)
    }

    /// Starts an agent.
    ///
    /// # Errors
    ///
    /// Fails when it does not listen within the limit.
    pub fn agent(&self, plan: &AgentPlan<'_>) -> eyre::Result<Process> {
        let args = [
            ("--id", plan.name.to_owned()),
            ("--data-centre", DATA_CENTRE.to_owned()),
            ("--rack", plan.rack.to_owned()),
            ("--cell", plan.cell.to_owned()),
            ("--internal", plan.internal.to_string()),
            ("--advertise", optional(plan.advertise)),
            ("--entries", list(plan.entries)),
            ("--service", plan.service.to_owned()),
            ("--upstream", plan.upstream.to_string()),
            ("--worker", plan.worker.to_string()),
        ];
        self.start("agent", plan.name, args, plan.flags)
    }

    /// File with the log of a process.
    pub fn log(&self, name: &str) -> PathBuf {
        self.logs.join(format!("{name}.log"))
    }

    fn start<const N: usize>(
        &self,
        command: &str,
        name: &str,
        settings: [(&str, String); N],
        flags: &[&str],
    ) -> eyre::Result<Process> {
        let mut args = vec![command.to_owned()];
        args.extend(settings.into_iter().flat_map(|(flag, value)| [flag.to_owned(), value]));
        args.extend(flags.iter().map(|flag| (*flag).to_owned()));
        Process::start_again(name, &self.program, &args, &self.log(name), self.limit)
    }
}

fn optional(address: Option<SocketAddr>) -> String {
    address.map(|address| address.to_string()).unwrap_or_default()
}

fn list(addresses: &[SocketAddr]) -> String {
    addresses.iter().map(SocketAddr::to_string).collect::<Vec<_>>().join(",")
}
