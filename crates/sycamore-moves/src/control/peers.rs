//! What a node knows about the instances of a move's service.

use crate::evidence::Source;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use sycamore_types::prelude::*;

/// A live instance of the service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Peer {
    /// The instance.
    pub instance: InstanceId,
    /// Its generation.
    pub incarnation: Incarnation,
    /// The version of its upstream.
    pub version: UpstreamVersion,
    /// Its region.
    pub region: Region,
}

/// An instance of the new version that was seen once.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Seen {
    incarnation: Incarnation,
    region: Region,
    gone_since: Option<Time>,
}

/// The instances of one service: the live ones, and those of the new version that were live once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Peers {
    live: BTreeMap<InstanceId, Peer>,
    seen: BTreeMap<InstanceId, Seen>,
    regions: BTreeSet<Region>,
    old_seen: bool,
}

impl Peers {
    /// Takes in the live instances of the service, and the regions in which any member is live.
    pub fn update(
        &mut self,
        now: Time,
        live: Vec<Peer>,
        regions: BTreeSet<Region>,
        to: &UpstreamVersion,
    ) {
        self.live = live.into_iter().map(|peer| (peer.instance.clone(), peer)).collect();
        self.regions = regions;
        self.old_seen |= self.live.values().any(|peer| peer.version != *to);
        for peer in self.live.values().filter(|peer| peer.version == *to) {
            self.seen.insert(peer.instance.clone(), Seen::of(peer));
        }
        for (instance, seen) in &mut self.seen {
            if !self.live.contains_key(instance) && seen.gone_since.is_none() {
                seen.gone_since = Some(now);
            }
        }
    }

    /// Takes in the instances that the platform's table lists. A row may be older than the version
    /// that its upstream announced, so one that is not seen and not known to run `from` counts as
    /// one of the new version.
    pub fn register(&mut self, now: Time, registered: &[Peer], from: &UpstreamVersion) {
        let unseen = |peer: &&Peer| !self.live.contains_key(&peer.instance);
        let unseen: Vec<&Peer> =
            registered.iter().filter(|peer| peer.version != *from).filter(unseen).collect();
        for peer in unseen {
            let known = self.seen.get(&peer.instance);
            if known.is_none_or(|seen| seen.incarnation < peer.incarnation) {
                let seen = Seen { gone_since: Some(now), ..Seen::of(peer) };
                self.seen.insert(peer.instance.clone(), seen);
            }
        }
    }

    /// Live instances of `version`.
    pub fn of_version<'a>(
        &'a self,
        version: &'a UpstreamVersion,
    ) -> impl Iterator<Item = &'a Peer> + 'a {
        self.live.values().filter(move |peer| peer.version == *version)
    }

    /// Whether an instance of another version than the new one was ever live.
    pub fn old_seen(&self) -> bool {
        self.old_seen
    }

    /// Live instances of the service.
    pub fn live(&self) -> impl Iterator<Item = &Peer> {
        self.live.values()
    }

    /// Instances of the new version whose word is needed. One that is gone counts out only after
    /// `retire`, and only while others of its region are seen: a region that is cut off keeps its
    /// say.
    pub fn needed(&self, now: Time, retire: Duration) -> impl Iterator<Item = Source> + '_ {
        let is_needed = move |seen: &Seen| match seen.gone_since {
            None => true,
            Some(since) => now.since(since) < retire || !self.regions.contains(&seen.region),
        };
        self.seen.iter().filter(move |(_, seen)| is_needed(seen)).map(|(instance, seen)| Source {
            instance: instance.clone(),
            incarnation: seen.incarnation,
        })
    }
}

impl Seen {
    fn of(peer: &Peer) -> Self {
        Self { incarnation: peer.incarnation, region: peer.region.clone(), gone_since: None }
    }
}
