//! Version floor of a starting node, and the polling interval of the head row.

use std::time::Duration;
use sycamore_config::{Floor, FloorSettings, PeerHead, PollSettings};
use sycamore_types::prelude::*;

/// Reports `version` as the head of `instance` in data centre `dc`.
fn peer_head(floor: &mut Floor, instance: &str, dc: &str, version: u64) -> Option<ConfigVersion> {
    let head = ConfigHead { version: ConfigVersion(version), manifest: ContentHash([0; 32]) };
    floor.on_peer_head(PeerHead {
        instance: &InstanceId::new(instance).expect("constant identifier"),
        data_centre: &DataCentre::new(dc).expect("constant identifier"),
        head,
    })
}

/// Guards against a first deployment that never serves: without a head row the floor is version 0.
#[test]
fn an_absent_head_row_gives_floor_zero() {
    let mut floor = Floor::new(FloorSettings::default());
    assert_eq!(floor.known(), None);
    assert_eq!(floor.on_head_row(None), Some(ConfigVersion(0)));
}

/// Guards against a floor from too few peers, from one peer counted twice, or from one data centre.
#[test]
fn a_quorum_of_peers_gives_the_highest_version_as_floor() {
    let mut floor = Floor::new(FloorSettings { peers: 3, data_centres: 2 });
    assert_eq!(peer_head(&mut floor, "a", "zagreb", 4), None);
    assert_eq!(peer_head(&mut floor, "a", "zagreb", 4), None);
    assert_eq!(peer_head(&mut floor, "b", "zagreb", 7), None);
    assert_eq!(peer_head(&mut floor, "c", "zagreb", 5), None);
    assert_eq!(peer_head(&mut floor, "d", "split", 6), Some(ConfigVersion(7)));
}

/// Guards against polling that exceeds or underuses the fleet's read budget as the fleet grows, and
/// against unbounded backoff.
#[test]
fn polling_matches_the_fleet_read_budget_at_any_size() {
    let settings = PollSettings::default();
    for nodes in [20, 180, 930] {
        let seeds = 0..4_000;
        let total: Duration = seeds.clone().map(|seed| settings.delay(nodes, 0, seed)).sum();
        let per_s = nodes as f64 * 4_000.0 / total.as_secs_f64();
        assert!((19.0..21.0).contains(&per_s), "{nodes} nodes read {per_s} times per second");
    }
    assert!(settings.delay(930, 9, 1) <= settings.delay(930, 0, 1) * 8);
}
