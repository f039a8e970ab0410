//! Tests of the old version that is selected for a move ordered by its new version.
#![allow(clippy::unwrap_used)]

use sycamore_moves::plan::{version_before, MoveSpec, OnTimeout, OutcomeKind};
use sycamore_types::prelude::*;

fn version(text: &str) -> UpstreamVersion {
    text.parse().unwrap()
}

/// Returns a move of the service `counter` that starts at `start` ms.
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

/// Returns the old version selected for a move of `counter` to `to`.
fn before(to: &str, moves: &[(MoveSpec, Option<OutcomeKind>)], serving: &[&str]) -> Option<String> {
    let serving: Vec<UpstreamVersion> = serving.iter().map(|text| version(text)).collect();
    let moves = moves.iter().map(|(spec, outcome)| (spec, *outcome));
    let service = "counter".parse().unwrap();
    version_before(&service, &version(to), moves, serving.iter()).map(|v| v.to_string())
}

/// The version that was taken back still runs on most instances.
#[test]
fn a_version_just_taken_back_is_not_selected() {
    let back = [(moved("v1", "v2", 100), Some(OutcomeKind::TakenBack))];
    assert_eq!(before("v3", &back, &["v1", "v2", "v2", "v3"]).unwrap(), "v1");
}

#[test]
fn the_new_version_of_the_services_last_move_is_selected() {
    let moves = [
        (moved("v1", "v2", 100), Some(OutcomeKind::Done)),
        (moved("v0", "v1", 50), Some(OutcomeKind::Done)),
        (MoveSpec { service: "intake".parse().unwrap(), ..moved("v5", "v6", 200) }, None),
    ];
    assert_eq!(before("v3", &moves, &["v1", "v1", "v2", "v3"]).unwrap(), "v2");
}

#[test]
fn the_most_frequent_version_is_selected_if_the_last_moves_version_is_not_served() {
    let moves = [(moved("v1", "v2", 100), Some(OutcomeKind::Done))];
    assert_eq!(before("v3", &moves, &["v1", "v4", "v4", "v3", "v3", "v3"]).unwrap(), "v4");
    assert_eq!(before("v3", &[], &["v1", "v3", "v3"]).unwrap(), "v1");
    assert_eq!(before("v3", &[], &["v3"]), None);
}
