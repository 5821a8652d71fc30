//! `peridotfold config`.

use bytes::Bytes;
use eyre::WrapErr;
use http::Method;
use peridotfold_core::config::Document;

use super::client::{self, Client};
use super::CommandError;
use crate::options::{Help, Opt, Values};

pub const OPTIONS: &[Opt] = &[Opt {
    flag: "base",
    value: "VERSION",
    help: "Version that the patch was written against (patch)",
    default: Some(""),
}];

const HELP: Help = Help {
    usage: "peridotfold config <show [VERSION] | patch --base VERSION FILE | check FILE>",
    about: "Shows the configuration in force or an older version, submits a JSON merge patch, or\n\
            checks a whole document in FILE without an entry. FILE `-` is standard input.",
    options: &[OPTIONS, client::OPTIONS],
};

/// Runs the command.
///
/// # Errors
///
/// Fails on usage errors, and when the entry cannot be reached or refuses.
pub fn run(parser: lexopt::Parser) -> Result<(), CommandError> {
    let Some(mut values) = Values::read(parser, &HELP) else { return Ok(()) };
    let client = Client::new(&mut values);
    match values.argument("show, patch or check").as_str() {
        "show" => {
            let version = values.optional_argument().unwrap_or_default();
            if !version.chars().all(|c| c.is_ascii_digit()) {
                values.problem(format!("`{version}` is not a version number"));
            }
            values.finish()?;
            let path = match version.as_str() {
                "" => "/v1/config".to_owned(),
                version => format!("/v1/config/{version}"),
            };
            client.print(Method::GET, &path, Bytes::new())
        }
        "patch" => {
            let base = values.number("base");
            let file = values.argument("FILE");
            values.finish()?;
            let patch = read_file(&file)?;
            client.print(Method::PATCH, &format!("/v1/config?base={base}"), patch)
        }
        "check" => {
            let file = values.argument("FILE");
            values.finish()?;
            check(&file)
        }
        other => {
            if !other.is_empty() {
                values
                    .problem(format!("unknown argument `{other}`; expected show, patch or check"));
            }
            values.finish()
        }
    }
}

/// Reads a file, or standard input for `-`.
pub fn read_file(file: &str) -> eyre::Result<Bytes> {
    let read = match file {
        "-" => std::io::read_to_string(std::io::stdin()).map(String::into_bytes),
        _ => std::fs::read(file),
    };
    read.map(Bytes::from).wrap_err_with(|| format!("read {file}"))
}

fn check(file: &str) -> Result<(), CommandError> {
    let text = read_file(file)?;
    let document: Document =
        serde_json::from_slice(&text).map_err(|e| CommandError::usage(format!("{file}: {e}")))?;
    let problems = peridotfold_core::config::validate(&document);
    if !problems.is_empty() {
        let line = |p: &peridotfold_core::config::Problem| format!("{}: {}", p.field, p.detail);
        return Err(CommandError::Usage(problems.iter().map(line).collect()));
    }
    println!("document is valid");
    Ok(())
}
