//! Dissemination of new items: immediate pushes to a few members, and queueing for piggybacking.

use super::{Action, Membership, Now};
use crate::message::{Body, Item};
use std::net::SocketAddr;
use sycamore_types::prelude::*;

/// Upper bound on the items in one pushed datagram, in bytes; a larger item is sent alone.
const MAX_PUSH_BYTES: usize = 1_200;

impl Membership {
    /// Disseminates new items. All are queued for piggybacking on the failure detector's datagrams.
    /// Facts, draining members and, within the byte budget, other member changes are also pushed
    /// immediately.
    pub(super) fn disseminate(
        &mut self,
        now: Now,
        items: Vec<Item>,
        source: Option<SocketAddr>,
        actions: &mut Vec<Action>,
    ) {
        for item in &items {
            self.updates.add(item.key(), self.initial_send_count(item));
        }
        let pushed: Vec<Item> = items
            .into_iter()
            .map(Item::into_brief)
            .filter(|item| self.is_pushed(now, item))
            .collect();
        if pushed.is_empty() {
            return;
        }
        let has_head = pushed.iter().any(|item| matches!(item, Item::Fact(Fact::Head(_))));
        let fanout = if has_head { self.options.head_fanout } else { self.options.fanout };
        let targets = self.push_targets(fanout, source);
        for batch in batches(pushed) {
            for to in &targets {
                self.send(*to, Body::Push, batch.clone(), actions);
            }
        }
    }

    /// Returns the number of datagrams that `item` counts as already sent on. A suspicion is sent
    /// less often, because it matters to few nodes.
    fn initial_send_count(&self, item: &Item) -> u8 {
        match item {
            Item::Member(member) if member.state == MemberState::Suspect => {
                self.options.retransmits / 2
            }
            _ => 0,
        }
    }

    /// Queues items received by a table exchange for one datagram: most other nodes have them
    /// already.
    pub(super) fn queue_once(&mut self, items: &[Item]) {
        for item in items {
            self.updates.add(item.key(), self.options.retransmits.saturating_sub(1));
        }
    }

    /// Returns whether `item` is pushed immediately, and takes its bytes from the budget.
    fn is_pushed(&mut self, now: Now, item: &Item) -> bool {
        match item {
            Item::Fact(_) => true,
            Item::Member(member) if member.state == MemberState::Draining => true,
            // A suspicion may still be refuted, so it isn't urgent.
            Item::Brief(brief) if brief.state == MemberState::Suspect => false,
            Item::Member(_) | Item::Brief(_) => {
                self.budget.try_take(item.size() * self.options.fanout, now.mono)
            }
        }
    }

    /// Returns the addresses of `fanout` members to push to, except `source`: mostly in this data
    /// centre, to limit traffic between data centres, and [`crate::Options::remote_fanout`]
    /// outside.
    fn push_targets(&mut self, fanout: usize, source: Option<SocketAddr>) -> Vec<SocketAddr> {
        let (near, far): (Vec<_>, Vec<_>) = self
            .table
            .members()
            .filter(|m| m.state != MemberState::Dead && m.instance != self.me.instance)
            .filter(|m| Some(m.endpoints.peer) != source)
            .map(|m| (m.data_centre == self.me.data_centre, m.endpoints.peer))
            .partition(|(near, _)| *near);
        let remote = self.options.remote_fanout.min(fanout);
        let mut targets = self.random.choose(near, fanout - remote);
        let rest = fanout - targets.len();
        targets.extend(self.random.choose(far, rest));
        targets.into_iter().map(|(_, to)| to).collect()
    }
}

/// Splits `items` into batches that fit into one datagram each.
fn batches(items: Vec<Item>) -> Vec<Vec<Item>> {
    let mut batches: Vec<Vec<Item>> = Vec::new();
    let mut bytes_left = 0;
    for item in items {
        let size = item.size();
        match batches.last_mut() {
            Some(batch) if size <= bytes_left => {
                bytes_left -= size;
                batch.push(item);
            }
            _ => {
                bytes_left = MAX_PUSH_BYTES.saturating_sub(size);
                batches.push(vec![item]);
            }
        }
    }
    batches
}
