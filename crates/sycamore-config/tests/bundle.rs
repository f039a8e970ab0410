//! Validation of bundles, and encoding of manifests and packs.

mod common;

use common::{route, service};
use quickcheck::{quickcheck, TestResult};
use serde_json::json;
use std::time::Duration;
use sycamore_config::manifest::unpack;
use sycamore_config::{Bundle, Diff, Encoded, Manifest};
use sycamore_types::prelude::*;

/// Returns the texts of all faults of an invalid bundle.
fn faults(resources: serde_json::Value) -> Vec<String> {
    let faults = Bundle::from_json(&resources).expect_err("faulty");
    faults.iter().map(ToString::to_string).collect()
}

/// Guards against validation that stops at the first invalid field or resource.
#[test]
fn all_invalid_fields_are_reported() {
    let found = faults(json!([
        {"kind": "service", "name": "counter", "limits": {"queue": 70000, "depth": 1}},
        {"kind": "service", "name": " outer space", "retry": {"attempts": "three"}},
        {"kind": "route", "name": "tickets", "prefix": "/tickets", "colour": "red"},
        {"kind": "gateway"},
        7,
    ]));
    let places: Vec<&str> = found.iter().map(|f| f.split(": ").next().unwrap()).collect();
    assert_eq!(
        places,
        [
            "resources[0].limits.depth",
            "resources[0].limits.queue",
            "resources[1].name",
            "resources[1].retry.attempts",
            "resources[2].colour",
            "resources[2].service",
            "resources[2].timeout_ms",
            "resources[3].kind",
            "resources[4]",
        ]
    );
}

/// Guards against validation that stops at the first duplicate, dangling or out-of-range value.
#[test]
fn all_faults_between_resources_are_reported() {
    let found = faults(json!([
        {"kind": "service", "name": "counter", "limits": {"queue_ms": 60001}},
        {"kind": "service", "name": "counter", "retry": {"attempts": 0}},
        {"kind": "route", "name": "a", "prefix": "/a", "service": "bench", "timeout_ms": 0},
        {"kind": "route", "name": "a", "prefix": "/a/", "service": "counter", "timeout_ms": 10},
        {"kind": "route", "name": "b", "prefix": "b?", "service": "counter", "timeout_ms": 10},
    ]));
    assert_eq!(
        found,
        [
            "resources[0].limits.queue_ms: 60001 is out of range; must be between 0 and 60000",
            "resources[1].name: service counter is already defined by resources[0]",
            "resources[1].retry.attempts: 0 is out of range; must be between 1 and 10",
            "resources[2].service: service bench is not defined in the configuration",
            "resources[2].timeout_ms: 0 is out of range; must be between 1 and 600000",
            "resources[3].name: route a is already defined by resources[2]",
            "resources[3].prefix: prefix /a/ is already used by resources[2]",
            "resources[4].prefix: prefix \"b?\" must start with '/'",
            "resources[4].prefix: character '?' is not allowed in a path prefix",
        ]
    );
}

/// Guards against equal configurations with different manifest hashes.
#[test]
fn encoding_is_independent_of_resource_order() {
    let one = [service("counter"), route("tickets", "counter", 10)];
    let two = [route("tickets", "counter", 10), service("counter")];
    let version = ConfigVersion(3);
    assert_eq!(Encoded::new(&one, version), Encoded::new(&two, version));
    assert_ne!(Encoded::new(&one, version).head, Encoded::new(&one, version.next()).head);
}

/// Guards against refetching unchanged resources after a change.
#[test]
fn a_changed_resource_alone_differs_between_manifests() {
    let old = [service("counter"), route("tickets", "counter", 10)];
    let new = [service("counter"), route("tickets", "counter", 20)];
    let manifest = |resources: &[Resource], version| {
        let encoded = Encoded::new(resources, ConfigVersion(version));
        Manifest::decode(&encoded.manifest).unwrap()
    };
    let diff = Diff::between(&manifest(&old, 1), &manifest(&new, 2));
    assert_eq!((diff.added.len(), diff.removed.len(), diff.kept), (1, 1, 1));
    assert!(Diff::between(&manifest(&old, 1), &manifest(&old, 2)).is_empty());
}

/// Guards against a short prefix that shadows a longer one listed after it.
#[test]
fn the_longest_matching_prefix_is_routed() {
    let bundle = Bundle::from_json(&json!([
        {"kind": "service", "name": "counter"},
        {"kind": "route", "name": "all", "prefix": "/", "service": "counter", "timeout_ms": 10},
        {"kind": "route", "name": "a", "prefix": "/a", "service": "counter", "timeout_ms": 10},
    ]))
    .unwrap();
    let snapshot = bundle.to_snapshot(ConfigVersion(1));
    assert_eq!(snapshot.route("any.example", "/a/b").unwrap().name.as_str(), "a");
    assert_eq!(snapshot.route("any.example", "/ab").unwrap().name.as_str(), "all");
}

quickcheck! {
    /// Guards against objects that are lost or reordered by packing.
    fn packing_and_unpacking_preserves_all_objects(timeouts: Vec<u16>) -> TestResult {
        let mut resources = vec![service("counter")];
        let routes = timeouts.iter().enumerate();
        resources.extend(routes.map(|(i, ms)| route(&format!("r{i}"), "counter", u64::from(*ms) + 1)));
        let encoded = Encoded::new(&resources, ConfigVersion(9));
        let parts = unpack(encoded.pack());
        let unchanged = parts[0] == encoded.manifest && parts[1..] == encoded.resources[..];
        let manifest = Manifest::decode(&encoded.manifest).unwrap();
        let hashes: Vec<ContentHash> = encoded.resources.iter().map(|b| ContentHash::of(b)).collect();
        TestResult::from_bool(unchanged && manifest.resources == hashes && manifest.version == ConfigVersion(9))
    }

    /// Guards against panics on malformed input, and against manifests with unsorted hashes.
    fn decoding_malformed_bytes_does_not_panic(bytes: Vec<u8>) -> bool {
        let _ = unpack(bytes.clone().into());
        Manifest::decode(&bytes).is_none_or(|manifest| manifest.resources.is_sorted())
    }
}

/// Guards against a process that ends because a validated time can't be encoded, or because a timer
/// can't be set to it.
#[test]
fn times_that_no_timer_holds_are_reported() {
    let found = faults(json!([
        {"kind": "service", "name": "counter"},
        {"kind": "route", "name": "a", "prefix": "/a", "service": "counter", "timeout_ms": 10,
         "policy": {"objective_ms": u64::MAX}},
        {"kind": "callers", "head_ms": (u64::MAX / 2) + 1, "idle_ms": u64::MAX},
    ]));
    let range = "is out of range; must be between 0 and 9223372036854775807";
    assert_eq!(
        found,
        [
            format!("resources[1].policy.objective_ms: {} {range}", u64::MAX),
            format!("resources[2].head_ms: 9223372036854775808 {range}"),
            format!("resources[2].idle_ms: {} {range}", u64::MAX),
        ]
    );
    let callers = CallerLimits { idle_time: Duration::MAX, ..CallerLimits::default() };
    assert!(Bundle::new(vec![Resource::Callers(callers)]).is_err());
}

/// Guards against a bound on prefixes below what a request head has room for, and against none.
#[test]
fn only_prefixes_longer_than_any_head_are_reported() {
    let with_prefix = |len: usize| {
        json!([
            {"kind": "service", "name": "counter"},
            {"kind": "route", "name": "a", "prefix": format!("/{}", "p".repeat(len - 1)),
             "service": "counter", "timeout_ms": 10},
        ])
    };
    assert!(Bundle::from_json(&with_prefix(1 << 20)).is_ok());
    assert_eq!(
        faults(with_prefix((1 << 20) + 1)),
        ["resources[1].prefix: has 1048577 bytes; at most 1048576 are allowed"]
    );
}

/// Guards against a check of prefixes that lets characters pass which no path of a request holds.
#[test]
fn characters_that_no_path_holds_are_reported() {
    for c in [' ', '\t', '\n', '\0', '\u{7f}', '?', '#'] {
        let found = faults(json!([
            {"kind": "service", "name": "counter"},
            {"kind": "route", "name": "a", "prefix": format!("/a{c}"), "service": "counter",
             "timeout_ms": 10},
        ]));
        let expected = format!("character {c:?} is not allowed in a path prefix");
        assert_eq!(found, [format!("resources[1].prefix: {expected}")]);
    }
}

/// Guards against hosts that no request selects, since the port of a request's host is ignored, or
/// that are no hosts.
#[test]
fn hosts_with_a_port_or_other_parts_are_reported() {
    for (host, c) in [
        ("a:80", ':'),
        ("[::1]:80", ':'),
        ("::1", ':'),
        ("[a:80]", ':'),
        ("[::1", ':'),
        ("a/b", '/'),
        ("a@b", '@'),
        ("a b", ' '),
    ] {
        let found = faults(json!([
            {"kind": "service", "name": "counter"},
            {"kind": "route", "name": "a", "host": host, "prefix": "/a", "service": "counter",
             "timeout_ms": 10},
        ]));
        let expected = format!("character {c:?} is not allowed in a host name");
        assert_eq!(found, [format!("resources[1].host: {expected}")], "{host}");
    }
}
