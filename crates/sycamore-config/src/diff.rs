//! Resource-level difference between two manifests.

use crate::manifest::Manifest;
use std::collections::BTreeSet;
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
        let old_hashes: BTreeSet<ContentHash> = old.resources.iter().copied().collect();
        let new_hashes: BTreeSet<ContentHash> = new.resources.iter().copied().collect();
        Self {
            added: new_hashes.difference(&old_hashes).copied().collect(),
            removed: old_hashes.difference(&new_hashes).copied().collect(),
            kept: old_hashes.intersection(&new_hashes).count(),
        }
    }

    /// Returns whether both manifests contain the same resources.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty()
    }
}
