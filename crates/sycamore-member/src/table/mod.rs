//! Table of members and facts known to a node, with its digests.

mod digest;
mod order;

pub use order::supersedes;

use crate::message::{Brief, Digest, Item, ItemKey, Scope};
use digest::item_digest;
use std::collections::BTreeMap;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Number of buckets that the table's items are hashed into.
pub const BUCKETS: usize = 64;
/// Upper bound on how far an incarnation may be ahead of the local wall clock, in milliseconds.
pub const MAX_AHEAD_MS: u64 = 3_600_000;
/// Upper bound on a fact's remaining lifetime.
pub const MAX_FACT_LIFE: Duration = Duration::from_secs(30 * 24 * 3_600);

/// Result of joining an item into a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Joined {
    /// The item was new and is stored.
    New,
    /// The table already contained the item or one that supersedes it.
    Known,
    /// The item is out of bounds or expired, or the table is full.
    Refused,
}

/// Members and facts known to a node.
///
/// Joining is associative, commutative and idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Table {
    members: BTreeMap<InstanceId, MemberEntry>,
    facts: BTreeMap<FactKey, Fact>,
    members_buckets: Vec<u32>,
    facts_buckets: Vec<u32>,
    max_members: usize,
    max_facts: usize,
    refused: u64,
}

/// Member record with the time of its last change in this table.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct MemberEntry {
    member: Member,
    changed: Time,
}

impl Table {
    /// Creates an empty table for up to `max_members` members and `max_facts` facts of each kind.
    pub fn new(max_members: usize, max_facts: usize) -> Self {
        Self {
            members: BTreeMap::new(),
            facts: BTreeMap::new(),
            members_buckets: vec![0; BUCKETS],
            facts_buckets: vec![0; BUCKETS],
            max_members,
            max_facts,
            refused: 0,
        }
    }

    /// Stores `item` unless it is known, superseded or refused.
    pub fn join(&mut self, item: &Item, now: Time, wall: WallTime) -> Joined {
        let joined = match item {
            Item::Member(member) => self.join_member(member, now, wall),
            Item::Fact(fact) => self.join_fact(fact, wall),
            Item::Brief(brief) => self.join_brief(brief, now, wall),
        };
        if joined == Joined::Refused {
            self.refused += 1;
        }
        joined
    }

    /// Returns the record of `instance`, which may be dead; `None` if it is unknown.
    pub fn member(&self, instance: &InstanceId) -> Option<&Member> {
        self.members.get(instance).map(|entry| &entry.member)
    }

    /// Returns how long `instance` has been dead in this table; `None` if it isn't dead or known.
    pub fn dead_for(&self, instance: &InstanceId, now: Time) -> Option<Duration> {
        let entry = self.members.get(instance)?;
        (entry.member.state == MemberState::Dead).then(|| now.since(entry.changed))
    }

    /// Returns all member records, including dead members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|entry| &entry.member)
    }

    /// Returns all facts, which may include expired ones until [`Table::expire`] runs.
    pub fn facts(&self) -> impl Iterator<Item = &Fact> {
        self.facts.values()
    }

    /// Returns the item with `key`.
    pub fn item(&self, key: &ItemKey) -> Option<Item> {
        match key {
            ItemKey::Member(instance) => self.member(instance).cloned().map(Item::Member),
            ItemKey::Fact(key) => self.facts.get(key).cloned().map(Item::Fact),
        }
    }

    /// Returns the number of items refused so far.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Returns the digest of each bucket of `scope`.
    ///
    /// Dead members are excluded, so that a node that has expired one agrees with a node that still
    /// has it.
    pub fn buckets(&self, scope: Scope) -> Vec<u32> {
        match scope {
            Scope::Facts => self.facts_buckets.clone(),
            Scope::All => {
                let both = self.members_buckets.iter().zip(&self.facts_buckets);
                both.map(|(members, facts)| members ^ facts).collect()
            }
        }
    }

    /// Returns the digest of the whole table.
    pub fn digest(&self) -> Digest {
        Digest {
            members: digest::digest_of(&self.members_buckets),
            facts: digest::digest_of(&self.facts_buckets),
        }
    }

    /// Returns all items of `bucket` in `scope`, including dead members.
    pub fn bucket_items(&self, bucket: usize, scope: Scope) -> Vec<Item> {
        let members = self.members().filter(|_| scope == Scope::All).cloned().map(Item::Member);
        let facts = self.facts().cloned().map(Item::Fact);
        members.chain(facts).filter(|item| digest::bucket_of(&item.key()) == bucket).collect()
    }

    /// Removes members that have been dead for `retention` and facts that have expired.
    pub fn expire(&mut self, now: Time, wall: WallTime, retention: Duration) {
        self.members.retain(|_, entry| {
            entry.member.state != MemberState::Dead || now.since(entry.changed) < retention
        });
        let expired: Vec<FactKey> = self
            .facts
            .values()
            .filter(|fact| fact.expires().is_some_and(|at| at <= wall))
            .map(Fact::key)
            .collect();
        for key in expired {
            self.remove_fact(&key);
        }
    }

    /// Joins a member record; refuses incarnations too far ahead of `wall`.
    fn join_member(&mut self, member: &Member, now: Time, wall: WallTime) -> Joined {
        if member.incarnation.0 > wall.0.saturating_add(MAX_AHEAD_MS) {
            return Joined::Refused;
        }
        match self.member(&member.instance).cloned() {
            Some(old) if !supersedes(member, &old) => return Joined::Known,
            Some(old) => self.toggle_digest(&Item::Member(old)),
            None if !self.make_room() => return Joined::Refused,
            None => {}
        }
        self.toggle_digest(&Item::Member(member.clone()));
        let entry = MemberEntry { member: member.clone(), changed: now };
        self.members.insert(member.instance.clone(), entry);
        Joined::New
    }

    /// Joins the state of a member, if the table has its record.
    ///
    /// A death also applies to earlier incarnations. Any other state of an incarnation higher than
    /// the stored record's is ignored, because its record may differ.
    fn join_brief(&mut self, brief: &Brief, now: Time, wall: WallTime) -> Joined {
        let Some(known) = self.member(&brief.instance) else { return Joined::Known };
        if known.incarnation < brief.incarnation && brief.state != MemberState::Dead {
            return Joined::Known;
        }
        let Brief { incarnation, state, .. } = *brief;
        let member = Member { incarnation, state, ..known.clone() };
        self.join_member(&member, now, wall)
    }

    /// Joins a fact; refuses one that has expired at `wall` or lives longer than [`MAX_FACT_LIFE`].
    fn join_fact(&mut self, fact: &Fact, wall: WallTime) -> Joined {
        let is_in_range = |at: WallTime| at > wall && at.since(wall) <= MAX_FACT_LIFE;
        if !fact.expires().is_none_or(is_in_range) {
            return Joined::Refused;
        }
        let key = fact.key();
        if self.facts.get(&key).is_some_and(|old| !fact.replaces(old)) {
            return Joined::Known;
        }
        self.remove_fact(&key);
        self.toggle_digest(&Item::Fact(fact.clone()));
        self.facts.insert(key.clone(), fact.clone());
        self.evict_fact(&key);
        if self.facts.contains_key(&key) {
            Joined::New
        } else {
            Joined::Refused
        }
    }

    /// Removes the lowest-ranked fact of `key`'s kind if there are more than allowed. The ranking
    /// is the same on every node.
    fn evict_fact(&mut self, key: &FactKey) {
        let kind = std::mem::discriminant(key);
        let is_same_kind = |other: &&Fact| std::mem::discriminant(&other.key()) == kind;
        if self.facts.values().filter(is_same_kind).count() <= self.max_facts {
            return;
        }
        let lowest = self.facts.values().filter(is_same_kind).min_by_key(|fact| order::rank(fact));
        if let Some(key) = lowest.map(Fact::key) {
            self.remove_fact(&key);
        }
    }

    fn remove_fact(&mut self, key: &FactKey) {
        if let Some(fact) = self.facts.remove(key) {
            self.toggle_digest(&Item::Fact(fact));
        }
    }

    /// Makes room for one more member, by removing the member dead for longest if the table is
    /// full; returns whether there is room.
    fn make_room(&mut self) -> bool {
        if self.members.len() < self.max_members {
            return true;
        }
        let dead = self.members.values().filter(|entry| entry.member.state == MemberState::Dead);
        let oldest = dead.min_by_key(|entry| entry.changed).map(|k| k.member.instance.clone());
        oldest.is_some_and(|instance| self.members.remove(&instance).is_some())
    }

    /// Adds `item` to its bucket's digest, or removes it again; the operation is its own inverse.
    fn toggle_digest(&mut self, item: &Item) {
        let is_dead = matches!(item, Item::Member(member) if member.state == MemberState::Dead);
        if is_dead {
            return;
        }
        let buckets = match item {
            Item::Fact(_) => &mut self.facts_buckets,
            Item::Member(_) | Item::Brief(_) => &mut self.members_buckets,
        };
        if let Some(bucket) = buckets.get_mut(digest::bucket_of(&item.key())) {
            *bucket ^= item_digest(item);
        }
    }
}
