//! Which upstream a call goes to.

use super::common::{at, centre, instance, member, ms, region, service, shares, version, view};
use std::collections::BTreeMap;
use sycamore_call::route::{AttemptEnd, VersionBans};
use sycamore_call::{Load, Pick, Router, RouterConfig};
use sycamore_types::prelude::*;

struct World {
    router: Router,
    view: MemberView,
    shares: ShareTable,
    bans: VersionBans,
    tried: Vec<InstanceId>,
}

impl World {
    fn new(members: impl IntoIterator<Item = Member>) -> Self {
        let view = view(members);
        let mut router = Router::new(RouterConfig::default(), 7);
        router.update(at(0), &view);
        let (shares, bans) = (ShareTable::default(), VersionBans::default());
        Self { router, view, shares, bans, tried: Vec::new() }
    }

    fn pick(&mut self, now: Time) -> Option<InstanceId> {
        let (service, centre, region) = (service(), centre("a"), region());
        let pick = Pick {
            service: &service,
            view: &self.view,
            shares: &self.shares,
            bans: &self.bans,
            tried: &self.tried,
            data_centre: &centre,
            region: &region,
            bytes: Some(0),
        };
        self.router.pick(now, &pick).map(|choice| choice.instance)
    }

    /// Makes `count` calls one after the other, each answered with `load`; how many each got.
    fn spread(&mut self, now: Time, count: usize, load: Load) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for _ in 0..count {
            let chosen = self.pick(now).unwrap();
            self.router.ended(now, &chosen, AttemptEnd::Answered(load));
            *counts.entry(chosen.to_string()).or_default() += 1;
        }
        counts
    }
}

const IDLE: Load = Load { running: 0, limit: 10, queued: 0 };
const FULL: Load = Load { running: 10, limit: 10, queued: 10 };

#[test]
fn the_near_data_centre_comes_first_until_it_is_loaded() {
    let mut world = World::new([member("n", "1", "a"), member("f", "1", "b")]);
    let counts = world.spread(at(1), 100, IDLE);
    assert_eq!(counts.get("n"), Some(&100));
    let near = world.pick(at(2)).unwrap();
    world.router.ended(at(2), &near, AttemptEnd::Answered(FULL));
    let spilled: Vec<_> = (0..10).map(|_| world.pick(at(3)).unwrap().to_string()).collect();
    assert!(spilled.iter().all(|name| name == "f"), "{spilled:?}");
}

#[test]
fn a_report_that_is_old_says_nothing() {
    let mut world = World::new([member("n", "1", "a"), member("f", "1", "b")]);
    let near = world.pick(at(0)).unwrap();
    world.router.ended(at(0), &near, AttemptEnd::Answered(FULL));
    assert_eq!(world.pick(at(10)).unwrap().as_str(), "f");
    assert_eq!(world.pick(at(5_000)).unwrap().as_str(), "n");
}

#[test]
fn the_less_loaded_of_two_gets_the_call() {
    let mut world = World::new([member("x", "1", "a"), member("y", "1", "a")]);
    for name in ["x", "y"] {
        // Both are tried once, so that both loads are known.
        let load = if name == "x" { Load { running: 6, ..IDLE } } else { IDLE };
        world.router.ended(at(0), &instance(name), AttemptEnd::Answered(load));
    }
    let mut counts = BTreeMap::new();
    for _ in 0..6 {
        *counts.entry(world.pick(at(1)).unwrap().to_string()).or_insert(0) += 1;
    }
    assert_eq!(counts.get("y"), Some(&6), "{counts:?}");
}

#[test]
fn an_instance_that_is_new_gets_less_at_first() {
    let old: Vec<_> = ["x", "y", "z"].map(|name| member(name, "1", "a")).into();
    let mut world = World::new(old.clone());
    world.view = view(old.into_iter().chain([member("new", "1", "a")]));
    world.router.update(at(10_000), &world.view);
    let cold = world.spread(at(10_000), 400, IDLE).get("new").copied().unwrap_or(0);
    let warm = world.spread(at(16_000), 400, IDLE).get("new").copied().unwrap_or(0);
    assert!(cold < 20, "{cold}");
    assert!((60..=140).contains(&warm), "{warm}");
}

#[test]
fn failures_eject_but_never_the_whole_service() {
    let mut world = World::new(["w", "x", "y", "z"].map(|name| member(name, "1", "a")));
    for name in ["w", "x", "y", "z"] {
        for _ in 0..3 {
            world.router.ended(at(100), &instance(name), AttemptEnd::Failed);
        }
    }
    let mut left = BTreeMap::new();
    for _ in 0..100 {
        *left.entry(world.pick(at(200)).unwrap()).or_insert(0) += 1;
    }
    assert_eq!(left.len(), 2, "half is the floor: {left:?}");
    for name in ["w", "x", "y", "z"] {
        world.router.ended(at(2_500), &instance(name), AttemptEnd::Answered(IDLE));
    }
    assert_eq!(world.spread(at(2_600), 200, IDLE).len(), 4, "ejections end");
}

#[test]
fn a_draining_instance_gets_nothing_more() {
    let mut world = World::new([member("x", "1", "a"), member("y", "1", "a")]);
    world.router.ended(at(0), &instance("x"), AttemptEnd::Draining);
    assert_eq!(world.spread(at(1), 50, IDLE).get("x"), None);
    world.router.ended(at(0), &instance("y"), AttemptEnd::Draining);
    assert_eq!(world.pick(at(2)), None);
}

#[test]
fn versions_get_their_share() {
    let mut world = World::new([member("x", "1", "a"), member("y", "2", "a")]);
    world.shares = shares(9_500, 500);
    let new = world.spread(at(1), 10_000, IDLE)["y"];
    assert!((400..=600).contains(&new), "{new} of 10,000 at 5%");
}

#[test]
fn what_the_new_version_cant_take_goes_to_the_settled_one_and_never_the_other_way() {
    let mut world = World::new([member("x", "1", "a"), member("y", "2", "a")]);
    world.shares = shares(0, 10_000);
    world.bans.insert(service(), version("2"));
    assert_eq!(world.pick(at(1)).unwrap().as_str(), "x");
    world.bans = VersionBans::default();
    world.shares = shares(9_900, 100);
    world.tried = vec![instance("x")];
    let taken = (0..200).filter(|_| world.pick(at(1)).is_some()).count();
    assert!(taken < 20, "{taken} of 200 went to the unproven version at 1%");
}

#[test]
fn an_unproven_version_that_is_unlisted_gets_nothing() {
    let mut world = World::new([member("x", "1", "a"), member("y", "3", "a")]);
    world.shares = shares(9_500, 500);
    assert_eq!(world.spread(at(1), 200, IDLE).get("y"), None);
}

#[test]
fn room_is_what_is_neither_full_nor_leaving_nor_tried() {
    let mut world = World::new([member("x", "1", "a"), member("y", "1", "a")]);
    let has_room = |world: &World, tried: &[InstanceId]| {
        world.router.has_room(at(10), &service(), &world.view, tried)
    };
    assert!(has_room(&world, &[]));
    world.router.ended(at(5), &instance("x"), AttemptEnd::Answered(FULL));
    assert!(!has_room(&world, &[instance("y")]));
    world.router.ended(at(5), &instance("y"), AttemptEnd::NoUpstream);
    assert!(!has_room(&world, &[]));
}

#[test]
fn loads_are_read_back_as_written() {
    let load = Load { running: 3, limit: 12, queued: 1 };
    assert_eq!(load.to_string().parse(), Ok(load));
    for bad in ["", "1/2", "1/2/x", "1/2/3/4", "-1/2/3"] {
        assert!(bad.parse::<Load>().is_err(), "{bad}");
    }
    assert!(ms(1) > ms(0));
}
