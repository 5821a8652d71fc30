//! `peridotfold agent`.

use peridotfold_agent::settings::Settings;

use super::process::{self, Process};
use super::CommandError;
use crate::options::{Help, Opt, Values};

pub const OPTIONS: &[Opt] = &[
    Opt {
        flag: "id",
        value: "NAME",
        help: "Name of this VM's agent, kept across restarts",
        default: None,
    },
    Opt { flag: "data-centre", value: "NAME", help: "Data centre of this VM", default: None },
    Opt { flag: "rack", value: "NAME", help: "Rack of this VM", default: None },
    Opt {
        flag: "cell",
        value: "NAME",
        help: "Cell that schedules this VM's batch work",
        default: None,
    },
    Opt {
        flag: "internal",
        value: "IP:PORT",
        help: "Address for messages of entries, as they reach it",
        default: None,
    },
    Opt {
        flag: "advertise",
        value: "IP:PORT",
        help: "Address at which others reach --internal, if it is another one",
        default: None,
    },
    Opt {
        flag: "http",
        value: "IP:PORT",
        help: "Address for health and metrics",
        default: Some("127.0.0.1:0"),
    },
    Opt {
        flag: "entries",
        value: "IP:PORT,...",
        help: "Internal addresses of entries to begin with",
        default: None,
    },
    Opt {
        flag: "service",
        value: "NAME",
        help: "Service that the upstream provides",
        default: None,
    },
    Opt { flag: "upstream", value: "IP:PORT", help: "Address of the upstream", default: None },
    Opt {
        flag: "worker",
        value: "IP:PORT",
        help: "Address of the platform's worker API",
        default: None,
    },
    Opt {
        flag: "drain-grace",
        value: "DURATION",
        help: "Time after which a leaving agent closes responses that have no end",
        default: Some("30s"),
    },
    Opt { flag: "threads", value: "N", help: "Threads of the pool", default: Some("1") },
];

pub const HELP: Help = Help {
    usage: "peridotfold agent [OPTIONS]",
    about: "Serves one worker VM: admits requests for its upstream and runs batch tasks.\n\
            Prints `listening http=IP:PORT internal=IP:PORT` once it serves; drains on SIGTERM.",
    options: &[OPTIONS, process::OPTIONS],
};

/// Reads and checks all settings.
///
/// # Errors
///
/// Returns every problem at once. `Ok(None)` means that help was printed.
pub fn parse(parser: lexopt::Parser) -> Result<Option<(Settings, Process)>, CommandError> {
    let Some(mut values) = Values::read(parser, &HELP) else { return Ok(None) };
    let settings = Settings {
        id: values.name("id"),
        data_centre: values.name("data-centre"),
        rack: values.name("rack"),
        cell: values.name("cell"),
        internal: values.address("internal"),
        advertise: values.optional_address("advertise"),
        http: values.address("http"),
        entries: values.addresses("entries"),
        service: values.name("service"),
        upstream: values.address("upstream"),
        worker: values.address("worker"),
        drain_grace: values.duration("drain-grace"),
    };
    let process = Process::new(&mut values);
    if settings.entries.is_empty() {
        values.problem("--entries: at least one address is required (or PERIDOTFOLD_ENTRIES)");
    }
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
    process.run(peridotfold_agent::run(settings))
}
