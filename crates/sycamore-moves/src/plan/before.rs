//! Selection of the old version for a move that is ordered by its new version only.

use super::{MoveSpec, OutcomeKind};
use std::collections::BTreeMap;
use sycamore_types::prelude::*;

/// Returns the old version for a move of `service` to `to`: the version that the service's last
/// move left in force, if an instance serves it, or else the version that most instances serve. A
/// version that was just taken back may still be the one on most instances, but must not get
/// traffic again. `None` if no other version than `to` is served.
pub fn version_before<'a>(
    service: &ServiceName,
    to: &UpstreamVersion,
    moves: impl Iterator<Item = (&'a MoveSpec, Option<OutcomeKind>)>,
    serving: impl Iterator<Item = &'a UpstreamVersion>,
) -> Option<UpstreamVersion> {
    let mut counts: BTreeMap<&UpstreamVersion, usize> = BTreeMap::new();
    for version in serving.filter(|version| *version != to) {
        *counts.entry(version).or_default() += 1;
    }
    let of_service = moves.filter(|(spec, _)| spec.service == *service);
    let left_in_force =
        of_service.max_by_key(|(spec, _)| spec.start).map(|(spec, outcome)| match outcome {
            Some(OutcomeKind::Done) => &spec.to,
            Some(OutcomeKind::TakenBack) | None => &spec.from,
        });
    let most_frequent =
        || counts.iter().max_by_key(|(_, count)| **count).map(|(version, _)| *version);
    left_in_force.filter(|version| counts.contains_key(version)).or_else(most_frequent).cloned()
}
