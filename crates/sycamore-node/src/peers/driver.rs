//! Runs the membership machine: gives it its inputs and carries out its actions.

use super::metrics::Metrics;
use crate::hub::{Hub, Phase};
use crate::platform::Platform;
use crate::tasks::{Stop, TaskGroup};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use sycamore_member::message::{ExchangeReply, ExchangeRequest, Packet};
use sycamore_member::{Action, Input, LocalState, Membership, Now, Options};
use sycamore_peer::{Datagrams, Peers};
use sycamore_types::prelude::*;
use tokio::sync::mpsc;

/// Datagrams that wait to be sent at most; later ones are dropped, as a network would.
const SEND_QUEUE: usize = 1_024;
/// Stands for the version of an upstream that has not announced itself.
const NO_VERSION: &str = "unannounced";

/// The machine with what it needs around it.
pub(super) struct Driver {
    pub(super) hub: Rc<Hub>,
    pub(super) calls: Peers,
    pub(super) datagrams: Rc<Datagrams>,
    pub(super) metrics: Metrics,
    platform: Rc<Platform>,
    machine: RefCell<Membership>,
    changed: Cell<bool>,
    send: mpsc::Sender<(SocketAddr, Packet)>,
    exchanges: mpsc::Sender<(InstanceId, SocketAddr, ExchangeRequest)>,
}

/// Exchanges that wait to be started at most.
const EXCHANGE_QUEUE: usize = 8;

impl Driver {
    /// A driver whose machine knows only this node, with the tasks that send for it.
    pub(super) fn start(
        hub: &Rc<Hub>,
        tasks: &TaskGroup,
        platform: &Rc<Platform>,
        calls: Peers,
        datagrams: Rc<Datagrams>,
        metrics: Metrics,
    ) -> Rc<Self> {
        let (send, send_rx) = mpsc::channel(SEND_QUEUE);
        let (exchanges, exchanges_rx) = mpsc::channel(EXCHANGE_QUEUE);
        let machine = RefCell::new(machine(hub));
        let driver = Rc::new(Self {
            hub: hub.clone(),
            calls,
            datagrams,
            metrics,
            platform: platform.clone(),
            machine,
            changed: Cell::new(true),
            send,
            exchanges,
        });
        tasks.spawn_until_stop(send_datagrams(
            driver.hub.clone(),
            driver.datagrams.clone(),
            send_rx,
        ));
        tasks.spawn_until_stop(driver.clone().run_exchanges(exchanges_rx, tasks.stop_signal()));
        driver.publish();
        driver
    }

    /// Gives the machine one input and carries out what it asks for.
    pub(super) fn input(&self, input: Input) {
        let teller = match &input {
            Input::Packet { from, .. } => Some(*from),
            _ => None,
        };
        let actions = self.machine.borrow_mut().step(self.now(), input);
        self.act(actions, teller);
    }

    /// Answers another node's exchange.
    pub(super) fn answer(&self, request: &ExchangeRequest) -> ExchangeReply {
        let (reply, actions) = self.machine.borrow_mut().answer_exchange(self.now(), request);
        self.act(actions, None);
        reply
    }

    /// Announces that this node leaves; gives the datagrams that say so.
    pub(super) fn leave(&self) -> Vec<(SocketAddr, Packet)> {
        let actions = self.machine.borrow_mut().step(self.now(), Input::Local(LocalState::Left));
        let sends = actions.into_iter().filter_map(|action| match action {
            Action::Send { to, packet } => Some((to, packet)),
            _ => None,
        });
        sends.collect()
    }

    /// Tells the machine what its own member is to say now.
    pub(super) fn update_local(&self) {
        self.input(Input::Local(local_state(&self.hub)));
    }

    /// Publishes the members where they have changed.
    pub(super) fn publish_changes(&self) {
        if self.changed.replace(false) {
            self.publish();
        }
    }

    /// This node's own member.
    pub(super) fn me(&self) -> Member {
        self.machine.borrow().me().clone()
    }

    /// Whether this node has compared its table with another's since it started.
    pub(super) fn is_synced(&self) -> bool {
        self.machine.borrow().is_synced()
    }

    /// Reads the machine.
    pub(super) fn read<T>(&self, read: impl FnOnce(&Membership) -> T) -> T {
        read(&self.machine.borrow())
    }

    /// The time for the machine.
    pub(super) fn now(&self) -> Now {
        Now { mono: self.hub.clock.now(), wall: self.hub.clock.wall() }
    }

    fn publish(&self) {
        let view = self.machine.borrow().view();
        self.platform.http().set_nodes(view.members.len());
        self.metrics.members(&view);
        self.hub.members.send_replace(Arc::new(view));
    }

    /// Carries out what followed from a message of the peer at `teller`.
    fn act(&self, actions: Vec<Action>, teller: Option<SocketAddr>) {
        for action in actions {
            match action {
                Action::Send { to, packet } => {
                    if self.send.try_send((to, packet)).is_err() {
                        self.metrics.dropped();
                    }
                }
                Action::Exchange { peer, to, request } => self.exchange(peer, to, request),
                Action::MemberChanged(member) => self.member_changed(&member),
                Action::Declared(member) => self.record(&member),
                Action::FactLearnt(fact) => self.learn(fact, teller),
                Action::ViewChanged => self.changed.set(true),
            }
        }
    }

    fn learn(&self, fact: Fact, teller: Option<SocketAddr>) {
        match teller {
            Some(teller) => self.hub.facts.learn_from(fact, teller),
            None => self.hub.facts.learn(fact),
        };
    }

    fn exchange(&self, peer: InstanceId, to: SocketAddr, request: ExchangeRequest) {
        if self.exchanges.try_send((peer, to, request)).is_err() {
            self.metrics.dropped();
        }
    }

    /// Follows up on a changed member. Only this node's own changes go to the time line here: were
    /// each change recorded by every node, the time line would grow with the square of the fleet.
    fn member_changed(&self, member: &Member) {
        self.changed.set(true);
        if member.instance == self.hub.settings.node.instance {
            self.record(member);
        }
    }

    fn record(&self, member: &Member) {
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
        // A datagram that can't be sent is as good as lost, which the machine expects.
        let _ = datagrams.send(&packet, hub.stamp(), to).await;
    }
}

fn machine(hub: &Hub) -> Membership {
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

/// What this node's own member is to say.
fn local_state(hub: &Hub) -> LocalState {
    let upstream = hub.upstream.borrow();
    match (hub.phase(), &*upstream) {
        (Phase::Closing | Phase::Stopped, _) => LocalState::Draining,
        (_, Some(upstream)) if upstream.draining => LocalState::Draining,
        (Phase::Ready | Phase::Draining, Some(upstream)) => {
            LocalState::Serving { version: upstream.version.clone(), slots: upstream.slots }
        }
        (Phase::Starting, _) | (Phase::Ready | Phase::Draining, None) => LocalState::Joining,
    }
}
