//! Row values that store the identifiers of the last operations that wrote them.

use serde::{Deserialize, Serialize};
use sycamore_types::prelude::*;

/// Number of operations before the last one whose identifiers a row stores.
pub const RECENT_OPS: usize = 16;

/// Row value with the identifiers of the last operations that changed the row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamped<T> {
    /// Operation that wrote this value.
    pub op: OpId,
    /// Operations before `op`, latest first, at most [`RECENT_OPS`].
    #[serde(default)]
    pub recent: Vec<OpId>,
    /// Fields of the value itself, stored together with `op` and `recent` in the same JSON object.
    #[serde(flatten)]
    pub body: T,
}

impl<T> Stamped<T> {
    /// Builds the value with which the operation `op` replaces `base`, which is `None` if the row
    /// is absent.
    pub fn after<U>(base: Option<&Stamped<U>>, op: OpId, body: T) -> Self {
        let recent = base.map(|base| base.ops().take(RECENT_OPS).collect()).unwrap_or_default();
        Self { op, recent, body }
    }

    /// Iterates over the stored operations, latest first, including the one that wrote this value.
    pub fn ops(&self) -> impl Iterator<Item = OpId> + '_ {
        std::iter::once(self.op).chain(self.recent.iter().copied())
    }

    /// Returns the number of operations after `op`, or `None` if `op` is not among the stored ones.
    pub fn age(&self, op: OpId) -> Option<usize> {
        self.ops().position(|known| known == op)
    }

    /// Returns whether every operation since the row was created is stored.
    pub fn is_complete(&self) -> bool {
        self.recent.len() < RECENT_OPS
    }
}
