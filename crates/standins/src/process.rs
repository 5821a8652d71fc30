//! Child processes of the demo and of tests across processes.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use eyre::{bail, eyre, WrapErr};
use parking_lot::Mutex;

const POLL: Duration = Duration::from_millis(20);

/// Children that run, by process id; `None` once [`stop_all`] was called.
static CHILDREN: Mutex<Option<BTreeSet<u32>>> = Mutex::new(Some(BTreeSet::new()));

/// Kills all children and starts no further ones. For use when the process itself is ended by a
/// signal, which drops nothing.
pub fn stop_all() {
    let children = CHILDREN.lock().take().unwrap_or_default();
    for child in children {
        // Errors are of no use here: the child may have ended already.
        let _ = Command::new("kill").args(["-s", "KILL", &child.to_string()]).status();
    }
}

/// A child process that printed where it listens. Killed when dropped.
#[derive(Debug)]
pub struct Process {
    pub name: String,
    child: Child,
    pub http: SocketAddr,
    pub internal: Option<SocketAddr>,
}

impl Process {
    /// Starts `program` and waits for its `listening` line. Its log goes to `log`.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started or ends before it listens.
    pub fn start(name: &str, program: &Path, args: &[String], log: &Path) -> eyre::Result<Self> {
        let file = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
        let mut child = {
            let mut children = CHILDREN.lock();
            let children = children.as_mut().ok_or_else(|| eyre!("interrupted"))?;
            let child = Command::new(program)
                .args(args)
                .stdin(Stdio::null())
                .stdout(Stdio::piped())
                .stderr(file)
                .spawn()
                .wrap_err_with(|| format!("start {name}"))?;
            children.insert(child.id());
            child
        };
        let stdout = child.stdout.take();
        // From here on the child is killed when an error drops it.
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut process = Process { name: name.to_owned(), child, http: address, internal: None };
        let stdout = stdout.ok_or_else(|| eyre!("{name} has no output"))?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let address = |key: &str| {
            line.split_whitespace()
                .find_map(|part| part.strip_prefix(key)?.strip_prefix('='))
                .and_then(|value| value.parse().ok())
        };
        process.internal = address("internal");
        match address("http") {
            Some(http) => process.http = http,
            None => {
                let status = process.child.try_wait()?;
                bail!(
                    "{name} did not listen: `{}`, status {status:?}, log {}",
                    line.trim(),
                    log.display()
                )
            }
        }
        Ok(process)
    }

    /// Starts `program` again on an address that it had before. Another process may have been given
    /// the port for a moment, so the start is repeated until `limit`.
    ///
    /// # Errors
    ///
    /// As [`Process::start`], after `limit`.
    pub fn start_again(
        name: &str,
        program: &Path,
        args: &[String],
        log: &Path,
        limit: Duration,
    ) -> eyre::Result<Self> {
        let begin = Instant::now();
        loop {
            match Process::start(name, program, args, log) {
                Err(_) if begin.elapsed() < limit => std::thread::sleep(POLL),
                result => return result,
            }
        }
    }

    /// Returns the internal address.
    ///
    /// # Errors
    ///
    /// Fails when the process printed none.
    pub fn internal(&self) -> eyre::Result<SocketAddr> {
        self.internal.ok_or_else(|| eyre!("{} has no internal address", self.name))
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process outright.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be waited for.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Sends a signal such as `TERM`, `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// Fails when the signal cannot be sent.
    pub fn signal(&self, signal: &str) -> eyre::Result<()> {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", signal, &pid]).status()?;
        match status.success() {
            true => Ok(()),
            false => bail!("kill -s {signal} of {} failed", self.name),
        }
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    ///
    /// Fails when the process has not ended within `limit`.
    pub fn wait(&mut self, limit: Duration) -> eyre::Result<ExitStatus> {
        let start = Instant::now();
        loop {
            match self.child.try_wait()? {
                Some(status) => return Ok(status),
                None if start.elapsed() > limit => {
                    bail!("{} has not ended within {limit:?}", self.name)
                }
                None => std::thread::sleep(POLL),
            }
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Errors are of no use here: the process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        // The id may be given to another process from now on.
        if let Some(children) = CHILDREN.lock().as_mut() {
            children.remove(&self.child.id());
        }
    }
}
