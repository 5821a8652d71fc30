//! `peridotfold entry`.

use peridotfold_entry::settings::Settings;
use peridotfold_wire::limits::Limits;

use super::process::{self, Process};
use super::CommandError;
use crate::options::{Help, Opt, Values};

const MAX_CONNECTIONS: u64 = 1_000_000;
/// More connections than this take more than the default memory allows.
const MAX_DEFAULT_CONNECTIONS: u64 = 4_096;
/// The largest body needs a part of the memory.
const MIN_MEMORY_MB: u64 = 4;
const MAX_MEMORY_MB: u64 = 1_000_000;

pub const OPTIONS: &[Opt] = &[
    Opt {
        flag: "id",
        value: "NAME",
        help: "Name of this entry, kept across restarts",
        default: None,
    },
    Opt { flag: "data-centre", value: "NAME", help: "Data centre of this VM", default: None },
    Opt {
        flag: "http",
        value: "IP:PORT",
        help: "Address for callers and operators; port 0 lets the kernel choose",
        default: Some("0.0.0.0:8080"),
    },
    Opt {
        flag: "internal",
        value: "IP:PORT",
        help: "Address for agents and other entries, as they reach it",
        default: None,
    },
    Opt {
        flag: "advertise",
        value: "IP:PORT",
        help: "Address at which others reach --internal, if it is another one",
        default: None,
    },
    Opt {
        flag: "store",
        value: "IP:PORT",
        help: "Address of the platform's key-value store",
        default: None,
    },
    Opt {
        flag: "peers",
        value: "IP:PORT,...",
        help: "Internal addresses of other entries, asked for the configuration at start",
        default: None,
    },
    Opt {
        flag: "operator-digest",
        value: "HEX",
        help: "SHA-256 digest of the operators' token",
        default: None,
    },
    Opt {
        flag: "outage-hold",
        value: "DURATION",
        help: "Time without the store after which authority over cells and keys ends",
        default: Some("10min"),
    },
    Opt {
        flag: "dead-after",
        value: "DURATION",
        help: "Time without heartbeats after which another entry is dead",
        default: Some("6s"),
    },
    Opt {
        flag: "caller-connections",
        value: "N",
        help: "Most connections of callers and operators; by default half of the process's descriptors, at most 4096",
        default: None,
    },
    Opt {
        flag: "caller-memory-mb",
        value: "MB",
        help: "Most memory held for callers and operators, in units of 10^6 bytes",
        default: Some("256"),
    },
    Opt { flag: "threads", value: "N", help: "Threads of the pool", default: Some("2") },
];

pub const HELP: Help = Help {
    usage: "peridotfold entry [OPTIONS]",
    about: "Serves callers and operators, routes requests to agents and schedules batch work.\n\
            Prints `listening http=IP:PORT internal=IP:PORT` once it serves; stops on SIGTERM.",
    options: &[OPTIONS, process::OPTIONS],
};

/// Returns half of the descriptors that the process may open: the rest is for the store, agents, other entries and
/// files.
fn default_connections() -> u64 {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    (limit.unwrap_or(u64::MAX) / 2).clamp(1, MAX_DEFAULT_CONNECTIONS)
}

/// Reads and checks all settings.
///
/// # Errors
///
/// Returns every problem at once. `Ok(None)` means that help was printed.
pub fn parse(parser: lexopt::Parser) -> Result<Option<(Settings, Process)>, CommandError> {
    let Some(mut values) = Values::read(parser, &HELP) else { return Ok(None) };
    let connections =
        values.optional_number("caller-connections").unwrap_or_else(default_connections);
    if !(1..=MAX_CONNECTIONS).contains(&connections) {
        values.problem(format!("--caller-connections: not between 1 and {MAX_CONNECTIONS}"));
    }
    let memory_mb = values.number("caller-memory-mb");
    if !(MIN_MEMORY_MB..=MAX_MEMORY_MB).contains(&memory_mb) {
        let range = format!("between {MIN_MEMORY_MB} and {MAX_MEMORY_MB}");
        values.problem(format!("--caller-memory-mb: not {range}"));
    }
    let settings = Settings {
        id: values.name("id"),
        data_centre: values.name("data-centre"),
        http: values.address("http"),
        internal: values.address("internal"),
        advertise: values.optional_address("advertise"),
        store: values.address("store"),
        peers: values.addresses("peers"),
        operator_digest: values.digest("operator-digest"),
        outage_hold: values.duration("outage-hold"),
        dead_after: values.duration("dead-after"),
        limits: Limits {
            connections: connections as usize,
            requests: usize::MAX,
            memory: memory_mb as usize * 1_000_000,
        },
    };
    let process = Process::new(&mut values);
    values.finish()?;
    Ok(Some((settings, process)))
}

/// Runs the command.
///
/// # Errors
///
/// Fails on invalid settings, or when the process cannot serve.
pub fn run(parser: lexopt::Parser) -> Result<(), CommandError> {
    let Some((settings, process)) = parse(parser)? else { return Ok(()) };
    process.run(peridotfold_entry::run(settings))
}
