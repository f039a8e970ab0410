//! Rules of the platform's stand-in that nodes rely on.

use serde_json::json;
use std::time::Duration;
use sycamore_bench::stand_in::platform::{Condition, Objects, RateCap, Table, Transaction, Write};

fn put(key: &str, expect: u64, value: serde_json::Value) -> Transaction {
    Transaction {
        conditions: vec![Condition { key: key.into(), revision: expect }],
        writes: vec![Write { key: key.into(), value }],
    }
}

/// Guards against a transaction that writes although one of its conditions fails.
#[test]
fn a_transaction_with_a_failed_condition_writes_nothing() {
    let mut table = Table::default();
    table.transact(&put("a", 0, json!(1))).unwrap();
    let mut both = put("b", 0, json!(2));
    both.conditions.push(Condition { key: "a".into(), revision: 7 });
    let conflicts = table.transact(&both).unwrap_err();
    assert_eq!((conflicts[0].key.as_str(), conflicts[0].revision), ("a", 1));
    assert!(table.get("b").is_none());
}

/// Guards against a row that gets an earlier revision again after its deletion, on which a stale
/// writer's condition would hold.
#[test]
fn revisions_are_not_reused_after_a_delete() {
    let mut table = Table::default();
    table.transact(&put("a", 0, json!(1))).unwrap();
    table.transact(&put("a", 1, json!(null))).unwrap();
    assert!(table.get("a").is_none());
    let revisions = table.transact(&put("a", 0, json!(3))).unwrap();
    assert_eq!(revisions["a"], 3);
}

#[test]
fn listings_are_paged_and_limited_to_the_prefix() {
    let mut table = Table::default();
    for key in ["m/1", "m/2", "m/3", "n/1"] {
        table.transact(&put(key, 0, json!(0))).unwrap();
    }
    let keys = |after: &str| -> (Vec<String>, bool) {
        let (rows, more) = table.list("m/", after, 2);
        (rows.into_iter().map(|row| row.key.clone()).collect(), more)
    };
    assert_eq!(keys(""), (vec!["m/1".into(), "m/2".into()], true));
    assert_eq!(keys("m/2"), (vec!["m/3".into()], false));
}

/// Guards against a put on the condition of absence that overwrites an object.
#[test]
fn a_put_if_absent_does_not_replace_an_object() {
    let mut objects = Objects::default();
    assert!(objects.put("k", "one".into(), true));
    assert!(!objects.put("k", "two".into(), true));
    assert_eq!(objects.get("k").unwrap().as_ref(), b"one");
    assert_eq!(objects.keys("k"), ["k"]);
}

#[test]
fn a_rate_cap_grants_no_more_than_its_rate_and_one_full_bucket() {
    let mut cap = RateCap::new(10);
    let granted = (0..3_000).filter(|ms| cap.take(Duration::from_millis(*ms))).count();
    assert!(
        (30..=40).contains(&granted),
        "{granted} tokens granted in three seconds at 10/s, with a full bucket at the start"
    );
}
