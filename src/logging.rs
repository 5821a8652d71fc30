//! Log output: one line of key=value pairs for each event, on standard error.

use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::EnvFilter;

/// Checks a filter.
///
/// # Errors
///
/// Returns a message when `filter` cannot be parsed.
pub fn check(filter: &str) -> Result<(), String> {
    EnvFilter::try_new(filter).map(|_| ()).map_err(|error| error.to_string())
}

/// Sets up logging. `filter` has the syntax of `tracing_subscriber::EnvFilter`, such as `info`.
///
/// # Errors
///
/// Returns a message when `filter` cannot be parsed.
pub fn start(filter: &str) -> Result<(), String> {
    let filter = EnvFilter::try_new(filter).map_err(|error| error.to_string())?;
    let lines = tracing_logfmt::builder()
        .with_target(false)
        .with_span_path(false)
        .layer()
        .with_writer(std::io::stderr);
    tracing_subscriber::registry().with(filter).with(lines).init();
    Ok(())
}
