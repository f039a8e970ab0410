//! A whole configuration as operators declare it, with checks that name every fault.

mod check;
mod fields;
mod parse;

use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use sycamore_types::prelude::*;

/// Resources of one configuration at most.
pub const MAX_RESOURCES: usize = 4_096;
/// Longest path prefix, in bytes.
pub const MAX_PREFIX_BYTES: usize = 256;
/// Longest time that a call may take, in milliseconds.
pub const MAX_TIMEOUT_MS: u64 = 600_000;
/// Longest time that a call may wait for a slot, in milliseconds.
pub const MAX_QUEUE_MS: u64 = 60_000;
/// Most calls that may wait for a slot.
pub const MAX_QUEUE: u16 = 4_096;
/// Largest body that may be accepted, in bytes.
pub const MAX_BODY_BYTES: u64 = 64 << 20;
/// Longest request head that may be accepted, in bytes.
pub const MAX_HEAD_BYTES: u64 = 1 << 20;
/// Most attempts of one call.
pub const MAX_ATTEMPTS: u8 = 10;

/// One thing wrong with a bundle.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Fault {
    /// Where, such as `resources[3].prefix`.
    pub place: String,
    /// What is wrong, in a sentence.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.reason)
    }
}

/// A whole configuration that passed every check.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Bundle {
    resources: Vec<Resource>,
}

impl Bundle {
    /// Checks `resources` together.
    ///
    /// # Errors
    /// Every fault found.
    pub fn new(resources: Vec<Resource>) -> Result<Self, Vec<Fault>> {
        let faults = check::faults(&resources);
        match faults.is_empty() {
            true => Ok(Self { resources }),
            false => Err(faults),
        }
    }

    /// Reads and checks the resources of a JSON array.
    ///
    /// # Errors
    /// Every fault found, unknown fields among them.
    pub fn from_json(resources: &serde_json::Value) -> Result<Self, Vec<Fault>> {
        parse::resources(resources).and_then(Self::new)
    }

    /// The resources in the order in which they were given.
    pub fn resources(&self) -> &[Resource] {
        &self.resources
    }

    /// The configuration as nodes use it.
    pub fn to_snapshot(&self, version: ConfigVersion) -> Snapshot {
        let mut services = BTreeMap::new();
        let mut routes = Vec::new();
        let mut callers = CallerLimits::default();
        for resource in &self.resources {
            match resource {
                Resource::Service(service) => {
                    services.insert(service.name.clone(), service.clone());
                }
                Resource::Route(route) => routes.push(route.clone()),
                Resource::Callers(limits) => callers = limits.clone(),
            }
        }
        routes.sort_by(|a: &Route, b| {
            let key = |route: &Route| (route.prefix.len(), route.host.is_some());
            key(b).cmp(&key(a)).then_with(|| (&a.prefix, &a.host).cmp(&(&b.prefix, &b.host)))
        });
        Snapshot { version, services, routes, callers }
    }
}
