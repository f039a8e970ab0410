//! `[config]`: finding and applying configurations.

use crate::unit::{Size, Span};
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DisplayFromStr};
use std::time::Duration;

/// Finding and applying configurations.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Time that a fetch from a peer may take before the next source is asked.
    #[serde_as(as = "Span")]
    pub fetch_timeout: Duration,
    /// Memory for objects kept to serve to peers.
    #[serde_as(as = "Size")]
    pub object_cache: u64,
    /// Nodes that watch the rows which operators write into the platform's table; the others hear of
    /// changes from them.
    #[serde_as(as = "DisplayFromStr")]
    pub watchers: u32,
    /// Longest time that one watch waits for a change.
    #[serde_as(as = "Span")]
    pub watch_time: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            fetch_timeout: Duration::from_millis(500),
            object_cache: 4 << 20,
            watchers: 16,
            watch_time: Duration::from_secs(20),
        }
    }
}
