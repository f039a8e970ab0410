//! Load balancing: selects a version by traffic share, prefers near data centres, and takes the
//! less loaded of two random instances (Mitzenmacher, "The Power of Two Choices", 2001).

mod peer;
mod reports;
mod unproven;
mod version;

pub use unproven::is_unproven;
pub use version::VersionBans;

use crate::hedge::MAX_UTILISATION;
use crate::load::Load;
use crate::report::{LimitReport, ProcessReport};
use peer::Peer;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use reports::PeerReports;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Settings of a [`Router`].
#[derive(Debug, Clone)]
pub struct RouterConfig {
    /// Time over which the weight of an instance that is new to this router grows to 1.
    pub slow_start: Duration,
    /// Number of consecutive failures after which an instance is ejected.
    pub eject_failures: u32,
    /// Duration of an instance's first ejection; each further one doubles it.
    pub eject_time: Duration,
    /// Maximum duration of an ejection.
    pub eject_time_max: Duration,
    /// Maximum fraction of a service's instances that may be ejected at a time, 0.0 to 1.0.
    pub max_ejected_fraction: f64,
    /// Utilisation of a near instance from which an empty call considers instances farther away.
    pub spill_utilisation: f64,
    /// Utilisation of a near instance from which a call of [`RouterConfig::heavy_bytes`] or more
    /// considers instances farther away; sending a large body far is expensive.
    pub heavy_spill_utilisation: f64,
    /// Minimum difference in utilisation for which an empty call goes to an instance farther away.
    pub spill_min_gain: f64,
    /// Minimum difference in utilisation for which a heavy call goes to an instance farther away.
    pub heavy_spill_min_gain: f64,
    /// Size of a heavy call's body, in bytes; thresholds of smaller calls are interpolated.
    pub heavy_bytes: u64,
    /// Age after which a reported load is ignored.
    pub max_load_age: Duration,
    /// Age after which the reported use of a rate limit is ignored; it changes more slowly than the
    /// load, and an instance with a low limit answers rarely.
    pub max_rate_age: Duration,
}

impl Default for RouterConfig {
    fn default() -> Self {
        Self {
            slow_start: Duration::from_secs(5),
            eject_failures: 3,
            eject_time: Duration::from_secs(2),
            eject_time_max: Duration::from_secs(30),
            max_ejected_fraction: 0.5,
            spill_utilisation: 1.0,
            heavy_spill_utilisation: 1.8,
            spill_min_gain: 0.2,
            heavy_spill_min_gain: 0.8,
            heavy_bytes: 4 << 10,
            max_load_age: Duration::from_secs(1),
            max_rate_age: Duration::from_secs(3),
        }
    }
}

/// Request for an instance: the call's properties and the state that applies to it.
#[derive(Debug, Clone, Copy)]
pub struct Pick<'a> {
    /// Service that is called.
    pub service: &'a ServiceName,
    /// Members known to this node.
    pub view: &'a MemberView,
    /// Traffic shares in force.
    pub shares: &'a ShareTable,
    /// Versions that get no calls.
    pub bans: &'a VersionBans,
    /// Data centres whose upstreams get no calls.
    pub out_of_use: &'a BTreeSet<DataCentre>,
    /// Instances already tried for this call.
    pub tried: &'a [InstanceId],
    /// Data centre of this node.
    pub data_centre: &'a DataCentre,
    /// Region of this node.
    pub region: &'a Region,
    /// Size of the call's body, in bytes; `None` where it is unknown, which counts as heavy.
    pub bytes: Option<u64>,
}

/// Instance chosen for an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Version of the instance's upstream.
    pub version: UpstreamVersion,
    /// Address at which the instance's node accepts relayed calls.
    pub relay: SocketAddr,
    /// Traffic share of the version at the time of the choice.
    pub share: Share,
}

/// Outcome of an attempt, reduced to what routing depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The instance's node answered and reported its load.
    Answered(Load),
    /// The instance's node refused the call since its upstream's rate limit is used up, and reported
    /// its load and the time after which it expects to take a call.
    RateLimited(Load, Duration),
    /// The instance's node is draining.
    Draining,
    /// The instance is unreachable, or its node reported that it has no upstream.
    NoUpstream,
    /// The instance dropped the connection or took too long.
    Failed,
    /// The caller left, so that nothing is known about the instance.
    Cancelled,
}

/// Load balancer that chooses instances for calls.
#[derive(Debug, Clone)]
pub struct Router {
    config: RouterConfig,
    peers: BTreeMap<InstanceId, Peer>,
    reports: PeerReports,
    rng: SmallRng,
}

impl Router {
    /// Creates a router whose random choices are seeded with `seed`.
    pub fn new(config: RouterConfig, seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self { config, peers: BTreeMap::new(), reports: PeerReports::default(), rng }
    }

    /// Applies a new member view: drops instances that left and begins the slow start of new ones.
    pub fn update(&mut self, now: Time, view: &MemberView) {
        self.peers.retain(|instance, _| view.members.contains_key(instance));
        self.reports.update(now, view);
        let is_first_view = self.peers.is_empty();
        for member in view.members.values() {
            let peer = self.peers.entry(member.instance.clone()).or_insert_with(|| {
                // A router without any peers has just started and must not treat the whole fleet as
                // cold.
                Peer::new(member, if is_first_view { None } else { Some(now) })
            });
            if peer.incarnation != member.incarnation {
                *peer = Peer::new(member, Some(now));
            }
            if let Some(process) = member.left {
                let limit = LimitReport::Unknown;
                let report = ProcessReport { process, limit, is_leaving: true };
                self.reports.learn(now, &member.instance, Some(member.incarnation), report);
            }
        }
    }

    /// Chooses the instance for one attempt and counts the attempt as in flight there; `None` where
    /// no instance may take it.
    pub fn pick(&mut self, now: Time, pick: &Pick<'_>) -> Option<Choice> {
        // A version whose instances have no rate left can't take the call, so another one is chosen.
        let candidates = self.with_rate_left(now, self.candidates(now, pick));
        let (version, share) = version::choose_version(&mut self.rng, pick, &candidates)?;
        let (of_version, others): (Vec<&Member>, Vec<&Member>) =
            candidates.into_iter().partition(|member| member.version == version);
        let concentrated = match is_unproven(pick.shares, pick.service, &version) {
            true => self.pick_concentrated(now, &of_version, &others),
            false => None,
        };
        let chosen = match concentrated {
            Some(member) => member,
            None => self.pick_by_distance(now, pick, &of_version)?,
        };
        let choice = Choice {
            instance: chosen.instance.clone(),
            version,
            relay: chosen.endpoints.relay,
            share,
        };
        let peer = self.peers.entry(choice.instance.clone());
        peer.or_insert_with(|| Peer::new(chosen, None)).record_attempt();
        Some(choice)
    }

    /// Records what the node of `instance` said of its upstream process.
    pub fn learn_report(&mut self, now: Time, instance: &InstanceId, report: ProcessReport) {
        let incarnation = self.peers.get(instance).map(|peer| peer.incarnation);
        self.reports.learn(now, instance, incarnation, report);
    }

    /// Records that an upstream answer from `instance` came without a report: its process names no
    /// rate limit and isn't leaving.
    pub fn learn_unrestricted(&mut self, instance: &InstanceId) {
        self.reports.learn_unrestricted(instance);
    }

    /// Returns what a call to `instance` tells its node about the upstream process there: the node
    /// may have restarted, and not know it yet.
    pub fn report_of(&self, instance: &InstanceId) -> Option<ProcessReport> {
        self.reports.get(instance)
    }

    /// Records that `instance` was silent while another one answered; the attempt itself ends apart.
    pub fn record_silence(&mut self, now: Time, instance: &InstanceId) {
        if let Some(peer) = self.peers.get_mut(instance) {
            peer.record_failure(now, &self.config);
        }
    }

    /// Records the outcome of an attempt at `instance`.
    pub fn record_end(&mut self, now: Time, instance: &InstanceId, end: AttemptEnd) {
        if let Some(peer) = self.peers.get_mut(instance) {
            peer.record_end(now, end, &self.config);
        }
    }

    /// Returns whether some instance of `service` that is not in `tried` is not known to be full,
    /// draining or ejected.
    pub fn has_room(
        &self,
        now: Time,
        service: &ServiceName,
        view: &MemberView,
        out_of_use: &BTreeSet<DataCentre>,
        tried: &[InstanceId],
    ) -> bool {
        let in_use =
            view.serving(service).filter(|member| !out_of_use.contains(&member.data_centre));
        in_use.filter(|member| !tried.contains(&member.instance)).any(|member| {
            let is_open = self
                .peers
                .get(&member.instance)
                .is_none_or(|peer| !peer.is_draining(now) && peer.ejected_until(now).is_none());
            is_open
                && !self.reports.is_leaving(&member.instance)
                && self.utilisation(now, &member.instance) < 1.0
        })
    }

    /// Returns the utilisation of `instance` as far as it is known.
    pub fn utilisation_of(&self, now: Time, instance: &InstanceId) -> f64 {
        self.utilisation(now, instance)
    }

    /// Returns the mean utilisation of the instances of `service`; 1.0 where it has none.
    pub fn mean_utilisation_of(&self, now: Time, service: &ServiceName, view: &MemberView) -> f64 {
        let (mut sum, mut count) = (0.0, 0);
        for member in view.serving(service) {
            sum += self.utilisation(now, &member.instance);
            count += 1;
        }
        if count == 0 {
            1.0
        } else {
            sum / f64::from(count)
        }
    }

    /// Returns whether `instance` may take a second attempt: it has room, and neither a rate limit nor a
    /// slow start.
    pub fn may_hedge_to(&self, now: Time, instance: &InstanceId) -> bool {
        self.reports.limit(instance).is_none()
            && self.weight(now, instance) >= 1.0
            && self.utilisation(now, instance) < MAX_UTILISATION
    }

    /// Returns whether `instance` has reported its load since `at`.
    pub fn has_answered_since(&self, at: Time, instance: &InstanceId) -> bool {
        self.peers.get(instance).is_some_and(|peer| peer.has_answered_since(at))
    }

    /// Returns the members whose rate limit, if they have one, is not known to be used up; all
    /// members where none has any rate left.
    fn with_rate_left<'a>(&self, now: Time, members: Vec<&'a Member>) -> Vec<&'a Member> {
        let is_spent = |member: &Member| {
            self.peers.get(&member.instance).is_some_and(|peer| peer.is_rate_spent(now))
        };
        match members.iter().all(|member| is_spent(member)) {
            true => members,
            false => members.into_iter().filter(|member| !is_spent(member)).collect(),
        }
    }

    /// Returns the members that may take the call: untried, not banned, not draining and not
    /// ejected. Ejected ones are included where no other is left.
    fn candidates<'a>(&self, now: Time, pick: &Pick<'a>) -> Vec<&'a Member> {
        let serving: Vec<&'a Member> = pick
            .view
            .members
            .values()
            .filter(|member| member.service == *pick.service)
            .filter(|member| matches!(member.state, MemberState::Serving | MemberState::Suspect))
            .filter(|member| !pick.bans.contains(&member.service, &member.version))
            .filter(|member| !pick.out_of_use.contains(&member.data_centre))
            .filter(|member| !self.is_draining(now, &member.instance))
            .collect();
        let is_untried = |member: &&Member| !pick.tried.contains(&member.instance);
        let not_ejected = self.without_ejected(now, &serving);
        let untried_members: Vec<&Member> = not_ejected.into_iter().filter(is_untried).collect();
        if untried_members.is_empty() {
            return serving.into_iter().filter(is_untried).collect();
        }
        untried_members
    }

    fn is_draining(&self, now: Time, instance: &InstanceId) -> bool {
        self.reports.is_leaving(instance)
            || self.peers.get(instance).is_some_and(|peer| peer.is_draining(now))
    }

    /// Removes ejected members, those with the latest end of ejection first, up to the maximum
    /// fraction.
    fn without_ejected<'a>(&self, now: Time, serving: &[&'a Member]) -> Vec<&'a Member> {
        let ejected_until = |member: &Member| {
            self.peers.get(&member.instance).and_then(|peer| peer.ejected_until(now))
        };
        let max_ejected =
            (serving.len() as f64 * self.config.max_ejected_fraction).floor() as usize;
        let mut ejected: Vec<(Time, &InstanceId)> = serving
            .iter()
            .filter_map(|member| ejected_until(member).map(|until| (until, &member.instance)))
            .collect();
        ejected.sort_by(|a, b| b.cmp(a));
        ejected.truncate(max_ejected);
        serving
            .iter()
            .copied()
            .filter(|member| !ejected.iter().any(|(_, instance)| **instance == member.instance))
            .collect()
    }

    /// Chooses a member of the nearest tier that has any, or one of a farther tier where the near
    /// one is utilised beyond the spill threshold and the farther one sufficiently less.
    fn pick_by_distance<'a>(
        &mut self,
        now: Time,
        pick: &Pick<'_>,
        members: &[&'a Member],
    ) -> Option<&'a Member> {
        let (spill_threshold, min_gain) = self.spill_thresholds(pick.bytes);
        let mut chosen: Option<(&'a Member, f64)> = None;
        for tier in tiers(pick, members) {
            if chosen.is_some_and(|(_, load)| load < spill_threshold) {
                break;
            }
            let Some(member) = self.pick_less_utilised(now, &tier) else { continue };
            let load = self.utilisation(now, &member.instance);
            if chosen.is_none_or(|(_, near_load)| load + min_gain < near_load) {
                chosen = Some((member, load));
            }
        }
        chosen.map(|(member, _)| member)
    }

    /// Returns the spill threshold and the minimum gain of a call of `bytes`, both as utilisation.
    fn spill_thresholds(&self, bytes: Option<u64>) -> (f64, f64) {
        let config = &self.config;
        let heavy = config.heavy_bytes.max(1);
        let weight = bytes.unwrap_or(heavy).min(heavy) as f64 / heavy as f64;
        let interpolate = |small: f64, large: f64| small + (large - small) * weight;
        (
            interpolate(config.spill_utilisation, config.heavy_spill_utilisation),
            interpolate(config.spill_min_gain, config.heavy_spill_min_gain),
        )
    }

    /// Draws two members by weight and returns the less utilised one.
    fn pick_less_utilised<'a>(&mut self, now: Time, members: &[&'a Member]) -> Option<&'a Member> {
        let first = self.draw_weighted(now, members, None)?;
        let Some(second) = self.draw_weighted(now, members, Some(first)) else {
            return Some(members[first]);
        };
        let (a, b) = (members[first], members[second]);
        let a_is_less_utilised =
            self.utilisation(now, &a.instance) <= self.utilisation(now, &b.instance);
        Some(if a_is_less_utilised { a } else { b })
    }

    /// Draws a member other than `excluded` at random; instances in slow start have a lower weight.
    fn draw_weighted(
        &mut self,
        now: Time,
        members: &[&Member],
        excluded: Option<usize>,
    ) -> Option<usize> {
        let weights: Vec<f64> = (0..members.len())
            .map(|i| match excluded {
                Some(drawn) if drawn == i => 0.0,
                _ => self.weight(now, &members[i].instance),
            })
            .collect();
        let total: f64 = weights.iter().sum();
        if total <= 0.0 {
            return None;
        }
        let mut remaining = self.rng.random_range(0.0..total);
        let drawn = weights.iter().position(|weight| {
            remaining -= weight;
            remaining < 0.0
        });
        // Rounding errors may leave a remainder after the last weight.
        drawn.or_else(|| weights.iter().rposition(|weight| *weight > 0.0))
    }

    fn weight(&self, now: Time, instance: &InstanceId) -> f64 {
        self.peers.get(instance).map_or(1.0, |peer| peer.weight(now, &self.config))
    }

    fn utilisation(&self, now: Time, instance: &InstanceId) -> f64 {
        let limit = self.reports.limit(instance);
        self.peers.get(instance).map_or(0.0, |peer| peer.utilisation(now, &self.config, limit))
    }
}

/// Groups members by distance: this data centre, the rest of this region, all others.
fn tiers<'a>(pick: &Pick<'_>, members: &[&'a Member]) -> [Vec<&'a Member>; 3] {
    let mut tiers = [Vec::new(), Vec::new(), Vec::new()];
    for member in members {
        let distance = match () {
            () if member.data_centre == *pick.data_centre => 0,
            () if member.region == *pick.region => 1,
            () => 2,
        };
        tiers[distance].push(*member);
    }
    tiers
}
