//! Shares of a service's traffic between its versions.

use crate::id::{MoveId, ServiceName, UpstreamVersion};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// A share of traffic in basis points: 10,000 is all of it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Share(u16);

impl Share {
    /// No traffic.
    pub const NONE: Share = Share(0);
    /// All traffic.
    pub const ALL: Share = Share(10_000);

    /// A share of `points` basis points, capped at [`Share::ALL`].
    pub const fn from_basis_points(points: u16) -> Self {
        if points > 10_000 {
            Share(10_000)
        } else {
            Share(points)
        }
    }

    /// The share in basis points.
    pub const fn basis_points(self) -> u16 {
        self.0
    }

    /// The share as a fraction, 0.0 to 1.0.
    pub fn as_fraction(self) -> f64 {
        f64::from(self.0) / 10_000.0
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}%", f64::from(self.0) / 100.0)
    }
}

/// The share that one version of a service gets, and who asked for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionShare {
    /// The version.
    pub version: UpstreamVersion,
    /// Its share of the service's traffic.
    pub share: Share,
    /// The move that sets the share; `None` for the settled version.
    pub by: Option<MoveId>,
}

/// For each service, its versions with their shares. A version that is not listed gets nothing; a
/// service that is not listed is not split and any version serves it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareTable {
    /// The shares by service.
    pub services: BTreeMap<ServiceName, Vec<VersionShare>>,
}

impl ShareTable {
    /// The share of `version` of `service`; all of it where the service is not split.
    pub fn share_of(&self, service: &ServiceName, version: &UpstreamVersion) -> Share {
        match self.services.get(service) {
            None => Share::ALL,
            Some(versions) => versions
                .iter()
                .find(|entry| entry.version == *version)
                .map_or(Share::NONE, |entry| entry.share),
        }
    }
}
