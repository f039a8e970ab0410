//! Which upstream a call goes to: version by share, near data centre first, then the less loaded of
//! two random choices (Mitzenmacher, "The Power of Two Choices", 2001).

mod peer;
mod unproven;
mod version;

pub use version::VersionBans;

use crate::load::Load;
use peer::Peer;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Settings of a [`Router`].
#[derive(Debug, Clone)]
pub struct RouterConfig {
    /// Time over which an instance that is new here comes to its full weight.
    pub slow_start: Duration,
    /// Failures in a row that eject an instance.
    pub eject_failures: u32,
    /// Length of a first ejection; each further one doubles it.
    pub eject_time: Duration,
    /// Longest ejection.
    pub eject_time_max: Duration,
    /// Largest part of a service's instances that may be ejected at a time.
    pub eject_part: f64,
    /// Utilisation of a near instance from which a small call looks farther away.
    pub spill: f64,
    /// The same for a call of [`RouterConfig::heavy_bytes`] or more, whose way is dear.
    pub heavy_spill: f64,
    /// How much less utilised a farther instance must be for a small call to go there.
    pub spill_gain: f64,
    /// The same for a heavy call.
    pub heavy_gain: f64,
    /// Body of a heavy call, in bytes.
    pub heavy_bytes: u64,
    /// Age after which a reported load says nothing.
    pub load_age: Duration,
}

impl Default for RouterConfig {
    fn default() -> Self {
        Self {
            slow_start: Duration::from_secs(5),
            eject_failures: 3,
            eject_time: Duration::from_secs(2),
            eject_time_max: Duration::from_secs(30),
            eject_part: 0.5,
            spill: 1.0,
            heavy_spill: 1.8,
            spill_gain: 0.2,
            heavy_gain: 0.8,
            heavy_bytes: 4 << 10,
            load_age: Duration::from_secs(1),
        }
    }
}

/// What a call asks of the router.
#[derive(Debug, Clone, Copy)]
pub struct Pick<'a> {
    /// The service meant.
    pub service: &'a ServiceName,
    /// The members known.
    pub view: &'a MemberView,
    /// The shares in force.
    pub shares: &'a ShareTable,
    /// Versions that get nothing.
    pub bans: &'a VersionBans,
    /// Instances already tried for this call.
    pub tried: &'a [InstanceId],
    /// The data centre of this node.
    pub data_centre: &'a DataCentre,
    /// The region of this node.
    pub region: &'a Region,
    /// Bytes of the call's body; `None` where it is not known, which counts as heavy.
    pub bytes: Option<u64>,
}

/// An instance chosen for an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The instance.
    pub instance: InstanceId,
    /// The version of its upstream.
    pub version: UpstreamVersion,
    /// Where its node takes relayed calls.
    pub relay: SocketAddr,
    /// The share of the version that the choice went by.
    pub share: Share,
}

/// How an attempt ended, as far as routing cares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The instance's node answered, and gave its load.
    Answered(Load),
    /// The instance's node is leaving.
    Draining,
    /// The instance can't be reached, or its node says that it has no upstream.
    NoUpstream,
    /// The instance broke off or took too long.
    Failed,
    /// Nothing was learnt: the caller left.
    Cancelled,
}

/// Chooses upstreams for calls.
#[derive(Debug, Clone)]
pub struct Router {
    config: RouterConfig,
    peers: BTreeMap<InstanceId, Peer>,
    rng: SmallRng,
}

impl Router {
    /// A router that draws its random choices from `seed`.
    pub fn new(config: RouterConfig, seed: u64) -> Self {
        Self { config, peers: BTreeMap::new(), rng: SmallRng::seed_from_u64(seed) }
    }

    /// Takes a new view: forgets the instances that left and starts the new ones slowly.
    pub fn update(&mut self, now: Time, view: &MemberView) {
        self.peers.retain(|instance, _| view.members.contains_key(instance));
        let cold_start = self.peers.is_empty();
        for member in view.members.values() {
            let peer = self.peers.entry(member.instance.clone()).or_insert_with(|| {
                // A router that knows nobody must not treat the whole fleet as cold.
                Peer::new(member, if cold_start { None } else { Some(now) })
            });
            if peer.incarnation != member.incarnation {
                *peer = Peer::new(member, Some(now));
            }
        }
    }

    /// Chooses the instance for one attempt and counts it as under way there; `None` where no
    /// instance may take it.
    pub fn pick(&mut self, now: Time, pick: &Pick<'_>) -> Option<Choice> {
        let candidates = self.candidates(now, pick);
        let (version, share) = version::choose(&mut self.rng, pick, &candidates)?;
        let (of_version, others): (Vec<&Member>, Vec<&Member>) =
            candidates.into_iter().partition(|member| member.version == version);
        let concentrated = match unproven::is_unproven(pick, &version) {
            true => self.concentrated(now, &of_version, &others),
            false => None,
        };
        let chosen = match concentrated {
            Some(member) => member,
            None => self.by_distance(now, pick, &of_version)?,
        };
        let choice = Choice {
            instance: chosen.instance.clone(),
            version,
            relay: chosen.endpoints.relay,
            share,
        };
        let peer = self.peers.entry(choice.instance.clone());
        peer.or_insert_with(|| Peer::new(chosen, None)).under_way += 1;
        Some(choice)
    }

    /// Records how an attempt at `instance` ended.
    pub fn ended(&mut self, now: Time, instance: &InstanceId, end: AttemptEnd) {
        if let Some(peer) = self.peers.get_mut(instance) {
            peer.ended(now, end, &self.config);
        }
    }

    /// Whether some instance of `service` other than those `tried` is not known to be full, leaving
    /// or ejected.
    pub fn has_room(
        &self,
        now: Time,
        service: &ServiceName,
        view: &MemberView,
        tried: &[InstanceId],
    ) -> bool {
        view.serving(service).filter(|member| !tried.contains(&member.instance)).any(|member| {
            self.peers.get(&member.instance).is_none_or(|peer| {
                peer.utilisation(now, &self.config) < 1.0
                    && !peer.is_draining(now)
                    && peer.ejected_until(now).is_none()
            })
        })
    }

    /// Members that may take the call, without ejected ones unless too many are ejected.
    fn candidates<'a>(&self, now: Time, pick: &Pick<'a>) -> Vec<&'a Member> {
        let serving: Vec<&'a Member> = pick
            .view
            .members
            .values()
            .filter(|member| member.service == *pick.service)
            .filter(|member| matches!(member.state, MemberState::Serving | MemberState::Suspect))
            .filter(|member| !pick.bans.contains(&member.service, &member.version))
            .filter(|member| !self.is_draining(now, &member.instance))
            .collect();
        let untried = |member: &&Member| !pick.tried.contains(&member.instance);
        let kept = self.without_ejected(now, &serving);
        let fresh: Vec<&Member> = kept.into_iter().filter(untried).collect();
        if fresh.is_empty() {
            return serving.into_iter().filter(untried).collect();
        }
        fresh
    }

    fn is_draining(&self, now: Time, instance: &InstanceId) -> bool {
        self.peers.get(instance).is_some_and(|peer| peer.is_draining(now))
    }

    /// Leaves out ejected members, the longest ejected first, down to the floor.
    fn without_ejected<'a>(&self, now: Time, serving: &[&'a Member]) -> Vec<&'a Member> {
        let ejected_until = |member: &Member| {
            self.peers.get(&member.instance).and_then(|peer| peer.ejected_until(now))
        };
        let most = (serving.len() as f64 * self.config.eject_part).floor() as usize;
        let mut ejected: Vec<(Time, &InstanceId)> = serving
            .iter()
            .filter_map(|member| ejected_until(member).map(|until| (until, &member.instance)))
            .collect();
        ejected.sort_by(|a, b| b.cmp(a));
        ejected.truncate(most);
        serving
            .iter()
            .copied()
            .filter(|member| !ejected.iter().any(|(_, instance)| **instance == member.instance))
            .collect()
    }

    /// A member of the nearest ring (this data centre, this region, elsewhere), unless it is so
    /// loaded, and one farther away so much less, that the way there is worth it.
    fn by_distance<'a>(
        &mut self,
        now: Time,
        pick: &Pick<'_>,
        members: &[&'a Member],
    ) -> Option<&'a Member> {
        let (spill, gain) = self.spill_for(pick.bytes);
        let mut chosen: Option<(&'a Member, f64)> = None;
        for ring in rings(pick, members) {
            if chosen.is_some_and(|(_, load)| load < spill) {
                break;
            }
            let Some(member) = self.less_loaded(now, &ring) else { continue };
            let load = self.score(now, &member.instance);
            if chosen.is_none_or(|(_, near)| load + gain < near) {
                chosen = Some((member, load));
            }
        }
        chosen.map(|(member, _)| member)
    }

    /// Utilisation from which a call of `bytes` looks farther away, and what it must gain there.
    fn spill_for(&self, bytes: Option<u64>) -> (f64, f64) {
        let config = &self.config;
        let heavy = config.heavy_bytes.max(1);
        let weight = bytes.unwrap_or(heavy).min(heavy) as f64 / heavy as f64;
        let between = |small: f64, large: f64| small + (large - small) * weight;
        (between(config.spill, config.heavy_spill), between(config.spill_gain, config.heavy_gain))
    }

    /// The less loaded of two members, drawn by weight.
    fn less_loaded<'a>(&mut self, now: Time, members: &[&'a Member]) -> Option<&'a Member> {
        let first = self.draw(now, members, None)?;
        let Some(second) = self.draw(now, members, Some(first)) else {
            return Some(members[first]);
        };
        let (a, b) = (members[first], members[second]);
        let nearer = self.score(now, &a.instance) <= self.score(now, &b.instance);
        Some(if nearer { a } else { b })
    }

    /// Draws a member other than `besides`; a cold one is drawn less often.
    fn draw(&mut self, now: Time, members: &[&Member], besides: Option<usize>) -> Option<usize> {
        let weights: Vec<f64> = (0..members.len())
            .map(|i| match besides {
                Some(drawn) if drawn == i => 0.0,
                _ => self.weight(now, &members[i].instance),
            })
            .collect();
        let sum: f64 = weights.iter().sum();
        if sum <= 0.0 {
            return None;
        }
        let mut at = self.rng.random_range(0.0..sum);
        let drawn = weights.iter().position(|weight| {
            at -= weight;
            at < 0.0
        });
        // Rounding may leave a rest after the last.
        drawn.or_else(|| weights.iter().rposition(|weight| *weight > 0.0))
    }

    fn weight(&self, now: Time, instance: &InstanceId) -> f64 {
        self.peers.get(instance).map_or(1.0, |peer| peer.weight(now, &self.config))
    }

    fn score(&self, now: Time, instance: &InstanceId) -> f64 {
        self.peers.get(instance).map_or(0.0, |peer| peer.utilisation(now, &self.config))
    }
}

/// Members of this data centre, the others of this region, and those elsewhere.
fn rings<'a>(pick: &Pick<'_>, members: &[&'a Member]) -> [Vec<&'a Member>; 3] {
    let mut rings = [Vec::new(), Vec::new(), Vec::new()];
    for member in members {
        let distance = match () {
            () if member.data_centre == *pick.data_centre => 0,
            () if member.region == *pick.region => 1,
            () => 2,
        };
        rings[distance].push(*member);
    }
    rings
}
