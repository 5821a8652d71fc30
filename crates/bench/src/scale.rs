//! Cost of a placement, a heartbeat and of state, by fleet size.

/// Runs the measurement and prints its table.
///
/// # Errors
///
/// Fails when the measurement cannot be taken.
pub fn run() -> eyre::Result<()> {
    eyre::bail!("not measured yet")
}
