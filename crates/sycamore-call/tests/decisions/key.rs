//! Tests of the records of idempotency keys, their bounds and the rules of ownership; the model
//! tests cover ownership under faults.

use super::common::{at, instance, ms};
use sycamore_call::key::{owner_of, KeyEnd, Members, OwnershipConfig, Released};
use sycamore_call::{KeyDecision, KeyHash, KeyTable, KeyTableConfig, Ownership, OwnershipStatus};
use sycamore_types::prelude::*;

const KEY: KeyHash = KeyHash(7);

fn table() -> KeyTable<&'static str> {
    KeyTable::new(KeyTableConfig { entries: 3, bytes: 10, answer_bytes: 6, memory: ms(1_000) })
}

/// Guards against a second run of a keyed call, and against replaying an answer to a different
/// request.
#[test]
fn a_repeat_gets_the_recorded_outcome() {
    let mut table = table();
    assert_eq!(table.begin(at(0), KEY, 1), KeyDecision::Run);
    assert_eq!(table.begin(at(1), KEY, 1), KeyDecision::InProgress);
    table.finish(at(2), KEY, KeyEnd::Answered("done", 4));
    assert_eq!(table.begin(at(3), KEY, 1), KeyDecision::Replay("done"));
    assert_eq!(table.begin(at(3), KEY, 2), KeyDecision::Mismatch);
}

/// Guards against running a call again whose outcome is unknown, and against blocking one that
/// never ran.
#[test]
fn only_calls_that_did_not_run_may_run_again() {
    let mut table = table();
    table.begin(at(0), KEY, 1);
    table.finish(at(1), KEY, KeyEnd::NotRun);
    assert_eq!(table.begin(at(2), KEY, 1), KeyDecision::Run);
    table.finish(at(3), KEY, KeyEnd::Unknown);
    assert_eq!(table.begin(at(4), KEY, 1), KeyDecision::Unknown);
}

/// Guards against a record that expires while its call still runs, or whose time counts from the
/// start.
#[test]
fn records_expire_after_the_memory_from_the_end_of_the_call() {
    let mut table = table();
    table.begin(at(0), KEY, 1);
    assert_eq!(
        table.begin(at(50_000), KEY, 1),
        KeyDecision::InProgress,
        "a running call doesn't expire"
    );
    table.finish(at(50_000), KEY, KeyEnd::Answered("done", 4));
    assert_eq!(table.begin(at(50_999), KEY, 1), KeyDecision::Replay("done"));
    assert_eq!(table.begin(at(51_000), KEY, 1), KeyDecision::Run);
}

/// Guards against evicting a record to make space, which would let its call run again.
#[test]
fn a_full_table_refuses_new_keys_and_keeps_old_ones() {
    let mut table = table();
    for key in 1..=3 {
        assert_eq!(table.begin(at(0), KeyHash(key), 1), KeyDecision::Run);
        table.finish(at(1), KeyHash(key), KeyEnd::Answered("12345", 5));
    }
    assert_eq!(table.begin(at(2), KeyHash(4), 1), KeyDecision::Full);
    assert_eq!(table.begin(at(2), KeyHash(2), 1), KeyDecision::Replay("12345"));
    // The third answer would exceed the total size: its call ran, and must not run again.
    assert_eq!(table.begin(at(2), KeyHash(3), 1), KeyDecision::Unknown);
    assert_eq!(table.len(), 3);
}

/// Guards against a second run because the answer was too long to record.
#[test]
fn a_call_with_an_oversized_answer_is_not_run_again() {
    let mut table = table();
    table.begin(at(0), KEY, 1);
    table.finish(at(1), KEY, KeyEnd::Answered("1234567", 7));
    assert_eq!(table.begin(at(2), KEY, 1), KeyDecision::Unknown);
}

/// Guards against a run by both nodes after a key changed its owner, and against reporting "not
/// run" for a key that was released before or is running.
#[test]
fn a_released_key_does_not_run_here_again() {
    let mut table = table();
    assert_eq!(table.release(at(0), KEY), Released::NotRun);
    assert_eq!(table.begin(at(1), KEY, 1), KeyDecision::Unknown);
    assert_eq!(table.release(at(2), KEY), Released::Unknown);
    let other = KeyHash(8);
    table.begin(at(3), other, 1);
    assert_eq!(table.release(at(4), other), Released::Unknown, "the call is running");
    table.finish(at(5), other, KeyEnd::Answered("done", 4));
    assert_eq!(table.release(at(6), other), Released::Answered("done"));
}

fn members(names: &[&str]) -> Members {
    names.iter().map(|name| (instance(name), Incarnation(1))).collect()
}

fn ownership(own_id: &str, now: Time) -> Ownership {
    let config = OwnershipConfig {
        memory: ms(800),
        lag: ms(200),
        max_tick_gap: ms(2_000),
        ..Default::default()
    };
    Ownership::new(instance(own_id), config, now)
}

/// Returns a key that `owner` owns among `names`.
fn key_of(owner: &str, names: &[&str]) -> KeyHash {
    let owns = |key: &u128| owner_of(&members(names), KeyHash(*key)) == Some(&instance(owner));
    KeyHash((0..1_000).find(owns).unwrap())
}

/// Guards against an uneven distribution of keys, and against owners that change although they
/// stay.
#[test]
fn keys_are_balanced_and_only_those_of_a_leaving_member_move() {
    let all = members(&["x", "y", "z"]);
    let fewer = members(&["x", "y"]);
    let mut owned = 0;
    for key in (0..3_000).map(KeyHash) {
        let owner = owner_of(&all, key).unwrap();
        if *owner == instance("z") {
            owned += 1;
        } else {
            assert_eq!(owner_of(&fewer, key), Some(owner));
        }
    }
    assert!((900..=1_100).contains(&owned), "{owned}");
}

/// Guards against a run by an owner that has just started or was suspended and may not know of an
/// earlier run.
#[test]
fn an_owner_is_certain_after_owning_the_key_for_the_whole_window() {
    let key = key_of("x", &["x", "y"]);
    let mut x = ownership("x", at(0));
    x.update(at(0), members(&["x", "y"]), Members::new());
    assert_eq!(x.status(at(10), key), OwnershipStatus::OwnerAfter(vec![instance("y")]));
    x.tick(at(1_000));
    assert_eq!(x.status(at(1_000), key), OwnershipStatus::Owner);
    assert_eq!(x.status(at(3_001), key), OwnershipStatus::InDoubt, "the node was suspended");
    x.tick(at(3_001));
    assert_eq!(x.status(at(3_001), key), OwnershipStatus::OwnerAfter(vec![instance("y")]));
}

/// Guards against a run by an owner while another member doesn't have it in view and may consider
/// itself the owner.
#[test]
fn an_owner_asks_members_that_have_not_confirmed_it() {
    let key = key_of("x", &["x", "y", "z"]);
    let mut x = ownership("x", at(0));
    x.update(at(0), members(&["x", "y", "z"]), Members::new());
    x.set_unconfirmed(members(&["w", "z"]));
    x.tick(at(1_500));
    assert_eq!(x.status(at(1_500), key), OwnershipStatus::Owner);
    assert_eq!(
        x.unconfirmed().collect::<Vec<_>>(),
        [&instance("z")],
        "only members in view are asked"
    );
}

/// Guards against a second run by the new owner when the previous owner leaves or vanishes.
#[test]
fn a_new_owner_asks_the_previous_one_while_it_is_present() {
    let key = key_of("x", &["x", "y", "z"]);
    let next = owner_of(&members(&["y", "z"]), key).unwrap().to_string();
    let mut new_owner = ownership(&next, at(0));
    new_owner.update(at(0), members(&["x", "y", "z"]), Members::new());
    new_owner.tick(at(1_500));
    assert_eq!(new_owner.status(at(1_500), key), OwnershipStatus::Other(instance("x")));
    new_owner.update(at(1_600), members(&["y", "z"]), members(&["x"]));
    assert_eq!(new_owner.status(at(1_600), key), OwnershipStatus::OwnerAfter(vec![instance("x")]));
    new_owner.update(at(1_700), members(&["y", "z"]), Members::new());
    assert_eq!(new_owner.status(at(1_700), key), OwnershipStatus::InDoubt);
    new_owner.tick(at(2_600));
    assert_eq!(new_owner.status(at(2_600), key), OwnershipStatus::Owner);
}

/// Guards against runs on both sides of a network partition.
#[test]
fn the_minority_side_of_a_partition_runs_no_keyed_calls() {
    let mut x = ownership("x", at(0));
    x.update(at(0), members(&["x", "y", "z"]), Members::new());
    x.tick(at(1_500));
    x.update(at(1_600), members(&["x"]), Members::new());
    x.tick(at(3_000));
    assert_eq!(x.status(at(3_000), KEY), OwnershipStatus::InDoubt);
}
