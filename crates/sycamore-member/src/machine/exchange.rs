//! Table exchange with another node: the items of buckets with differing digests are transferred.

use super::{Action, Membership, Now};
use crate::message::{Digest, ExchangeReply, ExchangeRequest, Item, ItemKey, Scope};
use crate::table::{supersedes, BUCKETS};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Upper bound on pending exchanges started by this node.
const MAX_EXCHANGES: usize = 2;
/// Time after which an exchange without a reported result counts as failed.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which the facts of two nodes must differ before they are exchanged; pushed facts arrive
/// sooner.
const MIN_FACT_MISMATCH: Duration = Duration::from_millis(100);
/// Lower bound on the time between two fact exchanges. Each exchange without a new fact doubles it,
/// up to the interval of table exchanges, because clock skew makes facts expire at different times,
/// a difference that an exchange can't remove.
const MIN_FACT_INTERVAL: Duration = Duration::from_millis(300);

/// Schedule of exchanges that compare only facts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct FactExchange {
    /// Start of the current difference to another node's facts, and the node that differed last.
    mismatch: Option<(Time, InstanceId)>,
    /// Earliest time of the next fact exchange.
    next: Time,
    /// Number of consecutive fact exchanges without a new fact.
    without_new_facts: u32,
}

impl FactExchange {
    /// Returns the node to exchange facts with if a fact exchange is due, and forgets that its
    /// facts differ.
    fn take_due(&mut self, now: Time) -> Option<InstanceId> {
        let (since, _) = self.mismatch.as_ref()?;
        if now < self.next || now.since(*since) < MIN_FACT_MISMATCH {
            return None;
        }
        self.mismatch.take().map(|(_, peer)| peer)
    }

    /// Schedules the next fact exchange at most `max_interval` after one that starts at `now`.
    fn schedule_next(&mut self, now: Time, max_interval: Duration) {
        let factor = 1_u32.checked_shl(self.without_new_facts).unwrap_or(u32::MAX);
        self.next = now + MIN_FACT_INTERVAL.saturating_mul(factor).min(max_interval);
        self.without_new_facts = self.without_new_facts.saturating_add(1);
    }
}

impl Membership {
    /// Joins the items of another node's exchange request and returns the reply.
    pub fn answer_exchange(
        &mut self,
        now: Now,
        request: &ExchangeRequest,
    ) -> (ExchangeReply, Vec<Action>) {
        let mut actions = Vec::new();
        let reply = self.differing_buckets(request);
        self.join_exchanged(now, request.items.clone(), &mut actions);
        (reply, actions)
    }

    /// Returns the items of the buckets that differ from those of `request`, up to the size limit
    /// of a message. The first differing bucket is always included.
    fn differing_buckets(&self, request: &ExchangeRequest) -> ExchangeReply {
        let mut reply = ExchangeReply::default();
        if request.buckets.len() != BUCKETS {
            return reply;
        }
        let mut bytes_left = self.options.exchange_bytes;
        let own = self.table.buckets(request.scope);
        let first_bucket = request.first as usize % BUCKETS;
        for bucket in (0..BUCKETS).map(|step| (first_bucket + step) % BUCKETS) {
            if request.buckets.get(bucket) == own.get(bucket) {
                continue;
            }
            let items = self.table.bucket_items(bucket, request.scope);
            let size: usize = items.iter().map(Item::size).sum();
            let is_first = reply.differing.is_empty();
            if size > bytes_left && !is_first {
                reply.next = u32::try_from(bucket).ok();
                break;
            }
            bytes_left = bytes_left.saturating_sub(size);
            reply.differing.extend(u32::try_from(bucket));
            reply.items.extend(items);
        }
        reply
    }

    /// Joins members from the platform's table. A node that isn't synced yet starts an exchange
    /// with a random live member.
    pub(super) fn on_rows(&mut self, now: Now, rows: Vec<Member>, actions: &mut Vec<Action>) {
        self.join(now, rows.into_iter().map(Item::Member).collect(), actions);
        if !self.synced {
            self.exchange_with_random(now, actions);
        }
    }

    /// Starts an exchange with a node that is missing from the table, unless an exchange of whole
    /// tables was started recently.
    pub(super) fn exchange_with_unknown(
        &mut self,
        now: Now,
        peer: &InstanceId,
        to: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        if now.mono >= self.next_exchange {
            self.start_table_exchange(now, peer.clone(), to, 0, actions);
        }
    }

    /// Records whether another node's digest differs from the digest of this node's table.
    pub(super) fn record_digest(&mut self, now: Now, peer: &InstanceId, digest: Digest) {
        let own = self.table.digest();
        if digest.facts == own.facts {
            self.fact_exchange.mismatch = None;
            self.fact_exchange.without_new_facts = 0;
        } else if self.synced {
            let since = self.fact_exchange.mismatch.take().map_or(now.mono, |(since, _)| since);
            self.fact_exchange.mismatch = Some((since, peer.clone()));
        }
        if digest == own {
            self.mismatch = None;
            self.mismatch_peer = None;
            return;
        }
        self.mismatch.get_or_insert(now.mono);
        self.mismatch_peer = Some(peer.clone());
    }

    /// Starts the exchanges that are due.
    pub(super) fn start_due_exchanges(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.exchanging.retain(|_, (since, _)| now.mono.since(*since) < EXCHANGE_TIMEOUT);
        self.start_fact_exchange(now, actions);
        if now.mono < self.next_exchange {
            return;
        }
        if !self.synced {
            self.exchange_with_random(now, actions);
            return;
        }
        let Some(since) = self.mismatch else { return };
        let is_settled = now.mono.since(self.last_change) >= self.options.settle_time;
        if !is_settled && now.mono.since(since) < self.options.max_mismatch_time {
            return;
        }
        let peer = self.mismatch_peer.take();
        let known = peer.and_then(|peer| self.table.member(&peer).cloned());
        if let Some(member) = known {
            self.mismatch = None;
            // The reply covers part of the differences from a random bucket on, which avoids a
            // burst of traffic when many members change at once.
            let first = u32::try_from(self.random.index(BUCKETS)).unwrap_or(0);
            self.start_table_exchange(now, member.instance, member.endpoints.peer, first, actions);
        }
    }

    /// Starts a fact exchange if one is due.
    fn start_fact_exchange(&mut self, now: Now, actions: &mut Vec<Action>) {
        if self.exchanging.len() >= MAX_EXCHANGES {
            return;
        }
        let Some(peer) = self.fact_exchange.take_due(now.mono) else { return };
        if self.exchanging.contains_key(&peer) {
            return;
        }
        let Some(to) = self.table.member(&peer).map(|member| member.endpoints.peer) else { return };
        self.fact_exchange.schedule_next(now.mono, self.options.exchange_interval);
        self.send_request(now, peer, to, 0, Scope::Facts, actions);
    }

    /// Starts an exchange with a random live member.
    fn exchange_with_random(&mut self, now: Now, actions: &mut Vec<Action>) {
        let live = |m: &&Member| m.state != MemberState::Dead && m.instance != self.me.instance;
        let mut peers: Vec<Member> = self.table.members().filter(live).cloned().collect();
        if peers.is_empty() {
            return;
        }
        let peer = peers.swap_remove(self.random.index(peers.len()));
        self.start_table_exchange(now, peer.instance, peer.endpoints.peer, 0, actions);
    }

    /// Starts an exchange of whole tables from bucket `first`, unless too many are pending.
    fn start_table_exchange(
        &mut self,
        now: Now,
        peer: InstanceId,
        to: SocketAddr,
        first: u32,
        actions: &mut Vec<Action>,
    ) {
        if self.exchanging.len() >= MAX_EXCHANGES {
            return;
        }
        let interval =
            if self.synced { self.options.exchange_interval } else { self.options.probe_interval };
        self.next_exchange = now.mono + interval + self.random.up_to(interval);
        self.send_request(now, peer, to, first, Scope::All, actions);
    }

    /// Adds the action that sends an exchange request for `scope`, and marks it as pending.
    fn send_request(
        &mut self,
        now: Now,
        peer: InstanceId,
        to: SocketAddr,
        first: u32,
        scope: Scope,
        actions: &mut Vec<Action>,
    ) {
        self.exchanging.insert(peer.clone(), (now.mono, scope));
        let buckets = self.table.buckets(scope);
        let request = ExchangeRequest { buckets, first, items: Vec::new(), scope };
        actions.push(Action::Exchange { peer, to, request });
    }

    /// Joins the reply to an exchange and offers the items that the other node lacks.
    pub(super) fn on_exchange_reply(
        &mut self,
        now: Now,
        peer: &InstanceId,
        reply: Option<ExchangeReply>,
        actions: &mut Vec<Action>,
    ) {
        let Some((_, scope)) = self.exchanging.remove(peer) else { return };
        let Some(reply) = reply else { return };
        let offers = self.offers(&reply, scope);
        let before = self.table.digest().facts;
        self.join_exchanged(now, reply.items, actions);
        if self.table.digest().facts != before {
            self.fact_exchange.without_new_facts = 0;
        }
        let Some(to) = self.table.member(peer).map(|member| member.endpoints.peer) else { return };
        if !offers.is_empty() {
            let request = ExchangeRequest { items: offers, ..ExchangeRequest::default() };
            actions.push(Action::Exchange { peer: peer.clone(), to, request });
        }
        match reply.next {
            _ if scope == Scope::Facts => {}
            Some(first) if !self.synced => {
                self.start_table_exchange(now, peer.clone(), to, first, actions)
            }
            Some(_) => {}
            None => self.synced = true,
        }
    }

    /// Returns the items of the differing buckets that are missing from `reply` or supersede its
    /// items, up to the size limit of a message.
    fn offers(&self, reply: &ExchangeReply, scope: Scope) -> Vec<Item> {
        let theirs: BTreeMap<ItemKey, &Item> =
            reply.items.iter().map(|item| (item.key(), item)).collect();
        let mut bytes_left = self.options.exchange_bytes;
        let mut offers = Vec::new();
        for bucket in &reply.differing {
            for item in self.table.bucket_items(*bucket as usize, scope) {
                let is_newer =
                    theirs.get(&item.key()).is_none_or(|their| item_supersedes(&item, their));
                let rest = bytes_left.checked_sub(item.size());
                if let (true, Some(rest)) = (is_newer, rest) {
                    bytes_left = rest;
                    offers.push(item);
                }
            }
        }
        offers
    }
}

/// Returns whether `own` replaces `theirs`, an item with the same key.
fn item_supersedes(own: &Item, theirs: &Item) -> bool {
    match (own, theirs) {
        (Item::Member(own), Item::Member(theirs)) => supersedes(own, theirs),
        (Item::Fact(own), Item::Fact(theirs)) => own.replaces(theirs),
        _ => false,
    }
}
