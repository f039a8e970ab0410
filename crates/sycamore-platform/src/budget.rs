//! Rate limits on platform requests: each node gets an equal share of the fleet's budget.

use std::time::Duration;
use sycamore_types::prelude::*;

/// Limits on the platform requests of the whole fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct BudgetSettings {
    /// Largest rate of reads of the whole fleet, per second.
    pub reads_per_s: f64,
    /// Largest rate of writes of the whole fleet, per second.
    pub writes_per_s: f64,
    /// Largest number of reads, and of writes, that one node may send at once after an idle period.
    pub burst: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self { reads_per_s: 1_000.0, writes_per_s: 200.0, burst: 16.0 }
    }
}

/// Token bucket rate limiter.
#[derive(Debug, Clone, PartialEq)]
pub struct TokenBucket {
    per_s: f64,
    burst: f64,
    tokens: f64,
    /// Time up to which `tokens` is computed.
    refilled_at: Time,
}

impl TokenBucket {
    /// Creates a full bucket that refills by `per_s` tokens per second up to `burst`.
    pub fn new(per_s: f64, burst: f64, now: Time) -> Self {
        Self { per_s, burst, tokens: burst, refilled_at: now }
    }

    /// Takes one token.
    ///
    /// # Errors
    /// Time until a token is available, if there is none.
    pub fn take(&mut self, now: Time) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.per_s))
    }

    /// Sets the refill rate in tokens per second, from `now` on.
    pub fn set_rate(&mut self, per_s: f64, now: Time) {
        self.refill(now);
        self.per_s = per_s;
    }

    fn refill(&mut self, now: Time) {
        let added = self.per_s * now.since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + added).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// Share of one node in the fleet's budget, with separate limits on reads and writes.
#[derive(Debug, Clone, PartialEq)]
pub struct Budget {
    settings: BudgetSettings,
    reads: TokenBucket,
    writes: TokenBucket,
}

impl Budget {
    /// Creates the share of one node if `nodes` nodes divide the budget equally.
    pub fn new(settings: BudgetSettings, nodes: usize, now: Time) -> Self {
        let reads =
            TokenBucket::new(per_node_rate(settings.reads_per_s, nodes), settings.burst, now);
        let writes =
            TokenBucket::new(per_node_rate(settings.writes_per_s, nodes), settings.burst, now);
        Self { settings, reads, writes }
    }

    /// Sets the number of nodes that divide the budget, from `now` on.
    pub fn set_nodes(&mut self, nodes: usize, now: Time) {
        self.reads.set_rate(per_node_rate(self.settings.reads_per_s, nodes), now);
        self.writes.set_rate(per_node_rate(self.settings.writes_per_s, nodes), now);
    }

    /// Takes the token for one read.
    ///
    /// # Errors
    /// Time until this node may read, if its share is spent.
    pub fn read(&mut self, now: Time) -> Result<(), Duration> {
        self.reads.take(now)
    }

    /// Takes the token for one write.
    ///
    /// # Errors
    /// Time until this node may write, if its share is spent.
    pub fn write(&mut self, now: Time) -> Result<(), Duration> {
        self.writes.take(now)
    }
}

fn per_node_rate(total: f64, nodes: usize) -> f64 {
    total / nodes.max(1) as f64
}
