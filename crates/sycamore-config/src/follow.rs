//! Choice between reading the platform's change feed and listing its rows.

use sycamore_types::prelude::*;

/// Next read of the platform's operator rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Reads the changes after the last one received.
    Changes,
    /// Lists the current rows, which skips intermediate versions.
    Rows,
}

/// Chooses the next read of a node that last took version `taken` while its peers announce `known`.
///
/// The change feed delivers every version in turn, each with its whole configuration, so a node on
/// a slow link falls behind when many versions are written in quick succession. A listing holds
/// only the newest version.
pub fn next(taken: ConfigVersion, known: Option<ConfigVersion>) -> Next {
    match known {
        Some(known) if known > taken => Next::Rows,
        Some(_) | None => Next::Changes,
    }
}
