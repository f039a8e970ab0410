//! Which version of a service a call goes to.

use super::Pick;
use rand::Rng;
use std::collections::BTreeSet;
use sycamore_types::prelude::*;

/// Versions that were found bad or aborted: they get nothing.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionBans(BTreeSet<(ServiceName, UpstreamVersion)>);

impl VersionBans {
    /// Bans a version for good.
    pub fn insert(&mut self, service: ServiceName, version: UpstreamVersion) {
        self.0.insert((service, version));
    }

    /// Takes what `fact` says of versions.
    pub fn learn(&mut self, fact: &Fact) {
        if let Fact::BadVersion { service, version, .. } | Fact::Aborted { service, version, .. } =
            fact
        {
            self.insert(service.clone(), version.clone());
        }
    }

    /// Whether a version gets nothing.
    pub fn contains(&self, service: &ServiceName, version: &UpstreamVersion) -> bool {
        !self.0.is_empty() && self.0.contains(&(service.clone(), version.clone()))
    }
}

/// Draws a version by share among those that have a candidate. What the drawn version can't take
/// goes to the settled version, never to an unproven one.
pub(super) fn choose(
    rng: &mut impl Rng,
    pick: &Pick<'_>,
    candidates: &[&Member],
) -> Option<(UpstreamVersion, Share)> {
    let Some(shares) = pick.shares.services.get(pick.service) else {
        let drawn = candidates.get(rng.random_range(0..candidates.len().max(1)))?;
        return Some((drawn.version.clone(), Share::ALL));
    };
    let available =
        |entry: &VersionShare| candidates.iter().any(|member| member.version == entry.version);
    let drawn = draw(rng, shares).filter(|entry| available(entry));
    let settled = || shares.iter().find(|entry| entry.by.is_none() && available(entry));
    let whole = || shares.iter().find(|entry| entry.share == Share::ALL && available(entry));
    let entry = drawn.or_else(settled).or_else(whole)?;
    Some((entry.version.clone(), entry.share))
}

fn draw<'a>(rng: &mut impl Rng, shares: &'a [VersionShare]) -> Option<&'a VersionShare> {
    let points = |entry: &VersionShare| u32::from(entry.share.basis_points());
    let sum: u32 = shares.iter().map(points).sum();
    if sum == 0 {
        return None;
    }
    let mut at = rng.random_range(0..sum);
    for entry in shares {
        if at < points(entry) {
            return Some(entry);
        }
        at -= points(entry);
    }
    None
}
