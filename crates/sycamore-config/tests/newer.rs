//! Tests of the knowledge that the configuration in force is out of date.
//!
//! Guards against a final answer, such as 404 for a missing route, from a configuration of which
//! the node itself knows that a newer one exists.

mod common;

use common::{route, service};
use std::time::Duration;
use sycamore_config::{
    Apply, ApplySettings, Bundle, Encoded, FetchAnswer, Input, NewerVersions, OutOfDate, Source,
};
use sycamore_types::prelude::*;

/// Some seconds after time 0.
const LIMIT: Time = Time(2_500_000);

fn out_of_date(newer: &NewerVersions, now: Time, in_force: u64) -> Option<OutOfDate> {
    newer.out_of_date(now, ConfigVersion(in_force))
}

fn rejecting(versions: &[u64]) -> NewerVersions {
    let mut newer = NewerVersions::default();
    versions.iter().for_each(|version| newer.record_rejected(ConfigVersion(*version)));
    newer
}

#[test]
fn a_node_that_knows_of_no_newer_version_is_not_out_of_date() {
    assert_eq!(out_of_date(&NewerVersions::default(), LIMIT, 0), None);
    assert_eq!(out_of_date(&NewerVersions::default(), Time(u64::MAX), 14), None);
}

/// The state must begin with the rejection, and end with a version that replaces the rejected one.
#[test]
fn a_rejected_version_counts_until_it_or_a_higher_one_is_in_force() {
    let newer = rejecting(&[16]);
    for in_force in [14, 15] {
        assert_eq!(out_of_date(&newer, Time(0), in_force), Some(OutOfDate::Rejected));
    }
    for in_force in [16, 19] {
        assert_eq!(out_of_date(&newer, LIMIT, in_force), None);
    }
}

#[test]
fn a_rejected_version_that_is_not_above_the_one_in_force_does_not_count() {
    assert_eq!(out_of_date(&rejecting(&[14, 3]), LIMIT, 14), None);
}

/// A lower version may be rejected after a higher one, for example from a peer that lags.
#[test]
fn the_highest_rejected_version_decides() {
    assert_eq!(out_of_date(&rejecting(&[19, 16]), Time(0), 17), Some(OutOfDate::Rejected));
}

fn peer(name: &str) -> InstanceId {
    InstanceId::new(name).expect("valid name")
}

/// Returns the knowledge of a node that `peers` told at time 0 which versions they rejected.
fn told(peers: &[(&str, u64)]) -> NewerVersions {
    let mut newer = NewerVersions::default();
    for (name, version) in peers {
        newer.record_peer_rejected(Time(0), &peer(name), Some(ConfigVersion(*version)), LIMIT);
    }
    newer
}

/// A rejected row has no head that spreads, so a node that doesn't read the rows knows of it from
/// peers alone. What they told must end, or one peer that is wrong would forbid final answers for
/// good.
#[test]
fn a_version_that_a_peer_rejected_counts_until_it_expires_or_is_in_force() {
    let newer = told(&[("a-1", 16)]);
    let last = Time(LIMIT.0 - 1);
    assert_eq!(out_of_date(&newer, last, 15), Some(OutOfDate::Rejected));
    assert_eq!(out_of_date(&newer, last, 16), None);
    assert_eq!(out_of_date(&newer, LIMIT, 15), None);
}

#[test]
fn a_peer_that_no_longer_rejects_a_version_takes_it_back() {
    let mut newer = told(&[("a-1", 16), ("a-2", 19)]);
    newer.record_peer_rejected(Time(1), &peer("a-2"), None, LIMIT);
    assert_eq!(newer.rejected_above(Time(1), ConfigVersion(14)), Some(ConfigVersion(16)));
    newer.record_peer_rejected(Time(1), &peer("a-1"), None, LIMIT);
    assert_eq!(out_of_date(&newer, Time(1), 14), None);
}

/// A version that is far too high must not hide, beyond its own end, the one that exists.
#[test]
fn a_higher_version_of_one_peer_does_not_replace_that_of_another() {
    let mut newer = told(&[("a-1", u64::MAX)]);
    let later = Time(LIMIT.0 + 1);
    newer.record_peer_rejected(Time(1), &peer("a-2"), Some(ConfigVersion(16)), later);
    assert_eq!(newer.rejected_above(LIMIT, ConfigVersion(14)), Some(ConfigVersion(16)));
    assert_eq!(newer.rejected_above(later, ConfigVersion(14)), None);
}

/// Nodes that told each other what they were told would never forget a false version.
#[test]
fn a_node_tells_peers_only_of_rows_that_it_rejected_itself() {
    let mut newer = told(&[("a-1", 19)]);
    newer.record_rejected(ConfigVersion(17));
    assert_eq!(newer.rejected_row_above(ConfigVersion(14)), None);
    // A head of a lower version may arrive from a peer that lags.
    newer.record_rejected(ConfigVersion(15));
    newer.record_rejected_row(ConfigVersion(16));
    assert_eq!(newer.rejected_row_above(ConfigVersion(15)), Some(ConfigVersion(16)));
    assert_eq!(newer.rejected_row_above(ConfigVersion(16)), None);
    assert_eq!(newer.rejected_above(Time(0), ConfigVersion(14)), Some(ConfigVersion(19)));
}

/// What peers told must not grow with the fleet; the one told last is kept.
#[test]
fn the_peers_that_told_of_a_version_are_bounded() {
    let mut newer = NewerVersions::default();
    for i in 0..1_000 {
        let (version, until) = (Some(ConfigVersion(2_000 - i)), Time(LIMIT.0 + i));
        newer.record_peer_rejected(Time(i), &peer(&format!("a-{i}")), version, until);
    }
    let highest = newer.rejected_above(Time(1_000), ConfigVersion(14));
    assert_eq!(highest, Some(ConfigVersion(2_000 - 984)));
}

/// A node may learn of a version long after its acknowledgement to the operator: if it counted only
/// after a time, the node would give final answers when the version must be in force.
#[test]
fn a_node_is_behind_as_soon_as_it_knows_of_a_newer_version() {
    let mut newer = NewerVersions::default();
    newer.record_behind(true);
    for now in [Time(0), LIMIT, Time(u64::MAX)] {
        assert_eq!(out_of_date(&newer, now, 14), Some(OutOfDate::Behind));
    }
    newer.record_behind(false);
    assert_eq!(out_of_date(&newer, Time(0), 16), None);
}

/// The log must tell a version that has to be mended from one that is on its way.
#[test]
fn a_rejected_version_is_told_apart_from_one_that_is_late() {
    let mut newer = rejecting(&[16]);
    newer.record_behind(true);
    assert_eq!(out_of_date(&newer, LIMIT, 14), Some(OutOfDate::Rejected));
    assert_eq!(out_of_date(&newer, LIMIT, 16), Some(OutOfDate::Behind));
}

/// Node that applies configurations, with what it knows of newer ones.
struct Node {
    apply: Apply,
    newer: NewerVersions,
}

impl Node {
    /// Creates a node with version 14 in force at time 0.
    fn at_version_14() -> Self {
        let apply = Apply::new(ApplySettings::default());
        let mut node = Self { apply, newer: NewerVersions::default() };
        node.step(Time(0), Input::Floor(ConfigVersion(1)));
        node.step(Time(0), pack(14));
        assert_eq!(node.apply.in_force(), Some(ConfigVersion(14)));
        node
    }

    fn step(&mut self, now: Time, input: Input) {
        self.apply.step(now, input);
        self.newer.record_behind(self.apply.behind_since().is_some());
    }

    fn out_of_date(&self, now: Time) -> Option<OutOfDate> {
        let in_force = self.apply.in_force().expect("version 14 or a later one");
        self.newer.out_of_date(now, in_force)
    }
}

fn encoded(version: u64) -> Encoded {
    let resources = vec![service("a"), route(&format!("r-{version}"), "a", 500)];
    let bundle = Bundle::new(resources).expect("valid resources");
    Encoded::new(bundle.resources(), ConfigVersion(version))
}

fn learned(version: u64) -> Input {
    let head = encoded(version).head;
    Input::HeadLearned { head, from: Source::Peer, fetch_delay: Duration::ZERO }
}

fn pack(version: u64) -> Input {
    let encoded = encoded(version);
    Input::PackReceived { head: encoded.head, pack: encoded.pack() }
}

/// A head that peers spread, whose configuration none of them gives, is news of a newer version.
#[test]
fn a_node_whose_fetches_fail_is_behind_until_it_applies_the_version() {
    let mut node = Node::at_version_14();
    node.step(Time(1), learned(16));
    let failed = Input::Fetched { head: encoded(16).head, answer: FetchAnswer::Failed };
    assert_eq!(node.out_of_date(Time(1)), Some(OutOfDate::Behind));
    node.step(LIMIT, failed);
    assert_eq!(node.out_of_date(Time(LIMIT.0 + 2)), Some(OutOfDate::Behind));
    node.step(Time(LIMIT.0 + 3), pack(16));
    assert_eq!(node.out_of_date(Time(LIMIT.0 + 3)), None);
}

/// In a storm of changes a node is behind from each head to its configuration, and no longer: it
/// must give final answers again as soon as none is on its way.
#[test]
fn a_node_that_follows_a_storm_of_changes_is_behind_only_until_the_newest_is_applied() {
    let mut node = Node::at_version_14();
    for change in 0..40 {
        let now = Time(change * 200_000);
        node.step(now, learned(16 + change));
        if let Some(arrived) = change.checked_sub(5) {
            node.step(now, pack(16 + arrived));
        }
        assert_eq!(node.out_of_date(now), Some(OutOfDate::Behind), "change {change}");
    }
    node.step(Time(8_000_000), pack(55));
    assert_eq!(node.out_of_date(Time(8_000_000)), None);
}
