//! Tests of compare-and-set proposals whose requests or answers are lost.
//!
//! Guards against a proposal that reports a result it cannot know, and against two proposals from
//! one base revision that both report success.

use serde_json::json;
use std::time::Duration;
use sycamore_platform::backoff::BackoffSettings;
use sycamore_platform::fake::{FakePlatform, Faults};
use sycamore_platform::prelude::*;
use sycamore_platform::settle::{Answer, Settle, SettleSettings, Step, RECENT_OPS};
use sycamore_types::prelude::*;

const KEY: &str = "config/head";

fn run<T>(future: impl std::future::Future<Output = T>) -> T {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the epoll driver starts")
        .block_on(future)
}

fn settings() -> SettleSettings {
    let base = Duration::from_micros(10);
    SettleSettings { failures: 4, backoff: BackoffSettings { base, cap: base } }
}

async fn propose_on(platform: &FakePlatform, base: Option<&Row>, op: u128) -> Settled {
    let body = json!({ "by": op.to_string() });
    let proposal =
        Proposal { key: KEY, base, op: OpId(op), body, conditions: vec![], writes: vec![] };
    propose(platform, proposal, &settings(), 7).await
}

fn read_answer(row: &Row) -> Answer {
    Answer::Read(Some(row.clone()))
}

// Guards against a second proposal from the same base revision overwriting the first, or ending
// without the row that won.
#[test]
fn second_proposal_from_same_base_loses_and_gets_the_winning_row() {
    run(async {
        let platform = FakePlatform::default();
        assert_eq!(propose_on(&platform, None, 1).await, Settled::Won { revision: Revision(1) });
        match propose_on(&platform, None, 2).await {
            Settled::Lost { winner } => assert_eq!(winner.value.unwrap()["by"], "1"),
            other => panic!("{other:?}"),
        }
    });
}

// Guards against a second write, or a wrong result, after a write took effect and its answer was
// lost.
#[test]
fn lost_answer_is_resolved_by_reading_back_without_a_second_write() {
    run(async {
        let platform = FakePlatform::default();
        platform.set_faults(Faults { lost_answers: 1, ..Faults::default() });
        assert_eq!(propose_on(&platform, None, 1).await, Settled::Won { revision: Revision(1) });
        assert_eq!(platform.stats().writes, 1);
    });
}

// Guards against giving up, or reporting a loss, when writes are lost before they take effect: the
// unchanged row allows the same write again.
#[test]
fn lost_request_is_sent_again() {
    run(async {
        let platform = FakePlatform::default();
        platform.set_faults(Faults { lost_requests: 2, ..Faults::default() });
        assert_eq!(propose_on(&platform, None, 1).await, Settled::Won { revision: Revision(1) });
        assert_eq!(platform.stats().writes, 3);
    });
}

// Guards against `may_have_run` after an outage in which the platform refused every request.
#[test]
fn outage_ends_as_unknown_without_effect() {
    run(async {
        let platform = FakePlatform::default();
        platform.set_faults(Faults { outage: true, ..Faults::default() });
        let settled = propose_on(&platform, None, 1).await;
        assert_eq!(settled, Settled::Unknown { may_have_run: false });
    });
}

// Guards against reporting a loss when the answer to a successful write is lost and another
// operation overwrites the row before the proposer reads it back.
#[test]
fn overwritten_winner_reads_back_that_it_won() {
    run(async {
        let platform = FakePlatform::default();
        assert!(matches!(propose_on(&platform, None, 1).await, Settled::Won { .. }));
        let first = platform.get(KEY).await.unwrap().unwrap();
        assert!(matches!(propose_on(&platform, Some(&first), 2).await, Settled::Won { .. }));
        let second = platform.get(KEY).await.unwrap().unwrap();
        let mut settle = Settle::new(KEY, OpId(1), None, &settings(), 1);
        assert!(matches!(settle.step(Answer::Failed { may_have_run: true }), Step::Read(_)));
        let step = settle.step(read_answer(&second));
        assert_eq!(step, Step::Done(Settled::Won { revision: Revision(2) }));
    });
}

// Guards against reporting a loss after a lost answer when more than `RECENT_OPS` operations
// followed, so that the row's history no longer reaches the base revision. A proposal with no write
// of unknown effect has lost all the same.
#[test]
fn history_that_misses_the_base_leaves_a_lost_answer_unknown() {
    run(async {
        let platform = FakePlatform::default();
        let mut row: Option<Row> = None;
        for op in 10..(12 + RECENT_OPS as u128) {
            assert!(matches!(propose_on(&platform, row.as_ref(), op).await, Settled::Won { .. }));
            row = platform.get(KEY).await.unwrap();
        }
        let row = row.unwrap();
        let mut uncertain = Settle::new(KEY, OpId(1), None, &settings(), 1);
        uncertain.step(Answer::Failed { may_have_run: true });
        let step = uncertain.step(read_answer(&row));
        assert_eq!(step, Step::Done(Settled::Unknown { may_have_run: true }));
        let mut certain = Settle::new(KEY, OpId(1), None, &settings(), 1);
        let conflict =
            Conflict { key: KEY.to_owned(), revision: row.revision, value: Some(row.value) };
        let step = certain.step(Answer::Conflicted(vec![conflict]));
        assert!(matches!(step, Step::Done(Settled::Lost { .. })));
    });
}

// Guards against a proposal that succeeds, or names the wrong row, when a condition on another row
// does not hold.
#[test]
fn failed_condition_on_another_row_loses_the_proposal() {
    run(async {
        let platform = FakePlatform::default();
        let other = Condition { key: "plan/p".to_owned(), revision: Revision(3) };
        let proposal = Proposal {
            key: KEY,
            base: None,
            op: OpId(1),
            body: json!({}),
            conditions: vec![other],
            writes: vec![],
        };
        match propose(&platform, proposal, &settings(), 7).await {
            Settled::Lost { winner } => assert_eq!(winner.key, "plan/p"),
            other => panic!("{other:?}"),
        }
    });
}
