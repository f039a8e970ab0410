//! Tests of the index by which calls find their route.

use quickcheck::quickcheck;
use sycamore_types::prelude::*;

/// Route `r<at>` of the table.
fn route(at: usize, host: Option<&str>, prefix: &str) -> Route {
    Route {
        name: RouteName::new(format!("r{at}")).expect("valid"),
        host: host.map(str::to_owned),
        prefix: prefix.to_owned(),
        service: ServiceName::new("s").expect("valid"),
        split: Vec::new(),
        timeout: std::time::Duration::from_secs(1),
        policy: RoutePolicy::default(),
        fault: None,
    }
}

/// Rule that the index must follow: the first route of the list that matches.
fn first_match<'a>(routes: &'a [Route], host: &str, path: &str) -> Option<&'a Route> {
    routes.iter().find(|route| {
        let rest = path.strip_prefix(&route.prefix);
        route.host.as_deref().is_none_or(|expected| expected.eq_ignore_ascii_case(host))
            && rest.is_some_and(|rest| {
                rest.is_empty() || route.prefix.ends_with('/') || rest.starts_with(['/', '?'])
            })
    })
}

fn host(choice: u8) -> Option<&'static str> {
    [None, Some("a.example"), Some("A.Example"), Some("b.example")][usize::from(choice % 4)]
}

/// Text of few segments, so that prefixes and paths are often equal or one below the other.
fn path(choices: &[u8]) -> String {
    let parts = ["/", "a", "/a", "/b", "/ab", "/a/", "/č", "?"];
    choices.iter().take(6).map(|choice| parts[usize::from(choice % 8)]).collect()
}

quickcheck! {
    // Guards against an index that finds another route than the first match, or none: "/a/" for the
    // path "/a", "/a" for "/ab", a route of every host before one of this host, a shorter prefix.
    fn the_index_finds_the_first_match(
        table: Vec<(u8, Vec<u8>)>,
        calls: Vec<(u8, Vec<u8>)>
    ) -> bool {
        let routes = table.iter().enumerate();
        let routes: Vec<Route> =
            routes.map(|(at, (h, prefix))| route(at, host(*h), &path(prefix))).collect();
        let index = RouteTable::from(routes.clone());
        calls.iter().all(|(h, choices)| {
            let (host, path) = (host(*h).unwrap_or("c.example"), path(choices));
            index.find(host, &path) == first_match(&routes, host, &path)
        })
    }
}

/// Returns the number of routes that are compared with a call of the last of `count` routes.
fn compared(count: usize) -> usize {
    let routes = (0..count).map(|at| route(at, None, &format!("/group-{}/item-{at}", at % 7)));
    let index = RouteTable::from(routes.collect::<Vec<_>>());
    let path = format!("/group-{}/item-{}/7", (count - 1) % 7, count - 1);
    assert_eq!(index.find("any.example", &path), index.last());
    index.candidates("any.example", &path).count()
}

/// Guards against a lookup that compares a call with every route: each call of a configuration of
/// 32,768 routes then holds up all others of its node.
#[test]
fn the_routes_compared_with_a_call_do_not_grow_with_the_configuration() {
    let few = compared(10);
    for count in [150, 5_000, 32_768] {
        assert_eq!(compared(count), few, "with {count} routes");
    }
}

/// Guards against a clone that copies the routes or builds the index again, for which the event
/// loop would wait.
#[test]
fn clones_share_the_routes() {
    let routes = (0..9).map(|at| route(at, None, &format!("/{at}"))).collect::<Vec<_>>();
    let snapshot = Snapshot { routes: routes.into(), ..Default::default() };
    let newer = Snapshot { version: ConfigVersion(2), ..snapshot.clone() };
    assert_eq!(newer.routes.as_ptr(), snapshot.routes.as_ptr());
}
