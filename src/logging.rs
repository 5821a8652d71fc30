//! Log output: one line of key=value pairs for each event.

use std::io;

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

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
        .with_writer(io::stderr);
    tracing_subscriber::registry().with(filter).with(lines).init();
    Ok(())
}

/// Lines that may wait for a slow reader of standard output; later ones are dropped.
const LINES_WAITING: usize = 4_096;

/// Sets up logging on standard output that never blocks: lines that do not fit are dropped. The
/// rest is written when the guard is dropped.
///
/// # Errors
///
/// Returns a message when `filter` cannot be parsed.
pub fn start_bounded(filter: &str) -> Result<WorkerGuard, String> {
    let filter = EnvFilter::try_new(filter).map_err(|error| error.to_string())?;
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(LINES_WAITING)
        .lossy(true)
        .finish(io::stdout());
    let lines = tracing_logfmt::builder()
        .with_target(false)
        .with_span_path(false)
        .layer()
        .with_writer(writer);
    tracing_subscriber::registry().with(filter).with(lines).init();
    Ok(guard)
}
