//! Lifecycle of the daemon: starts the subsystems, waits for a signal, drains and joins all tasks.

use crate::edge::Edges;
use crate::hub::{Clock, Hub, Phase};
use crate::operator::readiness;
use crate::platform::Platform;
use crate::tasks::TaskGroup;
use crate::{calls, config, moves, operator, peers, timeline};
use error_stack::{Report, ResultExt};
use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use monoio::{LegacyDriver, RuntimeBuilder};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use signal_hook::low_level::pipe;
use slog::{info, warn};
use std::fmt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use sycamore_settings::shutdown::{Shutdown, CLOSING_SPREAD, JOIN_TIMEOUT};
use sycamore_settings::Settings;
use sycamore_types::event::EventKind;

/// Error of [`run`]: the daemon could not start.
#[derive(Debug)]
pub enum RunError {
    /// The event loop could not be created.
    Runtime,
    /// The signal handlers could not be installed.
    Signals,
    /// The named subsystem could not start.
    Subsystem(&'static str),
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RunError::Runtime => f.write_str("the event loop could not be created"),
            RunError::Signals => f.write_str("the signal handlers could not be installed"),
            RunError::Subsystem(name) => write!(f, "the {name} could not be started"),
        }
    }
}

impl std::error::Error for RunError {}

/// Handles to the subsystems of a running node.
pub struct Node {
    /// State shared by the subsystems.
    pub hub: Rc<Hub>,
    /// Client of the platform's table and object store.
    pub platform: Rc<Platform>,
    /// Membership subsystem.
    pub peers: Rc<peers::Peers>,
    /// Configuration subsystem.
    pub config: Rc<config::Config>,
    /// Moves subsystem.
    pub moves: Rc<moves::Moves>,
    /// Calls subsystem.
    pub calls: Rc<calls::Calls>,
}

/// Settings of a node, their file and the clock to run with.
pub struct RunOptions {
    /// Settings to start with.
    pub settings: Settings,
    /// File to read the settings from again at SIGHUP; `None` if they came from no file.
    pub path: Option<PathBuf>,
    /// Monotonic and wall clock.
    pub clock: Clock,
}

/// Runs a node that uses the protocols of `edges` until SIGTERM or SIGINT.
///
/// # Errors
/// [`RunError`] if the node can't start.
pub fn run(options: RunOptions, edges: Edges) -> Result<(), Report<RunError>> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .change_context(RunError::Runtime)?;
    runtime.block_on(serve(options, edges))
}

async fn serve(options: RunOptions, edges: Edges) -> Result<(), Report<RunError>> {
    let mut signals = Signals::install()?;
    let hub = Hub::with_clock(options.settings, options.clock);
    let tasks = TaskGroup::default();
    hub.record(EventKind::Started);
    let calls = TaskGroup::default();
    let node = start(&hub, &tasks, &calls, &edges).await?;
    let listener = TaskGroup::default();
    if let Some(addr) = hub.settings.listen.ready {
        readiness::start(&hub, &listener, addr, edges.readiness_path)
            .change_context(RunError::Subsystem("readiness listener"))?;
    }
    operator::start(Rc::new(node), &listener)
        .await
        .change_context(RunError::Subsystem("operators' listener"))?;
    info!(hub.log, "node started"; "caller" => %hub.settings.listen.caller);
    while signals.next().await == Signal::Reload {
        reload(&hub, options.path.as_deref());
    }
    let plan = shutdown_plan(&hub);
    info!(hub.log, "node stopping"; "in_flight" => hub.in_flight(),
        "notice_ms" => plan.notice.as_millis(), "drain_ms" => plan.drain.as_millis());
    drain(&hub, plan, &calls, &tasks).await;
    listener.stop();
    if monoio::time::timeout(JOIN_TIMEOUT, listener.join()).await.is_err() {
        warn!(hub.log, "shutdown timed out, listeners aborted"; "tasks" => listener.live());
    }
    info!(hub.log, "node stopped");
    Ok(())
}

async fn start(
    hub: &Rc<Hub>,
    tasks: &TaskGroup,
    calls: &TaskGroup,
    edges: &Edges,
) -> Result<Node, Report<RunError>> {
    let platform = Platform::new(&hub.settings.platform, edges.store.clone(), &hub.registry)
        .change_context(RunError::Subsystem("platform client"))?;
    let platform = Rc::new(platform);
    let peers = peers::start(hub, tasks, &platform)
        .await
        .change_context(RunError::Subsystem("peer listener"))?;
    let config = config::start(hub, tasks, &platform, &peers, edges.operators.clone())
        .await
        .change_context(RunError::Subsystem("configuration subsystem"))?;
    let moves = moves::start(hub, tasks, &platform, &peers, edges.operators.clone())
        .await
        .change_context(RunError::Subsystem("moves subsystem"))?;
    timeline::start(hub, tasks, &platform)
        .await
        .change_context(RunError::Subsystem("timeline archive"))?;
    let calls = calls::start(hub, calls, edges)
        .await
        .change_context(RunError::Subsystem("callers' listener"))?;
    calls.exchange_credit(tasks, &peers);
    Ok(Node { hub: hub.clone(), platform, peers, config, moves, calls })
}

/// Drains the node: announces it while calls are still accepted, waits for the calls in flight,
/// then stops and joins every task.
async fn drain(hub: &Rc<Hub>, plan: Shutdown, calls: &TaskGroup, tasks: &TaskGroup) {
    hub.set_phase(Phase::Draining);
    hub.record(EventKind::Draining);
    monoio::time::sleep(plan.notice).await;
    hub.set_phase(Phase::Closing);
    monoio::time::sleep(CLOSING_SPREAD).await;
    calls.stop();
    if monoio::time::timeout(plan.drain, calls.join()).await.is_err() {
        warn!(hub.log, "drain timed out, calls aborted"; "in_flight" => hub.in_flight());
    }
    hub.record(EventKind::Stopped);
    hub.set_phase(Phase::Stopped);
    tasks.stop();
    if monoio::time::timeout(JOIN_TIMEOUT, tasks.join()).await.is_err() {
        warn!(hub.log, "shutdown timed out, tasks aborted"; "tasks" => tasks.live());
    }
}

/// Returns the timetable of the shutdown. Settings that didn't pass the checks of a settings file may
/// hold a grace time that is too short for one.
fn shutdown_plan(hub: &Hub) -> Shutdown {
    Shutdown::plan(&hub.settings.calls).unwrap_or_else(|least| {
        warn!(hub.log, "grace time too short, calls not drained"; "least_ms" => least.as_millis());
        Shutdown { notice: Duration::ZERO, drain: Duration::ZERO }
    })
}

/// Request that a POSIX signal makes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Signal {
    Stop,
    Reload,
}

/// Handlers of the signals SIGTERM and SIGINT, which stop the process, and SIGHUP, which makes it
/// read its settings again.
struct Signals {
    wakeups: UnixStream,
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    fn install() -> Result<Self, Report<RunError>> {
        let (rx, tx) = std::os::unix::net::UnixStream::pair().change_context(RunError::Signals)?;
        let (stop, reload) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
        for (signal, flag) in [(SIGTERM, &stop), (SIGINT, &stop), (SIGHUP, &reload)] {
            // Actions run in the order of registration, so the flag is set before the wake-up.
            flag::register(signal, flag.clone()).change_context(RunError::Signals)?;
            let tx = tx.try_clone().change_context(RunError::Signals)?;
            pipe::register(signal, tx).change_context(RunError::Signals)?;
        }
        rx.set_nonblocking(true).change_context(RunError::Signals)?;
        let wakeups = UnixStream::from_std(rx).change_context(RunError::Signals)?;
        Ok(Self { wakeups, stop, reload })
    }

    async fn next(&mut self) -> Signal {
        loop {
            let (read, _) = self.wakeups.read(vec![0; 1]).await;
            if read.is_err() || self.stop.load(Ordering::SeqCst) {
                return Signal::Stop;
            }
            if self.reload.swap(false, Ordering::SeqCst) {
                return Signal::Reload;
            }
        }
    }
}

/// Reads the settings again and logs whether a restart would change them. The running node keeps
/// its settings; invalid ones are only logged.
fn reload(hub: &Hub, path: Option<&Path>) {
    let Some(path) = path else {
        return warn!(hub.log, "settings not reloaded"; "why" => "no settings file was given");
    };
    match sycamore_settings::from_file(path) {
        Ok(settings) if settings == hub.settings => {
            info!(hub.log, "settings file unchanged");
        }
        Ok(_) => info!(hub.log, "settings file changed: changes take effect at the next start"),
        Err(report) => {
            let faults = report.current_context().to_string();
            warn!(hub.log, "settings not reloaded"; "why" => faults);
        }
    }
}
