//! Configurations that grow by thousands of routes, on each way between nodes.
//!
//! An operator's row is accepted by the platform up to its own limits. A bound between nodes below
//! that keeps every node on the version before for good. [`bounds`] names the bound that fails,
//! [`fleet`] shows what it does to all nodes.

#[path = "../common/mod.rs"]
mod common;

mod bounds;
mod fleet;

use common::{route, service};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use sycamore_types::prelude::*;

/// Number of routes of the first configuration.
const FIRST_ROUTES: usize = 800;
/// Number of routes that one growth adds.
const GROWTH: usize = 1_400;
/// Number of services and caller limits beside the routes.
const OTHER_ENTRIES: usize = 17;
/// Entries of the configuration that every node of the incident rejected.
const INCIDENT: usize = 5_017;
/// Entries of a configuration whose row the platform still accepts.
const LARGE: usize = 16_000;

fn random_name(random: &mut SmallRng, length: usize) -> String {
    const LETTERS: &[u8] = b"abcdefghijklmnopqrstuvwxyz0123456789";
    let letter = |_| char::from(LETTERS[random.random_range(0..LETTERS.len())]);
    (0..length).map(letter).collect()
}

fn service_name(at: usize) -> String {
    format!("svc{at:02}xa")
}

/// Creates a route as the users' operators write it: about 190 bytes encoded.
fn operator_route(random: &mut SmallRng) -> Resource {
    let to = service_name(random.random_range(0..OTHER_ENTRIES - 1));
    let name = format!("r-{}", random_name(random, 7));
    let Resource::Route(route) = route(&name, &to, 1_200) else { unreachable!("a route") };
    let policy = RoutePolicy {
        repeat: Repeat::Always,
        attempts: Some(3),
        objective: Some(Duration::from_millis(random.random_range(100..900))),
        rank: Some(random.random_range(0..3)),
        is_open: false,
    };
    let (host, prefix) = (Some("h1.example".to_owned()), format!("/{}/", random_name(random, 8)));
    Resource::Route(Route { host, prefix, policy, ..route })
}

/// Creates the first `entries` entries of an operator's growing configuration.
fn entries(entries: usize) -> Vec<Resource> {
    let mut random = SmallRng::seed_from_u64(11);
    let services = (0..OTHER_ENTRIES - 1).map(|at| service(&service_name(at)));
    let mut resources: Vec<Resource> = services.collect();
    resources.push(Resource::Callers(CallerLimits::default()));
    resources.extend((resources.len()..entries).map(|_| operator_route(&mut random)));
    resources
}

/// Changes the weights of the last route to those of `version`.
fn change_weights(resources: &mut [Resource], version: u64) {
    let Some(Resource::Route(route)) = resources.last_mut() else { unreachable!("a route") };
    let weight = |at, weight| WeightedService {
        service: ServiceName::new(service_name(at)).expect("constant identifier"),
        weight,
    };
    let share = u32::try_from(version).expect("few versions");
    route.split = vec![weight(0, 100 - share), weight(1, share)];
}

/// Returns `count` entries with another timeout of every route.
fn rewritten(count: usize) -> Vec<Resource> {
    let mut resources = entries(count);
    for resource in &mut resources {
        if let Resource::Route(route) = resource {
            route.timeout = Duration::from_millis(1_500);
        }
    }
    resources
}
