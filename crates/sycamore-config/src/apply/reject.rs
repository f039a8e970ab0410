//! Why a head is rejected.

use crate::bundle::Fault;
use std::fmt;
use sycamore_types::prelude::*;

/// Faults named in a reason at most.
const MAX_FAULTS: usize = 8;

/// Why a head is rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RejectReason {
    /// The object under its hash is no manifest.
    BadManifest,
    /// Its manifest is that of another version.
    OtherVersion(ConfigVersion),
    /// The same version is in force with another manifest.
    Conflicting,
    /// It is larger than the node allows; holds the bound in bytes.
    TooLarge(usize),
    /// A resource can't be read, which may be one of a newer release of the node.
    BadResource(ContentHash),
    /// Its resources don't make a whole configuration.
    Faulty(Vec<Fault>),
    /// The object store does not have it.
    Absent,
}

impl RejectReason {
    /// Whether the head will be as bad when it is heard of again.
    pub(super) fn is_final(&self) -> bool {
        !matches!(self, RejectReason::Absent)
    }
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RejectReason::BadManifest => f.write_str("the manifest can't be read"),
            RejectReason::OtherVersion(version) => {
                write!(f, "the manifest is that of version {version}")
            }
            RejectReason::Conflicting => {
                f.write_str("the same version is in force with another manifest")
            }
            RejectReason::TooLarge(max) => write!(f, "larger than {max} bytes"),
            RejectReason::BadResource(hash) => write!(f, "resource {hash} can't be read"),
            RejectReason::Faulty(faults) => {
                let named: Vec<String> =
                    faults.iter().take(MAX_FAULTS).map(Fault::to_string).collect();
                write!(f, "{} faults: {}", faults.len(), named.join("; "))
            }
            RejectReason::Absent => f.write_str("the object store does not have it"),
        }
    }
}
