//! Choice between reading the platform's change feed and listing its rows.
//!
//! The change feed delivers every version in turn, each with its whole configuration, so a node on
//! a slow link falls behind when many versions are written in quick succession. A listing holds
//! only the newest version.

use sycamore_types::prelude::*;

/// Kind of a read of the platform's operator rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextRead {
    /// Reads the changes after the last one received.
    Changes,
    /// Lists the current rows, which skips intermediate versions.
    Rows,
}

/// Sequence of reads of a node that watches the operators' rows. A new sequence begins with a
/// listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowReads {
    next: NextRead,
    /// Newest version that a read has brought, whether or not the node has a newer one from peers.
    taken: ConfigVersion,
    /// Version that peers announced when the current read began.
    known_at_start: Option<ConfigVersion>,
}

impl Default for RowReads {
    fn default() -> Self {
        Self { next: NextRead::Rows, taken: ConfigVersion::default(), known_at_start: None }
    }
}

impl RowReads {
    /// Returns the kind of the next read.
    pub fn next(&self) -> NextRead {
        self.next
    }

    /// Begins the next read while peers announce version `known`.
    pub fn begin(&mut self, known: Option<ConfigVersion>) {
        self.known_at_start = known;
    }

    /// Records that the current read brought `version`.
    pub fn record_version(&mut self, version: ConfigVersion) {
        self.taken = self.taken.max(version);
    }

    /// Ends the current read while peers announce version `known`, and chooses the next.
    ///
    /// A node that is behind its peers lists the rows. After a listing it does so only if peers
    /// announced a higher version meanwhile: a version that they announced before and the listing
    /// did not hold won't be in the next one either.
    pub fn end(&mut self, known: Option<ConfigVersion>) {
        let is_behind = known > Some(self.taken);
        let may_help = self.next == NextRead::Changes || known > self.known_at_start;
        self.next = if is_behind && may_help { NextRead::Rows } else { NextRead::Changes };
    }

    /// Returns the newest version that a read has brought.
    pub fn taken(&self) -> ConfigVersion {
        self.taken
    }

    /// Continues with the changes after a revision at which `version` was the newest.
    pub fn resume(&mut self, version: ConfigVersion) {
        self.next = NextRead::Changes;
        self.record_version(version);
    }

    /// Starts over with a listing, after the platform lost the changes since the last read.
    pub fn restart(&mut self) {
        self.next = NextRead::Rows;
    }
}
