//! `peridotfold status`.

use bytes::Bytes;
use http::Method;

use super::client::{self, Client};
use super::CommandError;
use crate::options::{Help, Values};

const HELP: Help = Help {
    usage: "peridotfold status",
    about: "Shows the entries, upstreams and workers that an entry knows.",
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
    values.finish()?;
    client.print(Method::GET, "/v1/status", Bytes::new())
}
