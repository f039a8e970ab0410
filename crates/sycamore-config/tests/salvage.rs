//! Configurations of which some entries can't be applied: the others must be in force.

#![allow(clippy::unwrap_used, reason = "tests")]

mod common;

use common::{route, service};
use sycamore_config::bundle::MAX_RESOURCES;
use sycamore_config::{Bundle, Fault};
use sycamore_types::prelude::*;

/// Returns a route to `counter` with this host and prefix.
fn route_at(name: &str, host: &str, prefix: &str) -> Route {
    let Resource::Route(route) = route(name, "counter", 10) else { unreachable!("a route") };
    Route { host: Some(host.to_owned()), prefix: prefix.to_owned(), ..route }
}

/// Applies the routes beside one for every path, as followers do that receive them.
fn salvage(routes: impl IntoIterator<Item = Route>) -> (Snapshot, Vec<Fault>) {
    let whole = route_at("all", "shop.example", "/");
    let routes = routes.into_iter().chain([whole]).map(Resource::Route);
    let (bundle, faults) =
        Bundle::salvage([service("counter")].into_iter().chain(routes).collect()).unwrap();
    let resources = serde_json::to_value(bundle.resources()).unwrap();
    let decoded: Vec<Resource> = serde_json::from_value(resources).unwrap();
    assert_eq!(decoded, bundle.resources());
    (Bundle::new(decoded).unwrap().to_snapshot(ConfigVersion(1)), faults)
}

/// Guards against a configuration without faults that changes on its way.
#[test]
fn valid_configurations_are_unchanged() {
    let resources = vec![service("counter"), route("a", "counter", 10)];
    let (bundle, faults) = Bundle::salvage(resources.clone()).unwrap();
    assert_eq!((bundle, faults), (Bundle::new(resources).unwrap(), Vec::new()));
}

/// Guards against a route that costs the others because no request can select it.
#[test]
fn routes_that_no_request_selects_are_left_out() {
    for (host, prefix) in [
        ("shop.example", ""),
        ("shop.example", "no-slash/"),
        ("shop.example", "/a b/"),
        ("shop.example", "/a\n/"),
        ("shop.example", "/a?/"),
        ("shop example", "/a/"),
        ("shop/example", "/a/"),
        ("shop.example", &format!("/{}/", "p".repeat(1 << 20))),
    ] {
        let (snapshot, faults) = salvage([route_at("odd", host, prefix)]);
        assert_eq!(snapshot.routes.len(), 1, "{host} {prefix:.9}");
        assert_eq!(snapshot.route("shop.example", "/a/7").unwrap().name.as_str(), "all");
        assert_eq!(faults.len(), 1, "{faults:?}");
    }
}

/// Guards against two routes of one host and prefix that cost the configuration: the first is selected.
#[test]
fn the_first_of_two_routes_of_one_prefix_is_taken() {
    let twice = ["/a/", "/a"].map(|other| {
        [route_at("first", "shop.example", "/a/"), route_at("second", "shop.example", other)]
    });
    for routes in twice {
        let (snapshot, faults) = salvage(routes);
        assert_eq!(snapshot.route("shop.example", "/a/7").unwrap().name.as_str(), "first");
        assert_eq!(faults.len(), 1, "{faults:?}");
    }
}

/// Guards against calls that a route with a shorter prefix takes since their own can't be applied: they
/// would be run by a service that the configuration doesn't name for them.
#[test]
fn a_faulty_route_keeps_its_calls_from_other_routes() {
    let dangling = Route {
        service: ServiceName::new("nobody").unwrap(),
        ..route_at("odd", "shop.example", "/a/")
    };
    let (snapshot, faults) = salvage([dangling]);
    assert!(snapshot.route("shop.example", "/a/7").unwrap().fault.is_some(), "{faults:?}");
    let part = WeightedService { service: ServiceName::new("counter").unwrap(), weight: 0 };
    let odd = Route { split: vec![part], ..route_at("odd", "shop.example", "/a/") };
    let (snapshot, faults) = salvage([odd]);
    let found = snapshot.route("shop.example", "/a/7").unwrap();
    assert_eq!(found.name.as_str(), "odd");
    assert!(found.fault.as_deref().is_some_and(|why| why.contains("weight")), "{found:?}");
    assert!(faults[0].place.ends_with(".split"), "{faults:?}");
    assert_eq!(snapshot.route("shop.example", "/b/7").unwrap().fault, None);
}

/// Guards against a fault of an account that leaves the configuration without accounts, so that calls
/// would need no key.
#[test]
fn a_faulty_account_stays_with_its_keys() {
    let key = KeyDigest::of(b"k-1");
    let name = AccountName::new("a").unwrap();
    let sound =
        ClientAccount { fault: None, ..ClientAccount::faulty(name, vec![key], String::new()) };
    let odd = ClientAccount { burst: u32::MAX, ..sound };
    let (bundle, faults) = Bundle::salvage(vec![Resource::Account(odd)]).unwrap();
    let snapshot = bundle.to_snapshot(ConfigVersion(1));
    assert!(snapshot.accounts.with_key(&key).is_some_and(|account| account.fault.is_some()));
    assert_eq!(faults.len(), 1, "{faults:?}");
}

/// Guards against a configuration that nodes can't pass on to each other.
#[test]
fn too_many_entries_reject_the_whole() {
    let services = (0..=MAX_RESOURCES).map(|i| service(&format!("s{i}")));
    assert!(Bundle::salvage(services.collect()).is_err());
}
