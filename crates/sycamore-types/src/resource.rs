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
    /// What callers may send, and how long they may take.
    Callers(CallerLimits),
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

/// A route: calls for `host` whose path starts with `prefix` go to `service`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// The host that calls must name, in lower case and without a port; `None` takes every host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Path prefix, starting with `/`; the longest that matches wins.
    pub prefix: String,
    /// The service that it points at; the first of them where the route is split.
    pub service: ServiceName,
    /// The services that share the route's calls; empty where `service` takes all of them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<WeightedService>,
    /// Time a call may take where the caller names none, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms")]
    pub timeout: Duration,
    /// How its calls are treated.
    #[serde(default, skip_serializing_if = "RoutePolicy::is_default")]
    pub policy: RoutePolicy,
}

impl Route {
    /// The service of a call, for a `draw` of 0.0 to 1.0 that is even over all calls.
    pub fn service_for(&self, draw: f64) -> &ServiceName {
        let sum: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        let mut at = draw * sum as f64;
        for part in &self.split {
            at -= f64::from(part.weight);
            if at < 0.0 {
                return &part.service;
            }
        }
        &self.service
    }
}

/// A part of a split route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its part of the calls, relative to the sum of all weights.
    pub weight: u32,
}

/// Whether a call may run more than once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Where its method is idempotent (RFC 9110, section 9.2.2).
    #[default]
    ByMethod,
    /// Whatever its method is.
    Always,
    /// At most once, whatever its method is.
    Never,
}

/// How the calls of a route are treated.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutePolicy {
    /// Whether they may run more than once.
    pub repeat: Repeat,
    /// Upstreams that one call may be sent to; `None` leaves it to the service's retry policy.
    pub attempts: Option<u8>,
    /// Time within which an answer is worth most, in milliseconds; `None` where there is no such
    /// aim.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "objective_ms")]
    pub objective: Option<Duration>,
    /// Rank among the calls of a service: 0 is served first; `None` leaves it to the caller.
    pub rank: Option<u8>,
}

impl RoutePolicy {
    fn is_default(&self) -> bool {
        *self == Self::default()
    }
}

/// What callers may send, and how long they may take or stay idle.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerLimits {
    /// Longest request head, in bytes.
    pub head_bytes: u64,
    /// Longest request body, in bytes.
    pub body_bytes: u64,
    /// Longest time to send a head, in milliseconds; `None` leaves it to the node's settings.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "head_ms")]
    pub head_time: Option<Duration>,
    /// Longest time that a connection stays idle, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "idle_ms")]
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 64 << 20,
            head_time: None,
            idle_time: Duration::from_secs(60),
        }
    }
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
