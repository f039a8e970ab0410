//! Retries.

use super::common::ms;
use sycamore_call::retry::CallState;
use sycamore_call::{AttemptFailure, RetryBudget, RetryConfig, RetryDecision};
use sycamore_types::prelude::*;

const CALL: CallState = CallState {
    attempts: 1,
    rerouted: 0,
    idempotent: false,
    is_retry: false,
    has_room: true,
    left: std::time::Duration::from_secs(1),
};

fn budget() -> RetryBudget {
    RetryBudget::new(RetryConfig::default(), 3)
}

fn retries(call: CallState, failure: AttemptFailure) -> bool {
    matches!(budget().decide(&call, failure), RetryDecision::Retry(_))
}

const BROKEN: AttemptFailure = AttemptFailure::Unknown { crashed: false };
const CRASHED: AttemptFailure = AttemptFailure::Unknown { crashed: true };

#[test]
fn what_may_have_run_is_repeated_only_where_it_is_idempotent() {
    assert!(!retries(CALL, BROKEN));
    assert!(retries(CallState { idempotent: true, ..CALL }, BROKEN));
    assert!(!retries(CallState { idempotent: true, ..CALL }, CRASHED));
}

#[test]
fn refusals_of_one_upstream_go_elsewhere() {
    for reason in [
        RefusalReason::Draining,
        RefusalReason::BadVersion,
        RefusalReason::ShareSpent,
        RefusalReason::NoUpstream,
    ] {
        assert!(retries(CALL, AttemptFailure::NotRun(reason)), "{reason}");
    }
}

#[test]
fn what_is_refused_everywhere_is_given_up() {
    for reason in [
        RefusalReason::Deadline,
        RefusalReason::Quarantined,
        RefusalReason::HopLimit,
        RefusalReason::InProgress,
    ] {
        assert!(!retries(CALL, AttemptFailure::NotRun(reason)), "{reason}");
    }
    let full = CallState { has_room: false, ..CALL };
    assert!(!retries(full, AttemptFailure::NotRun(RefusalReason::Overloaded)));
    assert!(retries(CALL, AttemptFailure::NotRun(RefusalReason::Overloaded)));
}

#[test]
fn retries_are_not_retried_below() {
    let below = CallState { is_retry: true, ..CALL };
    assert!(!retries(below, AttemptFailure::NotRun(RefusalReason::Overloaded)));
}

#[test]
fn attempts_and_deadline_bound_retries() {
    let draining = AttemptFailure::NotRun(RefusalReason::Draining);
    assert!(!retries(CallState { attempts: 3, rerouted: 0, ..CALL }, draining));
    let late = CallState { left: ms(0), ..CALL };
    assert!(!retries(late, AttemptFailure::NotRun(RefusalReason::Overloaded)));
}

#[test]
fn the_budget_holds_over_many_calls() {
    let mut budget = budget();
    let mut retried = 0;
    for _ in 0..10_000 {
        budget.first_attempt();
        let decision = budget.decide(&CALL, AttemptFailure::NotRun(RefusalReason::Overloaded));
        retried += usize::from(matches!(decision, RetryDecision::Retry(_)));
    }
    assert!((990..=1_002).contains(&retried), "{retried} retries of 10,000 calls at 10%");
}

#[test]
fn backoff_is_jittered_and_bounded() {
    let mut waits = Vec::new();
    for seed in 0..200 {
        let mut budget = RetryBudget::new(RetryConfig::default(), seed);
        let call = CallState { attempts: 2, rerouted: 0, ..CALL };
        match budget.decide(&call, AttemptFailure::NotRun(RefusalReason::Overloaded)) {
            RetryDecision::Retry(wait) => waits.push(wait),
            RetryDecision::GiveUp => panic!("a budget starts with one retry"),
        }
    }
    assert!(waits.iter().all(|wait| *wait <= ms(10)));
    assert!(waits.iter().any(|wait| *wait < ms(2)) && waits.iter().any(|wait| *wait > ms(8)));
}

#[test]
fn a_refusal_for_load_goes_elsewhere_freely_a_few_times_where_there_is_room() {
    let config = RetryConfig { free_reroutes: 2, attempts: 1, ..RetryConfig::default() };
    let mut budget = RetryBudget::new(config, 3);
    let refused = AttemptFailure::NotRun(RefusalReason::Overloaded);
    let mut decide = |rerouted, has_room| {
        let call = CallState { attempts: rerouted + 1, rerouted, has_room, ..CALL };
        budget.decide(&call, refused)
    };
    for rerouted in [0, 1] {
        assert_eq!(decide(rerouted, true), RetryDecision::Retry(ms(0)));
        assert_eq!(decide(rerouted, false), RetryDecision::GiveUp);
    }
    assert_eq!(decide(2, true), RetryDecision::GiveUp, "no more than two");
    assert_eq!(budget.saved(), 1.0, "the budget is not used");
    let call = CallState { attempts: 1, rerouted: 0, has_room: true, ..CALL };
    let shed = AttemptFailure::NotRun(RefusalReason::Shed);
    assert_eq!(budget.decide(&call, shed), RetryDecision::GiveUp, "it reached an upstream");
}
