//! Knowledge of configurations above the one in force, which tells whether that one is out of date.
//!
//! A node that is out of date can't tell that something is absent from the configuration: it may
//! have been added by the version that the node lacks.

use std::collections::BTreeMap;
use sycamore_types::prelude::*;

/// Reason for which a node's configuration is out of date.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutOfDate {
    /// The node, or a peer that told it, has rejected a newer version, or the node can't read the
    /// operators' row as it is too large.
    Rejected,
    /// The node knows of a newer version that it has not applied yet.
    Behind,
}

/// Upper bound on the peers whose rejected versions are kept; the one that expires first is dropped.
const MAX_PEERS: usize = 16;

/// Version that a peer rejected, as it told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PeerRejected {
    version: ConfigVersion,
    /// Time from which the version no longer counts unless the peer tells it again.
    until: Time,
}

/// Versions above the one in force that a node knows of.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NewerVersions {
    /// Highest version whose head the node rejected, whether or not it is above the one in force.
    rejected: Option<ConfigVersion>,
    /// Version of the operators' row as the node read it last, if it rejected that.
    rejected_row: Option<ConfigVersion>,
    /// Versions that peers rejected.
    peers: BTreeMap<InstanceId, PeerRejected>,
    /// Whether the operators' row was too large at the last read, so that no version is known of it.
    is_row_too_large: bool,
    /// Whether a version above the one in force is known and not rejected.
    is_behind: bool,
}

impl NewerVersions {
    /// Records that the node rejected the head of `version`.
    pub fn record_rejected(&mut self, version: ConfigVersion) {
        self.rejected = self.rejected.max(Some(version));
    }

    /// Records that the node read `version` as the operators' row and rejected it. Such a version has
    /// no head that spreads, so the node has to tell its peers.
    pub fn record_rejected_row(&mut self, version: ConfigVersion) {
        self.rejected_row = Some(version);
    }

    /// Records that the node read a valid operators' row, which replaces one that it rejected,
    /// whatever their versions.
    pub fn record_valid_row(&mut self) {
        self.rejected_row = None;
    }

    /// Returns the version of the operators' row if the node rejected it and it is above `in_force`. What peers told isn't included: nodes that repeat each other's words would never
    /// forget a false one.
    pub fn rejected_row_above(&self, in_force: ConfigVersion) -> Option<ConfigVersion> {
        self.rejected_row.filter(|version| *version > in_force)
    }

    /// Records that `peer` told which version it `rejected`, `None` if none, in place of what it told
    /// before. The version counts until `until`, so that a peer that is gone can't make the node
    /// refuse requests for good.
    pub fn record_peer_rejected(
        &mut self,
        now: Time,
        peer: &InstanceId,
        rejected: Option<ConfigVersion>,
        until: Time,
    ) {
        self.peers.retain(|known, told| known != peer && now < told.until);
        let Some(version) = rejected else { return };
        if self.peers.len() >= MAX_PEERS {
            let first = self.peers.iter().min_by_key(|(_, told)| told.until);
            if let Some(first) = first.map(|(known, _)| known.clone()) {
                self.peers.remove(&first);
            }
        }
        self.peers.insert(peer.clone(), PeerRejected { version, until });
    }

    /// Records whether the operators' row is too large to be read. Such a row can't be in force: it is
    /// a newer configuration, whatever its version.
    pub fn record_row_too_large(&mut self, is_too_large: bool) {
        self.is_row_too_large = is_too_large;
    }

    /// Records whether a version above the one in force is known and not rejected.
    pub fn record_behind(&mut self, is_behind: bool) {
        self.is_behind = is_behind;
    }

    /// Returns the highest version that the node or, as they told, its peers rejected, if it is above
    /// `in_force`.
    pub fn rejected_above(&self, now: Time, in_force: ConfigVersion) -> Option<ConfigVersion> {
        let told = self.peers.values().filter(|told| now < told.until).map(|told| told.version);
        self.rejected.max(self.rejected_row).max(told.max()).filter(|version| *version > in_force)
    }

    /// Returns the reason for which version `in_force` is out of date; `None` if it may be the
    /// newest.
    ///
    /// A newer version counts as soon as it is known: the time in which it must be in force runs from
    /// its acknowledgement to the operator, which the node doesn't see.
    pub fn out_of_date(&self, now: Time, in_force: ConfigVersion) -> Option<OutOfDate> {
        if self.is_row_too_large || self.rejected_above(now, in_force).is_some() {
            return Some(OutOfDate::Rejected);
        }
        self.is_behind.then_some(OutOfDate::Behind)
    }
}
