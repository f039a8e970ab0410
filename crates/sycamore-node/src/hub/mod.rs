//! What the slices of a node share.

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
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use sycamore_settings::Settings;
use sycamore_types::prelude::*;
use tokio::sync::{mpsc, watch, Notify};

/// Outcomes of calls that may wait for the moves slice; later ones are dropped and counted.
const OUTCOME_QUEUE: usize = 16_384;

/// What the node is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It has no current configuration yet and serves nothing.
    Starting,
    /// It serves.
    Ready,
    /// It was told to stop: it says that it is not ready, and serves while callers move on. Its
    /// upstream may live on and gets calls for as long.
    Draining,
    /// It lets calls in flight end and takes no new ones.
    Closing,
    /// Its tasks end.
    Stopped,
}

/// The upstream beside the node, as it announced itself.
#[derive(Debug, Clone, PartialEq)]
pub struct AnnouncedUpstream {
    /// Its own name of its process, where it has one.
    pub name: Option<String>,
    /// Its version.
    pub version: UpstreamVersion,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Calls that it runs at once.
    pub slots: u16,
    /// Connections that it takes.
    pub connections: u16,
    /// When it is warm.
    pub warm_at: Time,
    /// It asked to leave.
    pub draining: bool,
}

/// What the slices of a node share. Everything is on one thread.
pub struct Hub {
    /// The settings.
    pub settings: Settings,
    /// The generation of this process.
    pub incarnation: Incarnation,
    /// Monotonic and civil time.
    pub clock: Clock,
    /// One line of key=value pairs for each event.
    pub log: Logger,
    /// Every metric.
    pub registry: Registry,
    /// The configuration in force; version 0 until there is one.
    pub snapshot: watch::Sender<Arc<Snapshot>>,
    /// The members known.
    pub members: watch::Sender<Arc<MemberView>>,
    /// The shares of versions.
    pub shares: watch::Sender<Arc<ShareTable>>,
    /// The upstream beside the node, while it announces itself.
    pub upstream: watch::Sender<Option<AnnouncedUpstream>>,
    /// The orders of operators in force, by the key of their row, with its revision.
    pub orders: watch::Sender<Arc<BTreeMap<String, (ReleaseOrder, u64)>>>,
    /// Facts that spread.
    pub facts: Facts,
    /// What the node depends on, and whether it has it.
    pub dependencies: Dependencies,
    phase: watch::Sender<Phase>,
    timeline: RefCell<Recorder>,
    outcomes: mpsc::Sender<CallOutcome>,
    outcomes_rx: RefCell<Option<mpsc::Receiver<CallOutcome>>>,
    outcomes_lost: Cell<u64>,
    in_flight: Cell<usize>,
    in_flight_done: Notify,
}

impl Hub {
    /// A hub for a node with `settings`, that nothing has filled yet.
    pub fn new(settings: Settings) -> Rc<Self> {
        Self::with_clock(settings, Clock::start())
    }

    /// The same with `clock`.
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
            members: watch::Sender::new(Arc::default()),
            shares: watch::Sender::new(Arc::default()),
            upstream: watch::Sender::new(None),
            orders: watch::Sender::new(Arc::default()),
            facts: Facts::default(),
            dependencies,
            phase: watch::Sender::new(Phase::Starting),
            timeline: RefCell::new(recorder),
            outcomes,
            outcomes_rx: RefCell::new(Some(outcomes_rx)),
            outcomes_lost: Cell::new(0),
            in_flight: Cell::new(0),
            in_flight_done: Notify::new(),
            settings,
        })
    }

    /// What the node is doing.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Follows what the node is doing.
    pub fn phases(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Moves on to `phase`; a phase never goes back.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let forward = (phase as u8) > (*current as u8);
            if forward {
                *current = phase;
            }
            forward
        });
    }

    /// Puts a configuration into force: the node is ready from the first one on.
    pub fn publish_snapshot(&self, snapshot: Snapshot) {
        let config = snapshot.version;
        self.snapshot.send_replace(Arc::new(snapshot));
        self.record(EventKind::ConfigApplied { config });
        if self.phase() == Phase::Starting {
            self.set_phase(Phase::Ready);
            self.record(EventKind::Ready { config });
        }
    }

    /// Records an event on the time line and logs it.
    pub fn record(&self, kind: EventKind) {
        let body = serde_json::to_string(&kind).unwrap_or_default();
        info!(self.log, "{}", kind.name(); "event" => body);
        self.timeline.borrow_mut().record(kind, self.clock.wall());
    }

    /// The stamp that a message sent now carries.
    pub fn stamp(&self) -> Stamp {
        self.timeline.borrow_mut().stamp(self.clock.wall())
    }

    /// Takes note of a stamp that a message carried, so that what follows is ordered after it.
    pub fn observe(&self, stamp: Stamp) {
        self.timeline.borrow_mut().observe(stamp, self.clock.wall());
    }

    /// The time line of this process.
    pub fn timeline(&self) -> &RefCell<Recorder> {
        &self.timeline
    }

    /// Raises `fact`: it is kept, recorded where it is new, and spread.
    pub fn raise(&self, fact: Fact) {
        if self.facts.insert(fact.clone()) && !matches!(fact, Fact::Head(_) | Fact::MoveRow { .. })
        {
            self.record(EventKind::FactRaised { fact });
        }
    }

    /// Hands the outcome of a call to the moves slice.
    pub fn report_outcome(&self, outcome: CallOutcome) {
        if self.outcomes.try_send(outcome).is_err() {
            self.outcomes_lost.set(self.outcomes_lost.get() + 1);
        }
    }

    /// Takes the queue of outcomes; `None` the second time.
    pub fn take_outcomes(&self) -> Option<mpsc::Receiver<CallOutcome>> {
        self.outcomes_rx.borrow_mut().take()
    }

    /// Outcomes dropped since the start because the queue was full.
    pub fn outcomes_lost(&self) -> u64 {
        self.outcomes_lost.get()
    }

    /// Counts a call as in flight on this node until the guard is dropped.
    pub fn call_in_flight(self: &Rc<Self>) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight(self.clone())
    }

    /// Calls in flight on this node.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Waits until no call is in flight.
    pub async fn idle(&self) {
        loop {
            let done = self.in_flight_done.notified();
            if self.in_flight.get() == 0 {
                return;
            }
            done.await;
        }
    }
}

/// A call in flight; dropped when the call has ended.
pub struct InFlight(Rc<Hub>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        if self.0.in_flight.get() == 0 {
            self.0.in_flight_done.notify_waiters();
        }
    }
}
