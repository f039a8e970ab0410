//! Which version an ordered move starts from.

use super::{MoveSpec, OutcomeKind};
use std::collections::BTreeMap;
use sycamore_types::prelude::*;

/// The version that an order to move `service` to `to` starts from: where the service's last move
/// left it, if that version serves, else the one that serves most often. A version that was just
/// taken back may serve on the most instances and must not be gone back to.
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
    let last = moves.filter(|(spec, _)| spec.service == *service);
    let last = last.max_by_key(|(spec, _)| spec.start).map(|(spec, outcome)| match outcome {
        Some(OutcomeKind::Done) => &spec.to,
        Some(OutcomeKind::TakenBack) | None => &spec.from,
    });
    let most = || counts.iter().max_by_key(|(_, count)| **count).map(|(version, _)| *version);
    last.filter(|version| counts.contains_key(version)).or_else(most).cloned()
}
