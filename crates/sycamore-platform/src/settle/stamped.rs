//! Row values with the identifiers of the operations that made them.

use serde::{Deserialize, Serialize};
use sycamore_types::prelude::*;

/// Operations that a row remembers besides the last one.
pub const RECENT_OPS: usize = 16;

/// A row's value with the operations that led to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamped<T> {
    /// The operation that wrote the value.
    pub op: OpId,
    /// Operations before it, latest first, at most [`RECENT_OPS`].
    #[serde(default)]
    pub recent: Vec<OpId>,
    /// The value's own fields.
    #[serde(flatten)]
    pub body: T,
}

impl<T> Stamped<T> {
    /// The value that `op` writes over `base`.
    pub fn after<U>(base: Option<&Stamped<U>>, op: OpId, body: T) -> Self {
        let recent = base.map(|base| base.ops().take(RECENT_OPS).collect()).unwrap_or_default();
        Self { op, recent, body }
    }

    /// The operations that led to the value, latest first.
    pub fn ops(&self) -> impl Iterator<Item = OpId> + '_ {
        std::iter::once(self.op).chain(self.recent.iter().copied())
    }

    /// How many operations came after `op`; `None` where the value does not remember it.
    pub fn age(&self, op: OpId) -> Option<usize> {
        self.ops().position(|known| known == op)
    }

    /// Whether every operation since the row was absent is remembered.
    pub fn is_complete(&self) -> bool {
        self.recent.len() < RECENT_OPS
    }
}
