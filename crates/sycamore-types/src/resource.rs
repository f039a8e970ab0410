//! Resources that make up a configuration.

use crate::account::ClientAccount;
use crate::hash::ContentHash;
use crate::id::{ConfigVersion, RouteName, ServiceName};
use crate::rate::RateLimit;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};
use std::time::Duration;

/// Pointer to the current configuration, stored as a row of the platform's table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Number of the configuration.
    pub version: ConfigVersion,
    /// Hash of the configuration's manifest.
    pub manifest: ContentHash,
}

/// Limits of a fetch from a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct FetchLimit {
    /// Longest time without bytes from the peer, to connect included.
    pub silence: Duration,
    /// Longest time of the whole fetch.
    pub whole: Duration,
}

/// Resource of a configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Resource {
    /// Service that routes may point at.
    Service(Service),
    /// Route from callers to a service.
    Route(Route),
    /// Limits on what callers may send and how long they may take.
    Callers(CallerLimits),
    /// Account of a client.
    Account(ClientAccount),
}

/// Service that upstreams serve, with its call policies.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Admission limits at each upstream of the service.
    #[serde(default)]
    pub limits: Limits,
    /// Retry policy for calls of the service.
    #[serde(default)]
    pub retry: RetryPolicy,
    /// Rate of calls, in calls per second, that each upstream takes while it warms up; `None` where
    /// it takes as many as its slots allow.
    #[serde(default, rename = "warm_up_calls_per_s", skip_serializing_if = "Option::is_none")]
    pub warm_up: Option<RateLimit>,
}

/// Route: sends calls for `host` whose path starts with `prefix` to `service`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Host that calls must name, in lower case and without a port; `None` matches every host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Path prefix, starting with `/`; the longest matching one wins.
    pub prefix: String,
    /// Service that receives the route's calls; of a split route, the first of its services.
    pub service: ServiceName,
    /// Services that share the route's calls by weight; empty where `service` receives all of them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<WeightedService>,
    /// Timeout of calls whose caller sets none, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms")]
    pub timeout: Duration,
    /// Policy for calls of the route.
    #[serde(default, skip_serializing_if = "RoutePolicy::is_default")]
    pub policy: RoutePolicy,
    /// Reason for which none of the route's calls is served; `None` for a valid route. A faulty route
    /// stays in the configuration, so that its calls don't take a route with a shorter prefix.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fault: Option<String>,
}

impl Route {
    /// Selects the service of a call; `draw` is uniformly distributed over 0.0 to 1.0.
    pub fn service_for(&self, draw: f64) -> &ServiceName {
        let total: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        let mut remaining = draw * total as f64;
        for part in &self.split {
            remaining -= f64::from(part.weight);
            if remaining < 0.0 {
                return &part.service;
            }
        }
        &self.service
    }
}

/// Service and weight in a split route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// Service that receives this part of the calls.
    pub service: ServiceName,
    /// Weight of the service relative to the sum of all weights of the route.
    pub weight: u32,
}

/// Condition under which a call may run more than once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Calls whose method is idempotent may (RFC 9110, section 9.2.2).
    #[default]
    ByMethod,
    /// Calls of every method may.
    Always,
    /// No call may.
    Never,
}

/// Policy for the calls of a route.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutePolicy {
    /// Condition under which a call may run more than once.
    pub repeat: Repeat,
    /// Number of upstreams that a call may be sent to; `None` uses the service's retry policy.
    pub attempts: Option<u8>,
    /// Time after which an answer is worth less, in milliseconds; `None` where only the timeout
    /// counts.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "objective_ms")]
    pub objective: Option<Duration>,
    /// Priority among the calls of a service, 0 being the highest; `None` uses the caller's
    /// criticality.
    pub rank: Option<u8>,
    /// Whether calls need no key although the configuration has client accounts.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub is_open: bool,
}

impl RoutePolicy {
    fn is_default(&self) -> bool {
        *self == Self::default()
    }
}

/// Limits on what callers may send and how long they may take or stay idle.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: u64,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum time to receive a request head, in milliseconds; `None` uses the node's settings.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "head_ms")]
    pub head_time: Option<Duration>,
    /// Maximum idle time of a connection, in milliseconds.
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

/// Admission limits at an upstream.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of calls that wait for a slot.
    pub queue: u16,
    /// Maximum time that a call waits for a slot, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "queue_ms")]
    pub queue_time: Duration,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { queue: 24, queue_time: Duration::from_millis(250), body_bytes: 64 << 20 }
    }
}

/// Retry policy of a service. Only calls that certainly did not run, or that are idempotent, are
/// retried.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryPolicy {
    /// Maximum number of attempts of a call, including the first.
    pub attempts: u8,
    /// Number of retries allowed for each 100 first attempts.
    pub budget_percent: u8,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self { attempts: 3, budget_percent: 10 }
    }
}
