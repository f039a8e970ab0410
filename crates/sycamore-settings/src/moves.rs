//! Section `[moves]`: settings of release moves and the timeline.

use crate::unit::{Percent, Span};
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DisplayFromStr};
use std::time::Duration;
use sycamore_types::share::Share;

/// Settings of release moves and the timeline, section `[moves]`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Moves {
    /// Largest share of calls for a version that is not proven yet, unless the sheet sets one.
    #[serde_as(as = "Percent")]
    pub unproven_share: Share,
    /// Interval between two evidence summaries.
    #[serde_as(as = "Span")]
    pub evidence_interval: Duration,
    /// Number of timeline events kept in memory.
    #[serde_as(as = "DisplayFromStr")]
    pub events: u32,
    /// Whether timeline events are also written to the object store.
    #[serde_as(as = "DisplayFromStr")]
    pub archive: bool,
}

impl Default for Moves {
    fn default() -> Self {
        Self {
            unproven_share: Share::from_basis_points(500),
            evidence_interval: Duration::from_millis(500),
            events: 4_096,
            archive: true,
        }
    }
}
