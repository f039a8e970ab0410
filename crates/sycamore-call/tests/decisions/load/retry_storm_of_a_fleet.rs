//! Upstreams turn away all that comes, at the users' grown size: every node's retries add up, and
//! calls that a repeated run makes are repeats as well.

use std::time::Duration;
use sycamore_call::retry::CallState;
use sycamore_call::{AttemptFailure, RetryBudget, RetryConfig, RetryDecision};
use sycamore_types::prelude::*;

const NODES: usize = 74;
/// Retries that the users allow on top of their ratio, all nodes together.
const EXTRA: u32 = 190;
/// The users' ratio of repeats to calls.
const RATIO: f64 = 0.2;
/// Calls that arrive at each node while all fail: the users' ten seconds.
const CALLS: usize = 200;

fn retries(budget: &mut RetryBudget, calls: usize) -> usize {
    let call = CallState {
        attempts: 1,
        rerouted: 0,
        idempotent: true,
        is_retry: false,
        has_room: true,
        left: Duration::from_secs(3),
    };
    let turned_away = AttemptFailure::NotRun(RefusalReason::Shed);
    let mut retried = 0;
    for _ in 0..calls {
        budget.first_attempt();
        let decision = budget.decide(&call, turned_away);
        retried += usize::from(matches!(decision, RetryDecision::Retry(_)));
    }
    retried
}

#[test]
fn all_repeats_together_stay_within_what_the_users_allow() {
    let config = RetryConfig::default().shared_by(EXTRA, NODES);
    // Calm times fill every budget first.
    let budget = |seed| {
        let mut budget = RetryBudget::new(config.clone(), seed);
        (0..1_000).for_each(|_| budget.first_attempt());
        budget
    };
    // Each call to the outer service makes one to the inner; a repeat of it makes another, which is
    // a repeat there and is not repeated again.
    let (mut outer, mut inner) = (0, 0);
    for node in 0..NODES as u64 {
        outer += retries(&mut budget(node), CALLS);
        inner += retries(&mut budget(1_000 + node), CALLS);
    }
    let calls = (NODES * CALLS) as f64;
    let allowed = RATIO * calls + f64::from(EXTRA);
    assert!((outer + inner) as f64 <= allowed, "{outer} + {inner} of {allowed}");
    assert!(inner as f64 > 0.09 * calls, "the budget is used: {inner}");
}

#[test]
fn one_node_alone_may_save_what_a_service_of_one_node_would() {
    let config = RetryConfig::default().shared_by(EXTRA, 1);
    let mut budget = RetryBudget::new(config, 1);
    (0..1_000).for_each(|_| budget.first_attempt());
    assert_eq!(budget.saved(), 10.0);
}
