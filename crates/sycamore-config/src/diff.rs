//! What changes from one manifest to the next.

use crate::manifest::Manifest;
use std::collections::BTreeSet;
use sycamore_types::prelude::*;

/// The difference between two manifests. A changed resource is both added and removed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Diff {
    /// In the new manifest only.
    pub added: Vec<ContentHash>,
    /// In the old manifest only.
    pub removed: Vec<ContentHash>,
    /// In both.
    pub kept: usize,
}

impl Diff {
    /// The difference from `old` to `new`.
    pub fn between(old: &Manifest, new: &Manifest) -> Self {
        let olds: BTreeSet<ContentHash> = old.resources.iter().copied().collect();
        let news: BTreeSet<ContentHash> = new.resources.iter().copied().collect();
        Self {
            added: news.difference(&olds).copied().collect(),
            removed: olds.difference(&news).copied().collect(),
            kept: olds.intersection(&news).count(),
        }
    }

    /// Whether the two hold the same resources.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty()
    }
}
