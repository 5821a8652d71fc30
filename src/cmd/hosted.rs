//! `peridotfold hosted`: the roles of the users' platform.

use std::future::Future;

use peridotfold_platform::limits::Overrides;
use peridotfold_platform::run;
use peridotfold_platform::settings::Settings;
use peridotfold_wire::runtime;

use super::CommandError;
use crate::logging;
use crate::options::{Help, Opt, Values};

pub const OPTIONS: &[Opt] = &[
    Opt {
        flag: "settings",
        value: "FILE",
        help: "Settings of the machine",
        default: Some("/etc/peridotfold/local.json"),
    },
    Opt {
        flag: "metrics-port",
        value: "PORT",
        help: "Port for metrics on the machine's address",
        default: Some("9464"),
    },
    Opt {
        flag: "caller-connections",
        value: "N",
        help: "Most connections of callers, in place of a number derived from the settings",
        default: None,
    },
    Opt {
        flag: "caller-memory-mb",
        value: "MB",
        help: "Most memory held for callers, in units of 10^6 bytes, in place of a part of the settings'",
        default: None,
    },
    Opt {
        flag: "log",
        value: "FILTER",
        help: "Log filter, such as info or debug",
        default: Some("info"),
    },
];

pub const HELP: Help = Help {
    usage: "peridotfold hosted <entry|agent|check> [OPTIONS]",
    about:
        "Runs a role on the users' platform. The file that PERIDOTFOLD_SETTINGS names holds the\n\
            machine's settings; `check` reads it and starts nothing.",
    options: &[OPTIONS],
};

/// Runs the command.
///
/// # Errors
///
/// Fails on invalid settings, or when the process cannot serve.
pub fn run(parser: lexopt::Parser) -> Result<(), CommandError> {
    let Some(mut values) = Values::read(parser, &HELP) else { return Ok(()) };
    let role = values.argument("role: entry, agent or check");
    let path = values.text("settings");
    let port = values.number("metrics-port");
    let overrides = Overrides {
        connections: values.optional_number("caller-connections").map(saturate),
        memory: values
            .optional_number("caller-memory-mb")
            .map(|megabytes| saturate(megabytes).saturating_mul(1_000_000)),
    };
    let log = values.log_filter("log");
    if port > u64::from(u16::MAX) {
        values.problem("--metrics-port: not a port");
    }
    values.finish()?;
    let settings = Settings::read(&path).map_err(CommandError::Usage)?;
    let limits = settings.limits(overrides).map_err(CommandError::Usage)?;
    match role.as_str() {
        "entry" => start(&log, &path, settings.clone(), run::entry(settings, limits, port as u16)),
        "agent" => start(&log, &path, settings.clone(), run::agent(settings, limits, port as u16)),
        "check" => {
            println!("settings of {} are valid", settings.node);
            Ok(())
        }
        other => Err(CommandError::usage(format!("hosted: unknown role `{other}`"))),
    }
}

/// Converts a number; one that does not fit is over every limit.
fn saturate(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

/// Threads beside the main one: a machine of this platform has a fraction of one core.
const THREADS: usize = 1;

fn start(
    log: &str,
    path: &str,
    settings: Settings,
    main: impl Future<Output = eyre::Result<()>>,
) -> Result<(), CommandError> {
    let _flushes_at_end =
        logging::start_bounded(log).map_err(|e| CommandError::usage(format!("--log: {e}")))?;
    Ok(runtime::run(THREADS, async {
        runtime::spawn(run::reload(path.to_owned(), settings)).detach();
        main.await
    })?)
}
