//! Section `[hedge]`: settings of second attempts for the slowest calls.

use crate::unit::{Percent, ServiceShares, Span};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::collections::BTreeMap;
use std::time::Duration;
use sycamore_types::id::ServiceName;
use sycamore_types::share::Share;

/// Settings of second attempts, section `[hedge]`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Hedge {
    /// Largest number of second attempts, as a share of a service's calls; 0% for none.
    #[serde_as(as = "Percent")]
    pub extra: Share,
    /// Shares of services that differ from [`Hedge::extra`].
    #[serde_as(as = "ServiceShares")]
    pub services: BTreeMap<ServiceName, Share>,
    /// Share of a route's calls that are faster than one which gets a second attempt.
    #[serde_as(as = "Percent")]
    pub quantile: Share,
    /// Shortest time before a second attempt.
    #[serde_as(as = "Span")]
    pub floor: Duration,
}

impl Default for Hedge {
    fn default() -> Self {
        Self {
            extra: Share::NONE,
            services: BTreeMap::new(),
            quantile: Share::from_basis_points(9_700),
            floor: Duration::from_millis(20),
        }
    }
}
