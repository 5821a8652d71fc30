//! Stand-in for the worker API of the platform.

/// Runs the subcommand.
pub fn run(_parser: lexopt::Parser) -> eyre::Result<()> {
    eyre::bail!("not built yet")
}
