//! The floor of a fresh node, and when nodes poll.

use std::time::Duration;
use sycamore_config::{Floor, FloorSettings, PeerHead, PollSettings};
use sycamore_types::prelude::*;

fn told(floor: &mut Floor, instance: &str, dc: &str, version: u64) -> Option<ConfigVersion> {
    let head = ConfigHead { version: ConfigVersion(version), manifest: ContentHash([0; 32]) };
    floor.told(PeerHead {
        instance: &InstanceId::new(instance).expect("constant identifier"),
        data_centre: &DataCentre::new(dc).expect("constant identifier"),
        head,
    })
}

#[test]
fn the_head_row_alone_is_enough() {
    let mut floor = Floor::new(FloorSettings::default());
    assert_eq!(floor.known(), None);
    assert_eq!(floor.read(None), Some(ConfigVersion(0)));
}

#[test]
fn the_highest_of_enough_peers_in_different_data_centres_stands_in() {
    let mut floor = Floor::new(FloorSettings { peers: 3, data_centres: 2 });
    assert_eq!(told(&mut floor, "a", "zagreb", 4), None);
    assert_eq!(told(&mut floor, "a", "zagreb", 4), None);
    assert_eq!(told(&mut floor, "b", "zagreb", 7), None);
    assert_eq!(told(&mut floor, "c", "zagreb", 5), None);
    assert_eq!(told(&mut floor, "d", "split", 6), Some(ConfigVersion(7)));
}

#[test]
fn the_fleet_stays_within_its_budget_at_any_size() {
    let settings = PollSettings::default();
    for nodes in [20, 180, 930] {
        let draws = 0..4_000;
        let total: Duration = draws.clone().map(|draw| settings.delay(nodes, 0, draw)).sum();
        let per_s = nodes as f64 * 4_000.0 / total.as_secs_f64();
        assert!((19.0..21.0).contains(&per_s), "{nodes} nodes read {per_s} times a second");
    }
    assert!(settings.delay(930, 9, 1) <= settings.delay(930, 0, 1) * 8);
}
