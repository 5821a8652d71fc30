//! Command line of the stand-ins.

use peridotfold_standins::{store, upstream, worker};

fn main() -> eyre::Result<()> {
    let mut parser = lexopt::Parser::from_env();
    match parser.next()? {
        Some(lexopt::Arg::Value(name)) if name == "store" => store::run(parser),
        Some(lexopt::Arg::Value(name)) if name == "worker" => worker::run(parser),
        Some(lexopt::Arg::Value(name)) if name == "upstream" => upstream::run(parser),
        Some(other) => Err(other.unexpected().into()),
        None => eyre::bail!("usage: peridotfold-standins store|worker|upstream [--listen IP:PORT]"),
    }
}
