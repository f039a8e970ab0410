//! Section `[config]`: settings of finding and fetching configurations.

use crate::unit::{Size, Span};
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DisplayFromStr};
use std::time::Duration;

/// Settings of finding and fetching configurations, section `[config]`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Longest time of a fetch from one peer before the next source is asked.
    #[serde_as(as = "Span")]
    pub fetch_timeout: Duration,
    /// Memory limit of the cache of objects that peers may fetch, in bytes.
    #[serde_as(as = "Size")]
    pub object_cache: u64,
    /// Number of nodes that watch the rows which operators write to the platform's table; the other
    /// nodes get the changes from them.
    #[serde_as(as = "DisplayFromStr")]
    pub watchers: u32,
    /// Longest time that one watch request waits for a change.
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
