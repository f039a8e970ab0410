//! Proof of how recent a node's configuration is.
//!
//! A proof states that a version was the newest at a time. It counts for a node whose configuration
//! in force is of that version or a newer one, since that holds all that was acknowledged until then.

use sycamore_types::prelude::*;

/// Latest proofs of a node. Times are of a clock that goes on while the machine is suspended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Freshness {
    /// Time of the latest proof that counts.
    proven_at: Option<Time>,
    /// Latest proof of a version that wasn't in force yet.
    ahead: Option<(ConfigVersion, Time)>,
}

impl Freshness {
    /// Records that `version` was the newest at `at`, while `in_force` is in force.
    pub fn record(&mut self, in_force: ConfigVersion, version: ConfigVersion, at: Time) {
        self.promote(in_force);
        if version <= in_force {
            self.proven_at = self.proven_at.max(Some(at));
        } else if self.ahead.is_none_or(|(_, known)| known < at) {
            self.ahead = Some((version, at));
        }
    }

    /// Returns the time of the latest proof for the version `in_force`; `None` if there is none.
    pub fn proven_at(&mut self, in_force: ConfigVersion) -> Option<Time> {
        self.promote(in_force);
        self.proven_at
    }

    /// Lets a proof count whose version has come into force.
    fn promote(&mut self, in_force: ConfigVersion) {
        if let Some((_, at)) = self.ahead.take_if(|(version, _)| *version <= in_force) {
            self.proven_at = self.proven_at.max(Some(at));
        }
    }
}
