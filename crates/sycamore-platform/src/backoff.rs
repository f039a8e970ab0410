//! Full-jitter exponential backoff (Brooker, "Exponential Backoff and Jitter", 2015).

use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::time::Duration;

/// Largest number of doublings.
const MAX_DOUBLINGS: u32 = 16;

/// Bounds of a backoff.
#[derive(Debug, Clone, PartialEq, Eq)]
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

/// Draws each delay evenly between zero and a bound that doubles with every failure.
#[derive(Debug, Clone)]
pub struct Backoff {
    settings: BackoffSettings,
    failures: u32,
    rng: SmallRng,
}

impl Backoff {
    /// A backoff before its first failure; `seed` decides its draws.
    pub fn new(settings: BackoffSettings, seed: u64) -> Self {
        Self { settings, failures: 0, rng: SmallRng::seed_from_u64(seed) }
    }

    /// Failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// The delay after one more failure.
    pub fn fail(&mut self) -> Duration {
        let bound = self.bound();
        self.failures = self.failures.saturating_add(1);
        bound.mul_f64(self.rng.random::<f64>())
    }

    /// Starts over after a success.
    pub fn succeed(&mut self) {
        self.failures = 0;
    }

    fn bound(&self) -> Duration {
        let factor = 1u32 << self.failures.min(MAX_DOUBLINGS);
        self.settings.base.saturating_mul(factor).min(self.settings.cap)
    }
}
