//! Resource-level difference between two manifests.

use crate::manifest::Manifest;
use std::cmp::Ordering;
use std::iter::Peekable;
use sycamore_types::prelude::*;

/// Resource hashes that differ between two manifests.
///
/// A modified resource counts as one removed and one added hash.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Diff {
    /// Hashes that only the new manifest contains, ascending.
    pub added: Vec<ContentHash>,
    /// Hashes that only the old manifest contains, ascending.
    pub removed: Vec<ContentHash>,
    /// Number of hashes that both manifests contain.
    pub kept: usize,
}

impl Diff {
    /// Computes which resources differ between the manifests `old` and `new`.
    pub fn between(old: &Manifest, new: &Manifest) -> Self {
        let mut diff = Self::default();
        let (mut old, mut new) = (distinct(old), distinct(new));
        // Both are ascending, so the smaller of the two next hashes can't follow in the other.
        loop {
            let order = match (old.peek(), new.peek()) {
                (Some(old), Some(new)) => old.cmp(new),
                (Some(_), None) => Ordering::Less,
                (None, Some(_)) => Ordering::Greater,
                (None, None) => return diff,
            };
            let removed = if order.is_le() { old.next() } else { None };
            let added = if order.is_ge() { new.next() } else { None };
            match order {
                Ordering::Less => diff.removed.extend(removed),
                Ordering::Equal => diff.kept += 1,
                Ordering::Greater => diff.added.extend(added),
            }
        }
    }

    /// Returns whether both manifests contain the same resources.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty()
    }
}

/// Returns the hashes of the manifest, ascending and each one once.
fn distinct(manifest: &Manifest) -> Peekable<impl Iterator<Item = ContentHash> + '_> {
    manifest.resources.chunk_by(|a, b| a == b).filter_map(|same| same.first()).copied().peekable()
}
