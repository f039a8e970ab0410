//! Polling interval of the head row, derived from a read budget for the whole fleet.

use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::time::Duration;

/// Upper bound on the doublings of the polling interval after consecutive failures.
const MAX_DOUBLINGS: u32 = 3;

/// Read budget for polling the head row.
#[derive(Debug, Clone, PartialEq)]
pub struct PollSettings {
    /// Reads of the head row per second, summed over all nodes.
    pub fleet_reads_per_s: f64,
    /// Lower bound on one node's mean polling interval.
    pub min_interval: Duration,
}

impl Default for PollSettings {
    fn default() -> Self {
        Self { fleet_reads_per_s: 20.0, min_interval: Duration::from_millis(200) }
    }
}

impl PollSettings {
    /// Returns the delay before the next read by one of `nodes` nodes after `failures` consecutive
    /// failures.
    ///
    /// The delay is uniformly distributed between 0.5 and 1.5 times the mean interval, which
    /// doubles with each failure, up to a factor of eight. `seed` seeds the random draw.
    pub fn delay(&self, nodes: usize, failures: u32, seed: u64) -> Duration {
        let mean = Duration::from_secs_f64(nodes.max(1) as f64 / self.fleet_reads_per_s);
        let mean = mean.max(self.min_interval) * (1 << failures.min(MAX_DOUBLINGS));
        mean.mul_f64(SmallRng::seed_from_u64(seed).random_range(0.5..1.5))
    }
}
