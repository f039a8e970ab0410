//! Starting, stopping and disturbing a fleet.

use super::query::operator;
use super::{
    settings, Addrs, Instance, InstanceSpec, Net, Options, Process, Program, Upstreams, Usage,
};
use crate::stand_in::upstream;
use crate::witness::Witness;
use crate::{BenchError, Result};
use error_stack::{Report, ResultExt};
use futures::future::{select, Either};
use http::Method;
use nix::sys::signal::Signal;
use serde_json::json;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::path::{Path, PathBuf};
use std::pin::pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Time between two looks at a condition that is waited for.
const LOOK: Duration = Duration::from_millis(50);

/// Time between two looks for crashed upstreams.
const TEND: Duration = Duration::from_millis(200);

/// Time that processes have to end after SIGTERM when a fleet stops.
const STOP_LIMIT: Duration = Duration::from_secs(10);

static FLEETS: AtomicUsize = AtomicUsize::new(0);

/// A running fleet; all of its processes end when it is dropped.
pub struct Fleet {
    options: Options,
    net: Net,
    dir: PathBuf,
    daemon: PathBuf,
    tool: PathBuf,
    witness: Witness,
    instances: RefCell<BTreeMap<String, Instance>>,
    platform: RefCell<Process>,
    started: std::cell::Cell<usize>,
}

impl Fleet {
    /// Starts platform, nodes and upstreams, and applies a configuration with one route for each
    /// service; ends when every node is ready and knows every other as serving.
    ///
    /// # Errors
    /// Where a process can't be started or the fleet is not ready in time.
    pub async fn start(options: Options) -> Result<Self> {
        let fleet = Self::prepare(options).await?;
        let specs = fleet.specs();
        for spec in specs {
            fleet.add(spec)?;
        }
        fleet.apply_resources("bench", fleet.options.deployment.resources()).await?;
        let complete = async {
            fleet.wait_ready().await?;
            fleet.wait_members().await
        };
        match select(pin!(complete), pin!(fleet.tend())).await {
            Either::Left((complete, _)) => complete?,
            Either::Right(_) => {}
        }
        Ok(fleet)
    }

    /// Starts the platform alone.
    ///
    /// # Errors
    /// Where it can't be started.
    pub async fn prepare(options: Options) -> Result<Self> {
        let net = Net::draw();
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir()
            .join(format!("sycamoreshift-bench-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&dir)
            .change_context_lazy(|| BenchError::Io(format!("create {}", dir.display())))?;
        let tool = beside("sycamoreshift-bench")?;
        let platform = Process::start(&platform(&tool, &net, &options), &dir.join("platform.log"))?;
        let fleet = Self {
            witness: Witness::start(net.witness())?,
            daemon: beside("sycamoreshiftd")?,
            tool,
            net,
            dir,
            options,
            instances: RefCell::default(),
            platform: RefCell::new(platform),
            started: std::cell::Cell::new(0),
        };
        fleet
            .wait_for("platform", || async { fleet.platform_stats().await.is_ok() })
            .await
            .map(|()| fleet)
    }

    /// The instances that the deployment starts with.
    fn specs(&self) -> Vec<InstanceSpec> {
        let deployment = &self.options.deployment;
        let services = deployment
            .services
            .iter()
            .flat_map(|service| (0..service.upstreams).map(move |i| (service.name.as_str(), i)));
        services.map(|(service, i)| self.spec(service, i, &self.options.upstream.version)).collect()
    }

    /// The instance number `i`, from 0, of `version` of `service`.
    pub fn spec(&self, service: &str, i: usize, version: &str) -> InstanceSpec {
        let deployment = &self.options.deployment;
        let centres = deployment.centres();
        let (region, centre) = centres[i % centres.len()];
        let suffix = match version == self.options.upstream.version {
            true => String::new(),
            false => format!("-v{version}"),
        };
        InstanceSpec {
            instance: format!("{service}-{}{suffix}", i + 1),
            service: service.to_owned(),
            data_centre: centre.to_owned(),
            region: region.to_owned(),
            upstream: upstream::Options {
                slots: deployment.slots,
                version: version.to_owned(),
                ..self.options.upstream.clone()
            },
        }
    }

    /// Starts the node and the upstream of a new instance.
    ///
    /// # Errors
    /// Where they can't be started.
    pub fn add(&self, spec: InstanceSpec) -> Result<()> {
        let number = self.started.get();
        self.started.set(number + 1);
        let addrs = self.net.instance(number);
        let mut spec = spec;
        spec.upstream = upstream::Options {
            listen: addrs.service,
            node: Some(addrs.upstream),
            witness: Some(self.witness.addr()),
            instance: spec.instance.clone(),
            service: spec.service.clone(),
            seed: self.options.seed.wrapping_mul(1_000).wrapping_add(number as u64),
            ..spec.upstream
        };
        let name = spec.instance.clone();
        let file = self.dir.join(format!("{name}.ini"));
        let deployment = &self.options.deployment.name;
        let extra = &self.options.settings;
        let text = settings::ini(deployment, &spec, &addrs, self.net.platform(), extra);
        std::fs::write(&file, text)
            .change_context_lazy(|| BenchError::Io(format!("write {}", file.display())))?;
        let instance = Instance { spec, addrs, node: None, upstream: None, respawn: true };
        self.instances.borrow_mut().insert(name.clone(), instance);
        self.start_node(&name)?;
        self.start_upstream(&name)
    }

    /// Starts the node of `instance`, again where it ran before.
    ///
    /// # Errors
    /// Where it can't be started.
    pub fn start_node(&self, instance: &str) -> Result<()> {
        let file = self.dir.join(format!("{instance}.ini"));
        let args = vec!["--settings".into(), file.display().to_string()];
        let program = Program { path: self.daemon.clone(), args };
        let log = self.log(instance, "node");
        self.with(instance, |entry| {
            entry.node = None;
            entry.node = Some(Process::start(&program, &log)?);
            Ok(())
        })
    }

    /// Starts the upstream of `instance`, again where it ran before.
    ///
    /// # Errors
    /// Where it can't be started.
    pub fn start_upstream(&self, instance: &str) -> Result<()> {
        if self.options.upstreams == Upstreams::Announced {
            return Ok(());
        }
        let log = self.log(instance, "upstream");
        self.with(instance, |entry| {
            entry.upstream = None;
            let args = entry.spec.upstream.to_args();
            let program = Program { path: self.tool.clone(), args };
            entry.upstream = Some(Process::start(&program, &log)?);
            Ok(())
        })
    }

    /// Applies `resources` as the next configuration; gives its version.
    ///
    /// # Errors
    /// Where no node takes it in time.
    pub async fn apply_resources(
        &self,
        operator: &str,
        resources: Vec<serde_json::Value>,
    ) -> Result<u64> {
        let op = format!("{:032x}", rand::random::<u128>());
        let body =
            json!({ "operator": operator, "op": op, "expect": null, "resources": resources });
        let end = Instant::now() + self.options.ready_limit;
        loop {
            let mut last = None;
            for instance in self.names() {
                match self.command(&instance, "config-apply", &body).await {
                    Ok(answer) => return Ok(answer["version"].as_u64().unwrap_or(0)),
                    Err(report) => last = Some(report),
                }
            }
            match last {
                Some(report) if Instant::now() >= end => return Err(report),
                _ => monoio::time::sleep(LOOK).await,
            }
        }
    }

    /// Waits until every running node says that it is ready.
    ///
    /// # Errors
    /// [`BenchError::NotReady`] with the first that is not.
    pub async fn wait_ready(&self) -> Result<()> {
        for instance in self.running() {
            self.wait_for(&format!("node of {instance}"), || self.is_ready(&instance)).await?;
        }
        Ok(())
    }

    /// Waits until every running node knows every other as serving.
    ///
    /// # Errors
    /// [`BenchError::NotReady`] where one does not in time.
    pub async fn wait_members(&self) -> Result<()> {
        let names = self.running();
        let complete = || async {
            let queries = names.iter().map(|name| self.query(name, "nodes"));
            let answers = futures::future::join_all(queries).await;
            answers.iter().all(|answer| answer.as_ref().is_ok_and(|n| serving(n) >= names.len()))
        };
        self.wait_for("every node knows every other as serving", complete).await
    }

    /// Waits, as long as a fleet may take to get ready, until `condition` holds.
    ///
    /// # Errors
    /// [`BenchError::NotReady`] with `what`.
    pub async fn wait_for<F: Future<Output = bool>>(
        &self,
        what: &str,
        condition: impl Fn() -> F,
    ) -> Result<()> {
        let limit = self.options.ready_limit;
        let end = Instant::now() + limit;
        while !condition().await {
            if Instant::now() >= end {
                let what = format!("{what}, after {limit:?}; logs in {}", self.dir.display());
                return Err(Report::new(BenchError::NotReady(what)));
            }
            monoio::time::sleep(LOOK).await;
        }
        Ok(())
    }

    /// Starts crashed upstreams again, and announces those that are only announced, until the
    /// future is dropped. To be run beside the load.
    pub async fn tend(&self) {
        loop {
            for instance in self.names() {
                let crashed = self.with(&instance, |entry| {
                    let ended = entry.upstream.as_mut().is_some_and(|u| u.status().is_some());
                    Ok(ended && entry.respawn)
                });
                if crashed.unwrap_or(false) {
                    let _ = self.start_upstream(&instance);
                }
            }
            if self.options.upstreams == Upstreams::Announced {
                self.announce_all().await;
            }
            monoio::time::sleep(TEND).await;
        }
    }

    async fn announce_all(&self) {
        let posts = self
            .instances
            .borrow()
            .values()
            .map(|entry| {
                let (node, options) = (entry.addrs.upstream, entry.spec.upstream.clone());
                async move {
                    let body = json!({
                        "version": options.version, "address": options.listen,
                        "slots": options.slots, "connections": options.connections, "cold_ms": 0,
                    });
                    let _ = operator(node, Method::POST, "/shift/announce", body.to_string()).await;
                }
            })
            .collect::<Vec<_>>();
        futures::future::join_all(posts).await;
        monoio::time::sleep(Duration::from_millis(800)).await;
    }

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

    /// The folder with settings and logs.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// Ends all processes by SIGTERM, and those that do not end in time by SIGKILL.
    pub async fn stop(self) {
        let mut processes: Vec<Process> = Vec::new();
        for entry in self.instances.borrow_mut().values_mut() {
            processes.extend(entry.node.take());
            processes.extend(entry.upstream.take());
        }
        for process in &processes {
            let _ = process.signal(Signal::SIGCONT);
            let _ = process.signal(Signal::SIGTERM);
        }
        let end = Instant::now() + STOP_LIMIT;
        for process in &mut processes {
            let _ = process.wait(end.saturating_duration_since(Instant::now())).await;
        }
    }

    fn log(&self, instance: &str, part: &str) -> PathBuf {
        self.dir.join(format!("{instance}.{part}.log"))
    }

    fn with<T>(&self, name: &str, f: impl FnOnce(&mut Instance) -> Result<T>) -> Result<T> {
        match self.instances.borrow_mut().get_mut(name) {
            Some(entry) => f(entry),
            None => Err(Report::new(BenchError::Option(format!("no instance {name}")))),
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.instances.borrow_mut().clear();
        if !self.options.keep && !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

fn serving(nodes: &serde_json::Value) -> usize {
    let members = nodes["members"].as_array();
    members.map_or(0, |members| members.iter().filter(|m| m["state"] == "serving").count())
}

fn process(process: &Option<Process>) -> Result<&Process> {
    process.as_ref().ok_or_else(|| Report::new(BenchError::Option("process not started".into())))
}

fn platform(tool: &Path, net: &Net, options: &Options) -> Program {
    let args = ["stand-in", "platform", "--listen"].map(String::from);
    let mut args = args.to_vec();
    args.push(net.platform().to_string());
    args.extend(["--reads-per-s".into(), options.reads_per_s.to_string()]);
    args.extend(["--writes-per-s".into(), options.writes_per_s.to_string()]);
    Program { path: tool.to_owned(), args }
}

/// The executable `name` beside the running one, or a folder above it for a test's executable.
///
/// # Errors
/// [`BenchError::Option`] where it is not there: it was not built.
fn beside(name: &str) -> Result<PathBuf> {
    let own = std::env::current_exe()
        .change_context_lazy(|| BenchError::Io("path of the running executable".into()))?;
    let found = own.ancestors().skip(1).take(2).map(|dir| dir.join(name)).find(|p| p.is_file());
    found.ok_or_else(|| {
        let what = format!("{name} is not beside {}; build the workspace first", own.display());
        Report::new(BenchError::Option(what))
    })
}
