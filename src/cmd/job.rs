//! `peridotfold job`.

use bytes::Bytes;
use http::Method;

use super::client::{self, Client};
use super::config::read_file;
use super::CommandError;
use crate::options::{Help, Values};

const HELP: Help = Help {
    usage: "peridotfold job <submit FILE | list | show ID | cancel ID>",
    about:
        "Submits the batch job described by JSON in FILE (`-` is standard input), lists the jobs\n\
            that the token may see, shows one or cancels it.",
    options: &[client::OPTIONS],
};

/// Runs the command.
///
/// # Errors
///
/// Fails on usage errors, and when the entry cannot be reached or refuses.
pub fn run(parser: lexopt::Parser) -> Result<(), CommandError> {
    let Some(mut values) = Values::read(parser, &HELP) else { return Ok(()) };
    let client = Client::new(&mut values);
    let action = values.argument("submit, list, show or cancel");
    match action.as_str() {
        "submit" => {
            let file = values.argument("FILE");
            values.finish()?;
            client.print(Method::POST, "/v1/jobs", read_file(&file)?)
        }
        "list" => {
            values.finish()?;
            client.print(Method::GET, "/v1/jobs", Bytes::new())
        }
        "show" | "cancel" => {
            let id = job_id(&mut values);
            values.finish()?;
            let method = if action == "show" { Method::GET } else { Method::DELETE };
            client.print(method, &format!("/v1/jobs/{id}"), Bytes::new())
        }
        other => {
            if !other.is_empty() {
                values.problem(format!("unknown argument `{other}`; see --help"));
            }
            values.finish()
        }
    }
}

fn job_id(values: &mut Values) -> String {
    let id = values.argument("ID");
    if !id.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c)) {
        values.problem(format!("`{id}` is not a job id of letters, digits, `-`, `_` and `.`"));
    }
    id
}
