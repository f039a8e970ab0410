//! Validation of resources: bounds of their values, and references and duplicates among them.

use super::{
    Fault, MAX_ATTEMPTS, MAX_BODY_BYTES, MAX_BURST, MAX_HEAD_BYTES, MAX_PREFIX_BYTES, MAX_QUEUE,
    MAX_QUEUE_MS, MAX_RESOURCES, MAX_TIMEOUT_MS, MAX_TIMER_MS,
};
use std::collections::{HashMap, HashSet};
use std::net::Ipv6Addr;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Fault of one entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct EntryFault {
    /// Index of the entry.
    pub(super) at: usize,
    /// Path of the field within the entry.
    pub(super) field: String,
    /// Description of the error for the operator.
    pub(super) reason: String,
}

impl From<EntryFault> for Fault {
    fn from(fault: EntryFault) -> Self {
        Self { place: format!("{}.{}", place(fault.at), fault.field), reason: fault.reason }
    }
}

/// Returns every fault of `resources`, in their order.
pub(super) fn validate(resources: &[&Resource]) -> Vec<Fault> {
    let mut faults = Vec::new();
    if resources.len() > MAX_RESOURCES {
        let reason =
            format!("has {} entries; at most {MAX_RESOURCES} are allowed", resources.len());
        faults.push(Fault { place: "resources".to_owned(), reason });
    }
    faults.extend(entry_faults(resources).into_iter().map(Fault::from));
    faults
}

/// Returns the faults of each entry of `resources`, in their order.
pub(super) fn entry_faults(resources: &[&Resource]) -> Vec<EntryFault> {
    let mut validator = Validator::new(resources);
    for (at, resource) in resources.iter().enumerate() {
        validator.at = at;
        match resource {
            Resource::Service(service) => validator.check_service(service),
            Resource::Route(route) => validator.check_route(route),
            Resource::Callers(limits) => validator.check_callers(limits),
            Resource::Account(account) => validator.check_account(account),
        }
    }
    validator.faults
}

fn service_names<'a>(resources: &[&'a Resource]) -> HashSet<&'a ServiceName> {
    let names = resources.iter().filter_map(|resource| match resource {
        Resource::Service(service) => Some(&service.name),
        Resource::Route(_) | Resource::Callers(_) | Resource::Account(_) => None,
    });
    names.collect()
}

fn to_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the path of the resource at index `at`, such as `resources[3]`.
fn place(at: usize) -> String {
    format!("resources[{at}]")
}

/// Accumulates faults while it visits the resources of one configuration in order.
///
/// Resources are kept by index: paths are formatted for faults alone, since a configuration of
/// thousands of resources has none as a rule.
struct Validator<'a> {
    /// Names of all services in the configuration, which routes may refer to.
    services: HashSet<&'a ServiceName>,
    /// Index of the last definition of each service visited so far.
    seen_services: HashMap<&'a ServiceName, usize>,
    seen_routes: HashMap<&'a RouteName, usize>,
    /// Index of the last route of each pair of host and prefix; the host is empty for any host.
    seen_prefixes: HashMap<(&'a str, &'a str), usize>,
    seen_callers: Option<usize>,
    seen_accounts: HashMap<&'a AccountName, usize>,
    /// Index of the account of each key.
    seen_keys: HashMap<&'a KeyDigest, usize>,
    /// Index of the resource being visited.
    at: usize,
    faults: Vec<EntryFault>,
}

impl<'a> Validator<'a> {
    fn new(resources: &[&'a Resource]) -> Self {
        Self {
            services: service_names(resources),
            seen_services: HashMap::new(),
            seen_routes: HashMap::with_capacity(resources.len()),
            seen_prefixes: HashMap::with_capacity(resources.len()),
            seen_callers: None,
            seen_accounts: HashMap::new(),
            seen_keys: HashMap::new(),
            at: 0,
            faults: Vec::new(),
        }
    }

    fn check_service(&mut self, service: &'a Service) {
        if let Some(first) = self.seen_services.insert(&service.name, self.at) {
            let reason = format!("service {} is already defined by {}", service.name, place(first));
            self.add_fault("name", reason);
        }
        self.check_limits(&service.limits);
        self.check_retry(&service.retry);
    }

    fn check_limits(&mut self, limits: &Limits) {
        self.check_range("limits.queue", limits.queue, 0, MAX_QUEUE);
        self.check_range("limits.queue_ms", to_millis(limits.queue_time), 0, MAX_QUEUE_MS);
        self.check_range("limits.body_bytes", limits.body_bytes, 0, MAX_BODY_BYTES);
    }

    fn check_retry(&mut self, retry: &RetryPolicy) {
        self.check_range("retry.attempts", retry.attempts, 1, MAX_ATTEMPTS);
        self.check_range("retry.budget_percent", retry.budget_percent, 0, 100);
    }

    fn check_route(&mut self, route: &'a Route) {
        if let Some(first) = self.seen_routes.insert(&route.name, self.at) {
            let reason = format!("route {} is already defined by {}", route.name, place(first));
            self.add_fault("name", reason);
        }
        // A faulty route has no calls for its service.
        if route.fault.is_none() && !self.services.contains(&route.service) {
            let reason = format!("service {} is not defined in the configuration", route.service);
            self.add_fault("service", reason);
        }
        self.check_split(&route.split);
        if let Some(attempts) = route.policy.attempts {
            self.check_range("policy.attempts", attempts, 1, MAX_ATTEMPTS);
        }
        if let Some(objective) = route.policy.objective {
            self.check_range("policy.objective_ms", to_millis(objective), 0, MAX_TIMER_MS);
        }
        self.check_range("timeout_ms", to_millis(route.timeout), 1, MAX_TIMEOUT_MS);
        let host = route.host.as_deref().unwrap_or_default();
        // Requests may name hosts with characters beyond ASCII as they are.
        let is_invalid = |c: char| c.is_ascii() && !c.is_ascii_graphic() || "/?#@:".contains(c);
        // A colon outside of an IPv6 address would begin a port, which routing ignores.
        let is_ipv6 = host
            .strip_prefix('[')
            .and_then(|host| host.strip_suffix(']'))
            .is_some_and(|address| address.parse::<Ipv6Addr>().is_ok());
        if let Some(c) = host.chars().find(|c| is_invalid(*c)).filter(|_| !is_ipv6) {
            self.add_fault("host", format!("character {c:?} is not allowed in a host name"));
        }
        self.check_prefix(host, &route.prefix);
    }

    fn check_split(&mut self, split: &[WeightedService]) {
        for part in split {
            if !self.services.contains(&part.service) {
                let reason =
                    format!("service {} is not defined in the configuration", part.service);
                self.add_fault("split", reason);
            }
        }
        if !split.is_empty() && split.iter().all(|part| part.weight == 0) {
            self.add_fault("split", "at least one weight must be above 0".to_owned());
        }
    }

    fn check_callers(&mut self, limits: &CallerLimits) {
        if let Some(first) = self.seen_callers.replace(self.at) {
            let reason = format!("caller limits are already defined by {}", place(first));
            self.add_fault("kind", reason);
        }
        self.check_range("head_bytes", limits.head_bytes, 1_024, MAX_HEAD_BYTES);
        self.check_range("body_bytes", limits.body_bytes, 0, MAX_BODY_BYTES);
        if let Some(head_time) = limits.head_time {
            self.check_range("head_ms", to_millis(head_time), 0, MAX_TIMER_MS);
        }
        self.check_range("idle_ms", to_millis(limits.idle_time), 0, MAX_TIMER_MS);
    }

    /// Checks an account. Faults name the place of a key and never the key.
    fn check_account(&mut self, account: &'a ClientAccount) {
        if let Some(first) = self.seen_accounts.insert(&account.name, self.at) {
            let reason = format!("account {} is already defined by {}", account.name, place(first));
            self.add_fault("name", reason);
        }
        self.check_range("burst", account.burst, 0, MAX_BURST);
        for (i, key) in account.keys.iter().enumerate() {
            if let Some(first) = self.seen_keys.insert(key, self.at) {
                let reason = format!("the key already belongs to {}", place(first));
                self.add_fault(&format!("keys[{i}]"), reason);
            }
        }
    }

    fn check_prefix(&mut self, host: &'a str, prefix: &'a str) {
        let before = self.faults.len();
        if !prefix.starts_with('/') {
            self.add_fault("prefix", format!("prefix {prefix:?} must start with '/'"));
        }
        if prefix.len() > MAX_PREFIX_BYTES {
            let reason =
                format!("has {} bytes; at most {MAX_PREFIX_BYTES} are allowed", prefix.len());
            self.add_fault("prefix", reason);
        }
        // Requests may have characters beyond ASCII in their paths as they are.
        let is_invalid = |c: &char| c.is_ascii() && !c.is_ascii_graphic() || "?#".contains(*c);
        if let Some(c) = prefix.chars().find(is_invalid) {
            self.add_fault("prefix", format!("character {c:?} is not allowed in a path prefix"));
        }
        if self.faults.len() > before {
            // A prefix of no path hides no other.
            return;
        }
        // "/a" and "/a/" match the same path segments, so neither would take precedence; "/a//" matches
        // an empty segment more.
        let segments = prefix.strip_suffix('/').unwrap_or(prefix);
        if let Some(first) = self.seen_prefixes.insert((host, segments), self.at) {
            let reason = format!("prefix {prefix} is already used by {}", place(first));
            self.add_fault("prefix", reason);
        }
    }

    /// Adds a fault unless `value` is between `min` and `max`, both inclusive.
    fn check_range<T: PartialOrd + std::fmt::Display>(
        &mut self,
        field: &str,
        value: T,
        min: T,
        max: T,
    ) {
        if value < min || value > max {
            self.add_fault(
                field,
                format!("{value} is out of range; must be between {min} and {max}"),
            );
        }
    }

    /// Adds a fault at `field` of the resource being visited.
    fn add_fault(&mut self, field: &str, reason: String) {
        self.faults.push(EntryFault { at: self.at, field: field.to_owned(), reason });
    }
}
