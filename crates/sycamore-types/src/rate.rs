//! Rate limits: those that upstreams report about themselves, and those that a configuration states.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Maximum value of a [`RateLimit`], in requests per second; a higher number is no rate that an upstream
/// could serve, so it is read as a mistake.
pub const MAX_RATE_PER_SECOND: f64 = 1e6;
/// Smallest value of a [`RateLimit`] above zero, in requests per second.
pub const MIN_RATE_PER_SECOND: f64 = 1.0 / UNITS;
/// Units of a [`RateLimit`] per request per second.
const UNITS: f64 = 1e6;

/// Maximum rate at which an upstream takes requests, of all nodes together: 0 to 1,000,000 requests
/// per second, in steps of a millionth.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RateLimit(u64);

/// Error of a number or text that is not a rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidRateLimit;

impl RateLimit {
    /// Creates a limit of `per_second` requests per second.
    ///
    /// # Errors
    /// Returns [`InvalidRateLimit`] for a number that is negative, not finite or too large.
    pub fn new(per_second: f64) -> Result<Self, InvalidRateLimit> {
        match (0.0..=MAX_RATE_PER_SECOND).contains(&per_second) {
            // The product is at most 1e12, which a u64 holds.
            true => Ok(Self((per_second * UNITS).round() as u64)),
            false => Err(InvalidRateLimit),
        }
    }

    /// Returns the limit in requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / UNITS
    }

    /// Returns the mean time between two requests, at most `max`.
    pub fn interval(self, max: Duration) -> Duration {
        match self.per_second() * max.as_secs_f64() > 1.0 {
            true => Duration::from_secs_f64(1.0 / self.per_second()),
            false => max,
        }
    }
}

impl TryFrom<f64> for RateLimit {
    type Error = InvalidRateLimit;

    fn try_from(per_second: f64) -> Result<Self, InvalidRateLimit> {
        Self::new(per_second)
    }
}

impl From<RateLimit> for f64 {
    fn from(limit: RateLimit) -> Self {
        limit.per_second()
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}

impl FromStr for RateLimit {
    type Err = InvalidRateLimit;

    fn from_str(text: &str) -> Result<Self, InvalidRateLimit> {
        text.trim().parse().map_err(|_| InvalidRateLimit).and_then(Self::new)
    }
}

impl fmt::Display for InvalidRateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid rate limit: expected a number of 0 to {MAX_RATE_PER_SECOND}")
    }
}

impl std::error::Error for InvalidRateLimit {}
