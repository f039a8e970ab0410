//! Configurations of the largest size that the product is designed for, each one route apart.

use crate::fleet::Deployment;
use serde_json::{json, Value};
use std::collections::BTreeSet;

/// Number of services in every configuration.
const SERVICES: usize = 51;
/// Number of routes of each service.
const ROUTES: usize = 2;

/// Returns the configuration's resources after `change` changes of one route each: 51 services,
/// including those of `deployment`, and 102 routes.
pub(super) fn resources(deployment: &Deployment, change: usize) -> Vec<Value> {
    let mut names: BTreeSet<String> = deployment.services.iter().map(|s| s.name.clone()).collect();
    let mut number = 0;
    while names.len() < SERVICES {
        names.insert(format!("other-{number}"));
        number += 1;
    }
    let mut resources = Vec::new();
    for (i, name) in names.iter().enumerate() {
        resources.push(json!({ "kind": "service", "name": name }));
        for j in 0..ROUTES {
            resources.push(route(name, i * ROUTES + j, j, change));
        }
    }
    resources
}

fn route(service: &str, number: usize, part: usize, change: usize) -> Value {
    let total = SERVICES * ROUTES;
    // Change number c modifies route c modulo the number of routes; this counts the changes of
    // this route so far.
    let times = (change + total - 1 - number % total) / total;
    json!({
        "kind": "route",
        "name": format!("{service}-{part}"),
        "prefix": if part == 0 { format!("/{service}") } else { format!("/{service}/part-{part}") },
        "service": service,
        "timeout_ms": 5_000 + times,
    })
}
