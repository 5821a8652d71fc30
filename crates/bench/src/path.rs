//! Latency that entry and agent add to a direct call.

/// Runs the measurement and prints its table.
///
/// # Errors
///
/// Fails when the measurement cannot be taken.
pub fn run() -> eyre::Result<()> {
    eyre::bail!("not measured yet")
}
