//! Marks revisions in answers with the epoch of the table that they come from.
//!
//! A protocol counts revisions within one epoch. The client adds the epoch to those that it decodes,
//! so that revisions of different epochs are neither equal nor out of order.

use crate::table::{Changes, Conflict, Page, RemovedRow, Revision, Row, Transacted};

/// Value whose revisions can be marked with an epoch.
pub(super) trait InEpoch {
    /// Returns the value with its revisions in `epoch`.
    fn in_epoch(self, epoch: u64) -> Self;
}

impl InEpoch for Revision {
    fn in_epoch(self, epoch: u64) -> Self {
        match self {
            Self::ABSENT => self,
            revision => Self::new(epoch, revision.number()),
        }
    }
}

impl InEpoch for Row {
    fn in_epoch(self, epoch: u64) -> Self {
        Self { revision: self.revision.in_epoch(epoch), ..self }
    }
}

impl InEpoch for Conflict {
    fn in_epoch(self, epoch: u64) -> Self {
        Self { revision: self.revision.in_epoch(epoch), ..self }
    }
}

impl InEpoch for Page {
    fn in_epoch(self, epoch: u64) -> Self {
        Self { rows: self.rows.in_epoch(epoch), at: self.at.in_epoch(epoch), ..self }
    }
}

impl InEpoch for RemovedRow {
    fn in_epoch(self, epoch: u64) -> Self {
        Self { revision: self.revision.in_epoch(epoch), ..self }
    }
}

impl InEpoch for Changes {
    fn in_epoch(self, epoch: u64) -> Self {
        let Self { rows, removed, at } = self;
        Self {
            rows: rows.in_epoch(epoch),
            removed: removed.in_epoch(epoch),
            at: at.in_epoch(epoch),
        }
    }
}

impl InEpoch for Transacted {
    fn in_epoch(self, epoch: u64) -> Self {
        match self {
            Self::Committed { revisions } => {
                let marked = revisions.into_iter().map(|(key, at)| (key, at.in_epoch(epoch)));
                Self::Committed { revisions: marked.collect() }
            }
            Self::Conflicted { conflicts } => {
                Self::Conflicted { conflicts: conflicts.in_epoch(epoch) }
            }
        }
    }
}

impl<T: InEpoch> InEpoch for Vec<T> {
    fn in_epoch(self, epoch: u64) -> Self {
        self.into_iter().map(|each| each.in_epoch(epoch)).collect()
    }
}

impl<T: InEpoch> InEpoch for Option<T> {
    fn in_epoch(self, epoch: u64) -> Self {
        self.map(|each| each.in_epoch(epoch))
    }
}
