//! Proposals settle by reading back: never a guess, never two winners.

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

async fn offer(platform: &FakePlatform, base: Option<&Row>, op: u128) -> Settled {
    let body = json!({ "by": op.to_string() });
    let proposal =
        Proposal { key: KEY, base, op: OpId(op), body, conditions: vec![], writes: vec![] };
    propose(platform, proposal, &settings(), 7).await
}

fn answer(row: &Row) -> Answer {
    Answer::Read(Some(row.clone()))
}

#[test]
fn of_two_racing_operators_one_wins_and_the_other_learns_who() {
    run(async {
        let platform = FakePlatform::default();
        assert_eq!(offer(&platform, None, 1).await, Settled::Won { revision: Revision(1) });
        match offer(&platform, None, 2).await {
            Settled::Lost { winner } => assert_eq!(winner.value.unwrap()["by"], "1"),
            other => panic!("{other:?}"),
        }
    });
}

#[test]
fn a_lost_answer_is_settled_by_reading_back() {
    run(async {
        let platform = FakePlatform::default();
        platform.set_faults(Faults { lost_answers: 1, ..Faults::default() });
        assert_eq!(offer(&platform, None, 1).await, Settled::Won { revision: Revision(1) });
        assert_eq!(platform.stats().writes, 1);
    });
}

#[test]
fn a_lost_request_is_sent_again() {
    run(async {
        let platform = FakePlatform::default();
        platform.set_faults(Faults { lost_requests: 2, ..Faults::default() });
        assert_eq!(offer(&platform, None, 1).await, Settled::Won { revision: Revision(1) });
        assert_eq!(platform.stats().writes, 3);
    });
}

#[test]
fn only_an_outage_leaves_it_unknown() {
    run(async {
        let platform = FakePlatform::default();
        platform.set_faults(Faults { outage: true, ..Faults::default() });
        let settled = offer(&platform, None, 1).await;
        assert_eq!(settled, Settled::Unknown { may_have_run: false });
    });
}

#[test]
fn a_winner_that_was_overwritten_still_learns_that_it_won() {
    run(async {
        let platform = FakePlatform::default();
        assert!(matches!(offer(&platform, None, 1).await, Settled::Won { .. }));
        let first = platform.get(KEY).await.unwrap().unwrap();
        assert!(matches!(offer(&platform, Some(&first), 2).await, Settled::Won { .. }));
        let second = platform.get(KEY).await.unwrap().unwrap();
        let mut settle = Settle::new(KEY, OpId(1), None, &settings(), 1);
        assert!(matches!(settle.step(Answer::Failed { may_have_run: true }), Step::Read(_)));
        let step = settle.step(answer(&second));
        assert_eq!(step, Step::Done(Settled::Won { revision: Revision(2) }));
    });
}

#[test]
fn a_history_that_does_not_reach_back_is_no_proof_of_losing() {
    run(async {
        let platform = FakePlatform::default();
        let mut row: Option<Row> = None;
        for op in 10..(12 + RECENT_OPS as u128) {
            assert!(matches!(offer(&platform, row.as_ref(), op).await, Settled::Won { .. }));
            row = platform.get(KEY).await.unwrap();
        }
        let row = row.unwrap();
        let mut uncertain = Settle::new(KEY, OpId(1), None, &settings(), 1);
        uncertain.step(Answer::Failed { may_have_run: true });
        let step = uncertain.step(answer(&row));
        assert_eq!(step, Step::Done(Settled::Unknown { may_have_run: true }));
        let mut certain = Settle::new(KEY, OpId(1), None, &settings(), 1);
        let conflict =
            Conflict { key: KEY.to_owned(), revision: row.revision, value: Some(row.value) };
        let step = certain.step(Answer::Conflicted(vec![conflict]));
        assert!(matches!(step, Step::Done(Settled::Lost { .. })));
    });
}

#[test]
fn a_condition_on_another_row_loses_the_proposal() {
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
