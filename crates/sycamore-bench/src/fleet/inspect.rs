//! What a fleet is made of and uses.

use super::faults::process;
use super::start::beside;
use super::{Addrs, Fleet, Options, Process, Usage};
use crate::witness::Witness;
use crate::{BenchError, Result};
use error_stack::{Report, ResultExt};
use std::path::Path;

impl Fleet {
    /// What the node of `instance` has used.
    ///
    /// # Errors
    /// Where there is no such process.
    pub fn node_usage(&self, instance: &str) -> Result<Usage> {
        Usage::of(self.node_pid(instance)?)
    }

    /// Process id of the node of `instance`.
    ///
    /// # Errors
    /// Where there is no such process.
    pub fn node_pid(&self, instance: &str) -> Result<i32> {
        self.with(instance, |entry| Ok(process(&entry.node)?.pid()))
    }

    /// Process id of the platform's stand-in.
    pub fn platform_pid(&self) -> i32 {
        self.platform.borrow().pid()
    }

    /// Whether the node of `instance` has ended by itself, and if so whether with success.
    pub fn node_ended(&self, instance: &str) -> Option<bool> {
        self.with(instance, |entry| {
            let status = entry.node.as_mut().and_then(Process::status);
            Ok(status.map(|status| status.success()))
        })
        .ok()
        .flatten()
    }

    /// Names of all instances.
    pub fn names(&self) -> Vec<String> {
        self.instances.borrow().keys().cloned().collect()
    }

    /// Names of the instances whose node was started and not killed.
    pub fn running(&self) -> Vec<String> {
        let instances = self.instances.borrow();
        instances.iter().filter(|(_, e)| e.node.is_some()).map(|(name, _)| name.clone()).collect()
    }

    /// Names of the instances of `service`.
    pub fn of_service(&self, service: &str) -> Vec<String> {
        let instances = self.instances.borrow();
        let of = instances.iter().filter(|(_, entry)| entry.spec.service == service);
        of.map(|(name, _)| name.clone()).collect()
    }

    /// Where `instance` listens.
    ///
    /// # Errors
    /// [`BenchError::Option`] where there is no such instance.
    pub fn addrs(&self, instance: &str) -> Result<Addrs> {
        self.with(instance, |entry| Ok(entry.addrs))
    }

    /// Where the platform's stand-in listens.
    pub fn platform_addr(&self) -> std::net::SocketAddr {
        self.net.platform()
    }

    /// The witness of all runs.
    pub fn witness(&self) -> &Witness {
        &self.witness
    }

    /// The options it was started with.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// What `sycamoreshift trace` tells of the request called `id` from the logs of all nodes.
    ///
    /// # Errors
    /// Where the program can't be run or finds no line.
    pub fn trace(&self, id: &str) -> Result<String> {
        let logs = self.names().into_iter().map(|name| self.dir.join(format!("{name}.node.log")));
        let traced = std::process::Command::new(beside("sycamoreshift")?)
            .args(["trace", id])
            .args(logs)
            .output()
            .change_context_lazy(|| BenchError::Io("run sycamoreshift".into()))?;
        match traced.status.success() {
            true => Ok(String::from_utf8_lossy(&traced.stdout).into_owned()),
            false => {
                let said = String::from_utf8_lossy(&traced.stderr).into_owned();
                Err(Report::new(BenchError::Unmet(format!("trace {id}: {said}"))))
            }
        }
    }

    /// The folder with settings and logs.
    pub fn dir(&self) -> &Path {
        &self.dir
    }
}
