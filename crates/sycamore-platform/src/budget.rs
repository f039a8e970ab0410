//! The fleet's budget of platform requests: each node holds an equal share as a token bucket.

use std::time::Duration;
use sycamore_types::prelude::*;

/// The platform rates that the whole fleet may use, in requests per second.
#[derive(Debug, Clone, PartialEq)]
pub struct BudgetSettings {
    /// Reads per second of the whole fleet.
    pub reads_per_s: f64,
    /// Writes per second of the whole fleet.
    pub writes_per_s: f64,
    /// Requests that one node may send at once after a quiet time.
    pub burst: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self { reads_per_s: 1_000.0, writes_per_s: 200.0, burst: 16.0 }
    }
}

/// A token bucket.
#[derive(Debug, Clone, PartialEq)]
pub struct TokenBucket {
    per_s: f64,
    burst: f64,
    tokens: f64,
    filled: Time,
}

impl TokenBucket {
    /// A full bucket that refills with `per_s` tokens a second up to `burst`.
    pub fn new(per_s: f64, burst: f64, now: Time) -> Self {
        Self { per_s, burst, tokens: burst, filled: now }
    }

    /// Takes one token.
    ///
    /// # Errors
    /// The time until a token is there.
    pub fn take(&mut self, now: Time) -> Result<(), Duration> {
        self.fill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.per_s))
    }

    /// Changes the rate from `now` on.
    pub fn set_rate(&mut self, per_s: f64, now: Time) {
        self.fill(now);
        self.per_s = per_s;
    }

    fn fill(&mut self, now: Time) {
        let grown = self.per_s * now.since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + grown).min(self.burst);
        self.filled = self.filled.max(now);
    }
}

/// One node's share of the fleet's budget.
#[derive(Debug, Clone, PartialEq)]
pub struct Budget {
    settings: BudgetSettings,
    reads: TokenBucket,
    writes: TokenBucket,
}

impl Budget {
    /// The share of one node among `nodes`.
    pub fn new(settings: BudgetSettings, nodes: usize, now: Time) -> Self {
        let reads = TokenBucket::new(share(settings.reads_per_s, nodes), settings.burst, now);
        let writes = TokenBucket::new(share(settings.writes_per_s, nodes), settings.burst, now);
        Self { settings, reads, writes }
    }

    /// Divides the budget among `nodes` from `now` on.
    pub fn set_nodes(&mut self, nodes: usize, now: Time) {
        self.reads.set_rate(share(self.settings.reads_per_s, nodes), now);
        self.writes.set_rate(share(self.settings.writes_per_s, nodes), now);
    }

    /// Takes the token of one read.
    ///
    /// # Errors
    /// The time until the share allows a read.
    pub fn read(&mut self, now: Time) -> Result<(), Duration> {
        self.reads.take(now)
    }

    /// Takes the token of one write.
    ///
    /// # Errors
    /// The time until the share allows a write.
    pub fn write(&mut self, now: Time) -> Result<(), Duration> {
        self.writes.take(now)
    }
}

fn share(total: f64, nodes: usize) -> f64 {
    total / nodes.max(1) as f64
}
