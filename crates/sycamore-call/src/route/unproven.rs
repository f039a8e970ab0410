//! Calls of an unproven version go to few of its instances.
//!
//! A version that fails only under load would show it late if its small share were spread over all
//! of its instances. So one instance after the other is loaded as much as those of the settled
//! version are, and no more, since the versions are compared at equal load.

use super::{Pick, Router};
use rand::Rng;
use sycamore_types::prelude::*;

/// Part of the calls that are spread over all instances, so that each shows that it works.
const SPREAD_PART: f64 = 0.2;
/// Least utilisation that an instance is loaded to.
const LEAST_LOAD: f64 = 0.1;

/// Whether a move gives `version` less than the whole.
pub(super) fn is_unproven(pick: &Pick<'_>, version: &UpstreamVersion) -> bool {
    let versions = pick.shares.services.get(pick.service);
    versions
        .into_iter()
        .flatten()
        .any(|entry| entry.version == *version && entry.by.is_some() && entry.share < Share::ALL)
}

impl Router {
    /// The first instance that is less loaded than those of the other version are in the mean; `None`
    /// where the call is to be spread or all are loaded.
    pub(super) fn concentrated<'a>(
        &mut self,
        now: Time,
        of_version: &[&'a Member],
        others: &[&Member],
    ) -> Option<&'a Member> {
        if self.rng.random_bool(SPREAD_PART) || others.is_empty() {
            return None;
        }
        let bound = self.mean_utilisation(now, others).max(LEAST_LOAD);
        of_version.iter().copied().find(|member| self.score(now, &member.instance) < bound)
    }

    fn mean_utilisation(&self, now: Time, members: &[&Member]) -> f64 {
        let sum: f64 = members.iter().map(|member| self.score(now, &member.instance)).sum();
        sum / members.len().max(1) as f64
    }
}
