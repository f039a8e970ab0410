//! Rendezvous hashing (Thaler and Ravishankar, 1998): every node picks the same few instances
//! without asking, and the loss of one moves only its own part.

use sycamore_types::hash::ContentHash;
use sycamore_types::prelude::*;

/// The weight of `instance` for `mv`.
pub fn score(mv: &MoveId, instance: &InstanceId) -> u64 {
    let hash = ContentHash::of(format!("{mv}\n{instance}").as_bytes());
    hash.0.iter().take(8).fold(0, |score, byte| (score << 8) | u64::from(*byte))
}

/// The `count` instances with the highest weights for `mv`.
pub fn choose<'a>(
    mv: &MoveId,
    instances: impl IntoIterator<Item = &'a InstanceId>,
    count: usize,
) -> Vec<&'a InstanceId> {
    let mut scored: Vec<_> =
        instances.into_iter().map(|instance| (score(mv, instance), instance)).collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().take(count).map(|(_, instance)| instance).collect()
}
