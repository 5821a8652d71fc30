//! Subcommands, one file each.

pub mod agent;
pub mod check;
pub mod client;
pub mod config;
pub mod entry;
pub mod explain;
pub mod hosted;
pub mod job;
pub mod process;
pub mod status;

use crate::options::Opt;

/// Options of all commands.
pub const OPTIONS: &[&[Opt]] = &[
    entry::OPTIONS,
    agent::OPTIONS,
    hosted::OPTIONS,
    process::OPTIONS,
    config::OPTIONS,
    client::OPTIONS,
    explain::OPTIONS,
];

/// Why a command did not succeed.
#[derive(Debug)]
pub enum CommandError {
    /// Invalid flags, variables or arguments; nothing was started or changed.
    Usage(Vec<String>),
    Failed(eyre::Report),
}

impl CommandError {
    /// Builds a usage error with one problem.
    pub fn usage(problem: impl Into<String>) -> Self {
        CommandError::Usage(vec![problem.into()])
    }
}

impl From<eyre::Report> for CommandError {
    fn from(report: eyre::Report) -> Self {
        CommandError::Failed(report)
    }
}
