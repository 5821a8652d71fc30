//! Command line of the stand-ins.

use std::process::ExitCode;

use peridotfold_standins::{demo, store, upstream, worker};

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("error: {report:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> eyre::Result<()> {
    let mut parser = lexopt::Parser::from_env();
    match parser.next()? {
        Some(lexopt::Arg::Value(name)) if name == "store" => store::run(parser),
        Some(lexopt::Arg::Value(name)) if name == "worker" => worker::run(parser),
        Some(lexopt::Arg::Value(name)) if name == "upstream" => upstream::run(parser),
        Some(lexopt::Arg::Value(name)) if name == "demo" => demo::run(parser),
        Some(other) => Err(other.unexpected().into()),
        None => eyre::bail!("usage: peridotfold-standins <store|worker|upstream|demo> [OPTIONS]"),
    }
}
