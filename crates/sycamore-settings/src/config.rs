//! Section `[config]`: settings of finding and fetching configurations.

use crate::unit::{Size, Span};
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DisplayFromStr};
use std::time::Duration;

/// Part of [`Config::apply_within`] for which a node may go without news of the rows.
const MAX_AGE_SHARE: f64 = 0.4;

/// Settings of finding and fetching configurations, section `[config]`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Longest time without bytes of a fetch from a peer before the next source is asked. It doubles
    /// with each further silent peer for the same version, from the second on.
    #[serde_as(as = "Span")]
    pub fetch_timeout: Duration,
    /// Memory limit of the cache of objects that peers may fetch, in bytes.
    #[serde_as(as = "Size")]
    pub object_cache: u64,
    /// Number of nodes of each data centre that watch the rows which operators write to the
    /// platform's table; the other nodes get the changes from them.
    #[serde_as(as = "DisplayFromStr")]
    pub watchers_per_data_centre: u32,
    /// Time from its acknowledgement within which a change must be in force on every node. The age
    /// of its knowledge from which a node reads the rows itself follows from it.
    #[serde_as(as = "Span")]
    pub apply_within: Duration,
    /// Longest time that one watch request waits for a change.
    #[serde_as(as = "Span")]
    pub watch_time: Duration,
}

impl Config {
    /// Returns the age of a node's knowledge of the rows above which it reads them itself; the rest
    /// of [`Config::apply_within`] is left for that read over a slow link.
    pub fn max_age(&self) -> Duration {
        self.apply_within.mul_f64(MAX_AGE_SHARE)
    }
}

impl Default for Config {
    fn default() -> Self {
        Self {
            fetch_timeout: Duration::from_millis(500),
            object_cache: 16 << 20,
            watchers_per_data_centre: 2,
            apply_within: Duration::from_secs(14),
            watch_time: Duration::from_secs(20),
        }
    }
}
