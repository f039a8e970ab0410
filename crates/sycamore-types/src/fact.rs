//! Facts that nodes gossip without consensus: each one either reduces what nodes may do, or repeats
//! or satisfies a row of the platform's table, and the set of facts only grows until they expire.

use crate::id::{DataCentre, Fingerprint, MoveId, ServiceName, UpstreamVersion};
use crate::resource::ConfigHead;
use crate::stamp::Stamp;
use crate::time::WallTime;
use serde::{Deserialize, Serialize};

/// Fact about a version, a move, a request or the configuration that nodes spread by gossip.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "fact", rename_all = "kebab-case")]
pub enum Fact {
    /// Verdict that a version is bad: it gets no more calls, and the verdict is never withdrawn.
    BadVersion {
        /// Service whose version is bad.
        service: ServiceName,
        /// Version that was found bad.
        version: UpstreamVersion,
        /// Move that rolled the version out.
        by: MoveId,
        /// Reason of the verdict for the move's report, one sentence.
        reason: String,
        /// Time of the verdict; the earliest one is kept.
        at: Stamp,
    },
    /// Abort of a move by an operator; the move is taken back even while the platform is
    /// unreachable.
    Aborted {
        /// Move that was aborted.
        by: MoveId,
        /// Service of the aborted move.
        service: ServiceName,
        /// Version that the move rolled out and that gets no more calls.
        version: UpstreamVersion,
        /// Time of the abort; the earliest one is kept.
        at: Stamp,
    },
    /// Quarantine of a request that crashes upstreams; every node refuses it until it expires.
    Quarantined {
        /// Fingerprint of the request, equal for all of its repeats.
        fingerprint: Fingerprint,
        /// End of the quarantine.
        until: WallTime,
    },
    /// Crash of an instance while it ran a request.
    CrashSeen {
        /// Fingerprint of the request that ran.
        fingerprint: Fingerprint,
        /// Identifier of the crash: hash of instance and incarnation.
        crash: u64,
        /// Time after which the crash no longer counts against the request.
        until: WallTime,
    },
    /// Highest configuration head that was seen.
    Head(ConfigHead),
    /// Copy of a move's row of the platform's table, so that not every node reads the table.
    MoveRow {
        /// Move that the row describes.
        mv: MoveId,
        /// Revision of the row; the copy with the highest one is kept.
        revision: u64,
        /// Row in JSON, as the platform's table holds it; at most [`MAX_ROW_BYTES`].
        row: String,
        /// Time after which the copy may be dropped.
        until: WallTime,
    },
    /// Clearance of one step of a move's schedule: the evidence that the step requires has been
    /// seen. A clearance permits no more than the move's row does.
    Cleared {
        /// Move whose step is cleared.
        by: MoveId,
        /// Index of the cleared step in the move's schedule, from 0.
        step: u16,
        /// Time of the clearance; the earliest one is kept.
        at: Stamp,
        /// Time after which the fact may be dropped.
        until: WallTime,
    },
    /// Whether operators have taken a data centre out of use.
    OutOfUse {
        /// Data centre whose upstreams are to get no calls.
        data_centre: DataCentre,
        /// Revision of the operators' row, or of its removal; the highest one is kept.
        revision: u64,
        /// Whether the data centre is out of use.
        is_out: bool,
    },
}

/// Maximum size of the row in a [`Fact::MoveRow`], in bytes.
pub const MAX_ROW_BYTES: usize = 4 << 10;

/// Key of a fact: of several facts with one key, [`Fact::replaces`] selects the one to keep.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FactKey {
    /// Service and version that were found bad.
    BadVersion(ServiceName, UpstreamVersion),
    /// Move that was aborted.
    Aborted(MoveId),
    /// Request that was quarantined.
    Quarantined(Fingerprint),
    /// Request and the crash during which it ran.
    CrashSeen(Fingerprint, u64),
    /// Configuration head; a node keeps one.
    Head,
    /// Move whose row was copied.
    MoveRow(MoveId),
    /// Move and the index of its cleared step.
    Cleared(MoveId, u16),
    /// Data centre that was taken out of use or back into use.
    OutOfUse(DataCentre),
}

impl Fact {
    /// Returns the key under which a node stores the fact.
    pub fn key(&self) -> FactKey {
        match self {
            Fact::BadVersion { service, version, .. } => {
                FactKey::BadVersion(service.clone(), version.clone())
            }
            Fact::Aborted { by, .. } => FactKey::Aborted(by.clone()),
            Fact::Quarantined { fingerprint, .. } => FactKey::Quarantined(*fingerprint),
            Fact::CrashSeen { fingerprint, crash, .. } => FactKey::CrashSeen(*fingerprint, *crash),
            Fact::Head(_) => FactKey::Head,
            Fact::MoveRow { mv, .. } => FactKey::MoveRow(mv.clone()),
            Fact::Cleared { by, step, .. } => FactKey::Cleared(by.clone(), *step),
            Fact::OutOfUse { data_centre, .. } => FactKey::OutOfUse(data_centre.clone()),
        }
    }

    /// Returns the time after which the fact may be dropped; `None` for facts that are kept
    /// forever.
    pub fn expires(&self) -> Option<WallTime> {
        match self {
            Fact::Quarantined { until, .. }
            | Fact::CrashSeen { until, .. }
            | Fact::MoveRow { until, .. }
            | Fact::Cleared { until, .. } => Some(*until),
            Fact::BadVersion { .. }
            | Fact::Aborted { .. }
            | Fact::Head(_)
            | Fact::OutOfUse { .. } => None,
        }
    }

    /// Returns whether `self` replaces `other`, a fact with the same key. The comparison is a total
    /// order on the fields that matter, so that all nodes keep the same fact whatever the order of
    /// arrival.
    pub fn replaces(&self, other: &Fact) -> bool {
        match (self, other) {
            (Fact::Head(new), Fact::Head(old)) => new > old,
            (
                Fact::MoveRow { revision: new, until: new_until, row: new_row, .. },
                Fact::MoveRow { revision: old, until: old_until, row: old_row, .. },
            ) => (new, new_until, new_row) > (old, old_until, old_row),
            (Fact::Quarantined { until: new, .. }, Fact::Quarantined { until: old, .. })
            | (Fact::CrashSeen { until: new, .. }, Fact::CrashSeen { until: old, .. }) => new > old,
            (
                Fact::BadVersion { at: new, by: new_by, reason: new_reason, .. },
                Fact::BadVersion { at: old, by: old_by, reason: old_reason, .. },
            ) => (new, new_by, new_reason) < (old, old_by, old_reason),
            (
                Fact::Aborted { at: new, service: new_service, version: new_version, .. },
                Fact::Aborted { at: old, service: old_service, version: old_version, .. },
            ) => (new, new_service, new_version) < (old, old_service, old_version),
            (
                Fact::Cleared { at: new, until: new_until, .. },
                Fact::Cleared { at: old, until: old_until, .. },
            ) => (new, old_until) < (old, new_until),
            (
                Fact::OutOfUse { revision: new, is_out: new_out, .. },
                Fact::OutOfUse { revision: old, is_out: old_out, .. },
            ) => (new, new_out) > (old, old_out),
            _ => false,
        }
    }
}
