//! Knowledge of configurations above the one in force, which tells whether that one is out of date.
//!
//! A node that is out of date can't tell that something is absent from the configuration: it may
//! have been added by the version that the node lacks.

use std::time::Duration;
use sycamore_types::prelude::*;

/// Reason for which a node's configuration is out of date.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutOfDate {
    /// The node has rejected a newer version.
    Rejected,
    /// The node has known of a newer version for too long without applying it.
    Behind,
}

/// Versions above the one in force that a node knows of.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NewerVersions {
    /// Highest rejected version, whether or not it is above the one in force.
    rejected: Option<ConfigVersion>,
    behind_since: Option<Time>,
}

impl NewerVersions {
    /// Records that the node rejected `version`.
    pub fn record_rejected(&mut self, version: ConfigVersion) {
        self.rejected = self.rejected.max(Some(version));
    }

    /// Records the time since which a version above the one in force is known and not rejected, as
    /// [`crate::Apply::behind_since`] returns it; `None` if none is.
    pub fn record_behind(&mut self, since: Option<Time>) {
        self.behind_since = since;
    }

    /// Returns the highest rejected version if it is above `in_force`.
    pub fn rejected_above(&self, in_force: ConfigVersion) -> Option<ConfigVersion> {
        self.rejected.filter(|version| *version > in_force)
    }

    /// Returns the reason for which version `in_force` is out of date; `None` if it may be the
    /// newest, or if a newer one has been known for at most `apply_within` and not been rejected.
    pub fn out_of_date(
        &self,
        now: Time,
        in_force: ConfigVersion,
        apply_within: Duration,
    ) -> Option<OutOfDate> {
        if self.rejected_above(in_force).is_some() {
            return Some(OutOfDate::Rejected);
        }
        let is_late = self.behind_since.is_some_and(|since| now.since(since) > apply_within);
        is_late.then_some(OutOfDate::Behind)
    }
}
