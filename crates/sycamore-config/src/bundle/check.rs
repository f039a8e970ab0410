//! Checks of resources against each other and against bounds.

use super::{
    Fault, MAX_ATTEMPTS, MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_PREFIX_BYTES, MAX_QUEUE, MAX_QUEUE_MS,
    MAX_RESOURCES, MAX_TIMEOUT_MS,
};
use std::collections::{BTreeMap, BTreeSet};
use sycamore_types::prelude::*;

/// Every fault of `resources`.
pub(super) fn faults(resources: &[Resource]) -> Vec<Fault> {
    let mut check = Check { services: service_names(resources), ..Check::default() };
    if resources.len() > MAX_RESOURCES {
        let reason = format!("{} entries, at most {MAX_RESOURCES} are allowed", resources.len());
        check.faults.push(Fault { place: "resources".to_owned(), reason });
    }
    for (i, resource) in resources.iter().enumerate() {
        check.place = format!("resources[{i}]");
        match resource {
            Resource::Service(service) => check.service(service),
            Resource::Route(route) => check.route(route),
            Resource::Callers(limits) => check.callers(limits),
        }
    }
    check.faults
}

fn service_names(resources: &[Resource]) -> BTreeSet<&ServiceName> {
    let names = resources.iter().filter_map(|resource| match resource {
        Resource::Service(service) => Some(&service.name),
        Resource::Route(_) | Resource::Callers(_) => None,
    });
    names.collect()
}

#[derive(Default)]
struct Check<'a> {
    services: BTreeSet<&'a ServiceName>,
    seen_services: BTreeMap<&'a ServiceName, String>,
    seen_routes: BTreeMap<&'a RouteName, String>,
    seen_prefixes: BTreeMap<(&'a str, &'a str), String>,
    seen_callers: Option<String>,
    place: String,
    faults: Vec<Fault>,
}

impl<'a> Check<'a> {
    fn service(&mut self, service: &'a Service) {
        if let Some(first) = self.seen_services.insert(&service.name, self.place.clone()) {
            self.fault("name", format!("service {} is also {first}", service.name));
        }
        self.limits(&service.limits);
        self.retry(&service.retry);
    }

    fn limits(&mut self, limits: &Limits) {
        self.bound("limits.queue", limits.queue, 0, MAX_QUEUE);
        let queue_ms = u64::try_from(limits.queue_time.as_millis()).unwrap_or(u64::MAX);
        self.bound("limits.queue_ms", queue_ms, 0, MAX_QUEUE_MS);
        self.bound("limits.body_bytes", limits.body_bytes, 0, MAX_BODY_BYTES);
    }

    fn retry(&mut self, retry: &RetryPolicy) {
        self.bound("retry.attempts", retry.attempts, 1, MAX_ATTEMPTS);
        self.bound("retry.budget_percent", retry.budget_percent, 0, 100);
    }

    fn route(&mut self, route: &'a Route) {
        if let Some(first) = self.seen_routes.insert(&route.name, self.place.clone()) {
            self.fault("name", format!("route {} is also {first}", route.name));
        }
        if !self.services.contains(&route.service) {
            let reason = format!("service {} is not in the configuration", route.service);
            self.fault("service", reason);
        }
        self.split(&route.split);
        if let Some(attempts) = route.policy.attempts {
            self.bound("policy.attempts", attempts, 1, MAX_ATTEMPTS);
        }
        let timeout_ms = u64::try_from(route.timeout.as_millis()).unwrap_or(u64::MAX);
        self.bound("timeout_ms", timeout_ms, 1, MAX_TIMEOUT_MS);
        let host = route.host.as_deref().unwrap_or_default();
        let bad_host = |c: char| !c.is_ascii_graphic() || "/?#@:".contains(c);
        if let Some(c) = host.chars().find(|c| bad_host(*c)) {
            self.fault("host", format!("{c:?} cannot be in a host name"));
        }
        self.prefix(host, &route.prefix);
    }

    fn split(&mut self, split: &[WeightedService]) {
        for part in split {
            if !self.services.contains(&part.service) {
                let reason = format!("service {} is not in the configuration", part.service);
                self.fault("split", reason);
            }
        }
        if !split.is_empty() && split.iter().all(|part| part.weight == 0) {
            self.fault("split", "no weight is above 0".to_owned());
        }
    }

    fn callers(&mut self, limits: &CallerLimits) {
        if let Some(first) = self.seen_callers.replace(self.place.clone()) {
            self.fault("kind", format!("limits of callers are also {first}"));
        }
        self.bound("head_bytes", limits.head_bytes, 1_024, MAX_HEAD_BYTES);
        self.bound("body_bytes", limits.body_bytes, 0, MAX_BODY_BYTES);
    }

    fn prefix(&mut self, host: &'a str, prefix: &'a str) {
        if !prefix.starts_with('/') {
            self.fault("prefix", format!("{prefix:?} does not start with '/'"));
        }
        if prefix.len() > MAX_PREFIX_BYTES {
            let reason = format!("{} bytes, at most {MAX_PREFIX_BYTES} are allowed", prefix.len());
            self.fault("prefix", reason);
        }
        if let Some(c) = prefix.chars().find(|c| !c.is_ascii_graphic() || "?#".contains(*c)) {
            self.fault("prefix", format!("{c:?} cannot be in a path"));
        }
        // "/a" and "/a/" match the same segment, so that neither could be said to win.
        let segment = prefix.trim_end_matches('/');
        if let Some(first) = self.seen_prefixes.insert((host, segment), self.place.clone()) {
            self.fault("prefix", format!("prefix {prefix} is also that of {first}"));
        }
    }

    fn bound<T: PartialOrd + std::fmt::Display>(
        &mut self,
        field: &str,
        value: T,
        least: T,
        most: T,
    ) {
        if value < least || value > most {
            self.fault(field, format!("{value} is not between {least} and {most}"));
        }
    }

    fn fault(&mut self, field: &str, reason: String) {
        self.faults.push(Fault { place: format!("{}.{field}", self.place), reason });
    }
}
