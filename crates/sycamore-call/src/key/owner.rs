//! Which node keeps the record of a key, and whether it can be sure of what it remembers.
//!
//! The owner is chosen by rendezvous hashing (Thaler and Ravishankar, 1998) over the service's
//! members. Views of members may differ, and owners die, move and freeze. So the owner by its own
//! view runs a keyed call only where all of this holds:
//!
//! - it has owned the key in every view of the last [`OwnershipConfig::memory`] and
//!   [`OwnershipConfig::lag`] together, or those who did are there to be asked;
//! - every member in view has this node in view too, or is asked whether it ran the call itself, as
//!   it may take itself for the owner;
//! - it sees more than half of the members that it knows of, so that of two sides of a cut at most
//!   one goes on;
//! - it was not paused: a gap in its own ticks counts as a restart.
//!
//! A member is one incarnation of an instance: what an earlier one ran is not known to the next.

use super::{first_bytes, KeyHash};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use sycamore_types::prelude::*;

/// Views remembered at most; more changes than that within the memory put every key in doubt.
const MAX_VIEWS: usize = 64;

/// Members of a service, each with its incarnation.
pub type Members = BTreeMap<InstanceId, Incarnation>;

/// Settings of an [`Ownership`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OwnershipConfig {
    /// Time for which a key is remembered after its answer.
    pub memory: Duration,
    /// Longest time for which views of two nodes may differ, a pause that goes unnoticed included:
    /// an earlier owner may have run calls for as long after this node took it for gone.
    pub lag: Duration,
    /// Longest time between two ticks of a node that was not paused.
    pub pause: Duration,
    /// Time for which a member that vanished without leaving still counts as a member.
    pub lost: Duration,
}

impl Default for OwnershipConfig {
    fn default() -> Self {
        Self {
            memory: Duration::from_secs(60),
            lag: Duration::from_secs(10),
            pause: Duration::from_secs(2),
            lost: Duration::from_secs(24 * 3600),
        }
    }
}

/// What this node is to a key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Standing {
    /// It owns the key and would know of an earlier run.
    Owner,
    /// It owns the key once all of these, who may have run it, have released it.
    OwnerAfter(Vec<InstanceId>),
    /// It owns the key but can't know of an earlier run.
    InDoubt,
    /// Another member owns the key.
    Other(InstanceId),
    /// No member owns the key.
    Nobody,
}

/// What one node knows about the ownership of its service's keys.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ownership {
    me: InstanceId,
    config: OwnershipConfig,
    started: Time,
    ticked: Time,
    /// Sets of members with the time since which each is known, oldest first.
    views: VecDeque<(Time, Members)>,
    /// Members in view that are leaving.
    leaving: Members,
    /// Members that may not have this node in view.
    unsure: Members,
    /// Members that vanished without leaving, with the time.
    lost: BTreeMap<InstanceId, Time>,
}

/// The member that owns `key`: the one with the highest hash of both.
pub fn owner_of(members: &Members, key: KeyHash) -> Option<&InstanceId> {
    members.keys().max_by_key(|member| weight(member, key))
}

fn owner_in(members: &Members, key: KeyHash) -> Option<(InstanceId, Incarnation)> {
    let owner = owner_of(members, key)?;
    Some((owner.clone(), *members.get(owner)?))
}

fn weight(member: &InstanceId, key: KeyHash) -> u128 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&key.0.to_be_bytes());
    hasher.update(member.as_str().as_bytes());
    first_bytes(&hasher.finalize())
}

impl Ownership {
    /// The knowledge of a node that has just started.
    pub fn new(me: InstanceId, config: OwnershipConfig, now: Time) -> Self {
        Self {
            me,
            config,
            started: now,
            ticked: now,
            views: VecDeque::new(),
            leaving: Members::new(),
            unsure: Members::new(),
            lost: BTreeMap::new(),
        }
    }

    /// Must be called more often than [`OwnershipConfig::pause`]: a gap is taken for a pause, after
    /// which nothing from before is trusted.
    pub fn tick(&mut self, now: Time) {
        if now.since(self.ticked) > self.config.pause {
            self.started = now;
            let last = self.views.pop_back();
            self.views.clear();
            self.views.extend(last.map(|(_, members)| (now, members)));
        }
        self.ticked = now;
        self.forget(now);
    }

    /// Takes a new view of the service's members: those that serve, and those that are leaving.
    pub fn update(&mut self, now: Time, serving: Members, leaving: Members) {
        self.tick(now);
        let before = self.views.back().map(|(_, members)| members.clone()).unwrap_or_default();
        let is_seen =
            |member: &InstanceId| serving.contains_key(member) || leaving.contains_key(member);
        let vanished = before.keys().filter(|member| !is_seen(member));
        self.lost.extend(vanished.map(|member| (member.clone(), now)));
        self.lost.retain(|member, _| !is_seen(member));
        self.leaving = leaving;
        if before != serving || self.views.is_empty() {
            self.views.push_back((now, serving));
        }
        if self.views.len() > MAX_VIEWS {
            // What is dropped may name an owner that is then not asked.
            self.views.pop_front();
            self.started = now;
        }
    }

    /// Takes the members that have not confirmed that this node is in their view.
    pub fn set_unsure(&mut self, unsure: Members) {
        self.unsure = unsure;
    }

    /// Members in view that may take themselves for the owner of a key that this node owns: each
    /// must say that it has not run a call, and release the call's key, before this node runs it.
    pub fn unsure(&self) -> impl Iterator<Item = &InstanceId> {
        let view = self.views.back().map(|(_, members)| members);
        self.unsure.keys().filter(move |member| view.is_some_and(|view| view.contains_key(*member)))
    }

    /// What this node is to `key`.
    pub fn standing(&self, now: Time, key: KeyHash) -> Standing {
        match self.views.back().and_then(|(_, members)| owner_of(members, key)) {
            None => Standing::Nobody,
            Some(owner) if *owner != self.me => Standing::Other(owner.clone()),
            Some(_) if !self.is_trusted(now) => Standing::InDoubt,
            Some(_) => self.after_earlier_owners(now, key),
        }
    }

    /// Whether this node's records are all there is to know about `key`, but for what `asker` in
    /// this incarnation knows, who takes the key over.
    pub fn knows_all(&self, now: Time, key: KeyHash, asker: (&InstanceId, Incarnation)) -> bool {
        let owned = |members: &Members| {
            let mut members = members.clone();
            if members.get(asker.0) == Some(&asker.1) {
                members.remove(asker.0);
            }
            owner_of(&members, key) == Some(&self.me)
        };
        self.is_trusted(now)
            && self.remembers_long_enough(now)
            && self.views_that_matter(now).all(owned)
    }

    fn is_trusted(&self, now: Time) -> bool {
        now.since(self.ticked) <= self.config.pause && self.sees_majority()
    }

    fn sees_majority(&self) -> bool {
        let seen = self.views.back().map_or(0, |(_, members)| members.len());
        seen * 2 > seen + self.lost.len()
    }

    fn after_earlier_owners(&self, now: Time, key: KeyHash) -> Standing {
        let mut earlier = Members::new();
        for members in self.views_that_matter(now) {
            earlier.extend(owner_in(members, key));
        }
        if !self.remembers_long_enough(now) {
            // Before this process started, the owner was whoever owns the key without it.
            let mut others = self.views.front().map(|(_, first)| first.clone()).unwrap_or_default();
            others.remove(&self.me);
            match owner_in(&others, key) {
                Some((owner, incarnation)) => earlier.insert(owner, incarnation),
                None => return Standing::InDoubt,
            };
        }
        earlier.remove(&self.me);
        if earlier.is_empty() {
            return Standing::Owner;
        }
        if earlier.iter().all(|(owner, incarnation)| self.can_be_asked(owner, *incarnation)) {
            return Standing::OwnerAfter(earlier.into_keys().collect());
        }
        Standing::InDoubt
    }

    /// Whether the process that owned a key is still there.
    fn can_be_asked(&self, member: &InstanceId, incarnation: Incarnation) -> bool {
        let serving = self.views.back().and_then(|(_, members)| members.get(member));
        serving.or_else(|| self.leaving.get(member)) == Some(&incarnation)
    }

    /// Time for which what an earlier owner did may matter.
    fn doubt(&self) -> Duration {
        self.config.memory + self.config.lag
    }

    fn remembers_long_enough(&self, now: Time) -> bool {
        now.since(self.started) >= self.doubt()
    }

    /// Views in force at some time that may matter.
    fn views_that_matter(&self, now: Time) -> impl Iterator<Item = &Members> {
        let doubt = self.doubt();
        let ends = self.views.iter().skip(1).map(|(since, _)| Some(*since)).chain([None]);
        self.views
            .iter()
            .zip(ends)
            .filter(move |(_, end)| end.is_none_or(|end| now.since(end) < doubt))
            .map(|((_, members), _)| members)
    }

    fn forget(&mut self, now: Time) {
        let kept = self.views_that_matter(now).count();
        self.views.drain(..self.views.len() - kept);
        let lost = self.config.lost;
        self.lost.retain(|_, since| now.since(*since) < lost);
    }
}
