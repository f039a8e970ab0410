//! Tests of retry storms: all upstreams refuse every call, the retries of all nodes add up, and
//! nested calls of a retried run are repeats too.

use std::time::Duration;
use sycamore_call::retry::CallState;
use sycamore_call::{AttemptFailure, RetryBudget, RetryConfig, RetryDecision};
use sycamore_types::prelude::*;

const NODES: usize = 74;
/// Number of retries allowed on top of the ratio, for all nodes together.
const ALLOWED_EXTRA_RETRIES: u32 = 190;
/// Allowed ratio of repeats to calls.
const ALLOWED_REPEAT_RATIO: f64 = 0.2;
/// Number of calls that arrive at each node while all calls fail, for ten seconds.
const CALLS_PER_NODE: usize = 200;

fn count_retries(budget: &mut RetryBudget, calls: usize) -> usize {
    let call = CallState {
        attempts: 1,
        rerouted: 0,
        idempotent: true,
        is_retry: false,
        has_room: true,
        left: Duration::from_secs(3),
    };
    let refusal = AttemptFailure::NotRun(RefusalReason::Shed);
    let mut retried = 0;
    for _ in 0..calls {
        budget.first_attempt();
        let decision = budget.decide(&call, refusal);
        retried += usize::from(matches!(decision, RetryDecision::Retry(_)));
    }
    retried
}

/// Guards against budgets that are harmless at one node but exceed the allowance when every node of
/// a large fleet spends its own.
#[test]
fn repeats_of_the_whole_fleet_stay_within_the_allowance() {
    let config = RetryConfig::default().shared_by(ALLOWED_EXTRA_RETRIES, NODES);
    // Every budget is full before the calls begin to fail.
    let budget = |seed| {
        let mut budget = RetryBudget::new(config.clone(), seed);
        (0..1_000).for_each(|_| budget.first_attempt());
        budget
    };
    // Each call to the outer service makes one to the inner service. A retry makes another one,
    // which is a repeat at the inner service and is not retried there.
    let (mut outer, mut inner) = (0, 0);
    for node in 0..NODES as u64 {
        outer += count_retries(&mut budget(node), CALLS_PER_NODE);
        inner += count_retries(&mut budget(1_000 + node), CALLS_PER_NODE);
    }
    let calls = (NODES * CALLS_PER_NODE) as f64;
    let allowed = ALLOWED_REPEAT_RATIO * calls + f64::from(ALLOWED_EXTRA_RETRIES);
    assert!((outer + inner) as f64 <= allowed, "{outer} + {inner} of {allowed}");
    assert!(inner as f64 > 0.09 * calls, "the budget is used: {inner}");
}

/// Guards against dividing the budget of a fleet that has one node only.
#[test]
fn a_single_node_accumulates_the_full_budget() {
    let config = RetryConfig::default().shared_by(ALLOWED_EXTRA_RETRIES, 1);
    let mut budget = RetryBudget::new(config, 1);
    (0..1_000).for_each(|_| budget.first_attempt());
    assert_eq!(budget.saved_retries(), 10.0);
}
