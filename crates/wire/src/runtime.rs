//! Async runtime of a process: a thread pool for its tasks, timers, and Unix signals.

use std::future::Future;
use std::sync::OnceLock;
use std::thread;
use std::time::Duration;

use async_executor::{Executor, Task};
use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};

use crate::error::{Step, WireError};
use crate::shutdown::Shutdown;

/// Executor of all tasks in the process.
static EXECUTOR: Executor<'static> = Executor::new();
/// Time from the boot of the machine to the first call of [`now`], which is the zero point of its
/// results.
static START_SINCE_BOOT: OnceLock<Duration> = OnceLock::new();

/// Starts a pool of `threads` threads, runs `main` on the calling thread and returns its result.
pub fn run<T>(threads: usize, main: impl Future<Output = T>) -> T {
    now();
    start_threads(threads.max(1));
    smol::block_on(main)
}

/// Adds threads to the pool. They run until the process exits.
pub fn start_threads(threads: usize) {
    for index in 0..threads {
        let name = format!("worker-{index}");
        let run = || smol::block_on(EXECUTOR.run(future::pending::<()>()));
        if let Err(error) = thread::Builder::new().name(name).spawn(run) {
            tracing::error!(event = "thread_start_failed", %error);
        }
    }
}

/// Spawns a task on the pool.
pub fn spawn<T: Send + 'static>(task: impl Future<Output = T> + Send + 'static) -> Task<T> {
    EXECUTOR.spawn(task)
}

/// Returns the monotonic time since the first call in the process. Time during which the machine was
/// suspended counts, so that leases expire in that time too.
pub fn now() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let time = Duration::new(time.tv_sec as u64, time.tv_nsec as u32);
    time.saturating_sub(*START_SINCE_BOOT.get_or_init(|| time))
}

/// Waits for `duration`.
pub async fn sleep(duration: Duration) {
    smol::Timer::after(duration).await;
}

/// Waits for `duration` or the shutdown signal. Returns whether the signal was given first.
pub async fn sleep_or_shutdown(duration: Duration, shutdown: &Shutdown) -> bool {
    future::or(
        async {
            sleep(duration).await;
            false
        },
        async {
            shutdown.wait().await;
            true
        },
    )
    .await
}

/// Runs `task` for at most `limit`.
///
/// # Errors
///
/// Returns a [`Step::Timeout`] error with the address `peer` if the task takes longer than `limit`.
pub async fn timeout<T>(
    limit: Duration,
    peer: &str,
    task: impl Future<Output = Result<T, WireError>>,
) -> Result<T, WireError> {
    future::or(task, async {
        sleep(limit).await;
        Err(WireError::new(Step::Timeout, peer, format!("no result within {limit:?}")))
    })
    .await
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the signal handlers cannot be installed.
pub async fn terminated() -> std::io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    signals.next().await;
    Ok(())
}

/// Waits for SIGHUP. Once this function was called, SIGHUP no longer terminates the process.
///
/// # Errors
///
/// Fails when the signal handler cannot be installed.
pub async fn hung_up() -> std::io::Result<()> {
    let mut signals = Signals::new([Signal::Hup])?;
    signals.next().await;
    Ok(())
}
