//! `[moves]`: release moves and the time line.

use crate::unit::{Percent, Span};
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DisplayFromStr};
use std::time::Duration;
use sycamore_types::share::Share;

/// Release moves and the time line.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Moves {
    /// Share of an unproven version where the sheet names none.
    #[serde_as(as = "Percent")]
    pub unproven_share: Share,
    /// Time between two evidence summaries.
    #[serde_as(as = "Span")]
    pub evidence_interval: Duration,
    /// Events of the time line kept in memory.
    #[serde_as(as = "DisplayFromStr")]
    pub events: u32,
    /// Keep events in the object store as well.
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
