//! Runs the apply machine and the floor: gives them their inputs and carries out their actions.

use super::metrics::Metrics;
use crate::hub::Hub;
use crate::peers::Peers;
use crate::platform::Platform;
use bytes::Bytes;
use slog::warn;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use sycamore_config::{
    Action, Apply, ApplySettings, FetchAnswer, Floor, FloorSettings, Input, PeerHead, RejectReason,
    Source,
};
use sycamore_types::prelude::*;
use tokio::sync::{mpsc, Notify};

/// Fetches that wait for a worker at most; the machine has one for each head that it follows.
const FETCH_QUEUE: usize = 16;
/// Rejected heads that operators are told of.
const MAX_REPORTED: usize = 8;

/// Time that a configuration takes at most from the platform's row to a node that follows it: a
/// megabyte over the users' slowest link of 10 Mbit/s.
const ROW_LEAD: Duration = Duration::from_millis(800);

/// One fetch that the machine asked for.
#[derive(Debug)]
pub(super) struct Fetch {
    pub(super) head: ConfigHead,
    pub(super) source: Source,
    pub(super) hashes: Vec<ContentHash>,
}

/// A head that this node rejected.
#[derive(Debug, Clone)]
pub(super) struct Rejected {
    pub(super) head: ConfigHead,
    pub(super) reason: String,
}

/// The machines with what they need around them.
pub(super) struct Driver {
    pub(super) hub: Rc<Hub>,
    pub(super) platform: Rc<Platform>,
    pub(super) peers: Rc<Peers>,
    pub(super) metrics: Metrics,
    pub(super) rejected: RefCell<VecDeque<Rejected>>,
    /// Wakes the task that ticks the machine.
    pub(super) changed: Notify,
    /// Wakes the task that serves objects, which may have come.
    pub(super) gained: Notify,
    /// This node reads operators' rows, and the platform answers.
    pub(super) follows: Cell<bool>,
    /// The last head that a peer did not have.
    missed: Cell<Option<ConfigHead>>,
    apply: RefCell<Apply>,
    floor: RefCell<Floor>,
    fetches: mpsc::Sender<Fetch>,
}

impl Driver {
    /// A driver whose machine knows no configuration, and the queue of its fetches.
    pub(super) fn new(
        hub: &Rc<Hub>,
        platform: &Rc<Platform>,
        peers: &Rc<Peers>,
        metrics: Metrics,
    ) -> (Rc<Self>, mpsc::Receiver<Fetch>) {
        let max_bytes = usize::try_from(hub.settings.config.object_cache).unwrap_or(usize::MAX);
        let settings =
            ApplySettings { max_bytes, seed: rand::random(), ..ApplySettings::default() };
        let (fetches, fetches_rx) = mpsc::channel(FETCH_QUEUE);
        let driver = Rc::new(Self {
            hub: hub.clone(),
            platform: platform.clone(),
            peers: peers.clone(),
            metrics,
            rejected: RefCell::default(),
            changed: Notify::new(),
            gained: Notify::new(),
            follows: Cell::new(false),
            missed: Cell::new(None),
            apply: RefCell::new(Apply::new(settings)),
            floor: RefCell::new(Floor::new(FloorSettings::default())),
            fetches,
        });
        (driver, fetches_rx)
    }

    /// Gives the machine one input and carries out what it asks for.
    pub(super) fn input(&self, input: Input) {
        let actions = self.apply.borrow_mut().step(self.hub.clock.now(), input);
        for action in actions {
            self.act(action);
        }
        self.changed.notify_one();
        self.gained.notify_one();
    }

    /// Takes a whole configuration that came by itself: accepted through this node, or read from an
    /// operator's row.
    pub(super) fn given(&self, head: ConfigHead, pack: Bytes) {
        self.input(Input::PackReceived { head, pack });
        self.hub.raise(Fact::Head(head));
    }

    /// Takes what the platform's head row said; `None` where there is no row.
    pub(super) fn read_head(&self, head: Option<ConfigHead>) {
        if let Some(head) = head {
            self.input(Input::HeadLearned {
                head,
                from: Source::Store,
                fetch_delay: Duration::ZERO,
            });
            self.hub.raise(Fact::Head(head));
        }
        if self.floor().is_none() {
            let floor = self.floor.borrow_mut().on_head_row(head);
            self.learn_floor(floor);
        }
    }

    /// Takes the highest head that `peer` has seen.
    pub(super) fn told(&self, peer: &Member, head: ConfigHead) {
        self.heard_of(head);
        if self.floor().is_none() {
            let (instance, data_centre) = (&peer.instance, &peer.data_centre);
            let told = PeerHead { instance, data_centre, head };
            let floor = self.floor.borrow_mut().on_peer_head(told);
            self.learn_floor(floor);
        }
    }

    /// Takes a head that a peer told of. Where this node reads operators' rows itself, the whole
    /// configuration is likely on its way from there.
    pub(super) fn heard_of(&self, head: ConfigHead) {
        let lead = if self.follows.get() { ROW_LEAD } else { Duration::ZERO };
        self.input(Input::HeadLearned { head, from: Source::Peer, fetch_delay: lead });
    }

    /// Notes that a peer did not have objects of `head`.
    pub(super) fn note_miss(&self, head: ConfigHead) {
        self.missed.set(Some(head));
    }

    /// Whether a peer did not have objects of `head`.
    pub(super) fn missed(&self, head: ConfigHead) -> bool {
        self.missed.get() == Some(head)
    }

    /// The version floor; `None` while the node may not serve.
    pub(super) fn floor(&self) -> Option<ConfigVersion> {
        self.floor.borrow().known()
    }

    /// Reads the machine.
    pub(super) fn read<T>(&self, read: impl FnOnce(&Apply) -> T) -> T {
        read(&self.apply.borrow())
    }

    fn learn_floor(&self, floor: Option<ConfigVersion>) {
        if let Some(version) = floor {
            self.input(Input::Floor(version));
        }
    }

    fn act(&self, action: Action) {
        match action {
            Action::Fetch { head, source, hashes } => self.fetch(Fetch { head, source, hashes }),
            Action::Apply(snapshot) => {
                self.metrics.applied(snapshot.version, self.hub.clock.wall());
                self.hub.publish_snapshot(snapshot);
            }
            Action::Reject { head, reason } => self.reject(head, &reason),
        }
    }

    fn fetch(&self, fetch: Fetch) {
        let head = fetch.head;
        if self.fetches.try_send(fetch).is_err() {
            // The machine counts on one answer for each fetch.
            self.input(Input::Fetched { head, answer: FetchAnswer::Failed });
        }
    }

    fn reject(&self, head: ConfigHead, reason: &RejectReason) {
        let reason = reason.to_string();
        warn!(self.hub.log, "configuration rejected"; "version" => head.version.0, "reason" => &reason);
        self.metrics.rejected();
        let mut rejected = self.rejected.borrow_mut();
        rejected.retain(|earlier| earlier.head != head);
        rejected.push_back(Rejected { head, reason: reason.clone() });
        if rejected.len() > MAX_REPORTED {
            rejected.pop_front();
        }
        self.hub.record(EventKind::ConfigRejected { config: head.version, reason });
    }
}
