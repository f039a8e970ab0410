//! Full-jitter exponential backoff (Brooker, "Exponential Backoff and Jitter", 2015).

use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::time::Duration;

/// Largest number of doublings.
const MAX_DOUBLINGS: u32 = 16;

/// Bounds of a backoff.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct BackoffSettings {
    /// Upper bound of the first delay.
    pub base: Duration,
    /// Upper bound of every delay.
    pub cap: Duration,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self { base: Duration::from_millis(100), cap: Duration::from_secs(5) }
    }
}

impl BackoffSettings {
    /// The delay after `failures` failures in a row, drawn evenly between zero and a bound that
    /// doubles with every failure; `seed` decides the draw.
    pub fn delay(&self, failures: u32, seed: u64) -> Duration {
        let factor = 1u32 << failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let bound = self.base.saturating_mul(factor).min(self.cap);
        let draw_seed = seed.wrapping_add(u64::from(failures));
        bound.mul_f64(SmallRng::seed_from_u64(draw_seed).random::<f64>())
    }
}

/// Counts failures in a row and draws the delay after each.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backoff {
    settings: BackoffSettings,
    failures: u32,
    seed: u64,
}

impl Backoff {
    /// A backoff before its first failure; `seed` decides its draws.
    pub fn new(settings: BackoffSettings, seed: u64) -> Self {
        Self { settings, failures: 0, seed }
    }

    /// Failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// The delay after one more failure.
    pub fn fail(&mut self) -> Duration {
        self.failures = self.failures.saturating_add(1);
        self.settings.delay(self.failures, self.seed)
    }

    /// Starts over after a success.
    pub fn succeed(&mut self) {
        self.failures = 0;
    }
}
