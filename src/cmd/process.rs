//! What the commands `entry` and `agent` share: log, pool of threads, and run.

use std::future::Future;

use peridotfold_wire::runtime;

use super::CommandError;
use crate::logging;
use crate::options::{Opt, Values};

const MAX_THREADS: u64 = 256;

pub const OPTIONS: &[Opt] = &[Opt {
    flag: "log",
    value: "FILTER",
    help: "Log filter, such as info or debug",
    default: Some("info"),
}];

/// Log and threads of a long-running process.
#[derive(Debug)]
pub struct Process {
    threads: u64,
    log: String,
}

impl Process {
    /// Reads the options `threads` and `log`.
    pub fn new(values: &mut Values) -> Self {
        let process = Process { threads: values.number("threads"), log: values.log_filter("log") };
        if !(1..=MAX_THREADS).contains(&process.threads) {
            values.problem(format!("--threads: not between 1 and {MAX_THREADS}"));
        }
        process
    }

    /// Sets up the log and runs `main` to its end.
    ///
    /// # Errors
    ///
    /// Fails when the log filter is invalid, or as `main` does.
    pub fn run(self, main: impl Future<Output = eyre::Result<()>>) -> Result<(), CommandError> {
        logging::start(&self.log).map_err(|e| CommandError::usage(format!("--log: {e}")))?;
        Ok(runtime::run(self.threads as usize, main)?)
    }
}
