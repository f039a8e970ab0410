//! Configurations of a soak, with services and client accounts of any name.

use crate::fleet::Deployment;
use serde_json::{json, Value};
use sycamore_types::prelude::*;

/// Names that header fields carry unchanged and that are no identifiers.
const CARRIED: [&str; 5] = [
    "Repair desk",
    "Popravke \u{10d}akovec",
    "a;b,c=\"d\"/%20{}",
    "\"quoted\" \\u000a",
    "line\u{2028}separator",
];
/// Names that no header field carries unchanged.
const NOT_CARRIED: [&str; 5] =
    ["Repair desk ", "\tdesk", "desk\nmsg=forged level=ERRO", "desk\r\nx-shift-call: 1", ""];

/// Returns the `number`th configuration of `deployment`: its routes, which need no key, and a service, a
/// route and an account with one of the [`CARRIED`] names.
pub(super) fn resources(deployment: &Deployment, number: u64) -> Vec<Value> {
    with_entries(deployment, number, pick(&CARRIED, number))
}

/// Returns a configuration like [`resources`] that names a service and an account as no header field
/// carries them, so that nodes have to refuse it.
pub(super) fn refused_resources(deployment: &Deployment, number: u64) -> Vec<Value> {
    with_entries(deployment, number, pick(&NOT_CARRIED, number))
}

fn pick(names: &[&'static str; 5], number: u64) -> &'static str {
    names[(number % 5) as usize]
}

fn with_entries(deployment: &Deployment, number: u64, name: &str) -> Vec<Value> {
    let mut resources = deployment.resources();
    for resource in resources.iter_mut().filter(|resource| resource["kind"] == "route") {
        resource["policy"] = json!({ "is_open": true });
    }
    let key = KeyDigest::of(format!("key-{number}").as_bytes());
    resources.extend([
        json!({ "kind": "service", "name": name }),
        json!({ "kind": "route", "name": format!("more-{number}"), "service": name,
            "prefix": format!("/more-{number}/"), "timeout_ms": 2_000 }),
        json!({ "kind": "account", "name": name, "keys": [key], "calls_per_s": 5.0, "burst": 3 }),
    ]);
    resources
}
