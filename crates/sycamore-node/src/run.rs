//! The daemon's life: start every slice, wait for a signal, drain, join.

use crate::hub::{Hub, Phase};
use crate::platform::Platform;
use crate::tasks::TaskGroup;
use crate::{calls, config, moves, operator, peers, timeline};
use error_stack::{Report, ResultExt};
use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use monoio::{LegacyDriver, RuntimeBuilder};
use slog::info;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use sycamore_settings::Settings;
use sycamore_types::event::EventKind;

/// Time that nodes are given to hear of a drain before the listeners close.
const DRAIN_SPREAD: Duration = Duration::from_millis(500);

/// The daemon could not start.
#[derive(Debug)]
pub enum RunError {
    /// The event loop could not be built.
    Runtime,
    /// Signals could not be caught.
    Signals,
    /// A slice could not start; holds its name.
    Slice(&'static str),
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RunError::Runtime => f.write_str("the event loop could not be built"),
            RunError::Signals => f.write_str("signals could not be caught"),
            RunError::Slice(name) => write!(f, "the {name} could not be started"),
        }
    }
}

impl std::error::Error for RunError {}

/// Every slice of a running node.
pub struct Node {
    /// What the slices share.
    pub hub: Rc<Hub>,
    /// The platform's table and object store.
    pub platform: Rc<Platform>,
    /// Membership and spreading.
    pub peers: Rc<peers::Peers>,
    /// Finding and applying configurations.
    pub config: Rc<config::Config>,
    /// Release moves.
    pub moves: Rc<moves::Moves>,
    /// Calls.
    pub calls: Rc<calls::Calls>,
}

/// Runs a node with `settings` until it is told to stop.
///
/// # Errors
/// [`RunError`] where the node can't start.
pub fn run(settings: Settings) -> Result<(), Report<RunError>> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .change_context(RunError::Runtime)?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), Report<RunError>> {
    let mut signals = signal_stream()?;
    let hub = Hub::new(settings);
    let tasks = TaskGroup::default();
    hub.record(EventKind::Started);
    let node = start(&hub, &tasks).await?;
    let listener = TaskGroup::default();
    operator::start(Rc::new(node), &listener)
        .await
        .change_context(RunError::Slice("operators' listener"))?;
    info!(hub.log, "node listens"; "caller" => %hub.settings.listen.caller);
    wait_for_signal(&mut signals).await;
    drain(&hub, &tasks).await;
    listener.stop();
    listener.join().await;
    info!(hub.log, "node stopped");
    Ok(())
}

async fn start(hub: &Rc<Hub>, tasks: &TaskGroup) -> Result<Node, Report<RunError>> {
    let platform = Rc::new(Platform::new(&hub.settings.platform));
    let peers = peers::start(hub, tasks, &platform)
        .await
        .change_context(RunError::Slice("peer listener"))?;
    let config = config::start(hub, tasks, &platform, &peers)
        .await
        .change_context(RunError::Slice("configuration"))?;
    let moves = moves::start(hub, tasks, &platform, &peers)
        .await
        .change_context(RunError::Slice("moves"))?;
    timeline::start(hub, tasks, &platform).await.change_context(RunError::Slice("time line"))?;
    let calls =
        calls::start(hub, tasks).await.change_context(RunError::Slice("callers' listener"))?;
    Ok(Node { hub: hub.clone(), platform, peers, config, moves, calls })
}

/// Announces the drain, lets calls in flight end, then stops and joins every task.
async fn drain(hub: &Rc<Hub>, tasks: &TaskGroup) {
    hub.set_phase(Phase::Draining);
    hub.record(EventKind::Draining);
    monoio::time::sleep(DRAIN_SPREAD).await;
    let limit = hub.settings.calls.drain_timeout;
    let _ = monoio::time::timeout(limit, hub.idle()).await;
    hub.record(EventKind::Stopped);
    hub.set_phase(Phase::Stopped);
    tasks.stop();
    tasks.join().await;
}

/// A stream that yields a byte for each SIGTERM or SIGINT.
fn signal_stream() -> Result<UnixStream, Report<RunError>> {
    let (rx, tx) = std::os::unix::net::UnixStream::pair().change_context(RunError::Signals)?;
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        let tx = tx.try_clone().change_context(RunError::Signals)?;
        signal_hook::low_level::pipe::register(signal, tx).change_context(RunError::Signals)?;
    }
    rx.set_nonblocking(true).change_context(RunError::Signals)?;
    UnixStream::from_std(rx).change_context(RunError::Signals)
}

async fn wait_for_signal(signals: &mut UnixStream) {
    let (_, _) = signals.read(vec![0; 1]).await;
}
