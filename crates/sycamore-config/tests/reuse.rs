//! Configurations that a node builds from what it has in force and a change.

mod common;

use bytes::Bytes;
use common::{route, service};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use sycamore_config::{Action, Apply, ApplySettings, Bundle, Delta, Encoded, Input, RejectReason};
use sycamore_types::prelude::*;

/// Number of routes in the first version.
const ROUTES: usize = 1_500;
/// Number of services in the first version.
const SERVICES: usize = 20;
/// Number of versions after the first one.
const VERSIONS: u64 = 24;
/// Number of seeds, each with its own versions.
const SEEDS: u64 = 3;
/// Upper bound on the routes that one change adds, removes or modifies.
const MAX_CHANGED: usize = 40;
/// Resource of a format that this release doesn't know.
const UNKNOWN_RESOURCE: &[u8] = br#"{"kind":"mirror","name":"later"}"#;

fn random_route(random: &mut SmallRng, name: usize) -> Resource {
    let service = format!("service-{}", random.random_range(0..SERVICES));
    let Resource::Route(mut new) = route(&format!("route-{name}"), &service, 1_000) else {
        unreachable!("the constructor returns a route")
    };
    new.host = random.random_bool(0.2).then(|| "tickets.example".to_owned());
    if random.random_bool(0.2) {
        new.split = vec![WeightedService { service: new.service.clone(), weight: 3 }];
    }
    Resource::Route(new)
}

/// Sequence of configurations, each a change of the latest valid one.
struct Operator {
    random: SmallRng,
    /// Resources of the latest valid configuration.
    resources: Vec<Resource>,
    /// Number of routes ever created.
    routes: usize,
}

impl Operator {
    fn new(seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let services = (0..SERVICES).map(|at| service(&format!("service-{at}")));
        let mut resources: Vec<Resource> = services.collect();
        resources.extend((0..ROUTES).map(|name| random_route(&mut random, name)));
        Self { random, resources, routes: ROUTES }
    }

    /// Returns the index of a random route.
    fn random_at(&mut self) -> usize {
        let routes = self.resources.iter().enumerate();
        let routes = routes.filter(|(_, resource)| matches!(resource, Resource::Route(_)));
        let routes: Vec<usize> = routes.map(|(at, _)| at).collect();
        routes[self.random.random_range(0..routes.len())]
    }

    fn add(&mut self) {
        self.resources.push(random_route(&mut self.random, self.routes));
        self.routes += 1;
    }

    fn remove(&mut self) {
        let at = self.random_at();
        self.resources.remove(at);
    }

    fn modify(&mut self) {
        let at = self.random_at();
        let timeout_ms = self.random.random_range(1..10_000);
        if let Resource::Route(route) = &mut self.resources[at] {
            route.timeout = std::time::Duration::from_millis(timeout_ms);
        }
    }

    /// Exchanges the prefixes of two routes, which changes the order of precedence.
    fn reorder(&mut self) {
        let (first, second) = (self.random_at(), self.random_at());
        let prefix = |resource: &Resource| match resource {
            Resource::Route(route) => (route.host.clone(), route.prefix.clone()),
            Resource::Service(_) | Resource::Callers(_) | Resource::Account(_) => {
                unreachable!("a route's index")
            }
        };
        let prefixes = [prefix(&self.resources[second]), prefix(&self.resources[first])];
        for (at, (host, prefix)) in [first, second].into_iter().zip(prefixes) {
            if let Resource::Route(route) = &mut self.resources[at] {
                (route.host, route.prefix) = (host, prefix);
            }
        }
    }

    /// Sets or removes the limits of callers.
    fn limit_callers(&mut self) {
        let before = self.resources.len();
        self.resources.retain(|resource| !matches!(resource, Resource::Callers(_)));
        if self.resources.len() == before {
            let head_bytes = self.random.random_range(1_024..65_536);
            self.resources
                .push(Resource::Callers(CallerLimits { head_bytes, ..CallerLimits::default() }));
        }
    }

    /// Makes a valid change.
    fn change(&mut self) {
        for _ in 0..self.random.random_range(1..=MAX_CHANGED) {
            match self.random.random_range(0..4) {
                0 => self.add(),
                1 => self.remove(),
                2 => self.modify(),
                _ => self.reorder(),
            }
        }
        if self.random.random_bool(0.3) {
            self.limit_callers();
        }
        self.resources.shuffle(&mut self.random);
    }

    /// Returns the latest configuration with a change that makes resources in force faulty, or with
    /// one that can't be decoded.
    fn faulty(&mut self, version: u64) -> Encoded {
        let mut resources = self.resources.clone();
        let at = self.random_at();
        let mut unknown = None;
        match self.random.random_range(0..4) {
            // Routes in force refer to the service.
            0 => resources.retain(|resource| match resource {
                Resource::Service(service) => service.name.as_str() != "service-3",
                Resource::Route(_) | Resource::Callers(_) | Resource::Account(_) => true,
            }),
            // The name or the prefix of a route in force is used again.
            1 | 2 => {
                let mut again = resources[at].clone();
                if let Resource::Route(route) = &mut again {
                    route.timeout += std::time::Duration::from_secs(60);
                    if self.random.random_bool(0.5) {
                        route.name = RouteName::new("another").expect("constant identifier");
                    } else {
                        route.prefix = "/another".to_owned();
                    }
                }
                resources.push(again);
            }
            _ => unknown = Some(Bytes::from_static(UNKNOWN_RESOURCE)),
        }
        let encoded = Encoded::new(&resources, ConfigVersion(version));
        match unknown {
            Some(body) => with_body(encoded, body),
            None => encoded,
        }
    }
}

/// Adds a resource to `encoded` that this release can't encode itself.
fn with_body(encoded: Encoded, body: Bytes) -> Encoded {
    let version = encoded.head.version;
    let mut resources = encoded.resources;
    resources.push(body);
    resources.sort_by_key(|body| ContentHash::of(body));
    let mut manifest = vec![0x08, u8::try_from(version.0).expect("a version of one byte")];
    for body in &resources {
        manifest.extend([0x12, 32]);
        manifest.extend(ContentHash::of(body).0);
    }
    let head = ConfigHead { version, manifest: ContentHash::of(&manifest) };
    Encoded { head, manifest: manifest.into(), resources }
}

/// Returns the delta from `base` to `to`, which also names some resources that `base` has already
/// or doesn't have.
fn delta(random: &mut SmallRng, base: &Encoded, to: &Encoded) -> Delta {
    let before: BTreeSet<&Bytes> = base.resources.iter().collect();
    let after: BTreeSet<&Bytes> = to.resources.iter().collect();
    let removed = before.difference(&after).map(|body| ContentHash::of(body));
    let mut removed: Vec<ContentHash> = removed.chain([ContentHash([3; 32])]).collect();
    let kept = to.resources.iter().step_by(97);
    let mut added: Vec<Bytes> = after.difference(&before).copied().chain(kept).cloned().collect();
    removed.shuffle(random);
    added.shuffle(random);
    Delta { base: base.head.manifest, head: to.head, removed, added }
}

fn starting() -> Apply {
    let mut apply = Apply::new(ApplySettings::default());
    apply.step(Time::default(), Input::Floor(ConfigVersion(1)));
    apply
}

/// Returns what a node has to do with `encoded`, from its resources decoded and validated as a whole.
fn expected(encoded: &Encoded) -> Action {
    let head = encoded.head;
    let mut resources = Vec::new();
    for body in &encoded.resources {
        match serde_json::from_slice(body) {
            Ok(resource) => resources.push(resource),
            Err(_) => {
                let reason = RejectReason::BadResource(ContentHash::of(body));
                return Action::Reject { head, reason };
            }
        }
    }
    match Bundle::new(resources) {
        Ok(bundle) => Action::Apply(bundle.to_snapshot(head.version)),
        Err(faults) => Action::Reject { head, reason: RejectReason::Faulty(faults) },
    }
}

fn pack(encoded: &Encoded) -> Input {
    Input::PackReceived { head: encoded.head, pack: encoded.pack() }
}

/// Guards against a configuration that depends on the way by which it came: resources in force are
/// not decoded again, so a stale, missing or unchecked one would be routed by on the nodes that
/// got the change, and not on those that got the whole.
#[test]
fn a_change_of_a_large_configuration_gives_the_same_as_the_whole() {
    let (mut applied, mut faulty, mut undecodable) = (0, 0, 0);
    for seed in 0..SEEDS {
        let mut operator = Operator::new(seed);
        let mut in_force = Encoded::new(&operator.resources, ConfigVersion(1));
        let (mut by_delta, mut by_pack) = (starting(), starting());
        by_delta.step(Time::default(), pack(&in_force));
        by_pack.step(Time::default(), pack(&in_force));
        for version in 2..2 + VERSIONS {
            let next = match operator.random.random_bool(0.3) {
                true => operator.faulty(version),
                false => {
                    operator.change();
                    Encoded::new(&operator.resources, ConfigVersion(version))
                }
            };
            let change = delta(&mut operator.random, &in_force, &next);
            let changed = by_delta.step(Time::default(), Input::DeltaReceived(change));
            let mut fresh = starting();
            let whole = fresh.step(Time::default(), pack(&next));
            assert!(whole == [expected(&next)], "seed {seed}, version {version}: the whole");
            assert!(changed == whole, "seed {seed}, version {version}: the change");
            let again = by_pack.step(Time::default(), pack(&next));
            assert!(again == whole, "seed {seed}, version {version}: the whole after another");
            assert!(by_delta == by_pack, "seed {seed}, version {version}: the states differ");
            match whole.as_slice() {
                [Action::Apply(_)] => {
                    assert_eq!(by_delta.size(), fresh.size());
                    applied += 1;
                    in_force = next;
                }
                [Action::Reject { reason: RejectReason::Faulty(_), .. }] => faulty += 1,
                [Action::Reject { reason: RejectReason::BadResource(_), .. }] => undecodable += 1,
                actions => panic!("seed {seed}, version {version}: {actions:?}"),
            }
        }
    }
    assert!(applied > 0 && faulty > 0 && undecodable > 0, "the changes are too alike");
}
