//! Drives the membership state machine: feeds it inputs and executes its actions.

use super::metrics::Metrics;
use super::{CreditMessage, Credits, DeltaMessage, Deltas};
use crate::hub::{Hub, Phase};
use crate::platform::Platform;
use crate::tasks::{Stop, TaskGroup};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use sycamore_member::message::{Body, ExchangeReply, ExchangeRequest, Packet};
use sycamore_member::{Action, Input, LocalState, Membership, Now, Options};
use sycamore_peer::{Datagrams, Peers};
use sycamore_platform::Revision;
use sycamore_types::prelude::*;
use tokio::sync::mpsc;

/// Capacity of the queue of outgoing datagrams; further ones are dropped, as a network would.
const SEND_QUEUE: usize = 1_024;
/// Version in this node's member record until the upstream has announced its own.
const NO_VERSION: &str = "unannounced";

/// Membership state machine with its inputs, outputs and metrics.
pub(super) struct Driver {
    pub(super) hub: Rc<Hub>,
    pub(super) calls: Peers,
    pub(super) datagrams: Rc<Datagrams>,
    pub(super) metrics: Metrics,
    platform: Rc<Platform>,
    machine: RefCell<Membership>,
    /// Revision of this node's row in the platform's table; `None` before it is registered.
    pub(super) own_row: Cell<Option<Revision>>,
    /// Whether the view changed since it was last published.
    view_changed: Cell<bool>,
    send: mpsc::Sender<(SocketAddr, Packet)>,
    exchanges: mpsc::Sender<(InstanceId, SocketAddr, ExchangeRequest)>,
    deltas: mpsc::Sender<DeltaMessage>,
    credits: mpsc::Sender<CreditMessage>,
}

/// Capacity of the queue of exchanges to start; further ones are dropped.
const EXCHANGE_QUEUE: usize = 8;
/// Capacity of the queue of received datagrams about deltas; further ones are dropped.
const DELTA_QUEUE: usize = 64;
/// Capacity of the queue of received datagrams about credit; further ones are dropped.
const CREDIT_QUEUE: usize = 1_024;

impl Driver {
    /// Creates a driver that knows only this node, and the receiver of datagrams about deltas;
    /// spawns the tasks that send datagrams and run exchanges.
    pub(super) fn start(
        hub: &Rc<Hub>,
        tasks: &TaskGroup,
        platform: &Rc<Platform>,
        calls: Peers,
        datagrams: Rc<Datagrams>,
        metrics: Metrics,
    ) -> (Rc<Self>, Deltas, Credits) {
        let (send, send_rx) = mpsc::channel(SEND_QUEUE);
        let (exchanges, exchanges_rx) = mpsc::channel(EXCHANGE_QUEUE);
        let (deltas, deltas_rx) = mpsc::channel(DELTA_QUEUE);
        let (credits, credits_rx) = mpsc::channel(CREDIT_QUEUE);
        let machine = RefCell::new(new_membership(hub));
        let driver = Rc::new(Self {
            hub: hub.clone(),
            calls,
            datagrams,
            metrics,
            platform: platform.clone(),
            machine,
            own_row: Cell::new(None),
            view_changed: Cell::new(true),
            send,
            exchanges,
            deltas,
            credits,
        });
        tasks.spawn_until_stop(send_datagrams(
            driver.hub.clone(),
            driver.datagrams.clone(),
            send_rx,
        ));
        tasks.spawn_until_stop(driver.clone().run_exchanges(exchanges_rx, tasks.stop_signal()));
        driver.publish();
        (driver, deltas_rx, credits_rx)
    }

    /// Feeds one input to the state machine and executes the resulting actions.
    pub(super) fn input(&self, input: Input) {
        let source = match &input {
            Input::Packet { from, .. } => Some(*from),
            _ => None,
        };
        let actions = self.machine.borrow_mut().step(self.now(), input);
        self.execute(actions, source);
    }

    /// Sends `body` without items to the peer at `to`.
    pub(super) fn send(&self, to: SocketAddr, body: Body) {
        let from = self.hub.settings.node.instance.clone();
        self.queue_packet(to, Packet { from, body, items: Vec::new() });
    }

    /// Queues a received datagram about deltas for the configuration subsystem.
    pub(super) fn queue_delta(&self, message: DeltaMessage) {
        if self.deltas.try_send(message).is_err() {
            self.metrics.count_dropped();
        }
    }

    /// Queues a received datagram about credit for the call path.
    pub(super) fn queue_credit(&self, message: CreditMessage) {
        if self.credits.try_send(message).is_err() {
            self.metrics.count_dropped();
        }
    }

    /// Answers an exchange that another node started.
    pub(super) fn answer(&self, request: &ExchangeRequest) -> ExchangeReply {
        let (reply, actions) = self.machine.borrow_mut().answer_exchange(self.now(), request);
        self.execute(actions, None);
        reply
    }

    /// Marks this node as left; returns the datagrams that announce it to peers.
    pub(super) fn leave(&self) -> Vec<(SocketAddr, Packet)> {
        let actions = self.machine.borrow_mut().step(self.now(), Input::Local(LocalState::Left));
        let sends = actions.into_iter().filter_map(|action| match action {
            Action::Send { to, packet } => Some((to, packet)),
            _ => None,
        });
        sends.collect()
    }

    /// Updates this node's member record from its phase and its upstream.
    pub(super) fn update_local(&self) {
        self.input(Input::Local(local_state(&self.hub)));
    }

    /// Publishes the membership view if it changed since the last call.
    pub(super) fn publish_changes(&self) {
        if self.view_changed.replace(false) {
            self.publish();
        }
    }

    /// Returns this node's own member record.
    pub(super) fn me(&self) -> Member {
        self.machine.borrow().me().clone()
    }

    /// Returns whether this node has compared its membership table with a peer's since it started.
    pub(super) fn is_synced(&self) -> bool {
        self.machine.borrow().is_synced()
    }

    /// Calls `read` on the state machine.
    pub(super) fn with_state<T>(&self, read: impl FnOnce(&Membership) -> T) -> T {
        read(&self.machine.borrow())
    }

    /// Returns the current monotonic and wall-clock time.
    pub(super) fn now(&self) -> Now {
        Now { mono: self.hub.clock.now(), wall: self.hub.clock.wall() }
    }

    fn publish(&self) {
        let view = self.machine.borrow().view();
        self.platform.http().set_nodes(view.members.len());
        self.metrics.set_members(&view);
        self.hub.members.send_replace(Arc::new(view));
    }

    /// Executes `actions`, which followed from a datagram of the peer at `source` if there is one.
    fn execute(&self, actions: Vec<Action>, source: Option<SocketAddr>) {
        for action in actions {
            match action {
                Action::Send { to, packet } => self.queue_packet(to, packet),
                Action::Exchange { peer, to, request } => self.queue_exchange(peer, to, request),
                Action::MemberChanged(member) => self.member_changed(&member),
                Action::Declared(member) => self.record_member(&member),
                Action::EarlierLeave(process) => {
                    if self.hub.learn_leave(process) {
                        self.update_local();
                    }
                }
                Action::FactLearnt(fact) => self.learn(fact, source),
                Action::ViewChanged => self.view_changed.set(true),
            }
        }
    }

    fn learn(&self, fact: Fact, source: Option<SocketAddr>) {
        match source {
            Some(source) => self.hub.facts.learn_from(fact, source),
            None => self.hub.facts.learn(fact),
        };
    }

    fn queue_packet(&self, to: SocketAddr, packet: Packet) {
        if self.send.try_send((to, packet)).is_err() {
            self.metrics.count_dropped();
        }
    }

    fn queue_exchange(&self, peer: InstanceId, to: SocketAddr, request: ExchangeRequest) {
        if self.exchanges.try_send((peer, to, request)).is_err() {
            self.metrics.count_dropped();
        }
    }

    /// Handles a changed member. Only changes of this node's own member are recorded here: if every
    /// node recorded every change, the timeline would grow with the square of the fleet size.
    fn member_changed(&self, member: &Member) {
        self.view_changed.set(true);
        if member.instance == self.hub.settings.node.instance {
            self.record_member(member);
        }
    }

    fn record_member(&self, member: &Member) {
        self.hub.record(EventKind::MemberChanged {
            instance: member.instance.clone(),
            generation: member.incarnation,
            state: member.state,
        });
    }

    async fn run_exchanges(
        self: Rc<Self>,
        mut queue: mpsc::Receiver<(InstanceId, SocketAddr, ExchangeRequest)>,
        stop: Stop,
    ) {
        while let Some((peer, to, request)) = queue.recv().await {
            let mut stop = stop.clone();
            let reply = stop.or(self.calls.exchange(to, &request)).await.and_then(Result::ok);
            if !request.buckets.is_empty() {
                self.input(Input::Exchanged { peer, reply });
            }
        }
    }
}

async fn send_datagrams(
    hub: Rc<Hub>,
    datagrams: Rc<Datagrams>,
    mut queue: mpsc::Receiver<(SocketAddr, Packet)>,
) {
    while let Some((to, packet)) = queue.recv().await {
        // A failed send counts as a lost datagram, which the membership protocol tolerates.
        let _ = datagrams.send(&packet, hub.stamp(), to).await;
    }
}

fn new_membership(hub: &Hub) -> Membership {
    let settings = &hub.settings;
    let me = Member {
        instance: settings.node.instance.clone(),
        incarnation: hub.incarnation,
        state: MemberState::Joining,
        service: settings.node.service.clone(),
        version: UpstreamVersion::new(NO_VERSION).expect("constant identifier"),
        data_centre: settings.node.data_centre.clone(),
        region: settings.node.region.clone(),
        endpoints: settings.listen.endpoints(),
        slots: 0,
        left: None,
    };
    let options = Options {
        probe_interval: settings.peers.probe_interval,
        probe_timeout: settings.peers.probe_timeout,
        suspicion: settings.peers.suspicion,
        ..Options::default()
    };
    let now = Now { mono: hub.clock.now(), wall: hub.clock.wall() };
    Membership::new(me, options, rand::random(), now)
}

/// Returns the state of this node's member record, derived from its phase and its upstream.
fn local_state(hub: &Hub) -> LocalState {
    let left = hub.left();
    let upstream = hub.upstream.borrow();
    match (hub.phase(), &*upstream) {
        (Phase::Closing | Phase::Stopped, _) => LocalState::Draining { left },
        (_, Some(upstream)) if upstream.draining => LocalState::Draining { left },
        (Phase::Ready | Phase::Draining, Some(upstream)) => {
            LocalState::Serving { version: upstream.version.clone(), slots: upstream.slots }
        }
        (Phase::Starting, _) | (Phase::Ready | Phase::Draining, None) => {
            LocalState::Joining { left }
        }
    }
}
