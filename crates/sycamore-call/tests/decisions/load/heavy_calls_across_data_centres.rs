//! Heavy calls across data centres: an upload waits for the near upstream a little where a lookup goes
//! to a far one, since its way is dear; in overload everywhere nobody travels for nothing.

use crate::common::{at, centre, member, region, service, view};
use sycamore_call::route::{AttemptEnd, VersionBans};
use sycamore_call::{Load, Pick, Router, RouterConfig};
use sycamore_types::prelude::*;

/// Which of a near and a far instance a call of `bytes` goes to, at these loads.
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
        tried: &[],
        data_centre: &centre,
        region: &region,
        bytes,
    };
    for (name, load) in [("near", near), ("far", far)] {
        let instance = InstanceId::new(name).unwrap();
        router.ended(at(1), &instance, AttemptEnd::Answered(load));
    }
    router.pick(at(2), &pick).unwrap().instance.to_string()
}

fn load(running: u16, queued: u16) -> Load {
    Load { running, limit: 10, queued }
}

#[test]
fn an_upload_stays_near_where_a_lookup_goes_far() {
    let (near, far) = (load(10, 1), load(5, 0));
    assert_eq!(goes_to(near, far, Some(0)), "far");
    assert_eq!(goes_to(near, far, Some(60_000)), "near");
    assert_eq!(goes_to(near, far, None), "near", "a body of unknown length counts as heavy");
}

#[test]
fn an_upload_goes_far_rather_than_into_a_long_queue() {
    assert_eq!(goes_to(load(10, 10), load(3, 0), Some(60_000)), "far");
}

#[test]
fn nobody_goes_far_for_the_same_queue() {
    for bytes in [0, 4_000, 60_000] {
        assert_eq!(goes_to(load(10, 5), load(10, 5), Some(bytes)), "near");
    }
}
