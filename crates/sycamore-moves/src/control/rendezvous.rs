//! Rendezvous hashing (Thaler and Ravishankar, 1998): all nodes select the same instances without
//! coordination, and the loss of an instance changes only the selections that contained it.

use sycamore_types::hash::ContentHash;
use sycamore_types::prelude::*;

/// Computes the rendezvous weight of `instance` for the move `mv`.
pub fn score(mv: &MoveId, instance: &InstanceId) -> u64 {
    let hash = ContentHash::of(format!("{mv}\n{instance}").as_bytes());
    hash.0.iter().take(8).fold(0, |score, byte| (score << 8) | u64::from(*byte))
}

/// Returns the `count` instances with the highest weights for the move `mv`, highest first.
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
