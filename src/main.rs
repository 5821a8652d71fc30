//! Command line of peridotfold.

mod cmd;
mod logging;
mod options;

use std::process::ExitCode;

use cmd::CommandError;

const USAGE: &str = "\
Usage: peridotfold <COMMAND> [OPTIONS]

Commands:
  entry    Serve callers and operators, and schedule batch work (runs on an entry VM)
  agent    Serve one worker VM beside its upstream
  hosted   Run a role on the users' platform
  config   Show, check and patch the configuration
  job      Submit, list, show and cancel batch jobs
  explain  Tell where the tasks of a job would go now, and why
  status   Show entries, upstreams and workers
  check    Check the settings of `entry` or `agent` without starting anything

Options:
  -h, --help     Print help; `peridotfold <COMMAND> --help` for a command
  -V, --version  Print the version

Each option can be set by an environment variable, which --help of the command names.
Exit codes: 0 success, 1 failure, 2 usage or invalid settings.
";

fn main() -> ExitCode {
    let mut parser = lexopt::Parser::from_env();
    let result = match parser.next() {
        Ok(Some(lexopt::Arg::Value(name))) => dispatch(&name.to_string_lossy(), parser),
        Ok(Some(lexopt::Arg::Short('h') | lexopt::Arg::Long("help"))) => {
            print!("{USAGE}");
            Ok(())
        }
        Ok(Some(lexopt::Arg::Short('V') | lexopt::Arg::Long("version"))) => {
            println!("peridotfold {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Ok(Some(arg)) => Err(CommandError::usage(arg.unexpected().to_string())),
        Ok(None) => Err(CommandError::usage(format!("no command given\n\n{USAGE}"))),
        Err(error) => Err(CommandError::usage(error.to_string())),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(CommandError::Usage(problems)) => {
            for problem in problems {
                eprintln!("error: {problem}");
            }
            ExitCode::from(2)
        }
        Err(CommandError::Failed(report)) => {
            eprintln!("error: {report:#}");
            ExitCode::FAILURE
        }
    }
}

fn dispatch(name: &str, parser: lexopt::Parser) -> Result<(), CommandError> {
    match name {
        "entry" => cmd::entry::run(parser),
        "agent" => cmd::agent::run(parser),
        "hosted" => cmd::hosted::run(parser),
        "config" => cmd::config::run(parser),
        "job" => cmd::job::run(parser),
        "explain" => cmd::explain::run(parser),
        "status" => cmd::status::run(parser),
        "check" => cmd::check::run(parser),
        _ => Err(CommandError::usage(format!("unknown command `{name}`; see --help"))),
    }
}
