//! Reads the resource usage of processes from /proc.

use crate::{BenchError, Result};
use error_stack::{Report, ResultExt};
use std::time::Duration;

/// Clock ticks per second in /proc (`USER_HZ`), fixed on Linux.
const TICKS_PER_S: f64 = 100.0;

/// Processor time and memory of a process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usage {
    /// Processor time used since the process started, user and system together.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub rss: u64,
}

impl Usage {
    /// Reads the processor time and memory of the process `pid`.
    ///
    /// # Errors
    /// [`BenchError::Io`] if the process doesn't exist.
    pub fn of(pid: i32) -> Result<Self> {
        let stat = read(pid, "stat")?;
        let status = read(pid, "status")?;
        let unreadable =
            || Report::new(BenchError::Io(format!("parse /proc/{pid}/stat and status")));
        let cpu = cpu(&stat).ok_or_else(unreadable)?;
        let rss = rss(&status).ok_or_else(unreadable)?;
        Ok(Self { cpu, rss })
    }
}

/// Returns the targets of the open file descriptors of the process `pid`, such as `socket:[123]`.
///
/// # Errors
/// [`BenchError::Io`] if the process doesn't exist.
pub fn descriptors(pid: i32) -> Result<Vec<String>> {
    let context = || BenchError::Io(format!("read /proc/{pid}/fd"));
    let dir = std::fs::read_dir(format!("/proc/{pid}/fd")).change_context_lazy(context)?;
    let links = dir.flatten().filter_map(|entry| std::fs::read_link(entry.path()).ok());
    Ok(links.map(|link| link.to_string_lossy().into_owned()).collect())
}

fn read(pid: i32, file: &str) -> Result<String> {
    std::fs::read_to_string(format!("/proc/{pid}/{file}"))
        .change_context_lazy(|| BenchError::Io(format!("read /proc/{pid}/{file}")))
}

/// Returns the sum of fields 14 (utime) and 15 (stime). Fields are counted from the command's closing
/// parenthesis, because the command may contain spaces.
fn cpu(stat: &str) -> Option<Duration> {
    let (_, rest) = stat.rsplit_once(')')?;
    let mut fields = rest.split_whitespace().skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some(Duration::from_secs_f64((user + system) / TICKS_PER_S))
}

/// Returns the resident memory in bytes from the text of /proc/{pid}/status.
fn rss(status: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib * 1_024)
}
