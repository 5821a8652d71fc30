//! Stand-in for the service behind an agent.

/// Runs the subcommand.
pub fn run(_parser: lexopt::Parser) -> eyre::Result<()> {
    eyre::bail!("not built yet")
}
