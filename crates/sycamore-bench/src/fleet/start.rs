//! Starting and stopping a fleet.

use super::{
    front, settings, Hop, Instance, InstanceSpec, Net, Options, Process, Program, Upstreams,
};
use crate::stand_in::upstream;
use crate::witness::Witness;
use crate::{BenchError, Result};
use error_stack::{Report, ResultExt};
use futures::future::{select, Either};
use nix::sys::signal::Signal;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::pin::pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Time that processes have to end after SIGTERM when a fleet stops.
const STOP_LIMIT: Duration = Duration::from_secs(10);

static FLEETS: AtomicUsize = AtomicUsize::new(0);

/// A running fleet; all of its processes end when it is dropped.
pub struct Fleet {
    pub(super) options: Options,
    pub(super) net: Net,
    pub(super) dir: PathBuf,
    daemon: PathBuf,
    tool: PathBuf,
    pub(super) witness: Witness,
    pub(super) instances: RefCell<BTreeMap<String, Instance>>,
    pub(super) platform: RefCell<Process>,
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
        let front = match self.options.disturbed {
            true => Some(front::start(&self.net, number)?),
            false => None,
        };
        spec.upstream = upstream::Options {
            listen: addrs.service,
            announced: front.is_some().then(|| self.net.front(number, Hop::Service).0),
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
        let mut extra = self.options.settings.clone();
        let mut platform = self.net.platform();
        if front.is_some() {
            let at = |hop| self.net.front(number, hop).0;
            platform = at(Hop::Platform);
            for (key, hop) in [("relay_advertised", Hop::Relay), ("peer_advertised", Hop::Peer)] {
                extra.push(("listen".into(), key.into(), at(hop).to_string()));
            }
        }
        let text = settings::ini(deployment, &spec, &addrs, platform, &extra);
        std::fs::write(&file, text)
            .change_context_lazy(|| BenchError::Io(format!("write {}", file.display())))?;
        let instance = Instance {
            spec,
            addrs,
            node: None,
            upstream: None,
            respawn: true,
            clock_ahead: Duration::ZERO,
            front,
        };
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
        let log = self.log(instance, "node");
        self.with(instance, |entry| {
            entry.node = None;
            let ahead = entry.clock_ahead.as_millis().to_string();
            let args =
                ["--settings".into(), file.display().to_string(), "--clock-ahead".into(), ahead];
            let program = Program { path: self.daemon.clone(), args: args.into() };
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

    /// Like [`Fleet::stop`]; settings and logs stay.
    pub async fn stop_and_keep(mut self) {
        self.options.keep = true;
        self.stop().await;
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

    /// Does `f` with the instance `name`.
    pub(super) fn with<T>(
        &self,
        name: &str,
        f: impl FnOnce(&mut Instance) -> Result<T>,
    ) -> Result<T> {
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
pub(super) fn beside(name: &str) -> Result<PathBuf> {
    let own = std::env::current_exe()
        .change_context_lazy(|| BenchError::Io("path of the running executable".into()))?;
    let found = own.ancestors().skip(1).take(2).map(|dir| dir.join(name)).find(|p| p.is_file());
    found.ok_or_else(|| {
        let what = format!("{name} is not beside {}; build the workspace first", own.display());
        Report::new(BenchError::Option(what))
    })
}
