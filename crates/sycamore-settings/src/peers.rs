//! Section `[peers]`: settings of the membership protocol.

use crate::unit::Span;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::time::Duration;

/// Timing of the failure detector of the membership protocol, section `[peers]`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Peers {
    /// Interval between two probes of the failure detector.
    #[serde_as(as = "Span")]
    pub probe_interval: Duration,
    /// Longest time that a probed member may take to answer; shorter than `probe_interval`.
    #[serde_as(as = "Span")]
    pub probe_timeout: Duration,
    /// Time that a suspected member has to refute the suspicion before it is declared dead.
    #[serde_as(as = "Span")]
    pub suspicion: Duration,
}

impl Default for Peers {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            suspicion: Duration::from_secs(4),
        }
    }
}
