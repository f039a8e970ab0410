//! Facts that spread from node to node without agreement. Each makes the system safer, or copies
//! or fulfils what an agreed row says, and a set of them only grows until they expire.

use crate::id::{Fingerprint, MoveId, ServiceName, UpstreamVersion};
use crate::resource::ConfigHead;
use crate::stamp::Stamp;
use crate::time::WallTime;
use serde::{Deserialize, Serialize};

/// A fact that spreads.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "fact", rename_all = "kebab-case")]
pub enum Fact {
    /// A version was found bad: it gets no more work, and the verdict is never unlearnt.
    BadVersion {
        /// The service.
        service: ServiceName,
        /// The bad version.
        version: UpstreamVersion,
        /// The move that started it.
        by: MoveId,
        /// Why, in a sentence, for the report.
        reason: String,
        /// When the verdict fell.
        at: Stamp,
    },
    /// An operator aborted a move; it is taken back, also while the platform is out.
    Aborted {
        /// The move.
        by: MoveId,
        /// The service.
        service: ServiceName,
        /// The version that loses its traffic.
        version: UpstreamVersion,
        /// When.
        at: Stamp,
    },
    /// A request that crashes upstreams; refused everywhere until it expires.
    Quarantined {
        /// Identifies the request across its repeats.
        fingerprint: Fingerprint,
        /// When the quarantine ends.
        until: WallTime,
    },
    /// An instance was seen to crash while it ran a request.
    CrashSeen {
        /// Identifies the request.
        fingerprint: Fingerprint,
        /// Distinguishes crashes: hash of instance and incarnation.
        crash: u64,
        /// When the record expires.
        until: WallTime,
    },
    /// The highest configuration head seen.
    Head(ConfigHead),
    /// A copy of a move's agreed row, so that the platform is not read by every node.
    MoveRow {
        /// The move.
        mv: MoveId,
        /// The row's revision; the highest wins.
        revision: u64,
        /// The row as the platform's table holds it, in JSON; at most [`MAX_ROW_BYTES`].
        row: String,
        /// When the copy may be forgotten.
        until: WallTime,
    },
    /// The evidence that a step of a move's agreed schedule asks for has been seen. It allows no
    /// more than the agreed row does.
    Cleared {
        /// The move.
        by: MoveId,
        /// The step whose guard is met, from 0.
        step: u16,
        /// When.
        at: Stamp,
        /// When the record may be forgotten.
        until: WallTime,
    },
}

/// Longest row that a [`Fact::MoveRow`] carries, in bytes.
pub const MAX_ROW_BYTES: usize = 4 << 10;

/// What two facts must share to be about the same thing.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FactKey {
    /// A version of a service found bad.
    BadVersion(ServiceName, UpstreamVersion),
    /// A move aborted.
    Aborted(MoveId),
    /// A request quarantined.
    Quarantined(Fingerprint),
    /// One crash that one request was part of.
    CrashSeen(Fingerprint, u64),
    /// The configuration head.
    Head,
    /// The agreed row of a move.
    MoveRow(MoveId),
    /// One step of a move's schedule.
    Cleared(MoveId, u16),
}

impl Fact {
    /// What the fact is about.
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
        }
    }

    /// The time after which the fact may be forgotten; `None` where it is kept.
    pub fn expires(&self) -> Option<WallTime> {
        match self {
            Fact::Quarantined { until, .. }
            | Fact::CrashSeen { until, .. }
            | Fact::MoveRow { until, .. }
            | Fact::Cleared { until, .. } => Some(*until),
            Fact::BadVersion { .. } | Fact::Aborted { .. } | Fact::Head(_) => None,
        }
    }

    /// Whether `self` replaces `other`, a fact with the same key. The rule is a total order on what
    /// matters, so that every node keeps the same one whatever the order of arrival.
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
            _ => false,
        }
    }
}
