//! Following the platform's rows.

use sycamore_types::prelude::*;

/// Where the next look at the rows starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// At the changes after the last one that was told.
    Changes,
    /// At the rows as they are now.
    Rows,
}

/// Where to look after the rows told of `taken` last, while peers tell of `known`.
///
/// Changes are told one by one, each with its whole configuration. In a storm a node on a slow link
/// falls behind by all of them; the rows hold the newest alone.
pub fn next(taken: ConfigVersion, known: Option<ConfigVersion>) -> Next {
    match known {
        Some(known) if known > taken => Next::Rows,
        Some(_) | None => Next::Changes,
    }
}
