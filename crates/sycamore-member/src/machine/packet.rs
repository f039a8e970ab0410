//! Processing of datagrams from other nodes.

use super::{Action, Membership, Now};
use crate::detect::RelayedPing;
use crate::message::{Body, Item, Packet};
use std::net::SocketAddr;
use sycamore_types::prelude::*;

/// Upper bound on the items piggybacked on a datagram when the byte budget is used up, in bytes.
const MIN_PIGGYBACK_BYTES: usize = 150;

impl Membership {
    /// Joins the items of a datagram and answers its request.
    pub(super) fn on_packet(
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
        self.join_and_disseminate(now, items, from, actions);
        match body {
            Body::Ping { seq, digest } => {
                self.record_digest(now, &sender, digest);
                self.answer_ping(now, from, &sender, seq, actions);
            }
            Body::Ack { seq, digest } => {
                self.record_digest(now, &sender, digest);
                self.on_ack(now, &sender, seq, actions);
            }
            Body::PingRequest { seq, target } => {
                self.relay_ping(now, from, seq, &target, actions);
            }
            Body::Nack { seq } => self.on_nack(now, &sender, seq, actions),
            Body::Push
            | Body::DeltaRequest { .. }
            | Body::Delta { .. }
            | Body::Current { .. }
            | Body::CreditRequest { .. }
            | Body::Credit { .. } => {}
        }
    }

    /// Records that `sender` answered this node, which proves connectivity in both directions.
    fn record_answer(&mut self, now: Now, sender: &InstanceId, actions: &mut Vec<Action>) {
        let Some(member) = self.table.member(sender) else { return };
        if self.reachability.record_answer(member, now.mono) {
            actions.push(Action::ViewChanged);
        }
    }

    /// Acknowledges a ping. A sender that is suspect or dead in the table receives that record, so
    /// that it can refute it.
    fn answer_ping(
        &mut self,
        now: Now,
        to: SocketAddr,
        sender: &InstanceId,
        seq: u32,
        actions: &mut Vec<Action>,
    ) {
        let mut items = self.piggybacked_items(now);
        items.extend(self.suspicion_of(sender));
        let digest = self.table.digest();
        self.send(to, Body::Ack { seq, digest }, items, actions);
        if self.table.member(sender).is_none() {
            self.exchange_with_unknown(now, sender, to, actions);
        }
    }

    /// Pings `target` on behalf of another node.
    fn relay_ping(
        &mut self,
        now: Now,
        requester: SocketAddr,
        requester_seq: u32,
        target: &InstanceId,
        actions: &mut Vec<Action>,
    ) {
        let Some(to) = self.table.member(target).map(|member| member.endpoints.peer) else {
            return;
        };
        let seq = self.detector.next_seq();
        let relayed = RelayedPing { sent: now.mono, requester, requester_seq };
        if self.detector.add_relayed(seq, relayed) {
            let digest = self.table.digest();
            self.send(to, Body::Ping { seq, digest }, Vec::new(), actions);
        }
    }

    /// Ends the probe or relayed ping that an acknowledgement answers.
    fn on_ack(&mut self, now: Now, sender: &InstanceId, seq: u32, actions: &mut Vec<Action>) {
        if let Some(probe) = self.detector.probes.remove(&seq) {
            self.detector.failure_counts.remove(&probe.target);
            if let Some(suspicion) = self.detector.suspects.get_mut(&probe.target) {
                suspicion.answered = true;
            }
            self.record_answer(now, sender, actions);
        }
        if let Some(relayed) = self.detector.relayed.remove(&seq) {
            let body = Body::Ack { seq: relayed.requester_seq, digest: self.table.digest() };
            self.send(relayed.requester, body, Vec::new(), actions);
            self.record_answer(now, sender, actions);
        }
    }

    /// Counts another member's failed ping of the probe's target.
    fn on_nack(&mut self, now: Now, sender: &InstanceId, seq: u32, actions: &mut Vec<Action>) {
        if let Some(probe) = self.detector.probes.get_mut(&seq) {
            probe.nacks = probe.nacks.saturating_add(1);
            self.record_answer(now, sender, actions);
        }
    }

    /// Adds the action that sends a datagram.
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

    /// Returns the record of `instance` if it is suspect or dead in the table.
    pub(super) fn suspicion_of(&self, instance: &InstanceId) -> Option<Item> {
        let is_suspected = |state| matches!(state, MemberState::Suspect | MemberState::Dead);
        let member = self.table.member(instance).filter(|member| is_suspected(member.state));
        member.cloned().map(Item::Member).map(Item::into_brief)
    }

    /// Takes queued updates to be piggybacked on a failure detector datagram.
    pub(super) fn piggybacked_items(&mut self, now: Now) -> Vec<Item> {
        let Self { updates, table, options, budget, .. } = self;
        let bytes =
            options.piggyback_bytes.min(budget.available(now.mono).max(MIN_PIGGYBACK_BYTES));
        let items = updates.take(table, bytes, options.retransmits);
        budget.take_up_to(items.iter().map(Item::size).sum());
        items
    }
}
