//! Kills and signals a fleet's processes.

use super::{Fleet, Process};
use crate::{BenchError, Result};
use error_stack::Report;
use nix::sys::signal::Signal;

impl Fleet {
    /// Kills the node of `instance` with SIGKILL and waits for its end.
    ///
    /// # Errors
    /// [`BenchError::Option`] if there is no such instance.
    pub fn kill_node(&self, instance: &str) -> Result<()> {
        self.with_instance(instance, |entry| {
            entry.node = None;
            Ok(())
        })
    }

    /// Kills the upstream of `instance` with SIGKILL and waits for its end; [`Fleet::supervise`] doesn't
    /// restart it.
    ///
    /// # Errors
    /// [`BenchError::Option`] if there is no such instance.
    pub fn kill_upstream(&self, instance: &str) -> Result<()> {
        self.with_instance(instance, |entry| {
            entry.upstream = None;
            Ok(())
        })
    }

    /// Sends `signal` to the node of `instance`: SIGSTOP pauses it, SIGCONT resumes it, SIGTERM
    /// drains it.
    ///
    /// # Errors
    /// [`BenchError::Option`] if there is no such instance or its node was not started,
    /// [`BenchError::Io`] if the node has ended.
    pub fn signal_node(&self, instance: &str, signal: Signal) -> Result<()> {
        self.with_instance(instance, |entry| process(&entry.node)?.signal(signal))
    }

    /// Sends `signal` to the upstream of `instance`; [`Fleet::supervise`] doesn't restart it from then on.
    ///
    /// # Errors
    /// [`BenchError::Option`] if there is no such instance or its upstream was not started,
    /// [`BenchError::Io`] if the upstream has ended.
    pub fn signal_upstream(&self, instance: &str, signal: Signal) -> Result<()> {
        self.with_instance(instance, |entry| {
            entry.respawn = false;
            process(&entry.upstream)?.signal(signal)
        })
    }
}

/// Returns the process, or [`BenchError::Option`] if it was killed or not started.
pub(super) fn process(process: &Option<Process>) -> Result<&Process> {
    process.as_ref().ok_or_else(|| {
        Report::new(BenchError::Option("the process is killed or was not started".into()))
    })
}
