//! `[operator]` and `[log]`: the operators' listener and the log.

use crate::unit::Span;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DisplayFromStr};
use std::fmt;
use std::time::Duration;

/// Shortest accepted operator token, in bytes.
pub const MIN_TOKEN_BYTES: usize = 16;

/// A secret that is compared in constant time and never printed.
#[derive(Clone, Default, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Wraps `secret`.
    pub fn new(secret: impl Into<String>) -> Self {
        Self(secret.into())
    }

    /// Whether no secret is set.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Length in bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether `given` is the secret; takes the same time wherever they differ. An empty secret
    /// matches nothing.
    pub fn matches(&self, given: &[u8]) -> bool {
        let secret = self.0.as_bytes();
        if secret.is_empty() || secret.len() != given.len() {
            return false;
        }
        let differing = secret.iter().zip(given).fold(0, |acc, (a, b)| acc | (a ^ b));
        std::hint::black_box(differing) == 0
    }
}

impl PartialEq for Secret {
    fn eq(&self, other: &Self) -> bool {
        self.matches(other.0.as_bytes()) || (self.is_empty() && other.is_empty())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Serialize for Secret {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(if self.is_empty() { "" } else { "(set)" })
    }
}

/// The operators' listener.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Operator {
    /// Token that commands need; without one, commands are refused.
    pub token: Secret,
    /// Queries need no token.
    #[serde_as(as = "DisplayFromStr")]
    pub open_queries: bool,
    /// The listener may be on an address other than loopback.
    #[serde_as(as = "DisplayFromStr")]
    pub beyond_loopback: bool,
}

impl Default for Operator {
    fn default() -> Self {
        Self { token: Secret::default(), open_queries: true, beyond_loopback: false }
    }
}

/// The least severe events that are logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// What an operator must act on.
    Error,
    /// What an operator should look at.
    Warn,
    /// What happened.
    #[default]
    Info,
    /// Each decision.
    Debug,
}

/// What is logged.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// The least severe events that are logged.
    pub level: LogLevel,
    /// Lines a second about calls that fail, are refused or are slow; further ones are counted only.
    #[serde_as(as = "DisplayFromStr")]
    pub failures_per_s: u32,
    /// Lines a second about calls that go well.
    #[serde_as(as = "DisplayFromStr")]
    pub successes_per_s: u32,
    /// Time from which a call that goes well counts as slow.
    #[serde_as(as = "Span")]
    pub slow: Duration,
    /// Lines that wait for a reader of the log; further ones are dropped and counted.
    #[serde_as(as = "DisplayFromStr")]
    pub queue: u32,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: LogLevel::default(),
            failures_per_s: 100,
            successes_per_s: 5,
            slow: Duration::from_secs(1),
            queue: 4_096,
        }
    }
}
