//! Faults of a fleet's processes.

use super::{Fleet, Process};
use crate::{BenchError, Result};
use error_stack::Report;
use nix::sys::signal::Signal;

impl Fleet {
    /// Kills the node of `instance` at once.
    ///
    /// # Errors
    /// [`BenchError::Option`] where there is no such instance.
    pub fn kill_node(&self, instance: &str) -> Result<()> {
        self.with(instance, |entry| {
            entry.node = None;
            Ok(())
        })
    }

    /// Kills the upstream of `instance` at once; it stays dead.
    ///
    /// # Errors
    /// [`BenchError::Option`] where there is no such instance.
    pub fn kill_upstream(&self, instance: &str) -> Result<()> {
        self.with(instance, |entry| {
            entry.upstream = None;
            Ok(())
        })
    }

    /// Sends `signal` to the node of `instance`: SIGSTOP freezes it, SIGCONT thaws it, SIGTERM
    /// drains it.
    ///
    /// # Errors
    /// Where there is no such process.
    pub fn signal_node(&self, instance: &str, signal: Signal) -> Result<()> {
        self.with(instance, |entry| process(&entry.node)?.signal(signal))
    }

    /// Sends `signal` to the upstream of `instance`, which is not started again if it ends.
    ///
    /// # Errors
    /// Where there is no such process.
    pub fn signal_upstream(&self, instance: &str, signal: Signal) -> Result<()> {
        self.with(instance, |entry| {
            entry.respawn = false;
            process(&entry.upstream)?.signal(signal)
        })
    }
}

/// The process, where it was started.
pub(super) fn process(process: &Option<Process>) -> Result<&Process> {
    process.as_ref().ok_or_else(|| Report::new(BenchError::Option("process not started".into())))
}
