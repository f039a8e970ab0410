//! Membership view of a move's service on one node.

use crate::evidence::Source;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use sycamore_types::prelude::*;

/// Instance of a move's service, as membership or the platform's table lists it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Incarnation under which membership knows the process.
    pub incarnation: Incarnation,
    /// Version that its upstream announced.
    pub version: UpstreamVersion,
    /// Region that the instance runs in.
    pub region: Region,
}

/// Instance of the new version that is live, was live or is registered.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Seen {
    incarnation: Incarnation,
    region: Region,
    /// When the instance left the view; `None` while it is live.
    gone_since: Option<Time>,
}

/// Instances of one service: all live ones, and every one of the new version seen so far.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Peers {
    live: BTreeMap<InstanceId, Peer>,
    seen: BTreeMap<InstanceId, Seen>,
    regions: BTreeSet<Region>,
    old_seen: bool,
}

impl Peers {
    /// Replaces the live instances of the service and the regions in which any member is live.
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

    /// Adds the instances that are registered in the platform's table. A row may be older than the
    /// upstream's announced version, so an instance that is not live and not listed with `from`
    /// counts as one of the new version.
    pub fn add_registered(&mut self, now: Time, registered: &[Peer], from: &UpstreamVersion) {
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

    /// Returns the live instances whose upstream runs `version`.
    pub fn of_version<'a>(
        &'a self,
        version: &'a UpstreamVersion,
    ) -> impl Iterator<Item = &'a Peer> + 'a {
        self.live.values().filter(move |peer| peer.version == *version)
    }

    /// Returns whether an instance of another version than the new one was ever live.
    pub fn old_seen(&self) -> bool {
        self.old_seen
    }

    /// Returns all live instances of the service.
    pub fn live(&self) -> impl Iterator<Item = &Peer> {
        self.live.values()
    }

    /// Returns the instances of the new version that must confirm the watch period. An instance
    /// that left is dropped only after `departure_grace` and only while other members of its region
    /// are live: if the whole region is gone, it may be partitioned off and still serve.
    pub fn required(
        &self,
        now: Time,
        departure_grace: Duration,
    ) -> impl Iterator<Item = Source> + '_ {
        let is_required = move |seen: &Seen| match seen.gone_since {
            None => true,
            Some(since) => {
                now.since(since) < departure_grace || !self.regions.contains(&seen.region)
            }
        };
        self.seen.iter().filter(move |(_, seen)| is_required(seen)).map(|(instance, seen)| Source {
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
