//! State shared by the subsystems of a node.

mod clock;
mod dependency;
mod facts;
pub mod log;
mod meter;

pub use clock::Clock;
pub use dependency::{Dependencies, Dependency};
pub use facts::Facts;
pub use meter::{raise_to, Meter};

use crate::edge::ReleaseOrder;
use crate::timeline::Recorder;
use prometheus::Registry;
use slog::{info, Logger};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use sycamore_config::{Freshness, NewerVersions, OutOfDate};
use sycamore_settings::Settings;
use sycamore_types::prelude::*;
use tokio::sync::{mpsc, watch, Notify};

/// Capacity of the queue of call outcomes to the moves subsystem; outcomes that find it full are
/// dropped and counted.
const OUTCOME_QUEUE: usize = 16_384;

/// Lifecycle phase of the node; phases only advance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The node has no configuration yet and serves no calls.
    Starting,
    /// The node serves calls.
    Ready,
    /// The node was told to stop: it reports that it is not ready, and still serves calls while
    /// callers switch to other nodes. The upstream may keep running, and receives calls while it
    /// does.
    Draining,
    /// The node accepts no new calls and waits for those in flight.
    Closing,
    /// The node's tasks end.
    Stopped,
}

/// Local upstream as described by its latest announcement.
#[derive(Debug, Clone, PartialEq)]
pub struct AnnouncedUpstream {
    /// Process that sent the announcement.
    pub process: ProcessId,
    /// Name the upstream gives its process; `None` if it gives none.
    pub name: Option<String>,
    /// Time at which the process started, by its own clock; `None` if it doesn't say.
    pub started: Option<WallTime>,
    /// Version of the upstream's software.
    pub version: UpstreamVersion,
    /// Address at which the upstream accepts calls.
    pub address: SocketAddr,
    /// Calls the upstream runs concurrently.
    pub slots: u16,
    /// Connections the upstream accepts.
    pub connections: u16,
    /// Time at which the upstream's cold start ends.
    pub warm_at: Time,
    /// Whether the upstream asked to leave.
    pub draining: bool,
    /// Whether the process has left, by a message of its own or an answer, which holds for good.
    pub has_left: bool,
}

impl AnnouncedUpstream {
    /// Returns the upstream's process if it has left for good.
    pub fn left(&self) -> Option<ProcessId> {
        self.has_left.then_some(self.process)
    }
}

/// Largest number of upstream processes whose leave is remembered; the oldest is dropped first.
const MAX_LEFT: usize = 8;

/// State shared by the subsystems of a node, all of which run on one thread.
pub struct Hub {
    /// Settings the node was started with.
    pub settings: Settings,
    /// Incarnation of this process: the wall-clock time of its start, in milliseconds.
    pub incarnation: Incarnation,
    /// Monotonic and wall clock.
    pub clock: Clock,
    /// Structured log.
    pub log: Logger,
    /// Registry of all metrics of the node.
    pub registry: Registry,
    /// Configuration in force; version 0 until the first one is applied.
    pub snapshot: watch::Sender<Arc<Snapshot>>,
    /// Versions above the one in force that this node knows of.
    pub newer_versions: RefCell<NewerVersions>,
    /// Proofs of how recent the configuration in force is.
    pub freshness: RefCell<Freshness>,
    /// Known members of the fleet.
    pub members: watch::Sender<Arc<MemberView>>,
    /// Traffic shares of the versions of each service.
    pub shares: watch::Sender<Arc<ShareTable>>,
    /// Local upstream; `None` while it does not announce itself.
    pub upstream: watch::Sender<Option<AnnouncedUpstream>>,
    /// Upstream processes that have left, the latest last, as this node or an earlier process of it
    /// recorded.
    left: RefCell<VecDeque<ProcessId>>,
    /// Latest leave that the platform's table holds.
    stored_leave: watch::Sender<Option<ProcessId>>,
    /// Whether this process has still to read the row of an earlier process of the node, which may hold
    /// a leave.
    awaits_own_row: watch::Sender<bool>,
    /// Release orders of operators by row key, each with the revision of its row.
    pub orders: watch::Sender<Arc<BTreeMap<String, (ReleaseOrder, u64)>>>,
    /// Facts that spread between nodes.
    pub facts: Facts,
    /// Availability of the platform and of the local upstream.
    pub dependencies: Dependencies,
    phase: watch::Sender<Phase>,
    configured: Cell<bool>,
    timeline: RefCell<Recorder>,
    outcomes: mpsc::Sender<CallOutcome>,
    outcomes_rx: RefCell<Option<mpsc::Receiver<CallOutcome>>>,
    outcomes_lost: Cell<u64>,
    in_flight: Cell<usize>,
    in_flight_done: Notify,
}

impl Hub {
    /// Creates a hub for a node with `settings`, in phase [`Phase::Starting`].
    pub fn new(settings: Settings) -> Rc<Self> {
        Self::with_clock(settings, Clock::start())
    }

    /// Creates a hub for a node with `settings` that reads `clock`, in phase [`Phase::Starting`].
    pub fn with_clock(settings: Settings, clock: Clock) -> Rc<Self> {
        let (outcomes, outcomes_rx) = mpsc::channel(OUTCOME_QUEUE);
        let incarnation = Incarnation(clock.wall().0);
        let registry = Registry::new();
        let dependencies = Dependencies::new(Meter::new(&registry));
        let dependencies = dependencies.expect("a new registry has no other names");
        let (log, drops) = log::logger(&settings, std::io::stdout());
        let registered = registry.register(Box::new(drops));
        registered.expect("a new registry has no other names");
        let recorder = Recorder::new(&settings, incarnation);
        Rc::new(Self {
            incarnation,
            clock,
            log,
            registry,
            snapshot: watch::Sender::new(Arc::default()),
            newer_versions: RefCell::default(),
            freshness: RefCell::default(),
            members: watch::Sender::new(Arc::default()),
            shares: watch::Sender::new(Arc::default()),
            upstream: watch::Sender::new(None),
            left: RefCell::default(),
            stored_leave: watch::Sender::new(None),
            awaits_own_row: watch::Sender::new(false),
            orders: watch::Sender::new(Arc::default()),
            facts: Facts::default(),
            dependencies,
            phase: watch::Sender::new(Phase::Starting),
            configured: Cell::new(false),
            timeline: RefCell::new(recorder),
            outcomes,
            outcomes_rx: RefCell::new(Some(outcomes_rx)),
            outcomes_lost: Cell::new(0),
            in_flight: Cell::new(0),
            in_flight_done: Notify::new(),
            settings,
        })
    }

    /// Returns the current lifecycle phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Subscribes to the lifecycle phase.
    pub fn phases(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Advances to `phase`; an earlier phase than the current one is ignored.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let forward = (phase as u8) > (*current as u8);
            if forward {
                *current = phase;
            }
            forward
        });
    }

    /// Puts the configuration `snapshot` into force; the first one makes the node ready.
    pub fn publish_snapshot(&self, snapshot: Snapshot) {
        let config = snapshot.version;
        self.snapshot.send_replace(Arc::new(snapshot));
        self.configured.set(true);
        self.record(EventKind::ConfigApplied { config });
        if self.phase() == Phase::Starting {
            self.set_phase(Phase::Ready);
            self.record(EventKind::Ready { config });
        }
    }

    /// Returns whether a configuration is in force. A node may be told to stop before it has its
    /// first one, so the phase doesn't tell.
    pub fn is_configured(&self) -> bool {
        self.configured.get()
    }

    /// Returns the reason for which the configuration in force is known to be out of date; `None`
    /// if it isn't.
    pub fn out_of_date(&self) -> Option<OutOfDate> {
        let in_force = self.snapshot.borrow().version;
        self.newer_versions.borrow().out_of_date(self.clock.now(), in_force)
    }

    /// Returns the age of the latest proof that the configuration in force was the newest; `None` if
    /// there is none.
    pub fn proof_age(&self) -> Option<Duration> {
        let in_force = self.snapshot.borrow().version;
        let proven_at = self.freshness.borrow_mut().proven_at(in_force)?;
        Some(self.clock.boot().since(proven_at))
    }

    /// Records that `version` was the newest configuration at `at` of [`Clock::boot`].
    pub fn record_proof(&self, version: ConfigVersion, at: Time) {
        let in_force = self.snapshot.borrow().version;
        self.freshness.borrow_mut().record(in_force, version, at);
    }

    /// Records an event on the timeline and logs it.
    pub fn record(&self, kind: EventKind) {
        let body = serde_json::to_string(&kind).unwrap_or_default();
        info!(self.log, "{}", kind.name(); "event" => body);
        self.timeline.borrow_mut().record(kind, self.clock.wall());
    }

    /// Advances the hybrid logical clock and returns the stamp of a message sent now.
    pub fn stamp(&self) -> Stamp {
        self.timeline.borrow_mut().stamp(self.clock.wall())
    }

    /// Advances the hybrid logical clock past a received `stamp`, so that later events are ordered
    /// after the message.
    pub fn observe(&self, stamp: Stamp) {
        self.timeline.borrow_mut().observe(stamp, self.clock.wall());
    }

    /// Returns the timeline of this process.
    pub fn timeline(&self) -> &RefCell<Recorder> {
        &self.timeline
    }

    /// Raises `fact` on this node: stores it and, if it is new, queues it for peers and records it
    /// on the timeline. Configuration heads and rows of moves are queued but not recorded.
    pub fn raise(&self, fact: Fact) {
        if self.facts.insert(fact.clone()) && !matches!(fact, Fact::Head(_) | Fact::MoveRow { .. })
        {
            self.record(EventKind::FactRaised { fact });
        }
    }

    /// Records that the upstream `process` has left: it is drained for good, whatever it announces.
    pub fn record_leave(&self, process: ProcessId) {
        let is_new = !self.has_left(process);
        if is_new {
            let mut left = self.left.borrow_mut();
            left.push_back(process);
            if left.len() > MAX_LEFT {
                left.pop_front();
            }
        }
        self.drain_upstream(process, is_new);
    }

    /// Learns of the leave of the upstream `process` that an earlier process of this node recorded.
    /// Returns whether it is news.
    pub fn learn_leave(&self, process: ProcessId) -> bool {
        let is_new = !self.has_left(process) && self.left.borrow().len() < MAX_LEFT;
        if is_new {
            info!(self.log, "earlier leave of upstream learned"; "process" => %process);
            self.left.borrow_mut().push_front(process);
            self.drain_upstream(process, is_new);
        }
        is_new
    }

    /// Returns whether the upstream `process` has left.
    pub fn has_left(&self, process: ProcessId) -> bool {
        self.left.borrow().contains(&process)
    }

    /// Returns the upstream process that has left and that no other has followed yet.
    pub fn left(&self) -> Option<ProcessId> {
        match &*self.upstream.borrow() {
            Some(upstream) => upstream.left(),
            None => self.left.borrow().back().copied(),
        }
    }

    /// Drains the local upstream for good if it is still `process`. Subscribers are notified of a new
    /// leave also if no upstream is known.
    fn drain_upstream(&self, process: ProcessId, is_new: bool) {
        self.upstream.send_if_modified(|known| match known {
            Some(upstream) if upstream.process == process && !upstream.has_left => {
                (upstream.draining, upstream.has_left) = (true, true);
                true
            }
            Some(_) => false,
            None => is_new,
        });
    }

    /// Records that the platform's table holds the leave of the upstream `process`.
    pub fn record_stored_leave(&self, process: ProcessId) {
        self.stored_leave.send_replace(Some(process));
    }

    /// Records whether this process has still to read the row of an earlier process of the node.
    pub fn set_awaits_own_row(&self, awaits: bool) {
        self.awaits_own_row.send_replace(awaits);
    }

    /// Waits until this process has read the row of an earlier process of the node.
    pub async fn wait_for_own_row(&self) {
        let mut awaits = self.awaits_own_row.subscribe();
        // The sender lives as long as the hub.
        let _ = awaits.wait_for(|awaits| !awaits).await;
    }

    /// Returns whether the platform's table holds the leave of the upstream `process`.
    pub fn is_leave_stored(&self, process: ProcessId) -> bool {
        *self.stored_leave.borrow() == Some(process)
    }

    /// Waits until the platform's table holds the leave of the upstream `process`.
    pub async fn wait_for_stored_leave(&self, process: ProcessId) {
        let mut stored = self.stored_leave.subscribe();
        // The sender lives as long as the hub.
        let _ = stored.wait_for(|stored| *stored == Some(process)).await;
    }

    /// Queues the outcome of a call for the moves subsystem; drops and counts it if the queue is
    /// full.
    pub fn report_outcome(&self, outcome: CallOutcome) {
        if self.outcomes.try_send(outcome).is_err() {
            self.outcomes_lost.set(self.outcomes_lost.get() + 1);
        }
    }

    /// Takes the receiver of call outcomes; `None` from the second call on.
    pub fn take_outcomes(&self) -> Option<mpsc::Receiver<CallOutcome>> {
        self.outcomes_rx.borrow_mut().take()
    }

    /// Returns the number of call outcomes dropped since the start because the queue was full.
    pub fn outcomes_lost(&self) -> u64 {
        self.outcomes_lost.get()
    }

    /// Counts a call as in flight until the returned guard is dropped.
    pub fn call_in_flight(self: &Rc<Self>) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight(self.clone())
    }

    /// Returns the number of calls in flight on this node.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Waits until no call is in flight on this node.
    pub async fn wait_until_idle(&self) {
        loop {
            let done = self.in_flight_done.notified();
            if self.in_flight.get() == 0 {
                return;
            }
            done.await;
        }
    }
}

/// Guard that counts one call as in flight until it is dropped.
pub struct InFlight(Rc<Hub>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        if self.0.in_flight.get() == 0 {
            self.0.in_flight_done.notify_waiters();
        }
    }
}
