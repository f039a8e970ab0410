//! Reads a fleet's instances, processes, addresses and logs.

use super::faults::process;
use super::start::executable;
use super::{Addrs, Fleet, Options, Process, Usage};
use crate::witness::Witness;
use crate::{BenchError, Result};
use error_stack::{Report, ResultExt};
use std::path::Path;

impl Fleet {
    /// Reads the processor time and memory of the node of `instance`.
    ///
    /// # Errors
    /// [`BenchError::Option`] if there is no such instance or its node was not started,
    /// [`BenchError::Io`] if the node has ended.
    pub fn node_usage(&self, instance: &str) -> Result<Usage> {
        Usage::of(self.node_pid(instance)?)
    }

    /// Returns the process id of the node of `instance`.
    ///
    /// # Errors
    /// [`BenchError::Option`] if there is no such instance or its node was not started.
    pub fn node_pid(&self, instance: &str) -> Result<i32> {
        self.with_instance(instance, |entry| Ok(process(&entry.node)?.pid()))
    }

    /// Returns the process id of the platform's stand-in.
    pub fn platform_pid(&self) -> i32 {
        self.platform.borrow().pid()
    }

    /// Returns whether the node of `instance` exited with success, or `None` if it still runs, was
    /// killed by [`Fleet::kill_node`] or was not started.
    pub fn node_ended(&self, instance: &str) -> Option<bool> {
        self.with_instance(instance, |entry| {
            let status = entry.node.as_mut().and_then(Process::status);
            Ok(status.map(|status| status.success()))
        })
        .ok()
        .flatten()
    }

    /// Returns the names of all instances, sorted.
    pub fn names(&self) -> Vec<String> {
        self.instances.borrow().keys().cloned().collect()
    }

    /// Returns the names of the instances whose node was started and not killed; a node that exited by
    /// itself is included.
    pub fn running(&self) -> Vec<String> {
        let instances = self.instances.borrow();
        instances.iter().filter(|(_, e)| e.node.is_some()).map(|(name, _)| name.clone()).collect()
    }

    /// Returns the names of the instances of `service`, sorted.
    pub fn of_service(&self, service: &str) -> Vec<String> {
        let instances = self.instances.borrow();
        let of = instances.iter().filter(|(_, entry)| entry.spec.service == service);
        of.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the service that the upstream of `instance` belongs to.
    ///
    /// # Errors
    /// [`BenchError::Option`] if there is no such instance.
    pub fn service_of(&self, instance: &str) -> Result<String> {
        self.with_instance(instance, |entry| Ok(entry.spec.service.clone()))
    }

    /// Returns the addresses at which the processes of `instance` listen.
    ///
    /// # Errors
    /// [`BenchError::Option`] if there is no such instance.
    pub fn addrs(&self, instance: &str) -> Result<Addrs> {
        self.with_instance(instance, |entry| Ok(entry.addrs))
    }

    /// Returns the address at which the platform's stand-in listens.
    pub fn platform_addr(&self) -> std::net::SocketAddr {
        self.net.platform()
    }

    /// Returns the witness to which all upstreams report their runs.
    pub fn witness(&self) -> &Witness {
        &self.witness
    }

    /// Returns the options that the fleet was started with.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Returns the output of `sycamoreshift trace` for the request `id` over the logs of all nodes.
    ///
    /// # Errors
    /// [`BenchError::Option`] or [`BenchError::Io`] if the program is not built or can't be run,
    /// [`BenchError::Unmet`] with its error output if it fails, for instance because no line names the
    /// request.
    pub fn trace(&self, id: &str) -> Result<String> {
        let logs = self.names().into_iter().map(|name| self.dir.join(format!("{name}.node.log")));
        let output = std::process::Command::new(executable("sycamoreshift")?)
            .args(["trace", id])
            .args(logs)
            .output()
            .change_context_lazy(|| BenchError::Io("run sycamoreshift".into()))?;
        match output.status.success() {
            true => Ok(String::from_utf8_lossy(&output.stdout).into_owned()),
            false => {
                let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
                Err(Report::new(BenchError::Unmet(format!("sycamoreshift trace {id}: {stderr}"))))
            }
        }
    }

    /// Returns the directory with the fleet's settings and logs.
    pub fn dir(&self) -> &Path {
        &self.dir
    }
}
