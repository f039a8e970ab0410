//! Tests of the version gate at an upstream's own node.

use super::common::{member, service, shares, version, view};
use sycamore_call::gate::GateRequest;
use sycamore_call::route::VersionBans;
use sycamore_call::Gate;
use sycamore_types::prelude::*;

fn passes(gate: &Gate, of: &UpstreamVersion, share: u16, draw: u16, running: u32) -> bool {
    let share = Share::from_basis_points(share);
    gate.check(&GateRequest { version: of, share, draw }, running).is_ok()
}

fn gate(of: &str, old: u16, new: u16) -> Gate {
    let mut gate = Gate::new(service(), version(of));
    let members = view([member("x", "1", "a"), member("y", "1", "a"), member("z", "2", "a")]);
    gate.update(&shares(old, new), &members);
    gate
}

/// Guards against reopening the gate of a bad version when a later update no longer mentions it.
#[test]
fn a_ban_closes_the_gate_permanently() {
    let mut gate = gate("2", 5_000, 5_000);
    let mut bans = VersionBans::default();
    bans.insert(service(), version("2"));
    gate.learn(&bans);
    gate.learn(&VersionBans::default());
    gate.update(&ShareTable::default(), &MemberView::default());
    let v = version("2");
    let req = GateRequest { version: &v, share: Share::ALL, draw: 0 };
    assert_eq!(gate.check(&req, 0), Err(RefusalReason::BadVersion));
}

/// Guards against refusing calls to the stable version at the end of a move, when it has no share
/// left.
#[test]
fn the_stable_version_is_not_capped() {
    let gate = gate("1", 0, 10_000);
    assert!(passes(&gate, &version("1"), 0, 9_999, 1_000));
}

/// Guards against excess calls to an unproven version from a node that has not learnt of a lower
/// share.
#[test]
fn calls_under_an_outdated_larger_share_are_reduced_to_the_share_in_force() {
    let gate = gate("2", 9_500, 500);
    let v = version("2");
    let passed = (0..10_000).filter(|draw| passes(&gate, &v, 5_000, *draw, 0)).count();
    assert_eq!(passed, 1_000, "a tenth of the calls sent at 50% is 5%");
    let passed = (0..10_000).filter(|draw| passes(&gate, &v, 500, *draw, 0)).count();
    assert_eq!(passed, 10_000);
}

/// Guards against an unproven version that occupies more than its share of the service's slots.
#[test]
fn concurrent_calls_are_capped_at_the_share_of_the_slots() {
    let gate = gate("2", 9_000, 1_000);
    let v = version("2");
    assert!(passes(&gate, &v, 1_000, 0, 2));
    assert!(!passes(&gate, &v, 1_000, 0, 3), "10% of 30 slots at one instance");
}

/// Guards against calls to a version whose share is zero or which the share table doesn't list.
#[test]
fn a_version_without_a_share_takes_no_calls() {
    let none = gate("2", 10_000, 0);
    assert!(!passes(&none, &version("2"), 10_000, 0, 0));
    let unlisted = gate("3", 9_500, 500);
    assert!(!passes(&unlisted, &version("3"), 10_000, 0, 0));
}

/// Guards against running a call at an upstream that was replaced by another version after the
/// caller's node chose it.
#[test]
fn a_call_for_another_version_is_refused() {
    let gate = gate("1", 9_500, 500);
    assert!(!passes(&gate, &version("2"), 500, 0, 0));
}
