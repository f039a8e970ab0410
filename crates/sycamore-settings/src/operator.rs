//! Sections `[operator]` and `[log]`: access of operators and limits on logging.

use crate::unit::Span;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DisplayFromStr};
use std::fmt;
use std::time::Duration;

/// Length of the shortest accepted operator token in bytes.
pub const MIN_TOKEN_BYTES: usize = 16;

/// Secret that is compared in constant time and never printed or serialised.
#[derive(Clone, Default, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Creates a secret from its text.
    pub fn new(secret: impl Into<String>) -> Self {
        Self(secret.into())
    }

    /// Returns whether no secret is set.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the length of the secret in bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether `given` equals the secret, in a time that does not depend on where they
    /// differ. An empty secret matches nothing.
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

/// Access of operators to commands and queries, section `[operator]`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Operator {
    /// Token that commands must carry, at least [`MIN_TOKEN_BYTES`] long; if it is empty, all
    /// commands are refused.
    pub token: Secret,
    /// Whether queries are answered without a token.
    #[serde_as(as = "DisplayFromStr")]
    pub open_queries: bool,
    /// Whether the operators' listener may have an address other than loopback.
    #[serde_as(as = "DisplayFromStr")]
    pub beyond_loopback: bool,
}

impl Default for Operator {
    fn default() -> Self {
        Self { token: Secret::default(), open_queries: true, beyond_loopback: false }
    }
}

/// Lowest severity of the events that are logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Events that need an operator's action.
    Error,
    /// Events that an operator should examine.
    Warn,
    /// Notable events in normal operation.
    #[default]
    Info,
    /// Individual decisions.
    Debug,
}

/// Log level and limits on log lines, section `[log]`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// Lowest severity of the events that are logged.
    pub level: LogLevel,
    /// Largest rate of lines per second about failed, refused or slow calls; further lines are only
    /// counted.
    #[serde_as(as = "DisplayFromStr")]
    pub failures_per_s: u32,
    /// Largest rate of lines per second about successful calls; further lines are only counted.
    #[serde_as(as = "DisplayFromStr")]
    pub successes_per_s: u32,
    /// Duration from which a successful call counts as slow.
    #[serde_as(as = "Span")]
    pub slow: Duration,
    /// Largest number of lines that wait to be written; further lines are dropped and counted.
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
