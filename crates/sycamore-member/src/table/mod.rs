//! The table of members and facts, with its digests.

mod digest;
mod order;

pub use order::supersedes;

use crate::message::{Brief, Digest, Item, ItemKey, Scope};
use digest::item_digest;
use std::collections::BTreeMap;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Buckets that the table's items are hashed into.
pub const BUCKETS: usize = 64;
/// Furthest that an incarnation may lie ahead of the local civil clock, in milliseconds.
pub const MAX_AHEAD_MS: u64 = 3_600_000;
/// Longest time until a fact may expire.
pub const MAX_FACT_LIFE: Duration = Duration::from_secs(30 * 24 * 3_600);

/// What became of an item offered to a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Joined {
    /// It told something new and is kept.
    New,
    /// The table knew as much.
    Known,
    /// It is out of its bounds, expired, or the table is full.
    Refused,
}

/// Members and facts that a node knows. Joining is associative, commutative and idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Table {
    members: BTreeMap<InstanceId, Known>,
    facts: BTreeMap<FactKey, Fact>,
    members_buckets: Vec<u32>,
    facts_buckets: Vec<u32>,
    max_members: usize,
    max_facts: usize,
    refused: u64,
}

/// A member with the time of its last change in this table.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Known {
    member: Member,
    changed: Time,
}

impl Table {
    /// An empty table.
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

    /// Keeps `item` where it tells something new.
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

    /// The member called `instance`, dead ones included.
    pub fn member(&self, instance: &InstanceId) -> Option<&Member> {
        self.members.get(instance).map(|known| &known.member)
    }

    /// For how long `instance` has been dead in this table; `None` where it is not.
    pub fn dead_for(&self, instance: &InstanceId, now: Time) -> Option<Duration> {
        let known = self.members.get(instance)?;
        (known.member.state == MemberState::Dead).then(|| now.since(known.changed))
    }

    /// All members, dead ones included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|known| &known.member)
    }

    /// All facts.
    pub fn facts(&self) -> impl Iterator<Item = &Fact> {
        self.facts.values()
    }

    /// The item called `key`.
    pub fn item(&self, key: &ItemKey) -> Option<Item> {
        match key {
            ItemKey::Member(instance) => self.member(instance).cloned().map(Item::Member),
            ItemKey::Fact(key) => self.facts.get(key).cloned().map(Item::Fact),
        }
    }

    /// Items refused since the start.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// The digest of each bucket of `scope`. Dead members don't count: a node that has forgotten one
    /// agrees with a node that still remembers it.
    pub fn buckets(&self, scope: Scope) -> Vec<u32> {
        match scope {
            Scope::Facts => self.facts_buckets.clone(),
            Scope::All => {
                let both = self.members_buckets.iter().zip(&self.facts_buckets);
                both.map(|(members, facts)| members ^ facts).collect()
            }
        }
    }

    /// The digest of the whole table.
    pub fn digest(&self) -> Digest {
        Digest {
            members: digest::digest_of(&self.members_buckets),
            facts: digest::digest_of(&self.facts_buckets),
        }
    }

    /// All items of `bucket` in `scope`, dead members included.
    pub fn bucket_items(&self, bucket: usize, scope: Scope) -> Vec<Item> {
        let members = self.members().filter(|_| scope == Scope::All).cloned().map(Item::Member);
        let facts = self.facts().cloned().map(Item::Fact);
        members.chain(facts).filter(|item| digest::bucket_of(&item.key()) == bucket).collect()
    }

    /// Forgets members dead for longer than `retention` and facts that have expired.
    pub fn expire(&mut self, now: Time, wall: WallTime, retention: Duration) {
        self.members.retain(|_, known| {
            known.member.state != MemberState::Dead || now.since(known.changed) < retention
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

    fn join_member(&mut self, member: &Member, now: Time, wall: WallTime) -> Joined {
        if member.incarnation.0 > wall.0.saturating_add(MAX_AHEAD_MS) {
            return Joined::Refused;
        }
        match self.member(&member.instance).cloned() {
            Some(old) if !supersedes(member, &old) => return Joined::Known,
            Some(old) => self.toggle(&Item::Member(old)),
            None if !self.make_room() => return Joined::Refused,
            None => {}
        }
        self.toggle(&Item::Member(member.clone()));
        let known = Known { member: member.clone(), changed: now };
        self.members.insert(member.instance.clone(), known);
        Joined::New
    }

    /// Joins the state of a member that the table has. A death holds for earlier incarnations as
    /// well; any other state says nothing of an incarnation whose record is missing.
    fn join_brief(&mut self, brief: &Brief, now: Time, wall: WallTime) -> Joined {
        let Some(known) = self.member(&brief.instance) else { return Joined::Known };
        if known.incarnation < brief.incarnation && brief.state != MemberState::Dead {
            return Joined::Known;
        }
        let Brief { incarnation, state, .. } = *brief;
        let member = Member { incarnation, state, ..known.clone() };
        self.join_member(&member, now, wall)
    }

    fn join_fact(&mut self, fact: &Fact, wall: WallTime) -> Joined {
        let lives = |at: WallTime| at > wall && at.since(wall) <= MAX_FACT_LIFE;
        if !fact.expires().is_none_or(lives) {
            return Joined::Refused;
        }
        let key = fact.key();
        if self.facts.get(&key).is_some_and(|old| !fact.replaces(old)) {
            return Joined::Known;
        }
        self.remove_fact(&key);
        self.toggle(&Item::Fact(fact.clone()));
        self.facts.insert(key.clone(), fact.clone());
        self.bound_facts(&key);
        if self.facts.contains_key(&key) {
            Joined::New
        } else {
            Joined::Refused
        }
    }

    /// Keeps the facts of `key`'s kind within their bound. Those that rank lowest go, which is the
    /// same choice on every node.
    fn bound_facts(&mut self, key: &FactKey) {
        let kind = std::mem::discriminant(key);
        let same = |other: &&Fact| std::mem::discriminant(&other.key()) == kind;
        if self.facts.values().filter(same).count() <= self.max_facts {
            return;
        }
        let least = self.facts.values().filter(same).min_by_key(|fact| order::rank(fact));
        if let Some(key) = least.map(Fact::key) {
            self.remove_fact(&key);
        }
    }

    fn remove_fact(&mut self, key: &FactKey) {
        if let Some(fact) = self.facts.remove(key) {
            self.toggle(&Item::Fact(fact));
        }
    }

    /// Whether one more member fits; where need be, the member dead for longest is forgotten.
    fn make_room(&mut self) -> bool {
        if self.members.len() < self.max_members {
            return true;
        }
        let dead = self.members.values().filter(|known| known.member.state == MemberState::Dead);
        let oldest = dead.min_by_key(|known| known.changed).map(|k| k.member.instance.clone());
        oldest.is_some_and(|instance| self.members.remove(&instance).is_some())
    }

    /// Adds `item` to its bucket's digest, or takes it out again.
    fn toggle(&mut self, item: &Item) {
        let dead = matches!(item, Item::Member(member) if member.state == MemberState::Dead);
        if dead {
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
