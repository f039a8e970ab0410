//! Tests of the retry policy and its budget.

use super::common::ms;
use sycamore_call::retry::CallState;
use sycamore_call::{AttemptFailure, RetryBudget, RetryBudgets, RetryConfig, RetryDecision};
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

/// Guards against a second run of a non-idempotent call, and against repeating a call that crashed
/// its upstream.
#[test]
fn attempts_that_may_have_run_are_retried_only_if_idempotent() {
    assert!(!retries(CALL, BROKEN));
    assert!(retries(CallState { idempotent: true, ..CALL }, BROKEN));
    assert!(!retries(CallState { idempotent: true, ..CALL }, CRASHED));
}

/// Guards against failing a call that another upstream could take.
#[test]
fn refusals_that_concern_one_upstream_are_retried() {
    for reason in [
        RefusalReason::Draining,
        RefusalReason::BadVersion,
        RefusalReason::ShareSpent,
        RefusalReason::NoUpstream,
    ] {
        assert!(retries(CALL, AttemptFailure::NotRun(reason)), "{reason}");
    }
}

/// Guards against useless retries of refusals that any upstream would repeat.
#[test]
fn refusals_that_concern_every_upstream_are_final() {
    for reason in [
        RefusalReason::Deadline,
        RefusalReason::Quarantined,
        RefusalReason::HopLimit,
        RefusalReason::InProgress,
        RefusalReason::ConfigurationRejected,
        RefusalReason::ConfigurationBehind,
        RefusalReason::FaultyEntry,
    ] {
        assert!(!retries(CALL, AttemptFailure::NotRun(reason)), "{reason}");
    }
    let full = CallState { has_room: false, ..CALL };
    assert!(!retries(full, AttemptFailure::NotRun(RefusalReason::Overloaded)));
    assert!(retries(CALL, AttemptFailure::NotRun(RefusalReason::Overloaded)));
}

/// Guards against retries that multiply along a chain of calls.
#[test]
fn a_retry_is_not_retried_by_a_node_below() {
    let below = CallState { is_retry: true, ..CALL };
    assert!(!retries(below, AttemptFailure::NotRun(RefusalReason::Overloaded)));
}

/// Guards against retries beyond the attempts that the policy allows or after the deadline.
#[test]
fn retries_stop_at_the_maximum_attempts_and_the_deadline() {
    let draining = AttemptFailure::NotRun(RefusalReason::Draining);
    assert!(!retries(CallState { attempts: 3, rerouted: 0, ..CALL }, draining));
    let late = CallState { left: ms(0), ..CALL };
    assert!(!retries(late, AttemptFailure::NotRun(RefusalReason::Overloaded)));
}

/// Guards against a retry storm when every call is refused for load.
#[test]
fn retries_stay_within_the_budget_percentage() {
    let mut budget = budget();
    let mut retried = 0;
    for _ in 0..10_000 {
        budget.first_attempt();
        let decision = budget.decide(&CALL, AttemptFailure::NotRun(RefusalReason::Overloaded));
        retried += usize::from(matches!(decision, RetryDecision::Retry(_)));
    }
    assert!((990..=1_002).contains(&retried), "{retried} retries of 10,000 calls at 10%");
}

/// Guards against synchronised retries, and against a backoff beyond its bound.
#[test]
fn backoff_has_full_jitter_below_its_bound() {
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

/// Guards against free reroutes that use the budget, exceed their limit, happen without a known
/// free upstream or follow an upstream's own refusal.
#[test]
fn refusals_for_load_are_rerouted_for_free_up_to_the_limit() {
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
    assert_eq!(budget.saved_retries(), 1.0, "the budget is not used");
    let call = CallState { attempts: 1, rerouted: 0, has_room: true, ..CALL };
    let shed = AttemptFailure::NotRun(RefusalReason::Shed);
    assert_eq!(budget.decide(&call, shed), RetryDecision::GiveUp, "it reached an upstream");
}

fn services(prefix: &str, count: usize) -> Vec<ServiceName> {
    (0..count).map(|i| ServiceName::new(format!("{prefix}{i}")).expect("valid")).collect()
}

/// Makes one call to `service` that is retried if its budget allows it; returns whether it was.
fn is_retried(budgets: &mut RetryBudgets, service: &ServiceName) -> bool {
    let budget = budgets.of(service, RetryConfig::default(), 3);
    budget.first_attempt();
    let call = CallState { idempotent: true, ..CALL };
    matches!(budget.decide(&call, BROKEN), RetryDecision::Retry(_))
}

/// Guards against budgets without effect in a large configuration: a service whose budget is
/// forgotten has a retry again.
#[test]
fn a_spent_budget_stays_spent_while_many_services_are_called() {
    let mut budgets = RetryBudgets::default();
    let services = services("s", 5_000);
    let first = services.iter().filter(|service| is_retried(&mut budgets, service)).count();
    assert_eq!(first, services.len(), "every budget has one retry");
    budgets.remove_unconfigured(|service| services.contains(service));
    let again = services.iter().filter(|service| is_retried(&mut budgets, service)).count();
    assert_eq!(again, 0, "retries beyond the budgets");
}

/// Guards against budgets that fill the memory while configurations replace their services, and
/// against a service that is removed and added again in order to get a retry.
#[test]
fn budgets_of_removed_services_are_bounded() {
    let mut budgets = RetryBudgets::default();
    let kept = services("kept", 2_000);
    let removed = services("removed", 1_000);
    for service in kept.iter().chain(&removed) {
        is_retried(&mut budgets, service);
    }
    budgets.remove_unconfigured(|service| kept.contains(service));
    assert!(!is_retried(&mut budgets, &removed[0]), "removed a moment ago");
    for service in services("more", 1_000) {
        is_retried(&mut budgets, &service);
    }
    budgets.remove_unconfigured(|service| kept.contains(service));
    assert_eq!(budgets.len(), kept.len());
    assert!(!kept.iter().any(|service| is_retried(&mut budgets, service)), "kept");
}
