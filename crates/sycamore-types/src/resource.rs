//! Resources of a configuration.

use crate::hash::ContentHash;
use crate::id::{ConfigVersion, RouteName, ServiceName};
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};
use std::time::Duration;

/// Names the current configuration: the row that the platform's table holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Its number.
    pub version: ConfigVersion,
    /// The hash of its manifest.
    pub manifest: ContentHash,
}

/// One resource of a configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Resource {
    /// A service that routes may point at.
    Service(Service),
    /// A route from callers to a service.
    Route(Route),
}

/// A service that upstreams serve.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Limits of admission.
    #[serde(default)]
    pub limits: Limits,
    /// How its calls are tried again.
    #[serde(default)]
    pub retry: RetryPolicy,
}

/// A route: calls whose path starts with `prefix` go to `service`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// Path prefix, starting with `/`; the longest that matches wins.
    pub prefix: String,
    /// The service that it points at.
    pub service: ServiceName,
    /// Time a call may take where the caller names none, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms")]
    pub timeout: Duration,
}

/// Limits of admission beside an upstream.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Calls that may wait for a slot.
    pub queue: u16,
    /// Longest wait for a slot, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "queue_ms")]
    pub queue_time: Duration,
    /// Largest body accepted, in bytes.
    pub body_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { queue: 24, queue_time: Duration::from_millis(250), body_bytes: 64 << 20 }
    }
}

/// How calls of a service are tried again. Only calls that certainly did not run, or that are
/// idempotent, are tried again at all.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryPolicy {
    /// Attempts in all, the first included.
    pub attempts: u8,
    /// Retries allowed for each 100 first attempts.
    pub budget_percent: u8,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self { attempts: 3, budget_percent: 10 }
    }
}
