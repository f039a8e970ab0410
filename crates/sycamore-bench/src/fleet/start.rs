//! Starts and stops the processes of a fleet.

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

/// Longest wait for processes to exit after SIGTERM when a fleet stops.
const STOP_LIMIT: Duration = Duration::from_secs(10);

/// Number of fleets that this process has started, for the names of their directories.
static FLEETS: AtomicUsize = AtomicUsize::new(0);

/// Running fleet; dropping it kills all of its processes.
pub struct Fleet {
    pub(super) options: Options,
    pub(super) net: Net,
    pub(super) dir: PathBuf,
    node_program: PathBuf,
    bench_program: PathBuf,
    pub(super) witness: Witness,
    pub(super) instances: RefCell<BTreeMap<String, Instance>>,
    pub(super) platform: RefCell<Process>,
    started: std::cell::Cell<usize>,
}

impl Fleet {
    /// Starts platform, nodes and upstreams, applies a configuration with one route for each service,
    /// and waits until every node is ready and sees every other node as serving.
    ///
    /// # Errors
    /// [`BenchError::Io`] or [`BenchError::Option`] if a process can't be started,
    /// [`BenchError::NotReady`] if the fleet isn't ready within [`Options::ready_limit`], or the error
    /// of the last attempt to apply the configuration.
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
        match select(pin!(complete), pin!(fleet.supervise())).await {
            Either::Left((complete, _)) => complete?,
            Either::Right(_) => {}
        }
        Ok(fleet)
    }

    /// Starts the platform and the witness of a fleet, without any instance.
    ///
    /// # Errors
    /// [`BenchError::Io`] or [`BenchError::Option`] if the platform or the witness can't be started,
    /// [`BenchError::NotReady`] if the platform doesn't answer within [`Options::ready_limit`].
    pub async fn prepare(options: Options) -> Result<Self> {
        let net = Net::draw();
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir()
            .join(format!("sycamoreshift-bench-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&dir)
            .change_context_lazy(|| BenchError::Io(format!("create {}", dir.display())))?;
        let bench_program = executable("sycamoreshift-bench")?;
        let program = platform_program(&bench_program, &net, &options);
        let platform = Process::start(&program, &dir.join("platform.log"))?;
        let fleet = Self {
            witness: Witness::start(net.witness())?,
            node_program: executable("sycamoreshiftd")?,
            bench_program,
            net,
            dir,
            options,
            instances: RefCell::default(),
            platform: RefCell::new(platform),
            started: std::cell::Cell::new(0),
        };
        fleet
            .wait_for("an answer of the platform", || async {
                fleet.platform_stats().await.is_ok()
            })
            .await
            .map(|()| fleet)
    }

    /// Returns the specifications of all instances of the deployment, at the fleet's first version.
    fn specs(&self) -> Vec<InstanceSpec> {
        let deployment = &self.options.deployment;
        let services = deployment
            .services
            .iter()
            .flat_map(|service| (0..service.upstreams).map(move |i| (service.name.as_str(), i)));
        services.map(|(service, i)| self.spec(service, i, &self.options.upstream.version)).collect()
    }

    /// Returns the specification of the instance number `i`, counted from 0, of `service` with
    /// `version`; its name has a suffix if `version` isn't the fleet's first version.
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

    /// Adds a new instance to the fleet and starts its node and its upstream.
    ///
    /// # Errors
    /// [`BenchError::Io`] if its settings can't be written, or its proxy, node or upstream can't be
    /// started.
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

    /// Starts the node of `instance`; one that runs is killed first.
    ///
    /// # Errors
    /// [`BenchError::Io`] if the process can't be started, [`BenchError::Option`] if there is no such
    /// instance.
    pub fn start_node(&self, instance: &str) -> Result<()> {
        let file = self.dir.join(format!("{instance}.ini"));
        let log = self.log(instance, "node");
        self.with_instance(instance, |entry| {
            entry.node = None;
            let ahead = entry.clock_ahead.as_millis().to_string();
            let args =
                ["--settings".into(), file.display().to_string(), "--clock-ahead".into(), ahead];
            let program = Program { path: self.node_program.clone(), args: args.into() };
            entry.node = Some(Process::start(&program, &log)?);
            Ok(())
        })
    }

    /// Starts the upstream of `instance`; one that runs is killed first. Does nothing in fleets with
    /// [`Upstreams::Announced`].
    ///
    /// # Errors
    /// [`BenchError::Io`] if the process can't be started, [`BenchError::Option`] if there is no such
    /// instance.
    pub fn start_upstream(&self, instance: &str) -> Result<()> {
        if self.options.upstreams == Upstreams::Announced {
            return Ok(());
        }
        let log = self.log(instance, "upstream");
        self.with_instance(instance, |entry| {
            entry.upstream = None;
            let args = entry.spec.upstream.to_args();
            let program = Program { path: self.bench_program.clone(), args };
            entry.upstream = Some(Process::start(&program, &log)?);
            Ok(())
        })
    }

    /// Stops the fleet like [`Fleet::stop`], but keeps its settings and logs.
    pub async fn stop_and_keep(mut self) {
        self.options.keep = true;
        self.stop().await;
    }

    /// Stops all nodes and upstreams with SIGTERM, also paused ones, and kills those that don't exit
    /// within ten seconds; the platform is killed.
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

    /// Calls `f` with the instance `name`, or returns [`BenchError::Option`] if there is none.
    pub(super) fn with_instance<T>(
        &self,
        name: &str,
        f: impl FnOnce(&mut Instance) -> Result<T>,
    ) -> Result<T> {
        match self.instances.borrow_mut().get_mut(name) {
            Some(entry) => f(entry),
            None => Err(Report::new(BenchError::Option(format!("no instance is named {name:?}")))),
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

fn platform_program(bench_program: &Path, net: &Net, options: &Options) -> Program {
    let args = ["stand-in", "platform", "--listen"].map(String::from);
    let mut args = args.to_vec();
    args.push(net.platform().to_string());
    args.extend(["--reads-per-s".into(), options.reads_per_s.to_string()]);
    args.extend(["--writes-per-s".into(), options.writes_per_s.to_string()]);
    Program { path: bench_program.to_owned(), args }
}

/// Returns the path of the executable `name` in the directory of the running executable or, for a
/// test's executable, in the directory above.
///
/// # Errors
/// [`BenchError::Option`] if there is no such file, because it was not built.
pub(super) fn executable(name: &str) -> Result<PathBuf> {
    let own = std::env::current_exe()
        .change_context_lazy(|| BenchError::Io("path of the running executable".into()))?;
    let found = own.ancestors().skip(1).take(2).map(|dir| dir.join(name)).find(|p| p.is_file());
    found.ok_or_else(|| {
        let what = format!("{name} is not next to {}; build the workspace first", own.display());
        Report::new(BenchError::Option(what))
    })
}
