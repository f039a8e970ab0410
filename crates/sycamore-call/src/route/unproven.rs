//! Concentration of an unproven version's calls on few of its instances.
//!
//! A version that fails only under load would show it late if its small share were spread over all
//! of its instances. So its instances are filled one after the other to the mean utilisation of the
//! stable version's instances, and no further, since versions are compared at equal load.

use super::Router;
use rand::Rng;
use sycamore_types::prelude::*;

/// Fraction of the calls that are spread over all instances, so that each instance shows that it
/// works.
const SPREAD_FRACTION: f64 = 0.2;
/// Minimum utilisation to which an instance is filled, for when the stable version is nearly idle.
const MIN_TARGET_UTILISATION: f64 = 0.1;

/// Returns whether `version` of `service` is unproven: a move gives it less than the whole share.
pub fn is_unproven(shares: &ShareTable, service: &ServiceName, version: &UpstreamVersion) -> bool {
    let versions = shares.services.get(service);
    versions
        .into_iter()
        .flatten()
        .any(|entry| entry.version == *version && entry.by.is_some() && entry.share < Share::ALL)
}

impl Router {
    /// Returns the first instance that is utilised less than the mean of `others`; `None` where the
    /// call is to be spread or all instances are filled.
    pub(super) fn pick_concentrated<'a>(
        &mut self,
        now: Time,
        of_version: &[&'a Member],
        others: &[&Member],
    ) -> Option<&'a Member> {
        if self.rng.random_bool(SPREAD_FRACTION) || others.is_empty() {
            return None;
        }
        let target = self.mean_utilisation(now, others).max(MIN_TARGET_UTILISATION);
        of_version.iter().copied().find(|member| self.utilisation(now, &member.instance) < target)
    }

    fn mean_utilisation(&self, now: Time, members: &[&Member]) -> f64 {
        let sum: f64 = members.iter().map(|member| self.utilisation(now, &member.instance)).sum();
        sum / members.len().max(1) as f64
    }
}
