//! Idempotency keys: the record and its bounds. Ownership is covered by the model.

use super::common::{at, instance, ms};
use sycamore_call::key::{owner_of, KeyEnd, Members, OwnershipConfig, Released};
use sycamore_call::{KeyDecision, KeyHash, KeyTable, KeyTableConfig, Ownership, Standing};
use sycamore_types::prelude::*;

const KEY: KeyHash = KeyHash(7);

fn table() -> KeyTable<&'static str> {
    KeyTable::new(KeyTableConfig { entries: 3, bytes: 10, answer_bytes: 6, memory: ms(1_000) })
}

#[test]
fn a_repeat_gets_what_is_known() {
    let mut table = table();
    assert_eq!(table.begin(at(0), KEY, 1), KeyDecision::Run);
    assert_eq!(table.begin(at(1), KEY, 1), KeyDecision::InProgress);
    table.finish(at(2), KEY, KeyEnd::Answered("done", 4));
    assert_eq!(table.begin(at(3), KEY, 1), KeyDecision::Replay("done"));
    assert_eq!(table.begin(at(3), KEY, 2), KeyDecision::Mismatch);
}

#[test]
fn what_did_not_run_may_run_and_what_may_have_run_may_not() {
    let mut table = table();
    table.begin(at(0), KEY, 1);
    table.finish(at(1), KEY, KeyEnd::NotRun);
    assert_eq!(table.begin(at(2), KEY, 1), KeyDecision::Run);
    table.finish(at(3), KEY, KeyEnd::Unknown);
    assert_eq!(table.begin(at(4), KEY, 1), KeyDecision::Unknown);
}

#[test]
fn records_last_for_the_memory_after_the_end() {
    let mut table = table();
    table.begin(at(0), KEY, 1);
    assert_eq!(table.begin(at(50_000), KEY, 1), KeyDecision::InProgress, "however long it runs");
    table.finish(at(50_000), KEY, KeyEnd::Answered("done", 4));
    assert_eq!(table.begin(at(50_999), KEY, 1), KeyDecision::Replay("done"));
    assert_eq!(table.begin(at(51_000), KEY, 1), KeyDecision::Run);
}

#[test]
fn memory_is_bounded_and_nothing_is_forgotten_for_it() {
    let mut table = table();
    for key in 1..=3 {
        assert_eq!(table.begin(at(0), KeyHash(key), 1), KeyDecision::Run);
        table.finish(at(1), KeyHash(key), KeyEnd::Answered("12345", 5));
    }
    assert_eq!(table.begin(at(2), KeyHash(4), 1), KeyDecision::Full);
    assert_eq!(table.begin(at(2), KeyHash(2), 1), KeyDecision::Replay("12345"));
    // The third answer was over the bytes in all: it ran, and is not run again.
    assert_eq!(table.begin(at(2), KeyHash(3), 1), KeyDecision::Unknown);
    assert_eq!(table.len(), 3);
}

#[test]
fn an_answer_that_is_too_long_is_unknown_and_not_run_again() {
    let mut table = table();
    table.begin(at(0), KEY, 1);
    table.finish(at(1), KEY, KeyEnd::Answered("1234567", 7));
    assert_eq!(table.begin(at(2), KEY, 1), KeyDecision::Unknown);
}

#[test]
fn a_released_key_is_never_run_here_and_released_once() {
    let mut table = table();
    assert_eq!(table.release(at(0), KEY), Released::NotRun);
    assert_eq!(table.begin(at(1), KEY, 1), KeyDecision::Unknown);
    assert_eq!(table.release(at(2), KEY), Released::Unknown);
    let other = KeyHash(8);
    table.begin(at(3), other, 1);
    assert_eq!(table.release(at(4), other), Released::Unknown, "it runs right now");
    table.finish(at(5), other, KeyEnd::Answered("done", 4));
    assert_eq!(table.release(at(6), other), Released::Answered("done"));
}

fn members(names: &[&str]) -> Members {
    names.iter().map(|name| (instance(name), Incarnation(1))).collect()
}

fn ownership(me: &str, now: Time) -> Ownership {
    let config =
        OwnershipConfig { memory: ms(800), lag: ms(200), pause: ms(2_000), ..Default::default() };
    Ownership::new(instance(me), config, now)
}

/// A key that `owner` owns among `names`.
fn key_of(owner: &str, names: &[&str]) -> KeyHash {
    let owns = |key: &u128| owner_of(&members(names), KeyHash(*key)) == Some(&instance(owner));
    KeyHash((0..1_000).find(owns).unwrap())
}

#[test]
fn keys_are_spread_evenly_and_only_a_leavers_keys_move() {
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

#[test]
fn an_owner_is_sure_once_it_has_owned_the_key_for_the_memory() {
    let key = key_of("x", &["x", "y"]);
    let mut x = ownership("x", at(0));
    x.update(at(0), members(&["x", "y"]), Members::new());
    assert_eq!(x.standing(at(10), key), Standing::OwnerAfter(vec![instance("y")]));
    x.tick(at(1_000));
    assert_eq!(x.standing(at(1_000), key), Standing::Owner);
    assert_eq!(x.standing(at(3_001), key), Standing::InDoubt, "it was paused");
    x.tick(at(3_001));
    assert_eq!(x.standing(at(3_001), key), Standing::OwnerAfter(vec![instance("y")]));
}

#[test]
fn an_owner_asks_a_member_that_may_not_know_it() {
    let key = key_of("x", &["x", "y", "z"]);
    let mut x = ownership("x", at(0));
    x.update(at(0), members(&["x", "y", "z"]), Members::new());
    x.set_unsure(members(&["w", "z"]));
    x.tick(at(1_500));
    assert_eq!(x.standing(at(1_500), key), Standing::Owner);
    assert_eq!(x.unsure().collect::<Vec<_>>(), [&instance("z")], "only members in view are asked");
}

#[test]
fn a_new_owner_asks_the_earlier_one_while_that_is_there() {
    let key = key_of("x", &["x", "y", "z"]);
    let next = owner_of(&members(&["y", "z"]), key).unwrap().to_string();
    let mut heir = ownership(&next, at(0));
    heir.update(at(0), members(&["x", "y", "z"]), Members::new());
    heir.tick(at(1_500));
    assert_eq!(heir.standing(at(1_500), key), Standing::Other(instance("x")));
    heir.update(at(1_600), members(&["y", "z"]), members(&["x"]));
    assert_eq!(heir.standing(at(1_600), key), Standing::OwnerAfter(vec![instance("x")]));
    heir.update(at(1_700), members(&["y", "z"]), Members::new());
    assert_eq!(heir.standing(at(1_700), key), Standing::InDoubt);
    heir.tick(at(2_600));
    assert_eq!(heir.standing(at(2_600), key), Standing::Owner);
}

#[test]
fn the_smaller_side_of_a_cut_runs_nothing() {
    let mut x = ownership("x", at(0));
    x.update(at(0), members(&["x", "y", "z"]), Members::new());
    x.tick(at(1_500));
    x.update(at(1_600), members(&["x"]), Members::new());
    x.tick(at(3_000));
    assert_eq!(x.standing(at(3_000), KEY), Standing::InDoubt);
}
