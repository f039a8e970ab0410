//! Tests of large request bodies across data centres: an upload waits a little for the near
//! upstream where a lookup goes to a far one, since sending its body is expensive; under overload
//! everywhere, calls stay near.

use crate::common::{at, centre, member, region, service, view};
use sycamore_call::route::{AttemptEnd, VersionBans};
use sycamore_call::{Load, Pick, Router, RouterConfig};
use sycamore_types::prelude::*;

/// Returns the instance that a call with a body of `bytes` goes to, `near` or `far`, at these
/// loads.
fn goes_to(near: Load, far: Load, bytes: Option<u64>) -> String {
    let view = view([member("near", "1", "a"), member("far", "1", "b")]);
    let mut router = Router::new(RouterConfig::default(), 7);
    router.update(at(0), &view);
    let (service, centre, region) = (service(), centre("a"), region());
    let (shares, bans) = (ShareTable::default(), VersionBans::default());
    let pick = Pick {
        service: &service,
        view: &view,
        shares: &shares,
        bans: &bans,
        out_of_use: &Default::default(),
        tried: &[],
        data_centre: &centre,
        region: &region,
        bytes,
    };
    for (name, load) in [("near", near), ("far", far)] {
        let instance = InstanceId::new(name).unwrap();
        router.record_end(at(1), &instance, AttemptEnd::Answered(load));
    }
    router.pick(at(2), &pick).unwrap().instance.to_string()
}

fn load(running: u16, queued: u16) -> Load {
    Load { running, limit: 10, queued, rate_percent: None }
}

/// Guards against sending a large body to another data centre for a short queue.
#[test]
fn large_bodies_stay_near_where_small_ones_go_far() {
    let (near, far) = (load(10, 1), load(5, 0));
    assert_eq!(goes_to(near, far, Some(0)), "far");
    assert_eq!(goes_to(near, far, Some(60_000)), "near");
    assert_eq!(goes_to(near, far, None), "near", "a body of unknown length counts as heavy");
}

/// Guards against keeping a large body near at any price while a far instance is nearly idle.
#[test]
fn large_bodies_go_far_when_the_near_queue_is_long() {
    assert_eq!(goes_to(load(10, 10), load(3, 0), Some(60_000)), "far");
}

/// Guards against traffic between data centres that gains nothing because both are overloaded.
#[test]
fn calls_stay_near_under_equal_load() {
    for bytes in [0, 4_000, 60_000] {
        assert_eq!(goes_to(load(10, 5), load(10, 5), Some(bytes)), "near");
    }
}
