//! Facts that spread from node to node without agreement. Each makes the system safer, and a set
//! of them only grows until they expire.

use crate::id::{Fingerprint, MoveId, ServiceName, UpstreamVersion};
use crate::resource::ConfigHead;
use crate::stamp::Stamp;
use crate::time::WallTime;
use serde::{Deserialize, Serialize};

/// A fact that spreads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
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
}

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
        }
    }

    /// The time after which the fact may be forgotten; `None` where it is kept.
    pub fn expires(&self) -> Option<WallTime> {
        match self {
            Fact::Quarantined { until, .. } | Fact::CrashSeen { until, .. } => Some(*until),
            Fact::BadVersion { .. } | Fact::Aborted { .. } | Fact::Head(_) => None,
        }
    }
}
