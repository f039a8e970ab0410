//! Rate caps of the platform.

use std::time::Duration;

/// A token bucket that holds at most one second's worth.
#[derive(Debug, Clone)]
pub struct RateCap {
    per_s: f64,
    tokens: f64,
    last: Duration,
}

impl RateCap {
    /// A full bucket of `per_s` requests a second.
    pub fn new(per_s: u32) -> Self {
        Self { per_s: f64::from(per_s), tokens: f64::from(per_s), last: Duration::ZERO }
    }

    /// Takes one token at `now`, counted from any fixed start; false where there is none.
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

/// The platform's caps.
#[derive(Debug, Clone)]
pub struct RateCaps {
    /// Reads.
    pub reads: RateCap,
    /// Writes.
    pub writes: RateCap,
}

impl RateCaps {
    /// Caps of so many reads and writes a second.
    pub fn new(reads_per_s: u32, writes_per_s: u32) -> Self {
        Self { reads: RateCap::new(reads_per_s), writes: RateCap::new(writes_per_s) }
    }
}
