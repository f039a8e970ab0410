//! `[peers]`: membership and spreading.

use crate::unit::Span;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::time::Duration;

/// Membership and spreading.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Peers {
    /// Time between two probes of the failure detector.
    #[serde_as(as = "Span")]
    pub probe_interval: Duration,
    /// Time that a probed member has to answer.
    #[serde_as(as = "Span")]
    pub probe_timeout: Duration,
    /// Time that a suspect has to refute.
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
