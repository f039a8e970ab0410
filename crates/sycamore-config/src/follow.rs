//! Choice between reading the platform's change feed and listing its rows.

use sycamore_types::prelude::*;

/// Read of the platform's operator rows to send next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextRead {
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
pub fn choose_read(taken: ConfigVersion, known: Option<ConfigVersion>) -> NextRead {
    match known {
        Some(known) if known > taken => NextRead::Rows,
        Some(_) | None => NextRead::Changes,
    }
}
