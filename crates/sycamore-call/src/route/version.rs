//! Selection of the version that a call goes to, by traffic share.

use super::Pick;
use rand::Rng;
use std::collections::BTreeSet;
use sycamore_types::prelude::*;

/// Versions that were found bad or whose move was aborted; they get no calls.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionBans(BTreeSet<(ServiceName, UpstreamVersion)>);

impl VersionBans {
    /// Bans a version permanently.
    pub fn insert(&mut self, service: ServiceName, version: UpstreamVersion) {
        self.0.insert((service, version));
    }

    /// Bans the version that `fact` reports as bad or aborted; ignores other facts.
    pub fn learn(&mut self, fact: &Fact) {
        if let Fact::BadVersion { service, version, .. } | Fact::Aborted { service, version, .. } =
            fact
        {
            self.insert(service.clone(), version.clone());
        }
    }

    /// Returns whether a version is banned.
    pub fn contains(&self, service: &ServiceName, version: &UpstreamVersion) -> bool {
        !self.0.is_empty() && self.0.contains(&(service.clone(), version.clone()))
    }
}

/// Draws a version by share. If the drawn version has no candidate, the stable version takes the
/// call, or else a version with the whole share, but never an unproven one.
pub(super) fn choose_version(
    rng: &mut impl Rng,
    pick: &Pick<'_>,
    candidates: &[&Member],
) -> Option<(UpstreamVersion, Share)> {
    let Some(shares) = pick.shares.services.get(pick.service) else {
        let drawn = candidates.get(rng.random_range(0..candidates.len().max(1)))?;
        return Some((drawn.version.clone(), Share::ALL));
    };
    let has_candidate =
        |entry: &VersionShare| candidates.iter().any(|member| member.version == entry.version);
    let drawn = draw_by_share(rng, shares).filter(|entry| has_candidate(entry));
    let stable = || shares.iter().find(|entry| entry.by.is_none() && has_candidate(entry));
    let whole_share =
        || shares.iter().find(|entry| entry.share == Share::ALL && has_candidate(entry));
    let entry = drawn.or_else(stable).or_else(whole_share)?;
    Some((entry.version.clone(), entry.share))
}

fn draw_by_share<'a>(rng: &mut impl Rng, shares: &'a [VersionShare]) -> Option<&'a VersionShare> {
    let points = |entry: &VersionShare| u32::from(entry.share.basis_points());
    let total: u32 = shares.iter().map(points).sum();
    if total == 0 {
        return None;
    }
    let mut remaining = rng.random_range(0..total);
    for entry in shares {
        if remaining < points(entry) {
            return Some(entry);
        }
        remaining -= points(entry);
    }
    None
}
