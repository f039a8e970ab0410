//! Ownership of idempotency keys: which member keeps a key's record, and whether that record is
//! certain to be complete.
//!
//! The owner is chosen by rendezvous hashing (Thaler and Ravishankar, 1998) over the service's
//! members. Members may have different views, and owners die, leave and are suspended, so a node
//! that is the owner in its own view runs a keyed call only where all of these conditions hold:
//!
//! - it owned the key in every view of the last [`OwnershipConfig::memory`] plus
//!   [`OwnershipConfig::lag`], or the earlier owners can be asked;
//! - every member in its view has confirmed that it has this node in view, or is asked whether it
//!   ran the call itself, since such a member may consider itself the owner;
//! - it sees more than half of the members that it knows of, so that at most one side of a network
//!   partition continues;
//! - it was not suspended: a gap between its own ticks counts as a restart.
//!
//! A member is one incarnation of an instance: a later incarnation doesn't know what an earlier one
//! ran.

use super::{first_bytes, KeyHash};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use sycamore_types::prelude::*;

/// Maximum number of views remembered; more changes than that within the memory make every key
/// uncertain.
const MAX_VIEWS: usize = 64;

/// Members of a service with their incarnations.
pub type Members = BTreeMap<InstanceId, Incarnation>;

/// Settings of an [`Ownership`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OwnershipConfig {
    /// Time for which a key is remembered after its call was answered.
    pub memory: Duration,
    /// Maximum time for which the views of two nodes may differ, including a suspension that goes
    /// unnoticed. An earlier owner may have run calls for this long after this node considered it
    /// gone.
    pub lag: Duration,
    /// Maximum time between two ticks; a longer gap counts as a suspension of the process.
    pub max_tick_gap: Duration,
    /// Time for which a member that vanished without leaving counts towards the majority.
    pub lost_retention: Duration,
}

impl Default for OwnershipConfig {
    fn default() -> Self {
        Self {
            memory: Duration::from_secs(60),
            lag: Duration::from_secs(10),
            max_tick_gap: Duration::from_secs(2),
            lost_retention: Duration::from_secs(24 * 3600),
        }
    }
}

/// Status of this node as the owner of a key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum OwnershipStatus {
    /// This node owns the key and would know if its call had run before.
    Owner,
    /// This node owns the key once all of these members, which may have run its call, have
    /// released it.
    OwnerAfter(Vec<InstanceId>),
    /// This node owns the key but may not know whether its call has run before.
    InDoubt,
    /// Another member owns the key.
    Other(InstanceId),
    /// No member owns the key, since the view is empty.
    Nobody,
}

/// One node's view of the ownership of its service's keys.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ownership {
    own_id: InstanceId,
    config: OwnershipConfig,
    /// Time from which the views are complete: the last start, suspension or loss of a view.
    known_since: Time,
    last_tick: Time,
    /// Views of the service's members, each with the time from which it was in force, oldest first.
    views: VecDeque<(Time, Members)>,
    /// Members in view that are draining.
    leaving: Members,
    /// Members that have not confirmed that they have this node in view.
    unconfirmed: Members,
    /// Members that vanished without leaving, with the time at which they did.
    lost: BTreeMap<InstanceId, Time>,
}

/// Returns the owner of `key`: the member with the highest hash of member and key.
pub fn owner_of(members: &Members, key: KeyHash) -> Option<&InstanceId> {
    members.keys().max_by_key(|member| rendezvous_weight(member, key))
}

fn owner_with_incarnation(members: &Members, key: KeyHash) -> Option<(InstanceId, Incarnation)> {
    let owner = owner_of(members, key)?;
    Some((owner.clone(), *members.get(owner)?))
}

fn rendezvous_weight(member: &InstanceId, key: KeyHash) -> u128 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&key.0.to_be_bytes());
    hasher.update(member.as_str().as_bytes());
    first_bytes(&hasher.finalize())
}

impl Ownership {
    /// Creates the state of a node that started at `now`.
    pub fn new(own_id: InstanceId, config: OwnershipConfig, now: Time) -> Self {
        Self {
            own_id,
            config,
            known_since: now,
            last_tick: now,
            views: VecDeque::new(),
            leaving: Members::new(),
            unconfirmed: Members::new(),
            lost: BTreeMap::new(),
        }
    }

    /// Records that the process is running; must be called more often than
    /// [`OwnershipConfig::max_tick_gap`]. A longer gap counts as a suspension, after which earlier
    /// views are not trusted.
    pub fn tick(&mut self, now: Time) {
        if now.since(self.last_tick) > self.config.max_tick_gap {
            self.known_since = now;
            let last = self.views.pop_back();
            self.views.clear();
            self.views.extend(last.map(|(_, members)| (now, members)));
        }
        self.last_tick = now;
        self.prune(now);
    }

    /// Applies a new view of the service's members, those that serve and those that are draining.
    pub fn update(&mut self, now: Time, serving: Members, leaving: Members) {
        self.tick(now);
        let previous = self.views.back().map(|(_, members)| members.clone()).unwrap_or_default();
        let is_in_view =
            |member: &InstanceId| serving.contains_key(member) || leaving.contains_key(member);
        let vanished = previous.keys().filter(|member| !is_in_view(member));
        self.lost.extend(vanished.map(|member| (member.clone(), now)));
        self.lost.retain(|member, _| !is_in_view(member));
        self.leaving = leaving;
        if previous != serving || self.views.is_empty() {
            self.views.push_back((now, serving));
        }
        if self.views.len() > MAX_VIEWS {
            // The dropped view may name an earlier owner, which could then not be asked.
            self.views.pop_front();
            self.known_since = now;
        }
    }

    /// Sets the members that have not confirmed that they have this node in view.
    pub fn set_unconfirmed(&mut self, unconfirmed: Members) {
        self.unconfirmed = unconfirmed;
    }

    /// Iterates over the members in view that may consider themselves the owner of a key that this
    /// node owns. Each of them must report that it has not run the call, and release its key,
    /// before this node runs it.
    pub fn unconfirmed(&self) -> impl Iterator<Item = &InstanceId> {
        let view = self.views.back().map(|(_, members)| members);
        self.unconfirmed
            .keys()
            .filter(move |member| view.is_some_and(|view| view.contains_key(*member)))
    }

    /// Returns the status of this node as the owner of `key`.
    pub fn status(&self, now: Time, key: KeyHash) -> OwnershipStatus {
        match self.views.back().and_then(|(_, members)| owner_of(members, key)) {
            None => OwnershipStatus::Nobody,
            Some(owner) if *owner != self.own_id => OwnershipStatus::Other(owner.clone()),
            Some(_) if !self.is_certain(now) => OwnershipStatus::InDoubt,
            Some(_) => self.status_after_earlier_owners(now, key),
        }
    }

    /// Returns whether this node's records of `key` are complete, apart from those of `asker` in
    /// the given incarnation, which takes the key over.
    pub fn knows_all(&self, now: Time, key: KeyHash, asker: (&InstanceId, Incarnation)) -> bool {
        let is_owned_without_asker = |members: &Members| {
            let mut members = members.clone();
            if members.get(asker.0) == Some(&asker.1) {
                members.remove(asker.0);
            }
            owner_of(&members, key) == Some(&self.own_id)
        };
        self.is_certain(now)
            && self.covers_window(now)
            && self.recent_views(now).all(is_owned_without_asker)
    }

    fn is_certain(&self, now: Time) -> bool {
        now.since(self.last_tick) <= self.config.max_tick_gap && self.sees_majority()
    }

    fn sees_majority(&self) -> bool {
        let seen = self.views.back().map_or(0, |(_, members)| members.len());
        seen * 2 > seen + self.lost.len()
    }

    fn status_after_earlier_owners(&self, now: Time, key: KeyHash) -> OwnershipStatus {
        let mut earlier = Members::new();
        for members in self.recent_views(now) {
            earlier.extend(owner_with_incarnation(members, key));
        }
        if !self.covers_window(now) {
            // Before this process started, the key's owner was the one among the other members.
            let mut others = self.views.front().map(|(_, first)| first.clone()).unwrap_or_default();
            others.remove(&self.own_id);
            match owner_with_incarnation(&others, key) {
                Some((owner, incarnation)) => earlier.insert(owner, incarnation),
                None => return OwnershipStatus::InDoubt,
            };
        }
        earlier.remove(&self.own_id);
        if earlier.is_empty() {
            return OwnershipStatus::Owner;
        }
        if earlier.iter().all(|(owner, incarnation)| self.is_present(owner, *incarnation)) {
            return OwnershipStatus::OwnerAfter(earlier.into_keys().collect());
        }
        OwnershipStatus::InDoubt
    }

    /// Returns whether the given incarnation of `member` is still present.
    fn is_present(&self, member: &InstanceId, incarnation: Incarnation) -> bool {
        let serving = self.views.back().and_then(|(_, members)| members.get(member));
        serving.or_else(|| self.leaving.get(member)) == Some(&incarnation)
    }

    /// Returns the time for which an earlier owner's runs still matter.
    fn uncertainty_window(&self) -> Duration {
        self.config.memory + self.config.lag
    }

    fn covers_window(&self, now: Time) -> bool {
        now.since(self.known_since) >= self.uncertainty_window()
    }

    /// Iterates over the views that were in force within the uncertainty window.
    fn recent_views(&self, now: Time) -> impl Iterator<Item = &Members> {
        let uncertainty_window = self.uncertainty_window();
        let ends = self.views.iter().skip(1).map(|(since, _)| Some(*since)).chain([None]);
        self.views
            .iter()
            .zip(ends)
            .filter(move |(_, end)| end.is_none_or(|end| now.since(end) < uncertainty_window))
            .map(|((_, members), _)| members)
    }

    fn prune(&mut self, now: Time) {
        let recent = self.recent_views(now).count();
        self.views.drain(..self.views.len() - recent);
        let lost = self.config.lost_retention;
        self.lost.retain(|_, since| now.since(*since) < lost);
    }
}
