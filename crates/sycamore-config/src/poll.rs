//! When a node reads the head row, so that the whole fleet stays within one budget.

use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::time::Duration;

/// Most doublings of the interval after failures.
const MAX_DOUBLINGS: u32 = 3;

/// The fleet's budget for looking for changes.
#[derive(Debug, Clone, PartialEq)]
pub struct PollSettings {
    /// Reads of the head row a second by all nodes together.
    pub fleet_reads_per_s: f64,
    /// Shortest mean interval of one node.
    pub least: Duration,
}

impl Default for PollSettings {
    fn default() -> Self {
        Self { fleet_reads_per_s: 20.0, least: Duration::from_millis(200) }
    }
}

impl PollSettings {
    /// Time until the next read by one of `nodes` nodes after `failures` failures in a row: evenly
    /// between half and one and a half of the mean interval, which doubles with each failure up to
    /// eight times. `draw` decides the draw.
    pub fn delay(&self, nodes: usize, failures: u32, draw: u64) -> Duration {
        let mean = Duration::from_secs_f64(nodes.max(1) as f64 / self.fleet_reads_per_s);
        let mean = mean.max(self.least) * (1 << failures.min(MAX_DOUBLINGS));
        mean.mul_f64(SmallRng::seed_from_u64(draw).random_range(0.5..1.5))
    }
}
