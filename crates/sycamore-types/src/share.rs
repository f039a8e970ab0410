//! Shares of a service's traffic that its versions receive.

use crate::id::{MoveId, ServiceName, UpstreamVersion};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Share of traffic in basis points, 0 to 10,000.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "u16", into = "u16")]
pub struct Share(u16);

/// Error of a number of basis points above 10,000.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidShare(u16);

impl fmt::Display for InvalidShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} basis points are out of range; expected 0 to {}", self.0, Share::ALL.0)
    }
}

impl std::error::Error for InvalidShare {}

impl TryFrom<u16> for Share {
    type Error = InvalidShare;

    fn try_from(points: u16) -> Result<Self, InvalidShare> {
        match points <= Self::ALL.0 {
            true => Ok(Self(points)),
            false => Err(InvalidShare(points)),
        }
    }
}

impl From<Share> for u16 {
    fn from(share: Share) -> Self {
        share.0
    }
}

impl Share {
    /// Share of a version that receives no traffic.
    pub const NONE: Share = Share(0);
    /// Share of a version that receives all traffic.
    pub const ALL: Share = Share(10_000);

    /// Creates a share of `points` basis points, capped at [`Share::ALL`].
    pub const fn from_basis_points(points: u16) -> Self {
        if points > 10_000 {
            Share(10_000)
        } else {
            Share(points)
        }
    }

    /// Returns the share in basis points, 0 to 10,000.
    pub const fn basis_points(self) -> u16 {
        self.0
    }

    /// Returns the share as a fraction, 0.0 to 1.0.
    pub fn as_fraction(self) -> f64 {
        f64::from(self.0) / 10_000.0
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}%", f64::from(self.0) / 100.0)
    }
}

/// Share of traffic that a version of a service receives, and the move that sets it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionShare {
    /// Version that receives the share.
    pub version: UpstreamVersion,
    /// Share of the service's traffic.
    pub share: Share,
    /// Move that sets the share; `None` for the stable version, which no move rolls out.
    pub by: Option<MoveId>,
}

/// Traffic shares of the versions of each service. A version without an entry receives nothing; a
/// service without an entry is not split, and all of its versions receive traffic.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareTable {
    /// Versions and their shares, by service.
    pub services: BTreeMap<ServiceName, Vec<VersionShare>>,
}

impl ShareTable {
    /// Returns the share of `version` of `service`; [`Share::ALL`] where the service is not split.
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
