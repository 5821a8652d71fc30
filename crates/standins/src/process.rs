//! Child processes of the demo and of tests across processes.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use eyre::{bail, eyre, WrapErr};

const POLL: Duration = Duration::from_millis(20);

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
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(file)
            .spawn()
            .wrap_err_with(|| format!("start {name}"))?;
        let stdout = child.stdout.take().ok_or_else(|| eyre!("{name} has no output"))?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let address = |key: &str| {
            line.split_whitespace()
                .find_map(|part| part.strip_prefix(key)?.strip_prefix('='))
                .and_then(|value| value.parse().ok())
        };
        let internal = address("internal");
        let http = address("http");
        let mut process =
            Process { name: name.to_owned(), child, http: ([127, 0, 0, 1], 0).into(), internal };
        match http {
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
    }
}
