//! Rate limits of the emulated platform.

use std::time::Duration;

/// Token bucket that holds at most the tokens of one second.
#[derive(Debug, Clone)]
pub struct RateCap {
    per_s: f64,
    tokens: f64,
    last: Duration,
}

impl RateCap {
    /// Creates a full bucket for `per_s` requests per second.
    pub fn new(per_s: u32) -> Self {
        Self { per_s: f64::from(per_s), tokens: f64::from(per_s), last: Duration::ZERO }
    }

    /// Takes a token and returns whether there was one; `now` is counted from any fixed point in time.
    pub fn take(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.last).as_secs_f64();
        self.last = now;
        self.tokens = (self.tokens + passed * self.per_s).min(self.per_s.max(1.0));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Rate limits of the platform's stand-in.
#[derive(Debug, Clone)]
pub struct RateCaps {
    /// Limit on reads per second.
    pub reads: RateCap,
    /// Limit on writes per second.
    pub writes: RateCap,
}

impl RateCaps {
    /// Creates limits for `reads_per_s` reads and `writes_per_s` writes per second.
    pub fn new(reads_per_s: u32, writes_per_s: u32) -> Self {
        Self { reads: RateCap::new(reads_per_s), writes: RateCap::new(writes_per_s) }
    }
}
