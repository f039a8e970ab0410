//! Reasons for which a node rejects a configuration.

use crate::bundle::Fault;
use std::fmt;
use sycamore_types::prelude::*;

/// Upper bound on the validation faults listed in a rejection's text.
const MAX_LISTED_FAULTS: usize = 8;

/// Reason for which a node rejects a configuration head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RejectReason {
    /// The object with the manifest's hash can't be decoded as a manifest.
    BadManifest,
    /// The manifest contains this version instead of the head's.
    OtherVersion(ConfigVersion),
    /// The same version is already in force with a different manifest.
    Conflicting,
    /// The configuration is larger than this limit, in bytes.
    TooLarge(usize),
    /// The resource with this hash can't be decoded, for example because a newer release of the
    /// node encoded it.
    BadResource(ContentHash),
    /// The resources failed validation with these faults.
    Faulty(Vec<Fault>),
    /// The object store has no object for the manifest's hash.
    Absent,
}

impl RejectReason {
    /// Returns whether the rejection is permanent, so that the head is not fetched again.
    pub(super) fn is_final(&self) -> bool {
        !matches!(self, RejectReason::Absent)
    }
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RejectReason::BadManifest => f.write_str("the manifest can't be decoded"),
            RejectReason::OtherVersion(version) => {
                write!(f, "the manifest contains version {version} instead of the head's")
            }
            RejectReason::Conflicting => {
                f.write_str("the same version is in force with a different manifest")
            }
            RejectReason::TooLarge(max) => {
                write!(f, "the configuration is larger than {max} bytes")
            }
            RejectReason::BadResource(hash) => write!(f, "resource {hash} can't be decoded"),
            RejectReason::Faulty(faults) => {
                let listed: Vec<String> =
                    faults.iter().take(MAX_LISTED_FAULTS).map(Fault::to_string).collect();
                write!(f, "validation found {} fault(s): {}", faults.len(), listed.join("; "))
            }
            RejectReason::Absent => f.write_str("the object store has no object for this manifest"),
        }
    }
}
