//! Complete configuration as submitted by an operator, with validation that reports every fault.

mod check;
mod fields;
mod parse;
mod salvage;

use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use sycamore_types::prelude::*;

/// Upper bound on the number of resources in one configuration. The bounds on manifests, packs,
/// deltas and messages between nodes leave room for that many, because operators may write a row of
/// this size without asking a node: one that can't be passed on would leave the fleet behind.
pub const MAX_RESOURCES: usize = 32_768;
/// Upper bound on the length of a route's path prefix, in bytes; no request head has room for a
/// longer path.
pub const MAX_PREFIX_BYTES: usize = MAX_HEAD_BYTES as usize;
/// Upper bound on a route's call timeout, in milliseconds.
pub const MAX_TIMEOUT_MS: u64 = 600_000;
/// Upper bound on a latency objective and on the times of the limits on callers, in milliseconds.
/// Timers count milliseconds from the start of the process in 64 bits, and a sum beyond ends it.
pub const MAX_TIMER_MS: u64 = u64::MAX / 2;
/// Upper bound on the time a call may wait for a free slot, in milliseconds.
pub const MAX_QUEUE_MS: u64 = 60_000;
/// Upper bound on the number of calls that may wait for a free slot of a service.
pub const MAX_QUEUE: u16 = 4_096;
/// Upper bound on the configurable request body limit, in bytes.
pub const MAX_BODY_BYTES: u64 = 64 << 20;
/// Upper bound on the configurable request head limit, in bytes.
pub const MAX_HEAD_BYTES: u64 = 1 << 20;
/// Upper bound on the calls that an account may make at once beyond its rate.
pub const MAX_BURST: u32 = 1_000_000;
/// Upper bound on the configurable attempts per call.
pub const MAX_ATTEMPTS: u8 = 10;

/// Validation error of one field or resource in a configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Fault {
    /// Path of the invalid element, such as `resources[3].prefix`.
    pub place: String,
    /// Description of the error for the operator.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.reason)
    }
}

/// Complete configuration that passed validation.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Bundle {
    resources: Vec<Resource>,
}

impl Bundle {
    /// Validates `resources`, including references and duplicates among them.
    ///
    /// # Errors
    /// Returns every fault found.
    pub fn new(resources: Vec<Resource>) -> Result<Self, Vec<Fault>> {
        let faults = check::validate(&resources.iter().collect::<Vec<_>>());
        match faults.is_empty() {
            true => Ok(Self { resources }),
            false => Err(faults),
        }
    }

    /// Validates `resources` like [`Bundle::new`], but entry by entry: one that can't be applied as it
    /// is stays with its fault, or is left out if no call could reach it, and the others are unchanged.
    /// Returns the faults as well.
    ///
    /// # Errors
    /// Returns the faults that concern the whole, such as too many entries.
    pub fn salvage(resources: Vec<Resource>) -> Result<(Self, Vec<Fault>), Vec<Fault>> {
        if check::validate(&resources.iter().collect::<Vec<_>>()).is_empty() {
            return Ok((Self { resources }, Vec::new()));
        }
        let (resources, faults) = salvage::separate_faults(resources);
        Ok((Self::new(resources)?, faults))
    }

    /// Decodes and validates the resources of a JSON array.
    ///
    /// # Errors
    /// Returns every fault found, including unknown fields. If a resource can't be decoded, only
    /// decoding faults are returned.
    pub fn from_json(resources: &serde_json::Value) -> Result<Self, Vec<Fault>> {
        parse::parse_resources(resources).and_then(Self::new)
    }

    /// Returns the resources in the order in which they were submitted.
    pub fn resources(&self) -> &[Resource] {
        &self.resources
    }

    /// Converts the configuration to the form that nodes route by, longest path prefix first.
    pub fn to_snapshot(&self, version: ConfigVersion) -> Snapshot {
        build_snapshot(&self.resources.iter().collect::<Vec<_>>(), version)
    }
}

/// Validates `resources` as [`Bundle::new`] does, and converts them to the form that nodes route by.
///
/// # Errors
/// Returns every fault found.
pub(crate) fn validated_snapshot(
    resources: &[&Resource],
    version: ConfigVersion,
) -> Result<Snapshot, Vec<Fault>> {
    let faults = check::validate(resources);
    match faults.is_empty() {
        true => Ok(build_snapshot(resources, version)),
        false => Err(faults),
    }
}

fn build_snapshot(resources: &[&Resource], version: ConfigVersion) -> Snapshot {
    let mut services = BTreeMap::new();
    let mut routes = Vec::with_capacity(resources.len());
    let mut accounts = Vec::new();
    let mut callers = CallerLimits::default();
    for resource in resources {
        match resource {
            Resource::Service(service) => {
                services.insert(service.name.clone(), service.clone());
            }
            Resource::Route(route) => routes.push(route),
            Resource::Callers(limits) => callers = limits.clone(),
            Resource::Account(account) => accounts.push(account.clone()),
        }
    }
    routes.sort_by(|a, b| {
        let key = |route: &Route| (route.prefix.len(), route.host.is_some());
        key(b).cmp(&key(a)).then_with(|| (&a.prefix, &a.host).cmp(&(&b.prefix, &b.host)))
    });
    // References are sorted, since moving whole routes costs more than their comparison.
    let routes = routes.into_iter().cloned().collect::<Vec<_>>().into();
    let accounts = accounts.into_iter().collect();
    Snapshot { version, services, routes, callers, accounts }
}
