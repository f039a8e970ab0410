//! Drives the configuration state machines: feeds them inputs and executes their actions.

use super::delta::{self, DeltaCache};
use super::metrics::Metrics;
use super::role::watch_settings;
use crate::hub::Hub;
use crate::peers::Peers;
use crate::platform::Platform;
use bytes::Bytes;
use slog::{info, warn};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use sycamore_config::delta::HeldRequests;
use sycamore_config::{
    Action, Apply, ApplySettings, ConfigSize, FetchAnswer, Floor, FloorSettings, Input, PeerHead,
    RejectReason, Role, Source, Watch,
};
use sycamore_platform::Revision;
use sycamore_types::prelude::*;
use tokio::sync::{mpsc, Notify};

/// Capacity of the fetch queue. The state machine has one fetch open for each head it follows.
const FETCH_QUEUE: usize = 16;
/// Maximum number of rejected heads kept for the query `config`; the oldest is dropped first.
const MAX_REJECTED: usize = 8;

/// Longest time a configuration takes from the platform's row to a node that watches it: 1 MB over
/// the users' slowest link of 10 Mbit/s.
const ROW_TRANSFER_TIME: Duration = Duration::from_millis(800);
/// Longest time a difference takes to a node that has a request at a watcher; two datagrams may be
/// lost in it.
const DELTA_TRANSFER_TIME: Duration = Duration::from_millis(400);

/// Fetch of configuration objects that the state machine requested.
#[derive(Debug)]
pub(super) struct Fetch {
    pub(super) head: ConfigHead,
    pub(super) source: Source,
    pub(super) hashes: Vec<ContentHash>,
    /// Limits of a fetch from a peer.
    pub(super) limit: FetchLimit,
}

/// Configuration head that this node rejected, with the reason.
#[derive(Debug, Clone)]
pub(super) struct Rejected {
    pub(super) head: ConfigHead,
    pub(super) reason: String,
}

/// Configuration state machines with their inputs, outputs and metrics.
pub(super) struct Driver {
    pub(super) hub: Rc<Hub>,
    pub(super) platform: Rc<Platform>,
    pub(super) peers: Rc<Peers>,
    pub(super) metrics: Metrics,
    pub(super) rejected: RefCell<VecDeque<Rejected>>,
    /// Wakes the task that ticks the state machine, whose next due time may have changed.
    pub(super) state_changed: Notify,
    /// Wakes the running fetches, whose configurations may be superseded.
    pub(super) candidates_changed: Notify,
    /// Wakes the task that serves objects to peers, as new objects may have arrived.
    pub(super) objects_changed: Notify,
    /// Whether this node watches operators' rows itself and its last read of them succeeded.
    pub(super) watches_rows: Cell<bool>,
    /// Knowledge of the operators' rows, and the requests for news of them.
    pub(super) watch: RefCell<Watch>,
    /// Role of this node in reading operators' rows; `None` before it is first determined.
    pub(super) role: Cell<Option<Role>>,
    /// Time until which a waiting watch counts as current; `None` while none is waiting.
    pub(super) watching_until: Cell<Option<Time>>,
    /// Revision of the platform's table up to which the configuration in force holds, with its
    /// version; `None` while it is unknown.
    pub(super) complete_at: Cell<Option<(ConfigVersion, Revision)>>,
    /// Wakes the task that requests news of the rows.
    pub(super) request_due: Notify,
    /// Peer that offered a configuration too large for a datagram.
    pub(super) offered_by: Cell<Option<(ConfigHead, SocketAddr)>>,
    /// Latest encoded deltas.
    pub(super) encoded_deltas: RefCell<DeltaCache>,
    /// Peers' requests for a delta that this node can't answer yet.
    pub(super) held_requests: RefCell<HeldRequests>,
    /// Latest head for which a peer lacked objects.
    peer_miss: Cell<Option<ConfigHead>>,
    apply: RefCell<Apply>,
    floor: RefCell<Floor>,
    fetches: mpsc::Sender<Fetch>,
}

impl Driver {
    /// Creates a driver that knows no configuration, and the receiver of its fetch queue.
    pub(super) fn new(
        hub: &Rc<Hub>,
        platform: &Rc<Platform>,
        peers: &Rc<Peers>,
        metrics: Metrics,
    ) -> (Rc<Self>, mpsc::Receiver<Fetch>) {
        let max_bytes = usize::try_from(hub.settings.config.object_cache).unwrap_or(usize::MAX);
        let settings = ApplySettings {
            max_bytes,
            fetch_timeout: hub.settings.config.fetch_timeout,
            seed: rand::random(),
            ..ApplySettings::default()
        };
        let (fetches, fetches_rx) = mpsc::channel(FETCH_QUEUE);
        let driver = Rc::new(Self {
            hub: hub.clone(),
            platform: platform.clone(),
            peers: peers.clone(),
            metrics,
            rejected: RefCell::default(),
            state_changed: Notify::new(),
            candidates_changed: Notify::new(),
            objects_changed: Notify::new(),
            watches_rows: Cell::new(false),
            watch: RefCell::new(Watch::new(watch_settings(hub), hub.clock.now())),
            role: Cell::new(None),
            watching_until: Cell::new(None),
            complete_at: Cell::new(None),
            request_due: Notify::new(),
            offered_by: Cell::new(None),
            encoded_deltas: RefCell::default(),
            held_requests: RefCell::default(),
            peer_miss: Cell::new(None),
            apply: RefCell::new(Apply::new(settings)),
            floor: RefCell::new(Floor::new(FloorSettings::default())),
            fetches,
        });
        (driver, fetches_rx)
    }

    /// Feeds one input to the state machine and executes the resulting actions.
    pub(super) fn input(&self, input: Input) {
        let now = self.hub.clock.now();
        let behind_since = self.with_state(Apply::behind_since).unwrap_or(now);
        let actions = self.apply.borrow_mut().step(now, input);
        let is_behind = self.with_state(Apply::behind_since).is_some();
        self.hub.newer_versions.borrow_mut().record_behind(is_behind);
        self.record_versions();
        for action in actions {
            self.execute(action, now.since(behind_since));
        }
        self.state_changed.notify_one();
        self.candidates_changed.notify_waiters();
        self.objects_changed.notify_one();
    }

    /// Accepts a complete configuration that needs no fetch: committed through this node, or read
    /// from an operator's row.
    pub(super) fn accept_pack(&self, head: ConfigHead, pack: Bytes) {
        self.input(Input::PackReceived { head, pack });
        self.hub.raise(Fact::Head(head));
    }

    /// Handles the head read from the platform's table; `None` if the table has no head row.
    pub(super) fn handle_stored_head(&self, head: Option<ConfigHead>) {
        if let Some(head) = head {
            self.learn_head(head, Source::Store, Duration::ZERO);
            self.hub.raise(Fact::Head(head));
        }
        if self.floor().is_none() {
            let floor = self.floor.borrow_mut().on_head_row(head);
            self.apply_floor(floor);
        }
    }

    /// Handles the highest head that `peer` has seen, as it answered a head request.
    pub(super) fn handle_peer_head(&self, peer: &Member, head: ConfigHead) {
        self.handle_spread_head(head);
        if self.floor().is_none() {
            let (instance, data_centre) = (&peer.instance, &peer.data_centre);
            let peer_head = PeerHead { instance, data_centre, head };
            let floor = self.floor.borrow_mut().on_peer_head(peer_head);
            self.apply_floor(floor);
        }
    }

    /// Handles a head that peers spread. A node that watches operators' rows, or that has a request
    /// at a peer, delays the fetch, as the configuration or a delta is probably on its way.
    pub(super) fn handle_spread_head(&self, head: ConfigHead) {
        let fetch_delay = match (self.watches_rows.get(), self.is_followed()) {
            (true, _) => ROW_TRANSFER_TIME,
            (false, true) => DELTA_TRANSFER_TIME,
            (false, false) => Duration::ZERO,
        };
        self.learn_head(head, Source::Peer, fetch_delay);
    }

    /// Returns whether this node's knowledge of the operators' rows is recent enough.
    pub(super) fn is_followed(&self) -> bool {
        let behind_since = self.with_state(Apply::behind_since);
        self.watch.borrow().is_followed(self.hub.clock.now(), behind_since)
    }

    /// Handles the answer of the peer at `source` that it has `head` in force, complete up to
    /// `revision` of the platform's table by knowledge of this `age`.
    pub(super) fn handle_current(
        &self,
        source: SocketAddr,
        head: Option<ConfigHead>,
        revision: Revision,
        age: Duration,
    ) {
        self.watch.borrow_mut().record_answer(self.hub.clock.now(), age);
        if revision != Revision::ABSENT {
            self.platform.http().observe_epoch(revision.epoch());
        }
        let Some(head) = head else { return };
        if self.floor().is_none() && age <= self.hub.settings.config.max_age() {
            let floor = self.floor.borrow_mut().on_head_row(Some(head));
            self.apply_floor(floor);
        }
        if Some(head.version) > self.with_state(Apply::in_force) {
            self.offered_by.set(Some((head, source)));
            self.hub.facts.learn_from(Fact::Head(head), source);
            self.learn_head(head, Source::Peer, Duration::ZERO);
        }
        self.record_complete(head.version, revision);
    }

    /// Records that the configuration in force holds up to `revision` if it has `version`.
    pub(super) fn record_complete(&self, version: ConfigVersion, revision: Revision) {
        let is_in_force = self.with_state(Apply::in_force) == Some(version);
        let is_newer = self.complete_at.get().is_none_or(|(_, at)| at < revision);
        if is_in_force && is_newer {
            self.complete_at.set(Some((version, revision)));
        }
    }

    fn learn_head(&self, head: ConfigHead, from: Source, fetch_delay: Duration) {
        let (highest, in_force) = self.with_state(|apply| (apply.highest(), apply.in_force()));
        if Some(head) > highest {
            let source = self.hub.facts.head_source(&head).map(|source| source.to_string());
            info!(self.hub.log, "configuration head learned"; "version" => head.version.0,
                "in_force" => in_force.unwrap_or_default().0, "from" => from.as_str(),
                "source" => source.unwrap_or_default());
        }
        self.input(Input::HeadLearned { head, from, fetch_delay });
    }

    /// Records that a peer lacked objects of `head`.
    pub(super) fn record_peer_miss(&self, head: ConfigHead) {
        self.peer_miss.set(Some(head));
    }

    /// Counts the rejection of the head of configuration `version`, and records it as known.
    pub(super) fn record_rejected(&self, version: ConfigVersion) {
        self.metrics.count_rejected();
        self.hub.newer_versions.borrow_mut().record_rejected(version);
        self.record_versions();
    }

    /// Records and counts the rejection of the operator's row of `version`, of which the answers to
    /// peers then tell.
    pub(super) fn record_rejected_row(&self, version: ConfigVersion) {
        self.metrics.count_rejected();
        self.hub.newer_versions.borrow_mut().record_rejected_row(version);
        self.record_versions();
    }

    /// Records that the operators' row is valid, whatever it held before.
    pub(super) fn record_valid_row(&self) {
        self.hub.newer_versions.borrow_mut().record_valid_row();
        self.record_versions();
    }

    /// Records the version that the peer `from` says it rejected; `None` if it names none.
    pub(super) fn record_peer_rejected(&self, from: &InstanceId, rejected: Option<ConfigVersion>) {
        let now = self.hub.clock.now();
        let in_force = self.with_state(Apply::in_force).unwrap_or_default();
        let until = now + self.hub.settings.config.apply_within;
        let mut newer = self.hub.newer_versions.borrow_mut();
        let before = newer.rejected_above(now, in_force);
        newer.record_peer_rejected(now, from, rejected, until);
        let highest = newer.rejected_above(now, in_force);
        drop(newer);
        if let Some(version) = highest.filter(|_| highest > before) {
            warn!(self.hub.log, "configuration rejected by a peer"; "version" => version.0,
                "in_force" => in_force.0, "from" => %from);
        }
        self.record_versions();
    }

    /// Copies the highest known and the highest rejected version to the metrics.
    pub(super) fn record_versions(&self) {
        let (highest, in_force) = self.with_state(|apply| (apply.highest(), apply.in_force()));
        let now = self.hub.clock.now();
        let newer = self.hub.newer_versions.borrow();
        let rejected = newer.rejected_above(now, in_force.unwrap_or_default());
        let known = highest.map(|head| head.version).max(rejected);
        self.metrics.record_rejected(rejected.unwrap_or_default());
        self.metrics.record_known(known.unwrap_or_default());
    }

    /// Returns whether the latest recorded peer miss was for `head`.
    pub(super) fn has_peer_miss(&self, head: ConfigHead) -> bool {
        self.peer_miss.get() == Some(head)
    }

    /// Returns the version floor, the lowest version that this node may serve; `None` until it is
    /// known, and the node serves nothing before then.
    pub(super) fn floor(&self) -> Option<ConfigVersion> {
        self.floor.borrow().known()
    }

    /// Calls `read` on the state machine.
    pub(super) fn with_state<T>(&self, read: impl FnOnce(&Apply) -> T) -> T {
        read(&self.apply.borrow())
    }

    fn apply_floor(&self, floor: Option<ConfigVersion>) {
        if let Some(version) = floor {
            self.input(Input::Floor(version));
        }
    }

    /// Executes `action`; `lag` is the time for which a newer version than the one in force was
    /// known.
    fn execute(&self, action: Action, lag: Duration) {
        match action {
            Action::Fetch { head, source, hashes, limit } => {
                self.queue_fetch(Fetch { head, source, hashes, limit });
            }
            Action::RequestDelta { base } => delta::request(self, base),
            Action::Apply(snapshot) => {
                let size = self.size_of(&snapshot);
                self.metrics.record_applied(snapshot.version, size, self.hub.clock.wall(), lag);
                info!(self.hub.log, "configuration applied"; "version" => snapshot.version.0,
                    "resources" => size.resources, "bytes" => size.bytes,
                    "lag_ms" => millis(lag));
                self.hub.publish_snapshot(snapshot);
                delta::answer_held(self);
                self.watch.borrow_mut().record_configuration(self.hub.clock.now());
                self.request_due.notify_one();
            }
            Action::Reject { head, reason } => self.reject(head, &reason),
        }
    }

    /// Returns the size of the configuration that an action applies.
    fn size_of(&self, snapshot: &Snapshot) -> ConfigSize {
        // The step that applies the empty configuration may have put a complete one in force too.
        match snapshot.version == ConfigVersion::default() {
            true => ConfigSize::default(),
            false => self.with_state(Apply::size),
        }
    }

    fn queue_fetch(&self, fetch: Fetch) {
        let head = fetch.head;
        if self.fetches.try_send(fetch).is_err() {
            // The state machine expects exactly one answer to each fetch.
            self.input(Input::Fetched { head, answer: FetchAnswer::Failed });
        }
    }

    fn reject(&self, head: ConfigHead, reason: &RejectReason) {
        let reason = reason.to_string();
        warn!(self.hub.log, "configuration rejected"; "version" => head.version.0,
            "reason" => &reason);
        self.record_rejected(head.version);
        let mut rejected = self.rejected.borrow_mut();
        rejected.retain(|earlier| earlier.head != head);
        rejected.push_back(Rejected { head, reason: reason.clone() });
        if rejected.len() > MAX_REJECTED {
            rejected.pop_front();
        }
        self.hub.record(EventKind::ConfigRejected { config: head.version, reason });
    }
}

/// Returns `time` in whole milliseconds, as logged.
pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
