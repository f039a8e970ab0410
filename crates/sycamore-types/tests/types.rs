//! Tests of identifier validation, hybrid logical clocks and route selection.

use quickcheck::quickcheck;
use sycamore_types::prelude::*;

/// Guards against accepting an empty or overlong identifier, or one with a space, a slash or a
/// non-ASCII character.
#[test]
fn invalid_identifiers_are_rejected() {
    assert!(RouteName::new("book-bahi_2.x:y").is_ok());
    for bad in ["", "a b", "a/b", "č", &"x".repeat(65)] {
        assert!(RouteName::new(bad).is_err(), "{bad:?} was accepted");
        assert!(InstanceId::new(bad).is_err(), "{bad:?} was accepted");
    }
}

/// Guards against refusing the name of a service that a header field carries, which has every node reject
/// the configuration, and against one that upstreams would be told differently.
#[test]
fn names_of_services_are_what_a_header_field_carries_unchanged() {
    for name in ["book-bahi_2.x:y", "Repair desk", "a/b", "\u{10d}", &"x".repeat(1_024)] {
        assert_eq!(ServiceName::new(name).as_ref().map(ServiceName::as_str), Ok(name));
    }
    for bad in ["", " a", "a ", "\ta", "a\nb", "a\r", "\0", "\u{7f}", &"x".repeat(1_025)] {
        assert!(ServiceName::new(bad).is_err(), "{bad:?} was accepted");
    }
}

/// Guards against refusing the name of an account that a header field carries, which has every node reject
/// the configuration, and against one that upstreams would be told differently.
#[test]
fn names_of_accounts_are_what_a_header_field_carries_unchanged() {
    for name in ["hule930", "Farmacia del Centro", "\u{10d}", "a\tb", "a;b", &"x".repeat(1_024)] {
        assert_eq!(AccountName::new(name).as_ref().map(AccountName::as_str), Ok(name));
    }
    for bad in ["", " a", "a ", "\ta", "a\nb", "a\r", "\0", "\u{7f}", &"x".repeat(1_025)] {
        assert!(AccountName::new(bad).is_err(), "{bad:?} was accepted");
    }
}

/// Guards against a share beyond all traffic, as another writer may state it.
#[test]
fn shares_above_all_traffic_are_refused() {
    assert_eq!(Share::try_from(10_000).ok(), Some(Share::ALL));
    assert!(Share::try_from(10_001).is_err());
    assert_eq!(u16::from(Share::from_basis_points(250)), 250);
}

/// Guards against a prefix that matches in the middle of a path segment, such as `/tickets` on
/// `/ticketsale`.
#[test]
fn a_prefix_matches_whole_path_segments_only() {
    let route = |prefix: &str| Route {
        name: RouteName::new("r").expect("valid"),
        host: None,
        prefix: prefix.to_owned(),
        service: ServiceName::new("s").expect("valid"),
        split: Vec::new(),
        timeout: std::time::Duration::from_secs(1),
        policy: RoutePolicy::default(),
        fault: None,
    };
    let snapshot = Snapshot {
        routes: vec![route("/tickets/open"), route("/tickets")].into(),
        ..Default::default()
    };
    let prefix = |path: &str| snapshot.route("any.example", path).map(|route| route.prefix.clone());
    assert_eq!(prefix("/tickets/open/7").as_deref(), Some("/tickets/open"));
    assert_eq!(prefix("/tickets?id=7").as_deref(), Some("/tickets"));
    assert_eq!(prefix("/ticketsale"), None);
}

quickcheck! {
    // Guards against a clock reading that doesn't exceed its predecessor or the received stamp.
    fn stamps_increase_on_tick_and_merge(wall: u32, logical: u32, other_wall: u32, now: u32) -> bool {
        let at = |millis: u32| WallTime(u64::from(millis));
        let stamp = Stamp { wall: at(wall), logical };
        let other = Stamp { wall: at(other_wall), logical: 0 };
        let merged = stamp.merge(other, at(now));
        stamp.tick(at(now)) > stamp && merged > stamp && merged > other
    }

    // Guards against a text form of a fingerprint that doesn't parse back to the same value.
    fn fingerprints_survive_formatting_and_parsing(id: u64) -> bool {
        Fingerprint(id).to_string().parse() == Ok(Fingerprint(id))
    }
}

/// Guards against a route of another host, or of every host, that takes calls of a host with its
/// own route, and against comparing the host's case or port.
#[test]
fn routes_are_selected_by_host_and_longest_prefix() {
    let route = |host: Option<&str>, prefix: &str| Route {
        name: RouteName::new("r").expect("valid"),
        host: host.map(str::to_owned),
        prefix: prefix.to_owned(),
        service: ServiceName::new("s").expect("valid"),
        split: Vec::new(),
        timeout: std::time::Duration::from_secs(1),
        policy: RoutePolicy::default(),
        fault: None,
    };
    let routes = vec![
        route(Some("a.example"), "/x/y/"),
        route(Some("b.example"), "/x/"),
        route(None, "/x/"),
    ];
    let snapshot = Snapshot { routes: routes.into(), ..Default::default() };
    let found = |host: &str, path: &str| {
        snapshot.route(host, path).map(|route| (route.host.clone(), route.prefix.clone()))
    };
    let expected = |host: &str, prefix: &str| Some((Some(host.to_owned()), prefix.to_owned()));
    assert_eq!(found("a.example", "/x/y/1"), expected("a.example", "/x/y/"));
    assert_eq!(found("A.Example:8080", "/x/y/1"), expected("a.example", "/x/y/"));
    assert_eq!(found("b.example", "/x/y/1"), expected("b.example", "/x/"));
    assert_eq!(found("c.example", "/x/1"), Some((None, "/x/".to_owned())));
    assert_eq!(found("c.example", "/z"), None);
}
