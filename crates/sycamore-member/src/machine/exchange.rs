//! Comparing tables with another node: buckets whose digests differ are exchanged.

use super::{Action, Membership, Now};
use crate::message::{Digest, ExchangeReply, ExchangeRequest, Item, ItemKey, Scope};
use crate::table::{supersedes, BUCKETS};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Exchanges that this node has under way at most.
const MAX_EXCHANGES: usize = 2;
/// An exchange whose end was not told is taken for failed after this time.
const EXCHANGE_LIMIT: Duration = Duration::from_secs(10);
/// Time for which facts may differ before they are compared: what is being pushed arrives sooner.
const FACT_PATIENCE: Duration = Duration::from_millis(100);
/// Least time between two comparisons of facts. Each that brings nothing doubles it, up to the time
/// between comparisons of tables: clocks that differ make facts expire at different moments.
const FACT_INTERVAL: Duration = Duration::from_millis(300);

/// Comparing facts alone.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct FactExchange {
    /// Since when another node's facts have differed, and which node's.
    mismatch: Option<(Time, InstanceId)>,
    /// Earliest time of the next comparison.
    next: Time,
    /// Comparisons one after the other that brought nothing.
    idle: u32,
}

impl FactExchange {
    /// The node to compare with, where it is time to.
    fn due(&mut self, now: Time) -> Option<InstanceId> {
        let (since, _) = self.mismatch.as_ref()?;
        if now < self.next || now.since(*since) < FACT_PATIENCE {
            return None;
        }
        self.mismatch.take().map(|(_, peer)| peer)
    }

    fn started(&mut self, now: Time, longest: Duration) {
        let factor = 1_u32.checked_shl(self.idle).unwrap_or(u32::MAX);
        self.next = now + FACT_INTERVAL.saturating_mul(factor).min(longest);
        self.idle = self.idle.saturating_add(1);
    }
}

impl Membership {
    /// Answers another node's request.
    pub fn answer(&mut self, now: Now, request: &ExchangeRequest) -> (ExchangeReply, Vec<Action>) {
        let mut actions = Vec::new();
        let reply = self.differing(request);
        self.catch_up(now, request.items.clone(), &mut actions);
        (reply, actions)
    }

    /// The items of the buckets that differ from those of `request`, as far as they fit.
    fn differing(&self, request: &ExchangeRequest) -> ExchangeReply {
        let mut reply = ExchangeReply::default();
        if request.buckets.len() != BUCKETS {
            return reply;
        }
        let mut left = self.options.exchange_bytes;
        let own = self.table.buckets(request.scope);
        let first_bucket = request.first as usize % BUCKETS;
        for bucket in (0..BUCKETS).map(|step| (first_bucket + step) % BUCKETS) {
            if request.buckets.get(bucket) == own.get(bucket) {
                continue;
            }
            let items = self.table.bucket_items(bucket, request.scope);
            let size: usize = items.iter().map(Item::size).sum();
            let first = reply.differing.is_empty();
            if size > left && !first {
                reply.next = u32::try_from(bucket).ok();
                break;
            }
            left = left.saturating_sub(size);
            reply.differing.extend(u32::try_from(bucket));
            reply.items.extend(items);
        }
        reply
    }

    /// Takes members from the platform's table; a node that has not compared its table yet starts
    /// with one of them.
    pub(super) fn rows(&mut self, now: Now, rows: Vec<Member>, actions: &mut Vec<Action>) {
        self.join(now, rows.into_iter().map(Item::Member).collect(), actions);
        if !self.synced {
            self.exchange_with_any(now, actions);
        }
    }

    /// Meets a node that the table doesn't have yet.
    pub(super) fn meet(
        &mut self,
        now: Now,
        peer: &InstanceId,
        to: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        if now.mono >= self.next_exchange {
            self.exchange(now, peer.clone(), to, 0, actions);
        }
    }

    /// Notes whether another node's table has the digest that this one has.
    pub(super) fn compare(&mut self, now: Now, peer: &InstanceId, digest: Digest) {
        let own = self.table.digest();
        if digest.facts == own.facts {
            self.facts.mismatch = None;
            self.facts.idle = 0;
        } else if self.synced {
            let since = self.facts.mismatch.take().map_or(now.mono, |(since, _)| since);
            self.facts.mismatch = Some((since, peer.clone()));
        }
        if digest == own {
            self.mismatch = None;
            self.mismatch_peer = None;
            return;
        }
        self.mismatch.get_or_insert(now.mono);
        self.mismatch_peer = Some(peer.clone());
    }

    /// Starts an exchange where tables have differed for long enough.
    pub(super) fn start_exchange(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.exchanging.retain(|_, (since, _)| now.mono.since(*since) < EXCHANGE_LIMIT);
        self.compare_facts(now, actions);
        if now.mono < self.next_exchange {
            return;
        }
        if !self.synced {
            self.exchange_with_any(now, actions);
            return;
        }
        let Some(since) = self.mismatch else { return };
        let quiet = now.mono.since(self.last_change) >= self.options.quiet;
        if !quiet && now.mono.since(since) < self.options.patience {
            return;
        }
        let peer = self.mismatch_peer.take();
        let known = peer.and_then(|peer| self.table.member(&peer).cloned());
        if let Some(member) = known {
            self.mismatch = None;
            // A part of what differs at a time, so that a herd costs no burst of bytes.
            let first = u32::try_from(self.random.index(BUCKETS)).unwrap_or(0);
            self.exchange(now, member.instance, member.endpoints.peer, first, actions);
        }
    }

    /// Compares facts with a node whose facts differ.
    fn compare_facts(&mut self, now: Now, actions: &mut Vec<Action>) {
        if self.exchanging.len() >= MAX_EXCHANGES {
            return;
        }
        let Some(peer) = self.facts.due(now.mono) else { return };
        if self.exchanging.contains_key(&peer) {
            return;
        }
        let Some(to) = self.table.member(&peer).map(|member| member.endpoints.peer) else { return };
        self.facts.started(now.mono, self.options.exchange_interval);
        self.request(now, peer, to, 0, Scope::Facts, actions);
    }

    fn exchange_with_any(&mut self, now: Now, actions: &mut Vec<Action>) {
        let live = |m: &&Member| m.state != MemberState::Dead && m.instance != self.me.instance;
        let mut peers: Vec<Member> = self.table.members().filter(live).cloned().collect();
        if peers.is_empty() {
            return;
        }
        let peer = peers.swap_remove(self.random.index(peers.len()));
        self.exchange(now, peer.instance, peer.endpoints.peer, 0, actions);
    }

    fn exchange(
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
        self.request(now, peer, to, first, Scope::All, actions);
    }

    fn request(
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

    /// Takes an exchange's answer; offers what the other node lacks.
    pub(super) fn exchanged(
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
        self.catch_up(now, reply.items, actions);
        if self.table.digest().facts != before {
            self.facts.idle = 0;
        }
        let Some(to) = self.table.member(peer).map(|member| member.endpoints.peer) else { return };
        if !offers.is_empty() {
            let request = ExchangeRequest { items: offers, ..ExchangeRequest::default() };
            actions.push(Action::Exchange { peer: peer.clone(), to, request });
        }
        match reply.next {
            _ if scope == Scope::Facts => {}
            Some(first) if !self.synced => self.exchange(now, peer.clone(), to, first, actions),
            Some(_) => {}
            None => self.synced = true,
        }
    }

    /// Items of the differing buckets of which this node knows more than `reply` says.
    fn offers(&self, reply: &ExchangeReply, scope: Scope) -> Vec<Item> {
        let theirs: BTreeMap<ItemKey, &Item> =
            reply.items.iter().map(|item| (item.key(), item)).collect();
        let mut left = self.options.exchange_bytes;
        let mut offers = Vec::new();
        for bucket in &reply.differing {
            for item in self.table.bucket_items(*bucket as usize, scope) {
                let more = theirs.get(&item.key()).is_none_or(|their| tells_more(&item, their));
                let rest = left.checked_sub(item.size());
                if let (true, Some(rest)) = (more, rest) {
                    left = rest;
                    offers.push(item);
                }
            }
        }
        offers
    }
}

fn tells_more(mine: &Item, theirs: &Item) -> bool {
    match (mine, theirs) {
        (Item::Member(mine), Item::Member(theirs)) => supersedes(mine, theirs),
        (Item::Fact(mine), Item::Fact(theirs)) => mine.replaces(theirs),
        _ => false,
    }
}
