//! Exponential backoff with full jitter (Brooker, "Exponential Backoff and Jitter", 2015).

use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::time::Duration;

/// Largest number of times that the upper bound of a delay is doubled; keeps the factor in a `u32`.
const MAX_DOUBLINGS: u32 = 16;

/// Bounds of the delays of a backoff.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct BackoffSettings {
    /// Upper bound of the delay after the first failure.
    pub base: Duration,
    /// Upper bound of all delays.
    pub cap: Duration,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self { base: Duration::from_millis(100), cap: Duration::from_secs(5) }
    }
}

impl BackoffSettings {
    /// Returns the delay after `failures` consecutive failures, drawn uniformly between zero and a
    /// bound that doubles with each failure. `seed` determines the draw.
    pub fn delay(&self, failures: u32, seed: u64) -> Duration {
        let factor = 1u32 << failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let bound = self.base.saturating_mul(factor).min(self.cap);
        let draw_seed = seed.wrapping_add(u64::from(failures));
        bound.mul_f64(SmallRng::seed_from_u64(draw_seed).random::<f64>())
    }
}

/// Counter of consecutive failures that returns the delay after each.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backoff {
    settings: BackoffSettings,
    failures: u32,
    seed: u64,
}

impl Backoff {
    /// Creates a backoff with no failures. `seed` determines the delays.
    pub fn new(settings: BackoffSettings, seed: u64) -> Self {
        Self { settings, failures: 0, seed }
    }

    /// Returns the number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Counts one more failure and returns the delay before the next attempt.
    pub fn record_failure(&mut self) -> Duration {
        self.failures = self.failures.saturating_add(1);
        self.settings.delay(self.failures, self.seed)
    }

    /// Resets the number of failures after a success.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }
}
