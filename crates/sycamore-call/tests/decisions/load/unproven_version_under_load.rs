//! Test of a version that fails only under load: its small share must load some instance as much as
//! the stable version's instances are loaded, or the failure shows only once it has most of the
//! traffic.

use crate::common::{at, centre, member, region, service, shares, view};
use std::collections::BTreeMap;
use sycamore_call::route::{AttemptEnd, VersionBans};
use sycamore_call::{Load, Pick, Router, RouterConfig};

/// Guards against spreading an unproven version's small share over all of its instances, and
/// against loading one of them more than the stable version's.
#[test]
fn a_small_share_loads_one_instance_as_much_as_the_stable_version() {
    let old = ["o1", "o2", "o3", "o4"].map(|name| member(name, "1", "a"));
    let new = ["n1", "n2", "n3", "n4"].map(|name| member(name, "2", "a"));
    let view = view(old.iter().chain(&new).cloned());
    let mut router = Router::new(RouterConfig::default(), 3);
    router.update(at(0), &view);
    let half = Load { running: 5, limit: 10, queued: 0, rate_percent: None };
    for member in &old {
        router.record_end(at(1), &member.instance, AttemptEnd::Answered(half));
    }
    let (service, centre, region) = (service(), centre("a"), region());
    let (shares, bans) = (shares(9_000, 1_000), VersionBans::default());
    let pick = Pick {
        service: &service,
        view: &view,
        shares: &shares,
        bans: &bans,
        out_of_use: &Default::default(),
        tried: &[],
        data_centre: &centre,
        region: &region,
        bytes: Some(0),
    };
    let mut in_flight: BTreeMap<String, u32> = BTreeMap::new();
    // At a share of 10%, about five of these calls go to the new version and stay in flight.
    for _ in 0..50 {
        let choice = router.pick(at(2), &pick).unwrap();
        if choice.version.as_str() == "2" {
            *in_flight.entry(choice.instance.to_string()).or_default() += 1;
        }
    }
    let all: u32 = in_flight.values().sum();
    let first = in_flight.get("n1").copied().unwrap_or_default();
    assert!(all >= 3, "{in_flight:?}");
    assert!(2 * first >= all, "the first instance has most of them: {in_flight:?}");
    assert!(first <= 6, "and is loaded no more than the stable version's: {in_flight:?}");
}
