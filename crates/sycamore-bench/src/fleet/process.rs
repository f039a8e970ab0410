//! One started process.

use super::guard;
use crate::{BenchError, Result};
use error_stack::{Report, ResultExt};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Time between two looks at whether a process has ended.
const LOOK: Duration = Duration::from_millis(20);

/// What a process runs.
#[derive(Debug, Clone)]
pub struct Program {
    /// The executable.
    pub path: PathBuf,
    /// Its arguments.
    pub args: Vec<String>,
}

/// A started process; killed and waited for when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    ended: bool,
}

impl Process {
    /// Starts `program`; what it writes is appended to the file `log`.
    ///
    /// # Errors
    /// [`BenchError::Io`] where it can't be started.
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

    /// Its process id.
    pub fn pid(&self) -> i32 {
        pid_of(&self.child)
    }

    /// Sends `signal`.
    ///
    /// # Errors
    /// [`BenchError::Io`] where the process is gone.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        if self.ended {
            return Err(Report::new(BenchError::Io("signal to an ended process".into())));
        }
        kill(Pid::from_raw(self.pid()), signal)
            .change_context_lazy(|| BenchError::Io(format!("{signal} to {}", self.pid())))
    }

    /// Its exit status, where it has ended.
    pub fn status(&mut self) -> Option<ExitStatus> {
        let status = self.child.try_wait().ok().flatten();
        if status.is_some() && !self.ended {
            guard::remove(self.pid());
            self.ended = true;
        }
        status
    }

    /// Waits at most `limit` for it to end by itself.
    ///
    /// # Errors
    /// [`BenchError::NotReady`] where it still runs then.
    pub async fn wait(&mut self, limit: Duration) -> Result<ExitStatus> {
        let end = Instant::now() + limit;
        loop {
            if let Some(status) = self.status() {
                return Ok(status);
            }
            if Instant::now() >= end {
                let what = format!("process {} runs after {limit:?}", self.pid());
                return Err(Report::new(BenchError::NotReady(what)));
            }
            monoio::time::sleep(LOOK).await;
        }
    }

    /// Kills it at once and waits for its end.
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
