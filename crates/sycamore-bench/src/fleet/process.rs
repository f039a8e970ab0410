//! Child processes of the harness.

use super::guard;
use crate::{BenchError, Result};
use error_stack::{Report, ResultExt};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Time between two checks of whether a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Executable with its arguments.
#[derive(Debug, Clone)]
pub struct Program {
    /// Path of the executable.
    pub path: PathBuf,
    /// Command-line arguments for the executable.
    pub args: Vec<String>,
}

/// Child process; killed and waited for when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    ended: bool,
}

impl Process {
    /// Starts `program` and appends its output to the file `log`.
    ///
    /// # Errors
    /// [`BenchError::Io`] if `log` can't be opened or `program` can't be started.
    pub fn start(program: &Program, log: &Path) -> Result<Self> {
        let context = || BenchError::Io(format!("start {}", program.path.display()));
        let out = open_log(log).change_context_lazy(context)?;
        let err = out.try_clone().change_context_lazy(context)?;
        let child = Command::new(&program.path)
            .args(&program.args)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .change_context_lazy(context)?;
        guard::add(pid_of(&child));
        Ok(Self { child, ended: false })
    }

    /// Returns the id of the child process.
    pub fn pid(&self) -> i32 {
        pid_of(&self.child)
    }

    /// Sends `signal` to the process.
    ///
    /// # Errors
    /// [`BenchError::Io`] if the process has ended.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        if self.ended {
            let what = format!("send {signal} to process {}, which has ended", self.pid());
            return Err(Report::new(BenchError::Io(what)));
        }
        kill(Pid::from_raw(self.pid()), signal).change_context_lazy(|| {
            BenchError::Io(format!("send {signal} to process {}", self.pid()))
        })
    }

    /// Returns the exit status, or `None` while the process runs.
    pub fn status(&mut self) -> Option<ExitStatus> {
        let status = self.child.try_wait().ok().flatten();
        if status.is_some() && !self.ended {
            guard::remove(self.pid());
            self.ended = true;
        }
        status
    }

    /// Waits at most `limit` for the process to exit.
    ///
    /// # Errors
    /// [`BenchError::NotReady`] if the process still runs after `limit`.
    pub async fn wait(&mut self, limit: Duration) -> Result<ExitStatus> {
        let end = Instant::now() + limit;
        loop {
            if let Some(status) = self.status() {
                return Ok(status);
            }
            if Instant::now() >= end {
                let what = format!("process {} has not exited after {limit:?}", self.pid());
                return Err(Report::new(BenchError::NotReady(what)));
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Kills the process with SIGKILL, if it still runs, and waits for its end.
    pub fn kill(&mut self) {
        if self.status().is_none() {
            guard::remove(self.pid());
            let _ = self.child.kill();
            let _ = self.child.wait();
            self.ended = true;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn pid_of(child: &Child) -> i32 {
    i32::try_from(child.id()).expect("process ids fit the C type")
}

fn open_log(path: &Path) -> std::io::Result<File> {
    OpenOptions::new().create(true).append(true).open(path)
}
