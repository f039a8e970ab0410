//! Datagrams from other nodes.

use super::{Action, Membership, Now};
use crate::detect::Relayed;
use crate::message::{Body, Item, Packet};
use std::net::SocketAddr;
use sycamore_types::prelude::*;

/// Bytes of news that ride on a datagram even where the budget is spent.
const RIDE_BYTES: usize = 150;

impl Membership {
    pub(super) fn packet(
        &mut self,
        now: Now,
        from: SocketAddr,
        packet: Packet,
        actions: &mut Vec<Action>,
    ) {
        let Packet { from: sender, body, items } = packet;
        if sender == self.me.instance {
            return;
        }
        self.learn(now, items, from, actions);
        match body {
            Body::Ping { seq, digest } => {
                self.compare(now, &sender, digest);
                self.answer_ping(now, from, &sender, seq, actions);
            }
            Body::Ack { seq, digest } => {
                self.compare(now, &sender, digest);
                self.acked(now, &sender, seq, actions);
            }
            Body::PingRequest { seq, target } => {
                self.relay_ping(now, from, seq, &target, actions);
            }
            Body::Nack { seq } => self.nacked(now, &sender, seq, actions),
            Body::Push => {}
        }
    }

    /// Notes that `sender` answered this node, which shows that datagrams pass both ways.
    fn heard(&mut self, now: Now, sender: &InstanceId, actions: &mut Vec<Action>) {
        let Some(member) = self.table.member(sender) else { return };
        if self.reach.heard(member, now.mono) {
            actions.push(Action::ViewChanged);
        }
    }

    /// Acknowledges a ping. A sender that is held for suspect or dead is told so, to refute it.
    fn answer_ping(
        &mut self,
        now: Now,
        to: SocketAddr,
        sender: &InstanceId,
        seq: u32,
        actions: &mut Vec<Action>,
    ) {
        let mut items = self.ride_along(now);
        items.extend(self.doubt_about(sender));
        let digest = self.table.digest();
        self.send(to, Body::Ack { seq, digest }, items, actions);
        if self.table.member(sender).is_none() {
            self.meet(now, sender, to, actions);
        }
    }

    /// Pings `target` for another node.
    fn relay_ping(
        &mut self,
        now: Now,
        asker: SocketAddr,
        asker_seq: u32,
        target: &InstanceId,
        actions: &mut Vec<Action>,
    ) {
        let Some(to) = self.table.member(target).map(|member| member.endpoints.peer) else {
            return;
        };
        let seq = self.detector.seq();
        let relayed = Relayed { sent: now.mono, asker, asker_seq };
        if self.detector.relay(seq, relayed) {
            let digest = self.table.digest();
            self.send(to, Body::Ping { seq, digest }, Vec::new(), actions);
        }
    }

    fn acked(&mut self, now: Now, sender: &InstanceId, seq: u32, actions: &mut Vec<Action>) {
        if let Some(probe) = self.detector.probes.remove(&seq) {
            self.detector.strikes.remove(&probe.target);
            if let Some(suspicion) = self.detector.suspects.get_mut(&probe.target) {
                suspicion.answered = true;
            }
            self.heard(now, sender, actions);
        }
        if let Some(relayed) = self.detector.relayed.remove(&seq) {
            let body = Body::Ack { seq: relayed.asker_seq, digest: self.table.digest() };
            self.send(relayed.asker, body, Vec::new(), actions);
            self.heard(now, sender, actions);
        }
    }

    fn nacked(&mut self, now: Now, sender: &InstanceId, seq: u32, actions: &mut Vec<Action>) {
        if let Some(probe) = self.detector.probes.get_mut(&seq) {
            probe.nacks = probe.nacks.saturating_add(1);
            self.heard(now, sender, actions);
        }
    }

    /// Sends a datagram.
    pub(super) fn send(
        &self,
        to: SocketAddr,
        body: Body,
        items: Vec<Item>,
        actions: &mut Vec<Action>,
    ) {
        let packet = Packet { from: self.me.instance.clone(), body, items };
        actions.push(Action::Send { to, packet });
    }

    /// The record of `instance` where it is held for suspect or dead.
    pub(super) fn doubt_about(&self, instance: &InstanceId) -> Option<Item> {
        let doubted = |state| matches!(state, MemberState::Suspect | MemberState::Dead);
        let member = self.table.member(instance).filter(|member| doubted(member.state));
        member.cloned().map(Item::Member).map(Item::into_brief)
    }

    /// News to ride on a datagram of the failure detector.
    pub(super) fn ride_along(&mut self, now: Now) -> Vec<Item> {
        let Self { news, table, options, budget, .. } = self;
        let bytes = options.piggyback_bytes.min(budget.left(now.mono).max(RIDE_BYTES));
        let items = news.take(table, bytes, options.retransmits);
        budget.spend(items.iter().map(Item::size).sum());
        items
    }
}
