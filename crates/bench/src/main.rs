//! Measurements of the decisions and of the whole path. Development only.

mod colocation;
mod hard_load;
mod near;
mod path;
mod recovery;
mod requests;
mod scale;

use std::alloc::System;
use std::process::ExitCode;

use cap::Cap;

/// Counts the bytes in use, for the cost of state.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

const USAGE: &str = "\
Usage: peridotfold-bench <MEASUREMENT>

  requests    request policy beside baselines, under overload and failures
  colocation  colocation policy beside baselines, through a closing; with a number of seeds, a
              shorter trial
  near        rules by which tasks wait for a near node
  recovery    time until all jobs run again after losses
  scale       cost of a placement, a heartbeat and of state, by fleet size
  hard-load   cost of an admission decision, a placement round and a queued job
  path        latency that entry and agent add to a direct call
";

fn main() -> ExitCode {
    let name = std::env::args().nth(1).unwrap_or_default();
    let result = match name.as_str() {
        "requests" => requests::run(),
        "colocation" => colocation::run(std::env::args().nth(2).as_deref()),
        "near" => near::run(),
        "recovery" => recovery::run(),
        "scale" => scale::run(),
        "hard-load" => hard_load::run(),
        "path" => path::run(),
        _ => {
            eprint!("{USAGE}");
            return ExitCode::from(2);
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}
