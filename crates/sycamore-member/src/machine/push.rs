//! News pushed at once to a few members.

use super::{Action, Membership, Now};
use crate::message::{Body, Item};
use std::net::SocketAddr;
use sycamore_types::prelude::*;

/// Bytes of items on one pushed datagram; a larger item goes alone.
const PUSH_BYTES: usize = 1_200;

impl Membership {
    /// Spreads new items: all ride along on the failure detector's datagrams; facts, and changes of
    /// members as far as the budget allows, are pushed at once besides.
    pub(super) fn spread(
        &mut self,
        now: Now,
        items: Vec<Item>,
        source: Option<SocketAddr>,
        actions: &mut Vec<Action>,
    ) {
        for item in &items {
            self.news.add(item.key(), self.times_sent(item));
        }
        let pushed: Vec<Item> = items
            .into_iter()
            .map(Item::into_brief)
            .filter(|item| self.is_pushed(now, item))
            .collect();
        if pushed.is_empty() {
            return;
        }
        let targets = self.push_targets(source);
        for batch in batches(pushed) {
            for to in &targets {
                self.send(*to, Body::Push, batch.clone(), actions);
            }
        }
    }

    /// How often `item` counts as sent from the start: a suspicion matters to few.
    fn times_sent(&self, item: &Item) -> u8 {
        match item {
            Item::Member(member) if member.state == MemberState::Suspect => {
                self.options.retransmits / 2
            }
            _ => 0,
        }
    }

    /// Lets items that a comparison of tables brought ride along once: most others have them.
    pub(super) fn mention(&mut self, items: &[Item]) {
        for item in items {
            self.news.add(item.key(), self.options.retransmits.saturating_sub(1));
        }
    }

    fn is_pushed(&mut self, now: Now, item: &Item) -> bool {
        match item {
            Item::Fact(_) => true,
            Item::Member(member) if member.state == MemberState::Draining => true,
            // A suspicion may yet be refuted.
            Item::Brief(brief) if brief.state == MemberState::Suspect => false,
            Item::Member(_) | Item::Brief(_) => {
                self.budget.take(item.size() * self.options.fanout, now.mono)
            }
        }
    }

    /// Members to push to: most in this data centre, so that little crosses between them, and some
    /// elsewhere.
    fn push_targets(&mut self, source: Option<SocketAddr>) -> Vec<SocketAddr> {
        let (near, far): (Vec<_>, Vec<_>) = self
            .table
            .members()
            .filter(|m| m.state != MemberState::Dead && m.instance != self.me.instance)
            .filter(|m| Some(m.endpoints.peer) != source)
            .map(|m| (m.data_centre == self.me.data_centre, m.endpoints.peer))
            .partition(|(near, _)| *near);
        let remote = self.options.remote_fanout.min(self.options.fanout);
        let mut targets = self.random.choose(near, self.options.fanout - remote);
        let rest = self.options.fanout - targets.len();
        targets.extend(self.random.choose(far, rest));
        targets.into_iter().map(|(_, to)| to).collect()
    }
}

fn batches(items: Vec<Item>) -> Vec<Vec<Item>> {
    let mut batches: Vec<Vec<Item>> = Vec::new();
    let mut left = 0;
    for item in items {
        let size = item.size();
        match batches.last_mut() {
            Some(batch) if size <= left => {
                left -= size;
                batch.push(item);
            }
            _ => {
                left = PUSH_BYTES.saturating_sub(size);
                batches.push(vec![item]);
            }
        }
    }
    batches
}
