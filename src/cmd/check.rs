//! `peridotfold check`.

use super::{agent, entry, CommandError};

const USAGE: &str = "\
Usage: peridotfold check <entry|agent> [OPTIONS]

Checks the settings of a process, from flags and environment variables, and starts nothing.
The options are those of `peridotfold entry` and `peridotfold agent`.
";

/// Runs the command.
///
/// # Errors
///
/// Returns every problem of the settings at once.
pub fn run(mut parser: lexopt::Parser) -> Result<(), CommandError> {
    let valid = match parser.next() {
        Ok(Some(lexopt::Arg::Value(role))) if role == "entry" => entry::parse(parser)?.is_some(),
        Ok(Some(lexopt::Arg::Value(role))) if role == "agent" => agent::parse(parser)?.is_some(),
        Ok(Some(lexopt::Arg::Short('h') | lexopt::Arg::Long("help"))) => {
            print!("{USAGE}");
            false
        }
        Ok(_) => {
            return Err(CommandError::usage(format!("expected `entry` or `agent`\n\n{USAGE}")))
        }
        Err(error) => return Err(CommandError::usage(error.to_string())),
    };
    if valid {
        println!("settings are valid");
    }
    Ok(())
}
