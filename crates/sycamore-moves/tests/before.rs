//! Which version an ordered move starts from.
#![allow(clippy::unwrap_used)]

use sycamore_moves::plan::{version_before, MoveSpec, OnTimeout, OutcomeKind};
use sycamore_types::prelude::*;

fn version(text: &str) -> UpstreamVersion {
    text.parse().unwrap()
}

fn moved(from: &str, to: &str, start: u64) -> MoveSpec {
    MoveSpec {
        mv: format!("m{start}").parse().unwrap(),
        service: "counter".parse().unwrap(),
        from: version(from),
        to: version(to),
        start: WallTime(start),
        deadline: WallTime(start + 10_000),
        cap: Share::from_basis_points(10_000),
        watch: None,
        on_timeout: OnTimeout::TakeBack,
    }
}

fn before(to: &str, moves: &[(MoveSpec, Option<OutcomeKind>)], serving: &[&str]) -> Option<String> {
    let serving: Vec<UpstreamVersion> = serving.iter().map(|text| version(text)).collect();
    let moves = moves.iter().map(|(spec, outcome)| (spec, *outcome));
    let service = "counter".parse().unwrap();
    version_before(&service, &version(to), moves, serving.iter()).map(|v| v.to_string())
}

#[test]
fn a_version_just_taken_back_is_not_gone_back_to() {
    let back = [(moved("v1", "v2", 100), Some(OutcomeKind::TakenBack))];
    // Its instances still serve, and are the most.
    assert_eq!(before("v3", &back, &["v1", "v2", "v2", "v3"]).unwrap(), "v1");
}

#[test]
fn the_last_move_of_the_service_counts() {
    let moves = [
        (moved("v1", "v2", 100), Some(OutcomeKind::Done)),
        (moved("v0", "v1", 50), Some(OutcomeKind::Done)),
        (MoveSpec { service: "intake".parse().unwrap(), ..moved("v5", "v6", 200) }, None),
    ];
    assert_eq!(before("v3", &moves, &["v1", "v1", "v2", "v3"]).unwrap(), "v2");
}

#[test]
fn where_it_left_no_version_that_serves_the_most_frequent_one_is_taken() {
    let moves = [(moved("v1", "v2", 100), Some(OutcomeKind::Done))];
    assert_eq!(before("v3", &moves, &["v1", "v4", "v4", "v3", "v3", "v3"]).unwrap(), "v4");
    assert_eq!(before("v3", &[], &["v1", "v3", "v3"]).unwrap(), "v1");
    assert_eq!(before("v3", &[], &["v3"]), None);
}
